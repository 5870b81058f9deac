"""Adapter from the agreement core (`agree`) to the interface that `versions` needs of the replicated log."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.agree.core import Agree
from dykeshift.agree.log import Sort
from dykeshift.versions.guide import LogStatus


class AgreeLog:
    """Implements `core.ReplicatedLog` for one agreement core and one clock."""

    def __init__(self, core: Agree, clock: Callable[[], int]) -> None:
        """Takes a clock of monotonic nanoseconds."""
        self.core, self.clock = core, clock

    def lease_left(self) -> int:
        """Returns the nanoseconds for which the committed state known here is valid."""
        return self.core.spread.lease_left(self.clock())

    def uncommitted(self) -> tuple[bytes, ...]:
        """Returns the uncommitted entries of the log and the proposals made here that are still open."""
        shared = self.core.shared
        entries = (shared.log.entry(i) for i in range(shared.commit + 1, shared.log.last + 1))
        return (
            *(e.body for e in entries if e.sort == Sort.CHANGE),
            *(p.body for p in self.core.proposals.open.values()),
        )

    def no_lease_reason(self) -> str:
        """Returns why there is no lease."""
        shared = self.core.shared
        if shared.blank:
            return "no history is known yet"
        if shared.fenced:
            return "a later epoch of the history is known"
        if self.core.spread.fresh_at is None:
            return "the version in force has not been received yet"
        return "no majority of the history's voters has been in reach for a lease"

    def leader(self) -> int | None:
        """Returns the number of the leader; None if it is not known."""
        leader = self.core.voter.leader
        return leader[0] if leader is not None else None

    def status(self) -> LogStatus:
        """Returns whether this process leads, and which balancers are alive."""
        shared = self.core.shared
        return LogStatus(self.core.voter.settled(), frozenset(shared.alive | {shared.number}))

    def log_id(self) -> int:
        """Returns the identity of the log; 0 as long as none is known."""
        return self.core.shared.epoch[0]

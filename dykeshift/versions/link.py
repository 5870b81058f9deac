"""The versions' seam to the agreement below them: what they ask of it, of one core and by one clock."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.agree.core import Agree
from dykeshift.agree.log import Sort
from dykeshift.versions.guide import Facts


class Link:
    """A `core.History`."""

    def __init__(self, core: Agree, clock: Callable[[], int]) -> None:
        self.core, self.clock = core, clock

    def lease_left(self) -> int:
        return self.core.spread.lease_left(self.clock())

    def heard(self) -> tuple[bytes, ...]:
        """What stands uncommitted in the log, and what was asked for here."""
        shared = self.core.shared
        entries = (shared.log.entry(i) for i in range(shared.commit + 1, shared.log.last + 1))
        return (
            *(e.body for e in entries if e.sort == Sort.CHANGE),
            *(p.body for p in self.core.proposals.open.values()),
        )

    def why(self) -> str:
        shared = self.core.shared
        if shared.blank:
            return "it knows no history yet"
        if shared.fenced:
            return "a later epoch of the history is known"
        if self.core.spread.fresh_at is None:
            return "it has not heard yet what is in force"
        return "no majority of the history's voters has been in reach for a lease"

    def leader(self) -> int | None:
        leader = self.core.voter.leader
        return leader[0] if leader is not None else None

    def facts(self) -> Facts:
        shared = self.core.shared
        return Facts(self.core.voter.settled(), frozenset(shared.alive | {shared.number}))

    def ident(self) -> int:
        return self.core.shared.epoch[0]

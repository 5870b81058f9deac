"""The coordinator of transactions: the leader of the log proposes their phase changes, each as soon as safe.

Theory of operation. A balancer acts on guarded terms only while it holds a lease, and holding a lease implies
having everything that was committed one lease duration ago. Each replica reports the version at which it is
*fenced*: no subscriber acts, now or later, on an older version under a lease that this replica granted
(`replica.py`). A joint phase that began at version j is over, and no balancer acts on the old body alone, as
soon as one of these holds:

 a. every replica of the tier has reported that it is fenced at j or later;
 b. the lease duration, plus the drift of both clocks, has passed since this process saw j committed.

Normally (a) holds within a second. If a subscriber is partitioned, its replica is fenced once the lease has
expired. If a replica is silent, (b) applies. A fence is a fact about the past and stays true whoever leads.
The coordinator keeps only such facts and the time for (b), all in memory: a new leader merely waits longer.

Every proposal names the store version that it builds on, so no harm is done if two processes both
believe that they lead.

Invariants:
 1. COMMITTED is proposed for a guarded transaction only when no balancer acts on any of its old bodies alone.
 2. While there is a leader every pending transaction ends: guarded ones after (a) or (b), checked ones after
    `check_limit` at the latest.
 3. Conflicting transactions are proposed in the order in which they were submitted (queue.py).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from dykeshift.configuration.queue import TransactionQueue
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import (
    LONGEST_REASON,
    Advance,
    Entry,
    Pending,
    Phase,
    Transaction,
)
from dykeshift.configuration.validation import Objection, RunningServers

SECOND = 1_000_000_000
MAX_ABORT_REQUESTS = 64  # requested aborts that are remembered


@dataclass(frozen=True, slots=True)
class CoordinatorOptions:
    """Times in nanoseconds. `lease`: duration of the leases that replicas grant to subscribers."""

    lease: int = 5 * SECOND
    drift: float = 0.01  # relative rate error of a clock, in either direction
    check_limit: int = 20 * SECOND  # time within which a checked transaction must be approved

    @property
    def lease_wait(self) -> int:
        """Time after which, by a clock that may run fast, a lease has expired by one that may run slow."""
        return int(self.lease * (1 + 4 * self.drift))


@dataclass(frozen=True, slots=True)
class FenceReport:
    """A replica's report: no lease by it is, or will be, held on a version of `lineage` before `fenced`."""

    number: int
    lineage: int
    fenced: int


@dataclass(slots=True)
class Coordinator:
    """The coordinator of one process; it proposes only while the process leads the log."""

    options: CoordinatorOptions
    store: ConfigStore
    replicas: frozenset[int]  # numbers of all that may grant leases, including this process if it does
    lineage: int = 0
    queue: TransactionQueue = field(default_factory=TransactionQueue)
    fences: dict[int, int] = field(default_factory=dict)  # fenced version by replica
    approved: set[int] = field(default_factory=set)
    aborts: dict[int, str] = field(default_factory=dict)
    seen: dict[int, tuple[int, int]] = field(default_factory=dict)  # by ident: phase's version, first seen at
    settled: int = 0  # no balancer acts on an older version
    settling: list[tuple[int, int]] = field(default_factory=list)  # later versions, each first seen at

    def enter(self, lineage: int) -> None:
        """Switch to another lineage (history) of the store; facts about the previous one are dropped."""
        if lineage != self.lineage:
            self.lineage, self.settled = lineage, 0
            self.fences.clear()
            self.seen.clear()
            self.settling.clear()

    # ---- requests ----

    def submit(self, transaction: Transaction) -> Objection | None:
        """Queue a transaction to be proposed; returns an objection if the queue is full."""
        return self.queue.add(transaction)

    def approve(self, ident: int) -> None:
        """Let a checked transaction proceed."""
        if ident in self.store.pending:
            self.approved.add(ident)

    def abort(self, ident: int, reason: str) -> None:
        """Request that a pending transaction is aborted."""
        if ident in self.store.pending and len(self.aborts) < MAX_ABORT_REQUESTS:
            self.aborts[ident] = reason[:LONGEST_REASON]

    # ---- observations ----

    def on_fence(self, report: FenceReport) -> None:
        """Record the report of a replica; reports may be reordered, late or repeated."""
        if report.lineage == self.lineage and report.number in self.replicas:
            self.fences[report.number] = max(report.fenced, self.fences.get(report.number, 0))

    def fenced(self) -> int:
        """The version at which all replicas are fenced."""
        return min((self.fences.get(number, 0) for number in self.replicas), default=0)

    def behind(self, version: int) -> tuple[int, ...]:
        """The numbers of the replicas that have not reported a fence at this version or later."""
        return tuple(sorted(n for n in self.replicas if self.fences.get(n, 0) < version))

    def look(self, now: int) -> None:
        """Record when the store's version and the phases of transactions were first seen. Call this when the
        store has a later version, and regularly."""
        version = self.store.version
        if version > self.settled and (not self.settling or self.settling[-1][0] < version):
            self.settling.append((version, now))
        while self.settling and now - self.settling[0][1] >= self.options.lease_wait:
            self.settled = max(self.settled, self.settling.pop(0)[0])
        self.settled = max(self.settled, min(self.fenced(), version))
        self.settling = [one for one in self.settling if one[0] > self.settled]
        pending = self.store.pending
        self.seen = {
            ident: seen if (seen := self.seen.get(ident)) and seen[0] == one.since else (one.since, now)
            for ident, one in pending.items()
        }
        self.approved &= pending.keys()
        self.aborts = {ident: reason for ident, reason in self.aborts.items() if ident in pending}

    # ---- proposals ----

    def next(self, now: int, running: RunningServers | None = None) -> Entry | None:
        """The entry that the leader proposes now, on the current version of the store; None: nothing yet."""
        self.look(now)
        for advance in self._advances(now):
            return advance
        return self.queue.next(self.store, running)

    def _advances(self, now: int) -> Iterable[Advance]:
        for ident, pending in self.store.pending.items():
            advance = self._advance(now, ident, pending)
            if advance is not None:
                yield advance

    def _advance(self, now: int, ident: int, pending: Pending) -> Advance | None:
        if ident in self.aborts:
            return Advance(ident, Phase.ABORTED, self.aborts[ident])
        if pending.phase is Phase.JOINT:
            return Advance(ident, Phase.COMMITTED) if self._joint_is_over(now, ident, pending) else None
        if pending.transaction.checked and ident not in self.approved:
            late = now - self.seen[ident][1] >= self.options.check_limit
            return Advance(ident, Phase.ABORTED, "nobody has approved it in time") if late else None
        return Advance(ident, Phase.JOINT if pending.guarded else Phase.COMMITTED)

    def _joint_is_over(self, now: int, ident: int, pending: Pending) -> bool:
        """Whether no balancer acts on an old body alone any more, by condition (a) or (b)."""
        if self.fenced() >= pending.since:
            return True
        return now - self.seen[ident][1] >= self.options.lease_wait

"""Who leads the log leads transactions through their phases: what is proposed next, and not before when.

Theory of operation. A balancer acts on guarded terms only while it holds a lease, and a lease shows all that
was committed a lease ago. Each replica says up to which version it is *fenced*: nobody acts, or ever will, on
an older version by a lease of its own granting (`replica.py`). So a joint phase that began with version j is
over, and nobody acts on the old body alone, as soon as one of these holds:

 a. every replica of the tier has said that it is fenced at j or later;
 b. a lease, and the drift of both clocks, have passed since this process saw j committed.

In quiet (a) comes about within a second; with a subscriber that is cut off its replica is fenced when its
lease is over; with a replica that is silent (b) decides. A fence is a fact about the past: it stays true
whoever leads. This process holds nothing that could be lost but such facts and the time of (b); who leads
later only waits longer.

What is proposed names the version of the store that it builds on, so two that take themselves for leaders do
no harm.

Promises:
 1. COMMITTED is proposed for a guarded transaction only when nobody acts on any of its old bodies alone.
 2. Every transaction under way comes to its end while somebody leads: guarded ones after (a) or (b), checked
    ones at `check_limit` at the latest.
 3. Transactions that touch each other are proposed in the order in which they came (queue.py).
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
from dykeshift.configuration.validation import Objection, Running

SECOND = 1_000_000_000
MOST_ABORTS = 64  # wishes to abort that are remembered


@dataclass(frozen=True, slots=True)
class CoordinatorOptions:
    """Times in nanoseconds. `lease`: of subscribers, as the replicas grant it."""

    lease: int = 5 * SECOND
    drift: float = 0.01  # the part by which one clock may run faster or slower
    check_limit: int = 20 * SECOND  # for a checked transaction to be approved

    @property
    def lease_wait(self) -> int:
        """By a clock that may run too fast: the lease has passed in truth, by a clock that may run slow."""
        return int(self.lease * (1 + 4 * self.drift))


@dataclass(frozen=True, slots=True)
class FenceReport:
    """A replica's word: nobody has, or will have, a lease by it on a version of `lineage` before `fenced`."""

    number: int
    lineage: int
    fenced: int


@dataclass(slots=True)
class Coordinator:
    """One process's part in leading transactions; it proposes only while it leads."""

    options: CoordinatorOptions
    store: ConfigStore
    replicas: frozenset[int]  # numbers of all that may grant leases, itself too where it does
    lineage: int = 0
    queue: TransactionQueue = field(default_factory=TransactionQueue)
    fences: dict[int, int] = field(default_factory=dict)  # by replica
    approved: set[int] = field(default_factory=set)
    aborts: dict[int, str] = field(default_factory=dict)
    seen: dict[int, tuple[int, int]] = field(default_factory=dict)  # by ident: version of the phase, and when
    settled: int = 0  # nobody acts on an older version
    settling: list[tuple[int, int]] = field(default_factory=list)  # versions, and when each was seen

    def enter(self, lineage: int) -> None:
        """The store belongs to this history from now on: what was said of another one says nothing."""
        if lineage != self.lineage:
            self.lineage, self.settled = lineage, 0
            self.fences.clear()
            self.seen.clear()
            self.settling.clear()

    # ---- wishes ----

    def submit(self, transaction: Transaction) -> Objection | None:
        """To be proposed in its turn; the objection where it is not even taken."""
        return self.queue.add(transaction)

    def approve(self, ident: int) -> None:
        """A checked transaction may go on."""
        if ident in self.store.pending:
            self.approved.add(ident)

    def abort(self, ident: int, reason: str) -> None:
        """A transaction under way is to go back to what was in force."""
        if ident in self.store.pending and len(self.aborts) < MOST_ABORTS:
            self.aborts[ident] = reason[:LONGEST_REASON]

    # ---- what is known ----

    def on_fence(self, report: FenceReport) -> None:
        """A replica's report, in any order, late or again."""
        if report.lineage == self.lineage and report.number in self.replicas:
            self.fences[report.number] = max(report.fenced, self.fences.get(report.number, 0))

    def fenced(self) -> int:
        """The version that all replicas are fenced at."""
        return min((self.fences.get(number, 0) for number in self.replicas), default=0)

    def behind(self, version: int) -> tuple[int, ...]:
        """The replicas that have not said that they are fenced at this version, by number."""
        return tuple(sorted(n for n in self.replicas if self.fences.get(n, 0) < version))

    def look(self, now: int) -> None:
        """Notes the store's version and the phases, with the time of this process's clock. To be called when
        the store has a later version, and as often as progress is wanted."""
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

    # ---- what is to be proposed ----

    def next(self, now: int, running: Running | None = None) -> Entry | None:
        """What whoever leads proposes now, on the version that the store has; None: nothing yet."""
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
        """Whether nobody acts on an old body alone: by (a) or by (b)."""
        if self.fenced() >= pending.since:
            return True
        return now - self.seen[ident][1] >= self.options.lease_wait

"""Randomized runs of the control tier in which its own coordinators lead guarded changes, with fault
injection.

In addition to the guarantees of checker.py:

 8. From the commit of a guarded transaction on, nobody holds a lease on a version before its joint phase.
 9. Every transaction that a client keeps requesting is decided.

A client submits its transaction to the present leader repeatedly, until the store has decided it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from dykeshift.configuration.campaign import SMALL_TIER, RandomizedRun, Report
from dykeshift.configuration.checker import Checker, ReferenceHistory
from dykeshift.configuration.coordinator import CoordinatorOptions
from dykeshift.configuration.resources import Ban, ClassTerms, Key, Kind, ban_key, encode_body
from dykeshift.configuration.tier import Tier, TierOptions
from dykeshift.configuration.transactions import Phase, Put, Transaction
from dykeshift.configuration.virtual import SECOND, Host

DECISION_SECONDS = 12.0  # seconds after all faults are removed and all subscribers have recovered
CLIENT_RETRY_SECONDS = 0.7  # seconds between two submissions by a client
CLASSES = ("interactive", "batch", "background")
LED = replace(SMALL_TIER, coordinator=CoordinatorOptions())


@dataclass(slots=True)
class ClientTransaction:
    """One transaction of a client. Times are true time in nanoseconds; 0: not yet reached."""

    transaction: Transaction
    requested_at: int
    committed_at: int = 0
    version: int = 0
    settled: int = 0  # every subscriber that holds a lease shows it
    end: Phase | None = None


class JointHistory(ReferenceHistory):
    """The reference, with the joint phases of the committed transactions."""

    min_version = 0  # no subscriber may act on an older version

    def apply(self, now: int, version: int, body: bytes) -> None:
        """Applies an entry that is committed for the first time."""
        joint = {i: one.since for i, one in self.store.pending.items() if one.phase is Phase.JOINT}
        super().apply(now, version, body)
        for ident, since in joint.items():
            outcome = self.store.outcome(ident)
            if outcome is not None and outcome.phase is Phase.COMMITTED:
                self.min_version = max(self.min_version, since)


class JointChecker(Checker):
    """Checks the guarantees of the tier, and those of joint phases."""

    reference: JointHistory

    def __init__(self, tier: Tier) -> None:
        super().__init__(tier)
        self.reference = JointHistory(list(set(tier.scopes.values())))

    def _record_commits(self, host: Host) -> None:
        min_version = self.reference.min_version
        super()._record_commits(host)
        if self.reference.min_version > min_version:
            for subscriber in self.tier.subscribers:
                if subscriber.alive:
                    self._check_lease(subscriber)

    def _check_lease(self, host: Host) -> None:
        super()._check_lease(host)
        version, min_version = host.core.state.version, self.reference.min_version
        if version < min_version and host.core.lease_left(self.network.clock(host)):
            self._report(
                f"{host.name} holds a lease at {version}, before the joint phase at {min_version}, now over"
            )


@dataclass(slots=True)
class Latencies:
    """Seconds from a client's first submission until commit, and until every subscriber with a lease shows
    it."""

    committed: list[float] = field(default_factory=list)
    in_force: list[float] = field(default_factory=list)


class LedDay(RandomizedRun):
    """A randomized run whose guarded changes are led by the tier."""

    def __init__(self, seed: object, options: TierOptions = LED) -> None:
        super().__init__(seed, options)
        self.checker = JointChecker(self.tier)
        self.asked: dict[int, ClientTransaction] = {}

    def run(self) -> Report:
        """Executes the run."""
        report = super().run()
        self.network.run(DECISION_SECONDS, self.decided)
        broken = list(self.checker.broken)
        if not self.decided():
            unfinished = [ident for ident, one in self.asked.items() if one.end is None]
            broken.append(f"not decided: {unfinished}, pending: {list(self.tier.newest().pending)}")
        return replace(report, broken=tuple(broken))

    def decided(self) -> bool:
        """Whether all submitted transactions are decided."""
        return all(one.end is not None for one in self.asked.values()) and not self.tier.newest().pending

    def latencies(self) -> Latencies:
        """The latencies of all committed transactions."""
        found = Latencies()
        for one in self.asked.values():
            if one.committed_at:
                found.committed.append((one.committed_at - one.requested_at) / SECOND)
            if one.settled:
                found.in_force.append((one.settled - one.requested_at) / SECOND)
        return found

    # ---- clients ----

    def _ban(self) -> None:
        """Submits a random guarded change."""
        service, draw = self._service(), self.rng.random()
        key = ban_key(service, "10.0.0.1:80")
        if draw < 0.4:
            name = self.rng.choice(CLASSES)
            terms = ClassTerms(
                200_000_000,
                2 * SECOND,
                1.0,
                self.rng.choice(("pure", "side_effect")),
                position=CLASSES.index(name),
            )
            self.ask(Put(Key(Kind.CLASS, name), encode_body(terms)))
        elif self.tier.newest().get(key) is None:
            self.ask(Put(key, encode_body(Ban(service, "10.0.0.1:80", "day"))))
        else:
            self.ask(deletes=(key,))

    def ask(self, *puts: Put, deletes: tuple[Key, ...] = ()) -> int:
        """Submits a new transaction of a client; returns its ident."""
        self.tier.next_ident += 1
        ident = self.tier.next_ident
        self.asked[ident] = ClientTransaction(Transaction(ident, "client", puts, deletes), self.network.now)
        self._attempt(ident)
        return ident

    def _attempt(self, ident: int) -> None:
        one, store = self.asked[ident], self.tier.newest()
        outcome = store.outcome(ident)
        if outcome is not None:
            one.end = outcome.phase
            if outcome.phase is Phase.COMMITTED:
                one.version = outcome.version
                one.committed_at = self.checker.reference.committed_at.get(outcome.version, self.network.now)
                self._check_in_force(ident)
            return
        leader = self.tier.leader()
        if leader is not None:
            coordination = leader.core.machine.coordination
            refused = coordination.coordinator.queue.refused.get(ident)
            if refused is not None:
                one.end = Phase.REFUSED
                return
            if ident not in store.pending:
                coordination.submit(one.transaction)
                self.network.carry(leader, leader.core.after(self.network.clock(leader), []))
        self.network.after(CLIENT_RETRY_SECONDS, self._attempt, ident)

    def _check_in_force(self, ident: int) -> None:
        """Repeats until every subscriber that holds a lease shows the version."""
        one = self.asked[ident]
        behind = [
            host
            for host in self.tier.subscribers
            if host.alive
            and host.core.state.version < one.version
            and host.core.lease_left(self.network.clock(host)) > 0
        ]
        if behind:
            self.network.after(0.05, self._check_in_force, ident)
        else:
            one.settled = self.network.now


def run_led_seed(seed: object, options: TierOptions = LED) -> Report:
    """Executes the run of a seed."""
    return LedDay(seed, options).run()

"""Drawn days of the control tier in which its own coordinators lead guarded changes, under all faults.

Beside the promises of checker.py:

 8. When a guarded transaction is committed, and ever after, nobody holds a lease on a version before its
    joint phase.
 9. Every transaction that somebody goes on asking for comes to its end.

A client asks whoever leads, again and again, until the store has decided its transaction, as a client would.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from dykeshift.configuration.campaign import SMALL, Day, Report
from dykeshift.configuration.checker import Checker, Truth
from dykeshift.configuration.coordinator import CoordinatorOptions
from dykeshift.configuration.resources import Ban, ClassTerms, Key, Kind, ban_key, encode_body
from dykeshift.configuration.tier import Tier, TierOptions
from dykeshift.configuration.transactions import Phase, Put, Transaction
from dykeshift.configuration.virtual import SECOND, Host

DECIDED_WITHIN = 12.0  # seconds after all is mended and everybody is back
ASK_AGAIN = 0.7  # seconds between two attempts of a client
CLASSES = ("interactive", "batch", "background")
LED = replace(SMALL, coordinator=CoordinatorOptions())


@dataclass(slots=True)
class Asked:
    """One transaction of a client. Times are true ones, in nanoseconds; 0: not yet."""

    transaction: Transaction
    since: int
    committed: int = 0
    version: int = 0
    settled: int = 0  # everybody who holds a lease shows it
    end: Phase | None = None


class JointTruth(Truth):
    """The truth, with the joint phases whose commits have been seen."""

    floor = 0  # nobody may act on an older version

    def apply(self, now: int, version: int, body: bytes) -> None:
        """An entry is committed for the first time."""
        joint = {i: one.since for i, one in self.store.pending.items() if one.phase is Phase.JOINT}
        super().apply(now, version, body)
        for ident, since in joint.items():
            outcome = self.store.outcome(ident)
            if outcome is not None and outcome.phase is Phase.COMMITTED:
                self.floor = max(self.floor, since)


class JointChecker(Checker):
    """The promises of the tier, and those of joint phases."""

    truth: JointTruth

    def __init__(self, tier: Tier) -> None:
        super().__init__(tier)
        self.truth = JointTruth(list(set(tier.scopes.values())))

    def _learn(self, host: Host) -> None:
        floor = self.truth.floor
        super()._learn(host)
        if self.truth.floor > floor:
            for subscriber in self.tier.subscribers:
                if subscriber.alive:
                    self._check_lease(subscriber)

    def _check_lease(self, host: Host) -> None:
        super()._check_lease(host)
        version, floor = host.core.state.version, self.truth.floor
        if version < floor and host.core.lease_left(self.network.clock(host)):
            self._say(
                f"{host.name} holds a lease at {version}, before the joint phase at {floor} that is over"
            )


@dataclass(slots=True)
class Latencies:
    """Seconds from a client's first attempt until committed, and until everybody with a lease shows it."""

    committed: list[float] = field(default_factory=list)
    in_force: list[float] = field(default_factory=list)


class LedDay(Day):
    """A drawn day whose guarded changes are led by the tier."""

    def __init__(self, seed: object, options: TierOptions = LED) -> None:
        super().__init__(seed, options)
        self.checker = JointChecker(self.tier)
        self.asked: dict[int, Asked] = {}

    def play(self) -> Report:
        """The whole day."""
        report = super().play()
        self.network.run(DECIDED_WITHIN, self.decided)
        broken = list(self.checker.broken)
        if not self.decided():
            unfinished = [ident for ident, one in self.asked.items() if one.end is None]
            broken.append(f"not decided: {unfinished}, under way: {list(self.tier.newest().pending)}")
        return replace(report, broken=tuple(broken))

    def decided(self) -> bool:
        """Whether all that was asked for has come to its end."""
        return all(one.end is not None for one in self.asked.values()) and not self.tier.newest().pending

    def latencies(self) -> Latencies:
        """Of all that was committed."""
        found = Latencies()
        for one in self.asked.values():
            if one.committed:
                found.committed.append((one.committed - one.since) / SECOND)
            if one.settled:
                found.in_force.append((one.settled - one.since) / SECOND)
        return found

    # ---- clients ----

    def _ban(self) -> None:
        """A guarded change of some sort."""
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
        """A transaction that a client wants; its ident."""
        self.tier.next_ident += 1
        ident = self.tier.next_ident
        self.asked[ident] = Asked(Transaction(ident, "client", puts, deletes), self.network.now)
        self._attempt(ident)
        return ident

    def _attempt(self, ident: int) -> None:
        one, store = self.asked[ident], self.tier.newest()
        outcome = store.outcome(ident)
        if outcome is not None:
            one.end = outcome.phase
            if outcome.phase is Phase.COMMITTED:
                one.version = outcome.version
                one.committed = self.checker.truth.committed_at.get(outcome.version, self.network.now)
                self._look(ident)
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
        self.network.after(ASK_AGAIN, self._attempt, ident)

    def _look(self, ident: int) -> None:
        """Until everybody who holds a lease shows it."""
        one = self.asked[ident]
        behind = [
            host
            for host in self.tier.subscribers
            if host.alive
            and host.core.state.version < one.version
            and host.core.lease_left(self.network.clock(host)) > 0
        ]
        if behind:
            self.network.after(0.05, self._look, ident)
        else:
            one.settled = self.network.now


def play_led(seed: object, options: TierOptions = LED) -> Report:
    """The day of a seed."""
    return LedDay(seed, options).play()

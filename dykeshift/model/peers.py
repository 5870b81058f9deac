"""Policies to compare with, behind the decision module's interface, each from its published description.

They share no code with the decision module. Each keeps the rules on repeats (a request is sent again only
where nothing ran, or it is safe), so that they differ in where they send, when they copy and what they turn
away, and in nothing else. None knows of cold budgets but where its description has a slow start.

| name | source |
| --- | --- |
| random | the plain baseline |
| round-robin | nginx's default; Envoy's ROUND_ROBIN |
| least-connections | HAProxy's leastconn: fewest of its own attempts out, ties at random |
| two-choices | Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001 |
| redundancy | Redundancy-d: a copy at each of d, the first answer cancels the others (Gardner et al. 2017) |
| threshold | THRESHOLD-n of "A Better Model for Job Redundancy", VIII: copies at those of d with at most n |
| riq | the paper's Redundant-to-Idle-Queue, pure, by own counts |
| hedged | Dean and Barroso, "The Tail at Scale", 2013: a second copy after the 95th percentile |
| prequal | Wydrowski et al., "Load is not what you should balance", NSDI 2024, without its probes: hot and
  cold by a quantile of requests in flight as reports tell, the quickest cold one of two, else the least hot |
| ejecting | Envoy's outlier detection over least request: five failures in a row eject for 30 s times the
  number of ejections, at most a tenth of the fleet (at least one) |
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from dykeshift.model.decider import Maker
from dykeshift.interface import (
    NOT_RUN,
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    Idempotency,
    ListKind,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
)

D = 2  # servers asked by the policies that sample: what their papers recommend
RIQ_D = 5


@dataclass(slots=True, eq=False)
class Member:
    """A listed server as a policy sees it; times in nanoseconds."""

    entry: ServerEntry
    out: int = 0
    latency: float = 0.0  # running mean, nanoseconds
    reported: float = 0.0  # requests in flight, as its last report tells
    failures: int = 0  # in a row
    ejections: int = 0
    ejected_until: int = 0


@dataclass(slots=True, eq=False)
class Case:
    """An open request and its attempts, in the order in which they were sent."""

    request: Request
    klass: RequestClass
    sent: list[Member] = field(default_factory=list)
    ends: list[Outcome | None] = field(default_factory=list)
    closed: bool = False

    def may_have_run(self) -> bool:
        """Whether any attempt may have been executed, so that a repeat is not harmless."""
        return any(end not in NOT_RUN for end in self.ends)


class Peer:
    """What all have in common: the list, the books, retries within the rules. `choose` is each one's own."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.members: dict[int, Member] = {}
        self.ready: list[Member] = []
        self.cases: dict[str, Case] = {}

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """Where to send, one or several copies, of those that the request was not at yet."""
        raise NotImplementedError

    # ---- events ----

    def on_start(self, now: int) -> list[Action]:
        """Nothing to do."""
        return []

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        """Keep the members in step with the list; a server that was started anew begins without history."""
        if update.kind not in (ListKind.DELTA, ListKind.FAILED):
            listed = {e.id for e in update.entries}
            self.members = {n: m for n, m in self.members.items() if n in listed}
        for entry in update.entries:
            known = self.members.get(entry.id)
            if entry.state is ServerState.GONE:
                self.members.pop(entry.id, None)
            elif known is None or entry.started > known.entry.started:
                self.members[entry.id] = Member(entry)
            else:
                known.entry = entry
        self.ready = [m for m in self.members.values() if m.entry.state is ServerState.READY]
        return []

    def on_request(self, now: int, request: Request) -> list[Action]:
        """Open a case and place its first attempts."""
        case = self.cases[request.id] = Case(request, self.settings.classes[request.klass])
        return self._place(now, case)

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        """Learn from the attempt, then close the case, or try again once all its attempts are over."""
        case = self.cases.get(end.request_id)
        if case is None or case.ends[end.attempt] is not None:
            return []
        case.ends[end.attempt] = end.outcome
        member = case.sent[end.attempt]
        member.out -= 1
        self.learn(now, member, end)
        acts: list[Action] = []
        if end.final and not case.closed:
            acts = self._close(case, end.attempt)
        elif not case.closed and None not in case.ends:
            acts = self._place(now, case)
        self._forget(case)
        return acts

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        """Cancel what is out for a client that left."""
        case = self.cases.get(request_id)
        acts = [] if case is None or case.closed else self._close(case, -1)
        if case is not None:
            self._forget(case)
        return acts

    def on_timer(self, now: int, token: str) -> list[Action]:
        """No timers unless a policy sets some."""
        return []

    def learn(self, now: int, member: Member, end: AttemptEnd) -> None:
        """Update what is known of a member from an attempt's end; latencies in nanoseconds."""
        if end.outcome is Outcome.OK:
            member.latency += 0.1 * (end.latency - member.latency)
        if end.report is not None and end.report.in_flight is not None:
            member.reported = end.report.in_flight

    # ---- sending ----

    def _place(self, now: int, case: Case) -> list[Action]:
        safe = case.klass.idempotency is Idempotency.SAFE
        over = len(case.sent) >= self.settings.attempt_limit or now >= case.request.deadline
        if over or case.may_have_run() and not safe:
            return self._give_up(case)
        others = [m for m in self.ready if m not in case.sent] if case.sent else self.ready
        chosen = self.choose(now, case, others) if others else []
        if not chosen:
            return self._give_up(case)
        if not (safe and self.settings.copies_allowed):
            chosen = chosen[:1]
        return [self.send(case, m) for m in chosen[: self.settings.attempt_limit - len(case.sent)]]

    def send(self, case: Case, member: Member) -> Action:
        """Send an attempt to a member and count it there."""
        case.sent.append(member)
        case.ends.append(None)
        member.out += 1
        return Send(case.request.id, member.entry.id, 0)

    def _give_up(self, case: Case) -> list[Action]:
        harmless = case.klass.idempotency is Idempotency.SAFE or not case.may_have_run()
        rid = case.request.id
        acts: list[Action] = [Refuse(rid) if harmless else Fail(rid)]
        acts += self._close(case, -1)
        self._forget(case)
        return acts

    def _close(self, case: Case, keep: int) -> list[Action]:
        case.closed = True
        return [
            Cancel(case.request.id, n)
            for n, end in enumerate(case.ends)
            if end is None and n != keep and self.settings.cancel_allowed
        ]

    def _forget(self, case: Case) -> None:
        if case.closed and None not in case.ends:
            self.cases.pop(case.request.id, None)

    def sample(self, members: list[Member], count: int) -> list[Member]:
        """Up to `count` distinct members, drawn at random."""
        return self.random.sample(members, min(count, len(members)))


class RandomChoice(Peer):
    """One server, uniformly at random."""

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        return [others[int(self.random.random() * len(others))]]


class RoundRobin(Peer):
    """The servers in turn."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.turn = self.random.randrange(1 << 20)  # balancers don't begin at the same place

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        self.turn += 1
        return [others[self.turn % len(others)]]


class LeastConnections(Peer):
    """The server with the fewest attempts of this balancer; ties at random."""

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        least = min(m.out for m in others)
        return [self.random.choice([m for m in others if m.out == least])]


class TwoChoices(Peer):
    """Of `D` servers drawn at random, the one with the fewest attempts of this balancer."""

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        return [min(self.sample(others, D), key=lambda m: m.out)]


class Redundancy(Peer):
    """A copy to each of `D` servers drawn at random; the first answer counts."""

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        return self.sample(others, D)


class Threshold(Peer):
    """Copies at those sampled that have at most `LEVEL` of ours; where none has, at one of them."""

    LEVEL = 1
    ASKED = RIQ_D

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        asked = self.sample(others, self.ASKED)
        return [m for m in asked if m.out <= self.LEVEL] or asked[:1]


class Riq(Threshold):
    """A copy to each idle server among those asked, else one to the first of them."""

    LEVEL = 0


class Hedged(TwoChoices):
    """Two choices, and a second copy once the class's 95th percentile latency has passed."""

    QUANTILE = 0.95
    KEPT = 500

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.seen = [deque[int](maxlen=self.KEPT) for _ in settings.classes]
        self.after = [c.aim / 2 for c in settings.classes]
        self.counted = 0

    def on_request(self, now: int, request: Request) -> list[Action]:
        """Place the first attempt and set the timer of the second, where a repeat is safe."""
        acts = super().on_request(now, request)
        if self.settings.classes[request.klass].idempotency is Idempotency.SAFE and request.id in self.cases:
            acts.append(SetTimer("h:" + request.id, now + int(self.after[request.klass])))
        return acts

    def on_timer(self, now: int, token: str) -> list[Action]:
        """Send the second copy, unless the case is over or has had one."""
        case = self.cases.get(token[2:])
        if case is None or case.closed or len(case.sent) != 1 or not self.settings.copies_allowed:
            return []
        others = [m for m in self.ready if m not in case.sent]
        return [self.send(case, m) for m in self.choose(now, case, others)] if others else []

    def learn(self, now: int, member: Member, end: AttemptEnd) -> None:
        """Keep the latest latencies of the class; the percentile is taken anew every 50 answers."""
        super().learn(now, member, end)
        case = self.cases[end.request_id]
        if end.outcome is Outcome.OK:
            seen = self.seen[case.request.klass]
            seen.append(end.latency)
            self.counted += 1
            if self.counted % 50 == 0:
                self.after[case.request.klass] = sorted(seen)[int(self.QUANTILE * len(seen))]


class Prequal(Peer):
    """Hot is who reports more in flight than the quantile of what all lately reported."""

    QUANTILE = 0.84
    KEPT = 128

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.seen = deque[float](maxlen=self.KEPT)
        self.limit = 0.0

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        asked = self.sample(others, D)
        cold = [m for m in asked if m.reported + m.out <= self.limit]
        if cold:
            return [min(cold, key=lambda m: m.latency)]
        return [min(asked, key=lambda m: m.reported + m.out)]

    def learn(self, now: int, member: Member, end: AttemptEnd) -> None:
        """Keep the latest loads; the limit between cold and hot is a quantile of them."""
        super().learn(now, member, end)
        self.seen.append(member.reported + member.out)
        self.limit = sorted(self.seen)[int(self.QUANTILE * len(self.seen))]


class Ejecting(TwoChoices):
    """Two choices among servers that are not ejected for failures in a row."""

    IN_A_ROW = 5
    BASE = 30_000_000_000
    MOST_PART = 0.1

    def choose(self, now: int, case: Case, others: list[Member]) -> list[Member]:
        """See `Peer.choose`."""
        asked = [m for m in self.sample(others, 2 * D) if now >= m.ejected_until][:D]
        if not asked:
            asked = [m for m in others if now >= m.ejected_until][:D] or self.sample(others, D)
        return [min(asked, key=lambda m: m.out)]

    def learn(self, now: int, member: Member, end: AttemptEnd) -> None:
        """Eject a member after `IN_A_ROW` failures, longer each time; never more than `MOST_PART` of all."""
        super().learn(now, member, end)
        if end.outcome is Outcome.OK:
            member.failures = 0
        elif end.outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            member.failures += 1
            out = sum(now < m.ejected_until for m in self.ready) if member.failures >= self.IN_A_ROW else 0
            if member.failures >= self.IN_A_ROW and out < max(1, self.MOST_PART * len(self.ready)):
                member.failures = 0
                member.ejections += 1
                member.ejected_until = now + self.BASE * member.ejections


PEERS: dict[str, Maker] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-connections": LeastConnections,
    "two-choices": TwoChoices,
    "redundancy": Redundancy,
    "threshold": Threshold,
    "riq": Riq,
    "hedged": Hedged,
    "prequal": Prequal,
    "ejecting": Ejecting,
}

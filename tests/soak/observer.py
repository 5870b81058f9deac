"""What clients, senders and discovery of a soak see, told to the rules that the simulation holds.

Nothing here judges a request: facts go to `sim.referee.Referee` with their time. Real time allows no look
between two events, so the referee is given slacks for a busy machine, named below.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter, deque
from typing import Any

from dykeshift.rig.tally import Tally
from dykeshift.sim import referee as rules
from dykeshift.sim.referee import MS, Referee, Terms
from dykeshift.standins.client import Address, Errand
from dykeshift.standins.messages import Message
from dykeshift.standins.registry import Call, Instance, Registry
from dykeshift.standins.sender import STREAM_PIECE, STREAM_PIECES, Link, Sender

S = 1_000 * MS
SCHEDULING = 200 * MS  # by which this process may see or do something too late on a busy machine
READING = 40 * MS  # from a balancer's write until a sender here has read it, on a machine that is not busy
LATELY = S  # so far back lateness counts
BEAT = 0.01  # seconds between two looks at how late this process is
LATE = 500 * MS  # after its time: until then an answer only earns nothing
NEVER = 1 << 62
RECOVERY = 1_500 * MS  # from the end of trouble with senders until tries count for the floor of service
FLOOR, CLASS_FLOOR, FEW = 0.85, 0.75, 30  # shares of tries that must be served, where there are not too few
SERVICE = "service"  # rule: a floor of what is served
PROCESS = "process"  # rule: a process ends when it is told to, and logs no fault of its own
UNREAD = "closed-unread"  # rule: a new connection that was accepted is not closed with its request unanswered


class ObservedLink(Link):
    """A balancer's connection to a sender, whose requests the observer can place."""

    numbers = itertools.count(1)

    def __init__(self, sender: Sender) -> None:
        super().__init__(sender)
        self.number = next(self.numbers)
        self.began = 0  # when the first byte of the latest request came, in nanoseconds
        self.request_id = ""

    def data_received(self, data: bytes) -> None:
        """Let the observer know on which connection a request comes."""
        observer = self.sender.witness
        assert isinstance(observer, Observer)
        if self.messages.idle():
            self.began = time.monotonic_ns()
        observer.link = self
        super().data_received(data)

    def abort(self) -> None:
        """Reset the connection; a long answer on it is spoilt by its sender, then."""
        observer = self.sender.witness
        assert isinstance(observer, Observer)
        if self.open_requests:
            observer.spoilt.add(self.request_id)
        super().abort()


class ObservedRegistry(Registry):
    """Discovery whose changes the observer hears of."""

    observer: Observer

    def put(self, instance: Instance) -> None:
        """See `Registry.put`."""
        self.observer.referee.shown(time.monotonic_ns(), instance.id, instance.lifecycle == "active")
        super().put(instance)


class NamedCall(Call):
    """A call of a balancer that is known by the address it came to."""

    def __init__(self, registry: Registry, balancer: str) -> None:
        super().__init__(registry)
        self.balancer = balancer


class Observer(Tally):
    """Account of clients, witness of senders and of discovery."""

    def __init__(self) -> None:
        super().__init__()
        terms = Terms(answer_slack=LATE + SCHEDULING)
        self.referee = Referee(terms, self.excuse, reached=self.reached, unseen=self.unseen)
        self.lags: deque[tuple[int, int]] = deque()  # when, and by how much this process was late
        self.delays: dict[str, deque[tuple[int, int]]] = {}  # by balancer: when, and for how long it was kept
        self.link: ObservedLink | None = None  # that a sender reads from just now
        self.spoilt: set[str] = set()  # requests whose long answer its sender broke off
        self.killed: dict[str, list[int]] = {}  # by balancer: when a kill out of the blue was ordered
        self.terminated: dict[str, int] = {}  # by balancer: when it was last told to end
        self.cut_off_until = 0  # nobody hears discovery until then
        self.deaf: dict[str, int] = {}  # by balancer: since when it may hear discovery; NEVER while it cannot
        self.counted: set[str] = set()  # tries that count for the floor of service
        self.troubled_until = 0  # when the last trouble of senders ended
        self.asked: Counter[str] = Counter()  # of those tries, by class
        self.served: Counter[str] = Counter()

    def broken_by_rule(self, rule: str, text: str) -> None:
        """Note a breach of a rule that is the soak's own."""
        self.referee.breach(rule, time.monotonic_ns(), text)

    def breaches(self) -> tuple[str, ...]:
        """All broken rules, a line each that begins with the rule's name."""
        return tuple(f"{one.rule}: {one.text}" for one in self.referee.breaches)

    # ---- what excuses ----

    def died(self, balancer: str, now: float) -> None:
        """A balancer was killed out of the blue: its requests may be cut off."""
        self.killed.setdefault(balancer, []).append(int(now * 1e9))

    def excuse(self, balancer: str, sent: int, since: int, until: int) -> bool:
        """See `Referee`: only a kill out of the blue excuses, no end that was ordered."""
        return any(sent - SCHEDULING <= at <= until for at in self.killed.get(balancer, ()))

    def reached(self, balancer: str) -> int:
        """Since when a balancer could have asked discovery at any instant."""
        return max(self.cut_off_until, self.deaf.get(balancer, NEVER))

    # ---- how late things may be seen ----

    def unseen(self, balancer: str) -> int:
        """See `Referee`: how late this process was of late, and what kept the balancer from its work."""
        now = time.monotonic_ns()
        kept = self.delays.get(balancer, deque())
        for known in (self.lags, kept):
            while known and known[0][0] < now - LATELY:
                known.popleft()
        lag = max((late for _, late in self.lags), default=0)
        return READING + lag + sum(length for _, length in kept)

    def held_up(self, balancer: str, seconds: float) -> None:
        """A balancer is kept from its work for so long: by an ordered standstill, or by a busy machine."""
        now = time.monotonic_ns()
        self.delays.setdefault(balancer, deque()).append((now + int(seconds * S), int(seconds * S)))

    async def watch_itself(self) -> None:
        """Note how late this process is, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + BEAT
            await asyncio.sleep(BEAT)
            late = time.monotonic_ns() - int(due * S)
            if late > READING // 4:
                self.lags.append((time.monotonic_ns(), late))

    # ---- clients ----

    def sent(self, errand: Errand, rid: str, to: Address) -> None:
        """See `Account.sent`."""
        now = time.monotonic_ns()
        deadline = now + int(errand.deadline * 1e9)
        usual = errand.leaves is None and not errand.pause and errand.to is None
        if usual and now > self.troubled_until + RECOVERY:
            self.counted.add(rid)
        self.referee.asked(now, rid, errand.name, errand.kind, self.names[to], deadline)

    def answered(self, errand: Errand, rid: str, to: Address, answer: Message) -> None:
        """See `Account.answered`."""
        kind = "served" if answer.status == 200 else "refused" if answer.status in (429, 503) else "failed"
        self.answers[kind] += 1
        self._count(errand, rid, kind == "served")
        self.referee.answered(
            time.monotonic_ns(), rid, answer.status, without_filling(answer.body).decode("latin-1")
        )

    def broken(self, errand: Errand, rid: str, to: Address, begun: bool) -> None:
        """See `Account.broken`."""
        self.answers["cut off"] += 1
        self._count(errand, rid, False)
        self.referee.broken(time.monotonic_ns(), rid, False, begun and rid in self.spoilt)

    def left(self, errand: Errand, rid: str, to: Address) -> None:
        """See `Account.left`."""
        self.answers["left"] += 1
        self.referee.gone(time.monotonic_ns(), rid)

    def unserved(self, errand: Errand, rid: str, to: Address) -> None:
        """A new connection on which was asked at once ended with no byte of an answer."""
        now = time.monotonic_ns()
        entry = self.referee.entries[rid]
        if not errand.pause and not self.excuse(self.names[to], entry.sent, entry.sent, now):
            since = (now - self.terminated.get(self.names[to], now)) / S
            self.broken_by_rule(
                UNREAD,
                f"{rid} is on a new connection to {self.names[to]} that ended with no answer, "
                f"{since:.3f} s after its SIGTERM",
            )

    def extra(self, to: Address, data: bytes) -> None:
        """See `Account.extra`."""
        self.referee.extra(time.monotonic_ns(), self.names[to], data)

    def _count(self, errand: Errand, rid: str, served: bool) -> None:
        if rid in self.counted:
            self.asked[errand.klass] += 1
            self.served[errand.klass] += served

    # ---- senders ----

    def arrived(self, sender: Sender, request: Message) -> None:
        """See `Witness.arrived`."""
        link, now = self.link, time.monotonic_ns()
        assert link is not None
        rid = link.request_id = request.headers["x-request-id"]
        entry = self.referee.entries.get(rid)
        balancer = entry.balancer if entry is not None else ""
        self.referee.begun(link.began, balancer, sender.name, rid)
        self.referee.first_byte(link.began, balancer, sender.name, rid)
        self.referee.deadline_told(now, rid, int(request.headers["x-deadline-ms"]) * MS)
        cost = float(request.query("cost") or 0)
        self.referee.written(now, rid, balancer, sender.name, sender.cell, link.number, cost)

    def ran(self, sender: Sender, request: Message, repeat: bool) -> None:
        """See `Witness.ran`."""
        errand, rid = request.query("errand"), request.headers["x-request-id"]
        self.referee.ran(time.monotonic_ns(), rid, errand, sender.name, repeat)

    def turned_away(self, sender: Sender, request: Message) -> None:
        """See `Witness.turned_away`."""
        assert self.link is not None
        self.referee.disproved(self.link.number, request.headers["x-request-id"])

    def fell(self, sender: Sender) -> None:
        """See `Witness.fell`."""
        self.referee.fell(time.monotonic_ns(), sender.name)

    # ---- discovery ----

    def told(self, call: Call, generation: int, whole: bool, entries: list[Instance]) -> None:
        """Discovery has written a list to a balancer: it counts as told, unless its calls fail just now."""
        assert isinstance(call, NamedCall)
        now, balancer = time.monotonic_ns(), call.balancer
        if self.deaf.get(balancer, NEVER) == NEVER:
            return
        for one in entries:
            active = one.lifecycle == "active"
            self.referee.told(now, balancer, one.id, active, one.started_ms > 0)
        if whole:
            self.referee.told_whole(now, balancer, {one.id for one in entries})

    def reborn(self, balancer: str, known: dict[str, Any]) -> None:
        """A new process, which was given this list as it started."""
        self.referee.reborn(balancer)
        now = time.monotonic_ns()
        for row in known["instances"]:
            started = row["startedAtMs"] > 0
            self.referee.told(now, balancer, row["instanceId"], row["lifecycle"] == "active", started)

    def _judge_floor(self, what: str, asked: int, served: int, floor: float) -> None:
        if served < floor * asked:
            self.broken_by_rule(SERVICE, f"{what}: {served} of {asked} are served, {floor:.0%} are wanted")

    def judge_service(self) -> None:
        """Hold what is served while no sender is in trouble against floors: of all, and of each class."""
        if self.asked.total() >= FEW:
            self._judge_floor("all classes", self.asked.total(), self.served.total(), FLOOR)
        for klass, asked in sorted(self.asked.items()):
            if asked >= FEW:
                self._judge_floor(klass, asked, self.served[klass], CLASS_FLOOR)


def without_filling(body: bytes) -> bytes:
    """The line of a long answer that its sender made for the request, where all of the rest has come."""
    line, _, rest = body.partition(b"\n")
    return line if rest in (b"", b"." * STREAM_PIECE * STREAM_PIECES) else body


RULES = (*rules.RULES, SERVICE, PROCESS, UNREAD)

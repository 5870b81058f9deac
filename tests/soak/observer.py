"""Reports what clients, senders and discovery observe in a soak run to the checker of the simulation.

Nothing here judges a single request: each event is passed with its time to `sim.referee.Referee`. In real
time events are observed with a delay, so the checker is given the tolerances below for a busy machine.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from dykeshift.rig.tally import Tally
from dykeshift.sim import referee as rules
from dykeshift.sim.referee import MS, Referee, Terms
from dykeshift.standins.client import Address, Errand
from dykeshift.standins.messages import Message
from dykeshift.standins.registry import Call, Instance, Registry
from dykeshift.standins.sender import Link, Sender, without_padding

S = 1_000 * MS
SCHEDULING_SLACK = 200 * MS  # delay with which this process may see or do something on a busy machine
READ_SLACK = 40 * MS  # from a balancer's write until a sender here has read it, on an idle machine
LAG_WINDOW = S  # delays older than this no longer count
LAG_CHECK_INTERVAL_S = 0.01  # between two measurements of how late this process runs
LATE_ANSWER_SLACK = 500 * MS  # past its deadline: an answer within it is worthless, but breaks no rule
NEVER = 1 << 62
RECOVERY = 1_500 * MS  # from the end of sender faults until tries count towards the served share
MIN_SERVED_SHARE, MIN_CLASS_SERVED_SHARE, MIN_TRIES = 0.85, 0.75, 30  # checked from MIN_TRIES tries on
SERVICE = "service"  # rule: a minimum share of tries is served
PROCESS = "process"  # rule: a process exits with 0 when terminated, and logs no internal error
UNREAD = "closed-unread"  # rule: an accepted new connection is not closed without answering its request


class ObservedLink(Link):
    """A balancer's connection to a sender; lets the observer match requests to connections."""

    numbers = itertools.count(1)

    def __init__(self, sender: Sender) -> None:
        super().__init__(sender)
        self.number = next(self.numbers)
        self.first_byte_at = 0  # arrival of the latest request's first byte, monotonic nanoseconds
        self.request_id = ""

    def data_received(self, data: bytes) -> None:
        """Tell the observer on which connection the next request arrives."""
        observer = self.sender.witness
        assert isinstance(observer, Observer)
        if self.messages.idle():
            self.first_byte_at = time.monotonic_ns()
        observer.current_link = self
        super().data_received(data)

    def abort(self) -> None:
        """Reset the connection; an answer in progress counts as aborted by its sender."""
        observer = self.sender.witness
        assert isinstance(observer, Observer)
        if self.open_requests:
            observer.aborted_streams.add(self.request_id)
        super().abort()


class ObservedRegistry(Registry):
    """Discovery that reports its changes to the observer."""

    observer: Observer

    def put(self, instance: Instance) -> None:
        """See `Registry.put`."""
        self.observer.referee.shown(time.monotonic_ns(), instance.id, instance.lifecycle == "active")
        super().put(instance)


class NamedCall(Call):
    """A discovery call of a balancer, which is identified by the address it connected to."""

    def __init__(self, registry: Registry, balancer: str) -> None:
        super().__init__(registry)
        self.balancer = balancer


class Observer(Tally):
    """Receives the events of clients, senders and discovery and passes them to the checker."""

    def __init__(self) -> None:
        super().__init__()
        terms = Terms(answer_slack=LATE_ANSWER_SLACK + SCHEDULING_SLACK)
        self.referee = Referee(
            terms, self.excused_by_kill, reached=self.discovery_reachable_since, unseen=self.observation_slack
        )
        self.own_lags: deque[tuple[int, int]] = deque()  # (when, how late this process ran)
        # By balancer: (until when, for how long it could not run).
        self.balancer_delays: dict[str, deque[tuple[int, int]]] = {}
        self.current_link: ObservedLink | None = None  # the connection being read by a sender
        self.aborted_streams: set[str] = set()  # ids of requests whose streamed answer the sender aborted
        self.killed_at: dict[str, list[int]] = {}  # by balancer: times of SIGKILLs without a SIGTERM before
        self.terminated_at: dict[str, int] = {}  # by balancer: time of its latest SIGTERM
        self.discovery_down_until = 0  # no balancer can reach discovery before; NEVER during a fault
        # By balancer: since when it can reach discovery; NEVER while it cannot.
        self.reachable_since: dict[str, int] = {}
        self.counted_tries: set[str] = set()  # ids of tries that count towards the served share
        self.senders_disturbed_until = 0  # end of the latest sender fault
        self.tries_by_class: Counter[str] = Counter()  # finished counted tries
        self.served_by_class: Counter[str] = Counter()
        self.on_left: Callable[[Errand, Address], None] = lambda errand, to: None

    def add_breach(self, rule: str, text: str) -> None:
        """Record a breach of a rule that only the soak checks."""
        self.referee.breach(rule, time.monotonic_ns(), text)

    def breaches(self) -> tuple[str, ...]:
        """Return all breaches, one line each, starting with the name of the rule."""
        return tuple(f"{one.rule}: {one.text}" for one in self.referee.breaches)

    # ---- permitted exceptions ----

    def died(self, balancer: str, now: float) -> None:
        """Record a SIGKILL without SIGTERM: the requests in flight may be lost."""
        self.killed_at.setdefault(balancer, []).append(int(now * 1e9))

    def excused_by_kill(self, balancer: str, sent: int, since: int, until: int) -> bool:
        """See `Referee`: only a SIGKILL without SIGTERM excuses a lost request, a SIGTERM doesn't."""
        return any(sent - SCHEDULING_SLACK <= at <= until for at in self.killed_at.get(balancer, ()))

    def discovery_reachable_since(self, balancer: str) -> int:
        """Return since when a balancer has been able to reach discovery without interruption."""
        return max(self.discovery_down_until, self.reachable_since.get(balancer, NEVER))

    # ---- observation delays ----

    def observation_slack(self, balancer: str) -> int:
        """See `Referee`: recent delays of this process, plus the time the balancer could not run."""
        now = time.monotonic_ns()
        delays = self.balancer_delays.get(balancer, deque())
        for recent in (self.own_lags, delays):
            while recent and recent[0][0] < now - LAG_WINDOW:
                recent.popleft()
        lag = max((late for _, late in self.own_lags), default=0)
        return READ_SLACK + lag + sum(length for _, length in delays)

    def add_delay(self, balancer: str, seconds: float) -> None:
        """Record that a balancer cannot run for this long: by an injected pause, or on a busy machine."""
        now = time.monotonic_ns()
        self.balancer_delays.setdefault(balancer, deque()).append((now + int(seconds * S), int(seconds * S)))

    async def watch_own_lag(self) -> None:
        """Record how late this process runs, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            late = time.monotonic_ns() - int(due * S)
            if late > READ_SLACK // 4:
                self.own_lags.append((time.monotonic_ns(), late))

    # ---- clients ----

    def sent(self, errand: Errand, rid: str, to: Address) -> None:
        """See `Account.sent`."""
        now = time.monotonic_ns()
        deadline = now + int(errand.deadline * 1e9)
        ordinary = errand.leaves is None and not errand.pause and errand.to is None
        if ordinary and now > self.senders_disturbed_until + RECOVERY:
            self.counted_tries.add(rid)
        self.referee.asked(now, rid, errand.name, errand.kind, self.names[to], deadline)

    def answered(self, errand: Errand, rid: str, to: Address, answer: Message) -> None:
        """See `Account.answered`."""
        kind = "served" if answer.status == 200 else "refused" if answer.status in (429, 503) else "failed"
        self.answers[kind] += 1
        self._count_try(errand, rid, kind == "served")
        self.referee.answered(
            time.monotonic_ns(), rid, answer.status, without_padding(answer.body).decode("latin-1")
        )

    def broken(self, errand: Errand, rid: str, to: Address, begun: bool) -> None:
        """See `Account.broken`."""
        self.answers["cut off"] += 1
        self._count_try(errand, rid, False)
        self.referee.broken(time.monotonic_ns(), rid, False, begun and rid in self.aborted_streams)

    def left(self, errand: Errand, rid: str, to: Address) -> None:
        """See `Account.left`."""
        self.answers["left"] += 1
        self.referee.gone(time.monotonic_ns(), rid)
        self.on_left(errand, to)

    def closed_unread(self, errand: Errand, rid: str, to: Address) -> None:
        """Record a breach if a new connection was closed unanswered although its request was sent at once."""
        now = time.monotonic_ns()
        entry = self.referee.entries[rid]
        if not errand.pause and not self.excused_by_kill(self.names[to], entry.sent, entry.sent, now):
            told = self.terminated_at.get(self.names[to], now)
            lag = max((late for _, late in self.own_lags), default=0)
            self.add_breach(
                UNREAD,
                f"{rid}: new connection to {self.names[to]} closed without an answer "
                f"{(now - told) / S:.3f} s after its SIGTERM, the request written "
                f"{(entry.sent - told) / S:.3f} s after; this process was up to {lag / S:.3f} s late",
            )

    def extra(self, to: Address, data: bytes) -> None:
        """See `Account.extra`."""
        self.referee.extra(time.monotonic_ns(), self.names[to], data)

    def _count_try(self, errand: Errand, rid: str, served: bool) -> None:
        if rid in self.counted_tries:
            self.tries_by_class[errand.klass] += 1
            self.served_by_class[errand.klass] += served

    # ---- senders ----

    def arrived(self, sender: Sender, request: Message) -> None:
        """See `Witness.arrived`."""
        link, now = self.current_link, time.monotonic_ns()
        assert link is not None
        rid = link.request_id = request.headers["x-request-id"]
        entry = self.referee.entries.get(rid)
        balancer = entry.balancer if entry is not None else ""
        self.referee.begun(link.first_byte_at, balancer, sender.name, rid)
        self.referee.first_byte(link.first_byte_at, balancer, sender.name, rid)
        self.referee.deadline_told(now, rid, int(request.headers["x-deadline-ms"]) * MS)
        cost = float(request.query("cost") or 0)
        self.referee.written(now, rid, balancer, sender.name, sender.cell, link.number, cost)

    def ran(self, sender: Sender, request: Message, repeat: bool) -> None:
        """See `Witness.ran`."""
        errand, rid = request.query("errand"), request.headers["x-request-id"]
        self.referee.ran(time.monotonic_ns(), rid, errand, sender.name, repeat)

    def turned_away(self, sender: Sender, request: Message) -> None:
        """See `Witness.turned_away`."""
        assert self.current_link is not None
        self.referee.disproved(self.current_link.number, request.headers["x-request-id"])

    def fell(self, sender: Sender) -> None:
        """See `Witness.fell`."""
        self.referee.fell(time.monotonic_ns(), sender.name)

    # ---- discovery ----

    def list_written(self, call: Call, generation: int, whole: bool, entries: list[Instance]) -> None:
        """Report a list written to a balancer, unless its system calls are failing by fault injection."""
        assert isinstance(call, NamedCall)
        now, balancer = time.monotonic_ns(), call.balancer
        if self.reachable_since.get(balancer, NEVER) == NEVER:
            return
        for instance in entries:
            active = instance.lifecycle == "active"
            self.referee.told(now, balancer, instance.id, active, instance.started_ms > 0)
        if whole:
            self.referee.told_whole(now, balancer, {instance.id for instance in entries})

    def balancer_restarted(self, balancer: str, known: dict[str, Any]) -> None:
        """Report that a balancer starts a new process with this cached list."""
        self.referee.reborn(balancer)
        now = time.monotonic_ns()
        for row in known["instances"]:
            started = row["startedAtMs"] > 0
            self.referee.told(now, balancer, row["instanceId"], row["lifecycle"] == "active", started)

    def _check_share(self, what: str, asked: int, served: int, floor: float) -> None:
        if served < floor * asked:
            self.add_breach(
                SERVICE, f"{what}: {served} of {asked} tries served, at least {floor:.0%} required"
            )

    def check_service(self) -> None:
        """Check the share of tries served outside sender faults: of all tries, and of each class."""
        if self.tries_by_class.total() >= MIN_TRIES:
            self._check_share(
                "all classes", self.tries_by_class.total(), self.served_by_class.total(), MIN_SERVED_SHARE
            )
        for klass, asked in sorted(self.tries_by_class.items()):
            if asked >= MIN_TRIES:
                self._check_share(klass, asked, self.served_by_class[klass], MIN_CLASS_SERVED_SHARE)


RULES = (*rules.RULES, SERVICE, PROCESS, UNREAD)

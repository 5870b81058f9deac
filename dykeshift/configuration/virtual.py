"""Control machines and subscribers on one virtual clock: datagrams that take time, are lost, doubled or cut
off; processes that die, stand still, come back; racks, zones and regions that fail as a whole.

Theory of operation. A queue of events by time. Each host has a clock of its own that runs a little faster or
slower. Whatever a core returns is sent through the network at once; after every step of a host, `after_step`
is called, where a checker holds the promises against the truth (checker.py).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from time import thread_time_ns
from typing import Any, Protocol

from dykeshift.configuration.replica import Out
from dykeshift.view.table import Address

MS = 1_000_000
SECOND = 1_000_000_000
EPOCH_MS = 1_750_000_000_000  # Unix milliseconds at which worlds begin
MOST_BACKLOG = 200  # datagrams that wait for a process that stands still


class Core(Protocol):
    """What a host runs."""

    next_at: int

    def start(self, now: int) -> Out:
        """Begin."""

    def on_timer(self, now: int) -> Out:
        """To be called at `next_at` or later."""

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Whatever arrived."""


@dataclass(frozen=True, slots=True)
class Location:
    """Where a host stands; each part names a group of hosts that fail together."""

    region: str
    zone: str
    rack: str
    machine: str


@dataclass(slots=True)
class Cost:
    """What a host has sent, received and used so far."""

    sent_bytes: int = 0
    sent_datagrams: int = 0
    received_bytes: int = 0
    received_datagrams: int = 0
    busy_ns: int = 0


@dataclass(eq=False)
class Host:
    """One process's place, through all its lives."""

    name: str
    address: Address
    location: Location
    make: Callable[[Host], Any]
    rate: float = 1.0  # of its clock
    offset: int = 0
    core: Any = None
    alive: bool = False
    stopped: bool = False
    lives: int = 0
    timer: int = 0  # the number of its pending timer
    cost: Cost = field(default_factory=Cost)
    backlog: list[tuple[bytes, Address]] = field(default_factory=list)

    @property
    def up(self) -> bool:
        """Whether it runs."""
        return self.alive and not self.stopped


@dataclass
class Conditions:
    """Of the network, for every datagram."""

    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0  # the share that takes up to `late_by` more
    late_by: int = 2 * SECOND


class Network:
    """Hosts, time and the network between them."""

    def __init__(self, seed: object) -> None:
        self.rng = Random(f"configuration/{seed}")
        self.now = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.counter = 0
        self.hosts: dict[Address, Host] = {}
        self.conditions = Conditions()
        self.cuts: set[tuple[str, str]] = set()  # groups or hosts by name: from, to
        self.after_step: Callable[[Host], None] = lambda host: None
        self.on_send: Callable[[Host, Host, bytes], None] = lambda source, target, data: None

    # ---- time ----

    def at(self, when: int, run: Callable[..., None], *arguments: Any) -> None:
        """Run at a time, or now if that is over."""
        self.counter += 1
        heapq.heappush(self.queue, (max(when, self.now), self.counter, run, arguments))

    def after(self, seconds: float, run: Callable[..., None], *arguments: Any) -> None:
        """Run in so many seconds."""
        self.at(self.now + int(seconds * SECOND), run, *arguments)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Whether `until` came true in that time; looked at ten times a second."""
        end, look_at = self.now + int(seconds * SECOND), self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, run, arguments = heapq.heappop(self.queue)
            run(*arguments)
            if until is not None and self.now >= look_at:
                look_at = self.now + SECOND // 10
                if until():
                    return True
        self.now = end
        return until is not None and until()

    def clock(self, host: Host) -> int:
        """A host's monotonic clock."""
        return int(self.now * host.rate) + host.offset

    # ---- processes ----

    def add(self, host: Host) -> Host:
        """A host that does not run yet."""
        self.hosts[host.address] = host
        return host

    def start(self, host: Host) -> None:
        """A new life."""
        if host.alive:
            return
        host.lives += 1
        host.alive, host.stopped = True, False
        host.core = host.make(host)
        self._step(host, host.core.start)

    def kill(self, host: Host) -> None:
        """The process is gone, with all that it had in memory."""
        host.alive = host.stopped = False
        host.backlog.clear()

    def stop(self, host: Host) -> None:
        """It stands still; its clock does not."""
        host.stopped = host.alive

    def resume(self, host: Host) -> None:
        """It goes on; timers or what came meanwhile go first, as it happens."""
        if not host.alive or not host.stopped:
            return
        host.stopped = False
        backlog, host.backlog = host.backlog, []
        if self.rng.random() < 0.5:
            self._on_timer(host, host.timer)
        for data, address in backlog:
            self._step(host, host.core.on_datagram, data, address)
        self._on_timer(host, host.timer)

    def carry(self, host: Host, out: Out) -> None:
        """What a host's core returned to somebody who called it from outside."""
        for data, address in out:
            self._send(host, data, address)
        host.timer += 1
        wait = (host.core.next_at - self.clock(host)) / host.rate
        self.at(self.now + max(0, int(wait)) + 1, self._on_timer, host, host.timer)
        self.after_step(host)

    def _step(self, host: Host, call: Callable[..., Out], *arguments: Any) -> None:
        now = self.clock(host)
        began = thread_time_ns()
        out = call(now, *arguments)
        host.cost.busy_ns += thread_time_ns() - began
        self.carry(host, out)

    def _on_timer(self, host: Host, timer: int) -> None:
        if host.up and timer == host.timer:
            self._step(host, host.core.on_timer)

    # ---- the network ----

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Nothing goes from one host or group to the other."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def mend(self) -> None:
        """The network whole and clear, everybody at work."""
        self.cuts.clear()
        self.conditions = Conditions()
        for host in list(self.hosts.values()):
            self.resume(host)
            self.start(host)

    def linked(self, source: Host, target: Host) -> bool:
        """Whether datagrams go from one to the other."""
        if not self.cuts:
            return True
        return not any((a, b) in self.cuts for a in _groups(source) for b in _groups(target))

    def group(self, name: str) -> list[Host]:
        """The hosts of a machine, rack, zone or region."""
        return [host for host in self.hosts.values() if name in _groups(host)]

    def _send(self, host: Host, data: bytes, address: Address) -> None:
        host.cost.sent_bytes += len(data)
        host.cost.sent_datagrams += 1
        target = self.hosts.get(address)
        if target is None:
            return
        self.on_send(host, target, data)
        if not self.linked(host, target):
            return
        conditions, draw = self.conditions, self.rng.random
        for _ in range(1 + (draw() < conditions.double)):
            if draw() >= conditions.loss:
                late = int(draw() * conditions.late_by) if draw() < conditions.late else 0
                near = host.location.region == target.location.region
                delay = (1 + 3 * draw()) * MS if near else (15 + 15 * draw()) * MS
                self.at(self.now + int(delay) + late, self.deliver, host.address, target, data)

    def deliver(self, source: Address, target: Host, data: bytes) -> None:
        """A datagram arrives, from whoever has that address."""
        sender = self.hosts.get(source)
        if not target.alive or sender is not None and not self.linked(sender, target):
            return
        target.cost.received_bytes += len(data)
        target.cost.received_datagrams += 1
        if target.stopped:
            if len(target.backlog) < MOST_BACKLOG:
                target.backlog.append((data, source))
        else:
            self._step(target, target.core.on_datagram, data, source)


def _groups(host: Host) -> tuple[str, ...]:
    place = host.location
    return host.name, place.machine, place.rack, place.zone, place.region


def up(hosts: Iterable[Host]) -> list[Host]:
    """Those that run."""
    return [host for host in hosts if host.up]

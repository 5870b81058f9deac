"""A simulated network and its hosts on one virtual clock, with fault injection: datagrams are delayed, lost,
duplicated or partitioned off; processes crash, pause and restart; racks, zones and regions fail as a whole.

Theory of operation. Events are executed from a queue in the order of time. Each host has its own clock,
which runs slightly fast or slow. Datagrams that a core returns are sent at once. `after_step` is called
after every step of a host; a checker uses it to verify the guarantees (checker.py).
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
EPOCH_MS = 1_750_000_000_000  # Unix milliseconds at which simulations start
MAX_BACKLOG = 200  # datagrams queued for a paused process


class Core(Protocol):
    """A sans-I/O core that a host runs."""

    next_at: int

    def start(self, now: int) -> Out:
        """Starts the core."""

    def on_timer(self, now: int) -> Out:
        """Called at `next_at` or later."""

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Handles one datagram."""


@dataclass(frozen=True, slots=True)
class Location:
    """Where a host is placed; each field names a group of hosts that can fail together."""

    region: str
    zone: str
    rack: str
    machine: str


@dataclass(slots=True)
class Cost:
    """Traffic and CPU time of a host so far."""

    sent_bytes: int = 0
    sent_datagrams: int = 0
    received_bytes: int = 0
    received_datagrams: int = 0
    busy_ns: int = 0


@dataclass(eq=False)
class Host:
    """A simulated host that runs one process, across restarts."""

    name: str
    address: Address
    location: Location
    make: Callable[[Host], Any]
    rate: float = 1.0  # speed of its clock relative to true time
    offset: int = 0
    core: Any = None
    alive: bool = False
    stopped: bool = False
    starts: int = 0
    timer: int = 0  # the number of its pending timer
    cost: Cost = field(default_factory=Cost)
    backlog: list[tuple[bytes, Address]] = field(default_factory=list)

    @property
    def up(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.alive and not self.stopped


@dataclass
class Conditions:
    """Faults of the network that apply to every datagram, as probabilities."""

    loss: float = 0.0
    duplicate_rate: float = 0.0
    delay_rate: float = 0.0  # share of datagrams that take up to `max_extra_delay` longer
    max_extra_delay: int = 2 * SECOND


class Network:
    """The virtual clock, the hosts and the network between them."""

    def __init__(self, seed: object) -> None:
        self.rng = Random(f"configuration/{seed}")
        self.now = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.counter = 0
        self.hosts: dict[Address, Host] = {}
        self.conditions = Conditions()
        self.cuts: set[tuple[str, str]] = set()  # names of hosts or groups: from, to
        self.after_step: Callable[[Host], None] = lambda host: None
        self.on_send: Callable[[Host, Host, bytes], None] = lambda source, target, data: None

    # ---- time ----

    def at(self, when: int, run: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call at a time, or now if that has passed."""
        self.counter += 1
        heapq.heappush(self.queue, (max(when, self.now), self.counter, run, arguments))

    def after(self, seconds: float, run: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call after a number of seconds."""
        self.at(self.now + int(seconds * SECOND), run, *arguments)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Runs for the given time, or until `until` is true (checked ten times per second); returns whether
        it was."""
        end, check_at = self.now + int(seconds * SECOND), self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, run, arguments = heapq.heappop(self.queue)
            run(*arguments)
            if until is not None and self.now >= check_at:
                check_at = self.now + SECOND // 10
                if until():
                    return True
        self.now = end
        return until is not None and until()

    def clock(self, host: Host) -> int:
        """The present reading of a host's monotonic clock."""
        return int(self.now * host.rate) + host.offset

    # ---- processes ----

    def add(self, host: Host) -> Host:
        """Adds a host; it is not started."""
        self.hosts[host.address] = host
        return host

    def start(self, host: Host) -> None:
        """Starts a new process on the host, unless one is alive."""
        if host.alive:
            return
        host.starts += 1
        host.alive, host.stopped = True, False
        host.core = host.make(host)
        self._step(host, host.core.start)

    def kill(self, host: Host) -> None:
        """Kills the process; its memory is lost."""
        host.alive = host.stopped = False
        host.backlog.clear()

    def stop(self, host: Host) -> None:
        """Pauses the process; its clock goes on."""
        host.stopped = host.alive

    def resume(self, host: Host) -> None:
        """Resumes a paused process; by chance its timer or the queued datagrams come first."""
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
        """Sends what a host's core returned to a call from outside, and sets its timer."""
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
        """Drops all datagrams from one host or group to the other."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def mend(self) -> None:
        """Removes all network faults, resumes and starts all hosts."""
        self.cuts.clear()
        self.conditions = Conditions()
        for host in list(self.hosts.values()):
            self.resume(host)
            self.start(host)

    def linked(self, source: Host, target: Host) -> bool:
        """Whether no partition separates source and target."""
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
        for _ in range(1 + (draw() < conditions.duplicate_rate)):
            if draw() >= conditions.loss:
                late = int(draw() * conditions.max_extra_delay) if draw() < conditions.delay_rate else 0
                near = host.location.region == target.location.region
                delay = (1 + 3 * draw()) * MS if near else (15 + 15 * draw()) * MS
                self.at(self.now + int(delay) + late, self.deliver, host.address, target, data)

    def deliver(self, source: Address, target: Host, data: bytes) -> None:
        """A datagram from that address arrives at its target."""
        sender = self.hosts.get(source)
        if not target.alive or sender is not None and not self.linked(sender, target):
            return
        target.cost.received_bytes += len(data)
        target.cost.received_datagrams += 1
        if target.stopped:
            if len(target.backlog) < MAX_BACKLOG:
                target.backlog.append((data, source))
        else:
            self._step(target, target.core.on_datagram, data, source)


def _groups(host: Host) -> tuple[str, ...]:
    place = host.location
    return host.name, place.machine, place.rack, place.zone, place.region


def up(hosts: Iterable[Host]) -> list[Host]:
    """The hosts that run."""
    return [host for host in hosts if host.up]

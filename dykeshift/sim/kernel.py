"""Virtual time and virtual processes.

Theory of operation. A `World` holds one heap of events, each with a time in nanoseconds. Events with the
same time run in an order drawn from the seed, so that no code can rely on one particular order. All code
runs inside an event; after each event the `watchers` (the checkers) are called.

A `Process` is the operating system's view of a running program: its host, its signals, its descriptors and
whether it is running, stalled or dead. Its code is run by an event loop, which the kernel sees as a
`ProcessLoop`; loop.py supplies it (`Program`). A dead process runs no more code, whatever still holds a
reference to it; its sockets are closed by the kernel, not by its code.

Invariants: `now` never decreases; no code of a process runs while it is stalled or after its death; the
same seed gives the same events in the same order, in any process and for any hash seed. `digest` is a hash
over all trace lines, so that two runs can be compared.
"""

from __future__ import annotations

import asyncio
import hashlib
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from signal import SIGTERM
from typing import Any, Protocol

MS = 1_000_000
SECOND = 1_000_000_000
EPOCH = 1_000 * SECOND  # the monotonic clock of every host at the start of a run
UNIX_EPOCH = 1_790_000_000 * SECOND  # the true Unix time at that instant


class LivelockError(Exception):
    """Too many events at one virtual instant: the program under test loops without letting time pass."""


@dataclass(frozen=True, slots=True)
class Platform:
    """Variations of the machine and of the event loop that a correct program has to cope with.

    `uvloop`: timers and the loop's time are in whole milliseconds, writes are deferred to the end of an
    iteration of the loop, and connections accepted with a full descriptor table are closed; otherwise the
    loop behaves as the standard library's.
    """

    uvloop: bool = True
    grid: int = 1  # network delays are multiples of this (ns); a coarse grid makes more events coincide
    tear: float = 0.1  # share of the writes that are split into several segments
    buffer: int = 65536  # bytes that may be in flight or unread in each direction of a connection
    read_size: int = 65536  # most bytes handed to a protocol at once
    reset_discards: bool = False  # a reset discards data that has arrived and was not read
    jitter: float = 0.3  # relative jitter of each delay, drawn for each segment


class Event:
    """A scheduled call; `cancel` prevents it."""

    __slots__ = ("run", "args")

    def __init__(self, run: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.run: Callable[..., None] | None = run
        self.args = args

    def cancel(self) -> None:
        """Prevent the call; the entry stays in the heap and does nothing."""
        self.run, self.args = None, ()


TraceCallback = Callable[[int, str], None]  # time in nanoseconds, and the trace line


class World:
    """One run: virtual time, the event heap, and the digest of the trace."""

    def __init__(self, seed: str, platform: Platform = Platform()) -> None:  # noqa: B008 - frozen
        self.seed = seed
        self.platform = platform
        self.now = EPOCH
        self.order = self.stream("order").random
        self.heap: list[tuple[int, float, int, Event]] = []
        self.count = 0
        self.steps = 0
        self.watchers: list[Callable[[int], None]] = []
        self.tracing: TraceCallback | None = None  # receives each trace line, where a trace is wanted
        self._hash = hashlib.blake2b(digest_size=16)
        self.processes: list[Process] = []

    def stream(self, name: str) -> Random:
        """An independent random stream: draws from one stream do not affect another."""
        digest = hashlib.blake2b(f"{self.seed}/{name}".encode(), digest_size=8).digest()
        return Random(int.from_bytes(digest, "big"))

    def unix(self) -> int:
        """The true Unix time, in nanoseconds."""
        return UNIX_EPOCH + self.now - EPOCH

    def at(self, when: int, run: Callable[..., None], *args: Any) -> Event:
        """Schedule `run` at `when`, or now if that is past; the order of ties is drawn."""
        event = Event(run, args)
        self.count += 1
        heapq.heappush(self.heap, (when if when > self.now else self.now, self.order(), self.count, event))
        return event

    def after(self, delay: int, run: Callable[..., None], *args: Any) -> Event:
        """Schedule `run` after `delay` nanoseconds."""
        return self.at(self.now + delay, run, *args)

    def trace(self, text: str) -> None:
        """Add a trace line: it goes into the digest and to `tracing`."""
        self._hash.update(b"%d %s\n" % (self.now, text.encode()))
        if self.tracing is not None:
            self.tracing(self.now, text)

    def digest(self) -> str:
        """Hash of all trace lines so far."""
        return self._hash.hexdigest()

    def run(self, until: int, stop: Callable[[], bool] | None = None) -> None:
        """Run the events up to and at `until`, with the watchers after each; ends early if `stop()`."""
        instant, events_at_instant = -1, 0
        while self.heap and self.heap[0][0] <= until:
            when, _, _, event = heapq.heappop(self.heap)
            if event.run is None:
                continue
            events_at_instant = events_at_instant + 1 if when == instant else 0
            instant = self.now = when
            if events_at_instant > 100_000:
                raise LivelockError(f"100,000 events at one instant, {(when - EPOCH) / SECOND:.6f} s")
            self.steps += 1
            event.run(*event.args)
            for watch in self.watchers:
                watch(when)
            if stop is not None and stop():
                return
        self.now = max(self.now, until)


@dataclass(slots=True, eq=False)
class Host:
    """A machine; it may be down, and its wall clock may be off. `incarnation` counts its restarts."""

    name: str
    zone: str = ""
    up: bool = True
    incarnation: int = 0
    wall_offset: int = 0  # nanoseconds that its wall clock is ahead of the true time
    spike_free: bool = False  # latency spikes do not affect segments to or from it


class ProcessLoop(Protocol):
    """The event loop of a process, as the kernel, the network and the transports use it."""

    platform: Platform
    round_elapsed: int  # nanoseconds that the callbacks of this iteration have taken so far
    net: Any  # set by `Network.attach`

    def deliver_signal(self, number: int) -> None:
        """Deliver a signal to the process."""

    def discard(self) -> None:
        """Drop everything scheduled: the process has died."""

    def mark_ready(self, socket: Any) -> None:
        """Schedule the `report` of a socket or transport in the next iteration."""

    def at_end_of_iteration(self, item: Any) -> None:
        """Have a transport flush its buffer at the end of this iteration."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> asyncio.Handle:
        """See `asyncio.AbstractEventLoop`."""

    def create_future(self) -> asyncio.Future[Any]:
        """See `asyncio.AbstractEventLoop`."""


@dataclass(slots=True, eq=False)
class Process:
    """A running program on a host, as the kernel sees it. `limit`: its maximum number of descriptors."""

    world: World
    host: Host
    name: str
    limit: int = 1_000_000
    callback_cost: int = 0  # nanoseconds that each callback takes
    alive: bool = True
    exit_code: int | None = None
    stalled_until: int = 0
    stalls: list[tuple[int, int]] = field(default_factory=list)
    sockets: dict[int, Any] = field(default_factory=dict)  # open descriptors, by number
    last_descriptor: int = 0
    loop: ProcessLoop = field(init=False)
    terminated: bool = False  # it has received SIGTERM
    on_exit: Callable[[Process], None] | None = None
    pending_signals: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.world.processes.append(self)

    # ---- descriptors ----

    def descriptors_exhausted(self) -> bool:
        """Whether all its descriptors are in use."""
        return len(self.sockets) >= self.limit

    def open(self, thing: Any) -> int:
        """Allocate a descriptor number for a socket."""
        self.last_descriptor += 1
        self.sockets[self.last_descriptor] = thing
        return self.last_descriptor

    def close_descriptor(self, number: int) -> None:
        """Free a descriptor."""
        self.sockets.pop(number, None)

    # ---- life cycle ----

    def stall(self, length: int) -> None:
        """Run none of its code for `length` nanoseconds; incoming data waits in the kernel."""
        until = self.world.now + length
        if self.alive and until > self.stalled_until:
            self.stalls.append((self.world.now, until))
            self.stalled_until = until
            self.world.trace(f"{self.name} stalls for {length / MS:.0f} ms")

    def signal(self, number: int) -> None:
        """Send a signal."""
        if self.alive:
            self.world.trace(f"{self.name} gets signal {number}")
            self.terminated = self.terminated or number == SIGTERM
            self.loop.deliver_signal(number)

    def kill(self) -> None:
        """SIGKILL: the kernel closes its sockets; no code of it runs any more."""
        self.exit(-9)

    def exit(self, code: int) -> None:
        """End the process: its sockets close, its loop stops."""
        if not self.alive:
            return
        self.alive, self.exit_code = False, code
        self.world.trace(f"{self.name} ends with {code}")
        for thing in list(self.sockets.values()):
            thing.process_died()
        self.sockets.clear()
        self.loop.discard()
        if self.on_exit is not None:
            self.on_exit(self)


class VirtualClock:
    """A process's clock (`dykeshift.clock.Clock`): time advances while its callbacks run."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.world = process.world

    def monotonic_ns(self) -> int:
        """See `clock.Clock`; includes the cost of the callbacks of this iteration."""
        return self.world.now + self.process.loop.round_elapsed

    def time_ns(self) -> int:
        """See `clock.Clock`; shifted by the host's offset."""
        return self.world.unix() + self.process.loop.round_elapsed + self.process.host.wall_offset

    def has_input(self, transport: Any) -> bool:
        """See `clock.Clock`."""
        return bool(transport.has_input())

    def hung_up(self, transport: Any) -> bool:
        """See `clock.Clock`."""
        return bool(transport.hung_up())

    def limit_receiving(self, transport: Any, size: int) -> None:
        """See `clock.Clock`; not modelled."""

    def limit_sending(self, transport: Any, size: int) -> None:
        """See `clock.Clock`; not modelled."""

    def unread_bytes(self, transport: Any) -> int:
        """See `clock.Clock`."""
        return len(transport.endpoint.received)

    def unsent_bytes(self, transport: Any) -> int:
        """See `clock.Clock`; not modelled."""
        return 0

    def resident_bytes(self) -> int:
        """See `clock.Clock`; not modelled."""
        return 0

    def input_age(self, transport: Any) -> int:
        """See `clock.Clock`."""
        return max(0, self.monotonic_ns() - int(transport.endpoint.last_input_at))

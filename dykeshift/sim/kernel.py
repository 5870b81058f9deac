"""Virtual time and virtual processes.

Theory of operation. A `World` holds one heap of events, each at an instant in nanoseconds. Events of the
same instant run in an order drawn from the seed: nothing in the world may rest on it. Everything that
happens, happens within an event; between two events `watchers` look at the world (the checkers do).

A `Process` is what the operating system knows of a running program: its host, its signals, its
descriptors and whether it is running, stalled or dead. What runs its code is an event loop, of which the
kernel knows `Rounds`; loop.py brings it (`Program`). A dead process runs nothing more, whatever still refers
to it; its sockets are closed by the kernel, not by its code.

Promises that hold at every instant: `now` never runs backwards; no code of a process runs while it is
stalled or after its death; the same seed gives the same events in the same order, in any process and for
any hash seed. `digest` sums up all that was noted, so that two runs can be compared.
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
EPOCH = 1_000 * SECOND  # the monotonic clock of every host when the world begins
UNIX_EPOCH = 1_790_000_000 * SECOND  # the true Unix time at that instant


class LivelockError(Exception):
    """More happened within one virtual instant than any sound program could cause."""


@dataclass(frozen=True, slots=True)
class Flavour:
    """In what ways the machine and the event loop may differ and still be right.

    `uvloop`: timers and the loop's time in whole milliseconds, writes held until the end of a round, all
    connections closed that are met with a full descriptor table; otherwise as the standard library's loop.
    """

    uvloop: bool = True
    grid: int = 1  # the network's delays are whole multiples of this: larger, and instants coincide
    tear: float = 0.1  # part of the writes that arrive in several pieces
    buffer: int = 65536  # bytes that may be under way or unread in each direction of a connection
    read_size: int = 65536  # most bytes handed to a protocol at once
    reset_discards: bool = False  # a reset takes with it what has arrived and was not read
    jitter: float = 0.3  # of each delay, drawn for each segment


class Event:
    """Something due; `cancel` takes it out."""

    __slots__ = ("run", "args")

    def __init__(self, run: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.run: Callable[..., None] | None = run
        self.args = args

    def cancel(self) -> None:
        """Forget what would have run."""
        self.run, self.args = None, ()


Line = Callable[[int, str], None]  # when, and what happened


class World:
    """One run: virtual time, what is due, and the digest of what happened."""

    def __init__(self, seed: str, flavour: Flavour = Flavour()) -> None:  # noqa: B008 - frozen
        self.seed = seed
        self.flavour = flavour
        self.now = EPOCH
        self.order = self.stream("order").random
        self.heap: list[tuple[int, float, int, Event]] = []
        self.count = 0
        self.steps = 0
        self.watchers: list[Callable[[int], None]] = []
        self.tracing: Line | None = None  # told each line of the time line, when someone wants to read it
        self._hash = hashlib.blake2b(digest_size=16)
        self.processes: list[Process] = []

    def stream(self, name: str) -> Random:
        """A source of random numbers of its own: what one part draws moves no other part's."""
        digest = hashlib.blake2b(f"{self.seed}/{name}".encode(), digest_size=8).digest()
        return Random(int.from_bytes(digest, "big"))

    def unix(self) -> int:
        """The true Unix time, in nanoseconds."""
        return UNIX_EPOCH + self.now - EPOCH

    def at(self, when: int, run: Callable[..., None], *args: Any) -> Event:
        """Run something at an instant, not before the present one; ties are drawn."""
        event = Event(run, args)
        self.count += 1
        heapq.heappush(self.heap, (when if when > self.now else self.now, self.order(), self.count, event))
        return event

    def after(self, delay: int, run: Callable[..., None], *args: Any) -> Event:
        """Schedule `run` after `delay` nanoseconds."""
        return self.at(self.now + delay, run, *args)

    def note(self, text: str) -> None:
        """One line of the time line: part of the digest, and shown where someone traces."""
        self._hash.update(b"%d %s\n" % (self.now, text.encode()))
        if self.tracing is not None:
            self.tracing(self.now, text)

    def digest(self) -> str:
        """A fingerprint of all that was noted so far."""
        return self._hash.hexdigest()

    def run(self, until: int, stop: Callable[[], bool] | None = None) -> None:
        """All events up to and at `until`, each followed by the watchers; ends early when `stop` says so."""
        instant, here = -1, 0
        while self.heap and self.heap[0][0] <= until:
            when, _, _, event = heapq.heappop(self.heap)
            if event.run is None:
                continue
            here = here + 1 if when == instant else 0
            instant = self.now = when
            if here > 100_000:
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
    """A machine: up, or vanished; its wall clock may be off; `epoch` counts its starts."""

    name: str
    zone: str = ""
    up: bool = True
    epoch: int = 0
    wall_offset: int = 0  # nanoseconds that its wall clock is ahead of the true time
    steady: bool = False  # no segment to or from it is late by a spike


class Rounds(Protocol):
    """What the kernel, the network and the transports ask of a process's event loop."""

    flavour: Flavour
    spent: int  # nanoseconds that this round's callbacks have taken so far
    net: Any  # given by the network that the host is on

    def signalled(self, number: int) -> None:
        """The process got a signal."""

    def discard(self) -> None:
        """The process has died: nothing runs any more."""

    def readable(self, socket: Any) -> None:
        """A socket has something to report."""

    def at_end_of_round(self, one: Any) -> None:
        """Have a transport write at the end of this round."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> asyncio.Handle:
        """See `asyncio.AbstractEventLoop`."""

    def create_future(self) -> asyncio.Future[Any]:
        """See `asyncio.AbstractEventLoop`."""


@dataclass(slots=True, eq=False)
class Process:
    """A running program on a host, as the kernel sees it. `limit` bounds its descriptors."""

    world: World
    host: Host
    name: str
    limit: int = 1_000_000
    callback_cost: int = 0  # nanoseconds that each callback takes
    alive: bool = True
    exit_code: int | None = None
    stalled_until: int = 0
    stalls: list[tuple[int, int]] = field(default_factory=list)
    sockets: dict[int, Any] = field(default_factory=dict)  # by number: open descriptors
    opened: int = 0
    loop: Rounds = field(init=False)
    terminated: bool = False  # it has been asked to end
    on_exit: Callable[[Process], None] | None = None
    pending_signals: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.world.processes.append(self)

    # ---- descriptors ----

    def full(self) -> bool:
        """Whether all its descriptors are in use."""
        return len(self.sockets) >= self.limit

    def open(self, thing: Any) -> int:
        """Give a descriptor's number to something."""
        self.opened += 1
        self.sockets[self.opened] = thing
        return self.opened

    def forget(self, number: int) -> None:
        """Free a descriptor."""
        self.sockets.pop(number, None)

    # ---- life ----

    def stall(self, length: int) -> None:
        """Nothing of it runs for so long; what comes in waits in the kernel."""
        until = self.world.now + length
        if self.alive and until > self.stalled_until:
            self.stalls.append((self.world.now, until))
            self.stalled_until = until
            self.world.note(f"{self.name} stalls for {length / MS:.0f} ms")

    def signal(self, number: int) -> None:
        """Send a signal."""
        if self.alive:
            self.world.note(f"{self.name} gets signal {number}")
            self.terminated = self.terminated or number == SIGTERM
            self.loop.signalled(number)

    def kill(self) -> None:
        """SIGKILL: the kernel closes its sockets; no code of it runs any more."""
        self.exit(-9)

    def exit(self, code: int) -> None:
        """End the process: its sockets close, its loop stops."""
        if not self.alive:
            return
        self.alive, self.exit_code = False, code
        self.world.note(f"{self.name} ends with {code}")
        for thing in list(self.sockets.values()):
            thing.process_died()
        self.sockets.clear()
        self.loop.discard()
        if self.on_exit is not None:
            self.on_exit(self)


class VirtualClock:
    """What a process reads of its host (`dykeshift.clock.Clock`): time goes on while its callbacks run."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.world = process.world

    def monotonic_ns(self) -> int:
        """See `clock.Clock`; the running callback's cost counts."""
        return self.world.now + self.process.loop.spent

    def time_ns(self) -> int:
        """See `clock.Clock`; shifted by the host's offset."""
        return self.world.unix() + self.process.loop.spent + self.process.host.wall_offset

    def has_input(self, transport: Any) -> bool:
        """See `clock.Clock`."""
        return bool(transport.has_input())

    def hung_up(self, transport: Any) -> bool:
        """See `clock.Clock`."""
        return bool(transport.hung_up())

    def input_age(self, transport: Any) -> int:
        """See `clock.Clock`."""
        return max(0, self.monotonic_ns() - int(transport.endpoint.arrived))

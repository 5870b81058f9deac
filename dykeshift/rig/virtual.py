"""Many views on one virtual clock: datagrams that take time, are lost, doubled or cut off; processes that
die, stand still, come back. After every step the view's promises are held against the truth.

Nothing of the daemon but `view.core` is here; `sim` plays whole daemons, `rig.day` real processes.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dykeshift.view.core import Event, Options, Outgoing, View
from dykeshift.view.table import REFUTATION_BITS, Address
from dykeshift.view.wire import Entry, Seal

SECOND = 1_000_000_000
MS = 1_000_000
EPOCH = 1_750_000_000_000  # Unix milliseconds at which worlds begin


Maker = Callable[["Spot", int], Any]


@dataclass(eq=False)
class Spot:
    """A balancer's place, through all its lives."""

    world: World
    number: int
    view: Any = None
    alive: bool = False
    stopped: bool = False
    lives: int = 0
    born: int = 0
    died: int = 0
    stopped_at: int = 0
    wall: int = 0  # milliseconds that its wall clock is off
    rate: float = 1.0  # of its monotonic clock
    backlog: list[tuple[bytes, Address]] = field(default_factory=list)  # what came while it stood still
    token: int = 0  # of its pending timer

    @property
    def name(self) -> str:
        """Its name, `n` and its number."""
        return f"n{self.number}"

    @property
    def address(self) -> Address:
        """The address that the others send to."""
        return (f"10.0.{self.number >> 8}.{self.number & 255}", 7946)

    def clock(self) -> int:
        """Its monotonic clock in nanoseconds, which runs at its own rate."""
        return int(self.world.now * self.rate) + self.number * 7 * SECOND

    def kill(self) -> None:
        """Kill its process; what had not been read is lost."""
        if self.alive:
            self.alive, self.stopped, self.died = False, False, self.world.now
            self.backlog.clear()


@dataclass
class Weather:
    """What befalls datagrams; shares are between 0 and 1, `late_by` is in nanoseconds."""

    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0  # share of datagrams that take up to `late_by` more
    late_by: int = 2 * SECOND


class World:
    """Virtual time, the processes and the network between them."""

    def __init__(
        self,
        seed: str | int,
        count: int,
        options: Options | None = None,
        make: Maker | None = None,
        key: bytes = b"",
    ) -> None:
        self.rng = Random(f"view/{seed}")
        self.options = options or Options()
        self.seal = Seal("world", key)
        self.make = make or self._view
        self.now = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.counter = 0
        self.weather = Weather()
        self.blocked: set[tuple[int, int]] = set()  # (from, to)
        self.groups: list[frozenset[int]] = []
        self.spots = [Spot(self, n) for n in range(count)]
        self.by_address = {s.address: s for s in self.spots}
        self.peers = tuple(s.address for s in self.spots)
        self.watch: Callable[[Spot], None] = lambda spot: None  # after each step of a process
        self.heard: Callable[[Spot, Event], None] = lambda spot, event: None
        self.tap: Callable[[Spot, Spot, bytes], None] = lambda a, b, data: None
        self.bytes = self.datagrams = 0

    def _view(self, spot: Spot, life: int) -> View:
        rng = Random(self.rng.random())
        birth = rng.getrandbits(32) or 1
        me = Entry(
            spot.name,
            life << REFUTATION_BITS,
            birth,
            number=spot.number,
            peer_count=len(self.peers),
            settings=1,
        )
        return View(self.options, self.seal, me, self.peers, spot.address, None, rng)

    # ---- time ----

    def at(self, when: int, run: Callable[..., None], *args: Any) -> None:
        """Call `run` at `when` (nanoseconds of the world), at once where that is past."""
        self.counter += 1
        heapq.heappush(self.queue, (max(when, self.now), self.counter, run, args))

    def after(self, delay: float, run: Callable[..., None], *args: Any) -> None:
        """`delay` in seconds."""
        self.at(self.now + int(delay * SECOND), run, *args)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Whether `until` came true in that time; looked at 20 times a second."""
        end, look = self.now + int(seconds * SECOND), self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, run, args = heapq.heappop(self.queue)
            run(*args)
            if until is not None and self.now >= look:
                look = self.now + SECOND // 20
                if until():
                    return True
        self.now = end
        return until is not None and until()

    # ---- processes ----

    def start(self, spot: Spot) -> None:
        """Start a new process at a place."""
        spot.lives += 1
        spot.alive, spot.stopped, spot.born = True, False, self.now
        spot.view = self.make(spot, EPOCH + self.now // MS + spot.wall)
        self._carry(spot, spot.view.start(spot.clock()))

    def start_all(self, within: float = 0.5) -> None:
        """Start all within so many seconds, at random."""
        for spot in self.spots:
            self.after(within * self.rng.random(), self.start, spot)

    def stop(self, spot: Spot) -> None:
        """A process stands still; its datagrams pile up."""
        spot.stopped, spot.stopped_at = True, self.now

    def resume(self, spot: Spot) -> None:
        """What came meanwhile is read first, or the timers run first, as it happens."""
        if not spot.alive or not spot.stopped:
            return
        spot.stopped = False
        backlog, spot.backlog = spot.backlog[:200], []
        if self.rng.random() < 0.5:
            self._timer(spot, spot.token)
        for data, address in backlog:
            self._carry(spot, spot.view.on_datagram(spot.clock(), data, address))
        self._timer(spot, spot.token)

    def mend(self) -> None:
        """The network whole and clear, everybody awake and at work."""
        self.groups, self.blocked = [], set()
        self.weather.loss = self.weather.double = self.weather.late = 0.0
        for spot in self.spots:
            self.resume(spot)
            if not spot.alive:
                self.start(spot)

    def leave(self, spot: Spot) -> None:
        """A process leaves in order."""
        self._carry(spot, spot.view.leave(spot.clock()))
        spot.kill()

    def _carry(self, spot: Spot, out: Outgoing) -> None:
        for data, address in out:
            self._send(spot, data, address)
        for event in spot.view.take_events():
            self.heard(spot, event)
        wait = (spot.view.next_at - spot.clock()) / spot.rate
        spot.token += 1
        self.at(self.now + max(0, int(wait)) + 1, self._timer, spot, spot.token)
        self.watch(spot)

    def _timer(self, spot: Spot, token: int) -> None:
        if spot.alive and not spot.stopped and token == spot.token:
            self._carry(spot, spot.view.on_timer(spot.clock()))

    # ---- the network ----

    def linked(self, one: Spot, other: Spot) -> bool:
        """Whether datagrams from one reach the other."""
        if (one.number, other.number) in self.blocked:
            return False
        return not self.groups or any(one.number in g and other.number in g for g in self.groups)

    def _send(self, spot: Spot, data: bytes, address: Address) -> None:
        self.bytes += len(data)
        self.datagrams += 1
        to = self.by_address.get(address)
        if to is None:
            return
        self.tap(spot, to, data)
        if not self.linked(spot, to):
            return
        weather, draw = self.weather, self.rng.random
        for _ in range(1 + (draw() < weather.double)):
            if draw() >= weather.loss:
                late = int(draw() * weather.late_by) if draw() < weather.late else 0
                self.at(self.now + int((1 + 26 * draw()) * MS) + late, self.deliver, spot.address, to, data)

    def deliver(self, source: Address, to: Spot, data: bytes) -> None:
        """Hand a datagram over, unless the two are cut off by now."""
        if not to.alive or not self.linked(self.by_address[source], to):
            return
        if to.stopped:
            to.backlog.append((data, source))
        else:
            self._carry(to, to.view.on_datagram(to.clock(), data, source))

    # ---- the truth ----

    def living(self) -> list[Spot]:
        """The processes that run, also those that stand still."""
        return [s for s in self.spots if s.alive]

    def groups_of(self, spots: Iterable[Spot]) -> list[list[Spot]]:
        """Those that reach one another, directly or through others, both ways."""
        left, found = list(spots), list[list[Spot]]()
        while left:
            group = [left.pop()]
            for one in group:
                near = [s for s in left if self.linked(one, s) and self.linked(s, one)]
                group += near
                left = [s for s in left if s not in near]
            found.append(group)
        return found

    def settled(self) -> bool:
        """Every group of those that run is settled on one digest, and knows all of itself as alive."""
        for group in self.groups_of(s for s in self.living() if not s.stopped):
            digests = {s.view.digest(s.clock()) for s in group}
            if len(digests) > 1 or not all(s.view.settled for s in group):
                return False
            if any(s.view.standing.at_least != len(group) for s in group):
                return False
        return True

"""Many balancers that lend one another parts of limits, on one virtual clock; after every step the sum of
what all that are awake may use is held against the limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from dykeshift.rig.virtual import SECOND, Spot, World
from dykeshift.shares.loans import LeaseAllocator, LeaseTerms
from dykeshift.shares.wire import decode, encode
from dykeshift.view.wire import DatagramError

TICK = SECOND // 5
LIMITS = (1, 2, 3)
UNITS = 12_000  # of each limit


class Lender:
    """One process; what it believes of who is alive is a second old at most."""

    def __init__(self, world: Lent, spot: Spot) -> None:
        self.world, self.spot = world, spot
        self.shares = world.build(spot)
        self.next_at = 0
        self.alive: set[int] = set()
        self.looked = -SECOND

    def start(self, now: int) -> list[Any]:
        """Start the core and do its first tick."""
        self.shares.start(now)
        return self.on_timer(now)

    def _look(self, now: int) -> None:
        """Its deeds are as they are agreed on now, before it does anything: it has a lease on that, or
        none."""
        for limit in LIMITS:
            self.shares.on_allocation(now, limit, self.world.deed(limit))

    def on_timer(self, now: int) -> list[Any]:
        """Ask for what is needed, and send what the core wants to send."""
        self.next_at = now + TICK
        world = self.world
        if now - self.looked >= SECOND:
            self.looked = now
            self.alive = {
                s.number
                for s in world.spots
                if s.alive and not s.stopped and world.linked(self.spot, s) and world.linked(s, self.spot)
            }
        self._look(now)
        for limit in LIMITS:
            self.shares.on_need(limit, world.needs.get((self.spot.number, limit), 0))
        return self._out(self.shares.on_tick(now, self.alive))

    def on_datagram(self, now: int, data: bytes, address: Any) -> list[Any]:
        """Hand a sound message to the core."""
        self._look(now)
        try:
            message = decode(data, self.world.seal)
        except DatagramError:
            return []
        return self._out(self.shares.on_message(now, message))

    def _out(self, messages: list[Any]) -> list[Any]:
        return [(encode(m, self.world.seal), self.world.spots[n].address) for m, n in messages]

    def take_events(self) -> list[Any]:
        """No events."""
        return []


@dataclass
class Found:
    """What came of a day."""

    seed: int
    broken: list[str]
    served: float  # of what was needed and the limit allows, mean over the day
    plain: float  # the same for the plain n-th part
    loans: int = 0


class Lent(World):
    """A world of balancers that lend one another parts of two limits."""

    def __init__(self, seed: object, count: int, terms: LeaseTerms | None = None, rate: float = 0.01) -> None:
        super().__init__(f"lent/{seed}", count, make=lambda spot, life: Lender(self, spot))
        self.terms = terms or LeaseTerms(lease=2 * SECOND)
        self.draw = Random(f"needs/{seed}")
        for spot in self.spots:
            spot.rate = 1 + self.draw.uniform(-rate, rate)
        self.limits = dict.fromkeys(LIMITS, UNITS)
        self.bounds = dict(self.limits)  # what counts: a lowered limit once all loans of before are over
        self.needs: dict[tuple[int, int], int] = {}
        self.broken: list[str] = []
        self.watch = self._check
        self.sums = [0.0, 0.0, 0.0]  # of what could be used, of the plain parts, of what was needed

    def build(self, spot: Spot) -> LeaseAllocator:
        """The core of a new process."""
        return LeaseAllocator(self.terms, spot.number, Random(self.rng.random()))

    def deed(self, limit: int) -> int:
        """Units that each place has of a limit."""
        return self.limits[limit] // len(self.spots)

    def lower(self, limit: int, units: int) -> None:
        """Lower a limit to `units`; it counts once all earlier loans are over."""
        self.limits[limit] = units
        self.after(self.terms.settle / SECOND * 1.05 + 0.5, self._lowered, limit, units)

    def _lowered(self, limit: int, units: int) -> None:
        if self.limits[limit] == units:
            self.bounds[limit] = units

    def up(self) -> list[Spot]:
        """The processes that run and do not stand still."""
        return [s for s in self.spots if s.alive and not s.stopped and s.view is not None]

    def _check(self, spot: Spot) -> None:
        for limit in LIMITS:
            total = sum(s.view.shares.usable(s.clock(), limit) for s in self.up())
            if total > self.bounds[limit] and len(self.broken) < 20:
                self.broken.append(f"{self.now / SECOND:.3f} s: {total} of {self.bounds[limit]} may be used")

    def need(self, pattern: str) -> None:
        """Who needs how much from now on, together what the limit allows."""
        count = len(self.spots)
        for limit in LIMITS:
            if pattern == "one":
                chosen = self.draw.randrange(count)
                parts = {n: float(n == chosen) for n in range(count)}
            elif pattern == "even":
                parts = dict.fromkeys(range(count), 1 / count)
            else:
                drawn = [self.draw.paretovariate(1.1) for _ in range(count)]
                parts = {n: d / sum(drawn) for n, d in enumerate(drawn)}
            self.needs.update({(n, limit): int(0.8 * p * self.limits[limit]) for n, p in parts.items()})

    def sample(self) -> None:
        """What of the needs of those at work could be met now, and by the plain parts."""
        for s in self.up():
            for limit in LIMITS:
                need = self.needs.get((s.number, limit), 0)
                self.sums[0] += min(need, s.view.shares.usable(s.clock(), limit))
                self.sums[1] += min(need, self.deed(limit))
                self.sums[2] += need


KINDS = (
    "kill",
    "restart",
    "stop",
    "resume",
    "cut",
    "mend",
    "weather",
    "clear",
    "need",
    "need",
    "lower",
    "replay",
)


def play(seed: int, members: tuple[int, ...] = (4, 7, 12, 20), world: type[Lent] = Lent) -> Found:
    """A drawn day: needs that move, and processes that are lost, stand still and are cut off."""
    random = Random(f"campaign/lent/{seed}")
    day = world(seed, random.choice(members))
    seen: list[tuple[Spot, Spot, bytes]] = []
    day.tap = lambda a, b, data: seen.append((a, b, data))
    day.start_all()
    day.need("pareto")
    for _ in range(random.randint(6, 14)):
        for _ in range(random.randint(1, 20)):
            day.run(0.25)
            day.sample()
        _befall(day, random, seen)
    needed = max(1.0, day.sums[2])
    loans = sum(len(s.view.shares.lent) for s in day.up())
    return Found(seed, day.broken, day.sums[0] / needed, day.sums[1] / needed, loans)


def _befall(day: Lent, random: Random, seen: list[tuple[Spot, Spot, bytes]]) -> None:
    kind, some = (
        random.choice(KINDS),
        random.sample(day.spots, random.randint(1, max(1, len(day.spots) * 7 // 10))),
    )
    if kind == "cut":
        order = random.sample(range(len(day.spots)), len(day.spots))
        at = random.randint(1, len(order) - 1)
        day.groups = [frozenset(order[:at]), frozenset(order[at:])]
    elif kind == "mend":
        day.mend()
    elif kind in ("weather", "clear"):
        bad = kind == "weather"
        day.weather.loss, day.weather.double, day.weather.late = bad * 0.3, bad * 0.2, bad * 0.2
    elif kind == "need":
        day.need(random.choice(("one", "even", "pareto")))
    elif kind == "lower":
        limit = random.choice(LIMITS)
        day.lower(limit, day.limits[limit] * random.choice((5, 8)) // 10)
    elif kind == "replay":
        _replay(day, random, seen)
    else:
        for spot in some:
            _befall_one(day, kind, spot)


def _replay(day: Lent, random: Random, seen: list[tuple[Spot, Spot, bytes]]) -> None:
    """Old datagrams once more, minutes later or at once."""
    for sender, receiver, data in random.sample(seen, min(len(seen), 200)):
        if receiver.alive and not receiver.stopped:
            day.deliver(sender.address, receiver, data)


def _befall_one(day: Lent, kind: str, spot: Spot) -> None:
    if kind in ("kill", "restart"):
        spot.kill()
    if kind == "restart" or kind == "resume" and not spot.alive:
        day.start(spot)
    elif kind == "stop" and spot.alive:
        day.stop(spot)
    elif kind == "resume":
        day.resume(spot)

"""The promises of the view as checks on a virtual world, looked at after each step of each process."""

from __future__ import annotations

from random import Random

from dykeshift.rig.virtual import SECOND, Spot, World
from dykeshift.view.core import Options
from dykeshift.view.wire import Entry, State

BRIEF = Options(lease=20 * SECOND)


class Watch:
    """Holds at_least and at_most against the truth, budgets against their bound, at every step."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: list[str] = []
        self.lag = int((20 + len(world.spots) / 8) * world.options.period)
        world.watch = self.look

    def look(self, spot: Spot) -> None:
        world, view = self.world, spot.view
        standing = view.standing
        if standing.at_most < len(world.spots):
            holding = {
                s.view.me.name for s in world.spots if s.alive and not s.stopped and s.view.standing.holds
            }
            if standing.at_most < len(holding):
                self._say(spot, f"at most {standing.at_most}, {len(holding)} hold the lease")
        if standing.at_least > 1:
            lately = {
                s.view.me.name
                for s in world.spots
                if s.lives and (s.alive and not s.stopped or world.now - max(s.died, s.stopped_at) < self.lag)
            }
            if standing.at_least > len(lately):
                self._say(spot, f"at least {standing.at_least}, {len(lately)} ran lately")
        age = (world.now - spot.born) / SECOND
        datagrams, size = view.budget.sent
        if datagrams > world.options.datagrams * (age + 1.1) or size > world.options.size * (age + 1.1):
            self._say(spot, f"{datagrams} datagrams and {size} bytes in {age:.1f} s")

    def _say(self, spot: Spot, what: str) -> None:
        if len(self.broken) < 20:
            self.broken.append(f"{self.world.now / SECOND:.3f} s {spot.name}: {what}")


def started(seed: object, count: int, options: Options = BRIEF, **more: object) -> tuple[World, Watch]:
    """A world whose members have settled."""
    world = World(f"{seed}", count, options, **more)  # type: ignore[arg-type]
    watch = Watch(world)
    world.start_all()
    assert world.run(60, world.settled)
    return world, watch


def settle(world: World, seconds: float = 60) -> None:
    """All that reach one another have one view; the failure says who has not."""
    if not world.run(seconds, world.settled):
        states = [
            (s.name, s.view.settled, s.view.standing.at_least, s.view.digest(s.clock())[:6])
            for s in world.living()
        ]
        raise AssertionError(f"not settled at {world.now / SECOND:.1f} s: {states}")


def states(spot: Spot) -> dict[str, State]:
    return {m.entry.name: m.state for m in spot.view.table}


def campaign(seed: int, members: tuple[int, ...] = (4, 7, 12), leases: int = 20) -> list[str]:
    """One drawn day of kills, starts, stops, cuts, one-way links and weather; what broke."""
    rng = Random(f"campaign/{seed}")
    count = rng.choice(members)
    world = World(seed, count, Options(lease=leases * SECOND, drift=0.01))
    for spot in world.spots:
        spot.rate = 1 + rng.uniform(-0.01, 0.01)
    watch = Watch(world)
    world.start_all()
    for _ in range(rng.randint(3, 8)):
        world.run(rng.choice([0.2, 1.0, 4.0, 12.0, 30.0]))
        trouble(world, rng)
    world.mend()
    if not world.run(60 + leases, world.settled):
        found = [(s.name, s.view.settled, s.view.standing) for s in world.living()]
        watch.broken.append(f"not settled {found}")
    return watch.broken


def trouble(world: World, rng: Random) -> None:
    some = rng.sample(world.spots, rng.randint(1, max(1, len(world.spots) * 7 // 10)))
    kind = rng.choice(
        ["kill", "restart", "stop", "resume", "cut", "mend", "one-way", "weather", "leave", "wall"]
    )
    if kind == "cut":
        order = rng.sample(range(len(world.spots)), len(world.spots))
        at = rng.randint(1, len(order) - 1)
        world.groups = [frozenset(order[:at]), frozenset(order[at:])]
    elif kind == "mend":
        world.groups, world.blocked = [], set()
    elif kind == "one-way":
        world.blocked |= {(some[0].number, s.number) for s in some[1:]}
    elif kind == "weather":
        world.weather.loss, world.weather.double = rng.choice([0, 0.1, 0.3]), rng.choice([0, 0.2])
        world.weather.late = rng.choice([0, 0.1])
    else:
        for spot in some:
            befall(world, kind, spot, rng)


def befall(world: World, kind: str, spot: Spot, rng: Random) -> None:
    if kind == "stop" and spot.alive:
        world.stop(spot)
    elif kind == "resume":
        world.resume(spot)
    elif kind == "kill":
        spot.kill()
    elif kind == "leave" and spot.alive and not spot.stopped:
        world.leave(spot)
    elif kind in ("restart", "wall"):
        spot.kill()
        spot.wall = rng.choice([-3_600_000, 3_600_000]) if kind == "wall" else spot.wall
        world.start(spot)


def entry_of(spot: Spot) -> Entry:
    me: Entry = spot.view.me
    return me

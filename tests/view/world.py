"""Checks of the invariants of the view in a simulated fleet, after each step of each process."""

from __future__ import annotations

from random import Random

from dykeshift.rig.virtual import SECOND, Spot, World
from dykeshift.view.core import Options
from dykeshift.view.wire import Entry, State

SHORT_LEASE = Options(lease=20 * SECOND)


class InvariantChecker:
    """Compares at_least and at_most with the true state, and what was sent with the budget, at every step."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.violations: list[str] = []
        # Time after which a process that died or stopped must no longer be counted as alive.
        self.grace = int((20 + len(world.spots) / 8) * world.options.period)
        world.watch = self.check

    def check(self, spot: Spot) -> None:
        world, view = self.world, spot.view
        standing = view.standing
        if standing.at_most < len(world.spots):
            holders = {
                s.view.me.name
                for s in world.spots
                if s.alive and not s.stopped and s.view.standing.holds_lease
            }
            if standing.at_most < len(holders):
                self._report(spot, f"at most {standing.at_most}, {len(holders)} hold the lease")
        if standing.at_least > 1:
            recent = {
                s.view.me.name
                for s in world.spots
                if s.lives
                and (s.alive and not s.stopped or world.now - max(s.died, s.stopped_at) < self.grace)
            }
            if standing.at_least > len(recent):
                self._report(spot, f"at least {standing.at_least}, {len(recent)} ran lately")
        age = (world.now - spot.born) / SECOND
        datagrams, size = view.budget.sent
        if datagrams > world.options.datagrams_per_second * (
            age + 1.1
        ) or size > world.options.bytes_per_second * (age + 1.1):
            self._report(spot, f"{datagrams} datagrams and {size} bytes in {age:.1f} s")

    def _report(self, spot: Spot, what: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(f"{self.world.now / SECOND:.3f} s {spot.name}: {what}")


def settled_world(
    seed: object, count: int, options: Options = SHORT_LEASE, **world_options: object
) -> tuple[World, InvariantChecker]:
    """A simulated fleet whose members have settled, with its checker."""
    world = World(f"{seed}", count, options, **world_options)  # type: ignore[arg-type]
    checker = InvariantChecker(world)
    world.start_all()
    assert world.run(60, world.settled)
    return world, checker


def wait_until_settled(world: World, seconds: float = 60) -> None:
    """Run until all that reach one another have the same view; the failure lists the state of each."""
    if not world.run(seconds, world.settled):
        found = [
            (s.name, s.view.settled, s.view.standing.at_least, s.view.digest(s.clock())[:6])
            for s in world.living()
        ]
        raise AssertionError(f"not settled at {world.now / SECOND:.1f} s: {found}")


def states(spot: Spot) -> dict[str, State]:
    return {m.entry.name: m.state for m in spot.view.table}


def campaign(seed: int, members: tuple[int, ...] = (4, 7, 12), leases: int = 20) -> list[str]:
    """Run a random schedule of kills, starts, stops, partitions, one-way links and packet loss.

    Returns the violations of invariants.
    """
    rng = Random(f"campaign/{seed}")
    count = rng.choice(members)
    world = World(seed, count, Options(lease=leases * SECOND, drift=0.01))
    for spot in world.spots:
        spot.rate = 1 + rng.uniform(-0.01, 0.01)
    checker = InvariantChecker(world)
    world.start_all()
    for _ in range(rng.randint(3, 8)):
        world.run(rng.choice([0.2, 1.0, 4.0, 12.0, 30.0]))
        inject_fault(world, rng)
    world.mend()
    if not world.run(60 + leases, world.settled):
        found = [(s.name, s.view.settled, s.view.standing) for s in world.living()]
        checker.violations.append(f"not settled {found}")
    return checker.violations


def inject_fault(world: World, rng: Random) -> None:
    chosen = rng.sample(world.spots, rng.randint(1, max(1, len(world.spots) * 7 // 10)))
    kind = rng.choice(
        ["kill", "restart", "stop", "resume", "cut", "mend", "one-way", "weather", "leave", "wall"]
    )
    if kind == "cut":
        order = rng.sample(range(len(world.spots)), len(world.spots))
        split = rng.randint(1, len(order) - 1)
        world.groups = [frozenset(order[:split]), frozenset(order[split:])]
    elif kind == "mend":
        world.groups, world.blocked = [], set()
    elif kind == "one-way":
        world.blocked |= {(chosen[0].number, s.number) for s in chosen[1:]}
    elif kind == "weather":
        world.weather.loss, world.weather.double = rng.choice([0, 0.1, 0.3]), rng.choice([0, 0.2])
        world.weather.late = rng.choice([0, 0.1])
    else:
        for spot in chosen:
            apply_fault(world, kind, spot, rng)


def apply_fault(world: World, kind: str, spot: Spot, rng: Random) -> None:
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

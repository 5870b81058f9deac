"""Drawn days of the agreement on the virtual clock: which faults come when, and what must hold at the end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dykeshift.agree.state import Options
from dykeshift.rig.agreement import Agreement
from dykeshift.rig.linear import check
from dykeshift.rig.virtual import SECOND, Spot

KINDS = (
    "kill",
    "restart",
    "leader",
    "stop",
    "resume",
    "cut",
    "minority",
    "mend",
    "one-way",
    "weather",
    "leave",
    "spoil",
    "flicker",
)

SMALL = (
    "restart",
    "leader",
    "resume",
    "flicker",
    "cut",
    "minority",
    "minority",
    "mend",
    "mend",
    "one-way",
    "weather",
    "spoil",
    "back",
)


@dataclass
class Found:
    """What came of a day."""

    seed: int
    broken: list[str]
    answered: int = 0
    unknown: int = 0
    rescued: bool = False
    states: Counter[str] = field(default_factory=Counter)


def play(
    seed: int, members: tuple[int, ...] = (3, 4, 5, 7, 9, 12), leases: float = 4.0, world: Any = None
) -> Found:
    """One day: processes with and without disks, clients all the time, three to eight troubles, then
    peace."""
    random = Random(f"campaign/agree/{seed}")
    storm = random.random() < 0.4  # many small troubles close to one another, mostly among voters with disks
    count = random.choice((3, 5) if storm else members)
    having = random.choice((0.0, 0.5, 1.0, 1.0) if storm else (0.0, 0.0, 0.5, 1.0))
    disks = tuple(n for n in range(count) if random.random() < having)
    options = Options(
        voters=random.choice((3, 5)) if count >= 5 else 3,
        lease=int(leases * SECOND),
        replace=8 * SECOND,
        keep=random.choice((4, 16, 256)),
    )
    day = (world or Agreement)(seed, count, options, disks)
    day.start_all()
    if not day.run(30, day.led):
        return Found(seed, ["nobody led at first"])
    day.busy(random.choice((0.1, 0.3)), 600)
    for _ in range(random.randint(20, 40) if storm else random.randint(3, 8)):
        day.run(random.choice((0.01, 0.03, 0.1, 0.5, 2.0) if storm else (0.05, 0.3, 1.0, 3.0, 8.0)))
        trouble(day, random, SMALL if storm else KINDS)
    rescued = peace(day) or day.states["founded"] > 1  # or all were lost at once, and all began anew
    operations = list(day.operations)
    if not rescued and not day.broken:
        stuck = check(operations)
        if stuck:
            day.broken.append(f"no order: {stuck}")
    answered = sum(o.end < 1 << 62 for o in operations)
    return Found(seed, day.broken, answered, len(operations) - answered, rescued, day.states)


def trouble(day: Agreement, random: Random, kinds: tuple[str, ...] = KINDS) -> None:
    """Do one trouble, drawn from `kinds`, to the world."""
    some = random.sample(day.spots, random.randint(1, max(1, len(day.spots) // 3)))
    kind = random.choice(kinds)
    if kind in _WHOLE:
        _WHOLE[kind](day, random, some)
    else:
        for spot in some:
            befall(day, kind, spot, random)


def _cut(day: Agreement, random: Random, some: list[Spot]) -> None:
    order = random.sample(range(len(day.spots)), len(day.spots))
    at = random.randint(1, len(order) - 1)
    day.groups = [frozenset(order[:at]), frozenset(order[at:])]


def _cut_leader_off(day: Agreement, random: Random, some: list[Spot]) -> None:
    leader, count = day.leader(), len(day.spots)
    if leader is not None:
        with_it = {leader, *random.sample(range(count), random.randint(0, count // 3))}
        day.groups = [frozenset(with_it), frozenset(range(count)) - with_it]


def _start_the_dead(day: Agreement, random: Random, some: list[Spot]) -> None:
    for spot in day.spots:
        if not spot.alive:
            day.start(spot)


def _mend(day: Agreement, random: Random, some: list[Spot]) -> None:
    day.groups, day.blocked = [], set()


def _block_one_way(day: Agreement, random: Random, some: list[Spot]) -> None:
    first = some[0]
    day.blocked |= {(first.number, s.number) for s in day.spots if s is not first and random.random() < 0.5}


def _change_weather(day: Agreement, random: Random, some: list[Spot]) -> None:
    day.weather.loss, day.weather.double = random.choice((0, 0.1, 0.3)), random.choice((0, 0.2))
    day.weather.late = random.choice((0, 0.1))


def _lose_leader(day: Agreement, random: Random, some: list[Spot]) -> None:
    leader = day.leader()
    if leader is not None:
        random.choice((day.kill, day.stop))(day.spots[leader])


# Troubles of the whole world; all others befall single processes.
_WHOLE: dict[str, Callable[[Agreement, Random, list[Spot]], None]] = {
    "cut": _cut,
    "minority": _cut_leader_off,
    "back": _start_the_dead,
    "mend": _mend,
    "one-way": _block_one_way,
    "weather": _change_weather,
    "leader": _lose_leader,
}


def befall(day: Agreement, kind: str, spot: Spot, random: Random) -> None:
    """Do one trouble to one process."""
    disk = day.disks.get(spot.number)
    if kind == "stop" and spot.alive:
        day.stop(spot)
    elif kind == "resume":
        day.resume(spot)
    elif kind == "kill":
        day.kill(spot)
    elif kind == "leave" and spot.alive and not spot.stopped:
        day.carry(spot, spot.view.leave(spot.clock()))
        day.after(2.0, _gone, day, spot, spot.lives)
    elif kind in ("restart", "flicker"):
        day.kill(spot)
        day.start(spot)
    elif kind == "spoil" and disk is not None:
        day.kill(spot)
        disk.hole = True
        day.start(spot)


def _gone(day: Agreement, spot: Spot, life: int) -> None:
    if spot.alive and spot.lives == life:
        day.kill(spot)


def peace(day: Agreement) -> bool:
    """All back and whole: one history again. Whether it took a rescue by hand."""
    day.mend()
    day.until = day.now  # no more of the clients
    if day.run(60, day.level):
        return False
    best = max(day.up(), key=lambda s: (s.view.core.shared.epoch[1:], s.view.core.shared.commit))
    if day.electable():
        day.broken.append(f"not level though a majority is there: {_told(day)}")
        return False
    why = day.rescue(best.number)
    if why or not day.run(60, day.level):
        day.broken.append(f"not level after a rescue: {why} {_told(day)}")
    return True


def _told(day: Agreement) -> list[tuple[str, str, int, int]]:
    return [
        (s.name, s.view.core.voter.role.name, s.view.core.shared.epoch[1], s.view.core.shared.commit)
        for s in day.up()
    ]

"""What befalls the fleet in a run: a seeded plan of typed events, by machine, rack, zone and region.

Some voters may be among those that are lost. Whole daemons are spared: they are other processes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from dykeshift.scale.placement import WHOLE_ZONE
from dykeshift.scale.role import Roster, Seat

DAY = 86_400.0  # seconds
CHANGES_A_DAY = 3_400
RESTARTS_A_DAY = 3_500
MACHINES_LOST = 20
LOSS = 0.1  # share of datagrams
ROLL_BATCH = 0.05  # share of the members that a rolling release restarts at once
RESTART_SPEEDUP = 20  # restarts come so many times as often as in a day, in a run of minutes
CHANGES = 6  # of a run
TENFOLD = 12
MOST_DRAWS = 50  # tries to find a loss that leaves a majority of voters
SMALL_LOSS = 5  # one machine in so many, where the fleet is too small to lose 20


@dataclass(frozen=True, slots=True)
class Rest:
    """Nothing happens."""

    name: str = "rest"
    loss: float = 0.0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the configuration, asked for at a pace."""

    name: str
    count: int
    every_s: float
    loss: float = 0.0


@dataclass(frozen=True, slots=True)
class Lost:
    """These are killed at once, and come back once the others have settled without them."""

    name: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Apart:
    """The regions lose each other, and find each other again."""

    name: str = "regions"


@dataclass(frozen=True, slots=True)
class Restarts:
    """These are restarted one after the other, each killed and started anew at once."""

    name: str
    numbers: tuple[int, ...]
    every_s: float


@dataclass(frozen=True, slots=True)
class Roll:
    """All are restarted, one batch after the other, each with a goodbye."""

    batches: tuple[tuple[int, ...], ...]
    every_s: float
    name: str = "roll"


Event = Rest | Changes | Lost | Apart | Restarts | Roll


def draw(
    roster: Roster, hollow: int, seed: int, names: tuple[str, ...], limit: float, voters: tuple[int, ...] = ()
) -> list[Event]:
    """Events by names, in their order, each of at most `limit` seconds; KeyError where one is none.

    Of `voters` no event takes a majority at once: what then is to be done is an operator's (rescue).
    """
    return [_drawn(name, roster, hollow, seed, limit, frozenset(voters)) for name in names]


def _drawn(name: str, roster: Roster, hollow: int, seed: int, limit: float, voters: frozenset[int]) -> Event:
    event = MAKERS[name](roster.seats, hollow, Random(f"faults/{seed}/{name}"), limit)
    for attempt in range(MOST_DRAWS):
        if not isinstance(event, Lost) or 2 * len(voters & set(event.numbers)) < max(1, len(voters)):
            return event
        event = MAKERS[name](roster.seats, hollow, Random(f"faults/{seed}/{name}/{attempt}"), limit)
    assert isinstance(event, Lost)
    return Lost(name, tuple(n for n in event.numbers if n not in voters))


def _able(seats: tuple[Seat, ...], hollow: int) -> list[Seat]:
    """Who may be lost: all but whole daemons."""
    return [seat for seat in seats if seat.number < hollow or seat.control]


def _rest(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    return Rest()


def _loss(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    return Changes("loss", 1, limit, LOSS)


def _changes(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    every = DAY / CHANGES_A_DAY
    return Changes("changes", max(1, min(CHANGES, int(limit / every))), every)


def _tenfold(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    every = DAY / CHANGES_A_DAY / 10
    return Changes("changes-tenfold", max(1, min(TENFOLD, int(limit / 2 / every))), every)


def _machines(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    able = _able(seats, hollow)
    machines = sorted({seat.machine for seat in able})
    lost = set(chance.sample(machines, min(MACHINES_LOST, max(1, len(machines) // SMALL_LOSS))))
    return Lost("machines", tuple(seat.number for seat in able if seat.machine in lost))


def _group(seats: list[Seat], chance: Random, name: str, key: Callable[[Seat], int]) -> Event:
    groups = sorted({key(seat) for seat in seats if seat.zone != WHOLE_ZONE})
    lost = chance.choice(groups)
    return Lost(name, tuple(seat.number for seat in seats if key(seat) == lost))


def _rack(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    return _group(_able(seats, hollow), chance, "rack", lambda seat: seat.rack)


def _zone(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    return _group(_able(seats, hollow), chance, "zone", lambda seat: seat.zone)


def _regions(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    return Apart()


def _restarts(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    every = DAY / RESTARTS_A_DAY / RESTART_SPEEDUP
    able = [seat.number for seat in _able(seats, hollow)]
    return Restarts(
        "restarts", tuple(chance.sample(able, min(len(able), max(1, int(limit / 2 / every))))), every
    )


def _roll(seats: tuple[Seat, ...], hollow: int, chance: Random, limit: float) -> Event:
    able = [seat.number for seat in _able(seats, hollow)]
    chance.shuffle(able)
    size = max(1, int(len(able) * ROLL_BATCH))
    batches = tuple(tuple(able[n : n + size]) for n in range(0, len(able), size))
    return Roll(batches, limit / 2 / len(batches))


MAKERS: dict[str, Callable[[tuple[Seat, ...], int, Random, float], Event]] = {
    "rest": _rest,
    "changes": _changes,
    "changes-tenfold": _tenfold,
    "loss": _loss,
    "machines": _machines,
    "rack": _rack,
    "zone": _zone,
    "regions": _regions,
    "restarts": _restarts,
    "roll": _roll,
}
NAMES = tuple(MAKERS)

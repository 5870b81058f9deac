"""A stand-in population of upstreams with its churn, drawn from a seed.

Theory of operation. A population is a fixed number of *slots*; a slot has an address of its own on the
loopback network, a zone, a cell (rack) and a service, for good. At every instant at most one process lives
in a slot. Churn is a list of steps in order of time: a process is listed as `leaving`, then as `left`; a
*restart* comes back in the same slot under its old id, a *replacement* under a new one. No slot is touched
by two of these at once. Nothing here reads a clock or opens a socket: the caller says when a step is made.

Discovery's protocol has no field for the service of an upstream, so no row of the list tells it; the number
is kept here for those who work out what a balancer would hold if it were told.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from random import Random

from dykeshift.standins.registry import Instance

TARGET_UPSTREAMS = 10_000
TARGET_SERVICES = 510
TARGET_ZONES = 5
TARGET_BALANCERS = 930
TARGET_RESTARTS_A_DAY = 3_500

CELLS_IN_A_ZONE = 20
REPLACED_SHARE = 0.5  # of the churn: a new id instead of a restart under the old one
LEAVING_S = 0.5  # seconds from `leaving` to `left`
AWAY_S = 0.5  # seconds from `left` to `active`
FIRST_OCTET, SECOND_OCTET = 127, 64  # 127.64.0.0 and above: apart from what else listens on loopback
OCTET_VALUES = 250


def address_of(slot: int, port: int) -> tuple[str, int]:
    """The loopback address of a slot; every slot has one of its own."""
    high, low = divmod(slot, OCTET_VALUES)
    higher, middle = divmod(high, OCTET_VALUES)
    return f"{FIRST_OCTET}.{SECOND_OCTET + higher}.{middle + 1}.{low + 1}", port


@dataclass(frozen=True, slots=True)
class PopulationShape:
    """How large a population is and how it is spread."""

    upstreams: int
    services: int = TARGET_SERVICES
    zones: int = TARGET_ZONES

    def zone_names(self) -> tuple[str, ...]:
        """As the settings word them (`failureDomains`)."""
        return tuple(f"zone-{number}" for number in range(self.zones))

    def balancers(self) -> int:
        """How many balancers share it, in the proportion of the target size."""
        return max(1, round(self.upstreams * TARGET_BALANCERS / TARGET_UPSTREAMS))

    def restarts_a_day(self) -> int:
        """How many processes are restarted or replaced a day, in the proportion of the target size."""
        return max(1, round(self.upstreams * TARGET_RESTARTS_A_DAY / TARGET_UPSTREAMS))


class Population:
    """The slots of a shape and who lives in each at the start. The same seed gives the same population."""

    def __init__(self, shape: PopulationShape, seed: int, port: int = 1) -> None:
        """`port`: at which all listen, each on its own address."""
        self.shape = shape
        random = Random(seed)
        zones = shape.zone_names()
        slots = range(shape.upstreams)
        self.services = [random.randrange(shape.services) for _ in slots]
        self.first = [
            Instance(
                id=f"s-{random.getrandbits(40):010x}-{slot}",
                address=address_of(slot, port),
                zone=zones[slot % shape.zones],
                cell=slot % shape.zones * CELLS_IN_A_ZONE + random.randrange(CELLS_IN_A_ZONE),
            )
            for slot in slots
        ]

    def in_zone(self, zone: int) -> list[Instance]:
        """Those that are there at the start and go with a zone."""
        name = self.shape.zone_names()[zone]
        return [instance for instance in self.first if instance.zone == name]


@dataclass(frozen=True, slots=True)
class ChurnStep:
    """One change of the list: the entry of a slot as it becomes, `at_s` seconds after the start."""

    at_s: float
    slot: int
    instance: Instance
    starts: bool = False  # a process begins: its start time is for the caller to fill in

    def entry(self, now_ms: int) -> Instance:
        """The entry to list when the step is made at `now_ms` (Unix time)."""
        return replace(self.instance, started_ms=now_ms) if self.starts else self.instance


def draw_churn(population: Population, restarts: int, seconds: float, seed: int) -> tuple[ChurnStep, ...]:
    """Steps of so many restarts and replacements, spread evenly over the time.

    Raises ValueError where the population is too small to have each slot in one of them at a time.
    """
    busy_s = LEAVING_S + AWAY_S
    if restarts * busy_s > seconds * population.shape.upstreams / 2:
        raise ValueError(
            f"{restarts} restarts in {seconds:g} s are too many for {population.shape.upstreams}"
        )
    random = Random(seed)
    lives = list(population.first)
    free_at = [0.0] * len(lives)
    steps = list[ChurnStep]()
    for number in range(restarts):
        begin = number * seconds / restarts
        slot = random.randrange(len(lives))
        while free_at[slot] > begin:
            slot = random.randrange(len(lives))
        free_at[slot] = begin + busy_s
        old = lives[slot]
        new = replace(old, id=f"{old.id}+") if random.random() < REPLACED_SHARE else old
        lives[slot] = new
        steps.append(ChurnStep(begin, slot, replace(old, lifecycle="leaving")))
        steps.append(ChurnStep(begin + LEAVING_S, slot, replace(old, lifecycle="left")))
        steps.append(ChurnStep(begin + busy_s, slot, new, starts=True))
    return tuple(sorted(steps, key=lambda step: (step.at_s, step.slot)))


def listed_after(first: Iterable[Instance], steps: Iterable[ChurnStep]) -> dict[str, Instance]:
    """Who is listed once all these steps are made, by id; the truth that a balancer is held to."""
    listed = {instance.id: instance for instance in first}
    for step in steps:
        if step.instance.lifecycle == "left":
            listed.pop(step.instance.id, None)
        else:
            listed[step.instance.id] = step.instance
    return listed


def update(generation: int, whole: bool, instances: Iterable[Instance]) -> dict[str, object]:
    """A list or a change of it in discovery's form."""
    return {"generation": generation, "reset": whole, "instances": [one.row() for one in instances]}


def batches(steps: Iterable[ChurnStep], every_s: float) -> Iterator[list[ChurnStep]]:
    """The steps of each span of `every_s` seconds that has any: what one answer of a watch brings."""
    batch, number = list[ChurnStep](), 0
    for step in steps:
        if batch and int(step.at_s / every_s) != number:
            yield batch
            batch = []
        number = int(step.at_s / every_s)
        batch.append(step)
    if batch:
        yield batch

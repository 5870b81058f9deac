"""Measurements of the results file out of the JSON that `lifttrail scale run` prints.

Theory of operation. A run has one size; a measurement has one point for each size. So a run is taken into
what the file holds: its figures become points, in the place of points of the same size and seed, beside
those of other sizes. Ids are `run.DESIGN.EVENT.KIND.FIGURE` for what members of one kind cost,
`run.DESIGN.EVENT.FIGURE` for what the fleet took, and `run.DESIGN.control.WHOSE` for a whole daemon's control
beside a hollow member's; those of the virtual clock begin with `virtual`. The sizes of a measurement may
come from several programs: `program` is that of the latest run.

Promise: nothing is in the measurement that the run did not print; a spread of no values makes no point.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from dykeshift.scale.results import (
    ClockKind,
    Measurement,
    Point,
    ResultsError,
    ResultsFile,
    Role,
    Situation,
    program_version,
)

SITUATIONS = {
    "rest": Situation.AT_REST,
    "changes": Situation.ORDINARY_DAY,
    "loss": Situation.ORDINARY_DAY,
    "machines": Situation.ORDINARY_DAY,
    "rack": Situation.ORDINARY_DAY,
    "restarts": Situation.ORDINARY_DAY,
    "changes-tenfold": Situation.TEN_TIMES_CHANGES,
    "zone": Situation.ZONE_GONE,
    "regions": Situation.REGIONS_APART,
    "roll": Situation.WHOLE_ROLL,
    "start": Situation.BACK_FROM_NOTHING,
}
RUN_WORDS = {ClockKind.REAL: "run", ClockKind.VIRTUAL: "virtual"}  # with which ids begin
BACK = "-back"  # at the end of an event's name: those that were lost come back
STANDING_DESIGN = "membership"  # where balancers are the voters: nobody else bears control
ROLES = {"voter": Role.VOTER, "replica": Role.REPLICA, "leader": Role.VOTER}
RATES = {"cpu_ms_s": "cpu", "datagrams_s": "datagrams", "bytes_s": "bytes", "received_bytes_s": "received"}
RATE_WORDS = {
    "cpu": ("processor time", "ms/s"),
    "datagrams": ("datagrams sent", "datagrams/s"),
    "bytes": ("bytes sent", "bytes/s"),
    "received": ("bytes received", "bytes/s"),
}


class RunSpread(msgspec.Struct, frozen=True):
    """Median, 99th percentile and most of so many values."""

    median: float
    p99: float
    most: float
    count: int

    def point(self, size: int, seed: int) -> Point:
        """The spread as a point; its 99th percentile is by rank, so it lies between the others."""
        p99 = min(max(self.p99, self.median), self.most)
        return Point(
            size=size, median=max(0.0, self.median), p99=p99, most=self.most, rounds=self.count, seed=seed
        )


class RunEvent(msgspec.Struct, frozen=True):
    """What one event of a run showed."""

    event: str
    rates: dict[str, dict[str, RunSpread | None]]
    settled_s: RunSpread | None = None
    all_settled_s: float | None = None
    left_behind: tuple[int, ...] = ()
    in_force_s: RunSpread | None = None
    everywhere_s: RunSpread | None = None


class RunWanted(msgspec.Struct, frozen=True):
    """What the run was asked to be."""

    members: int
    real: int
    seconds: float
    seed: int
    clock: ClockKind
    design: str
    settled: bool = True
    events: tuple[str, ...] = ()  # none named: all


class RunCosts(msgspec.Struct, frozen=True):
    """A whole daemon's control beside a hollow member's, at rest: milliseconds a second."""

    whole_control: float
    hollow_all: float


class RunWhole(msgspec.Struct, frozen=True):
    """What a run with whole daemons says of these."""

    cpu_ms_s: RunCosts | None = None


class RunRecord(msgspec.Struct, frozen=True):
    """A run as it was printed; what is not taken over is not named here."""

    wanted: RunWanted
    starved: bool
    events: tuple[RunEvent, ...]
    memory_mb: RunSpread | None = None
    whole: RunWhole = RunWhole()

    @property
    def command(self) -> str:
        """The command that gives this run."""
        wanted = self.wanted
        text = f"lifttrail scale run --members {wanted.members} --real {wanted.real}"
        text += f" --seconds {wanted.seconds:g} --seed {wanted.seed}"
        if wanted.clock is ClockKind.VIRTUAL:
            text += " --clock virtual"
        if wanted.design != STANDING_DESIGN:
            text += f" --design {wanted.design}"
        if not wanted.settled:
            text += " --start cold"
        if wanted.events:
            text += f" --events {','.join(wanted.events)}"
        return text + " --json"


def decode(text: bytes) -> RunRecord:
    """The run that was printed; raises `ResultsError`."""
    try:
        return msgspec.json.decode(text, type=RunRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ResultsError(f"not the JSON of a scale run: {exc}") from None


def situation_of(event: str) -> Situation | None:
    """What the installation goes through in that event; None for one that is no line's."""
    return SITUATIONS.get(event.removesuffix(BACK))


def measurements(record: RunRecord) -> tuple[Measurement, ...]:
    """What the run showed, each with one point."""
    return (
        tuple(_of_rates(record))
        + tuple(_of_times(record))
        + tuple(_of_memory(record))
        + tuple(_of_control(record))
    )


def take(results: ResultsFile, record: RunRecord, program: str = "") -> ResultsFile:
    """The results with the run's points in them, by size and seed; raises `ResultsError`.

    `program`: which one was run, where it is not this one.
    """
    found = measurements(record)
    if program:
        found = tuple(msgspec.structs.replace(one, program=program) for one in found)
    return results.merged(_joined(results.find(one.id), one) for one in found)


def _joined(before: Measurement | None, new: Measurement) -> Measurement:
    if before is None:
        return new
    if (before.unit, before.parameter) != (new.unit, new.parameter):
        raise ResultsError(f"measurement {new.id!r}: the file has it in another unit or parameter")
    taken = {(point.size, point.seed) for point in new.points}
    kept = tuple(point for point in before.points if (point.size, point.seed) not in taken)
    starved = new.starved or (before.starved and bool(kept))
    return msgspec.structs.replace(new, points=kept + new.points, starved=starved)


def _of_rates(record: RunRecord) -> Iterator[Measurement]:
    for event in record.events:
        for kind, rates in event.rates.items():
            for field, figure in RATES.items():
                spread = rates.get(field)
                if spread is not None:
                    quantity, unit = RATE_WORDS[figure]
                    yield from _built(record, event.event, kind, figure, quantity, unit, spread)


def _of_times(record: RunRecord) -> Iterator[Measurement]:
    for event in record.events:
        spreads = {
            "settled": ("time until a member had settled", event.settled_s),
            "in-force": ("time until in force at a member", event.in_force_s),
            "everywhere": ("time until in force everywhere", event.everywhere_s),
        }
        for figure, (quantity, spread) in spreads.items():
            if spread is not None:
                yield from _built(record, event.event, "", figure, quantity, "s", spread)
        behind = RunSpread(len(event.left_behind), len(event.left_behind), len(event.left_behind), 1)
        yield from _built(record, event.event, "", "left-behind", "members left behind", "members", behind)


def _of_memory(record: RunRecord) -> Iterator[Measurement]:
    if record.memory_mb is not None:
        yield from _built(record, "rest", "", "memory", "resident memory of a member", "MB", record.memory_mb)


def _of_control(record: RunRecord) -> Iterator[Measurement]:
    """Both on the real clock, in one run: what a hollow member's figures have to be taken times."""
    costs = record.whole.cpu_ms_s
    if costs is None:
        return
    for whose, value in (("whole", costs.whole_control), ("hollow", costs.hollow_all)):
        one = RunSpread(value, value, value, 1)
        quantity = f"processor time of control, {whose}, sockets and loop with it"
        for built in _built(record, "rest", "", "control", quantity, "ms/s", one):
            yield msgspec.structs.replace(built, id=f"{_prefix(record)}.control.{whose}")


def _prefix(record: RunRecord) -> str:
    return f"{RUN_WORDS[record.wanted.clock]}.{record.wanted.design}"


def _built(
    record: RunRecord, event: str, kind: str, figure: str, quantity: str, unit: str, spread: RunSpread
) -> Iterator[Measurement]:
    situation, wanted = situation_of(event), record.wanted
    if situation is None:
        return
    standing = wanted.design == STANDING_DESIGN
    yield Measurement(
        id=".".join(part for part in (_prefix(record), event, kind, figure) if part),
        name=f"{event}, {kind}" if kind else event,
        role=Role.CONTROL if standing else ROLES.get(kind, Role.CONTROL),
        quantity=quantity,
        unit=unit,
        situation=situation,
        parameter="members",
        parameter_unit="members",
        points=(spread.point(wanted.members, wanted.seed),),
        command=record.command,
        program=program_version(),
        clock=wanted.clock,
        starved=record.starved,
        conditions={"design": wanted.design, "start": "settled" if wanted.settled else "cold"},
    )

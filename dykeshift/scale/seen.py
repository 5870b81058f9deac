"""What a short look had seen before anything was measured by a command, to be confirmed or corrected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dykeshift.scale.lines import BEFORE_VARIANT
from dykeshift.scale.results import Measurement, ResultsFile
from dykeshift.scale.slopes import Statistic, value_of

CLOSE = 0.25  # relative difference up to which a figure is confirmed


class Outcome(StrEnum):
    """What the measurement says of the figure that was seen."""

    CONFIRMED = "confirmed"
    CORRECTED = "corrected"
    NOT_SHOWN = "not shown"


@dataclass(frozen=True, slots=True)
class Seen:
    """A figure that was seen, and the measurement that it is held against."""

    what: str
    measurement: str
    figures: tuple[tuple[float, float], ...]
    """Size and value, in the measurement's unit."""
    statistic: Statistic = Statistic.MEDIAN


@dataclass(frozen=True, slots=True)
class Checked:
    """What was seen beside what was measured, at the sizes of both."""

    seen: Seen
    measurement: Measurement | None
    figures: tuple[tuple[float, float, float], ...]
    """Size, seen, measured."""
    outcome: Outcome


SEEN: tuple[Seen, ...] = (
    Seen("a class's terms change", "module.settings.change", ((10_000, 18.0),)),
    Seen("kept after 300 changes of one class (0.7 MB each)", "module.settings.kept", ((10_000, 210.0),)),
    Seen(
        "state by server and class at 10,000 servers",
        "module.state.by-classes",
        ((3, 6.0), (24, 20.0), (510, 355.0)),
    ),
    Seen("a changed entry of the list", "module.list.entry", ((200, 0.1), (1_000, 0.5), (10_000, 6.0))),
    Seen("a sweep, list at rest", "module.sweep", ((10_000, 2.0),)),
    Seen("a sweep, one upstream in a hundred leaving, one cold", "module.sweep.day", ((10_000, 2.0),)),
    Seen("a zone gone, told one by one", "module.list.zone-one-by-one", ((10_000, 12_000.0),)),
    Seen("membership, in quiet", "membership.quiet.cpu", ((40, 1.1), (100, 1.6), (200, 2.4))),
    Seen("membership, all start", "membership.start", ((200, 24.0),)),
    Seen("a change that contradicts", "versions.change.contradicting", ((12, 11.6), (40, 11.9))),
    Seen("all start but one place: no leader (counted as 120 s)", "consensus.start.missing", ((1, 120.0),)),
)


def check_seen(results: ResultsFile, all_seen: tuple[Seen, ...] = SEEN) -> tuple[Checked, ...]:
    """Each figure beside the program's of that time, where its measurement is there, else of now."""
    return tuple(_checked(seen, results) for seen in all_seen)


def _checked(seen: Seen, results: ResultsFile) -> Checked:
    before = results.find(f"{seen.measurement}.{BEFORE_VARIANT}")
    measurement = before if before is not None else results.find(seen.measurement)
    if measurement is None:
        return Checked(seen, None, (), Outcome.NOT_SHOWN)
    measured = {point.size: value_of(point, seen.statistic) for point in measurement.points}
    figures = tuple((size, value, measured[size]) for size, value in seen.figures if size in measured)
    if not figures:
        return Checked(seen, measurement, (), Outcome.NOT_SHOWN)
    close = all(abs(found - value) <= CLOSE * value for _, value, found in figures)
    return Checked(seen, measurement, figures, Outcome.CONFIRMED if close else Outcome.CORRECTED)

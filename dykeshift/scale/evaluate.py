"""What a line comes to: its value at the target, what that rests on, and the verdict.

Theory of operation. A line's ways are tried newest first; the first whose every measurement gives a value
carries the verdict. A way whose measurement is not in the file, or has too few sizes for a fit, gives
nothing: no value, and with no other way the verdict is *not shown*. A value rests on the weakest of its
terms: *extrapolated* before *interpolated* before *measured*; what was multiplied or added is *worked out
from* these.

Promises: every line has one of three verdicts; a line without a measurement has no value; what a starved
machine lengthens (times, what is late or lost) is no proof that something does not fit.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from dykeshift.scale.lines import LINES, Line, Term, Way
from dykeshift.scale.mechanisms import MECHANISMS, Mechanism, State
from dykeshift.scale.results import Measurement, ResultsFile
from dykeshift.scale.slopes import Basis, FitError, estimate
from dykeshift.scale.targets import Bound, Target

WEAKEST_FIRST = (Basis.EXTRAPOLATED, Basis.INTERPOLATED, Basis.MEASURED)
SAFE_UNITS = ("MB", "KB", "bytes", "bytes/s", "datagrams/s")  # of what a starved machine does not change
PROCESSOR_WORD = "processor time"  # nor this
LIMIT = "limit"  # the condition that says at which value a run gave up


class Verdict(StrEnum):
    """What a line's value says of its target."""

    FITS = "fits"
    DOES_NOT_FIT = "does not fit"
    NOT_SHOWN = "not shown"


@dataclass(frozen=True, slots=True)
class Value:
    """What one way of a line comes to, in the target's unit."""

    way: str
    value: float
    factor: float
    """How many times the target it is; one is on the line."""
    basis: Basis
    growth: tuple[str, ...]
    """Of the terms that have a fit, by size: flat, log n, n, n log n, n squared."""
    worked_out: bool
    """More than a single measurement's value."""
    reach: float
    """How many times the largest measured size was gone to."""
    starved: bool
    at_least: bool
    """A run gave up: the true value is this or more."""


@dataclass(frozen=True, slots=True)
class Worked:
    """A line with its values and its verdict."""

    line: Line
    verdict: Verdict
    value: Value | None
    others: tuple[Value, ...]
    """Of the ways behind the one that has the verdict."""
    missing: tuple[str, ...]
    """Why there is no value: in words, one for each way."""

    @property
    def factor(self) -> float:
        """Nought where there is no value."""
        return self.value.factor if self.value is not None else 0.0


@dataclass(frozen=True, slots=True)
class Ranked:
    """A mechanism that does not carry its lines yet."""

    mechanism: Mechanism
    worst: Worked
    failing: int
    """Of its own lines."""
    standing: int
    """Lines that do not fit of mechanisms that stand on it."""


def work_out(line: Line, results: ResultsFile) -> Worked:
    """The line's value and verdict by what the file holds."""
    values, missing = list[Value](), list[str]()
    for way in line.ways:
        try:
            values.append(_value_of(way, line.target, results))
        except FitError as exc:
            missing.append(str(exc))
    if not values:
        return Worked(line, Verdict.NOT_SHOWN, None, (), tuple(missing))
    shown = [value for value in values if _verdict_of(value) is not Verdict.NOT_SHOWN]
    value = (shown or values)[0]
    others = tuple(one for one in values if one is not value)
    return Worked(line, _verdict_of(value), value, others, ())


def as_found(lines: Sequence[Line] = LINES) -> tuple[Line, ...]:
    """The lines with their ways oldest first: as they were before the newest mechanisms."""
    return tuple(replace(line, ways=line.ways[::-1]) for line in lines)


def work_out_all(results: ResultsFile, lines: Sequence[Line] = LINES) -> tuple[Worked, ...]:
    """All lines, in their order."""
    return tuple(work_out(line, results) for line in lines)


def rank(worked: Sequence[Worked], standing_too: bool = False) -> tuple[Ranked, ...]:
    """Mechanisms with lines that do not fit, in the order in which they are to be built.

    `standing_too`: also those that stand by now, for lines as they were found.

    First comes, of those whose own needs come before them, the one furthest over its target on which others'
    lines stand; where no lines stand on any, the one furthest over its target.
    """
    asked = [one for one in MECHANISMS if standing_too or one.state is not State.STANDS]
    left = [found for one in asked if (found := _ranked(one, worked)) is not None]
    waiting = {one.mechanism.key for one in left}
    order = list[Ranked]()
    while left:
        ready = [one for one in left if not waiting.intersection(one.mechanism.needs)]
        first = max(ready, key=lambda one: (one.standing > 0, one.worst.factor))
        left.remove(first)
        waiting.discard(first.mechanism.key)
        order.append(first)
    return tuple(order)


def term_measurement(term: Term, results: ResultsFile) -> Measurement:
    """The measurement of a term; `FitError` where the file has none."""
    measurement = results.find(term.measurement)
    if measurement is None:
        raise FitError(f"no measurement {term.measurement}")
    return measurement


def _ranked(mechanism: Mechanism, worked: Sequence[Worked]) -> Ranked | None:
    failing = [one for one in worked if one.verdict is Verdict.DOES_NOT_FIT]
    own = [one for one in failing if one.line.mechanism == mechanism.key]
    if not own:
        return None
    over = _standing_on(mechanism.key)
    standing = sum(one.line.mechanism in over for one in failing)
    return Ranked(mechanism, max(own, key=lambda one: one.factor), len(own), standing)


def _standing_on(key: str) -> set[str]:
    """Keys of the mechanisms that stand on it, also through others."""
    found: set[str] = set()
    while True:
        more = {one.key for one in MECHANISMS if {key, *found}.intersection(one.needs)} - found
        if not more:
            return found
        found |= more


def _value_of(way: Way, target: Target, results: ResultsFile) -> Value:
    measurements = [term_measurement(term, results) for term in way.terms]
    estimates = [
        estimate(measurement, term.at, term.statistic)
        for term, measurement in zip(way.terms, measurements, strict=True)
    ]
    value = sum(term.factor * one.value for term, one in zip(way.terms, estimates, strict=True))
    return Value(
        way=way.name,
        value=value,
        factor=_factor_of(value, target),
        basis=next(basis for basis in WEAKEST_FIRST if any(one.basis is basis for one in estimates)),
        growth=tuple(one.fit.shape.value for one in estimates if one.fit is not None),
        worked_out=len(way.terms) > 1 or way.terms[0].factor != 1.0,
        reach=max(one.reach for one in estimates),
        starved=any(map(_lengthened, measurements)),
        at_least=any(map(_gave_up, measurements)),
    )


def _factor_of(value: float, target: Target) -> float:
    if target.bound is Bound.AT_MOST:
        return value / target.value
    return target.value / value if value > 0 else float("inf")


def _verdict_of(value: Value) -> Verdict:
    if value.factor <= 1.0:
        return Verdict.NOT_SHOWN if value.at_least else Verdict.FITS
    return Verdict.NOT_SHOWN if value.starved else Verdict.DOES_NOT_FIT


def _lengthened(measurement: Measurement) -> bool:
    """Whether a starved machine may have made the figure larger: a time, or what is late or lost."""
    safe = measurement.unit in SAFE_UNITS or PROCESSOR_WORD in measurement.quantity
    return measurement.starved and not safe


def _gave_up(measurement: Measurement) -> bool:
    limit = measurement.conditions.get(LIMIT, "").split(" ")[0]
    return bool(limit) and any(point.median >= float(limit) for point in measurement.points)

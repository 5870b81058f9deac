"""How a measured quantity grows with size: fits, and what they say inside and outside the measured range.

Theory of operation. A fit is `intercept + slope x f(size)` by least squares, with f one of the shapes
below. Each point is weighed by one over its value: a deviation of a tenth counts alike at 40 members and
at 930. The residual is the root mean square of these relative deviations. The flat shape (one term) is
taken where its residual is small (`FLAT`); else, of the shapes with two terms, that of the smallest
residual, the slower growth where two are as good. A cost that falls as the size grows is no growth: it is
taken as flat, with the residual that this has.

Promises: no fit from fewer than three sizes. What was measured at the size asked for is *measured* and
needs no fit; a value between measured sizes is *interpolated*, one beyond them *extrapolated*, never
anything else.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import numpy
from numpy.typing import NDArray

from dykeshift.scale.results import Measurement, Point

LEAST_SIZES = 3
FLAT = 0.02  # relative residual up to which a quantity is held for flat
GAIN = 2.0  # a second term has to make the residual so many times smaller
AS_GOOD = 1.2  # a slower shape is taken where its residual is at most so many times the smallest
EXACT = 1e-9  # relative residuals under this differ by rounding alone
SMALLEST_WEIGHT = 0.02  # values under this share of the largest are weighed as if they were this share

Array = NDArray[numpy.float64]


class FitError(Exception):
    """There is no fit; its text says why, in one line."""


class Statistic(StrEnum):
    """Which figure of a point is meant."""

    MEDIAN = "median"
    P99 = "p99"
    MOST = "most"


class Shape(StrEnum):
    """How a quantity grows with size n, slowest first."""

    FLAT = "flat"
    LOG = "log n"
    LINEAR = "n"
    LINEAR_LOG = "n log n"
    SQUARE = "n squared"


class Basis(StrEnum):
    """What a value rests on."""

    MEASURED = "measured"
    INTERPOLATED = "interpolated"
    EXTRAPOLATED = "extrapolated"


SHAPE_FUNCTIONS: dict[Shape, Callable[[float], float]] = {
    Shape.FLAT: lambda size: 0.0,
    Shape.LOG: lambda size: math.log(max(size, 1.0)),
    Shape.LINEAR: lambda size: size,
    Shape.LINEAR_LOG: lambda size: size * math.log(max(size, 1.0)),
    Shape.SQUARE: lambda size: size * size,
}


@dataclass(frozen=True, slots=True)
class Fit:
    """`intercept + slope x shape(size)`, in the measurement's unit, and the range that it rests on."""

    shape: Shape
    intercept: float
    slope: float
    residual: float
    """Root mean square of the relative deviations."""
    smallest: float
    largest: float
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        """The fit's value at that size; never negative."""
        return max(0.0, self.intercept + self.slope * SHAPE_FUNCTIONS[self.shape](size))


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value at a size, and what it rests on."""

    value: float
    basis: Basis
    fit: Fit | None
    """None where the value was measured and too few sizes are there for a fit."""
    reach: float
    """How many times the largest measured size was gone to; 1 within the range."""


def value_of(point: Point, statistic: Statistic) -> float:
    """That figure of the point; raises `FitError` where the point has none."""
    value: float | None = getattr(point, statistic.value)
    if value is None:
        raise FitError(f"no {statistic} at size {point.size:g}")
    return value


def fit(measurement: Measurement, statistic: Statistic = Statistic.MEDIAN) -> Fit:
    """The best fit over all points; raises `FitError` for fewer than three sizes or a figure not there."""
    sizes = measurement.sizes
    if len(sizes) < LEAST_SIZES:
        raise FitError(f"{measurement.id}: {len(sizes)} of at least {LEAST_SIZES} sizes")
    xs = [point.size for point in measurement.points]
    ys = numpy.array([value_of(point, statistic) for point in measurement.points])
    fits = {shape: _fit_of_shape(shape, xs, ys, sizes) for shape in Shape}
    flat = fits.pop(Shape.FLAT)
    growing = [one for one in fits.values() if one.slope > 0]
    if flat.residual <= FLAT or not growing:
        return flat
    least = min(one.residual for one in growing)
    if flat.residual < GAIN * least:
        return flat
    return next(one for one in growing if one.residual <= max(least * AS_GOOD, EXACT))


def estimate(measurement: Measurement, size: float, statistic: Statistic = Statistic.MEDIAN) -> Estimate:
    """The value at that size, by the points where it was measured, else by the fit; raises `FitError`."""
    here = [value_of(point, statistic) for point in measurement.points if point.size == size]
    try:
        found = fit(measurement, statistic)
    except FitError:
        if not here:
            raise
        found = None
    if here:
        return Estimate(float(numpy.median(here)), Basis.MEASURED, found, 1.0)
    assert found is not None
    inside = found.smallest <= size <= found.largest
    basis = Basis.INTERPOLATED if inside else Basis.EXTRAPOLATED
    return Estimate(found.at(size), basis, found, max(1.0, size / found.largest))


def fit_row(measurement: Measurement, statistic: Statistic = Statistic.MEDIAN) -> dict[str, Any]:
    """The fit of a measurement as plain values; `refused` says why there is none."""
    row: dict[str, Any] = {
        "id": measurement.id,
        "quantity": measurement.quantity,
        "unit": measurement.unit,
        "parameter": measurement.parameter,
        "sizes": measurement.sizes,
        "statistic": statistic.value,
    }
    try:
        found = fit(measurement, statistic)
    except FitError as exc:
        return row | {"refused": str(exc)}
    return row | {
        "growth": found.shape.value,
        "intercept": found.intercept,
        "slope": found.slope,
        "residual": found.residual,
        "range": (found.smallest, found.largest),
    }


def row_text(row: dict[str, Any]) -> str:
    """One line for a row of `fit_row`."""
    head = f"{row['id']}: {row['quantity']}, {row['unit']}"
    if "refused" in row:
        return f"{head}: no fit, {row['refused']}"
    low, high = row["range"]
    terms = f"{row['intercept']:.4g}"
    if row["growth"] != Shape.FLAT.value:
        terms += f" + {row['slope']:.4g} x {row['growth']}"
    return f"{head}: {terms} ({row['parameter']} {low:g} to {high:g}, residual {row['residual']:.1%})"


def _fit_of_shape(shape: Shape, xs: list[float], ys: Array, sizes: tuple[float, ...]) -> Fit:
    weights = _weights_of(ys)
    function = SHAPE_FUNCTIONS[shape]
    columns = [numpy.ones(len(xs))]
    if shape is not Shape.FLAT:
        columns.append(numpy.array([function(x) for x in xs]))
    matrix = numpy.stack(columns, axis=1)
    # Columns of one length, for the numbers' sake: n squared beside 1 is a million to one.
    lengths = numpy.linalg.norm(matrix * weights[:, None], axis=0)
    scaled, *_ = numpy.linalg.lstsq(matrix * weights[:, None] / lengths, ys * weights, rcond=None)
    terms = scaled / lengths
    deviations = (matrix @ terms - ys) * weights
    slope = float(terms[1]) if len(terms) > 1 else 0.0
    residual = float(numpy.sqrt(numpy.mean(deviations**2)))
    return Fit(shape, float(terms[0]), slope, residual, sizes[0], sizes[-1], sizes)


def _weights_of(ys: Array) -> Array:
    largest = float(ys.max())
    if largest <= 0.0:
        return numpy.ones(len(ys))
    weights: Array = 1.0 / numpy.maximum(ys, largest * SMALLEST_WEIGHT)
    return weights

"""Fits: the shape that made the points is found, with its terms; what is not measured is never called so."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.scale.slopes import (
    SHAPE_FUNCTIONS,
    Basis,
    Estimate,
    FitError,
    Shape,
    Statistic,
    estimate,
    fit,
)
from tests.scale.test_results import measurement, point

SIZES = (40.0, 100.0, 200.0, 500.0, 930.0)


def drawn(function: Callable[[float], float], sizes: tuple[float, ...] = SIZES) -> tuple[object, ...]:
    return tuple(point(size, function(size)) for size in sizes)


@pytest.mark.parametrize("shape", [shape for shape in Shape if shape is not Shape.FLAT])
def test_the_shape_and_its_terms_are_found(shape: Shape) -> None:
    function = SHAPE_FUNCTIONS[shape]
    found = fit(measurement(points=drawn(lambda size: 2.0 + 0.5 * function(size))))
    assert found.shape is shape
    assert found.intercept == pytest.approx(2.0, rel=1e-6)
    assert found.slope == pytest.approx(0.5, rel=1e-6)
    assert found.residual < 1e-9
    assert (found.smallest, found.largest) == (40.0, 930.0)


@pytest.mark.parametrize("shape", [shape for shape in Shape if shape is not Shape.FLAT])
def test_the_shape_is_found_in_noise_of_two_percent(shape: Shape) -> None:
    """Over twenty draws; a neighbour of the shape may be taken now and then, a far one never."""
    draw, order, right = random.Random(shape.value), list(Shape), 0
    function = SHAPE_FUNCTIONS[shape]
    for _ in range(20):
        points = drawn(lambda size: (1.0 + 0.5 * function(size)) * draw.uniform(0.98, 1.02))
        found = fit(measurement(points=points)).shape
        right += found is shape
        assert abs(order.index(found) - order.index(shape)) <= 1
    assert right >= 10


def test_what_does_not_grow_is_flat() -> None:
    draw = random.Random(3)
    found = fit(measurement(points=drawn(lambda size: 5.0 * draw.uniform(0.95, 1.05))))
    assert found.shape is Shape.FLAT
    assert found.slope == 0.0
    assert found.intercept == pytest.approx(5.0, rel=0.05)


def test_a_slow_rise_is_not_taken_for_flat() -> None:
    """A tenth more from 12 to 100 members goes on rising: the value at 930 is not below what was seen."""
    points = tuple(point(size, value) for size, value in ((12, 11.34), (40, 12.01), (100, 12.55)))
    found = fit(measurement(points=points))
    assert found.shape is Shape.LOG
    assert 13.0 < found.at(930) < 15.0


def test_noise_without_a_trend_is_flat() -> None:
    points = tuple(point(size, value) for size, value in ((40, 5.0), (200, 5.6), (930, 5.1)))
    assert fit(measurement(points=points)).shape is Shape.FLAT


def test_what_falls_is_flat_with_the_residual_that_this_has() -> None:
    found = fit(measurement(points=drawn(lambda size: 100.0 / size)))
    assert found.shape is Shape.FLAT
    assert found.residual > 0.3


def test_nothing_at_all_is_flat_at_nought() -> None:
    assert fit(measurement(points=drawn(lambda size: 0.0))).at(10_000) == 0.0


@pytest.mark.parametrize("sizes", [(40.0,), (40.0, 930.0)])
def test_fewer_than_three_sizes_make_no_fit(sizes: tuple[float, ...]) -> None:
    short = measurement(points=drawn(float, sizes))
    with pytest.raises(FitError, match="of at least 3 sizes"):
        fit(short)
    with pytest.raises(FitError, match="of at least 3 sizes"):
        estimate(short, 200.0)


def test_many_seeds_of_two_sizes_are_two_sizes() -> None:
    points = tuple(point(size, size, seed=seed) for size in (40.0, 930.0) for seed in range(5))
    with pytest.raises(FitError, match="2 of at least 3 sizes"):
        fit(measurement(points=points))


def test_what_was_measured_there_needs_no_fit() -> None:
    found = estimate(measurement(points=drawn(float, (930.0,))), 930.0)
    assert found == Estimate(930.0, Basis.MEASURED, None, 1.0)


def test_seeds_of_one_size_give_their_median() -> None:
    points = tuple(point(930.0, value, seed=seed) for seed, value in enumerate((1.0, 9.0, 2.0)))
    assert estimate(measurement(points=points), 930.0).value == 2.0


def test_a_figure_that_is_not_there_is_refused() -> None:
    with pytest.raises(FitError, match="no p99 at size 40"):
        fit(measurement(points=drawn(float)), Statistic.P99)


@given(
    sizes=st.lists(st.integers(1, 10_000), min_size=3, max_size=6, unique=True),
    asked=st.integers(1, 100_000),
    slope=st.floats(0.001, 10),
)
def test_the_basis_says_whether_it_was_measured(sizes: list[int], asked: int, slope: float) -> None:
    points = tuple(point(float(size), slope * size) for size in sizes)
    found = estimate(measurement(points=points), float(asked))
    if asked in sizes:
        assert found.basis is Basis.MEASURED
    elif min(sizes) < asked < max(sizes):
        assert found.basis is Basis.INTERPOLATED
    else:
        assert found.basis is Basis.EXTRAPOLATED
    assert (found.reach > 1.0) == (asked > max(sizes))
    assert math.isfinite(found.value)
    assert found.value >= 0.0

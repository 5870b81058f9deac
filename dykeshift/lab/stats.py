"""Figures with intervals: means over seeds, and differences seed by seed (paired bootstrap).

Source: Efron and Tibshirani, An Introduction to the Bootstrap, chapter 13 (percentile intervals). Pairing by
seed takes out what the days themselves vary by, which is most of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np

RESAMPLES = 2_000
SEED = 20_141


class Estimate(NamedTuple):
    """A mean over seeds with its 95% interval."""

    mean: float
    low: float  # of the 95% interval; like `high` equal to the mean where there is one seed
    high: float
    seeds: int


def figure(figures: dict[str, Any], name: str) -> float:
    """A figure by its path, such as `refusals` or `percentiles_ms.99`; NaN where the run has none."""
    at: Any = figures
    rest = name
    while isinstance(at, dict):
        if rest in at:
            at, rest = at[rest], ""
            break
        head, _, rest = rest.partition(".")
        if head not in at or not rest:
            return float("nan")
        at = at[head]
    return float(at) if isinstance(at, int | float) and not rest else float("nan")


def estimate(values: Sequence[float]) -> Estimate:
    """The mean over seeds and its interval."""
    some = np.asarray([v for v in values if not np.isnan(v)], dtype=np.float64)
    if not len(some):
        return Estimate(float("nan"), float("nan"), float("nan"), 0)
    rng = np.random.default_rng(SEED)
    means = some[rng.integers(0, len(some), (RESAMPLES, len(some)))].mean(axis=1)
    low, high = np.percentile(means, [2.5, 97.5])
    return Estimate(float(some.mean()), float(low), float(high), len(some))


def difference(ours: dict[int, float], theirs: dict[int, float]) -> Estimate:
    """Ours less theirs, seed by seed."""
    return estimate([ours[seed] - theirs[seed] for seed in sorted(ours.keys() & theirs.keys())])

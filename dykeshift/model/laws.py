"""Laws of job sizes and server slowdowns, with the moments and transforms that the closed forms need.

Source: Gardner, Harchol-Balter and Scheller-Wolf, "A Better Model for Job Redundancy: Decoupling Server
Slowdown and Job Size", section III (S&X model: a job of size X runs for X times S on a server, X the same on
all, S drawn anew) and Table I (Dolly(1,12)). Sizes and times are in one unit of the caller's choice.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from math import sqrt
from typing import Protocol

import numpy as np
from numpy.random import Generator


class Size(Protocol):
    """X: the inherent size of a job."""

    @property
    def mean(self) -> float:
        """The first moment."""

    @property
    def square(self) -> float:
        """E[X^2]."""

    def transform(self, s: float) -> float:
        """E[exp(-s X)]."""

    def draw(self, rng: Generator, count: int) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        """`count` independent sizes."""


@dataclass(frozen=True)
class Hyperexponential:
    """A mixture of exponentials; with one phase, the exponential. `shares` add up to 1."""

    shares: tuple[float, ...]
    means: tuple[float, ...]

    @classmethod
    def balanced(cls, mean: float, variation: float) -> Hyperexponential:
        """Two phases of equal load (balanced means) with a squared coefficient of variation of at least 1."""
        if variation < 1:
            raise ValueError(f"a hyperexponential varies by 1 or more, not by {variation}")
        part = (1 + sqrt((variation - 1) / (variation + 1))) / 2
        return cls((part, 1 - part), (mean / (2 * part), mean / (2 * (1 - part))))

    @property
    def mean(self) -> float:
        """The first moment."""
        return sum(p * m for p, m in zip(self.shares, self.means, strict=True))

    @property
    def square(self) -> float:
        """The second moment."""
        return sum(2 * p * m * m for p, m in zip(self.shares, self.means, strict=True))

    def transform(self, s: float) -> float:
        """The Laplace transform at `s`."""
        return sum(p / (1 + s * m) for p, m in zip(self.shares, self.means, strict=True))

    def draw(self, rng: Generator, count: int) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        """`count` independent sizes."""
        phases = rng.choice(len(self.shares), size=count, p=self.shares)
        return rng.exponential(np.asarray(self.means)[phases])


@dataclass(frozen=True)
class Constant:
    """Every size is the same."""

    value: float

    @property
    def mean(self) -> float:
        """The first moment."""
        return self.value

    @property
    def square(self) -> float:
        """The second moment."""
        return self.value * self.value

    def transform(self, s: float) -> float:
        """The Laplace transform at `s`."""
        return float(np.exp(-s * self.value))

    def draw(self, rng: Generator, count: int) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        """`count` equal sizes."""
        return np.full(count, self.value)


@dataclass(frozen=True)
class Slowdown:
    """S: a discrete law; values in ascending order, `shares` add up to 1."""

    values: tuple[float, ...]
    shares: tuple[float, ...]

    @cached_property
    def _tails(self) -> tuple[float, ...]:
        """P(S >= value), and 0 behind the last."""
        tails = [1.0]
        for share in self.shares:
            tails.append(max(0.0, tails[-1] - share))
        return tuple(tails)

    def least(self, copies: int) -> list[tuple[float, float]]:
        """The law of the smallest of so many independent draws: values and shares."""
        tails = [tail**copies for tail in self._tails]
        return [(value, tails[n] - tails[n + 1]) for n, value in enumerate(self.values)]

    def moment(self, copies: int, power: int) -> float:
        """The moment of order `power` of the least of `copies` independent slowdowns."""
        return sum(share * value**power for value, share in self.least(copies))

    def draw(self, rng: Generator, count: int) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        """`count` independent slowdowns."""
        return rng.choice(np.asarray(self.values), size=count, p=self.shares)


# Table I. Its shares add up to 1 as printed.
DOLLY = Slowdown(
    tuple(float(n) for n in range(1, 13)),
    (0.23, 0.14, 0.09, 0.03, 0.08, 0.10, 0.04, 0.14, 0.12, 0.021, 0.007, 0.002),
)
NONE = Slowdown((1.0,), (1.0,))  # servers that are never slow

"""All that is random in a day, a stream for each part, drawn before it begins.

numpy's SeedSequence gives each part a stream of its own, so that a change of one part (another policy, one
more trouble) leaves the others as they are. What depends on a request and a sender together (a slowdown, an
error, a way's jitter) is looked up by both numbers in a table: the same request meets the same fate at the
same sender under every policy (common random numbers; Law, Simulation Modeling and Analysis, chapter 11).
"""

from __future__ import annotations

from math import pi

import numpy as np
from numpy.typing import NDArray

from dykeshift.model.day import SECOND, Day, Stretch, Work
from dykeshift.model.laws import DOLLY, Constant, Hyperexponential

Floats = NDArray[np.float64]

STREAMS = (
    "arrivals",
    "sizes",
    "classes",
    "balancers",
    "patience",
    "slowdown",
    "ways",
    "fates",
    "troubles",
    "modules",
    "noise",
    "spread",
    "pushy",
)
TABLE = 1 << 16
BIN = 0.01  # seconds over which the load counts as constant


class Chance:
    """The random streams and tables of one day; the same day and seed give the same draws."""

    def __init__(self, day: Day, seed: int) -> None:
        children = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self.streams = {
            name: np.random.default_rng(child) for name, child in zip(STREAMS, children, strict=True)
        }
        self.day = day
        self.slowdowns: list[float] = []
        if day.work.slowdown == "dolly":
            self.slowdowns = DOLLY.draw(self.streams["slowdown"], TABLE).tolist()
        self.ways: list[float] = self.streams["ways"].random(TABLE).tolist()
        self.fates: list[float] = self.streams["fates"].random(TABLE).tolist()
        self.noises: list[float] = self.streams["noise"].standard_normal(TABLE).tolist()

    def arrivals(self) -> Floats:
        """Seconds, ascending."""
        day = self.day
        if day.clients.trace:
            return np.sort(np.asarray(day.clients.trace, dtype=np.float64))
        per_load = day.senders.capacity() / (day.work.mean_ms / 1000 * mean_slowdown(day.work))
        rates = np.concatenate([_shape(s) for s in day.load]) * per_load
        for trouble in day.troubles:
            if trouble.kind == "flood":
                first, last = int(trouble.at / BIN), int((trouble.at + trouble.seconds) / BIN)
                rates[first:last] *= trouble.size
        rng = self.streams["arrivals"]
        counts = rng.poisson(rates * BIN)
        starts = np.repeat(np.arange(len(rates)) * BIN, counts)
        return np.sort(starts + rng.random(len(starts)) * BIN)

    def sizes(self, count: int) -> NDArray[np.int64]:
        """Nanoseconds of work."""
        work, stream = self.day.work, self.streams["sizes"]
        mean = work.mean_ms * 1e6
        if work.law == "constant":
            drawn = Constant(mean).draw(stream, count)
        elif work.law == "exponential":
            drawn = stream.exponential(mean, count)
        elif work.law == "hyperexponential":
            drawn = Hyperexponential.balanced(mean, work.variation).draw(stream, count)
        else:
            drawn = (stream.pareto(work.tail, count) + 1) * mean * (work.tail - 1) / work.tail
        return np.maximum(drawn, 1000).astype(np.int64)

    def classes(self, count: int) -> list[int]:
        """The class number of each of `count` errands, drawn by the classes' shares."""
        shares = np.array([c.share for c in self.day.classes])
        drawn = self.streams["classes"].choice(len(shares), count, p=shares / shares.sum())
        numbers: list[int] = drawn.tolist()
        return numbers

    def balancers(self, count: int) -> list[int]:
        """The balancer that each of `count` errands meets first, drawn by the shares of traffic."""
        balancers, stream = self.day.balancers, self.streams["balancers"]
        if not balancers.first_share or balancers.count == 1:
            even: list[int] = stream.integers(0, balancers.count, count).tolist()
            return even
        shares = np.full(balancers.count, (1 - balancers.first_share) / (balancers.count - 1))
        shares[0] = balancers.first_share
        drawn: list[int] = stream.choice(balancers.count, count, p=shares).tolist()
        return drawn

    def patience(self, count: int) -> list[float]:
        """The part of its time after which a client leaves; 1: it stays."""
        drawn = self.streams["patience"].random((2, count))
        leaves = drawn[0] < self.day.clients.impatient
        parts: list[float] = np.where(leaves, 0.05 + 0.5 * drawn[1], 1.0).tolist()
        return parts

    def pushy(self, count: int) -> list[bool]:
        """Who comes again at once, whatever it is advised."""
        share = self.day.clients.pushy
        if not share:
            return [False] * count
        drawn: list[bool] = (self.streams["pushy"].random(count) < share).tolist()
        return drawn

    def chosen(self, count: int, part: float) -> list[int]:
        """So large a part of so many, at random; at least one."""
        order = self.streams["troubles"].permutation(count)
        some: list[int] = order[: max(1, round(part * count))].tolist()
        return some


def spot(request: int, sender: int) -> int:
    """Where the tables hold what a request meets at a sender."""
    return (request * 0x9E3779B1 + sender * 0x85EBCA6B >> 7) & (TABLE - 1)


def mean_slowdown(work: Work) -> float:
    """The expected slowdown of a single copy."""
    return DOLLY.moment(1, 1) if work.slowdown == "dolly" else 1.0


def _shape(stretch: Stretch) -> Floats:
    count = max(1, round(stretch.seconds / BIN))
    at = np.arange(count) * BIN
    end = stretch.load if stretch.to is None else stretch.to
    line = np.linspace(stretch.load, end, count)
    shape: Floats = np.maximum(0.0, line + stretch.swing * np.sin(2 * pi * at / stretch.period_s))
    return shape


def nanoseconds(seconds: float) -> int:
    """Seconds as whole nanoseconds, rounded down."""
    return int(seconds * SECOND)

"""The highest load that keeps a stated service: which rate to try next, free of I/O.

Theory of operation. Doubling until a rate fails, then halving the gap, on a logarithmic scale, until it is
within `close` of the answer. A rate that fails is tried once more before it counts (single runs are noisy).
`low` has always kept the service (or is 0), `high` has failed twice (or is the bound).
"""

from __future__ import annotations

from math import sqrt


class Search:
    """A search between 0 and `most` (requests a second); raises ValueError where `first` is not within."""

    def __init__(self, first: float, most: float, close: float = 0.05) -> None:
        if not 0 < first <= most:
            raise ValueError("the first rate is over 0 and at most the highest")
        self.low, self.high, self.most, self.close = 0.0, 0.0, most, close
        self.rate = first
        self.failed = False  # the present rate, once

    def tried(self, kept: bool) -> None:
        """The present rate was played."""
        if not kept and not self.failed:
            self.failed = True
            return
        self.failed = False
        if kept:
            self.low = self.rate
        else:
            self.high = self.rate
        if not self.high:
            self.rate = min(self.most, self.rate * 2)
        elif not self.low:
            self.rate /= 2
        else:
            self.rate = sqrt(self.low * self.high)

    def over(self) -> bool:
        """`low` is the answer."""
        if self.low and self.high:
            return self.high / self.low <= 1 + self.close
        return self.low >= self.most or self.rate < 0.5


class Service:
    """What is to be kept: a share served, and a percentile of the times within a limit."""

    def __init__(self, served: float, percentile: str, limit_ms: float) -> None:
        self.served, self.percentile, self.limit_ms = served, percentile, limit_ms

    def kept(self, figures: dict[str, object]) -> bool:
        """Whether a run's figures keep the service."""
        times = figures["times_ms"]
        assert isinstance(times, dict) and isinstance(figures["served"], float)
        return figures["served"] >= self.served and times.get(self.percentile, float("inf")) <= self.limit_ms

"""The paper's closed forms for Redundant-to-Idle-Queue (RIQ) in the S&X model.

Source: Gardner et al., sections V-B (mean), V-C (transform), V-D (cancellation) and VII-B (Theorem 1), with
the M/G/1 with an exceptional first service of Welch (Operations Research 12, 1964). Servers are taken to be
idle independently (Assumption 1), which is near the truth where d is small beside their number.

`rate` is the arrival rate for each server, `d` the servers asked, `cancel` the time Z that a cancelled copy
costs each server on which it ran. Rates and times are in the unit of the sizes.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from math import comb

from dykeshift.model.laws import Size, Slowdown


class UnstableError(ValueError):
    """There is no steady state: lambda times E[R(1)] is 1 or more (Theorem 2)."""


@dataclass(frozen=True)
class Riq:
    """The closed forms at one setting. Raises ValueError for a bad setting, UnstableError beyond capacity."""

    rate: float
    d: int
    size: Size
    slowdown: Slowdown
    cancel: float = 0.0

    def __post_init__(self) -> None:
        if self.d < 1 or self.rate <= 0:
            raise ValueError("d is at least 1 and the rate is positive")
        if self.rate * self.run(1) >= 1:
            raise UnstableError(
                f"{self.rate * self.run(1):.3f} of a server's time is asked for by single copies"
            )

    # ---- runtimes ----

    def run(self, copies: int) -> float:
        """E[R(i)]: of a job that runs on i servers at once."""
        return self.size.mean * self.slowdown.moment(copies, 1)

    def run_square(self, copies: int) -> float:
        """The second moment of the running time with `copies` copies."""
        return self.size.square * self.slowdown.moment(copies, 2)

    def run_transform(self, copies: int, s: float) -> float:
        """The Laplace transform at `s` of the running time with `copies` copies."""
        return sum(p * self.size.transform(s * value) for value, p in self.slowdown.least(copies))

    def _held(self, copies: int) -> float:
        """How long each of its servers is taken: with the cancellation, where there is anything to cancel."""
        return self.run(copies) + (self.cancel if copies > 1 else 0.0)

    def _held_square(self, copies: int) -> float:
        z = self.cancel if copies > 1 else 0.0
        return self.run_square(copies) + 2 * z * self.run(copies) + z * z

    # ---- load ----

    @cached_property
    def load(self) -> float:
        """rho: the part of the time that a server is busy, by equation (9), solved by bisection."""
        low, high = 0.0, 1.0
        for _ in range(100):
            middle = (low + high) / 2
            low, high = (middle, high) if self._asked(middle) > middle else (low, middle)
        return (low + high) / 2

    def _asked(self, busy: float) -> float:
        d = self.d
        idle = sum(
            i * comb(d, i) * (1 - busy) ** i * busy ** (d - i) * self._held(i) for i in range(1, d + 1)
        )
        return self.rate * (idle + busy**d * self.run(1))

    def found(self, idle: int) -> float:
        """The chance that a job finds so many of its d servers idle."""
        return comb(self.d, idle) * (1 - self.load) ** idle * self.load ** (self.d - idle)

    # ---- the queue at one server: M*/G/1 with an exceptional first service ----

    @cached_property
    def _busy_rate(self) -> float:
        return self.rate * self.load ** (self.d - 1)

    def _first(self, value: list[float]) -> float:
        """A mean over the first job of a busy period, which ran on i servers (equation 3)."""
        d, busy = self.d, self.load
        return sum(
            comb(d - 1, i - 1) * (1 - busy) ** (i - 1) * busy ** (d - i) * value[i - 1]
            for i in range(1, d + 1)
        )

    @cached_property
    def _waiting(self) -> float:
        """E[queueing time] of those who find the server busy."""
        copies = range(1, self.d + 1)
        first = self._first([*map(self._held, copies)])
        first_square = self._first([*map(self._held_square, copies)])
        rate, run, square = self._busy_rate, self.run(1), self.run_square(1)
        if not rate:
            return 0.0
        slack = 1 - rate * run
        whole = slack + rate * first
        response = first / whole + rate * square / (2 * slack) + rate * (first_square - square) / (2 * whole)
        met_idle = slack / whole
        service = met_idle * first + (1 - met_idle) * run
        return (response - service) / (1 - met_idle)

    # ---- response ----

    @cached_property
    def mean(self) -> float:
        """E[T], equations (1) to (8)."""
        idle = sum(self.found(i) * self.run(i) for i in range(1, self.d + 1))
        return idle + self.found(0) * (self.run(1) + self._waiting)

    @cached_property
    def bound(self) -> float:
        """Theorem 1: E[T] is never more, for any number of servers: an M/G/1 with vacations of R(1) + Z."""
        run, square, z = self.run(1), self.run_square(1), self.cancel
        mg1 = run + self.rate * square / (2 * (1 - self.rate * run))
        return mg1 + (square + 2 * z * run + z * z) / (2 * (run + z))

    def transform(self, s: float) -> float:
        """E[exp(-s T)] for s > 0, section V-C (no cancellation times)."""
        if self.cancel:
            raise ValueError("the transform is given here for cancellations that cost nothing")
        idle = sum(self.found(i) * self.run_transform(i, s) for i in range(1, self.d + 1))
        rate, run = self._busy_rate, self.run(1)
        if not rate:
            return idle
        first = self._first([self.run_transform(i, s) for i in range(1, self.d + 1)])
        first_mean = self._first([self.run(i) for i in range(1, self.d + 1)])
        one, slack = self.run_transform(1, s), 1 - rate * run
        met_idle = slack / (slack + rate * first_mean)
        response = met_idle * ((rate - s) * first - rate * one) / (rate - s - rate * one)
        # Those who find it idle answer with the first service; the others wait, then run for R(1).
        waited = (response - met_idle * first) / (1 - met_idle)
        return idle + self.found(0) * waited

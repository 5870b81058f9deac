"""Whether those that act on the new version fare worse than the others: a test that stays true however often
one looks.

An E-variable for two groups (Turner, Ly and Gruenwald 2021, "Generic E-variables for exact sequential
k-sample tests that allow for optional stopping"): for each block of new answers, na and nb of them, a and b
bad,

    factor = qa(a) qb(b) / p0(a + b),  p0 = (na qa + nb qb) / (na + nb)

with qa >= qb guessed from the blocks before. While the first group is not worse in truth, the product exceeds
1/alpha at any time, ever, with a chance of alpha at most; so it may be looked at after each block.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log

ALPHA = 0.001  # the chance that a version as good as the one before is ever taken back
PRIOR = 0.5  # bad answers, and good ones, that each group is thought to have had before the first


@dataclass(slots=True)
class Group:
    good: float = 0.0
    bad: float = 0.0

    def rate(self) -> float:
        return (self.bad + PRIOR) / (self.good + self.bad + 2 * PRIOR)


@dataclass(slots=True)
class Trial:
    first: Group = field(default_factory=Group)
    others: Group = field(default_factory=Group)
    evidence: float = 0.0  # natural logarithm of the product

    def add(self, first: tuple[int, int], others: tuple[int, int]) -> None:
        """A block: answers and bad ones among them, of each group since the last block."""
        (na, a), (nb, b) = first, others
        qa, qb = self.first.rate(), self.others.rate()
        if na > 0 and nb > 0:
            if qa > qb:
                p0 = (na * qa + nb * qb) / (na + nb)
                self.evidence += (
                    _likelihood(na, a, qa) + _likelihood(nb, b, qb) - _likelihood(na + nb, a + b, p0)
                )
            self.first.good, self.first.bad = self.first.good + na - a, self.first.bad + a
            self.others.good, self.others.bad = self.others.good + nb - b, self.others.bad + b

    @property
    def worse(self) -> bool:
        return self.evidence >= -log(ALPHA)

    @property
    def seen(self) -> float:
        """Answers of the first group."""
        return self.first.good + self.first.bad


def _likelihood(count: int, bad: int, rate: float) -> float:
    return bad * log(rate) + (count - bad) * log(1 - rate)

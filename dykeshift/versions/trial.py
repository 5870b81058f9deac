"""Sequential test whether a staged version gives more bad answers: valid however often it is evaluated.

An E-variable for two groups (Turner, Ly and Gruenwald 2021, "Generic E-variables for exact sequential
k-sample tests that allow for optional stopping"): for each block of new answers, na and nb of them, a and b
bad,

    factor = qa(a) qb(b) / p0(a + b),  p0 = (na qa + nb qb) / (na + nb)

with qa >= qb estimated from the blocks before. While the staged group is not worse in truth, the probability
that the product ever exceeds 1/alpha is at most alpha; so it may be evaluated after each block.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log

ALPHA = 0.001  # probability that a version as good as the previous one is ever rolled back
PRIOR = 0.5  # pseudo-counts of bad and of good answers that each group starts with


@dataclass(slots=True)
class Group:
    """Counts of the answers of one group."""

    good: float = 0.0
    bad: float = 0.0

    def rate(self) -> float:
        """Returns the estimated fraction of bad answers."""
        return (self.bad + PRIOR) / (self.good + self.bad + 2 * PRIOR)


@dataclass(slots=True)
class Trial:
    """The test statistics of the current phase."""

    staged: Group = field(default_factory=Group)
    others: Group = field(default_factory=Group)
    evidence: float = 0.0  # natural logarithm of the product

    def add(self, staged: tuple[int, int], others: tuple[int, int]) -> None:
        """Adds a block: for each group (answers, bad answers) since the last block."""
        (na, a), (nb, b) = staged, others
        qa, qb = self.staged.rate(), self.others.rate()
        if na > 0 and nb > 0:
            if qa > qb:
                p0 = (na * qa + nb * qb) / (na + nb)
                self.evidence += (
                    _likelihood(na, a, qa) + _likelihood(nb, b, qb) - _likelihood(na + nb, a + b, p0)
                )
            self.staged.good, self.staged.bad = self.staged.good + na - a, self.staged.bad + a
            self.others.good, self.others.bad = self.others.good + nb - b, self.others.bad + b

    @property
    def worse(self) -> bool:
        """Whether there is enough evidence that the staged group has more bad answers."""
        return self.evidence >= -log(ALPHA)

    @property
    def staged_answers(self) -> float:
        """Answers of the staged group."""
        return self.staged.good + self.staged.bad


def _likelihood(count: int, bad: int, rate: float) -> float:
    return bad * log(rate) + (count - bad) * log(1 - rate)

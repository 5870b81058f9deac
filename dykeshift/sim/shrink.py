"""Finds a smaller scenario that breaks the same rule, by delta debugging (Zeller and Hildebrandt, 2002).

Faults are removed first, then requests, repeatedly until nothing more can be removed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from dykeshift.sim.day import play
from dykeshift.sim.kernel import EPOCH, SECOND
from dykeshift.sim.scenario import Scenario


@dataclass(slots=True)
class Shrunk:
    """The smallest scenario found, the rule that it breaks, and the number of runs."""

    scenario: Scenario
    rule: str
    text: str
    plays: int


class NoViolationError(Exception):
    """The scenario breaks no rule, so there is nothing to shrink."""


class Shrinker:
    """Shrinks a scenario; `rule` is the rule that must stay broken, None: the first one that breaks."""

    def __init__(
        self,
        scenario: Scenario,
        rule: str | None,
        budget: int,
        seen: Callable[[int, int, int], None] = lambda plays, faults, asks: None,
    ) -> None:
        """Run at most `budget` scenarios; `seen` is called with the numbers of runs, faults and requests."""
        self.best, self.rule, self.budget, self.seen = scenario, rule, budget, seen
        self.plays = 0
        self.text = ""

    def run(self) -> Shrunk:
        """Shrink until nothing more can be removed or the budget is used. Raises NoViolationError."""
        if not self._breaks(self.best):
            raise NoViolationError
        self._drop_after_breach()
        size = -1
        while size != len(self.best.faults) + len(self.best.asks) and self.plays < self.budget:
            size = len(self.best.faults) + len(self.best.asks)
            self._reduce(len(self.best.faults), lambda removed: self.best.without(removed, set()))
            self._reduce(len(self.best.asks), lambda removed: self.best.without(set(), removed))
        return Shrunk(self.best, self.rule or "", self.text, self.plays)

    def _breaks(self, scenario: Scenario) -> bool:
        self.plays += 1
        result = play(scenario, stop_at_first=self.rule is None)
        for breach in result.breaches:
            if self.rule in (None, breach.rule):
                self.rule = breach.rule
                self.at = (breach.at - EPOCH) / SECOND
                self.text = breach.text
                return True
        return False

    def _try(self, scenario: Scenario) -> bool:
        if self.plays >= self.budget or not self._breaks(scenario):
            return False
        self.best = scenario
        self.seen(self.plays, len(scenario.faults), len(scenario.asks))
        return True

    def _drop_after_breach(self) -> None:
        """Remove faults and requests after the breach: they cannot have caused it."""
        at = self.at
        self._try(
            replace(
                self.best,
                faults=tuple(f for f in self.best.faults if f.at <= at),
                asks=tuple(a for a in self.best.asks if a.at <= at),
            )
        )

    def _reduce(self, count: int, build: Callable[[set[int]], Scenario]) -> None:
        """Remove as many of `count` parts as possible: halves first, then ever smaller chunks."""

        chunk = max(1, count // 2)
        while chunk >= 1 and self.plays < self.budget:
            start = 0
            while start < count and self.plays < self.budget:
                removed = set(range(start, min(start + chunk, count)))
                if self._try(build(removed)):
                    count -= len(removed)
                else:
                    start += chunk
            chunk = chunk // 2 if chunk > 1 else 0

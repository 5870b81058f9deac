"""The smallest scenario that still breaks the same rule: delta debugging (Zeller and Hildebrandt, 2002)
over its faults, then over its requests, again until nothing more can go."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from dykeshift.sim.day import play
from dykeshift.sim.kernel import EPOCH, SECOND
from dykeshift.sim.scenario import Scenario


@dataclass(slots=True)
class Shrunk:
    """The smallest scenario found, the rule that it breaks, and how many days were played."""

    scenario: Scenario
    rule: str
    text: str
    plays: int


class NoViolationError(Exception):
    """The scenario breaks no rule, so there is nothing to shrink."""


class Shrinker:
    """Shrinks a scenario; `rule` is the one to keep broken, None: the first that breaks."""

    def __init__(
        self,
        scenario: Scenario,
        rule: str | None,
        budget: int,
        seen: Callable[[int, int, int], None] = lambda plays, faults, asks: None,
    ) -> None:
        """At most `budget` days are played; `seen` is told how many were and what is left."""
        self.best, self.rule, self.budget, self.seen = scenario, rule, budget, seen
        self.plays = 0
        self.text = ""

    def run(self) -> Shrunk:
        """Shrink until nothing more can go or the budget is used. Raises NoViolationError."""
        if not self._breaks(self.best):
            raise NoViolationError
        self._drop_the_rest()
        size = -1
        while size != len(self.best.faults) + len(self.best.asks) and self.plays < self.budget:
            size = len(self.best.faults) + len(self.best.asks)
            self._thin(len(self.best.faults), lambda out: self.best.without(out, set()))
            self._thin(len(self.best.asks), lambda out: self.best.without(set(), out))
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

    def _drop_the_rest(self) -> None:
        """What came after the breach had no part in it."""
        at = self.at
        self._try(
            replace(
                self.best,
                faults=tuple(f for f in self.best.faults if f.at <= at),
                asks=tuple(a for a in self.best.asks if a.at <= at),
            )
        )

    def _thin(self, count: int, make: Callable[[set[int]], Scenario]) -> None:
        """Take out as much as possible of `count` parts: halves first, ever smaller pieces then."""
        piece = max(1, count // 2)
        while piece >= 1 and self.plays < self.budget:
            start = 0
            while start < count and self.plays < self.budget:
                out = set(range(start, min(start + piece, count)))
                if self._try(make(out)):
                    count -= len(out)
                else:
                    start += piece
            piece = piece // 2 if piece > 1 else 0

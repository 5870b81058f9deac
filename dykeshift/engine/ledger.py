"""What was counted since the process started: fed once, where things happen.

At every instant, for each class: taken = success + busy + failure + gone + inflight.
"""

from __future__ import annotations

from dykeshift.engine.invariants import Occurrences
from dykeshift.engine.terms import How


class Tier:
    """The requests of one class, under whatever terms it was known."""

    __slots__ = ("taken", "success", "busy", "failure", "gone")

    def __init__(self) -> None:
        self.taken = self.success = self.busy = self.failure = self.gone = 0

    @property
    def inflight(self) -> int:
        """Requests of the class that are under way."""
        return self.taken - self.success - self.busy - self.failure - self.gone

    def end(self, how: How | None) -> None:
        """Of one request; None: its client has gone."""
        if how is How.SERVED:
            self.success += 1
        elif how is How.REFUSED:
            self.busy += 1
        elif how is None:
            self.gone += 1
        else:
            self.failure += 1


class Ledger:
    """All counts of the process."""

    def __init__(self) -> None:
        self.tiers: dict[str, Tier] = {}  # by name; one that vanished keeps its counts
        self.attempts = 0  # written whole to upstreams
        self.reloads = self.reloads_failed = 0
        self.occurrences = Occurrences()

    def tier(self, name: str) -> Tier:
        """Made when first asked for; kept by whoever counts, so that no request looks a name up."""
        return self.tiers.setdefault(name, Tier())

    def rejected(self, name: str) -> None:
        """A request that was no acceptable one of its class; of no class ever known it counts nowhere."""
        tier = self.tiers.get(name)
        if tier is not None:
            tier.taken += 1
            tier.failure += 1

    @property
    def inflight(self) -> int:
        """Requests of all classes that are under way."""
        return sum(tier.inflight for tier in self.tiers.values())

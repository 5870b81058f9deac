"""Counters since the start of the process; each event is counted once, where it happens.

For each class, taken = success + busy + failure + gone + inflight holds at any time.
"""

from __future__ import annotations

from dykeshift.engine.invariants import EventCounts
from dykeshift.engine.terms import FinalStatus


class ClassCounts:
    """Counts of the requests of one class, across changes of its settings."""

    __slots__ = ("taken", "success", "busy", "failure", "gone")

    def __init__(self) -> None:
        self.taken = self.success = self.busy = self.failure = self.gone = 0

    @property
    def inflight(self) -> int:
        """Requests of the class in progress."""
        return self.taken - self.success - self.busy - self.failure - self.gone

    def end(self, how: FinalStatus | None) -> None:
        """Count the end of a request; None: its client disconnected."""
        if how is FinalStatus.SERVED:
            self.success += 1
        elif how is FinalStatus.REFUSED:
            self.busy += 1
        elif how is None:
            self.gone += 1
        else:
            self.failure += 1


class Ledger:
    """All counters of the process."""

    def __init__(self) -> None:
        self.class_counts: dict[
            str, ClassCounts
        ] = {}  # by name of the class; those of a removed class are kept
        self.attempts = 0  # completely written to upstreams
        self.reloads = self.reloads_failed = 0
        self.occurrences = EventCounts()

    def counts_of(self, name: str) -> ClassCounts:
        """The counts of a class, created on first use; callers keep them to save a lookup per request."""
        return self.class_counts.setdefault(name, ClassCounts())

    def rejected(self, name: str) -> None:
        """Count an invalid request as a failure of its class; not counted if the class was never known."""
        tier = self.class_counts.get(name)
        if tier is not None:
            tier.taken += 1
            tier.failure += 1

    @property
    def inflight(self) -> int:
        """Requests of all classes in progress."""
        return sum(tier.inflight for tier in self.class_counts.values())

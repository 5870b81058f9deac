"""Which replica a subscriber asks next: those of its region first, in its own order, the failed ones later.

Each failure of a replica doubles the time for which others go before it, with a jitter, so that those who
lost a replica at once do not come back at once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from dykeshift.view.table import Address

SECOND = 1_000_000_000
PENALTY = SECOND // 2  # for the first failure
LONGEST_PENALTY = 30 * SECOND
DISTRUST = 60 * SECOND  # for a replica that said what is not so
LONGEST_DISTRUST = 3600 * SECOND
MOST_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Place:
    """Where a replica listens, and in which region."""

    address: Address
    region: str = ""


@dataclass(slots=True)
class _Record:
    failures: int = 0
    lies: int = 0
    until: int = 0  # others go first until then


class ReplicaChoice:
    """An order over the replicas, with what was found out about each."""

    def __init__(self, places: Sequence[Place], region: str, rng: Random) -> None:
        """ValueError where there are none."""
        if not places:
            raise ValueError("a subscriber needs at least one replica")
        self.rng = rng
        near = [place.address for place in places if place.region == region]
        far = [place.address for place in places if place.region != region]
        rng.shuffle(near)
        rng.shuffle(far)
        self.order = near + far
        self.records = {address: _Record() for address in self.order}

    def next(self, now: int) -> tuple[Address, int]:
        """The replica to ask, and when."""
        for address in self.order:
            if self.records[address].until <= now:
                return address, now
        soonest = min(self.order, key=lambda address: self.records[address].until)
        return soonest, self.records[soonest].until

    def other(self, address: Address | None) -> Address | None:
        """A replica drawn from those that are not known to lie, but for this one."""
        found = [a for a in self.order if a != address and not self.records[a].lies]
        return self.rng.choice(found) if found else None

    def prefer(self, address: Address) -> None:
        """Ask this one first."""
        if address in self.records:
            self.order.remove(address)
            self.order.insert(0, address)
            self.records[address].until = 0

    def failed(self, now: int, address: Address) -> None:
        """It did not answer, or could not serve."""
        record = self.records[address]
        record.failures += 1
        self._hold_back(now, record, PENALTY, record.failures, LONGEST_PENALTY)

    def lied(self, now: int, address: Address) -> None:
        """What it said is not so."""
        record = self.records[address]
        record.lies += 1
        self._hold_back(now, record, DISTRUST, record.lies, LONGEST_DISTRUST)

    def served(self, address: Address) -> None:
        """It serves well."""
        self.records[address].failures = 0

    def _hold_back(self, now: int, record: _Record, first: int, times: int, most: int) -> None:
        penalty = min(most, first << min(times - 1, MOST_DOUBLINGS))
        record.until = max(record.until, now + int(penalty * self.rng.uniform(0.5, 1.5)))

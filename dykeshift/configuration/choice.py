"""Which replica a subscriber tries next: those of its region first, in random order, failed ones later.

Each failure of a replica doubles the time for which others are preferred to it, with jitter, so that
subscribers that lost a replica at the same time do not return to it at the same time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from dykeshift.view.table import Address

SECOND = 1_000_000_000
PENALTY = SECOND // 2  # for the first failure
MAX_PENALTY = 30 * SECOND
WRONG_DATA_PENALTY = 60 * SECOND  # for a replica that sent wrong data
MAX_WRONG_DATA_PENALTY = 3600 * SECOND
MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Place:
    """Where a replica listens, and in which region."""

    address: Address
    region: str = ""


@dataclass(slots=True)
class _Record:
    failures: int = 0
    wrong_answers: int = 0
    deprioritized_until: int = 0  # other replicas are tried first until then


class ReplicaChoice:
    """The preference order of the replicas, with failures and wrong answers of each."""

    def __init__(self, places: Sequence[Place], region: str, rng: Random) -> None:
        """Raises ValueError if there are no replicas."""
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
        """The replica to try next, and when."""
        for address in self.order:
            if self.records[address].deprioritized_until <= now:
                return address, now
        soonest = min(self.order, key=lambda address: self.records[address].deprioritized_until)
        return soonest, self.records[soonest].deprioritized_until

    def random_other(self, address: Address | None) -> Address | None:
        """A random replica other than `address` that has given no wrong answer; None if there is none."""
        found = [a for a in self.order if a != address and not self.records[a].wrong_answers]
        return self.rng.choice(found) if found else None

    def prefer(self, address: Address) -> None:
        """Makes this replica the first to try."""
        if address in self.records:
            self.order.remove(address)
            self.order.insert(0, address)
            self.records[address].deprioritized_until = 0

    def failed(self, now: int, address: Address) -> None:
        """The replica did not answer, or could not serve."""
        record = self.records[address]
        record.failures += 1
        self._deprioritize(now, record, PENALTY, record.failures, MAX_PENALTY)

    def sent_wrong_data(self, now: int, address: Address) -> None:
        """The replica sent data or a claim that proved wrong."""
        record = self.records[address]
        record.wrong_answers += 1
        self._deprioritize(now, record, WRONG_DATA_PENALTY, record.wrong_answers, MAX_WRONG_DATA_PENALTY)

    def served(self, address: Address) -> None:
        """The replica renewed a lease: resets its failures."""
        self.records[address].failures = 0

    def _deprioritize(self, now: int, record: _Record, first: int, times: int, most: int) -> None:
        penalty = min(most, first << min(times - 1, MAX_DOUBLINGS))
        record.deprioritized_until = max(
            record.deprioritized_until, now + int(penalty * self.rng.uniform(0.5, 1.5))
        )

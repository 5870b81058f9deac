"""How a replica is not overrun: budgets of bytes and datagrams, and a queue for those who have to catch up.

A catching up needs a slot. Who finds none free is told when to come back, by its place in the queue and by
how long a slot was held lately; it comes back then, give or take a jitter of its own, and the longest waiting
one gets the slot. Who does not come back in time loses its place.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000


class TokenBucket:
    """At most `burst` at once, and `rate` a second of whatever is counted."""

    def __init__(self, rate: int, burst: int) -> None:
        self.rate, self.burst = rate, burst
        self.credit = burst * SECOND  # tokens times nanoseconds
        self.at: int | None = None
        self.spent = 0

    def allows(self, now: int, amount: int, reserve: int = 0) -> bool:
        """Whether so much may go now and `reserve` is left of it."""
        if self.at is not None and now > self.at:
            self.credit = min(self.burst * SECOND, self.credit + (now - self.at) * self.rate)
        self.at = now if self.at is None else max(now, self.at)
        return self.credit >= (amount + reserve) * SECOND

    def spend(self, amount: int) -> None:
        """So much has gone."""
        self.credit -= amount * SECOND
        self.spent += amount


@dataclass(slots=True)
class _Waiting:
    """One in the queue, until when its place is kept."""

    expires: int


class AdmissionQueue:
    """`slots` at once, first come first served; names stand for those who ask."""

    SHORTEST = SECOND // 2  # of what is told to wait
    LONGEST = 10 * SECOND
    GRACE = 5 * SECOND  # for which a place is kept beyond the time told
    FIRST_ESTIMATE = 4 * SECOND  # of how long a slot is held, before any was

    def __init__(self, slots: int, most_waiting: int) -> None:
        self.slots, self.most_waiting = slots, most_waiting
        self.holders: dict[str, int] = {}  # since when
        self.waiting: dict[str, _Waiting] = {}
        self.mean_held = self.FIRST_ESTIMATE

    def request(self, now: int, name: str) -> int:
        """0: the slot is taken. Otherwise the nanoseconds to wait; they say nothing of a slot."""
        if name in self.holders:
            return 0
        for other in [n for n, w in self.waiting.items() if now > w.expires]:
            del self.waiting[other]
        names = list(self.waiting)
        place = names.index(name) if name in self.waiting else len(names)
        if place < self.slots - len(self.holders):
            self.waiting.pop(name, None)
            self.holders[name] = now
            return 0
        wait = self._estimate(place)
        if name in self.waiting:
            self.waiting[name].expires = now + wait + self.GRACE
        elif len(names) < self.most_waiting:
            self.waiting[name] = _Waiting(now + wait + self.GRACE)
        return wait

    def _estimate(self, place: int) -> int:
        return max(self.SHORTEST, min(self.LONGEST, (place + 1) * self.mean_held // self.slots))

    def release(self, now: int, name: str) -> None:
        """The slot is free again, where the name held one."""
        since = self.holders.pop(name, None)
        if since is not None:
            self.mean_held = (7 * self.mean_held + (now - since)) // 8

"""Overload protection of a replica: token buckets for bytes and datagrams, and a queue for catch-ups.

A catch-up needs a slot. A subscriber that finds none free is told when to retry, estimated from its place in
the queue and the recent mean time for which slots were held. It retries then, with jitter, and the one that
has waited longest gets a free slot. A subscriber that does not return in time loses its place.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000


class TokenBucket:
    """A token bucket of `burst` tokens, refilled at `rate` tokens per second."""

    def __init__(self, rate: int, burst: int) -> None:
        self.rate, self.burst = rate, burst
        self.scaled_tokens = burst * SECOND  # tokens times nanoseconds
        self.refilled_at: int | None = None
        self.spent = 0

    def allows(self, now: int, amount: int, reserve: int = 0) -> bool:
        """Whether `amount` can be spent now so that `reserve` is left."""
        if self.refilled_at is not None and now > self.refilled_at:
            self.scaled_tokens = min(
                self.burst * SECOND, self.scaled_tokens + (now - self.refilled_at) * self.rate
            )
        self.refilled_at = now if self.refilled_at is None else max(now, self.refilled_at)
        return self.scaled_tokens >= (amount + reserve) * SECOND

    def spend(self, amount: int) -> None:
        """Take tokens; the balance may become negative."""
        self.scaled_tokens -= amount * SECOND
        self.spent += amount


@dataclass(slots=True)
class _Waiting:
    """A place in the queue, kept until `expires`."""

    expires: int


class AdmissionQueue:
    """Grants at most `slots` slots at once, first come, first served; names identify requesters."""

    MIN_WAIT = SECOND // 2  # limits of the wait that is told
    MAX_WAIT = 10 * SECOND
    PLACE_GRACE = 5 * SECOND  # for which a place is kept beyond the told wait
    INITIAL_HOLD_ESTIMATE = 4 * SECOND  # of the time for which a slot is held, before the first release

    def __init__(self, slots: int, most_waiting: int) -> None:
        self.slots, self.most_waiting = slots, most_waiting
        self.holders: dict[str, int] = {}  # when each got its slot
        self.waiting: dict[str, _Waiting] = {}
        self.mean_hold_time = self.INITIAL_HOLD_ESTIMATE

    def request(self, now: int, name: str) -> int:
        """Request a slot. Returns 0 if granted, otherwise the nanoseconds to wait before asking again."""
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
            self.waiting[name].expires = now + wait + self.PLACE_GRACE
        elif len(names) < self.most_waiting:
            self.waiting[name] = _Waiting(now + wait + self.PLACE_GRACE)
        return wait

    def _estimate(self, place: int) -> int:
        return max(self.MIN_WAIT, min(self.MAX_WAIT, (place + 1) * self.mean_hold_time // self.slots))

    def release(self, now: int, name: str) -> None:
        """Release the slot of a name, if it holds one."""
        since = self.holders.pop(name, None)
        if since is not None:
            self.mean_hold_time = (7 * self.mean_hold_time + (now - since)) // 8

"""A subscriber's lease: until when it may act on guarded terms without a new grant.

A lease runs from the time of the request, less the age that the replica reports for its store: everything
that was committed before that time is in the store's version, the grant's stamp. It takes effect only once
that version is shown. A subscriber that holds a lease at t therefore shows everything committed by t -
lease, however long the request and the grant were in flight.
"""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.configuration.wire import NO_AGE

MS = 1_000_000
MAX_OPEN_REQUESTS = 32  # requests without a grant
MAX_PENDING_GRANTS = 8  # grants whose stamp is not shown yet


@dataclass(frozen=True, slots=True)
class PendingGrant:
    """A grant whose lease runs from `fresh_at`, and takes effect once `stamp` is shown."""

    fresh_at: int
    stamp: int


class SubscriberLease:
    """The lease of one subscriber, across all its sessions within one history."""

    def __init__(self, lease: int, drift: float) -> None:
        """`lease`: nanoseconds; `drift`: fraction by which a clock may run fast or slow."""
        self.length = int(lease * (1 - 2 * drift))
        self.drift = drift
        self.requested_at: dict[int, int] = {}  # request time by nonce
        self.pending: list[PendingGrant] = []
        self.fresh_at: int | None = None

    def drop(self) -> None:
        """Ends the lease and ignores all grants that are still in flight or pending."""
        self.requested_at.clear()
        self.pending.clear()
        self.fresh_at = None

    def on_request(self, now: int, nonce: int) -> None:
        """Records a lease request that is being sent."""
        self.requested_at[nonce] = now
        while len(self.requested_at) > MAX_OPEN_REQUESTS:
            del self.requested_at[next(iter(self.requested_at))]

    def on_grant(self, nonce: int, stamp: int, age_ms: int, shown: int) -> bool:
        """Handles a grant. Returns whether it answers an open request and may give a lease; each nonce
        counts once."""
        sent_at = self.requested_at.pop(nonce, None)
        if sent_at is None or age_ms == NO_AGE or not stamp:
            return False
        age = int(age_ms * MS * (1 + 2 * self.drift))
        self.pending = [*self.pending, PendingGrant(sent_at - age, stamp)][-MAX_PENDING_GRANTS:]
        self.on_shown(shown)
        return True

    def on_shown(self, shown: int) -> None:
        """Lets pending grants take effect whose stamp is covered by the shown version."""
        starts = [grant.fresh_at for grant in self.pending if grant.stamp <= shown]
        if self.fresh_at is not None:
            starts.append(self.fresh_at)
        self.fresh_at = max(starts, default=None)
        self.pending = [grant for grant in self.pending if grant.stamp > shown]

    def left(self, now: int) -> int:
        """Remaining nanoseconds of the lease; 0 if none is held."""
        return 0 if self.fresh_at is None else max(0, self.fresh_at + self.length - now)

"""A subscriber's lease: until when it may act on guarded terms without asking.

It counts from when the subscriber asked, less the age that the replica says its store has: so all that was
committed before is in the store's version, the grant's stamp. It counts only once that version is shown. So
who holds a lease at t shows all that was committed by t - lease, however long question and answer took.
"""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.configuration.wire import NO_AGE

MS = 1_000_000
MOST_ASKED = 32  # questions without an answer
MOST_AWAITED = 8  # grants whose version is not shown yet


@dataclass(frozen=True, slots=True)
class Awaited:
    """A grant that counts from `fresh_at` on, once `stamp` is shown."""

    fresh_at: int
    stamp: int


class SubscriberLease:
    """The lease of one subscriber, through all its sessions of one history."""

    def __init__(self, lease: int, drift: float) -> None:
        """`lease`: nanoseconds; `drift`: the part by which one clock may run faster or slower."""
        self.length = int(lease * (1 - 2 * drift))
        self.drift = drift
        self.asked: dict[int, int] = {}  # nonce: when
        self.awaited: list[Awaited] = []
        self.fresh_at: int | None = None

    def drop(self) -> None:
        """What is shown is not to be acted on: neither now nor by a grant under way."""
        self.asked.clear()
        self.awaited.clear()
        self.fresh_at = None

    def ask(self, now: int, nonce: int) -> None:
        """A question goes out."""
        self.asked[nonce] = now
        while len(self.asked) > MOST_ASKED:
            del self.asked[next(iter(self.asked))]

    def on_grant(self, nonce: int, stamp: int, age_ms: int, shown: int) -> bool:
        """The answer to a question, once each; whether it was one and may give a lease."""
        asked_at = self.asked.pop(nonce, None)
        if asked_at is None or age_ms == NO_AGE or not stamp:
            return False
        age = int(age_ms * MS * (1 + 2 * self.drift))
        self.awaited = [*self.awaited, Awaited(asked_at - age, stamp)][-MOST_AWAITED:]
        self.on_shown(shown)
        return True

    def on_shown(self, shown: int) -> None:
        """So much is shown now."""
        counted = [grant.fresh_at for grant in self.awaited if grant.stamp <= shown]
        if self.fresh_at is not None:
            counted.append(self.fresh_at)
        self.fresh_at = max(counted, default=None)
        self.awaited = [grant for grant in self.awaited if grant.stamp > shown]

    def left(self, now: int) -> int:
        """For how many nanoseconds it holds; 0: there is none."""
        return 0 if self.fresh_at is None else max(0, self.fresh_at + self.length - now)

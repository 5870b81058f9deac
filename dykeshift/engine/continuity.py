"""Whether connections to an address lead to the process that discovery has listed there. Sans-I/O.

Discovery lists a replacement at the same address seconds late. Until then a new connection may lead to a
process of another scope, which does not know the idempotency keys of earlier requests. What can be told is
that the process there may have ended: it has closed a connection, or one was refused.

A connection is *proven* if it leads to the listed process: it was opened before any such sign, or while
another proven connection was still open, as two processes cannot listen at one address. It is not proven any
more if a sign comes soon after it was opened, as that may be late. All connections are proven once discovery
has answered so late after the last sign that it would have told of a replacement.

A newly listed process starts without doubt if the signs tell of the end of its predecessor. They may tell of
its own end if it began before the last one, by its start time (which wall clocks can make too late), or if
that one came after an unproven connection, which may have led to it already. All this belongs to the address:
the connections are those to whichever process was there.

What may show only later that a connection leads to another process, a late sign or the end of the listing,
returns the *doubted* connections: what is under way on these was sent as if to the listed process.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

# Twice the time after which a balancer counts as informed (`rules.INFORMED_AFTER_NS`): once for discovery to
# notice the replacement, once for this process to be told.
CONFIRMATION_DELAY_NS = 12_000_000_000

SIGN_DELAY_NS = 500_000_000  # by which a sign may arrive later than a connection to the successor is open

ConnectionT = TypeVar("ConnectionT")


class ProcessContinuity(Generic[ConnectionT]):
    """The connections to one address; times are nanoseconds on the clock that start times are given in."""

    __slots__ = (
        "_is_proven",
        "_opened_at",
        "_interrupted_at",
        "_successor_opened",
        "_successor_ended",
        "_process",
    )

    def __init__(self) -> None:
        self._is_proven: dict[ConnectionT, bool] = {}  # by open connection
        self._opened_at: dict[ConnectionT, int] = {}
        self._interrupted_at: int | None = None  # the last sign that the process may have ended
        # Since the first sign: an unproven connection was opened; after that, another sign came.
        self._successor_opened = self._successor_ended = False
        self._process: tuple[int, int] | None = None  # the listed one: its number and start time

    @property
    def interrupted(self) -> bool:
        """Whether new connections may lead to another process than the listed one."""
        return self._interrupted_at is not None

    @property
    def in_use(self) -> bool:
        """Whether it must be kept although nothing is listed at the address."""
        return self.interrupted or bool(self._is_proven)

    def is_proven(self, connection: ConnectionT) -> bool:
        """Whether this open connection leads to the listed process."""
        return self._is_proven.get(connection, False)

    def listed(self, number: int, started: int) -> None:
        """Discovery lists this process at the address; `started`: when it began, 0 if that is not known."""
        if self._process == (number, started):
            return
        self._process = number, started
        self._is_proven = dict.fromkeys(self._is_proven, False)
        if self._interrupted_at is not None and self._interrupted_at < started and not self._successor_ended:
            self._reassure()
        self._successor_opened = self._successor_ended = False

    def unlisted(self, now: int) -> list[ConnectionT]:
        """The process is not listed there any more: what is still open may lead to another one.

        Returns the doubted connections. Had an older one led to another process, discovery would have told
        of that process before.
        """
        doubted = self._doubt_opened_after(now - CONFIRMATION_DELAY_NS)
        self._successor_opened = self._successor_opened or bool(self._is_proven)
        self._is_proven = dict.fromkeys(self._is_proven, False)
        return doubted

    def opened(
        self, connection: ConnectionT, now: int, is_open: Callable[[ConnectionT], bool]
    ) -> list[ConnectionT]:
        """A connection has been opened; returns those that are doubted now.

        `is_open`: whether the peer of a connection, too, has it open, by the system.
        """
        proven = [known for known, is_proven in self._is_proven.items() if is_proven]
        doubted = list[ConnectionT]()
        if any(is_open(known) for known in proven):
            self._reassure()
        elif proven:
            doubted = self._interrupt(now)
        self._is_proven[connection] = self._interrupted_at is None
        self._opened_at[connection] = now
        self._successor_opened = self._successor_opened or self.interrupted
        return doubted

    def lost(self, connection: ConnectionT, now: int, by_peer: bool) -> list[ConnectionT]:
        """A connection is closed; returns those that are doubted now. `by_peer`: not by this side."""
        self._is_proven.pop(connection, None)
        self._opened_at.pop(connection, None)
        return self._interrupt(now) if by_peer else []

    def refused(self, now: int) -> list[ConnectionT]:
        """Nothing listened at the address; returns the connections that are doubted now."""
        return self._interrupt(now)

    def listed_again(self, now: int) -> None:
        """Discovery has answered, and all changes that it told of were passed to `listed`."""
        if self._interrupted_at is not None and now - self._interrupted_at >= CONFIRMATION_DELAY_NS:
            self._reassure()
            self._is_proven = dict.fromkeys(self._is_proven, True)

    def _interrupt(self, now: int) -> list[ConnectionT]:
        self._interrupted_at = now
        self._successor_ended = self._successor_ended or self._successor_opened
        return self._doubt_opened_after(now - SIGN_DELAY_NS)

    def _doubt_opened_after(self, time: int) -> list[ConnectionT]:
        """Take the proof from the connections opened after this time; returns those that had it."""
        doubted = [known for known, is_proven in self._is_proven.items() if is_proven]
        doubted = [connection for connection in doubted if self._opened_at[connection] > time]
        for connection in doubted:
            self._is_proven[connection] = False
        return doubted

    def _reassure(self) -> None:
        self._interrupted_at = None
        self._successor_opened = self._successor_ended = False

"""What a replica remembers of its subscribers: sessions, scopes, leases that are out, who is left behind.

All of it is bounded: sessions by the replica's options, scopes by their number, leases by the time they last,
names of those left behind by `MOST_NAMES`, the oldest forgotten first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from dykeshift.configuration.admission import TokenBucket
from dykeshift.configuration.catch_up import Part, Position
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.transfer import Sender
from dykeshift.view.table import Address

MOST_SCOPES = 1024  # scopes that are known again by their digest
MOST_STAMPS = 8  # versions with grants that may be valid, of one session
MOST_NAMES = 4096  # subscribers of which it is remembered how far they were


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that may be out: valid no longer than `until`, by somebody who acts on `shown` or later."""

    name: str
    shown: int
    until: int


class Grants:
    """The grants of one session that may still be valid: until when, by the version they are stamped with."""

    def __init__(self) -> None:
        self.until: dict[int, int] = {}

    def add(self, now: int, stamp: int, until: int) -> None:
        """A grant went out. Of too many the two oldest count as one, of the older version."""
        self._forget(now)
        self.until[stamp] = max(until, self.until.get(stamp, 0))
        while len(self.until) > MOST_STAMPS:
            oldest, second = sorted(self.until)[:2]
            self.until[oldest] = max(self.until[oldest], self.until.pop(second))

    def _forget(self, now: int) -> None:
        for stamp in [stamp for stamp, until in self.until.items() if until <= now]:
            del self.until[stamp]

    def leases(self, now: int, name: str, shown: int) -> list[Lease]:
        """What may be valid, by somebody who says that it acts on `shown`.

        A grant counts for the subscriber only once it shows its stamp, so it acts on that at least.
        """
        self._forget(now)
        return [Lease(name, max(shown, stamp), until) for stamp, until in self.until.items()]


@dataclass(slots=True)
class Session:
    """One attempt of a subscriber to be served."""

    name: str
    birth: int
    attempt: int
    number: int  # that the subscriber drew
    token: int
    address: Address
    scope_digest: int
    scope_length: int
    position: Position  # up to where it was sent and acknowledged
    shown: int  # the version that it says it acts on
    bucket: TokenBucket
    heard_at: int
    scope: Scope | None = None
    scope_bytes: bytearray = field(default_factory=bytearray)
    confirmed: bool = False  # it has answered with the token
    sender: Sender | None = None
    part: Part | None = None  # what the sender sends
    transfers: int = 0
    grants: Grants = field(default_factory=lambda: Grants())


@dataclass(slots=True)
class Known:
    """How far a subscriber was when it was last heard."""

    shown: int
    heard_at: int


class ScopeCache:
    """Scopes by their digest, the least recently used forgotten first."""

    def __init__(self, most: int = MOST_SCOPES) -> None:
        self.most = most
        self.scopes: OrderedDict[int, Scope] = OrderedDict()

    def get(self, digest: int) -> Scope | None:
        """The scope, if it is known."""
        if digest in self.scopes:
            self.scopes.move_to_end(digest)
        return self.scopes.get(digest)

    def put(self, digest: int, scope: Scope) -> None:
        """Remember a scope."""
        self.scopes[digest] = scope
        self.scopes.move_to_end(digest)
        while len(self.scopes) > self.most:
            self.scopes.popitem(last=False)


class Roll:
    """The names of subscribers and how far each was, the longest silent forgotten first."""

    def __init__(self, most: int = MOST_NAMES) -> None:
        self.most = most
        self.known: OrderedDict[str, Known] = OrderedDict()

    def heard(self, now: int, name: str, shown: int) -> None:
        """The subscriber says which version it shows."""
        self.known[name] = Known(shown, now)
        self.known.move_to_end(name)
        while len(self.known) > self.most:
            self.known.popitem(last=False)

    def left(self, name: str) -> None:
        """It went elsewhere: another replica answers for it."""
        self.known.pop(name, None)

    def behind(self, version: int) -> list[str]:
        """Who has not said that it shows this version or a later one."""
        return sorted(name for name, known in self.known.items() if known.shown < version)


def left_behind(rolls: Iterable[Roll], version: int) -> list[str]:
    """The subscribers that no replica of the tier knows to have shown this version or a later one.

    Who moved from one replica to another is counted by what it said last to either, whichever is more.
    """
    furthest: dict[str, int] = {}
    for roll in rolls:
        for name, known in roll.known.items():
            furthest[name] = max(known.shown, furthest.get(name, 0))
    return sorted(name for name, shown in furthest.items() if shown < version)

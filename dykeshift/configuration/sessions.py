"""What a replica stores about its subscribers: sessions, cached scopes, outstanding leases, shown versions.

All of it is bounded: sessions by the replica's options, scopes by the size of their cache, leases by their
duration, shown versions by `MAX_TRACKED_SUBSCRIBERS` with the least recently heard evicted first.
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

MAX_CACHED_SCOPES = 1024  # scopes that can be looked up by their digest
MAX_GRANT_VERSIONS = 8  # versions with grants that may still be valid, per session
MAX_TRACKED_SUBSCRIBERS = 4096  # subscribers whose last shown version is stored


@dataclass(frozen=True, slots=True)
class Lease:
    """An outstanding lease: valid until `until` at most; its holder acts on version `shown` or a newer
    one."""

    name: str
    shown: int
    until: int


class Grants:
    """The grants of one session that may still be valid: their latest expiry by the version of their
    stamp."""

    def __init__(self) -> None:
        self.expiry_by_version: dict[int, int] = {}

    def add(self, now: int, stamp: int, until: int) -> None:
        """Records a grant. Beyond `MAX_GRANT_VERSIONS` the two oldest are merged under the older version.

        That is safe: the fence only stays lower for longer.
        """
        self._drop_expired(now)
        self.expiry_by_version[stamp] = max(until, self.expiry_by_version.get(stamp, 0))
        while len(self.expiry_by_version) > MAX_GRANT_VERSIONS:
            oldest, second = sorted(self.expiry_by_version)[:2]
            self.expiry_by_version[oldest] = max(
                self.expiry_by_version[oldest], self.expiry_by_version.pop(second)
            )

    def _drop_expired(self, now: int) -> None:
        for stamp in [stamp for stamp, until in self.expiry_by_version.items() if until <= now]:
            del self.expiry_by_version[stamp]

    def leases(self, now: int, name: str, shown: int) -> list[Lease]:
        """The leases that may be valid for a subscriber that reported showing `shown`.

        A grant takes effect only once its stamp is shown, so the subscriber acts on that version at least.
        """
        self._drop_expired(now)
        return [Lease(name, max(shown, stamp), until) for stamp, until in self.expiry_by_version.items()]


@dataclass(slots=True)
class Session:
    """One session of a subscriber, from its HELLO on."""

    name: str
    birth: int
    attempt: int
    number: int  # chosen at random by the subscriber
    token: int
    address: Address
    scope_digest: int
    scope_length: int
    position: Position  # up to where parts were sent and acknowledged
    shown: int  # the version that it reported to act on
    bucket: TokenBucket
    heard_at: int
    scope: Scope | None = None
    scope_bytes: bytearray = field(default_factory=bytearray)
    confirmed: bool = False  # it has sent a datagram with the token
    sender: Sender | None = None
    part: Part | None = None  # the part that `sender` transmits
    transfers: int = 0
    grants: Grants = field(default_factory=lambda: Grants())


@dataclass(slots=True)
class LastReport:
    """The version that a subscriber reported last, and when."""

    shown: int
    heard_at: int


class ScopeCache:
    """Scopes by their digest; evicts the least recently used."""

    def __init__(self, capacity: int = MAX_CACHED_SCOPES) -> None:
        self.capacity = capacity
        self.scopes: OrderedDict[int, Scope] = OrderedDict()

    def get(self, digest: int) -> Scope | None:
        """Returns the scope, or None if it is not cached."""
        if digest in self.scopes:
            self.scopes.move_to_end(digest)
        return self.scopes.get(digest)

    def put(self, digest: int, scope: Scope) -> None:
        """Caches a scope."""
        self.scopes[digest] = scope
        self.scopes.move_to_end(digest)
        while len(self.scopes) > self.capacity:
            self.scopes.popitem(last=False)


class SubscriberProgress:
    """The version that each subscriber reported last; evicts the least recently heard."""

    def __init__(self, capacity: int = MAX_TRACKED_SUBSCRIBERS) -> None:
        self.capacity = capacity
        self.reports: OrderedDict[str, LastReport] = OrderedDict()

    def record(self, now: int, name: str, shown: int) -> None:
        """Records the version that the subscriber reports to show."""
        self.reports[name] = LastReport(shown, now)
        self.reports.move_to_end(name)
        while len(self.reports) > self.capacity:
            self.reports.popitem(last=False)

    def remove(self, name: str) -> None:
        """The subscriber's process ended: it is not tracked any more."""
        self.reports.pop(name, None)

    def behind(self, version: int) -> list[str]:
        """Names of the subscribers that have not reported this version or a newer one."""
        return sorted(name for name, known in self.reports.items() if known.shown < version)


def subscribers_behind(trackers: Iterable[SubscriberProgress], version: int) -> list[str]:
    """Names of the subscribers that reported this version or a newer one to no replica of the tier.

    For a subscriber that moved between replicas the newest of its reports counts.
    """
    latest: dict[str, int] = {}
    for roll in trackers:
        for name, known in roll.reports.items():
            latest[name] = max(known.shown, latest.get(name, 0))
    return sorted(name for name, shown in latest.items() if shown < version)

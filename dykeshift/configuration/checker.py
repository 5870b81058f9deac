"""Checks the guarantees of the tier and its subscribers after every step of a simulation.

The reference is a separate store of the checker, which applies each entry when the first control machine
commits it. The checked guarantees:

 1. The state that a subscriber shows is its complete scope of the store at the version that it reports.
 2. That version never decreases.
 3. A subscriber that holds a lease shows everything that was committed a lease ago.
 4. Nobody holds a lease on a version older than the lowest fence of all replicas, nor older than the fence
    of the replica that has served it for a whole lease.
 5. Bytes per second are limited: to and from each subscriber, and from each replica.
 6. The memory of a replica is bounded.
 7. A version that a replica records as shown was shown.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from dykeshift.configuration import sessions, wire
from dykeshift.configuration.catch_up import DIGEST_MASK
from dykeshift.configuration.replica import MAX_RETAINED_LEASES, Replica
from dykeshift.configuration.resources import Resource
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.tier import Tier
from dykeshift.configuration.virtual import SECOND, Host

MAX_SUBSCRIBER_BYTES = 12_000  # per second, both directions together
SCAN_INTERVAL = SECOND // 4  # between two checks of all hosts
MAX_VIOLATIONS = 20


@dataclass(slots=True)
class _Window:
    """Bytes sent within the last second."""

    events: deque[tuple[int, int]] = field(default_factory=deque)
    total: int = 0

    def add(self, now: int, size: int) -> int:
        """Adds a datagram; returns the sum over the second that ends now."""
        self.events.append((now, size))
        self.total += size
        while self.events[0][0] <= now - SECOND:
            self.total -= self.events.popleft()[1]
        return self.total


@dataclass(slots=True)
class _SubscriberRecord:
    """The last observed state of a subscriber's process."""

    start: int = 0
    version: int = 0
    address: Any = None
    since: int = 0  # when it changed to that replica, in true time


class ReferenceHistory:
    """The reference store at each version, restricted to the scopes of the subscribers."""

    def __init__(self, scopes: list[Scope]) -> None:
        self.store = ConfigStore()
        self.scopes = scopes
        self.committed_at: dict[int, int] = {}
        self.history: dict[Scope, tuple[list[int], list[tuple[Resource, ...]], list[int]]] = {
            scope: ([], [], []) for scope in scopes
        }

    def restore(self, now: int, version: int, state: bytes) -> None:
        """Loads the state at the start of the simulation."""
        self.store.restore(version, state)
        self._record(now, self.scopes)

    def apply(self, now: int, version: int, body: bytes) -> None:
        """Applies an entry that is committed for the first time."""
        before = self.store.version
        self.store.apply(version, body)
        self._record(now, [scope for scope in self.scopes if self.store.changes_since(before, scope)])

    def _record(self, now: int, scopes: list[Scope]) -> None:
        version = self.store.version
        self.committed_at[version] = now
        for scope in scopes:
            versions, states, digests = self.history[scope]
            versions.append(version)
            states.append(self.store.scoped(scope))
            digests.append(self.store.digest(scope) & DIGEST_MASK)

    def at(self, scope: Scope, version: int) -> tuple[tuple[Resource, ...], int] | None:
        """Resources and digest of a scope at a version; None if there was no such version."""
        versions, states, digests = self.history[scope]
        place = bisect_right(versions, version) - 1
        if place < 0 or version > self.store.version:
            return None
        return states[place], digests[place]


class Checker:
    """Observes a tier; `broken` has a line for each violated guarantee."""

    def __init__(self, tier: Tier) -> None:
        self.tier, self.network = tier, tier.network
        self.broken: list[str] = []
        self.reference = ReferenceHistory(list(set(tier.scopes.values())))
        self.records = {host.name: _SubscriberRecord() for host in tier.subscribers}
        self.windows: dict[str, _Window] = {}
        self.control = {host.name for host in tier.control}
        self.tier_fence = 0
        self.lease = tier.options.subscriber.lease
        self.network.after_step = self.after_step
        self.network.on_send = self.on_send
        self.shown: dict[tuple[str, int], set[int]] = {}  # versions by name and birth
        self.network.after(0.0, self._scan)

    def _report(self, text: str) -> None:
        if len(self.broken) < MAX_VIOLATIONS:
            self.broken.append(f"{self.network.now / SECOND:.3f}: {text}")

    # ---- after each step ----

    def after_step(self, host: Host) -> None:
        """Checks a host after one of its steps."""
        if host.name in self.control:
            self._record_commits(host)
        else:
            self._check_subscriber(host)

    def _record_commits(self, host: Host) -> None:
        """Applies to the reference all entries that this control machine is the first to have committed."""
        store = host.core.store
        reference = self.reference.store
        if store.version <= reference.version:
            return
        log = host.core.machine.core.shared.log
        if not reference.version:
            self.reference.restore(self.network.now, store.version, store.snapshot())
            return
        for index in range(log.base.index + 1, host.core.machine.core.shared.commit + 1):
            version = log.version_at(index)
            if version > reference.version and log.version_at(index - 1) < version:
                self.reference.apply(self.network.now, version, log.entry(index).body)

    def _check_subscriber(self, host: Host) -> None:
        core, record = host.core, self.records[host.name]
        if record.start != host.starts:
            self.records[host.name] = record = _SubscriberRecord(host.starts)
            self.shown[host.name, core.birth] = {0}
        version = core.state.version
        if version < record.version:
            self._report(f"{host.name} went back from version {record.version} to {version}")
        if core.address != record.address:
            record.address, record.since = core.address, self.network.now
        self._check_state(host, exact=version != record.version)
        record.version = version
        self.shown[host.name, core.birth].add(version)
        self._check_lease(host)

    def _check_state(self, host: Host, exact: bool) -> None:
        state = host.core.state
        if not state.version:
            if state.index.count:
                self._report(f"{host.name} shows resources without a version")
            return
        expected = self.reference.at(state.scope, state.version)
        if expected is None:
            self._report(f"{host.name} shows version {state.version}, which was never committed")
        elif state.digest() != expected[1]:
            self._report(f"{host.name} at version {state.version} differs from the store by its digest")
        elif exact and _listing(state.resources()) != _listing(expected[0]):
            self._report(f"{host.name} at version {state.version} differs from the store by its resources")

    def _check_lease(self, host: Host) -> None:
        core = host.core
        if not core.lease_left(self.network.clock(host)):
            return
        version = core.state.version
        limit = self.network.now - self.lease
        committed = self.reference.committed_at
        late = [
            v for v in range(version + 1, self.reference.store.version + 1) if committed.get(v, limit) < limit
        ]
        if late:
            self._report(f"{host.name} holds a lease at {version}; {late[0]} was committed over a lease ago")
        if version < self.tier_fence:
            self._report(f"{host.name} holds a lease at {version}, below the tier's fence {self.tier_fence}")
        record = self.records[host.name]
        replica = self.network.hosts.get(record.address) if record.address is not None else None
        if replica is None or not replica.alive or self.network.now - record.since < self.lease * 1.1:
            return
        fenced = replica.core.replica.fenced
        if version < fenced:
            self._report(
                f"{host.name} holds a lease at {version}, below {fenced}, the fence of {replica.name}"
            )

    # ---- budgets ----

    def on_send(self, source: Host, target: Host, data: bytes) -> None:
        """Checks the byte budgets when a datagram is sent."""
        if not wire.is_ours(data) or wire.is_fence(data):
            return
        now, size = self.network.now, len(data)
        subscriber = target if source.name in self.control else source
        total = self.windows.setdefault(subscriber.name, _Window()).add(now, size)
        if total > MAX_SUBSCRIBER_BYTES:
            self._report(f"{total} bytes in one second to and from {subscriber.name}")
        if source.name in self.control:
            options = self.tier.options.replica
            most = options.bytes + options.bytes // 4
            sent = self.windows.setdefault(source.name, _Window()).add(now, size)
            if sent > most * 1.02:
                self._report(f"{sent} bytes in one second from {source.name}")

    # ---- periodic checks ----

    def _scan(self) -> None:
        """Checks all hosts, also paused ones, as leases expire without a step."""
        self.network.at(self.network.now + SCAN_INTERVAL, self._scan)
        fences = [host.core.replica.fenced if host.alive else 0 for host in self.tier.control]
        self.tier_fence = max(self.tier_fence, min(fences))
        for host in self.tier.subscribers:
            if host.alive:
                self._check_lease(host)
        for host in self.tier.control:
            if host.alive:
                self._check_replica(host.name, host.core.replica)

    def _check_replica(self, name: str, replica: Replica) -> None:
        options = replica.options
        bounds = [
            ("sessions", len(replica.sessions), 2 * options.max_sessions),
            ("leases", len(replica.leases), MAX_RETAINED_LEASES),
            ("names", len(replica.progress.reports), sessions.MAX_TRACKED_SUBSCRIBERS),
            ("scopes", len(replica.scopes.scopes), sessions.MAX_CACHED_SCOPES),
            ("waiting", len(replica.queue.waiting), options.max_waiting),
            ("slots", len(replica.queue.holders), options.slots),
        ]
        for session in replica.sessions.values():
            sent = sum(map(len, session.sender.chunks)) if session.sender is not None else 0
            bounds.append(("bytes of a part", sent, options.part_bytes + 8_192))
            bounds.append(("stamps", len(session.grants.expiry_by_version), sessions.MAX_GRANT_VERSIONS))
            if session.shown not in self.shown.get((session.name, session.birth), {session.shown}):
                self._report(f"{name} recorded for {session.name} a version never shown: {session.shown}")
        for what, count, most in bounds:
            if count > most:
                self._report(f"{name} stores {count} {what}, limit {most}")


def _listing(resources: tuple[Resource, ...]) -> list[tuple[Any, int, bytes | None]]:
    return sorted((r.key, r.version, r.body) for r in resources)

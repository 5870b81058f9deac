"""The promises of tier and subscribers, held against the truth after every step of a virtual world.

The truth is a store of the checker's own, which applies each entry as the first control machine commits it.

 1. What a subscriber shows is its scope of the store at the version that it claims, whole.
 2. It never goes back.
 3. Who holds a lease shows all that was committed a lease ago.
 4. Nobody holds a lease on a version older than what all replicas have fenced, nor than what the replica that
    it has held to for a whole lease has fenced.
 5. Bytes a second: to and from each subscriber, and from each replica.
 6. What a replica remembers is bounded.
 7. What a replica took as shown was shown.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from dykeshift.configuration import sessions, wire
from dykeshift.configuration.catch_up import DIGEST_MASK
from dykeshift.configuration.replica import MOST_LEASES, Replica
from dykeshift.configuration.resources import Resource
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.tier import Tier
from dykeshift.configuration.virtual import SECOND, Host

SUBSCRIBER_BYTES = 12_000  # in any second, both ways together
SCAN = SECOND // 4  # between two looks at everybody
MOST_FINDINGS = 20


@dataclass(slots=True)
class _Window:
    """What went within the last second."""

    events: deque[tuple[int, int]] = field(default_factory=deque)
    total: int = 0

    def add(self, now: int, size: int) -> int:
        """The sum of the second that ends now."""
        self.events.append((now, size))
        self.total += size
        while self.events[0][0] <= now - SECOND:
            self.total -= self.events.popleft()[1]
        return self.total


@dataclass(slots=True)
class _Seen:
    """What was last seen of a subscriber's life."""

    life: int = 0
    version: int = 0
    address: Any = None
    since: int = 0  # with that replica, by true time


class Truth:
    """The store as it was at each version, as far as the scopes of the subscribers go."""

    def __init__(self, scopes: list[Scope]) -> None:
        self.store = ConfigStore()
        self.scopes = scopes
        self.committed_at: dict[int, int] = {}
        self.history: dict[Scope, tuple[list[int], list[tuple[Resource, ...]], list[int]]] = {
            scope: ([], [], []) for scope in scopes
        }

    def restore(self, now: int, version: int, state: bytes) -> None:
        """The world begins with this."""
        self.store.restore(version, state)
        self._note(now, self.scopes)

    def apply(self, now: int, version: int, body: bytes) -> None:
        """An entry is committed for the first time."""
        before = self.store.version
        self.store.apply(version, body)
        self._note(now, [scope for scope in self.scopes if self.store.changes_since(before, scope)])

    def _note(self, now: int, scopes: list[Scope]) -> None:
        version = self.store.version
        self.committed_at[version] = now
        for scope in scopes:
            versions, states, digests = self.history[scope]
            versions.append(version)
            states.append(self.store.scoped(scope))
            digests.append(self.store.digest(scope) & DIGEST_MASK)

    def at(self, scope: Scope, version: int) -> tuple[tuple[Resource, ...], int] | None:
        """Resources and digest of a scope as they were; None: there was no such version."""
        versions, states, digests = self.history[scope]
        place = bisect_right(versions, version) - 1
        if place < 0 or version > self.store.version:
            return None
        return states[place], digests[place]


class Checker:
    """Watches a tier; `broken` has a line for each promise that did not hold."""

    def __init__(self, tier: Tier) -> None:
        self.tier, self.network = tier, tier.network
        self.broken: list[str] = []
        self.truth = Truth(list(set(tier.scopes.values())))
        self.seen = {host.name: _Seen() for host in tier.subscribers}
        self.windows: dict[str, _Window] = {}
        self.control = {host.name for host in tier.control}
        self.tier_fence = 0
        self.lease = tier.options.subscriber.lease
        self.network.after_step = self.after_step
        self.network.on_send = self.on_send
        self.shown: dict[tuple[str, int], set[int]] = {}  # by name and birth
        self.network.after(0.0, self._scan)

    def _say(self, text: str) -> None:
        if len(self.broken) < MOST_FINDINGS:
            self.broken.append(f"{self.network.now / SECOND:.3f}: {text}")

    # ---- after each step ----

    def after_step(self, host: Host) -> None:
        """A host has done something."""
        if host.name in self.control:
            self._learn(host)
        else:
            self._check_subscriber(host)

    def _learn(self, host: Host) -> None:
        """What this control machine has committed beyond what was known."""
        store = host.core.store
        truth = self.truth.store
        if store.version <= truth.version:
            return
        log = host.core.machine.core.shared.log
        if not truth.version:
            self.truth.restore(self.network.now, store.version, store.snapshot())
            return
        for index in range(log.base.index + 1, host.core.machine.core.shared.commit + 1):
            version = log.version_at(index)
            if version > truth.version and log.version_at(index - 1) < version:
                self.truth.apply(self.network.now, version, log.entry(index).body)

    def _check_subscriber(self, host: Host) -> None:
        core, seen = host.core, self.seen[host.name]
        if seen.life != host.lives:
            self.seen[host.name] = seen = _Seen(host.lives)
            self.shown[host.name, core.birth] = {0}
        version = core.state.version
        if version < seen.version:
            self._say(f"{host.name} went back from {seen.version} to {version}")
        if core.address != seen.address:
            seen.address, seen.since = core.address, self.network.now
        self._check_state(host, exact=version != seen.version)
        seen.version = version
        self.shown[host.name, core.birth].add(version)
        self._check_lease(host)

    def _check_state(self, host: Host, exact: bool) -> None:
        state = host.core.state
        if not state.version:
            if state.index.count:
                self._say(f"{host.name} shows resources of no version")
            return
        expected = self.truth.at(state.scope, state.version)
        if expected is None:
            self._say(f"{host.name} shows version {state.version}, which nobody has committed")
        elif state.digest() != expected[1]:
            self._say(f"{host.name} at version {state.version} does not show what the store had")
        elif exact and _listing(state.resources()) != _listing(expected[0]):
            self._say(f"{host.name} at version {state.version} shows other resources")

    def _check_lease(self, host: Host) -> None:
        core = host.core
        if not core.lease_left(self.network.clock(host)):
            return
        version = core.state.version
        limit = self.network.now - self.lease
        committed = self.truth.committed_at
        late = [
            v for v in range(version + 1, self.truth.store.version + 1) if committed.get(v, limit) < limit
        ]
        if late:
            self._say(f"{host.name} holds a lease at {version}; {late[0]} was committed longer ago")
        if version < self.tier_fence:
            self._say(f"{host.name} holds a lease at {version}, below the tier's fence {self.tier_fence}")
        seen = self.seen[host.name]
        replica = self.network.hosts.get(seen.address) if seen.address is not None else None
        if replica is None or not replica.alive or self.network.now - seen.since < self.lease * 1.1:
            return
        fenced = replica.core.replica.fenced
        if version < fenced:
            self._say(f"{host.name} holds a lease at {version}, below {fenced}, the fence of {replica.name}")

    # ---- budgets ----

    def on_send(self, source: Host, target: Host, data: bytes) -> None:
        """A datagram goes out."""
        if not wire.is_ours(data) or wire.is_fence(data):
            return
        now, size = self.network.now, len(data)
        subscriber = target if source.name in self.control else source
        total = self.windows.setdefault(subscriber.name, _Window()).add(now, size)
        if total > SUBSCRIBER_BYTES:
            self._say(f"{total} bytes in a second with {subscriber.name}")
        if source.name in self.control:
            options = self.tier.options.replica
            most = options.bytes + options.bytes // 4
            sent = self.windows.setdefault(source.name, _Window()).add(now, size)
            if sent > most * 1.02:
                self._say(f"{sent} bytes in a second from {source.name}")

    # ---- now and then ----

    def _scan(self) -> None:
        """Everybody, also who stands still: a lease ends by its clock."""
        self.network.at(self.network.now + SCAN, self._scan)
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
            ("sessions", len(replica.sessions), 2 * options.most_sessions),
            ("leases", len(replica.leases), MOST_LEASES),
            ("names", len(replica.roll.known), sessions.MOST_NAMES),
            ("scopes", len(replica.scopes.scopes), sessions.MOST_SCOPES),
            ("waiting", len(replica.queue.waiting), options.most_waiting),
            ("slots", len(replica.queue.holders), options.slots),
        ]
        for session in replica.sessions.values():
            sent = sum(map(len, session.sender.chunks)) if session.sender is not None else 0
            bounds.append(("bytes of a part", sent, options.part_bytes + 8_192))
            bounds.append(("stamps", len(session.grants.until), sessions.MOST_STAMPS))
            if session.shown not in self.shown.get((session.name, session.birth), {session.shown}):
                self._say(f"{name} takes {session.name} for one that shows {session.shown}")
        for what, count, most in bounds:
            if count > most:
                self._say(f"{name} remembers {count} {what}, more than {most}")


def _listing(resources: tuple[Resource, ...]) -> list[tuple[Any, int, bytes | None]]:
    return sorted((r.key, r.version, r.body) for r in resources)

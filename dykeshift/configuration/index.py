"""An index of resources by key, by service and in version order.

Theory of operation. There is one table for each service, one for the resources that apply to all services,
and one for all resources. A table is a dictionary in version order: a write moves the key to the end. Reading
the changes since a version starts at the end and costs only as much as has changed, and reading a scope of a
few services costs only its own size.

A resource that leaves a table (it is deleted, or no longer concerns that service) leaves a tombstone there.
At most `most_tombstones` are kept. When the oldest is evicted, `compacted` rises to its version: a reader
whose state is older than `compacted` has to fetch its whole scope.

Invariants:
 1. Applying `changes_since(v, scope)` to what `scoped(scope)` was at v gives what `scoped(scope)` is now.
 2. Two indexes with the same resources in a scope have the same digest for it, whatever their history.
 3. Nothing is kept of removed resources except for at most `most_tombstones` tombstones.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile

from dykeshift.configuration.resources import (
    DIGEST_BYTES,
    Key,
    Resource,
    resource_digest,
    services,
)
from dykeshift.configuration.scope import Scope

MOST_TOMBSTONES = 4096
ALL_SERVICES = ""  # name of the table of resources that apply to all services
ALL_RESOURCES = None  # name of the table of all resources

TableName = str | None


class CompactedError(Exception):
    """The changes since that version were compacted away: the whole scope has to be fetched."""


@dataclass(slots=True)
class Table:
    """Resources and tombstones of one service in version order, and the digest of the live resources."""

    entries: dict[Key, Resource] = field(default_factory=dict)
    digest: int = 0

    def since(self, version: int) -> Iterator[Resource]:
        """Entries later than a version, newest first."""
        return takewhile(lambda resource: resource.version > version, reversed(self.entries.values()))


_EMPTY = Table()  # stands for the table of a service without resources


class ResourceIndex:
    """The resources of a store, a replica or a subscriber."""

    def __init__(self, most_tombstones: int = MOST_TOMBSTONES) -> None:
        self.most_tombstones = most_tombstones
        self.compacted = 0  # changes up to this version may be forgotten
        self.count = 0  # live resources
        self.tables: dict[TableName, Table] = {ALL_RESOURCES: Table()}
        self.tombstones: OrderedDict[tuple[TableName, Key], int] = OrderedDict()  # versions, oldest first

    def get(self, key: Key) -> Resource | None:
        """The live resource of a key."""
        found = self.tables[ALL_RESOURCES].entries.get(key)
        return found if found is not None and found.live else None

    def live(self) -> Iterator[Resource]:
        """All live resources in version order."""
        return (resource for resource in self.tables[ALL_RESOURCES].entries.values() if resource.live)

    def has_tombstone(self, key: Key) -> bool:
        """Whether the deletion of a key is still remembered."""
        return (ALL_RESOURCES, key) in self.tombstones

    # ---- writing ----

    def write(self, resource: Resource) -> None:
        """Write a new state of a key; versions never decrease. A deletion has its `former_services` set."""
        old = self._remove_live(resource.key)
        old_tables = _tables_of(old) if old is not None else ()
        new_tables = _tables_of(resource)
        if resource.live:
            self._insert_live(resource)
            left = [name for name in old_tables if name not in new_tables]
        else:
            left = [*new_tables, *(name for name in old_tables if name not in new_tables)]
        for name in left:
            self._insert_tombstone(name, _tombstone(resource, name))
        self._evict_tombstones()

    def merge(self, resources: Iterable[Resource], tombstones: Iterable[tuple[TableName, Resource]]) -> None:
        """Merge entries of another index that are later than all entries here: live resources, and tombstones
        with their tables, each in version order. Afterwards this index answers as the other one does."""
        found: list[tuple[TableName, Resource]] = [(ALL_RESOURCES, resource) for resource in resources]
        found += tombstones
        found.sort(key=lambda item: item[1].version)
        for _, resource in found:
            self._remove_live(resource.key)
        for name, resource in found:
            if resource.live:
                self._insert_live(resource)
            else:
                self._insert_tombstone(name, resource)
        self._evict_tombstones()

    def _remove_live(self, key: Key) -> Resource | None:
        """Remove the live resource of a key from all its tables, and return it."""
        old = self.get(key)
        if old is None:
            return None
        digest = resource_digest(old)
        for name in _tables_of(old):
            table = self.tables[name]
            del table.entries[key]
            table.digest ^= digest
        self.count -= 1
        return old

    def _insert_live(self, resource: Resource) -> None:
        """Append a resource to each of its tables."""
        digest = resource_digest(resource)
        for name in _tables_of(resource):
            table = self._table_without_tombstone(name, resource.key)
            table.entries[resource.key] = resource
            table.digest ^= digest
        self.count += 1

    def _insert_tombstone(self, name: TableName, tombstone: Resource) -> None:
        """Append a tombstone to one table."""
        self._table_without_tombstone(name, tombstone.key).entries[tombstone.key] = tombstone
        self.tombstones[name, tombstone.key] = tombstone.version

    def _table_without_tombstone(self, name: TableName, key: Key) -> Table:
        """The table of that name, created if needed, after removing the tombstone of a key."""
        table = self.tables.get(name)
        if table is None:
            table = self.tables[name] = Table()
        if self.tombstones.pop((name, key), None) is not None:
            del table.entries[key]
        return table

    def _evict_tombstones(self) -> None:
        while len(self.tombstones) > self.most_tombstones:
            (name, key), version = self.tombstones.popitem(last=False)
            self.compacted = max(self.compacted, version)
            table = self.tables[name]
            del table.entries[key]
            if not table.entries and name is not ALL_RESOURCES:
                del self.tables[name]

    # ---- reading ----

    def _tables_in(self, scope: Scope) -> list[Table]:
        names: list[TableName] = (
            [ALL_RESOURCES] if scope.whole else [ALL_SERVICES, *sorted(scope.services - {ALL_SERVICES})]
        )
        return [self.tables.get(name) or _EMPTY for name in names]

    def snapshot_needed(self, version: int) -> bool:
        """Whether changes since a version may have been compacted away."""
        return version < self.compacted

    def changes_since(self, version: int, scope: Scope) -> tuple[Resource, ...]:
        """The latest state of each resource of a scope that changed since a version, including tombstones, in
        version order; raises CompactedError if changes were compacted away."""
        if self.snapshot_needed(version):
            raise CompactedError(
                f"changes since version {version} are not available: compacted up to version {self.compacted}"
            )
        return _latest_in_order(
            resource for table in self._tables_in(scope) for resource in table.since(version)
        )

    def scoped(self, scope: Scope) -> tuple[Resource, ...]:
        """All live resources of a scope in version order."""
        found = (r for table in self._tables_in(scope) for r in table.entries.values() if r.live)
        return _latest_in_order(found)

    def digest(self, scope: Scope) -> int:
        """A digest of the live resources of a scope, independent of their history."""
        total = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for table in self._tables_in(scope):
            total.update(table.digest.to_bytes(DIGEST_BYTES, "big"))
        return int.from_bytes(total.digest(), "big")

    def tombstones_since(self, version: int) -> list[tuple[TableName, Resource]]:
        """The tombstones later than a version, each with the name of its table, in version order."""
        later = takewhile(lambda item: item[1] > version, reversed(self.tombstones.items()))
        found = [(name, self.tables[name].entries[key]) for (name, key), _ in later]
        found.reverse()
        return found


def _tables_of(resource: Resource) -> tuple[TableName, ...]:
    return ALL_RESOURCES, *(services(resource) or (ALL_SERVICES,))


def _tombstone(resource: Resource, name: TableName) -> Resource:
    """The tombstone of a resource for a table that it has left."""
    if name is ALL_RESOURCES:
        return Resource(resource.key, resource.version, None, former_services=resource.former_services)
    return Resource(resource.key, resource.version, None, former_services=(name,) if name else ())


def _latest_in_order(resources: Iterable[Resource]) -> tuple[Resource, ...]:
    """The latest state of each key in version order; a live state wins over a tombstone of its version."""
    latest = dict[Key, Resource]()
    for resource in resources:
        known = latest.get(resource.key)
        if known is None or (known.version, known.live) < (resource.version, resource.live):
            latest[resource.key] = resource
    return tuple(sorted(latest.values(), key=lambda resource: (resource.version, resource.key)))

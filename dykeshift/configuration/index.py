"""Resources by key, by service and in the order of their versions.

Theory of operation. Each service has a table, a further one has the resources that concern everyone, and one
has all. A table is a dictionary whose order is that of the versions: whatever is written goes to its end. So
the changes since a version are read from the end, at the cost of what has changed, and a scope of a few
services costs its own size.

A resource that leaves a table (it is deleted, or concerns another service from now on) leaves a tombstone
there. Of the tombstones `most_tombstones` stay; with the oldest the memory of its version goes
(`compacted`): who holds something older than that has to take the whole of its scope.

Promises:
 1. `changes_since(v, scope)` on top of what `scoped(scope)` was at v is what `scoped(scope)` is now.
 2. Two indexes with the same resources in a scope have the same digest of it, whatever came before.
 3. No table, tombstone or digest is kept of what has left, but for `most_tombstones`.
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
EVERYONE = ""  # the table of what concerns every service
ALL = None  # the table of all resources

TableName = str | None


class CompactedError(Exception):
    """The changes since that version are not known any more: take the whole of the scope."""


@dataclass(slots=True)
class Table:
    """Resources and tombstones of one service in the order of their versions, and the digest of the live."""

    entries: dict[Key, Resource] = field(default_factory=dict)
    digest: int = 0

    def since(self, version: int) -> Iterator[Resource]:
        """Newest first."""
        return takewhile(lambda resource: resource.version > version, reversed(self.entries.values()))


_EMPTY = Table()  # of a service of which nothing is held


class ResourceIndex:
    """What a store, a replica or a subscriber holds."""

    def __init__(self, most_tombstones: int = MOST_TOMBSTONES) -> None:
        self.most_tombstones = most_tombstones
        self.compacted = 0  # changes up to this version may be forgotten
        self.count = 0  # live resources
        self.tables: dict[TableName, Table] = {ALL: Table()}
        self.tombstones: OrderedDict[tuple[TableName, Key], int] = OrderedDict()  # oldest first: its version

    def get(self, key: Key) -> Resource | None:
        """The live resource of a key."""
        found = self.tables[ALL].entries.get(key)
        return found if found is not None and found.live else None

    def live(self) -> Iterator[Resource]:
        """All live resources in the order of versions."""
        return (resource for resource in self.tables[ALL].entries.values() if resource.live)

    def was_deleted(self, key: Key) -> bool:
        """Whether its deletion is remembered."""
        return (ALL, key) in self.tombstones

    # ---- writing ----

    def write(self, resource: Resource) -> None:
        """A later state of a key; versions never go down. A tombstone names the services it concerned."""
        old = self._take_out(resource.key)
        old_tables = _tables_of(old) if old is not None else ()
        new_tables = _tables_of(resource)
        if resource.live:
            self._insert_live(resource)
            left = [name for name in old_tables if name not in new_tables]
        else:
            left = [*new_tables, *(name for name in old_tables if name not in new_tables)]
        for name in left:
            self._insert_tombstone(name, _tombstone(resource, name))
        self._forget()

    def merge(self, resources: Iterable[Resource], tombstones: Iterable[tuple[TableName, Resource]]) -> None:
        """What another index has that is later than all that is here: its live resources, and its tombstones
        with their tables, each in the order of versions. Afterwards this index answers as that one does."""
        found: list[tuple[TableName, Resource]] = [(ALL, resource) for resource in resources]
        found += tombstones
        found.sort(key=lambda item: item[1].version)
        for _, resource in found:
            self._take_out(resource.key)
        for name, resource in found:
            if resource.live:
                self._insert_live(resource)
            else:
                self._insert_tombstone(name, resource)
        self._forget()

    def _take_out(self, key: Key) -> Resource | None:
        """The live resource of a key, which is in no table any more."""
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
        """Into each of its tables, at the end."""
        digest = resource_digest(resource)
        for name in _tables_of(resource):
            table = self._without(name, resource.key)
            table.entries[resource.key] = resource
            table.digest ^= digest
        self.count += 1

    def _insert_tombstone(self, name: TableName, tombstone: Resource) -> None:
        """Into one table, at the end."""
        self._without(name, tombstone.key).entries[tombstone.key] = tombstone
        self.tombstones[name, tombstone.key] = tombstone.version

    def _without(self, name: TableName, key: Key) -> Table:
        """A table, without the tombstone of a key."""
        table = self.tables.get(name)
        if table is None:
            table = self.tables[name] = Table()
        if self.tombstones.pop((name, key), None) is not None:
            del table.entries[key]
        return table

    def _forget(self) -> None:
        while len(self.tombstones) > self.most_tombstones:
            (name, key), version = self.tombstones.popitem(last=False)
            self.compacted = max(self.compacted, version)
            table = self.tables[name]
            del table.entries[key]
            if not table.entries and name is not ALL:
                del self.tables[name]

    # ---- reading ----

    def _found(self, scope: Scope) -> list[Table]:
        names: list[TableName] = [ALL] if scope.whole else [EVERYONE, *sorted(scope.services - {EVERYONE})]
        return [self.tables.get(name) or _EMPTY for name in names]

    def snapshot_needed(self, version: int) -> bool:
        """Whether the changes since a version are not known any more."""
        return version < self.compacted

    def changes_since(self, version: int, scope: Scope) -> tuple[Resource, ...]:
        """The latest state of all that has changed in a scope since, in the order of versions, tombstones
        too; CompactedError where that is not known any more."""
        if self.snapshot_needed(version):
            raise CompactedError(f"changes since {version} are known from {self.compacted} on only")
        return _in_order(resource for table in self._found(scope) for resource in table.since(version))

    def scoped(self, scope: Scope) -> tuple[Resource, ...]:
        """All live resources of a scope in the order of versions."""
        found = (r for table in self._found(scope) for r in table.entries.values() if r.live)
        return _in_order(found)

    def digest(self, scope: Scope) -> int:
        """A number that tells what a scope holds, whatever the way there."""
        total = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for table in self._found(scope):
            total.update(table.digest.to_bytes(DIGEST_BYTES, "big"))
        return int.from_bytes(total.digest(), "big")

    def tombstones_since(self, version: int) -> list[tuple[TableName, Resource]]:
        """The tombstones that are later than a version, each with its table, in the order of versions."""
        later = takewhile(lambda item: item[1] > version, reversed(self.tombstones.items()))
        found = [(name, self.tables[name].entries[key]) for (name, key), _ in later]
        found.reverse()
        return found


def _tables_of(resource: Resource) -> tuple[TableName, ...]:
    return ALL, *(services(resource) or (EVERYONE,))


def _tombstone(resource: Resource, name: TableName) -> Resource:
    """What is left of a resource in a table that it has left."""
    if name is ALL:
        return Resource(resource.key, resource.version, None, concerned=resource.concerned)
    return Resource(resource.key, resource.version, None, concerned=(name,) if name else ())


def _in_order(resources: Iterable[Resource]) -> tuple[Resource, ...]:
    """One state of each key: the latest, and of one version the live one."""
    latest = dict[Key, Resource]()
    for resource in resources:
        known = latest.get(resource.key)
        if known is None or (known.version, known.live) < (resource.version, resource.live):
            latest[resource.key] = resource
    return tuple(sorted(latest.values(), key=lambda resource: (resource.version, resource.key)))

"""The state that a subscriber acts on: the resources of its scope at one version, updated atomically."""

from __future__ import annotations

from collections.abc import Iterable

from dykeshift.configuration.catch_up import DIGEST_MASK
from dykeshift.configuration.index import ResourceIndex
from dykeshift.configuration.resources import Key, Resource
from dykeshift.configuration.scope import Scope


class DigestError(Exception):
    """The resources do not match the expected digest; the state is unchanged."""


class SubscriberState:
    """The resources of `scope` at `version` of the history `lineage`; version 0: no state yet."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.lineage = 0
        self.version = 0
        self.index = ResourceIndex(most_tombstones=0)

    def get(self, key: Key) -> Resource | None:
        """The live resource with this key, or None."""
        return self.index.get(key)

    def resources(self) -> tuple[Resource, ...]:
        """All resources, ordered by version."""
        return self.index.scoped(Scope.everything())

    def digest(self, scope: Scope | None = None) -> int:
        """Digest of all resources, or of those in a narrower scope; 64 bits, as in datagrams."""
        return self.index.digest(scope or self.scope) & DIGEST_MASK

    def advance(self, version: int) -> None:
        """Moves to a newer version in which nothing in the scope has changed."""
        self.version = max(self.version, version)

    def change(self, version: int, digest: int, resources: Iterable[Resource]) -> None:
        """Applies changes on top of the present state. Raises DigestError and rolls back if `digest`
        differs."""
        changed = sorted(resources, key=lambda resource: resource.version)
        before = {resource.key: self.index.get(resource.key) for resource in changed}
        for resource in changed:
            self.index.write(resource)
        if self.digest() != digest:
            self._roll_back(before)
            raise DigestError
        self.version = version

    def _roll_back(self, before: dict[Key, Resource | None]) -> None:
        kept = {resource.key: resource for resource in self.resources()}
        for key, resource in before.items():
            if resource is None:
                kept.pop(key, None)
            else:
                kept[key] = resource
        self.index = _index_of(kept.values())

    def replace(self, lineage: int, version: int, digest: int, resources: Iterable[Resource]) -> None:
        """Replaces the whole state. Raises DigestError, with the state unchanged, if `digest` differs."""
        fresh = _index_of(resource for resource in resources if resource.live)
        if fresh.digest(self.scope) & DIGEST_MASK != digest:
            raise DigestError
        self.index, self.lineage, self.version = fresh, lineage, version


def _index_of(resources: Iterable[Resource]) -> ResourceIndex:
    index = ResourceIndex(most_tombstones=0)
    index.merge(sorted(resources, key=lambda resource: resource.version), ())
    return index

"""What a subscriber acts on: the resources of its scope at one version, replaced as a whole only."""

from __future__ import annotations

from collections.abc import Iterable

from dykeshift.configuration.catch_up import DIGEST_MASK
from dykeshift.configuration.index import ResourceIndex
from dykeshift.configuration.resources import Key, Resource
from dykeshift.configuration.scope import Scope


class DigestError(Exception):
    """The resources do not add up to the digest that was said of them; nothing has changed."""


class SubscriberState:
    """The resources of `scope` as of `version` of the history `lineage`; version 0: nothing is known."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.lineage = 0
        self.version = 0
        self.index = ResourceIndex(most_tombstones=0)

    def get(self, key: Key) -> Resource | None:
        """The live resource of a key."""
        return self.index.get(key)

    def resources(self) -> tuple[Resource, ...]:
        """All of them, in the order of versions."""
        return self.index.scoped(Scope.everything())

    def digest(self, scope: Scope | None = None) -> int:
        """Of all of it, or of a part of its scope; 64 bits, as it is sent."""
        return self.index.digest(scope or self.scope) & DIGEST_MASK

    def advance(self, version: int) -> None:
        """Nothing has changed in the scope up to this version."""
        self.version = max(self.version, version)

    def change(self, version: int, digest: int, resources: Iterable[Resource]) -> None:
        """On top of what is held. DigestError where that is not what `digest` says: nothing has changed."""
        changed = sorted(resources, key=lambda resource: resource.version)
        before = {resource.key: self.index.get(resource.key) for resource in changed}
        for resource in changed:
            self.index.write(resource)
        if self.digest() != digest:
            self._take_back(before)
            raise DigestError
        self.version = version

    def _take_back(self, before: dict[Key, Resource | None]) -> None:
        kept = {resource.key: resource for resource in self.resources()}
        for key, resource in before.items():
            if resource is None:
                kept.pop(key, None)
            else:
                kept[key] = resource
        self.index = _index_of(kept.values())

    def replace(self, lineage: int, version: int, digest: int, resources: Iterable[Resource]) -> None:
        """Hold these and nothing else. DigestError where that is not what `digest` says."""
        fresh = _index_of(resource for resource in resources if resource.live)
        if fresh.digest(self.scope) & DIGEST_MASK != digest:
            raise DigestError
        self.index, self.lineage, self.version = fresh, lineage, version


def _index_of(resources: Iterable[Resource]) -> ResourceIndex:
    index = ResourceIndex(most_tombstones=0)
    index.merge(sorted(resources, key=lambda resource: resource.version), ())
    return index

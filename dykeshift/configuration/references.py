"""References between resources: routes to services and classes; tenants, bans and list words to services."""

from __future__ import annotations

from dykeshift.configuration.resources import Ban, Body, Key, Kind, ListWord, Route, Tenant


def references(body: Body) -> tuple[Key, ...]:
    """The keys that a body references."""
    if isinstance(body, Route):
        return Key(Kind.SERVICE, body.service), Key(Kind.CLASS, body.request_class)
    if isinstance(body, Tenant):
        return tuple(Key(Kind.SERVICE, name) for name in body.services)
    if isinstance(body, Ban):
        return (Key(Kind.SERVICE, body.service),)
    if isinstance(body, ListWord) and body.service:
        return (Key(Kind.SERVICE, body.service),)
    return ()


class ReferenceIndex:
    """A reverse index: the keys that reference a key, by the kind of the referring resource."""

    def __init__(self) -> None:
        self.named: dict[tuple[Key, Kind], set[Key]] = {}

    def add(self, key: Key, body: Body) -> None:
        """Add the references of a body that a key now has."""
        for target in references(body):
            self.named.setdefault((target, key.kind), set()).add(key)

    def remove(self, key: Key, body: Body) -> None:
        """Remove the references of a body that a key no longer has."""
        for target in references(body):
            names = self.named.get((target, key.kind))
            if names is not None:
                names.discard(key)
                if not names:
                    del self.named[target, key.kind]

    def referrers_of_kind(self, target: Key, kind: Kind) -> set[Key]:
        """The keys of a kind that reference a key; callers must not modify the set."""
        return self.named.get((target, kind)) or set()

    def all_referrers(self, target: Key) -> list[Key]:
        """All keys that reference a key."""
        return [key for kind in Kind for key in self.referrers_of_kind(target, kind)]

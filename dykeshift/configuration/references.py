"""Which resource names which: a route its service and class; a tenant, a ban, a list word its services."""

from __future__ import annotations

from dykeshift.configuration.resources import Ban, Body, Key, Kind, ListWord, Route, Tenant


def references(body: Body) -> tuple[Key, ...]:
    """The keys that a body names."""
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
    """Who names a key, by the kind of who does."""

    def __init__(self) -> None:
        self.named: dict[tuple[Key, Kind], set[Key]] = {}

    def add(self, key: Key, body: Body) -> None:
        """This key has this body from now on."""
        for target in references(body):
            self.named.setdefault((target, key.kind), set()).add(key)

    def remove(self, key: Key, body: Body) -> None:
        """This key has this body no more."""
        for target in references(body):
            names = self.named.get((target, key.kind))
            if names is not None:
                names.discard(key)
                if not names:
                    del self.named[target, key.kind]

    def of_kind(self, target: Key, kind: Kind) -> set[Key]:
        """The keys of a kind that name a key; not to be changed."""
        return self.named.get((target, kind)) or set()

    def all(self, target: Key) -> list[Key]:
        """All keys that name a key."""
        return [key for kind in Kind for key in self.of_kind(target, kind)]

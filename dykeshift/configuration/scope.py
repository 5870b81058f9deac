"""Which resources a subscriber holds: those of its services, and those that concern every one."""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.configuration.resources import Resource, services


@dataclass(frozen=True, slots=True)
class Scope:
    """A set of services; `whole` takes every resource, whatever it concerns."""

    services: frozenset[str] = frozenset()
    whole: bool = False

    @classmethod
    def everything(cls) -> Scope:
        """The scope of a replica."""
        return cls(whole=True)

    def matches(self, resource: Resource) -> bool:
        """Whether a resource, or its tombstone, is part of this scope."""
        if self.whole:
            return True
        concerned = services(resource)
        return not concerned or not self.services.isdisjoint(concerned)

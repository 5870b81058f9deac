"""The scope of a subscriber: the resources of its services, and those that apply to all services."""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.configuration.resources import Resource, services


@dataclass(frozen=True, slots=True)
class Scope:
    """A set of services; `whole`: all resources, whichever services they concern."""

    services: frozenset[str] = frozenset()
    whole: bool = False

    @classmethod
    def everything(cls) -> Scope:
        """The scope that contains all resources, as replicas hold them."""
        return cls(whole=True)

    def matches(self, resource: Resource) -> bool:
        """Whether a resource or tombstone belongs to this scope."""
        if self.whole:
            return True
        concerned = services(resource)
        return not concerned or not self.services.isdisjoint(concerned)

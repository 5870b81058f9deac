"""The configuration that a balancer acts on: the body in force or, in a joint phase, the meet of both bodies.

In a joint phase a balancer must not do what either of the two bodies forbids. The functions here return the
meet, the value that allows only what both bodies allow, however many resources are in a joint phase at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Literal

from dykeshift.configuration.resources import (
    Ban,
    Body,
    ClassTerms,
    Key,
    Kind,
    ListWord,
    Resource,
    Route,
    Service,
    decode_body,
)
from dykeshift.configuration.translate import SettingsDict, settings_of
from dykeshift.interface import Idempotency, RequestClass, Settings
from dykeshift.settings import restrict_repeats
from dykeshift.versions.terms import meet

Lookup = Callable[[Key], Resource | None]


@dataclass(frozen=True, slots=True)
class ActingRoute:
    """The service and the class terms that currently apply to the requests of a route."""

    service: str
    request_class: RequestClass


def bodies(resource: Resource) -> Iterator[Body]:
    """The body in force and the joint body, where they exist."""
    for data in (resource.body, resource.joint.body if resource.joint is not None else None):
        if data is not None:
            yield decode_body(resource.key.kind, data)


def acting_class(resource: Resource) -> RequestClass | None:
    """The terms of a class; None while it is not in force."""
    if resource.body is None:
        return None
    found = [
        _request_class(resource.key.name, body) for body in bodies(resource) if isinstance(body, ClassTerms)
    ]
    return found[0] if len(found) == 1 else restrict_repeats(found[0], found[1])


def acting_route(resource: Resource, lookup: Lookup) -> ActingRoute | None:
    """A route with the terms of its class; None while the route or its class is not in force."""
    if resource.body is None:
        return None
    found = list[ActingRoute]()
    for body in bodies(resource):
        named = lookup(Key(Kind.CLASS, body.request_class)) if isinstance(body, Route) else None
        terms = acting_class(named) if named is not None else None
        if terms is None or not isinstance(body, Route):
            return None
        found.append(ActingRoute(body.service, terms))
    return found[0] if len(found) == 1 else _meet_of_routes(found[0], found[1])


def _meet_of_routes(one: ActingRoute, other: ActingRoute) -> ActingRoute:
    """The first service with the narrower terms. With two services a retry could reach the one that has not
    seen the request, so anything but a safe class must not be repeated."""
    terms = restrict_repeats(one.request_class, other.request_class)
    if one.service != other.service and terms.idempotency is not Idempotency.SAFE:
        terms = replace(terms, idempotency=Idempotency.UNSAFE)
    return replace(one, request_class=terms)


def acting_settings(
    resources: Iterable[Resource], service: str, own: SettingsDict | None = None
) -> Settings | None:
    """All classes and the terms of one service; None while the service is not in force. `own`: settings that
    each balancer has for itself."""
    held = [r for r in resources if r.key.kind is Kind.CLASS or r.key == Key(Kind.SERVICE, service)]
    old = _settings_from({r.key: r.body for r in held}, own)
    if old is None or all(r.joint is None or r.body is None for r in held):
        return old
    new = _settings_from({r.key: r.joint.body if r.joint and r.body else r.body for r in held}, own)
    return old if new is None else meet(old, new)


def _settings_from(held: dict[Key, bytes | None], own: SettingsDict | None) -> Settings | None:
    terms: Service | None = None
    classes = list[tuple[str, ClassTerms]]()
    for key, data in held.items():
        body = decode_body(key.kind, data) if data is not None else None
        if isinstance(body, Service):
            terms = body
        elif isinstance(body, ClassTerms):
            classes.append((key.name, body))
    return settings_of(terms, classes, own) if terms is not None else None


def banned_servers(resources: Iterable[Resource], service: str) -> frozenset[str]:
    """The banned servers of a service; a ban in its joint phase, being added or lifted, counts."""
    found = (body for r in resources if r.key.kind is Kind.BAN for body in bodies(r))
    return frozenset(body.server for body in found if isinstance(body, Ban) and body.service == service)


def list_names(resources: Iterable[Resource], word: str, service: str) -> frozenset[str]:
    """The names in a list, for this service and for all; in a joint phase the old and the new names."""
    found = (body for r in resources if r.key.kind is Kind.LIST_WORD for body in bodies(r))
    return frozenset(
        name
        for body in found
        if isinstance(body, ListWord) and body.word == word and body.service in ("", service)
        for name in body.names
    )


def action_without_lease(resources: Iterable[Resource], service: str) -> Literal["serve", "refuse"]:
    """What a balancer without a lease does with requests; in a joint phase `refuse` wins."""
    return "refuse" if "refuse" in list_names(resources, "doubt", service) else "serve"


def _request_class(name: str, terms: ClassTerms) -> RequestClass:
    return settings_of(Service(), [(name, terms)]).classes[0]

"""Which changes of a resource need a joint phase, as `dykeshift.versions.terms` decides.

A change is guarded if the old body allows a balancer something that the new one forbids, or the other way
round. Then all balancers have to act on the meet of the two bodies (what both allow) before any of them acts
on the new one alone. All other changes are free: balancers may act on the old and the new body side by side.

    class       idempotency; scope and window of keyed classes
    service     attempts, copies, cancelling, cold limits, answer slack, number of balancers
    route       another class with contradicting terms, or another service unless both classes are pure
    ban         adding and lifting; the meet: the server is banned
    list word   `wary` (the meet: the union of both lists) and `doubt` (the meet: refuse)
    tenant      never: rejecting a tenant, or giving it a smaller share, is not harmful
    new name    a class, route or service whose name may have been used before; the meet: it does not exist
"""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.configuration.resources import (
    Ban,
    Body,
    ClassTerms,
    Key,
    Kind,
    ListWord,
    Route,
    Service,
)
from dykeshift.configuration.translate import settings_of
from dykeshift.versions.terms import contradicts

ClassLookup = Callable[[str], ClassTerms | None]  # looks up the terms of a class by its name

GUARDED_WORDS = ("wary", "doubt")
KINDS_WITH_REUSABLE_NAMES = (Kind.CLASS, Kind.ROUTE, Kind.SERVICE)


def guarded(
    key: Key, old: Body | None, new: Body | None, old_class: ClassLookup, new_class: ClassLookup
) -> bool:
    """Whether the change from one body to another needs a joint phase; None: the resource does not exist."""
    if isinstance(old, Ban) or isinstance(new, Ban):
        return old is None or new is None
    if isinstance(old, ListWord) or isinstance(new, ListWord):
        return _list_word_guarded(old, new)
    if isinstance(old, ClassTerms) and isinstance(new, ClassTerms):
        return classes_contradict(old, new)
    if isinstance(old, Service) and isinstance(new, Service):
        return contradicts(settings_of(old, ()), settings_of(new, ()))
    if isinstance(old, Route) and isinstance(new, Route):
        return _route_guarded(old, new, old_class, new_class)
    return False


def classes_contradict(one: ClassTerms, other: ClassTerms) -> bool:
    """Whether the terms of two classes differ in what a balancer is allowed to do."""
    terms = Service()
    return contradicts(settings_of(terms, [("", one)]), settings_of(terms, [("", other)]))


def _list_word_guarded(old: Body | None, new: Body | None) -> bool:
    before = set(old.names) if isinstance(old, ListWord) else set[str]()
    after = set(new.names) if isinstance(new, ListWord) else set[str]()
    words = {body.word for body in (old, new) if isinstance(body, ListWord)}
    return before != after and not words.isdisjoint(GUARDED_WORDS)


def _route_guarded(old: Route, new: Route, old_class: ClassLookup, new_class: ClassLookup) -> bool:
    one, other = old_class(old.request_class), new_class(new.request_class)
    if one is None or other is None:
        return True
    if old.service != new.service and {one.idempotency, other.idempotency} != {"pure"}:
        return True
    return old.request_class != new.request_class and classes_contradict(one, other)

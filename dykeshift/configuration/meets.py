"""Which changes of a resource need a joint phase, by the judgement of `dykeshift.versions.terms`.

A change is guarded where a balancer may do by the old body what another may not by the new one. Then both
have to act on the meet of the two before anybody acts on the new one alone. All other changes are free: any
number of balancers may act on either at once.

    class       idempotency; scope and window of keyed classes
    service     attempts, copies, calling off, cold limits, answer slack, balancers
    route       another class whose terms contradict, or another service while either class may not run twice
    ban         put and lifted: the meet is out
    list word   `wary` (the meet: those of either) and `doubt` (the meet: refuse)
    tenant      nothing: who is turned away, or has less, does no harm
    new         a class, route or service whose name may have meant something else before: the meet is that it
                is not there yet
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

ClassLookup = Callable[[str], ClassTerms | None]  # the terms of a class by its name, old or new

GUARDED_WORDS = ("wary", "doubt")
NAMES_WITH_A_MEANING = (Kind.CLASS, Kind.ROUTE, Kind.SERVICE)


def guarded(
    key: Key, old: Body | None, new: Body | None, old_class: ClassLookup, new_class: ClassLookup
) -> bool:
    """Whether the change from one body to the other needs a joint phase; None: it is not there."""
    if isinstance(old, Ban) or isinstance(new, Ban):
        return old is None or new is None
    if isinstance(old, ListWord) or isinstance(new, ListWord):
        return _list_word(old, new)
    if isinstance(old, ClassTerms) and isinstance(new, ClassTerms):
        return classes_contradict(old, new)
    if isinstance(old, Service) and isinstance(new, Service):
        return contradicts(settings_of(old, ()), settings_of(new, ()))
    if isinstance(old, Route) and isinstance(new, Route):
        return _route(old, new, old_class, new_class)
    return False


def classes_contradict(one: ClassTerms, other: ClassTerms) -> bool:
    """Whether the terms of two classes differ in what a balancer may do."""
    terms = Service()
    return contradicts(settings_of(terms, [("", one)]), settings_of(terms, [("", other)]))


def _list_word(old: Body | None, new: Body | None) -> bool:
    before = set(old.names) if isinstance(old, ListWord) else set[str]()
    after = set(new.names) if isinstance(new, ListWord) else set[str]()
    words = {body.word for body in (old, new) if isinstance(body, ListWord)}
    return before != after and not words.isdisjoint(GUARDED_WORDS)


def _route(old: Route, new: Route, old_class: ClassLookup, new_class: ClassLookup) -> bool:
    one, other = old_class(old.request_class), new_class(new.request_class)
    if one is None or other is None:
        return True
    if old.service != new.service and {one.idempotency, other.idempotency} != {"pure"}:
        return True
    return old.request_class != new.request_class and classes_contradict(one, other)

"""What contradicts what: for each field of the settings which values may stand side by side, and the middle.

Three sorts of fields. `OWN`: each balancer has its own, and no rule speaks of it over several. `FREE`: what
is worth more or is hoped for; any two values may stand side by side, as neither allows what the other
forbids. `GUARDED`: what a balancer may do by it, another by another value may not. Two settings that differ
in a guarded field *contradict* one another. Their *middle* has, field by field, the value that allows only
what both allow; so whoever acts on the middle breaks the rules of neither, and may stand beside both.

The middle is a meet: it does not depend on the order, is its own middle with each of the two, and is never
bolder than either (`bolder`, by which the property tests hold the table).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields, replace
from enum import Enum, auto
from typing import Any

from dykeshift.interface import Idempotency, RequestClass, Scope, Settings
from dykeshift.settings import narrower


class Sort(Enum):
    OWN = auto()
    FREE = auto()
    GUARDED = auto()


@dataclass(frozen=True, slots=True)
class Term:
    """One field: `meet` gives the value that allows only what both do (GUARDED)."""

    sort: Sort
    why: str  # one line for people
    meet: Callable[[Any, Any], Any] | None = None


def _both(one: bool, other: bool) -> bool:
    return one and other


OWN, FREE, GUARDED = Sort.OWN, Sort.FREE, Sort.GUARDED

SETTINGS: dict[str, Term] = {
    "classes": Term(GUARDED, "class by class, by name; see CLASS"),
    "retired": Term(OWN, "places of classes: each process counts them for itself"),
    "zone": Term(OWN, "where this balancer stands"),
    "ask_discovery": Term(OWN, "how its discovery is asked"),
    "ask_every": Term(OWN, "how its discovery is asked"),
    "step": Term(OWN, "how fine its clock is"),
    "balancers": Term(GUARDED, "one's part of what a server bears: the larger number, the smaller part", max),
    "attempt_limit": Term(GUARDED, "attempts of one request: the fewer", min),
    "copies_allowed": Term(GUARDED, "two attempts of one request at once: only where both allow it", _both),
    "cancel_allowed": Term(GUARDED, "calling attempts off: only where both allow it", _both),
    "cold_share": Term(GUARDED, "what a cold server bears at first: the less", min),
    "cold_time": Term(GUARDED, "how long it counts as cold: the longer", max),
    "overload_multiple": Term(GUARDED, "how much more than it bears it may get: the less", min),
    "overload_window": Term(GUARDED, "how long it bears too much: the shorter", min),
    "answer_slack": Term(GUARDED, "how late a final answer may be: the sooner", min),
    "retry_advice_limit": Term(FREE, "a client that is told a shorter wait only comes sooner"),
    "worth_by_work": Term(FREE, "what is aimed at"),
    "fairness": Term(FREE, "what is aimed at"),
}

CLASS: dict[str, Term] = {
    "name": Term(OWN, "which class it is"),
    "idempotency": Term(GUARDED, "whether it may run again: safe beside keyed or unsafe is unsafe"),
    "scope": Term(GUARDED, "where its repeats are dropped: the narrower; a zone beside a cell is unsafe"),
    "window": Term(GUARDED, "how long its repeats are dropped: the shorter", min),
    "aim": Term(FREE, "what is aimed at"),
    "deadline": Term(FREE, "its client's own patience ends each request; it comes with the request"),
    "worth": Term(FREE, "what is aimed at"),
    "late_share": Term(FREE, "what is aimed at"),
    "stream": Term(FREE, "whether long answers are expected"),
}

# What is no field of the settings, and what may stand side by side.
LISTS: dict[str, Term] = {
    "out": Term(GUARDED, "a server that is out here and not there: the middle is out"),
    "wary": Term(GUARDED, "servers that a balancer in doubt leaves alone: those of either"),
    "closed": Term(FREE, "a class turned away here and served there: turned away is harmless"),
    "preferred": Term(FREE, "which of the servers that are as idle goes first"),
    "doubt": Term(GUARDED, "what a balancer in doubt does: refusing is the middle"),
    "standby": Term(OWN, "each balancer drains for itself"),
    "generation": Term(GUARDED, "lists of two generations: who is behind leaves alone what is leaving"),
}


def live(settings: Settings) -> dict[str, RequestClass]:
    return {c.name: c for n, c in enumerate(settings.classes) if n not in settings.retired}


def meet(one: Settings, other: Settings) -> Settings:
    """The middle. Its own and free fields are the first's; it has the classes of both."""
    first, second = live(one), live(other)
    classes = [narrower(c, second[name]) if name in second else c for name, c in first.items()]
    classes += [c for name, c in second.items() if name not in first]
    changed = {
        name: term.meet(getattr(one, name), getattr(other, name))
        for name, term in SETTINGS.items()
        if term.meet is not None
    }
    return replace(one, classes=tuple(classes), retired=frozenset(), **changed)


def middle(settings: Iterable[Settings]) -> Settings:
    """Of several, at least one."""
    found: Settings | None = None
    for one in settings:
        found = one if found is None else meet(found, one)
    assert found is not None
    return found


def differences(one: Settings, other: Settings, sort: Sort = GUARDED) -> list[str]:
    """The fields of a sort that differ, in words; classes that only one has differ in nothing."""
    found = [
        name
        for name, term in SETTINGS.items()
        if term.sort is sort and name != "classes" and getattr(one, name) != getattr(other, name)
    ]
    second = live(other)
    for name, klass in live(one).items():
        if name in second:
            found += [
                f"{name}.{field}"
                for field, term in CLASS.items()
                if term.sort is sort
                and _counts(klass, second[name], field)
                and getattr(klass, field) != getattr(second[name], field)
            ]
    return found


def _counts(one: RequestClass, other: RequestClass, field: str) -> bool:
    """Scope and window say something of keyed classes only."""
    return field not in ("scope", "window") or (one.idempotency is Idempotency.KEYED is other.idempotency)


def contradicts(one: Settings, other: Settings) -> bool:
    return bool(differences(one, other))


# What a value allows, as a number or a set that grows with it: only the property tests and the judge ask.
_BOLD: dict[str, Callable[[Any], Any]] = {
    "balancers": lambda v: -v,
    "attempt_limit": lambda v: v,
    "copies_allowed": int,
    "cancel_allowed": int,
    "cold_share": lambda v: v,
    "cold_time": lambda v: -v,
    "overload_multiple": lambda v: v,
    "overload_window": lambda v: v,
    "answer_slack": lambda v: v,
}


def repeats(klass: RequestClass) -> dict[Scope, float]:
    """Until when after a first attempt a repeat may go where, in nanoseconds: what a class's terms allow."""
    if klass.idempotency is Idempotency.SAFE:
        return dict.fromkeys((Scope.ALL, Scope.ZONE, Scope.CELL), float("inf"))
    if klass.idempotency is Idempotency.UNSAFE:
        return {}
    within = {
        Scope.ALL: (Scope.ALL, Scope.ZONE, Scope.CELL),
        Scope.ZONE: (Scope.ZONE,),
        Scope.CELL: (Scope.CELL,),
    }[klass.scope]
    return dict.fromkeys(within, float(klass.window))


def bolder(one: Settings, other: Settings) -> list[str]:
    """In what the first allows anything that the second forbids."""
    found = [
        name for name, measure in _BOLD.items() if measure(getattr(one, name)) > measure(getattr(other, name))
    ]
    second = live(other)
    for name, klass in live(one).items():
        if name in second:
            allowed = repeats(second[name])
            found += [name for scope, until in repeats(klass).items() if until > allowed.get(scope, -1.0)]
    return found


def complete() -> list[str]:
    """Fields that the tables do not name: a field that comes later has to be judged first."""
    return [f.name for f in fields(Settings) if f.name not in SETTINGS] + [
        f.name for f in fields(RequestClass) if f.name not in CLASS
    ]

"""Conflicts between settings: which values of a field may be in use at once, and the narrower one.

There are three kinds of fields. `OWN`: local to each balancer; no rule spans several balancers. `FREE`: a
goal or preference; any two values may be in use at the same time, as neither allows what the other forbids.
`GUARDED`: one value may allow what another forbids. Two settings that differ in a guarded field *contradict*
one another. Their *meet* (the joint settings) has, field by field, the value that allows only what both
allow, so a balancer that applies it violates neither, and it may be in use beside both.

The meet is commutative and idempotent and never more permissive than either operand. The property tests check
the tables by this, with `more_permissive`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields, replace
from enum import Enum, auto
from typing import Any

from dykeshift.interface import Idempotency, RequestClass, Scope, Settings
from dykeshift.settings import restrict_repeats


class FieldKind(Enum):
    """How values of a field relate between balancers; see the head of the module."""

    OWN = auto()
    FREE = auto()
    GUARDED = auto()


@dataclass(frozen=True, slots=True)
class FieldRule:
    """The rule for one field. `meet` returns the value that allows only what both allow (GUARDED fields)."""

    kind: FieldKind
    explanation: str  # a one-line explanation for operators
    meet: Callable[[Any, Any], Any] | None = None


def _both_allow(one: bool, other: bool) -> bool:
    return one and other


OWN, FREE, GUARDED = FieldKind.OWN, FieldKind.FREE, FieldKind.GUARDED

SETTINGS: dict[str, FieldRule] = {
    "classes": FieldRule(GUARDED, "class by class, by name; see CLASS"),
    "retired": FieldRule(OWN, "indexes of retired classes: assigned by each process"),
    "zone": FieldRule(OWN, "zone of this balancer"),
    "zone_name": FieldRule(OWN, "name of the zone of this balancer"),
    "ask_discovery": FieldRule(OWN, "how its discovery is asked"),
    "ask_every": FieldRule(OWN, "how its discovery is asked"),
    "step": FieldRule(OWN, "resolution of its clock"),
    "balancers": FieldRule(
        GUARDED,
        "this balancer's share of a server's capacity: the larger number, hence the smaller share",
        max,
    ),
    "attempt_limit": FieldRule(GUARDED, "attempts of one request: the smaller number", min),
    "copies_allowed": FieldRule(
        GUARDED, "two attempts of one request at once: only where both allow it", _both_allow
    ),
    "cancel_allowed": FieldRule(GUARDED, "cancelling attempts: only where both allow it", _both_allow),
    "cold_share": FieldRule(GUARDED, "initial share of a cold server: the smaller", min),
    "cold_time": FieldRule(GUARDED, "how long a server counts as cold: the longer time", max),
    "overload_multiple": FieldRule(
        GUARDED, "load beyond its capacity that a server may get: the smaller", min
    ),
    "overload_window": FieldRule(GUARDED, "how long a server may be overloaded: the shorter time", min),
    "answer_slack": FieldRule(GUARDED, "how late a final answer may be: the earlier", min),
    "keepalive": FieldRule(FREE, "connections to servers, which each balancer has for itself"),
    "connect_timeout": FieldRule(FREE, "connections to servers, which each balancer has for itself"),
    "retry_advice_limit": FieldRule(FREE, "a client that gets a shorter retry delay only returns earlier"),
    "worth_by_work": FieldRule(FREE, "a goal; any value is harmless beside another"),
    "fairness": FieldRule(FREE, "a goal; any value is harmless beside another"),
}

CLASS: dict[str, FieldRule] = {
    "name": FieldRule(OWN, "identifies the class"),
    "idempotency": FieldRule(
        GUARDED, "whether a request may run twice: safe with keyed or unsafe gives unsafe"
    ),
    "scope": FieldRule(GUARDED, "where repeats are deduplicated: the narrower; zone with cell gives unsafe"),
    "window": FieldRule(GUARDED, "how long repeats are deduplicated: the shorter time", min),
    "aim": FieldRule(FREE, "a goal; any value is harmless beside another"),
    "deadline": FieldRule(FREE, "each request carries its own time-out, set by its client"),
    "worth": FieldRule(FREE, "a goal; any value is harmless beside another"),
    "late_share": FieldRule(FREE, "a goal; any value is harmless beside another"),
    "stream": FieldRule(FREE, "whether long answers are expected"),
}

# The same for values outside the settings: the replicated lists and the state of each balancer.
LISTS: dict[str, FieldRule] = {
    "out": FieldRule(GUARDED, "banned at one and not at another: the meet is banned"),
    "wary": FieldRule(GUARDED, "servers that a degraded balancer avoids: those of either list"),
    "closed": FieldRule(FREE, "a class rejected at one and served at another: rejecting is harmless"),
    "preferred": FieldRule(FREE, "which of equally idle servers is chosen first"),
    "doubt": FieldRule(GUARDED, "what a degraded balancer does: the meet is refusing"),
    "standby": FieldRule(OWN, "each balancer drains for itself"),
    "generation": FieldRule(GUARDED, "server lists of two generations: the older one avoids leaving servers"),
}


def active_classes(settings: Settings) -> dict[str, RequestClass]:
    """Returns the classes that are not retired, by name."""
    return {c.name: c for n, c in enumerate(settings.classes) if n not in settings.retired}


def meet(one: Settings, other: Settings) -> Settings:
    """Returns the joint settings: the narrower value of each guarded field, and the classes of both.

    Its OWN and FREE fields are those of the first."""
    first, second = active_classes(one), active_classes(other)
    classes = [restrict_repeats(c, second[name]) if name in second else c for name, c in first.items()]
    classes += [c for name, c in second.items() if name not in first]
    changed = {
        name: rule.meet(getattr(one, name), getattr(other, name))
        for name, rule in SETTINGS.items()
        if rule.meet is not None
    }
    return replace(one, classes=tuple(classes), retired=frozenset(), **changed)


def meet_all(settings: Iterable[Settings]) -> Settings:
    """Returns the meet of one or more settings."""
    result: Settings | None = None
    for each in settings:
        result = each if result is None else meet(result, each)
    assert result is not None
    return result


def differences(one: Settings, other: Settings, kind: FieldKind = GUARDED) -> list[str]:
    """Returns the names of the fields of a kind that differ; a class that only one has counts as equal."""
    found = [
        name
        for name, rule in SETTINGS.items()
        if rule.kind is kind and name != "classes" and getattr(one, name) != getattr(other, name)
    ]
    second = active_classes(other)
    for name, klass in active_classes(one).items():
        if name in second:
            found += [
                f"{name}.{field}"
                for field, rule in CLASS.items()
                if rule.kind is kind
                and _applies(klass, second[name], field)
                and getattr(klass, field) != getattr(second[name], field)
            ]
    return found


def _applies(one: RequestClass, other: RequestClass, field: str) -> bool:
    """Whether a field has a meaning for both classes: scope and window have one for keyed classes only."""
    return field not in ("scope", "window") or (one.idempotency is Idempotency.KEYED is other.idempotency)


def contradicts(one: Settings, other: Settings) -> bool:
    """Whether the settings differ in a guarded field."""
    return bool(differences(one, other))


# How much a value allows, as a number that grows with it; used by property tests and the checker only.
_PERMISSIVENESS: dict[str, Callable[[Any], Any]] = {
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


def allowed_repeats(klass: RequestClass) -> dict[Scope, float]:
    """Returns, by scope, for how many nanoseconds after the first attempt a class allows a repeat there."""
    if klass.idempotency is Idempotency.SAFE:
        return dict.fromkeys((Scope.ALL, Scope.ZONE, Scope.CELL), float("inf"))
    if klass.idempotency is Idempotency.UNSAFE:
        return {}
    scopes = {
        Scope.ALL: (Scope.ALL, Scope.ZONE, Scope.CELL),
        Scope.ZONE: (Scope.ZONE,),
        Scope.CELL: (Scope.CELL,),
    }[klass.scope]
    return dict.fromkeys(scopes, float(klass.window))


def more_permissive(one: Settings, other: Settings) -> list[str]:
    """Returns fields and classes in which the first settings allow something that the second forbid."""
    found = [
        name
        for name, measure in _PERMISSIVENESS.items()
        if measure(getattr(one, name)) > measure(getattr(other, name))
    ]
    second = active_classes(other)
    for name, klass in active_classes(one).items():
        if name in second:
            allowed = allowed_repeats(second[name])
            found += [
                name for scope, until in allowed_repeats(klass).items() if until > allowed.get(scope, -1.0)
            ]
    return found


def unclassified_fields() -> list[str]:
    """Returns fields missing from the tables: each new field has to be classified first."""
    return [f.name for f in fields(Settings) if f.name not in SETTINGS] + [
        f.name for f in fields(RequestClass) if f.name not in CLASS
    ]

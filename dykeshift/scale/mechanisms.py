"""The mechanisms that carry the lines of the capacity page, and on which others each stands."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class State(StrEnum):
    """How far a mechanism is."""

    STANDS = "stands"
    IN_HAND = "being built"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class Mechanism:
    """What carries lines, or would."""

    key: str
    name: str
    state: State
    what: str
    needs: tuple[str, ...] = ()
    """Keys of mechanisms on which it stands."""


MECHANISMS: tuple[Mechanism, ...] = (
    Mechanism("engine", "request path as it stands", State.STANDS, "engine, pools, the decision module"),
    Mechanism(
        "configuration",
        "configuration at size",
        State.IN_HAND,
        "keyed, versioned resources and deltas; a control tier of nine machines to which balancers subscribe",
    ),
    Mechanism(
        "returned-terms",
        "what an old version used is given back",
        State.STANDS,
        "the module's places for classes are used again once nothing holds them",
    ),
    Mechanism(
        "services",
        "lists and state by service",
        State.MISSING,
        "routes name services; a decision module for each service that a balancer serves, the others none",
        ("configuration",),
    ),
    Mechanism(
        "list-deltas",
        "lists taken in at the cost of what changed",
        State.MISSING,
        "a changed entry costs no pass over all; changes that come together are one",
        ("services",),
    ),
    Mechanism(
        "membership",
        "membership without passes over all members",
        State.MISSING,
        "the control tier and quotas need to know who is there; no balancer keeps a table of 930",
        ("configuration",),
    ),
    Mechanism(
        "regions",
        "regions apart and one again",
        State.MISSING,
        "each region changes its own keys while apart; the two become one by key and version",
        ("configuration",),
    ),
    Mechanism(
        "discovery-fan-out",
        "lists from the control tier's replicas",
        State.MISSING,
        "discovery is asked by nine, not by 930",
        ("configuration", "services"),
    ),
)


def mechanism(key: str) -> Mechanism:
    """The mechanism of that key; KeyError for none."""
    return {one.key: one for one in MECHANISMS}[key]

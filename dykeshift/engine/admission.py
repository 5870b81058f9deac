"""Whose connection makes room for a new client at the limit of connections. Sans-I/O.

In this order: connections that have been idle for a while, those that never sent a request first; rejected
clients that have their answer; other idle ones; then the incomplete request that comes most slowly. A request
that has come completely, or may have, keeps its connection, and so does an answer on its way.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

# Seconds that a connection may take to its first bytes, and an incomplete request to show its rate, before
# they make room.
GRACE = 0.5


class Phase(IntEnum):
    """What a client's connection is doing; only those up to INCOMPLETE may make room."""

    IDLE = 0  # no request received even in part, and all answers sent
    REJECTED = 1  # its request was rejected and the answer sent
    INCOMPLETE = 2  # a request has come in part, and its last byte cannot have arrived
    TAKEN = 3  # a request, or the answer to one, is on its way


class Candidate(Protocol):
    """A client's connection."""

    answers: int  # sent on it so far
    since: float  # seconds, loop's clock: start of the current phase

    def phase(self) -> Phase:
        """What it is doing."""

    def received(self) -> int:
        """Bytes of the body of its incomplete request."""

    def has_input(self) -> bool:
        """Whether input waits unread."""


C = TypeVar("C", bound=Candidate)


def _rank(candidate: Candidate, phase: Phase, now: float) -> tuple[float, float, float]:
    """The lowest rank makes room first."""
    age = now - candidate.since
    if phase is Phase.INCOMPLETE:
        return (3, candidate.received() / max(age, GRACE), candidate.since)
    if phase is Phase.REJECTED:
        return (1, candidate.since, 0)
    return (0 if age >= GRACE else 2, min(candidate.answers, 2), candidate.since)


def choose(candidates: Iterable[C], now: float) -> C | None:
    """The one that makes room, or None if none may. `now`: seconds on the loop's clock."""
    ranked = []
    for candidate in candidates:
        phase = candidate.phase()
        young = now - candidate.since < GRACE
        if phase is Phase.TAKEN or (phase is Phase.INCOMPLETE and young):
            continue
        ranked.append((_rank(candidate, phase, now), candidate))
    ranked.sort(key=lambda entry: entry[0])
    return next((candidate for _, candidate in ranked if not candidate.has_input()), None)

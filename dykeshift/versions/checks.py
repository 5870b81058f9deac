"""Checks whether this balancer could apply proposed settings: its limits, its server list, its requests in
flight. One objection, a single line of text, is enough to refuse a proposal.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.interface import Settings
from dykeshift.settings import SettingsError
from dykeshift.versions.own import LocalSettings
from dykeshift.versions.terms import active_classes

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class LocalObservations:
    """What this balancer observes locally. Times in nanoseconds."""

    running: frozenset[int] = frozenset()  # servers that are running by its own list
    inflight: dict[str, int] = field(default_factory=dict)  # requests in flight, by class
    mean_response_times: dict[str, float] = field(default_factory=dict)  # mean time of good answers, by class
    attempts: int = 0  # the largest number that a request in flight has had
    active_balancers: int = 1  # balancers that are known to be active
    max_attempts: int = 3  # allowed by the rules of the platform


def objection(
    text: str, own: LocalSettings, current: Settings, closed: frozenset[str], sight: LocalObservations
) -> str:
    """Returns why this balancer could not apply the settings `text`; empty if it could.

    `current`: the settings in force. `closed`: classes that are already rejected."""
    try:
        new = own.read(text)
    except SettingsError as exc:
        return str(exc)
    before, after = active_classes(current), active_classes(new)
    for name in before:
        if name not in after and sight.inflight.get(name) and name not in closed:
            return (
                f"class {name} would be removed and has {sight.inflight[name]} requests under way: "
                "close it first"
            )
    for name, klass in after.items():
        typical = sight.mean_response_times.get(name, 0.0)
        if klass.deadline <= typical:
            return (
                f"class {name}: a deadline of {klass.deadline / MS:.0f} ms is not above its "
                f"mean response time of {typical / MS:.0f} ms"
            )
    if new.attempt_limit > sight.max_attempts:
        return f"{new.attempt_limit} attempts are more than the {sight.max_attempts} that the platform allows"
    if new.attempt_limit < sight.attempts:
        return f"a request under way has had {sight.attempts} attempts, {new.attempt_limit} would be allowed"
    if new.balancers < sight.active_balancers:
        return f"settings for {new.balancers} balancers, but {sight.active_balancers} are active"
    return ""


def ban_objection(server: int, out: frozenset[int], sight: LocalObservations) -> str:
    """Returns why a server must not be banned by hand (it is the last one); empty if it may be."""
    if server in sight.running and not sight.running - out - {server}:
        return "it is the last running server that is not banned"
    return ""

"""Whether this balancer could act on proposed settings, and why not: its own limits, its own list, what it
has under way. One reason, in one line, is enough to refuse a proposal.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.interface import Settings
from dykeshift.settings import SettingsError
from dykeshift.versions.own import Own
from dykeshift.versions.terms import live

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Sight:
    """What this balancer sees of its own service. Times in nanoseconds."""

    running: frozenset[int] = frozenset()  # servers that its list has as running
    inflight: dict[str, int] = field(default_factory=dict)  # requests under way, by class
    usual: dict[str, float] = field(default_factory=dict)  # what good answers take, running mean, by class
    attempts: int = 0  # the most that a request under way has had
    at_work: int = 1  # balancers that are surely at work
    most_attempts: int = 3  # that the platform's rules allow


def objection(text: str, own: Own, held: Settings, closed: frozenset[str], sight: Sight) -> str:
    """Empty: it could. `held`: what it acts on; `closed`: classes that are turned away by now."""
    try:
        new = own.read(text)
    except SettingsError as exc:
        return str(exc)
    before, after = live(held), live(new)
    for name in before:
        if name not in after and sight.inflight.get(name) and name not in closed:
            return (
                f"class {name} would go and has {sight.inflight[name]} requests under way: " "close it first"
            )
    for name, klass in after.items():
        usual = sight.usual.get(name, 0.0)
        if klass.deadline <= usual:
            return (
                f"class {name}: a deadline of {klass.deadline / MS:.0f} ms is under what its "
                f"answers take, {usual / MS:.0f} ms"
            )
    if new.attempt_limit > sight.most_attempts:
        return f"{new.attempt_limit} attempts are more than the {sight.most_attempts} that are allowed"
    if new.attempt_limit < sight.attempts:
        return f"a request under way has had {sight.attempts} attempts, {new.attempt_limit} would be allowed"
    if new.balancers < sight.at_work:
        return f"settings for {new.balancers} balancers, and {sight.at_work} are at work"
    return ""


def ban_objection(server: int, out: frozenset[int], sight: Sight) -> str:
    """Why a server should not be put out by hand: nobody would be left."""
    if server in sight.running and not sight.running - out - {server}:
        return "no server would be left"
    return ""

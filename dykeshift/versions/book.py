"""The state that all balancers have alike: which settings are in force, which come, who is out.

Theory of operation. A proposal (`Pending`) goes through phases, each by a committed change:

    CHECK --refuse--> (gone)              nobody acts on it yet; each member says yes or no
    CHECK --middle--> MIDDLE              all act on the middle of what is in force and what comes
    CHECK, MIDDLE --force 0--> STAGE 0    the first group acts on it, all others on the middle
    STAGE k --force k+1--> STAGE k+1
    any --force -1--> (in force)          the version that comes is the one in force
    MIDDLE, STAGE --halt--> BACK          all act on the middle again
    BACK --drop--> (gone)                 what was in force is in force again

Promises at every instant:
 1. Applying a change never fails; one that does not fit the state changes nothing.
 2. Two members whose books have the same version have the same book.
 3. What `acts` says of a member's settings depends on the book and its number alone.
How long a phase has to last is not the book's business (guide.py): the book has no clock.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import Literal

import msgspec
from msgspec import Struct

from dykeshift.versions.changes import (
    Ban,
    Drop,
    Force,
    Halt,
    Lists,
    Middle,
    Propose,
    Refuse,
    Unban,
    unpack,
)

MOST_OUT = 256  # servers out by hand at once: the book goes whole to whoever comes back from nothing
KEPT = 4  # rule sets that were in force before and can be gone back to


How = Literal["refused", "in force", "halted", "checked"]


class Phase(Enum):
    CHECK = "check"
    MIDDLE = "middle"
    STAGE = "stage"
    BACK = "back"


class Rules(Struct, frozen=True):
    """A set of settings that is, was or will be in force. No text: each balancer has those of its own
    file."""

    version: int = 0
    settings: str = ""
    by: str = ""


def mark(rules: Rules) -> int:
    """Four bytes that tell one proposal from another, also of a history that was given up. Never 0."""
    text = f"{rules.version}\0{rules.settings}".encode()
    return int.from_bytes(hashlib.blake2s(text, digest_size=4).digest(), "big") or 1


class Pending(Struct, frozen=True):
    rules: Rules
    phase: Phase = Phase.CHECK
    since: int = 0  # the version that brought the phase
    stages: tuple[tuple[int, ...], ...] = ()
    stage: int = -1
    dry: bool = False
    reason: str = ""  # of a halt


class Outcome(Struct, frozen=True):
    """What became of a proposal."""

    version: int
    how: How
    reason: str = ""


class Out(Struct, frozen=True):
    """By whom, and since which version."""

    version: int
    by: str


class Pages(Struct):
    """All of it, as it is kept and sent."""

    version: int = 0
    rules: Rules = Rules()
    pending: Pending | None = None
    past: tuple[Rules, ...] = ()
    out: dict[str, Out] = {}  # servers out by hand
    preferred: tuple[str, ...] = ()
    closed: tuple[str, ...] = ()
    wary: tuple[str, ...] = ()
    doubt: Literal["serve", "refuse"] = "serve"
    outcomes: tuple[Outcome, ...] = ()


_pages = msgspec.json.Decoder(Pages)


class Book:
    """A machine of the history."""

    def __init__(self) -> None:
        self.pages = Pages()
        self.strange = 0  # entries that are nobody's change
        self.turns = 0  # counts every change of the pages in this process
        self.banned: dict[str, int] = {}  # by server: the version that put it out last

    # ---- the machine ----

    def apply(self, version: int, body: bytes) -> None:
        change = unpack(body)
        self.turns += 1
        self.pages.version = version
        if change is None:
            self.strange += 1
            return
        getattr(self, "_" + type(change).__name__.lower())(version, change)

    def snapshot(self) -> bytes:
        return msgspec.json.encode(self.pages)

    def restore(self, version: int, state: bytes) -> None:
        """What is no state of ours is the state of an empty book."""
        try:
            self.pages = _pages.decode(state)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.pages = Pages()
        self.turns += 1
        self.pages.version = version

    # ---- what can be asked ----

    def find(self, version: int) -> Rules | None:
        """The rules of a version that is in force or was."""
        held = (self.pages.rules, *self.pages.past)
        return next((r for r in held if r.version == version and r.settings), None)

    def outcome(self, version: int) -> Outcome | None:
        return next((o for o in self.pages.outcomes if o.version == version), None)

    def objection(self, change: object) -> str:
        """Why it would change nothing now; empty where it would."""
        pages, pending = self.pages, self.pages.pending
        if isinstance(change, Propose):
            return f"version {pending.rules.version} is under way" if pending is not None else ""
        if isinstance(change, Halt):
            if pending is None or pending.rules.version != change.version:
                return "no such proposal is under way"
            return "it is being taken back" if pending.phase is Phase.BACK else ""
        if isinstance(change, Ban):
            full = f"{MOST_OUT} are out already" if len(pages.out) >= MOST_OUT else ""
            return "it is out already" if change.name in pages.out else full
        if isinstance(change, Unban):
            return "" if change.name in pages.out else "it is not out"
        return ""

    # ---- changes ----

    def _propose(self, version: int, change: Propose) -> None:
        if self.pages.pending is None:
            self.pages.pending = Pending(
                Rules(version, bytes(change.settings).decode(), change.by),
                since=version,
                stages=change.stages,
                dry=change.dry,
            )

    def _at(self, version: int, *phases: Phase) -> Pending | None:
        pending = self.pages.pending
        if pending is not None and pending.rules.version == version and pending.phase in phases:
            return pending
        return None

    def _end(self, version: int, how: How, reason: str) -> None:
        self.pages.pending = None
        self.pages.outcomes = (*self.pages.outcomes, Outcome(version, how, reason))[-KEPT:]

    def _refuse(self, version: int, change: Refuse) -> None:
        pending = self._at(change.version, Phase.CHECK)
        if pending is not None:
            self._end(change.version, "checked" if pending.dry else "refused", change.reason)

    def _middle(self, version: int, change: Middle) -> None:
        pending = self._at(change.version, Phase.CHECK)
        if pending is not None and not pending.dry:
            self.pages.pending = msgspec.structs.replace(pending, phase=Phase.MIDDLE, since=version)

    def _force(self, version: int, change: Force) -> None:
        pending = self._at(change.version, Phase.CHECK, Phase.MIDDLE, Phase.STAGE)
        if pending is None or pending.dry:
            return
        if change.stage >= 0:
            if pending.stage < change.stage < len(pending.stages):
                self.pages.pending = msgspec.structs.replace(
                    pending, phase=Phase.STAGE, since=version, stage=change.stage
                )
            return
        self.pages.past = (self.pages.rules, *self.pages.past)[:KEPT]
        self.pages.rules = pending.rules
        self._end(change.version, "in force", "")

    def _halt(self, version: int, change: Halt) -> None:
        pending = self._at(change.version, Phase.CHECK, Phase.MIDDLE, Phase.STAGE)
        if pending is None:
            return
        if pending.phase is Phase.CHECK:
            self._end(change.version, "halted", change.reason)
        else:
            self.pages.pending = msgspec.structs.replace(
                pending, phase=Phase.BACK, since=version, reason=change.reason
            )

    def _drop(self, version: int, change: Drop) -> None:
        pending = self._at(change.version, Phase.BACK)
        if pending is not None:
            self._end(change.version, "halted", pending.reason)

    def _ban(self, version: int, change: Ban) -> None:
        if not self.objection(change):
            self.banned = dict([*self.banned.items(), (change.name, version)][-MOST_OUT:])
            self.pages.out = {change.name: Out(version, change.by), **self.pages.out}

    def _unban(self, version: int, change: Unban) -> None:
        self.pages.out = {n: v for n, v in self.pages.out.items() if n != change.name}

    def _lists(self, version: int, change: Lists) -> None:
        for name in ("preferred", "closed", "wary", "doubt"):
            told = getattr(change, name)
            if told is not None:
                setattr(self.pages, name, told)

"""The replicated state of all balancers: the settings in force, the pending proposal, bans and server lists.

`Book` is the state machine of the replicated log. A proposal (`Pending`) goes through phases, and each
transition is a committed change:

    CHECK --refuse--> (removed)           no balancer applies it yet; each one accepts or rejects it
    CHECK --middle--> MIDDLE              joint phase: all apply the narrower of the old and new settings
    CHECK, MIDDLE --force 0--> STAGE 0    the first group applies the new version, the others the joint one
    STAGE k --force k+1--> STAGE k+1
    any --force -1--> (in force)          the new version is in force
    MIDDLE, STAGE --halt--> BACK          rollback: all apply the joint settings again
    BACK --drop--> (removed)              the previous version is in force again

Invariants:
 1. Applying a change never fails; a change that does not fit the state changes nothing.
 2. Two balancers whose state has the same version have the same state.
 3. The settings that a balancer with a lease applies (`force.Acts`) depend only on this state and its number.
The minimum duration of a phase is decided by the leader (guide.py): the state machine has no clock.
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

# Servers banned by hand at once: bounds the snapshot that a balancer without state gets as a whole.
MAX_BANNED = 256
MAX_KEPT = 4  # previous versions kept for rollback; also the number of outcomes kept


Result = Literal["refused", "in force", "halted", "checked"]


class Phase(Enum):
    """The phase of a pending proposal; see the head of the module."""

    CHECK = "check"
    MIDDLE = "middle"
    STAGE = "stage"
    BACK = "back"


class Rules(Struct, frozen=True):
    """A version of the settings: current, previous or proposed.

    With empty `settings` each balancer uses those of its own file."""

    version: int = 0
    settings: str = ""
    by: str = ""


def proposal_digest(rules: Rules) -> int:
    """Returns a four-byte digest of a proposal, never 0.

    It tells proposals apart that have the same version number, as after a log was abandoned and started
    again."""
    text = f"{rules.version}\0{rules.settings}".encode()
    return int.from_bytes(hashlib.blake2s(text, digest_size=4).digest(), "big") or 1


class Pending(Struct, frozen=True):
    """The proposal in progress, with its phase."""

    rules: Rules
    phase: Phase = Phase.CHECK
    since: int = 0  # the version of the change that started the phase
    stages: tuple[tuple[int, ...], ...] = ()
    stage: int = -1
    dry: bool = False
    reason: str = ""  # why it was halted


class Outcome(Struct, frozen=True):
    """The final result of a proposal."""

    version: int
    how: Result
    reason: str = ""


class Out(Struct, frozen=True):
    """A ban by hand: who set it, and the version of the change that did."""

    version: int
    by: str


class StoreState(Struct):
    """The complete state, as stored and sent in snapshots.

    `out`: servers banned by hand. `preferred`: servers chosen first among equally idle ones. `closed`:
    classes that are rejected. `wary`: servers that get nothing from a balancer without a lease. `doubt`: what
    a balancer without a lease does."""

    version: int = 0
    rules: Rules = Rules()
    pending: Pending | None = None
    past: tuple[Rules, ...] = ()
    out: dict[str, Out] = {}
    preferred: tuple[str, ...] = ()
    closed: tuple[str, ...] = ()
    wary: tuple[str, ...] = ()
    doubt: Literal["serve", "refuse"] = "serve"
    outcomes: tuple[Outcome, ...] = ()


_decoder = msgspec.json.Decoder(StoreState)


class VersionStore:
    """The state machine that applies the changes of the replicated log."""

    def __init__(self) -> None:
        """Start with the empty state of version 0."""
        self.state = StoreState()
        self.unknown_entries = 0  # log entries that are not a known change
        self.change_count = 0  # times that the state changed in this process
        self.ban_versions: dict[str, int] = {}  # by server: the version of its latest ban

    # ---- state machine ----

    def apply(self, version: int, body: bytes) -> None:
        """Applies a committed entry; one that is not a known change only advances the version."""
        change = unpack(body)
        self.change_count += 1
        self.state.version = version
        if change is None:
            self.unknown_entries += 1
            return
        getattr(self, "_" + type(change).__name__.lower())(version, change)

    def snapshot(self) -> bytes:
        """Returns the encoded state."""
        return msgspec.json.encode(self.state)

    def restore(self, version: int, state: bytes) -> None:
        """Replaces the state by a snapshot; one that can't be decoded gives the empty state."""
        try:
            self.state = _decoder.decode(state)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.state = StoreState()
        self.change_count += 1
        self.state.version = version

    # ---- queries ----

    def find(self, version: int) -> Rules | None:
        """Returns a current or previous version that has settings."""
        known = (self.state.rules, *self.state.past)
        return next((r for r in known if r.version == version and r.settings), None)

    def outcome(self, version: int) -> Outcome | None:
        """Returns the result of a recent proposal; None if it is pending or not kept."""
        return next((o for o in self.state.outcomes if o.version == version), None)

    def objection(self, change: object) -> str:
        """Returns why the change would have no effect now; empty if it would have one."""
        pages, pending = self.state, self.state.pending
        if isinstance(change, Propose):
            return f"version {pending.rules.version} is under way" if pending is not None else ""
        if isinstance(change, Halt):
            if pending is None or pending.rules.version != change.version:
                return "no such proposal is under way"
            return "it is being rolled back already" if pending.phase is Phase.BACK else ""
        if isinstance(change, Ban):
            full = f"{MAX_BANNED} servers are banned already" if len(pages.out) >= MAX_BANNED else ""
            return "the server is banned already" if change.name in pages.out else full
        if isinstance(change, Unban):
            return "" if change.name in pages.out else "the server is not banned"
        return ""

    # ---- changes ----

    def _propose(self, version: int, change: Propose) -> None:
        if self.state.pending is None:
            self.state.pending = Pending(
                Rules(version, bytes(change.settings).decode(), change.by),
                since=version,
                stages=change.stages,
                dry=change.dry,
            )

    def _pending_in_phase(self, version: int, *phases: Phase) -> Pending | None:
        pending = self.state.pending
        if pending is not None and pending.rules.version == version and pending.phase in phases:
            return pending
        return None

    def _finish(self, version: int, how: Result, reason: str) -> None:
        self.state.pending = None
        self.state.outcomes = (*self.state.outcomes, Outcome(version, how, reason))[-MAX_KEPT:]

    def _refuse(self, version: int, change: Refuse) -> None:
        pending = self._pending_in_phase(change.version, Phase.CHECK)
        if pending is not None:
            self._finish(change.version, "checked" if pending.dry else "refused", change.reason)

    def _middle(self, version: int, change: Middle) -> None:
        pending = self._pending_in_phase(change.version, Phase.CHECK)
        if pending is not None and not pending.dry:
            self.state.pending = msgspec.structs.replace(pending, phase=Phase.MIDDLE, since=version)

    def _force(self, version: int, change: Force) -> None:
        pending = self._pending_in_phase(change.version, Phase.CHECK, Phase.MIDDLE, Phase.STAGE)
        if pending is None or pending.dry:
            return
        if change.stage >= 0:
            if pending.stage < change.stage < len(pending.stages):
                self.state.pending = msgspec.structs.replace(
                    pending, phase=Phase.STAGE, since=version, stage=change.stage
                )
            return
        self.state.past = (self.state.rules, *self.state.past)[:MAX_KEPT]
        self.state.rules = pending.rules
        self._finish(change.version, "in force", "")

    def _halt(self, version: int, change: Halt) -> None:
        pending = self._pending_in_phase(change.version, Phase.CHECK, Phase.MIDDLE, Phase.STAGE)
        if pending is None:
            return
        if pending.phase is Phase.CHECK:
            self._finish(change.version, "halted", change.reason)
        else:
            self.state.pending = msgspec.structs.replace(
                pending, phase=Phase.BACK, since=version, reason=change.reason
            )

    def _drop(self, version: int, change: Drop) -> None:
        pending = self._pending_in_phase(change.version, Phase.BACK)
        if pending is not None:
            self._finish(change.version, "halted", pending.reason)

    def _ban(self, version: int, change: Ban) -> None:
        if not self.objection(change):
            self.ban_versions = dict([*self.ban_versions.items(), (change.name, version)][-MAX_BANNED:])
            self.state.out = {change.name: Out(version, change.by), **self.state.out}

    def _unban(self, version: int, change: Unban) -> None:
        self.state.out = {n: v for n, v in self.state.out.items() if n != change.name}

    def _lists(self, version: int, change: Lists) -> None:
        for name in ("preferred", "closed", "wary", "doubt"):
            value = getattr(change, name)
            if value is not None:
                setattr(self.state, name, value)

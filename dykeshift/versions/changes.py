"""The changes in the replicated log: JSON texts, each applied by the state machine `book.Book`.

An older program ignores changes and fields that it does not know. Settings that it does not understand are
rejected by its own check (checks.py) before a version is in force anywhere.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=256)]
Names = Annotated[tuple[Name, ...], Meta(max_length=64)]
Text = Annotated[str, Meta(max_length=200)]


class Propose(Struct, frozen=True, tag="propose", tag_field="do", omit_defaults=True):
    """Proposes a new version of the settings (JSON with the keys of the protocol, without local settings).

    `stages`: numbers of the balancers that apply it first, group after group. `dry`: a dry run, which only
    collects the objections of all balancers."""

    settings: msgspec.Raw
    by: Text = ""
    stages: tuple[tuple[int, ...], ...] = ()
    dry: bool = False
    of: int = 0  # the version to return to, if this is a rollback


class Refuse(Struct, frozen=True, tag="refuse", tag_field="do"):
    """Ends a proposal in its check phase: a balancer can't apply it, or a dry run is complete."""

    version: int
    reason: Text


class Middle(Struct, frozen=True, tag="middle", tag_field="do"):
    """Starts the joint phase."""

    version: int


class Force(Struct, frozen=True, tag="force", tag_field="do"):
    """Puts the version in force at the balancers of the stages up to this one; at all with stage -1."""

    version: int
    stage: int = -1


class Halt(Struct, frozen=True, tag="halt", tag_field="do"):
    """Starts the return to the version in force before."""

    version: int
    reason: Text


class Drop(Struct, frozen=True, tag="drop", tag_field="do"):
    """Ends a halt: no balancer applies the halted version any more."""

    version: int


class Ban(Struct, frozen=True, tag="ban", tag_field="do"):
    """Bans a server at all balancers."""

    name: Name
    by: Text = ""


class Unban(Struct, frozen=True, tag="unban", tag_field="do"):
    """Lifts the ban of a server."""

    name: Name
    by: Text = ""


class Lists(Struct, frozen=True, tag="lists", tag_field="do", omit_defaults=True):
    """Replaces the lists that are given; those that are None stay as they are."""

    preferred: Names | None = None
    closed: Names | None = None
    wary: Names | None = None
    doubt: Literal["serve", "refuse"] | None = None
    by: Text = ""


Change = Propose | Refuse | Middle | Force | Halt | Drop | Ban | Unban | Lists

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Change)


def pack(change: Change) -> bytes:
    """Encodes a change as a log entry."""
    return _encoder.encode(change)


def unpack(body: bytes) -> Change | None:
    """Decodes a log entry; None if it is not one of these changes, as other features use the log too."""
    try:
        change: Change = _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return change

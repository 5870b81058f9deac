"""Changes of the configuration as the log keeps them, and the phases that a transaction goes through.

A transaction is a delta: resources to put and to delete, with the versions that its author has seen. It is
decided whole or not at all, by `dykeshift.configuration.store`.

    (begin) --refused--> (gone)           it does not fit, or would do harm; nothing has changed
    (begin) ----------> PREPARED          its keys are taken; nobody acts on it yet
    (begin) --free----> COMMITTED         nothing in it is guarded: in force with its own entry
    PREPARED ---------> JOINT             who acts on a guarded key acts on the meet of old and new
    PREPARED ---------> COMMITTED         only where nothing in it is guarded
    JOINT ------------> COMMITTED         in force; by then nobody may act on the old body alone
    PREPARED, JOINT --> ABORTED           the old bodies alone; nobody has ever acted on the new ones alone
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from dykeshift.configuration.resources import Key

Ident = Annotated[int, Meta(ge=1, le=(1 << 63) - 1)]
Author = Annotated[str, Meta(max_length=200)]
Reason = Annotated[str, Meta(max_length=200)]
LONGEST_REASON = 200  # characters


class Phase(Enum):
    """Where a transaction is. The last three are ends."""

    PREPARED = "prepared"
    JOINT = "joint"
    COMMITTED = "committed"
    ABORTED = "aborted"
    REFUSED = "refused"


class Put(Struct, frozen=True, array_like=True, gc=False):
    """A body for a key; the typed body of its kind, encoded."""

    key: Key
    body: bytes


class Transaction(Struct, frozen=True, array_like=True, tag="begin"):
    """A change of several resources. `ident` is its author's, never used twice. `expected`: the version that
    each key has to have (0: it must not exist); a key that is put or deleted and not named may have any.
    `checked` asks that it waits in PREPARED, also where nothing in it is guarded."""

    ident: Ident
    by: Author = ""
    puts: tuple[Put, ...] = ()
    deletes: tuple[Key, ...] = ()
    expected: dict[Key, int] = {}
    checked: bool = False

    def written_keys(self) -> tuple[Key, ...]:
        """All keys that it writes."""
        return tuple(put.key for put in self.puts) + self.deletes


class Advance(Struct, frozen=True, array_like=True, tag="advance"):
    """The next phase of a transaction that is under way."""

    ident: Ident
    phase: Phase
    reason: Reason = ""


Entry = Transaction | Advance

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    """The bytes of an entry of the log."""
    return _encoder.encode(entry)


def decode_entry(data: bytes) -> Entry | None:
    """None: it is no entry of ours; others may have proposed it for purposes of their own."""
    try:
        found: Entry = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return found


class Pending(Struct, frozen=True, array_like=True):
    """A transaction under way. `since`: the version that brought its phase; `guarded`: the keys that need a
    joint phase."""

    transaction: Transaction
    phase: Phase
    since: int
    guarded: tuple[Key, ...] = ()


class Outcome(Struct, frozen=True, array_like=True):
    """What became of a transaction, and at which version."""

    ident: int
    phase: Phase
    version: int
    reason: str = ""

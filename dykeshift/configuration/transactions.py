"""Changes of the configuration as stored in the log, and the phases of a transaction.

A transaction is a delta: resources to put and to delete, with the versions that its author expects. The store
(`dykeshift.configuration.store`) applies it atomically or not at all.

    (begin) ----------> REFUSED           invalid, or harmful; no resource has changed
    (begin) ----------> PREPARED          its keys are reserved; no balancer acts on it yet
    (begin) ----------> COMMITTED         no key is guarded and it is not `checked`: in force at once
    PREPARED ---------> JOINT             balancers act on the meet of old and new for each guarded key
    PREPARED ---------> COMMITTED         only if no key is guarded
    JOINT ------------> COMMITTED         in force; by now no balancer may act on an old body alone
    PREPARED, JOINT --> ABORTED           the old bodies stay; no balancer has acted on a new one alone
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
    """The state of a transaction. The last three are final."""

    PREPARED = "prepared"
    JOINT = "joint"
    COMMITTED = "committed"
    ABORTED = "aborted"
    REFUSED = "refused"


class Put(Struct, frozen=True, array_like=True, gc=False):
    """Sets the body of a key; `body` is the encoded struct of the kind."""

    key: Key
    body: bytes


class Transaction(Struct, frozen=True, array_like=True, tag="begin"):
    """An atomic change of several resources.

    `ident` is chosen by the author and never used twice. `expected`: the version that each key must have (0:
    it must not exist); a key that is written and not listed may have any. `checked`: the transaction waits
    in PREPARED for an approval, even if none of its keys is guarded.
    """

    ident: Ident
    by: Author = ""
    puts: tuple[Put, ...] = ()
    deletes: tuple[Key, ...] = ()
    expected: dict[Key, int] = {}
    checked: bool = False

    def written_keys(self) -> tuple[Key, ...]:
        """All keys that are put or deleted."""
        return tuple(put.key for put in self.puts) + self.deletes


class Advance(Struct, frozen=True, array_like=True, tag="advance"):
    """Moves a pending transaction to its next phase."""

    ident: Ident
    phase: Phase
    reason: Reason = ""


Entry = Transaction | Advance

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry of the log."""
    return _encoder.encode(entry)


def decode_entry(data: bytes) -> Entry | None:
    """Decode an entry of the log; None if it is not a configuration entry, as other users share the log."""
    try:
        found: Entry = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return found


class Pending(Struct, frozen=True, array_like=True):
    """A pending transaction. `since`: the version at which its phase began; `guarded`: the keys that need a
    joint phase."""

    transaction: Transaction
    phase: Phase
    since: int
    guarded: tuple[Key, ...] = ()


class Outcome(Struct, frozen=True, array_like=True):
    """The final phase of a transaction, and the version at which it was reached."""

    ident: int
    phase: Phase
    version: int
    reason: str = ""

"""Datagrams between subscribers and replicas of the configuration, byte by byte.

A datagram is at most 256 bytes, numbers are big-endian (kinds from 96 on; docs/design/subscribers.md):

     0  version (1)                          4  session, 8 bytes
     1  kind                                12  the kind's own fields, then text or a chunk where it has one
     2  tag of the fleet's name, 2 bytes    -8  seal: BLAKE2s over all before it, as the membership's

The session of HELLO, WELCOME and WAIT is a number that the subscriber drew for this attempt; that of AUDIT
and AUDITED one that it drew for this question. All others carry the token that the replica drew and told in
WELCOME: what was recorded in an earlier session has another one, and counts for nothing.

Any bytes at all end in a message or in `Bad` with one of the membership's REASONS.
"""

from __future__ import annotations

import inspect
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from dykeshift.view.wire import LONGEST_NAME, MOST, SEAL, VERSION, Bad, Seal, unseal

HEAD = struct.Struct(">BBHQ")
FIRST_KIND = 96
LAST_KIND = 127
NO_AGE = 0xFFFFFFFF  # of a replica that does not know how fresh its store is
LONGEST_CURSOR = 110  # bytes: with the longest name it fits into a HELLO


class Kind(IntEnum):
    """What a datagram is; `to replica` and `to subscriber` say who sends it to whom."""

    HELLO = 96  # to replica: who subscribes, and what it holds
    WELCOME = 97  # to subscriber: the session's token; how much of the scope has arrived
    WAIT = 98  # to subscriber: not now; when to ask again
    SCOPE = 99  # to replica: a piece of the scope
    DATA = 100  # to subscriber: a chunk of one part
    ACK = 101  # to replica: which chunks have arrived, which version is shown
    RENEW = 102  # to replica: asks for a lease, says which version is shown
    GRANT = 103  # to subscriber: the lease, stamped with the store's version
    BYE = 104  # to replica: the subscriber has left
    AUDIT = 105  # to any replica: version and digest of a few services?
    AUDITED = 106  # to subscriber
    GONE = 107  # to subscriber: there is no such session
    FENCE = 108  # between control machines: nobody acts on an older version by a lease of the sender's


class WaitReason(IntEnum):
    """Why a replica does not take a subscriber now."""

    BUSY = 1  # as many catch up as it can bear
    FULL = 2  # it serves as many as it may
    LAGGING = 3  # the subscriber has a later version than this replica
    UNREADY = 4  # it does not know how fresh its store is


class ByeReason(IntEnum):
    """Why a subscriber leaves a replica."""

    ENDING = 1  # the process ends
    SILENT = 2  # no answer
    LAGGING = 3  # no lease by it, or another replica has more
    DIGEST = 4  # what it sent is not what it said
    AUDIT = 5  # two other replicas contradict it


@dataclass(frozen=True, slots=True)
class Hello:
    """Who subscribes. `birth`: Unix milliseconds of the process's start; `attempt` counts its HELLOs.

    `lineage`: the history that `shown`, the version which the subscriber acts on, belongs to. `cursor`: where
    its catching up stopped, as `catch_up.pack_position` has it.
    """

    session: int
    birth: int
    attempt: int
    lineage: int
    shown: int
    scope_digest: int
    scope_length: int
    name: str
    cursor: bytes = b""


@dataclass(frozen=True, slots=True)
class Welcome:
    """`scope_offset`: bytes of the scope that the replica has; all of them: the session has begun."""

    session: int
    token: int
    lineage: int
    version: int
    scope_offset: int


@dataclass(frozen=True, slots=True)
class Wait:
    """`retry_ms`: milliseconds until it is worth asking again."""

    session: int
    lineage: int
    version: int
    retry_ms: int
    reason: WaitReason


@dataclass(frozen=True, slots=True)
class ScopePiece:
    """Bytes of the scope from `offset` on."""

    session: int
    offset: int
    chunk: bytes


@dataclass(frozen=True, slots=True)
class Data:
    """Chunk `number` of `total` of a transfer."""

    session: int
    transfer: int
    number: int
    total: int
    chunk: bytes


@dataclass(frozen=True, slots=True)
class Ack:
    """All chunks before `following` have arrived, and those of the bits of `ahead` behind it."""

    session: int
    transfer: int
    following: int
    ahead: int
    shown: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Asks for a lease; `nonce` comes back with it."""

    session: int
    nonce: int
    shown: int


@dataclass(frozen=True, slots=True)
class Grant:
    """A lease on `stamp`, the version of the replica's store, which was fresh `age_ms` ago.

    `unchanged_since`: from that version on up to `stamp` nothing has changed in the subscriber's scope.
    `fenced`: nobody holds a lease by this replica on an older version.
    """

    session: int
    nonce: int
    stamp: int
    unchanged_since: int
    age_ms: int
    fenced: int


@dataclass(frozen=True, slots=True)
class Bye:
    """The subscriber has left."""

    session: int
    reason: ByeReason


@dataclass(frozen=True, slots=True)
class Audit:
    """Asks for version and digest of a scope that fits into one datagram."""

    session: int
    scope: bytes


@dataclass(frozen=True, slots=True)
class Audited:
    """What this replica has of the scope that was asked about."""

    session: int
    lineage: int
    version: int
    digest: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Gone:
    """There is no session of that token."""

    session: int


@dataclass(frozen=True, slots=True)
class Fence:
    """A replica's fence, to all others of the tier. `session`: the sender's number."""

    session: int
    lineage: int
    fenced: int


Message = (
    Hello | Welcome | Wait | ScopePiece | Data | Ack | Renew | Grant | Bye | Audit | Audited | Gone | Fence
)


@dataclass(frozen=True, slots=True)
class _Layout:
    """How a kind's fields behind the session lie: numbers by `fixed`, then bytes to the end where it has."""

    made: Callable[..., Message]
    fixed: struct.Struct
    chunked: bool = False


_HELLO = struct.Struct(">QIQQQIB")
_LAYOUTS: dict[Kind, _Layout] = {
    Kind.WELCOME: _Layout(Welcome, struct.Struct(">QQQI")),
    Kind.WAIT: _Layout(Wait, struct.Struct(">QQIB")),
    Kind.SCOPE: _Layout(ScopePiece, struct.Struct(">I"), chunked=True),
    Kind.DATA: _Layout(Data, struct.Struct(">IHH"), chunked=True),
    Kind.ACK: _Layout(Ack, struct.Struct(">IHIQ")),
    Kind.RENEW: _Layout(Renew, struct.Struct(">IQ")),
    Kind.GRANT: _Layout(Grant, struct.Struct(">IQQIQ")),
    Kind.BYE: _Layout(Bye, struct.Struct(">B")),
    Kind.AUDIT: _Layout(Audit, struct.Struct(">"), chunked=True),
    Kind.AUDITED: _Layout(Audited, struct.Struct(">QQQI")),
    Kind.GONE: _Layout(Gone, struct.Struct(">")),
    Kind.FENCE: _Layout(Fence, struct.Struct(">QQ")),
}
_KINDS: dict[Callable[..., Message], Kind] = {layout.made: kind for kind, layout in _LAYOUTS.items()} | {
    Hello: Kind.HELLO
}

_FIELDS: dict[Kind, tuple[str, ...]] = {
    kind: tuple(inspect.signature(layout.made).parameters)[1:] for kind, layout in _LAYOUTS.items()
}


def _most(kind: Kind) -> int:
    return MOST - SEAL - HEAD.size - _LAYOUTS[kind].fixed.size


CHUNK = _most(Kind.DATA)  # bytes of a part that one datagram carries
SCOPE_CHUNK = _most(Kind.SCOPE)  # bytes of a scope that one datagram carries
AUDIT_SCOPE = _most(Kind.AUDIT)  # bytes of a scope that can be audited


def is_ours(data: bytes) -> bool:
    """Whether a datagram on the balancers' port is of the configuration."""
    return len(data) > 1 and FIRST_KIND <= data[1] <= LAST_KIND


def is_fence(data: bytes) -> bool:
    """Whether a datagram is one between control machines."""
    return len(data) > 1 and data[1] == Kind.FENCE


def encode(message: Message, seal: Seal) -> bytes:
    """ValueError where the message does not fit into a datagram."""
    kind = _KINDS[type(message)]
    head = HEAD.pack(VERSION, kind, seal.tag, message.session)
    data = head + (_pack_hello(message) if isinstance(message, Hello) else _pack(kind, message))
    if len(data) + SEAL > MOST:
        raise ValueError(f"{len(data) + SEAL} bytes are no datagram")
    return data + seal.of(data)


def _pack(kind: Kind, message: Message) -> bytes:
    layout = _LAYOUTS[kind]
    values = [getattr(message, name) for name in _FIELDS[kind]]
    if layout.chunked:
        return layout.fixed.pack(*values[:-1]) + bytes(values[-1])
    return layout.fixed.pack(*values)


def _pack_hello(message: Hello) -> bytes:
    name = message.name.encode()
    if not 0 < len(name) <= LONGEST_NAME:
        raise ValueError("a name has 1 to 64 bytes")
    numbers = (
        message.birth,
        message.attempt,
        message.lineage,
        message.shown,
        message.scope_digest,
        message.scope_length,
    )
    return _HELLO.pack(*numbers, len(name)) + name + message.cursor


def decode(data: bytes, seal: Seal) -> Message:
    """Raises Bad for whatever is no message of this fleet."""
    kind, session = unseal(data, seal, HEAD, HEAD.size)
    body = data[HEAD.size : -SEAL]
    try:
        known = Kind(kind)
        return _unpack_hello(session, body) if known is Kind.HELLO else _unpack(known, session, body)
    except (ValueError, struct.error):
        raise Bad("form") from None


def _unpack(kind: Kind, session: int, body: bytes) -> Message:
    layout = _LAYOUTS[kind]
    values: list[Any] = [session, *layout.fixed.unpack_from(body)]
    if layout.chunked:
        values.append(body[layout.fixed.size :])
    if kind is Kind.WAIT:
        values[-1] = WaitReason(values[-1])
    elif kind is Kind.BYE:
        values[-1] = ByeReason(values[-1])
    return layout.made(*values)


def _unpack_hello(session: int, body: bytes) -> Hello:
    birth, attempt, lineage, shown, digest, size, length = _HELLO.unpack_from(body)
    name = body[_HELLO.size : _HELLO.size + length]
    if not 0 < length <= LONGEST_NAME or len(name) < length:
        raise ValueError("a name is cut off")
    cursor = body[_HELLO.size + length :]
    if len(cursor) > LONGEST_CURSOR:
        raise ValueError("no cursor is so long")
    return Hello(session, birth, attempt, lineage, shown, digest, size, name.decode(), cursor)


assert HEAD.size + _HELLO.size + LONGEST_NAME + LONGEST_CURSOR + SEAL <= MOST

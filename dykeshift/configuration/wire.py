"""Wire format of the datagrams between subscribers and replicas of the configuration.

A datagram has at most 256 bytes; numbers are big-endian (kinds from 96 on; docs/design/subscribers.md):

     0  version (1)                          4  session, 8 bytes
     1  kind                                12  fields of the kind, then text or a chunk if it has one
     2  tag of the fleet's name, 2 bytes    -8  MAC: BLAKE2s over all preceding bytes, as in `view.wire`

The session of HELLO, WELCOME and WAIT is a random number that the subscriber chose for this attempt; that of
AUDIT and AUDITED one that it chose for this query. All others carry the token that the replica chose and sent
in WELCOME, so datagrams replayed from an earlier session are ignored.

Decoding any bytes gives a message or raises `DatagramError` with one of the REASONS of `view.wire`.
"""

from __future__ import annotations

import inspect
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from dykeshift.view.wire import MAX_DATAGRAM, MAX_NAME_BYTES, SEAL_SIZE, VERSION, DatagramError, Seal, unseal

HEAD = struct.Struct(">BBHQ")
FIRST_KIND = 96
LAST_KIND = 127
NO_AGE = 0xFFFFFFFF  # the age sent by a replica that does not know how fresh its store is
LONGEST_CURSOR = 110  # bytes; fits into a HELLO with a name of maximum length


class Kind(IntEnum):
    """The kinds of datagrams, each with its direction."""

    HELLO = 96  # to replica: who subscribes, and its current state
    WELCOME = 97  # to subscriber: the session token; how many bytes of the scope have arrived
    WAIT = 98  # to subscriber: not admitted now; when to retry
    SCOPE = 99  # to replica: a piece of the scope
    DATA = 100  # to subscriber: a chunk of one part
    ACK = 101  # to replica: which chunks have arrived, which version is applied
    RENEW = 102  # to replica: asks for a lease, tells which version is applied
    GRANT = 103  # to subscriber: a lease, stamped with the store's version
    BYE = 104  # to replica: the subscriber has left
    AUDIT = 105  # to any replica: asks for version and digest of a few services
    AUDITED = 106  # to subscriber: the answer to AUDIT
    GONE = 107  # to subscriber: the session does not exist
    FENCE = 108  # between control machines: no lease by the sender is on an older version


class WaitReason(IntEnum):
    """Why a replica does not admit a subscriber now."""

    BUSY = 1  # the limit of subscribers that catch up at once
    FULL = 2  # the limit of subscribers
    LAGGING = 3  # the subscriber has a later version than this replica
    UNREADY = 4  # the replica does not know how fresh its store is


class ByeReason(IntEnum):
    """Why a subscriber leaves a replica."""

    ENDING = 1  # the process shuts down
    SILENT = 2  # no answer
    LAGGING = 3  # it grants no lease, or another replica has a later version
    DIGEST = 4  # the data that it sent does not match the digest that it sent
    AUDIT = 5  # two other replicas contradict it


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a session. `birth`: Unix milliseconds of the process's start; `attempt` counts its HELLOs.

    `shown`: the version that the subscriber acts on, of the store's history `lineage`. `cursor`: the position
    at which its catch-up stopped, encoded by `catch_up.pack_position`.
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
    """Answers a HELLO. `scope_offset`: bytes of the scope received; with all of them the session begins."""

    session: int
    token: int
    lineage: int
    version: int
    scope_offset: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Refuses a HELLO for now. `retry_ms`: milliseconds to wait before the next one."""

    session: int
    lineage: int
    version: int
    retry_ms: int
    reason: WaitReason


@dataclass(frozen=True, slots=True)
class ScopePiece:
    """Bytes of the encoded scope, beginning at `offset`."""

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
    """Acknowledges all chunks before `following`, and later ones by the bits of `ahead`."""

    session: int
    transfer: int
    following: int
    ahead: int
    shown: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Asks for a lease; the answer carries the same `nonce`."""

    session: int
    nonce: int
    shown: int


@dataclass(frozen=True, slots=True)
class Grant:
    """A lease on `stamp`, the version of the replica's store, which was up to date `age_ms` ago.

    `unchanged_since`: nothing in the subscriber's scope has changed from that version up to `stamp`.
    `fenced`: no subscriber holds a lease by this replica on an older version.
    """

    session: int
    nonce: int
    stamp: int
    unchanged_since: int
    age_ms: int
    fenced: int


@dataclass(frozen=True, slots=True)
class Bye:
    """The subscriber ends the session."""

    session: int
    reason: ByeReason


@dataclass(frozen=True, slots=True)
class Audit:
    """Asks for the version and digest of a scope small enough for one datagram."""

    session: int
    scope: bytes


@dataclass(frozen=True, slots=True)
class Audited:
    """The version and digest of the audited scope at this replica."""

    session: int
    lineage: int
    version: int
    digest: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Gone:
    """There is no session with that token."""

    session: int


@dataclass(frozen=True, slots=True)
class Fence:
    """The fence of a replica, sent to all others of the tier. `session`: the number of the sender."""

    session: int
    lineage: int
    fenced: int


Message = (
    Hello | Welcome | Wait | ScopePiece | Data | Ack | Renew | Grant | Bye | Audit | Audited | Gone | Fence
)


@dataclass(frozen=True, slots=True)
class _Layout:
    """Layout of the fields after the session: numbers packed by `fixed`, then, if `chunked`, bytes."""

    message_type: Callable[..., Message]
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
_KINDS: dict[Callable[..., Message], Kind] = {
    layout.message_type: kind for kind, layout in _LAYOUTS.items()
} | {Hello: Kind.HELLO}

_FIELDS: dict[Kind, tuple[str, ...]] = {
    kind: tuple(inspect.signature(layout.message_type).parameters)[1:] for kind, layout in _LAYOUTS.items()
}


def _max_payload(kind: Kind) -> int:
    return MAX_DATAGRAM - SEAL_SIZE - HEAD.size - _LAYOUTS[kind].fixed.size


CHUNK = _max_payload(Kind.DATA)  # maximum bytes of a part in one datagram
SCOPE_CHUNK = _max_payload(Kind.SCOPE)  # maximum bytes of a scope in one datagram
AUDIT_SCOPE = _max_payload(Kind.AUDIT)  # maximum bytes of a scope that can be audited


def is_ours(data: bytes) -> bool:
    """Whether a datagram on the balancers' shared port belongs to this protocol."""
    return len(data) > 1 and FIRST_KIND <= data[1] <= LAST_KIND


def is_fence(data: bytes) -> bool:
    """Whether a datagram is a FENCE, sent between control machines."""
    return len(data) > 1 and data[1] == Kind.FENCE


def encode(message: Message, seal: Seal) -> bytes:
    """Encode a message; raises ValueError if it does not fit into a datagram."""
    kind = _KINDS[type(message)]
    head = HEAD.pack(VERSION, kind, seal.tag, message.session)
    data = head + (_pack_hello(message) if isinstance(message, Hello) else _pack(kind, message))
    if len(data) + SEAL_SIZE > MAX_DATAGRAM:
        raise ValueError(f"message too long: {len(data) + SEAL_SIZE} bytes, limit {MAX_DATAGRAM}")
    return data + seal.mac(data)


def _pack(kind: Kind, message: Message) -> bytes:
    layout = _LAYOUTS[kind]
    values = [getattr(message, name) for name in _FIELDS[kind]]
    if layout.chunked:
        return layout.fixed.pack(*values[:-1]) + bytes(values[-1])
    return layout.fixed.pack(*values)


def _pack_hello(message: Hello) -> bytes:
    name = message.name.encode()
    if not 0 < len(name) <= MAX_NAME_BYTES:
        raise ValueError(f"subscriber name must have 1 to {MAX_NAME_BYTES} bytes")
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
    """Decode a datagram; raises DatagramError if it is malformed or of another fleet."""
    kind, session = unseal(data, seal, HEAD, HEAD.size)
    body = data[HEAD.size : -SEAL_SIZE]
    try:
        known = Kind(kind)
        return _unpack_hello(session, body) if known is Kind.HELLO else _unpack(known, session, body)
    except (ValueError, struct.error):
        raise DatagramError("form") from None


def _unpack(kind: Kind, session: int, body: bytes) -> Message:
    layout = _LAYOUTS[kind]
    values: list[Any] = [session, *layout.fixed.unpack_from(body)]
    if layout.chunked:
        values.append(body[layout.fixed.size :])
    if kind is Kind.WAIT:
        values[-1] = WaitReason(values[-1])
    elif kind is Kind.BYE:
        values[-1] = ByeReason(values[-1])
    return layout.message_type(*values)


def _unpack_hello(session: int, body: bytes) -> Hello:
    birth, attempt, lineage, shown, digest, size, length = _HELLO.unpack_from(body)
    name = body[_HELLO.size : _HELLO.size + length]
    if not 0 < length <= MAX_NAME_BYTES or len(name) < length:
        raise ValueError("subscriber name is empty, too long or truncated")
    cursor = body[_HELLO.size + length :]
    if len(cursor) > LONGEST_CURSOR:
        raise ValueError(f"cursor too long: {len(cursor)} bytes, limit {LONGEST_CURSOR}")
    return Hello(session, birth, attempt, lineage, shown, digest, size, name.decode(), cursor)


assert HEAD.size + _HELLO.size + MAX_NAME_BYTES + LONGEST_CURSOR + SEAL_SIZE <= MAX_DATAGRAM

"""Encoding of the datagrams between balancers; `docs/design/view.md` has the format as a table.

A datagram is at most 256 bytes, numbers are big-endian:

     0  version (1)                        20  digest of the sender's table, 8 bytes
     1  kind                               28  flags
     2  tag of the fleet's name, 2 bytes   29  length of the sender's name, then the name in UTF-8
     4  birth of the process, 4 bytes       .  fields: type, length, value
     8  incarnation, 8 bytes               -8  seal: keyed BLAKE2s (MAC) over all before it, fleet as `person`
    16  sequence number, 4 bytes

A receiver drops datagrams of an unknown version or kind. It skips unknown fields, and the bytes after the
known part of a field. Any input gives either a message or `DatagramError` with one of `REASONS`.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass, field
from enum import IntEnum

VERSION = 1
MAX_DATAGRAM = 256  # bytes in a datagram, as the platform's protocol demands
SEAL_SIZE = 8  # bytes
HEADER = struct.Struct(">BBHIQIQBB")
ENTRY = struct.Struct(">QIBHHBIHB")
PROOF = struct.Struct(">IQ")
BUCKETS = 16
UNNUMBERED = 0xFFFF  # the number of a member that has none configured
MAX_NAME_BYTES = 64  # bytes, so that a name, a target and one entry always fit into one datagram
REASONS = ("size", "version", "fleet", "seal", "form")  # why a datagram is rejected


class Kind(IntEnum):
    """The kind of a message."""

    PING = 1  # a probe; to be answered by an ACK if it has an `ask` token
    ACK = 2
    PROBE_FOR = 3  # requests an indirect probe: to probe `target` and report its answer
    VIA = 4  # the answer to PROBE_FOR: `target` has answered the probe
    SYNC = 5  # anti-entropy: sums of the sender's buckets
    NEWS = 6  # entries only


class State(IntEnum):
    """The state believed of a member. At equal incarnations the later of these takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    UNREACHABLE = 2  # its suspicion timed out; it may still be at work elsewhere
    DEAD = 3  # given up: silent for longer than every process's lease lasts
    LEFT = 4


class DatagramError(Exception):
    """The bytes are no valid message of this fleet; `args[0]` is one of REASONS."""


@dataclass(frozen=True, slots=True)
class Entry:
    """What is gossiped of one member."""

    name: str
    incarnation: int
    birth: int
    state: State = State.ALIVE
    number: int = UNNUMBERED  # position in the list of peers
    peer_count: int = 0  # addresses in its list of peers
    zone: int = 0
    settings: int = 0  # digest of the settings that it acts on
    program_version: int = 0  # version, major * 256 + minor


@dataclass(slots=True)
class Message:
    """A decoded datagram; `name`, `birth` and `incarnation` are the sender's."""

    kind: Kind
    name: str
    birth: int
    incarnation: int
    seq: int
    digest: int
    flags: int = 0
    ask: int = 0  # a token that the answer has to return in `echo`; 0: no answer is requested
    echo: int = 0  # the token of the request that this answers; 0: none
    target: str = ""
    proof: tuple[int, int] = (0, 0)  # birth and incarnation that `target` answered with
    sums: tuple[int, ...] = ()
    entries: list[Entry] = field(default_factory=list)


# Types of fields.
FIELD_ASK, FIELD_ECHO, FIELD_TARGET, FIELD_ENTRY, FIELD_SUMS, FIELD_PROOF = 1, 2, 3, 4, 5, 6
FLAG_REPLY, FLAG_BULK = 1, 2  # a SYNC that answers another SYNC; entries sent in answer to sums
FLAG_HOLDS_LEASE = 4  # the sender holds the lease, so that its table has been confirmed by a majority


class Seal:
    """Computes message authentication codes for a fleet, by its name and its shared key, if any."""

    def __init__(self, fleet: str, key: bytes = b"") -> None:
        """`key`: at most 32 bytes (BLAKE2s)."""
        name = hashlib.blake2s(fleet.encode()).digest()
        self.tag = int.from_bytes(name[:2], "big")
        self.person, self.key = name[:8], key

    def mac(self, data: bytes) -> bytes:
        """The authentication code of `data`."""
        return hashlib.blake2s(data, digest_size=SEAL_SIZE, key=self.key, person=self.person).digest()


def pack_entry(entry: Entry) -> bytes:
    """Encode an entry as a field, with its type and length."""
    name = entry.name.encode()
    body = (
        ENTRY.pack(
            entry.incarnation,
            entry.birth,
            entry.state,
            entry.number,
            entry.peer_count,
            entry.zone,
            entry.settings,
            entry.program_version,
            len(name),
        )
        + name
    )
    return bytes((FIELD_ENTRY, len(body))) + body


def _unpack_entry(value: bytes) -> Entry:
    incarnation, birth, state, number, tier, zone, settings, program, length = ENTRY.unpack_from(value)
    name = value[ENTRY.size : ENTRY.size + length]
    if not 0 < length <= MAX_NAME_BYTES or len(name) < length:
        raise ValueError("truncated name in an entry")
    return Entry(name.decode(), incarnation, birth, State(state), number, tier, zone, settings, program)


def encode(message: Message, seal: Seal, packed: list[bytes] | None = None) -> bytes:
    """`packed`: encoded entries that follow the message's own. Entries that do not fit are left out."""
    name = message.name.encode()
    parts = [
        HEADER.pack(
            VERSION,
            message.kind,
            seal.tag,
            message.birth,
            message.incarnation,
            message.seq,
            message.digest,
            message.flags,
            len(name),
        ),
        name,
    ]
    if message.ask:
        parts.append(struct.pack(">BBI", FIELD_ASK, 4, message.ask))
    if message.echo:
        parts.append(struct.pack(">BBI", FIELD_ECHO, 4, message.echo))
    if message.target:
        target = message.target.encode()
        parts.append(bytes((FIELD_TARGET, len(target))) + target)
    if message.proof[0]:
        parts.append(bytes((FIELD_PROOF, PROOF.size)) + PROOF.pack(*message.proof))
    if message.sums:
        parts.append(bytes((FIELD_SUMS, 4 * BUCKETS)) + struct.pack(f">{BUCKETS}I", *message.sums))
    size = sum(map(len, parts)) + SEAL_SIZE
    for field_bytes in [pack_entry(entry) for entry in message.entries] + (packed or []):
        if size + len(field_bytes) <= MAX_DATAGRAM:
            parts.append(field_bytes)
            size += len(field_bytes)
    data = b"".join(parts)
    return data + seal.mac(data)


def entry_space(name: str) -> int:
    """Bytes left for entries in a message of this sender that has both an `ask` and an `echo` field."""
    return MAX_DATAGRAM - SEAL_SIZE - HEADER.size - len(name.encode()) - 12


def unseal(data: bytes, seal: Seal, header: struct.Struct, min_size: int) -> tuple[int, ...]:
    """Check size, version, fleet and seal; return the kind and the header's fields after the tag.

    Headers begin with version, kind and tag. `min_size`: the fewest bytes before the seal. Raises
    DatagramError for what is no datagram of this fleet.
    """
    if not min_size + SEAL_SIZE <= len(data) <= MAX_DATAGRAM:
        raise DatagramError("size")
    version, kind, tag, *rest = header.unpack_from(data)
    if version != VERSION:
        raise DatagramError("version")
    if tag != seal.tag:
        raise DatagramError("fleet")
    if not hmac.compare_digest(seal.mac(data[:-SEAL_SIZE]), data[-SEAL_SIZE:]):
        raise DatagramError("seal")
    return kind, *rest


def decode(data: bytes, seal: Seal) -> Message:
    """Check and decode a datagram. Raises DatagramError for what is no message of this fleet."""
    kind, birth, incarnation, seq, digest, flags, length = unseal(data, seal, HEADER, HEADER.size + 1)
    try:
        at = HEADER.size + length
        if not 0 < length <= MAX_NAME_BYTES or at > len(data) - SEAL_SIZE:
            raise ValueError("missing or truncated name")
        message = Message(Kind(kind), data[HEADER.size : at].decode(), birth, incarnation, seq, digest, flags)
        _unpack_fields(message, data[at:-SEAL_SIZE])
    except (ValueError, struct.error):
        raise DatagramError("form") from None
    return message


def _unpack_fields(message: Message, rest: bytes) -> None:
    at = 0
    while at + 2 <= len(rest):
        kind, length = rest[at], rest[at + 1]
        value = rest[at + 2 : at + 2 + length]
        if len(value) < length:
            raise ValueError("truncated field")
        at += 2 + length
        if kind == FIELD_ASK:
            message.ask = struct.unpack_from(">I", value)[0]
        elif kind == FIELD_ECHO:
            message.echo = struct.unpack_from(">I", value)[0]
        elif kind == FIELD_TARGET:
            message.target = value.decode()
        elif kind == FIELD_PROOF:
            message.proof = PROOF.unpack_from(value)
        elif kind == FIELD_SUMS:
            message.sums = struct.unpack_from(f">{BUCKETS}I", value)
        elif kind == FIELD_ENTRY:
            message.entries.append(_unpack_entry(value))

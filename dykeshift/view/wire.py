"""Datagrams between balancers, byte by byte; `docs/design/view.md` has the same as a table.

A datagram is at most 256 bytes, numbers are big-endian:

     0  version (1)                        20  digest of the sender's table, 8 bytes
     1  kind                               28  flags
     2  tag of the fleet's name, 2 bytes   29  length of the sender's name, then the name in UTF-8
     4  birth of the process, 4 bytes       .  fields: type, length, value
     8  incarnation, 8 bytes               -8  seal: BLAKE2s over all before it, keyed, personal to the fleet
    16  number of the datagram, 4 bytes

A reader drops a version that it does not know as a whole, a kind that it does not know as a whole, and
passes over fields that it does not know and over what stands behind the known part of a field. Any bytes at
all end in a message or in `Bad` with one of `REASONS`.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass, field
from enum import IntEnum

VERSION = 1
MOST = 256  # bytes in a datagram, by the platform's protocol
SEAL = 8
HEAD = struct.Struct(">BBHIQIQBB")
ENTRY = struct.Struct(">QIBHHBIHB")
PROOF = struct.Struct(">IQ")
BUCKETS = 16
NOBODY = 0xFFFF  # the number of a member that was told none
LONGEST_NAME = 64  # bytes: a name, a target and one entry always fit into one datagram
REASONS = ("size", "version", "fleet", "seal", "form")  # why a datagram is no message


class Kind(IntEnum):
    PING = 1  # owes an ACK where it asks
    ACK = 2
    PROBE_FOR = 3  # asks to probe `target` and to say how that went
    VIA = 4  # `target` answered somebody who was asked to probe it
    SYNC = 5  # sums of the sender's buckets
    NEWS = 6  # entries only


class State(IntEnum):
    """What is believed of a member. At one incarnation the later of these goes before the earlier."""

    ALIVE = 0
    SUSPECT = 1
    UNREACHABLE = 2  # silent for those who say so; it may be at work elsewhere
    DEAD = 3  # silent for longer than the lease of everybody
    LEFT = 4


class Bad(Exception):
    """These bytes are no message; `args[0]` is one of REASONS."""


@dataclass(frozen=True, slots=True)
class Entry:
    """What is told of one member."""

    name: str
    incarnation: int
    birth: int
    state: State = State.ALIVE
    number: int = NOBODY
    tier: int = 0  # addresses in its list of peers
    zone: int = 0
    settings: int = 0  # digest of the settings that it acts on
    program: int = 0  # version, major * 256 + minor


@dataclass(slots=True)
class Message:
    kind: Kind
    name: str
    birth: int
    incarnation: int
    seq: int
    digest: int
    flags: int = 0
    ask: int = 0  # a token that the answer has to carry; 0: nothing is asked
    echo: int = 0  # the token that this answers
    target: str = ""
    proof: tuple[int, int] = (0, 0)  # birth and incarnation that `target` answered with
    sums: tuple[int, ...] = ()
    entries: list[Entry] = field(default_factory=list)


ASK, ECHO, TARGET, MEMBER, SUMS, OF = 1, 2, 3, 4, 5, 6
REPLY, BULK = 1, 2  # flags: a SYNC that answers one; entries that an answer to sums brings
HOLDS = 4  # a flag: its sender holds the lease, so that what it believes has been confirmed by more than half


class Seal:
    """Who belongs to a fleet: its name, and a key where one is shared."""

    def __init__(self, fleet: str, key: bytes = b"") -> None:
        """`key`: at most 32 bytes (BLAKE2s)."""
        name = hashlib.blake2s(fleet.encode()).digest()
        self.tag = int.from_bytes(name[:2], "big")
        self.person, self.key = name[:8], key

    def of(self, data: bytes) -> bytes:
        return hashlib.blake2s(data, digest_size=SEAL, key=self.key, person=self.person).digest()


def pack_entry(entry: Entry) -> bytes:
    name = entry.name.encode()
    body = (
        ENTRY.pack(
            entry.incarnation,
            entry.birth,
            entry.state,
            entry.number,
            entry.tier,
            entry.zone,
            entry.settings,
            entry.program,
            len(name),
        )
        + name
    )
    return bytes((MEMBER, len(body))) + body


def _unpack_entry(value: bytes) -> Entry:
    incarnation, birth, state, number, tier, zone, settings, program, length = ENTRY.unpack_from(value)
    name = value[ENTRY.size : ENTRY.size + length]
    if not 0 < length <= LONGEST_NAME or len(name) < length:
        raise ValueError("a name is cut off")
    return Entry(name.decode(), incarnation, birth, State(state), number, tier, zone, settings, program)


def encode(message: Message, seal: Seal, packed: list[bytes] | None = None) -> bytes:
    """`packed`: entries that are packed already, after the message's own. What does not fit is left out."""
    name = message.name.encode()
    parts = [
        HEAD.pack(
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
        parts.append(struct.pack(">BBI", ASK, 4, message.ask))
    if message.echo:
        parts.append(struct.pack(">BBI", ECHO, 4, message.echo))
    if message.target:
        target = message.target.encode()
        parts.append(bytes((TARGET, len(target))) + target)
    if message.proof[0]:
        parts.append(bytes((OF, PROOF.size)) + PROOF.pack(*message.proof))
    if message.sums:
        parts.append(bytes((SUMS, 4 * BUCKETS)) + struct.pack(f">{BUCKETS}I", *message.sums))
    size = sum(map(len, parts)) + SEAL
    for one in [pack_entry(entry) for entry in message.entries] + (packed or []):
        if size + len(one) <= MOST:
            parts.append(one)
            size += len(one)
    data = b"".join(parts)
    return data + seal.of(data)


def room(name: str) -> int:
    """Bytes for entries in a message of this sender that asks and answers."""
    return MOST - SEAL - HEAD.size - len(name.encode()) - 12


def unseal(data: bytes, seal: Seal, head: struct.Struct, least: int) -> tuple[int, ...]:
    """The head's fields behind version and fleet: the kind, and the rest. `least`: bytes before the seal.

    Heads begin with version, kind and tag. Raises Bad for what is no datagram of this fleet.
    """
    if not least + SEAL <= len(data) <= MOST:
        raise Bad("size")
    version, kind, tag, *rest = head.unpack_from(data)
    if version != VERSION:
        raise Bad("version")
    if tag != seal.tag:
        raise Bad("fleet")
    if not hmac.compare_digest(seal.of(data[:-SEAL]), data[-SEAL:]):
        raise Bad("seal")
    return kind, *rest


def decode(data: bytes, seal: Seal) -> Message:
    """Raises Bad for whatever is no message of this fleet."""
    kind, birth, incarnation, seq, digest, flags, length = unseal(data, seal, HEAD, HEAD.size + 1)
    try:
        at = HEAD.size + length
        if not 0 < length <= LONGEST_NAME or at > len(data) - SEAL:
            raise ValueError("no name")
        message = Message(Kind(kind), data[HEAD.size : at].decode(), birth, incarnation, seq, digest, flags)
        _fields(message, data[at:-SEAL])
    except (ValueError, struct.error):
        raise Bad("form") from None
    return message


def _fields(message: Message, rest: bytes) -> None:
    at = 0
    while at + 2 <= len(rest):
        kind, length = rest[at], rest[at + 1]
        value = rest[at + 2 : at + 2 + length]
        if len(value) < length:
            raise ValueError("a field is cut off")
        at += 2 + length
        if kind == ASK:
            message.ask = struct.unpack_from(">I", value)[0]
        elif kind == ECHO:
            message.echo = struct.unpack_from(">I", value)[0]
        elif kind == TARGET:
            message.target = value.decode()
        elif kind == OF:
            message.proof = PROOF.unpack_from(value)
        elif kind == SUMS:
            message.sums = struct.unpack_from(f">{BUCKETS}I", value)
        elif kind == MEMBER:
            message.entries.append(_unpack_entry(value))

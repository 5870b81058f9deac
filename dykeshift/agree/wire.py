"""Datagrams of the agreement, byte by byte; `docs/design/agree.md` has the same as a table.

A datagram is at most 256 bytes, numbers are big-endian:

     0  version (1)                        16  epoch: its number, 2 bytes, and who began it, 4 bytes
     1  kind (32 and more; less is the view's)  22  term, 4 bytes
     2  tag of the fleet's name, 2 bytes   26  the kind's own fields, then a chunk of bytes where it has one
     4  number of the sender, 2 bytes      -8  seal: BLAKE2s over all before it, keyed, personal to the fleet
     6  birth of the sender, 4 bytes
    10  flags (2 bytes)
    12  history, 4 bytes

A reader drops a version or a kind that it does not know as a whole. Any bytes at all end in a message or in
`Bad` with one of the view's REASONS. Nothing here has to be fresh: a promise of a sender (number and birth)
is
true for good, as a process that can't know what it promised takes another birth; what has to be fresh carries
a random token and is answered with it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from dykeshift.view.wire import MOST, SEAL, VERSION, Bad, Seal, unseal

HEADER = struct.Struct(">BBHHIHIHII")
NEXT_LAYER_KIND = 64  # kinds from here on are those of what is built on the agreement
NO_NUMBER = 0xFFFF  # of a process that was told none: it never has a seat
NO_AGE = 0xFFFFFFFF

Seat = tuple[int, int]  # number and birth: one process that may promise
Epoch = tuple[int, int, int]  # history, number, who began it


class Kind(IntEnum):
    APPEND = 32  # from the leader: its round, what is committed, one piece of an entry at most
    APPENDED = 33
    PREVOTE = 34  # whether a vote would be given; promises nothing
    PREVOTED = 35
    VOTE = 36
    VOTED = 37
    NOW = 38  # the leader leaves: call an election at once
    ASK = 39  # what do you have? owes an ANSWER
    ANSWER = 40  # what is committed here, and how old that knowledge is; token 0: nobody asked
    FETCH = 41  # from here on, please
    PIECE = 42  # of a committed entry
    BASE = 43  # of the state that the log begins with
    PROPOSE = 44  # a piece of a proposal, to the leader
    PROPOSED = 45  # what became of it so far
    READ = 46  # what is committed now, by a quorum?
    READY = 47


# flags: knows no history; leaves; has a disk; end of a burst
BLANK, RETIRING, HAS_DISK, END_OF_BURST, YES = 1, 2, 4, 8, 16
LOST_ENTRIES = 32  # a flag: the receiver lacks what it said it had, and has to take another birth

FIELDS: dict[Kind, tuple[struct.Struct, tuple[str, ...]]] = {
    Kind.APPEND: (
        struct.Struct(">IIIIIBQIIQ"),
        ("token", "commit", "index", "prev", "of", "sort", "ident", "length", "offset", "chain"),
    ),
    Kind.APPENDED: (struct.Struct(">III"), ("token", "index", "offset")),
    Kind.PREVOTE: (struct.Struct(">IIII"), ("token", "index", "prev", "of")),
    Kind.PREVOTED: (struct.Struct(">I"), ("token",)),
    Kind.VOTE: (struct.Struct(">II"), ("index", "prev")),
    Kind.VOTED: (struct.Struct(">"), ()),
    Kind.NOW: (struct.Struct(">"), ()),
    Kind.ASK: (struct.Struct(">II"), ("token", "index")),
    Kind.ANSWER: (
        struct.Struct(">IIIIQHI"),
        ("token", "index", "commit", "of", "chain", "number", "birth"),
    ),
    Kind.FETCH: (struct.Struct(">IIII"), ("index", "offset", "prev", "length")),
    Kind.PIECE: (
        struct.Struct(">IIIBQIIQ"),
        ("commit", "index", "of", "sort", "ident", "length", "offset", "chain"),
    ),
    Kind.BASE: (struct.Struct(">IIIQ"), ("index", "length", "offset", "chain")),
    Kind.PROPOSE: (struct.Struct(">QIIIQ"), ("ident", "of", "length", "offset", "chain")),
    Kind.PROPOSED: (struct.Struct(">QIB"), ("ident", "offset", "sort")),
    Kind.READ: (struct.Struct(">I"), ("token",)),
    Kind.READY: (struct.Struct(">II"), ("token", "index")),
}
CHUNKED = (Kind.APPEND, Kind.PIECE, Kind.BASE, Kind.PROPOSE)
CHUNK = MOST - SEAL - HEADER.size - max(FIELDS[kind][0].size for kind in CHUNKED)  # bytes that always fit


@dataclass(slots=True)
class Message:
    """`prev`: the term at the index before (APPEND), of the last entry (votes), or an index of a base
    (FETCH).
    `of`: the term of the entry, an age in milliseconds (ANSWER), the version that a proposal builds on."""

    kind: Kind
    sender: Seat
    epoch: Epoch
    term: int
    flags: int = 0
    token: int = 0
    index: int = 0
    commit: int = 0
    prev: int = 0
    of: int = 0
    sort: int = 0
    ident: int = 0
    length: int = 0
    offset: int = 0
    chain: int = 0
    number: int = NO_NUMBER
    birth: int = 0
    chunk: bytes = field(default=b"")


def encode(message: Message, seal: Seal) -> bytes:
    layout, names = FIELDS[message.kind]
    head = HEADER.pack(
        VERSION, message.kind, seal.tag, *message.sender, message.flags, *message.epoch, message.term
    )
    data = head + layout.pack(*(getattr(message, name) for name in names)) + message.chunk
    if len(data) + SEAL > MOST:
        raise ValueError(f"{len(data) + SEAL} bytes are no datagram")
    return data + seal.of(data)


def is_ours(data: bytes) -> bool:
    """Whether a datagram on the balancers' port is of the agreement; before are the view's kinds, behind
    others'."""
    return len(data) > 1 and Kind.APPEND <= data[1] < NEXT_LAYER_KIND


def decode(data: bytes, seal: Seal) -> Message:
    """Raises Bad for whatever is no message of this fleet."""
    kind, number, birth, flags, history, epoch, founder, term = unseal(data, seal, HEADER, HEADER.size)
    try:
        known = Kind(kind)
        layout, names = FIELDS[known]
        values = layout.unpack_from(data[:-SEAL], HEADER.size)
    except (ValueError, struct.error):
        raise Bad("form") from None
    message = Message(
        known,
        (number, birth),
        (history, epoch, founder),
        term,
        flags,
        **dict(zip(names, values, strict=True)),
    )
    if known in CHUNKED:
        message.chunk = data[HEADER.size + layout.size : -SEAL]
        if message.offset + len(message.chunk) > message.length:
            raise Bad("form")
    return message

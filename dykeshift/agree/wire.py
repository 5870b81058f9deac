"""The datagrams of consensus, byte by byte; `docs/design/agree.md` has the same as a table.

A datagram is at most 256 bytes, numbers are big-endian:

     0  version (1)                              16  epoch: number, 2 bytes, and incarnation of its founder, 4
     1  kind (from 32; lower ones: the view)     22  term, 4 bytes
     2  tag of the fleet's name, 2 bytes         26  fields of the kind, then its chunk, if it has one
     4  number of the sender, 2 bytes            -8  MAC: BLAKE2s over all before it, keyed, with the fleet's
     6  incarnation of the sender, 4 bytes           name as personalization
    10  flags, 2 bytes
    12  history, 4 bytes

A reader drops a datagram of an unknown version or kind. Any input results in a message or in `DatagramError`
with one of the view's REASONS. Datagrams are not protected against replay as such: a vote or an
acknowledgement of a sender (number and incarnation) stays true for good, as a process that cannot know which
ones it gave takes another incarnation. What has to be fresh carries a random token and is answered with it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from dykeshift.view.wire import MAX_DATAGRAM, SEAL_SIZE, VERSION, DatagramError, Seal, unseal

HEADER = struct.Struct(">BBHHIHIHII")
NEXT_LAYER_KIND = 64  # kinds from here on belong to protocols built on consensus
NO_NUMBER = 0xFFFF  # of a process without a number: it never has a seat
NO_AGE = 0xFFFFFFFF  # the sender has no lease

Seat = tuple[int, int]  # number and incarnation of a process
Epoch = tuple[int, int, int]  # history, number, incarnation of the process that started it


class Kind(IntEnum):
    """The kinds of datagrams."""

    APPEND = 32  # append entries: round, commit index, at most one chunk of an entry
    APPENDED = 33
    PREVOTE = 34  # would you vote for me? binds nobody
    PREVOTED = 35
    VOTE = 36
    VOTED = 37
    NOW = 38  # from a leaving leader: start an election at once (timeout now)
    ASK = 39  # query for the status of a member
    ANSWER = 40  # commit index of the sender, and its age; token 0: unsolicited
    FETCH = 41  # request for committed entries from an index on
    PIECE = 42  # a chunk of a committed entry
    BASE = 43  # a chunk of the base (snapshot)
    PROPOSE = 44  # a chunk of a proposal, to the leader
    PROPOSED = 45  # bytes received of it, and its status
    READ = 46  # request for a read index that a quorum confirms
    READY = 47  # the read index


# flags: knows no history; is leaving; has a disk; last datagram of a burst; yes
BLANK, RETIRING, HAS_DISK, END_OF_BURST, YES = 1, 2, 4, 8, 16
LOST_ENTRIES = 32  # flag: the receiver lost entries that it acknowledged: it must change its incarnation

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
# Bytes of a chunk that fit into a datagram of any kind.
CHUNK = MAX_DATAGRAM - SEAL_SIZE - HEADER.size - max(FIELDS[kind][0].size for kind in CHUNKED)


@dataclass(slots=True)
class Message:
    """A datagram in decoded form; each kind uses the fields listed in FIELDS.

    `prev`: the term at the index before (APPEND), the term of the last entry (VOTE), or the index of a base
    (FETCH). `of`: the term of the entry (APPEND, PIECE) or of the last entry (PREVOTE), an age in
    milliseconds (ANSWER), the version that a proposal builds on (PROPOSE). `sort`: the kind of the entry, or
    the status of a proposal (PROPOSED). `chain`: the chain digest at the entry, or a digest of the whole
    (BASE, PROPOSE). `number` and `birth`: those of the leader (ANSWER).
    """

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
    """Pack and seal a message."""
    layout, names = FIELDS[message.kind]
    head = HEADER.pack(
        VERSION, message.kind, seal.tag, *message.sender, message.flags, *message.epoch, message.term
    )
    data = head + layout.pack(*(getattr(message, name) for name in names)) + message.chunk
    if len(data) + SEAL_SIZE > MAX_DATAGRAM:
        raise ValueError(f"datagram of {len(data) + SEAL_SIZE} bytes exceeds the limit of {MAX_DATAGRAM}")
    return data + seal.mac(data)


def is_ours(data: bytes) -> bool:
    """Whether a datagram on the port of the balancers belongs to consensus.

    Lower kinds belong to the view, higher ones to protocols built on consensus.
    """
    return len(data) > 1 and Kind.APPEND <= data[1] < NEXT_LAYER_KIND


def decode(data: bytes, seal: Seal) -> Message:
    """Unpack a message; raises DatagramError if it is not a valid one of this fleet."""
    kind, number, birth, flags, history, epoch, founder, term = unseal(data, seal, HEADER, HEADER.size)
    try:
        known = Kind(kind)
        layout, names = FIELDS[known]
        values = layout.unpack_from(data[:-SEAL_SIZE], HEADER.size)
    except (ValueError, struct.error):
        raise DatagramError("form") from None
    message = Message(
        known,
        (number, birth),
        (history, epoch, founder),
        term,
        flags,
        **dict(zip(names, values, strict=True)),
    )
    if known in CHUNKED:
        message.chunk = data[HEADER.size + layout.size : -SEAL_SIZE]
        if message.offset + len(message.chunk) > message.length:
            raise DatagramError("form")
    return message

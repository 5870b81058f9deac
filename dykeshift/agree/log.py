"""The log: entries with terms that follow a base, a chain of digests over all entries, versions and seats.

An *index* counts all entries, a *version* only those that were proposed (changes). The base is the state at
an index, from which a process starts that lacks earlier entries. The `chain` digests of two logs at an index
are equal if and only if all entries up to it are.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from dykeshift.agree.seats import Seats
from dykeshift.agree.wire import Seat

MAX_RECENT_PROPOSALS = 256  # compacted proposals whose versions the base still lists


class Sort(IntEnum):
    """The kind of a log entry."""

    NOTHING = 0  # a leader's first entry: earlier ones are committed only with one of its term
    SEATS = 1  # a change of voters
    CHANGE = 2  # a proposal


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    term: int
    sort: int
    ident: int  # of the proposal; 0: not a proposal
    body: bytes


class Base(msgspec.Struct, frozen=True, array_like=True):
    """The state from which a log starts, as it is sent and persisted."""

    index: int = 0
    term: int = 0
    chain: int = 0
    version: int = 0
    wanted: int = 0  # number of voters aimed at
    now: tuple[Seat, ...] = ()
    before: tuple[Seat, ...] = ()
    state: bytes = b""  # snapshot of the state machine
    recent: tuple[tuple[int, int], ...] = ()  # (ident, version) of the last proposals, oldest first

    @property
    def seats(self) -> Seats:
        """The voters at the base."""
        return Seats(self.now, self.before)


_base_decoder = msgspec.msgpack.Decoder(Base)
_seats_decoder = msgspec.msgpack.Decoder(tuple[tuple[Seat, ...], tuple[Seat, ...]])


def pack_base(base: Base) -> bytes:
    """The base as bytes."""
    return msgspec.msgpack.encode(base)


def unpack_base(data: bytes) -> Base:
    """Decode a base; ValueError if the bytes are not one."""
    try:
        return _base_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise ValueError(str(exc)) from None


def pack_seats(seats: Seats) -> bytes:
    """The body of a SEATS entry."""
    return msgspec.msgpack.encode((seats.now, seats.previous))


def unpack_seats(data: bytes) -> Seats:
    """Decode the body of a SEATS entry; ValueError if the bytes are not one."""
    try:
        return Seats(*_seats_decoder.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise ValueError(str(exc)) from None


def digest(data: bytes) -> int:
    """Digest of 64 bits."""
    return int.from_bytes(hashlib.blake2s(data, digest_size=8).digest(), "big")


def chain_digest(chain: int, entry: Entry) -> int:
    """The chain digest at an entry, from the one before it."""
    head = chain.to_bytes(8, "big") + entry.term.to_bytes(4, "big") + bytes((entry.sort,))
    return digest(head + entry.ident.to_bytes(8, "big") + entry.body)


class Log:
    """The log of one process."""

    def __init__(self, base: Base) -> None:
        self.base = base
        self.entries: list[Entry] = []
        self.chains: list[int] = []
        self.versions: list[int] = []
        self.seat_changes: list[tuple[int, Seats]] = []  # (index, seats from there on)
        self.index_by_ident: dict[int, int] = {}  # index of each proposal
        self.base_proposals = dict(base.recent)  # versions of the proposals that the base lists

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def version(self) -> int:
        """Version of the last entry, committed or not."""
        return self.versions[-1] if self.versions else self.base.version

    @property
    def seats(self) -> Seats:
        """The latest voters, committed or not."""
        return self.seat_changes[-1][1] if self.seat_changes else self.base.seats

    @property
    def seats_index(self) -> int:
        """Index of the entry that set `seats`."""
        return self.seat_changes[-1][0] if self.seat_changes else self.base.index

    def holds(self, index: int) -> bool:
        """Whether the entry at this index is in the log, rather than compacted or missing."""
        return self.base.index < index <= self.last

    def entry(self, index: int) -> Entry:
        """The entry at an index that `holds`."""
        return self.entries[index - self.base.index - 1]

    def term_at(self, index: int) -> int | None:
        """Term at an index; None: not known here."""
        if index == self.base.index:
            return self.base.term
        return self.entry(index).term if self.holds(index) else None

    def chain_at(self, index: int) -> int | None:
        """Chain digest at an index; None: not known here."""
        if index == self.base.index:
            return self.base.chain
        return self.chains[index - self.base.index - 1] if self.holds(index) else None

    def version_at(self, index: int) -> int:
        """Version at an index; that of the base if the entry is not held."""
        return self.versions[index - self.base.index - 1] if self.holds(index) else self.base.version

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index; ValueError, and no change, if it is malformed."""
        seats = unpack_seats(entry.body) if entry.sort == Sort.SEATS else None
        index = self.last + 1
        self.chains.append(chain_digest(self.chains[-1] if self.chains else self.base.chain, entry))
        self.versions.append(self.version + (entry.sort == Sort.CHANGE))
        self.entries.append(entry)
        if seats is not None:
            self.seat_changes.append((index, seats))
        if entry.ident:
            self.index_by_ident[entry.ident] = index
        return index

    def truncate(self, index: int) -> None:
        """Remove the entry at this index and all after it."""
        for entry in self.entries[index - self.base.index - 1 :]:
            self.index_by_ident.pop(entry.ident, None)
        keep = index - self.base.index - 1
        del self.entries[keep:], self.chains[keep:], self.versions[keep:]
        while self.seat_changes and self.seat_changes[-1][0] >= index:
            self.seat_changes.pop()

    def base_at(self, index: int, state: bytes) -> Base:
        """The base for a log that starts at this committed index."""
        term, chain = self.term_at(index), self.chain_at(index)
        assert term is not None and chain is not None, "the index is not in the log"
        seats = self.base.seats
        for position, changed in self.seat_changes:
            seats = changed if position <= index else seats
        recent = dict(self.base_proposals)
        for position in range(self.base.index + 1, index + 1):
            entry = self.entry(position)
            if entry.ident:
                recent[entry.ident] = self.version_at(position)
        return Base(
            index,
            term,
            chain,
            self.version_at(index),
            self.base.wanted,
            seats.now,
            seats.previous,
            state,
            tuple(recent.items())[-MAX_RECENT_PROPOSALS:],
        )

    def reset_to_base(self, base: Base) -> None:
        """Start from a committed base; later entries stay if the log agrees with the base."""
        fits = self.chain_at(base.index) == base.chain
        rest = self.entries[base.index - self.base.index :] if fits else []
        self.__init__(base)  # type: ignore[misc]
        for entry in rest:
            self.append(entry)

    def committed_version(self, ident: int, commit: int) -> int | None:
        """The version of a proposal if it is committed.

        None: it is not, or it was compacted so long ago that it is no longer listed.
        """
        index = self.index_by_ident.get(ident)
        if index is not None:
            return self.version_at(index) if index <= commit else None
        return self.base_proposals.get(ident)

"""The log: entries with terms from a base on, a chain of digests over all that ever was, versions, seats.

An *index* counts all entries, a *version* those that somebody proposed. The base is the state at an index:
whoever is behind it begins with it. `chain` at an index is equal wherever all entries up to it are.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from dykeshift.agree.seats import Seats
from dykeshift.agree.wire import Seat

MAX_RECENT_PROPOSALS = (
    256  # proposals before the base of which it is still known at which version they were committed
)


class Sort(IntEnum):
    NOTHING = 0  # a leader's first, so that it knows what is committed
    SEATS = 1
    CHANGE = 2  # a proposal


@dataclass(frozen=True, slots=True)
class Entry:
    term: int
    sort: int
    ident: int  # of the proposal; 0 where it is none
    body: bytes


class Base(msgspec.Struct, frozen=True, array_like=True):
    """The state that a log begins with, as it is sent and kept."""

    index: int = 0
    term: int = 0
    chain: int = 0
    version: int = 0
    wanted: int = 0  # voters
    now: tuple[Seat, ...] = ()
    before: tuple[Seat, ...] = ()
    state: bytes = b""  # of whoever acts on the entries
    recent: tuple[tuple[int, int], ...] = ()  # proposals and their versions, oldest first

    @property
    def seats(self) -> Seats:
        return Seats(self.now, self.before)


_base_decoder = msgspec.msgpack.Decoder(Base)
_seats_decoder = msgspec.msgpack.Decoder(tuple[tuple[Seat, ...], tuple[Seat, ...]])


def pack_base(base: Base) -> bytes:
    return msgspec.msgpack.encode(base)


def unpack_base(data: bytes) -> Base:
    """ValueError where the bytes are none."""
    try:
        return _base_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise ValueError(str(exc)) from None


def pack_seats(seats: Seats) -> bytes:
    return msgspec.msgpack.encode((seats.now, seats.previous))


def unpack_seats(data: bytes) -> Seats:
    """ValueError where the bytes are none."""
    try:
        return Seats(*_seats_decoder.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise ValueError(str(exc)) from None


def digest(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2s(data, digest_size=8).digest(), "big")


def chain_digest(chain: int, entry: Entry) -> int:
    head = chain.to_bytes(8, "big") + entry.term.to_bytes(4, "big") + bytes((entry.sort,))
    return digest(head + entry.ident.to_bytes(8, "big") + entry.body)


class Log:
    def __init__(self, base: Base) -> None:
        self.base = base
        self.entries: list[Entry] = []
        self.chains: list[int] = []
        self.versions: list[int] = []
        self.seat_changes: list[tuple[int, Seats]] = []  # index, seats from there on
        self.index_by_ident: dict[int, int] = {}  # index of a proposal
        self.base_proposals = dict(base.recent)  # proposals that the base holds, and their versions

    @property
    def last(self) -> int:
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def version(self) -> int:
        """Of the last entry, committed or not."""
        return self.versions[-1] if self.versions else self.base.version

    @property
    def seats(self) -> Seats:
        """The latest, committed or not."""
        return self.seat_changes[-1][1] if self.seat_changes else self.base.seats

    @property
    def seats_index(self) -> int:
        return self.seat_changes[-1][0] if self.seat_changes else self.base.index

    def holds(self, index: int) -> bool:
        """Whether the entry itself is here."""
        return self.base.index < index <= self.last

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.base.index - 1]

    def term_at(self, index: int) -> int | None:
        """None: not known here."""
        if index == self.base.index:
            return self.base.term
        return self.entry(index).term if self.holds(index) else None

    def chain_at(self, index: int) -> int | None:
        if index == self.base.index:
            return self.base.chain
        return self.chains[index - self.base.index - 1] if self.holds(index) else None

    def version_at(self, index: int) -> int:
        return self.versions[index - self.base.index - 1] if self.holds(index) else self.base.version

    def append(self, entry: Entry) -> int:
        """ValueError where it is no entry; nothing has changed then."""
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
        """Forget the entry at this index and all behind it."""
        for entry in self.entries[index - self.base.index - 1 :]:
            self.index_by_ident.pop(entry.ident, None)
        keep = index - self.base.index - 1
        del self.entries[keep:], self.chains[keep:], self.versions[keep:]
        while self.seat_changes and self.seat_changes[-1][0] >= index:
            self.seat_changes.pop()

    def base_at(self, index: int, state: bytes) -> Base:
        """What a log from this committed index on begins with."""
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
        """Begin with a committed base; entries behind it stay where they follow from it."""
        fits = self.chain_at(base.index) == base.chain
        rest = self.entries[base.index - self.base.index :] if fits else []
        self.__init__(base)  # type: ignore[misc]
        for entry in rest:
            self.append(entry)

    def committed_version(self, ident: int, commit: int) -> int | None:
        """The version of a proposal, if it is committed; None: not, or so long ago that it is forgotten."""
        index = self.index_by_ident.get(ident)
        if index is not None:
            return self.version_at(index) if index <= commit else None
        return self.base_proposals.get(ident)

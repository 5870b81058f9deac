"""What all parts of the agreement share: who this is, the log, what goes out, what has to be kept first."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from dykeshift.agree.log import Base, Entry, Log, Sort
from dykeshift.agree.wire import NO_NUMBER, Epoch, Kind, Message, Seat, encode
from dykeshift.view.news import Budget
from dykeshift.view.table import Address
from dykeshift.view.wire import MOST, Seal

NO_EPOCH: Epoch = (0, 0, 0)  # of who knows no history
URGENT, REQUEST, MAINTENANCE, BULK = range(4)  # priorities
RESERVED_SHARE = {
    URGENT: 0.0,
    REQUEST: 0.1,
    MAINTENANCE: 0.2,
    BULK: 0.35,
}  # of the budget, kept for what is more urgent

Out = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class Options:
    """Times in nanoseconds; `datagrams` and `size` (bytes) are a second."""

    voters: int = 5
    beat: int = 200_000_000  # between two words of the leader
    lease: int = 10_000_000_000
    drift: float = 0.01  # the part by which one clock may run faster or slower
    replace: int = 60_000_000_000  # silence after which a voter's seat goes to another
    keep: int = 256  # entries that stay behind the committed end, at least
    datagrams: float = 100.0
    size: float = 20_000.0


@dataclass(frozen=True, slots=True)
class Event:
    """What consumers hear, in order: `committed` (version, ident, body), `installed` (a state up to version:
    entries before it were not seen singly), `role`, `leader`, `answer` (to a proposal), `read`, `lost`
    (versions
    after `version` of an abandoned history), `stranger` (another history under this fleet's name), `fenced`,
    `founded`, `forgotten` (this process can't know what it promised and takes another birth)."""

    kind: str
    version: int = 0
    ident: int = 0
    body: bytes = b""
    text: str = ""


class Machine(Protocol):
    """Who acts on the entries. No method may fail: entries are checked before they are proposed."""

    def apply(self, version: int, body: bytes) -> None: ...

    def snapshot(self) -> bytes: ...

    def restore(self, version: int, state: bytes) -> None: ...


class Latest:
    """A machine whose state is the last entry."""

    def __init__(self) -> None:
        self.version, self.body = 0, b""

    def apply(self, version: int, body: bytes) -> None:
        self.version, self.body = version, body

    def snapshot(self) -> bytes:
        return self.body

    def restore(self, version: int, state: bytes) -> None:
        self.version, self.body = version, state


# ("me", epoch, birth), ("heard", epoch), ("vote", term, seat), ("entry", Entry), ("cut", index),
# ("base", Base)
Record = tuple[Any, ...]


class Shared:
    def __init__(
        self,
        options: Options,
        seal: Seal,
        number: int | None,
        places: dict[int, Address],
        rng: Random,
        machine: Machine,
        disk: bool,
    ) -> None:
        self.options, self.seal, self.rng, self.machine = options, seal, rng, machine
        self.number = NO_NUMBER if number is None else number
        self.birth = rng.getrandbits(32) or 1
        self.places = dict(places)  # where each number lives
        self.alive: set[int] = set(places)  # numbers that the view holds for alive
        self.epoch = NO_EPOCH
        self.latest_epoch = NO_EPOCH  # the latest epoch of its history that it has heard of
        self.retiring = False
        self.log = Log(Base())
        self.commit = 0
        self.snapshot: Base | None = None  # the base of the next compaction
        self.budget = Budget(options.datagrams, options.size, RESERVED_SHARE)
        self.dropped: dict[str, int] = {}
        self.out: Out = []
        self.events: list[Event] = []
        self.disk = disk
        self.records: list[Record] = []
        self.written = 0  # records that were handed out to be kept
        self.pending_entries: deque[tuple[int, int]] = deque()  # record's number, index of the entry

    @property
    def me(self) -> Seat:
        return self.number, self.birth

    @property
    def blank(self) -> bool:
        return self.epoch == NO_EPOCH

    @property
    def fenced(self) -> bool:
        """A later epoch is known, and this process does not belong to it yet."""
        return self.latest_epoch[1:] > self.epoch[1:]

    def note_epoch(self, epoch: Epoch) -> None:
        self.latest_epoch = epoch
        self.persist("heard", epoch)

    # ---- sending ----

    def send(
        self,
        now: int,
        priority: int,
        to: int | Address,
        kind: Kind,
        term: int = 0,
        epoch: Epoch | None = None,
        **fields: Any,
    ) -> bool:
        """To a number or an address; within the budget, or not at all."""
        address = self.places.get(to) if isinstance(to, int) else to
        if address is None or not self.budget.allows(now, priority, MOST):
            self.drop("budget" if address is not None else "place")
            return False
        data = encode(
            Message(kind, self.me, self.epoch if epoch is None else epoch, term, **fields), self.seal
        )
        self.budget.spend(len(data))
        self.out.append((data, address))
        return True

    def drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def emit(self, kind: str, **fields: Any) -> None:
        self.events.append(Event(kind, **fields))

    # ---- what has to be kept ----

    def persist(self, *record: Any) -> None:
        if self.disk:
            self.records.append(record)
            self.written += 1

    def append(self, entry: Entry) -> int:
        index = self.log.append(entry)
        self.persist("entry", entry)
        if self.disk:
            self.pending_entries.append((self.written, index))
        return index

    def truncate(self, index: int) -> None:
        assert index > self.commit, "what is committed is never cut off"
        self.log.truncate(index)
        self.persist("cut", index)
        while self.pending_entries and self.pending_entries[-1][1] >= index:
            self.pending_entries.pop()

    def durable_index(self) -> int:
        """Up to which index this process may count its own copy."""
        return self.pending_entries[0][1] - 1 if self.pending_entries else self.log.last

    def on_persisted(self, number: int) -> None:
        while self.pending_entries and self.pending_entries[0][0] <= number:
            self.pending_entries.popleft()

    # ---- what is committed ----

    def advance(self, index: int) -> None:
        """All up to this index, which is in the log, is committed."""
        while self.commit < index:
            self.commit += 1
            entry = self.log.entry(self.commit)
            if entry.sort == Sort.CHANGE:
                version = self.log.version_at(self.commit)
                self.machine.apply(version, entry.body)
                self.emit("committed", version=version, ident=entry.ident, body=entry.body)
        self._compact()

    def _compact(self) -> None:
        """The log goes back to a base that is `keep` entries old, twice that at most."""
        if self.commit - (self.snapshot or self.log.base).index < self.options.keep:
            return
        if self.snapshot is not None:
            self.log.reset_to_base(self.snapshot)
            self.persist("base", self.snapshot)
        self.snapshot = self.log.base_at(self.commit, self.machine.snapshot())

    def install_base(self, base: Base, announce: bool = True) -> None:
        """Everything up to this base is committed, and known by its state only."""
        self.log.reset_to_base(base)
        self.commit, self.snapshot = base.index, None
        self.pending_entries = deque(
            (n, i) for n, i in self.pending_entries if i > base.index and i <= self.log.last
        )
        self.persist("base", base)
        self.machine.restore(base.version, base.state)
        if announce:
            self.emit("installed", version=base.version, body=base.state)

    def random_members(self, limit: int, excluded: Iterable[int] = ()) -> list[int]:
        """Numbers believed alive, at random."""
        eligible = [n for n in self.alive if n != self.number and n not in excluded and n in self.places]
        eligible.sort()
        return self.rng.sample(eligible, min(limit, len(eligible)))

"""The state that the parts of consensus share: identity, log, outgoing datagrams, records to persist."""

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
from dykeshift.view.wire import MAX_DATAGRAM, Seal

# Of a process that knows no history. Parts of an epoch: see `dykeshift.agree.wire.Epoch`.
NO_EPOCH: Epoch = (0, 0, 0)
URGENT, REQUEST, MAINTENANCE, BULK = range(4)  # priorities of datagrams, most urgent first
# Share of the budget that a datagram of this priority must leave for more urgent ones.
RESERVED_SHARE = {
    URGENT: 0.0,
    REQUEST: 0.1,
    MAINTENANCE: 0.2,
    BULK: 0.35,
}

Out = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class Options:
    """Times are in nanoseconds; `datagrams` and `size` (bytes) are limits per second."""

    voters: int = 5
    beat: int = 200_000_000  # interval of the leader's heartbeats
    lease: int = 10_000_000_000
    drift: float = 0.01  # relative rate error of a clock, at most
    replace: int = 60_000_000_000  # silence after which a voter's seat goes to another process
    keep: int = 256  # entries before the commit index that stay in the log, at least
    datagrams: float = 100.0
    size: float = 20_000.0


@dataclass(frozen=True, slots=True)
class Event:
    """A notification to consumers, in order.

    Kinds: `committed` (version, ident, body), `installed` (the state up to a version: entries before it were
    not delivered one by one), `role` (text: the new role), `leader` (text: its number), `answer`
    (to a proposal), `read`, `lost` (versions after `version` of an abandoned epoch), `stranger` (another
    history under this fleet's name), `fenced`, `founded` (this process started an epoch),
    `forgotten` (this process cannot know which votes and acknowledgements it gave, and takes another
    incarnation).
    """

    kind: str
    version: int = 0
    ident: int = 0
    body: bytes = b""
    text: str = ""


class Machine(Protocol):
    """The state machine that the committed changes are applied to.

    No method may fail: entries are checked before they are proposed.
    """

    def apply(self, version: int, body: bytes) -> None:
        """Apply the change that was committed as this version."""
        ...

    def snapshot(self) -> bytes:
        """The present state, as `restore` takes it."""
        ...

    def restore(self, version: int, state: bytes) -> None:
        """Replace the state by that of a snapshot at this version."""
        ...


class Latest:
    """A state machine whose state is the body of the last change."""

    def __init__(self) -> None:
        self.version, self.body = 0, b""

    def apply(self, version: int, body: bytes) -> None:
        """Keep the body."""
        self.version, self.body = version, body

    def snapshot(self) -> bytes:
        """The last body."""
        return self.body

    def restore(self, version: int, state: bytes) -> None:
        """Keep the state as the last body."""
        self.version, self.body = version, state


# A record to persist, one of: ("me", epoch, birth), ("heard", epoch), ("vote", term, seat), ("entry", Entry),
# ("cut", index), ("base", Base)
Record = tuple[Any, ...]


class Shared:
    """The state that the parts of consensus share."""

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
        self.places = dict(places)  # address of each number
        self.alive: set[int] = set(places)  # numbers that the membership view believes alive
        self.epoch = NO_EPOCH
        self.latest_epoch = NO_EPOCH  # the latest epoch of its history that it has heard of
        self.retiring = False  # whether this process is about to end; its messages say so
        self.log = Log(Base())
        self.commit = 0
        self.snapshot: Base | None = None  # the base of the next compaction
        self.budget = Budget(options.datagrams, options.size, RESERVED_SHARE)
        self.dropped: dict[str, int] = {}
        self.out: Out = []
        self.events: list[Event] = []
        self.disk = disk
        self.records: list[Record] = []
        self.written = 0  # number of records issued so far
        # Entries that are not durable yet: (number of the record, index).
        self.pending_entries: deque[tuple[int, int]] = deque()

    @property
    def me(self) -> Seat:
        """The identity of this process as a voter."""
        return self.number, self.birth

    @property
    def blank(self) -> bool:
        """Whether this process knows no history."""
        return self.epoch == NO_EPOCH

    @property
    def fenced(self) -> bool:
        """Whether a later epoch is known that this process does not belong to yet."""
        return self.latest_epoch[1:] > self.epoch[1:]

    def note_epoch(self, epoch: Epoch) -> None:
        """Remember a later epoch, durably."""
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
        """Queue a message to a number or an address.

        Returns False if the budget does not allow it or the address is not known.
        """
        address = self.places.get(to) if isinstance(to, int) else to
        if address is None or not self.budget.allows(now, priority, MAX_DATAGRAM):
            self.drop("budget" if address is not None else "place")
            return False
        data = encode(
            Message(kind, self.me, self.epoch if epoch is None else epoch, term, **fields), self.seal
        )
        self.budget.spend(len(data))
        self.out.append((data, address))
        return True

    def drop(self, reason: str) -> None:
        """Count a message that was not sent or not taken, by reason."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def emit(self, kind: str, **fields: Any) -> None:
        """Queue an event."""
        self.events.append(Event(kind, **fields))

    # ---- durable state ----

    def persist(self, *record: Any) -> None:
        """Queue a record, if there is a disk."""
        if self.disk:
            self.records.append(record)
            self.written += 1

    def append(self, entry: Entry) -> int:
        """Append an entry; it counts as durable once its record is.

        Raises ValueError as `Log.append` does.
        """
        index = self.log.append(entry)
        self.persist("entry", entry)
        if self.disk:
            self.pending_entries.append((self.written, index))
        return index

    def truncate(self, index: int) -> None:
        """Remove this index and all later ones, none of which is committed."""
        assert index > self.commit, "committed entries are never truncated"
        self.log.truncate(index)
        self.persist("cut", index)
        while self.pending_entries and self.pending_entries[-1][1] >= index:
            self.pending_entries.pop()

    def durable_index(self) -> int:
        """Up to which index the log of this process is durable."""
        return self.pending_entries[0][1] - 1 if self.pending_entries else self.log.last

    def on_persisted(self, number: int) -> None:
        """The first `number` records are durable."""
        while self.pending_entries and self.pending_entries[0][0] <= number:
            self.pending_entries.popleft()

    # ---- commitment ----

    def advance(self, index: int) -> None:
        """Commit all up to this index, which is in the log."""
        while self.commit < index:
            self.commit += 1
            entry = self.log.entry(self.commit)
            if entry.sort == Sort.CHANGE:
                version = self.log.version_at(self.commit)
                self.machine.apply(version, entry.body)
                self.emit("committed", version=version, ident=entry.ident, body=entry.body)
        self._compact()

    def _compact(self) -> None:
        """Keep at least `keep` entries before the commit index in the log, and about twice that at most."""
        if self.commit - (self.snapshot or self.log.base).index < self.options.keep:
            return
        if self.snapshot is not None:
            self.log.reset_to_base(self.snapshot)
            self.persist("base", self.snapshot)
        self.snapshot = self.log.base_at(self.commit, self.machine.snapshot())

    def install_base(self, base: Base, announce: bool = True) -> None:
        """Take over a base: all up to it is committed, and known only by its state.

        `announce`: whether to emit `installed`.
        """
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
        """Numbers believed alive, drawn at random."""
        eligible = [n for n in self.alive if n != self.number and n not in excluded and n in self.places]
        eligible.sort()
        return self.rng.sample(eligible, min(limit, len(eligible)))

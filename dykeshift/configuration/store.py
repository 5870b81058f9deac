"""The configuration that all members have alike: resources by key, and the transactions that change them.

Theory of operation. The log's entries are transactions and their phases (`transactions.py`). Entry by entry
the store decides by its own state alone: a transaction that fits takes its keys, goes through its phases and
is written whole by one entry; one that does not is refused whole, and the last good state stays. Transactions
of different keys are under way side by side; one that touches the keys of another, or names what it writes,
or writes what it names, is refused with `Cause.CONFLICT` until that one has come to its end.

How long a phase has to last is not the store's business: it has no clock.

Promises:
 1. Applying an entry never fails; one that does not fit changes nothing but the version and its own outcome.
 2. Two stores that have applied the same entries have the same state, byte by byte; so has one that was
    restored from a snapshot.
 3. A transaction is in force whole, by one version, or not at all.
 4. A guarded key's new body is in force only by a version later than one by which it was in its joint phase.
 5. What is kept grows with the live resources alone: tombstones, outcomes and deletion counts are bounded.
"""

from __future__ import annotations

import zlib
from collections import Counter, deque
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from dykeshift.configuration.index import MOST_TOMBSTONES, ResourceIndex, TableName
from dykeshift.configuration.meets import NAMES_WITH_A_MEANING, guarded
from dykeshift.configuration.references import ReferenceIndex, references
from dykeshift.configuration.resources import (
    Body,
    ClassTerms,
    Joint,
    Key,
    Kind,
    Resource,
    decode_body,
    services,
)
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.transactions import (
    LONGEST_REASON,
    Advance,
    Outcome,
    Pending,
    Phase,
    Transaction,
    decode_entry,
)
from dykeshift.configuration.validation import (
    DELETION_WINDOW,
    Cause,
    Objection,
    Running,
    find_objection,
)

COMPRESSION = 1  # of snapshots: zlib's level
ZLIB_HEADER = b"\x78"  # the first byte of what is compressed; no plain snapshot begins with it
MOST_STATE_BYTES = 64_000_000  # of a snapshot, decompressed
MOST_OUTCOMES = 1024  # of the last transactions that were decided


class Deletions(Struct, frozen=True, array_like=True):
    """What one version deleted of a kind: how many established ones, and how many there were before."""

    version: int
    kind: Kind
    count: int
    before: int


class State(Struct, array_like=True):
    """All of it, as it is kept and sent. Resources and tombstones in the order of versions."""

    compacted: int = 0
    resources: list[Resource] = []
    tombstones: list[tuple[TableName, Resource]] = []
    pending: list[Pending] = []
    outcomes: list[Outcome] = []
    deletions: list[Deletions] = []


_state_encoder = msgspec.msgpack.Encoder()
_state_decoder = msgspec.msgpack.Decoder(State)


def encode_state(state: State) -> bytes:
    """A snapshot's bytes."""
    return zlib.compress(_state_encoder.encode(state), COMPRESSION)


def decode_state(data: bytes) -> State:
    """A snapshot, compressed or plain; an error of zlib or msgspec where it is none."""
    if data[:1] == ZLIB_HEADER:
        data = zlib.decompressobj().decompress(data, MOST_STATE_BYTES)
    return _state_decoder.decode(data)


class ConfigStore:
    """The configuration as of `version`; a state machine of the log."""

    def __init__(
        self, most_tombstones: int = MOST_TOMBSTONES, deletion_window: int = DELETION_WINDOW
    ) -> None:
        """Both bounds decide what is refused or guarded: they have to be the same on every member."""
        self.version = 0
        self.deletion_window = deletion_window
        self.unknown_entries = 0  # entries of this process's log that are nobody's transaction
        self._reset(most_tombstones)

    def _reset(self, most_tombstones: int) -> None:
        self.index = ResourceIndex(most_tombstones)
        self.referrers = ReferenceIndex()
        self.pending: dict[int, Pending] = {}
        self.outcomes: dict[int, Outcome] = {}  # by ident, oldest first
        self.deletions: deque[Deletions] = deque()
        self.counts: Counter[Kind] = Counter()
        self._writers: dict[Key, int] = {}  # keys that transactions under way write
        self._readers: dict[Key, dict[int, None]] = {}  # keys that they name

    # ---- the state machine ----

    def apply(self, version: int, body: bytes) -> None:
        """One entry of the log; never fails."""
        self.version = version
        entry = decode_entry(body)
        if isinstance(entry, Transaction):
            self._begin(entry)
        elif isinstance(entry, Advance):
            self._advance(entry)
        else:
            self.unknown_entries += 1

    def snapshot(self) -> bytes:
        """The whole state, compressed: a piece of the log's transfer may have a megabyte."""
        state = State(
            self.index.compacted,
            list(self.index.live()),
            self.index.tombstones_since(0),
            list(self.pending.values()),
            list(self.outcomes.values()),
            list(self.deletions),
        )
        return encode_state(state)

    def restore(self, version: int, state: bytes) -> None:
        """Begin anew with a snapshot; bytes that are none leave an empty store."""
        self._reset(self.index.most_tombstones)
        self.version = version
        try:
            kept = decode_state(state)
        except (zlib.error, msgspec.DecodeError, msgspec.ValidationError):
            return
        self.index.merge(kept.resources, kept.tombstones)
        self.index.compacted = kept.compacted
        for resource in kept.resources:
            self._count(resource.key, None, self.body(resource.key))
        for pending in kept.pending:
            self._take(pending)
        self.outcomes = {outcome.ident: outcome for outcome in kept.outcomes}
        self.deletions = deque(kept.deletions)

    # ---- what can be asked ----

    def get(self, key: Key) -> Resource | None:
        """The live resource of a key."""
        return self.index.get(key)

    def body(self, key: Key) -> Body | None:
        """The body in force of a key."""
        held = self.index.get(key)
        return decode_body(key.kind, held.body) if held is not None and held.body is not None else None

    def scoped(self, scope: Scope) -> tuple[Resource, ...]:
        """All live resources of a scope in the order of versions."""
        return self.index.scoped(scope)

    def changes_since(self, version: int, scope: Scope) -> tuple[Resource, ...]:
        """The latest state of what has changed in a scope, tombstones too, in the order of versions;
        CompactedError where `snapshot_needed(version)`."""
        return self.index.changes_since(version, scope)

    def snapshot_needed(self, version: int) -> bool:
        """Whether the changes since a version are not known any more."""
        return self.index.snapshot_needed(version)

    def digest(self, scope: Scope) -> int:
        """A number that tells what a scope holds, whatever the way there."""
        return self.index.digest(scope)

    def outcome(self, ident: int) -> Outcome | None:
        """What became of a transaction; None: it is under way, unknown, or long ago."""
        return self.outcomes.get(ident)

    def objection(self, transaction: Transaction, running: Running | None = None) -> Objection | None:
        """Why it would change nothing now; None where it would. `running`: the servers that run, by service,
        as far as the asker knows (the store's own decision knows of none)."""
        return find_objection(self, transaction, running)

    # ---- what validation asks ----

    def holder(self, key: Key) -> int | None:
        """The transaction under way that writes a key."""
        return self._writers.get(key)

    def reader(self, key: Key) -> int | None:
        """A transaction under way that names a key, with its old bodies or its new ones."""
        return next(iter(self._readers.get(key, ())), None)

    def decided(self, ident: int) -> bool:
        """Whether this transaction is under way, or was decided lately."""
        return ident in self.pending or ident in self.outcomes

    def count(self, kind: Kind) -> int:
        """Resources of a kind that are in force."""
        return self.counts[kind]

    def established(self, key: Key) -> bool:
        """Whether a resource was not written within `deletion_window` versions."""
        held = self.index.get(key)
        return held is not None and held.version <= self.version - self.deletion_window

    def deleted_lately(self, kind: Kind) -> int:
        """How many established ones of a kind were deleted within `deletion_window` versions."""
        return sum(one.count for one in self._lately(kind))

    def most_lately(self, kind: Kind) -> int:
        """The most of a kind that there were within `deletion_window` versions."""
        return max([self.counts[kind], *(one.before for one in self._lately(kind))])

    def _lately(self, kind: Kind) -> Iterator[Deletions]:
        first = self.version - self.deletion_window
        return (one for one in self.deletions if one.kind is kind and one.version > first)

    # ---- transactions ----

    def _begin(self, transaction: Transaction) -> None:
        objection = find_objection(self, transaction)
        if objection is not None:
            if objection.cause is not Cause.DUPLICATE:
                text = f"{objection.cause.value}: {objection.text}"
                self._end(transaction.ident, Phase.REFUSED, text)
            return
        keys = tuple(self._guarded_keys(transaction))
        if keys or transaction.checked:
            self._take(Pending(transaction, Phase.PREPARED, self.version, keys))
        else:
            self._commit(transaction)
            self._end(transaction.ident, Phase.COMMITTED)

    def _advance(self, advance: Advance) -> None:
        pending = self.pending.get(advance.ident)
        if pending is None:
            return
        if advance.phase is Phase.JOINT:
            if pending.phase is Phase.PREPARED and pending.guarded:
                self._enter_joint(pending)
        elif advance.phase is Phase.COMMITTED:
            if pending.phase is (Phase.JOINT if pending.guarded else Phase.PREPARED):
                self._release(pending)
                self._commit(pending.transaction)
                self._end(advance.ident, Phase.COMMITTED)
        elif advance.phase is Phase.ABORTED:
            self._abort(pending, advance.reason)

    def _guarded_keys(self, transaction: Transaction) -> Iterator[Key]:
        bodies = _bodies_after(transaction)

        def new_class(name: str) -> ClassTerms | None:
            key = Key(Kind.CLASS, name)
            return _as_class(bodies[key] if key in bodies else self.body(key))

        def old_class(name: str) -> ClassTerms | None:
            return _as_class(self.body(Key(Kind.CLASS, name)))

        for key, body in bodies.items():
            old = self.body(key)
            if guarded(key, old, body, old_class, new_class) or (old is None and self._meant_before(key)):
                yield key

    def _meant_before(self, key: Key) -> bool:
        """Whether a name may have meant something else, on which somebody who lags may still act."""
        forgotten = self.index.compacted > 0
        return key.kind in NAMES_WITH_A_MEANING and (forgotten or self.index.was_deleted(key))

    def _take(self, pending: Pending) -> None:
        """Its keys, and those that they name, are taken."""
        ident = pending.transaction.ident
        self.pending[ident] = pending
        for key in pending.transaction.written_keys():
            self._writers[key] = ident
        for target in self._named_by(pending.transaction):
            self._readers.setdefault(target, {})[ident] = None

    def _release(self, pending: Pending) -> None:
        ident = pending.transaction.ident
        del self.pending[ident]
        for key in pending.transaction.written_keys():
            del self._writers[key]
        for target in self._named_by(pending.transaction):
            readers = self._readers[target]
            readers.pop(ident, None)
            if not readers:
                del self._readers[target]

    def _named_by(self, transaction: Transaction) -> set[Key]:
        """What its old and its new bodies name; its keys are taken, so it stays the same until its end."""
        bodies = list(_bodies_after(transaction).values())
        bodies += [self.body(key) for key in transaction.written_keys()]
        return {target for body in bodies if body is not None for target in references(body)}

    def _enter_joint(self, pending: Pending) -> None:
        ident = pending.transaction.ident
        coming = {put.key: put.body for put in pending.transaction.puts}
        self.pending[ident] = msgspec.structs.replace(pending, phase=Phase.JOINT, since=self.version)
        for key in pending.guarded:
            held = self.index.get(key)
            body = held.body if held is not None else None
            self.index.write(Resource(key, self.version, body, Joint(coming.get(key))))

    def _commit(self, transaction: Transaction) -> None:
        for kind in sorted({key.kind for key in transaction.deletes}):
            established = [k for k in transaction.deletes if k.kind is kind and self.established(k)]
            self.deletions.append(Deletions(self.version, kind, len(established), self.counts[kind]))
        while self.deletions and self.deletions[0].version <= self.version - self.deletion_window:
            self.deletions.popleft()
        for put in transaction.puts:
            self._write(put.key, put.body)
        for key in transaction.deletes:
            self._write(key, None)

    def _abort(self, pending: Pending, reason: str) -> None:
        self._release(pending)
        if pending.phase is Phase.JOINT:
            for key in pending.guarded:
                held = self.index.get(key)
                self._write(key, held.body if held is not None else None)
        self._end(pending.transaction.ident, Phase.ABORTED, reason)

    def _write(self, key: Key, data: bytes | None) -> None:
        """This body alone from this version on; None: deleted."""
        held, old = self.index.get(key), self.body(key)
        concerned = services(held) if held is not None else ()
        if data is None:
            self.index.write(Resource(key, self.version, None, concerned=concerned))
        else:
            self.index.write(Resource(key, self.version, data))
        self._count(key, old, self.body(key))

    def _count(self, key: Key, old: Body | None, new: Body | None) -> None:
        self.counts[key.kind] += (new is not None) - (old is not None)
        if old is not None:
            self.referrers.remove(key, old)
        if new is not None:
            self.referrers.add(key, new)

    def _end(self, ident: int, phase: Phase, reason: str = "") -> None:
        self.outcomes[ident] = Outcome(ident, phase, self.version, reason[:LONGEST_REASON])
        while len(self.outcomes) > MOST_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]


def _bodies_after(transaction: Transaction) -> dict[Key, Body | None]:
    """What a transaction that was looked at makes of its keys."""
    bodies: dict[Key, Body | None] = {
        put.key: decode_body(put.key.kind, put.body) for put in transaction.puts
    }
    return bodies | dict.fromkeys(transaction.deletes)


def _as_class(body: Body | None) -> ClassTerms | None:
    return body if isinstance(body, ClassTerms) else None

"""The configuration store, a deterministic state machine of the replicated log: resources and transactions.

Theory of operation. The entries of the log are transactions and their phase changes (`transactions.py`). The
store decides each entry by its own state alone. A valid transaction reserves its keys, goes through its
phases and is committed atomically by one entry; an invalid one is refused as a whole and changes no resource.
Transactions on different keys can be pending at the same time. A transaction that writes a key which a
pending one writes or references, or expects or references a key which a pending one writes, is refused with
`Cause.CONFLICT` until the pending one ends.

The store has no clock; `coordinator.py` decides how long a phase lasts.

Invariants:
 1. Applying an entry never fails; an invalid one changes only the version and its own outcome.
 2. Two stores that have applied the same entries have the same state, byte for byte; so does a store that was
    restored from a snapshot.
 3. A transaction takes effect atomically, at one version, or not at all.
 4. The new body of a guarded key comes into force only at a version later than the one that began its joint
    phase.
 5. Memory is bounded by the number of live resources: tombstones, outcomes and deletion counts have limits.
"""

from __future__ import annotations

import zlib
from collections import Counter, deque
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from dykeshift.configuration.index import MOST_TOMBSTONES, ResourceIndex, TableName
from dykeshift.configuration.meets import KINDS_WITH_REUSABLE_NAMES, guarded
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
    RunningServers,
    find_objection,
)

COMPRESSION = 1  # zlib level of snapshots
ZLIB_HEADER = b"\x78"  # first byte of a compressed snapshot; no uncompressed one begins with it
MAX_STATE_BYTES = 64_000_000  # limit for a decompressed snapshot
MOST_OUTCOMES = 1024  # outcomes that are remembered, the latest ones


class Deletions(Struct, frozen=True, array_like=True):
    """Deletions of a kind by one version: `count` established resources out of `before` in force."""

    version: int
    kind: Kind
    count: int
    before: int


class State(Struct, array_like=True):
    """The content of a snapshot. Resources and tombstones are in version order."""

    compacted: int = 0
    resources: list[Resource] = []
    tombstones: list[tuple[TableName, Resource]] = []
    pending: list[Pending] = []
    outcomes: list[Outcome] = []
    deletions: list[Deletions] = []


_state_encoder = msgspec.msgpack.Encoder()
_state_decoder = msgspec.msgpack.Decoder(State)


def encode_state(state: State) -> bytes:
    """Encode and compress a snapshot."""
    return zlib.compress(_state_encoder.encode(state), COMPRESSION)


def decode_state(data: bytes) -> State:
    """Decode a snapshot, compressed or not; raises an error of zlib or msgspec if it is malformed."""
    if data[:1] == ZLIB_HEADER:
        data = zlib.decompressobj().decompress(data, MAX_STATE_BYTES)
    return _state_decoder.decode(data)


class ConfigStore:
    """The configuration as of `version`, the log index of the last applied entry."""

    def __init__(
        self, most_tombstones: int = MOST_TOMBSTONES, deletion_window: int = DELETION_WINDOW
    ) -> None:
        """Both limits affect what is refused or guarded, so they must be the same on every member."""
        self.version = 0
        self.deletion_window = deletion_window
        self.unknown_entries = 0  # log entries applied by this process that do not decode
        self._reset(most_tombstones)

    def _reset(self, most_tombstones: int) -> None:
        self.index = ResourceIndex(most_tombstones)
        self.referrers = ReferenceIndex()
        self.pending: dict[int, Pending] = {}
        self.outcomes: dict[int, Outcome] = {}  # by ident, oldest first
        self.deletions: deque[Deletions] = deque()
        self.counts: Counter[Kind] = Counter()
        self._writers: dict[Key, int] = {}  # keys written by pending transactions
        self._readers: dict[Key, dict[int, None]] = {}  # keys that they reference; idents in order

    # ---- the state machine ----

    def apply(self, version: int, body: bytes) -> None:
        """Apply one entry of the log; never fails."""
        self.version = version
        entry = decode_entry(body)
        if isinstance(entry, Transaction):
            self._begin(entry)
        elif isinstance(entry, Advance):
            self._advance(entry)
        else:
            self.unknown_entries += 1

    def snapshot(self) -> bytes:
        """The whole state, compressed, since the log transfers snapshots in pieces of at most a megabyte."""
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
        """Replace the state by a snapshot; a malformed one leaves an empty store."""
        self._reset(self.index.most_tombstones)
        self.version = version
        try:
            kept = decode_state(state)
        except (zlib.error, msgspec.DecodeError, msgspec.ValidationError):
            return
        self.index.merge(kept.resources, kept.tombstones)
        self.index.compacted = kept.compacted
        for resource in kept.resources:
            self._update_counts(resource.key, None, self.body(resource.key))
        for pending in kept.pending:
            self._reserve_keys(pending)
        self.outcomes = {outcome.ident: outcome for outcome in kept.outcomes}
        self.deletions = deque(kept.deletions)

    # ---- queries ----

    def get(self, key: Key) -> Resource | None:
        """The live resource of a key."""
        return self.index.get(key)

    def body(self, key: Key) -> Body | None:
        """The body of a key that is in force."""
        held = self.index.get(key)
        return decode_body(key.kind, held.body) if held is not None and held.body is not None else None

    def scoped(self, scope: Scope) -> tuple[Resource, ...]:
        """All live resources of a scope in version order."""
        return self.index.scoped(scope)

    def changes_since(self, version: int, scope: Scope) -> tuple[Resource, ...]:
        """The latest state of each resource of a scope that changed since a version, including tombstones, in
        version order; raises CompactedError if `snapshot_needed(version)`."""
        return self.index.changes_since(version, scope)

    def snapshot_needed(self, version: int) -> bool:
        """Whether changes since a version may have been compacted away."""
        return self.index.snapshot_needed(version)

    def digest(self, scope: Scope) -> int:
        """A digest of the live resources of a scope, independent of their history."""
        return self.index.digest(scope)

    def outcome(self, ident: int) -> Outcome | None:
        """The outcome of a transaction; None: it is pending, unknown, or no longer remembered."""
        return self.outcomes.get(ident)

    def objection(self, transaction: Transaction, running: RunningServers | None = None) -> Objection | None:
        """Why a transaction cannot begin now; None: it can. `running`: the running servers that the caller
        knows of, by service (when the store applies an entry it knows of none)."""
        return find_objection(self, transaction, running)

    # ---- queries of validation (CurrentState) ----

    def pending_writer(self, key: Key) -> int | None:
        """The pending transaction that writes a key."""
        return self._writers.get(key)

    def pending_reader(self, key: Key) -> int | None:
        """A pending transaction whose old or new bodies reference a key."""
        return next(iter(self._readers.get(key, ())), None)

    def decided(self, ident: int) -> bool:
        """Whether this transaction is pending or has a remembered outcome."""
        return ident in self.pending or ident in self.outcomes

    def count(self, kind: Kind) -> int:
        """The number of resources of a kind that are in force."""
        return self.counts[kind]

    def established(self, key: Key) -> bool:
        """Whether a resource exists and was last written before the deletion window."""
        held = self.index.get(key)
        return held is not None and held.version <= self.version - self.deletion_window

    def recently_deleted(self, kind: Kind) -> int:
        """How many established resources of a kind were deleted within the deletion window."""
        return sum(one.count for one in self._recent_deletions(kind))

    def recent_maximum(self, kind: Kind) -> int:
        """The largest number of resources of a kind within the deletion window."""
        return max([self.counts[kind], *(one.before for one in self._recent_deletions(kind))])

    def _recent_deletions(self, kind: Kind) -> Iterator[Deletions]:
        first = self.version - self.deletion_window
        return (one for one in self.deletions if one.kind is kind and one.version > first)

    # ---- transactions ----

    def _begin(self, transaction: Transaction) -> None:
        objection = find_objection(self, transaction)
        if objection is not None:
            if objection.cause is not Cause.DUPLICATE:
                text = f"{objection.cause.value}: {objection.text}"
                self._record_outcome(transaction.ident, Phase.REFUSED, text)
            return
        keys = tuple(self._guarded_keys(transaction))
        if keys or transaction.checked:
            self._reserve_keys(Pending(transaction, Phase.PREPARED, self.version, keys))
        else:
            self._commit(transaction)
            self._record_outcome(transaction.ident, Phase.COMMITTED)

    def _advance(self, advance: Advance) -> None:
        pending = self.pending.get(advance.ident)
        if pending is None:
            return
        if advance.phase is Phase.JOINT:
            if pending.phase is Phase.PREPARED and pending.guarded:
                self._enter_joint(pending)
        elif advance.phase is Phase.COMMITTED:
            if pending.phase is (Phase.JOINT if pending.guarded else Phase.PREPARED):
                self._release_keys(pending)
                self._commit(pending.transaction)
                self._record_outcome(advance.ident, Phase.COMMITTED)
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
            if guarded(key, old, body, old_class, new_class) or (old is None and self._name_was_used(key)):
                yield key

    def _name_was_used(self, key: Key) -> bool:
        """Whether a name may have been used before: a lagging balancer may still act on its old meaning."""
        forgotten = self.index.compacted > 0
        return key.kind in KINDS_WITH_REUSABLE_NAMES and (forgotten or self.index.has_tombstone(key))

    def _reserve_keys(self, pending: Pending) -> None:
        """Reserve the keys that a pending transaction writes and those that it references."""
        ident = pending.transaction.ident
        self.pending[ident] = pending
        for key in pending.transaction.written_keys():
            self._writers[key] = ident
        for target in self._referenced_by(pending.transaction):
            self._readers.setdefault(target, {})[ident] = None

    def _release_keys(self, pending: Pending) -> None:
        ident = pending.transaction.ident
        del self.pending[ident]
        for key in pending.transaction.written_keys():
            del self._writers[key]
        for target in self._referenced_by(pending.transaction):
            readers = self._readers[target]
            readers.pop(ident, None)
            if not readers:
                del self._readers[target]

    def _referenced_by(self, transaction: Transaction) -> set[Key]:
        """The keys that its old and new bodies reference; constant while its own keys are reserved."""
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
        self._release_keys(pending)
        if pending.phase is Phase.JOINT:
            for key in pending.guarded:
                held = self.index.get(key)
                self._write(key, held.body if held is not None else None)
        self._record_outcome(pending.transaction.ident, Phase.ABORTED, reason)

    def _write(self, key: Key, data: bytes | None) -> None:
        """Put a body in force, without a joint body, as of this version; None: delete the key."""
        held, old = self.index.get(key), self.body(key)
        former_services = services(held) if held is not None else ()
        if data is None:
            self.index.write(Resource(key, self.version, None, former_services=former_services))
        else:
            self.index.write(Resource(key, self.version, data))
        self._update_counts(key, old, self.body(key))

    def _update_counts(self, key: Key, old: Body | None, new: Body | None) -> None:
        self.counts[key.kind] += (new is not None) - (old is not None)
        if old is not None:
            self.referrers.remove(key, old)
        if new is not None:
            self.referrers.add(key, new)

    def _record_outcome(self, ident: int, phase: Phase, reason: str = "") -> None:
        self.outcomes[ident] = Outcome(ident, phase, self.version, reason[:LONGEST_REASON])
        while len(self.outcomes) > MOST_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]


def _bodies_after(transaction: Transaction) -> dict[Key, Body | None]:
    """The new bodies of a validated transaction by key; None: the key is deleted."""
    bodies: dict[Key, Body | None] = {
        put.key: decode_body(put.key.kind, put.body) for put in transaction.puts
    }
    return bodies | dict.fromkeys(transaction.deletes)


def _as_class(body: Body | None) -> ClassTerms | None:
    return body if isinstance(body, ClassTerms) else None

"""Seeded defects of the store, named by what each one breaks; test_defects says what finds them."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from dykeshift.configuration import index, meets, store, validation
from dykeshift.configuration.index import ResourceIndex
from dykeshift.configuration.references import ReferenceIndex
from dykeshift.configuration.resources import Key, Resource, resource_digest
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import Advance, Outcome, Pending, Phase, Transaction
from tests.seeded import Defect, patched


def without_check(name: str) -> Defect:
    """Validation without one of its checks."""
    left = tuple(check for check in validation._CHECKS if check.__name__ != name)
    assert len(left) == len(validation._CHECKS) - 1
    return patched(validation, "_CHECKS", left)


def _commits_half_of_the_puts(self: ConfigStore, transaction: Transaction) -> None:
    half = msgspec.structs.replace(transaction, puts=transaction.puts[: max(1, len(transaction.puts) // 2)])
    _commit(self, half)


def _omits_tombstone(self: ResourceIndex, name: index.TableName, tombstone: Resource) -> None:
    if name is index.ALL_RESOURCES:
        _insert_tombstone(self, name, tombstone)


def _evicts_nothing(self: ResourceIndex) -> None:
    pass


def _keeps_all_outcomes(self: ConfigStore, ident: int, phase: Phase, reason: str = "") -> None:
    self.outcomes[ident] = Outcome(ident, phase, self.version, reason)


def _keeps_all_deletions(self: ConfigStore, transaction: Transaction) -> None:
    kept = list(self.deletions)
    _commit(self, transaction)
    gone = [one for one in kept if one not in self.deletions]
    self.deletions.extendleft(reversed(gone))


def _digest_blind_to_deletions(self: ResourceIndex, key: Key) -> Resource | None:
    before = self.get(key)
    after = _remove_live(self, key)
    if before is not None:
        for name in index._tables_of(before):
            self.tables[name].digest ^= resource_digest(before)
    return after


def _commits_without_joint(self: ConfigStore, advance: Advance) -> None:
    pending = self.pending.get(advance.ident)
    if pending is not None and advance.phase is Phase.COMMITTED:
        self._release_keys(pending)
        self._commit(pending.transaction)
        self._record_outcome(advance.ident, Phase.COMMITTED)
    else:
        _advance(self, advance)


def _aborts_but_stays_joint(self: ConfigStore, pending: Pending, reason: str) -> None:
    self._release_keys(pending)
    self._record_outcome(pending.transaction.ident, Phase.ABORTED, reason)


def _releases_only_written_keys(self: ConfigStore, pending: Pending) -> None:
    ident = pending.transaction.ident
    del self.pending[ident]
    for key in pending.transaction.written_keys():
        del self._writers[key]


def _snapshot_without_pending(self: ConfigStore) -> bytes:
    state = msgspec.msgpack.decode(zlib.decompress(_snapshot(self)), type=store.State)
    state.pending = []
    return zlib.compress(msgspec.msgpack.encode(state))


def _inserts_at_the_front(self: ResourceIndex, resource: Resource) -> None:
    """A resource that is written again is put first in its tables instead of last."""
    _insert_live(self, resource)
    for name in index._tables_of(resource):
        table = self.tables[name]
        table.entries = {resource.key: resource, **table.entries}


def _keeps_references(self: ReferenceIndex, key: Key, body: Any) -> None:
    pass


def _never_reused(self: ConfigStore, key: Key) -> bool:
    return False


def _never_requires_a_snapshot(self: ResourceIndex, version: int) -> bool:
    return False


def _guards_no_route(*_: Any) -> bool:
    return False


_commit, _remove_live = ConfigStore._commit, ResourceIndex._remove_live
_insert_live, _insert_tombstone = ResourceIndex._insert_live, ResourceIndex._insert_tombstone
_advance, _snapshot = ConfigStore._advance, ConfigStore.snapshot

DEFECTS: dict[str, Defect] = {
    "expected versions not checked": without_check("_check_expected_versions"),
    "parallel transactions on one key": without_check("_check_conflicts"),
    "a reference left dangling": without_check("_check_references"),
    "half of the tenants may go": without_check("_check_mass_deletions"),
    "half a transaction applied": patched(ConfigStore, "_commit", _commits_half_of_the_puts),
    "a tombstone lost": patched(ResourceIndex, "_insert_tombstone", _omits_tombstone),
    "unbounded tombstones": patched(ResourceIndex, "_evict_tombstones", _evicts_nothing),
    "outcomes without end": patched(ConfigStore, "_record_outcome", _keeps_all_outcomes),
    "unbounded deletion counts": patched(ConfigStore, "_commit", _keeps_all_deletions),
    "digest blind to a deletion": patched(ResourceIndex, "_remove_live", _digest_blind_to_deletions),
    "in force without the joint phase": patched(ConfigStore, "_advance", _commits_without_joint),
    "aborted but still joint": patched(ConfigStore, "_abort", _aborts_but_stays_joint),
    "referenced keys stay reserved": patched(ConfigStore, "_release_keys", _releases_only_written_keys),
    "a snapshot without pending transactions": patched(ConfigStore, "snapshot", _snapshot_without_pending),
    "changes out of order": patched(ResourceIndex, "_insert_live", _inserts_at_the_front),
    "references never removed": patched(ReferenceIndex, "remove", _keeps_references),
    "a name reused without a joint phase": patched(ConfigStore, "_name_was_used", _never_reused),
    "compacted changes silently missing": patched(
        ResourceIndex, "snapshot_needed", _never_requires_a_snapshot
    ),
    "a route moved at once": patched(meets, "_route_guarded", _guards_no_route),
}

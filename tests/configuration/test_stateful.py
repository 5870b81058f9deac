"""Hypothesis drives a store beside the plain model, and a follower of each scope beside its digest."""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dykeshift.configuration.index import ResourceIndex
from dykeshift.configuration.references import references
from dykeshift.configuration.resources import (
    Ban,
    Key,
    Kind,
    ListWord,
    Resource,
    Route,
    Service,
    Tenant,
    ban_key,
    list_word_key,
)
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import Advance, Phase, Put, Transaction, encode_entry
from tests.configuration.model import Model, View, cut
from tests.configuration.words import SAFE, UNSAFE, put

SERVICES = ("s0", "s1", "s2")
CLASSES = ("c0", "c1", "c2")
ROUTES = ("r0", "r1", "r2", "r3")
TENANTS = tuple(f"t{n}" for n in range(12))
SERVERS = ("a", "b")
SCOPES = [Scope.everything(), Scope(), *(Scope(frozenset({name})) for name in SERVICES)]
SCOPES.append(Scope(frozenset({"s0", "s2"})))
MOST_TOMBSTONES = 12
WINDOW = 8

some_service, some_class = st.sampled_from(SERVICES), st.sampled_from(CLASSES)
some_put = st.one_of(
    st.builds(
        lambda n, b, s: put(Key(Kind.SERVICE, n), Service(balancers=b, servers=s)),
        some_service,
        st.integers(1, 2),
        st.sampled_from([0, 2, 2]),
    ),
    st.builds(lambda n, t: put(Key(Kind.CLASS, n), t), some_class, st.sampled_from([SAFE, UNSAFE])),
    st.builds(
        lambda n, s, c: put(Key(Kind.ROUTE, n), Route(s, c)),
        st.sampled_from(ROUTES),
        some_service,
        some_class,
    ),
    st.builds(
        lambda n, s, w: put(Key(Kind.TENANT, n), Tenant(tuple(sorted(s)), w)),
        st.sampled_from(TENANTS),
        st.sets(some_service, max_size=2),
        st.sampled_from([1.0, 2.0]),
    ),
    st.builds(lambda s, v: put(ban_key(s, v), Ban(s, v)), some_service, st.sampled_from(SERVERS)),
    st.builds(
        lambda w, s, n: put(list_word_key(w, s), ListWord(w, (n,), s)),
        st.sampled_from(["preferred", "wary"]),
        some_service,
        st.sampled_from(SERVERS),
    ),
)


class StoreMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.store, self.model, self.ident = ConfigStore(MOST_TOMBSTONES, WINDOW), Model(WINDOW), 0
        self.followers: list[tuple[Scope, int, View]] = [(scope, 0, {}) for scope in SCOPES]
        self.replica, self.replica_version = ResourceIndex(MOST_TOMBSTONES), 0

    # ---- entries ----

    def _apply(self, entry: Transaction | Advance) -> None:
        forgotten = self.store.index.compacted > 0
        self.store.apply(self.store.version + 1, encode_entry(entry))
        self.model.apply(entry, forgotten)

    def _begin(self, writes: list[Put], deletes: set[Key], **more: Any) -> None:
        by_key = {one.key: one for one in writes}
        kept = tuple(one for key, one in by_key.items() if key not in deletes)
        self.ident += 1
        self._apply(Transaction(self.ident, "test", kept, tuple(sorted(deletes)), **more))

    @initialize()
    def begins(self) -> None:
        self._begin([put(Key(Kind.SERVICE, name), Service(servers=2)) for name in SERVICES], set())
        self._begin([put(Key(Kind.CLASS, name), SAFE) for name in CLASSES], set())
        self._begin([put(Key(Kind.TENANT, name), Tenant(("s0",))) for name in TENANTS[:10]], set())

    @rule(writes=st.lists(some_put, min_size=1, max_size=3), checked=st.booleans())
    def puts(self, writes: list[Put], checked: bool) -> None:
        self._begin(writes, set(), checked=checked)

    @rule(writes=st.lists(some_put, max_size=2), data=st.data())
    def deletes(self, writes: list[Put], data: st.DataObject) -> None:
        held = sorted(self.model.view)
        if held:
            keys = data.draw(st.sets(st.sampled_from(held), min_size=1, max_size=3))
            self._begin(writes, keys)

    @rule(writes=st.lists(some_put, min_size=1, max_size=2), data=st.data())
    def expects(self, writes: list[Put], data: st.DataObject) -> None:
        expected = {}
        for one in writes:
            held = self.model.view.get(one.key)
            version = held.version if held is not None else 0
            expected[one.key] = max(0, version + data.draw(st.sampled_from([0, 0, 0, -1, 1])))
        self._begin(writes, set(), expected=expected)

    @rule(
        data=st.data(),
        phase=st.sampled_from([Phase.JOINT, Phase.JOINT, Phase.COMMITTED, Phase.COMMITTED, Phase.ABORTED]),
    )
    def advances(self, data: st.DataObject, phase: Phase) -> None:
        if self.model.under_way:
            ident = data.draw(st.sampled_from(sorted(self.model.under_way)))
            self._apply(Advance(ident, phase))

    @rule()
    def restores(self) -> None:
        fresh = ConfigStore(MOST_TOMBSTONES, WINDOW)
        fresh.restore(self.store.version, self.store.snapshot())
        assert fresh.snapshot() == self.store.snapshot()
        self.store = fresh

    # ---- who follows ----

    @rule(which=st.integers(0, len(SCOPES) - 1))
    def a_subscriber_catches_up(self, which: int) -> None:
        scope, version, held = self.followers[which]
        if self.store.snapshot_needed(version):
            held = {resource.key: resource for resource in self.store.scoped(scope)}
        else:
            held = dict(held)
            for resource in self.store.changes_since(version, scope):
                if resource.live:
                    held[resource.key] = resource
                else:
                    held.pop(resource.key, None)
        self.followers[which] = scope, self.store.version, held
        assert held == cut(self.model.view, scope)
        own = ResourceIndex()
        for resource in sorted(held.values(), key=lambda r: r.version):
            own.write(resource)
        assert own.digest(scope) == self.store.digest(scope)

    @rule()
    def a_replica_catches_up(self) -> None:
        source, version = self.store.index, self.replica_version
        if source.snapshot_needed(version):
            self.replica = ResourceIndex(MOST_TOMBSTONES)
            self.replica.merge(source.live(), source.tombstones_since(0))
            self.replica.compacted = source.compacted
        else:
            changed = source.changes_since(version, Scope.everything())
            self.replica.merge((r for r in changed if r.live), source.tombstones_since(version))
        self.replica_version = self.store.version
        for scope, seen, _ in self.followers:
            assert self.replica.digest(scope) == source.digest(scope)
            if not self.replica.snapshot_needed(seen) and not source.snapshot_needed(seen):
                assert self.replica.changes_since(seen, scope) == source.changes_since(seen, scope)

    # ---- what always holds ----

    @invariant()
    def the_store_is_as_the_model(self) -> None:
        assert self.store.version == self.model.version
        assert {r.key: r for r in self.store.index.live()} == self.model.view
        assert {i: p.phase for i, p in self.store.pending.items()} == {
            i: one.phase for i, one in self.model.under_way.items()
        }
        assert {i: o.phase for i, o in self.store.outcomes.items()} == self.model.ends

    @invariant()
    def changes_lead_from_every_version_to_now(self) -> None:
        for version in range(max(self.store.index.compacted, self.store.version - 6), self.store.version + 1):
            for scope in SCOPES:
                held = cut(self.model.history[version], scope)
                found = self.store.changes_since(version, scope)
                assert [r.version for r in found] == sorted(r.version for r in found)
                held |= {resource.key: resource for resource in found}
                assert {k: r for k, r in held.items() if r.live} == cut(self.model.view, scope)

    @invariant()
    def nothing_is_kept_of_what_has_gone(self) -> None:
        index, store = self.store.index, self.store
        entries = sum(len(table.entries) for table in index.tables.values())
        live = list(index.live())
        assert len(live) == index.count
        assert len(index.tombstones) <= MOST_TOMBSTONES
        assert entries == sum(_places(resource) for resource in live) + len(index.tombstones)
        assert sum(len(names) for names in store.referrers.named.values()) == sum(
            len(set(references(body)))
            for key in self.model.view
            if (body := self.model.body(key)) is not None
        )
        assert set(store._writers.values()) == set(store.pending)
        assert all(store._readers.values())
        assert not store._readers or store.pending
        assert len(store.deletions) <= WINDOW * len(Kind)


def _places(resource: Resource) -> int:
    """Tables that hold it: that of all, and of each service or of what concerns every one."""
    scopes = [Scope(frozenset({name})) for name in SERVICES]
    if Scope().matches(resource):
        return 2
    return 1 + sum(scope.matches(resource) for scope in scopes)


StoreMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestStateful = StoreMachine.TestCase

"""Model-based test of the store: a store and its model, followers that catch up, and the invariants."""

from __future__ import annotations

from random import Random
from typing import Any, Literal

from dykeshift.configuration.index import ResourceIndex
from dykeshift.configuration.references import references
from dykeshift.configuration.resources import (
    Ban,
    ClassTerms,
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
from dykeshift.configuration.store import MOST_OUTCOMES, ConfigStore
from dykeshift.configuration.transactions import Advance, Phase, Put, Transaction, encode_entry
from tests.configuration.model import Model, View, cut
from tests.configuration.words import SAFE, UNSAFE, put

SERVICES = ("s0", "s1", "s2")
CLASSES = ("c0", "c1", "c2")
ROUTES = ("r0", "r1", "r2", "r3")
TENANTS = tuple(f"t{n}" for n in range(12))
SERVERS = ("a", "b")
WORDS: tuple[Literal["preferred", "wary"], ...] = ("preferred", "wary")
SCOPES = [Scope.everything(), Scope(), *(Scope(frozenset({name})) for name in SERVICES)]
SCOPES.append(Scope(frozenset({"s0", "s2"})))
MOST_TOMBSTONES = 5
WINDOW = 8
VERSIONS_BACK = 4  # earlier versions from which changes are checked in each step


class StoreWorld:
    def __init__(self) -> None:
        self.store, self.model, self.ident = ConfigStore(MOST_TOMBSTONES, WINDOW), Model(WINDOW), 0
        self.followers: list[tuple[Scope, int, View]] = [(scope, 0, {}) for scope in SCOPES]
        self.replica, self.replica_version = ResourceIndex(MOST_TOMBSTONES), 0
        self.begin([put(Key(Kind.SERVICE, name), Service(servers=2)) for name in SERVICES])
        self.begin([put(Key(Kind.CLASS, name), SAFE) for name in CLASSES])
        self.begin([put(Key(Kind.TENANT, name), Tenant(("s0",))) for name in TENANTS[:10]])

    # ---- entries ----

    def apply(self, entry: Transaction | Advance) -> None:
        forgotten = self.store.index.compacted > 0
        self.store.apply(self.store.version + 1, encode_entry(entry))
        self.model.apply(entry, forgotten)

    def begin(self, writes: list[Put], deletes: set[Key] = frozenset(), **more: Any) -> None:  # type: ignore[assignment]
        by_key = {one.key: one for one in writes}
        kept = tuple(one for key, one in by_key.items() if key not in deletes)
        self.ident += 1
        self.apply(Transaction(self.ident, "test", kept, tuple(sorted(deletes)), **more))

    def turn_class(self, name: str) -> None:
        """Starts a guarded change."""
        old = self.model.body(Key(Kind.CLASS, name))
        self.begin([put(Key(Kind.CLASS, name), UNSAFE if old == SAFE else SAFE)])

    def go_on(self, ident: int, aborts: bool) -> None:
        """Advances an open transaction to its next phase."""
        one = self.model.under_way[ident]
        if one.guarded and one.phase is Phase.PREPARED:
            self.apply(Advance(ident, Phase.JOINT))
        else:
            self.apply(Advance(ident, Phase.ABORTED if aborts else Phase.COMMITTED))

    def version_of(self, key: Key) -> int:
        held = self.model.view.get(key)
        return held.version if held is not None else 0

    def restore(self) -> None:
        fresh = ConfigStore(MOST_TOMBSTONES, WINDOW)
        fresh.restore(self.store.version, self.store.snapshot())
        assert fresh.snapshot() == self.store.snapshot()
        self.store = fresh

    # ---- followers ----

    def subscriber_catches_up(self, which: int) -> None:
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

    def replica_catches_up(self) -> None:
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

    # ---- invariants ----

    def check(self) -> None:
        self._check_equal_to_model()
        self._check_changes_from_earlier_versions()
        self._check_no_leftovers()

    def _check_equal_to_model(self) -> None:
        assert self.store.version == self.model.version
        assert {r.key: r for r in self.store.index.live()} == self.model.view
        assert {i: p.phase for i, p in self.store.pending.items()} == {
            i: one.phase for i, one in self.model.under_way.items()
        }
        assert {i: o.phase for i, o in self.store.outcomes.items()} == self.model.ends

    def _check_changes_from_earlier_versions(self) -> None:
        first = max(0, self.store.version - VERSIONS_BACK)
        for version in range(first, self.store.version):
            if self.store.snapshot_needed(version):
                continue
            for scope in SCOPES:
                held = cut(self.model.history[version], scope)
                found = self.store.changes_since(version, scope)
                assert [r.version for r in found] == sorted(r.version for r in found)
                held |= {resource.key: resource for resource in found}
                assert {k: r for k, r in held.items() if r.live} == cut(self.model.view, scope)

    def _check_no_leftovers(self) -> None:
        index, store = self.store.index, self.store
        live = list(index.live())
        assert len(live) == index.count
        assert len(index.tombstones) <= MOST_TOMBSTONES
        entries = sum(len(table.entries) for table in index.tables.values())
        assert entries == sum(_table_count(resource) for resource in live) + len(index.tombstones)
        bodies = [body for key in self.model.view if (body := self.model.body(key)) is not None]
        named = sum(len(names) for names in store.referrers.named.values())
        assert named == sum(len(set(references(body))) for body in bodies)
        assert set(store._writers.values()) == set(store.pending)
        assert {i for readers in store._readers.values() for i in readers} <= set(store.pending)
        assert all(store._readers.values())
        deleted = [one.version for one in store.deletions]
        assert not deleted or deleted[-1] - deleted[0] < WINDOW
        assert len(store.outcomes) <= MOST_OUTCOMES


def _table_count(resource: Resource) -> int:
    """How many tables hold it: the one of all resources, and those of its services or of resources for
    all."""
    if Scope().matches(resource):
        return 2
    return 1 + sum(Scope(frozenset({name})).matches(resource) for name in SERVICES)


# ---- random operations ----


def random_put(random: Random) -> Put:
    """A put of a random kind."""
    service, name = random.choice(SERVICES), random.choice(CLASSES)
    kind = random.choice(list(Kind))
    if kind is Kind.SERVICE:
        body = Service(balancers=random.randint(1, 2), servers=random.choice([0, 2, 2]))
        return put(Key(kind, service), body)
    if kind is Kind.CLASS:
        terms: ClassTerms = random.choice([SAFE, UNSAFE])
        return put(Key(kind, name), terms)
    if kind is Kind.ROUTE:
        return put(Key(kind, random.choice(ROUTES)), Route(service, name))
    if kind is Kind.TENANT:
        some = tuple(sorted(random.sample(SERVICES, random.randint(0, 2))))
        return put(Key(kind, random.choice(TENANTS)), Tenant(some, random.choice([1.0, 2.0])))
    server = random.choice(SERVERS)
    if kind is Kind.BAN:
        return put(ban_key(service, server), Ban(service, server))
    word = random.choice(WORDS)
    return put(list_word_key(word, service), ListWord(word, (server,), service))


def step(world: StoreWorld, random: Random) -> None:
    """Executes one random operation."""
    under_way = sorted(world.model.under_way)
    draw = random.random()
    if under_way and draw < 0.45:
        world.go_on(random.choice(under_way), random.random() < 0.25)
    elif under_way and draw < 0.5:
        world.apply(Advance(random.choice(under_way), random.choice(list(Phase))))
    elif draw < 0.55:
        world.restore()
    elif draw < 0.6:
        world.replica_catches_up()
    elif draw < 0.65:
        world.subscriber_catches_up(random.randrange(len(SCOPES)))
    elif draw < 0.75:
        world.turn_class(random.choice(CLASSES))
    else:
        _change(world, random)


def _change(world: StoreWorld, random: Random) -> None:
    writes = [random_put(random) for _ in range(random.randint(0, 2))]
    held = sorted(world.model.view)
    deletes = set(random.sample(held, min(len(held), random.randint(0 if writes else 1, 2))))
    expected = {
        one.key: max(0, world.version_of(one.key) + random.choice([0, 0, 0, 1, -1]))
        for one in writes
        if one.key not in deletes and random.random() < 0.3
    }
    world.begin(writes, deletes, expected=expected, checked=random.random() < 0.1)


def play(seed: int, steps: int = 150) -> list[str]:
    """Executes a random sequence of operations; returns the violated invariant, if any."""
    world, random = StoreWorld(), Random(seed)
    try:
        for _ in range(steps):
            step(world, random)
            world.check()
        for which in range(len(SCOPES)):
            world.subscriber_catches_up(which)
        world.replica_catches_up()
    except Exception as error:
        return [repr(error)]
    return []

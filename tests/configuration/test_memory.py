"""The memory of a store does not grow with the number of changes applied to it."""

from __future__ import annotations

import sys
from random import Random
from typing import Any

from dykeshift.configuration.resources import Key, Kind, Route, Service, Tenant
from dykeshift.configuration.store import MOST_OUTCOMES, ConfigStore
from dykeshift.configuration.transactions import Phase
from tests.configuration.words import (
    SAFE,
    UNSAFE,
    Driver,
    ban,
    class_key,
    put,
    route_key,
    service_key,
    tenant_key,
)

CHANGES = 10_000
TOMBSTONES = 256
SERVICES = [f"s{n}" for n in range(5)]
CLASSES = [f"c{n}" for n in range(5)]


def apply_random_change(driver: Driver, random: Random) -> None:
    """A random change, taken through all its phases; many are refused."""
    service, choice = random.choice(SERVICES), random.randrange(8)
    if choice < 3:
        key = tenant_key(f"t{random.randrange(200)}")
        ident = driver.begin(put(key, Tenant((service,), random.random() + 0.1)))
    elif choice == 3:
        ident = driver.begin(deletes=(tenant_key(f"t{random.randrange(200)}"),))
    elif choice == 4:
        route = Route(service, random.choice(CLASSES))
        ident = driver.begin(put(route_key(f"r{random.randrange(20)}"), route))
    elif choice == 5:
        ident = driver.begin(put(class_key(random.choice(CLASSES)), random.choice([SAFE, UNSAFE])))
    elif choice == 6:
        ident = driver.begin(ban(service, f"b{random.randrange(3)}"))
    else:
        bans = sorted(r.key for r in driver.store.index.live() if r.key.kind is Kind.BAN)
        ident = driver.begin(deletes=tuple(bans[:1]))
    for phase in (Phase.JOINT, Phase.ABORTED if random.random() < 0.2 else Phase.COMMITTED):
        if ident in driver.store.pending:
            driver.advance(ident, phase)


def size_of(value: Any, seen: set[int]) -> int:
    """Bytes of an object and of the containers, tables and resources that it refers to."""
    if id(value) in seen or value is None:
        return 0
    seen.add(id(value))
    total = sys.getsizeof(value)
    if isinstance(value, dict):
        total += sum(size_of(k, seen) + size_of(v, seen) for k, v in value.items())
    elif isinstance(value, list | tuple | set | frozenset):
        total += sum(size_of(item, seen) for item in value)
    elif hasattr(value, "__struct_fields__"):
        total += sum(size_of(getattr(value, name), seen) for name in value.__struct_fields__)
    elif hasattr(value, "__slots__") and not isinstance(value, str | bytes | int | Kind):
        total += sum(size_of(getattr(value, name), seen) for name in value.__slots__)
    elif hasattr(value, "__dict__") and not isinstance(value, type | Kind | Phase):
        total += size_of(vars(value), seen)
    elif hasattr(value, "__iter__") and not isinstance(value, str | bytes):
        total += sum(size_of(item, seen) for item in value)
    return total


def count_entries(store: ConfigStore) -> int:
    """The number of all entries in the containers of a store."""
    tables = sum(len(table.entries) for table in store.index.tables.values())
    named = sum(len(names) for names in store.referrers.named.values())
    kept = (
        store.index.tombstones,
        store.outcomes,
        store.deletions,
        store.pending,
        store._writers,
        store._readers,
    )
    return tables + named + sum(len(one) for one in kept)


def test_memory_is_flat_over_ten_thousand_changes() -> None:
    driver, random = Driver(ConfigStore(TOMBSTONES)), Random(43)
    driver.through(*(put(service_key(name), Service(servers=4)) for name in SERVICES))
    driver.through(*(put(class_key(name), SAFE) for name in CLASSES))
    sizes = list[tuple[int, int, int]]()
    for change in range(1, CHANGES + 1):
        apply_random_change(driver, random)
        if change % (CHANGES // 5) == 0:
            store = driver.store
            sizes.append((count_entries(store), size_of(store, set()), len(store.snapshot())))
    ends = [outcome.phase for outcome in driver.store.outcomes.values()]
    assert len(ends) == MOST_OUTCOMES
    assert {Phase.COMMITTED, Phase.REFUSED, Phase.ABORTED} <= set(ends)
    for first, last in zip(sizes[0], sizes[-1], strict=True):
        assert last <= first * 1.15, sizes
    assert len(driver.store.index.tombstones) == TOMBSTONES


def test_a_deleted_service_leaves_no_table_behind() -> None:
    driver = Driver(ConfigStore(most_tombstones=16))
    for n in range(100):
        key: Key = service_key(f"s{n}")
        driver.through(put(key, Service()))
        driver.through(deletes=(key,))
    assert len(driver.store.index.tables) <= 1 + 16
    assert driver.store.index.count == 0

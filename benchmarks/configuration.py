"""What the store of resources costs, by size: entries, changes of a scope, snapshots, memory.

    python -m benchmarks.configuration                  # prints; three sizes
    python -m benchmarks.configuration --json --record  # and puts the figures into the results file

The target is 30,000 tenants, 2,400 routes and 510 services. Each tenant names one to three services, each
route one; a subscriber's scope are ten services. Time is this process's own processor time. Memory is what
Python's allocator hands out for the store (tracemalloc).
"""

from __future__ import annotations

import argparse
import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

import msgspec

from dykeshift.configuration.index import ResourceIndex
from dykeshift.configuration.resources import (
    ClassTerms,
    Key,
    Kind,
    Resource,
    Route,
    Service,
    Tenant,
    encode_body,
)
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import Advance, Phase, Put, Transaction, encode_entry
from dykeshift.scale.results import (
    ClockKind,
    Measurement,
    Role,
    Situation,
    program_version,
    record,
    summarise,
    summary_text,
)

TARGET = 30_000  # tenants
ROUTES_A_TENANT, SERVICES_A_TENANT = 2_400 / TARGET, 510 / TARGET
CLASSES = 24
SIZES = (7_500, 15_000, 30_000)
IN_SCOPE = 10  # services that a balancer serves
AT_ONCE = 200  # keys of a transaction while the store is filled
ROUNDS = 50
CHANGES = 100  # after which a subscriber asks
MS, KB, MB = 1e-3, 1e3, 1e6
COMMAND = "python -m benchmarks.configuration --record"


def service_name(number: int) -> str:
    """As the services of an installation are named."""
    return f"service-{number:04d}"


class Filled:
    """A store at a size, and changes of it."""

    def __init__(self, tenants: int, seed: int) -> None:
        self.random = Random(seed)
        self.tenants, self.routes = tenants, int(tenants * ROUTES_A_TENANT)
        self.services = max(IN_SCOPE, int(tenants * SERVICES_A_TENANT))
        self.store, self.ident = ConfigStore(), 0
        puts = list(self._all_puts())
        for start in range(0, len(puts), AT_ONCE):
            self.change(*puts[start : start + AT_ONCE])
        assert self.store.index.count == len(puts)

    def _all_puts(self) -> Iterator[Put]:
        for number in range(CLASSES):
            terms = ClassTerms(100_000_000, 1_000_000_000, 1.0, "pure", position=number)
            yield Put(Key(Kind.CLASS, f"class-{number}"), encode_body(terms))
        for number in range(self.services):
            terms_of_service = Service(930, 3, True, True, 0.1, 10**10, 2.0, 10**9, 10**8, servers=20)
            yield Put(Key(Kind.SERVICE, service_name(number)), encode_body(terms_of_service))
        for number in range(self.routes):
            route = Route(service_name(number % self.services), f"class-{number % CLASSES}")
            yield Put(Key(Kind.ROUTE, f"/api/{service_name(number)}/resource"), encode_body(route))
        for number in range(self.tenants):
            yield self.tenant(number)

    def tenant(self, number: int) -> Put:
        """Another body for a tenant."""
        names = sorted(self.random.sample(range(self.services), self.random.randint(1, 3)))
        body = Tenant(tuple(map(service_name, names)), self.random.random() + 0.1)
        return Put(Key(Kind.TENANT, f"tenant-{number:06d}"), encode_body(body))

    def change(self, *puts: Put) -> None:
        """A free transaction."""
        self.ident += 1
        self.apply(Transaction(self.ident, "benchmark", puts))

    def apply(self, entry: Transaction | Advance) -> None:
        """The next entry."""
        self.store.apply(self.store.version + 1, encode_entry(entry))

    def change_tenant(self) -> None:
        """One tenant of all."""
        self.change(self.tenant(self.random.randrange(self.tenants)))

    def change_class(self) -> None:
        """A guarded change through its phases: three entries."""
        key = Key(Kind.CLASS, f"class-{self.random.randrange(CLASSES)}")
        old = self.store.body(key)
        assert isinstance(old, ClassTerms)
        new = "side_effect" if old.idempotency == "pure" else "pure"
        self.ident += 1
        body = encode_body(msgspec.structs.replace(old, idempotency=new))
        self.apply(Transaction(self.ident, "benchmark", (Put(key, body),)))
        for phase in (Phase.JOINT, Phase.COMMITTED):
            self.apply(Advance(self.ident, phase))
        assert not self.store.pending

    def scope(self) -> Scope:
        """The services of one balancer."""
        return Scope(frozenset(map(service_name, self.random.sample(range(self.services), IN_SCOPE))))


def timed(action: Callable[[], object], rounds: int) -> list[float]:
    """Processor time of each round, in milliseconds."""
    found = list[float]()
    for _ in range(rounds):
        started = time.process_time()
        action()
        found.append((time.process_time() - started) / MS)
    return found


def memory(build: Callable[[], object]) -> float:
    """What Python's allocator hands out for it, in MB."""
    gc.collect()
    tracemalloc.start()
    held = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size / MB


def figures(tenants: int, seed: int) -> dict[str, list[float]]:
    """Samples by quantity."""
    filled = Filled(tenants, seed)
    store = filled.store
    found = {
        "apply-free": timed(filled.change_tenant, ROUNDS * 4),
        "apply-guarded": timed(filled.change_class, ROUNDS),
    }
    since = store.version
    for _ in range(CHANGES):
        filled.change_tenant()
    scopes = [filled.scope() for _ in range(ROUNDS)]
    ask, whole, digests = iter(scopes), iter(scopes), iter(scopes)
    found["changes-since"] = timed(lambda: store.changes_since(since, next(ask)), ROUNDS)
    found["scope-whole"] = timed(lambda: store.scoped(next(whole)), ROUNDS)
    found["scope-digest"] = timed(lambda: store.digest(next(digests)), ROUNDS)
    found["scope-resources"] = [float(len(store.scoped(scope))) for scope in scopes]
    found["scope-bytes"] = [_encoded(store, scope) / KB for scope in scopes]
    found["scope-memory"] = [memory(partial(_subscriber, store, scope)) for scope in scopes[:3]]
    found["snapshot-cpu"] = timed(store.snapshot, 5)
    found["restore-cpu"] = timed(lambda: ConfigStore().restore(store.version, store.snapshot()), 3)
    found["snapshot-size"] = [len(store.snapshot()) / MB]
    state = store.snapshot()
    found["store-memory"] = [memory(lambda: _restored(store.version, state))]
    return found


def _encoded(store: ConfigStore, scope: Scope) -> int:
    return len(msgspec.msgpack.encode(store.scoped(scope)))


def _subscriber(store: ConfigStore, scope: Scope) -> ResourceIndex:
    own = ResourceIndex()
    data = msgspec.msgpack.encode(store.scoped(scope))
    for resource in msgspec.msgpack.decode(data, type=tuple[Resource, ...]):
        own.write(resource)
    return own


def _restored(version: int, state: bytes) -> ConfigStore:
    store = ConfigStore()
    store.restore(version, state)
    return store


QUANTITIES: dict[str, tuple[str, str, Role]] = {
    "apply-free": ("processor time of a change of one tenant", "ms", Role.VOTER),
    "apply-guarded": ("processor time of a guarded change of a class, all phases", "ms", Role.VOTER),
    "changes-since": (
        f"processor time of the changes of a scope, {CHANGES} changes behind",
        "ms",
        Role.REPLICA,
    ),
    "scope-whole": ("processor time of the whole of a scope", "ms", Role.REPLICA),
    "scope-digest": ("processor time of the digest of a scope", "ms", Role.REPLICA),
    "scope-resources": ("resources in a scope", "resources", Role.CONTROL),
    "scope-bytes": ("the whole of a scope, encoded", "KB", Role.CONTROL),
    "scope-memory": ("memory of a scope", "MB", Role.CONTROL),
    "snapshot-cpu": ("processor time of a snapshot", "ms", Role.VOTER),
    "restore-cpu": ("processor time of a snapshot and its restore", "ms", Role.REPLICA),
    "snapshot-size": ("size of a snapshot", "MB", Role.VOTER),
    "store-memory": ("memory of the whole store", "MB", Role.REPLICA),
}


def measurements(sizes: tuple[int, ...], seed: int) -> list[Measurement]:
    """One of each quantity, over the sizes."""
    by_size = {size: figures(size, seed) for size in sizes}
    program = program_version()
    return [
        Measurement(
            id=f"configuration.store.{name}",
            name=f"configuration store: {quantity}",
            role=role,
            quantity=quantity,
            unit=unit,
            situation=Situation.AT_REST,
            parameter="tenants",
            parameter_unit="tenants",
            points=tuple(summarise(found[name], size=size, seed=seed) for size, found in by_size.items()),
            command=COMMAND,
            program=program,
            clock=ClockKind.REAL,
            conditions={
                "routes": "0.08 for each tenant",
                "services": f"0.017 for each tenant; {IN_SCOPE} in a scope",
                "classes": str(CLASSES),
            },
        )
        for name, (quantity, unit, role) in QUANTITIES.items()
    ]


def main() -> None:
    """Measure, print, and record where that is asked for."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="numbers of tenants")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--record", action="store_true")
    options = parser.parse_args()
    found = measurements(tuple(map(int, options.sizes.split(","))), options.seed)
    if options.json:
        print(msgspec.json.encode(found).decode())
    else:
        for one in found:
            print(summary_text(one))
    if options.record:
        record(found)


if __name__ == "__main__":
    main()

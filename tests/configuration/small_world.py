"""A small simulation: replicas and subscribers on a virtual clock, without consensus. Tests write to the
stores."""

from __future__ import annotations

from random import Random

from dykeshift.configuration.choice import Place
from dykeshift.configuration.replica import Replica, ReplicaOptions
from dykeshift.configuration.resources import Key, Kind, Service, Tenant, encode_body
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.subscriber import Subscriber, SubscriberOptions
from dykeshift.configuration.tier import location_of
from dykeshift.configuration.transactions import Put, Transaction, encode_entry
from dykeshift.configuration.virtual import EPOCH_MS, MS, SECOND, Host, Network
from dykeshift.view.wire import Seal

SEAL = Seal("small")


def tenant_key(number: int) -> Key:
    return Key(Kind.TENANT, f"tenant-{number:04d}")


def filled_store(services: int = 6, tenants: int = 60) -> ConfigStore:
    """A store with services `a`, `b`, ... and tenants that use them round-robin."""
    store = ConfigStore()
    names = [chr(ord("a") + number) for number in range(services)]
    puts = [Put(Key(Kind.SERVICE, name), encode_body(Service(servers=9))) for name in names]
    write(store, tuple(puts))
    for first in range(0, tenants, 50):
        some = range(first, min(tenants, first + 50))
        body = [Put(tenant_key(n), encode_body(Tenant((names[n % services],)))) for n in some]
        write(store, tuple(body))
    return store


def write(store: ConfigStore, puts: tuple[Put, ...] = (), deletes: tuple[Key, ...] = ()) -> int:
    """Commits one transaction; returns its version."""
    version = store.version + 1
    store.apply(version, encode_entry(Transaction(version, "test", puts, deletes)))
    outcome = store.outcome(version)
    assert outcome is not None and outcome.version == version and not outcome.reason, outcome
    return version


def put_tenant(store: ConfigStore, number: int, services: tuple[str, ...], share: float = 1.0) -> int:
    return write(store, (Put(tenant_key(number), encode_body(Tenant(services, share))),))


def copy_of(store: ConfigStore) -> ConfigStore:
    other = ConfigStore(store.index.most_tombstones)
    other.restore(store.version, store.snapshot())
    return other


class SmallWorld:
    """Replicas `replica-0`, ... with a store each; `age`: the age of the store that each reports."""

    def __init__(
        self,
        seed: object,
        replicas: int = 3,
        store: ConfigStore | None = None,
        replica: ReplicaOptions | None = None,
        subscriber: SubscriberOptions | None = None,
    ) -> None:
        self.network = Network(seed)
        self.rng = Random(f"small/{seed}")
        self.replica_options = replica or ReplicaOptions()
        self.subscriber_options = subscriber or SubscriberOptions()
        first = store or filled_store()
        self.stores = [first, *(copy_of(first) for _ in range(replicas - 1))]
        self.age: list[int | None] = [100 * MS for _ in range(replicas)]
        self.lineage = [1] * replicas
        self.replicas = [self._replica_host(number) for number in range(replicas)]
        self.places = [Place(host.address, "east") for host in self.replicas]
        self.subscribers: list[Host] = []
        for host in self.replicas:
            self.network.start(host)

    def _replica_host(self, number: int) -> Host:
        def make(host: Host) -> Replica:
            options, store = self.replica_options, self.stores[number]
            rng = Random(self.rng.random())
            return Replica(options, SEAL, store, lambda now: self.age[number], rng, self.lineage[number])

        host = Host(f"replica-{number}", (f"10.1.0.{number}", 7946), location_of(0), make)
        return self.network.add(host)

    def subscribe(self, scope: Scope | None = None, start: bool = True) -> Host:
        """Adds a subscriber, by default with services `a` and `b` as its scope."""
        number = len(self.subscribers)
        held = scope if scope is not None else Scope(frozenset("ab"))

        def make(host: Host) -> Subscriber:
            birth = EPOCH_MS + self.network.now // MS + host.starts
            options, rng = self.subscriber_options, Random(self.rng.random())
            return Subscriber(options, SEAL, host.name, birth, held, self.places, "east", rng)

        host = Host(f"balancer-{number}", (f"10.2.{number >> 8}.{number & 255}", 7946), location_of(0), make)
        self.subscribers.append(self.network.add(host))
        if start:
            self.network.start(host)
        return host

    def put(self, number: int, services: tuple[str, ...], share: float = 1.0, only: int | None = None) -> int:
        """Writes a tenant to all stores, or to one, and notifies the replicas."""
        version = 0
        for which, store in enumerate(self.stores):
            if only in (None, which):
                version = put_tenant(store, number, services, share)
        self.notify_replicas()
        return version

    def delete(self, number: int) -> int:
        """Deletes a tenant from all stores and notifies the replicas."""
        versions = [write(store, deletes=(tenant_key(number),)) for store in self.stores]
        self.notify_replicas()
        return versions[0]

    def notify_replicas(self) -> None:
        """Notifies the replicas that their stores have changed."""
        for host in self.replicas:
            if host.up:
                self.network.carry(host, host.core.on_change(self.network.clock(host)))

    def run(self, seconds: float) -> None:
        self.network.run(seconds)

    def shows(self, host: Host, store: ConfigStore | None = None) -> bool:
        """Whether a subscriber shows the state of the store and holds a lease."""
        state, held = host.core.state, store or self.stores[0]
        same = [(r.key, r.version, r.body) for r in state.resources()] == [
            (r.key, r.version, r.body) for r in held.scoped(state.scope)
        ]
        return same and state.version == held.version and self.leased(host)

    def leased(self, host: Host) -> bool:
        return bool(host.core.lease_left(self.network.clock(host)))

    def serving(self, host: Host) -> Host:
        """The replica that serves a subscriber."""
        return self.network.hosts[host.core.address]

    def settle(self, seconds: float = 10.0) -> None:
        """Runs until all subscribers show the state of the first store."""
        done = self.network.run(seconds, lambda: all(self.shows(host) for host in self.subscribers))
        assert done, [(h.name, h.core.phase, h.core.state.version) for h in self.subscribers]


__all__ = ["SECOND", "SmallWorld"]

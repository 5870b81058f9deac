"""A simulated control tier of nine machines and its subscribers on a virtual clock, for tests, randomized
campaigns and measurements.

The machines have disks whose writes are durable at once; a subscriber that crashes loses all its state. The
store starts with a random configuration, as if read from those disks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import msgspec

from dykeshift.agree.core import Agree
from dykeshift.agree.keep import Kept, pack, replay
from dykeshift.agree.log import Base, Log
from dykeshift.agree.seats import drawn
from dykeshift.agree.state import Options as ConsensusOptions
from dykeshift.agree.voting import Role
from dykeshift.configuration.choice import Place
from dykeshift.configuration.control import ControlMachine
from dykeshift.configuration.coordinator import CoordinatorOptions
from dykeshift.configuration.replica import Out, ReplicaOptions
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
from dykeshift.configuration.store import ConfigStore, State
from dykeshift.configuration.subscriber import Subscriber, SubscriberOptions
from dykeshift.configuration.transactions import Put, Transaction, encode_entry
from dykeshift.configuration.virtual import EPOCH_MS, MS, SECOND, Host, Location, Network
from dykeshift.view.wire import Seal

ZONES = 5
ZONES_OF_FIRST_REGION = 3
MACHINES_PER_RACK = 8
PORT = 7946
FIRST_VERSION = 1


@dataclass(frozen=True, slots=True)
class TierOptions:
    """Size and options of the simulated tier. `services_held`: services in the scope of each subscriber."""

    control: int = 9
    voters: int = 5
    subscribers: int = 16
    services: int = 40
    tenants: int = 300
    routes: int = 120
    services_held: int = 4
    drift: float = 0.005  # largest fraction by which a clock runs fast or slow
    replica: ReplicaOptions = field(default_factory=ReplicaOptions)
    subscriber: SubscriberOptions = field(default_factory=SubscriberOptions)
    coordinator: CoordinatorOptions | None = None  # None: the caller leads transactions


def draw_configuration(options: TierOptions, rng: Random) -> list[Resource]:
    """A random configuration of the size in the options, all of it at the first version."""
    services = [f"service-{number:03d}" for number in range(options.services)]
    bodies: list[tuple[Key, bytes]] = [
        (
            Key(Kind.CLASS, name),
            encode_body(ClassTerms(200 * MS, 2 * SECOND, 1.0, "pure", position=position)),
        )
        for position, name in enumerate(("interactive", "batch", "background"))
    ]
    bodies += [(Key(Kind.SERVICE, name), encode_body(Service(servers=20))) for name in services]
    for number in range(options.routes):
        route = Route(rng.choice(services), rng.choice(("interactive", "batch")))
        bodies.append((Key(Kind.ROUTE, f"/path/{number:05d}"), encode_body(route)))
    for number in range(options.tenants):
        tenant = Tenant((services[number % len(services)],), 1.0)
        bodies.append((Key(Kind.TENANT, f"tenant-{number:06d}"), encode_body(tenant)))
    return [Resource(key, FIRST_VERSION, body) for key, body in bodies]


def location_of(number: int) -> Location:
    """Assigns zones round-robin, and racks of a few machines within each zone."""
    zone = number % ZONES
    region = "east" if zone < ZONES_OF_FIRST_REGION else "west"
    rack = f"rack-{zone}-{number // ZONES // MACHINES_PER_RACK}"
    return Location(region, f"zone-{zone}", rack, f"machine-{number}")


class Tier:
    """The simulated tier; `control` and `subscribers` are its hosts, by number."""

    def __init__(self, seed: object, options: TierOptions | None = None) -> None:
        self.options = options or TierOptions()
        self.network = Network(seed)
        self.rng = Random(f"tier/{seed}")
        self.seal = Seal("tier")
        self.disks: dict[str, list[bytes]] = {}
        self.initial_resources = draw_configuration(self.options, self.rng)
        self.control = [self._control_host(number) for number in range(self.options.control)]
        self.places = [Place(host.address, host.location.region) for host in self.control]
        self.scopes: dict[str, Scope] = {}
        self.subscribers = [self._subscriber_host(number) for number in range(self.options.subscribers)]
        self.next_ident = 1
        self._write_disks()

    # ---- building ----

    def _rate(self) -> float:
        return 1 + self.rng.uniform(-self.options.drift, self.options.drift)

    def _control_host(self, number: int) -> Host:
        host = Host(
            f"control-{number}",
            (f"10.1.0.{number + 1}", PORT),
            location_of(number),
            lambda host: self._make_control(number),
            self._rate(),
            self.rng.randrange(1000) * SECOND,
        )
        return self.network.add(host)

    def _subscriber_host(self, number: int) -> Host:
        name = f"balancer-{number:04d}"
        names = [f"service-{n:03d}" for n in range(self.options.services)]
        held = self.rng.sample(names, min(self.options.services_held, len(names)))
        self.scopes[name] = Scope(frozenset(held))
        host = Host(
            name,
            (f"10.2.{number >> 8}.{number & 255}", PORT),
            location_of(number),
            self._make_subscriber,
            self._rate(),
            self.rng.randrange(1000) * SECOND,
        )
        return self.network.add(host)

    def _write_disks(self) -> None:
        """Writes the initial disks of all control machines: an earlier incarnation with the first version."""
        voters = drawn(self.options.voters, self.options.control)
        births = {number: number + 1 for number in range(self.options.control)}
        seats = tuple(sorted((number, births[number]) for number in voters))
        state = msgspec.msgpack.encode(State(resources=sorted(self.initial_resources, key=lambda r: r.key)))
        base = Base(1, 1, 1, FIRST_VERSION, len(voters), seats, (), state)
        for number, host in enumerate(self.control):
            kept = Kept((1, 1, 1), births[number], 1, None, Log(base), (1, 1, 1))
            records = [
                ("me", kept.epoch, kept.birth),
                ("heard", kept.heard),
                ("base", base),
                ("vote", 1, None),
            ]
            self.disks[host.name] = [pack(record) for record in records]

    def _make_control(self, number: int) -> _MachineWithDisk:
        host = self.control[number]
        store = ConfigStore()
        places = {n: other.address for n, other in enumerate(self.control)}
        options = ConsensusOptions(
            voters=self.options.voters, datagrams=5_000, size=1_000_000, replace=60 * SECOND
        )
        rng = Random(self.rng.random())
        core = Agree(options, self.seal, number, places, rng, store, disk=True)
        kept = replay(self.disks[host.name])
        if kept is not None:
            core.restore(kept)
        machine = ControlMachine(
            core,
            store,
            self.options.replica,
            self.seal,
            Random(self.rng.random()),
            self.options.coordinator,
        )
        return _MachineWithDisk(machine, self.disks[host.name])

    def _make_subscriber(self, host: Host) -> Subscriber:
        return Subscriber(
            self.options.subscriber,
            self.seal,
            host.name,
            EPOCH_MS + self.network.now // MS + host.starts,
            self.scopes[host.name],
            self.places,
            host.location.region,
            Random(self.rng.random()),
        )

    # ---- operation ----

    def start_control(self, seconds: float = 5.0) -> None:
        """Starts all control machines and waits until each knows the age of its store."""
        for host in self.control:
            self.network.start(host)
        self.network.run(seconds, self.control_ready)

    def control_ready(self) -> bool:
        """Whether every running control machine could grant leases."""
        return all(
            host.core.replica.age(self.network.clock(host)) is not None for host in self.control if host.up
        )

    def start_subscribers(self) -> None:
        """Starts all subscribers at the same instant."""
        for host in self.subscribers:
            self.network.start(host)

    def leader(self) -> Host | None:
        """The running leader of the consensus; with several, the one of the latest term."""
        leading = [h for h in self.control if h.up and h.core.machine.core.voter.role is Role.LEADER]
        if not leading:
            return None
        return max(leading, key=lambda host: int(host.core.machine.core.voter.term))

    def propose(self, body: bytes, host: Host | None = None, wait: float = 3.0) -> bool:
        """Proposes a log entry at the leader or at `host`; returns False if that does not run."""
        target = host or self.leader()
        if target is None or not target.up:
            return False
        machine: ControlMachine = target.core.machine
        now = self.network.clock(target)
        _, out = machine.core.propose(now, body, machine.store.version, int(wait * SECOND))
        self.network.carry(target, target.core.after(now, out))
        return True

    def change(self, puts: tuple[Put, ...] = (), deletes: tuple[Key, ...] = ()) -> bool:
        """Proposes a transaction at the leader."""
        self.next_ident += 1
        return self.propose(encode_entry(Transaction(self.next_ident, "test", puts, deletes)))

    def change_tenant(self, number: int, service: str, share: float) -> bool:
        """Proposes an unguarded change of one tenant."""
        body = encode_body(Tenant((service,), share))
        return self.change((Put(Key(Kind.TENANT, f"tenant-{number:06d}"), body),))

    def newest(self) -> ConfigStore:
        """The store with the newest version among the control machines."""
        stores: list[ConfigStore] = [host.core.machine.store for host in self.control if host.alive]
        return max(stores, key=lambda store: store.version)

    def in_force(self, version: int) -> bool:
        """Whether every running subscriber shows this version or a newer one, and holds a lease."""
        return all(
            host.core.state.version >= version and host.core.lease_left(self.network.clock(host)) > 0
            for host in self.subscribers
            if host.up
        )

    def settled(self) -> bool:
        """Whether every running subscriber shows the newest version and holds a lease."""
        return self.in_force(self.newest().version)


class _MachineWithDisk:
    """A control machine whose records are durable at once."""

    def __init__(self, machine: ControlMachine, disk: list[bytes]) -> None:
        self.machine, self.disk = machine, disk
        self.replica, self.store = machine.replica, machine.store
        self.next_at = 0

    def start(self, now: int) -> Out:
        """Starts the machine."""
        return self._persist(now, self.machine.start(now))

    def on_timer(self, now: int) -> Out:
        """Called at `next_at` or later."""
        return self._persist(now, self.machine.on_timer(now))

    def on_datagram(self, now: int, data: bytes, address: tuple[str, int]) -> Out:
        """Handles one datagram."""
        return self._persist(now, self.machine.on_datagram(now, data, address))

    def after(self, now: int, out: Out) -> Out:
        """Called after the simulation called the consensus core directly."""
        return self._persist(now, self.machine.after(now, out))

    def _persist(self, now: int, out: Out) -> Out:
        core = self.machine.core
        while records := core.take_records():
            self.disk += [pack(record) for record in records]
            out = out + self.machine.after(now, core.on_kept(now, core.shared.written))
        core.take_events()
        core.take_answers()
        self.next_at = self.machine.next_at
        return out

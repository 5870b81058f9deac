"""A randomized run of the control tier and its subscribers: continuous changes under fault injection.

The seed determines the network's conditions, the changes, and the faults: of the leader, a control machine,
a subscriber, a rack, a zone, or of the link between the regions. Hosts are killed, paused, or cut off in
both directions or one, each for a limited time. Then all faults are removed, and within a stated time every
subscriber has to show the newest version and hold a lease. The checker's guarantees hold throughout.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from dykeshift.configuration.checker import Checker
from dykeshift.configuration.resources import Ban, Key, Kind, Route, Service, Tenant, ban_key, encode_body
from dykeshift.configuration.tier import Tier, TierOptions
from dykeshift.configuration.transactions import Advance, Phase, Put, Transaction, encode_entry
from dykeshift.configuration.virtual import Host

FAULT_SECONDS = 40.0  # seconds of changes and faults
RECOVERY_SECONDS = 60.0  # seconds for all subscribers to recover after the faults are removed
LOSSES = (0.0, 0.1, 0.3)
SMALL_TIER = TierOptions(subscribers=12, services=24, tenants=160, routes=60, services_held=4)


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a run."""

    seed: object
    broken: tuple[str, ...]
    faults: dict[str, int]
    versions: int
    settled_after: float  # seconds after the faults were removed; the limit if not all subscribers recovered


class RandomizedRun:
    """One randomized run."""

    def __init__(self, seed: object, options: TierOptions = SMALL_TIER) -> None:
        self.seed = seed
        self.tier = Tier(seed, options)
        self.network = self.tier.network
        self.checker = Checker(self.tier)
        self.rng = Random(f"day/{seed}")
        self.faults: Counter[str] = Counter()
        self.end = 0.0
        self.created_routes = 0

    def run(self) -> Report:
        """Executes the run."""
        tier, network = self.tier, self.network
        tier.start_control()
        tier.start_subscribers()
        network.run(self.rng.uniform(0.5, 6))
        network.conditions.loss = self.rng.choice(LOSSES)
        network.conditions.duplicate_rate = self.rng.choice((0.0, 0.1))
        network.conditions.delay_rate = self.rng.choice((0.0, 0.05))
        self.end = network.now / 1e9 + FAULT_SECONDS
        self._change()
        self._fault()
        network.run(FAULT_SECONDS)
        network.mend()
        network.run(1.0)
        repaired_at = network.now
        settled = network.run(RECOVERY_SECONDS, tier.settled)
        if not settled:
            self.checker.broken.append(f"not settled after {RECOVERY_SECONDS} s: {self._behind()}")
        after = (network.now - repaired_at) / 1e9
        return Report(
            self.seed,
            tuple(self.checker.broken),
            dict(self.faults),
            tier.newest().version,
            after,
        )

    def _behind(self) -> list[str]:
        newest = self.tier.newest().version
        return [
            f"{host.name} at {host.core.state.version} of {newest}, {host.core.phase.value}"
            for host in self.tier.subscribers
            if host.core.state.version < newest or not host.core.lease_left(self.network.clock(host))
        ][:5]

    # ---- changes ----

    def _change(self) -> None:
        if self.network.now / 1e9 >= self.end:
            return
        self.network.after(self.rng.uniform(0.1, 2.0), self._change)
        draw = self.rng.random()
        if draw < 0.45:
            self._change_tenant()
        elif draw < 0.6:
            self._delete_tenant()
        elif draw < 0.75:
            self._change_route()
        elif draw < 0.85:
            self._change_service()
        else:
            self._ban()

    def _service(self) -> str:
        return f"service-{self.rng.randrange(self.tier.options.services):03d}"

    def _change_tenant(self) -> None:
        options = self.tier.options
        services = tuple(sorted({self._service() for _ in range(self.rng.randint(1, 3))}))
        body = encode_body(Tenant(services, self.rng.choice((0.5, 1.0, 2.0))))
        number = self.rng.randrange(options.tenants)
        self.tier.change((Put(Key(Kind.TENANT, f"tenant-{number:06d}"), body),))

    def _delete_tenant(self) -> None:
        held = self.tier.newest()
        names = [f"tenant-{number:06d}" for number in range(self.tier.options.tenants)]
        there = [name for name in names if held.get(Key(Kind.TENANT, name)) is not None]
        if len(there) > len(names) // 2:
            self.tier.change(deletes=(Key(Kind.TENANT, self.rng.choice(there)),))

    def _change_route(self) -> None:
        self.created_routes += 1
        body = encode_body(Route(self._service(), self.rng.choice(("interactive", "batch", "background"))))
        self.tier.change((Put(Key(Kind.ROUTE, f"/new/{self.created_routes}"), body),))

    def _change_service(self) -> None:
        body = encode_body(Service(servers=20, worst_class=self.rng.random()))
        self.tier.change((Put(Key(Kind.SERVICE, self._service()), body),))

    def _ban(self) -> None:
        """Proposes a guarded change and advances it through its joint phase."""
        tier, service = self.tier, self._service()
        tier.next_ident += 1
        ident = tier.next_ident
        put = Put(ban_key(service, "10.0.0.1:80"), encode_body(Ban(service, "10.0.0.1:80", "day")))
        tier.propose(encode_entry(Transaction(ident, "day", (put,))))
        phase = Phase.COMMITTED if self.rng.random() < 0.7 else Phase.ABORTED
        self.network.after(1.0, self._advance, ident, Phase.JOINT)
        self.network.after(8.0, self._advance, ident, phase)

    def _advance(self, ident: int, phase: Phase) -> None:
        self.tier.propose(encode_entry(Advance(ident, phase)))

    # ---- faults ----

    def _fault(self) -> None:
        if self.network.now / 1e9 >= self.end:
            return
        self.network.after(self.rng.uniform(0.5, 5.0), self._fault)
        what, hosts = self.rng.choice(self._targets())
        how = self.rng.choice(("kill", "stop", "cut", "one way"))
        if what == "regions":
            how = self.rng.choice(("cut", "one way"))
        self.faults[f"{what}: {how}"] += 1
        self._inject(how, what, hosts, self.rng.uniform(0.5, 15.0))

    def _targets(self) -> list[tuple[str, list[Host]]]:
        tier, rng = self.tier, self.rng
        leader = tier.leader()
        any_host = rng.choice([*tier.control, *tier.subscribers]).location
        return [
            ("leader", [leader] if leader is not None else []),
            ("control machine", [rng.choice(tier.control)]),
            ("subscriber", [rng.choice(tier.subscribers)]),
            ("subscriber", [rng.choice(tier.subscribers)]),
            ("rack", self.network.group(any_host.rack)),
            ("zone", self.network.group(any_host.zone)),
            ("regions", []),
        ]

    def _inject(self, how: str, what: str, hosts: list[Host], seconds: float) -> None:
        network = self.network
        if how == "kill":
            self._apply_and_undo(hosts, network.kill, network.start, seconds)
        elif how == "stop":
            self._apply_and_undo(hosts, network.stop, network.resume, seconds)
        elif what == "regions":
            self._cut("east", "west", how == "cut", seconds)
        else:
            for host in hosts:
                region = self.rng.choice(("east", "west"))
                if how == "cut":
                    self._cut(host.name, "east", True, seconds)
                    self._cut(host.name, "west", True, seconds)
                elif self.rng.random() < 0.5:
                    self._cut(host.name, region, False, seconds)
                else:
                    self._cut(region, host.name, False, seconds)

    def _apply_and_undo(
        self, hosts: list[Host], do: Callable[[Host], None], undo: Callable[[Host], None], seconds: float
    ) -> None:
        for host in hosts:
            do(host)
            self.network.after(seconds * self.rng.uniform(0.8, 1.2), undo, host)

    def _cut(self, one: str, other: str, both: bool, seconds: float) -> None:
        pairs = {(one, other), (other, one)} if both else {(one, other)}
        self.network.cuts |= pairs
        self.network.after(seconds, self.network.cuts.difference_update, pairs)


def run_seed(seed: object, options: TierOptions = SMALL_TIER) -> Report:
    """Executes the run of a seed."""
    return RandomizedRun(seed, options).run()

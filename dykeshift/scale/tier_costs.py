"""What the control tier takes through losses on the virtual clock, by the number of subscribers.

Theory of operation. One play for each number of subscribers gives all figures: nine control machines hold
the whole configuration; all subscribers begin from nothing; one comes back from nothing; a zone is lost
whole, with its machines, and comes back; the regions are apart and find each other. While it lasts a change
is asked for: of those that can be reached all have it in force after so long. Times are virtual, bytes those
of the datagrams: the same for the same seed. `benchmarks/configuration_tier.py` has the quiet, the start and
changes; an hour apart is played as `APART_S` seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import cache

from dykeshift.agree.seats import drawn
from dykeshift.configuration.resources import Key, Kind, Tenant, encode_body
from dykeshift.configuration.tier import Tier, TierOptions
from dykeshift.configuration.transactions import Put, Transaction, encode_entry
from dykeshift.configuration.virtual import SECOND, Host
from dykeshift.scale.control_costs import (
    GIVEN_UP,
    ControlCost,
)
from dykeshift.scale.results import Role, Situation

SUBSCRIBER_SIZES = (40, 100, 200)
KEY_SIZES = (1, 10, 100)
SERVICES, ROUTES, TENANTS = 510, 2_400, 30_000
SERVICES_HELD = 10
CONTROL_MACHINES, VOTERS = 9, 5

LIMIT_S = 120.0  # until something has settled
REST_S = 10.0  # before the first loss
RETRY_S = 3.0  # after which a change that is not committed is asked for again
APART_S = 60.0
LOST_ZONE, CUT_REGIONS = "zone-4", ("east", "west")

SUBSCRIBER, VOTER, REPLICA = "subscriber", "voter", "replica"


@dataclass(frozen=True, slots=True)
class Spent:
    """What a host spent in a second of an event."""

    sent_bytes: float
    received_bytes: float


@dataclass(slots=True)
class TierFigures:
    """What a play showed: seconds by what was waited for, costs by event and kind of host."""

    seconds: dict[str, list[float]] = field(default_factory=dict)
    spent: dict[tuple[str, str], list[Spent]] = field(default_factory=dict)


class _Play:
    def __init__(self, subscribers: int, seed: int) -> None:
        self.tier = Tier(
            seed,
            TierOptions(
                control=CONTROL_MACHINES,
                voters=VOTERS,
                subscribers=subscribers,
                services=SERVICES,
                tenants=TENANTS,
                routes=ROUTES,
                services_held=SERVICES_HELD,
            ),
        )
        self.network = self.tier.network
        voting = drawn(VOTERS, CONTROL_MACHINES)
        self.kinds = [VOTER if n in voting else REPLICA for n in range(CONTROL_MACHINES)]
        self.figures = TierFigures()
        self.changed = 0

    def all(self) -> TierFigures:
        """Every event, in order."""
        self.tier.start_control(LIMIT_S)
        self.tier.start_subscribers()
        self.network.run(LIMIT_S, self.tier.settled)
        self.network.run(REST_S)
        self._event("rejoin", self._rejoin)
        self._event("zone", self._zone_lost)
        self._event("zone-back", self._zone_back)
        self._event("regions", self._apart)
        self._event("regions-back", self._joined)
        return self.figures

    # ---- events ----

    def _change_until(self, name: str, hosts: list[Host]) -> None:
        """A tenant's share changes; noted is the time from asking until these have it in force."""
        began, before = self.network.now, self.tier.newest().version
        self.changed += 1
        service = f"service-{self.changed % SERVICES:03d}"
        for _ in range(int(LIMIT_S / RETRY_S)):  # an operator asks again, where somebody else may lead by now
            self.tier.change_tenant(self.changed, service, 1.0 + self.changed % 5)
            if self.network.run(RETRY_S, lambda: self.tier.newest().version > before):
                break
        version = self.tier.newest().version
        done = version > before and self.network.run(LIMIT_S, lambda: self._in_force_at(hosts, version))
        self._note(name, (self.network.now - began) / SECOND if done else LIMIT_S)

    def _rejoin(self) -> None:
        host = self.tier.subscribers[0]
        self.network.kill(host)
        self.network.run(1.0)
        self.network.start(host)
        self._wait("rejoin", self.tier.settled)

    def _zone_lost(self) -> None:
        for host in self.network.group(LOST_ZONE):
            self.network.kill(host)
        self._change_until("zone-change", self.tier.subscribers)

    def _zone_back(self) -> None:
        for host in self.network.group(LOST_ZONE):
            self.network.start(host)
        self._wait("zone-back", self.tier.settled)

    def _apart(self) -> None:
        self.network.cut(*CUT_REGIONS)
        home = [host for host in self.tier.subscribers if host.location.region == CUT_REGIONS[0]]
        self._change_until("regions-home", home)
        self.network.run(APART_S)

    def _joined(self) -> None:
        self.network.mend()
        self._wait("regions-back", self.tier.settled)

    def _in_force_at(self, hosts: list[Host], version: int) -> bool:
        return all(
            host.core.state.version >= version and host.core.lease_left(self.network.clock(host)) > 0
            for host in hosts
            if host.up
        )

    # ---- measuring ----

    def _wait(self, name: str, until: Callable[[], bool]) -> None:
        began = self.network.now
        done = self.network.run(LIMIT_S, until)
        self._note(name, (self.network.now - began) / SECOND if done else LIMIT_S)

    def _note(self, name: str, seconds: float) -> None:
        self.figures.seconds.setdefault(name, []).append(min(seconds, LIMIT_S))

    def _event(self, name: str, run: Callable[[], None]) -> None:
        hosts = [(SUBSCRIBER, host) for host in self.tier.subscribers]
        hosts += list(zip(self.kinds, self.tier.control, strict=True))
        before = [_reading(host) for _, host in hosts]
        began = self.network.now
        run()
        seconds = max(1.0, (self.network.now - began) / SECOND)
        for (kind, host), old in zip(hosts, before, strict=True):
            spent = _difference(old, _reading(host), seconds)
            self.figures.spent.setdefault((name, kind), []).append(spent)


def _reading(host: Host) -> tuple[float, float]:
    return host.cost.sent_bytes, host.cost.received_bytes


def _difference(before: Iterable[float], after: Iterable[float], seconds: float) -> Spent:
    return Spent(*((new - old) / seconds for old, new in zip(before, after, strict=True)))


@cache
def play(subscribers: int, seed: int) -> TierFigures:
    """The play of that many subscribers; the same for the same seed, processor time apart."""
    return _Play(subscribers, seed).all()


# ---- all of them ----

CONDITIONS = {
    "configuration": f"{SERVICES} services, {ROUTES} routes, {TENANTS} tenants",
    "services of a balancer": str(SERVICES_HELD),
    "machines": f"{CONTROL_MACHINES}, of them {VOTERS} voters",
}
TIMES = (
    ("rejoin", "one comes back from nothing", Situation.BACK_FROM_NOTHING),
    ("zone-change", "a change while a zone is gone, in force at all others", Situation.ZONE_GONE),
    ("zone-back", "the zone comes back from nothing", Situation.ZONE_GONE),
    ("regions-home", "a change while regions are apart, in force at home", Situation.REGIONS_APART),
    ("regions-back", "regions find each other, until all hold the newest", Situation.REGIONS_APART),
)
EVENTS = (("zone", Situation.ZONE_GONE), ("regions", Situation.REGIONS_APART))
KINDS = ((SUBSCRIBER, Role.CONTROL), (VOTER, Role.VOTER), (REPLICA, Role.REPLICA))


def change_bytes(keys: int, seed: int) -> list[float]:
    """Bytes of a change of so many tenants, as the log keeps it."""
    puts = tuple(
        Put(Key(Kind.TENANT, f"tenant-{number:06d}"), encode_body(Tenant((f"service-{seed:03d}",), 1.5)))
        for number in range(keys)
    )
    return [float(len(encode_entry(Transaction(seed, "operator", puts))))]


def _seconds(name: str) -> Callable[[int, int], list[float]]:
    return lambda size, seed: play(size, seed).seconds[name]


def _spent(event: str, kind: str, figure: str) -> Callable[[int, int], list[float]]:
    return lambda size, seed: [getattr(one, figure) for one in play(size, seed).spent[event, kind]]


def costs() -> tuple[ControlCost, ...]:
    """All costs of the control tier."""
    limit = {"limit": f"{LIMIT_S:g} s"}
    times = tuple(
        ControlCost(
            f"tier.{name}.time",
            text,
            "time",
            "s",
            _seconds(name),
            SUBSCRIBER_SIZES,
            "subscribers",
            "subscribers",
            situation=situation,
            conditions=CONDITIONS | limit,
            notes=GIVEN_UP,
        )
        for name, text, situation in TIMES
    )
    rates = tuple(
        ControlCost(
            f"tier.{event}.{kind}.{figure}",
            f"{event}, a {kind}",
            quantity,
            unit,
            _spent(event, kind, field_name),
            SUBSCRIBER_SIZES,
            "subscribers",
            "subscribers",
            role=role,
            situation=situation,
            conditions=CONDITIONS,
        )
        for event, situation in EVENTS
        for kind, role in KINDS
        for figure, field_name, quantity, unit in (
            ("bytes", "sent_bytes", "bytes sent", "bytes/s"),
            ("received", "received_bytes", "bytes received", "bytes/s"),
        )
    )
    length = ControlCost(
        "tier.change.length",
        "a change of so many tenants, as the log keeps it",
        "length",
        "bytes",
        change_bytes,
        KEY_SIZES,
        "keys changed",
        "keys",
        situation=Situation.ORDINARY_DAY,
    )
    return (*times, *rates, length)

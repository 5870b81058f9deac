"""A day of a fleet, as plain typed data: what is played, apart from how.

Everything is a msgspec structure, so that experiment files are read straight into it and a wrong or unknown
field is named with its place. Times are seconds, work and delays milliseconds; `load` is a share of what the
warm senders can do. Two policies that get the same `Day` and seed see the same requests, sizes and troubles.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from dykeshift.interface import Idempotency, RequestClass, Scope, Settings

MS = 1_000_000
SECOND = 1000 * MS

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]

MOST_SENDERS, MOST_BALANCERS = 4_000, 500

_IDEMPOTENCY = {"safe": Idempotency.SAFE, "keyed": Idempotency.KEYED, "unsafe": Idempotency.UNSAFE}
_SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class Base(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Common options of the day's structures: frozen, keyword-only, unknown fields refused."""


class Class(Base, frozen=True):
    """A class of requests, and its part of all."""

    name: str
    share: Share
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    late_share: Share = 0.0
    idempotency: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "cell"
    window_ms: NotNegative = 4_000.0

    def terms(self) -> RequestClass:
        """The class as the decision module takes it, in nanoseconds."""
        return RequestClass(
            name=self.name,
            aim=int(self.aim_ms * MS),
            deadline=int(self.deadline_ms * MS),
            worth=self.worth,
            late_share=self.late_share,
            idempotency=_IDEMPOTENCY[self.idempotency],
            scope=_SCOPES[self.scope],
            window=int(self.window_ms * MS),
        )


CLASSES = (
    Class(name="status-check", share=0.5, aim_ms=300, deadline_ms=1000, worth=1.0),
    Class(
        name="reminder-set",
        share=0.3,
        aim_ms=400,
        deadline_ms=1500,
        worth=2.0,
        late_share=0.3,
        idempotency="keyed",
    ),
    Class(
        name="sms-send",
        share=0.2,
        aim_ms=500,
        deadline_ms=2000,
        worth=4.0,
        late_share=0.3,
        idempotency="unsafe",
    ),
)


class Work(Base, frozen=True):
    """The size of a request: time on one slot of a warm sender of speed 1."""

    law: Literal["exponential", "constant", "hyperexponential", "pareto"] = "exponential"
    mean_ms: Positive = 30.0
    variation: Annotated[float, Meta(ge=1)] = 10.0  # squared coefficient, of the hyperexponential
    tail: Annotated[float, Meta(gt=1)] = 2.2  # exponent, of the Pareto
    slowdown: Literal["none", "dolly"] = "none"  # drawn anew at each start: the paper's S&X model
    hinted: bool = False  # clients tell the size


class Kind(Base, frozen=True):
    """A kind of machine: its part of the fleet and its speed."""

    share: Share
    speed: Positive
    weighed: bool = True  # discovery tells its speed as a weight


class Senders(Base, frozen=True):
    """The senders (upstreams): how many, how fast, how they queue, warm up and report."""

    count: Annotated[int, Meta(ge=1, le=MOST_SENDERS)] = 14
    slots: Count = 2
    queue: Annotated[int, Meta(ge=0)] = 200  # waiting room; a request beyond it is turned away as full
    discipline: Literal["fcfs", "sharing"] = "fcfs"
    kinds: tuple[Kind, ...] = ()  # the rest has speed 1
    zones: Count = 2
    cells: Count = 4
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.12
    cold_s: Positive = 23.0
    fall_multiple: Positive = 3.0
    fall_s: Positive = 3.0
    stops_work: bool = True  # a cancelled attempt frees its slot
    report: tuple[Literal["in_flight", "queued", "utilization", "errors_per_s"], ...] = (
        "utilization",
        "errors_per_s",
    )
    report_age_ms: NotNegative = 250.0
    report_noise: Share = 0.05
    connections: Annotated[int, Meta(ge=0)] = 0  # that each takes at once; 0: connections are left out
    handshake_ms: NotNegative = 0.0  # work that a new one costs, before its first request
    idle_s: Positive = 10.0  # after which an unused one is closed

    def capacity(self) -> float:
        """Work that all do when warm, in seconds of work a second."""
        rest = 1 - sum(k.share for k in self.kinds)
        return self.count * self.slots * (sum(k.share * k.speed for k in self.kinds) + rest)


class Stretch(Base, frozen=True):
    """A part of the day's load: from `load` to `to`, in a straight line, with a wave laid over it."""

    seconds: Positive
    load: NotNegative = 0.6
    to: NotNegative | None = None
    swing: NotNegative = 0.0
    period_s: Positive = 1.0


class Clients(Base, frozen=True):
    """How clients retry and how patient they are."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 0  # after a refusal, or a failure that may be repeated
    backoff_ms: NotNegative = 20.0  # where no advice says otherwise
    impatient: Share = 0.0  # part that leaves long before its time is over
    pushy: Share = 0.0  # part that comes again at once and often, whatever it is advised
    trace: tuple[float, ...] = ()  # seconds of arrival; replaces the load's shape


class Network(Base, frozen=True):
    """Latency within and between zones, and the cost of new connections."""

    near_ms: NotNegative = 0.3  # one way
    far_ms: NotNegative = 1.5
    jitter: NotNegative = 0.2  # share of a way that chance adds, at most
    lost_connects: Share = 0.0
    connect_ms: Positive = 1_000.0  # after which a lost connect is given up
    handshake_ways: Annotated[int, Meta(ge=0)] = 2  # that a new connection takes before its first request


class Discovery(Base, frozen=True):
    """How changes of the list are gathered and how late each balancer hears of them."""

    every_s: Positive = 0.5  # changes gather for so long
    late_s: NotNegative = 0.5  # and arrive up to so much later, by balancer


class Balancers(Base, frozen=True):
    """The balancers, how traffic is spread over them, and what their settings allow."""

    count: Annotated[int, Meta(ge=1, le=MOST_BALANCERS)] = 4
    told: Annotated[int, Meta(ge=0)] = 0  # what settings say of their number; 0: the truth
    first_share: Share = 0.0  # of the traffic at the first one; 0: even
    attempts: Annotated[int, Meta(ge=1, le=3)] = 3
    copies: bool = True
    cancel: bool = True
    advice_ms: NotNegative = 0.0  # longest time to return that clients respect


class Prices(Base, frozen=True):
    """What a day costs, in parts of all the worth asked for, for each unit."""

    cross_zone: NotNegative = 0.0  # attempts that cross zones, for each first try
    connection: NotNegative = 0.0  # mean open connections, for each hundred and sender
    handshake: NotNegative = 0.0  # new connections, for each first try
    waste: NotNegative = 0.0  # work that served no answer, of all work


class Trouble(Base, frozen=True):
    """Something that goes wrong for a part of the senders (or balancers), one by one over `spread_s`.

    restart: dies and is back at once, cold. roll: drains, ends, is back cold. kill: dies without a word and
    stays away. hang: takes all and answers nothing. pause: stands still. slow: `size` times slower. errors:
    a share `size` fails. refuse: turns away as full. lose: connects are lost. flood: `size` times the load.
    discovery-late: changes come `size` seconds later. balancer-restart: its requests are lost, it comes back
    with its list of `stale_s` before. balancer-gone: it stays away, its clients go to the others.
    replace: drains and ends, and another sender comes up cold under an id of its own, at its address.
    reset, mute: a share `size` of the answers is lost, by a reset or without a word, after the work is done.
    zone-lost: the machines of one zone vanish, and are back cold. zone-cut: one zone and the others don't
    reach each other, nor discovery that zone. balancer-roll: takes no more, ends, is back with its old list.
    discovery-moves: the balancer is told of another discovery (SIGHUP); the old one soon says no more.
    balancer-doubt: for `seconds` it can't know what the others act on, and is careful; with `size` 0 it takes
    nothing meanwhile.
    """

    kind: Literal[
        "restart",
        "roll",
        "kill",
        "hang",
        "pause",
        "slow",
        "errors",
        "refuse",
        "lose",
        "flood",
        "discovery-late",
        "balancer-restart",
        "balancer-gone",
        "replace",
        "reset",
        "mute",
        "zone-lost",
        "zone-cut",
        "balancer-roll",
        "discovery-moves",
        "balancer-doubt",
    ]
    at: NotNegative
    seconds: NotNegative = 0.0
    part: Share = 0.1
    spread_s: NotNegative = 0.0
    size: NotNegative = 1.0
    stale_s: NotNegative = 0.0  # age of the list that a balancer comes back with


class Day(Base, frozen=True):
    """All that is played; raises ValueError where its parts do not fit together."""

    senders: Senders = Senders()
    balancers: Balancers = Balancers()
    work: Work = Work()
    load: tuple[Stretch, ...] = (Stretch(seconds=10.0),)
    warm_s: NotNegative = 2.0  # requests from before are left out of the figures
    classes: tuple[Class, ...] = CLASSES
    clients: Clients = Clients()
    network: Network = Network()
    discovery: Discovery = Discovery()
    prices: Prices = Prices()
    troubles: tuple[Trouble, ...] = ()

    def __post_init__(self) -> None:
        if abs(sum(c.share for c in self.classes) - 1) > 1e-6:
            raise ValueError("the classes' shares do not add up to 1")
        if sum(k.share for k in self.senders.kinds) > 1 + 1e-9:
            raise ValueError("the kinds' shares add up to more than 1")
        if self.warm_s >= self.seconds:
            raise ValueError("warm_s is as long as the day")

    @property
    def seconds(self) -> float:
        """How long errands arrive: the trace's end, or the stretches of load together."""
        return max(self.clients.trace, default=0.0) or sum(s.seconds for s in self.load)

    def settings(self, number: int) -> Settings:
        """What the balancer of this number is told."""
        balancers, senders = self.balancers, self.senders
        return Settings(
            classes=tuple(c.terms() for c in self.classes),
            balancers=balancers.told or balancers.count,
            zone=number % senders.zones,
            ask_discovery=False,
            ask_every=10 * SECOND,
            attempt_limit=balancers.attempts,
            copies_allowed=balancers.copies,
            cancel_allowed=balancers.cancel,
            cold_share=senders.cold_share,
            cold_time=int(senders.cold_s * SECOND),
            overload_multiple=senders.fall_multiple,
            overload_window=int(senders.fall_s * SECOND),
            answer_slack=8 * MS,
            step=MS,
            retry_advice_limit=int(balancers.advice_ms * MS),
        )

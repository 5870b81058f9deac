"""A scenario: the complete description of a simulation run, drawn from a seed or read from a file.

A scenario is plain data. Running the same one gives the same events; a part (a fault, some requests) can be
removed without changing the rest, which is what `shrink` does.

Swarm testing (Groce et al., ISSTA 2012): each seed enables a random subset of the kinds of faults, so that
no kind is always present and masks another, and combinations are common.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field, replace
from random import Random

from dykeshift.standins.hl7 import MODES

VERSION = 1
FAULT_PERIOD = 7.0  # seconds during which requests are sent and faults start
FAULTS_END = 8.0  # seconds from the start; all faults have ended by then
RECOVERY = 4.0  # seconds after FAULTS_END until requests must be served again
PROBE_PERIOD = 2.0  # seconds of probe requests, which check that they are
CLASSES = ("status-check", "reminder-set", "sms-send")
KINDS = {"status-check": "safe", "reminder-set": "keyed", "sms-send": "unsafe"}

FAULTS = (
    "stall",
    "sender-stall",
    "hang",
    "hang-class",
    "slow",
    "lose",
    "errors",
    "resets",
    "garble",
    "extra",
    "forget",
    "cut-stream",
    "cut-answer",
    "discovery-slow",
    "discovery-fails",
    "discovery-silent",
    "discovery-stale",
    "discovery-resets",
    "clock-step",
    "kill-balancer",
    "restart-balancer",
    "reload",
    "reload-and-term",
    "drain",
    "kill-sender",
    "vanish-sender",
    "swap-addresses",
    "release",
    "cut-room",
    "cut-discovery",
    "spikes",
    "flood",
    "costly",
)
WATCH_FAULTS = ("watches-silent", "watches-reset")  # of all open watches at once: only with WATCHES
DISK_FAULTS = ("disk-full", "disk-slow", "disk-fails")  # only where balancers keep a journal
OPERATORS = ("ban", "standby", "retune")  # actions of operators: only with WITH_OPERATORS
# Suffixes of seeds, which select the kind of scenario that is drawn:
WITH_OPERATORS = "+ops"  # operators call the balancers' consoles
WITH_MLLP = "+mllp"  # clinics send messages over MLLP
WITH_VIEW = "+view"  # balancers keep a view of the fleet
ENDS = "+ends"  # balancers are terminated under traffic, with various longest deadlines
WATCHES = "+watches"  # all discovery watches break just before senders drain for long
AGED = "+aged"  # after the faults, answers are streamed on connections that clients have kept for long
REPLACED = "+replaced"  # senders are replaced at their addresses by others of another rack, listed late
STRICTER = "+stricter"  # clinics, and during the faults their keyed class becomes unsafe
COLD_AT_SIZE = "+cold"  # many balancers, and few senders that restart under load


class ScenarioError(ValueError):
    """An unusable scenario; the message is one line."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times are in seconds."""

    kind: str
    at: float  # seconds from the start
    length: float = 0.0
    which: int = 0  # index of the balancer, sender or zone, modulo their number
    size: float = 0.0  # severity; the meaning depends on the kind


@dataclass(frozen=True, slots=True)
class Ask:
    """One errand of a client. Times are in seconds; `cost` is in milliseconds of work."""

    at: float
    klass: int
    deadline: float
    cost: int
    retries: int = 0
    hinted: bool = False
    leaves: float | None = None
    clinic: int = -1  # sent by this clinic as an HL7 message over MLLP; -1: by an HTTP client
    mode: str = "original"  # the acknowledgement mode of a clinic's message
    half: bool = False  # the connection is closed in the middle of the first frame
    twin: bool = False  # it is sent on two connections at once
    pause: float = 0.0  # between connecting and sending the request


PROGRAM_DESCRIPTORS = 14  # descriptors that an idle real process has open and a simulated one does not


@dataclass(frozen=True, slots=True)
class Options:
    """The fleet, and the properties of machines and network."""

    balancers: int = 3
    senders: int = 6
    zones: int = 2
    racks: int = 2
    slots: int = 2
    descriptors: int = 1024  # limit of each balancer, including PROGRAM_DESCRIPTORS
    sender_table: int = 200  # most connections that a sender accepts
    keepalive: float = 8.0
    push: bool = False
    copies: bool = True
    cancel: bool = True
    cold_share: float = 0.2
    cold_time: float = 5.0
    window: float = 4.0  # seconds in which a rack drops repeats of a key
    front_notice: float = 1.0
    uvloop: bool = True
    callback_us: int = 20
    grid_us: int = 0
    tear: float = 0.1
    buffer: int = 65536
    reset_discards: bool = False
    clinics: int = 0
    mllp_senders: bool = False  # the senders speak MLLP, not HTTP
    journal: bool = False  # balancers keep a journal on a disk that persists over restarts
    consoles: bool = False  # balancers have consoles, and operators call them
    view: bool = False  # the balancers keep a view of the fleet
    peer_loss: float = 0.0  # share of the datagrams between balancers that are lost
    probe_stream_share: float = 0.0  # of the answers after the faults that come in pieces, with no length
    longest: float = 1.5  # seconds: the longest deadline of a class; the others are in proportion
    listed_after: float = 0.0  # seconds by which discovery learns later of new senders
    stricter_at: float = 0.0  # seconds until the keyed class becomes unsafe; 0: never


@dataclass(frozen=True, slots=True)
class Scenario:
    """Options, requests and faults; all other random choices of a run are drawn from `seed`."""

    seed: str
    options: Options = field(default_factory=Options)
    asks: tuple[Ask, ...] = ()
    faults: tuple[Fault, ...] = ()

    def dump(self) -> str:
        """The scenario as JSON, which `load` reads."""
        return json.dumps({"version": VERSION, **asdict(self)}, indent=None, separators=(",", ":"))

    def without(self, faults: set[int], asks: set[int]) -> Scenario:
        """The scenario without the faults and requests at these indices."""
        return replace(
            self,
            faults=tuple(f for n, f in enumerate(self.faults) if n not in faults),
            asks=tuple(a for n, a in enumerate(self.asks) if n not in asks),
        )


def load(text: str) -> Scenario:
    """Read a scenario from JSON. Raises ScenarioError."""
    try:
        raw = json.loads(text)
        if raw.get("version") != VERSION:
            raise ScenarioError(f"unsupported version {raw.get('version')!r}, this program reads {VERSION}")
        faults = tuple(Fault(**f) for f in raw["faults"])
        unknown = {f.kind for f in faults} - {*FAULTS, *DISK_FAULTS, *OPERATORS, *WATCH_FAULTS}
        if unknown:
            raise ScenarioError(f"unknown kind of fault: {sorted(unknown)[0]}")
        asks = tuple(Ask(**a) for a in raw["asks"])
        if any(not 0 <= a.klass < len(CLASSES) for a in asks):
            raise ScenarioError("a request's class is out of range")
        options = Options(**raw["options"])
        if any(not -1 <= a.clinic < options.clinics or a.mode not in MODES for a in asks):
            raise ScenarioError("a request's clinic or mode is out of range")
        return Scenario(str(raw["seed"]), options, asks, faults)
    except ScenarioError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        raise ScenarioError(f"not a scenario: {type(exc).__name__}: {exc}") from None


# ---- drawing ----


def _rng(seed: str, name: str) -> Random:
    digest = hashlib.blake2b(f"{seed}/scenario/{name}".encode(), digest_size=8).digest()
    return Random(int.from_bytes(digest, "big"))


def bare(seed: str) -> str:
    """The seed without its suffixes."""
    for kind in (WITH_OPERATORS, WITH_VIEW, COLD_AT_SIZE, WATCHES, ENDS, AGED, REPLACED, STRICTER, WITH_MLLP):
        seed = seed.removesuffix(kind)
    return seed


def draw(seed: str) -> Scenario:
    """Draw the scenario of a seed.

    A suffix selects a variant of the seed's scenario: `+mllp` with clinics, `+ops` with operators, `+view`
    with more balancers that keep a view of the fleet, `+ends` with terminations of balancers,
    `+aged` with streamed answers on old connections, `+replaced` with senders replaced at their addresses.
    `+stricter` with clinics and a class that becomes unsafe. `+cold` and `+watches` select scenarios of
    their own.
    """
    if seed.endswith(STRICTER):
        return _with_stricter_class(seed, draw(seed.removesuffix(STRICTER) + WITH_MLLP))
    if seed.endswith(REPLACED):
        return _with_replacements(_rng(seed, "replaced"), seed, draw(seed.removesuffix(REPLACED)))
    if seed.endswith(AGED):
        return _with_aged_connections(seed, draw(seed.removesuffix(AGED)))
    if seed.endswith(ENDS):
        return _with_ends(_rng(seed, "ends"), seed, draw(seed.removesuffix(ENDS)))
    if seed.endswith(WITH_VIEW):
        return _with_view(_rng(seed, "view"), seed, draw(seed.removesuffix(WITH_VIEW)))
    if seed.endswith(WITH_OPERATORS):
        return _with_operators(_rng(seed, "operators"), seed, draw(seed.removesuffix(WITH_OPERATORS)))
    if seed.endswith(COLD_AT_SIZE):
        return _cold_senders_many_balancers(_rng(seed, "cold"), seed)
    if seed.endswith(WATCHES):
        return _watches_break(_rng(seed, "watches"), seed)
    if seed.endswith(WITH_MLLP):
        return _with_clinics(_rng(seed, "clinics"), seed, draw(seed.removesuffix(WITH_MLLP)))
    options = _draw_options(_rng(seed, "options"))
    faults = _draw_faults(_rng(seed, "faults"), options)
    asks = _draw_asks(_rng(seed, "asks"), options, faults)
    return Scenario(seed, options, asks, faults)


def _draw_options(random: Random) -> Options:
    grid = random.choice([0, 0, 0, 100, 1000, 5000])
    return Options(
        balancers=random.choice([1, 2, 2, 3]),
        senders=random.randint(3, 8),
        zones=random.choice([1, 2, 3]),
        racks=random.choice([1, 2, 3]),
        slots=random.choice([1, 1, 2, 4]),
        descriptors=random.choice([1024, 1024, 1024, 42, 56]),
        sender_table=random.choice([200, 200, 200, 3, 8]),
        keepalive=random.choice([1.0, 3.0, 5.0]),
        push=random.random() < 0.25,
        copies=random.random() < 0.85,
        cancel=random.random() < 0.85,
        cold_share=random.choice([0.12, 0.12, 0.3]),
        cold_time=random.choice([4.0, 10.0, 20.0]),
        window=random.choice([0.2, 1.0, 4.0]),
        front_notice=random.choice([0.3, 1.0, 2.0]),
        uvloop=random.random() < 0.7,
        callback_us=0 if grid else random.choice([0, 5, 20, 50]),
        grid_us=grid,
        tear=random.choice([0.0, 0.1, 0.5]),
        buffer=random.choice([256, 4096, 65536, 65536]),
        reset_discards=random.random() < 0.3,
    )


def _round(seconds: float, options: Options) -> float:
    grid = options.grid_us / 1e6
    return round(round(seconds / grid) * grid, 6) if grid else round(seconds, 6)


SIZES = {
    "slow": (2.0, 20.0),
    "lose": (0.05, 0.6),
    "errors": (0.1, 1.0),
    "resets": (0.05, 0.6),
    "garble": (0.05, 0.6),
    "extra": (0.1, 0.8),
    "forget": (0.2, 1.0),
    "cut-stream": (0.0, 1.0),
    "cut-answer": (0.0, 1.0),
    "discovery-slow": (0.1, 3.0),
    "discovery-fails": (0.3, 1.0),
    "clock-step": (-120.0, 120.0),
    "spikes": (0.02, 0.3),
    "flood": (20, 120),
    "costly": (3.0, 12.0),
    "kill-balancer": (0.0, 1.0),
}
LENGTHS = {
    "stall": (0.02, 1.2),
    "sender-stall": (0.1, 3.0),
    "flood": (0.05, 0.6),
    "kill-balancer": (0.1, 3.0),
    "kill-sender": (0.1, 2.0),
    "vanish-sender": (0.3, 3.0),
    "restart-balancer": (0.5, 2.5),
}
MAX_OCCURRENCES = {"stall": 3, "cut-stream": 4, "cut-answer": 4, "drain": 2, "kill-sender": 2, "flood": 2}


def _draw_faults(random: Random, options: Options) -> tuple[Fault, ...]:
    enabled = [kind for kind in FAULTS if random.random() < random.choice([0.15, 0.35])]
    faults = list[Fault]()
    cluster_times = [random.uniform(0.3, FAULT_PERIOD) for _ in range(3)]  # faults cluster around these times
    for kind in enabled:
        for _ in range(random.randint(1, MAX_OCCURRENCES.get(kind, 1) + 1)):
            at = (
                random.choice(cluster_times) + random.choice([0.0, 0.0, random.gauss(0, 0.05)])
                if random.random() < 0.6
                else random.uniform(0.2, FAULT_PERIOD)
            )
            low, high = LENGTHS.get(kind, (0.2, 4.0))
            length = low * (high / low) ** random.random()
            at = min(max(at, 0.05), FAULT_PERIOD)
            faults.append(
                Fault(
                    kind,
                    _round(at, options),
                    _round(min(length, FAULTS_END - at), options),
                    random.randrange(1000),
                    round(random.uniform(*SIZES.get(kind, (0.0, 1.0))), 4),
                )
            )
    return tuple(sorted(faults, key=lambda f: f.at))


def _draw_asks(random: Random, options: Options, faults: tuple[Fault, ...]) -> tuple[Ask, ...]:
    """Clients' errands: a steady stream and bursts during the faults, then the probe requests."""
    rate = random.choice([10.0, 20.0, 28.0])
    load = random.choice(
        [0.15, 0.35, 0.6, 0.8]
    )  # of what the senders can do, within what aims leave sensible
    mean_cost = min(max(load * options.senders * options.slots * 1000 / rate, 20.0), 120.0)
    asks = list[Ask]()
    mix = random.choice([(0.4, 0.3, 0.3), (0.1, 0.1, 0.8), (0.1, 0.8, 0.1), (0.8, 0.1, 0.1)])
    at = 0.0
    while (at := at + random.expovariate(rate)) < FAULT_PERIOD:
        asks.append(_ask(random, at, mix, mean_cost, options))
    for fault in faults:
        if fault.kind == "flood":
            asks += [
                _ask(random, fault.at + random.random() * fault.length, mix, mean_cost, options)
                for _ in range(int(fault.size))
            ]
        if fault.kind == "costly":
            asks += [
                _ask(random, fault.at + random.random() * fault.length, mix, mean_cost * fault.size, options)
                for _ in range(6)
            ]
    asks += _probe_asks(options)
    return tuple(sorted(asks, key=lambda a: a.at))


def _probe_asks(options: Options) -> list[Ask]:
    """The probe requests after the faults, which check that requests are served again."""
    first = FAULTS_END + RECOVERY
    return [Ask(_round(first + n * PROBE_PERIOD / 24, options), n % 3, 1.5, 30, retries=2) for n in range(24)]


def _ask(random: Random, at: float, mix: tuple[float, ...], cost: float, options: Options) -> Ask:
    klass = random.choices(range(3), mix)[0]
    work = max(5, int(random.expovariate(1 / cost)))
    return Ask(
        at=_round(at, options),
        klass=klass,
        deadline=round(random.choice([1.0, 1.0, random.uniform(0.15, 1.5), 0.2]), 3),
        cost=min(work, int(cost * 4)),
        retries=random.choice([0, 0, 1, 2]),
        hinted=random.random() < 0.5,
        leaves=round(random.uniform(0.005, 0.5), 3) if random.random() < 0.06 else None,
    )


# ---- cold senders: only the cold budget keeps them from being overloaded ----


def _cold_senders_many_balancers(random: Random, seed: str) -> Scenario:
    """So many balancers that one attempt from each overloads a cold sender: a limit for each can't help."""
    options = Options(
        balancers=random.choice([40, 60]),
        senders=5,
        slots=1,
        cold_share=0.12,
        cold_time=20.0,
        callback_us=0,
        keepalive=5.0,
    )
    rate, load = random.choice([120.0, 160.0]), random.choice([0.7, 0.9])
    cost = load * options.senders * options.slots * 1000 / rate
    asks, at = list[Ask](), 0.0
    while (at := at + random.expovariate(rate)) < FAULT_PERIOD:
        work = min(max(2, int(random.expovariate(1 / cost))), int(cost * 4))
        asks.append(
            Ask(_round(at, options), random.choices(range(3), (0.2, 0.4, 0.4))[0], 1.0, work, retries=2)
        )
    faults = (
        Fault("release", round(random.uniform(0.5, 2.0), 3), 2.0, random.randrange(1000), 1.0),
        Fault("kill-sender", round(random.uniform(2.5, 4.0), 3), 0.3, random.randrange(1000), 0.5),
    )
    return Scenario(seed, options, (*asks, *_probe_asks(options)), faults)


# ---- balancers are terminated, and killed as early as the protocol page allows ----

LONGEST_DEADLINES = (0.2, 0.7, 1.2, 1.557, 2.157, 3.0, 4.0)
# Seconds: SIGKILL follows SIGTERM after the longest deadline, of which LONGEST_COUNTED counts at most, and
# KILL_GRACE more.
KILL_GRACE, LONGEST_COUNTED = 0.7, 3.0
LATE_CLIENTS = 16  # clients that connect around each SIGTERM and send their request later


def kill_after(longest: float) -> float:
    """Seconds from SIGTERM to the earliest SIGKILL, given the deployment's longest deadline in seconds."""
    return min(longest, LONGEST_COUNTED) + KILL_GRACE


def _with_ends(random: Random, seed: str, base: Scenario) -> Scenario:
    """The same scenario with another longest deadline, and terminations while senders are faulty."""
    options = replace(base.options, longest=random.choice(LONGEST_DEADLINES))
    last = FAULTS_END - kill_after(options.longest) - 0.1
    faults = list(base.faults)
    asks = [_rescale_deadline(random, ask, options) for ask in base.asks]
    for which in range(options.balancers):
        at = random.uniform(0.5, last)
        faults.append(Fault("restart-balancer", _round(at, options), 0.3, which))
        asks += [_late_client(random, at, options) for _ in range(LATE_CLIENTS)]
        for kind in random.sample(("lose", "hang", "sender-stall", "slow"), 2):
            low, high = SIZES.get(kind, (0.0, 1.0))
            size, number = round(random.uniform(low, high), 4), random.randrange(1000)
            length = kill_after(options.longest)
            faults += [Fault(kind, _round(at, options), length, number + n, size) for n in range(2)]
    faults.sort(key=lambda fault: fault.at)
    return Scenario(seed, options, tuple(sorted(asks, key=lambda ask: ask.at)), tuple(faults))


def _rescale_deadline(random: Random, ask: Ask, options: Options) -> Ask:
    """The same request with a deadline that is allowed under `options.longest`."""
    if ask.at >= FAULTS_END:
        return replace(ask, deadline=min(ask.deadline, options.longest))
    share = random.choice([1.0, 1.0, random.uniform(0.2, 1.0)])
    return replace(ask, deadline=round(options.longest * share, 3))


def _late_client(random: Random, at: float, options: Options) -> Ask:
    """A client that connects around a SIGTERM at `at` seconds and sends its request up to 1.2 s later."""
    ask = _ask(random, max(0.05, at + random.uniform(-0.3, 0.4)), (0.3, 0.3, 0.4), 40.0, options)
    return replace(ask, deadline=options.longest, pause=round(random.uniform(0.0, 1.2), 3), leaves=None)


# ---- watches break: a balancer that does not ask discovery again soon is told too late ----


def _watches_break(random: Random, seed: str) -> Scenario:
    """All watches break at once; right after, some of the senders start to drain, and keep running."""
    options = Options(
        balancers=random.randint(2, 5),
        senders=random.randint(5, 8),
        push=random.random() < 0.25,
        callback_us=random.choice([0, 20]),
        cancel=random.random() < 0.7,
    )
    at = random.uniform(0.1, 0.4)
    faults = [Fault(random.choice(WATCH_FAULTS), round(at, 6), 0.0)]
    if random.random() < 0.3:
        faults.append(
            Fault("discovery-fails", round(at + 0.05, 6), round(random.uniform(0.2, 1.0), 6), 0, 1.0)
        )
    first = random.randrange(1000)
    faults += [
        Fault("drain", round(at + random.uniform(0.0, 0.3), 6), FAULTS_END - 0.5, first + n)
        for n in range(max(1, options.senders // 4))
    ]
    rate, cost = 60.0, 0.4 * options.senders * options.slots * 1000 / 60.0
    asks, when = list[Ask](), 0.0
    while (when := when + random.expovariate(rate)) < FAULTS_END - 0.1:
        asks.append(_ask(random, when, (0.4, 0.3, 0.3), cost, options))
    return Scenario(seed, options, (*asks, *_probe_asks(options)), tuple(sorted(faults, key=lambda f: f.at)))


# ---- clients keep their connections for longer than any time limit of a transfer ----


# Connections that a sender accepts: with small kernel buffers a streamed answer takes a second, and probe
# requests come at 12 per second.
AGED_SENDER_TABLE = 200


def _with_aged_connections(seed: str, base: Scenario) -> Scenario:
    """The same scenario, whose probe requests have streamed answers, mostly on connections from its start."""
    options = replace(base.options, probe_stream_share=1.0, sender_table=AGED_SENDER_TABLE)
    return Scenario(seed, options, base.asks, base.faults)


# ---- operators ----


def _with_operators(random: Random, seed: str, base: Scenario) -> Scenario:
    """The same scenario with operators: bans, standbys, changed settings; metrics are read."""
    faults = list(base.faults)
    for kind in OPERATORS:
        for _ in range(random.randint(0, 2) + (kind == "ban")):
            at = random.uniform(0.3, FAULT_PERIOD - 0.5)
            length = _round(random.uniform(0.3, FAULTS_END - at), base.options)
            faults.append(
                Fault(
                    kind, _round(at, base.options), length, random.randrange(1000), round(random.random(), 4)
                )
            )
    options = replace(base.options, consoles=True)
    return Scenario(seed, options, base.asks, tuple(sorted(faults, key=lambda f: f.at)))


# ---- views of the fleet ----


def _with_view(random: Random, seed: str, base: Scenario) -> Scenario:
    """The same scenario with three to seven balancers, and more kills, restarts, stalls and partitions."""
    options = replace(
        base.options, balancers=random.randint(3, 7), view=True, peer_loss=random.choice([0.0, 0.1, 0.3])
    )
    # Each balancer may need a connection to each sender; with a smaller table some would always be refused.
    options = replace(options, sender_table=max(options.sender_table, options.balancers))
    faults = list(base.faults)
    for kind in ("kill-balancer", "restart-balancer", "stall", "cut-room"):
        for _ in range(random.randint(0, 2)):
            at, low, high = random.uniform(0.5, FAULT_PERIOD), *LENGTHS.get(kind, (0.2, 4.0))
            length = min(random.uniform(low, high), FAULTS_END - at)
            faults.append(
                Fault(
                    kind,
                    _round(at, options),
                    _round(length, options),
                    random.randrange(1000),
                    round(random.random(), 4),
                )
            )
    return Scenario(seed, options, base.asks, tuple(sorted(faults, key=lambda f: f.at)))


# ---- clinics ----


def _with_clinics(random: Random, seed: str, base: Scenario) -> Scenario:
    """Clinics send part of the requests, or all of them where the senders speak MLLP."""
    options = replace(
        base.options,
        clinics=random.randint(1, 4),
        mllp_senders=random.random() < 0.5,
        journal=random.random() < 0.6,
    )
    faults = base.faults
    if options.journal:
        faults = tuple(sorted([*faults, *_disk_faults(random, options)], key=lambda f: f.at))
    else:
        # Without a journal, a restarted balancer relies on clocks that agree, as its configuration says.

        faults = tuple(f for f in faults if f.kind != "clock-step")
    asks = tuple(_from_clinic(random, ask, options) for ask in base.asks)
    return Scenario(seed, options, asks, faults)


def _disk_faults(rng: Random, options: Options) -> list[Fault]:
    return [
        Fault(
            kind,
            _round(rng.uniform(0.3, FAULT_PERIOD - 1), options),
            _round(rng.uniform(0.1, 1.5), options),
            rng.randrange(1000),
            round(rng.random(), 4),
        )
        for kind in DISK_FAULTS
        if rng.random() < 0.25
    ]


def _from_clinic(random: Random, ask: Ask, options: Options) -> Ask:
    if not options.mllp_senders and (KINDS[CLASSES[ask.klass]] == "safe" or random.random() < 0.4):
        return ask
    during_faults = ask.at < FAULTS_END
    return replace(
        ask,
        clinic=random.randrange(options.clinics),
        mode=random.choice(list(MODES)),
        retries=2,
        deadline=round(min(ask.deadline, 1.5), 3),
        half=during_faults and random.random() < 0.05,
        twin=during_faults and random.random() < 0.08,
        leaves=round(random.uniform(0.001, 0.3), 3) if during_faults and random.random() < 0.15 else None,
    )


# ---- senders are replaced at their addresses, and for a while only broken connections tell of it ----

REPLACEMENTS = 4  # pairs of senders that swap their addresses
REPLACEMENT_RATE = 40.0  # keyed requests per second besides those of the scenario
REPLACEMENT_LISTED_AFTER = 1.2  # seconds from the start of a sender until it is listed, and 0.1 to 0.6 more
REPLACEMENT_GAP = 0.2  # seconds in which nothing listens at the address


def _with_replacements(random: Random, seed: str, base: Scenario) -> Scenario:
    """The same scenario with at least two racks, more keyed requests, and cold senders of another rack."""
    options = replace(
        base.options,
        racks=max(2, base.options.racks),
        senders=max(4, base.options.senders),
        window=4.0,
        cold_share=0.12,
        listed_after=REPLACEMENT_LISTED_AFTER,
    )
    faults = list(base.faults)
    for number in range(REPLACEMENTS):
        at = _round(0.8 + number * 1.8 + random.uniform(0.0, 0.5), options)
        faults.append(Fault("swap-addresses", at, REPLACEMENT_GAP, random.randrange(1000), 1.0))
    asks, at = list(base.asks), 0.0
    cost = 0.3 * options.senders * options.slots * 1000 / REPLACEMENT_RATE
    while (at := at + random.expovariate(REPLACEMENT_RATE)) < FAULT_PERIOD:
        asks.append(replace(_ask(random, at, (0.0, 1.0, 0.0), min(cost, 60.0), options), deadline=1.0))
    faults.sort(key=lambda fault: fault.at)
    return Scenario(seed, options, tuple(sorted(asks, key=lambda ask: ask.at)), tuple(faults))


# ---- a class becomes unsafe while clinics send messages of it ----

STRICTER_AT = 4.0  # seconds until all balancers read a file in which the keyed class is unsafe
IN_USE_AFTER = 1.2  # seconds until a change of a file must be in use
KEYED_CLASS = 1  # position in CLASSES
LAST_KEYED_OVER_HTTP = 2.0  # seconds: so early that no client sends such a request again after the change


def _with_stricter_class(seed: str, base: Scenario) -> Scenario:
    """The same scenario, with no requests of the class over HTTP once the change is near."""
    options = replace(base.options, stricter_at=STRICTER_AT)

    def still_allowed(ask: Ask) -> Ask:
        over_http = ask.clinic < 0
        late = ask.at > LAST_KEYED_OVER_HTTP
        return replace(ask, klass=2) if over_http and late and ask.klass == KEYED_CLASS else ask

    return Scenario(seed, options, tuple(map(still_allowed, base.asks)), base.faults)

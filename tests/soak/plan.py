"""Fault plan of one soak run, drawn from its seed; the faults overlap in time."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import StrEnum, auto
from random import Random

from dykeshift.sim.scenario import LONGEST_DEADLINES
from tests.faults.fault_control import (
    ACCEPT_ERRORS,
    BROKEN_ERRORS,
    CONNECT_ERRORS,
    SOCKET_ERRORS,
    Kind,
)

CALL_ERRORS: dict[Kind, tuple[int, ...]] = {
    Kind.ACCEPT: ACCEPT_ERRORS,
    Kind.CONNECT: CONNECT_ERRORS,
    Kind.SOCKET: SOCKET_ERRORS,
    Kind.WAIT: (errno.EINTR,),
    Kind.SHORT_READ: (),
    Kind.SHORT_WRITE: (),
    Kind.BROKEN: BROKEN_ERRORS,
}
CLOCK_STEPS_S = (-3600.0, -7.0, 5.0, 3600.0)  # by which a wall clock is wrong
MAX_PAUSE_S = 0.15  # the longest single pause of a balancer
LAST_FAULT_SHARE = 0.75  # of the run; no fault starts later, so that all are over when the load ends
SOAK_SECONDS = 6.0
AGED_SOAK_SECONDS = 14.0  # of some runs: connections grow older than any time limit of a transfer
MAX_BALANCERS, MIN_BALANCERS = 12, 10
TERMINATIONS = 4  # SIGTERMs in each run, in addition to those drawn like any other fault
DEFAULT_SOCKET_LIMIT, LOW_SOCKET_LIMIT = 1024, 160  # the configured descriptor limit of a daemon
DEADLINE_SHARES = {"status-check": 0.7, "reminder-set": 0.55, "sms-send": 1.0}  # of the longest deadline


class Fault(StrEnum):
    """A kind of fault: SENDER_* disturb a sender, DISCOVERY_* discovery, all others a balancer."""

    CALLS_FAIL = auto()
    WRITES_DELAYED = auto()
    STOPPED = auto()
    CLOCK_STEPPED = auto()
    TERMINATED = auto()
    KILLED = auto()
    RELOADED = auto()
    SENDER_HANGS = auto()
    SENDER_SLOW = auto()
    SENDER_FAULTY = auto()
    SENDER_DRAINS = auto()
    SENDER_DIES = auto()
    DISCOVERY_SILENT = auto()
    DISCOVERY_FAILS = auto()


WEIGHT_OVERRIDES = {
    Fault.CALLS_FAIL: 6,
    Fault.WRITES_DELAYED: 2,
    Fault.STOPPED: 2,
    Fault.SENDER_HANGS: 3,
    Fault.SENDER_DRAINS: 2,
    Fault.SENDER_DIES: 2,
}
FAULTS: tuple[Fault, ...] = tuple(Fault.__members__.values())
FAULT_WEIGHTS = [WEIGHT_OVERRIDES.get(fault, 1) for fault in FAULTS]


@dataclass(frozen=True, slots=True)
class Episode:
    """One fault; times are in seconds from the start of the load."""

    fault: Fault
    starts_at: float
    duration: float
    target: int  # number of the balancer or sender; unused for discovery
    kind: Kind = Kind.ACCEPT  # which system calls fail
    share: float = 0.0  # of the calls that fail; of the time from SIGTERM to SIGKILL, when the pause comes
    amount: float = 0.0  # seconds: of a clock step or of a pause
    signals: int = 1  # number of signals sent in a row


@dataclass(frozen=True, slots=True)
class Plan:
    """The settings and faults of one run."""

    seed: int
    balancers: int
    senders: int
    rate: float  # requests per second
    cancellation: bool  # whether balancers may cancel attempts
    push_discovery: bool  # whether discovery pushes its lists, or is asked for them
    stream_share: float  # share of answers streamed without a Content-Length
    leave_share: float  # share of clients that disconnect before their answer
    episodes: tuple[Episode, ...]
    load_seconds: float = SOAK_SECONDS
    longest_deadline: float = 1.5  # seconds, of any class
    idle_connections: int = 0  # opened to a balancer at its SIGTERM
    repeat_share: float = 0.0  # share of the streamed answers with a second copy right behind
    again_share: float = 0.0  # share of the ids that come again after their client has left

    def deadline(self, klass: str) -> float:
        """Return the deadline of a class in seconds."""
        return self.longest_deadline * DEADLINE_SHARES[klass]

    def lasting_balancers(self) -> set[int]:
        """Return the numbers of the balancers whose process lasts throughout the run."""
        ended = {e.target for e in self.episodes if e.fault in (Fault.TERMINATED, Fault.KILLED)}
        return set(range(self.balancers)) - ended

    @property
    def socket_limit(self) -> int:
        """The configured descriptor limit of a daemon: low enough that idle connections use it up, if any."""
        return LOW_SOCKET_LIMIT if self.idle_connections else DEFAULT_SOCKET_LIMIT


def draw_plan(seed: int) -> Plan:
    """Draw the plan of a seed; the same seed always gives the same plan."""
    random = Random(seed)
    balancers, senders = random.randint(MIN_BALANCERS, MAX_BALANCERS), random.randint(6, 10)
    drawn = [_draw_episode(random, balancers, senders) for _ in range(random.randint(10, 18))]
    drawn += [_draw_termination(random, target) for target in random.sample(range(balancers), TERMINATIONS)]
    episodes = tuple(sorted(drawn, key=lambda episode: episode.starts_at))
    return Plan(
        seed=seed,
        balancers=balancers,
        senders=senders,
        rate=random.uniform(80, 160),
        cancellation=random.random() < 0.5,
        push_discovery=random.random() < 0.3,
        stream_share=random.choice((0.0, 0.1, 0.4)),
        leave_share=random.choice((0.0, 0.1, 0.3)),
        episodes=episodes,
        longest_deadline=random.choice(LONGEST_DEADLINES),
        idle_connections=random.choice((0, 0, 0, 200)),
        load_seconds=random.choice((SOAK_SECONDS, SOAK_SECONDS, AGED_SOAK_SECONDS)),
        repeat_share=random.choice((0.0, 0.1, 0.4)),
        again_share=random.choice((0.0, 0.3, 1.0)),
    )


def _draw_termination(random: Random, target: int) -> Episode:
    return Episode(
        Fault.TERMINATED,
        starts_at=random.uniform(0.3, SOAK_SECONDS * LAST_FAULT_SHARE),
        duration=0.0,
        target=target,
        share=random.random(),
        amount=random.uniform(0.02, MAX_PAUSE_S),
        signals=random.randint(1, 3),
    )


def _draw_episode(random: Random, balancers: int, senders: int) -> Episode:
    fault = random.choices(FAULTS, FAULT_WEIGHTS)[0]
    of_senders = fault.name.startswith("SENDER")
    kind = random.choice(tuple(CALL_ERRORS))
    return Episode(
        fault=fault,
        starts_at=random.uniform(0.2, SOAK_SECONDS * LAST_FAULT_SHARE),
        duration=random.uniform(0.2, 1.5),
        target=random.randrange(senders if of_senders else balancers),
        kind=kind,
        share=random.uniform(0.05, 0.6),
        amount=random.choice(CLOCK_STEPS_S)
        if fault is Fault.CLOCK_STEPPED
        else random.uniform(0.02, MAX_PAUSE_S),
        signals=random.randint(1, 3),
    )

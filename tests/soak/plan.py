"""What goes wrong in one run of the soak, drawn from its seed: faults that overlap in time."""

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
STEPS = (-3600.0, -7.0, 5.0, 3600.0)  # seconds by which a wall clock is off
MOST_STANDSTILL = 0.15  # seconds that a balancer is held up at once
LAST_FAULT = 0.75  # of the run: no fault begins after it, so that all have ended with the requests
SOAK_SECONDS = 6.0
MOST_BALANCERS, LEAST_BALANCERS = 12, 10
ENDS = 4  # ends of processes in each run, beside those that are drawn as any other fault
USUAL_SOCKETS, FEW_SOCKETS = 1024, 160  # descriptors that a daemon is told it may hold
DEADLINE_SHARES = {"status-check": 0.7, "reminder-set": 0.55, "sms-send": 1.0}  # of the longest deadline


class Fault(StrEnum):
    """What happens; `victim` of an episode is a balancer's or a sender's number, or nobody's."""

    CALLS_FAIL = auto()
    HELD_BEFORE_WRITES = auto()
    STOPPED = auto()
    CLOCK_STEPPED = auto()
    TERMINATED = auto()
    KILLED = auto()
    RELOADED = auto()
    SENDER_HANGS = auto()
    SENDER_SLOW = auto()
    SENDER_SPOILS = auto()
    SENDER_DRAINS = auto()
    SENDER_DIES = auto()
    DISCOVERY_SILENT = auto()
    DISCOVERY_FAILS = auto()


WEIGHTS = {
    Fault.CALLS_FAIL: 6,
    Fault.HELD_BEFORE_WRITES: 2,
    Fault.STOPPED: 2,
    Fault.SENDER_HANGS: 3,
    Fault.SENDER_DRAINS: 2,
    Fault.SENDER_DIES: 2,
}
FAULTS: tuple[Fault, ...] = tuple(Fault.__members__.values())
SHARES = [WEIGHTS.get(one, 1) for one in FAULTS]


@dataclass(frozen=True, slots=True)
class Episode:
    """One fault; times in seconds from the beginning of the load."""

    fault: Fault
    at: float
    lasts: float
    victim: int
    kind: Kind = Kind.ACCEPT  # of the calls that fail
    share: float = 0.0  # of calls that fail; of an end, when the process is held up
    amount: float = 0.0  # seconds: of a step, of a standstill
    times: int = 1  # signals in series


@dataclass(frozen=True, slots=True)
class Plan:
    """One run."""

    seed: int
    balancers: int
    senders: int
    rate: float  # requests a second
    cancelling: bool
    pushed: bool
    streams: float  # share of answers that come in pieces, without a length
    leaving: float  # share of clients that go away early
    episodes: tuple[Episode, ...]
    seconds: float = SOAK_SECONDS  # of load
    longest: float = 1.5  # seconds: the longest deadline of the deployment
    crowd: int = 0  # idle connections that come to a balancer which is told to end

    def deadline(self, klass: str) -> float:
        """Of a class, in seconds."""
        return self.longest * DEADLINE_SHARES[klass]

    @property
    def sockets(self) -> int:
        """Descriptors that a daemon is told it may hold: few where a crowd comes."""
        return FEW_SOCKETS if self.crowd else USUAL_SOCKETS


def draw(seed: int) -> Plan:
    """The same plan for the same seed."""
    random = Random(seed)
    balancers, senders = random.randint(LEAST_BALANCERS, MOST_BALANCERS), random.randint(6, 10)
    drawn = [_episode(random, balancers, senders) for _ in range(random.randint(10, 18))]
    drawn += [_end(random, victim) for victim in random.sample(range(balancers), ENDS)]
    episodes = tuple(sorted(drawn, key=lambda one: one.at))
    return Plan(
        seed=seed,
        balancers=balancers,
        senders=senders,
        rate=random.uniform(80, 160),
        cancelling=random.random() < 0.5,
        pushed=random.random() < 0.3,
        streams=random.choice((0.0, 0.1, 0.4)),
        leaving=random.choice((0.0, 0.1, 0.3)),
        episodes=episodes,
        longest=random.choice(LONGEST_DEADLINES),
        crowd=random.choice((0, 0, 0, 200)),
    )


def _end(random: Random, victim: int) -> Episode:
    return Episode(
        Fault.TERMINATED,
        at=random.uniform(0.3, SOAK_SECONDS * LAST_FAULT),
        lasts=0.0,
        victim=victim,
        share=random.random(),
        amount=random.uniform(0.02, MOST_STANDSTILL),
        times=random.randint(1, 3),
    )


def _episode(random: Random, balancers: int, senders: int) -> Episode:
    fault = random.choices(FAULTS, SHARES)[0]
    of_senders = fault.name.startswith("SENDER")
    kind = random.choice(tuple(CALL_ERRORS))
    return Episode(
        fault=fault,
        at=random.uniform(0.2, SOAK_SECONDS * LAST_FAULT),
        lasts=random.uniform(0.2, 1.5),
        victim=random.randrange(senders if of_senders else balancers),
        kind=kind,
        share=random.uniform(0.05, 0.6),
        amount=random.choice(STEPS)
        if fault is Fault.CLOCK_STEPPED
        else random.uniform(0.02, MOST_STANDSTILL),
        times=random.randint(1, 3),
    )

"""`lifttrail scale run`: what was asked for, checked; the run; its result as one typed record."""

from __future__ import annotations

import contextlib
import logging
import math
import os
import socket
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

from dykeshift.scale import placement
from dykeshift.scale.cluster import MOST_PROCESSES, Cluster, RealCluster, VirtualCluster
from dykeshift.scale.designs import DESIGNS, design_of
from dykeshift.scale.faults import NAMES, draw
from dykeshift.scale.measures import Measured, Spread
from dykeshift.scale.session import PATIENCE, Session, Witness
from dykeshift.scale.shard import Plan, Usage
from dykeshift.scale.verdict import MB, Finding, member_bytes

log = logging.getLogger(__name__)

DAEMON_LOGGER = "dykeshift.node"
MOST_MEMBERS = 4000
MOST_REAL = 12
SMALL = 100  # members with which a run can afford to wait
MEMBERS_EACH = 50  # of a process that hosts them, where there are cores enough
NETWORKS = (20, 200)  # second numbers of loopback addresses that a run takes one of
CLOCKS = ("real", "virtual")
MEMORY_SHARE = 0.5  # of the machine's, that a run may take


class RunError(Exception):
    """It can't be run as asked; the text says why, in one line."""


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a run is asked to be."""

    members: int = 930
    real: int = 6  # whole daemons beside them
    seconds: float = 120.0  # of the run's clock, for all events together
    seed: int = 1
    clock: str = "real"
    design: str = "membership"
    events: tuple[str, ...] = NAMES
    settled: bool = True  # it starts as a fleet long at rest
    wall_s: float = 0.0  # on the machine's clock, after which a run is cut short; 0: never
    processes: int = 0  # that host members; 0: by members and cores
    options: dict[str, dict[str, Any]] = field(default_factory=dict)  # by section of the feature file

    def check(self) -> None:
        """RunError where something can't be."""
        if not 2 <= self.members <= MOST_MEMBERS:
            raise RunError(f"--members: 2 to {MOST_MEMBERS}, not {self.members}")
        if not 0 <= self.real <= MOST_REAL:
            raise RunError(f"--real: 0 to {MOST_REAL}, not {self.real}")
        if not 0 < self.seconds <= 86_400:
            raise RunError(f"--seconds: more than 0, at most a day, not {self.seconds:g}")
        if not 0 <= self.wall_s <= 86_400:
            raise RunError(f"--wall: 0 (never) or seconds up to a day, not {self.wall_s:g}")
        if self.clock not in CLOCKS:
            raise RunError(f"--clock: {' or '.join(CLOCKS)}, not {self.clock}")
        if self.clock == "virtual" and self.real:
            raise RunError("--real: whole daemons run on the real clock only")
        if self.design not in DESIGNS:
            raise RunError(f"--design: there is no {self.design!r}; there are {', '.join(DESIGNS)}")
        strange = [name for name in self.events if name not in NAMES]
        if strange or not self.events:
            raise RunError(f"--events: there is no {', '.join(strange)!r}; there are {', '.join(NAMES)}")
        if self.processes < 0 or self.hosts + self.real + 1 > MOST_PROCESSES:
            raise RunError(f"--processes: at most {MOST_PROCESSES} in all, not {self.hosts + self.real}")

    @property
    def limit(self) -> float:
        """Seconds that an event may take."""
        return self.seconds / len(self.events)

    @property
    def patience(self) -> float:
        """Seconds in which all have to settle before the first event and after the last."""
        return PATIENCE if self.members <= SMALL else min(PATIENCE, self.limit)

    @property
    def hosts(self) -> int:
        """Processes that host members."""
        usual = min(len(os.sched_getaffinity(0)), -(-self.members // MEMBERS_EACH))
        return max(1, min(self.processes or usual, self.members))


@dataclass(frozen=True, slots=True)
class Cores:
    """Processor time that a run took, in cores."""

    given: int  # of the machine, to this process and its children
    used: float  # by all hosts, while the run's clock ran
    wanted: float  # for the run's clock to keep up with the machine's; at least so many where it starved
    loop_share: float  # of the hosts' time, that is no member's: sockets, timers, the virtual network


@dataclass(slots=True)
class Result:
    """What a run has shown."""

    wanted: Wanted
    findings: list[Finding]
    starved: bool
    events: list[Measured]
    cores: Cores
    memory_mb: Spread | None  # of each member, by host
    processes: int
    rss_mb: float  # of all hosts
    wall_s: float
    run_s: float  # on the run's clock
    judged: bool  # false: it was cut short, and findings say nothing of the members' states
    cut_short: list[str]  # events that did not end or begin; they are not among `events`
    changes_refused: int  # times that a member would not take a change, and was asked again
    whole: dict[str, Any] = field(default_factory=dict)  # of whole daemons, beside hollow members

    def json(self) -> dict[str, Any]:
        """As plain data."""
        told = asdict(self)
        told["start"] = "settled" if self.wanted.settled else "cold"
        told["times_are_the_designs"] = not self.starved
        return told


def free_port(host: str) -> int:
    """A UDP port that nobody has at that address now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
    return port


def _enough_memory(wanted: Wanted, usages: list[Usage]) -> None:
    total = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    used = sum(usage.rss_bytes for usage in usages)
    if used > MEMORY_SHARE * total:
        raise RunError(f"the members take {used // MB} MB, more than half of the machine's memory")


@contextlib.contextmanager
def _quiet() -> Iterator[None]:
    """What members in this process would log as daemons is not the run's own words."""
    logger = logging.getLogger(DAEMON_LOGGER)
    before = logger.level
    logger.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        logger.setLevel(before)


async def play(wanted: Wanted) -> Result:
    """RunError where it can't be run as asked; nothing has begun then."""
    wanted.check()
    with _quiet():
        return await _play(wanted)


async def _play(wanted: Wanted) -> Result:
    design = design_of(wanted.design)
    low, high = NETWORKS
    network = low + os.getpid() % (high - low)
    port = free_port(placement.address_of(0, network, 0)[0])
    roster = placement.place(wanted.members, wanted.real, design.control_members, wanted.seed, network, port)
    hollow = [seat.number for seat in roster.seats if seat.number < wanted.members or seat.control]
    plan = Plan(wanted.design, wanted.seed, roster, wanted.options)
    make: type[VirtualCluster] | type[RealCluster] = (
        VirtualCluster if wanted.clock == "virtual" else RealCluster
    )
    cluster: Cluster = make(plan, hollow, wanted.hosts)
    began = time.monotonic()
    whole = await _whole(wanted, plan)
    limit = wanted.limit
    session = Session(cluster, plan, design, hollow, limit, whole or Witness(), patience=wanted.patience)
    session.deadline = began + wanted.wall_s if wanted.wall_s else math.inf
    try:
        await session.open(wanted.settled)
        voters = design.voters(roster)
        for event in draw(roster, wanted.members, wanted.seed, wanted.events, limit, voters):
            await session.play(event)
            _enough_memory(wanted, await cluster.call("usage"))
            log.info(
                "%s: %.1f s on the run's clock, %.1f s", event.name, cluster.now(), time.monotonic() - began
            )
        findings = await session.judge()
        usages: list[Usage] = await cluster.call("usage")
        compared = await whole.compare(session) if whole is not None else {}
    finally:
        await session.close()
        if whole is not None:
            await whole.stop()
    return _result(wanted, session, findings, usages, time.monotonic() - began, compared)


async def _whole(wanted: Wanted, plan: Plan) -> Any:
    if not wanted.real:
        return None
    from dykeshift.scale.whole import Wholes

    wholes = Wholes(wanted, plan)
    await wholes.start()
    return wholes


def _result(
    wanted: Wanted,
    session: Session,
    findings: list[Finding],
    usages: list[Usage],
    wall_s: float,
    compared: dict[str, Any],
) -> Result:
    total = sum(usage.cpu_ns for usage in usages)
    members = sum(usage.members_cpu_ns for usage in usages)
    run_s = session.cluster.now()
    cores = Cores(
        len(os.sched_getaffinity(0)),
        round(total / 1e9 / wall_s, 3),
        round(total / 1e9 / run_s, 3),
        round(1 - members / total, 3) if total else 0.0,
    )
    return Result(
        wanted,
        findings,
        session.starved,
        session.measured,
        cores,
        Spread.of(member_bytes(usage) / MB for usage in usages),
        session.cluster.parts + wanted.real + 1,
        round(sum(usage.rss_bytes for usage in usages) / MB, 1),
        round(wall_s, 1),
        round(run_s, 1),
        session.judged,
        session.cut_short,
        session.refused,
        compared,
    )


def lines(result: Result) -> list[str]:
    """For people."""
    told = [
        f"{result.wanted.members} hollow, {result.wanted.real} whole, {result.wanted.clock} clock: "
        f"{result.run_s:g} s in {result.wall_s:g} s, {result.cores.used:g} of {result.cores.given} cores, "
        f"{result.cores.wanted:g} wanted" + ", STARVED: times are not the design's" * result.starved
    ]
    for event in result.events:
        told.append(_line(event))
    if result.cut_short:
        told.append(f"cut short: {', '.join(result.cut_short)}")
    told += [f"  {finding.kind}: {finding.text}" for finding in result.findings]
    return told


def _line(event: Measured) -> str:
    parts = [f"{event.event}: {event.seconds:g} s"]
    for kind, rates in event.rates.items():
        if rates.cpu_ms_s is not None and rates.bytes_s is not None:
            parts.append(f"{kind} {rates.cpu_ms_s.median:.2f} ms/s, {rates.bytes_s.median:.0f} bytes/s")
    if event.settled_s is not None:
        parts.append(f"settled {event.settled_s.median:g}/{event.settled_s.p99:g}/{event.settled_s.most:g} s")
    if event.everywhere_s is not None:
        parts.append(f"everywhere {event.everywhere_s.median:g}/{event.everywhere_s.most:g} s")
    if event.left_behind:
        parts.append(f"{len(event.left_behind)} left behind")
    return "; ".join(parts)

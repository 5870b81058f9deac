"""What membership, consensus and settings in versions cost and take on the virtual clock, by size.

Theory of operation. Each cost plays worlds of the real cores (`rig.virtual`, `rig.agreement`, `rig.ruled`)
on a virtual clock and returns samples for one size and seed. Times are virtual and the same on every
machine; processor time is this process's own, taken around the calls of the core alone (`TimedCore`),
without the network in between, sockets or sealing by a daemon's shell. What did not come about within a
cost's limit is counted as that limit, and the cost's notes say so: such a figure is a lower bound.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache, partial
from random import Random
from typing import Any

import msgspec

from dykeshift.agree.state import Options as ConsensusOptions
from dykeshift.rig.agreement import Agreement
from dykeshift.rig.ruled import Ruled, worded
from dykeshift.rig.virtual import MS, SECOND, Spot, World
from dykeshift.scale.results import ClockKind, Measurement, Point, Role, Situation, program_version, summarise
from dykeshift.versions.changes import Propose
from dykeshift.versions.own import shared_part
from dykeshift.view.core import Options as MembershipOptions
from dykeshift.view.core import View

VOTERS = 5
BYTES_PER_KB = 1000
CHANGES_A_DAY = 3_400
HOURS_OF_CHANGES = 8  # of the day in which operators change things
MEAN_GAP = HOURS_OF_CHANGES * 3600 / CHANGES_A_DAY  # seconds between two changes

REST_LIMIT = 120.0  # virtual seconds until all act on one version
CHANGE_LIMIT = 180.0  # until a change is in force
START_LIMIT = 120.0  # until somebody leads
JOIN_LIMIT = 60.0  # until all know all
CARRY_LIMIT = 300.0  # until all have a change
QUIET_TIME = 10.0  # over which a quiet world is measured

Sample = Callable[[int, int], list[float]]
"""Samples at that size and seed."""


@dataclass(frozen=True, slots=True)
class ControlCost:
    """One measurement that a command can make: what it is, and how its samples come about."""

    id: str
    name: str
    quantity: str
    unit: str
    sample: Sample
    sizes: tuple[int, ...]
    parameter: str = "members"
    parameter_unit: str = "members"
    role: Role = Role.CONTROL
    situation: Situation = Situation.AT_REST
    clock: ClockKind = ClockKind.VIRTUAL
    conditions: dict[str, str] = field(default_factory=dict)
    notes: str = ""


def measure(cost: ControlCost, seeds: int, command: str) -> Measurement:
    """Play all sizes for seeds 1 to `seeds`; the samples of one size are one point."""
    program, points = program_version(), list[Point]()
    for size in cost.sizes:
        samples = [value for seed in range(1, seeds + 1) for value in cost.sample(size, seed)]
        points.append(summarise(samples, size=size, seed=seeds))
    return Measurement(
        id=cost.id,
        name=cost.name,
        role=cost.role,
        quantity=cost.quantity,
        unit=cost.unit,
        situation=cost.situation,
        parameter=cost.parameter,
        parameter_unit=cost.parameter_unit,
        points=tuple(points),
        command=command,
        program=program,
        clock=cost.clock,
        conditions={**cost.conditions, "seeds": f"1 to {seeds}"},
        notes=cost.notes,
    )


# ---- settings in versions ----


def change_in_force_s(members: int, seed: int, contradicts: bool) -> list[float]:
    """Seconds from a proposal until all act on it; `contradicts`: what is in force then."""
    world = Ruled(seed, members)
    world.start_all()
    world.run(REST_LIMIT, world.at_rest)
    asker = seed % members
    first = worded({"balancers": 300}, {"status-check": {"idempotency": "pure"}})
    _propose(world, asker, first)
    later = worded({"balancers": 300 + contradicts}, {"sms-send": {"worth": 2.0}})
    return [_propose(world, asker, later)]


def _propose(world: Ruled, asker: int, wanted: dict[str, Any]) -> float:
    """Seconds until it is in force everywhere, from the first try; the limit where it is not by then."""
    began, pages = world.now, world.spots[asker].view.ruled.store.state
    text = msgspec.Raw(shared_part(wanted).encode())
    while world.phase(asker) is None:
        if (world.now - began) / SECOND >= CHANGE_LIMIT:
            return CHANGE_LIMIT
        world.order(asker, Propose(text))
        world.run(3, lambda: world.phase(asker) is not None)
    version = world.spots[asker].view.ruled.store.state.pending.rules.version
    assert version > pages.version - 1
    done = world.run(CHANGE_LIMIT, lambda: world.in_force(version))
    world.run(0.2)
    return min(CHANGE_LIMIT, (world.now - began) / SECOND - 0.2) if done else CHANGE_LIMIT


def queue_wait_s(changes: int, seed: int, members: int, rate: float) -> list[float]:
    """Seconds from when an operator has a change until it is in force, of the last ten of so many in a row.

    Changes come at drawn times, `rate` times the day's; each waits until those before it are done.
    """
    world = Ruled(seed, members)
    world.start_all()
    world.run(REST_LIMIT, world.at_rest)
    draw = Random(f"queue/{seed}")
    asked_at, waits = float(world.now), list[float]()
    for number in range(changes):
        asked_at += draw.expovariate(rate / MEAN_GAP) * SECOND
        if asked_at > world.now:
            world.run((asked_at - world.now) / SECOND)
        _propose(world, seed % members, worded({"balancers": 300 + number % 2}))
        waits.append((world.now - asked_at) / SECOND)
    return waits[-10:]


# ---- consensus ----


def _led_world(members: int, seed: int, limit: float = START_LIMIT) -> Agreement:
    world = Agreement(seed, members, ConsensusOptions(voters=min(VOTERS, members)))
    world.watch = world._collect  # the promises are the tests' business
    world.start_all()
    if not world.run(limit, world.led):
        raise RuntimeError(f"no leader among {members} within {limit:g} s")
    return world


def leader_after_s(away: int, seed: int, members: int) -> list[float]:
    """Seconds until somebody leads where all but so many places start; the limit where nobody does."""
    world = Agreement(seed, members, ConsensusOptions(voters=min(VOTERS, members)))
    world.watch = world._collect
    for spot in world.spots[: members - away]:
        world.after(0.5 * world.rng.random(), world.start, spot)
    return [world.now / SECOND if world.run(START_LIMIT, world.led) else START_LIMIT]


def _everywhere(world: Agreement, version: int) -> bool:
    return all(spot.view.core.proposals.version() >= version for spot in world.up())


def _commit(world: Agreement, kilobytes: int) -> tuple[float, float]:
    """Seconds until all have a change of that length, and bytes for each member beyond the quiet ones."""
    world.run(5)
    before = world.bytes
    world.run(QUIET_TIME)
    quiet = (world.bytes - before) / QUIET_TIME
    began, before = world.now, world.bytes
    version = max(spot.view.core.proposals.version() for spot in world.up()) + 1
    world.propose(1, b"x" * (kilobytes * BYTES_PER_KB), version - 1, CARRY_LIMIT)
    if not world.run(CARRY_LIMIT, lambda: _everywhere(world, version)):
        raise RuntimeError(f"a change of {kilobytes} KB is not everywhere after {CARRY_LIMIT:g} s")
    seconds = (world.now - began) / SECOND
    return seconds, (world.bytes - before - quiet * seconds) / len(world.spots)


def carried_s(kilobytes: int, seed: int, members: int) -> list[float]:
    """Seconds until all members have a change of that length."""
    return [_commit(_led_world(members, seed), kilobytes)[0]]


def carried_kb(kilobytes: int, seed: int, members: int) -> list[float]:
    """Kilobytes sent for each member until all have a change of that length."""
    return [_commit(_led_world(members, seed), kilobytes)[1] / BYTES_PER_KB]


def rejoin_s(kilobytes: int, seed: int, members: int) -> list[float]:
    """Seconds until a member that comes back from nothing has a state of that length."""
    world = _led_world(members, seed)
    _commit(world, kilobytes)
    version = max(spot.view.core.proposals.version() for spot in world.up())
    victim = next(spot for spot in world.spots if spot.number != world.leader())
    world.kill(victim)
    world.run(1)
    world.start(victim)
    began = world.now
    done = world.run(CARRY_LIMIT, lambda: _everywhere(world, version))
    return [(world.now - began) / SECOND if done else CARRY_LIMIT]


def longest_kb(members: int, seed: int) -> list[float]:
    """The longest change that is taken, in KB: the next byte is refused."""
    world = _led_world(members, seed)
    shortest, longest = 0, 1 << 20
    while longest - shortest > 1:
        middle = (shortest + longest) // 2
        if _taken(world, middle):
            shortest = middle
        else:
            longest = middle
    return [shortest / BYTES_PER_KB]


def _taken(world: Agreement, length: int) -> bool:
    """Whether a member takes a change of so many bytes; nothing is sent."""
    core = world.core(1)
    identifier, _ = core.propose(world.spots[1].clock(), b"x" * length, 0, SECOND)
    return identifier not in core.take_answers()


# ---- membership ----


class TimedCore:
    """Takes the processor time of a membership core's calls, in nanoseconds."""

    def __init__(self, core: View) -> None:
        self.core = core
        self.spent = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.core, name)

    def _timed(self, call: Callable[..., Any], *arguments: Any) -> Any:
        began = time.process_time_ns()
        out = call(*arguments)
        self.spent += time.process_time_ns() - began
        return out

    def start(self, now: int) -> Any:
        """The core's start."""
        return self._timed(self.core.start, now)

    def on_timer(self, now: int) -> Any:
        """The core's timer."""
        return self._timed(self.core.on_timer, now)

    def on_datagram(self, now: int, data: bytes, address: Any) -> Any:
        """The core's datagram."""
        return self._timed(self.core.on_datagram, now, data, address)


class TimedWorld(World):
    """A world of memberships whose cores' processor time is taken."""

    def _view(self, spot: Spot, life: int) -> Any:
        return TimedCore(super()._view(spot, life))

    def spent(self) -> list[int]:
        """Nanoseconds of processor time of each core so far."""
        return [spot.view.spent for spot in self.spots if spot.view is not None]


def _joined(world: World) -> bool:
    count = len(world.spots)
    return all(spot.view is not None and spot.view.standing.at_least == count for spot in world.spots)


@cache
def _quiet(members: int, seed: int) -> tuple[list[float], float]:
    """Processor milliseconds a second of each core, and bytes a second of a member, at rest."""
    world = TimedWorld(seed, members, MembershipOptions())
    world.start_all()
    if not world.run(JOIN_LIMIT, lambda: _joined(world)):
        raise RuntimeError(f"{members} members do not know one another after {JOIN_LIMIT:g} s")
    world.run(5)
    before, sent = world.spent(), world.bytes
    world.run(QUIET_TIME)
    spent = [(after - old) / MS / QUIET_TIME for after, old in zip(world.spent(), before, strict=True)]
    return spent, (world.bytes - sent) / members / QUIET_TIME


def membership_quiet_ms(members: int, seed: int) -> list[float]:
    """Processor milliseconds a second of each membership core at rest."""
    return _quiet(members, seed)[0]


def membership_quiet_bytes(members: int, seed: int) -> list[float]:
    """Bytes a second that a member sends at rest, the mean of all."""
    return [_quiet(members, seed)[1]]


def membership_start_s(members: int, seed: int) -> list[float]:
    """Seconds until all know all where all start within half a second; the limit where they do not."""
    world = World(seed, members, MembershipOptions())
    world.start_all()
    return [world.now / SECOND if world.run(JOIN_LIMIT, lambda: _joined(world)) else JOIN_LIMIT]


# ---- all of them ----

FEW = 12  # members of a world in which something else is varied
GIVEN_UP = "counted as the limit where it did not come about by then: at least so much"
VIRTUAL_NETWORK = "the core's calls alone: no sockets, no datagram shell"
IN_FEW = {"members": str(FEW)}
MEMBER_SIZES = (12, 40, 100)
CHANGE_MEMBER_SIZES = (12, 40, 100, 200)
AWAY_FROM = 40  # places of the roster where some are away
AWAY_SIZES = (1, 2, 4)
KILOBYTE_SIZES = (1, 4, 8, 16)
MEMBERSHIP_SIZES = (40, 100, 200)
QUEUE_SIZES = (10, 20, 40, 80)
TEN_TIMES = 10.0


def costs() -> tuple[ControlCost, ...]:
    """All costs of the standing control: membership, consensus, settings in versions."""
    return _version_costs() + _consensus_costs() + _membership_costs()


def _version_costs() -> tuple[ControlCost, ...]:
    day, ten_times = Situation.ORDINARY_DAY, Situation.TEN_TIMES_CHANGES
    queue_notes = (
        f"{CHANGES_A_DAY} changes in {HOURS_OF_CHANGES} hours, one change after the other; all contradict"
    )
    return (
        ControlCost(
            "versions.change.contradicting",
            "a change that contradicts what is in force",
            "time until in force everywhere",
            "s",
            partial(change_in_force_s, contradicts=True),
            CHANGE_MEMBER_SIZES,
            situation=day,
        ),
        ControlCost(
            "versions.change.free",
            "a change that contradicts nothing",
            "time until in force everywhere",
            "s",
            partial(change_in_force_s, contradicts=False),
            CHANGE_MEMBER_SIZES,
            situation=day,
        ),
        ControlCost(
            "versions.queue",
            "changes of an ordinary day, one after the other",
            "time until in force, of the last ten",
            "s",
            partial(queue_wait_s, members=FEW, rate=1.0),
            QUEUE_SIZES,
            "changes asked for",
            "changes",
            situation=day,
            conditions=IN_FEW,
            notes=queue_notes,
        ),
        ControlCost(
            "versions.queue.ten-times",
            "ten times the changes, one after the other",
            "time until in force, of the last ten",
            "s",
            partial(queue_wait_s, members=FEW, rate=TEN_TIMES),
            QUEUE_SIZES,
            "changes asked for",
            "changes",
            situation=ten_times,
            conditions=IN_FEW,
            notes=queue_notes,
        ),
    )


def _consensus_costs() -> tuple[ControlCost, ...]:
    day, from_nothing = Situation.ORDINARY_DAY, Situation.BACK_FROM_NOTHING
    return (
        ControlCost(
            "consensus.start",
            "all places start within half a second",
            "time until there is a leader",
            "s",
            _start_s,
            MEMBER_SIZES,
            situation=from_nothing,
        ),
        ControlCost(
            "consensus.start.missing",
            "all start but some places of the roster",
            "time until there is a leader",
            "s",
            partial(leader_after_s, members=AWAY_FROM),
            AWAY_SIZES,
            "places away",
            "places",
            situation=from_nothing,
            conditions={"places": str(AWAY_FROM), "limit": f"{START_LIMIT:g} s"},
            notes=GIVEN_UP,
        ),
        ControlCost(
            "consensus.change.longest",
            "the longest change that is taken",
            "length",
            "KB",
            longest_kb,
            (FEW,),
            situation=day,
            notes="the next byte is refused",
        ),
        ControlCost(
            "consensus.change.time",
            "a change of so many kilobytes",
            "time until all have it",
            "s",
            partial(carried_s, members=FEW),
            KILOBYTE_SIZES,
            "length of the change",
            "KB",
            situation=day,
            conditions=IN_FEW,
        ),
        ControlCost(
            "consensus.change.bytes",
            "a change of so many kilobytes",
            "sent for each member until all have it",
            "KB",
            partial(carried_kb, members=FEW),
            KILOBYTE_SIZES,
            "length of the change",
            "KB",
            situation=day,
            conditions=IN_FEW,
        ),
        ControlCost(
            "consensus.rejoin",
            "one member comes back from nothing",
            "time until it has the state",
            "s",
            partial(rejoin_s, members=FEW),
            KILOBYTE_SIZES,
            "length of the state",
            "KB",
            situation=from_nothing,
            conditions=IN_FEW,
        ),
    )


def _start_s(members: int, seed: int) -> list[float]:
    return leader_after_s(0, seed, members)


def _membership_costs() -> tuple[ControlCost, ...]:
    return (
        ControlCost(
            "membership.quiet.cpu",
            "membership at rest",
            "processor time of a member",
            "ms/s",
            membership_quiet_ms,
            MEMBERSHIP_SIZES,
            notes=VIRTUAL_NETWORK,
        ),
        ControlCost(
            "membership.quiet.bytes",
            "membership at rest",
            "bytes sent by a member",
            "bytes/s",
            membership_quiet_bytes,
            MEMBERSHIP_SIZES,
        ),
        ControlCost(
            "membership.start",
            "all start within half a second",
            "time until all know all",
            "s",
            membership_start_s,
            MEMBERSHIP_SIZES,
            situation=Situation.BACK_FROM_NOTHING,
            conditions={"limit": f"{JOIN_LIMIT:g} s"},
            notes=GIVEN_UP,
        ),
    )

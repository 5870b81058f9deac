"""A run's course: the fleet comes up, events befall it one by one, each is measured, all is judged."""

from __future__ import annotations

import contextlib
import math
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dykeshift.scale import verdict
from dykeshift.scale.changes import Queue
from dykeshift.scale.cluster import Cluster
from dykeshift.scale.faults import Apart, Changes, Event, Lost, Restarts, Rest, Roll
from dykeshift.scale.hosting import Counters
from dykeshift.scale.measures import Measured, Spread, rates
from dykeshift.scale.role import WHOLE, Address, Design, MemberState
from dykeshift.scale.shard import Plan, Usage
from dykeshift.scale.verdict import Committed, Finding, Growth

ORDINARY = "learner"  # the kind of hollow member that whole daemons are compared with
LOOK = 0.25  # seconds between two looks at all members
LEAST = 3.0  # seconds that an event is measured for, so that its rates mean something
REST = 10.0
STARVED_MEDIAN, STARVED_P99 = 0.02, 0.2  # seconds of a loop's lag
PATIENCE = 60.0  # seconds of the run's clock in which all have to settle before the verdict
HAND_OVER = 3.0  # seconds that a drained member may go on, as the daemon allows it

Settled = Callable[[Sequence[MemberState]], set[int]]  # who has settled


class Witness:
    """Whole daemons beside the hollow members; none by itself."""

    numbers: tuple[int, ...] = ()

    async def states(self) -> list[MemberState]:
        """What each says of itself."""
        return []

    async def reading(self) -> dict[int, Counters]:
        """What each has cost so far, its data path and our asking with it."""
        return {}

    def costs(self) -> dict[str, int]:
        """Nanoseconds of processor time of each so far, by name."""
        return {}


@dataclass(frozen=True, slots=True)
class AtRest:
    """Costs over a time in which nothing happened and nobody was asked anything."""

    seconds: float
    hollow_ms_s: float  # of a hollow member's callbacks, the mean
    loop_ms_s: float  # of its host's other time, for each member
    whole_before: dict[str, int]
    whole_after: dict[str, int]
    said_s: dict[str, float]  # datagrams a second by members' own figures, the mean, by kind


@dataclass(slots=True)
class Session:
    """One run; `limit`: seconds that an event may take."""

    cluster: Cluster
    plan: Plan
    design: Design
    hollow: list[int]
    limit: float
    witness: Witness = field(default_factory=Witness)
    measured: list[Measured] = field(default_factory=list)
    committed: list[Committed] = field(default_factory=list)
    groups: list[set[int]] = field(default_factory=list)
    made: int = 0  # changes asked for
    refused: int = 0
    growth: Growth | None = None
    at_rest: AtRest | None = None
    patience: float = PATIENCE
    deadline: float = math.inf  # of the machine's monotonic clock: what has not ended then is cut short
    cut_short: list[str] = field(default_factory=list)  # events that were, and those that never began
    judged: bool = False  # whether all had their time to settle before the verdict
    lags: list[float] = field(default_factory=list)
    living: set[int] = field(default_factory=set)  # hollow members that should be at work
    chance: Random = field(init=False)

    def __post_init__(self) -> None:
        self.chance = Random(f"session/{self.plan.seed}")

    # ---- up ----

    async def open(self, settled: bool) -> None:
        """Start all, and have them start settled, or from nothing, which is measured."""
        await self.cluster.open()
        self.living = set(self.hollow)
        if not settled:
            await self._event("start", self._start_all, self.whole, self.patience)
            return
        await self._start_all()
        others = dict[int, Any]()
        for exported in await self.cluster.call("exports"):
            others |= exported
        await self.cluster.call("settle", others)
        await self._event("settle", _nothing, self.whole, self.patience)
        self.lags.clear()  # of bringing all up at once

    async def _start_all(self) -> None:
        await self.cluster.call("start", self.hollow)

    # ---- events ----

    @property
    def late(self) -> bool:
        """Whether the run's time on the machine is over."""
        return time.monotonic() >= self.deadline

    async def play(self, event: Event) -> None:
        """One event, measured; none where the run's time is over."""
        if self.late:
            self.cut_short.append(event.name)
            return
        if isinstance(event, Rest):
            await self._rest(event.name)
        elif isinstance(event, Changes):
            await self._changes(event)
        elif isinstance(event, Lost):
            await self._event(event.name, lambda: self._end(event.numbers), self.whole)
            await self._event(f"{event.name}-back", lambda: self._start(event.numbers), self.whole)
        elif isinstance(event, Apart):
            await self._event(event.name, self._part, self.apart)
            await self._event(f"{event.name}-back", self._join, self.whole)
        elif isinstance(event, Restarts):
            await self._restarts(event.name, [(number,) for number in event.numbers], event.every_s, False)
        elif isinstance(event, Roll):
            await self._restarts(event.name, event.batches, event.every_s, True)

    async def _rest(self, name: str) -> None:
        """Nothing happens, and nobody is asked anything until it is over."""
        states = await self.states()
        before, began, mark = await self._reading(), self.cluster.now(), len(self.lags)
        hosts, whole = await self._host_times(), self.witness.costs()
        await self._pass(min(REST, self.limit / 2))
        seconds = self.cluster.now() - began
        whole_after, hosts_after = self.witness.costs(), await self._host_times()
        members_ns, all_ns = hosts_after[0] - hosts[0], hosts_after[1] - hosts[1]
        scale = 1e6 * seconds * max(1, len(self.living))
        after = await self.states()
        self.at_rest = AtRest(
            seconds,
            members_ns / scale,
            (all_ns - members_ns) / scale,
            whole,
            whole_after,
            _said(states, after, seconds),
        )
        await self._measure(name, before, seconds, after, mark)

    async def _host_times(self) -> tuple[int, int]:
        usages: list[Usage] = await self.cluster.call("usage")
        return sum(u.members_cpu_ns for u in usages), sum(u.cpu_ns for u in usages)

    async def _end(self, numbers: Sequence[int], leave: bool = False) -> None:
        if leave:
            await self._drain(list(numbers))
        self.living -= set(numbers)
        await self.cluster.call("end", list(numbers), leave)

    async def _drain(self, numbers: list[int]) -> None:
        await self.cluster.call("drain", numbers)
        until = self.cluster.now() + HAND_OVER
        while self.cluster.now() < until and sum(await self.cluster.call("busy", numbers)):
            await self._pass(LOOK)

    async def _start(self, numbers: Sequence[int]) -> None:
        self.living |= set(numbers)
        await self.cluster.call("start", list(numbers))

    async def _part(self) -> None:
        seats = self.plan.roster.seats
        regions: dict[Address, int] = {seat.address: seat.region for seat in seats}
        here = self.living | set(self.witness.numbers)
        self.groups = [{n for n in here if seats[n].region == r} for r in sorted(set(regions.values()))]
        await self.cluster.call("conditions", 0.0, regions)

    async def _join(self) -> None:
        self.groups = []
        await self.cluster.call("conditions", 0.0, {})

    async def _restarts(
        self, name: str, batches: Sequence[Sequence[int]], every_s: float, leave: bool
    ) -> None:
        before, began, restarted = await self._reading(), self.cluster.now(), 0
        for batch in batches:
            if self.late or self.cluster.now() - began >= self.limit:
                break
            await self._end(batch, leave)
            await self._start(batch)
            await self._pass(every_s)
            restarted += len(batch)
        await self._event(name, _nothing, self.whole, since=(before, began))
        if self.measured[-1].event == name:
            self.measured[-1].restarted, self.measured[-1].to_restart = restarted, sum(map(len, batches))

    # ---- looking ----

    async def states(self) -> list[MemberState]:
        """Of all at work, whole daemons too."""
        found = [state for states in await self.cluster.call("states") for state in states]
        return found + await self.witness.states()

    def expected(self) -> set[int]:
        """Who should be at work."""
        return self.living | set(self.witness.numbers)

    def whole(self, states: Sequence[MemberState]) -> set[int]:
        """Who sees all as they are and has the newest version in force."""
        newest = max((state.held for state in states), default=0)
        well = self._agreeing(states, self.expected())
        return {s.number for s in states if s.number in well and s.held == newest and s.in_force}

    def apart(self, states: Sequence[MemberState]) -> set[int]:
        """Who sees its own side as it is."""
        return {n for group in self.groups for n in self._agreeing(states, group)}

    def _agreeing(self, states: Sequence[MemberState], group: set[int]) -> set[int]:
        some = [s for s in states if s.number in group]
        tables = Counter(s.digest for s in some if s.digest is not None)
        common = tables.most_common(1)[0][0] if tables else None
        return {
            s.number
            for s in some
            if s.settled and (s.alive is None or s.alive == len(group) and s.digest == common)
        }

    async def _reading(self) -> dict[int, Counters]:
        hollow = {n: c for some in await self.cluster.call("counters") for n, c in some.items()}
        return hollow | await self.witness.reading()

    async def _pass(self, seconds: float) -> None:
        await self.cluster.advance(seconds)
        self.lags += self.cluster.lags()

    async def _event(
        self,
        name: str,
        begin: Callable[[], Awaitable[None]],
        settled: Settled,
        limit: float | None = None,
        since: tuple[dict[int, Counters], float] | None = None,
    ) -> None:
        """Begin it, and look until all have settled, or for `limit` seconds; measure from `since` on."""
        limit, mark = limit or self.limit, len(self.lags)
        before, began = since or (await self._reading(), self.cluster.now())
        start = self.cluster.now()
        await begin()
        at = dict[int, float]()
        while True:
            await self._pass(LOOK)
            now, states = self.cluster.now() - start, await self.states()
            well = settled(states)
            at = {n: at.get(n, now) for n in well}
            if self.late:
                self.cut_short.append(name)
                return
            if now >= limit or (now >= LEAST and self.expected() <= well):
                break
        measured = await self._measure(name, before, self.cluster.now() - began, states, mark)
        if settled == self.whole or settled == self.apart:
            measured.settled_s = Spread.of(at.values())
            measured.left_behind = sorted(self.expected() - at.keys())
            if not measured.left_behind:
                measured.all_settled_s = round(max(at.values(), default=0.0), 3)

    async def _measure(
        self,
        name: str,
        before: dict[int, Counters],
        seconds: float,
        states: Sequence[MemberState],
        mark: int,
    ) -> Measured:
        kinds = {s.number: s.kind for s in states}
        after = await self._reading()
        measured = Measured(name, round(seconds, 3), rates(before, after, kinds, max(seconds, 1e-9)))
        measured.lag_s = Spread.of(self.lags[mark:])
        self.measured.append(measured)
        return measured

    # ---- changes ----

    async def _changes(self, event: Changes) -> None:
        """Asked for at the event's pace; measured from the first on."""
        before, began, mark = await self._reading(), self.cluster.now(), len(self.lags)
        await self.cluster.call("conditions", event.loss, {})
        queue = Queue(event, self.made, began)
        self.made += event.count
        halfway: tuple[int, int] | None = None  # changes in force, resident bytes then
        while True:
            states = await self._look_at(queue)
            finished = queue.done(self.expected())
            if halfway is None and finished >= (event.count + 1) // 2:
                halfway = finished, await self._resident()
            if self.late or finished == event.count or self.cluster.now() - began >= self.limit:
                break
        self.refused += queue.refused
        await self.cluster.call("conditions", 0.0, {})
        if self.late:
            self.cut_short.append(event.name)
            return
        measured = await self._measure(event.name, before, self.cluster.now() - began, states, mark)
        queue.sum_up(measured, self.expected())
        if halfway is not None and finished > halfway[0]:
            count, resident = halfway
            self.growth = Growth(finished - count, len(self.living), resident, await self._resident())

    async def _look_at(self, queue: Queue) -> list[MemberState]:
        """Ask for what is due, let some time pass, and note what has come of all."""
        wanted = queue.next(self.cluster.now())
        if wanted is not None:
            change = self.design.change(wanted.count)
            await self.cluster.call("propose", self._proposer(), wanted.count, change)
        await self._pass(LOOK)
        states, now = await self.states(), self.cluster.now()
        for answers in await self.cluster.call("take_answers"):
            for answer in answers:
                if queue.answered(now, answer):
                    digest = self.design.digest(self.design.change(answer.change))
                    self.committed.append(Committed(answer.version, digest))
        queue.look(now, states)
        return states

    def _proposer(self) -> int:
        """Somebody at work; where nobody of the design's is, anybody, who will not know what to do."""
        able = [n for n in self.design.proposers(self.plan.roster) if n in self.living]
        return self.chance.choice(able or sorted(self.living))

    async def _resident(self) -> int:
        usages: list[Usage] = await self.cluster.call("usage")
        return sum(usage.rss_bytes for usage in usages)

    # ---- the end ----

    @property
    def starved(self) -> bool:
        """The hosts' loops came so late that times and processor time are not the design's."""
        lags = Spread.of(self.lags)
        return lags is not None and (lags.median > STARVED_MEDIAN or lags.p99 > STARVED_P99)

    async def judge(self) -> list[Finding]:
        """After some time to settle, what must hold and does not; states only if there was that time."""
        end = self.cluster.now() + self.patience
        states = await self.states()
        while not self.expected() <= self.whole(states) and self.cluster.now() < end and not self.late:
            await self._pass(LOOK)
            states = await self.states()
        self.judged = not self.late or self.expected() <= self.whole(states)
        counted = {n: b for some in await self.cluster.call("port_bytes") for n, b in some.items()}
        usages: list[Usage] = await self.cluster.call("usage")
        return [
            *(verdict.states(states, self.expected(), self.committed) if self.judged else ()),
            *verdict.budgets(self.measured, self.starved, self._control_kinds(states)),
            *verdict.memory(usages, self.growth),
            *verdict.accounts(usages, counted, states),
            *self._likeness(),
            *verdict.faults(usages),
        ]

    def _control_kinds(self, states: Sequence[MemberState]) -> frozenset[str]:
        seats = self.plan.roster.seats
        return frozenset(state.kind for state in states if seats[state.number].control)

    def _likeness(self) -> list[Finding]:
        """Only where whole daemons were there to compare with, and the hosts were not late."""
        said = self.at_rest.said_s if self.at_rest is not None and not self.starved else {}
        if WHOLE not in said or ORDINARY not in said:
            return []
        return verdict.likeness(said[ORDINARY], said[WHOLE])

    async def close(self) -> None:
        """End the hosts."""
        with contextlib.suppress(OSError):
            await self.cluster.close()


def _said(before: Sequence[MemberState], after: Sequence[MemberState], seconds: float) -> dict[str, float]:
    earlier = {state.number: state.said_datagrams for state in before}
    found = dict[str, list[int]]()
    for state in after:
        if state.number in earlier:
            found.setdefault(state.kind, []).append(state.said_datagrams - earlier[state.number])
    return {kind: sum(some) / len(some) / seconds for kind, some in found.items()}


async def _nothing() -> None: ...

"""The hollow members of one process: started, ended, asked and accounted on the controller's word."""

from __future__ import annotations

import gc
import resource
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from dykeshift.clock import Clock
from dykeshift.scale.designs import design_of
from dykeshift.scale.hosting import Conditions, Counters, MemberLoop, Network
from dykeshift.scale.role import Address, Design, Life, MemberState, Role, Roster

PAGE = resource.getpagesize()


class Host(Network, Protocol):
    """A network that also has its members' clocks."""

    def clock(self, number: int) -> Clock:
        """The clock of a member."""


@dataclass(frozen=True, slots=True)
class Plan:
    """What all processes of a run are told at their start."""

    design: str
    seed: int
    roster: Roster
    options: dict[str, dict[str, Any]] = field(default_factory=dict)  # by section of the feature file


@dataclass(slots=True)
class Process:
    """One life of a member."""

    loop: MemberLoop
    role: Role


@dataclass(frozen=True, slots=True)
class Answer:
    """What became of a change that a member was asked for."""

    change: int  # the controller's count
    version: int | None


@dataclass(frozen=True, slots=True)
class Usage:
    """Of a whole process, all its members together."""

    members: int
    rss_bytes: int
    idle_rss_bytes: int  # as it was before it had members
    cpu_ns: int  # of the process, since it has members
    thread_cpu_ns: int  # of the thread that all members run in
    members_cpu_ns: int  # what is accounted to members, of all lives
    faults: tuple[str, ...]


def resident() -> int:
    """Bytes of this process that are in memory now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


class Shard:
    """See the module. Numbers that are not here are passed over."""

    def __init__(self, plan: Plan, numbers: list[int], network: Host, design: Design | None = None) -> None:
        self.plan, self.network = plan, network
        self.numbers = numbers
        self.design = design or design_of(plan.design)
        self.processes: dict[int, Process] = {}
        self.lives = dict.fromkeys(numbers, 0)
        self.ended_cpu = 0  # of lives that are over
        self.ended_counters: dict[int, Counters] = {n: Counters() for n in numbers}
        self.faults: list[str] = []
        self.answers: list[Answer] = []
        gc.collect()
        self.idle_rss = resident()
        self.idle_cpu, self.idle_thread_cpu = time.process_time_ns(), time.thread_time_ns()

    # ---- lives ----

    async def start(self, numbers: list[int]) -> None:
        """Another life of each that is here and not at work."""
        for number in numbers:
            if number in self.lives and number not in self.processes:
                await self._start(number)

    async def _start(self, number: int) -> None:
        self.lives[number] += 1
        seat, life = self.plan.roster.seats[number], self.lives[number]
        loop = MemberLoop(self.network, seat, life, str(self.plan.seed))  # type: ignore[abstract]
        role = self.design.member(
            Life(
                seat,
                self.plan.roster,
                loop,
                self.network.clock(number),
                f"{self.plan.seed}/{number}/{life}",
                self.plan.options,
            )
        )
        self.processes[number] = Process(loop, role)
        try:
            await role.start()
        except OSError as exc:
            self.faults.append(f"number {number} can't start: {exc}")
            del self.processes[number]
            loop.end()

    def end(self, numbers: list[int], leave: bool) -> None:
        """Kill each, or have it say its goodbye first."""
        for number in numbers:
            process = self.processes.pop(number, None)
            if process is None:
                continue
            process.loop.run(process.role.close, leave)
            process.loop.end()
            counters, total = process.loop.counters, self.ended_counters[number]
            for name in Counters.__slots__:
                setattr(total, name, getattr(total, name) + getattr(counters, name))
            self.faults += process.loop.faults

    def drain(self, numbers: list[int]) -> None:
        """Tell each that it will end."""
        for number in numbers:
            process = self.processes.get(number)
            if process is not None:
                process.loop.run(process.role.drain)

    def busy(self, numbers: list[int]) -> int:
        """How many of these are worth waiting for."""
        return sum(self.processes[n].role.busy() for n in numbers if n in self.processes)

    def exports(self) -> dict[int, Any]:
        """Of all that are at work, for `settle`."""
        return {number: process.role.export() for number, process in self.processes.items()}

    def settle(self, others: dict[int, Any]) -> None:
        """Start settled."""
        for process in self.processes.values():
            process.loop.run(process.role.settle, others)

    # ---- faults and changes ----

    def conditions(self, loss: float, groups: dict[Address, int]) -> None:
        """What befalls datagrams from now on."""
        self.network.conditions = Conditions(loss, groups)

    def propose(self, number: int, change: int, settings: dict[str, Any]) -> None:
        """Ask a member for a change; the answer comes by `take_answers`."""
        process = self.processes.get(number)
        if process is None:
            if number in self.lives:
                self.answers.append(Answer(change, None))
            return

        def answered(version: int | None) -> None:
            self.answers.append(Answer(change, version))

        process.loop.run(process.role.propose, settings, answered)

    def take_answers(self) -> list[Answer]:
        """Those since the last call."""
        answers, self.answers = self.answers, []
        return answers

    # ---- what is to be seen ----

    def states(self) -> list[MemberState]:
        """Of all at work."""
        return [process.role.report() for process in self.processes.values()]

    def counters(self) -> dict[int, Counters]:
        """Of each member, over all its lives."""
        found = dict[int, Counters]()
        for number, ended in self.ended_counters.items():
            process = self.processes.get(number)
            now = process.loop.counters if process is not None else Counters()
            found[number] = Counters(
                *(getattr(ended, name) + getattr(now, name) for name in Counters.__slots__)
            )
        return found

    def port_bytes(self) -> dict[int, int]:
        """Bytes that left the port of each member's present life."""
        return {number: process.loop.counters.bytes for number, process in self.processes.items()}

    def usage(self) -> Usage:
        """Of the process."""
        faults = [*self.faults, *(f for p in self.processes.values() for f in p.loop.faults)]
        return Usage(
            len(self.processes),
            resident(),
            self.idle_rss,
            time.process_time_ns() - self.idle_cpu,
            time.thread_time_ns() - self.idle_thread_cpu,
            sum(counters.cpu_ns for counters in self.counters().values()),
            tuple(faults[:8]),
        )

"""One whole daemon at size, measured from outside: stand-in discovery, thousands of upstreams, a client.

Theory of operation. The installation is the rig's own (`rig.installation`): the balancer is a process
`python -m dykeshift.node` with a configuration file, discovery is the stand-in registry, and each upstream
has a listening socket at an address of its own (`slots.py`). Clients are a process of their own
(`probe.py`), so that neither discovery's nor the daemon's work delays them. The phases follow one another:

    start   the daemon comes up with the whole list known and takes it once more from discovery
    quiet   no requests, no changes
    churn   changes of the list alone, at a fixed pace
    load    requests alone, through the daemon and directly in turns
    tenfold requests while restarts come at ten times an ordinary day's pace
    day     requests while a day's worth of restarts and replacements goes by, sped up
    change  configurations with one class changed, each taken at a SIGHUP
    zone    a zone of five leaves the list at once
    after   requests, of which none may go to what is gone

Of each phase the daemon's processor time (its process clock), its resident memory and how long it waited
for a processor (the kernel's count) are noted. After `day` and `zone` the daemon's own count of upstreams is
held to discovery's list, and no upstream may have got a request after it was gone (`faults`).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from dykeshift.rig.installation import Balancer, Installation
from dykeshift.scale.probe import ProbePlan, ProbeReport
from dykeshift.scale.settings_file import raw_settings
from dykeshift.scale.slots import GRACE_S, Slots
from dykeshift.scale.upstreams import (
    ChurnStep,
    Population,
    PopulationShape,
    address_of,
    draw_churn,
    listed_after,
)

CLASSES = 3
RATE = 204.0  # requests a second at one balancer of the target
DIRECT_RATE = 50.0
DIRECT_UPSTREAMS = 20
CHURN_RESTARTS_A_SECOND = 2.0
TENFOLD = 10
DAY_S = 86_400.0
MOST_AFTER_S = 2.0
CONFIGURATION_CHANGES = 20
SPARE_DESCRIPTORS = 2_000  # beside one for each upstream
SETTLE_S = 2.0
LONGEST_WAIT_S = 30.0
LOOK_S = 0.05
SCHEDULER_CLOCK = 2  # of `clock_gettime`: the processor time of a process, see clock_getcpuclockid(3)
NS_PER_S = 1e9
KB_PER_MB = 1000.0


class DaemonError(Exception):
    """The run can't be made as asked, or the daemon did not do its part; one line."""


@dataclass(frozen=True, slots=True)
class Timing:
    """How long the phases last, in seconds, and how many configurations are changed."""

    settle_s: float = SETTLE_S
    quiet_s: float = 5.0
    churn_s: float = 10.0
    load_s: float = 20.0
    day_s: float = 40.0
    changes: int = CONFIGURATION_CHANGES
    longest_wait_s: float = LONGEST_WAIT_S  # until a daemon that does not follow is found at fault
    grace_s: float = GRACE_S  # in which an upstream that is listed as leaving may still get requests

    @staticmethod
    def of_day(day_s: float) -> Timing:
        """Phases in proportion to a day of so many seconds."""
        return Timing(quiet_s=day_s / 8, churn_s=day_s / 4, load_s=day_s / 2, day_s=day_s)


@dataclass(frozen=True, slots=True)
class PhaseFigures:
    """What the daemon took in one phase."""

    seconds: float
    processor_s: float
    waited_s: float  # ready to run, and no processor was free
    resident_mb: float  # at the end

    @property
    def processor_ms_a_second(self) -> float:
        """Milliseconds of processor time a second."""
        return self.processor_s * 1000 / self.seconds


@dataclass(slots=True)
class DaemonFigures:
    """One run at one size."""

    upstreams: int
    phases: dict[str, PhaseFigures] = field(default_factory=dict)
    probes: dict[str, ProbeReport] = field(default_factory=dict)
    ready_s: float = 0.0  # from the start of the process until it takes requests
    list_steps: dict[str, int] = field(default_factory=dict)  # changes of the list, by phase
    configuration_changes: int = 0
    zone_s: float = 0.0  # from the last entry that was taken off until the daemon shows none of the zone
    zone_upstreams: int = 0
    most_resident_mb: float = 0.0
    upstreams_met: int = 0
    late_requests: int = 0  # that came to upstreams which should get nothing any more
    faults: list[str] = field(default_factory=list)


class ProcessMeter:
    """Processor time and memory of another process of this machine."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.clock = (~pid << 3) | SCHEDULER_CLOCK

    def processor_s(self) -> float:
        """Seconds of processor time since its start."""
        return time.clock_gettime_ns(self.clock) / NS_PER_S

    def waited_s(self) -> float:
        """Seconds that it was ready to run and had no processor."""
        return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1]) / NS_PER_S

    def _status_mb(self, name: str) -> float:
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.partition(f"{name}:")[2].split()[0]) * 1.024 / KB_PER_MB

    def resident_mb(self) -> float:
        """Resident memory now."""
        return self._status_mb("VmRSS")

    def most_resident_mb(self) -> float:
        """The most that was resident at any time."""
        return self._status_mb("VmHWM")


class ScaleInstallation(Installation):
    """Discovery, one balancer, and a population of upstreams with a socket each."""

    def __init__(self, shape: PopulationShape, seed: int, grace_s: float = GRACE_S) -> None:
        super().__init__(seed, senders=0, balancers=1, rate=0)
        self.shape, self.seed = shape, seed
        self.upstream_slots = Slots(shape.upstreams, grace_s)
        self.population = Population(shape, seed)
        self.settings = raw_settings(CLASSES, shape.balancers(), shape.zone_names())

    async def prepare(self) -> None:
        """Listen for all upstreams and list them."""
        await self.upstream_slots.listen()
        self.population = Population(self.shape, self.seed, self.upstream_slots.port)
        self.registry.listed = {one.id: one for one in self.population.first}

    def configure(self, balancer: Balancer, config: dict[str, Any]) -> None:
        """The settings of this shape instead of the demo's."""
        config["settings"] = self.settings

    async def stop(self) -> None:
        """End the balancer, then the upstreams."""
        await super().stop()
        self.upstream_slots.close()

    def make(self, step: ChurnStep) -> None:
        """One step of churn, at its slot and in discovery's list."""
        slot = self.upstream_slots.slots[step.slot]
        if step.starts:
            slot.begin()
        elif step.instance.lifecycle == "leaving":
            slot.leave(asyncio.get_running_loop().time())
        else:
            slot.end()
        self.registry.put(step.entry(int(time.time() * 1000)))

    async def churn(self, steps: tuple[ChurnStep, ...]) -> None:
        """All steps, each when it is due."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for step in steps:
            await asyncio.sleep(max(0.0, begin + step.at_s - loop.time()))
            self.make(step)


class DaemonRun:
    """Plays the phases at one size."""

    def __init__(
        self,
        upstreams: int,
        seed: int,
        rate: float = RATE,
        timing: Timing | None = None,
        said: Callable[[str], None] = lambda _: None,
    ) -> None:
        """`rate`: requests a second through the daemon; `said` is told which phase begins."""
        self.timing, self.seed, self.rate, self.said = timing or Timing(), seed, rate, said
        self.home = ScaleInstallation(PopulationShape(upstreams), seed, self.timing.grace_s)
        self.figures = DaemonFigures(upstreams)
        self._last_answer = "none"  # of the console to `_until`, in words

    async def run(self) -> DaemonFigures:
        """All phases; DaemonError where the daemon does not come up or does not follow.

        At a SIGTERM the daemon's process ends with this one.
        """
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        began = time.monotonic()
        try:
            await self.home.start()
            self.figures.ready_s = time.monotonic() - began
            await self._play()
        except TimeoutError:
            raise DaemonError("the daemon did not follow in time") from None
        finally:
            await self.home.stop()
        return self.figures

    @property
    def meter(self) -> ProcessMeter:
        """Of the daemon's process."""
        process = self.home.balancers[0].process
        assert process is not None
        return ProcessMeter(process.pid)

    async def _play(self) -> None:
        timing, home = self.timing, self.home
        await self._follows()
        with self._phase("start"):
            await asyncio.sleep(timing.settle_s)
        with self._phase("quiet"):
            await asyncio.sleep(timing.quiet_s)
        steps = self._draw(max(1, round(CHURN_RESTARTS_A_SECOND * timing.churn_s)), timing.churn_s, 1)
        with self._phase("churn"):
            self.figures.list_steps["churn"] = len(steps)
            await home.churn(steps)
        await self._load("load", timing.load_s, ())
        restarts = home.shape.restarts_a_day() * TENFOLD * timing.load_s / DAY_S
        await self._load_with_churn("tenfold", max(1, round(restarts)), timing.load_s, 2)
        await self._load_with_churn("day", home.shape.restarts_a_day(), timing.day_s, 3)
        await self._settled("after a day's churn")
        if timing.changes:
            await self._change_configuration(timing.changes)
        await self._lose_zone()
        home.upstream_slots.told()
        await self._load("after", min(MOST_AFTER_S, timing.load_s), ())
        self.figures.upstreams_met = home.upstream_slots.met
        self.figures.late_requests = home.upstream_slots.late
        if home.upstream_slots.late:
            self.figures.faults.append(
                f"{home.upstream_slots.late} requests came to upstreams that were gone"
            )
        self.figures.most_resident_mb = self.meter.most_resident_mb()

    def _draw(self, restarts: int, seconds: float, turn: int) -> tuple[ChurnStep, ...]:
        population = self.home.population
        steps = draw_churn(population, restarts, seconds, self.seed + turn)
        listed = listed_after(population.first, steps)
        by_address = {one.address: one for one in listed.values()}
        population.first = [by_address[one.address] for one in population.first]
        return steps

    @contextlib.contextmanager
    def _phase(self, name: str) -> Iterator[None]:
        self.said(name)
        meter = self.meter
        began, processor, waited = time.monotonic(), meter.processor_s(), meter.waited_s()
        yield
        self.figures.phases[name] = PhaseFigures(
            seconds=time.monotonic() - began,
            processor_s=meter.processor_s() - processor,
            waited_s=meter.waited_s() - waited,
            resident_mb=meter.resident_mb(),
        )

    async def _load_with_churn(self, name: str, restarts: int, seconds: float, turn: int) -> None:
        steps = self._draw(restarts, seconds, turn)
        self.figures.list_steps[name] = len(steps)
        churning = asyncio.get_running_loop().create_task(self.home.churn(steps))
        try:
            await self._load(name, seconds, steps)
            await churning
        finally:
            churning.cancel()

    async def _load(self, name: str, seconds: float, steps: tuple[ChurnStep, ...]) -> None:
        """Requests through the daemon and, at upstreams that no step touches, directly."""
        touched = {step.slot for step in steps}
        slots = enumerate(self.home.upstream_slots.slots)
        free = [number for number, slot in slots if slot.up and number not in touched]
        chosen = Random(self.seed).sample(free, min(DIRECT_UPSTREAMS, len(free)))
        plan = ProbePlan(
            name=name,
            seed=self.seed,
            seconds=seconds,
            balancer=self.home.balancers[0].address,
            rate=self.rate,
            upstreams=tuple(address_of(number, self.home.upstream_slots.port) for number in chosen),
            direct_rate=DIRECT_RATE,
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dykeshift.scale.probe",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        await process.stdout.readline()  # it is up
        with self._phase(name):
            told, _ = await process.communicate(msgspec.json.encode(plan))
        if process.returncode:
            raise DaemonError("the client's process failed")
        self.figures.probes[name] = msgspec.json.decode(told, type=ProbeReport)

    # ---- what the daemon shows ----

    async def _metrics(self) -> dict[str, Any]:
        host, port = self.home.balancers[0].console
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(b"GET /status/metrics HTTP/1.1\r\nHost: console\r\n\r\n")
            answer = await reader.read()
        finally:
            writer.close()
        metrics: dict[str, Any] = json.loads(answer.partition(b"\r\n\r\n")[2])
        return metrics

    async def _until(self, condition: Callable[[dict[str, Any]], bool]) -> bool:
        deadline = time.monotonic() + self.timing.longest_wait_s
        while time.monotonic() < deadline:
            try:
                metrics = await self._metrics()
            except (OSError, ValueError) as error:
                self._last_answer = f"{type(error).__name__}: {error}"
            else:
                if condition(metrics):
                    return True
                self._last_answer = f"{metrics['hosts_listed']} upstreams, reload {metrics['reconfig_ok']}"
            await asyncio.sleep(LOOK_S)
        return False

    def _state(self) -> str:
        """What a daemon that does not follow was last seen to do."""
        process = self.home.balancers[0].process
        assert process is not None
        ended = "it runs" if process.returncode is None else f"it has ended with {process.returncode}"
        return f"{ended}; last answer of its console: {self._last_answer}"

    async def _follows(self) -> None:
        if not await self._until(lambda metrics: metrics["hosts_listed"] == self.figures.upstreams):
            raise DaemonError(f"the daemon does not show the whole list: {self._state()}")

    async def _settled(self, when: str) -> None:
        """Hold the daemon's count of upstreams to discovery's list."""
        wanted = len(self.home.registry.listed)
        if not await self._until(lambda metrics: metrics["hosts_listed"] == wanted):
            seen = (await self._metrics())["hosts_listed"]
            self.figures.faults.append(f"{when}: the daemon holds {seen} upstreams, {wanted} are listed")

    # ---- the last phases ----

    async def _change_configuration(self, changes: int) -> None:
        """One class with other terms each time, taken at a SIGHUP; no requests meanwhile."""
        balancer = self.home.balancers[0]
        path = self.home.folder / f"{balancer.place}.json"
        config = json.loads(path.read_text(encoding="utf-8"))
        config["known"] = None  # what an operator changes is the settings
        assert balancer.process is not None
        with self._phase("change"):
            for number in range(changes):
                service = config["settings"]["services"][number % CLASSES]
                service["deadlineNs"] += 1_000_000
                path.write_text(json.dumps(config), encoding="utf-8")
                balancer.process.send_signal(signal.SIGHUP)
                wanted = number + 1
                if not await self._until(lambda metrics, n=wanted: metrics["reconfig_ok"] == n):  # type: ignore[misc]
                    raise DaemonError(f"the daemon does not take a changed configuration: {self._state()}")
        self.figures.configuration_changes = changes

    async def _lose_zone(self) -> None:
        home = self.home
        zone = home.shape.zone_names()[0]
        gone = [one for one in home.registry.listed.values() if one.zone == zone]
        slot_of = {one.address: slot for slot, one in enumerate(home.population.first)}
        with self._phase("zone"):
            for one in gone:
                home.make(ChurnStep(0.0, slot_of[one.address], replace(one, lifecycle="left")))
            began = time.monotonic()
            await self._settled("after a zone's loss")
            self.figures.zone_s = time.monotonic() - began
        self.figures.zone_upstreams = len(gone)


def enough_descriptors(upstreams: int) -> None:
    """Raise DaemonError where this process may not open a socket for each upstream."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = upstreams + SPARE_DESCRIPTORS
    if soft < wanted <= hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    elif hard < wanted:
        raise DaemonError(f"{upstreams} upstreams want {wanted} descriptors, and {hard} are allowed")

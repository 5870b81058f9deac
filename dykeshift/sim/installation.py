"""The simulated balancers and senders; each keeps its name and address over all its restarts."""

from __future__ import annotations

import contextlib
import functools
from collections.abc import Callable
from typing import Any

import msgspec

from dykeshift.interface import Fail, Refuse
from dykeshift.engine import config
from dykeshift.node import mllp as feature
from dykeshift.node import view as fleet_view
from dykeshift.node.__main__ import serve
from dykeshift.node.features import NONE, Features
from dykeshift.node.mllp import Options
from dykeshift.settings import MalformedError
from dykeshift.sim import referee as rules
from dykeshift.sim.kernel import EPOCH, MS, SECOND, Host, Process, VirtualClock
from dykeshift.sim.loop import Program, virtual_listen
from dykeshift.sim.scenario import CLASSES, KEYED_CLASS, KINDS, PROGRAM_DESCRIPTORS, Scenario
from dykeshift.sim.scene import SimulationContext
from dykeshift.standins import hl7
from dykeshift.standins.disk import Disk
from dykeshift.standins.mllp_sender import MllpLink
from dykeshift.standins.registry import Instance
from dykeshift.standins.sender import Link, Mood, Sender, Shape, Witness
from dykeshift.store.log import LogError
from dykeshift.view.core import View


def settings(scenario: Scenario) -> dict[str, Any]:
    """The settings, as a deployment's configuration file has them."""
    options = scenario.options
    aims = {"status-check": 250, "reminder-set": 400, "sms-send": 400}
    kinds = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
    deadlines = {name: int(usual * MS * options.longest / USUAL_LONGEST) for name, usual in DEADLINES.items()}
    services = [
        {
            "name": name,
            "goalTimeNs": min(aims[name] * MS, int(AIM_SHARE * deadlines[name])),
            "deadlineNs": deadlines[name],
            "worth": 3.0,
            "lateShare": 0.2,
            "idempotency": kinds[KINDS[name]],
            "group": "cell",
            "windowNs": int(options.window * SECOND),
            "stream": False,
        }
        for name in CLASSES
    ]
    return {
        "az": 0,
        "balancers": options.balancers,
        "discovery": "push" if options.push else "ask",
        "stepNs": 2 * MS,
        "valueBy": "request",
        "goal": {"worstClass": 0.0},
        "failureDomains": [f"z{n}" for n in range(options.zones)],
        "kinds": ["standard"],
        "report": {"fields": ["busy_reqs", "cpu_share"], "how": "piggyback"},
        "services": services,
        "bounds": {
            "cancelling": options.cancel,
            "maxAttempts": 3,
            "secondCopies": options.copies,
            "retryAfter": True,
            "maxRetryAfterNs": 750 * MS,
            "keepaliveNs": int(options.keepalive * SECOND),
            "connectTimeoutNs": 120 * MS,
        },
        "obligations": {
            "answerSlackNs": 8 * MS,
            "askEveryNs": 10 * SECOND,
            "coldFrom": 0.12,
            "coldNs": int(options.cold_time * SECOND),
            "drainGraceNs": 250 * MS,
            "fallNs": 3 * SECOND,
            "tipMultiple": 3.0,
        },
    }


PEER_PORT = 7946
VIEW_OPTIONS = msgspec.convert(
    {"period_s": 0.2, "lease_s": 10.0, "datagrams_s": 60.0, "bytes_s": 12_500.0}, fleet_view.Options
)
DEADLINES = {"status-check": 1000, "reminder-set": 800, "sms-send": 1500}  # milliseconds
USUAL_LONGEST = 1.5  # seconds: the longest of them
TOLERATED_STALL = 0.15  # seconds; a balancer stalled for no longer during its shutdown must keep all rules
AIM_SHARE = 0.8  # the aim of a class is at most this share of its deadline
MLLP_PORT, CONSOLE_PORT = 2575, 9090
CLOCK_ERROR = 0.5  # seconds; the configured bound on the error of clinics' clocks


def make_stricter(given: dict[str, Any]) -> None:
    """Make the keyed class of these settings unsafe."""
    given["services"][KEYED_CLASS]["idempotency"] = "side_effect"


def mllp_options(scenario: Scenario, address: str) -> Options:
    """The section `[mllp]`, as a deployment's configuration file has it."""
    options = scenario.options
    routes = [
        {
            "trigger": hl7.TRIGGERS[name],
            "class": name,
            "deadline_ms": DEADLINES[name],
            "target": f"/hl7/{name}",
        }
        for name in CLASSES
        if options.mllp_senders or KINDS[name] != "safe"
    ]
    return msgspec.convert(
        {
            "listen": [f"{address}:{MLLP_PORT}"],
            "upstreams": "mllp" if options.mllp_senders else "http",
            "journal": "/journal" if options.journal else "",
            "memory": {"clock_error_s": CLOCK_ERROR},
            "map": routes,
        },
        Options,
    )


class VirtualDisk:
    """A balancer's disk: it persists over restarts, is slow, and may lose power in the middle of a write."""

    def __init__(self, seed: int) -> None:
        self.files = Disk(seed)
        self.rng = self.files.rng
        self.slow = 0.0  # extra seconds of each operation
        self.loop: Any = None
        self.in_flight: list[Callable[[], Any]] = []

    def open(self, path: str) -> Disk:
        """See `store.disk.Disk`."""
        return self.files

    def worker(self, loop: Any) -> VirtualDisk:
        """See `store.disk.Disk`."""
        self.loop, self.in_flight = loop, []
        return self

    def run(self, work: Callable[[], Any], done: Callable[[Any, BaseException | None], None]) -> None:
        """Do the work after a random delay, plus `slow`."""
        self.in_flight.append(work)
        self.loop.call_later(0.0005 + 0.004 * self.rng.random() + self.slow, self._do, work, done)

    def _do(self, work: Callable[[], Any], done: Callable[[Any, BaseException | None], None]) -> None:
        self.in_flight.remove(work)
        try:
            result, error = work(), None
        except Exception as exc:
            result, error = None, exc
        self.loop.call_later(0.001 * self.rng.random(), done, result, error)

    def close(self) -> None:
        """Finish pending operations at once."""
        for work in self.in_flight:
            with contextlib.suppress(LogError, OSError):
                work()
        self.in_flight = []

    def power_cut(self) -> None:
        """Lose power: pending writes are written in part, and unsynced data may be lost."""
        self.files.room = sum(map(len, self.files.seen.values())) + self.rng.randint(0, 200)
        self.close()
        self.files.power_cut()


class ActionRecorder:
    """Wraps the decision module for the driver and passes its actions to `seen` as well."""

    def __init__(self, inner: Any, seen: Callable[[list[Any]], None]) -> None:
        self._inner, self._seen = inner, seen

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._inner, name)
        if not name.startswith("on_"):
            return method

        @functools.wraps(method)
        def call(*args: Any) -> Any:
            actions = method(*args)
            self._seen(actions)
            return actions

        self.__dict__[name] = call
        return call


class Node:
    """A balancer with a fixed name and address, over all its restarts."""

    def __init__(self, simulation: SimulationContext, number: int) -> None:
        self.simulation, self.number, self.name = simulation, number, f"n{number}"
        self.zone = f"z{number % simulation.scenario.options.zones}"
        self.host: Host = simulation.net.host(f"10.0.0.{number + 1}", self.zone)
        self.address = (self.host.name, 8081)
        self.incarnation = 0
        self.process: Program | None = None
        self.front: Any = None
        self.services: list[Any] = []
        self.disk = VirtualDisk(number + 1)
        self.raw: dict[str, Any] = {}
        self.settings: dict[str, Any] = {}  # those that it was started with
        self.instance_at: dict[str, str] = {}  # by address: the instance id, by the lists that it was sent
        self.last_discovery_request = 0  # when it last sent a request to discovery
        self.told_by_discovery: bool = False  # it has received a list since its start
        self.told_at = 0  # when it received the latest one
        self.exits: list[tuple[int, bool]] = []  # when, and whether that excuses lost requests
        self.stalls: list[tuple[int, int]] = []  # start and end of each
        self.settings_changes: list[tuple[int, int]] = []  # periods in which it had other settings

    def start(self, known: Any) -> None:
        """Start a process with a new configuration; `known` is its first list of servers."""
        if self.process is not None and self.process.alive:
            return
        simulation, options = self.simulation, self.simulation.scenario.options
        self.incarnation += 1
        files = (
            self.disk.files
        )  # end disk faults first: a balancer that can't open its journal does not start
        files.room, files.read_only, files.sync_fails = None, False, False
        given = settings(simulation.scenario)
        given["az"] = self.number % options.zones
        if options.stricter_at and simulation.world.now >= EPOCH + int(options.stricter_at * SECOND):
            make_stricter(given)
        self.settings = given
        self.raw = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"{simulation.discovery[0]}:{simulation.discovery[1]}",
            "seed": f"{simulation.scenario.seed}-{self.name}-{self.incarnation}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": options.descriptors},
            "known": known,
            "settings": given,
        }
        if options.view:
            self.raw["peer_listen"] = f"{self.host.name}:{PEER_PORT}"
            self.raw["peers"] = [f"10.0.0.{n + 1}:{PEER_PORT}" for n in range(options.balancers)]
        if options.consoles:
            self.raw["console"] = f"{self.address[0]}:{CONSOLE_PORT}"
        process = self.process = Program(
            simulation.world,
            self.host,
            f"{self.name}.{self.incarnation}",
            options.descriptors - PROGRAM_DESCRIPTORS,
            options.callback_us * 1000,
        )
        process.stalls = self.stalls
        process.on_exit = self._on_exit
        self.services = []
        simulation.net.attach(process)
        simulation.checker.reborn(self.name)
        self.instance_at = {row["hostPort"]: row["instanceId"] for row in known["instances"]}
        self.told_by_discovery = False
        process.loop.start(
            serve(
                config.parse(self.raw, options.view),
                self._load,
                VirtualClock(process),
                self._on_started,
                self._features(),
                listen=virtual_listen,
            )
        )

    def _load(self) -> config.Config:
        try:
            return config.parse(self.raw)
        except MalformedError as exc:
            raise config.ConfigError(f"bad configuration: {exc}") from None

    def _features(self) -> Features:
        options, parts = self.simulation.scenario.options, list[tuple[Any, Any]]()
        if options.clinics:
            parts.append((feature, mllp_options(self.simulation.scenario, self.address[0])))
        if options.view:
            parts.append((fleet_view, VIEW_OPTIONS))
        return Features(tuple(parts), self.disk) if parts else NONE

    def _on_started(self, front: Any, server: Any, reload: Any, services: list[Any]) -> None:
        self.front, self.services = front, services
        front.driver.balancer = ActionRecorder(front.driver.balancer, self._on_actions)

    def _on_actions(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Refuse | Fail):
                name = self.simulation.message_names.get(action.request_id, action.request_id)
                self.simulation.checker.gave_up(self.simulation.world.now, name)

    def _on_exit(self, process: Process) -> None:
        assert self.process is process
        for fault in self.process.loop.uncaught_errors:
            self.simulation.checker.breach(rules.FAULT, self.simulation.world.now, f"{process.name}: {fault}")
        if process.exit_code != -9:
            if not process.terminated:
                self.simulation.checker.breach(
                    rules.FAULT,
                    self.simulation.world.now,
                    f"{process.name} exited by itself with {process.exit_code}",
                )
            self.exits.append((self.simulation.world.now, False))

    def view(self) -> View | None:
        """Its view of the fleet, if it runs and keeps one."""
        if self.process is None or not self.process.alive:
            return None
        found = (s.view for s in self.services if isinstance(s, fleet_view.Service))
        return next(found, None)

    def stalled_time(self, since: int, until: int) -> int:
        """How long its processes were stalled in that period; all in nanoseconds."""
        return sum(max(0, min(end, until) - max(begin, since)) for begin, end in self.stalls)

    def kill(self, excused: bool = True) -> None:
        """Kill its process; `excused`: requests that are lost by this are not a breach."""
        if self.process is not None and self.process.alive:
            self.exits.append((self.simulation.world.now, excused))
            self.process.kill()
            if self.simulation.scenario.options.journal and self.disk.rng.random() < 0.7:
                self.disk.power_cut()


class SenderSite:
    """A host that runs one sender process after another, at a fixed address."""

    def __init__(self, simulation: SimulationContext, witness: Witness, number: int) -> None:
        options = simulation.scenario.options
        self.simulation, self.witness, self.number = simulation, witness, number
        self.zone = f"z{number % options.zones}"
        self.cell: int = number % options.racks
        self.host: Host = simulation.net.host(f"10.1.0.{number + 1}", self.zone)
        self.address = (self.host.name, 8081)
        self.incarnation = 0
        self.process: Program | None = None
        self.sender: Sender | None = None
        self.mood: Mood = Mood()

    def start(self, cold: bool) -> None:
        """Start a process under a new id; `cold`: not one of those that run from the beginning."""
        simulation, options = self.simulation, self.simulation.scenario.options
        if self.process is not None and self.process.alive:
            return
        self.incarnation += 1
        name = f"s{self.number}-{self.incarnation}"
        sender_options = Shape(
            slots=options.slots,
            cold_share=options.cold_share,
            cold_time=options.cold_time,
            most_connections=options.sender_table,
            keepalive=options.keepalive,
            key_window=options.window,
        )
        link = MllpLink if options.mllp_senders else Link
        rng = simulation.world.stream(f"sender/{name}")
        self.sender = Sender(
            name,
            self.cell,
            simulation.racks[self.cell],
            self.witness,
            rng,
            sender_options,
            self.mood,
            cold,
            link,
        )
        self.process = Program(simulation.world, self.host, name)
        simulation.net.attach(self.process)
        self.process.loop.start(self.sender.serve(*self.address))
        simulation.by_name[name] = self.sender
        started = simulation.world.unix() // MS if cold else 0
        simulation.register_later(
            0.0 if not cold else options.listed_after + 0.1 + 0.5 * simulation.rng.random(),
            Instance(name, self.address, self.zone, self.cell, started_ms=started),
        )

    def name(self) -> str:
        """The sender's name, empty if there is none."""
        return self.sender.name if self.sender is not None else ""

    def stop(self, vanish: bool = False, notice: float = 0.5) -> None:
        """Kill the sender, or take its host down; discovery notices after `notice` seconds."""
        if self.process is None or not self.process.alive:
            return
        if vanish:
            self.simulation.net.vanish(self.host)
        else:
            self.process.kill()
        self.simulation.set_lifecycle_later(notice, self.name(), "left")

    def drain(self) -> None:
        """Drain the sender and tell discovery."""
        if self.sender is not None:
            self.sender.drain()
            self.simulation.set_lifecycle_later(0.0, self.name(), "leaving")

"""Who is there on a day: balancers and senders, each under its name and address through all its lives."""

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
from dykeshift.settings import Malformed
from dykeshift.sim import referee as rules
from dykeshift.sim.kernel import MS, SECOND, Host, Process, VirtualClock
from dykeshift.sim.loop import Program, virtual_listen
from dykeshift.sim.scenario import CLASSES, KINDS, PROGRAM_DESCRIPTORS, Scenario
from dykeshift.sim.scene import Scene
from dykeshift.standins import hl7
from dykeshift.standins.disk import Disk
from dykeshift.standins.mllp_sender import MllpLink
from dykeshift.standins.registry import Instance
from dykeshift.standins.sender import Link, Mood, Sender, Shape, Witness
from dykeshift.store.log import LogError
from dykeshift.view.core import View


def settings(scenario: Scenario) -> dict[str, Any]:
    """The settings as a deployment words them."""
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
        }
        for name in CLASSES
    ]
    return {
        "az": 0,
        "balancers": options.balancers,
        "discovery": "push" if options.push else "ask",
        "stepNs": 2 * MS,
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


PEERS = 7946
VIEW = msgspec.convert(
    {"period_s": 0.2, "lease_s": 10.0, "datagrams_s": 60.0, "bytes_s": 12_500.0}, fleet_view.Options
)
DEADLINES = {"status-check": 1000, "reminder-set": 800, "sms-send": 1500}  # milliseconds
USUAL_LONGEST = 1.5  # seconds: the longest of them
STANDSTILL = 0.15  # seconds that a balancer may stand still during its end and still has to keep all rules
AIM_SHARE = 0.8  # of a class's deadline: its aim is no later
MLLP_PORT, CONSOLE_PORT = 2575, 9090
CLOCK_ERROR = 0.5  # seconds that clinics' clocks may be off, as balancers are told


def mllp(scenario: Scenario, address: str) -> Options:
    """The feature `[mllp]` as a deployment words it."""
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
    """A balancer's disk: it outlives its lives, takes its time, and may be cut in the middle of a write."""

    def __init__(self, seed: int) -> None:
        self.files = Disk(seed)
        self.rng = self.files.rng
        self.slow = 0.0  # seconds that each write takes more
        self.loop: Any = None
        self.under_way: list[Callable[[], Any]] = []

    def open(self, path: str) -> Disk:
        """See `store.disk.Disk`."""
        return self.files

    def worker(self, loop: Any) -> VirtualDisk:
        """See `store.disk.Disk`."""
        self.loop, self.under_way = loop, []
        return self

    def run(self, work: Callable[[], Any], done: Callable[[Any, BaseException | None], None]) -> None:
        """Do the work after a time drawn at random, longer where the disk is slow."""
        self.under_way.append(work)
        self.loop.call_later(0.0005 + 0.004 * self.rng.random() + self.slow, self._do, work, done)

    def _do(self, work: Callable[[], Any], done: Callable[[Any, BaseException | None], None]) -> None:
        self.under_way.remove(work)
        try:
            result, error = work(), None
        except Exception as exc:
            result, error = None, exc
        self.loop.call_later(0.001 * self.rng.random(), done, result, error)

    def close(self) -> None:
        """Finish what is under way, at once."""
        for work in self.under_way:
            with contextlib.suppress(LogError, OSError):
                work()
        self.under_way = []

    def power_cut(self) -> None:
        """The machine died: what was being written is there in part, what was not synced perhaps."""
        self.files.room = sum(map(len, self.files.seen.values())) + self.rng.randint(0, 200)
        self.close()
        self.files.power_cut()


class Tap:
    """The decision module as the driver calls it, with its actions seen by the day."""

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
    """A balancer under its name and address, through all its lives."""

    def __init__(self, day: Scene, number: int) -> None:
        self.day, self.number, self.name = day, number, f"n{number}"
        self.zone = f"z{number % day.scenario.options.zones}"
        self.host: Host = day.net.host(f"10.0.0.{number + 1}", self.zone)
        self.address = (self.host.name, 8081)
        self.lives = 0
        self.process: Program | None = None
        self.front: Any = None
        self.services: list[Any] = []
        self.disk = VirtualDisk(number + 1)
        self.raw: dict[str, Any] = {}
        self.settings: dict[str, Any] = {}  # as it started with them
        self.living: dict[str, str] = {}  # who lives where, as far as it can know
        self.asked = 0  # when it last asked discovery
        self.confirmed: bool = False  # discovery has spoken to it in this life
        self.deaths: list[tuple[int, bool]] = []  # when, and whether that excuses it
        self.stalls: list[tuple[int, int]] = []
        self.changes: list[tuple[int, int]] = []  # from when to when its settings were other ones

    def start(self, known: Any) -> None:
        """Start a process with a new configuration; `known` is its first list of servers."""
        if self.process is not None and self.process.alive:
            return
        day, options = self.day, self.day.scenario.options
        self.lives += 1
        files = self.disk.files  # with a journal that can't be opened it would not start: that is seen to
        files.room, files.read_only, files.sync_fails = None, False, False
        given = settings(day.scenario)
        given["az"] = self.number % options.zones
        self.settings = given
        self.raw = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"{day.discovery[0]}:{day.discovery[1]}",
            "seed": f"{day.scenario.seed}-{self.name}-{self.lives}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": options.descriptors},
            "known": known,
            "settings": given,
        }
        if options.view:
            self.raw["peer_listen"] = f"{self.host.name}:{PEERS}"
            self.raw["peers"] = [f"10.0.0.{n + 1}:{PEERS}" for n in range(options.balancers)]
        if options.consoles:
            self.raw["console"] = f"{self.address[0]}:{CONSOLE_PORT}"
        process = self.process = Program(
            day.world,
            self.host,
            f"{self.name}.{self.lives}",
            options.descriptors - PROGRAM_DESCRIPTORS,
            options.callback_us * 1000,
        )
        process.stalls = self.stalls
        process.on_exit = self._ended
        self.services = []
        day.net.attach(process)
        day.referee.reborn(self.name)
        self.living = {row["hostPort"]: row["instanceId"] for row in known["instances"]}
        self.confirmed = False
        process.loop.start(
            serve(
                config.parse(self.raw, options.view),
                self._load,
                VirtualClock(process),
                self._started,
                self._features(),
                listen=virtual_listen,
            )
        )

    def _load(self) -> config.Config:
        try:
            return config.parse(self.raw)
        except Malformed as exc:
            raise config.ConfigError(f"bad configuration: {exc}") from None

    def _features(self) -> Features:
        options, parts = self.day.scenario.options, list[tuple[Any, Any]]()
        if options.clinics:
            parts.append((feature, mllp(self.day.scenario, self.address[0])))
        if options.view:
            parts.append((fleet_view, VIEW))
        return Features(tuple(parts), self.disk) if parts else NONE

    def _started(self, front: Any, server: Any, reload: Any, services: list[Any]) -> None:
        self.front, self.services = front, services
        front.driver.balancer = Tap(front.driver.balancer, self._acted)

    def _acted(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Refuse | Fail):
                name = self.day.letters.get(action.request_id, action.request_id)
                self.day.referee.gave_up(self.day.world.now, name)

    def _ended(self, process: Process) -> None:
        assert self.process is process
        for fault in self.process.loop.faults:
            self.day.referee.breach(rules.FAULT, self.day.world.now, f"{process.name}: {fault}")
        if process.exit_code != -9:
            if not process.terminated:
                self.day.referee.breach(
                    rules.FAULT,
                    self.day.world.now,
                    f"{process.name} ended by itself with {process.exit_code}",
                )
            self.deaths.append((self.day.world.now, False))

    def view(self) -> View | None:
        """What it believes of the others, where it runs and keeps a view."""
        if self.process is None or not self.process.alive:
            return None
        found = (s.view for s in self.services if isinstance(s, fleet_view.Service))
        return next(found, None)

    def stood_still(self, since: int, until: int) -> int:
        """For how long its processes stood still in that time; all in nanoseconds."""
        return sum(max(0, min(end, until) - max(begin, since)) for begin, end in self.stalls)

    def kill(self, excused: bool = True) -> None:
        """Kill its process; `excused`: the requests that it cuts off are no breach."""
        if self.process is not None and self.process.alive:
            self.deaths.append((self.day.world.now, excused))
            self.process.kill()
            if self.day.scenario.options.journal and self.disk.rng.random() < 0.7:
                self.disk.power_cut()


class Post:
    """A sender's place: one machine, and the sender processes that follow one another on it."""

    def __init__(self, day: Scene, witness: Witness, number: int) -> None:
        options = day.scenario.options
        self.day, self.witness, self.number = day, witness, number
        self.zone = f"z{number % options.zones}"
        self.cell: int = number % options.racks
        self.host: Host = day.net.host(f"10.1.0.{number + 1}", self.zone)
        self.address = (self.host.name, 8081)
        self.lives = 0
        self.process: Program | None = None
        self.sender: Sender | None = None
        self.mood: Mood = Mood()

    def start(self, cold: bool) -> None:
        """A new process under a new id, cold unless the day begins with it."""
        day, options = self.day, self.day.scenario.options
        if self.process is not None and self.process.alive:
            return
        self.lives += 1
        name = f"s{self.number}-{self.lives}"
        shape = Shape(
            slots=options.slots,
            cold_share=options.cold_share,
            cold_time=options.cold_time,
            most_connections=options.sender_table,
            keepalive=options.keepalive,
            key_window=options.window,
        )
        link = MllpLink if options.mllp_senders else Link
        rng = day.world.stream(f"sender/{name}")
        self.sender = Sender(
            name, self.cell, day.racks[self.cell], self.witness, rng, shape, self.mood, cold, link
        )
        self.process = Program(day.world, self.host, name)
        day.net.attach(self.process)
        self.process.loop.start(self.sender.serve(*self.address))
        day.by_name[name] = self.sender
        started = day.world.unix() // MS if cold else 0
        day.list_later(
            0.0 if not cold else 0.1 + 0.5 * day.rng.random(),
            Instance(name, self.address, self.zone, self.cell, started_ms=started),
        )

    def name(self) -> str:
        """The sender's name, empty where there is none."""
        return self.sender.name if self.sender is not None else ""

    def stop(self, vanish: bool = False, notice: float = 0.5) -> None:
        """It dies; discovery notices later."""
        if self.process is None or not self.process.alive:
            return
        if vanish:
            self.day.net.vanish(self.host)
        else:
            self.process.kill()
        self.day.leave_later(notice, self.name(), "left")

    def drain(self) -> None:
        """Drain the sender and tell discovery."""
        if self.sender is not None:
            self.sender.drain()
            self.day.leave_later(0.0, self.name(), "leaving")

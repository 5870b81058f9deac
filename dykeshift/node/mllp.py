"""The feature `[mllp]`: MLLP listeners, stored answers and their journal, MLLP servers as upstreams."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING, Literal

import msgspec

from dykeshift.clock import Clock
from dykeshift.engine.listener import Listening
from dykeshift.engine.config import Config, ConfigError, read_address
from dykeshift.engine.requests import Objection
from dykeshift.interface import Settings
from dykeshift.mllp import bridge
from dykeshift.mllp.carrier import MllpCarrier
from dykeshift.mllp.front import MllpFront, Waiter
from dykeshift.mllp.journal import KIND, STEM, Journal
from dykeshift.mllp.mapping import Mapping, MappingError, Rule
from dykeshift.mllp.memory import Bounds, Memory
from dykeshift.store.log import LogError
from dykeshift.store.records import LogFormatError
from dykeshift.store.segments import Segments

if TYPE_CHECKING:
    from dykeshift.node.features import Host

log = logging.getLogger(__name__)

BACKLOG = 128  # connections that may wait to be accepted


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Maps an HL7 trigger event to a request class of the settings."""

    trigger: str
    klass: str = msgspec.field(name="class")
    deadline_ms: int = 3000
    target: str = "/"
    key: str = ""


class MemoryOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the store of answers that repeated messages are answered from."""

    entries: int = 100_000
    megabytes: int = 64
    age_hours: float = 168.0
    clock_error_s: float = 2.0
    fresh_s: float = 0.0


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The options of the section `[mllp]`."""

    listen: list[str] = []
    upstreams: Literal["http", "mllp"] = "http"
    journal: str = ""  # a directory; empty: stored answers are lost at a restart
    connections: int = 100
    pipelined: int = 8  # frames of one connection that may be in progress
    max_frame_kb: int = 1024
    memory: MemoryOptions = MemoryOptions()
    map: list[Route] = []


def check(options: Options, settings: Settings | None) -> None:
    """Raises ValueError with one line of text if the options cannot be used."""
    for address in options.listen:
        read_address(address)
    if options.listen and not options.map:
        raise ValueError("listen is given and map is empty: no message could be routed")
    for name, value, least in (
        ("connections", options.connections, 1),
        ("pipelined", options.pipelined, 1),
        ("max_frame_kb", options.max_frame_kb, 1),
        ("memory.entries", options.memory.entries, 1),
        ("memory.megabytes", options.memory.megabytes, 1),
        ("memory.age_hours", options.memory.age_hours, 0.01),
        ("memory.clock_error_s", options.memory.clock_error_s, 0.0),
        ("memory.fresh_s", options.memory.fresh_s, 0.0),
    ):
        if value < least:
            raise ValueError(f"{name} is {value}, and must be at least {least}")
    if settings is not None:
        mapping(options, settings)


def mapping(options: Options, settings: Settings) -> Mapping:
    """The routes with their classes' indices.

    Raises ValueError with one line of text for an unknown class.
    """
    numbers = {klass.name: n for n, klass in enumerate(settings.classes)}
    rules = []
    for route in options.map:
        if route.klass not in numbers:
            raise ValueError(
                f"{route.trigger}: there is no class {route.klass!r}; there are " f"{', '.join(numbers)}"
            )
        rules.append(
            Rule(
                route.trigger,
                numbers[route.klass],
                route.deadline_ms * 1_000_000,
                route.target.encode(),
                route.key,
            )
        )
    return Mapping(settings.classes, rules, options.upstreams == "mllp")


def bounds(options: MemoryOptions) -> Bounds:
    """The options in the units that `Memory` uses."""
    return Bounds(
        age=int(options.age_hours * 3600e9),
        entries=options.entries,
        bytes=options.megabytes << 20,
        clock_error=int(options.clock_error_s * 1e9),
        fresh=int(options.fresh_s * 1e9),
    )


def carrier(options: Options, loop: asyncio.AbstractEventLoop, clock: Clock) -> MllpCarrier | None:
    """The carrier for upstreams that are MLLP servers."""
    if options.upstreams != "mllp":
        return None
    return MllpCarrier(loop, clock, options.max_frame_kb << 10)


def connections(options: Options, configuration: Config) -> int:
    """How many MLLP clients may be connected: at most half of all client connections."""
    return min(options.connections, configuration.connections // 2)


def frames_budget(options: Options, configuration: Config) -> int:
    """Bytes of frames that all MLLP clients together may keep: the memory of the connections set apart."""
    share = connections(options, configuration) / configuration.connections
    return int(share * configuration.memory.buffers)


def objection(options: Options) -> Objection | None:
    """Which HTTP requests MLLP upstreams cannot take."""
    return bridge.objection if options.upstreams == "mllp" else None


class MllpService:
    """The MLLP front and its listeners, in the order of the option `listen`."""

    def __init__(self, front: MllpFront, servers: list[Listening]) -> None:
        self.front, self.servers = front, servers

    def drain(self) -> None:
        """Stop accepting connections, and let the open ones finish."""
        for server in self.servers:
            server.close()
        self.front.drain()

    def busy(self) -> bool:
        """Whether a message is in progress, or may be on a connection that is being accepted."""
        return self.front.busy() or any(server.pending() for server in self.servers)

    def close(self) -> None:
        """Close all connections and the journal."""
        self.front.close()


async def start(options: Options, host: Host) -> MllpService:
    """Open the listeners. Raises ConfigError if one of them, or the journal, cannot be used."""
    memory = Memory[Waiter](host.clock.time_ns(), bounds(options.memory), complete=bool(options.journal))
    journal = _journal(options.journal, host, memory) if options.journal else None
    routes = mapping(options, host.configuration.settings)
    front = MllpFront(
        host.loop,
        host.clock,
        host.driver,
        routes,
        memory,
        host.configuration.name,
        journal,
        options.pipelined,
        options.max_frame_kb << 10,
        connections(options, host.configuration),
        frames_budget(options, host.configuration),
        host.configuration.socket_buffer,
    )
    front.take_settings(host.driver.balancer.settings)
    if host.reload is not None:
        host.reload.checks.append(partial(_check_reload, routes))
        host.reload.followers.append(front.take_settings)
    servers = list[Listening]()
    for text in options.listen:
        try:
            servers.append(await host.listen(host.loop, front.connect, read_address(text), BACKLOG))
        except OSError as exc:
            raise ConfigError(f"cannot listen on {text} for MLLP: {exc}") from None
    return MllpService(front, servers)


def _check_reload(routes: Mapping, settings: Settings) -> None:
    """Raises ConfigError if a class of the routes would have terms that messages cannot have."""
    try:
        routes.check_classes(settings.classes)
    except MappingError as exc:
        raise ConfigError(f"[mllp]: {exc}") from None


def _journal(path: str, host: Host, memory: Memory[Waiter]) -> Journal:
    try:
        files = host.disk.open(path)
        journal = Journal(
            host.loop, host.clock, host.disk.worker(host.loop), Segments(files, STEM, KIND), memory
        )
        report = journal.recover()
    except BlockingIOError:
        raise ConfigError(f"the journal {path!r} is in use by another process") from None
    except OSError as exc:
        raise ConfigError(f"the journal {path!r} can't be used: {exc.strerror}") from None
    except (LogError, LogFormatError) as exc:
        raise ConfigError(f"the journal {path!r} can't be used: {exc}") from None
    (log.warning if report.lost else log.info)("journal %s: %s", path, report)
    return journal

"""The optional features of a balancer beside its HTTP front; each has a section of the feature file."""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from dykeshift.clock import Clock
from dykeshift.engine import config, features
from dykeshift.engine.driver import Driver
from dykeshift.engine.listener import Listen, listen
from dykeshift.engine.requests import Objection
from dykeshift.engine.upstream import Carrier
from dykeshift.interface import Settings

if TYPE_CHECKING:
    from dykeshift.node.reload import Reload
    from dykeshift.store.disk import Disk

FILE = "deploy/lifttrail.toml"
# Each module has Options, check, carrier, objection, connections and start; and prepare, which runs before
# any feature starts, if it has to register something for a feature that starts earlier.
SECTIONS = {
    "logs": "dykeshift.node.logs",
    "mllp": "dykeshift.node.mllp",
    "tally": "dykeshift.node.tally",
    "view": "dykeshift.node.view",
    "agree": "dykeshift.node.agree",
    "versions": "dykeshift.node.versions",
}


class Service(Protocol):
    """A running feature."""

    def drain(self) -> None:
        """Accept no new work."""

    def busy(self) -> bool:
        """Whether any accepted work is still unanswered."""

    def close(self) -> None:
        """Release everything; called once all requests are answered."""


@dataclass(frozen=True, slots=True)
class ConsoleCalls:
    """The console calls that features answer, by path.

    `immediate_calls` are answered at once with JSON, `deferred_calls` asynchronously.
    """

    immediate_calls: dict[bytes, Callable[[], bytes]] = field(default_factory=dict)
    # method and path: console.calls.DeferredCall
    deferred_calls: dict[tuple[bytes, bytes], Any] = field(default_factory=dict)
    backends: list[Any] = field(default_factory=list)  # the console's backend, once there is one


@dataclass(frozen=True, slots=True)
class Host:
    """What a feature gets from the daemon that runs it."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    configuration: config.Config
    driver: Driver
    disk: Disk
    listen: Listen = listen  # opens listeners
    inherited: bool = False  # another process of this balancer may be running too
    reload: Reload | None = None  # applies new settings and moves to another discovery
    offers: ConsoleCalls = field(default_factory=ConsoleCalls)
    metrics: dict[str, Callable[[], Any]] = field(default_factory=dict)  # of each feature, for `[tally]`
    # running features by section, and "machine", the log's state machine; for features that start later
    services: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Features:
    """The features that are switched on, in the order in which they start."""

    enabled: tuple[tuple[Any, Any], ...] = ()  # each module with its options
    disk: Any = field(default=None)  # for persistent state; None: the machine's own disk

    def carrier(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> Carrier | None:
        """The upstreams' protocol, if a feature sets one other than HTTP."""
        found = (module.carrier(options, loop, clock) for module, options in self.enabled)
        return next((carrier for carrier in found if carrier is not None), None)

    def objection(self) -> Objection | None:
        """The check of requests that a feature adds, if any."""
        found = (module.objection(options) for module, options in self.enabled)
        return next((objection for objection in found if objection is not None), None)

    def peering(self) -> bool:
        """Whether any feature talks to other balancers."""
        return any(getattr(module, "PEERING", False) for module, _ in self.enabled)

    def connections(self, configuration: config.Config) -> int:
        """How many of the client connections the features reserve for their own clients."""
        return sum(module.connections(options, configuration) for module, options in self.enabled)

    async def start(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        configuration: config.Config,
        driver: Driver,
        inherited: bool = False,
        offers: ConsoleCalls | None = None,
        reload: Reload | None = None,
        listen: Listen = listen,
        metrics: dict[str, Callable[[], Any]] | None = None,
    ) -> list[Service]:
        """Start all features in order. Their console calls are added to `offers`, figures to `metrics`."""
        if not self.enabled:
            return []
        disk = self.disk
        if disk is None:
            from dykeshift.store.disk import MachineDisk

            disk = MachineDisk()
        host = Host(
            loop,
            clock,
            configuration,
            driver,
            disk,
            listen,
            inherited,
            reload,
            offers or ConsoleCalls(),
            {} if metrics is None else metrics,
        )
        for module, options in self.enabled:
            if hasattr(module, "prepare"):
                module.prepare(options, host)
        return [await module.start(options, host) for module, options in self.enabled]


NONE = Features()


def load(path: str, required: bool, settings: Settings | None) -> Features:
    """Read and check the file, against `settings` if given. Raises ConfigError with one line of text."""
    parts, sections = [], features.read(path, required)
    for name in sections:
        if name not in SECTIONS:
            raise config.ConfigError(
                f"feature file {path!r}: there is no feature [{name}]; there are " f"{', '.join(SECTIONS)}"
            )
    for name in (n for n in SECTIONS if n in sections):  # in the order in which one may depend on another
        section = sections[name]
        module = importlib.import_module(SECTIONS[name])
        options = features.convert(path, name, section, module.Options)
        try:
            module.check(options, settings)
        except ValueError as exc:
            raise config.ConfigError(f"feature file {path!r}: [{name}]: {exc}") from None
        parts.append((module, options))
    return Features(tuple(parts))

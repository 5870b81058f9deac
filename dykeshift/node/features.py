"""Which features this balancer runs beside its HTTP front, each from its section of the feature file."""

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
# Each has Options, check, carrier, objection, connections, start; and prepare, if those before it are to
# know.
SECTIONS = {
    "logs": "dykeshift.node.logs",
    "mllp": "dykeshift.node.mllp",
    "tally": "dykeshift.node.tally",
    "view": "dykeshift.node.view",
    "agree": "dykeshift.node.agree",
    "versions": "dykeshift.node.versions",
}


class Service(Protocol):
    """A feature at work."""

    def drain(self) -> None:
        """Take nothing new."""

    def busy(self) -> bool:
        """Whether anything that was taken is not answered."""

    def close(self) -> None: ...


@dataclass(frozen=True, slots=True)
class Offers:
    """What operators can ask a feature, by path: JSON texts at once, or by a call that takes its time."""

    calls: dict[bytes, Callable[[], bytes]] = field(default_factory=dict)
    # method and path: console.calls.Order
    orders: dict[tuple[bytes, bytes], Any] = field(default_factory=dict)
    desks: list[Any] = field(default_factory=list)  # who carries operators' calls out, once there is one


@dataclass(frozen=True, slots=True)
class Host:
    """What a feature may use."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    given: config.Config
    driver: Driver
    disk: Disk
    listen: Listen = listen  # opens listeners
    inherited: bool = False  # another process of this balancer may be at work beside this one
    reload: Reload | None = None  # takes new settings and moves to another discovery
    offers: Offers = field(default_factory=Offers)
    figures: dict[str, Callable[[], Any]] = field(default_factory=dict)  # what a tally counts of features
    # features at work, by section, for those that start later
    found: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Features:
    parts: tuple[tuple[Any, Any], ...] = ()  # module and its options
    disk: Any = field(default=None)  # where lasting state goes; None: the machine's own disk

    def carrier(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> Carrier | None:
        """What the upstreams speak, where a feature says that it is not HTTP."""
        found = (module.carrier(options, loop, clock) for module, options in self.parts)
        return next((carrier for carrier in found if carrier is not None), None)

    def objection(self) -> Objection | None:
        found = (module.objection(options) for module, options in self.parts)
        return next((objection for objection in found if objection is not None), None)

    def peering(self) -> bool:
        """Whether any of them talks to other balancers."""
        return any(getattr(module, "PEERING", False) for module, _ in self.parts)

    def connections(self, given: config.Config) -> int:
        """Of those to clients, how many the features take for theirs."""
        return sum(module.connections(options, given) for module, options in self.parts)

    async def start(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        given: config.Config,
        driver: Driver,
        inherited: bool = False,
        offers: Offers | None = None,
        reload: Reload | None = None,
        listen: Listen = listen,
    ) -> list[Service]:
        """`offers`: takes up what the features answer operators."""
        if not self.parts:
            return []
        disk = self.disk
        if disk is None:
            from dykeshift.store.disk import MachineDisk

            disk = MachineDisk()
        host = Host(loop, clock, given, driver, disk, listen, inherited, reload, offers or Offers())
        for module, options in self.parts:
            if hasattr(module, "prepare"):
                module.prepare(options, host)
        return [await module.start(options, host) for module, options in self.parts]


NONE = Features()


def load(path: str, required: bool, settings: Settings | None) -> Features:
    """Read and check the file, against settings where they are given; ConfigError in one line."""
    parts, given = [], features.read(path, required)
    for name in given:
        if name not in SECTIONS:
            raise config.ConfigError(
                f"feature file {path!r}: there is no feature [{name}]; there are " f"{', '.join(SECTIONS)}"
            )
    for name in (n for n in SECTIONS if n in given):  # in the order in which one may build on another
        section = given[name]
        module = importlib.import_module(SECTIONS[name])
        options = features.convert(path, name, section, module.Options)
        try:
            module.check(options, settings)
        except ValueError as exc:
            raise config.ConfigError(f"feature file {path!r}: [{name}]: {exc}") from None
        parts.append((module, options))
    return Features(tuple(parts))

"""The parts of a balancer between its front and its features, put together: for the daemon, and for whoever
runs its features without a front."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from dykeshift.clock import Clock
from dykeshift.engine import config, requests
from dykeshift.engine.discovery import Discovery, Reader
from dykeshift.engine.driver import Driver
from dykeshift.engine.http_carrier import HttpCarrier
from dykeshift.engine.upstream import Pool
from dykeshift.node.features import NONE, Features
from dykeshift.node.reload import Reload
from dykeshift.rules import Balancer


@dataclass(frozen=True, slots=True)
class Assembly:
    """What a front submits requests to and what features are told by; nothing of it has started."""

    driver: Driver
    discovery: Discovery
    reader: requests.Reader
    reload: Reload


def assemble(
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    given: config.Config,
    load: Callable[[], config.Config],
    beside: Features = NONE,
) -> Assembly:
    """The parts for one configuration; `load` reads it anew, `beside` may bring the upstreams' protocol."""
    carrier = beside.carrier(loop, clock) or HttpCarrier(loop, clock)
    pool = Pool(loop, clock, carrier, given.connections, given.connect_timeout, given.keepalive)
    driver = Driver(loop, clock, Balancer(given.settings, given.seed), pool, lambda: discovery.watch())
    discovery = Discovery(
        loop,
        clock,
        given.discovery,
        Reader(clock, given.zones, given.kinds),
        driver.apply,
        driver.discovery_failed,
        not given.settings.ask_discovery,
    )
    reader = requests.Reader(given.settings.classes, beside.objection())
    return Assembly(driver, discovery, reader, Reload(load, discovery, driver, reader))

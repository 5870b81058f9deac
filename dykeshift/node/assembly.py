"""Builds the parts of a balancer between its front and its features, also for use without a front."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dykeshift.clock import Clock
from dykeshift.engine import config, requests
from dykeshift.engine.budget import Budget
from dykeshift.engine.discovery import DiscoveryClient, ListReader
from dykeshift.engine.driver import Driver
from dykeshift.engine.http_carrier import HttpCarrier
from dykeshift.engine.reading import ReadBuffer
from dykeshift.engine.upstream import Pool
from dykeshift.node.features import NONE, Features
from dykeshift.node.reload import Reload
from dykeshift.rules import Balancer


@dataclass(frozen=True, slots=True)
class Assembly:
    """The parts that a front and the features work with; none of them has started."""

    driver: Driver
    discovery: DiscoveryClient
    reader: requests.Reader
    reload: Reload
    read_buffer: ReadBuffer  # of connections to upstreams, for those of clients, too


def assemble(
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    configuration: config.Config,
    load: Callable[[], config.Config],
    feature_set: Features = NONE,
) -> Assembly:
    """Build the parts. `load` reads the configuration again; `feature_set` may set the protocol."""
    read_buffer = ReadBuffer(Budget[Any](configuration.memory.buffers))
    carrier = feature_set.carrier(loop, clock) or HttpCarrier(loop, clock, read_buffer)
    pool = Pool(
        loop,
        clock,
        carrier,
        configuration.connections,
        configuration.connect_timeout,
        configuration.keepalive,
        socket_buffer=configuration.socket_buffer,
    )
    driver = Driver(
        loop, clock, Balancer(configuration.settings, configuration.seed), pool, lambda: discovery.watch()
    )
    discovery = DiscoveryClient(
        loop,
        clock,
        configuration.discovery,
        ListReader(clock, configuration.zones, configuration.kinds),
        driver.apply,
        driver.discovery_failed,
        not configuration.settings.ask_discovery,
    )
    reader = requests.Reader(configuration.settings.classes, feature_set.objection())
    reload = Reload(configuration, load, discovery, driver, reader)
    return Assembly(driver, discovery, reader, reload, read_buffer)

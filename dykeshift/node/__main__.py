"""Run one real balancer: `python -m dykeshift.node`, configured by the file that NODE_CONFIG names."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # Before the imports, which take a quarter of a second: until there is a handler a SIGHUP would end the
    # program. One that comes waits. `run` in deploy/balancer.toml ignores those that come sooner still.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])

import asyncio
import gc
import logging
import os
import socket
import sys
from collections.abc import Callable, Coroutine
from functools import partial
from typing import TYPE_CHECKING, Any

import uvloop

from dykeshift.clock import SYSTEM, Clock
from dykeshift.engine import config
from dykeshift.engine.drain import Drain
from dykeshift.engine.driver import Driver
from dykeshift.engine.listener import Listen, listen
from dykeshift.node import features
from dykeshift.node.assembly import Assembly, assemble
from dykeshift.node.features import NONE, Features, Service
from dykeshift.node.reload import Reload
from dykeshift.node.shutdown import Shutdown
from dykeshift.engine.server import Front

if TYPE_CHECKING:
    from dykeshift.node.together import Together

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that may wait to be accepted
FIRST_LIST = 3.0  # seconds that a process beside another waits for discovery before it serves: half its time
TICK = 0.02  # seconds between two looks at what it waits for


async def serve(
    given: config.Config,
    load: Callable[[], config.Config],
    clock: Clock = SYSTEM,
    started: Callable[[Front, Any, Reload, list[Service]], None] | None = None,
    beside: Features = NONE,
    inherited: socket.socket | None = None,
    listen: Listen = listen,
) -> None:
    """Serve until told to end.

    `inherited`: a listener that other processes of this balancer have too, instead of `given.listen`.
    `listen` opens listeners. Clients are accepted last of all: whatever else may fail, nobody waits then.
    """
    loop = asyncio.get_running_loop()
    parts = assemble(loop, clock, given, load, beside)
    driver = parts.driver
    drain = Drain(shared=inherited is not None)
    shutdown = Shutdown(loop, clock, drain, driver)
    limit = given.connections - beside.connections(given)
    front = Front(loop, clock, driver, parts.reader, limit, drain, given.kept)
    loop.add_signal_handler(signal.SIGTERM, shutdown.terminate)
    loop.add_signal_handler(signal.SIGINT, shutdown.terminate)
    loop.add_signal_handler(signal.SIGHUP, parts.reload)
    together = meet(loop, clock, driver, front) if inherited is not None else None
    learn(parts, given)
    if inherited is not None:
        await first_list(driver, together, shutdown)
    offers = features.Offers()
    services = await beside.start(
        loop, clock, given, driver, inherited is not None, offers, parts.reload, listen
    )
    if given.console is not None:
        services.append(await open_console(loop, clock, given, driver, shutdown, together, offers, listen))
    if shutdown.begun:  # told to end as it started: nobody has come to it yet
        await shutdown.close(front, services)
        return
    if together is not None:
        together.serve()
    try:
        server = await listen(loop, front.connect, given.listen, BACKLOG, inherited)
    except OSError as exc:
        raise config.ConfigError(f"cannot listen on {given.listen[0]}:{given.listen[1]}: {exc}") from None
    try:
        if started is not None:
            started(front, server, parts.reload, services)
        await shutdown.run(front, server, services)
    finally:
        server.abandon()
        if together is not None:
            together.leave()


def learn(parts: Assembly, given: config.Config) -> None:
    """Begin to hear of the upstreams."""
    parts.driver.start()
    parts.discovery.take_known(given.known)
    if not given.settings.ask_discovery:
        parts.discovery.watch()


async def open_console(
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    given: config.Config,
    driver: Driver,
    shutdown: Shutdown,
    together: Together | None,
    offers: features.Offers,
    listen: Listen,
) -> Service:
    """Answer operators' calls. Raises ConfigError where its address cannot be used."""
    from dykeshift.console.shell import Console
    from dykeshift.node.desk import Desk

    assert given.console is not None
    desk = Desk(clock, driver, shutdown.drain, shutdown.standby, together, offers)
    console = Console(loop, desk, given.callers)
    try:
        await console.listen(given.console, listen)
    except OSError as exc:
        raise config.ConfigError(f"cannot listen for operators: {exc}") from None
    return console


def meet(loop: asyncio.AbstractEventLoop, clock: Clock, driver: Driver, front: Front) -> Together | None:
    """The other processes of this balancer, through the folder that they share, if there is one."""
    path = os.environ.get("TMPDIR")
    if not path:
        log.warning("TMPDIR is not set: bans do not outlive this process", extra={"event": "handover.alone"})
        return None
    from dykeshift.handover.folder import Folder
    from dykeshift.node.together import Together

    together = Together(loop, clock, Folder(path), driver, front)
    together.restore()
    return together


async def first_list(driver: Driver, together: Together | None, shutdown: Shutdown) -> None:
    """Wait for discovery: the list from before the start may be as old as the process that serves already.

    And for the bans, where they cannot be read at once.
    """
    until = driver.loop.time() + FIRST_LIST

    def informed() -> bool:
        return driver.informed and (together is None or together.restored)

    while not informed() and not shutdown.begun and driver.loop.time() < until:
        await asyncio.sleep(TICK)


def settle(*_: object) -> None:
    """What only the program that owns its process may do, once it serves."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
    gc.collect()
    gc.freeze()  # what lives as long as the program is not walked again by each collection


async def owned(serving: Coroutine[Any, Any, None]) -> None:
    """What only the program that owns its process may do once it has served.

    As the event loop closes, SIGHUP has its default again, which would end the process before its exit.
    """
    try:
        await serving
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])


def inherited() -> socket.socket | None:
    """The listener that the platform holds and this process was given, if it was."""
    text = os.environ.get("NODE_INHERITED_FD")
    if not text:
        return None
    try:
        found = socket.socket(fileno=int(text))
        if not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError("it does not listen")
    except (ValueError, OSError) as exc:
        raise config.ConfigError(f"NODE_INHERITED_FD is {text!r}, which is no listener: {exc}") from None
    return found


def main(clock: Clock = SYSTEM) -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    path = os.environ.get("NODE_CONFIG")
    try:
        if not path:
            raise config.ConfigError("NODE_CONFIG is not set; it names the configuration file")
        # It would end the program; one that comes before there is a handler waits until there is.
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
        load = partial(config.load, path, os.environ.get("NODE_CONSOLE"))
        given = load()
        own = os.environ.get("LIFTTRAIL_FEATURES")
        chosen = features.load(own or features.FILE, own is not None, given.settings)
        if chosen.peering():
            load = partial(load, peering=True)
            given = load()
        uvloop.run(owned(serve(given, load, clock, started=settle, beside=chosen, inherited=inherited())))
    except config.ConfigError as exc:
        print(f"balancer: {exc}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

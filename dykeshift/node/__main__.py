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
from dykeshift.engine.drain import Drain, State
from dykeshift.engine.driver import Driver
from dykeshift.engine.listener import Listen, Listening, listen
from dykeshift.node import features
from dykeshift.node.assembly import assemble
from dykeshift.node.features import NONE, Features, Service
from dykeshift.node.reload import Reload
from dykeshift.engine.server import Front

if TYPE_CHECKING:
    from dykeshift.node.together import Together

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that may wait to be accepted
FIRST_LIST = 3.0  # seconds that a process beside another waits for discovery before it serves: half its time
TICK = 0.02  # seconds between two looks at a drain


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
    driver, discovery, reader, reload = parts.driver, parts.discovery, parts.reader, parts.reload
    drain = Drain(shared=inherited is not None)
    limit = given.connections - beside.connections(given)
    front = Front(loop, clock, driver, reader, limit, drain, given.kept)
    leaving = asyncio.Event()  # set while the drain wants looking after

    def standby() -> None:
        drain.standby(loop.time())
        leaving.set()

    def stop() -> None:
        longest = max((c.deadline for c in driver.balancer.settings.classes), default=0) / 1e9
        drain.terminate(loop.time(), longest)
        leaving.set()

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    together = meet(loop, clock, driver, front) if inherited is not None else None
    driver.start()
    discovery.take_known(given.known)
    if not given.settings.ask_discovery:
        discovery.watch()
    if inherited is not None:
        await first_list(driver, together)
    offers = features.Offers()
    services = await beside.start(loop, clock, given, driver, inherited is not None, offers, reload, listen)
    if given.console is not None:
        from dykeshift.console.shell import Console
        from dykeshift.node.desk import Desk

        console = Console(loop, Desk(clock, driver, drain, standby, together, offers), given.callers)
        try:
            await console.listen(given.console, listen)
        except OSError as exc:
            raise config.ConfigError(f"cannot listen for operators: {exc}") from None
        services.append(console)
    if together is not None:
        together.serve()
    try:
        server = await listen(loop, front.connect, given.listen, BACKLOG, inherited)
    except OSError as exc:
        raise config.ConfigError(f"cannot listen on {given.listen[0]}:{given.listen[1]}: {exc}") from None
    try:
        if started is not None:
            started(front, server, reload, services)
        while drain.state is not State.OVER:
            await leaving.wait()
            await wind_down(front, server, services)
            leaving.clear()
        log_end(driver)
    finally:
        server.abandon()
        if together is not None:
            together.leave()


def log_end(driver: Driver) -> None:
    """What was kept from happening and what was closed, by reason, in one line as the process ends."""
    fields = driver.ledger.occurrences.figures()
    log.info(
        "ended: %s", fields or "nothing was kept back or closed", extra={"event": "ended", "fields": fields}
    )


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


async def first_list(driver: Driver, together: Together | None) -> None:
    """Wait for discovery: the list from before the start may be as old as the process that serves already.

    And for the bans, where they cannot be read at once.
    """
    until = driver.loop.time() + FIRST_LIST

    def informed() -> bool:
        return driver.informed and (together is None or together.restored)

    while not informed() and driver.loop.time() < until:
        await asyncio.sleep(TICK)


async def wind_down(front: Front, server: Listening, services: list[Service]) -> None:
    """Let go of the clients, until it is over or taken back.

    None is turned away while some may still come, all that were taken are answered.
    """
    loop, drain = asyncio.get_running_loop(), front.drain
    told = False
    while not drain.taking:
        if drain.ending and not told:
            told = True
            for service in services:
                service.drain()
        pending = server.pending()
        busy = pending or front.busy() or any(service.busy() for service in services)
        orders = drain.look(loop.time(), busy, pending or (busy and front.taken()))
        if orders.stop_accepting:
            server.close()
        front.close_idle(orders)
        if drain.state is State.OVER:
            front.close_all()
            for service in services:
                service.close()
            return
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

"""Run one real balancer: `python -m dykeshift.node`, configured by the file that NODE_CONFIG names."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # Before the imports, which take a quarter of a second: until the handler is installed a SIGHUP would end
    # the program. Blocked, it stays pending. `run` in deploy/balancer.toml ignores those that come even
    # earlier.
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
from dykeshift.node.memory import MemoryWatch
from dykeshift.node.reload import Reload
from dykeshift.node.shutdown import Shutdown
from dykeshift.engine.server import Front

if TYPE_CHECKING:
    from dykeshift.node.together import ProcessGroup

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that may wait to be accepted
FIRST_LIST_TIMEOUT_S = 3.0  # for discovery, while an older process serves: half of the time for a start
POLL_INTERVAL_S = 0.02  # between two checks while waiting


async def serve(
    configuration: config.Config,
    load: Callable[[], config.Config],
    clock: Clock = SYSTEM,
    on_started: Callable[[Front, Any, Reload, list[Service]], None] | None = None,
    feature_set: Features = NONE,
    inherited: socket.socket | None = None,
    listen: Listen = listen,
) -> None:
    """Serve until a termination signal.

    `inherited`: a listener that other processes of this balancer share, instead of `configuration.listen`.
    `feature_set`: the features. `listen` opens listeners. Clients are accepted after everything else has
    started, so that no client waits if a part of the start fails.
    """
    loop = asyncio.get_running_loop()
    parts = assemble(loop, clock, configuration, load, feature_set)
    driver = parts.driver
    drain = Drain(shared=inherited is not None)
    shutdown = Shutdown(loop, clock, drain, driver)
    limit = configuration.connections - feature_set.connections(configuration)
    front = Front(
        loop,
        clock,
        driver,
        parts.reader,
        limit,
        drain,
        configuration.socket_buffer,
        parts.read_buffer,
    )
    memory = MemoryWatch(loop, clock, driver, front, configuration.memory_mb)
    loop.add_signal_handler(signal.SIGTERM, shutdown.terminate)
    loop.add_signal_handler(signal.SIGINT, shutdown.terminate)
    loop.add_signal_handler(signal.SIGHUP, parts.reload)
    together = join_process_group(loop, clock, driver, front) if inherited is not None else None
    start_discovery(parts, configuration)
    if inherited is not None:
        await wait_for_first_list(driver, together, shutdown)
    offers = features.ConsoleCalls()
    services = await feature_set.start(
        loop,
        clock,
        configuration,
        driver,
        inherited is not None,
        offers,
        parts.reload,
        listen,
        {"memory": memory.figures},
    )
    memory.mllp_budgets = [service.front.budget for service in services if hasattr(service, "front")]
    if configuration.console is not None:
        services.append(
            await open_console(loop, clock, configuration, driver, shutdown, together, offers, listen, memory)
        )
    if shutdown.begun:  # terminated during its start: no client has been accepted yet
        await shutdown.close(front, services)
        return
    if together is not None:
        together.serve()
    try:
        server = await listen(loop, front.connect, configuration.listen, BACKLOG, inherited)
    except OSError as exc:
        raise config.ConfigError(
            f"cannot listen on {configuration.listen[0]}:{configuration.listen[1]}: {exc}"
        ) from None
    try:
        if on_started is not None:
            on_started(front, server, parts.reload, services)
        await shutdown.run(front, server, services)
    finally:
        server.abandon()
        memory.close()
        if together is not None:
            together.leave()


def start_discovery(parts: Assembly, configuration: config.Config) -> None:
    """Apply the known list of upstreams and begin to watch discovery."""
    parts.driver.start()
    parts.discovery.apply_cached(configuration.cached_list)
    if not configuration.settings.ask_discovery:
        parts.discovery.watch()


async def open_console(
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    configuration: config.Config,
    driver: Driver,
    shutdown: Shutdown,
    together: ProcessGroup | None,
    offers: features.ConsoleCalls,
    listen: Listen,
    memory: MemoryWatch,
) -> Service:
    """Start the operators' console. Raises ConfigError if its address cannot be used."""
    from dykeshift.console.shell import Console
    from dykeshift.node.desk import ProcessBackend

    assert configuration.console is not None
    backend = ProcessBackend(
        clock, driver, shutdown.drain, shutdown.standby, together, offers, memory.figures
    )
    console = Console(loop, backend, configuration.operator_connections)
    try:
        await console.listen(configuration.console, listen)
    except OSError as exc:
        raise config.ConfigError(f"cannot listen for operators: {exc}") from None
    return console


def join_process_group(
    loop: asyncio.AbstractEventLoop, clock: Clock, driver: Driver, front: Front
) -> ProcessGroup | None:
    """Join the other processes of this balancer, through the shared folder in $TMPDIR, if it is set."""
    path = os.environ.get("TMPDIR")
    if not path:
        log.warning(
            "TMPDIR is not set: bans are lost when this process ends", extra={"event": "handover.alone"}
        )
        return None
    from dykeshift.handover.folder import Folder
    from dykeshift.node.together import ProcessGroup

    together = ProcessGroup(loop, clock, Folder(path), driver, front)
    together.restore()
    return together


async def wait_for_first_list(driver: Driver, together: ProcessGroup | None, shutdown: Shutdown) -> None:
    """Wait for the first list from discovery, and for the bans if they could not be read at once.

    The list known at the start may be as old as the process that already serves.
    """
    until = driver.loop.time() + FIRST_LIST_TIMEOUT_S

    def informed() -> bool:
        return driver.discovery_has_answered and (together is None or together.restored)

    while not informed() and not shutdown.begun and driver.loop.time() < until:
        await asyncio.sleep(POLL_INTERVAL_S)


def finish_startup(*_: object) -> None:
    """Process-wide steps once the program serves: unblock SIGHUP, and exempt what exists from collection."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
    gc.collect()
    gc.freeze()  # long-lived objects are not traversed by each collection


async def run_as_program(serving: Coroutine[Any, Any, None]) -> None:
    """Serve, then block SIGHUP again.

    As the event loop closes, SIGHUP gets back its default action, which would kill the process before its
    exit.
    """
    try:
        await serving
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])


def inherited() -> socket.socket | None:
    """The listener that the platform holds and passed to this process by NODE_INHERITED_FD, if any."""
    text = os.environ.get("NODE_INHERITED_FD")
    if not text:
        return None
    try:
        found = socket.socket(fileno=int(text))
        if not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError("the socket does not listen")
    except (ValueError, OSError) as exc:
        raise config.ConfigError(
            f"NODE_INHERITED_FD is {text!r}, which is not a listening socket: {exc}"
        ) from None
    return found


def main(clock: Clock = SYSTEM) -> int:
    """Read the configuration and serve; returns the exit code, 2 for a bad configuration."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    path = os.environ.get("NODE_CONFIG")
    try:
        if not path:
            raise config.ConfigError("NODE_CONFIG is not set; it names the configuration file")
        # A SIGHUP would end the program; blocked, it stays pending until the handler is installed.
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
        load = partial(config.load, path, os.environ.get("NODE_CONSOLE"))
        configuration = load()
        own = os.environ.get("LIFTTRAIL_FEATURES")
        chosen = features.load(own or features.FILE, own is not None, configuration.settings)
        if chosen.peering():
            load = partial(load, peering=True)
            configuration = load()
        uvloop.run(
            run_as_program(
                serve(
                    configuration,
                    load,
                    clock,
                    on_started=finish_startup,
                    feature_set=chosen,
                    inherited=inherited(),
                )
            )
        )
    except config.ConfigError as exc:
        print(f"balancer: {exc}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

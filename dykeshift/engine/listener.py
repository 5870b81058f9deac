"""Accepting connections, without losing any while the system is out of descriptors or memory.

When `accept` fails with EMFILE or ENFILE, the event loop's own listener empties its queue: it accepts each
connection on a spare descriptor and closes it unread, along with the request that may have been sent. Here a
connection stays in the kernel's queue until it can be accepted. Between accept and the creation of its
transport it is tracked as `pending`. On close, a listener accepts all queued connections first.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from dykeshift.engine.config import Address

log = logging.getLogger(__name__)

# Accepted connections whose transports are being created: few, as each has a descriptor that no frontend
# counts yet, and a connection that a frontend closes to make room keeps its own until the next iteration of
# the event loop.
MAX_CONNECTING = 4
MAX_ACCEPT_FAILURES = 16  # failed calls of accept before a pause
ACCEPT_RETRY_DELAY = 0.01  # seconds until accept is tried again after that, or after running out of resources
BIND_TIMEOUT = 5.0  # seconds for which opening a listener is retried
BIND_RETRY_DELAY = 0.1  # seconds between those retries
LOG_INTERVAL = 5.0  # minimum seconds between two log messages about failed calls of accept
EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

Factory = Callable[[], asyncio.BaseProtocol]


class Listening(Protocol):
    """A listener that accepts until it is closed."""

    def pending(self) -> bool:
        """Whether a connection has been accepted, or is to be, whose protocol has not been called yet."""

    def close(self) -> None:
        """Accept all queued connections, then stop."""

    def abandon(self) -> None:
        """Close at once, dropping queued connections, as the process ends."""


class Listen(Protocol):
    """Opens a listener. Raises OSError where the address cannot be used."""

    async def __call__(
        self,
        loop: asyncio.AbstractEventLoop,
        factory: Factory,
        address: Address,
        backlog: int,
        inherited: socket.socket | None = None,
    ) -> Listening:
        """`address`: host and port, ignored if a socket is `inherited`; `backlog`: of the accept queue."""


class Listener:
    """Accepts connections from a listening socket, which it owns."""

    def __init__(self, loop: asyncio.AbstractEventLoop, factory: Factory, listening: socket.socket) -> None:
        self.loop, self.factory, self.socket = loop, factory, listening
        self.address: Address = listening.getsockname()
        self.connecting: set[asyncio.Task[None]] = set()
        self.failures = 0  # failures since the last log message
        self.logged_at = -LOG_INTERVAL
        self.retry: asyncio.TimerHandle | None = None
        self.closing = self.closed = False
        self.paused = False  # the socket's reader is not registered with the loop
        loop.add_reader(listening.fileno(), self._accept)

    def pending(self) -> bool:
        """See `Listening.pending`; while closing, the queue counts until it is known to be empty."""
        return bool(self.connecting) or (self.closing and not self.closed)

    def close(self) -> None:
        """See `Listening.close`. If accept fails, it is retried until the queue is empty."""
        if not self.closing:
            self.closing = True
            self._accept()

    def abandon(self) -> None:
        """See `Listening.abandon`."""
        if self.retry is not None:
            self.retry.cancel()
        if not self.closed:
            self.closed = self.closing = True
            self._pause()
            self.socket.close()

    def _accept(self) -> None:
        """Accept queued connections; the error of `accept` decides whether to go on, pause or stop."""
        failures = 0
        while not self.closed and len(self.connecting) < MAX_CONNECTING:
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                if self.closing:
                    self.abandon()
                return
            except OSError as exc:
                self._log_failure(exc)
                failures += 1
                if exc.errno not in EXHAUSTION_ERRORS and failures < MAX_ACCEPT_FAILURES:
                    continue  # an error of that one connection: try the next
                self._pause()
                self.retry = self.loop.call_later(ACCEPT_RETRY_DELAY, self._resume)
                return
            self._start_connecting(accepted)
        self._pause()  # until the transport of one of them has been created

    def _pause(self) -> None:
        """Unregister the reader; the loop would spin on a queue that cannot be emptied now."""
        if not self.paused:
            self.paused = True
            self.loop.remove_reader(self.socket.fileno())

    def _resume(self) -> None:
        self.retry = None
        if not self.closed and self.paused:
            self.paused = False
            self.loop.add_reader(self.socket.fileno(), self._accept)
            self._accept()

    def _start_connecting(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        task = self.loop.create_task(self._connect(accepted))
        self.connecting.add(task)
        task.add_done_callback(self._connect_done)

    def _connect_done(self, task: asyncio.Task[None]) -> None:
        self.connecting.discard(task)
        if self.retry is None:
            self._resume()

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.factory, accepted)
        except OSError as exc:
            self._log_failure(exc)
            accepted.close()

    def _log_failure(self, exc: OSError) -> None:
        self.failures += 1
        now = self.loop.time()
        if now - self.logged_at >= LOG_INTERVAL:
            log.warning(
                "accepting connections failed (%d failures since the last such message), retrying: %s",
                self.failures,
                exc,
                extra={
                    "event": "listener.accept-fails",
                    "fields": {"error": errno.errorcode.get(exc.errno or 0, ""), "times": self.failures},
                },
            )
            self.logged_at, self.failures = now, 0


async def listen(
    loop: asyncio.AbstractEventLoop,
    factory: Factory,
    address: Address,
    backlog: int,
    inherited: socket.socket | None = None,
) -> Listener:
    """Listen on `address` (host, port), or on an inherited socket. Raises OSError."""
    if inherited is None:
        listening = await _bound(loop, address, backlog)
    else:
        listening = inherited
        listening.listen(backlog)
    listening.setblocking(False)
    return Listener(loop, factory, listening)


async def _bound(loop: asyncio.AbstractEventLoop, address: Address, backlog: int) -> socket.socket:
    """Create a listening socket, retrying for BIND_TIMEOUT if the system is out of resources."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    until = loop.time() + BIND_TIMEOUT
    while True:
        try:
            return socket.create_server(address, family=family, backlog=backlog)
        except OSError as exc:
            if exc.errno not in EXHAUSTION_ERRORS or loop.time() >= until:
                raise
            log.warning(
                "listening on %s:%d failed, retrying: %s",
                *address,
                exc,
                extra={"event": "listener.bind-fails", "fields": {"error": errno.errorcode[exc.errno]}},
            )
        await asyncio.sleep(BIND_RETRY_DELAY)

"""Accepting connections: none is let go because the system has no descriptor or no memory for a moment.

The event loop's own listener clears its queue when `accept` fails with EMFILE or ENFILE: it accepts each
connection on a spare descriptor and closes it unread, with the request that may be on it. Here a connection
stays in the kernel's queue until it can be accepted, and is in nobody's hands for no longer than it takes
to make its transport (`pending`). A listener that closes takes what is queued first.
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

# Connections that are being handed over at once: few, as each has a descriptor that no front counts yet, and
# those that a front lets go for them keep theirs until the next round of the loop.
MOST_AT_ONCE = 4
MOST_FAILURES = 16  # calls of accept that may fail in one round of the loop
RETRY = 0.01  # seconds until accept is tried again after that, or after the system had nothing left for it
BIND_PATIENCE = 5.0  # seconds for which opening a listener is tried again
BIND_RETRY = 0.1  # seconds between two tries
LOG_EVERY = 5.0  # seconds between two lines of log about failing calls of accept
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

Factory = Callable[[], asyncio.BaseProtocol]


class Listening(Protocol):
    """A listener that accepts until it is closed."""

    def pending(self) -> bool:
        """Whether a connection has come that no protocol has been told of yet."""

    def close(self) -> None:
        """Accept what is queued, then nothing more."""

    def abandon(self) -> None:
        """Close at once, whatever is queued: the process ends."""


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
        """`address`: host and port, unused where a listener is `inherited`; `backlog`: connections queued."""


class Listener:
    """Accepts from one listening socket, and owns it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, factory: Factory, listening: socket.socket) -> None:
        self.loop, self.factory, self.socket = loop, factory, listening
        self.address: Address = listening.getsockname()
        self.handing_over: set[asyncio.Task[None]] = set()
        self.failures = 0  # calls of accept that failed since the last line of log
        self.logged_at = -LOG_EVERY
        self.retry: asyncio.TimerHandle | None = None
        self.closing = self.closed = False
        self.paused = False  # the loop does not look at the socket
        loop.add_reader(listening.fileno(), self._accept)

    def pending(self) -> bool:
        """See `Listening.pending`; what is still queued counts while the listener closes."""
        return bool(self.handing_over) or (self.closing and not self.closed)

    def close(self) -> None:
        """See `Listening.close`. Where accept fails just now it goes on until the queue is empty."""
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
        """Accept what is queued; how `accept` fails says whether to go on, to wait, or that none is left."""
        failed = 0
        while not self.closed and len(self.handing_over) < MOST_AT_ONCE:
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                if self.closing:
                    self.abandon()
                return
            except OSError as exc:
                self._note(exc)
                failed += 1
                if exc.errno not in EXHAUSTED and failed < MOST_FAILURES:
                    continue  # of the one connection: the next may be sound
                self._pause()
                self.retry = self.loop.call_later(RETRY, self._resume)
                return
            self._hand_over(accepted)
        self._pause()  # until one of them has been handed over

    def _pause(self) -> None:
        """Protects the loop from turning without end on a queue that it cannot empty now."""
        if not self.paused:
            self.paused = True
            self.loop.remove_reader(self.socket.fileno())

    def _resume(self) -> None:
        self.retry = None
        if not self.closed and self.paused:
            self.paused = False
            self.loop.add_reader(self.socket.fileno(), self._accept)
            self._accept()

    def _hand_over(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        task = self.loop.create_task(self._connect(accepted))
        self.handing_over.add(task)
        task.add_done_callback(self._handed_over)

    def _handed_over(self, task: asyncio.Task[None]) -> None:
        self.handing_over.discard(task)
        if self.retry is None:
            self._resume()

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.factory, accepted)
        except OSError as exc:
            self._note(exc)
            accepted.close()

    def _note(self, exc: OSError) -> None:
        self.failures += 1
        now = self.loop.time()
        if now - self.logged_at >= LOG_EVERY:
            log.warning(
                "accepting connections fails for now (%d times since the last such line): %s; they wait",
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
    """Listen on `address` (host, port), or accept from a listener that was inherited. Raises OSError."""
    if inherited is None:
        listening = await _bound(loop, address, backlog)
    else:
        listening = inherited
        listening.listen(backlog)
    listening.setblocking(False)
    return Listener(loop, factory, listening)


async def _bound(loop: asyncio.AbstractEventLoop, address: Address, backlog: int) -> socket.socket:
    """A listening socket. Where the system has nothing left for it, it is tried again for a while."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    until = loop.time() + BIND_PATIENCE
    while True:
        try:
            return socket.create_server(address, family=family, backlog=backlog)
        except OSError as exc:
            if exc.errno not in EXHAUSTED or loop.time() >= until:
                raise
            log.warning(
                "listening on %s:%d fails for now: %s",
                *address,
                exc,
                extra={"event": "listener.bind-fails", "fields": {"error": errno.errorcode[exc.errno]}},
            )
        await asyncio.sleep(BIND_RETRY)

"""Stand-in upstreams with a listening socket each, thousands of them in one process.

Every slot of a population listens on its own loopback address, so that a balancer sees as many upstreams as
discovery lists. An upstream answers each request after a fixed time of work. While its slot is empty (its
process has left) connections are reset. What reaches a process that should get nothing any more is counted
and told by `late`: requests at an empty slot, connections to one that the balancer is known to know of
(`told`), and requests at one that was listed as leaving for longer than a grace.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

from dykeshift.scale.upstreams import address_of
from dykeshift.standins.messages import Messages, render

WORK_S = 0.01  # seconds that each request takes
GRACE_S = 1.0  # seconds after `leaving` was listed in which a request may still come
BACKLOG = 64
PORT_TRIES = 20
ANSWER = render("HTTP/1.1 200 OK", {"X-Load": '{"busy_reqs":1,"cpu_share":0.2}'}, b"done\n")


class Slot:
    """One address and who lives there."""

    def __init__(self, grace_s: float = GRACE_S) -> None:
        self.grace_s = grace_s
        self.open: set[UpstreamConnection] = set()
        self.up = True
        self.known_empty = False  # the balancer is known to have been told that nobody lives here
        self.leaving_since: float | None = None
        self.served = 0
        self.late = 0

    def leave(self, now: float) -> None:
        """It is listed as leaving."""
        self.leaving_since = now

    def end(self) -> None:
        """Its process ends, with all connections."""
        self.up = False
        for connection in list(self.open):
            connection.abort()

    def begin(self) -> None:
        """A new process lives here."""
        self.up, self.leaving_since, self.known_empty = True, None, False

    def refuse(self) -> None:
        """A connection came while nobody lives here."""
        self.late += self.known_empty

    def take(self, now: float) -> bool:
        """Count a request; whether it is answered."""
        since = self.leaving_since
        self.late += not self.up or (since is not None and now > since + self.grace_s)
        self.served += self.up
        return self.up


class UpstreamConnection(asyncio.Protocol):
    """A balancer's connection to a slot."""

    def __init__(self, slot: Slot, loop: asyncio.AbstractEventLoop) -> None:
        self.slot, self.loop = slot, loop
        self.messages = Messages()
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Reset where nobody lives."""
        self.transport = transport
        if self.slot.up:
            self.slot.open.add(self)
        else:
            self.slot.refuse()
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Nothing more to answer here."""
        self.slot.open.discard(self)

    def data_received(self, data: bytes) -> None:
        """Begin the work of each request."""
        try:
            for _ in self.messages.feed(data):
                if self.slot.take(self.loop.time()):
                    self.loop.call_later(WORK_S, self._answer)
        except ValueError:
            self.abort()

    def _answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(ANSWER)

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abort()


class Slots:
    """The listening sockets of a population."""

    def __init__(self, upstreams: int, grace_s: float = GRACE_S) -> None:
        self.slots = [Slot(grace_s) for _ in range(upstreams)]
        self.servers = list[asyncio.Server]()
        self.port = 0

    async def listen(self) -> None:
        """Listen at one port that is free on all addresses; `port` is it. Raises OSError where none is."""
        for _ in range(PORT_TRIES):
            with socket.socket() as probe:
                probe.bind((address_of(0, 0)[0], 0))
                self.port = probe.getsockname()[1]
            try:
                await self._listen_everywhere()
                return
            except OSError as exc:
                self.close()
                if exc.errno != errno.EADDRINUSE:
                    raise
        raise OSError(errno.EADDRINUSE, "no port is free on all addresses of the population")

    async def _listen_everywhere(self) -> None:
        loop = asyncio.get_running_loop()
        for number, slot in enumerate(self.slots):
            host, port = address_of(number, self.port)
            self.servers.append(
                await loop.create_server(
                    lambda slot=slot: UpstreamConnection(slot, loop),  # type: ignore[misc]
                    host,
                    port,
                    backlog=BACKLOG,
                )
            )

    def close(self) -> None:
        """End all processes and listeners."""
        for slot in self.slots:
            slot.end()
        for server in self.servers:
            server.close()
        self.servers.clear()

    def told(self) -> None:
        """The balancer has been seen to know who is gone: from now on it connects to none of them."""
        for slot in self.slots:
            slot.known_empty = not slot.up

    @property
    def served(self) -> int:
        """Requests answered or being answered."""
        return sum(slot.served for slot in self.slots)

    @property
    def late(self) -> int:
        """Requests that came to a process that should get nothing any more."""
        return sum(slot.late for slot in self.slots)

    @property
    def met(self) -> int:
        """Slots that had a request."""
        return sum(slot.served > 0 for slot in self.slots)

"""A client that asks through a balancer and directly, in turns drawn from a seed, and times both.

Run as a process of its own (`python -m dykeshift.scale.probe`): it says `READY` on a line of standard output,
then a `ProbePlan` comes as JSON on standard input, and a `ProbeReport` goes as JSON to standard output.
Requests are due at times drawn before the first is sent; a request's time counts from when it was due, so
that a stall of the balancer or of this process is in it. Connections are kept, as clients do.
"""

from __future__ import annotations

import asyncio
import sys
from random import Random
from typing import Any

import msgspec
import uvloop

from dykeshift.standins.messages import Messages

Address = tuple[str, int]
LONGEST_S = 4.0  # seconds until a request without answer counts as failed
CLASSES = (("status-check", "GET"), ("reminder-set", "POST"), ("sms-send", "POST"))
KEYED = "reminder-set"
DEADLINE_MS = 800  # the shortest of the three classes' own
OK, REFUSED = 200, 503
READY = b"ready\n"


class ProbePlan(msgspec.Struct, frozen=True, kw_only=True):
    """What to ask. Rates are requests a second."""

    name: str
    seed: int
    seconds: float
    balancer: Address
    rate: float
    upstreams: tuple[Address, ...]
    direct_rate: float


class ProbeReport(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds of each request that was served, from when it was due."""

    through: tuple[float, ...]
    direct: tuple[float, ...]
    refused: int
    failed: int
    direct_failed: int
    lateness: tuple[float, ...]
    """Seconds by which this process itself began each."""


class ClientConnection(asyncio.Protocol):
    """A kept connection with one request at a time."""

    def __init__(self) -> None:
        self.messages = Messages()
        self.transport: Any = None
        self.waiter: asyncio.Future[int] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember where to write."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Tell the status of a whole answer."""
        try:
            for message in self.messages.feed(data):
                if self.waiter is not None and not self.waiter.done():
                    self.waiter.set_result(message.status)
        except (ValueError, IndexError):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Whoever waits has no answer."""
        self.transport = None
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(ConnectionResetError())

    async def ask(self, request: bytes) -> int:
        """The status of the answer; OSError where the connection breaks."""
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self.waiter

    def close(self) -> None:
        """Drop the connection."""
        if self.transport is not None:
            self.transport.abort()


class Caller:
    """Asks at addresses over kept connections."""

    def __init__(self) -> None:
        self.idle: dict[Address, list[ClientConnection]] = {}

    async def ask(self, to: Address, request: bytes) -> int:
        """The status of the answer, 0 where none came."""
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(LONGEST_S):
                connection = self._kept(to) or await self._dial(to)
                status = await connection.ask(request)
        except (OSError, TimeoutError):
            if connection is not None:
                connection.close()
            return 0
        self.idle.setdefault(to, []).append(connection)
        return status

    def _kept(self, to: Address) -> ClientConnection | None:
        kept = self.idle.get(to, [])
        while kept:
            connection = kept.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None

    @staticmethod
    async def _dial(to: Address) -> ClientConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(ClientConnection, *to)
        return connection

    def close(self) -> None:
        """Drop all connections."""
        for kept in self.idle.values():
            for connection in kept:
                connection.close()


class Probe:
    """Plays one plan."""

    def __init__(self, plan: ProbePlan) -> None:
        self.plan = plan
        self.random = Random(plan.seed)
        self.caller = Caller()
        self.through, self.direct, self.lateness = list[float](), list[float](), list[float]()
        self.refused = self.failed = self.direct_failed = 0

    async def run(self) -> ProbeReport:
        """All requests of the plan, until the last has ended."""
        loop = asyncio.get_running_loop()
        begin, tasks = loop.time(), set[asyncio.Task[None]]()
        for number, (due_s, direct) in enumerate(self._draw()):
            due = begin + due_s
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            self.lateness.append(max(0.0, loop.time() - due))
            task = loop.create_task((self._ask_direct if direct else self._ask)(number, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        self.caller.close()
        return ProbeReport(
            through=tuple(self.through),
            direct=tuple(self.direct),
            refused=self.refused,
            failed=self.failed,
            direct_failed=self.direct_failed,
            lateness=tuple(self.lateness),
        )

    def _draw(self) -> list[tuple[float, bool]]:
        orders = list[tuple[float, bool]]()
        for rate, direct in ((self.plan.rate, False), (self.plan.direct_rate, True)):
            at = 0.0
            while rate and (at := at + self.random.expovariate(rate)) < self.plan.seconds:
                orders.append((at, direct))
        return sorted(orders)

    async def _ask(self, number: int, due: float) -> None:
        status = await self.caller.ask(self.plan.balancer, self._request(number))
        if status == OK:
            self.through.append(asyncio.get_running_loop().time() - due)
        elif status == REFUSED:
            self.refused += 1
        else:
            self.failed += 1

    async def _ask_direct(self, number: int, due: float) -> None:
        to = self.plan.upstreams[number % len(self.plan.upstreams)]
        if await self.caller.ask(to, self._request(number)) == OK:
            self.direct.append(asyncio.get_running_loop().time() - due)
        else:
            self.direct_failed += 1

    def _request(self, number: int) -> bytes:
        name, method = CLASSES[number % len(CLASSES)]
        identifier = f"{self.plan.name}-{number}"
        key = f"Idempotency-Key: key-{identifier}\r\n" if name == KEYED else ""
        return (
            f"{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {identifier}\r\n"
            f"X-Class: {name}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{key}Content-Length: 0\r\n\r\n"
        ).encode()


def main() -> int:
    """Play the plan of standard input."""
    sys.stdout.buffer.write(READY)
    sys.stdout.buffer.flush()
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=ProbePlan)
    report = uvloop.run(Probe(plan).run())
    sys.stdout.buffer.write(msgspec.json.encode(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())

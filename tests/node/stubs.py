"""Test servers on loopback, on free ports: upstreams, a discovery service, and the balancer itself."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from typing import Any

import uvloop

from dykeshift.engine import config
from dykeshift.node.__main__ import serve
from dykeshift.node.features import NONE, Features
from dykeshift.node.reload import Reload
from dykeshift.engine.server import Front
from tests.node.messages import Message, answer, instance, listing, read_frame, read_message

PATIENCE = 30.0  # seconds until a test fails by timeout


def run(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(main, PATIENCE))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    while not condition():
        await asyncio.sleep(0.002)


Handler = Callable[["Stub", Message, asyncio.StreamWriter], Awaitable[None]]


def answers_with(data: bytes, close: bool = False) -> Handler:
    """A handler that answers each request with these bytes."""

    async def handle(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return handle


async def silent(_: Stub, __: Message, ___: asyncio.StreamWriter) -> None:
    """A handler that never answers."""


async def resets(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
    """A handler that resets the connection."""
    writer.transport.abort()


@dataclass
class Stub:
    """An upstream that calls its handler for each request and records the requests."""

    handler: Handler
    seen: list[Message] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    lost: int = 0  # connections that have ended
    mllp: bool = False  # whether it speaks MLLP; a message's `body` is then the content of its frame
    address: tuple[str, int] = ("", 0)
    server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> Stub:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await self.server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await (read_frame if self.mllp else read_message)(reader)
                self.seen.append(message)
                await self.handler(self, message, writer)
        self.lost += 1
        writer.close()


@dataclass
class DiscoveryStub:
    """A discovery service: answers each call with the next of `replies`, waiting for one if there is none."""

    replies: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    paths: list[str] = field(default_factory=list)
    address: tuple[str, int] = ("", 0)

    async def start(self) -> DiscoveryStub:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()
        return self

    def put(self, update: Any) -> None:
        self.replies.put_nowait(answer(json.dumps(update).encode()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                self.paths.append(message.start.split()[1])
                writer.write(await self.replies.get())
        writer.close()


def service(name: str, idempotency: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "goalTimeNs": 400_000_000,
        "deadlineNs": 5_000_000_000,
        "worth": 1.0,
        "idempotency": idempotency,
        "group": "cell",
        "windowNs": 4_000_000_000,
        "lateShare": 0.2,
        "stream": False,
        **changes,
    }


def settings(**changes: Any) -> dict[str, Any]:
    return {
        "az": 0,
        "balancers": 1,
        "discovery": "ask",
        "stepNs": 2_000_000,
        "valueBy": "request",
        "goal": {"worstClass": 0.0},
        "failureDomains": ["a", "b"],
        "kinds": ["m"],
        "report": {"fields": ["cpu_share"], "how": "piggyback"},
        "bounds": {
            "cancelling": True,
            "maxAttempts": 3,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterNs": 750_000_000,
            "keepaliveNs": 10_000_000_000,
            "connectTimeoutNs": 2_000_000_000,
        },
        "obligations": {
            "answerSlackNs": 8_000_000,
            "askEveryNs": 10_000_000_000,
            "coldFrom": 0.12,
            "coldNs": 23_000_000_000,
            "drainGraceNs": 250_000_000,
            "fallNs": 3_000_000_000,
            "tipMultiple": 3.0,
        },
        "services": [service("check", "pure"), service("set", "token"), service("send", "side_effect")],
        **changes,
    }


def configuration(registry: tuple[str, int], known: Any = None) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{registry[0]}:{registry[1]}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings(),
    }


@dataclass
class Node:
    """A running balancer."""

    front: Front
    registry: DiscoveryStub
    address: tuple[str, int]
    given: config.Config
    reload: Reload
    services: list[Any]

    def move(self, registry: DiscoveryStub) -> None:
        """Reload with another discovery address, as on SIGHUP after the file has changed."""
        self.given = replace(self.given, discovery=registry.address)
        self.reload()

    async def open(self) -> ClientConnection:
        return await ClientConnection.to(self.address)

    async def ask(self, request: bytes) -> Message:
        return await ask_once(self.address, request)


async def ask_once(address: tuple[str, int], request: bytes) -> Message:
    """Send one request on a new connection."""
    caller = await ClientConnection.to(address)
    try:
        return await caller.ask(request)
    finally:
        caller.writer.close()


@dataclass
class ClientConnection:
    """A client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def to(cls, address: tuple[str, int]) -> ClientConnection:
        """Open a new connection."""
        return cls(*await asyncio.open_connection(*address))

    async def ask(self, request: bytes) -> Message:
        self.writer.write(request)
        return await read_message(self.reader)


@asynccontextmanager
async def node(*upstreams: Stub, beside: Features = NONE, **changes: Any) -> AsyncIterator[Node]:
    """Run the whole balancer in this process, with these upstreams listed as s0, s1, ..."""
    registry = await DiscoveryStub().start()
    known = listing(1, True, *(instance(f"s{n}", u.address) for n, u in enumerate(upstreams)))
    given = config.parse({**configuration(registry.address, known), **changes}, beside.peering())
    ready: asyncio.Future[Node] = asyncio.get_running_loop().create_future()

    def started(front: Front, server: Any, reload: Reload, services: list[Any]) -> None:
        ready.set_result(Node(front, registry, server.address, given, reload, services))

    task = asyncio.create_task(
        serve(given, lambda: ready.result().given, on_started=started, feature_set=beside)
    )
    try:
        yield await ready
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

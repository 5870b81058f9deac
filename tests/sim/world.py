"""A small simulated world for tests: a client and a server process, and protocols that record events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from dykeshift.sim.kernel import EPOCH, SECOND, Platform, World
from dykeshift.sim.loop import Program
from dykeshift.sim.net import Network, NetworkConditions

SERVER = ("10.1.0.1", 80)
PLAIN_PLATFORM = Platform(uvloop=False, tear=0.0, jitter=0.0)


class RecordingProtocol(asyncio.Protocol):
    """Records its events, with the virtual time in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, keep_open: bool = False) -> None:
        self.loop, self.keep_open = loop, keep_open
        self.transport: Any = None
        self.data = b""
        self.pieces = 0
        self.events: list[str] = []
        self.times: list[float] = []

    def _note(self, text: str) -> None:
        self.events.append(text)
        self.times.append(round(self.loop.time() - EPOCH / SECOND, 6))

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._note("made")

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.pieces += 1

    def eof_received(self) -> bool:
        self._note("eof")
        return self.keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        self._note(f"lost {type(exc).__name__ if exc else 'cleanly'}")

    def pause_writing(self) -> None:
        self._note("pause")

    def resume_writing(self) -> None:
        self._note("resume")


class ClientServerWorld:
    """One server and one client process, each on a host of its own."""

    def __init__(
        self,
        platform: Platform = PLAIN_PLATFORM,
        seed: str = "test",
        backlog: int = 100,
        listen: bool = True,
        keep_open: bool = False,
    ) -> None:
        self.world = World(seed, platform)
        self.net = Network(self.world, NetworkConditions())
        self.server_host = self.net.host(SERVER[0], "a")
        self.client_host = self.net.host("10.9.0.1", "a")
        self.server, self.client = (
            self.process("server", self.server_host),
            self.process("client", self.client_host),
        )
        self.accepted: list[RecordingProtocol] = []
        self.keep_open, self.backlog = keep_open, backlog
        if listen:
            self.server.loop.start(self._serve())
            self.run(0.001)

    def process(self, name: str, host: Any, limit: int = 1000) -> Program:
        process = Program(self.world, host, name, limit)
        self.net.attach(process)
        return process

    async def _serve(self) -> None:
        def accept() -> RecordingProtocol:
            self.accepted.append(RecordingProtocol(self.server.loop, self.keep_open))
            return self.accepted[-1]

        await self.server.loop.create_server(accept, *SERVER, backlog=self.backlog)
        await asyncio.get_running_loop().create_future()

    def run(self, seconds: float) -> None:
        self.world.run(self.world.now + int(seconds * SECOND))

    def do(self, process: Program, main: Coroutine[Any, Any, Any], seconds: float = 5.0) -> Any:
        """Run a coroutine in a process for `seconds`; returns its result or raises its exception."""

        task = process.loop.create_task(main)
        self.run(seconds)
        assert task.done(), "it is not done yet"
        return task.result()

    def connect(self, keep_open: bool = False) -> RecordingProtocol:
        async def go() -> RecordingProtocol:
            _, protocol = await self.client.loop.create_connection(
                lambda: RecordingProtocol(self.client.loop, keep_open), *SERVER
            )
            return protocol  # type: ignore[no-any-return]

        return self.do(self.client, go(), 0.1)  # type: ignore[no-any-return]

    def within(self, process: Program, call: Callable[..., Any], *args: Any, seconds: float = 0.1) -> None:
        process.loop.call_soon(call, *args)
        self.run(seconds)

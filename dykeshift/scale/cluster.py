"""All hollow members of a run, wherever they are hosted, under one clock.

`Cluster` is what the run drives: `VirtualCluster` plays the windows of one or more parts (in this process, or
in processes of their own), `RealCluster` has processes whose members run by the machine's clock. Both hand
each call to all shards at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import logging
import multiprocessing
import time
import traceback
from collections import defaultdict
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any, Protocol

from dykeshift.scale.real import Sockets
from dykeshift.scale.role import Design
from dykeshift.scale.shard import Plan, Shard
from dykeshift.scale.virtual import LEAST, SECOND, Flight, Part

START_PATIENCE = 120.0  # seconds for a process to come up or end
MOST_PROCESSES = 200


class ClusterError(Exception):
    """A process of the run has failed; the text says how."""


@dataclass(frozen=True, slots=True)
class Request:
    """A call of a shard's method, or of its network's."""

    method: str
    arguments: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class Reply:
    """What a call returned, or the text of the exception."""

    result: Any = None
    error: str = ""


class Cluster(Protocol):
    """See the module."""

    parts: int  # processes that host members

    async def open(self) -> None:
        """Bring the hosts up; no member has started."""

    async def call(self, method: str, *arguments: Any) -> list[Any]:
        """A method of every shard; what each returned."""

    async def advance(self, seconds: float) -> None:
        """Let time pass for all."""

    def now(self) -> float:
        """Seconds on the run's clock."""

    def lags(self) -> list[float]:
        """Seconds that the hosts' loops were late, since the last call; none on a virtual clock."""

    async def close(self) -> None:
        """End all hosts."""


def parted(plan: Plan, hollow: list[int], parts: int) -> list[list[int]]:
    """The numbers of each part: in turn, so that each has some of all places."""
    return [hollow[n::parts] for n in range(parts)]


# ---- virtual ----


class VirtualCluster:
    """Parts on one virtual clock. `parts` 1: in this process; `design`: another than the plan's name says."""

    def __init__(self, plan: Plan, hollow: list[int], parts: int = 1, design: Design | None = None) -> None:
        self.plan, self.hollow, self.parts, self.design = plan, hollow, parts, design
        self.reached = 0  # nanoseconds
        self.hosts: list[_Child] = []
        self.shards: list[Shard] = []
        self.waiting: dict[int, list[Flight]] = defaultdict(list)  # for each part's next window
        self.part_of = {n: i for i, some in enumerate(parted(plan, hollow, parts)) for n in some}

    async def open(self) -> None:
        """Processes only where there are several parts."""
        if self.parts == 1:
            part = Part(self.plan.roster.seats, frozenset(self.hollow))
            self.shards = [Shard(self.plan, self.hollow, part, self.design)]
            return
        for numbers in parted(self.plan, self.hollow, self.parts):
            self.hosts.append(_Child(_virtual_host, (self.plan, numbers)))

    async def call(self, method: str, *arguments: Any) -> list[Any]:
        """A method of every shard."""
        if self.shards:
            return [await _invoke(shard, method, arguments) for shard in self.shards]
        return _all(self.hosts, method, arguments)

    async def advance(self, seconds: float) -> None:
        """Window after window."""
        until = self.reached + int(seconds * SECOND)
        while self.reached < until:
            self.reached = min(until, self.reached + LEAST)
            if self.shards:
                self.shards[0].network.advance(self.reached, [])  # type: ignore[attr-defined]
            else:
                self._window()

    def _window(self) -> None:
        for n, host in enumerate(self.hosts):
            host.send(Request("advance", (self.reached, self.waiting.pop(n, []))))
        for host in self.hosts:
            for flight in host.receive():
                self.waiting[self.part_of[flight.to]].append(flight)

    def now(self) -> float:
        """Virtual seconds since the start."""
        return self.reached / SECOND

    def lags(self) -> list[float]:
        """None."""
        return []

    async def close(self) -> None:
        """End the processes."""
        for host in self.hosts:
            host.close()


def _virtual_host(connection: Connection, plan: Plan, numbers: list[int]) -> None:
    logging.getLogger().setLevel(logging.CRITICAL)
    part = Part(plan.roster.seats, frozenset(numbers))
    shard = Shard(plan, numbers, part)
    while True:
        request: Request = connection.recv()
        if request.method == "quit":
            return
        if request.method == "advance":
            connection.send(Reply(part.advance(*request.arguments)))
        else:
            connection.send(asyncio.run(_replied(shard, request)))


# ---- real ----


class RealCluster:
    """Processes whose members run by the machine's clock and sockets."""

    def __init__(self, plan: Plan, hollow: list[int], parts: int) -> None:
        self.plan, self.hollow, self.parts = plan, hollow, parts
        self.hosts: list[_Child] = []
        self.began = time.monotonic()
        self.gathered: list[float] = []

    async def open(self) -> None:
        """Start the processes."""
        for numbers in parted(self.plan, self.hollow, self.parts):
            self.hosts.append(_Child(_real_host, (self.plan, numbers)))

    async def call(self, method: str, *arguments: Any) -> list[Any]:
        """A method of every shard, while this process's own loop goes on."""
        return await asyncio.to_thread(_all, self.hosts, method, arguments)

    async def advance(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)
        for lags in await self.call("lags"):
            self.gathered += lags

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def lags(self) -> list[float]:
        """Of all processes."""
        lags, self.gathered = self.gathered, []
        return lags

    async def close(self) -> None:
        """End the processes."""
        for host in self.hosts:
            host.close()


def _real_host(connection: Connection, plan: Plan, numbers: list[int]) -> None:
    import uvloop

    logging.getLogger().setLevel(logging.CRITICAL)
    uvloop.run(_serve(connection, plan, numbers))


async def _serve(connection: Connection, plan: Plan, numbers: list[int]) -> None:
    loop = asyncio.get_running_loop()
    network = Sockets(loop)
    shard = Shard(plan, numbers, network)
    readable = asyncio.Event()
    loop.add_reader(connection.fileno(), readable.set)
    while True:
        await readable.wait()
        readable.clear()
        while connection.poll():
            request: Request = connection.recv()
            if request.method == "quit":
                return
            if request.method == "lags":
                connection.send(Reply(network.take_lags()))
            else:
                connection.send(await _replied(shard, request))


# ---- both ----


class _Child:
    """One process, and the pipe to it."""

    def __init__(self, target: Any, arguments: tuple[Any, ...]) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=target, args=(theirs, *arguments), daemon=True)
        self.process.start()
        theirs.close()

    def send(self, request: Request) -> None:
        self.pipe.send(request)

    def receive(self) -> Any:
        try:
            reply: Reply = self.pipe.recv()
        except EOFError:
            raise ClusterError("a process that hosts members has ended") from None
        if reply.error:
            raise ClusterError(reply.error)
        return reply.result

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.pipe.send(Request("quit"))
        self.process.join(START_PATIENCE)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()


def _all(hosts: list[_Child], method: str, arguments: tuple[Any, ...]) -> list[Any]:
    for host in hosts:
        host.send(Request(method, arguments))
    return [host.receive() for host in hosts]


async def _invoke(shard: Shard, method: str, arguments: tuple[Any, ...]) -> Any:
    result = getattr(shard, method)(*arguments)
    return await result if inspect.isawaitable(result) else result


async def _replied(shard: Shard, request: Request) -> Reply:
    try:
        return Reply(await _invoke(shard, request.method, request.arguments))
    except Exception as exc:
        return Reply(error="".join(traceback.format_exception(exc))[-800:])

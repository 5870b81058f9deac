"""One run: a daemon under its supervisor, six upstreams, a crowd, and calm clients beside it."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from dykeshift.rig.addresses import ReservedAddresses
from tests.crowds.clients import CALM_INTERVAL_S, MIXES, Address, CalmAnswer, ask_calmly, play_crowd
from tests.crowds.supervisor import Supervisor
from tests.handover.test_upgrade import FullListDiscovery
from tests.node.messages import answer, instance, listing, read_message
from tests.node.stubs import configuration

UPSTREAMS = 6
SERVICE_S = 0.005  # that an upstream takes for a short request
LONG_ANSWER_BYTES, MEDIUM_ANSWER_BYTES, PIECE_BYTES = 8 << 20, 60_000, 65_536
READY_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """What is played."""

    kind: str  # of `MIXES`
    count: int
    memory_mb: float
    sockets: int
    seconds: float = 6.0
    restarts: int = 0  # SIGKILLs in the middle of the crowd, each followed by a start at once
    seed: int = 1


@dataclass(frozen=True, slots=True)
class CrowdResult:
    """What came of it."""

    peak_mb: float
    over_limit: int  # processes over the limit
    over_limit_after: tuple[float, ...]  # seconds from their start
    exits: tuple[int, ...]  # codes of processes that ended by themselves
    calm: tuple[CalmAnswer, ...] = field(repr=False)

    @property
    def heard(self) -> Counter[str]:
        """What the calm requests heard."""
        return Counter(one.status for one in self.calm)

    def percentile_99_ms(self) -> float:
        """The 99th of the times of those that were served, in milliseconds."""
        times = sorted(one.seconds for one in self.calm if one.status == "200")
        return times[int(len(times) * 0.99)] * 1000 if times else float("nan")


async def serve_upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """An upstream's connection."""
    try:
        while True:
            message = await read_message(reader)
            target = message.start.split()[1]
            if target == "/hang":
                await asyncio.sleep(3600)
            elif target == "/medium":
                writer.write(answer(bytes(MEDIUM_ANSWER_BYTES)))
            elif target == "/long":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES)
                for _ in range(LONG_ANSWER_BYTES // PIECE_BYTES):
                    writer.write(bytes(PIECE_BYTES))
                    await writer.drain()
            else:
                await asyncio.sleep(SERVICE_S)
                writer.write(answer(b"done"))
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        writer.close()


async def wait_until_served(address: Address) -> None:
    """Wait until a calm request is served."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        number = 0
        while (await ask_calmly(address, f"first{number}")).status != "200":
            number += 1
            await asyncio.sleep(0.05)


async def ask_throughout(address: Address, seconds: float, heard: list[CalmAnswer]) -> None:
    """Send calm requests at their pace, whatever becomes of each."""

    async def ask(rid: str) -> None:
        heard.append(await ask_calmly(address, rid))

    until = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.monotonic() < until:
            group.create_task(ask(f"calm{number}"))
            number += 1
            await asyncio.sleep(CALM_INTERVAL_S)


async def restart_in_the_middle(supervisor: Supervisor, crowd: Crowd) -> None:
    """Kill the process at even distances, so that the whole crowd comes back at once."""
    for _ in range(crowd.restarts):
        await asyncio.sleep(crowd.seconds / (crowd.restarts + 1))
        supervisor.signal(signal.SIGKILL)


async def play_before(supervisor: Supervisor, address: Address, crowd: Crowd) -> CrowdResult:
    """Play a crowd before a daemon that is started here."""
    heard: list[CalmAnswer] = []
    await supervisor.start()
    watching = asyncio.create_task(supervisor.watch())
    try:
        await wait_until_served(address)
        terms = (MIXES[crowd.kind], address, crowd.count, crowd.seconds, crowd.seed)
        clients = multiprocessing.get_context("spawn").Process(target=play_crowd, args=terms, daemon=True)
        clients.start()
        await asyncio.gather(
            restart_in_the_middle(supervisor, crowd), ask_throughout(address, crowd.seconds, heard)
        )
        supervisor.look()
        clients.kill()
        clients.join()
    finally:
        watching.cancel()
        await supervisor.kill()
    exits = tuple(code for code in supervisor.exits if code != -signal.SIGKILL)
    after = tuple(supervisor.over_limit_after)
    return CrowdResult(supervisor.peak_mb, supervisor.over_limit, after, exits, tuple(heard))


async def play(crowd: Crowd, kills: bool = True) -> CrowdResult:
    """Play a crowd before a daemon and its upstreams. `kills`: the daemon is ended over its limit."""
    registry = FullListDiscovery()
    await registry.start()
    servers = [await asyncio.start_server(serve_upstream, "127.0.0.1", 0) for _ in range(UPSTREAMS)]
    rows = (instance(f"s{n}", one.sockets[0].getsockname()) for n, one in enumerate(servers))
    registry.known = listing(1, True, *rows)
    addresses = ReservedAddresses()
    address = addresses.reserve()
    given = configuration(registry.address, registry.known) | {"listen": "%s:%d" % address}
    given["limits"] = {"cores": 1.0, "memory_mb": crowd.memory_mb, "sockets": crowd.sockets}
    with tempfile.TemporaryDirectory() as name:
        path, folder = Path(name) / "config.json", Path(name) / "tmp"
        folder.mkdir()
        path.write_text(json.dumps(given), encoding="utf-8")
        try:
            return await play_before(Supervisor(path, folder, crowd.memory_mb, kills), address, crowd)
        finally:
            addresses.release()

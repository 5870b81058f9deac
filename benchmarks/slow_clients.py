"""Calm clients beside a crowd of slow ones: `python -m benchmarks.slow_clients KIND COUNT SECONDS MEMORY_MB`.

Starts one daemon before upstreams in this process. Each client of the crowd, in another process, opens its
connection anew when it ends. Prints what the calm requests heard, the 99th of their times and the largest
resident memory of the daemon. KIND: half, trickle, reader or head.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from dykeshift.rig.addresses import ReservedAddresses
from tests.handover.test_upgrade import FullListDiscovery
from tests.node.messages import answer, instance, listing, read_message
from tests.node.stubs import configuration

Address = tuple[str, int]
LONG_ANSWER = 8 << 20  # bytes
CALM_INTERVAL_S, ANSWER_TIMEOUT_S = 0.03, 4.0
SERVICE_S = 0.005  # that the upstream takes for a short request
UPSTREAMS = 6


def head(rid: str, klass: str, target: str = "/", length: int | None = None) -> bytes:
    """The head of a request."""
    method = "GET" if length is None else "POST"
    lines = [f"{method} {target} HTTP/1.1", "Host: b", f"X-Request-Id: {rid}", f"X-Class: {klass}"]
    lines += ["X-Deadline-Ms: 1500"] + ([] if length is None else [f"Content-Length: {length}"])
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def write_half(rid: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Half of 4 MB, and nothing more."""
    writer.write(head(rid, "send", length=4_000_000) + bytes(2_000_000))
    await reader.read()


async def write_slowly(rid: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """3 MB, 64 KiB each 0.15 s."""
    writer.write(head(rid, "send", length=3_000_000))
    for _ in range(3_000_000 // 65_536):
        writer.write(bytes(65_536))
        await writer.drain()
        await asyncio.sleep(0.15)
    await reader.read()


async def read_slowly(rid: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """2 KiB each 0.1 s of a long answer."""
    writer.write(head(rid, "check", "/long"))
    while await reader.read(2048):
        await asyncio.sleep(0.1)


async def write_many_fields(rid: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A head of very many short fields without its end."""
    writer.write(head(rid, "send")[:-2] + b"a:\r\n" * 12_000)
    await reader.read()


KINDS = {"half": write_half, "trickle": write_slowly, "reader": read_slowly, "head": write_many_fields}


def play_crowd(kind: str, address: Address, count: int, seconds: float) -> None:
    """All clients of a crowd, until their time is over."""

    async def client(number: int) -> None:
        turn = 0
        while True:
            turn += 1
            try:
                reader, writer = await asyncio.open_connection(*address, limit=1 << 14)
                await KINDS[kind](f"slow{number}-{turn}", reader, writer)
                writer.transport.abort()
            except OSError:
                await asyncio.sleep(0.01)

    async def main() -> None:
        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*map(client, range(count)))
        except TimeoutError:
            pass

    asyncio.run(main())


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """An upstream's connection."""
    try:
        while True:
            message = await read_message(reader)
            if "/long" not in message.start:
                await asyncio.sleep(SERVICE_S)
                writer.write(answer(b"done"))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER)
            for _ in range(LONG_ANSWER // 65_536):
                writer.write(bytes(65_536))
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        writer.close()


async def ask(address: Address, rid: str, heard: list[tuple[str, float]]) -> None:
    """One calm request on a connection of its own."""
    began = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(head(rid, "check"))
        line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
        heard.append((line[9:12].decode() or "closed", time.monotonic() - began))
        writer.transport.abort()
    except (OSError, TimeoutError) as exc:
        heard.append((type(exc).__name__, time.monotonic() - began))


def resident_mb(process: int) -> float:
    """Resident memory of a process now."""
    text = Path(f"/proc/{process}/status").read_text(encoding="utf-8")
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


async def measure(kind: str, count: int, seconds: float, memory_mb: int) -> None:
    """Play one crowd and print its line."""
    registry = FullListDiscovery()
    await registry.start()
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(UPSTREAMS)]
    rows = (instance(f"s{n}", one.sockets[0].getsockname()) for n, one in enumerate(servers))
    registry.known = listing(1, True, *rows)
    addresses = ReservedAddresses()
    address = addresses.reserve()
    given = configuration(registry.address, registry.known) | {"listen": "%s:%d" % address}
    given["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 512}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(given), encoding="utf-8")
        daemon = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dykeshift.node", env={"NODE_CONFIG": str(path), "PYTHONPATH": "."}
        )
        try:
            await asyncio.sleep(2.0)
            context = multiprocessing.get_context("spawn")
            crowd = context.Process(target=play_crowd, args=(kind, address, count, seconds), daemon=True)
            crowd.start()
            heard, peak, tasks = list[tuple[str, float]](), 0.0, list[asyncio.Task[None]]()
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                tasks.append(asyncio.create_task(ask(address, f"calm{len(tasks)}", heard)))
                peak = max(peak, resident_mb(daemon.pid))
                await asyncio.sleep(CALM_INTERVAL_S)
            await asyncio.gather(*tasks)
        finally:
            daemon.kill()
            await daemon.wait()
            addresses.release()
    times = sorted(seconds for status, seconds in heard if status == "200")
    slowest = f"{times[int(len(times) * 0.99)] * 1000:.0f} ms" if times else "-"
    print(f"{kind} {count}, {memory_mb} MB: {dict(Counter(status for status, _ in heard))}", end="")
    print(f", 99th {slowest}, resident {peak:.0f} MB", flush=True)


if __name__ == "__main__":
    name, clients, duration, memory = sys.argv[1:]
    asyncio.run(measure(name, int(clients), float(duration), int(memory)))

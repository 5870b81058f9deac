"""What daily running costs, in one run: console latency by load, long bodies beside a relay, upgrades.

    python -m benchmarks.daily [--json] [--seconds 3] [--upgrades 20]

Console: the time of a `GET /status/metrics` at an idle daemon and at one under a closed loop of requests.
Bodies: CPU a MB and peak memory of answers of 8 MiB, read at full speed and slowly, beside a byte relay.
Upgrades: requests that met a refused, reset or unread connection while one process followed the other.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from tests.handover.test_upgrade import FullListDiscovery, Platform
from tests.node.messages import Message, answer, instance, listing, request
from tests.node.stubs import ClientConnection, Stub, answers_with

MIB = 1 << 20
LONG = 8 * MIB
READERS = 20  # slow ones at once


def quantiles(times: list[float]) -> dict[str, float]:
    """Median, 99th percentile and maximum of times in seconds, as milliseconds."""
    ranked = sorted(times)
    at = {"median": 0.5, "99%": 0.99, "most": 1.0}
    return {
        name: round(1000 * ranked[min(len(ranked) - 1, int(part * len(ranked)))], 2)
        for name, part in at.items()
    }


def usage(pid: int) -> tuple[float, float]:
    """CPU seconds so far, and peak resident MB."""
    parts = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
    peak = next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmHWM" in line)
    return ticks, int(peak.split()[1]) / 1024


async def long_answer(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
    """Answers with LONG bytes."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG)
    piece = bytes(65536)
    with suppress(ConnectionError):
        for _n in range(LONG // len(piece)):
            writer.write(piece)
            await writer.drain()


async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: tuple[str, int]) -> None:
    """Copy bytes both ways between a client and `to`."""
    there_reader, there_writer = await asyncio.open_connection(*to)

    async def copy(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await source.read(65536):
                sink.write(data)
                await sink.drain()
        sink.close()

    await asyncio.gather(copy(reader, there_writer), copy(there_reader, writer))


def relay_main(to: tuple[str, int]) -> None:
    """Run the relay as a process of its own; its port is the first line of its output."""

    async def main() -> None:
        server = await asyncio.start_server(lambda r, w: relay(r, w, to), "127.0.0.1", 0)
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()

    import uvloop

    uvloop.run(main())


async def fetch(address: tuple[str, int], rid: str, pause: float) -> int:
    """Read one long answer, with a pause of so many seconds after each piece; returns the bytes read."""
    reader, writer = await asyncio.open_connection(*address, limit=65536)
    writer.write(request("check", rid=rid, deadline=9000))
    head = await reader.readuntil(b"\r\n\r\n")
    got = 0
    while b"200 OK" in head and got < LONG and (data := await reader.read(65536)):
        got += len(data)
        if pause:
            await asyncio.sleep(pause)
    writer.close()
    return got


async def bodies(site: Platform, upstream: tuple[str, int]) -> dict[str, Any]:
    """Processor time a MB and peak memory of long answers, through the daemon and through the relay."""
    daemon, _ = await site.start()
    listener: tuple[str, int] = site.listener.getsockname()
    plain = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.daily",
        "--relay",
        "%s:%d" % upstream,
        stdout=asyncio.subprocess.PIPE,
    )
    assert plain.stdout is not None
    relayed = "127.0.0.1", int(await plain.stdout.readline())
    rows = dict[str, Any]()
    for name, process, address in (("daemon", daemon, listener), ("relay", plain, relayed)):
        spent, _ = usage(process.pid)
        moved = sum([await fetch(address, f"{name}-{n}", 0.0) for n in range(12)])
        cpu = usage(process.pid)[0] - spent
        slow = sum(await asyncio.gather(*(fetch(address, f"{name}-s{n}", 0.002) for n in range(READERS))))
        rows[name] = {
            "cpu_ms_a_mb": round(1000 * cpu / (moved / MIB), 3),
            "peak_mb": round(usage(process.pid)[1], 1),
            "whole": [moved // LONG, slow // LONG],
        }
    plain.terminate()
    await plain.wait()
    return rows


async def console(site: Platform, seconds: float) -> dict[str, Any]:
    """Console latency, idle and under load."""
    _, at = await site.start()

    async def ask(times: list[float], until: float) -> None:
        while time.monotonic() < until:
            began = time.monotonic()
            assert "200" in (await site.call(at, "GET", "/status/metrics")).start
            times.append(time.monotonic() - began)
            await asyncio.sleep(0.01)

    async def load(number: int, until: float) -> int:
        caller, asked = await site.open(), 0
        while time.monotonic() < until:
            asked += 1
            got = await caller.ask(request("check", rid=f"l{number}-{asked}"))
            if got.headers.get("connection") == "close":
                caller = await site.open()
        return asked

    rows = dict[str, Any]()
    for name, clients in (("idle", 0), ("8 clients", 8), ("32 clients", 32)):
        times, until = list[float](), time.monotonic() + seconds
        asked = await asyncio.gather(ask(times, until), *(load(n, until) for n in range(clients)))
        rows[name] = {"answers_a_second": round(sum(n for n in asked if n) / seconds), **quantiles(times)}
    return rows


async def upgrades(site: Platform, count: int) -> dict[str, Any]:
    """Upgrade the daemon `count` times under load and count requests that met a closed door."""
    old, _ = await site.start()
    stop, met, asked = asyncio.Event(), 0, 0

    async def client(number: int) -> None:
        nonlocal met, asked
        caller: ClientConnection | None = None
        while not stop.is_set():
            asked += 1
            try:
                caller = caller or await site.open()
                got = await caller.ask(request("check", rid=f"u{number}-{asked}"))
            except (OSError, asyncio.IncompleteReadError):
                met, caller = met + 1, None
                continue
            if got.headers.get("connection") == "close":
                caller = None
            await asyncio.sleep(0.002)

    clients = [asyncio.create_task(client(n)) for n in range(8)]
    ready = list[float]()
    for _ in range(count):
        began = time.monotonic()
        new, _ = await site.start()
        ready.append(time.monotonic() - began)
        old.send_signal(signal.SIGTERM)
        await old.wait()
        old = new
    stop.set()
    await asyncio.gather(*clients)
    return {
        "upgrades": count,
        "requests": asked,
        "met_a_broken_connection": met,
        "ready_s": {"median": round(sorted(ready)[len(ready) // 2], 2), "most": round(max(ready), 2)},
    }


async def measured(seconds: float, count: int) -> dict[str, Any]:
    """All three measurements, each with upstreams and a discovery of its own."""
    long_stub, quick = await Stub(long_answer).start(), await Stub(answers_with(answer(b"x" * 200))).start()
    rows = dict[str, Any]()
    for name, stub in (("console", quick), ("bodies", long_stub), ("upgrades", quick)):
        held = socket.create_server(("127.0.0.1", 0), backlog=512)
        with tempfile.TemporaryDirectory() as folder, held:
            registry = FullListDiscovery()
            await registry.start()
            known = [instance(f"s{n}", stub.address) for n in range(1)]
            if name == "bodies":  # one address can have one upstream: slow readers need several
                stubs = [stub] + [await Stub(long_answer).start() for _ in range(READERS - 1)]
                known = [instance(f"s{n}", one.address) for n, one in enumerate(stubs)]
            registry.known = listing(1, True, *known)
            site = Platform(Path(folder), held, registry, registry.known)
            try:
                rows[name] = await (
                    console(site, seconds)
                    if name == "console"
                    else bodies(site, stub.address)
                    if name == "bodies"
                    else upgrades(site, count)
                )
            finally:
                for process in site.processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()
    return rows


def main() -> int:
    """Measure and print. Returns the exit code."""
    parser = argparse.ArgumentParser(description="what daily running costs")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--upgrades", type=int, default=20)
    parser.add_argument("--relay", default="", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.relay:
        host, _, port = options.relay.rpartition(":")
        relay_main((host, int(port)))
        return 0
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    rows = asyncio.run(measured(options.seconds, options.upgrades))
    if options.json:
        print(json.dumps(rows))
    else:
        for name, row in rows.items():
            print(f"{name}:")
            for what, value in row.items():
                print(f"  {what}: {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

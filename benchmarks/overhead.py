"""CPU and memory that the daemon takes for a request, beside two yardsticks in the same run.

    python benchmarks/overhead.py [--also NAME=CHECKOUT] [--rounds 5] [--json]

Subjects, each a process of its own, take turns round by round: a plain uvloop byte relay, the daemon, and a
proxy of aiohttp's client and server; with `--also` the daemon of another checkout, to compare before and
after. The load is the same for all: unsafe POST requests over kept connections, one upstream, closed loop.
A subject's CPU is the kernel's count for its process (user and system), divided by the requests served.
Absolute times mean little; the ratios to the relay are what to look at.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent
TICKS = os.sysconf("SC_CLK_TCK")
ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Load: {"cpu_share":0.3}\r\n'
    b"Content-Length: 5\r\n\r\ndone\n"
)


class Upstream(asyncio.Protocol):
    """Answers every request at once."""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport, self.buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        """Answer each whole request; a watch of discovery is left waiting."""
        self.buffer += data
        while (at := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:at].lower()
            if head.startswith(b"get /v1/endpoints"):
                return  # discovery: a watch that waits; the list is known from the start
            length = int(head.partition(b"content-length:")[2].split(b"\r\n", 1)[0] or 0)
            if len(self.buffer) < at + 4 + length:
                return
            self.buffer = self.buffer[at + 4 + length :]
            self.transport.write(ANSWER)


class Caller(asyncio.Protocol):
    """One client's connection: the next request as soon as an answer is whole."""

    def __init__(self, load: Load, number: int) -> None:
        self.load, self.number, self.count = load, number, 0

    def connection_made(self, transport: Any) -> None:
        """Send the first request."""
        self.transport, self.buffer = transport, b""
        self.ask()

    def ask(self) -> None:
        """Send the next request, or close when the load is used up."""
        if self.load.left <= 0:
            self.transport.close()
            return
        self.load.left -= 1
        self.count += 1
        self.transport.write(
            b"POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %d-%d-%d\r\nX-Class: send\r\n"
            b"X-Deadline-Ms: 4000\r\nContent-Length: 64\r\n\r\n"
            % (self.load.id, self.number, self.count)
            + b"x" * 64
        )

    def data_received(self, data: bytes) -> None:
        """Count the answer and go on with the next request."""
        self.buffer += data
        if self.buffer.endswith(b"done\n"):
            if not self.buffer.startswith(b"HTTP/1.1 200"):
                self.load.failed += 1
            self.buffer = b""
            self.load.served += 1
            self.ask()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the load with its last connection."""
        self.load.open -= 1
        if not self.load.open:
            self.load.done.set_result(None)


class Load:
    """So many requests over so many connections, closed loop."""

    ids = 0

    def __init__(self, requests: int, connections: int) -> None:
        Load.ids += 1
        self.id, self.left, self.open = Load.ids, requests, connections
        self.served = self.failed = 0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self, port: int) -> None:
        """Send all of them to `port`, within 120 seconds."""
        loop = asyncio.get_running_loop()
        for number in range(self.open):
            await loop.create_connection(lambda number=number: Caller(self, number), "127.0.0.1", port)
        await asyncio.wait_for(self.done, 120)


class Subject:
    """A process to measure."""

    def __init__(self, name: str, command: list[str], env: dict[str, str], port: int) -> None:
        self.name, self.port = name, port
        self.process = subprocess.Popen(command, env={**os.environ, **env}, stderr=subprocess.DEVNULL)
        self.cpu: list[float] = []

    def ticks(self) -> int:
        """Processor time that it has used, in clock ticks."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])

    def peak_mb(self) -> float:
        """Its peak resident memory in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    async def wait(self) -> None:
        """Wait until it accepts connections. Raises SystemExit after 20 seconds."""
        until = time.monotonic() + 20
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                return
            except OSError:
                if time.monotonic() > until or self.process.poll() is not None:
                    raise SystemExit(f"{self.name} does not come up") from None
                await asyncio.sleep(0.05)


def free_port() -> int:
    """A port that nobody has at this moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def daemon_config(folder: Path, name: str, port: int, upstream: int, peers: int = 0) -> Path:
    """Write a daemon's configuration with one upstream and `peers` other balancers; returns its path."""
    sys.path.insert(0, str(ROOT))
    from dykeshift.cli.init import example

    config = example()
    row = {
        "instanceId": "s0",
        "hostPort": f"127.0.0.1:{upstream}",
        "zone": "zone-1",
        "machineType": "standard",
        "cell": 1,
        "lifecycle": "active",
        "weight": 1.0,
        "startedAtMs": 0,
    }
    config |= {
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{upstream}",
        "known": {"generation": 1, "reset": True, "instances": [row]},
    }
    send = config["settings"]["services"][2]
    send |= {"name": "send", "deadlineNs": 5_000_000_000}
    if peers:
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(peers)]
        config |= {"peer_listen": addresses[0], "peers": addresses}
    path = folder / f"{name}.json"
    path.write_text(json.dumps(config))
    return path


def subjects(options: argparse.Namespace, folder: Path, upstream: int) -> list[Subject]:
    """Start everything that is to be measured."""
    made = []
    for name in ("relay", "aiohttp"):
        port = free_port()
        command = [sys.executable, str(HERE / f"proxy_{name}.py"), str(port), str(upstream)]
        made.append(Subject(name, command, {}, port))
    checkouts = {"daemon": str(ROOT), **dict(one.split("=", 1) for one in options.also)}
    for name, checkout in checkouts.items():
        port = free_port()
        config = daemon_config(folder, name, port, upstream)
        made.append(
            Subject(
                name,
                [sys.executable, "-m", "dykeshift.node"],
                {"NODE_CONFIG": str(config), "PYTHONPATH": checkout},
                port,
            )
        )
    stacked = {"view": "[view]\n", "agree": "[view]\n[agree]\n"}
    alone = {"versions": "[view]\n[agree]\nvoters = 1\n[versions]\n"}  # nobody else: in force at once
    for name, sections in {**stacked, **alone}.items() if options.view else ():
        port, file = free_port(), folder / f"{name}.toml"
        file.write_text(sections)
        config = daemon_config(folder, name, port, upstream, 1 if name in alone else options.view)
        made.append(
            Subject(
                f"{name} on",
                [sys.executable, "-m", "dykeshift.node"],
                {"NODE_CONFIG": str(config), "PYTHONPATH": str(ROOT), "LIFTTRAIL_FEATURES": str(file)},
                port,
            )
        )
    return made


async def measure(options: argparse.Namespace) -> dict[str, Any]:
    """Let the subjects take turns and return their figures."""
    server = await asyncio.get_running_loop().create_server(Upstream, "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as folder:
        all_of_them = subjects(options, Path(folder), server.sockets[0].getsockname()[1])
        try:
            for subject in all_of_them:
                await subject.wait()
                await Load(options.requests // 10, options.connections).run(subject.port)
            for number in range(options.rounds):
                if sys.stderr.isatty():
                    sys.stderr.write(f"\rround {number + 1} of {options.rounds}")
                for subject in all_of_them:
                    before, load = subject.ticks(), Load(options.requests, options.connections)
                    await load.run(subject.port)
                    if load.failed:
                        raise SystemExit(f"{subject.name}: {load.failed} requests were not served")
                    subject.cpu.append((subject.ticks() - before) / TICKS / load.served * 1e6)
            return report(all_of_them)
        finally:
            for subject in all_of_them:
                subject.process.kill()
                subject.process.wait()


def report(all_of_them: list[Subject]) -> dict[str, Any]:
    """Median processor time a request of each subject, and its ratio to the relay."""
    relay = all_of_them[0].cpu
    return {
        s.name: {
            "cpu_us_a_request": round(statistics.median(s.cpu), 1),
            "of_the_relay": round(statistics.median(a / b for a, b in zip(s.cpu, relay, strict=True)), 2),
            "lowest": round(min(a / b for a, b in zip(s.cpu, relay, strict=True)), 2),
            "highest": round(max(a / b for a, b in zip(s.cpu, relay, strict=True)), 2),
            "peak_mb": round(s.peak_mb(), 1),
        }
        for s in all_of_them
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description="CPU a request beside a relay and an aiohttp proxy")
    parser.add_argument("--also", action="append", default=[], metavar="NAME=CHECKOUT")
    parser.add_argument(
        "--view",
        type=int,
        default=0,
        metavar="PEERS",
        help="daemons with [view], with [agree], and alone with [versions], too",
    )
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    result = uvloop.run(measure(options))
    if options.json:
        print(json.dumps(result))
        return
    print(
        f"{'subject':<12} {'CPU us a request':>17} {'of the relay':>13} {'lowest':>7} {'highest':>8} "
        f"{'peak MB':>8}"
    )
    for name, row in result.items():
        print(
            f"{name:<12} {row['cpu_us_a_request']:>17} {row['of_the_relay']:>13} {row['lowest']:>7} "
            f"{row['highest']:>8} {row['peak_mb']:>8}"
        )


if __name__ == "__main__":
    main()

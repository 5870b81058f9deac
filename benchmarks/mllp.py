"""MLLP: messages a second and CPU a message beside two yardsticks in one run; the journal's cost; memory.

    pip install hl7 && python benchmarks/mllp.py [--rounds 5] [--json]

Subjects take turns round by round: a relay that reads nothing, a router on python-hl7, the daemon without a
journal and with one (fsynced, on the disk that --journal names). The load is the same for all: messages of a
class that must never run twice, original mode, closed loop, one message a connection. Then the store alone:
records a second with a sync for each and with group commit. Then what the memory takes at 10,000 and at
1,000,000 answers.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
import tracemalloc
from datetime import datetime, UTC
from pathlib import Path
from typing import Any

import uvloop

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent)]

from overhead import TICKS, Subject, Upstream, daemon_config, free_port  # noqa: E402

from dykeshift.mllp.journal import KIND, Answered, encode  # noqa: E402
from dykeshift.mllp.memory import Bounds, Memory, identify  # noqa: E402
from dykeshift.standins import hl7  # noqa: E402
from dykeshift.store.files import Directory  # noqa: E402
from dykeshift.store.log import Log  # noqa: E402

S = 1_000_000_000


class Server(asyncio.Protocol):
    """Acknowledges every message at once."""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport, self.blocks = transport, hl7.Blocks()

    def data_received(self, data: bytes) -> None:
        """Acknowledge each whole message."""
        for content in self.blocks.feed(data):
            name = content.split(b"|", 10)[9].decode()
            self.transport.write(hl7.block(hl7.ack("AA", name, "S1")))


class Clinic(asyncio.Protocol):
    """The next message as soon as the one before is acknowledged."""

    def __init__(self, load: Load, number: int) -> None:
        self.load, self.number, self.count = load, number, 0

    def connection_made(self, transport: Any) -> None:
        """Send the first message."""
        self.transport, self.buffer = transport, b""
        self.ask()

    def ask(self) -> None:
        """Send the next message, or close when the load is used up."""
        if self.load.left <= 0:
            self.transport.close()
            return
        self.load.left -= 1
        self.count += 1
        name = f"{self.load.id}-{self.number}-{self.count}"
        note = hl7.Note(name, "CLINIC", "sms-send", made=self.load.made)
        self.transport.write(hl7.block(note.content()))

    def data_received(self, data: bytes) -> None:
        """Count the acknowledgement and go on with the next message."""
        self.buffer += data
        if self.buffer.endswith(b"\x1c\r"):
            self.load.failed += b"MSA|AA|" not in self.buffer
            self.buffer = b""
            self.load.served += 1
            self.ask()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the load with its last connection."""
        self.load.open -= 1
        if not self.load.open:
            self.load.done.set_result(None)


class Load:
    """So many messages over so many connections, closed loop."""

    ids = 0

    def __init__(self, messages: int, connections: int) -> None:
        Load.ids += 1
        self.id, self.left, self.open = f"{time.time_ns():x}-{Load.ids}", messages, connections
        self.made = datetime.now(UTC).strftime("%Y%m%d%H%M%S.%f")[:-2]
        self.served = self.failed = 0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self, port: int) -> float:
        """Send all of them to `port`; returns the seconds that it took."""
        loop, began = asyncio.get_running_loop(), time.monotonic()
        for number in range(self.open):
            await loop.create_connection(lambda number=number: Clinic(self, number), "127.0.0.1", port)
        await asyncio.wait_for(self.done, 300)
        return time.monotonic() - began


def daemon(folder: Path, name: str, upstream: int, discovery: int, journal: Path | None) -> Subject:
    """A daemon with `[mllp]` as a subject, with a journal or without."""
    port = free_port()
    config = daemon_config(folder, name, free_port(), upstream)
    given = json.loads(config.read_text())
    config.write_text(json.dumps({**given, "discovery": f"127.0.0.1:{discovery}"}))
    text = (
        f'[mllp]\nlisten = ["127.0.0.1:{port}"]\nupstreams = "mllp"\n'
        + (f'journal = "{journal}"\n' if journal else "")
        + '[[mllp.map]]\ntrigger = "ORM^O01"\nclass = "send"\ndeadline_ms = 4000\n'
        "[mllp.memory]\nclock_error_s = 0.0\n"
    )
    (folder / f"{name}.toml").write_text(text)
    return Subject(
        name,
        [sys.executable, "-m", "dykeshift.node"],
        {
            "NODE_CONFIG": str(config),
            "LIFTTRAIL_FEATURES": str(folder / f"{name}.toml"),
            "PYTHONPATH": str(HERE.parent),
        },
        port,
    )


async def compare(options: argparse.Namespace) -> dict[str, Any]:
    """Let the subjects take turns and return their figures."""
    server = await asyncio.get_running_loop().create_server(Server, "127.0.0.1", 0)
    upstream = server.sockets[0].getsockname()[1]
    lists = await asyncio.get_running_loop().create_server(Upstream, "127.0.0.1", 0)
    discovery = lists.sockets[0].getsockname()[1]
    with tempfile.TemporaryDirectory() as name, tempfile.TemporaryDirectory(dir=options.journal) as journal:
        folder, subjects = Path(name), list[Subject]()
        for kind in ("relay", "hl7"):
            port = free_port()
            subjects.append(
                Subject(
                    kind,
                    [sys.executable, str(HERE / "proxy_mllp.py"), kind, str(port), str(upstream)],
                    {},
                    port,
                )
            )
        subjects += [
            daemon(folder, "daemon", upstream, discovery, None),
            daemon(folder, "journal", upstream, discovery, Path(journal)),
        ]
        try:
            return await _rounds(options, subjects)
        finally:
            for subject in subjects:
                subject.process.kill()
                subject.process.wait()


async def _rounds(options: argparse.Namespace, subjects: list[Subject]) -> dict[str, Any]:
    rates: dict[str, list[float]] = {s.name: [] for s in subjects}
    for subject in subjects:
        await subject.wait()
    await asyncio.sleep(1.1)  # past the second of the start: messages made before it are not known
    for number in range(options.rounds + 1):  # the first warms up
        if sys.stderr.isatty():
            sys.stderr.write(f"\rround {number} of {options.rounds}")
        for subject in subjects:
            before, load = subject.ticks(), Load(options.messages, options.connections)
            wall = await load.run(subject.port)
            if load.failed:
                raise SystemExit(f"{subject.name}: {load.failed} messages were not acknowledged AA")
            if number:
                subject.cpu.append((subject.ticks() - before) / TICKS / load.served * 1e6)
                rates[subject.name].append(load.served / wall)
    relay = subjects[0].cpu

    def ratio(subject: Subject) -> float:
        return round(statistics.median(a / b for a, b in zip(subject.cpu, relay, strict=True)), 2)

    return {
        s.name: {
            "messages_a_second": round(statistics.median(rates[s.name])),
            "cpu_us_a_message": round(statistics.median(s.cpu), 1),
            "of_the_relay": ratio(s),
            "peak_mb": round(s.peak_mb(), 1),
        }
        for s in subjects
    }


def store(options: argparse.Namespace) -> dict[str, Any]:
    """Records a second, by how many share a sync."""
    record = encode(Answered((b"CLINIC", b"DORNOD", b"c-123456"), b"d" * 32, S, S, b"x" * 200))
    rates = {}
    for group in (1, 16, 256):
        with tempfile.TemporaryDirectory(dir=options.journal) as folder:
            log = Log(Directory(Path(folder)), "bench.log", KIND)
            log.open()
            began, syncs = time.monotonic(), 0
            while time.monotonic() - began < 1.5:
                for _ in range(group):
                    log.append(record)
                log.commit()
                syncs += 1
            rates[f"{group} a sync"] = round(syncs * group / (time.monotonic() - began))
            log.close()
    return rates


def remembered(count: int) -> dict[str, Any]:
    """What so many answers take, with an AA of this front's usual length."""
    answer = b"AA" + b"x" * 180
    tracemalloc.start()
    memory = Memory[None](0, Bounds(entries=count, bytes=1 << 40), complete=True)
    for n in range(count):
        identity = identify(b"CLINIC", b"DORNOD", b"control-%d" % n, b"%d" % n)
        memory.restore(identity, S + n, S + n, bytes(answer))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "answers": count,
        "mb": round(held / 1e6, 1),
        "bytes_an_answer": round(held / count),
        "accounted": round(memory.size / count),
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--messages", type=int, default=3000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--journal", metavar="DIRECTORY", help="on the disk that is to be measured")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    result = {
        "subjects": uvloop.run(compare(options)),
        "records_a_second": store(options),
        "memory": [remembered(10_000), remembered(1_000_000)],
    }
    if options.json:
        print(json.dumps(result))
        return
    for name, row in result["subjects"].items():
        print(f"{name:<10}" + "".join(f"  {key} {value}" for key, value in row.items()))
    print(f"store: {result['records_a_second']} records a second")
    for row in result["memory"]:
        print(f"memory: {row}")


if __name__ == "__main__":
    main()

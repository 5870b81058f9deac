"""SIGKILL at random points during resends, journal on: nothing twice, nothing acknowledged that was lost.

    python benchmarks/mllp_kill.py --kills 500 [--jobs 8] [--json]

A real daemon with `[mllp]` and a journal on disk, a stand-in MLLP sender and a clinic in this process. The
clinic sends messages of a class that must never run twice, each again, byte for byte, until it has AA or AE.
The daemon is killed at a random moment and started again on the same journal, over and over. Then it is
counted, by message: how often the sender did it, and whether what was acknowledged AA was done. Exit 1 if any
rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from datetime import datetime, UTC
from pathlib import Path
from random import Random
from typing import Any

from dykeshift.cli.init import example
from dykeshift.standins import hl7

AT_ONCE = 6  # messages under way
LEAST, MOST = 0.02, 0.35  # seconds from the daemon's start to its kill


def free_port() -> int:
    """A port that nobody has at this moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Sender:
    """Does each message once it has come whole, after a little while, and acknowledges it."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.done = rng, Counter[str]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Do each message and acknowledge it after a random pause."""
        blocks = hl7.Blocks()
        with suppress(ConnectionError):
            while data := await reader.read(65536):
                for content in blocks.feed(data):
                    name = hl7.read_note(content).control_id
                    self.done[name] += 1
                    await asyncio.sleep(self.rng.random() * 0.02)
                    writer.write(hl7.block(hl7.ack("AA", name, f"S{sum(self.done.values())}")))
        writer.close()


class Clinic:
    """Sends messages, each again until it is settled, and keeps the codes that it heard."""

    def __init__(self, port: int, rng: Random) -> None:
        self.port, self.rng = port, rng
        self.heard: dict[str, list[str]] = {}
        self.made = 0
        self.stopping = False

    async def work(self, number: int) -> None:
        """Send one message after the other until told to stop."""
        while not self.stopping:
            self.made += 1
            when = datetime.now(UTC).strftime("%Y%m%d%H%M%S.%f")[:-2]
            note = hl7.Note(f"c{number}-{self.made}", f"CLINIC{number}", "sms-send", made=when)
            await self.deliver(note)

    async def deliver(self, note: hl7.Note) -> None:
        """Send one message until it is settled, and perhaps once more."""
        codes = self.heard.setdefault(note.control_id, [])
        while not (codes and codes[-1] in ("AA", "AE")):
            with suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
                codes.append(await self.once(note))
            await asyncio.sleep(0.002 + self.rng.random() * 0.02)
        for _ in range(self.rng.randrange(3)):  # and once more, as if the acknowledgement had been lost
            with suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
                codes.append(await self.once(note))

    async def once(self, note: hl7.Note) -> str:
        """Send a message once; returns the code of its acknowledgement. Raises OSError, ValueError or
        TimeoutError."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(hl7.block(note.content()))
            async with asyncio.timeout(3.0):
                data = await reader.readuntil(b"\x1c\r")
            code, name = hl7.read_ack(data[1:-2])
            assert name == note.control_id, f"{name} answers {note.control_id}"
            return code
        finally:
            writer.close()


def configure(folder: Path, http: int, mllp: int, sender: int) -> dict[str, str]:
    """Write the daemon's files; returns its environment."""
    known = {
        "generation": 1,
        "reset": True,
        "instances": [
            {
                "instanceId": "s1",
                "hostPort": f"127.0.0.1:{sender}",
                "zone": "zone-1",
                "machineType": "standard",
                "cell": 0,
                "lifecycle": "active",
                "weight": 1.0,
                "startedAtMs": 0,
            }
        ],
    }
    config = {**example(), "listen": f"127.0.0.1:{http}", "discovery": "127.0.0.1:1", "known": known}
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "journal").mkdir()
    (folder / "lifttrail.toml").write_text(
        f'[mllp]\nlisten = ["127.0.0.1:{mllp}"]\nupstreams = "mllp"\njournal = "{folder / "journal"}"\n'
        '[[mllp.map]]\ntrigger = "ORM^O01"\nclass = "sms-send"\ndeadline_ms = 1500\n'
        '[mllp.memory]\nclock_error_s = 0.05\n'
    )
    return {
        **os.environ,
        "NODE_CONFIG": str(folder / "config.json"),
        "LIFTTRAIL_FEATURES": str(folder / "lifttrail.toml"),
    }


async def listening(port: int, process: asyncio.subprocess.Process) -> bool:
    """Wait until the daemon accepts connections; False when it ended first or 20 seconds passed."""
    until = time.monotonic() + 20
    while process.returncode is None and time.monotonic() < until:
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return True
        await asyncio.sleep(0.005)
    return False


async def play(kills: int, seed: int, folder: Path) -> dict[str, Any]:
    """Kill the daemon so many times and count what was lost or done twice."""
    rng, mllp = Random(seed), free_port()
    sender = Sender(rng)
    server = await asyncio.start_server(sender.serve, "127.0.0.1", 0)
    environment = configure(folder, free_port(), mllp, server.sockets[0].getsockname()[1])
    clinic, tasks = Clinic(mllp, rng), list[asyncio.Task[None]]()
    for life in range(kills + 1):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dykeshift.node", env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        if not await listening(mllp, process):
            raise SystemExit(f"the daemon did not start again: exit code {process.returncode}")
        tasks = tasks or [asyncio.create_task(clinic.work(n)) for n in range(AT_ONCE)]
        if life < kills:
            await asyncio.sleep(rng.uniform(LEAST, MOST))
            process.send_signal(signal.SIGKILL)
            await process.wait()
    clinic.stopping = True
    await asyncio.gather(*tasks)
    process.terminate()
    await process.wait()
    server.close()
    return judge(sender.done, clinic.heard, kills)


def judge(done: Counter[str], heard: dict[str, list[str]], kills: int) -> dict[str, Any]:
    """What the sender did against what the clinic heard."""
    twice = [name for name, times in done.items() if times > 1]
    lost = [name for name, codes in heard.items() if "AA" in codes and not done[name]]
    turned = [
        name
        for name, codes in heard.items()
        if "AA" in codes and codes[codes.index("AA") :].count("AA") < len(codes) - codes.index("AA")
    ]
    finals = Counter(next(c for c in codes if c in ("AA", "AE")) for codes in heard.values())
    return {
        "kills": kills,
        "messages": len(heard),
        "frames_answered": sum(map(len, heard.values())),
        "finals": dict(finals),
        "done_twice": twice,
        "acknowledged_and_lost": lost,
        "no_longer_AA_later": turned,
    }


def one(job: tuple[int, int]) -> dict[str, Any]:
    """One job: a number of kills and a seed, in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(*job, Path(folder)))


def main() -> int:
    """Spread the kills over processes and print the counts. Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    share = [options.kills // options.jobs + (n < options.kills % options.jobs) for n in range(options.jobs)]
    with ProcessPoolExecutor(options.jobs) as pool:
        parts = list(pool.map(one, [(kills, seed) for seed, kills in enumerate(share) if kills]))
    total: dict[str, Any] = {}
    for part in parts:
        for name, value in part.items():
            total[name] = (
                Counter(total.get(name, {})) + Counter(value)
                if isinstance(value, dict)
                else (total[name] + value if name in total else value)
            )
    broken = total["done_twice"] or total["acknowledged_and_lost"] or total["no_longer_AA_later"]
    total["finals"] = dict(total["finals"])
    lines = "\n".join(f"{name}: {value}" for name, value in total.items())
    print(json.dumps(total) if options.json else lines)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

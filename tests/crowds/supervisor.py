"""Runs a daemon under its memory limit, as the deployment page describes it: over the limit it is killed."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

POLL_INTERVAL_S = 0.002
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 1e6  # the unit of `memory_mb`


ROOT = Path(__file__).parents[2]


def run_command() -> str:
    """`run` of the deploy file, with this interpreter."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        command = str(tomllib.load(file)["run"])
    assert ".venv/bin/python" in command
    return command.replace(".venv/bin/python", sys.executable)


def resident_bytes(process: int) -> int:
    """The resident memory of a process now; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{process}/statm").read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def peak_bytes(process: int) -> int:
    """The largest resident memory of a process so far; 0 if it has ended."""
    try:
        text = Path(f"/proc/{process}/status").read_text(encoding="utf-8")
        return int(text.split("VmHWM:")[1].split()[0]) * 1024
    except (OSError, IndexError):
        return 0


def file_bytes(folder: Path) -> int:
    """What the files of a folder take: files count as memory."""
    return sum(path.stat().st_blocks * 512 for path in folder.rglob("*") if path.is_file())


@dataclass
class Supervisor:
    """One daemon; `peak_mb` and `over_limit` tell what its memory came to."""

    config: Path
    folder: Path  # its $TMPDIR
    memory_mb: float
    kills: bool = True  # whether it is ended over the limit, or only reported
    features: str | None = None  # path of a feature file
    process: asyncio.subprocess.Process | None = None
    peak_mb: float = 0.0
    over_limit: int = 0  # processes that were over the limit
    exits: list[int] = field(default_factory=list)  # codes of processes that ended by themselves
    started_at: float = 0.0
    over_limit_after: list[float] = field(default_factory=list)  # seconds from their start

    async def start(self) -> None:
        """Start a process."""
        environment = {"NODE_CONFIG": str(self.config), "PYTHONPATH": ".", "TMPDIR": str(self.folder)}
        if self.features is not None:
            environment["LIFTTRAIL_FEATURES"] = self.features
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env={**os.environ, **environment}
        )
        self.started_at = time.monotonic()

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.look()
            self.process.kill()
            await self.process.wait()

    def look(self) -> bool:
        """Note the memory of the process; returns whether it is over its limit."""
        if self.process is None or self.process.returncode is not None:
            return False
        used = (peak_bytes(self.process.pid) + file_bytes(self.folder)) / MB
        self.peak_mb = max(self.peak_mb, used)
        return used > self.memory_mb

    async def watch(self) -> None:
        """Start the process anew whenever it has ended, until cancelled."""
        counted: asyncio.subprocess.Process | None = None
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.look() and counted is not self.process:
                counted = self.process
                self.over_limit += 1
                self.over_limit_after.append(time.monotonic() - self.started_at)
                if self.kills:
                    await self.kill()
                    await self.start()
            elif self.process is not None and self.process.returncode is not None:
                self.exits.append(self.process.returncode)
                await self.start()

"""Termination of a process as the protocol specifies it: SIGTERM, more requests, the earliest SIGKILL."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from dykeshift.sim.scenario import kill_after
from tests.node.stubs import ClientConnection

POLL = 0.002  # seconds between two checks whether it is time for SIGKILL


def run_delay(process: int) -> float:
    """Total seconds for which a process has waited for a CPU (see schedstats.txt of Linux)."""
    return int(Path(f"/proc/{process}/schedstat").read_text().split()[1]) / 1e9


class Ending:
    """The termination of a process, from SIGTERM to SIGKILL.

    Offsets are seconds since SIGTERM. To tolerate a busy machine, the time for which the process has waited
    for a CPU since then does not count.
    """

    def __init__(self, process: int, longest: float, running: Callable[[], bool]) -> None:
        """`process`: its id. `longest`: the longest deadline of its settings, in seconds."""
        self.process, self.running = process, running
        self.kill_at = kill_after(longest)
        self.sent = self.waited = 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running():
            with suppress(ProcessLookupError):
                os.kill(self.process, number)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.waited = run_delay(self.process)
        self.sent = time.monotonic()
        self.signal(signal.SIGTERM)

    def offset(self) -> float:
        """Seconds since SIGTERM, without those in which the process waited for a CPU."""
        with suppress(OSError, IndexError):
            return time.monotonic() - self.sent - (run_delay(self.process) - self.waited)
        return time.monotonic() - self.sent

    async def reach(self, offset: float) -> None:
        """Wait until this offset."""
        while (left := offset - self.offset()) > 0:
            await asyncio.sleep(min(left, 0.01))

    async def kill(self) -> bool:
        """Send SIGKILL at the earliest time allowed; returns whether the process was still running."""
        while self.running() and self.offset() < self.kill_at:
            await asyncio.sleep(POLL)
        was_running = self.running()
        self.signal(signal.SIGKILL)
        return was_running


async def exchange(client: ClientConnection, data: bytes) -> bytes:
    """Write on a connection that may have ended, and read until it ends."""
    found = b""
    with suppress(ConnectionError):
        client.writer.write(data)
        while part := await client.reader.read(65536):
            found += part
    client.writer.close()
    return found


def status(answer: bytes) -> str:
    """The status of an answer with a length; empty if it is incomplete."""
    head, found, body = answer.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length = next((x.partition(":")[2] for x in lines if x.lower().startswith("content-length:")), None)
    complete = bool(found) and length is not None and len(body) >= int(length)
    return lines[0].split()[1] if complete else ""

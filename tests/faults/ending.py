"""The end of a process as the protocol page has it: SIGTERM, clients that go on, SIGKILL at the earliest."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from dykeshift.sim.scenario import kill_after
from tests.node.stubs import Caller

POLL = 0.002  # seconds between two looks at whether it is time


def run_delay(process: int) -> float:
    """Seconds for which a process has waited for a processor in all (schedstats.txt of Linux)."""
    return int(Path(f"/proc/{process}/schedstat").read_text().split()[1]) / 1e9


class Ending:
    """From SIGTERM to SIGKILL of one process.

    Offsets are seconds since SIGTERM. What a busy machine kept from the process is given back to it: the time
    for which it waited for a processor meanwhile does not count.
    """

    def __init__(self, process: int, longest: float, running: Callable[[], bool]) -> None:
        """`process`: its id. `longest`: seconds, the longest deadline of its settings."""
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
        """Seconds since SIGTERM, as the process had them."""
        with suppress(OSError, IndexError):
            return time.monotonic() - self.sent - (run_delay(self.process) - self.waited)
        return time.monotonic() - self.sent

    async def reach(self, offset: float) -> None:
        """Wait until so long after SIGTERM."""
        while (left := offset - self.offset()) > 0:
            await asyncio.sleep(min(left, 0.01))

    async def kill(self) -> bool:
        """SIGKILL at the earliest moment that the page allows; says whether the process still ran."""
        while self.running() and self.offset() < self.kill_at:
            await asyncio.sleep(POLL)
        ran = self.running()
        self.signal(signal.SIGKILL)
        return ran


async def exchange(client: Caller, data: bytes) -> bytes:
    """Write on a connection that may have ended, and read until it ends."""
    found = b""
    with suppress(ConnectionError):
        client.writer.write(data)
        while part := await client.reader.read(65536):
            found += part
    client.writer.close()
    return found


def status(answer: bytes) -> str:
    """Of a whole answer with a told length; empty where it is not whole."""
    head, found, body = answer.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    told = next((one.partition(":")[2] for one in lines if one.lower().startswith("content-length:")), None)
    whole = bool(found) and told is not None and len(body) >= int(told)
    return lines[0].split()[1] if whole else ""

"""The end of a daemon as the protocol page has it: SIGTERM, clients that go on, SIGKILL at the earliest."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from pathlib import Path

from tests.faults.daemon import Daemon
from tests.node.stubs import Caller

KILL_GRACE = 0.7  # seconds from SIGTERM to SIGKILL, and the longest deadline
LONGEST_COUNTED = 3.0  # seconds: a longer deadline counts as this


def run_delay(process: int) -> float:
    """Seconds for which a process has waited for a processor in all (schedstats.txt of Linux)."""
    return int(Path(f"/proc/{process}/schedstat").read_text().split()[1]) / 1e9


class Ending:
    """From SIGTERM to SIGKILL of one daemon.

    Offsets are seconds since SIGTERM. What a busy machine kept from the daemon is given back to it: the time
    for which it waited for a processor meanwhile does not count.
    """

    def __init__(self, balancer: Daemon, longest: float) -> None:
        """`longest`: seconds, the longest deadline of its settings."""
        self.balancer = balancer
        self.kill_at = min(longest, LONGEST_COUNTED) + KILL_GRACE
        self.sent = self.waited = 0.0

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.waited = run_delay(self.balancer.process.pid)
        self.sent = time.monotonic()
        self.balancer.process.send_signal(signal.SIGTERM)

    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.balancer.process.poll() is None

    def offset(self) -> float:
        """Seconds since SIGTERM, as the daemon had them."""
        with suppress(OSError, IndexError):
            return time.monotonic() - self.sent - (run_delay(self.balancer.process.pid) - self.waited)
        return time.monotonic() - self.sent

    async def reach(self, offset: float) -> None:
        """Wait until so long after SIGTERM."""
        while (left := offset - self.offset()) > 0:
            await asyncio.sleep(min(left, 0.01))

    async def kill(self) -> bool:
        """SIGKILL at the earliest moment that the page allows; says whether the process still ran."""
        while self.running() and self.offset() < self.kill_at:
            await asyncio.sleep(0.002)
        ran = self.running()
        self.balancer.process.kill()
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

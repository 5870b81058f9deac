"""A daemon in a separate process on loopback, with injected faults of its system calls."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from tests.faults.ending import Ending
from tests.faults.fault_control import FaultControl
from tests.node.messages import Message, instance, listing
from tests.node.stubs import ClientConnection, DiscoveryStub, Stub, ask_once, configuration, wait_until

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = (sys.executable, "-m", "dykeshift.node")
READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


def free_address() -> tuple[str, int]:
    """An unused address on loopback."""
    with socket.create_server(("127.0.0.1", 0)) as one:
        found: tuple[str, int] = one.getsockname()
    return found


@dataclass
class Daemon:
    """A running daemon and the faults injected into it."""

    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    faults: FaultControl
    folder: Path
    registry: DiscoveryStub
    environment: dict[str, str]

    def beside(self, listener: socket.socket) -> Daemon:
        """Start a second process of the same balancer on the same listener; the caller has to end it."""
        return replace(self, process=start(self.folder, self.environment, listener))

    def caught(self, number: signal.Signals) -> bool:
        """Whether the process has a handler for a signal."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("SigCgt"):
                return bool(int(line.split()[1], 16) & 1 << (number - 1))
        return False

    async def open(self) -> ClientConnection:
        """Open a new connection as a client."""
        return await ClientConnection.to(self.address)

    async def ask(self, request: bytes) -> Message:
        """Send one request on a new connection."""
        return await ask_once(self.address, request)

    def ending(self, longest: float) -> Ending:
        """The termination of the process; `longest`: the longest deadline of its settings, in seconds."""
        return Ending(self.process.pid, longest, lambda: self.process.poll() is None)

    def log(self) -> str:
        """What the process has written to standard output and standard error."""
        return (self.folder / "log").read_text()

    async def ended(self) -> int:
        """Wait until the process has ended; returns its exit code."""
        await wait_until(lambda: self.process.poll() is not None)
        return self.process.returncode


@asynccontextmanager
async def daemon(
    folder: Path,
    *upstreams: Stub,
    before: Callable[[FaultControl], None] = lambda faults: None,
    inherited: socket.socket | None = None,
    environment: dict[str, str] | None = None,
    **changes: Any,
) -> AsyncIterator[Daemon]:
    """Start a daemon with these upstreams and wait until it is ready; kill it at the end if it still runs.

    `before` sets up faults that apply from the start. `inherited`: a listener to accept from, shared with
    other processes. File faults apply below its `$TMPDIR`, which is `folder / "shared"`.
    """
    shared = folder / "shared"
    shared.mkdir(exist_ok=True)
    faults = FaultControl(folder / "faults", shared)
    before(faults)
    variables = {
        "NODE_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(shared),
        **faults.environment(),
        **(environment or {}),
    }
    registry = await DiscoveryStub().start()
    known = listing(1, True, *(instance(f"s{n}", one.address) for n, one in enumerate(upstreams)))
    address = inherited.getsockname() if inherited is not None else free_address()
    given = {**configuration(registry.address, known), "listen": f"{address[0]}:{address[1]}", **changes}
    (folder / "config.json").write_text(json.dumps(given))
    process = start(folder, variables, inherited)
    running = Daemon(process, address, faults, folder, registry, variables)
    try:
        await _wait_ready(running)
        yield running
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


def start(
    folder: Path, environment: dict[str, str], inherited: socket.socket | None
) -> subprocess.Popen[bytes]:
    """Start a process of the daemon, which writes to the log in `folder`."""
    passed = [] if inherited is None else [inherited.fileno()]
    inheritance = {"NODE_INHERITED_FD": str(passed[0])} if passed else {}
    with (folder / "log").open("ab") as log:
        return subprocess.Popen(
            COMMAND,
            cwd=ROOT,
            env={**os.environ, **environment, **inheritance},
            pass_fds=passed,
            stdout=log,
            stderr=log,
        )


async def _wait_ready(running: Daemon) -> None:
    while running.process.poll() is None:
        with suppress(OSError, asyncio.IncompleteReadError):
            if "200" in (await running.ask(READY)).start:
                return
        await asyncio.sleep(0.01)
    raise AssertionError(f"the daemon ended before it was ready: {running.log()}")

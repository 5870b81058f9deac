"""SIGHUP while the process starts or ends: a configuration reload must never kill it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tomllib
from contextlib import suppress
from pathlib import Path

from tests.faults.daemon import READY, ROOT, daemon, free_address
from tests.node.messages import answer, instance, listing, request
from tests.node.stubs import DiscoveryStub, Stub, answers_with, ask_once, configuration, run, wait_until

SIGHUP_BIT = 1 << (signal.SIGHUP - 1)  # in the masks of /proc/PID/status


def survives_sighup(process: int) -> bool:
    """Whether the process ignores, blocks or catches SIGHUP."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigBlk", "SigCgt"))]
    return any(mask & SIGHUP_BIT for mask in masks)


def is_program(process: int) -> bool:
    """Whether the shell has replaced itself by the program."""
    return Path(f"/proc/{process}/cmdline").read_bytes().split(b"\0")[0].endswith(b"python")


def test_sighup_while_the_process_starts_does_not_end_it(tmp_path: Path) -> None:
    """The default action of SIGHUP ends a process; starting Python and the imports takes 0.25 s."""

    async def main() -> None:
        stub, registry = await Stub(answers_with(answer())).start(), await DiscoveryStub().start()
        address = free_address()
        given = configuration(registry.address, listing(1, True, instance("s0", stub.address)))
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**given, "listen": f"{address[0]}:{address[1]}"}))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        command = command.replace(".venv/bin/python", sys.executable)
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env={**os.environ, "NODE_CONFIG": str(path)}
        )
        try:
            await wait_until(lambda: is_program(process.pid))
            assert survives_sighup(process.pid)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                with suppress(OSError):
                    if "200" in (await ask_once(address, READY)).start:
                        break
            assert process.poll() is None
            assert (await ask_once(address, request(rid="r1"))).body == b"done"
            process.terminate()
            await wait_until(lambda: process.poll() is not None)
            assert process.returncode == 0
        finally:
            process.kill()

    run(main())


def test_sighup_while_the_process_ends_does_not_change_its_exit_code(tmp_path: Path) -> None:
    """When the event loop closes, it removes its signal handlers before the process has ended."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with daemon(tmp_path, stub) as balancer:
            assert (await balancer.ask(request(rid="r1"))).body == b"done"
            balancer.process.terminate()
            while balancer.process.poll() is None:
                balancer.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0)
            assert balancer.process.returncode == 0

    run(main())

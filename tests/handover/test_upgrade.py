"""Two real processes on one inherited listener: requests are answered once, bans kept, no client refused."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from dykeshift.handover.folder import BANS
from dykeshift.rig.addresses import ReservedAddresses
from tests.node.messages import Message, answer, instance, listing, read_message, request
from tests.node.stubs import (
    ClientConnection,
    DiscoveryStub,
    Stub,
    answers_with,
    configuration,
    run,
    silent,
    wait_until,
)

READY = b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n"
ROOT = Path(__file__).resolve().parents[2]


class FullListDiscovery(DiscoveryStub):
    """A discovery that answers each client with the full list at once and then leaves its watch open."""

    known: Any = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await read_message(reader)
            writer.write(answer(json.dumps(self.known).encode()))
            await reader.read()
        writer.close()


class Platform:
    """A platform that holds the listener and starts the processes that share it."""

    def __init__(self, folder: Path, listener: socket.socket, registry: DiscoveryStub, known: Any) -> None:
        self.folder, self.listener, self.registry, self.known = folder, listener, registry, known
        self.processes: list[asyncio.subprocess.Process] = []
        self.addresses = ReservedAddresses()

    async def start(self, **env: str) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
        """Start a process and wait until its console answers 200; also returns the console's address."""
        console = self.addresses.reserve()
        path = self.folder / f"config{len(self.processes)}.json"
        given = {
            **configuration(self.registry.address, self.known),
            "console": "%s:%d" % console,
            "listen": "%s:%d" % self.listener.getsockname(),
        }
        path.write_text(json.dumps(given))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dykeshift.node",
            cwd=ROOT,
            pass_fds=[self.listener.fileno()],
            env={
                **os.environ,
                "NODE_CONFIG": str(path),
                "TMPDIR": str(self.folder),
                "NODE_INHERITED_FD": str(self.listener.fileno()),
                **env,
            },
        )
        self.processes.append(process)
        while process.returncode is None:
            try:
                if "200" in (await self.call(console, "GET", "/status")).start:
                    return process, console
            except OSError:
                await asyncio.sleep(0.01)
        raise AssertionError(f"it ended with {process.returncode}")

    @staticmethod
    async def call(console: tuple[str, int], method: str, path: str, name: str = "") -> Message:
        reader, writer = await asyncio.open_connection(*console)
        body = json.dumps({"name": name}) if name else ""
        head = f"{method} {path} HTTP/1.1\r\nHost: b\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(f"{head}{body}".encode())
        got = await read_message(reader)
        writer.close()
        return got

    async def open(self) -> ClientConnection:
        return ClientConnection(*await asyncio.open_connection(*self.listener.getsockname()))


@asynccontextmanager
async def site(folder: Path, *stubs: Stub) -> AsyncIterator[Platform]:
    registry = FullListDiscovery()
    await registry.start()
    known = listing(1, True, *(instance(f"s{n}", stub.address) for n, stub in enumerate(stubs)))
    registry.known = known
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        platform = Platform(folder, listener, registry, known)
        try:
            yield platform
        finally:
            for process in platform.processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            platform.addresses.release()


def test_every_request_is_answered_during_two_upgrades(tmp_path: Path) -> None:
    async def main() -> None:
        stubs = [await Stub(answers_with(answer(b"done"))).start() for _ in range(4)]
        async with site(tmp_path, *stubs) as platform:
            old, _ = await platform.start()
            stop = asyncio.Event()

            async def client(number: int) -> tuple[int, int]:
                sent, caller = 0, await platform.open()
                while not stop.is_set():
                    sent += 1
                    got = await caller.ask(request("check", rid=f"c{number}-{sent}"))
                    assert got.start.split()[1] in ("200", "503")
                    if got.headers.get("connection") == "close":
                        caller.writer.close()
                        caller = await platform.open()
                caller.writer.close()
                return number, sent

            clients = [asyncio.create_task(client(n)) for n in range(6)]
            for _ in range(2):  # a second upgrade right after
                new, _ = await platform.start()
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                old = new
            stop.set()
            sent = dict(await asyncio.gather(*clients))
            assert all(count > 0 for count in sent.values())
            ids = [m.headers["x-request-id"] for stub in stubs for m in stub.seen]
            assert {rid.partition("-")[0] for rid in ids} == {f"c{n}" for n in range(6)}

    run(main())


# Guards against an sms-send that runs twice, as its id came again at the other process of an upgrade.
def test_an_id_that_one_process_has_sent_is_not_sent_by_the_other(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        async with site(tmp_path, stub) as platform:
            await platform.start()
            kept = await platform.open()
            for _ in range(2):
                assert "200" in (await kept.ask(READY)).start
            new, _ = await platform.start()
            while "connection" not in (await kept.ask(READY)).headers:
                kept = await platform.open()  # until the old one has seen the new one
            leaves = [await platform.open() for _ in range(8)]
            for number, caller in enumerate(leaves):
                caller.writer.write(request(rid=f"again{number}"))
            await wait_until(lambda: len(stub.seen) >= 4)
            for caller in leaves:
                caller.writer.transport.abort()
            await wait_until(lambda: stub.lost == len(stub.writers))
            sent = {message.headers["x-request-id"] for message in stub.seen}
            for rid in sent:
                for _ in range(4):  # to either process
                    caller = await platform.open()
                    assert "409" in (await caller.ask(request(rid=rid))).start
            assert len(stub.seen) == len(sent)

    run(main())


def test_the_old_process_answers_an_accepted_request_after_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        async with site(tmp_path, stub) as platform:
            old, _ = await platform.start()
            busy, probe = await platform.open(), await platform.open()
            for caller in (busy, busy, probe, probe):  # a connection with two requests is kept alive longer
                assert "200" in (await caller.ask(READY)).start
            await platform.start()
            while "connection" not in (await probe.ask(READY)).headers:
                pass  # until the old one has seen the new one
            busy.writer.write(request(rid="busy"))
            await wait_until(lambda: len(stub.seen) == 1)
            old.send_signal(signal.SIGTERM)
            stub.writers[0].write(answer(b"at last"))
            got = await read_message(busy.reader)
            assert got.body == b"at last" and got.headers["connection"] == "close"
            assert await old.wait() == 0

    run(main())


def test_bans_are_written_before_the_answer_and_hold_in_both_processes_and_after_a_restart(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        banned, other = [await Stub(answers_with(answer(body))).start() for body in (b"banned", b"other")]

        async def answers_of(platform: Platform, count: int) -> set[bytes]:
            callers = [await platform.open() for _ in range(20)]
            return {(await c.ask(request("check", rid=f"{count}-{n}"))).body for n, c in enumerate(callers)}

        async with site(tmp_path, banned, other) as platform:
            old, console = await platform.start()
            assert "200" in (await platform.call(console, "PUT", "/maintenance/enter", "s0")).start
            assert set(json.loads((tmp_path / BANS).read_text())["out"]) == {"s0"}
            new, second = await platform.start()
            assert await answers_of(platform, 1) == {b"other"} and not banned.seen
            # Lifted and entered at the new process, applied by the old one.
            assert "200" in (await platform.call(second, "PUT", "/maintenance/exit", "s0")).start
            assert "200" in (await platform.call(second, "PUT", "/maintenance/enter", "s1")).start
            while b'"hosts_down":1' not in (await platform.call(console, "GET", "/status/metrics")).body:
                await asyncio.sleep(0.01)
            old.kill()
            await old.wait()
            assert await platform.call(second, "PUT", "/maintenance/enter", "s9") is not None
            new.kill()
            await new.wait()
            (tmp_path / BANS).write_text('{"v":3,"out":{"s1":1},"back":{}}')  # written by another version
            _, third = await platform.start()
            assert b'"hosts_down":1' in (await platform.call(third, "GET", "/status/metrics")).body
            assert b"other" not in await answers_of(platform, 2)

    run(main())


def test_if_the_new_process_dies_the_old_one_serves_on(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer(b"done"))).start()
        async with site(tmp_path, stub) as platform:
            await platform.start()
            kept = await platform.open()
            for _ in range(2):
                assert "connection" not in (await kept.ask(READY)).headers
            new, _ = await platform.start()
            while "connection" not in (await kept.ask(READY)).headers:
                pass  # until the old one has seen the new one
            new.kill()
            await new.wait()
            again = await platform.open()
            while "connection" in (await again.ask(READY)).headers:
                again = await platform.open()
            assert (await again.ask(request("check", rid="last"))).body == b"done"

    run(main())


def test_it_serves_without_a_folder_and_reports_a_bad_listener_in_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer(b"done"))).start()
        async with site(tmp_path, stub) as platform:
            _, console = await platform.start(TMPDIR="")
            assert "200" in (await platform.call(console, "PUT", "/maintenance/enter", "s0")).start
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dykeshift.node",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(tmp_path / "config0.json"), "NODE_INHERITED_FD": "77"},
        )
        _, text = await process.communicate()
        assert process.returncode == 2 and text.count(b"\n") == 1 and b"NODE_INHERITED_FD" in text

    run(main())

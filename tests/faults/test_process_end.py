"""Every request accepted by a process is answered before the platform kills it, however late it came."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from dykeshift.engine import termination
from tests.faults.daemon import daemon, free_address
from tests.faults.ending import Ending, exchange, status
from tests.node.messages import Message, answer, read_frame, request
from tests.node.stubs import ClientConnection, Stub, answers_with, run, service, settings, silent, wait_until

CLOCK_ERROR = 2.0  # seconds by which clinics' clocks may be off: the balancer's default
STALL = 0.15  # seconds for which a balancer may be stalled
MLLP = """
[mllp]
listen = ["127.0.0.1:{port}"]
upstreams = "http"
journal = "{journal}"

[[mllp.map]]
trigger = "ORM"
class = "send"
target = "/hl7/send"
deadline_ms = 4000
"""
LATE_OFFSETS = (0.05, 0.3, 0.6, 0.75, 0.85, 0.95, 1.05)  # seconds after SIGTERM


def deadlines(*seconds: float) -> dict[str, Any]:
    """Settings whose classes have these deadlines; the last one is repeated for further classes."""
    kinds = (("check", "pure"), ("set", "token"), ("send", "side_effect"))
    padded = [*seconds, *[seconds[-1]] * len(kinds)]
    return settings(
        services=[
            service(name, kind, deadlineNs=int(padded[n] * 1e9), goalTimeNs=int(padded[n] * 0.8e9))
            for n, (name, kind) in enumerate(kinds)
        ]
    )


@pytest.mark.parametrize("longest", [0.7, 4.0])
def test_late_requests_on_silent_connections_are_answered_before_the_kill(
    longest: float, tmp_path: Path
) -> None:
    """Opened before SIGTERM or right after it, without a request until then; the upstreams never answer."""

    async def main() -> None:
        upstreams = [await Stub(silent).start() for _ in range(2)]
        async with daemon(tmp_path, *upstreams, settings=deadlines(longest)) as balancer:
            ending = balancer.ending(longest)
            before = [await balancer.open() for _ in LATE_OFFSETS]
            ending.terminate()
            after = [await balancer.open() for _ in LATE_OFFSETS]
            planned = [
                (f"{n}", client, LATE_OFFSETS[n % len(LATE_OFFSETS)])
                for n, client in enumerate(before + after)
            ]

            async def ask(rid: str, client: Any, offset: float) -> tuple[str, str]:
                await ending.reach(offset)
                klass = ("check", "set", "send")[int(rid) % 3]
                return rid, status(
                    await exchange(client, request(klass, rid=rid, deadline=int(longest * 1000)))
                )

            answering = asyncio.gather(*(ask(*one) for one in planned))
            killed = await ending.kill()
            answers = dict(await answering)
            forwarded = {message.headers["x-request-id"] for one in upstreams for message in one.seen}
            assert forwarded
            assert not {rid for rid in forwarded if not answers[rid]}
            assert not killed

    run(main())


def hl7_message(control: str) -> bytes:
    """An order of now by a clock ahead by the allowed error: later than the start of any process here."""
    seconds, fraction = divmod(time.time() + CLOCK_ERROR, 1)
    created = time.strftime("%Y%m%d%H%M%S", time.gmtime(seconds)) + f".{int(fraction * 10_000):04d}+0000"
    return f"MSH|^~\\&|CLINIC|DORNOD|LT|CH|{created}||ORM^O01|{control}|P|2.5.1\rPID|1||42\r".encode()


async def ask_at(ending: Ending, client: ClientConnection, offset: float, data: bytes) -> bytes:
    """Send a request at this offset after SIGTERM; returns all that is received on the connection."""
    await ending.reach(offset)
    return await exchange(client, data)


@pytest.mark.parametrize(("longest", "interval"), [(0.2, 0.05), (1.557, 0.17)])
def test_a_process_that_is_stalled_twice_answers_before_the_kill(
    longest: float, interval: float, tmp_path: Path
) -> None:
    """It is stalled for 0.15 s as SIGTERM arrives, and once more just before its last answers."""

    async def main() -> None:
        stub = await Stub(silent).start()
        async with daemon(tmp_path, stub, settings=deadlines(longest)) as balancer:
            ending = balancer.ending(longest)
            clients = [await balancer.open() for _ in range(6)]
            ending.signal(signal.SIGSTOP)
            ending.terminate()
            answering = asyncio.gather(
                *(
                    ask_at(
                        ending, one, interval * n, request("send", rid=f"r{n}", deadline=int(longest * 1000))
                    )
                    for n, one in enumerate(clients)
                )
            )
            await ending.reach(STALL)
            ending.signal(signal.SIGCONT)
            await ending.reach(ending.kill_at - termination.RESERVE / 1e9 + STALL - 0.02)
            ending.signal(signal.SIGSTOP)
            await asyncio.sleep(STALL)
            ending.signal(signal.SIGCONT)
            assert not await ending.kill()
            assert all(status(one) for one in await answering)
            assert await balancer.ended() == 0

    run(main())


@pytest.mark.parametrize("change", [0.25, 4.0])
@pytest.mark.parametrize("before", [True, False])
def test_new_deadlines_around_the_end_do_not_move_it_past_the_kill(
    change: float, before: bool, tmp_path: Path
) -> None:
    """The platform may use either configuration; several signals arrive in a row."""

    async def main() -> None:
        stub = await Stub(silent).start()
        async with daemon(tmp_path, stub, settings=deadlines(0.8)) as balancer:
            ending = balancer.ending(min(0.8, 0.8 * change))
            clients = [await balancer.open() for _ in range(3)]
            path = tmp_path / "config.json"
            given = json.loads(path.read_text())
            path.write_text(json.dumps({**given, "settings": deadlines(0.8 * change)}))
            if before:
                ending.signal(signal.SIGHUP)
                await wait_until(lambda: "the address of discovery is unchanged" in balancer.log())
            ending.terminate()
            for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
                ending.signal(number)
            requests = [
                ask_at(ending, one, offset, request("check", rid=f"r{offset}", deadline=800))
                for one, offset in zip(clients, (0.02, 0.2, 0.75 if change > 1 else 0.35), strict=True)
            ]
            answering = asyncio.gather(*requests)
            assert not await ending.kill()
            assert all(status(one) for one in await answering)

    run(main())


def test_a_forwarded_request_fails_and_one_not_forwarded_is_refused(tmp_path: Path) -> None:
    """An unsafe request that may have been executed is not refused; its upstream gets the remaining time."""

    async def main() -> None:
        stub = await Stub(silent).start()
        async with daemon(tmp_path, stub, settings=deadlines(0.7)) as balancer:
            ending = balancer.ending(0.7)
            sent, late = await balancer.open(), await balancer.open()
            ending.terminate()
            answering = asyncio.gather(
                ask_at(ending, sent, 0.45, request("send", rid="forwarded", deadline=700)),
                ask_at(ending, late, 0.98, request("send", rid="too-late", deadline=700)),
            )
            assert not await ending.kill()
            first, second = await answering
            assert status(first) in ("500", "504") and status(second) in ("503", "")
            sent_ms = {one.headers["x-request-id"]: int(one.headers["x-deadline-ms"]) for one in stub.seen}
            left = 1000 * (ending.kill_at - termination.RESERVE / 1e9 - 0.45)
            assert "too-late" not in sent_ms and sent_ms["forwarded"] <= left + 150

    run(main())


def test_incomplete_bodies_and_pipelined_requests_get_complete_answers(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        async with daemon(tmp_path, stub, settings=deadlines(0.4)) as balancer:
            ending = balancer.ending(0.4)
            half, large, piped = [await balancer.open() for _ in range(3)]
            body = b"x" * 200_000
            ending.terminate()
            answering = asyncio.gather(
                ask_at(ending, half, 0.1, request(rid="half", deadline=400)[:-2]),
                ask_at(ending, large, 0.1, request(rid="large", deadline=400, body=body)[:-50_000]),
                ask_at(
                    ending, piped, 0.1, request(rid="one", deadline=400) + request(rid="two", deadline=400)
                ),
            )
            assert not await ending.kill()
            assert [status(one) for one in await answering] == ["503", status((await answering)[1]), "400"]
            assert status((await answering)[1])
            assert not [one for one in stub.seen if one.headers["x-request-id"] in ("half", "large")]

    run(main())


def test_a_streamed_answer_is_complete_or_visibly_truncated(tmp_path: Path) -> None:
    """It may take until the kill, and the process ends by itself."""

    async def slowly(_: Stub, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        pieces = 4 if message.headers["x-request-id"] == "short" else 1000
        for _piece in range(pieces):
            writer.write(b"1000\r\n" + b"." * 4096 + b"\r\n")
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")

    async def main() -> None:
        stub = await Stub(slowly).start()
        async with daemon(tmp_path, stub, settings=deadlines(0.5)) as balancer:
            ending = balancer.ending(0.5)
            short, endless = await balancer.open(), await balancer.open()
            ending.terminate()
            answering = asyncio.gather(
                ask_at(ending, short, 0.3, request(rid="short", deadline=500)),
                ask_at(ending, endless, 0.3, request(rid="endless", deadline=500)),
            )
            await ending.kill()
            complete, truncated = await answering
            assert complete.endswith(b"0\r\n\r\n") and complete.count(b"." * 4096) == 4
            assert truncated.startswith(b"HTTP/1.1 200") and not truncated.endswith(b"0\r\n\r\n")

    run(main())


def test_repeated_signals_while_a_second_process_starts_leave_nothing_unanswered(tmp_path: Path) -> None:
    """Told to end while it waits for its first list beside another process, it stops waiting for that."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            async with daemon(tmp_path, stub, inherited=listener, settings=deadlines(0.2)) as first:
                second = first.beside(listener)
                try:
                    await wait_until(lambda: second.caught(signal.SIGTERM))
                    ending = second.ending(0.2)
                    ending.terminate()
                    ending.signal(signal.SIGTERM)
                    assert not await ending.kill()
                    assert (await first.ask(request(rid="r1"))).body == b"done"
                    first.process.terminate()
                    assert await first.ended() == 0
                finally:
                    second.process.kill()
                    second.process.wait()

    run(main())


def test_a_frame_taken_before_the_end_is_acknowledged_before_the_kill(tmp_path: Path) -> None:
    """Over MLLP, with a deadline beyond the process's end and an upstream that never answers."""

    async def main() -> None:
        stub = await Stub(silent).start()
        address = free_address()
        (tmp_path / "journal").mkdir()
        features = tmp_path / "features.toml"
        features.write_text(MLLP.format(port=address[1], journal=tmp_path / "journal"))
        async with daemon(
            tmp_path,
            stub,
            environment={"LIFTTRAIL_FEATURES": str(features)},
            settings=deadlines(4.0),
        ) as balancer:
            ending = balancer.ending(4.0)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"\x0b" + hl7_message("control-1") + b"\x1c\r")
            await wait_until(lambda: bool(stub.seen))
            ending.terminate()
            acknowledged = asyncio.create_task(read_frame(reader))
            assert not await ending.kill()
            assert b"MSA|AE|control-1" in (await acknowledged).body
            assert await balancer.ended() == 0

    run(main())

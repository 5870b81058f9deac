"""The console on sockets: unusual callers, metrics that match the traffic, bans that reach the pool."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from dykeshift.engine.discovery import instance_number
from dykeshift.engine.upstream import SendTerms
from tests.node.messages import Message, answer, instance, listing, read_message, request
from tests.node.stubs import Node, Stub, answers_with, node, resets, run, silent, wait_until


@asynccontextmanager
async def with_console(*stubs: Stub) -> AsyncIterator[tuple[Node, Any]]:
    async with node(*stubs, console="127.0.0.1:0") as balancer:
        address = balancer.services[-1].server.address

        async def call(*pieces: bytes) -> Message:
            reader, writer = await asyncio.open_connection(*address)
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
            got = await read_message(reader)
            assert await reader.read() == b"" and got.headers["connection"] == "close"
            writer.close()
            return got

        yield balancer, call


def put(path: str, name: str) -> bytes:
    body = json.dumps({"name": name}).encode()
    return f"PUT /{path} HTTP/1.1\r\nHost: b\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


METRICS = b"GET /status/metrics HTTP/1.1\r\nHost: b\r\n\r\n"


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ((b"GET /status HTTP/1.1\r\nHost: b\r\n\r\n",), 200),
        ((b"GET /status HTTP/1.0\r\n\r\n",), 200),
        (tuple(bytes([byte]) for byte in put("maintenance/enter", "s0")), 200),
        (
            (
                b"PUT /maintenance/enter HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n",
                b'6\r\n{"name\r\n',
                b'7;x=y\r\n":"s0"}\r\n0\r\n\r\n',
            ),
            200,
        ),
        ((b"PUT /standby HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\nnoise",), 200),
        # Guards against a call that is answered by the method of a second call behind it.
        (
            (b"GET /status HTTP/1.1\r\nHost: b\r\n\r\nPUT /status HTTP/1.1\r\nContent-Length: 1\r\n\r\nx",),
            200,
        ),
        ((b"NONSENSE\r\n\r\n",), 400),
        ((b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",), 400),
        ((b"PUT /standby HTTP/1.1\r\nHost: b\r\nContent-Length: 20000\r\n\r\n",), 413),
        ((b"GET /status HTTP/1.1\r\nX: " + b"x" * 20_000,), 431),
        ((b"GET /status HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",), 400),
    ],
)
def test_each_request_gets_one_answer_and_the_connection_closes(
    pieces: tuple[bytes, ...], status: int
) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with with_console(stub) as (_, call):
            assert (await call(*pieces)).start.split()[1] == str(status)

    run(main())


def test_a_call_that_expects_100_continue_gets_it_first() -> None:
    async def main() -> None:
        async with with_console() as (balancer, _):
            reader, writer = await asyncio.open_connection(*balancer.services[-1].server.address)
            writer.write(b"PUT /standby HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
            assert "100" in (await read_message(reader)).start
            writer.write(b"x")
            assert "200" in (await read_message(reader)).start
            writer.close()

    run(main())


def test_silent_callers_are_dropped_oldest_first_and_do_not_block_active_ones() -> None:
    async def main() -> None:
        async with with_console() as (balancer, call):
            address = balancer.services[-1].server.address
            slow_reader, slow = await asyncio.open_connection(*address)
            slow.write(b"GET /sta")  # has sent something: not a silent caller
            await wait_until(lambda: any(c.fed for c in balancer.services[-1].callers))
            silent_ones = [await asyncio.open_connection(*address) for _ in range(50)]
            assert "200" in (await call(b"GET /status HTTP/1.1\r\nHost: b\r\n\r\n")).start
            assert len(balancer.services[-1].callers) <= balancer.given.operator_connections
            slow.write(b"tus HTTP/1.1\r\nHost: b\r\n\r\n")
            assert "200" in (await read_message(slow_reader)).start
            for _, writer in [*silent_ones, (slow_reader, slow)]:
                writer.close()

    run(main())


def test_metrics_match_what_upstreams_and_clients_saw() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with with_console(stub) as (balancer, call):
            for n in range(5):
                assert "200" in (await balancer.ask(request("send", rid=f"a{n}"))).start
            stub.handler = resets
            assert "500" in (await balancer.ask(request("send", rid="b"))).start
            stub.handler = silent
            caller = await balancer.open()
            caller.writer.write(request("send", rid="c"))
            await wait_until(lambda: len(stub.seen) == 7)
            balancer.registry.put(listing(2, False, instance("s1", ("127.0.0.1", 9), "leaving")))
            await wait_until(lambda: len(balancer.front.driver.pool.upstreams) == 2)
            figures = json.loads((await call(METRICS)).body)
            assert figures["calls"]["send"] == {"success": 5, "busy": 0, "failure": 1}
            assert figures["backend_calls"] == len(stub.seen) == 7
            assert figures["inflight"] == 1
            assert figures["hosts_listed"] == 2 and figures["hosts_down"] >= 1
            balancer.front.driver.client_gone("c")
            figures = json.loads((await call(METRICS)).body)
            assert figures["inflight"] == 0 and figures["calls"]["send"]["failure"] == 1
            caller.writer.close()

    run(main())


def test_a_ban_closes_idle_connections_and_cancels_attempts_waiting_for_one() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with with_console(stub) as (balancer, call):
            await balancer.ask(request("check", rid="warm"))
            assert "404" in (await call(put("maintenance/enter", "s7"))).start
            assert "200" in (await call(put("maintenance/enter", "s0"))).start
            await wait_until(lambda: stub.lost == 1)
            got = await balancer.ask(request("send", rid="r"))
            assert "503" in got.start and float(got.headers["retry-after"]) > 0 and len(stub.seen) == 1
            pool = balancer.front.driver.pool
            ends = list[Any]()
            pool.start(instance_number("s0"), lambda _: b"", ends.append, SendTerms(1 << 62))
            await wait_until(lambda: bool(ends))
            assert ends[0].outcome.name == "NOT_SENT"
            assert "200" in (await call(put("maintenance/exit", "s0"))).start
            for n in range(200):  # it is cold, and chance decides when its credit allows the first
                if "200" in (await balancer.ask(request("send", rid=f"again{n}"))).start:
                    break
            assert len(stub.seen) == 2

    run(main())

"""Long and slow bodies through the whole balancer: whole ones whole, cut ones seen cut, none sent twice."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import connection, server
from dykeshift.engine.budget import Budget
from tests.node.messages import Message, answer, read_message, request
from tests.node.stubs import Caller, Node, Stub, node, run, says, service, settings, until

BODY = bytes(range(256)) * 4096  # 1 MiB
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    pieces = [body[n : n + size] for n in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in pieces)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """A body in chunks, from behind its head on."""
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


async def read_any(reader: asyncio.StreamReader) -> Message:
    """By its length, its chunks, or the end of its connection."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
    if headers.get("transfer-encoding") == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return Message(lines[0], headers, body)


@pytest.mark.parametrize(
    "sent",
    [
        answer(BODY),
        CHUNKED + chunks(BODY, 1000) + b"0\r\n\r\n",
        CHUNKED + chunks(BODY, 70_000, b";name=value") + b"0\r\nX-Trailer: x\r\n\r\n",
        CHUNKED + chunks(BODY[:40_000], 1) + b"0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\n\r\nshort",
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer(BODY),
    ],
)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_answer_of_any_framing_comes_whole(sent: bytes, version: str) -> None:
    async def main() -> None:
        stub = await Stub(says(sent, close=b"Content-Length" not in sent and b"chunked" not in sent)).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check").replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
            got = await read_any(caller.reader)
            assert "200" in got.start and got.body == (
                BODY[:40_000] if b"1\r\n\x00" in sent[:80] else b"short" if b"short" in sent else BODY
            )
            assert version == "1.1" or "transfer-encoding" not in got.headers
            assert not balancer.front.driver.jobs

    run(main())


def test_a_short_answer_without_a_length_is_no_long_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes with a length of its own, and on a connection that is kept."""

    async def main() -> None:
        stub = await Stub(says(CHUNKED + chunks(b"x" * 9000, 100) + b"0\r\n\r\n")).start()
        async with node(stub) as balancer:
            got = await balancer.ask(request("check"))
            assert got.body == b"x" * 9000 and "transfer-encoding" not in got.headers

    run(main())


def test_a_long_answer_is_passed_on_while_it_comes_and_waits_for_its_reader() -> None:
    async def main() -> None:
        written, go_on = 0, asyncio.Event()

        async def slowly(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst" % (40 * len(BODY)))
            await go_on.wait()
            writer.write(BODY[5:])
            for _n in range(39):
                writer.write(BODY)
                await writer.drain()
                written += 1

        stub = await Stub(slowly).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.transport.set_write_buffer_limits(0)
            caller.writer.write(request("check"))
            head = await caller.reader.readuntil(b"first")
            assert b"200 OK" in head and not go_on.is_set()
            go_on.set()
            [client] = [c for c in balancer.front.clients if c.rest is not None]
            await until(client.unread_answer)
            assert written < 39  # the rest waits at the upstream, not here
            body = b"first" + await caller.reader.readexactly(40 * len(BODY) - 5)
            assert body == b"first" + BODY[5:] + 39 * BODY
            await until(lambda: not balancer.front.driver.jobs)
            assert balancer.front.driver.ledger.tier("check").success == 1

    run(main())


@pytest.mark.parametrize("framing", [b"Content-Length: 2000000", b"Transfer-Encoding: chunked", b"X: none"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_cut_answer_never_ends_tidily(framing: bytes, version: bytes) -> None:
    async def main() -> None:
        async def cut(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            begun = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n"
            writer.write(begun + (chunks(BODY, 4096) if b"chunked" in framing else BODY))
            await writer.drain()
            await asyncio.wait_for(seen.wait(), 20)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        seen = asyncio.Event()
        stub = await Stub(cut).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check").replace(b"HTTP/1.1", b"HTTP/" + version))
            head = await caller.reader.readuntil(b"\r\n\r\n")
            told, tidy, rest = b"Content-Length" in head or b"chunked" in head, True, b""
            seen.set()
            try:
                rest = await caller.reader.read()
            except ConnectionError:
                tidy = False
            if told:
                assert len(rest) < 2_000_000 and not rest.endswith(b"0\r\n\r\n")
            elif version == b"1.0" and b"chunked" in framing:
                assert not tidy  # a reset is all that tells
            await until(lambda: not balancer.front.driver.jobs)

    run(main())


def test_a_client_that_leaves_a_long_answer_gives_its_upstream_up() -> None:
    async def main() -> None:
        async def endless(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n")
            with suppress(ConnectionError):
                while True:
                    writer.write(BODY)
                    await writer.drain()

        stub = await Stub(endless).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check"))
            await caller.reader.readuntil(b"\r\n\r\n")
            caller.writer.transport.abort()
            await until(lambda: not balancer.front.driver.jobs and not balancer.front.clients)
            assert balancer.front.driver.ledger.inflight == 0 and balancer.front.driver.pool.open == 0

    run(main())


def test_a_long_answer_calls_its_rival_off_and_no_deadline_cuts_it() -> None:
    async def main() -> None:
        async def first_byte(stub: Stub, _: Message, writer: asyncio.StreamWriter) -> None:
            if len(stubs[0].seen) + len(stubs[1].seen) == 1:
                return  # the first of the two is silent
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY[:9])
            await until(lambda: sum(s.lost for s in stubs) == 1)
            await expired.wait()
            writer.write(BODY[9:])

        expired = asyncio.Event()
        stubs = [await Stub(first_byte).start() for _ in range(2)]
        async with node(*stubs) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check", deadline=1000))
            head = await caller.reader.readuntil(BODY[:9])
            assert b"200 OK" in head
            [job] = balancer.front.driver.jobs.values()
            balancer.front.driver._expire(job)  # its time is over
            expired.set()
            assert await caller.reader.readexactly(len(BODY) - 9) == BODY[9:]

    run(main())


# ---- long requests ----


def test_a_long_answer_that_has_begun_is_not_cut_at_its_aim() -> None:
    """Where nothing is earned after the aim an attempt is called off then: its rest was still coming."""

    async def main() -> None:
        given = settings(services=[service("send", "side_effect", goalTimeNs=150_000_000, lateShare=0.0)])
        over = asyncio.Event()

        async def slowly(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            whole = answer(BODY)
            writer.write(whole[:200_000])
            await over.wait()
            writer.write(whole[200_000:])

        async with node(await Stub(slowly).start(), settings=given) as balancer:
            loop = asyncio.get_running_loop()
            caller = await balancer.open()
            caller.writer.write(request())
            start = await caller.reader.readexactly(1000)
            (job,) = balancer.front.driver.jobs.values()
            aim = job.sent[0] / 1e9 + 0.15
            loop.call_at(aim + 0.05, over.set)  # behind the timer of the aim, on the same clock
            rest = await caller.reader.readuntil(BODY[-256:])
            while len(start) + len(rest) < len(BODY):
                rest += await caller.reader.readuntil(BODY[-256:])
            assert (start + rest).partition(b"\r\n\r\n")[2] == BODY
            assert balancer.front.driver.ledger.tiers["send"].success == 1

    run(main())


def long_request(body: bytes, chunked: bool, klass: str = "send", rid: str = "r1") -> bytes:
    if not chunked:
        return request(klass, rid=rid, body=body)
    head = request(klass, rid=rid, body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + chunks(body, 50_000) + b"0\r\n\r\n"


class Reads:
    """An upstream that reads bodies of any framing, and answers as told."""

    def __init__(self, act: Callable[[Message, asyncio.StreamWriter], None]) -> None:
        self.act, self.seen, self.heads = act, list[Message](), 0
        self.address: Any = None
        self.line = b""

    async def start(self) -> Reads:
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = listener.sockets[0].getsockname()
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self.heard(reader)
                self.seen.append(await self.read(reader))
                self.act(self.seen[-1], writer)
        writer.close()

    async def heard(self, reader: asyncio.StreamReader) -> None:
        self.line = await reader.readuntil(b"\r\n")
        self.heads += 1

    async def read(self, reader: asyncio.StreamReader) -> Message:
        return await (read_message if self.line.startswith(b"GET") else read_any)(reader)


def serve(_: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"done"))


async def sent_in_halves(balancer: Node, whole: bytes, between: Callable[[], bool]) -> Caller:
    caller = await balancer.open()
    caller.writer.write(whole[: len(whole) // 2])
    await until(between)
    caller.writer.write(whole[len(whole) // 2 :])
    return caller


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_request_is_kept_until_it_is_whole_and_can_be_tried_again(chunked: bool) -> None:
    async def main() -> None:
        def refuse_once(message: Message, writer: asyncio.StreamWriter) -> None:
            first = len(stubs[0].seen) + len(stubs[1].seen) == 1
            writer.write(answer(b"", "503 Full", X_Not_Run="1") if first else answer(b"done"))

        stubs = [await Reads(refuse_once).start() for _ in range(2)]
        async with node(*stubs) as balancer:  # type: ignore[arg-type]
            caller = await sent_in_halves(
                balancer, long_request(BODY, chunked), lambda: balancer.front.budget.total > 400_000
            )
            assert stubs[0].heads == stubs[1].heads == 0  # nobody chooses before its last byte has come
            assert (await read_message(caller.reader)).body == b"done"
            assert [m.body == BODY for s in stubs for m in s.seen] == [True, True]
            assert balancer.front.budget.total == 0

    run(main())


@pytest.mark.parametrize("chunked", [False, True])
def test_over_the_budget_it_goes_out_early_and_comes_whole(chunked: bool) -> None:
    async def main() -> None:
        stub = await Reads(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await sent_in_halves(balancer, long_request(BODY, chunked), lambda: stub.heads == 1)
            assert (await read_message(caller.reader)).body == b"done"
            assert [m.body == BODY for m in stub.seen] == [True] and balancer.front.budget.total == 0
            got = await caller.ask(request("check", rid="r2"))
            assert got.body == b"done"  # its connection goes on

    run(main())


def test_what_went_out_early_and_broke_is_refused_and_not_sent_again() -> None:
    async def main() -> None:
        class Breaks(Reads):
            async def read(self, reader: asyncio.StreamReader) -> Message:
                await reader.readuntil(b"\r\n\r\n")
                raise ConnectionError

        stubs = [await Breaks(serve).start() for _ in range(3)]
        async with node(*stubs) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await balancer.open()
            whole = long_request(BODY, False)
            caller.writer.write(whole[: len(whole) // 2])
            got = await read_message(caller.reader)
            assert "503" in got.start and got.headers["connection"] == "close"  # it can't have run
            assert sum(s.heads for s in stubs) == 1 and balancer.front.budget.total == 0

    run(main())


def test_what_went_out_early_and_whole_and_broke_has_failed() -> None:
    async def main() -> None:
        stubs = [await Reads(lambda _, writer: writer.transport.abort()).start() for _ in range(3)]
        async with node(*stubs) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await sent_in_halves(
                balancer, long_request(BODY, False, "set"), lambda: sum(s.heads for s in stubs) == 1
            )
            got = await read_message(caller.reader)
            assert "500" in got.start and sum(len(s.seen) for s in stubs) == 1

    run(main())


def test_a_requests_time_counts_from_its_last_byte_also_when_it_went_out_early() -> None:
    async def main() -> None:
        stub = await Reads(lambda _, __: None).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            jobs = balancer.front.driver.jobs
            caller = await sent_in_halves(balancer, long_request(BODY, False), lambda: bool(jobs))
            await until(lambda: len(stub.seen) == 1)
            [job] = jobs.values()
            now = balancer.front.clock.monotonic_ns()
            assert 0 < job.deadline - now <= 4_000_000_000
            caller.writer.close()

    run(main())


def test_slow_is_who_makes_no_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    """A head has FIRST, a body so much for so many bytes."""
    monkeypatch.setattr(server, "FIRST", 0.15)
    monkeypatch.setattr(server, "SLOW", 0.15)

    async def main() -> None:
        stub = await Stub(says(answer(b"done"))).start()
        async with node(stub) as balancer:
            brisk, idle = await balancer.open(), await balancer.open()
            idle.writer.write(request(body=b"x" * 1000)[:-500])
            body = b"x" * 60_000
            whole = request("send", rid="brisk", body=body)
            brisk.writer.write(whole[:-30_000])
            assert "408" in (await read_message(idle.reader)).start  # SLOW, and a little for its 500 bytes
            brisk.writer.write(whole[-30_000:])  # is let have a second for its 30,000
            assert (await read_message(brisk.reader)).body == b"done"

    run(main())


def test_an_answer_is_committed_to_by_what_has_come_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "HOLDBACK", 1000.0)

    async def main() -> None:
        more = asyncio.Event()

        async def handle(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED + chunks(b"x" * connection.PLENTY, 4096))
            await more.wait()
            writer.write(b"0\r\n\r\n")

        stub = await Stub(handle).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check"))
            assert b"chunked" in await caller.reader.readuntil(b"\r\n\r\n")  # though it is not whole
            more.set()

    run(main())


HOLDERS = st.lists(st.tuples(st.integers(0, 4), st.integers(0, 500)), max_size=60)


@given(HOLDERS)
def test_the_budget_adds_up_and_names_the_largest_that_can_move(steps: list[tuple[int, int]]) -> None:
    budget, held = Budget[int](1000), dict[int, int]()
    for holder, size in steps:
        budget.keep(holder, size)
        held[holder] = size
        assert budget.total == sum(held.values()) and budget.over == (budget.total > 1000)
        able = {h: s for h, s in held.items() if s and h != 3}
        found = budget.largest(lambda h: h != 3)
        assert (found is None) == (not able)
        assert found is None or held[found] == max(able.values())

"""Long and slow bodies: passed on completely, truncation is visible to the client, none is sent twice."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import connection, progress, server
from dykeshift.engine.budget import Budget
from dykeshift.engine.invariants import CloseReason
from tests.node.messages import Message, answer, read_message, request
from tests.node.stubs import (
    ClientConnection,
    Handler,
    Node,
    Stub,
    answers_with,
    node,
    run,
    service,
    settings,
    wait_until,
)

BODY = bytes(range(256)) * 4096  # 1 MiB
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    pieces = [body[n : n + size] for n in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in pieces)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body, after its head."""
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


async def read_any(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length, in chunks, or up to the end of its connection."""
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
def test_an_answer_of_any_framing_is_passed_on_completely(sent: bytes, version: str) -> None:
    async def main() -> None:
        stub = await Stub(
            answers_with(sent, close=b"Content-Length" not in sent and b"chunked" not in sent)
        ).start()
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


def test_a_short_answer_without_a_length_is_not_streamed(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is buffered, so that it gets a length and its connection stays open."""

    async def main() -> None:
        stub = await Stub(answers_with(CHUNKED + chunks(b"x" * 9000, 100) + b"0\r\n\r\n")).start()
        async with node(stub) as balancer:
            got = await balancer.ask(request("check"))
            assert got.body == b"x" * 9000 and "transfer-encoding" not in got.headers

    run(main())


def test_a_long_answer_is_streamed_with_back_pressure_from_the_client() -> None:
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
            [client] = [c for c in balancer.front.clients if c.streamed_answer is not None]
            await wait_until(client.has_unsent_output)
            assert written < 39  # the rest waits at the upstream and is not buffered here
            body = b"first" + await caller.reader.readexactly(40 * len(BODY) - 5)
            assert body == b"first" + BODY[5:] + 39 * BODY
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert balancer.front.driver.ledger.counts_of("check").success == 1

    run(main())


class ManualSweep:
    """Checks a balancer's only connection for timeouts at times that a test chooses."""

    def __init__(self, balancer: Node) -> None:
        balancer.front.sweeper.cancel()
        self.front = balancer.front
        [self.client] = balancer.front.clients
        self.now = self.client.connected_at

    def is_open_after(self, seconds: float) -> bool:
        """Check so much later than at the last check; whether the connection is still open."""
        self.now += seconds
        self.client.check_timeouts(self.now)
        return self.client in self.front.clients


def in_pieces(first: bytes, following: list[bytes], chunked: bool, go_on: asyncio.Semaphore) -> Handler:
    """A handler that answers with a body in pieces; each but the first waits for `go_on`."""

    async def handle(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
        length = len(first) + sum(map(len, following))
        writer.write(CHUNKED if chunked else b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        writer.write(chunks(first, len(first)) if chunked else first)
        for piece in following:
            await go_on.acquire()
            writer.write(chunks(piece, len(piece)) if chunked else piece)
        writer.write(b"0\r\n\r\n" if chunked else b"")

    return handle


CHUNK_FRAMING = re.compile(rb"\r\n[0-9a-f]+\r\n")


async def read_up_to(reader: asyncio.StreamReader, end: bytes) -> None:
    """Read until `end` has come, over any amount of bytes and in however many chunks."""
    got = b""
    while end not in got and end not in CHUNK_FRAMING.sub(b"", got):
        piece = await reader.read(1 << 16)
        assert piece, "the answer has ended"
        got += piece


FIRST_PIECE = b"x" * 70_000  # so long that the answer is streamed
PIECES = [b"%06d" % number for number in range(30)]


LAST_PIECE = b"y" * 5000
# By framing: head, first piece and last piece with the end mark.
LONG_ANSWERS = {
    "length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(FIRST_PIECE + LAST_PIECE),
        FIRST_PIECE,
        LAST_PIECE,
    ),
    "chunks": (CHUNKED, chunks(FIRST_PIECE, 7000), chunks(LAST_PIECE, 1000) + b"0\r\n\r\n"),
}


# Guards against a long answer whose last piece is replaced or dropped, and which still looks complete.
@pytest.mark.parametrize("behind", ["copy", "beginning of a copy", "noise", "short answer", "chunked answer"])
@pytest.mark.parametrize("framing", list(LONG_ANSWERS))
def test_what_follows_a_long_answer_does_not_change_its_end(framing: str, behind: str) -> None:
    async def main() -> None:
        head, first, last = LONG_ANSWERS[framing]
        copy = head + first + last
        extra = {
            "copy": copy,
            "beginning of a copy": copy[:20_000],
            "noise": b"\x00noise",
            "short answer": answer(b"z" * 3000),
            "chunked answer": CHUNKED + chunks(b"z" * 3000, 100) + b"0\r\n\r\n",
        }[behind]
        go_on = asyncio.Event()

        async def handle(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(head + first)
            await go_on.wait()
            writer.write(last + extra)

        stub = await Stub(handle).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            for _ in range(2):
                go_on.clear()
                caller.writer.write(request("check"))
                await wait_until(balancer.front.is_streaming)
                go_on.set()
                got = await read_any(caller.reader)
                assert got.body == FIRST_PIECE + LAST_PIECE
            assert len(stub.writers) == 2  # the connection with unexpected bytes is not used again
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert balancer.front.driver.ledger.counts_of("check").success == 2

    run(main())


# Guards against a request whose answer is not read: the end of the answer before it on its connection had
# filled its client's buffer, and reading stayed paused.
def test_a_connection_is_read_again_after_an_answer_whose_end_filled_the_buffer_of_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "MAX_UNSENT_PIECES", 1 << 20)

    async def main() -> None:
        go_on = asyncio.Event()

        async def handle(stub: Stub, _: Message, writer: asyncio.StreamWriter) -> None:
            if len(stub.seen) > 1:
                writer.write(answer(b"next"))
                return
            head, first, last = LONG_ANSWERS["length"]
            writer.write(head + first)
            await go_on.wait()
            writer.write(last)

        stub = await Stub(handle).start()
        async with node(stub) as balancer:
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                slow.connect(balancer.address)
                await wait_until(lambda: bool(balancer.front.clients))
                (client,) = balancer.front.clients
                assert client.transport is not None
                sending = client.transport.get_extra_info("socket")
                sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                slow.sendall(request("check"))
                await wait_until(lambda: client.progress.written > len(FIRST_PIECE))  # in several pieces
                assert client.has_unsent_output()
                client.transport.set_write_buffer_limits(high=client.transport.get_write_buffer_size() + 1)
                go_on.set()
                await wait_until(client.is_receiving_body)  # the answer has ended
                assert client.has_unsent_output()
                pool = balancer.front.driver.pool
                assert [len(upstream.idle) for upstream in pool.upstreams.values()] == [1]
                assert (await balancer.ask(request("check", rid="next"))).body == b"next"
                assert len(stub.writers) == 1

    run(main())


# Guards against a streamed answer that is cut off as soon as its client's connection is ten seconds old.
@pytest.mark.parametrize("chunked", [False, True])
def test_an_answer_that_keeps_coming_is_not_cut_off_however_old_its_connection_is(chunked: bool) -> None:
    async def main() -> None:
        go_on = asyncio.Semaphore(0)
        stub = await Stub(in_pieces(FIRST_PIECE, PIECES, chunked, go_on)).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check"))
            await read_up_to(caller.reader, FIRST_PIECE)
            sweep = ManualSweep(balancer)
            assert sweep.is_open_after(6 * progress.STALL_TIMEOUT)
            for piece in PIECES[:-1]:
                go_on.release()
                await read_up_to(caller.reader, piece)
                assert sweep.is_open_after(0.9 * progress.STALL_TIMEOUT)
            go_on.release()
            await read_up_to(caller.reader, PIECES[-1])
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert balancer.front.driver.ledger.counts_of("check").success == 1

    run(main())


def test_an_answer_that_stops_coming_is_cut_off_after_the_stall_timeout(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        go_on = asyncio.Semaphore(1)
        stub = await Stub(in_pieces(FIRST_PIECE, PIECES, True, go_on)).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check"))
            await read_up_to(caller.reader, PIECES[0])
            sweep = ManualSweep(balancer)
            assert sweep.is_open_after(1.0) and sweep.is_open_after(0.9 * progress.STALL_TIMEOUT)
            assert not sweep.is_open_after(0.2 * progress.STALL_TIMEOUT)
            [record] = [one for one in caplog.records if getattr(one, "event", "") == "transfer.stalled"]
            fields = record.__dict__["fields"]
            assert fields["request"] == "r1" and fields["silent_s"] > progress.STALL_TIMEOUT
            assert b"0\r\n\r\n" not in await caller.reader.read()
            assert balancer.front.driver.ledger.occurrences.closed[CloseReason.STALLED] == 1
            await wait_until(lambda: not balancer.front.driver.jobs)

    run(main())


# Guards against the same of a request whose body is forwarded while it is received; one that has stopped is
# owed an error within three seconds.
def test_an_upload_is_rejected_when_it_stops_and_not_while_it_keeps_coming() -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await balancer.open()
            whole = request("send", body=BODY)
            caller.writer.write(whole[: len(whole) // 2])
            await wait_until(lambda: stub.heads == 1)
            sweep = ManualSweep(balancer)
            await wait_until(lambda: not sweep.client.reading_paused and not sweep.client.has_input())
            sweep.now = balancer.front.loop.time()
            piece = int(server.MIN_BODY_RATE * server.SILENCE_TIMEOUT)
            for position in range(len(whole) // 2, len(whole) // 2 + 5 * piece, piece):
                end = sweep.client.progress.received + piece
                caller.writer.write(whole[position : position + piece])
                await wait_until(lambda: sweep.client.progress.received >= end)  # noqa: B023
                assert sweep.is_open_after(0.0) and not sweep.client.closing
                assert sweep.is_open_after(0.9 * server.SILENCE_TIMEOUT) and not sweep.client.closing
            sweep.is_open_after(0.2 * server.SILENCE_TIMEOUT)
            assert "408" in (await read_message(caller.reader)).start
            assert balancer.front.driver.ledger.occurrences.closed[CloseReason.REJECTED] == 1
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert not stub.seen


# Guards against a client that holds a connection for a minute with half of a body that never goes on.
def test_a_buffered_request_that_has_stopped_is_rejected_within_three_seconds() -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            caller = await balancer.open()
            whole = request("send", body=BODY)
            caller.writer.write(whole[: len(whole) // 2])
            await wait_until(lambda: bool(balancer.front.clients))
            (client,) = balancer.front.clients
            await wait_until(lambda: client.progress.received == len(whole) // 2)
            sweep = ManualSweep(balancer)
            sweep.now = balancer.front.loop.time()
            assert sweep.is_open_after(0.0)
            assert sweep.is_open_after(2.5) and not client.closing
            sweep.is_open_after(0.4)
            assert "408" in (await read_message(caller.reader)).start and not stub.heads

    run(main())


# Guards against a request that trickles in below the least rate and holds an upstream's connection for ever.
def test_an_upload_that_trickles_is_rejected() -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await balancer.open()
            whole = request("send", body=BODY)
            caller.writer.write(whole[:200_000])
            await wait_until(lambda: stub.heads == 1)
            sweep = ManualSweep(balancer)
            sweep.now = balancer.front.loop.time()
            seconds = server.REQUEST_TIMEOUT + 200_100 / server.MIN_BODY_RATE
            for position in range(200_000, 200_000 + int(seconds)):
                received = sweep.client.progress.received
                caller.writer.write(whole[position : position + 1])
                await wait_until(lambda: sweep.client.progress.received > received)  # noqa: B023
                assert sweep.is_open_after(1.0 if position > 200_000 else 0.0) and not sweep.client.closing
            sweep.is_open_after(2.0)
            assert "408" in (await read_message(caller.reader)).start
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert not stub.seen

    run(main())


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.booleans(), st.floats(0.1, 12.0)), max_size=30
    )
)
def test_a_transfer_is_stalled_when_no_byte_has_passed_for_the_timeout(
    steps: list[tuple[int, int, bool, float]],
) -> None:
    """Output that the kernel does not take is no progress, and neither is more output behind it."""
    transfer, now, last, unsent = progress.TransferProgress(0.0), 0.0, 0.0, 0
    for received, written, accepted, seconds in steps:
        now += seconds
        transfer.received += received
        transfer.written += written
        unsent += written
        if accepted:
            unsent, moved = 0, received + unsent
        else:
            moved = received
        last = now if moved else last
        assert transfer.look(unsent, now) is (now - last > progress.STALL_TIMEOUT)


@pytest.mark.parametrize("framing", [b"Content-Length: 2000000", b"Transfer-Encoding: chunked", b"X: none"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_truncated_answer_never_looks_complete(framing: bytes, version: bytes) -> None:
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
            end_marked, closed_cleanly, rest = b"Content-Length" in head or b"chunked" in head, True, b""
            seen.set()
            try:
                rest = await caller.reader.read()
            except ConnectionError:
                closed_cleanly = False
            if end_marked:
                assert len(rest) < 2_000_000 and not rest.endswith(b"0\r\n\r\n")
            elif version == b"1.0" and b"chunked" in framing:
                assert not closed_cleanly  # only a reset shows the truncation
            await wait_until(lambda: not balancer.front.driver.jobs)

    run(main())


def test_a_client_that_disconnects_during_a_long_answer_closes_the_upstream_connection() -> None:
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
            await wait_until(lambda: not balancer.front.driver.jobs and not balancer.front.clients)
            assert balancer.front.driver.ledger.inflight == 0 and balancer.front.driver.pool.open == 0

    run(main())


def test_a_long_answer_cancels_the_other_attempt_and_is_not_cut_by_the_deadline() -> None:
    async def main() -> None:
        async def first_byte(stub: Stub, _: Message, writer: asyncio.StreamWriter) -> None:
            if len(stubs[0].seen) + len(stubs[1].seen) == 1:
                return  # the first attempt gets no answer
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY[:9])
            await wait_until(lambda: sum(s.lost for s in stubs) == 1)
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
            balancer.front.driver._expire(job)  # its deadline passes
            expired.set()
            assert await caller.reader.readexactly(len(BODY) - 9) == BODY[9:]

    run(main())


# ---- long requests ----


def test_a_long_answer_that_has_begun_is_not_cut_at_the_aim() -> None:
    """With a late share of 0, attempts are cancelled at the aim, which also cut answers being streamed."""

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
            loop.call_at(aim + 0.05, over.set)  # after the timer of the aim, on the same clock
            rest = await caller.reader.readuntil(BODY[-256:])
            while len(start) + len(rest) < len(BODY):
                rest += await caller.reader.readuntil(BODY[-256:])
            assert (start + rest).partition(b"\r\n\r\n")[2] == BODY
            assert balancer.front.driver.ledger.class_counts["send"].success == 1

    run(main())


def long_request(body: bytes, chunked: bool, klass: str = "send", rid: str = "r1") -> bytes:
    if not chunked:
        return request(klass, rid=rid, body=body)
    head = request(klass, rid=rid, body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + chunks(body, 50_000) + b"0\r\n\r\n"


class BodyReader:
    """An upstream that reads bodies of any framing and calls `act` for each request."""

    def __init__(self, act: Callable[[Message, asyncio.StreamWriter], None]) -> None:
        self.act, self.seen, self.heads = act, list[Message](), 0
        self.address: Any = None
        self.line = b""

    async def start(self) -> BodyReader:
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = listener.sockets[0].getsockname()
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self.read_start(reader)
                self.seen.append(await self.read(reader))
                self.act(self.seen[-1], writer)
        writer.close()

    async def read_start(self, reader: asyncio.StreamReader) -> None:
        self.line = await reader.readuntil(b"\r\n")
        self.heads += 1

    async def read(self, reader: asyncio.StreamReader) -> Message:
        return await (read_message if self.line.startswith(b"GET") else read_any)(reader)


def serve(_: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"done"))


async def send_in_halves(balancer: Node, whole: bytes, between: Callable[[], bool]) -> ClientConnection:
    caller = await balancer.open()
    caller.writer.write(whole[: len(whole) // 2])
    await wait_until(between)
    caller.writer.write(whole[len(whole) // 2 :])
    return caller


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_request_is_buffered_until_complete_and_can_be_retried(chunked: bool) -> None:
    async def main() -> None:
        def refuse_once(message: Message, writer: asyncio.StreamWriter) -> None:
            first = len(stubs[0].seen) + len(stubs[1].seen) == 1
            writer.write(answer(b"", "503 Full", X_Not_Run="1") if first else answer(b"done"))

        stubs = [await BodyReader(refuse_once).start() for _ in range(2)]
        async with node(*stubs) as balancer:  # type: ignore[arg-type]
            caller = await send_in_halves(
                balancer, long_request(BODY, chunked), lambda: balancer.front.budget.total > 400_000
            )
            assert stubs[0].heads == stubs[1].heads == 0  # no upstream is chosen before its last byte arrives
            assert (await read_message(caller.reader)).body == b"done"
            assert [m.body == BODY for s in stubs for m in s.seen] == [True, True]
            assert balancer.front.budget.total == 0

    run(main())


@pytest.mark.parametrize("chunked", [False, True])
def test_over_the_budget_a_request_is_streamed_completely(chunked: bool) -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await send_in_halves(balancer, long_request(BODY, chunked), lambda: stub.heads == 1)
            assert (await read_message(caller.reader)).body == b"done"
            assert [m.body == BODY for m in stub.seen] == [True] and balancer.front.budget.total == 0
            got = await caller.ask(request("check", rid="r2"))
            assert got.body == b"done"  # its connection stays usable

    run(main())


def test_a_streamed_request_that_broke_before_its_end_is_refused_and_not_retried() -> None:
    async def main() -> None:
        class Breaks(BodyReader):
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
            assert "503" in got.start and got.headers["connection"] == "close"  # it cannot have been executed
            assert sum(s.heads for s in stubs) == 1 and balancer.front.budget.total == 0

    run(main())


def test_a_streamed_request_that_was_sent_completely_and_broke_fails() -> None:
    async def main() -> None:
        stubs = [await BodyReader(lambda _, writer: writer.transport.abort()).start() for _ in range(3)]
        async with node(*stubs) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await send_in_halves(
                balancer, long_request(BODY, False, "set"), lambda: sum(s.heads for s in stubs) == 1
            )
            got = await read_message(caller.reader)
            assert "500" in got.start and sum(len(s.seen) for s in stubs) == 1

    run(main())


def test_the_deadline_of_a_streamed_request_counts_from_its_last_byte() -> None:
    async def main() -> None:
        stub = await BodyReader(lambda _, __: None).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            jobs = balancer.front.driver.jobs
            caller = await send_in_halves(balancer, long_request(BODY, False), lambda: bool(jobs))
            await wait_until(lambda: len(stub.seen) == 1)
            [job] = jobs.values()
            now = balancer.front.clock.monotonic_ns()
            assert 0 < job.deadline - now <= 4_000_000_000
            caller.writer.close()

    run(main())


def test_the_time_limit_of_a_body_grows_with_its_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """A head has HEAD_TIMEOUT, a request REQUEST_TIMEOUT and the time of its body at MIN_BODY_RATE."""
    monkeypatch.setattr(server, "HEAD_TIMEOUT", 0.15)
    monkeypatch.setattr(server, "REQUEST_TIMEOUT", 0.15)

    async def main() -> None:
        stub = await Stub(answers_with(answer(b"done"))).start()
        async with node(stub) as balancer:
            steady, idle = await balancer.open(), await balancer.open()
            idle.writer.write(request(body=b"x" * 1000)[:-500])
            body = b"x" * 60_000
            whole = request("send", rid="steady", body=body)
            steady.writer.write(whole[:-30_000])
            # Rejected after REQUEST_TIMEOUT and 15 ms more for its 500 bytes.
            assert "408" in (await read_message(idle.reader)).start
            steady.writer.write(whole[-30_000:])  # allowed about a second more for its 30,000 bytes
            assert (await read_message(steady.reader)).body == b"done"

    run(main())


def test_an_answer_of_unknown_length_is_streamed_from_a_certain_size_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection, "COMMIT_DELAY", 1000.0)

    async def main() -> None:
        more = asyncio.Event()

        async def handle(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED + chunks(b"x" * connection.COMMIT_SIZE, 4096))
            await more.wait()
            writer.write(b"0\r\n\r\n")

        stub = await Stub(handle).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check"))
            assert b"chunked" in await caller.reader.readuntil(b"\r\n\r\n")  # though it is not complete
            more.set()

    run(main())


CHANGES = st.lists(st.tuples(st.integers(0, 4), st.integers(0, 500)), max_size=60)


@given(CHANGES)
def test_the_budget_adds_up_and_finds_the_largest_that_can_be_released(steps: list[tuple[int, int]]) -> None:
    budget, held = Budget[int](1000), dict[int, int]()
    for holder, size in steps:
        budget.set_usage(holder, size)
        held[holder] = size
        assert budget.total == sum(held.values()) and budget.exceeded == (budget.total > 1000)
        able = {h: s for h, s in held.items() if s and h != 3}
        found = budget.largest(lambda h: h != 3)
        assert (found is None) == (not able)
        assert found is None or held[found] == max(able.values())

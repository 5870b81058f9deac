"""Long requests whose upstream stops reading: answered in time, not sent on once their client has left."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import backlog
from dykeshift.engine.backlog import MAX_SEND_BUFFER, UploadBacklog
from dykeshift.engine.invariants import CloseReason
from dykeshift.engine.progress import STALL_TIMEOUT
from dykeshift.engine.server import Client
from tests.node.messages import Message, read_message, request
from tests.node.stubs import ClientConnection, Node, node, run, wait_until
from tests.node.test_bodies import BodyReader, chunks, serve

LENGTH = 12 << 20  # more than the buffers on the way to an upstream take
PIECE = 64 << 10
DEADLINE_MS = 200


class HangingReader(BodyReader):
    """An upstream that reads the first line of each request, and the rest once `go_on` is set."""

    def __init__(self) -> None:
        super().__init__(serve)
        self.go_on = asyncio.Event()

    async def start(self) -> HangingReader:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        listening.bind(("127.0.0.1", 0))
        self.address = listening.getsockname()
        await asyncio.start_server(self.serve, sock=listening, limit=PIECE)
        return self

    async def read(self, reader: asyncio.StreamReader) -> Message:
        await self.go_on.wait()
        return await super().read(reader)


@asynccontextmanager
async def held_upload(
    chunked: bool = False, until: int | None = None
) -> AsyncIterator[tuple[Node, HangingReader, ClientConnection, Client]]:
    """A balancer with a request that its upstream has stopped to read; its client writes up to `until`."""
    stub = await HangingReader().start()
    async with node(stub) as balancer:  # type: ignore[arg-type]
        balancer.front.budget.limit = 100_000
        caller = await balancer.open()
        head = request("send", deadline=DEADLINE_MS, body=b"")
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % LENGTH
        caller.writer.write(head.replace(b"Content-Length: 0", framing))
        body = bytes(LENGTH)
        data = chunks(body, PIECE) + b"0\r\n\r\n" if chunked else body
        writing = asyncio.create_task(write_on(caller, data[:until]))
        await wait_until(lambda: any(c.upload is not None for c in balancer.front.clients))
        (client,) = balancer.front.clients
        yield balancer, stub, caller, client
        writing.cancel()


@contextmanager
def large_send_buffer() -> Iterator[None]:
    """Clients' systems may hold a whole request of these tests."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(backlog, "MAX_SEND_BUFFER", LENGTH)
        yield


async def write_on(caller: ClientConnection, data: bytes) -> None:
    """Write in pieces; each has left this process before the next."""
    caller.writer.transport.set_write_buffer_limits(0)
    with suppress(ConnectionError):
        for at in range(0, len(data), PIECE):
            caller.writer.write(data[at : at + PIECE])
            await caller.writer.drain()


# Guards against a request that gets no answer in its time, as its last byte waits unread behind an upstream
# that reads no more.
@pytest.mark.parametrize("chunked", [False, True])
def test_a_request_whose_upstream_reads_no_more_is_answered_in_its_time(chunked: bool) -> None:
    async def main() -> None:
        async with held_upload(chunked) as (balancer, stub, caller, _):
            got = await read_message(caller.reader)
            assert "503" in got.start  # its last byte was not sent on: it cannot have run
            assert got.headers["connection"] == "close" and not stub.seen
            assert not balancer.front.driver.ledger.occurrences.closed[CloseReason.STALLED]
            stub.go_on.set()
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert not stub.seen

    with large_send_buffer():
        run(main())


# Guards against an answer that its client cannot read, as its connection is reset while it still writes.
def test_the_rest_of_a_request_answered_early_is_read_before_its_connection_is_closed() -> None:
    async def main() -> None:
        async with held_upload(until=LENGTH // 2) as (balancer, _, caller, client):
            await wait_until(lambda: client.closing and not client.has_input())
            client.check_timeouts(balancer.front.loop.time() + 5.0)
            await write_on(caller, bytes(LENGTH // 2))
            assert "503" in (await read_message(caller.reader)).start
            assert await caller.reader.read() == b""
            await wait_until(lambda: client not in balancer.front.clients)
            assert client.discard_left <= 0  # all of it has come

    with large_send_buffer():
        run(main())


# Guards against a reset without an answer where the upstream reads no more and the client has more to write.
def test_an_upload_that_its_upstream_does_not_read_is_refused_after_the_stall_timeout() -> None:
    async def main() -> None:
        async with held_upload() as (balancer, stub, caller, client):
            await wait_until(lambda: client.reading_paused and client.has_input())
            client.check_timeouts(balancer.front.loop.time())
            client.check_timeouts(balancer.front.loop.time() + 2 * STALL_TIMEOUT)
            assert "503" in (await read_message(caller.reader)).start
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert not stub.seen

    run(main())


# Guards against a request that is sent on after its client has left with much of it unread.
def test_a_held_upload_is_given_up_when_its_client_leaves() -> None:
    async def main() -> None:
        async with held_upload() as (balancer, stub, caller, client):
            await wait_until(lambda: client.reading_paused and client.has_input())
            caller.writer.transport.abort()
            await wait_until(lambda: not balancer.front.driver.jobs)
            stub.go_on.set()
            await wait_until(lambda: not balancer.front.driver.pool.open)
            assert not stub.seen

    run(main())


# Guards against the same where the client leaves right behind its last byte.
def test_the_last_byte_of_an_upload_is_not_sent_on_for_a_client_that_has_left() -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await balancer.open()
            whole = request("send", body=bytes(200_000))
            caller.writer.write(whole[:-1])
            await wait_until(lambda: stub.heads == 1)
            (client,) = balancer.front.clients
            await wait_until(lambda: client.size == 199_999)
            client.hold(True)
            caller.writer.write(whole[-1:])
            caller.writer.write_eof()
            assert client.transport is not None
            transport = client.transport
            await wait_until(lambda: balancer.front.clock.hung_up(transport))
            client.hold(False)
            await wait_until(lambda: not balancer.front.driver.jobs)
            await wait_until(lambda: not balancer.front.driver.pool.open)
            assert not stub.seen and not balancer.front.driver.ledger.attempts

    run(main())


# Guards against a close that is not noticed: reading stayed paused once the last byte had been read.
def test_a_client_is_read_again_once_its_upload_is_complete() -> None:
    async def main() -> None:
        stub = await BodyReader(lambda _, __: None).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            caller = await balancer.open()
            whole = request("send", body=bytes(200_000))
            caller.writer.write(whole[:-1])
            await wait_until(lambda: stub.heads == 1)
            (client,) = balancer.front.clients
            await wait_until(lambda: client.size == 199_999 and not client.reading_paused)
            (job,) = balancer.front.driver.jobs.values()
            assert job.attempts[0] is not None and job.attempts[0].connection is not None
            job.attempts[0].connection.pause_writing()  # its buffer is full
            assert client.reading_paused
            client.data_received(whole[-1:])  # has been read before that
            caller.writer.transport.abort()
            await wait_until(lambda: not balancer.front.driver.jobs and not balancer.front.clients)
            counts = balancer.front.driver.ledger.counts_of("send")
            assert (
                counts.taken == 1 and not counts.failure and not counts.busy
            )  # not answered at its deadline

    run(main())


LOOKS = st.lists(
    st.tuples(st.integers(1, 200), st.integers(0, 3 << 20), st.integers(0, 1 << 20)), max_size=40
)


@given(LOOKS, st.booleans())
def test_a_backlog_tells_since_when_all_may_have_been_written(
    looks: list[tuple[int, int, int]], stated: bool
) -> None:
    length, received, now, incomplete_at = 16 << 20, 0, 0, 0
    upload = UploadBacklog(length if stated else None, 0)
    for passed, read, unread in looks:
        now += passed
        received = min(length - unread, received + read)
        certain = not unread or (stated and length - received - unread > MAX_SEND_BUFFER)
        incomplete_at = now if certain else incomplete_at
        before = upload.may_be_complete
        assert upload.look(now, received, unread) is (before is certain)
        assert upload.may_be_complete is not certain
        assert upload.incomplete_at == incomplete_at
        assert upload.written_at(now) == (now if certain else incomplete_at)

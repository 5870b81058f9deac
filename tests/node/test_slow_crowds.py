"""Crowds of clients that write or read slowly: other clients keep their service, and memory its bounds."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import admission
from dykeshift.engine.admission import GRACE, Phase
from dykeshift.engine.server import COUNTED_BODY, Client
from tests.node.messages import Message, answer, read_message, request
from tests.node.stubs import ClientConnection, Node, Stub, node, run, wait_until
from tests.node.test_bodies import BodyReader, serve

CROWD = 30  # more than the places that one upstream has at the start
LONG = 1 << 20


async def begin_uploads(balancer: Node, count: int) -> list[ClientConnection]:
    """Clients that each send half of a long body and stop; over the budget, all are forwarded meanwhile."""
    balancer.front.sweeper.cancel()  # nobody is too slow yet
    balancer.front.budget.limit = 0
    callers = []
    for number in range(count):
        caller = await balancer.open()
        caller.writer.write(request("send", rid=f"slow{number}", body=bytes(LONG))[: LONG // 2])
        callers.append(caller)
    return callers


# Guards against uploads that take all places at upstreams, so that everybody else is refused.
def test_short_requests_are_served_beside_many_unfinished_uploads() -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            callers = await begin_uploads(balancer, CROWD)
            await wait_until(lambda: stub.heads == CROWD)
            for number in range(10):
                assert "200" in (await balancer.ask(request("check", rid=f"calm{number}"))).start
            assert not any(caller.reader.at_eof() for caller in callers)

    run(main())


# Guards against the same of answers that are read slowly.
def test_short_requests_are_served_beside_many_answers_that_are_read_slowly() -> None:
    async def main() -> None:
        async def handle(_: Stub, message: Message, writer: asyncio.StreamWriter) -> None:
            slow = message.headers["x-request-id"].startswith("slow")
            writer.write(answer(bytes(8 * LONG) if slow else b"done"))

        stub = await Stub(handle).start()
        async with node(stub) as balancer:
            readers = []
            for number in range(CROWD):
                reader = await balancer.open()
                reader.writer.write(request("check", rid=f"slow{number}"))
                await reader.reader.readuntil(b"\r\n\r\n")
                reader.writer.transport.pause_reading()  # type: ignore[attr-defined]
                readers.append(reader)
            assert sum(client.streamed_answer is not None for client in balancer.front.clients) == CROWD
            for number in range(10):
                assert "200" in (await balancer.ask(request("check", rid=f"calm{number}"))).start

    run(main())


# Guards against clients with half a request that hold all connections, so that new ones are closed unread.
@pytest.mark.parametrize("forwarded", [False, True])
def test_at_the_limit_the_slowest_unfinished_request_makes_room_and_is_refused(forwarded: bool) -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.limit = 4
            callers = []
            for number in range(4):
                caller = await balancer.open()
                size = 300_000 if number == 2 else 500_000
                caller.writer.write(request("send", rid=f"slow{number}", body=bytes(LONG))[:size])
                await wait_until(lambda: len(balancer.front.clients) == number + 1)  # noqa: B023
                client = list(balancer.front.clients)[-1]
                await wait_until(lambda: client.progress.received == size)  # noqa: B023
                callers.append(caller)
                if forwarded:
                    client.start_upload()
            await wait_until(lambda: stub.heads == 4 * forwarded)
            for client in balancer.front.clients:
                client.since -= 2 * GRACE
            assert "200" in (await balancer.ask(request("check", rid="calm"))).start
            assert "503" in (await read_message(callers[2].reader)).start
            assert sum(c.phase() is Phase.INCOMPLETE for c in balancer.front.clients) == 3
            await wait_until(lambda: len(balancer.front.driver.jobs) == 3 * forwarded)
            assert not stub.seen[1:]

    run(main())


def buffer_size(transport: asyncio.Transport | None, option: int) -> int:
    """The size of one of the kernel's buffers of a connection."""
    assert transport is not None
    return int(transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, option))


# Guards against buffers of the kernel that grow to many times the memory of the process.
@pytest.mark.parametrize("forwarded", [False, True])
def test_the_kernels_buffers_of_long_bodies_are_bounded_on_both_sides(forwarded: bool) -> None:
    async def main() -> None:
        def answer_long(_: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(b"done" if forwarded else bytes(LONG)))

        stub = await BodyReader(answer_long).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 0 if forwarded else balancer.front.budget.limit
            caller = await balancer.open()
            body = bytes(LONG if forwarded else 100)
            assert "200" in (await caller.ask(request("send", body=body))).start
            (client,) = balancer.front.clients
            (connection,) = balancer.front.driver.pool.upstreams[next(iter(balancer.front.driver.ready))].idle
            pair: tuple[Any, Any] = (client, connection) if forwarded else (connection, client)
            receives, sends = pair
            bound = 2 * balancer.given.socket_buffer
            assert buffer_size(receives.transport, socket.SO_RCVBUF) == bound
            assert buffer_size(sends.transport, socket.SO_SNDBUF) == bound

    run(main())


# Guards against memory for bodies that are each too short to count.
def test_shorter_bodies_count_towards_the_buffers_of_all() -> None:
    async def main() -> None:
        stub = await BodyReader(lambda _, __: None).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            caller = await balancer.open()
            whole = request("send", body=bytes(2 * COUNTED_BODY))
            caller.writer.write(whole[:-1])
            await wait_until(lambda: balancer.front.budget.total == 2 * COUNTED_BODY - 1)
            caller.writer.write(whole[-1:])
            await wait_until(lambda: balancer.front.budget.total == 2 * COUNTED_BODY)  # kept for a repeat
            await wait_until(lambda: len(stub.seen) == 1)
            caller.writer.transport.abort()
            await wait_until(lambda: not balancer.front.budget.total)

    run(main())


@dataclass(eq=False)
class Connection:
    """A client's connection as `admission` sees it."""

    answers: int
    since: float
    kind: Phase
    size: int
    unread: bool

    def phase(self) -> Phase:
        return self.kind

    def received(self) -> int:
        return self.size

    def has_input(self) -> bool:
        return self.unread


CONNECTIONS = st.lists(
    st.builds(
        Connection,
        st.integers(0, 3),
        st.floats(0.0, 10.0),
        st.sampled_from(Phase),
        st.integers(0, 1 << 20),
        st.booleans(),
    ),
    max_size=12,
)


@given(CONNECTIONS)
def test_who_makes_room_has_nothing_taken_and_is_the_least_useful(found: list[Connection]) -> None:
    now = 10.0
    chosen = admission.choose(found, now)
    able = [
        one
        for one in found
        if not one.unread
        and (one.kind < Phase.INCOMPLETE or (one.kind is Phase.INCOMPLETE and now - one.since >= GRACE))
    ]
    if chosen is None:
        assert not able
        return
    assert chosen in able
    resting = [one for one in able if one.kind is Phase.IDLE and now - one.since >= GRACE]
    rejected = [one for one in able if one.kind is Phase.REJECTED]
    if resting:
        assert chosen in resting and min(one.answers for one in resting) >= min(chosen.answers, 2)
    elif rejected:
        assert chosen in rejected and chosen.since == min(one.since for one in rejected)
    elif chosen.kind is Phase.INCOMPLETE:
        assert all(one.kind is Phase.INCOMPLETE for one in able)
        assert all(chosen.size / (now - chosen.since) <= one.size / (now - one.since) for one in able)


def test_the_client_offers_what_admission_asks_for() -> None:
    assert all(hasattr(Client, name) for name in ("phase", "received", "has_input", "make_room"))

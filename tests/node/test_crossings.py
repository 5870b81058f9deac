"""Bytes that arrive in the very moment in which a connection, or the whole process, ends."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from typing import Any

import pytest

from dykeshift.clock import SystemClock
from dykeshift.engine import drain, server
from dykeshift.engine.drain import Hurry, Open, Orders, State
from tests.node.messages import answer, request
from tests.node.stubs import Node, Stub, node, run, says, service, settings, silent, until
from tests.node.test_gone import connected

Act = Callable[[], None]


class Crossing:
    """Something that happens right after the balancer has looked for input on a connection and seen none."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.act: Act | None = None
        self.peer: Any = None  # address of the other side of the connection that is meant
        look = SystemClock.has_input

        def has_input(transport: asyncio.BaseTransport) -> bool:
            found = look(transport)
            if not found and self.act is not None and transport.get_extra_info("peername") == self.peer:
                act, self.act = self.act, None
                act()
            return found

        monkeypatch.setattr(SystemClock, "has_input", staticmethod(has_input))

    def arm(self, peer: Any, act: Act) -> None:
        self.peer, self.act = peer, act


async def received(client: socket.socket) -> bytes:
    """All until the connection ends, be it tidily or by a reset."""
    client.setblocking(False)
    loop, found = asyncio.get_running_loop(), b""
    try:
        while data := await loop.sock_recv(client, 65536):
            found += data
    except ConnectionError:
        pass
    client.close()
    return found


# ---- a request on a resting connection ----


async def rests(balancer: Node, client: socket.socket) -> None:
    """Ask once on it, and stay."""
    client.sendall(request(rid="first"))
    await until(lambda: any(one.answers and not one.busy for one in balancer.front.clients))
    client.setblocking(False)
    assert b"done" in await asyncio.get_running_loop().sock_recv(client, 65536)
    client.setblocking(True)


def keep_alive_ends(balancer: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "ONCE", 0.0)


def standby(balancer: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    balancer.front.close_idle(Orders(close_kept=True))


def room_is_made(balancer: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    balancer.front.limit = 1
    balancer.front.admit(server.Client(balancer.front))


@pytest.mark.parametrize("ending", [keep_alive_ends, standby, room_is_made])
@pytest.mark.parametrize("sent", [request(rid="second"), request(rid="second")[:30]])
def test_a_request_that_crosses_the_end_of_its_connection_is_not_read(
    ending: Callable[[Node, pytest.MonkeyPatch], None], sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nor is it sent on: its client sends it once more on another connection."""

    async def main() -> None:
        crossing = Crossing(monkeypatch)
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            client = await connected(balancer)
            await rests(balancer, client)
            crossing.arm(client.getsockname(), lambda: client.sendall(sent))
            ending(balancer, monkeypatch)
            assert await received(client) == b"" and crossing.act is None
            assert [m.headers["x-request-id"] for m in stub.seen] == ["first"]
            assert not balancer.front.driver.jobs

    run(main())


def once_over(balancer: Node, act: Act) -> None:
    """Act right after the drain's look that ends the process."""
    made = balancer.front.drain
    look = made.look

    def looked(now: float, found: Open, hurry: Hurry = Hurry.NONE) -> Orders:
        orders = look(now, found, hurry)
        if made.state is State.OVER:
            act()
        return orders

    made.look = looked  # type: ignore[method-assign]


def as_time_is_over(balancer: Node, before: Act, after: Act) -> None:
    """Act right before and right after the look that turns away what has not come whole."""
    front = balancer.front
    refuse, acted = front.refuse_unfinished, list[bool]()

    def refused() -> None:
        if not acted:
            before()
        refuse()
        if not acted:
            acted.append(True)
            after()

    front.refuse_unfinished = refused  # type: ignore[method-assign]


@pytest.mark.parametrize("asked", [True, False])
def test_a_request_that_comes_as_the_process_ends_is_not_sent_on(
    asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was read in the rounds of the loop in which the program ends, and sent on for nobody.

    Where its connection is still open it is refused, so that its client need not guess.
    """
    monkeypatch.setattr(drain, "LINGER", 0.0)

    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            client = await connected(balancer)
            if asked:
                await rests(balancer, client)
            once_over(balancer, lambda: client.sendall(request(rid="late")))
            signal.raise_signal(signal.SIGTERM)
            assert (await received(client)).startswith(b"HTTP/1.1 503 " if asked else b"")
            assert balancer.front.drain.state is State.OVER
            assert [m.headers["x-request-id"] for m in stub.seen] == ["first"] * asked

    run(main())


def test_requests_in_pieces_get_whole_answers_as_time_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whether the last byte arrives before or after they are turned away, or never; none is sent on."""
    monkeypatch.setattr(drain, "LINGER", 0.0)

    async def main() -> None:
        stub = await Stub(silent).start()
        given = settings(services=[service("send", "side_effect", deadlineNs=200_000_000)])
        async with node(stub, settings=given) as balancer:
            before, after, half = [await connected(balancer) for _ in range(3)]
            words = request(rid="before", deadline=200)
            for client in (before, after, half):
                client.sendall(words[:-3])
            await until(lambda: sum(bool(one.began) for one in balancer.front.clients) == 3)
            as_time_is_over(balancer, lambda: before.sendall(words[-3:]), lambda: after.sendall(words[-3:]))
            signal.raise_signal(signal.SIGTERM)
            for client in (before, after, half):
                assert (await received(client)).startswith(b"HTTP/1.1 503 ")
            await until(lambda: balancer.front.drain.state is State.OVER)
            assert not stub.seen

    run(main())


# ---- half a line from an upstream ----


async def warm(balancer: Node, stub: Stub) -> None:
    assert (await balancer.ask(request(rid="first"))).body == b"done"
    await until(lambda: all(u.idle for u in balancer.front.driver.pool.upstreams.values()))


def half_a_line(stub: Stub) -> None:
    """In one system call: nothing of the balancer runs meanwhile."""
    os.write(stub.writers[0].get_extra_info("socket").fileno(), b"HTTP/1.1 40")


def half_a_line_and_an_end(stub: Stub) -> None:
    half_a_line(stub)
    raw: Any = stub.writers[0].get_extra_info("socket")
    with socket.socket(fileno=os.dup(raw.fileno())) as one:
        one.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("says_half", [half_a_line, half_a_line_and_an_end])
def test_half_a_line_on_a_resting_connection_ends_it(says_half: Callable[[Stub], None]) -> None:
    """Whether it was read before the next request or waits unread, that goes out on another connection."""

    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            await warm(balancer, stub)
            says_half(stub)
            await until(lambda: stub.lost == 1)
            assert (await balancer.ask(request(rid="read"))).body == b"done"
            stub.writers.pop(0)
            caller = await connected(balancer)
            caller.sendall(request(rid="unread"))
            says_half(stub)
            assert b"done" in await asyncio.to_thread(caller.recv, 65536)
            assert [m.headers["x-request-id"] for m in stub.seen] == ["first", "read", "unread"]
            caller.close()

    run(main())


@pytest.mark.parametrize("says_half", [half_a_line, half_a_line_and_an_end])
def test_half_a_line_that_crosses_a_request_makes_its_end_unknown(
    says_half: Callable[[Stub], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request has been written: an unsafe one may have run and is not sent again."""

    async def main() -> None:
        crossing = Crossing(monkeypatch)
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            await warm(balancer, stub)
            crossing.arm(stub.address, lambda: says_half(stub))
            got = await balancer.ask(request(rid="crossed"))
            assert crossing.act is None and got.start.split()[1] == "500"
            assert (await balancer.ask(request(rid="next"))).body == b"done"
            ids = [m.headers["x-request-id"] for m in stub.seen]
            assert ids.count("crossed") <= 1 and ids[-1] == "next"
            assert not balancer.front.driver.jobs

    run(main())


@pytest.mark.parametrize("says_half", [half_a_line, half_a_line_and_an_end])
def test_half_a_line_as_a_connection_is_closed_harms_nobody(
    says_half: Callable[[Stub], None], monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            await warm(balancer, stub)
            pool = balancer.front.driver.pool
            [one] = pool.upstreams.values()
            says_half(stub)
            pool._close_idle(one)
            await until(lambda: stub.lost == 1 and pool.open == 0)
            assert (await balancer.ask(request(rid="next"))).body == b"done"
        assert not caplog.records

    run(main())


# ---- answers that close their connections ----


def test_an_answer_that_closes_its_connection_is_written_through() -> None:
    """A close over unread bytes resets a connection, and takes small writes along that are held back."""

    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            await warm(balancer, stub)
            client = await connected(balancer)
            ends: list[Any] = list(balancer.front.clients)
            for one in balancer.front.driver.pool.upstreams.values():
                ends += one.idle
            assert len(ends) >= 2
            for transport in (end.transport for end in ends):
                raw: Any = transport.get_extra_info("socket")
                assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            client.close()

    run(main())

"""Race conditions: bytes that arrive at the moment at which a connection or the whole process ends."""

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
from dykeshift.engine.drain import Actions, OpenConnections, State, Urgency
from tests.node.messages import answer, request
from tests.node.stubs import Node, Stub, answers_with, node, run, service, settings, silent, wait_until
from tests.node.test_gone import connected

Action = Callable[[], None]


class Race:
    """Runs an action right after the balancer has checked a connection for input and found none."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.action: Action | None = None
        self.peer: Any = None  # the peer's address of the connection concerned
        original = SystemClock.has_input

        def has_input(transport: asyncio.BaseTransport) -> bool:
            found = original(transport)
            if not found and self.action is not None and transport.get_extra_info("peername") == self.peer:
                action, self.action = self.action, None
                action()
            return found

        monkeypatch.setattr(SystemClock, "has_input", staticmethod(has_input))

    def arm(self, peer: Any, action: Action) -> None:
        self.peer, self.action = peer, action


async def received(client: socket.socket) -> bytes:
    """Read until the connection ends, by a close or a reset."""
    client.setblocking(False)
    loop, found = asyncio.get_running_loop(), b""
    try:
        while data := await loop.sock_recv(client, 65536):
            found += data
    except ConnectionError:
        pass
    client.close()
    return found


# ---- a request on an idle connection ----


async def make_idle(balancer: Node, client: socket.socket) -> None:
    """Send one request on the connection and leave it open."""
    client.sendall(request(rid="first"))
    await wait_until(lambda: any(one.answers and not one.busy for one in balancer.front.clients))
    client.setblocking(False)
    assert b"done" in await asyncio.get_running_loop().sock_recv(client, 65536)
    client.setblocking(True)


def idle_timeout(balancer: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "SHORT_IDLE_TIMEOUT", 0.0)


def standby(balancer: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    balancer.front.close_idle(Actions(close_kept=True))


def connection_limit(balancer: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    balancer.front.limit = 1
    balancer.front.admit(server.Client(balancer.front))


@pytest.mark.parametrize("ending", [idle_timeout, standby, connection_limit])
@pytest.mark.parametrize("sent", [request(rid="second"), request(rid="second")[:30]])
def test_a_request_that_arrives_as_its_connection_is_closed_is_not_read(
    ending: Callable[[Node, pytest.MonkeyPatch], None], sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nor is it forwarded: its client sends it again on another connection."""

    async def main() -> None:
        race = Race(monkeypatch)
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            client = await connected(balancer)
            await make_idle(balancer, client)
            race.arm(client.getsockname(), lambda: client.sendall(sent))
            ending(balancer, monkeypatch)
            assert await received(client) == b"" and race.action is None
            assert [m.headers["x-request-id"] for m in stub.seen] == ["first"]
            assert not balancer.front.driver.jobs

    run(main())


def when_over(balancer: Node, action: Action) -> None:
    """Run the action right after the call of Drain.step that ends the process."""
    drained = balancer.front.drain
    original = drained.step

    def step(now: float, found: OpenConnections, urgency: Urgency = Urgency.NONE) -> Actions:
        orders = original(now, found, urgency)
        if drained.state is State.OVER:
            action()
        return orders

    drained.step = step  # type: ignore[method-assign]


def around_refusal(balancer: Node, before: Action, after: Action) -> None:
    """Run actions right before and after the first refusal of requests that are incomplete."""
    front = balancer.front
    original, done = front.refuse_unfinished, list[bool]()

    def refuse_unfinished() -> None:
        if not done:
            before()
        original()
        if not done:
            done.append(True)
            after()

    front.refuse_unfinished = refuse_unfinished  # type: ignore[method-assign]


@pytest.mark.parametrize("used", [True, False])
def test_a_request_that_arrives_as_the_process_ends_is_not_forwarded(
    used: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was read in the last iterations of the event loop, and forwarded though nobody would answer it.

    If its connection is still open it is refused, so that its client knows that it was not executed.
    """
    monkeypatch.setattr(drain, "ACCEPT_GRACE", 0.0)

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            client = await connected(balancer)
            if used:
                await make_idle(balancer, client)
            when_over(balancer, lambda: client.sendall(request(rid="late")))
            signal.raise_signal(signal.SIGTERM)
            assert (await received(client)).startswith(b"HTTP/1.1 503 " if used else b"")
            assert balancer.front.drain.state is State.OVER
            assert [m.headers["x-request-id"] for m in stub.seen] == ["first"] * used

    run(main())


def test_incomplete_requests_are_refused_as_the_process_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whether the last byte arrives before or after the refusal, or never; none is forwarded."""
    monkeypatch.setattr(drain, "ACCEPT_GRACE", 0.0)

    async def main() -> None:
        stub = await Stub(silent).start()
        given = settings(services=[service("send", "side_effect", deadlineNs=200_000_000)])
        async with node(stub, settings=given) as balancer:
            before, after, half = [await connected(balancer) for _ in range(3)]
            data = request(rid="before", deadline=200)
            for client in (before, after, half):
                client.sendall(data[:-3])
            await wait_until(lambda: sum(bool(one.request_began) for one in balancer.front.clients) == 3)
            around_refusal(balancer, lambda: before.sendall(data[-3:]), lambda: after.sendall(data[-3:]))
            signal.raise_signal(signal.SIGTERM)
            for client in (before, after, half):
                assert (await received(client)).startswith(b"HTTP/1.1 503 ")
            await wait_until(lambda: balancer.front.drain.state is State.OVER)
            assert not stub.seen

    run(main())


# ---- half a status line from an upstream on an idle connection ----


async def warm_up(balancer: Node, stub: Stub) -> None:
    assert (await balancer.ask(request(rid="first"))).body == b"done"
    await wait_until(lambda: all(u.idle for u in balancer.front.driver.pool.upstreams.values()))


def half_a_line(stub: Stub) -> None:
    """Sent by one system call, so that nothing of the balancer runs meanwhile."""
    os.write(stub.writers[0].get_extra_info("socket").fileno(), b"HTTP/1.1 40")


def half_a_line_and_close(stub: Stub) -> None:
    half_a_line(stub)
    raw: Any = stub.writers[0].get_extra_info("socket")
    with socket.socket(fileno=os.dup(raw.fileno())) as one:
        one.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("send_half", [half_a_line, half_a_line_and_close])
def test_half_a_line_on_an_idle_connection_closes_it(send_half: Callable[[Stub], None]) -> None:
    """Whether it has been read before the next request or not, that is sent on another connection."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            await warm_up(balancer, stub)
            send_half(stub)
            await wait_until(lambda: stub.lost == 1)
            assert (await balancer.ask(request(rid="read"))).body == b"done"
            stub.writers.pop(0)
            caller = await connected(balancer)
            caller.sendall(request(rid="unread"))
            send_half(stub)
            assert b"done" in await asyncio.to_thread(caller.recv, 65536)
            assert [m.headers["x-request-id"] for m in stub.seen] == ["first", "read", "unread"]
            caller.close()

    run(main())


@pytest.mark.parametrize("send_half", [half_a_line, half_a_line_and_close])
def test_half_a_line_at_the_moment_of_a_request_makes_its_outcome_unknown(
    send_half: Callable[[Stub], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request has been written: an unsafe one may have been executed and is not retried."""

    async def main() -> None:
        race = Race(monkeypatch)
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            await warm_up(balancer, stub)
            race.arm(stub.address, lambda: send_half(stub))
            got = await balancer.ask(request(rid="crossed"))
            assert race.action is None and got.start.split()[1] == "500"
            assert (await balancer.ask(request(rid="next"))).body == b"done"
            ids = [m.headers["x-request-id"] for m in stub.seen]
            assert ids.count("crossed") <= 1 and ids[-1] == "next"
            assert not balancer.front.driver.jobs

    run(main())


@pytest.mark.parametrize("send_half", [half_a_line, half_a_line_and_close])
def test_half_a_line_as_a_connection_is_closed_does_no_harm(
    send_half: Callable[[Stub], None], monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            await warm_up(balancer, stub)
            pool = balancer.front.driver.pool
            [upstream] = pool.upstreams.values()
            send_half(stub)
            pool._close_idle(upstream)
            await wait_until(lambda: stub.lost == 1 and pool.open == 0)
            assert (await balancer.ask(request(rid="next"))).body == b"done"
        assert not caplog.records

    run(main())


# ---- answers that close their connections ----


def test_an_answer_that_closes_its_connection_is_sent_without_delay() -> None:
    """A close with unread input resets the connection and drops writes that Nagle's algorithm delays."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            await warm_up(balancer, stub)
            client = await connected(balancer)
            ends: list[Any] = list(balancer.front.clients)
            for upstream in balancer.front.driver.pool.upstreams.values():
                ends += upstream.idle
            assert len(ends) >= 2
            for transport in (end.transport for end in ends):
                raw: Any = transport.get_extra_info("socket")
                assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            client.close()

    run(main())

"""No attempt is started for a client that has closed its connection, even if the close is still unread."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from dykeshift.clock import SYSTEM
from dykeshift.engine.driver import Job
from dykeshift.engine.ledger import ClassCounts
from dykeshift.engine.upstream import Attempt, AttemptResult
from tests.node.messages import Message, answer, request
from tests.node.stubs import Node, Stub, answers_with, node, run, settings, wait_until


def closes(client: socket.socket) -> None:
    client.close()


def resets(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def tier(balancer: Node, klass: str) -> ClassCounts:
    return balancer.front.driver.ledger.class_counts[klass]


async def connected(balancer: Node) -> socket.socket:
    """A client socket with blocking calls, so that nothing of the balancer runs between two of them."""
    before = set(balancer.front.clients)
    client = socket.create_connection(balancer.address)
    await wait_until(lambda: bool(set(balancer.front.clients) - before))
    return client


def test_a_request_whose_client_disconnected_before_it_was_read_is_not_forwarded() -> None:
    """The request and the close were both in the kernel: it was forwarded before the close was read."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            assert (await balancer.ask(request(rid="r1"))).body == b"done"
            client = await connected(balancer)
            client.sendall(request(rid="r2"))
            client.close()
            await wait_until(lambda: tier(balancer, "send").gone == 1)
            assert (await balancer.ask(request(rid="r3"))).body == b"done"
            assert [m.headers["x-request-id"] for m in stub.seen] == ["r1", "r3"]

    run(main())


class DelayedConnects:
    """Delays connections to upstreams until `release` is set."""

    def __init__(self, balancer: Node) -> None:
        self.release, self.waiting = asyncio.Event(), 0
        pool = balancer.front.driver.pool
        connect = pool._connect

        async def late(attempt: Attempt) -> None:
            self.waiting += 1
            await self.release.wait()
            await connect(attempt)

        pool._connect = late  # type: ignore[method-assign]


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("leave", [closes, resets])
def test_an_attempt_that_waits_for_its_connection_is_not_sent_for_a_client_that_disconnected(
    cancelling: bool, leave: Callable[[socket.socket], None]
) -> None:
    """Without cancelling, it was sent when the connection was established, 1.5 s later."""

    async def main() -> None:
        given = settings()
        given["bounds"]["cancelling"] = cancelling
        stub = await Stub(answers_with(answer())).start()
        async with node(stub, settings=given) as balancer:
            delayed = DelayedConnects(balancer)
            client = await connected(balancer)
            client.sendall(request(rid="r1"))
            await wait_until(lambda: delayed.waiting == 1)
            leave(client)
            await wait_until(lambda: tier(balancer, "send").gone == 1)
            delayed.release.set()
            assert (await balancer.ask(request(rid="r2"))).body == b"done"
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert [m.headers["x-request-id"] for m in stub.seen] == ["r2"]

    run(main())


def test_a_retry_is_not_sent_for_a_client_whose_close_is_unread() -> None:
    """The answer that causes the retry and the close arrive in one iteration of the loop, in either order."""

    async def main() -> None:
        async def handle(_: Stub, message: Message, writer: asyncio.StreamWriter) -> None:
            warm = message.headers["x-request-id"].startswith("warm")
            writer.write(answer() if warm else answer(b"", "503 Service Unavailable", X_Not_Run="1"))

        async with node(await Stub(handle).start(), await Stub(handle).start()) as balancer:
            upstreams = balancer.front.driver.pool.upstreams.values()
            for n in range(100):
                if not all(upstream.idle for upstream in upstreams):
                    await balancer.ask(request("check", rid=f"warm{n}"))
            before = balancer.front.driver.ledger.attempts
            client = await connected(balancer)
            driver, original = balancer.front.driver, balancer.front.driver._attempt_ended

            def ended(job: Job, number: int, server: int, end: AttemptResult) -> None:
                client.close()  # now, so that it is unread when the balancer's rules decide
                original(job, number, server, end)

            driver._attempt_ended = ended  # type: ignore[method-assign]
            client.sendall(request(rid="r1"))
            await wait_until(lambda: tier(balancer, "send").inflight == 0 < tier(balancer, "send").taken)
            await wait_until(lambda: not driver.jobs)
            assert driver.ledger.attempts == before + 1 and tier(balancer, "send").gone == 1

    run(main())


@pytest.mark.parametrize(
    ("leave", "gone"),
    [
        (closes, True),
        (resets, True),
        (lambda client: None, False),
        (lambda client: client.sendall(b"more"), False),
    ],
)
def test_the_system_clock_detects_that_the_peer_disconnected(
    leave: Callable[[socket.socket], None], gone: bool
) -> None:
    async def main() -> None:
        accepted: asyncio.Future[asyncio.BaseTransport] = asyncio.get_running_loop().create_future()

        class Silent(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                accepted.set_result(transport)

        server = await asyncio.get_running_loop().create_server(Silent, "127.0.0.1", 0)
        client = socket.create_connection(server.sockets[0].getsockname())
        transport = await accepted
        leave(client)  # no iteration of the loop comes between
        assert SYSTEM.hung_up(transport) is gone
        server.close()

    run(main())

"""A client that has closed its connection has gone: nothing begins for it, whatever has been read by then."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from dykeshift.clock import SYSTEM
from dykeshift.engine.driver import Job
from dykeshift.engine.ledger import Tier
from dykeshift.engine.upstream import Attempt, End
from tests.node.messages import Message, answer, request
from tests.node.stubs import Node, Stub, node, run, says, settings, until


def closes(client: socket.socket) -> None:
    client.close()


def resets(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def tier(balancer: Node, klass: str) -> Tier:
    return balancer.front.driver.ledger.tiers[klass]


async def connected(balancer: Node) -> socket.socket:
    """A client whose sockets calls are done at once: nothing of the balancer runs between two of them."""
    before = set(balancer.front.clients)
    client = socket.create_connection(balancer.address)
    await until(lambda: bool(set(balancer.front.clients) - before))
    return client


def test_a_request_whose_client_had_gone_before_it_was_read_goes_nowhere() -> None:
    """Its bytes and its close wait together: it was sent on to an upstream before the close was read."""

    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            assert (await balancer.ask(request(rid="r1"))).body == b"done"
            client = await connected(balancer)
            client.sendall(request(rid="r2"))
            client.close()
            await until(lambda: tier(balancer, "send").gone == 1)
            assert (await balancer.ask(request(rid="r3"))).body == b"done"
            assert [m.headers["x-request-id"] for m in stub.seen] == ["r1", "r3"]

    run(main())


class LateConnects:
    """Connections to upstreams come up when they are told to."""

    def __init__(self, balancer: Node) -> None:
        self.may, self.waiting = asyncio.Event(), 0
        pool = balancer.front.driver.pool
        connect = pool._connect

        async def late(attempt: Attempt) -> None:
            self.waiting += 1
            await self.may.wait()
            await connect(attempt)

        pool._connect = late  # type: ignore[method-assign]


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("leave", [closes, resets])
def test_an_attempt_that_waits_for_its_connection_is_not_begun_for_a_client_that_left(
    cancelling: bool, leave: Callable[[socket.socket], None]
) -> None:
    """Where attempts may not be called off it went out when the connection came up, 1.5 s later."""

    async def main() -> None:
        given = settings()
        given["bounds"]["cancelling"] = cancelling
        stub = await Stub(says(answer())).start()
        async with node(stub, settings=given) as balancer:
            late = LateConnects(balancer)
            client = await connected(balancer)
            client.sendall(request(rid="r1"))
            await until(lambda: late.waiting == 1)
            leave(client)
            await until(lambda: tier(balancer, "send").gone == 1)
            late.may.set()
            assert (await balancer.ask(request(rid="r2"))).body == b"done"
            await until(lambda: not balancer.front.driver.jobs)
            assert [m.headers["x-request-id"] for m in stub.seen] == ["r2"]

    run(main())


def test_a_further_attempt_is_not_begun_for_a_client_whose_close_is_unread() -> None:
    """The answer that leads to it and the close come in one round, in either order."""

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
            driver, told = balancer.front.driver, balancer.front.driver._ended

            def ended(job: Job, number: int, server: int, end: End) -> None:
                client.close()  # now, so that nobody has read it as the module decides
                told(job, number, server, end)

            driver._ended = ended  # type: ignore[method-assign]
            client.sendall(request(rid="r1"))
            await until(lambda: tier(balancer, "send").inflight == 0 < tier(balancer, "send").taken)
            await until(lambda: not driver.jobs)
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
def test_the_machine_tells_that_the_other_side_hung_up(
    leave: Callable[[socket.socket], None], gone: bool
) -> None:
    async def main() -> None:
        made: asyncio.Future[asyncio.BaseTransport] = asyncio.get_running_loop().create_future()

        class Silent(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                made.set_result(transport)

        server = await asyncio.get_running_loop().create_server(Silent, "127.0.0.1", 0)
        client = socket.create_connection(server.sockets[0].getsockname())
        transport = await made
        leave(client)  # no round of the loop comes between
        assert SYSTEM.hung_up(transport) is gone
        server.close()

    run(main())

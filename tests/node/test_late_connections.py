"""Connections that come as the listener closes: accepted, and what was asked on them answered."""

from __future__ import annotations

import signal
import socket

import pytest

from dykeshift.engine import drain
from dykeshift.engine.drain import Hurry, Open, Orders, State
from tests.node.messages import answer, request
from tests.node.stubs import Stub, node, run, says, until
from tests.node.test_crossings import received


def test_a_request_in_the_listeners_queue_as_it_closes_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process had stood still: the connection came in time and was reset by the close of the listener."""
    monkeypatch.setattr(drain, "LINGER", 0.0)

    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            made = balancer.front.drain
            look, clients = made.look, list[socket.socket]()

            def looked(now: float, found: Open, hurry: Hurry = Hurry.NONE) -> Orders:
                orders = look(now, found, hurry)
                if orders.stop_accepting and not clients:
                    clients.append(socket.create_connection(balancer.address))
                    clients[0].sendall(request(rid="queued"))
                return orders

            made.look = looked  # type: ignore[method-assign]
            signal.raise_signal(signal.SIGTERM)
            await until(lambda: bool(clients))
            assert b"done" in await received(clients[0])
            await until(lambda: made.state is State.OVER)

    run(main())

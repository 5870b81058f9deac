"""Connections that arrive as the listener closes are accepted, and their requests answered."""

from __future__ import annotations

import signal
import socket

import pytest

from dykeshift.engine import drain
from dykeshift.engine.drain import Actions, OpenConnections, State, Urgency
from tests.node.messages import answer, request
from tests.node.stubs import Stub, answers_with, node, run, wait_until
from tests.node.test_crossings import received


def test_a_request_in_the_listeners_queue_as_it_closes_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a process pause, a connection made in time was reset because the listener closed."""
    monkeypatch.setattr(drain, "ACCEPT_GRACE", 0.0)

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            drain_state = balancer.front.drain
            original, clients = drain_state.step, list[socket.socket]()

            def step(now: float, found: OpenConnections, urgency: Urgency = Urgency.NONE) -> Actions:
                orders = original(now, found, urgency)
                if orders.stop_accepting and not clients:
                    clients.append(socket.create_connection(balancer.address))
                    clients[0].sendall(request(rid="queued"))
                return orders

            drain_state.step = step  # type: ignore[method-assign]
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: bool(clients))
            assert b"done" in await received(clients[0])
            await wait_until(lambda: drain_state.state is State.OVER)

    run(main())

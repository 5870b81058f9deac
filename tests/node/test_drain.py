"""The drain's state machine against a simple model, and drains of a whole balancer on loopback."""

from __future__ import annotations

import asyncio
import math

from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import drain as module
from dykeshift.engine.drain import Drain, OpenConnections, State, Urgency
from tests.node.messages import answer, read_message, request
from tests.node.stubs import Stub, answers_with, node, run, silent, wait_until

READY = b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n"
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["standby", "active", "terminate", "look", "busy", "silent", "refuse", "exit"]),
        st.floats(0, 2),
    ),
    max_size=40,
)
HURRY = {"refuse": Urgency.REFUSE, "exit": Urgency.EXIT}


@given(EVENTS, st.booleans())
def test_the_drain_follows_a_simple_model(events: list[tuple[str, float]], shared: bool) -> None:
    drain, now = Drain(shared), 0.0
    draining: float | None = None  # since when
    ending: float | None = None
    over = closed = False
    for event, wait in events:
        now += wait
        if event == "standby":
            drain.standby(now)
            draining = now if draining is None else draining
        elif event == "active":
            assert drain.active() == (ending is None)
            draining = None
        elif event == "terminate":
            drain.terminate(now)
            ending = now if ending is None else ending
        else:
            no_time_left = event in HURRY
            found = OpenConnections(busy=event in ("busy", "refuse", "exit"), silent=event == "silent")
            orders = drain.step(now, found, HURRY.get(event, Urgency.NONE))
            since = ending if ending is not None else draining
            age = -1.0 if since is None else now - since
            minimum_age = {
                "look": module.ACCEPT_GRACE,
                "silent": max(module.ACCEPT_GRACE, module.SILENT_GRACE),
            }
            over = over or closed and age >= minimum_age.get(event, math.inf)
            over = over or event == "exit" and ending is not None
            closed = ending is not None and (shared or age >= module.ACCEPT_GRACE or no_time_left)
            late = no_time_left and age >= 0
            assert orders.close_kept == (age >= module.KEEP_ALIVE_GRACE or late)
            assert orders.close_silent == (age >= module.SILENT_GRACE or late)
            assert orders.refuse_unfinished == late and orders.stop_accepting == closed
        assert drain.serving == (draining is None and ending is None)
        assert (drain.state is State.OVER) == over and drain.ending == (ending is not None)


def test_clients_move_to_a_newer_process_while_ready_stays_200() -> None:
    drain = Drain(shared=True)
    drain.yielding = True
    assert drain.serving and not drain.keeps_connections


def test_standby_is_not_ready_serves_requests_and_closes_all_connections_until_active_again() -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        async with node(stub, console="127.0.0.1:0") as balancer:
            address = balancer.services[-1].server.address

            async def call(what: str) -> str:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(f"PUT /{what} HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n".encode())
                got = await read_message(reader)
                assert await reader.read() == b""
                writer.close()
                return got.start.split()[1]

            kept, silent_client, busy = await balancer.open(), await balancer.open(), await balancer.open()
            assert "200" in (await kept.ask(READY)).start
            busy.writer.write(request(rid="busy"))
            await wait_until(lambda: len(stub.seen) == 1)
            assert await call("standby") == await call("standby") == "200"
            late = await balancer.open()
            got = await late.ask(READY)
            assert "503" in got.start and got.headers["connection"] == "close"
            assert await kept.reader.read() == b"" and await silent_client.reader.read() == b""
            stub.writers[0].write(answer(b"at last"))
            got = await read_message(busy.reader)
            assert got.body == b"at last" and got.headers["connection"] == "close"
            await wait_until(lambda: not balancer.front.clients)
            assert await call("active") == "200"
            stub.handler = answers_with(answer(b"again"))
            again = await balancer.open()
            assert "200" in (await again.ask(READY)).start
            assert (await again.ask(request("check", rid="r2"))).body == b"again"

    run(main())


def test_active_cancels_a_drain_before_any_connection_is_closed() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer(b"done"))).start()
        async with node(stub) as balancer:
            kept = await balancer.open()
            assert "200" in (await kept.ask(READY)).start
            balancer.front.drain.standby(asyncio.get_running_loop().time())
            balancer.front.drain.active()
            got = await kept.ask(request("check"))
            assert got.body == b"done" and "connection" not in got.headers

    run(main())

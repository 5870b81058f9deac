"""The drain's states against a plain model, and drains of a whole balancer on loopback."""

from __future__ import annotations

import asyncio
import math

from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import drain as module
from dykeshift.engine.drain import Drain, Hurry, Open, State
from tests.node.messages import answer, read_message, request
from tests.node.stubs import Stub, node, run, says, silent, until

READY = b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n"
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["standby", "active", "terminate", "look", "busy", "silent", "refuse", "exit"]),
        st.floats(0, 2),
    ),
    max_size=40,
)
HURRY = {"refuse": Hurry.REFUSE, "exit": Hurry.EXIT}


@given(EVENTS, st.booleans())
def test_a_drain_does_as_a_plain_model_says(events: list[tuple[str, float]], shared: bool) -> None:
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
            hurried = event in HURRY
            found = Open(busy=event in ("busy", "refuse", "exit"), silent=event == "silent")
            orders = drain.look(now, found, HURRY.get(event, Hurry.NONE))
            since = ending if ending is not None else draining
            age = -1.0 if since is None else now - since
            needs = {"look": module.LINGER, "silent": max(module.LINGER, module.SILENT)}
            over = over or closed and age >= needs.get(event, math.inf)
            over = over or event == "exit" and ending is not None
            closed = ending is not None and (shared or age >= module.LINGER or hurried)
            late = hurried and age >= 0
            assert orders.close_kept == (age >= module.KEPT or late)
            assert orders.close_silent == (age >= module.SILENT or late)
            assert orders.refuse_unfinished == late and orders.stop_accepting == closed
        assert drain.taking == (draining is None and ending is None)
        assert (drain.state is State.OVER) == over and drain.ending == (ending is not None)


def test_a_younger_process_gets_the_clients_but_ready_stays_yes() -> None:
    drain = Drain(shared=True)
    drain.yielding = True
    assert drain.taking and not drain.keeping


def test_standby_says_no_serves_what_comes_and_lets_go_of_all_until_it_is_active_again() -> None:
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

            kept, mute, busy = await balancer.open(), await balancer.open(), await balancer.open()
            assert "200" in (await kept.ask(READY)).start
            busy.writer.write(request(rid="busy"))
            await until(lambda: len(stub.seen) == 1)
            assert await call("standby") == await call("standby") == "200"
            late = await balancer.open()
            got = await late.ask(READY)
            assert "503" in got.start and got.headers["connection"] == "close"
            assert await kept.reader.read() == b"" and await mute.reader.read() == b""
            stub.writers[0].write(answer(b"at last"))
            got = await read_message(busy.reader)
            assert got.body == b"at last" and got.headers["connection"] == "close"
            await until(lambda: not balancer.front.clients)
            assert await call("active") == "200"
            stub.handler = says(answer(b"again"))
            again = await balancer.open()
            assert "200" in (await again.ask(READY)).start
            assert (await again.ask(request("check", rid="r2"))).body == b"again"

    run(main())


def test_active_takes_a_drain_back_before_any_connection_is_closed() -> None:
    async def main() -> None:
        stub = await Stub(says(answer(b"done"))).start()
        async with node(stub) as balancer:
            kept = await balancer.open()
            assert "200" in (await kept.ask(READY)).start
            balancer.front.drain.standby(asyncio.get_running_loop().time())
            balancer.front.drain.active()
            got = await kept.ask(request("check"))
            assert got.body == b"done" and "connection" not in got.headers

    run(main())

"""Temporary failures of system calls, as documented for Linux: each request read gets one answer."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest

from tests.faults.daemon import Daemon, daemon
from tests.faults.fault_control import (
    ACCEPT_ERRORS,
    BROKEN_ERRORS,
    CONNECT_ERRORS,
    SOCKET_ERRORS,
    FaultControl,
    Kind,
)
from tests.node.messages import answer, request
from tests.node.stubs import Stub, answers_with, run, wait_until

ROUNDS, CONCURRENT = 12, 8  # requests on new connections: rounds, and requests at once in each


async def ask_often(balancer: Daemon, name: str) -> list[str]:
    """The statuses of many requests on new connections; raises if one ends without an answer."""
    statuses = list[str]()
    for turn in range(ROUNDS):
        requests = (balancer.ask(request(rid=f"{name}-{turn}-{n}")) for n in range(CONCURRENT))
        statuses += [one.start.split()[1] for one in await asyncio.gather(*requests)]
    return statuses


@pytest.mark.parametrize("failure", ACCEPT_ERRORS, ids=lambda code: errno.errorcode[code])
def test_connections_are_served_despite_temporary_failures_of_accept(failure: int, tmp_path: Path) -> None:
    """When the system had no descriptor left, the event loop closed queued connections unread."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with daemon(tmp_path, stub) as balancer:
            balancer.faults.fail(Kind.ACCEPT, 0.4, [failure])
            assert set(await ask_often(balancer, "failing")) == {"200"}
            assert balancer.faults.injected(Kind.ACCEPT) > 0
            balancer.faults.calm()
            assert set(await ask_often(balancer, "calm")) == {"200"}
            balancer.process.terminate()
            assert await balancer.ended() == 0

    run(main())


@pytest.mark.parametrize(
    ("kind", "share", "errors"),
    [
        (Kind.CONNECT, 0.4, CONNECT_ERRORS),
        (Kind.SOCKET, 0.4, SOCKET_ERRORS),
        (Kind.WAIT, 0.4, (errno.EINTR,)),
        (Kind.SHORT_READ, 0.8, ()),
        (Kind.SHORT_WRITE, 0.8, ()),
        (Kind.BROKEN, 1.0, BROKEN_ERRORS),
    ],
    ids=lambda value: value.name if isinstance(value, Kind) else "",
)
def test_each_request_is_answered_despite_failures_of_other_calls(
    kind: Kind, share: float, errors: tuple[int, ...], tmp_path: Path
) -> None:
    """Refused or failed if no connection can be established, but never left without an answer."""

    async def main() -> None:
        # Each answer ends its connection, so that each request needs a connect.
        stub = await Stub(answers_with(answer(Connection="close"), close=True)).start()
        async with daemon(tmp_path, stub) as balancer:
            balancer.faults.fail(kind, share, errors)
            assert set(await ask_often(balancer, "failing")) <= {"200", "500", "503", "504"}
            if kind is not Kind.BROKEN:  # no connection breaks in this test
                assert balancer.faults.injected(kind) > 0
            balancer.faults.calm()
            balancer.process.terminate()
            assert await balancer.ended() == 0

    run(main())


@pytest.mark.parametrize("failure", SOCKET_ERRORS, ids=lambda code: errno.errorcode[code])
def test_a_process_starts_despite_temporary_failures_of_socket(failure: int, tmp_path: Path) -> None:
    """It exited with code 2 and a message that it could not listen."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()

        def before(faults: FaultControl) -> None:
            faults.fail(Kind.SOCKET, 0.7, [failure])

        async with daemon(tmp_path, stub, before=before) as balancer:
            assert balancer.faults.injected(Kind.SOCKET) > 0
            balancer.faults.calm()
            assert (await balancer.ask(request(rid="r1"))).body == b"done"
            balancer.process.terminate()
            assert await balancer.ended() == 0

    run(main())


@pytest.mark.parametrize("failure", (errno.EPERM, errno.ENFILE), ids=lambda code: errno.errorcode[code])
def test_other_clients_are_served_while_every_accept_fails(failure: int, tmp_path: Path) -> None:
    """The event loop keeps running, and queued connections are accepted once accept works again."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with daemon(tmp_path, stub) as balancer:
            kept = await balancer.open()
            assert (await kept.ask(request(rid="first"))).body == b"done"
            balancer.faults.fail(Kind.ACCEPT, 1.0, [failure])
            waiting = asyncio.create_task(balancer.ask(request(rid="waiting")))
            await wait_until(lambda: balancer.faults.injected(Kind.ACCEPT) > 0)
            for turn in range(5):
                assert (await kept.ask(request(rid=f"kept-{turn}"))).body == b"done"
            assert not waiting.done()
            balancer.faults.calm()
            assert (await waiting).body == b"done"

    run(main())

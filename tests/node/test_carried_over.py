"""A process may start with state of another configuration: a known list of servers, a folder of bans."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from dykeshift.engine.discovery import instance_number
from dykeshift.handover.folder import Folder
from dykeshift.node.together import ProcessGroup
from tests.node.messages import Message, answer, instance, listing, request
from tests.node.stubs import Stub, answers_with, node, run, service, settings, wait_until


def elsewhere(name: str, stub: Stub, **changes: Any) -> dict[str, Any]:
    """An entry of another configuration: its zone, machine kind and cell are unknown in this one."""
    return instance(name, stub.address, zone="elsewhere", machineType="huge", cell=977, **changes)


def test_a_known_list_of_another_configuration_serves_until_discovery_answers() -> None:
    async def main() -> None:
        here, there = (
            await Stub(answers_with(answer(b"here"))).start(),
            await Stub(answers_with(answer(b"there"))).start(),
        )
        async with node(here, known=listing(900, True, elsewhere("x9", there))) as balancer:
            assert (await balancer.ask(request(rid="r0"))).body == b"there"
            await wait_until(lambda: bool(balancer.registry.paths))
            # other generations: this discovery never had the known list
            balancer.registry.put(listing(3, False))
            balancer.registry.put(listing(3, True, instance("s0", here.address)))
            await wait_until(lambda: balancer.front.driver.ready == {instance_number("s0")})
            assert set(balancer.front.driver.balancer.servers) >= {instance_number("s0")}
            for n in range(1, 6):
                assert (await balancer.ask(request(rid=f"r{n}"))).body == b"here"
            assert len(there.seen) == 1

    run(main())


def test_a_keyed_request_is_not_retried_by_the_zones_of_a_known_list() -> None:
    """The server at an address may now be in another zone, in which the idempotency key is unknown."""

    async def main() -> None:
        async def breaks(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        stubs = [await Stub(breaks).start() for _ in range(3)]
        rows = [elsewhere(f"x{n}", stub) for n, stub in enumerate(stubs)]
        given = settings(services=[service("set", "token", group="zone")])
        async with node(*stubs, settings=given, known=listing(9, True, *rows)) as balancer:
            got = await balancer.ask(request("set", rid="r1"))
            assert got.start.split()[1] == "500"
            assert sum(len(stub.seen) for stub in stubs) == 1

    run(main())


def test_zones_missing_in_the_settings_are_not_the_same_zone() -> None:
    """A key valid within one zone was retried in another, because both were unknown and treated as equal."""

    async def main() -> None:
        async def breaks(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        stubs = [await Stub(breaks).start() for _ in range(3)]
        rows = [instance(f"x{n}", stub.address, zone=f"elsewhere{n}") for n, stub in enumerate(stubs)]
        given = settings(services=[service("set", "token", group="zone")])
        async with node(settings=given, known=None) as balancer:
            balancer.registry.put(listing(9, True, *rows))
            await wait_until(lambda: len(balancer.front.driver.ready) == 3)
            assert (await balancer.ask(request("set", rid="r1"))).start.split()[1] == "500"
            assert sum(len(stub.seen) for stub in stubs) == 1

    run(main())


def test_a_known_address_that_now_belongs_to_another_server_is_dropped() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub, known=listing(3, True, elsewhere("x9", stub))) as balancer:
            await wait_until(lambda: bool(balancer.registry.paths))
            balancer.registry.put(listing(4, False, instance("s0", stub.address)))
            await wait_until(lambda: balancer.front.driver.ready == {instance_number("s0")})
            assert (await balancer.ask(request())).body == b"done"

    run(main())


def test_a_process_without_an_inherited_listener_does_not_use_the_shared_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only processes with an inherited listener share a folder; otherwise $TMPDIR is empty at the start."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with Folder(str(tmp_path)).change() as stored:
        stored.enter("s0", 5)
    before = sorted(tmp_path.iterdir())

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            assert (await balancer.ask(request())).body == b"done"
            assert not balancer.front.driver.balancer.banned

    run(main())
    assert sorted(tmp_path.iterdir()) == before


def test_bans_of_unknown_servers_affect_no_listed_server(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        with Folder(str(tmp_path)).change() as stored:
            for name in ("x1", "x2"):
                stored.enter(name, 5)
            stored.exit("x2", 6)
        async with node(stub) as balancer:
            front = balancer.front
            ProcessGroup(front.loop, front.clock, Folder(str(tmp_path)), front.driver, front).restore()
            assert set(front.driver.balancer.banned) == {instance_number("x1")}
            assert (await balancer.ask(request())).body == b"done"

    run(main())

"""What a process finds at its start may be of another configuration: a known list, a folder of bans."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from dykeshift.engine.discovery import number_of
from dykeshift.handover.folder import Folder
from dykeshift.node.together import Together
from tests.node.messages import Message, answer, instance, listing, request
from tests.node.stubs import Stub, node, run, says, service, settings, until


def elsewhere(name: str, stub: Stub, **changes: Any) -> dict[str, Any]:
    """An entry in words of another configuration: zone, kind and cell are none of this one's."""
    return instance(name, stub.address, zone="elsewhere", machineType="huge", cell=977, **changes)


def test_a_known_list_in_words_of_another_configuration_serves_until_the_true_one_comes() -> None:
    async def main() -> None:
        here, there = await Stub(says(answer(b"here"))).start(), await Stub(says(answer(b"there"))).start()
        async with node(here, known=listing(900, True, elsewhere("x9", there))) as balancer:
            assert (await balancer.ask(request(rid="r0"))).body == b"there"
            await until(lambda: bool(balancer.registry.paths))
            balancer.registry.put(listing(3, False))  # another count: it never had what was known
            balancer.registry.put(listing(3, True, instance("s0", here.address)))
            await until(lambda: balancer.front.driver.ready == {number_of("s0")})
            assert set(balancer.front.driver.balancer.servers) >= {number_of("s0")}
            for n in range(1, 6):
                assert (await balancer.ask(request(rid=f"r{n}"))).body == b"here"
            assert len(there.seen) == 1

    run(main())


def test_a_key_is_not_repeated_by_what_a_known_list_says_of_zones() -> None:
    """Who lives at an address now may be of another zone, which knows no such key."""

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


def test_zones_that_the_settings_do_not_name_are_not_taken_for_one() -> None:
    """A key that holds within a zone was repeated in another: both counted as no zone."""

    async def main() -> None:
        async def breaks(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        stubs = [await Stub(breaks).start() for _ in range(3)]
        rows = [instance(f"x{n}", stub.address, zone=f"elsewhere{n}") for n, stub in enumerate(stubs)]
        given = settings(services=[service("set", "token", group="zone")])
        async with node(settings=given, known=None) as balancer:
            balancer.registry.put(listing(9, True, *rows))
            await until(lambda: len(balancer.front.driver.ready) == 3)
            assert (await balancer.ask(request("set", rid="r1"))).start.split()[1] == "500"
            assert sum(len(stub.seen) for stub in stubs) == 1

    run(main())


def test_a_known_address_that_belongs_to_another_now_is_given_up() -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub, known=listing(3, True, elsewhere("x9", stub))) as balancer:
            await until(lambda: bool(balancer.registry.paths))
            balancer.registry.put(listing(4, False, instance("s0", stub.address)))
            await until(lambda: balancer.front.driver.ready == {number_of("s0")})
            assert (await balancer.ask(request())).body == b"done"

    run(main())


def test_run_does_not_read_the_folder_of_another_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only who is handed a listener shares one; $TMPDIR is each balancer's own and empty at its start."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with Folder(str(tmp_path)).change() as held:
        held.enter("s0", 5)
    before = sorted(tmp_path.iterdir())

    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            assert (await balancer.ask(request())).body == b"done"
            assert not balancer.front.driver.balancer.banned

    run(main())
    assert sorted(tmp_path.iterdir()) == before


def test_bans_of_servers_that_are_not_here_keep_nobody_out(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        with Folder(str(tmp_path)).change() as held:
            for name in ("x1", "x2"):
                held.enter(name, 5)
            held.exit("x2", 6)
        async with node(stub) as balancer:
            front = balancer.front
            Together(front.loop, front.clock, Folder(str(tmp_path)), front.driver, front).restore()
            assert set(front.driver.balancer.banned) == {number_of("x1")}
            assert (await balancer.ask(request())).body == b"done"

    run(main())

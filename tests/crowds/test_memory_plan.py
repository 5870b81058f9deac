"""The parts of the memory of a process add up to its limit, and a real process keeps within its base."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine.budget import Budget
from dykeshift.engine.memory import BASE_BYTES, MAX_PIECE_BYTES, MIN_PIECE_BYTES, plan
from dykeshift.engine.reading import ReadBuffer
from dykeshift.rig.addresses import ReservedAddresses
from tests.crowds.run import wait_until_served
from tests.crowds.supervisor import Supervisor, resident_bytes
from tests.handover.test_upgrade import FullListDiscovery
from tests.node.messages import answer, instance, listing
from tests.node.stubs import PATIENCE, Stub, answers_with, configuration


@given(st.floats(32, 4096), st.integers(4, 2000))
def test_the_parts_of_the_memory_never_add_up_to_more_than_the_limit(
    memory_mb: float, connections: int
) -> None:
    found = plan(memory_mb, connections)
    assert found.total() <= memory_mb * 1e6
    assert 1 <= found.connections <= connections and found.buffers > MAX_PIECE_BYTES


@given(st.integers(1, 2000))
def test_the_least_memory_of_the_pages_bears_a_third_of_the_least_descriptors(connections: int) -> None:
    assert plan(32, connections).connections >= min(connections, 256 // 3)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300_000), st.booleans()), max_size=60))
def test_nothing_is_held_beyond_the_budget_and_no_read_is_larger_than_its_room(
    steps: list[tuple[int, int, bool]],
) -> None:
    budget = Budget[int](400_000)
    buffer = ReadBuffer(budget)
    for holder, size, releases in steps:
        before = dict(budget.usage)
        if releases:
            buffer.release(holder)
            assert holder not in budget.usage
        elif not buffer.reserve(holder, size):
            assert budget.usage == before and size > MIN_PIECE_BYTES
        assert budget.total == sum(budget.usage.values()) <= budget.limit
        offered = len(buffer.offer())
        assert offered == MIN_PIECE_BYTES or budget.total + offered <= budget.limit


# Guards against a program that has grown beyond what its memory is shared out by.
def test_a_new_process_takes_no_more_than_its_part(tmp_path: Path) -> None:
    async def main() -> None:
        registry = FullListDiscovery()
        await registry.start()
        stub = await Stub(answers_with(answer(b"done"))).start()
        registry.known = listing(1, True, instance("s0", stub.address))
        addresses = ReservedAddresses()
        address = addresses.reserve()
        given = configuration(registry.address, registry.known) | {"listen": "%s:%d" % address}
        path, folder = tmp_path / "config.json", tmp_path / "tmp"
        folder.mkdir()
        path.write_text(json.dumps(given), encoding="utf-8")
        supervisor = Supervisor(path, folder, 192)
        try:
            await supervisor.start()
            await wait_until_served(address)
            assert supervisor.process is not None
            assert resident_bytes(supervisor.process.pid) <= BASE_BYTES
        finally:
            await supervisor.kill()
            addresses.release()

    asyncio.run(asyncio.wait_for(main(), PATIENCE))

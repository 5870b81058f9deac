"""asyncio's own pieces on the virtual loop, and what the loop promises beside."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from dykeshift.sim.kernel import EPOCH, MS, SECOND, Flavour, Host, LivelockError, VirtualClock, World
from dykeshift.sim.loop import Program
from tests.sim.world import PLAIN


def process(flavour: Flavour = PLAIN, seed: str = "loop") -> Program:
    return Program(World(seed, flavour), Host("h"), "p")


def test_sleeps_timeouts_and_tasks_take_virtual_time_only() -> None:
    one = process()
    log: list[tuple[str, float]] = []

    async def worker(name: str, seconds: float) -> str:
        await asyncio.sleep(seconds)
        log.append((name, one.loop.time() - EPOCH / SECOND))
        return name

    async def main() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(5):
                await worker("too long", 3600)
        done = await asyncio.gather(worker("a", 2), worker("b", 1))
        log.append((str(done), one.loop.time() - EPOCH / SECOND))

    one.loop.start(main())
    one.world.run(EPOCH + 100 * SECOND)
    assert log == [("b", 6.0), ("a", 7.0), ("['a', 'b']", 7.0)]
    assert one.exit_code == 0 and not one.loop.faults


def test_every_order_of_two_timers_at_one_instant_comes_up_and_a_seed_keeps_its_own() -> None:
    def order(seed: str) -> str:
        one = process(seed=seed)
        said: list[str] = []
        one.loop.call_later(1, said.append, "a")
        one.loop.call_later(1, said.append, "b")
        one.world.run(EPOCH + 2 * SECOND)
        return "".join(said)

    orders = [order(str(n)) for n in range(40)]
    assert set(orders) == {"ab", "ba"} and orders == [order(str(n)) for n in range(40)]


def test_events_of_one_instant_at_two_processes_come_in_either_order() -> None:
    seen = Counter[str]()
    for n in range(40):
        world = World(str(n), PLAIN)
        said: list[str] = []
        for name in "ab":
            Program(world, Host(name), name).loop.call_later(1, said.append, name)
        world.run(EPOCH + 2 * SECOND)
        seen["".join(said)] += 1
    assert set(seen) == {"ab", "ba"}


def test_what_is_put_off_runs_in_its_order_and_in_the_next_round() -> None:
    one = process()
    said: list[str] = []

    def first() -> None:
        one.loop.call_soon(said.append, "third")
        said.append("first")

    one.loop.call_soon(first)
    one.loop.call_soon(said.append, "second")
    one.world.run(EPOCH + SECOND)
    assert said == ["first", "second", "third"]


def test_uvloop_counts_in_whole_milliseconds_and_may_fire_early() -> None:
    for uvloop, fired in ((True, 1.0), (False, 1.0004)):
        one = process(replace(PLAIN, uvloop=uvloop))
        times: list[float] = []
        one.loop.call_later(1.0004, lambda one=one, times=times: times.append(one.loop.time()))
        one.world.run(EPOCH + 2 * SECOND)
        assert times == [pytest.approx(EPOCH / SECOND + fired, abs=1e-9)]


def test_a_stalled_process_does_nothing_and_catches_up_in_one_round() -> None:
    one = process()
    said: list[float] = []
    for n in range(1, 6):
        one.loop.call_later(n, lambda: said.append(one.loop.time() - EPOCH / SECOND))
    one.world.at(EPOCH + 1500 * MS, one.stall, 3 * SECOND)
    one.world.run(EPOCH + 10 * SECOND)
    assert said == [1.0, 4.5, 4.5, 4.5, 5.0]


def test_callbacks_take_time_and_the_next_round_starts_after_them() -> None:
    one = process()
    one.callback_cost = 2 * MS
    clock = VirtualClock(one)
    seen: list[int] = []
    for _ in range(3):
        one.loop.call_soon(lambda: seen.append(clock.monotonic_ns() - EPOCH))
    one.loop.call_soon(one.loop.call_soon, lambda: seen.append(clock.monotonic_ns() - EPOCH))
    one.world.run(EPOCH + SECOND)
    assert seen == [0, 2 * MS, 4 * MS, 8 * MS]


def test_the_wall_clock_is_stepped_and_the_monotonic_one_is_not() -> None:
    one = process()
    clock = VirtualClock(one)
    before = clock.monotonic_ns(), clock.time_ns()
    one.host.wall_offset = -60 * SECOND
    assert clock.monotonic_ns() == before[0] and clock.time_ns() == before[1] - 60 * SECOND


def test_a_killed_process_runs_nothing_more_whatever_refers_to_it() -> None:
    one = process()
    said: list[str] = []

    async def main() -> None:
        try:
            await asyncio.sleep(2)
        finally:
            one.loop.call_soon(said.append, "after death")

    one.loop.start(main())
    one.loop.call_later(2, said.append, "timer")
    one.world.at(EPOCH + SECOND, one.kill)
    one.world.run(EPOCH + 5 * SECOND)
    one.loop.call_soon(said.append, "later still")
    one.world.run(EPOCH + 6 * SECOND)
    assert said == [] and one.exit_code == -9


def test_a_signal_waits_until_there_is_a_handler() -> None:
    one = process()
    got: list[str] = []
    one.signal(signal.SIGHUP)
    one.world.run(EPOCH + SECOND)
    one.loop.add_signal_handler(signal.SIGHUP, got.append, "hup")
    one.world.run(EPOCH + 2 * SECOND)
    assert got == ["hup"]


def test_an_exception_that_nothing_catches_is_kept_and_ends_only_its_callback() -> None:
    one = process()
    said: list[str] = []

    def bad() -> None:
        raise ValueError("oops")

    one.loop.call_soon(bad)
    one.loop.call_soon(said.append, "next")
    one.world.run(EPOCH + SECOND)
    assert said == ["next"] and "oops" in one.loop.faults[0]


def test_a_program_that_fails_is_told_from_one_that_ends() -> None:
    one, other = process(), process()

    async def fails() -> None:
        raise RuntimeError("broken")

    async def ends() -> None:
        return

    one.loop.start(fails())
    other.loop.start(ends())
    for each in (one, other):
        each.world.run(EPOCH + SECOND)
    assert (one.exit_code, other.exit_code) == (70, 0) and "broken" in one.loop.faults[0]


def test_a_loop_that_never_lets_time_pass_is_found() -> None:
    one = process()

    def again() -> None:
        one.loop.call_later(0, again)

    one.loop.call_soon(again)
    with pytest.raises(LivelockError):
        one.world.run(EPOCH + SECOND)


def test_a_cancel_in_the_instant_of_the_result_wins_as_in_asyncio() -> None:
    outcomes = Counter[str]()
    for seed in range(30):
        one = process(seed=str(seed))

        async def main(one: Program = one) -> None:
            future: asyncio.Future[Any] = one.loop.create_future()

            async def wait() -> str:
                await future
                return "result"

            task = one.loop.create_task(wait())
            one.loop.call_later(1, future.set_result, None)
            one.loop.call_later(1, task.cancel)
            await asyncio.wait([task])
            outcomes["cancelled" if task.cancelled() else task.result()] += 1

        one.loop.start(main())
        one.world.run(EPOCH + 2 * SECOND)
        assert one.exit_code == 0
    assert outcomes == {"cancelled": 30}

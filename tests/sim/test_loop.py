"""asyncio's primitives on the virtual event loop, and the loop's own guarantees."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from dykeshift.sim.kernel import EPOCH, MS, SECOND, Platform, Host, LivelockError, VirtualClock, World
from dykeshift.sim.loop import Program
from tests.sim.world import PLAIN_PLATFORM


def process(platform: Platform = PLAIN_PLATFORM, seed: str = "loop") -> Program:
    return Program(World(seed, platform), Host("h"), "p")


def test_sleeps_timeouts_and_tasks_take_virtual_time_only() -> None:
    program = process()
    log: list[tuple[str, float]] = []

    async def worker(name: str, seconds: float) -> str:
        await asyncio.sleep(seconds)
        log.append((name, program.loop.time() - EPOCH / SECOND))
        return name

    async def main() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(5):
                await worker("too long", 3600)
        done = await asyncio.gather(worker("a", 2), worker("b", 1))
        log.append((str(done), program.loop.time() - EPOCH / SECOND))

    program.loop.start(main())
    program.world.run(EPOCH + 100 * SECOND)
    assert log == [("b", 6.0), ("a", 7.0), ("['a', 'b']", 7.0)]
    assert program.exit_code == 0 and not program.loop.uncaught_errors


def test_order_of_simultaneous_timers_is_random_and_fixed_by_the_seed() -> None:
    def order(seed: str) -> str:
        program = process(seed=seed)
        calls: list[str] = []
        program.loop.call_later(1, calls.append, "a")
        program.loop.call_later(1, calls.append, "b")
        program.world.run(EPOCH + 2 * SECOND)
        return "".join(calls)

    orders = [order(str(n)) for n in range(40)]
    assert set(orders) == {"ab", "ba"} and orders == [order(str(n)) for n in range(40)]


def test_simultaneous_events_of_two_processes_run_in_either_order() -> None:
    seen = Counter[str]()
    for n in range(40):
        world = World(str(n), PLAIN_PLATFORM)
        calls: list[str] = []
        for name in "ab":
            Program(world, Host(name), name).loop.call_later(1, calls.append, name)
        world.run(EPOCH + 2 * SECOND)
        seen["".join(calls)] += 1
    assert set(seen) == {"ab", "ba"}


def test_call_soon_keeps_order_and_runs_in_the_next_iteration() -> None:
    program = process()
    calls: list[str] = []

    def first() -> None:
        program.loop.call_soon(calls.append, "third")
        calls.append("first")

    program.loop.call_soon(first)
    program.loop.call_soon(calls.append, "second")
    program.world.run(EPOCH + SECOND)
    assert calls == ["first", "second", "third"]


def test_uvloop_rounds_timers_to_milliseconds_and_may_fire_early() -> None:
    for uvloop, fired in ((True, 1.0), (False, 1.0004)):
        program = process(replace(PLAIN_PLATFORM, uvloop=uvloop))
        times: list[float] = []
        program.loop.call_later(
            1.0004, lambda program=program, times=times: times.append(program.loop.time())
        )
        program.world.run(EPOCH + 2 * SECOND)
        assert times == [pytest.approx(EPOCH / SECOND + fired, abs=1e-9)]


def test_a_stalled_process_runs_overdue_timers_in_one_iteration() -> None:
    program = process()
    calls: list[float] = []
    for n in range(1, 6):
        program.loop.call_later(n, lambda: calls.append(program.loop.time() - EPOCH / SECOND))
    program.world.at(EPOCH + 1500 * MS, program.stall, 3 * SECOND)
    program.world.run(EPOCH + 10 * SECOND)
    assert calls == [1.0, 4.5, 4.5, 4.5, 5.0]


def test_callbacks_take_time_and_the_next_iteration_starts_after_them() -> None:
    program = process()
    program.callback_cost = 2 * MS
    clock = VirtualClock(program)
    seen: list[int] = []
    for _ in range(3):
        program.loop.call_soon(lambda: seen.append(clock.monotonic_ns() - EPOCH))
    program.loop.call_soon(program.loop.call_soon, lambda: seen.append(clock.monotonic_ns() - EPOCH))
    program.world.run(EPOCH + SECOND)
    assert seen == [0, 2 * MS, 4 * MS, 8 * MS]


def test_a_step_of_the_wall_clock_leaves_the_monotonic_clock() -> None:
    program = process()
    clock = VirtualClock(program)
    before = clock.monotonic_ns(), clock.time_ns()
    program.host.wall_offset = -60 * SECOND
    assert clock.monotonic_ns() == before[0] and clock.time_ns() == before[1] - 60 * SECOND


def test_a_killed_process_runs_no_more_callbacks() -> None:
    program = process()
    calls: list[str] = []

    async def main() -> None:
        try:
            await asyncio.sleep(2)
        finally:
            program.loop.call_soon(calls.append, "after death")

    program.loop.start(main())
    program.loop.call_later(2, calls.append, "timer")
    program.world.at(EPOCH + SECOND, program.kill)
    program.world.run(EPOCH + 5 * SECOND)
    program.loop.call_soon(calls.append, "later still")
    program.world.run(EPOCH + 6 * SECOND)
    assert calls == [] and program.exit_code == -9


def test_a_signal_is_pending_until_there_is_a_handler() -> None:
    program = process()
    got: list[str] = []
    program.signal(signal.SIGHUP)
    program.world.run(EPOCH + SECOND)
    program.loop.add_signal_handler(signal.SIGHUP, got.append, "hup")
    program.world.run(EPOCH + 2 * SECOND)
    assert got == ["hup"]


def test_an_uncaught_exception_is_recorded_and_ends_only_its_callback() -> None:
    program = process()
    calls: list[str] = []

    def bad() -> None:
        raise ValueError("oops")

    program.loop.call_soon(bad)
    program.loop.call_soon(calls.append, "next")
    program.world.run(EPOCH + SECOND)
    assert calls == ["next"] and "oops" in program.loop.uncaught_errors[0]


def test_exit_codes_of_a_failed_and_a_finished_program() -> None:
    program, other = process(), process()

    async def fails() -> None:
        raise RuntimeError("broken")

    async def ends() -> None:
        return

    program.loop.start(fails())
    other.loop.start(ends())
    for each in (program, other):
        each.world.run(EPOCH + SECOND)
    assert (program.exit_code, other.exit_code) == (70, 0) and "broken" in program.loop.uncaught_errors[0]


def test_a_program_that_never_lets_time_pass_raises_livelock() -> None:
    program = process()

    def again() -> None:
        program.loop.call_later(0, again)

    program.loop.call_soon(again)
    with pytest.raises(LivelockError):
        program.world.run(EPOCH + SECOND)


def test_a_cancel_simultaneous_with_the_result_wins_as_in_asyncio() -> None:
    outcomes = Counter[str]()
    for seed in range(30):
        program = process(seed=str(seed))

        async def main(program: Program = program) -> None:
            future: asyncio.Future[Any] = program.loop.create_future()

            async def wait() -> str:
                await future
                return "result"

            task = program.loop.create_task(wait())
            program.loop.call_later(1, future.set_result, None)
            program.loop.call_later(1, task.cancel)
            await asyncio.wait([task])
            outcomes["cancelled" if task.cancelled() else task.result()] += 1

        program.loop.start(main())
        program.world.run(EPOCH + 2 * SECOND)
        assert program.exit_code == 0
    assert outcomes == {"cancelled": 30}

"""What a journal promises through failing disks, power cuts and damage; and what replay says of it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykeshift.clock import SYSTEM
from dykeshift.mllp.journal import KIND, STEM, Answered, Horizon, Journal, Sent, encode, replay
from dykeshift.mllp.memory import Bounds, Identity, Memory, Verdict, identify
from dykeshift.standins.disk import Disk
from dykeshift.store.log import Recovered
from dykeshift.store.records import LogFormatError
from dykeshift.store.segments import RecoveredSegment, Segments

S = 1_000_000_000


def message(control: str) -> Identity:
    return identify(b"CLINIC", b"DORNOD", control.encode(), b"x" * 40)


class Queue:
    """A worker whose work is done when the test says so."""

    def __init__(self) -> None:
        self.todo: list[tuple[Callable[[], Any], Callable[[Any, BaseException | None], None]]] = []

    def run(self, work: Callable[[], Any], done: Callable[[Any, BaseException | None], None]) -> None:
        self.todo.append((work, done))

    def step(self) -> None:
        work, done = self.todo.pop(0)
        try:
            result, error = work(), None
        except Exception as exc:
            result, error = None, exc
        done(result, error)

    def settle(self) -> None:
        while self.todo:
            self.step()

    def close(self) -> None:
        self.settle()


class Desk:
    """A journal on a disk in memory, and what it told those who waited."""

    def __init__(self, disk: Disk, full: int = 4 << 20, bounds: Bounds = Bounds(clock_error=0)) -> None:  # noqa: B008
        self.queue, self.heard = Queue(), list[tuple[str, bool]]()
        self.memory = Memory[int](0, bounds, complete=True)
        self.segments = Segments(disk, STEM, KIND, full)
        self.journal = Journal(asyncio.get_running_loop(), SYSTEM, self.queue, self.segments, self.memory)
        self.report = self.journal.recover()
        self.queue.settle()

    def sent(self, control: str) -> None:
        def heard(lasts: bool) -> None:
            self.heard.append((control, lasts))

        self.journal.sent(message(control), 1, heard, 60.0)

    def answered(self, control: str, answer: bytes = b"AA") -> None:
        now = SYSTEM.time_ns()
        self.memory.arrive(now, message(control), now, 1)
        self.memory.answer(now, message(control), answer)
        self.journal.answered(message(control), now, answer)

    def knows(self, control: str) -> Verdict:
        now = SYSTEM.time_ns()
        return self.memory.arrive(now, message(control), now, 1).verdict


def run(main: Callable[[], Any]) -> None:
    asyncio.run(asyncio.wait_for(main(), 30))


def test_records_that_come_while_the_disk_is_busy_share_the_next_sync() -> None:
    async def main() -> None:
        desk = Desk(Disk())
        for name in "abcd":
            desk.sent(name)
        assert len(desk.queue.todo) == 1 and desk.heard == []
        desk.queue.step()
        assert desk.heard == [("a", True)] and len(desk.queue.todo) == 1
        desk.queue.step()
        assert desk.heard == [(name, True) for name in "abcd"] and not desk.queue.todo

    run(main)


def test_after_a_restart_answers_are_known_the_unanswered_are_unknown_and_the_withdrawn_are_new() -> None:
    async def main() -> None:
        disk = Disk()
        desk = Desk(disk)
        for name in "abc":
            desk.sent(name)
        desk.answered("a")
        desk.journal.withdrawn(message("c"))
        desk.queue.settle()
        disk.power_cut()
        again = Desk(disk)
        assert (again.report.answered, again.report.unanswered) == (1, 1)
        assert [again.knows(name) for name in "abcd"] == [
            Verdict.REPLAY,
            Verdict.UNKNOWN,
            Verdict.NEW,
            Verdict.NEW,
        ]

    run(main)


def test_a_first_start_knows_nothing_of_what_was_before_and_later_ones_remember_that() -> None:
    async def main() -> None:
        disk = Disk()
        first = Desk(disk)
        assert first.memory.horizon > 0
        disk.power_cut()
        assert Desk(disk).memory.horizon == first.memory.horizon

    run(main)


@pytest.mark.parametrize("trouble", ["full", "read-only", "sync"])
def test_a_failed_journal_takes_nothing_says_so_and_goes_on_in_a_new_file(trouble: str) -> None:
    async def main() -> None:
        disk = Disk()
        desk = Desk(disk)
        disk.room = sum(map(len, disk.seen.values())) + 20 if trouble == "full" else None
        disk.read_only, disk.sync_fails = trouble == "read-only", trouble == "sync"
        desk.sent("a")
        desk.sent("b")
        desk.queue.settle()
        assert desk.heard == [("a", False), ("b", False)] and desk.journal.failed
        desk.sent("c")
        await asyncio.sleep(0)
        assert desk.heard[-1] == ("c", False) and not desk.queue.todo
        disk.room, disk.read_only, disk.sync_fails = None, False, False
        desk.journal._recover()
        desk.queue.settle()
        desk.sent("d")
        desk.queue.settle()
        assert desk.heard[-1] == ("d", True) and not desk.journal.failed and desk.segments.number == 2
        disk.power_cut()
        assert Desk(disk).knows("d") is Verdict.UNKNOWN

    run(main)


def test_who_waits_too_long_hears_that_it_does_not_last_and_hears_it_once() -> None:
    async def main() -> None:
        desk = Desk(Disk())
        heard = list[bool]()
        desk.journal.sent(message("a"), 1, heard.append, 0.0)
        while not heard:
            await asyncio.sleep(0)
        desk.queue.settle()
        assert heard == [False]

    run(main)


def test_files_are_removed_once_all_in_them_is_forgotten_and_the_horizon_stays() -> None:
    async def main() -> None:
        disk = Disk()
        desk = Desk(disk, full=400, bounds=Bounds(entries=4, clock_error=0))
        for n in range(60):
            desk.answered(f"{n}")
            desk.queue.settle()
        assert desk.segments.number > 10 and len(disk.seen) <= 4
        disk.power_cut()
        again = Desk(disk, full=400, bounds=Bounds(entries=4, clock_error=0))
        assert again.knows("59") is Verdict.REPLAY
        # What was removed with its files is not taken for new: it was made before the horizon.
        assert again.memory.horizon >= desk.memory.horizon - S
        old = again.memory.arrive(SYSTEM.time_ns(), message("3"), desk.memory.horizon - 1, 1)
        assert old.verdict is Verdict.UNKNOWN

    run(main)


def found(
    *records: Any, holes: list[tuple[int, int]] | None = None, size: int = 100, torn: int = 0
) -> RecoveredSegment:
    return RecoveredSegment(1, Recovered([encode(r) for r in records], torn, holes or [], size))


def test_damage_in_the_middle_moves_the_horizon_to_the_last_record_behind_it() -> None:
    name, digest = message("a").name, message("a").digest
    memory = Memory[int](0, Bounds(clock_error=2 * S), complete=True)
    report = replay(
        [found(Sent(name, digest, 1, 5 * S), Answered(name, digest, 1, 9 * S, b"AA"), holes=[(20, 40)])],
        memory,
        99 * S,
    )
    assert memory.horizon == 11 * S and report.lost == 20 and "damaged" in str(report)
    memory = Memory[int](0, Bounds(clock_error=2 * S), complete=True)
    replay([found(Sent(name, digest, 1, 5 * S), holes=[(80, 100)])], memory, 99 * S)
    assert memory.horizon == 101 * S  # at the end nobody knows until when


def test_a_torn_tail_is_told_and_costs_nothing_as_nothing_rested_on_it() -> None:
    memory = Memory[int](0, Bounds(), complete=True)
    report = replay([found(Horizon(3, 4), torn=17)], memory, 99 * S)
    assert memory.horizon == 3 and "17 bytes of an unfinished record" in str(report)


def test_a_record_of_a_later_version_stops_the_start() -> None:
    with pytest.raises(LogFormatError, match="this version can't read"):
        replay(
            [RecoveredSegment(7, Recovered([b"\x92\x63\x01"], 0, [], 20))], Memory[int](0, complete=True), 1
        )


STEPS = st.lists(
    st.tuples(st.sampled_from(["sent", "answered", "withdrawn", "step", "cut"]), st.sampled_from("abc")),
    max_size=40,
)


class Told:
    """What a journal was given, step by step, and what it has said of it."""

    def __init__(self, seed: int) -> None:
        self.disk = Disk(seed)
        self.desk = Desk(self.disk, full=300)
        self.may_have_run = set[str]()
        self.waiting = Counter[str]()  # told or not yet: one name may be sent twice

    def take(self, step: str, name: str) -> None:
        desk = self.desk
        if step == "sent":
            desk.sent(name)
            self.waiting[name] += 1
        elif step == "answered" and name in self.may_have_run:
            desk.journal.answered(message(name), 1, b"AA")
        elif step == "withdrawn" and not self.waiting[name]:
            desk.journal.withdrawn(message(name))  # refused: it has certainly not run
            self.may_have_run.discard(name)
        elif step == "step" and desk.queue.todo:
            desk.queue.step()
        self.hear()

    def hear(self) -> None:
        self.may_have_run |= {control for control, lasts in self.desk.heard if lasts}
        self.waiting.subtract(control for control, _ in self.desk.heard)
        self.desk.heard.clear()

    def cut(self) -> None:
        """The power goes, and another journal begins with what lasts."""
        self.disk.power_cut()
        self.desk = Desk(self.disk, full=300)
        for known in self.may_have_run:
            assert self.desk.knows(known) in (Verdict.REPLAY, Verdict.UNKNOWN)
        self.hear()
        self.waiting.clear()


@settings(max_examples=150, deadline=None)
@given(STEPS, st.integers(0, 1000))
def test_through_any_power_cuts_nothing_that_was_told_to_last_is_taken_for_new(
    steps: list[tuple[str, str]], seed: int
) -> None:
    async def main() -> None:
        told = Told(seed)
        for step, name in [*steps, ("cut", "")]:
            if step == "cut":
                told.cut()
            else:
                told.take(step, name)

    run(main)

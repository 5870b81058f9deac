"""A resend is harmless: it waits, hears the same answer, or hears that nobody knows; it is never sent."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykeshift.mllp.memory import OVERHEAD, Bounds, Identity, Memory, Ruling, Verdict, identify

S = 1_000_000_000
DAY = 24 * 3600 * S


def message(control: str = "1", content: bytes = b"x") -> Identity:
    return identify(b"CLINIC", b"DORNOD", control.encode(), content)


def fresh(**bounds: int) -> Memory[str]:
    return Memory(0, Bounds(**bounds), complete=True)


def test_a_resend_waits_while_the_first_is_in_work_and_both_hear_the_answer() -> None:
    memory = fresh()
    assert memory.arrive(1, message(), 1, "a").verdict is Verdict.NEW
    assert memory.arrive(2, message(), 1, "b").verdict is Verdict.WAIT
    assert memory.answer(3, message(), b"AA") == ["a", "b"]
    assert memory.arrive(4, message(), 1, "c") == Ruling(Verdict.REPLAY, b"AA")


def test_the_same_control_id_with_other_content_conflicts_in_work_and_after() -> None:
    memory = fresh()
    memory.arrive(1, message(), 1, "a")
    assert memory.arrive(2, message(content=b"y"), 1, "b").verdict is Verdict.CONFLICT
    memory.answer(3, message(), b"AA")
    assert memory.arrive(4, message(content=b"y"), 1, "b").verdict is Verdict.CONFLICT
    other = identify(b"OTHER", b"DORNOD", b"1", b"y")
    assert memory.arrive(5, other, 1, "b").verdict is Verdict.NEW


def test_what_was_given_up_unsent_may_come_again_as_new() -> None:
    memory = fresh()
    memory.arrive(1, message(), 1, "a")
    assert memory.withdraw(message()) == ["a"]
    assert memory.arrive(2, message(), 1, "b").verdict is Verdict.NEW


def test_a_start_without_a_journal_knows_nothing_of_what_was_made_before() -> None:
    memory = Memory[str](10 * DAY, Bounds(age=DAY))
    assert memory.arrive(10 * DAY + S, message("1"), 10 * DAY - S, "a").verdict is Verdict.UNKNOWN
    assert memory.arrive(10 * DAY + 3 * S, message("2"), 10 * DAY + 3 * S, "a").verdict is Verdict.NEW
    assert memory.arrive(10 * DAY + S, message("3"), None, "a").verdict is Verdict.UNKNOWN
    assert memory.arrive(11 * DAY + 3 * S, message("3"), None, "a").verdict is Verdict.NEW


def test_what_is_forgotten_for_want_of_room_is_unknown_from_then_on() -> None:
    for bounds in ({"entries": 3}, {"bytes": 3 * (OVERHEAD + 20)}):
        memory = fresh(**bounds)
        for n in range(5):
            memory.arrive(n, message(f"{n}"), n, "a")
            memory.answer(n, message(f"{n}"), b"AA")
        assert memory.arrive(9, message("0"), 0, "a").verdict is Verdict.UNKNOWN
        assert memory.arrive(9, message("4"), 4, "a").verdict is Verdict.REPLAY
        assert memory.arrive(9, message("5"), 8, "a").verdict is Verdict.NEW


def test_what_was_sent_and_lost_its_answer_in_a_restart_is_unknown_and_the_later_entry_holds() -> None:
    memory = fresh()
    memory.restore(message("1"), 1, 1, b"AA")
    memory.restore(message("2"), 2, 2, None)
    assert memory.arrive(9, message("1"), 1, "a") == Ruling(Verdict.REPLAY, b"AA")
    assert memory.arrive(9, message("2"), 2, "a").verdict is Verdict.UNKNOWN
    assert memory.arrive(9, message("2", b"y"), 2, "a").verdict is Verdict.CONFLICT
    assert memory.oldest(9) == 1
    memory.restore(message("1"), 1, 3, b"AA again")
    assert memory.arrive(9, message("1"), 1, "a").answer == b"AA again" and memory.oldest(9) == 2
    assert memory.size == sum(memory._weight(entry) for entry in memory.answered.values())
    memory.lost(5)
    assert memory.arrive(9, message("4"), 4, "a").verdict is Verdict.UNKNOWN


def test_a_message_from_the_future_does_not_say_when_it_was_made() -> None:
    memory = Memory[str](10 * DAY, Bounds(age=DAY, clock_error=2 * S))
    now = 10 * DAY + 5 * S
    assert memory.arrive(now, message("1"), now + S, "a").verdict is Verdict.NEW
    assert memory.arrive(now, message("2"), now + 3 * S, "a").verdict is Verdict.UNKNOWN
    assert memory.arrive(now, message("3"), 10 * DAY + S, "a").verdict is Verdict.UNKNOWN


def test_where_several_balancers_serve_a_clinic_only_what_is_fresh_is_new() -> None:
    memory = fresh(fresh=20 * S)
    assert memory.arrive(DAY, message("1"), DAY - 19 * S, "a").verdict is Verdict.NEW
    assert memory.arrive(DAY, message("2"), DAY - 21 * S, "a").verdict is Verdict.UNKNOWN
    assert memory.arrive(DAY, message("3"), None, "a").verdict is Verdict.UNKNOWN
    assert memory.arrive(DAY + 60 * S, message("1"), DAY - 19 * S, "a").verdict is Verdict.WAIT


class Resends(RuleBasedStateMachine):
    """Against a model that remembers everything: what was NEW is never NEW again unless it was withdrawn."""

    def __init__(self) -> None:
        super().__init__()
        self.bounds = Bounds(age=50, entries=4, bytes=4 * (OVERHEAD + 40), clock_error=0)
        self.memory = Memory[int](0, self.bounds, complete=True)
        self.now = 0
        self.taken: dict[str, bytes | None] = {}  # control id: its answer, None while in work
        self.made: dict[str, int] = {}
        self.who = 0
        self.horizon = -1

    @rule(control=st.sampled_from("abcdefgh"), later=st.integers(0, 30))
    def arrive(self, control: str, later: int) -> None:
        self.now += later
        self.made.setdefault(control, self.now)
        self.who += 1
        ruling = self.memory.arrive(self.now, message(control), self.made[control], self.who)
        if ruling.verdict is Verdict.NEW:
            assert control not in self.taken, "it was taken before"
            self.taken[control] = None
        elif ruling.verdict is Verdict.WAIT:
            assert self.taken[control] is None
        elif ruling.verdict is Verdict.REPLAY:
            assert ruling.answer == self.taken[control]
        else:
            assert ruling.verdict is Verdict.UNKNOWN and self.made[control] <= self.memory.horizon

    @rule(size=st.integers(0, 60))
    def answer(self, size: int) -> None:
        for control, known in self.taken.items():
            if known is None:
                self.taken[control] = control.encode() * size
                assert self.memory.answer(self.now, message(control), control.encode() * size)
                return

    @rule()
    def withdraw(self) -> None:
        for control, known in list(self.taken.items()):
            if known is None:
                self.memory.withdraw(message(control))
                del self.taken[control]
                return

    @invariant()
    def bounded(self) -> None:
        memory = self.memory
        assert len(memory.answered) <= self.bounds.entries and memory.size <= self.bounds.bytes
        assert memory.size == sum(memory._weight(e) for e in memory.answered.values())
        assert memory.horizon >= self.horizon
        self.horizon = memory.horizon


TestResends = Resends.TestCase
TestResends.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)

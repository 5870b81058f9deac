"""The time that the platform leaves a process, against a plain statement of the protocol page."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import termination as module
from dykeshift.engine.invariants import Invariant, Occurrences
from dykeshift.engine.termination import MILLISECOND, Termination
from dykeshift.interface import RequestClass
from tests.harness import SAFE

S = 1_000 * MILLISECOND
EVENTS = st.lists(
    st.tuples(st.sampled_from(["settings", "begin"]), st.integers(0, 8 * S), st.integers(1, 5 * S))
)


def classes(*deadlines: int) -> tuple[RequestClass, ...]:
    return tuple(replace(SAFE, deadline=one) for one in deadlines)


@given(st.integers(1, 5 * S), EVENTS)
def test_the_time_to_answer_is_before_the_kill_under_any_settings_of_late(
    first: int, events: list[tuple[str, int, int]]
) -> None:
    made, now, heard = Termination(Occurrences()), 0, None
    made.settings_in_force(now, classes(first))
    history = [(0, first)]  # since when these are in force, and their longest deadline
    before = module.NEVER
    for event, wait, longest in events:
        now += wait
        if event == "settings":
            made.settings_in_force(now, classes(longest // 2, longest))
            history.append((now, longest))
        elif heard is None:
            heard = now
            made.begin(now)
        else:
            assert not made.begin(now)  # a second signal changes nothing
        if heard is None:
            assert made.limit(1) == 1 and not made.refuses(now) and not made.begun
            continue
        ends = [at for at, _ in history[1:]] + [module.NEVER]
        recent = [
            longest
            for (_, longest), end in zip(history, ends, strict=True)
            if end >= heard - module.SETTINGS_SETTLE
        ]
        kill = heard + min(*recent, module.LONGEST_COUNTED) + module.KILL_GRACE
        assert made.kill_at == kill and made.answer_by == kill - module.RESERVE <= before
        before = made.answer_by
        assert made.limit(now) == min(now, made.answer_by)
        assert made.refuses(now) == (now >= made.answer_by)
        assert made.exit_due(now) == (now >= made.answer_by + module.LAST_WRITES)


def test_the_reserve_holds_a_late_signal_and_a_standstill() -> None:
    assert module.RESERVE >= module.SIGNAL_DELAY + module.STANDSTILL + module.LAST_WRITES
    assert min(module.SIGNAL_DELAY, module.STANDSTILL) >= 150 * MILLISECOND


def test_answers_that_come_too_late_and_requests_left_open_are_counted() -> None:
    occurrences = Occurrences()
    made = Termination(occurrences)
    made.settings_in_force(0, classes(S))
    made.answered(10 * S, "before any end")
    made.begin(20 * S)
    made.answered(made.exit_by + module.STANDSTILL, "just in time")
    assert not occurrences.violations
    made.answered(made.exit_by + module.STANDSTILL + 1, "late")
    made.left_open("open")
    assert occurrences.violations == {Invariant.ANSWER_BEFORE_END: 1, Invariant.NONE_OPEN_AT_END: 1}

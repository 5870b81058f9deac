"""The deadlines of a process that is told to end, against a simple model of the protocol specification."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import termination as module
from dykeshift.engine.invariants import EventCounts, Invariant
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
def test_the_time_to_answer_is_before_the_kill_under_any_recent_settings(
    first: int, events: list[tuple[str, int, int]]
) -> None:
    termination, now, heard = Termination(EventCounts()), 0, None
    termination.settings_in_force(now, classes(first))
    history = [(0, first)]  # when settings came into force, and their longest deadline
    before = module.NEVER
    for event, wait, longest in events:
        now += wait
        if event == "settings":
            termination.settings_in_force(now, classes(longest // 2, longest))
            history.append((now, longest))
        elif heard is None:
            heard = now
            termination.begin(now)
        else:
            assert not termination.begin(now)  # a second signal changes nothing
        if heard is None:
            assert termination.limit(1) == 1 and not termination.refuses(now) and not termination.begun
            continue
        ends = [at for at, _ in history[1:]] + [module.NEVER]
        recent = [
            longest
            for (_, longest), end in zip(history, ends, strict=True)
            if end >= heard - module.SETTINGS_OVERLAP
        ]
        kill = heard + min(*recent, module.LONGEST_COUNTED) + module.KILL_GRACE
        assert termination.kill_at == kill and termination.answer_by == kill - module.RESERVE <= before
        before = termination.answer_by
        assert termination.limit(now) == min(now, termination.answer_by)
        assert termination.refuses(now) == (now >= termination.answer_by)
        assert termination.exit_due(now) == (now >= termination.answer_by + module.LAST_WRITES)


def test_the_reserve_covers_a_late_signal_and_a_stall() -> None:
    assert module.RESERVE >= module.SIGNAL_DELAY + module.STANDSTILL + module.LAST_WRITES
    assert min(module.SIGNAL_DELAY, module.STANDSTILL) >= 150 * MILLISECOND


def test_late_answers_and_requests_left_open_are_counted() -> None:
    occurrences = EventCounts()
    termination = Termination(occurrences)
    termination.settings_in_force(0, classes(S))
    termination.answered(10 * S, "before termination")
    termination.begin(20 * S)
    termination.answered(termination.exit_by + module.STANDSTILL, "just in time")
    assert not occurrences.violations
    termination.answered(termination.exit_by + module.STANDSTILL + 1, "late")
    termination.left_open("open")
    assert occurrences.violations == {Invariant.ANSWER_BEFORE_END: 1, Invariant.NONE_OPEN_AT_END: 1}

"""The soak itself: a few runs are kept, and it finds faults that were put in."""

from __future__ import annotations

import errno
from dataclasses import replace

import pytest

from tests.faults.fault_control import Kind
from tests.soak.plan import CALL_ERRORS, Episode, Fault, Plan, draw
from tests.soak.run import play, play_plan

SEEDS = (11,)
SHORT = 3.0  # seconds of load, where one fault is looked for


@pytest.mark.parametrize("seed", SEEDS)
def test_a_run_keeps_the_rules(seed: int) -> None:
    result = play(seed)
    assert not result.breaches
    assert result.answers["served"] > 0


def test_the_same_seed_draws_the_same_plan() -> None:
    assert draw(5) == draw(5) != draw(6)


def streaming() -> Plan:
    """Slow senders that answer in pieces, so that requests are copied, and nothing may be called off."""
    slow = tuple(Episode(Fault.SENDER_SLOW, 0.2 + 0.4 * n, 2.0, n) for n in range(10))
    return replace(
        draw(1),
        cancelling=False,
        streams=0.5,
        leaving=0.0,
        balancers=3,
        rate=120.0,
        seconds=SHORT,
        episodes=slow,
    )


def exhausted() -> Plan:
    """Now and then the system has no descriptor for a connection."""
    failing = tuple(Episode(Fault.CALLS_FAIL, 0.3, 4.0, n, Kind.ACCEPT, share=0.5) for n in range(3))
    return replace(draw(2), leaving=0.0, balancers=3, rate=120.0, seconds=SHORT, episodes=failing)


@pytest.mark.parametrize(("defect", "plan"), [("two-answers", streaming()), ("closed-unread", exhausted())])
def test_a_fault_that_was_put_in_is_found(defect: str, plan: Plan, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(CALL_ERRORS, Kind.ACCEPT, (errno.ENFILE,))
    assert not play_plan(plan).breaches
    assert play_plan(plan, ("-m", "tests.soak.defective", defect)).breaches

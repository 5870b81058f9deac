"""The soak in CI: a few seeded runs break no rule, and runs with seeded defects break one.

Long runs: `python -m tests.soak FROM TO`; the table of all defects: `python -m tests.soak.hunt`.
"""

from __future__ import annotations

import pytest

from tests.soak.defects import DEFECTS, DEFECTS_BY_NAME, Size
from tests.soak.hunt import find_broken_rule
from tests.soak.plan import AGED_SOAK_SECONDS, SOAK_SECONDS, Fault, draw_plan
from tests.soak.run import play

CLEAN_SEEDS = (600, 606, 623)
# Defects of size WHOLE, and those that an incident left behind, with a seed that found each. A run on a busy
# machine detects less: MORE_SEEDS follow.
SEED_BY_DEFECT = {
    "ends without regard to the kill": 500,
    "takes no waiting output for no progress": 500,
    "loses an answer's end to a copy behind it": 500,
    "takes a class without a group": 500,
    "forgets ids with their requests": 501,
    "treats all as safe": 500,
    "ignores drains": 502,
    "ignores that clients leave": 501,
    "refuses a third": 500,
}
MORE_SEEDS = range(503, 511)


@pytest.mark.parametrize("seed", CLEAN_SEEDS)
def test_a_run_breaks_no_rule(seed: int) -> None:
    result = play(seed)
    assert not result.breaches
    assert result.answers["served"] > 0 and result.terminations >= 4


def test_the_same_seed_draws_the_same_plan() -> None:
    assert draw_plan(5) == draw_plan(5) != draw_plan(6)


def test_each_run_terminates_processes_and_some_have_idle_or_old_connections_or_long_deadlines() -> None:
    plans = [draw_plan(seed) for seed in range(40)]
    assert all(sum(episode.fault is Fault.TERMINATED for episode in plan.episodes) >= 4 for plan in plans)
    assert any(plan.idle_connections for plan in plans) and not all(plan.idle_connections for plan in plans)
    assert {SOAK_SECONDS, AGED_SOAK_SECONDS} == {plan.load_seconds for plan in plans}
    assert any(plan.repeat_share * plan.stream_share for plan in plans)
    assert any(plan.again_share * plan.leave_share for plan in plans)
    assert all(plan.lasting_balancers() for plan in plans)
    assert {0.2, 4.0} <= {plan.longest_deadline for plan in plans}


def test_defect_names_are_unique_and_most_rules_have_both_sizes() -> None:
    assert len(DEFECTS_BY_NAME) == len(DEFECTS)
    sizes: dict[str, set[Size]] = {}
    for defect in DEFECTS:
        sizes.setdefault(defect.rules[0], set()).add(defect.size)
    one_size = {rule for rule, present in sizes.items() if len(present) < 2}
    assert one_size == {"closed-unread", "attempts"}


@pytest.mark.parametrize("name", list(SEED_BY_DEFECT))
def test_a_seeded_defect_is_found(name: str) -> None:
    assert any(find_broken_rule(name, seed) for seed in (SEED_BY_DEFECT[name], *MORE_SEEDS))

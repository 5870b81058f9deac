"""Forty balancers: what is harmless where one does it, and harmful where all do."""

from __future__ import annotations

import pytest

from benchmarks.size import day
from dykeshift.fleet.calls import MS, Desk, first_lists
from dykeshift.fleet.world import play
from dykeshift.rules import Balancer
from tests.fleet.before import Hasty, Wide
from tests.harness import make_settings

COUNT = 40
SETTINGS = make_settings(ask_discovery=True, balancers=COUNT)
S = 1_000 * MS


@pytest.mark.parametrize("longest", [1.5, 3.0, 6.0])
def test_all_balancers_get_their_first_list_however_discovery_is_overbooked(longest: float) -> None:
    desk = Desk(longest=int(longest * S))
    seen = first_lists([Balancer(SETTINGS, seed) for seed in range(COUNT)], desk, 20 * S)
    assert len(seen.lists) == COUNT and max(seen.lists) < 4 * COUNT * desk.work


def test_pauses_that_know_nothing_of_the_wait_keep_most_from_a_list() -> None:
    """The defect: herd+vast, 16 of 40 with a watch for as long as the day lasted."""
    seen = first_lists([Hasty(SETTINGS, seed) for seed in range(COUNT)], Desk(), 20 * S)
    assert len(seen.lists) < COUNT and seen.wasted > 2 * COUNT


@pytest.mark.parametrize("kind", ["join", "zone", "herd"])
def test_the_rules_hold_while_the_fleet_changes(kind: str) -> None:
    assert not play(day(COUNT, kind, seconds=6.0), Balancer, 1).breaches


def test_wide_pools_refuse_more_on_a_calm_day() -> None:
    calm = day(COUNT, "calm", seconds=6.0)
    assert play(calm, Balancer, 1).refusals < play(calm, Wide, 1).refusals

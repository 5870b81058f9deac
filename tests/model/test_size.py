"""Forty balancers: what is harmless where one does it, and harmful where all do."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.size import day
from dykeshift.model.calls import MS, Desk, Onset, first_lists
from dykeshift.model.world import play
from dykeshift.rules import Balancer
from tests.model.before import Hasty, Patient, Wide
from tests.harness import make_settings

COUNT = 40
SETTINGS = make_settings(ask_discovery=True, balancers=COUNT)
S = 1_000 * MS


@pytest.mark.parametrize("longest", [1.5, 3.0, 6.0])
def test_all_balancers_get_their_first_list_however_discovery_is_overbooked(longest: float) -> None:
    desk = Desk(longest=int(longest * S))
    seen = first_lists([Balancer(SETTINGS, seed) for seed in range(COUNT)], desk, 20 * S)
    assert len(seen.lists) == COUNT and max(seen.lists) < 4 * COUNT * desk.work


TOLD = 6 * S
ROOMY = Desk(work=75 * MS, timeout=2 * S, longest=5 * S)
TIGHT = replace(ROOMY, work=200 * MS)


@pytest.mark.parametrize(("onset", "back"), [*((onset, 0) for onset in Onset), (Onset.BROKEN, 8 * S)])
def test_all_hear_discovery_before_what_it_has_counts_as_told(onset: Onset, back: int) -> None:
    """Where discovery can take one call from each in three seconds; it died in its queue for 2 s of 8."""
    desk = replace(ROOMY, back=back)
    for seeds in range(0, 5 * COUNT, COUNT):
        seen = first_lists([Balancer(SETTINGS, seeds + n) for n in range(COUNT)], desk, 60 * S, onset)
        assert not seen.late(desk, TOLD, COUNT)


def test_pauses_as_long_as_the_wait_are_late_for_some() -> None:
    """The defect: drains on calm+brink, and 1 in 8 of 200 balancers where all of them start at once."""
    fleets = [[Patient(SETTINGS, seeds + n) for n in range(COUNT)] for seeds in range(0, 5 * COUNT, COUNT)]
    late = [first_lists(fleet, ROOMY, 60 * S, Onset.BROKEN).late(ROOMY, TOLD, COUNT) for fleet in fleets]
    assert sum(late) / len(late) > 0.1


@pytest.mark.parametrize("onset", list(Onset))
def test_none_is_left_without_a_list_where_discovery_needs_eight_seconds_for_all(onset: Onset) -> None:
    """Pauses that never grow keep the queue full of calls that are dead before their turn."""
    seen = first_lists([Balancer(SETTINGS, n) for n in range(COUNT)], TIGHT, 60 * S, onset)
    assert len(seen.lists) == COUNT


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

"""Drawn days of the control tier and its subscribers: the promises hold throughout, and all come back."""

from __future__ import annotations

from functools import partial

import pytest

from dykeshift.configuration.campaign import SMALL_TIER, run_seed
from dykeshift.configuration.checker import Checker
from dykeshift.configuration.sessions import subscribers_behind
from dykeshift.configuration.tier import Tier

SEEDS = range(8)


def fenced(tier: Tier, version: int) -> bool:
    """Whether the version is in force everywhere, and all control machines know it."""
    return tier.in_force(version) and all(h.core.replica.fenced >= version for h in tier.control)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_day_breaks_nothing_and_all_come_back(seed: int) -> None:
    report = run_seed(seed)
    assert not report.broken
    assert report.versions > 10 and sum(report.faults.values()) > 5


def test_a_day_is_the_same_each_time() -> None:
    assert run_seed(3) == run_seed(3)


def test_all_at_once_from_nothing_and_a_change_is_in_force_everywhere() -> None:
    tier = Tier("calm", SMALL_TIER)
    checker = Checker(tier)
    tier.start_control()
    tier.start_subscribers()
    assert tier.network.run(20, tier.settled)
    tier.network.run(6)
    for number in range(3):
        version = tier.newest().version + 1
        assert tier.change_tenant(number, "service-003", 3.0 + number)
        assert tier.network.run(5, partial(fenced, tier, version))
    assert not checker.broken


def test_the_whole_tier_and_all_subscribers_start_again() -> None:
    tier = Tier("again", SMALL_TIER)
    checker = Checker(tier)
    tier.start_control()
    tier.start_subscribers()
    assert tier.network.run(20, tier.settled)
    tier.change_tenant(1, "service-003", 3.0)
    assert tier.network.run(20, lambda: tier.in_force(2))
    for host in (*tier.control, *tier.subscribers):
        tier.network.kill(host)
    tier.network.run(1)
    tier.network.mend()
    assert tier.network.run(30, lambda: tier.newest().version >= 2 and tier.settled())
    assert not checker.broken


def test_the_regions_apart_the_side_with_the_voters_goes_on_and_the_other_is_degraded() -> None:
    tier = Tier("apart", SMALL_TIER)
    checker = Checker(tier)
    tier.start_control()
    tier.start_subscribers()
    assert tier.network.run(20, tier.settled)
    before = tier.newest().version
    tier.network.cut("east", "west")
    tier.network.run(12)
    tier.change_tenant(1, "service-003", 3.0)
    tier.network.run(5)
    east = [h for h in tier.subscribers if h.location.region == "east"]
    west = [h for h in tier.subscribers if h.location.region == "west"]
    assert all(h.core.state.version == before + 1 for h in east)
    assert all(h.core.lease_left(tier.network.clock(h)) for h in east)
    assert all(h.core.state.version == before for h in west)
    assert not any(h.core.lease_left(tier.network.clock(h)) for h in west)
    tier.network.mend()
    assert tier.network.run(30, tier.settled)
    assert not checker.broken


def test_those_left_behind_are_named_and_nobody_else() -> None:
    tier = Tier("named", SMALL_TIER)
    checker = Checker(tier)
    tier.start_control()
    tier.start_subscribers()
    assert tier.network.run(20, tier.settled)
    cut, dead, *others = tier.subscribers
    remembered = {cut.core.address, dead.core.address}
    moved = next(host for host in others if host.core.address not in remembered)
    for region in ("east", "west"):
        tier.network.cut(cut.name, region)
    tier.network.kill(dead)
    tier.network.kill(tier.network.hosts[moved.core.address])
    tier.network.run(8)
    tier.change_tenant(1, "service-003", 3.0)
    tier.network.run(6)
    version = tier.newest().version
    trackers = [host.core.replica.progress for host in tier.control if host.up]
    assert subscribers_behind(trackers, version) == sorted((cut.name, dead.name))
    assert moved.core.state.version == version
    assert not checker.broken

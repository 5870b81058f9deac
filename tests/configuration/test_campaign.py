"""Randomized runs of the control tier and its subscribers: guarantees hold throughout, and all recover."""

from __future__ import annotations

from functools import partial

import pytest

from dykeshift.configuration.campaign import SMALL_TIER, run_seed
from dykeshift.configuration.checker import Checker
from dykeshift.configuration.sessions import subscribers_behind
from dykeshift.configuration.tier import Tier

SEEDS = range(8)


def fenced(tier: Tier, version: int) -> bool:
    """Whether the version is in force everywhere and all replicas have fenced it."""
    return tier.in_force(version) and all(h.core.replica.fenced >= version for h in tier.control)


@pytest.mark.parametrize("seed", SEEDS)
def test_randomized_run_keeps_all_guarantees_and_recovers(seed: int) -> None:
    report = run_seed(seed)
    assert not report.broken
    assert report.versions > 10 and sum(report.faults.values()) > 5


def test_run_is_deterministic() -> None:
    assert run_seed(3) == run_seed(3)


def test_simultaneous_start_without_state_and_changes_in_force_everywhere() -> None:
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


def test_restart_of_the_whole_tier_and_all_subscribers() -> None:
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


def test_partition_between_regions_degrades_only_the_side_without_quorum() -> None:
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


def test_only_subscribers_that_are_behind_are_listed() -> None:
    tier = Tier("named", SMALL_TIER)
    checker = Checker(tier)
    tier.start_control()
    tier.start_subscribers()
    assert tier.network.run(20, tier.settled)
    cut, dead, *others = tier.subscribers
    their_replicas = {cut.core.address, dead.core.address}
    moved = next(host for host in others if host.core.address not in their_replicas)
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

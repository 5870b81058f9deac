"""Guarded changes led by the tier itself, on the virtual clock: in quiet, with faults, and on drawn days."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dykeshift.configuration.joint_campaign import LED, LedDay, run_led_seed
from dykeshift.configuration.resources import ClassTerms, Key, Kind, encode_body
from dykeshift.configuration.transactions import Phase, Put
from dykeshift.configuration.virtual import SECOND, Host

SEEDS = range(8)
CLASS = Key(Kind.CLASS, "batch")
LEASE = LED.subscriber.lease / SECOND


def turned(unsafe: bool) -> Put:
    terms = ClassTerms(SECOND // 5, 2 * SECOND, 1.0, "side_effect" if unsafe else "pure", position=1)
    return Put(CLASS, encode_body(terms))


def quiet_day(name: str) -> LedDay:
    """Everybody up, the replicas' first leases over."""
    day = LedDay(name)
    day.tier.start_control()
    day.tier.start_subscribers()
    assert day.network.run(30, day.tier.settled)
    day.network.run(2.5 * LEASE)
    return day


def phase_at(day: LedDay, ident: int) -> Phase | None:
    store = day.tier.newest()
    if ident in store.pending:
        return store.pending[ident].phase
    outcome = store.outcome(ident)
    return outcome.phase if outcome is not None else None


def leader_of(day: LedDay) -> Host:
    leader = day.tier.leader()
    assert leader is not None
    return leader


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_day_breaks_nothing_and_all_is_decided(seed: int) -> None:
    day = LedDay(seed)
    report = day.run()
    assert not report.broken
    assert day.asked


def test_in_quiet_a_guarded_change_is_in_force_everywhere_long_before_a_lease_is_over() -> None:
    day = quiet_day("quiet")
    for round_number in range(4):
        day.ask(turned(round_number % 2 == 0))
        assert day.network.run(LEASE / 2, day.decided)
        day.network.run(1)
    times = day.latencies().in_force
    assert len(times) == 4
    assert max(times) < LEASE / 2
    assert not day.checker.broken


def test_many_guarded_changes_are_under_way_side_by_side() -> None:
    day = quiet_day("side by side")
    for number, name in enumerate(("interactive", "batch", "background")):
        body = ClassTerms(SECOND // 5, 2 * SECOND, 1.0, "side_effect", position=number)
        day.ask(Put(Key(Kind.CLASS, name), encode_body(body)))
    assert day.network.run(LEASE / 2, lambda: len(day.tier.newest().pending) == 3)
    assert day.network.run(LEASE / 2, day.decided)
    assert {one.end for one in day.asked.values()} == {Phase.COMMITTED}
    assert not day.checker.broken


def test_a_subscriber_that_is_cut_off_is_waited_for_while_its_lease_may_hold() -> None:
    day = quiet_day("cut off")
    cut = day.tier.subscribers[0]
    for region in ("east", "west"):
        day.network.cut(cut.name, region)
    ident = day.ask(turned(True))
    while cut.core.lease_left(day.network.clock(cut)):
        assert phase_at(day, ident) is not Phase.COMMITTED
        day.network.run(0.1)
    assert day.network.run(2 * LEASE, day.decided)
    committed = day.asked[ident].committed_at - day.asked[ident].requested_at
    assert committed / SECOND < LEASE * 1.1 + 1
    assert not day.checker.broken


def test_a_replica_that_stands_still_is_waited_for_by_time() -> None:
    day = quiet_day("silent")
    silent = next(host for host in day.tier.control if host is not leader_of(day))
    day.network.stop(silent)
    ident = day.ask(turned(True))
    assert not day.network.run(LEASE * 0.8, day.decided)
    behind = leader_of(day).core.machine.coordination.coordinator.behind(
        day.tier.newest().pending[ident].since
    )
    assert day.tier.control.index(silent) in behind
    assert day.network.run(LEASE * 0.6, day.decided)
    day.network.resume(silent)
    assert day.network.run(20, day.tier.settled)
    assert not day.checker.broken


def test_a_leader_that_dies_in_the_joint_phase_leaves_it_to_the_next_one() -> None:
    day = quiet_day("leader")
    cut = day.tier.subscribers[0]
    for region in ("east", "west"):
        day.network.cut(cut.name, region)
    ident = day.ask(turned(True))
    assert day.network.run(LEASE, lambda: phase_at(day, ident) is Phase.JOINT)
    day.network.kill(leader_of(day))
    assert day.network.run(4 * LEASE, day.decided)
    assert day.asked[ident].end is Phase.COMMITTED
    assert not day.checker.broken


def test_a_day_is_the_same_each_time() -> None:
    assert run_led_seed(2) == run_led_seed(2)


def test_without_a_coordinator_nobody_leads() -> None:
    day = LedDay("unled", replace(LED, coordinator=None))
    day.tier.start_control()
    assert all(host.core.machine.coordination is None for host in day.tier.control)

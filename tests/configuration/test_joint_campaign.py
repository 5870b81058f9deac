"""Guarded changes led by the tier itself, on the virtual clock: without faults, with single faults,
randomized."""

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


def class_change(unsafe: bool) -> Put:
    terms = ClassTerms(SECOND // 5, 2 * SECOND, 1.0, "side_effect" if unsafe else "pure", position=1)
    return Put(CLASS, encode_body(terms))


def run_without_faults(name: str) -> LedDay:
    """A run with all hosts up, in which the wait for leases from before the replicas' start is over."""
    run = LedDay(name)
    run.tier.start_control()
    run.tier.start_subscribers()
    assert run.network.run(30, run.tier.settled)
    run.network.run(2.5 * LEASE)
    return run


def phase_at(run: LedDay, ident: int) -> Phase | None:
    store = run.tier.newest()
    if ident in store.pending:
        return store.pending[ident].phase
    outcome = store.outcome(ident)
    return outcome.phase if outcome is not None else None


def leader_of(run: LedDay) -> Host:
    leader = run.tier.leader()
    assert leader is not None
    return leader


@pytest.mark.parametrize("seed", SEEDS)
def test_randomized_run_keeps_all_guarantees_and_decides_all_transactions(seed: int) -> None:
    run = LedDay(seed)
    report = run.run()
    assert not report.broken
    assert run.asked


def test_without_faults_a_guarded_change_is_in_force_well_within_a_lease() -> None:
    run = run_without_faults("quiet")
    for round_number in range(4):
        run.ask(class_change(round_number % 2 == 0))
        assert run.network.run(LEASE / 2, run.decided)
        run.network.run(1)
    times = run.latencies().in_force
    assert len(times) == 4
    assert max(times) < LEASE / 2
    assert not run.checker.broken


def test_guarded_changes_run_concurrently() -> None:
    run = run_without_faults("side by side")
    for number, name in enumerate(("interactive", "batch", "background")):
        body = ClassTerms(SECOND // 5, 2 * SECOND, 1.0, "side_effect", position=number)
        run.ask(Put(Key(Kind.CLASS, name), encode_body(body)))
    assert run.network.run(LEASE / 2, lambda: len(run.tier.newest().pending) == 3)
    assert run.network.run(LEASE / 2, run.decided)
    assert {one.end for one in run.asked.values()} == {Phase.COMMITTED}
    assert not run.checker.broken


def test_a_subscriber_that_is_cut_off_is_waited_for_while_its_lease_may_hold() -> None:
    run = run_without_faults("cut off")
    cut = run.tier.subscribers[0]
    for region in ("east", "west"):
        run.network.cut(cut.name, region)
    ident = run.ask(class_change(True))
    while cut.core.lease_left(run.network.clock(cut)):
        assert phase_at(run, ident) is not Phase.COMMITTED
        run.network.run(0.1)
    assert run.network.run(2 * LEASE, run.decided)
    committed = run.asked[ident].committed_at - run.asked[ident].requested_at
    assert committed / SECOND < LEASE * 1.1 + 1
    assert not run.checker.broken


def test_a_replica_that_stands_still_is_waited_for_by_time() -> None:
    run = run_without_faults("silent")
    silent = next(host for host in run.tier.control if host is not leader_of(run))
    run.network.stop(silent)
    ident = run.ask(class_change(True))
    assert not run.network.run(LEASE * 0.8, run.decided)
    behind = leader_of(run).core.machine.coordination.coordinator.behind(
        run.tier.newest().pending[ident].since
    )
    assert run.tier.control.index(silent) in behind
    assert run.network.run(LEASE * 0.6, run.decided)
    run.network.resume(silent)
    assert run.network.run(20, run.tier.settled)
    assert not run.checker.broken


def test_next_leader_finishes_the_joint_phase_of_a_crashed_one() -> None:
    run = run_without_faults("leader")
    cut = run.tier.subscribers[0]
    for region in ("east", "west"):
        run.network.cut(cut.name, region)
    ident = run.ask(class_change(True))
    assert run.network.run(LEASE, lambda: phase_at(run, ident) is Phase.JOINT)
    run.network.kill(leader_of(run))
    assert run.network.run(4 * LEASE, run.decided)
    assert run.asked[ident].end is Phase.COMMITTED
    assert not run.checker.broken


def test_run_is_deterministic() -> None:
    assert run_led_seed(2) == run_led_seed(2)


def test_without_coordinator_options_no_machine_leads_transactions() -> None:
    run = LedDay("unled", replace(LED, coordinator=None))
    run.tier.start_control()
    assert all(host.core.machine.coordination is None for host in run.tier.control)

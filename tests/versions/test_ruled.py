"""Difficult cases of settings changes, with several balancers on one virtual clock.

The simulated world checks the invariants at every instant and lists violations in `broken`: no two running
balancers apply conflicting versions, a ban is obeyed within the lease, and a degraded balancer is never more
permissive than before.
"""

from __future__ import annotations

import msgspec
import pytest

from dykeshift.agree.state import Options
from dykeshift.rig.ruled import Ruled, worded
from dykeshift.rig.ruled_days import play
from dykeshift.rig.virtual import SECOND
from dykeshift.versions.book import Phase
from dykeshift.versions.changes import Ban, Halt, Lists, Propose, Unban
from dykeshift.versions.own import shared_part

SAFE = shared_part(worded({"balancers": 200}))
UNSAFE = shared_part(worded({"balancers": 200}, {"status-check": {"idempotency": "side_effect"}}))
TIMES = Options(voters=3, lease=4 * SECOND, replace=8 * SECOND)


def world(count: int, seed: int = 1, text: str = SAFE, options: Options = TIMES, rate: float = 0.01) -> Ruled:
    """Start a world in which all balancers have applied one version."""
    day = Ruled(seed, count, options, rate=rate)
    day.start_all()
    assert day.run(30, day.at_rest)
    propose(day, 0, text)
    assert day.run(30, day.at_rest)
    return day


def propose(day: Ruled, number: int, text: str = UNSAFE, stages: tuple[tuple[int, ...], ...] = ()) -> int:
    """Propose settings and return their version; the proposal is committed and not applied yet."""
    book = day.spots[number].view.ruled.store
    assert day.order(number, Propose(msgspec.Raw(text.encode()), stages=stages)) == ""
    assert day.run(5, lambda: book.state.pending is not None)
    version: int = book.state.pending.rules.version
    return version


def mode(day: Ruled, number: int) -> str:
    peer = day.spots[number].view
    peer.ruled.rules_stamp()
    return str(peer.ruled.effective.mode)


def in_force_at(day: Ruled, version: int) -> set[int]:
    return {
        s.number
        for s in day.up()
        if mode(day, s.number) == "in force" and s.view.ruled.effective.version == version
    }


def test_a_class_becomes_unsafe_while_a_third_is_partitioned() -> None:
    day = world(6)
    day.groups = [frozenset({0, 1, 2, 3}), frozenset({4, 5})]
    version = propose(day, 0)
    assert day.run(30, lambda: in_force_at(day, version) == {0, 1, 2, 3})
    assert {mode(day, 4), mode(day, 5)} == {"doubtful"} and day.spots[4].view.ruled.effective.degraded_reason
    day.mend()
    assert day.run(30, lambda: in_force_at(day, version) == set(range(6)))
    assert day.broken == [] and day.longest["settings"] == 0


def test_a_ban_set_in_the_minority_applies_to_all_after_the_partition_heals() -> None:
    day = world(5)
    day.groups = [frozenset({0, 1, 2}), frozenset({3, 4})]
    day.spots[4].view.ruled.ban("s1")
    day.run(8)
    assert all("s1" not in s.view.ruled.store.state.out for s in day.spots)
    day.mend()
    assert day.run(30, lambda: all("s1" in s.view.ruled.effective.banned for s in day.spots))
    day.order(0, Unban("s1"))
    assert day.run(30, lambda: all("s1" not in s.view.ruled.effective.banned for s in day.spots))
    assert day.broken == []


def test_a_ban_withdrawn_before_it_is_committed_does_not_stay() -> None:
    day = world(3)
    spot = day.spots[2]
    ruled = spot.view.ruled
    ruled.ban("s1")
    day.carry(spot, spot.view._tick(spot.clock()))
    assert spot.view.proposing is not None
    ruled.unban("s1")
    assert day.run(5, lambda: "s1" in ruled.effective.banned)
    day.run(5)
    assert all(s.view.ruled.effective.banned == frozenset() for s in day.spots) and not ruled.uncommitted_bans


def test_a_ban_that_is_lifted_at_once_is_not_proposed_again() -> None:
    day = world(3)
    ruled = day.spots[2].view.ruled
    ruled.ban("s1")
    assert day.run(5, lambda: "s1" in day.spots[0].view.ruled.effective.banned)
    ruled.uncommitted_bans["s1"] = ruled.uncommitted_bans.get(
        "s1", (Ban("s1", "2"), 1)
    )  # as if it had not run since
    day.order(0, Unban("s1"))
    day.run(5)
    assert all(s.view.ruled.effective.banned == frozenset() for s in day.spots) and not ruled.uncommitted_bans


def test_of_two_proposals_on_the_same_version_one_is_rejected() -> None:
    day = world(5)
    first, second = day.spots[1].view, day.spots[3].view
    assert day.order(1, Propose(msgspec.Raw(UNSAFE.encode()))) == ""
    assert day.order(3, Propose(msgspec.Raw(SAFE.encode()))) == ""
    day.run(5)
    assert sorted(o.ok for o in day.operations[-2:]) == [False, True]
    assert first.ruled.store.state == second.ruled.store.state
    propose(day, 1)
    assert "under way" in day.order(1, Propose(msgspec.Raw(SAFE.encode())))


def test_the_leader_dies_in_the_joint_phase_and_a_new_one_continues() -> None:
    day = world(5)
    version = propose(day, 1)
    assert day.run(10, lambda: day.phase(1) is Phase.MIDDLE)
    leader = day.leader()
    assert leader is not None
    began = day.now
    day.kill(day.spots[leader])
    assert day.run(30, lambda: len(in_force_at(day, version)) == 4)
    assert day.now - began > day.rules.lease  # the new leader starts the wait again
    assert day.broken == []


def test_a_version_that_one_balancer_rejects_is_in_force_nowhere() -> None:
    day = Ruled(3, 12, TIMES)
    day.stubborn[7] = "more at work"
    day.start_all()
    assert day.run(30, day.at_rest)
    version = propose(day, 0)
    assert day.run(30, day.at_rest)
    outcome = day.spots[3].view.ruled.store.outcome(version)
    assert outcome.how == "refused" and "number 7: settings for 200 balancers, but 300" in outcome.reason
    assert in_force_at(day, 0) == set(range(12))


def test_the_voters_are_lost_while_half_of_the_fleet_is_in_the_joint_phase() -> None:
    day = world(6)
    voters = [n for n, _ in day.core(0).shared.log.seats.now]
    version = propose(day, 0)
    assert day.run(10, lambda: day.phase(voters[0]) is Phase.MIDDLE)
    for number in voters:
        day.kill(day.spots[number])
    left = [s.number for s in day.up()]
    assert day.run(10, lambda: {mode(day, n) for n in left} == {"doubtful"})
    assert day.rescue(left[0], voters=1) == ""  # the operator lets it continue alone
    assert day.run(60, lambda: left[0] in in_force_at(day, version) or left[0] in in_force_at(day, 1))
    assert day.broken == []


def test_a_paused_process_is_degraded_at_its_first_look() -> None:
    day = world(5)
    spot = day.spots[3]
    peer = spot.view
    stamp = peer.ruled.rules_stamp()
    day.stop(spot)
    version = propose(day, 0)
    assert day.run(30, lambda: in_force_at(day, version) == {0, 1, 2, 4})
    spot.stopped = False  # resumed, with a decided request about to be sent
    assert peer.ruled.rules_stamp() != stamp and peer.ruled.effective.degraded
    day.resume(spot)
    assert day.run(30, lambda: len(in_force_at(day, version)) == 5)
    assert day.broken == []


def test_after_a_start_without_state_it_is_degraded_until_it_has_a_lease() -> None:
    day = world(5)
    day.kill(day.spots[4])
    day.start(day.spots[4])
    assert mode(day, 4) == "doubtful"
    assert day.run(10, lambda: mode(day, 4) == "in force")
    assert day.spots[4].view.ruled.effective.version == day.spots[0].view.ruled.effective.version > 0


def test_a_harmful_stage_is_rolled_back() -> None:
    day = world(5)
    before = day.spots[0].view.ruled.effective.version
    version = propose(day, 0, stages=((2,), (3, 4)))
    day.harmful.add(version)
    assert day.run(30, lambda: in_force_at(day, version) == {2})
    assert day.run(60, lambda: day.phase(0) is Phase.BACK)
    assert day.run(30, lambda: in_force_at(day, before) == set(range(5)))
    assert "of its answers are bad" in day.spots[1].view.ruled.store.outcome(version).reason
    good = propose(day, 0, stages=((2,), (3, 4)))
    assert day.run(90, lambda: in_force_at(day, good) == set(range(5)))
    assert day.broken == []


def test_a_halt_by_hand_waits_for_the_lease() -> None:
    day = world(5)
    before = day.spots[0].view.ruled.effective.version
    version = propose(day, 0)
    assert day.run(10, lambda: day.phase(0) is Phase.MIDDLE)
    assert day.order(0, Halt(version, "by hand")) == ""
    assert day.run(5, lambda: day.phase(0) is Phase.BACK)
    began = day.now
    assert day.run(30, lambda: in_force_at(day, before) == set(range(5)))
    assert day.now - began > day.rules.lease
    assert day.broken == []


def test_with_doubt_refuse_a_ban_is_obeyed_by_all_within_the_lease() -> None:
    day = world(5)
    day.order(0, Lists(doubt="refuse"))
    day.run(3)
    day.groups = [frozenset({0, 1, 2}), frozenset({3, 4})]
    day.spots[0].view.ruled.ban("s1")
    assert day.run(10, lambda: "s1" in day.spots[1].view.ruled.effective.banned)
    day.run(day.rules.lease / SECOND)
    for n in (3, 4):
        acts = day.spots[n].view.ruled.effective
        mode(day, n)
        assert day.spots[n].view.ruled.effective.closed, acts
    assert day.broken == []


@pytest.mark.parametrize("loss, rate", [(0.3, 0.01), (0.0, 0.01)])
def test_packet_loss_and_clock_drift(loss: float, rate: float) -> None:
    day = world(7, rate=rate)
    day.spots[0].rate, day.spots[1].rate = 1 + rate, 1 - rate
    day.weather.loss = loss
    for text in (UNSAFE, SAFE):
        version = propose(day, 2, text)
        assert day.run(90, lambda version=version: len(in_force_at(day, version)) == 7)  # type: ignore[misc]
    assert day.broken == []


@pytest.mark.parametrize("seed", range(6))
def test_a_random_run_violates_no_invariant(seed: int) -> None:
    assert play(seed).broken == []

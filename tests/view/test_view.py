"""The view on a virtual clock: the effect of each fault, and that the fleet settles again after it."""

from __future__ import annotations

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from dykeshift.rig.virtual import SECOND, Spot, World
from dykeshift.view.core import Event
from dykeshift.view.table import REFUTATION_BITS
from dykeshift.view.wire import Kind, Message, Seal, State, decode, encode
from tests.view.world import (
    SHORT_LEASE,
    InvariantChecker,
    apply_fault,
    campaign,
    entry_of,
    wait_until_settled,
    settled_world,
    states,
)


def record_events(world: World) -> list[tuple[str, Event]]:
    """Record the events of all processes from now on."""
    events = list[tuple[str, Event]]()
    world.heard = lambda spot, event: events.append((spot.name, event))
    return events


def assert_invariants(checker: InvariantChecker) -> None:
    assert checker.violations == []


def test_minority_of_three_does_not_lower_at_most_when_seven_of_ten_die() -> None:
    world, checker = settled_world("seven", 10)
    for spot in world.spots[3:]:
        spot.kill()
    wait_until_settled(world)
    world.run(
        90
    )  # longer than any lease; three of ten can't know that the other seven do not go on elsewhere
    for spot in world.spots[:3]:
        assert (spot.view.standing.at_least, spot.view.standing.at_most) == (3, 10)
        assert not spot.view.standing.holds_lease
    for spot in world.spots[3:]:
        world.start(spot)
    wait_until_settled(world)
    assert all(s.view.standing.at_most == 10 for s in world.spots)
    assert_invariants(checker)


def test_dead_minority_lowers_at_most_after_a_lease_and_not_before() -> None:
    world, checker = settled_world("few", 7)
    gone = world.spots[5:]
    for spot in gone:
        spot.kill()
    world.run(SHORT_LEASE.lease / SECOND * 0.95)
    assert {s.view.standing.at_most for s in world.living()} == {7}
    assert {s.view.standing.at_least for s in world.living()} == {5}
    assert world.run(60, lambda: {s.view.standing.at_most for s in world.living()} == {5})
    assert_invariants(checker)


def test_partition_in_halves_heals_from_opposite_views() -> None:
    world, checker = settled_world("halves", 10)
    world.groups = [frozenset(range(5)), frozenset(range(5, 10))]
    wait_until_settled(world)
    world.run(20)
    assert {(s.view.standing.at_least, s.view.standing.at_most) for s in world.spots} == {(5, 10)}
    assert states(world.spots[0])["n7"] is State.UNREACHABLE
    assert states(world.spots[7])["n0"] is State.UNREACHABLE
    world.groups = []
    wait_until_settled(world)
    assert_invariants(checker)


def test_three_way_partition_heals_in_two_steps() -> None:
    world, checker = settled_world("three", 9)
    world.groups = [frozenset((0, 1, 2)), frozenset((3, 4, 5)), frozenset((6, 7, 8))]
    wait_until_settled(world)
    world.groups = [frozenset(range(6)), frozenset((6, 7, 8))]
    wait_until_settled(world)
    assert {s.view.standing.at_least for s in world.spots[:6]} == {6}
    world.groups = []
    wait_until_settled(world)
    assert_invariants(checker)


def test_stalled_process_suspects_nobody_and_holds_no_lease_until_it_is_answered() -> None:
    world, checker = settled_world("still", 6)
    stalled = world.spots[0]
    world.stop(stalled)
    world.run(90)
    assert {s.view.standing.at_most for s in world.spots[1:]} == {5}
    events, sent = record_events(world), list[Message]()
    world.tap = lambda a, b, data: sent.append(decode(data, world.seal)) if a is stalled else None
    world.groups = [frozenset((0,)), frozenset(range(1, 6))]  # after the stall it reaches nobody
    world.resume(stalled)
    world.run(3)
    assert not stalled.view.standing.holds_lease and stalled.view.standing.at_least == 1
    suspicions = [e for m in sent for e in m.entries if e.state is not State.ALIVE and e.name != "n0"]
    assert suspicions == []
    world.groups = []
    wait_until_settled(world)
    assert "n0" in {e.name for _, e in events if e.kind == "state"}
    assert {e.name for _, e in events if e.state is State.UNREACHABLE} <= {"n0"}
    assert_invariants(checker)


def test_suspicion_does_not_run_out_during_a_short_stall() -> None:
    """The suspicion timeout ends during the stall, while a refutation is still unread."""
    world, _ = settled_world("nap", 5)
    spot = world.spots[0]
    member = spot.view.table.get("n1")
    spot.view._set_state(spot.clock(), member, State.SUSPECT)
    member.suspect_until = spot.clock() + SECOND // 2
    world.stop(spot)
    world.run(1.3)
    spot.stopped = False
    spot.view.on_timer(spot.clock())
    for _ in range(2):  # the rest of a period
        spot.view.on_timer(spot.view.next_at)
    assert member.state is State.SUSPECT
    wait_until_settled(world)


@pytest.mark.parametrize("wall", [0, -3_600_000, 3_600_000])
def test_restart_within_one_period_takes_over_the_name_with_any_wall_clock(wall: int) -> None:
    world, checker = settled_world(f"restart{wall}", 5)
    events, spot = record_events(world), world.spots[2]
    before = entry_of(spot).birth
    spot.kill()
    spot.wall = wall
    world.start(spot)
    wait_until_settled(world)
    assert all(s.view.table.get("n2").entry.birth != before for s in world.spots if s is not spot)
    assert {s.view.standing.at_most for s in world.spots} == {5}
    assert not [e for _, e in events if e.kind == "twin"]
    assert_invariants(checker)


def test_rolling_restart_while_a_zone_is_partitioned() -> None:
    world, checker = settled_world("roll", 40)
    world.groups = [frozenset(range(12)), frozenset(range(12, 40))]
    for tenth in range(10):
        for spot in world.spots[4 * tenth : 4 * tenth + 4]:
            apply_fault(world, "leave", spot, world.rng)
            world.after(0.5, world.start, spot)
        world.run(2)
    world.groups = []
    wait_until_settled(world, 90)
    assert {s.view.standing.at_most for s in world.spots} == {40}
    assert_invariants(checker)


@pytest.mark.parametrize("hears", [True, False])
def test_process_that_only_receives_or_only_sends_suspects_nobody(hears: bool) -> None:
    world, checker = settled_world(f"deaf{hears}", 6)
    world.blocked = {((0, n) if hears else (n, 0)) for n in range(1, 6)}
    sent = list[Message]()
    world.tap = lambda a, b, data: sent.append(decode(data, world.seal)) if a.number == 0 else None
    world.run(60)
    assert not [e for m in sent for e in m.entries if e.state is not State.ALIVE and e.name != "n0"]
    assert not world.spots[0].view.standing.holds_lease
    others = world.spots[1:]
    assert {states(s)[f"n{n}"] for s in others for n in range(1, 6) if s.number != n} == {State.ALIVE}
    world.blocked = set()
    wait_until_settled(world)
    assert_invariants(checker)


def test_one_way_link_between_two_members_removes_nobody() -> None:
    world, checker = settled_world("one way", 6)
    events = record_events(world)
    world.blocked = {(0, 1)}
    world.run(60)
    assert not [e for _, e in events if e.state is State.UNREACHABLE]
    assert world.settled()
    assert_invariants(checker)


def test_loss_duplication_and_delay_cause_no_flapping() -> None:
    world, checker = settled_world("weather", 12)
    world.weather.loss, world.weather.double, world.weather.late = 0.3, 0.2, 0.1
    events = record_events(world)
    world.run(100)
    removed = [e for _, e in events if e.kind in ("gone", "state") and e.state >= State.UNREACHABLE]
    assert removed == []
    assert_invariants(checker)


def test_datagrams_of_another_fleet_or_key_change_nothing() -> None:
    world, checker = settled_world("strangers", 5)
    digests, spot = {s.view.digest(s.clock()) for s in world.spots}, world.spots[0]
    me = entry_of(world.spots[1])
    for seal in (Seal("another"), Seal("world", b"key")):
        data = encode(Message(Kind.NEWS, "n1", me.birth, me.incarnation + 5, 10**6, 0), seal)
        world.deliver(world.spots[1].address, spot, data)
    world.run(5)
    assert {s.view.digest(s.clock()) for s in world.spots} == digests
    assert spot.view.dropped["fleet"] == 1 and spot.view.dropped["seal"] == 1
    assert_invariants(checker)


def test_key_known_to_half_makes_two_fleets_that_do_not_give_each_other_up() -> None:
    world = World("halfkey", 8, SHORT_LEASE)
    keyed = Seal("world", b"key")

    def make(spot: Spot, life: int) -> object:
        world.seal = keyed if spot.number < 4 else Seal("world")
        return world._view(spot, life)

    world.make = make
    checker = InvariantChecker(world)
    world.start_all()
    world.run(120)
    assert {(s.view.standing.at_least, s.view.standing.at_most) for s in world.spots} == {(4, 8)}
    assert_invariants(checker)


def test_replayed_datagrams_have_no_effect_even_on_a_restarted_process() -> None:
    world, checker = settled_world("replay", 5)
    recorded = list[tuple[Spot, Spot, bytes]]()
    world.tap = lambda a, b, data: recorded.append((a, b, data))
    world.run(10)
    world.tap = lambda a, b, data: None
    world.spots[4].kill()
    for _ in range(60):  # n4 is given up although its old datagrams keep arriving
        world.run(1)
        for a, b, data in recorded:
            if a.number == 4 and b.alive:
                world.deliver(a.address, b, data)
    assert {s.view.standing.at_most for s in world.living()} == {4}
    world.spots[0].kill()
    world.start(world.spots[0])
    wait_until_settled(world)
    world.run(40)  # n0 has given up the address of n4, too
    digests = {s.view.digest(s.clock()) for s in world.living()}
    for a, b, data in recorded:
        if b.alive:
            world.deliver(a.address, b, data)
    world.run(1)
    assert {s.view.digest(s.clock()) for s in world.living()} == digests
    assert {s.view.standing.at_most for s in world.living()} == {4}
    assert_invariants(checker)


def test_two_processes_of_one_name_are_reported_once_by_both_and_counted_once() -> None:
    world = World("twin", 6, SHORT_LEASE)
    make, events = world.make, record_events(world)

    def twin(spot: Spot, life: int) -> object:
        view = make(spot, life)
        if spot.number == 5:
            view.me = type(view.me)(
                "n1", life << REFUTATION_BITS, view.me.birth, number=5, peer_count=6, settings=1
            )
        return view

    world.make = twin
    world.start_all()
    world.run(60)
    reporters = [name for name, e in events if e.kind == "twin"]
    assert sorted(reporters) == ["n1", "n5"]
    assert {s.view.standing.at_least for s in world.spots if not s.view.yielded} == {5}


def test_leave_takes_effect_at_once_and_so_does_a_restart_after_it() -> None:
    world, checker = settled_world("leave", 8)
    for spot in world.spots[:6]:  # more than a majority, one after the other, each with a leave
        world.leave(spot)
        world.run(2)
    assert world.run(2, lambda: {s.view.standing.at_most for s in world.living()} == {2})
    for spot in world.spots[:6]:
        world.start(spot)
    wait_until_settled(world)
    assert_invariants(checker)


def test_peer_lists_that_differ_in_order_and_length() -> None:
    world = World("lists", 7, SHORT_LEASE)

    def make(spot: Spot, life: int) -> object:
        view = World._view(world, spot, life)
        peers = world.rng.sample(world.peers, 7 if spot.number else 4)
        view.peers = view.bounds.peers = tuple(peers)
        view.bounds.own = None
        view.me = type(view.me)(
            view.me.name, life << REFUTATION_BITS, view.me.birth, peer_count=len(peers), settings=1
        )
        return view

    world.make = make
    checker = InvariantChecker(world)
    world.start_all()
    wait_until_settled(world)
    assert {s.view.standing.at_least for s in world.spots} == {7}
    assert_invariants(checker)


def test_new_settings_are_seen_by_all() -> None:
    world, checker = settled_world("settings", 5)
    spot = world.spots[3]
    world._carry(spot, spot.view.on_settings(spot.clock(), 99))
    wait_until_settled(world)
    assert {s.view.table.get("n3").entry.settings for s in world.spots if s is not spot} == {99}
    assert_invariants(checker)


def test_member_that_died_before_any_survivor_met_it_becomes_unreachable() -> None:
    world, checker = settled_world("ghost", 5)
    for spot in world.spots[:4]:  # as if only a process that is lost as well had met it
        world.spots[4].kill()
        spot.view.table.set_address(spot.view.table.get("n4"), None)
        spot.view.peers = spot.view.bounds.peers = world.peers[:4]
    wait_until_settled(world)
    assert {states(s)["n4"] for s in world.living()} == {State.UNREACHABLE}


@settings(max_examples=12, deadline=None, derandomize=True, phases=[Phase.generate])
@given(st.integers(0, 10**6))
def test_drawn_days_keep_every_promise(seed: int) -> None:
    assert campaign(seed) == []

"""The view on a virtual clock: what each fault does to it, what it must not do, and that it settles again."""

from __future__ import annotations

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from dykeshift.rig.virtual import SECOND, Spot, World
from dykeshift.view.core import Event
from dykeshift.view.table import WORD
from dykeshift.view.wire import Kind, Message, Seal, State, decode, encode
from tests.view.world import BRIEF, Watch, befall, campaign, entry_of, settle, started, states


def heard(world: World) -> list[tuple[str, Event]]:
    """What all processes tell their consumers from now on."""
    events = list[tuple[str, Event]]()
    world.heard = lambda spot, event: events.append((spot.name, event))
    return events


def assert_kept(watch: Watch) -> None:
    assert watch.broken == []


def test_seven_in_ten_killed_at_once_are_not_counted_out_by_the_three() -> None:
    world, watch = started("seven", 10)
    for spot in world.spots[3:]:
        spot.kill()
    settle(world)
    world.run(90)  # longer than any lease: three of ten can't know that the seven do not go on elsewhere
    for spot in world.spots[:3]:
        assert (spot.view.standing.at_least, spot.view.standing.at_most) == (3, 10)
        assert not spot.view.standing.holds
    for spot in world.spots[3:]:
        world.start(spot)
    settle(world)
    assert all(s.view.standing.at_most == 10 for s in world.spots)
    assert_kept(watch)


def test_the_few_that_are_lost_are_counted_out_after_a_lease_and_not_before() -> None:
    world, watch = started("few", 7)
    gone = world.spots[5:]
    for spot in gone:
        spot.kill()
    world.run(BRIEF.lease / SECOND * 0.95)
    assert {s.view.standing.at_most for s in world.living()} == {7}
    assert {s.view.standing.at_least for s in world.living()} == {5}
    assert world.run(60, lambda: {s.view.standing.at_most for s in world.living()} == {5})
    assert_kept(watch)


def test_cut_in_half_and_whole_again_with_opposite_views() -> None:
    world, watch = started("halves", 10)
    world.groups = [frozenset(range(5)), frozenset(range(5, 10))]
    settle(world)
    world.run(20)
    assert {(s.view.standing.at_least, s.view.standing.at_most) for s in world.spots} == {(5, 10)}
    assert states(world.spots[0])["n7"] is State.UNREACHABLE
    assert states(world.spots[7])["n0"] is State.UNREACHABLE
    world.groups = []
    settle(world)
    assert_kept(watch)


def test_three_groups_joined_in_two_steps() -> None:
    world, watch = started("three", 9)
    world.groups = [frozenset((0, 1, 2)), frozenset((3, 4, 5)), frozenset((6, 7, 8))]
    settle(world)
    world.groups = [frozenset(range(6)), frozenset((6, 7, 8))]
    settle(world)
    assert {s.view.standing.at_least for s in world.spots[:6]} == {6}
    world.groups = []
    settle(world)
    assert_kept(watch)


def test_who_stood_still_accuses_nobody_and_holds_nothing_until_it_has_asked() -> None:
    world, watch = started("still", 6)
    sleeper = world.spots[0]
    world.stop(sleeper)
    world.run(90)
    assert {s.view.standing.at_most for s in world.spots[1:]} == {5}
    events, sent = heard(world), list[Message]()
    world.tap = lambda a, b, data: sent.append(decode(data, world.seal)) if a is sleeper else None
    world.groups = [frozenset((0,)), frozenset(range(1, 6))]  # it awakes to find nobody
    world.resume(sleeper)
    world.run(3)
    assert not sleeper.view.standing.holds and sleeper.view.standing.at_least == 1
    accusations = [e for m in sent for e in m.entries if e.state is not State.ALIVE and e.name != "n0"]
    assert accusations == []
    world.groups = []
    settle(world)
    assert "n0" in {e.name for _, e in events if e.kind == "state"}
    assert {e.name for _, e in events if e.state is State.UNREACHABLE} <= {"n0"}
    assert_kept(watch)


def test_a_nap_is_no_silence_of_the_others() -> None:
    """A suspicion ran out while it stood still, and the contradiction lies unread."""
    world, _ = started("nap", 5)
    spot = world.spots[0]
    member = spot.view.table.get("n1")
    spot.view._believe(spot.clock(), member, State.SUSPECT)
    member.suspect_until = spot.clock() + SECOND // 2
    world.stop(spot)
    world.run(1.3)
    spot.stopped = False
    spot.view.on_timer(spot.clock())
    for _ in range(2):  # all of a period
        spot.view.on_timer(spot.view.next_at)
    assert member.state is State.SUSPECT
    settle(world)


@pytest.mark.parametrize("wall", [0, -3_600_000, 3_600_000])
def test_a_start_within_one_period_takes_the_name_over_whatever_the_wall_clock_says(wall: int) -> None:
    world, watch = started(f"restart{wall}", 5)
    events, spot = heard(world), world.spots[2]
    before = entry_of(spot).birth
    spot.kill()
    spot.wall = wall
    world.start(spot)
    settle(world)
    assert all(s.view.table.get("n2").entry.birth != before for s in world.spots if s is not spot)
    assert {s.view.standing.at_most for s in world.spots} == {5}
    assert not [e for _, e in events if e.kind == "twin"]
    assert_kept(watch)


def test_restarted_a_tenth_at_a_time_while_a_zone_is_cut_off() -> None:
    world, watch = started("roll", 40)
    world.groups = [frozenset(range(12)), frozenset(range(12, 40))]
    for tenth in range(10):
        for spot in world.spots[4 * tenth : 4 * tenth + 4]:
            befall(world, "leave", spot, world.rng)
            world.after(0.5, world.start, spot)
        world.run(2)
    world.groups = []
    settle(world, 90)
    assert {s.view.standing.at_most for s in world.spots} == {40}
    assert_kept(watch)


@pytest.mark.parametrize("hears", [True, False])
def test_one_that_hears_all_and_is_heard_by_none_and_the_other_way_round(hears: bool) -> None:
    world, watch = started(f"deaf{hears}", 6)
    world.blocked = {((0, n) if hears else (n, 0)) for n in range(1, 6)}
    sent = list[Message]()
    world.tap = lambda a, b, data: sent.append(decode(data, world.seal)) if a.number == 0 else None
    world.run(60)
    assert not [e for m in sent for e in m.entries if e.state is not State.ALIVE and e.name != "n0"]
    assert not world.spots[0].view.standing.holds
    others = world.spots[1:]
    assert {states(s)[f"n{n}"] for s in others for n in range(1, 6) if s.number != n} == {State.ALIVE}
    world.blocked = set()
    settle(world)
    assert_kept(watch)


def test_one_way_between_two_removes_nobody() -> None:
    world, watch = started("one way", 6)
    events = heard(world)
    world.blocked = {(0, 1)}
    world.run(60)
    assert not [e for _, e in events if e.state is State.UNREACHABLE]
    assert world.settled()
    assert_kept(watch)


def test_thirty_in_a_hundred_lost_doubled_and_late_does_not_flap() -> None:
    world, watch = started("weather", 12)
    world.weather.loss, world.weather.double, world.weather.late = 0.3, 0.2, 0.1
    events = heard(world)
    world.run(100)
    removed = [e for _, e in events if e.kind in ("gone", "state") and e.state >= State.UNREACHABLE]
    assert removed == []
    assert_kept(watch)


def test_strangers_and_those_with_another_key_change_nothing() -> None:
    world, watch = started("strangers", 5)
    digests, spot = {s.view.digest(s.clock()) for s in world.spots}, world.spots[0]
    me = entry_of(world.spots[1])
    for seal in (Seal("another"), Seal("world", b"key")):
        data = encode(Message(Kind.NEWS, "n1", me.birth, me.incarnation + 5, 10**6, 0), seal)
        world.deliver(world.spots[1].address, spot, data)
    world.run(5)
    assert {s.view.digest(s.clock()) for s in world.spots} == digests
    assert spot.view.dropped["fleet"] == 1 and spot.view.dropped["seal"] == 1
    assert_kept(watch)


def test_a_key_known_by_half_makes_two_fleets_that_do_not_count_each_other_out() -> None:
    world = World("halfkey", 8, BRIEF)
    keyed = Seal("world", b"key")

    def make(spot: Spot, life: int) -> object:
        world.seal = keyed if spot.number < 4 else Seal("world")
        return world._view(spot, life)

    world.make = make
    watch = Watch(world)
    world.start_all()
    world.run(120)
    assert {(s.view.standing.at_least, s.view.standing.at_most) for s in world.spots} == {(4, 8)}
    assert_kept(watch)


def test_what_is_played_again_does_nothing_not_even_to_who_starts_anew() -> None:
    world, watch = started("replay", 5)
    old = list[tuple[Spot, Spot, bytes]]()
    world.tap = lambda a, b, data: old.append((a, b, data))
    world.run(10)
    world.tap = lambda a, b, data: None
    world.spots[4].kill()
    for _ in range(60):  # n4 is counted out, though its words go on coming
        world.run(1)
        for a, b, data in old:
            if a.number == 4 and b.alive:
                world.deliver(a.address, b, data)
    assert {s.view.standing.at_most for s in world.living()} == {4}
    world.spots[0].kill()
    world.start(world.spots[0])
    settle(world)
    world.run(40)  # n0 has given up n4's address, too
    digests = {s.view.digest(s.clock()) for s in world.living()}
    for a, b, data in old:
        if b.alive:
            world.deliver(a.address, b, data)
    world.run(1)
    assert {s.view.digest(s.clock()) for s in world.living()} == digests
    assert {s.view.standing.at_most for s in world.living()} == {4}
    assert_kept(watch)


def test_two_processes_under_one_name_are_said_by_both_once_and_counted_once() -> None:
    world = World("twin", 6, BRIEF)
    make, events = world.make, heard(world)

    def twin(spot: Spot, life: int) -> object:
        view = make(spot, life)
        if spot.number == 5:
            view.me = type(view.me)("n1", life << WORD, view.me.birth, number=5, tier=6, settings=1)
        return view

    world.make = twin
    world.start_all()
    world.run(60)
    said = [name for name, e in events if e.kind == "twin"]
    assert sorted(said) == ["n1", "n5"]
    assert {s.view.standing.at_least for s in world.spots if not s.view.yielded} == {5}


def test_a_leave_is_believed_at_once_and_a_new_life_after_it() -> None:
    world, watch = started("leave", 8)
    for spot in world.spots[:6]:  # more than a majority, one after the other: each says so
        world.leave(spot)
        world.run(2)
    assert world.run(2, lambda: {s.view.standing.at_most for s in world.living()} == {2})
    for spot in world.spots[:6]:
        world.start(spot)
    settle(world)
    assert_kept(watch)


def test_lists_of_peers_that_differ_in_order_and_length() -> None:
    world = World("lists", 7, BRIEF)

    def make(spot: Spot, life: int) -> object:
        view = World._view(world, spot, life)
        peers = world.rng.sample(world.peers, 7 if spot.number else 4)
        view.peers = view.bounds.peers = tuple(peers)
        view.bounds.own = None
        view.me = type(view.me)(view.me.name, life << WORD, view.me.birth, tier=len(peers), settings=1)
        return view

    world.make = make
    watch = Watch(world)
    world.start_all()
    settle(world)
    assert {s.view.standing.at_least for s in world.spots} == {7}
    assert_kept(watch)


def test_new_settings_are_seen_by_all() -> None:
    world, watch = started("settings", 5)
    spot = world.spots[3]
    world._carry(spot, spot.view.on_facts(spot.clock(), 99))
    settle(world)
    assert {s.view.table.get("n3").entry.settings for s in world.spots if s is not spot} == {99}
    assert_kept(watch)


def test_who_died_before_anybody_left_had_met_it_is_not_alive_for_ever() -> None:
    world, watch = started("ghost", 5)
    for spot in world.spots[:4]:  # as if only the one that is lost, too, had met it
        world.spots[4].kill()
        spot.view.table.house(spot.view.table.get("n4"), None)
        spot.view.peers = spot.view.bounds.peers = world.peers[:4]
    settle(world)
    assert {states(s)["n4"] for s in world.living()} == {State.UNREACHABLE}


@settings(max_examples=12, deadline=None, derandomize=True, phases=[Phase.generate])
@given(st.integers(0, 10**6))
def test_drawn_days_keep_every_promise(seed: int) -> None:
    assert campaign(seed) == []

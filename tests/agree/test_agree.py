"""The hard cases of the agreement, each caused on the virtual clock, which holds the promises at every
step."""

from __future__ import annotations

from typing import Any

import pytest

from dykeshift.agree.state import Options
from dykeshift.agree.wire import Kind, Message, decode, encode
from dykeshift.rig.agreement import Agreement, level
from dykeshift.rig.linear import FOREVER, check
from dykeshift.rig.virtual import SECOND

BRIEF = Options(voters=5, lease=4 * SECOND, replace=8 * SECOND)


def begun(seed: object, count: int = 5, options: Options = BRIEF, disks: tuple[int, ...] = ()) -> Agreement:
    """A world that has a leader, and one change committed."""
    world = Agreement(seed, count, options, disks)
    world.start_all()
    assert world.run(20, world.led)
    made(world, leader(world), b"first")
    level(world)
    return world


def voters(world: Agreement) -> list[int]:
    """Of the latest leader; empty where there is none."""
    number = world.leader()
    return [] if number is None else [n for n, _ in world.core(number).voter.seats.now]


def leader(world: Agreement) -> int:
    number = world.leader()
    assert number is not None
    return number


def made(world: Agreement, at: int, body: bytes, expect: int | None = None) -> int:
    """A change that is committed; its version."""
    done = world.propose(
        at, body, max(version(world, s.number) for s in world.up()) if expect is None else expect
    )
    assert world.run(10, lambda: done.end != FOREVER) and done.ok, done
    return done.version


def version(world: Agreement, at: int) -> int:
    return world.core(at).proposals.version()


def others(world: Agreement, *but: int) -> list[int]:
    return [s.number for s in world.spots if s.number not in but]


def over(world: Agreement) -> None:
    """The day ends: one history, and calls that fit one order."""
    level(world)
    assert world.broken == [] and check(world.operations) == ""


def test_a_leader_that_stood_still_wakes_without_a_lease_and_commits_nothing_alone() -> None:
    world = begun(1)
    old = leader(world)
    world.stop(world.spots[old])
    assert world.run(20, lambda: world.leader() not in (None, old))
    made(world, leader(world), b"while it stood still")
    world.run(6)
    spot = world.spots[old]
    assert world.core(old).spread.lease_left(spot.clock()) == 0
    spot.stopped = False
    done = world.propose(old, b"in hand", 1)  # before it has heard anything
    assert world.core(old).voter.lead is None
    assert world.run(10, lambda: done.end != FOREVER) and not done.ok
    over(world)


def test_a_leader_cut_off_with_few_commits_nothing_and_its_entries_go() -> None:
    world = begun(2)
    old = leader(world)
    rest = others(world, old)
    world.groups = [frozenset({old, rest[0]}), frozenset(rest[1:])]
    lost = world.propose(old, b"on the small side", 1)
    reading = world.read(old)
    assert world.run(20, lambda: any(world.core(n).voter.settled() for n in rest[1:]))
    made(world, rest[1], b"on the large side", 1)
    assert lost.end == FOREVER and reading.end == FOREVER
    world.groups = []
    over(world)
    assert world.core(old).shared.machine.snapshot() == b"on the large side"


def test_one_way_links_do_not_depose_leader_after_leader() -> None:
    world = begun(3)
    old, deaf = leader(world), others(world, leader(world))[0]
    term = world.core(old).voter.term
    world.blocked = {(old, deaf)}  # it does not hear the leader, and is heard by all
    world.run(30)
    assert leader(world) == old and world.core(old).voter.term == term
    world.blocked = {(old, n) for n in others(world, old)}  # and now nobody hears it
    assert world.run(20, lambda: world.leader() not in (None, old))
    assert world.run(20, lambda: world.core(old).voter.lead is None)
    world.blocked = set()
    over(world)


def test_who_was_cut_off_comes_back_without_an_election() -> None:
    world = begun(4)
    away = others(world, leader(world))[0]
    term = world.core(away).voter.term
    world.groups = [frozenset({away}), frozenset(others(world, away))]
    world.run(20)
    world.groups = []
    world.run(10)
    assert {world.core(s.number).voter.term for s in world.spots} == {term}
    over(world)


def test_a_voter_back_from_nothing_is_another_until_it_has_its_seat_again() -> None:
    world = begun(5)
    old = leader(world)
    voter = next(n for n in others(world, old) if world.core(n).voter.vote is not None)
    before = world.core(voter).shared.me
    world.groups = [frozenset({voter}), frozenset(others(world, voter))]  # nobody can give it its seat back
    world.kill(world.spots[voter])
    world.start(world.spots[voter])
    world.run(10)
    core = world.core(voter)
    assert core.shared.me != before and core.shared.blank and core.voter.vote is None
    world.groups = []
    level(world)
    assert world.run(20, lambda: world.core(old).voter.seats.now.count(world.core(voter).shared.me) == 1)
    assert world.run(10, lambda: before not in world.core(old).voter.seats.all)
    over(world)


@pytest.mark.parametrize("lost", [2, 3])
def test_two_of_five_from_nothing_at_once_lose_nothing_and_three_want_a_word_by_hand(lost: int) -> None:
    world = begun(6, 7)
    for n in range(5):
        made(world, n, b"%d" % n)
    seats = voters(world)
    gone = [n for n in seats if n != leader(world)][:lost]
    for n in gone:
        world.kill(world.spots[n])
        world.start(world.spots[n])
    if lost == 3:
        world.run(30)
        assert not world.led()
        stays = next(n for n in seats if n not in gone)
        assert "cannot vote" not in world.rescue(stays)
        assert world.core(stays).shared.epoch[1] == 2
        assert world.run(30, lambda: len(voters(world)) == 5)
    assert world.run(30, world.level)
    assert all(version(world, s.number) == 6 for s in world.spots)
    made(world, gone[0], b"after")
    over(world)


def test_a_rescue_is_refused_where_it_is_not_needed_or_somebody_has_more() -> None:
    world = begun(7, 7)
    assert "has a live leader" in world.rescue(0)
    behind = next(n for n in range(7) if (n, world.core(n).shared.birth) not in world.core(0).voter.seats.all)
    world.groups = [frozenset({behind}), frozenset(others(world, behind))]
    for n in range(3):
        made(world, others(world, behind)[0], b"%d" % n)
    seats = voters(world)
    for n in seats[:4]:
        world.kill(world.spots[n])
    world.groups = []
    world.core(behind).spread.note_commit(
        world.spots[behind].clock(), world.core(behind).shared.epoch, 99, ("", 0)
    )
    world.run(3)
    assert "in reach has entry" in world.rescue(behind)


def test_what_is_left_of_an_old_epoch_commits_nothing_once_it_has_heard() -> None:
    world = begun(8, 5)
    old = leader(world)
    away = others(world, old)[:2]
    world.groups = [frozenset({*away}), frozenset(others(world, *away))]
    world.run(8)
    assert world.rescue(away[0], force=True) == ""  # though the others go on, which the operator did not know
    assert world.run(20, lambda: world.core(away[0]).voter.settled())
    lost = world.propose(old, b"of the old epoch", 1)
    world.run(2)
    assert lost.ok
    world.groups = []
    told: list[str] = []
    heard = world.heard
    world.heard = lambda spot, event: (told.append(event.kind), heard(spot, event))[1]  # type: ignore[func-returns-value]
    level(world)
    assert "lost" in told and "fenced" in told and world.broken == []
    assert {world.core(s.number).shared.epoch[1] for s in world.spots} == {2}


def test_a_voter_gone_for_good_is_replaced_also_after_the_leader_was_cut_off_half_way() -> None:
    world = begun(9, 7)
    old = leader(world)
    seats = [n for n, _ in world.core(old).voter.seats.now]
    gone = next(n for n in seats if n != old)
    world.kill(world.spots[gone])
    assert world.run(30, lambda: world.core(old).voter.seats.joint)
    world.groups = [frozenset({old}), frozenset(others(world, old))]
    assert world.run(30, lambda: world.leader() not in (None, old))
    assert world.run(40, lambda: len(voters(world)) == 5 and gone not in voters(world))
    world.groups = []
    made(world, old, b"after")
    over(world)


def test_a_proposal_whose_answer_is_lost_is_committed_once_wherever_it_is_asked_again() -> None:
    world = begun(10)
    at, other = others(world, leader(world))[:2]
    done = world.propose(at, b"once", 1)
    world.run(0.03)
    world.kill(world.spots[at])  # its client heard nothing
    assert world.run(20, lambda: any(version(world, n) == 2 for n in others(world, at)))
    core, spot = world.core(other), world.spots[other]
    _, out = core.propose(spot.clock(), b"once", 1, 3 * SECOND, done.ident)
    spot.view.act(out)
    level(world)
    assert core.outcome(done.ident, 1).status == "committed" and version(world, other) == 2
    world.start(world.spots[at])
    over(world)


def test_a_learner_ten_thousand_versions_behind_catches_up_within_its_budget() -> None:
    world = begun(11, 3, Options(voters=1, keep=64))
    late = next(n for n in range(3) if n not in voters(world))
    world.kill(world.spots[late])
    lead = world.core(leader(world))
    for n in range(10_000):  # as if proposed: the log's own way in
        lead.voter.propose(world.spots[leader(world)].clock(), _entry(lead, n))
    lead.shared.events.clear()  # the world would look at each
    world.truth.shown.clear()
    world.start(world.spots[late])
    before = world.datagrams
    assert world.run(30, lambda: version(world, late) == 10_001)
    assert world.datagrams - before < 2000 and lead.shared.log.last - lead.shared.log.base.index <= 2 * 64 + 1
    over_level = world.run(10, world.level)
    assert over_level and world.broken == []


def _entry(core: Any, number: int) -> Any:
    from dykeshift.agree.log import Entry, Sort

    return Entry(core.voter.term, Sort.CHANGE, number + 1, b"%d" % number)


def test_a_base_that_is_cut_off_half_way_is_not_shown_and_goes_on_where_it_was() -> None:
    world = begun(12, 4, Options(voters=3, keep=4))
    late = next(n for n in range(4) if n not in voters(world))
    world.kill(world.spots[late])
    for n in range(12):
        made(world, leader(world), b"%d" % n * 3000)
    pieces = [0]

    def tap(one: Any, other: Any, data: bytes) -> None:
        message = decode(data, world.seal) if data[1] >= Kind.APPEND else None
        if message is not None and message.kind is Kind.BASE and other.number == late:
            pieces[0] += 1
            if pieces[0] == 10:
                world.groups = [frozenset({late}), frozenset(others(world, late))]

    world.tap = tap
    world.start(world.spots[late])
    world.run(10)
    assert pieces[0] >= 10 and version(world, late) == 0
    assert world.core(late).shared.machine.snapshot() == b""
    world.groups = []
    over(world)


def test_a_spoilt_file_costs_the_birth_and_a_torn_end_does_not() -> None:
    world = begun(13, 5, disks=(0, 1, 2, 3, 4))
    one, other = others(world, leader(world))[:2]
    births = {n: world.core(n).shared.birth for n in (one, other)}
    for n in (one, other):
        world.kill(world.spots[n])
    world.disks[one].hole = True
    for n in (one, other):
        world.start(world.spots[n])
    assert world.core(one).shared.birth != births[one] and world.core(other).shared.birth == births[other]
    over(world)
    for spot in world.spots:  # all at once: the disks have it
        world.kill(spot)
    for spot in world.spots:
        world.start(spot)
    over(world)
    assert version(world, 0) == 1


def test_a_disk_that_lied_is_found_out_and_its_process_takes_another_birth() -> None:
    world = begun(14, 5, disks=(0, 1, 2, 3, 4))
    liar = others(world, leader(world))[0]
    world.disks[liar].lies = True
    birth = world.core(liar).shared.birth
    for n in range(3):
        made(world, leader(world), b"%d" % n)
    level(world)
    world.kill(world.spots[liar])
    world.start(world.spots[liar])
    assert world.core(liar).shared.birth == birth
    assert world.run(20, lambda: world.core(liar).shared.birth != birth)
    over(world)
    another = world.core(liar).shared.birth
    world.kill(world.spots[liar])
    world.start(world.spots[liar])
    assert world.core(liar).shared.birth == another  # and never the one again that has lost its promises
    over(world)


def test_two_fleets_under_one_name_do_not_join_and_both_say_so() -> None:
    world = Agreement(15, 6, Options(voters=3))
    told: list[tuple[int, str]] = []
    heard = world.heard
    world.heard = lambda s, e: (told.append((s.number, e.kind)), heard(s, e))[1]  # type: ignore[func-returns-value]
    for spot in world.spots:
        half = range(3) if spot.number < 3 else range(3, 6)
        world.start(spot)
        spot.view.core.shared.places = {n % 3: world.spots[n].address for n in half}
        spot.view.core.shared.number = spot.number % 3
        spot.view.core.on_roster({0, 1, 2}, {})
        spot.view._look = lambda now: None
    assert world.run(20, lambda: sum(s.view.core.voter.settled() for s in world.spots) == 2)
    histories = {s.view.core.shared.epoch[0] for s in world.spots}
    for spot in world.spots:
        spot.view.core.shared.places |= {10 + n: s.address for n, s in enumerate(world.spots)}
        spot.view.core.on_roster({*range(3), *range(10, 16)}, {})
    world.run(10)
    assert {s.view.core.shared.epoch[0] for s in world.spots} == histories and len(histories) == 2
    assert {n for n, kind in told if kind == "stranger"} == set(range(6))


def test_who_leaves_in_order_hands_its_seat_on_first() -> None:
    world = begun(16, 7)
    old = leader(world)
    world.carry(world.spots[old], world.spots[old].view.leave(world.spots[old].clock()))
    assert world.run(10, lambda: world.leader() not in (None, old))
    core, spot = world.core(old), world.spots[old]
    assert core.handing_over(spot.clock())
    assert world.run(2, lambda: not core.voter.seated()) and not core.handing_over(spot.clock())
    assert world.run(10, lambda: len(voters(world)) == 5 and old not in voters(world))
    over(world)


def test_nothing_begins_while_somebody_may_know_a_history() -> None:
    world = begun(17, 4, Options(voters=3))
    keeper = next(n for n in range(4) if n not in [s[0] for s in world.core(0).voter.seats.now])
    for n in others(world, keeper):
        world.kill(world.spots[n])
        world.start(world.spots[n])
    world.run(20)
    # three began from nothing, one knows: by hand then
    assert not world.led() and version(world, keeper) == 1
    assert world.rescue(keeper) == ""
    over_level = world.run(30, world.level)
    assert over_level and {version(world, n) for n in range(4)} == {1}


@pytest.mark.parametrize("whose", ["alone", "leader", "follower"])
def test_nothing_counts_before_it_is_kept(whose: str) -> None:
    world = begun(18, 3, Options(voters=1 if whose == "alone" else 3), disks=(0, 1, 2))
    old = leader(world)
    one, away = others(world, old)
    world.groups = [frozenset({away}), frozenset({old, one})]
    world.run(0.5)
    stuck = world.disks[one if whose == "follower" else old]
    stuck.stuck = True
    done = world.propose(old, b"kept by one", 1)
    world.run(0.8)
    assert done.end == FOREVER and all(version(world, s.number) == 1 for s in world.spots)
    stuck.stuck, world.groups = False, []
    over(world)


def test_a_lease_counts_from_the_question_and_takes_the_age_of_the_answer_off() -> None:
    world = begun(19, 5, Options(voters=3, lease=10 * SECOND, drift=0.0))
    core = world.core(next(n for n in range(5) if n not in voters(world)))
    spread, now = core.spread, 1000 * SECOND
    spread.queries[77] = now
    told = Message(
        Kind.ANSWER,
        (0, 1),
        core.shared.epoch,
        1,
        token=77,
        commit=core.shared.commit,
        of=2000,
        chain=core.shared.log.chain_at(core.shared.commit) or 0,
    )
    spread.on_answer(now + 3 * SECOND, told, ("10.0.0.0", 1))
    assert spread.lease_left(now + 3 * SECOND) == 5 * SECOND
    spread.on_answer(now + 3 * SECOND, told, ("10.0.0.0", 1))  # played again, it answers nothing
    assert spread.lease_left(now + 8 * SECOND) == 0


def test_an_epoch_whose_founder_is_lost_at_once_is_followed_by_a_higher_one() -> None:
    world = begun(20, 5)
    first, second = others(world, leader(world))[:2]
    for spot in world.spots:
        if spot.number not in (first, second):
            world.kill(spot)
    world.weather.loss = 1.0
    assert world.rescue(first, force=True) == ""
    world.weather.loss = 0.0
    epoch = world.core(first).shared.epoch
    told = Message(Kind.ASK, world.core(first).shared.me, epoch, 1, token=5)
    world.kill(world.spots[first])
    spot = world.spots[second]
    spot.view.on_datagram(spot.clock(), encode(told, world.seal), world.spots[first].address)
    assert world.core(second).summary(spot.clock())["role"] == "fenced"
    assert world.rescue(second, force=True, voters=1) == ""
    assert world.run(10, world.led) and world.core(second).shared.epoch[1] == epoch[1] + 1


def test_who_has_heard_of_a_later_epoch_knows_of_it_after_a_restart() -> None:
    world = begun(21, 3, Options(voters=3), disks=(0, 1, 2))
    core = world.core(1)
    later = (core.shared.epoch[0], 2, 7)
    for spot in world.spots:
        told = Message(Kind.ASK, (9, 9), later, 1, token=5)
        world.carry(spot, spot.view.on_datagram(spot.clock(), encode(told, world.seal), ("10.9.9.9", 1)))
    world.run(0.1)
    for spot in world.spots:
        world.kill(spot)
        world.start(spot)
    world.run(10)
    assert not world.led() and {s.view.core.summary(s.clock())["role"] for s in world.spots} == {"fenced"}
    assert world.rescue(0) == "" and world.run(20, world.level)
    assert world.core(1).shared.epoch[1] == 3 and version(world, 1) == 1

"""Hard cases of consensus, provoked on the virtual clock; the invariants are checked after every step."""

from __future__ import annotations

from typing import Any

import pytest

from dykeshift.agree.state import Options
from dykeshift.agree.wire import Kind, Message, decode, encode
from dykeshift.rig.agreement import Agreement, level
from dykeshift.rig.linear import FOREVER, check
from dykeshift.rig.virtual import SECOND

BRIEF = Options(voters=5, lease=4 * SECOND, replace=8 * SECOND)


def started_world(
    seed: object, count: int = 5, options: Options = BRIEF, disks: tuple[int, ...] = ()
) -> Agreement:
    """A world with a leader and one committed change."""
    world = Agreement(seed, count, options, disks)
    world.start_all()
    assert world.run(20, world.led)
    commit_change(world, leader(world), b"first")
    level(world)
    return world


def voters(world: Agreement) -> list[int]:
    """Numbers of the voters of the latest leader; empty if there is none."""
    number = world.leader()
    return [] if number is None else [n for n, _ in world.core(number).voter.seats.now]


def leader(world: Agreement) -> int:
    number = world.leader()
    assert number is not None
    return number


def commit_change(world: Agreement, at: int, body: bytes, expect: int | None = None) -> int:
    """Propose a change and wait until it is committed; returns its version."""
    done = world.propose(
        at, body, max(version(world, s.number) for s in world.up()) if expect is None else expect
    )
    assert world.run(10, lambda: done.end != FOREVER) and done.ok, done
    return done.version


def version(world: Agreement, at: int) -> int:
    return world.core(at).proposals.version()


def others(world: Agreement, *excluded: int) -> list[int]:
    return [s.number for s in world.spots if s.number not in excluded]


def check_end(world: Agreement) -> None:
    """Let all processes converge; the invariants held and the operations are linearizable."""
    level(world)
    assert world.broken == [] and check(world.operations) == ""


def test_suspended_leader_resumes_without_a_lease_and_commits_nothing_alone() -> None:
    world = started_world(1)
    old = leader(world)
    world.stop(world.spots[old])
    assert world.run(20, lambda: world.leader() not in (None, old))
    commit_change(world, leader(world), b"while it stood still")
    world.run(6)
    spot = world.spots[old]
    assert world.core(old).spread.lease_left(spot.clock()) == 0
    spot.stopped = False
    done = world.propose(old, b"in hand", 1)  # before it has received anything
    assert world.core(old).voter.lead is None
    assert world.run(10, lambda: done.end != FOREVER) and not done.ok
    check_end(world)


def test_leader_in_the_minority_partition_commits_nothing_and_its_entries_are_discarded() -> None:
    world = started_world(2)
    old = leader(world)
    rest = others(world, old)
    world.groups = [frozenset({old, rest[0]}), frozenset(rest[1:])]
    lost = world.propose(old, b"on the small side", 1)
    reading = world.read(old)
    assert world.run(20, lambda: any(world.core(n).voter.settled() for n in rest[1:]))
    commit_change(world, rest[1], b"on the large side", 1)
    assert lost.end == FOREVER and reading.end == FOREVER
    world.groups = []
    check_end(world)
    assert world.core(old).shared.machine.snapshot() == b"on the large side"


def test_one_way_links_do_not_depose_leader_after_leader() -> None:
    world = started_world(3)
    old, deaf = leader(world), others(world, leader(world))[0]
    term = world.core(old).voter.term
    world.blocked = {(old, deaf)}  # it receives nothing from the leader; all receive from it
    world.run(30)
    assert leader(world) == old and world.core(old).voter.term == term
    world.blocked = {(old, n) for n in others(world, old)}  # now nobody receives from it
    assert world.run(20, lambda: world.leader() not in (None, old))
    assert world.run(20, lambda: world.core(old).voter.lead is None)
    world.blocked = set()
    check_end(world)


def test_partitioned_voter_rejoins_without_an_election() -> None:
    world = started_world(4)
    away = others(world, leader(world))[0]
    term = world.core(away).voter.term
    world.groups = [frozenset({away}), frozenset(others(world, away))]
    world.run(20)
    world.groups = []
    world.run(10)
    assert {world.core(s.number).voter.term for s in world.spots} == {term}
    check_end(world)


def test_voter_restarted_without_state_votes_only_after_it_has_a_seat_again() -> None:
    world = started_world(5)
    old = leader(world)
    voter = next(n for n in others(world, old) if world.core(n).voter.vote is not None)
    before = world.core(voter).shared.me
    world.groups = [frozenset({voter}), frozenset(others(world, voter))]  # nobody can give it a seat
    world.kill(world.spots[voter])
    world.start(world.spots[voter])
    world.run(10)
    core = world.core(voter)
    assert core.shared.me != before and core.shared.blank and core.voter.vote is None
    world.groups = []
    level(world)
    assert world.run(20, lambda: world.core(old).voter.seats.now.count(world.core(voter).shared.me) == 1)
    assert world.run(10, lambda: before not in world.core(old).voter.seats.all)
    check_end(world)


@pytest.mark.parametrize("lost", [2, 3])
def test_two_of_five_voters_without_state_lose_nothing_and_three_need_a_rescue(lost: int) -> None:
    world = started_world(6, 7)
    for n in range(5):
        commit_change(world, n, b"%d" % n)
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
    commit_change(world, gone[0], b"after")
    check_end(world)


def test_rescue_is_refused_with_a_live_leader_or_if_another_has_more_entries() -> None:
    world = started_world(7, 7)
    assert "has a live leader" in world.rescue(0)
    behind = next(n for n in range(7) if (n, world.core(n).shared.birth) not in world.core(0).voter.seats.all)
    world.groups = [frozenset({behind}), frozenset(others(world, behind))]
    for n in range(3):
        commit_change(world, others(world, behind)[0], b"%d" % n)
    seats = voters(world)
    for n in seats[:4]:
        world.kill(world.spots[n])
    world.groups = []
    world.core(behind).spread.note_commit(
        world.spots[behind].clock(), world.core(behind).shared.epoch, 99, ("", 0)
    )
    world.run(3)
    assert "in reach has entry" in world.rescue(behind)


def test_fenced_old_epoch_commits_nothing() -> None:
    world = started_world(8, 5)
    old = leader(world)
    away = others(world, old)[:2]
    world.groups = [frozenset({*away}), frozenset(others(world, *away))]
    world.run(8)
    assert world.rescue(away[0], force=True) == ""  # the others go on, unknown to the operator
    assert world.run(20, lambda: world.core(away[0]).voter.settled())
    lost = world.propose(old, b"of the old epoch", 1)
    world.run(2)
    assert lost.ok
    world.groups = []
    kinds: list[str] = []
    heard = world.heard
    world.heard = lambda spot, event: (kinds.append(event.kind), heard(spot, event))[1]  # type: ignore[func-returns-value]
    level(world)
    assert "lost" in kinds and "fenced" in kinds and world.broken == []
    assert {world.core(s.number).shared.epoch[1] for s in world.spots} == {2}


def test_lost_voter_is_replaced_also_if_the_leader_is_partitioned_during_the_change() -> None:
    world = started_world(9, 7)
    old = leader(world)
    seats = [n for n, _ in world.core(old).voter.seats.now]
    gone = next(n for n in seats if n != old)
    world.kill(world.spots[gone])
    assert world.run(30, lambda: world.core(old).voter.seats.joint)
    world.groups = [frozenset({old}), frozenset(others(world, old))]
    assert world.run(30, lambda: world.leader() not in (None, old))
    assert world.run(40, lambda: len(voters(world)) == 5 and gone not in voters(world))
    world.groups = []
    commit_change(world, old, b"after")
    check_end(world)


def test_proposal_with_a_lost_answer_is_committed_once_wherever_it_is_repeated() -> None:
    world = started_world(10)
    at, other = others(world, leader(world))[:2]
    done = world.propose(at, b"once", 1)
    world.run(0.03)
    world.kill(world.spots[at])  # its client got no answer
    assert world.run(20, lambda: any(version(world, n) == 2 for n in others(world, at)))
    core, spot = world.core(other), world.spots[other]
    _, out = core.propose(spot.clock(), b"once", 1, 3 * SECOND, done.ident)
    spot.view.act(out)
    level(world)
    assert core.outcome(done.ident, 1).status == "committed" and version(world, other) == 2
    world.start(world.spots[at])
    check_end(world)


def test_learner_ten_thousand_versions_behind_catches_up_within_its_budget() -> None:
    world = started_world(11, 3, Options(voters=1, keep=64))
    late = next(n for n in range(3) if n not in voters(world))
    world.kill(world.spots[late])
    lead = world.core(leader(world))
    for n in range(10_000):  # appended directly, to save time
        lead.voter.propose(world.spots[leader(world)].clock(), _entry(lead, n))
    lead.shared.events.clear()  # otherwise the world would check each one
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


def test_interrupted_base_transfer_exposes_nothing_and_resumes() -> None:
    world = started_world(12, 4, Options(voters=3, keep=4))
    late = next(n for n in range(4) if n not in voters(world))
    world.kill(world.spots[late])
    for n in range(12):
        commit_change(world, leader(world), b"%d" % n * 3000)
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
    check_end(world)


def test_only_a_lost_record_changes_the_incarnation() -> None:
    world = started_world(13, 5, disks=(0, 1, 2, 3, 4))
    one, other = others(world, leader(world))[:2]
    births = {n: world.core(n).shared.birth for n in (one, other)}
    for n in (one, other):
        world.kill(world.spots[n])
    world.disks[one].hole = True
    for n in (one, other):
        world.start(world.spots[n])
    assert world.core(one).shared.birth != births[one] and world.core(other).shared.birth == births[other]
    check_end(world)
    for spot in world.spots:  # all at once: the state is on the disks
        world.kill(spot)
    for spot in world.spots:
        world.start(spot)
    check_end(world)
    assert version(world, 0) == 1


def test_voter_whose_disk_lost_synced_records_is_detected_and_changes_its_incarnation() -> None:
    world = started_world(14, 5, disks=(0, 1, 2, 3, 4))
    liar = others(world, leader(world))[0]
    world.disks[liar].lies = True
    birth = world.core(liar).shared.birth
    for n in range(3):
        commit_change(world, leader(world), b"%d" % n)
    level(world)
    world.kill(world.spots[liar])
    world.start(world.spots[liar])
    assert world.core(liar).shared.birth == birth
    assert world.run(20, lambda: world.core(liar).shared.birth != birth)
    check_end(world)
    another = world.core(liar).shared.birth
    world.kill(world.spots[liar])
    world.start(world.spots[liar])
    assert world.core(liar).shared.birth == another  # not the lost one again
    check_end(world)


def test_two_fleets_of_one_name_do_not_join_and_both_report_it() -> None:
    world = Agreement(15, 6, Options(voters=3))
    reported: list[tuple[int, str]] = []
    heard = world.heard
    world.heard = lambda s, e: (reported.append((s.number, e.kind)), heard(s, e))[1]  # type: ignore[func-returns-value]
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
    assert {n for n, kind in reported if kind == "stranger"} == set(range(6))


def test_leaving_voter_hands_over_leadership_and_its_seat_first() -> None:
    world = started_world(16, 7)
    old = leader(world)
    world.carry(world.spots[old], world.spots[old].view.leave(world.spots[old].clock()))
    assert world.run(10, lambda: world.leader() not in (None, old))
    core, spot = world.core(old), world.spots[old]
    assert core.handing_over(spot.clock())
    assert world.run(2, lambda: not core.voter.seated()) and not core.handing_over(spot.clock())
    assert world.run(10, lambda: len(voters(world)) == 5 and old not in voters(world))
    check_end(world)


def test_no_history_starts_while_a_process_may_know_one() -> None:
    world = started_world(17, 4, Options(voters=3))
    keeper = next(n for n in range(4) if n not in [s[0] for s in world.core(0).voter.seats.now])
    for n in others(world, keeper):
        world.kill(world.spots[n])
        world.start(world.spots[n])
    world.run(20)
    # Three processes restarted without state, one knows the history: this takes an operator.
    assert not world.led() and version(world, keeper) == 1
    assert world.rescue(keeper) == ""
    over_level = world.run(30, world.level)
    assert over_level and {version(world, n) for n in range(4)} == {1}


@pytest.mark.parametrize("whose", ["alone", "leader", "follower"])
def test_nothing_is_counted_before_it_is_durable(whose: str) -> None:
    world = started_world(18, 3, Options(voters=1 if whose == "alone" else 3), disks=(0, 1, 2))
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
    check_end(world)


def test_lease_starts_at_the_query_less_the_age_of_the_answer() -> None:
    world = started_world(19, 5, Options(voters=3, lease=10 * SECOND, drift=0.0))
    core = world.core(next(n for n in range(5) if n not in voters(world)))
    spread, now = core.spread, 1000 * SECOND
    spread.queries[77] = now
    reply = Message(
        Kind.ANSWER,
        (0, 1),
        core.shared.epoch,
        1,
        token=77,
        commit=core.shared.commit,
        of=2000,
        chain=core.shared.log.chain_at(core.shared.commit) or 0,
    )
    spread.on_answer(now + 3 * SECOND, reply, ("10.0.0.0", 1))
    assert spread.lease_left(now + 3 * SECOND) == 5 * SECOND
    spread.on_answer(now + 3 * SECOND, reply, ("10.0.0.0", 1))  # a replayed answer has no effect
    assert spread.lease_left(now + 8 * SECOND) == 0


def test_epoch_whose_founder_is_lost_at_once_is_followed_by_a_higher_one() -> None:
    world = started_world(20, 5)
    first, second = others(world, leader(world))[:2]
    for spot in world.spots:
        if spot.number not in (first, second):
            world.kill(spot)
    world.weather.loss = 1.0
    assert world.rescue(first, force=True) == ""
    world.weather.loss = 0.0
    epoch = world.core(first).shared.epoch
    query = Message(Kind.ASK, world.core(first).shared.me, epoch, 1, token=5)
    world.kill(world.spots[first])
    spot = world.spots[second]
    spot.view.on_datagram(spot.clock(), encode(query, world.seal), world.spots[first].address)
    assert world.core(second).summary(spot.clock())["role"] == "fenced"
    assert world.rescue(second, force=True, voters=1) == ""
    assert world.run(10, world.led) and world.core(second).shared.epoch[1] == epoch[1] + 1


def test_process_knows_of_a_later_epoch_after_a_restart() -> None:
    world = started_world(21, 3, Options(voters=3), disks=(0, 1, 2))
    core = world.core(1)
    later = (core.shared.epoch[0], 2, 7)
    for spot in world.spots:
        query = Message(Kind.ASK, (9, 9), later, 1, token=5)
        world.carry(spot, spot.view.on_datagram(spot.clock(), encode(query, world.seal), ("10.9.9.9", 1)))
    world.run(0.1)
    for spot in world.spots:
        world.kill(spot)
        world.start(spot)
    world.run(10)
    assert not world.led() and {s.view.core.summary(s.clock())["role"] for s in world.spots} == {"fenced"}
    assert world.rescue(0) == "" and world.run(20, world.level)
    assert world.core(1).shared.epoch[1] == 3 and version(world, 1) == 1

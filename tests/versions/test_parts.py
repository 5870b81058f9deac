"""The parts by themselves: what may be acted on, what is proposed next, a stage's test, lists, datagrams."""

from __future__ import annotations

import json
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykeshift.rig.ruled import worded
from dykeshift.settings import SettingsError
from dykeshift.versions import changes, core
from dykeshift.versions.book import Book, Out, Pages, Phase, Rules, proposal_digest
from dykeshift.versions.changes import Ban, Drop, Force, Halt, Lists, Middle, Propose, Refuse, Unban, pack
from dykeshift.versions.checks import Sight, ban_objection, objection
from dykeshift.versions.force import InForce, word
from dykeshift.versions.guide import SECOND, Facts, Guide, Options
from dykeshift.versions.lists import PeerLists
from dykeshift.versions.own import Own, share
from dykeshift.versions.terms import bolder, contradicts, live
from dykeshift.versions.trial import Trial
from dykeshift.versions.wire import Leaving, Report, Verdict, decode, encode
from dykeshift.view.wire import Bad, Seal

SAFE = share(worded())
UNSAFE = share(worded(None, {"status-check": {"idempotency": "side_effect"}}, maxAttempts=2))
FREE = share(worded(None, {"sms-send": {"worth": 5.0}}))


def proposal(text: str = UNSAFE, **more: Any) -> Propose:
    return Propose(msgspec.Raw(text.encode()), **more)


def config_store(*entries: changes.Change) -> Book:
    made = Book()
    for n, entry in enumerate(entries, 1):
        made.apply(n, pack(entry))
    return made


def effective_state(made: Book, number: int = 0) -> InForce:
    return InForce(Own(worded() | {"me": number}), made, number)


FEWER = share({**worded(), "services": worded()["services"][1:]})
COMMITTED = (proposal(SAFE), Force(1))  # version 1 is in force, the book has version 2


# ---- the book ----


def test_a_proposal_goes_through_its_phases_and_nothing_else_moves_it() -> None:
    made = config_store(*COMMITTED, proposal(), Middle(3))
    assert made.pages.pending is not None and made.pages.pending.phase is Phase.MIDDLE
    late: list[changes.Change] = [
        Middle(3),
        Refuse(3, "late"),
        Force(2),
        Drop(3),
        Halt(9, ""),
        proposal(FREE),
    ]
    for n, strange in enumerate(late):
        before = without_version(made)
        made.apply(5 + n, pack(strange))
        assert without_version(made) == before, strange
    made.apply(11, pack(Force(3)))
    assert (made.pages.rules.version, made.pages.past[0].version) == (3, 1)
    assert made.find(1) is not None and made.find(0) is None  # nobody goes back to "each its own file"
    assert [o.how for o in made.pages.outcomes] == ["in force", "in force"]


def without_version(made: Book) -> Pages:
    return msgspec.structs.replace(made.pages, version=0)


def test_a_halt_goes_back_through_the_middle() -> None:
    made = config_store(*COMMITTED, proposal(stages=((0,),)), Middle(3), Force(3, 0), Halt(3, "worse"))
    assert made.pages.pending is not None and made.pages.pending.phase is Phase.BACK
    assert effective_state(made).look(1, 1) and effective_mode(made) == "middle"
    made.apply(7, pack(Drop(3)))
    assert made.pages.pending is None and made.outcome(3) is not None
    assert made.pages.outcomes[-1].reason == "worse" and made.pages.rules.version == 1


def effective_mode(made: Book, number: int = 0, lease: int = 1) -> str:
    force = effective_state(made, number)
    force.look(1, lease)
    return force.acts.mode


def test_a_book_comes_back_whole_and_an_older_program_passes_over_what_it_does_not_know() -> None:
    made = config_store(*COMMITTED, Ban("s1", "0"), Lists(wary=("s2",), doubt="refuse"), proposal())
    later = Book()
    later.restore(5, made.snapshot())
    assert later.pages == made.pages and later.pages.out == {"s1": Out(3, "0")}
    newer = json.loads(made.snapshot()) | {"moons": 3}
    newer["rules"] |= {"colour": "red"}
    later.restore(5, json.dumps(newer).encode())
    assert later.pages == made.pages
    later.apply(6, b'{"do":"paint","colour":"red"}')
    later.apply(7, b"anything at all")
    assert later.strange == 2 and later.pages.version == 7 and without_version(later) == without_version(made)
    unban = b'{"do":"unban","name":"s1","by":"0","colour":"red"}'
    later.apply(8, unban)
    assert later.pages.out == {}


@settings(derandomize=True, database=None, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [
                    pack(c)
                    for c in (
                        proposal(),
                        proposal(dry=True),
                        Middle(1),
                        Force(1),
                        Force(1, 3),
                        Halt(1, "x"),
                        Drop(1),
                        Refuse(1, ""),
                        Ban("a"),
                        Unban("a"),
                        Lists(closed=("b",)),
                    )
                ]
            ),
        ),
        max_size=12,
    )
)
def test_any_entries_at_all_leave_a_book_that_goes_on(entries: list[bytes]) -> None:
    made, other = Book(), Book()
    for n, body in enumerate(entries, 1):
        made.apply(n, body)
        other.restore(n, made.snapshot())
        assert other.pages == made.pages
        assert effective_mode(made) in ("in force", "middle")


# ---- what may be acted on ----


def test_without_a_lease_it_is_in_doubt_from_the_first_look_on() -> None:
    force = effective_state(config_store(*COMMITTED))
    first = force.look(10, lease_left=5)
    assert not force.acts.doubtful and force.acts.version == 1
    assert force.look(11, 1) == first  # nothing has changed
    stamp = force.look(16, 0, why="cut off")
    assert stamp != first and force.acts.doubtful and force.acts.why == "cut off" and force.since == 16
    assert word(force.acts, {}).doubtful
    assert force.look(17, 9) not in (stamp, first)


def test_in_doubt_it_acts_on_the_middle_of_all_that_it_has_heard_of() -> None:
    force = effective_state(config_store(*COMMITTED, Lists(wary=("s4",))))
    heard = (pack(proposal()), pack(Ban("s5")), b"noise")
    force.look(1, 0, heard)
    unsafe = Own(worded()).read(UNSAFE)
    assert bolder(force.acts.settings, unsafe) == [] and force.acts.settings.attempt_limit == 2
    assert force.acts.out == {"s5"} and force.acts.wary == {"s4"}
    assert word(force.acts, {"s4": 4, "s5": 5}).out == {4}  # s5 comes as a ban
    pending = effective_state(config_store(*COMMITTED, proposal()))
    pending.look(1, 0)
    assert bolder(pending.acts.settings, unsafe) == []
    refusing = effective_state(config_store(*COMMITTED, Lists(doubt="refuse")))
    refusing.look(1, 0)
    assert refusing.acts.closed == set(live(refusing.acts.settings))


def test_stages_and_the_middle() -> None:
    made = config_store(*COMMITTED, proposal(stages=((2,), (3,))), Middle(3), Force(3, 0))
    assert [effective_mode(made, n) for n in (2, 3)] == ["in force", "middle"]
    made.apply(6, pack(Force(3, 1)))
    assert [effective_mode(made, n) for n in (2, 3, 4)] == ["in force", "in force", "middle"]
    force = effective_state(made, 4)
    force.look(1, 1)
    assert force.forms()["status-check"] == {
        live(Own(worded()).read(t))["status-check"].idempotency for t in (SAFE, UNSAFE)
    }


def test_what_it_cannot_read_puts_it_in_doubt() -> None:
    odd = json.loads(SAFE)
    del odd["bounds"]["maxAttempts"]
    made = config_store(*COMMITTED, proposal(json.dumps(odd)), Middle(3), Force(3))
    force = effective_state(made)
    force.look(1, 1)
    assert force.acts.doubtful and "maxAttempts" in force.acts.why


def test_ones_own_part_is_not_shared() -> None:
    one, other = (Own({**worded(), "az": n, "me": n}) for n in (0, 1))
    assert one.shared == other.shared and one.read(SAFE).zone == 0 and other.read(SAFE).zone == 1
    with pytest.raises(SettingsError, match="no class"):
        one.read(json.dumps({**json.loads(SAFE), "services": []}))


# ---- who would have to act on it ----


@pytest.mark.parametrize(
    "text, sight, said",
    [
        (UNSAFE, Sight(), ""),
        ("{", Sight(), "not JSON"),
        (FEWER, Sight(inflight={"status-check": 2}), "close it"),
        (share(worded(None, {"sms-send": {"deadlineNs": 1000}})), Sight(usual={"sms-send": 5e6}), "deadline"),
        (share(worded(None, None, maxAttempts=4)), Sight(), "more than the 3"),
        (share(worded(None, None, maxAttempts=1)), Sight(attempts=2), "has had 2"),
        (share(worded({"balancers": 2})), Sight(at_work=3), "3 are active"),
    ],
)
def test_each_harmful_proposal_is_refused_with_its_reason(text: str, sight: Sight, said: str) -> None:
    own = Own(worded())
    why = objection(text, own, own.settings, frozenset(), sight)
    assert said in why if said else why == ""


def test_a_class_that_is_closed_may_go_and_the_last_server_may_not() -> None:
    own = Own(worded())
    sight = Sight(frozenset({1, 2}), {"status-check": 2})
    assert objection(FEWER, own, own.settings, frozenset({"status-check"}), sight) == ""
    assert ban_objection(1, frozenset(), sight) == "" and ban_objection(1, frozenset({2}), sight)


# ---- who leads ----

LEADING = Facts(True, frozenset({0, 1, 2}))


def leader_of(made: Book) -> Guide:
    own = Own(worded())
    return Guide(
        Options(),
        made,
        lambda p: contradicts(own.read(made.pages.rules.settings), own.read(p.rules.settings)),
    )


def report(made: Book, number: int, verdict: Verdict = Verdict.YES, **more: Any) -> Report:
    pending = made.pages.pending
    base = Report(
        1,
        7,
        number,
        1,
        made.pages.version,
        core.proposal_digest(pending.rules) if pending else 0,
        verdict,
        "in force",
        0,
        0,
    )
    return replace(base, **more)


def test_all_have_to_say_yes_and_one_no_refuses_with_its_reason() -> None:
    made = config_store(*COMMITTED, proposal())
    leads = leader_of(made)
    for n in (0, 1):
        leads.on_report(0, report(made, n))
    assert leads.next(0, LEADING) is None
    assert leads.next(0, replace(LEADING, is_leader=False)) is None
    leads.on_report(0, report(made, 2, Verdict.NO, reason="too many"))
    assert leads.next(1, LEADING) == Refuse(3, "number 2: too many")
    leads.on_report(0, report(made, 2, counter=2))
    assert leads.next(2, LEADING) == Middle(3)
    leads.on_report(0, report(made, 2, Verdict.NO, counter=1))  # late, or played again
    assert leads.next(3, LEADING) == Middle(3)
    leads.on_report(0, report(made, 2, Verdict.NONE, birth=8))  # another life has not said so
    assert leads.next(4, LEADING) is None
    late = leads.next(Options().check + 5, LEADING)
    assert isinstance(late, Refuse) and "1 of 3 balancers have not reported" in late.reason


def test_a_dry_run_says_what_each_has_against_it() -> None:
    made = config_store(*COMMITTED, proposal(dry=True))
    leads = leader_of(made)
    leads.on_report(0, report(made, 0, Verdict.NO, reason="too few"))
    assert leads.next(0, LEADING) is None  # the others are to be heard
    leads.on_report(0, report(made, 1))
    leads.on_report(0, report(made, 2, Verdict.NO, reason="close it first"))
    assert leads.next(1, LEADING) == Refuse(3, "number 0: too few; number 2: close it first")


def test_a_yes_to_another_proposal_of_that_number_does_not_count() -> None:
    made, other = config_store(*COMMITTED, proposal()), config_store(*COMMITTED, proposal(FREE))
    leads = leader_of(made)
    for n in range(3):
        leads.on_report(0, report(other, n))
    assert leads.next(0, LEADING) is None


def test_what_contradicts_waits_for_the_lease_in_the_middle_and_after_a_halt() -> None:
    made = config_store(*COMMITTED, proposal(), Middle(3))
    leads, wait = leader_of(made), Options().wait
    assert wait > Options().lease * 1.01
    assert leads.next(100, LEADING) is None and leads.next(100 + wait - 1, LEADING) is None
    assert leads.next(100 + wait, LEADING) == Force(3)
    assert leads.next(100 + wait, replace(LEADING, is_leader=False)) is None
    assert leads.next(200 + wait, LEADING) is None  # it led no more in between: it waits anew
    back = leader_of(config_store(*COMMITTED, proposal(), Middle(3), Halt(3, "by hand")))
    assert back.next(5, LEADING) is None and back.next(5 + wait - 1, LEADING) is None
    assert back.next(5 + wait, LEADING) == Drop(3)


def test_what_contradicts_nothing_needs_no_middle_and_a_dry_run_changes_nothing() -> None:
    for text, dry, wanted in ((FREE, False, Force), (UNSAFE, True, Refuse)):
        made = config_store(*COMMITTED, proposal(text, dry=dry))
        leads = leader_of(made)
        for n in range(3):
            leads.on_report(0, report(made, n))
        assert isinstance(leads.next(0, LEADING), wanted)


def run_stage(bad: float, blocks: int = 60, answers: int = 40) -> changes.Change | None:
    """A stage whose first member's answers are bad in this part, the others' in one of a hundred."""
    made = config_store(*COMMITTED, proposal(stages=((0,),)), Middle(3), Force(3, 0))
    leads, rng, counts = leader_of(made), Random("stage"), {n: [0, 0] for n in range(3)}
    for block in range(blocks):
        for n, count in counts.items():
            count[0] += answers
            count[1] += sum(rng.random() < (bad if n == 0 else 0.01) for _ in range(answers))
            leads.on_report(block, report(made, n, counter=block + 1, answers=count[0], bad=count[1]))
        found = leads.next(block * SECOND, LEADING)
        if found is not None:
            return found
    return None


def test_a_stage_that_does_harm_is_halted_and_a_good_one_goes_on() -> None:
    halted = run_stage(0.2)
    assert isinstance(halted, Halt) and "stage 0" in halted.reason
    assert run_stage(0.01) == Force(3)
    few = run_stage(0.0, blocks=700, answers=0)
    assert isinstance(few, Halt) and "too few" in few.reason


def test_the_stage_s_test_stays_true_however_often_one_looks() -> None:
    """A thousand good versions, looked at after each of 200 blocks: hardly one is taken back."""
    rng, wrong = Random("trials"), 0
    for _ in range(200):
        trial, halted = Trial(), False
        for _ in range(200):
            trial.add(
                (20, sum(rng.random() < 0.05 for _ in range(20))),
                (60, sum(rng.random() < 0.05 for _ in range(60))),
            )
            halted = halted or trial.worse
        wrong += halted
    assert wrong <= 1


# ---- lists ----


def peer_lists(running: int = 10, generation: int = 5) -> PeerLists:
    lists = PeerLists(15 * SECOND)
    lists.on_own(0, generation, frozenset(range(running)), frozenset(range(running)))
    return lists


def test_a_newer_list_s_leaving_servers_are_left_alone_for_a_while_and_never_the_other_way() -> None:
    lists = peer_lists()
    assert lists.on_announcement(SECOND, 5, (1, 2)) == lists.on_announcement(SECOND, 1, (3,)) == ""
    assert lists.out(SECOND) == frozenset()  # as old, and discovery that began anew at 1
    assert lists.on_announcement(SECOND, 6, (1, 2, 77)) == "" and lists.out(SECOND) == {1, 2}
    for again in range(2, 40):
        lists.on_announcement(again * SECOND, 6, (1, 2))
    assert lists.out(17 * SECOND) == frozenset()  # bounded, however often it is told
    lists.on_announcement(17 * SECOND, 7, (3,))
    assert lists.out(18 * SECOND) == {3}
    lists.on_own(19 * SECOND, 7, frozenset(range(10)), frozenset(range(10)))
    assert lists.out(19 * SECOND) == frozenset()  # the own list has caught up: it knows better


def test_no_list_of_a_peer_empties_one_s_own() -> None:
    lists = peer_lists()
    assert "at most 30%" in lists.on_announcement(1, 1000, tuple(range(10)))
    assert lists.out(1) == frozenset() and lists.ignored == 1
    assert lists.on_announcement(1, 1000, (0, 1, 2)) == "" and lists.on_announcement(2, 1001, (3,)) != ""
    assert lists.out(2) == {0, 1, 2}


def test_what_leaves_is_told_and_passed_on() -> None:
    lists = peer_lists()
    lists.on_own(SECOND, 6, frozenset(range(2, 10)), frozenset(range(1, 10)))  # 1 drains, 0 is gone
    assert lists.announcement(SECOND, 25) == (6, (0, 1))
    other = peer_lists()
    other.on_announcement(SECOND, 6, (0, 1))
    assert other.announcement(SECOND, 25) == (6, (0, 1)) and other.announcement(SECOND, 1) is not None
    lists.on_own(60 * SECOND, 6, frozenset(range(2, 10)), frozenset(range(1, 10)))
    assert lists.announcement(60 * SECOND, 25) is None


# ---- datagrams ----

SEAL = Seal("fleet", b"key")


@pytest.mark.parametrize(
    "message",
    [
        Report(1, 2, 3, 4, 5, 6, Verdict.NO, "doubtful", 7, 8, "warum" * 40),
        Leaving(1, 2, 3, 1 << 40, (1, 1 << 60)),
    ],
)
def test_a_datagram_says_what_was_put_into_it(message: Report | Leaving) -> None:
    data = encode(message, SEAL)
    assert len(data) <= 256
    cut = replace(message, reason=message.reason[:150]) if isinstance(message, Report) else message
    assert decode(data, SEAL) == cut
    with pytest.raises(Bad):
        decode(data, Seal("fleet", b"other"))


@settings(derandomize=True, database=None, deadline=None)
@given(st.binary(max_size=256), st.sampled_from([64, 65, 66]))
def test_any_bytes_end_in_a_message_or_in_bad(rest: bytes, kind: int) -> None:
    body = bytes((1, kind)) + SEAL.tag.to_bytes(2, "big") + rest[:244]
    for data in (rest, body + SEAL.of(body)):
        try:
            found = decode(data, SEAL)
        except Bad:
            continue
        assert decode(encode(found, SEAL), SEAL) == found


def test_a_full_leaving_datagram_fits() -> None:
    assert len(encode(Leaving(1, 2, 3, 4, tuple(range(99))), SEAL)) <= 256


def test_marks_tell_proposals_of_one_number_apart() -> None:
    assert proposal_digest(Rules(3, "a")) != proposal_digest(Rules(3, "b")) != proposal_digest(Rules(4, "b"))

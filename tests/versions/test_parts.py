"""Unit tests: replicated state, settings to apply, the leader's proposals, stage test, lists, datagrams."""

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
from dykeshift.versions.book import VersionStore, Out, StoreState, Phase, Rules, proposal_digest
from dykeshift.versions.changes import Ban, Drop, Force, Halt, Lists, Middle, Propose, Refuse, Unban, pack
from dykeshift.versions.checks import LocalObservations, ban_objection, objection
from dykeshift.versions.force import SettingsTracker, fleet_agreement
from dykeshift.versions.guide import SECOND, LogStatus, RolloutLeader, Options
from dykeshift.versions.lists import PeerLists
from dykeshift.versions.own import LocalSettings, shared_part
from dykeshift.versions.terms import more_permissive, contradicts, active_classes
from dykeshift.versions.trial import Trial
from dykeshift.versions.wire import Leaving, Report, Verdict, decode, encode
from dykeshift.view.wire import DatagramError, Seal

SAFE = shared_part(worded())
UNSAFE = shared_part(worded(None, {"status-check": {"idempotency": "side_effect"}}, maxAttempts=2))
FREE = shared_part(worded(None, {"sms-send": {"worth": 5.0}}))


def proposal(text: str = UNSAFE, **more: Any) -> Propose:
    return Propose(msgspec.Raw(text.encode()), **more)


def config_store(*entries: changes.Change) -> VersionStore:
    store = VersionStore()
    for n, entry in enumerate(entries, 1):
        store.apply(n, pack(entry))
    return store


def effective_state(store: VersionStore, number: int = 0) -> SettingsTracker:
    return SettingsTracker(LocalSettings(worded() | {"me": number}), store, number)


FEWER = shared_part({**worded(), "services": worded()["services"][1:]})
COMMITTED = (proposal(SAFE), Force(1))  # version 1 is in force, the book has version 2


# ---- replicated state ----


def test_a_proposal_goes_through_its_phases_and_other_changes_are_ignored() -> None:
    store = config_store(*COMMITTED, proposal(), Middle(3))
    assert store.state.pending is not None and store.state.pending.phase is Phase.MIDDLE
    ignored: list[changes.Change] = [
        Middle(3),
        Refuse(3, "late"),
        Force(2),
        Drop(3),
        Halt(9, ""),
        proposal(FREE),
    ]
    for n, change in enumerate(ignored):
        before = without_version(store)
        store.apply(5 + n, pack(change))
        assert without_version(store) == before, change
    store.apply(11, pack(Force(3)))
    assert (store.state.rules.version, store.state.past[0].version) == (3, 1)
    assert store.find(1) is not None and store.find(0) is None  # no rollback to the settings of the files
    assert [o.how for o in store.state.outcomes] == ["in force", "in force"]


def without_version(store: VersionStore) -> StoreState:
    return msgspec.structs.replace(store.state, version=0)


def test_a_halt_goes_back_through_the_joint_phase() -> None:
    store = config_store(*COMMITTED, proposal(stages=((0,),)), Middle(3), Force(3, 0), Halt(3, "worse"))
    assert store.state.pending is not None and store.state.pending.phase is Phase.BACK
    assert effective_state(store).update(1, 1) and effective_mode(store) == "middle"
    store.apply(7, pack(Drop(3)))
    assert store.state.pending is None and store.outcome(3) is not None
    assert store.state.outcomes[-1].reason == "worse" and store.state.rules.version == 1


def effective_mode(store: VersionStore, number: int = 0, lease: int = 1) -> str:
    force = effective_state(store, number)
    force.update(1, lease)
    return force.effective.mode


def test_a_snapshot_restores_the_state_and_unknown_fields_and_changes_are_ignored() -> None:
    store = config_store(*COMMITTED, Ban("s1", "0"), Lists(wary=("s2",), doubt="refuse"), proposal())
    restored = VersionStore()
    restored.restore(5, store.snapshot())
    assert restored.state == store.state and restored.state.out == {"s1": Out(3, "0")}
    newer = json.loads(store.snapshot()) | {"moons": 3}
    newer["rules"] |= {"colour": "red"}
    restored.restore(5, json.dumps(newer).encode())
    assert restored.state == store.state
    restored.apply(6, b'{"do":"paint","colour":"red"}')
    restored.apply(7, b"anything at all")
    assert (
        restored.unknown_entries == 2
        and restored.state.version == 7
        and without_version(restored) == without_version(store)
    )
    unban = b'{"do":"unban","name":"s1","by":"0","colour":"red"}'
    restored.apply(8, unban)
    assert restored.state.out == {}


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
def test_any_entries_keep_the_state_machine_working(entries: list[bytes]) -> None:
    store, restored = VersionStore(), VersionStore()
    for n, body in enumerate(entries, 1):
        store.apply(n, body)
        restored.restore(n, store.snapshot())
        assert restored.state == store.state
        assert effective_mode(store) in ("in force", "middle")


# ---- settings to apply ----


def test_without_a_lease_it_is_degraded_from_the_first_look_on() -> None:
    force = effective_state(config_store(*COMMITTED))
    first = force.update(10, lease_left=5)
    assert not force.effective.degraded and force.effective.version == 1
    assert force.update(11, 1) == first  # nothing has changed
    stamp = force.update(16, 0, why="cut off")
    assert (
        stamp != first
        and force.effective.degraded
        and force.effective.degraded_reason == "cut off"
        and force.since == 16
    )
    assert fleet_agreement(force.effective, {}).settings_uncertain
    assert force.update(17, 9) not in (stamp, first)


def test_degraded_it_applies_the_narrowest_of_all_known_proposals() -> None:
    force = effective_state(config_store(*COMMITTED, Lists(wary=("s4",))))
    uncommitted = (pack(proposal()), pack(Ban("s5")), b"noise")
    force.update(1, 0, uncommitted)
    unsafe = LocalSettings(worded()).read(UNSAFE)
    assert (
        more_permissive(force.effective.settings, unsafe) == []
        and force.effective.settings.attempt_limit == 2
    )
    assert force.effective.banned == {"s5"} and force.effective.wary == {"s4"}
    assert fleet_agreement(force.effective, {"s4": 4, "s5": 5}).excluded_servers == {
        4
    }  # s5 is passed as a ban
    pending = effective_state(config_store(*COMMITTED, proposal()))
    pending.update(1, 0)
    assert more_permissive(pending.effective.settings, unsafe) == []
    refusing = effective_state(config_store(*COMMITTED, Lists(doubt="refuse")))
    refusing.update(1, 0)
    assert refusing.effective.closed == set(active_classes(refusing.effective.settings))


def test_stages_and_the_joint_phase() -> None:
    store = config_store(*COMMITTED, proposal(stages=((2,), (3,))), Middle(3), Force(3, 0))
    assert [effective_mode(store, n) for n in (2, 3)] == ["in force", "middle"]
    store.apply(6, pack(Force(3, 1)))
    assert [effective_mode(store, n) for n in (2, 3, 4)] == ["in force", "in force", "middle"]
    force = effective_state(store, 4)
    force.update(1, 1)
    assert force.accepted_idempotency()["status-check"] == {
        active_classes(LocalSettings(worded()).read(t))["status-check"].idempotency for t in (SAFE, UNSAFE)
    }


def test_settings_that_it_cannot_parse_make_it_degraded() -> None:
    incomplete = json.loads(SAFE)
    del incomplete["bounds"]["maxAttempts"]
    store = config_store(*COMMITTED, proposal(json.dumps(incomplete)), Middle(3), Force(3))
    force = effective_state(store)
    force.update(1, 1)
    assert force.effective.degraded and "maxAttempts" in force.effective.degraded_reason


def test_local_settings_are_not_shared() -> None:
    one, other = (LocalSettings({**worded(), "az": n, "me": n}) for n in (0, 1))
    assert one.shared == other.shared and one.read(SAFE).zone == 0 and other.read(SAFE).zone == 1
    with pytest.raises(SettingsError, match="no class"):
        one.read(json.dumps({**json.loads(SAFE), "services": []}))


# ---- checks of a proposal ----


@pytest.mark.parametrize(
    "text, sight, expected",
    [
        (UNSAFE, LocalObservations(), ""),
        ("{", LocalObservations(), "not JSON"),
        (FEWER, LocalObservations(inflight={"status-check": 2}), "close it"),
        (
            shared_part(worded(None, {"sms-send": {"deadlineNs": 1000}})),
            LocalObservations(mean_response_times={"sms-send": 5e6}),
            "deadline",
        ),
        (shared_part(worded(None, None, maxAttempts=4)), LocalObservations(), "more than the 3"),
        (shared_part(worded(None, None, maxAttempts=1)), LocalObservations(attempts=2), "has had 2"),
        (shared_part(worded({"balancers": 2})), LocalObservations(active_balancers=3), "3 are active"),
    ],
)
def test_each_harmful_proposal_is_refused_with_its_reason(
    text: str, sight: LocalObservations, expected: str
) -> None:
    own = LocalSettings(worded())
    why = objection(text, own, own.settings, frozenset(), sight)
    assert expected in why if expected else why == ""


def test_a_closed_class_may_be_removed_and_the_last_server_may_not_be_banned() -> None:
    own = LocalSettings(worded())
    sight = LocalObservations(frozenset({1, 2}), {"status-check": 2})
    assert objection(FEWER, own, own.settings, frozenset({"status-check"}), sight) == ""
    assert ban_objection(1, frozenset(), sight) == "" and ban_objection(1, frozenset({2}), sight)


# ---- leader ----

LEADING = LogStatus(True, frozenset({0, 1, 2}))


def leader_of(store: VersionStore) -> RolloutLeader:
    own = LocalSettings(worded())
    return RolloutLeader(
        Options(),
        store,
        lambda p: contradicts(own.read(store.state.rules.settings), own.read(p.rules.settings)),
    )


def report(store: VersionStore, number: int, verdict: Verdict = Verdict.YES, **more: Any) -> Report:
    pending = store.state.pending
    base = Report(
        1,
        7,
        number,
        1,
        store.state.version,
        core.proposal_digest(pending.rules) if pending else 0,
        verdict,
        "in force",
        0,
        0,
    )
    return replace(base, **more)


def test_all_must_accept_and_one_objection_refuses() -> None:
    store = config_store(*COMMITTED, proposal())
    leader = leader_of(store)
    for n in (0, 1):
        leader.on_report(0, report(store, n))
    assert leader.next(0, LEADING) is None
    assert leader.next(0, replace(LEADING, is_leader=False)) is None
    leader.on_report(0, report(store, 2, Verdict.NO, reason="too many"))
    assert leader.next(1, LEADING) == Refuse(3, "number 2: too many")
    leader.on_report(0, report(store, 2, counter=2))
    assert leader.next(2, LEADING) == Middle(3)
    leader.on_report(0, report(store, 2, Verdict.NO, counter=1))  # out of order, or replayed
    assert leader.next(3, LEADING) == Middle(3)
    leader.on_report(0, report(store, 2, Verdict.NONE, birth=8))  # a new incarnation has no verdict yet
    assert leader.next(4, LEADING) is None
    timed_out = leader.next(Options().check_timeout + 5, LEADING)
    assert isinstance(timed_out, Refuse) and "1 of 3 balancers have not reported" in timed_out.reason


def test_a_dry_run_collects_the_objections_of_all() -> None:
    store = config_store(*COMMITTED, proposal(dry=True))
    leader = leader_of(store)
    leader.on_report(0, report(store, 0, Verdict.NO, reason="too few"))
    assert leader.next(0, LEADING) is None  # waits for the others
    leader.on_report(0, report(store, 1))
    leader.on_report(0, report(store, 2, Verdict.NO, reason="close it first"))
    assert leader.next(1, LEADING) == Refuse(3, "number 0: too few; number 2: close it first")


def test_a_verdict_on_another_proposal_of_that_version_does_not_count() -> None:
    store, other = config_store(*COMMITTED, proposal()), config_store(*COMMITTED, proposal(FREE))
    leader = leader_of(store)
    for n in range(3):
        leader.on_report(0, report(other, n))
    assert leader.next(0, LEADING) is None


def test_a_conflicting_version_waits_for_the_lease_in_the_joint_phase_and_after_a_halt() -> None:
    store = config_store(*COMMITTED, proposal(), Middle(3))
    leader, wait = leader_of(store), Options().lease_wait
    assert wait > Options().lease * 1.01
    assert leader.next(100, LEADING) is None and leader.next(100 + wait - 1, LEADING) is None
    assert leader.next(100 + wait, LEADING) == Force(3)
    assert leader.next(100 + wait, replace(LEADING, is_leader=False)) is None
    assert (
        leader.next(200 + wait, LEADING) is None
    )  # it lost the leadership in between: the wait starts again
    halted = leader_of(config_store(*COMMITTED, proposal(), Middle(3), Halt(3, "by hand")))
    assert halted.next(5, LEADING) is None and halted.next(5 + wait - 1, LEADING) is None
    assert halted.next(5 + wait, LEADING) == Drop(3)


def test_without_conflict_there_is_no_joint_phase_and_a_dry_run_changes_nothing() -> None:
    for text, dry, wanted in ((FREE, False, Force), (UNSAFE, True, Refuse)):
        store = config_store(*COMMITTED, proposal(text, dry=dry))
        leader = leader_of(store)
        for n in range(3):
            leader.on_report(0, report(store, n))
        assert isinstance(leader.next(0, LEADING), wanted)


def run_stage(bad: float, blocks: int = 60, answers: int = 40) -> changes.Change | None:
    """Run a stage with this fraction of bad answers at its balancer, and 1% at the others."""
    store = config_store(*COMMITTED, proposal(stages=((0,),)), Middle(3), Force(3, 0))
    leader, rng, counts = leader_of(store), Random("stage"), {n: [0, 0] for n in range(3)}
    for block in range(blocks):
        for n, count in counts.items():
            count[0] += answers
            count[1] += sum(rng.random() < (bad if n == 0 else 0.01) for _ in range(answers))
            leader.on_report(block, report(store, n, counter=block + 1, answers=count[0], bad=count[1]))
        found = leader.next(block * SECOND, LEADING)
        if found is not None:
            return found
    return None


def test_a_harmful_stage_is_halted_and_a_good_one_continues() -> None:
    halted = run_stage(0.2)
    assert isinstance(halted, Halt) and "stage 0" in halted.reason
    assert run_stage(0.01) == Force(3)
    too_few = run_stage(0.0, blocks=700, answers=0)
    assert isinstance(too_few, Halt) and "too few" in too_few.reason


def test_the_sequential_test_is_valid_after_every_block() -> None:
    """Of 200 good versions, evaluated after each of 200 blocks, at most one is halted (alpha is 0.001)."""
    rng, false_alarms = Random("trials"), 0
    for _ in range(200):
        trial, halted = Trial(), False
        for _ in range(200):
            trial.add(
                (20, sum(rng.random() < 0.05 for _ in range(20))),
                (60, sum(rng.random() < 0.05 for _ in range(60))),
            )
            halted = halted or trial.worse
        false_alarms += halted
    assert false_alarms <= 1


# ---- lists ----


def peer_lists(running: int = 10, generation: int = 5) -> PeerLists:
    lists = PeerLists(15 * SECOND)
    lists.on_own_list(0, generation, frozenset(range(running)), frozenset(range(running)))
    return lists


def test_leaving_servers_of_a_newer_list_are_avoided_for_a_limited_time() -> None:
    lists = peer_lists()
    assert lists.on_announcement(SECOND, 5, (1, 2)) == lists.on_announcement(SECOND, 1, (3,)) == ""
    assert lists.avoided(SECOND) == frozenset()  # the same generation, and one of a restarted discovery
    assert lists.on_announcement(SECOND, 6, (1, 2, 77)) == "" and lists.avoided(SECOND) == {1, 2}
    for again in range(2, 40):
        lists.on_announcement(again * SECOND, 6, (1, 2))
    assert lists.avoided(17 * SECOND) == frozenset()  # bounded, however often it is announced
    lists.on_announcement(17 * SECOND, 7, (3,))
    assert lists.avoided(18 * SECOND) == {3}
    lists.on_own_list(19 * SECOND, 7, frozenset(range(10)), frozenset(range(10)))
    assert lists.avoided(19 * SECOND) == frozenset()  # the own list has caught up


def test_a_peer_s_list_cannot_empty_the_own_one() -> None:
    lists = peer_lists()
    assert "at most 30%" in lists.on_announcement(1, 1000, tuple(range(10)))
    assert lists.avoided(1) == frozenset() and lists.ignored == 1
    assert lists.on_announcement(1, 1000, (0, 1, 2)) == "" and lists.on_announcement(2, 1001, (3,)) != ""
    assert lists.avoided(2) == {0, 1, 2}


def test_leaving_servers_are_announced_and_forwarded() -> None:
    lists = peer_lists()
    lists.on_own_list(SECOND, 6, frozenset(range(2, 10)), frozenset(range(1, 10)))  # 1 drains, 0 is gone
    assert lists.announcement(SECOND, 25) == (6, (0, 1))
    other = peer_lists()
    other.on_announcement(SECOND, 6, (0, 1))
    assert other.announcement(SECOND, 25) == (6, (0, 1)) and other.announcement(SECOND, 1) is not None
    lists.on_own_list(60 * SECOND, 6, frozenset(range(2, 10)), frozenset(range(1, 10)))
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
def test_a_datagram_round_trips(message: Report | Leaving) -> None:
    data = encode(message, SEAL)
    assert len(data) <= 256
    expected = replace(message, reason=message.reason[:150]) if isinstance(message, Report) else message
    assert decode(data, SEAL) == expected
    with pytest.raises(DatagramError):
        decode(data, Seal("fleet", b"other"))


@settings(derandomize=True, database=None, deadline=None)
@given(st.binary(max_size=256), st.sampled_from([64, 65, 66]))
def test_decoding_any_bytes_gives_a_message_or_raises_bad(rest: bytes, kind: int) -> None:
    body = bytes((1, kind)) + SEAL.tag.to_bytes(2, "big") + rest[:244]
    for data in (rest, body + SEAL.mac(body)):
        try:
            found = decode(data, SEAL)
        except DatagramError:
            continue
        assert decode(encode(found, SEAL), SEAL) == found


def test_a_full_leaving_datagram_fits() -> None:
    assert len(encode(Leaving(1, 2, 3, 4, tuple(range(99))), SEAL)) <= 256


def test_digests_differ_for_proposals_of_the_same_version() -> None:
    assert proposal_digest(Rules(3, "a")) != proposal_digest(Rules(3, "b")) != proposal_digest(Rules(4, "b"))

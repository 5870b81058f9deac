"""The ordinary path, each outcome for each idempotency, lists, cold servers and holding."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.harness import CLASSES, MS, S, World, entry, make_settings
from tests.test_failures import fleet, warm_up
from dykeshift.interface import (
    NOT_RUN,
    CallEnd,
    Cancel,
    Fail,
    Idempotency,
    ListKind,
    LoadReport,
    Outcome,
    Refuse,
    Scope,
    ServerList,
    ServerState,
)

BAD = [o for o in Outcome if o is not Outcome.OK]


def test_safe_requests_are_copied_to_idle_servers_and_losers_cancelled() -> None:
    world = fleet()
    warm_up(world)
    rid = world.submit(0)
    seen = world.requests[rid]
    assert len(seen.servers) == 2 and len(set(seen.servers)) == 2
    world.advance(20 * MS)
    world.actions.clear()
    world.end(rid, 1, Outcome.OK)
    assert [(a.request_id, a.attempt) for a in world.actions if isinstance(a, Cancel)] == [(rid, 0)]
    world.settle()


@pytest.mark.parametrize("klass", [1, 2, 3, 4])
def test_other_requests_go_once(klass: int) -> None:
    world = fleet()
    warm_up(world)
    assert len(world.requests[world.submit(klass)].servers) == 1
    world.settle()


@pytest.mark.parametrize("bad", [Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_bad_end_ends_nothing_while_another_copy_runs(bad: Outcome) -> None:
    world = fleet()
    warm_up(world)
    rid = world.submit(0)
    world.end(rid, 0, bad)
    assert not world.requests[rid].final
    world.end(rid, 1, Outcome.OK)
    assert world.requests[rid].final == "OK"
    world.settle()


@pytest.mark.parametrize("klass", range(len(CLASSES)))
@pytest.mark.parametrize("bad", BAD)
def test_each_outcome_for_each_idempotency(klass: int, bad: Outcome) -> None:
    """All attempts end alike: what follows is a legal retry, then the answer that is true."""
    world = fleet()
    rid = world.submit(klass)
    seen, k = world.requests[rid], CLASSES[klass]
    for _ in range(4):
        world.end_all(rid, bad)
    if k.idempotency is Idempotency.UNSAFE and bad not in NOT_RUN:
        assert len(seen.servers) == 1 and seen.final == "Fail"
    if bad in NOT_RUN:
        world.advance(k.deadline)
        assert seen.final == "Refuse"
    world.settle()
    if k.idempotency is Idempotency.KEYED and k.scope is not Scope.ALL and bad not in NOT_RUN:
        assert seen.final == "Fail"
    assert {
        type(a) for a in world.actions if getattr(a, "request_id", "") == rid and isinstance(a, Refuse | Fail)
    } == {Refuse if seen.final == "Refuse" else Fail}


def test_no_server_is_answered_in_time_and_honestly() -> None:
    world = World()
    ids = [world.submit(k) for k in range(len(CLASSES))]
    world.advance(400 * MS)
    assert all(world.requests[r].final == "Refuse" for r in ids)
    world.settle()


def test_a_held_request_goes_out_when_a_server_appears() -> None:
    world = World()
    rid = world.submit(2)
    world.advance(40 * MS)
    world.announce(ListKind.DELTA, entry(3))
    world.advance(60 * MS)
    assert world.requests[rid].servers == [3]
    world.end(rid, 0, Outcome.OK)
    world.settle()


@pytest.mark.parametrize("kind", [ListKind.DELTA, ListKind.FULL])
@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_draining_and_gone_servers_get_nothing_new(kind: ListKind, state: ServerState) -> None:
    world = fleet(3)
    world.announce(kind, entry(0, state), *(entry(n) for n in (1, 2)))
    for _ in range(50):
        world.submit(0)
        world.advance(30 * MS)
    assert all(0 not in s.servers for s in world.requests.values())
    world.settle()


def test_a_restart_is_a_cold_server_whose_past_is_dropped() -> None:
    world = fleet(2)
    warm_up(world)
    assert any(s.has_answered for s in world.balancer.servers.values())
    world.announce(ListKind.DELTA, entry(0, started=world.now - 10 * MS))
    assert not world.balancer.servers[0].has_answered
    world.announce(ListKind.DELTA, entry(0, started=world.now - 10 * MS))
    world.settle()


def cold_sends(world: World, cold: int, rounds: int) -> tuple[int, float]:
    """Busy servers all round, a cold one that answers nothing: what it was sent, and the others' mean."""
    counts: dict[int, int] = {}
    for _ in range(rounds):
        rid = world.submit(2)
        world.advance(4 * MS)
        silent = world.requests[rid].servers[0] == cold
        world.end(rid, 0, Outcome.CANCELLED if silent else Outcome.OK, LoadReport(queued=3.0))
    for seen in world.requests.values():
        for server in seen.servers:
            counts[server] = counts.get(server, 0) + 1
    others = [n for s, n in counts.items() if s != cold]
    return counts.get(cold, 0), sum(others) / max(1, len(others))


def test_a_cold_server_gets_the_share_it_bears_by_chance() -> None:
    """Incident i076e68: one attempt a window from each of 235 balancers pushed cold servers over."""
    world = fleet(8)
    warm_up(world)
    world.requests.clear()
    world.announce(ListKind.DELTA, entry(7, started=world.now))
    sent, mean = cold_sends(world, 7, 500)
    s = world.settings
    assert mean > 50
    assert 0 < sent <= s.overload_multiple * s.cold_share * mean
    world.settle()


def test_a_small_cold_server_gets_less() -> None:
    """Incident i076e68: the small kinds bore 1.6 times their limit while the large ones kept theirs."""
    sent = []
    for weight in (1.0, 0.2):
        world = fleet(8)
        warm_up(world)
        world.requests.clear()
        world.announce(ListKind.DELTA, replace(entry(7, started=world.now), weight=weight))
        sent.append(cold_sends(world, 7, 500)[0])
        world.settle()
    assert sent[1] < sent[0] / 2


def test_a_cold_server_that_answers_gets_more_than_one_that_does_not() -> None:
    """khovd-west big-2: servers warm far above the least were held to it through a whole deploy."""
    sent = []
    for cold_end in (Outcome.OK, Outcome.CANCELLED):
        world = fleet(8)
        warm_up(world)
        world.announce(ListKind.DELTA, entry(7, started=world.now))
        for _ in range(1500):
            rid = world.submit(2)
            world.advance(4 * MS)
            cold = world.requests[rid].servers[0] == 7
            world.end(rid, 0, cold_end if cold else Outcome.OK, LoadReport(queued=3.0))
        sent.append(sum(s.servers[:1] == [7] for s in world.requests.values()))
        world.settle()
    assert sent[0] > 1.3 * sent[1]


def test_restarted_balancers_that_know_nothing_do_not_push_a_cold_fleet_over() -> None:
    """Each of 300 has measured nothing and finds only cold servers: together they send a few a window."""
    total, window = 0, 0
    for seed in range(300):
        world = World(make_settings(balancers=300), seed)
        world.announce(ListKind.CACHED, *(entry(n, started=world.now) for n in range(4)))
        window = world.settings.overload_window
        for _ in range(6):
            world.submit(0)
            world.advance(window // 6)
        total += sum(len(s.servers) for s in world.requests.values())
    assert 0 < total / 4 <= 20, f"{total / 4} attempts a window to each cold server"


def pauses(end: CallEnd, waited: int, count: int, seed: int, **changes: object) -> list[int]:
    """From the beginning of each of so many calls, one after another, to the next, in 10 ms."""
    world = World(make_settings(ask_discovery=True, **changes), seed)
    found = []
    for n in range(1, count + 1):
        assert world.watches == n
        since = world.now
        world.advance(waited)
        assert world.watches == n, "asked anew while a call is out"
        world.play(world.balancer.on_list(world.now, ServerList(ListKind.FAILED, end=end)))
        while world.watches == n:
            world.advance(10 * MS)
        found.append(world.now - since)
    world.settle()
    return found


@pytest.mark.parametrize(
    ("end", "waited", "least", "most"),
    [
        (CallEnd.BROKEN, 2 * S, 2 * S, 3520 * MS),
        (CallEnd.UNREACHED, S, 1200 * MS, 3 * S),
        (CallEnd.UNANSWERED, 0, 600 * MS, 2420 * MS),  # turned away at once: it left no work
        (CallEnd.UNANSWERED, 2 * S, 3 * S, 5420 * MS),
        (CallEnd.UNANSWERED, 3 * S, 3 * S, 5420 * MS),
    ],
)
def test_discovery_is_asked_again_before_what_it_has_counts_as_told(
    end: CallEnd, waited: int, least: int, most: int
) -> None:
    """Sends to servers leaving, 0.3 to 0.4 s after six: a broken watch was begun anew after 7.4 to 8 s."""
    found = [pause for seed in range(40) for pause in pauses(end, waited, 4, seed)]
    assert least <= min(found) and max(found) <= most
    assert max(found) - min(found) > (most - least) / 2, "all ask at once"


def test_a_lone_balancer_begins_a_broken_watch_anew_at_once() -> None:
    assert pauses(CallEnd.BROKEN, 0, 1, 1, balancers=1) == [10 * MS]


def test_the_pauses_scale_with_the_time_that_the_settings_give_for_asking() -> None:
    assert max(pauses(CallEnd.UNANSWERED, 0, 4, 1, ask_every=600 * MS)) <= 250 * MS


def test_calls_in_vain_one_after_another_pause_longer_until_a_list_comes() -> None:
    """All balancers at a discovery that is overbooked for good: none would ever get a list."""
    found = pauses(CallEnd.UNANSWERED, 2 * S, 6, 1)
    assert max(found[:4]) <= 5420 * MS and min(found[4:]) >= 6 * S


def test_a_move_asks_the_new_discovery_soon_and_once() -> None:
    world = World(make_settings(ask_discovery=True))
    world.balancer.in_vain = 100  # a jam: the pause that begins now lasts for six seconds at the least
    world.advance(2 * S)
    world.play(world.balancer.on_list(world.now, ServerList(ListKind.FAILED)))
    assert min(at for at, token in world.timers if token == "watch") > world.now + 3 * S
    world.play(world.balancer.on_discovery_moved(world.now))
    world.advance(1510 * MS)
    assert world.watches == 2 and world.balancer.in_vain == 0
    world.advance(12 * S)
    assert world.watches == 2  # the pause from before ends, and nobody asks twice
    world.settle()


def test_servers_gone_for_good_are_forgotten() -> None:
    world = fleet(6)
    for n in range(300):
        world.announce(ListKind.DELTA, entry(10 + n, started=world.now - 30 * S))
        world.announce(ListKind.DELTA, entry(10 + n, ServerState.GONE, started=world.now - 30 * S))
        world.advance(20 * MS)
    world.advance(30 * S)
    assert len(world.balancer.servers) == 6
    world.settle()


@pytest.mark.parametrize(
    ("limit", "admit", "least"),
    [
        (0, 1.0, 0),
        (750 * MS, 1.0, 1),
        (30 * MS, 0.1, 30 * MS),
    ],
)
def test_a_refusal_says_when_to_come_back_within_the_limit(limit: int, admit: float, least: int) -> None:
    world = World(make_settings(retry_advice_limit=limit))
    world.balancer.admit = admit
    world.submit(0)
    world.advance(S)
    (refusal,) = (a for a in world.actions if isinstance(a, Refuse))
    assert least <= refusal.retry_after <= limit
    world.settle()

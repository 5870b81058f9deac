"""Copies and cancels, each outcome for each idempotency, lists, cold servers, waiting, discovery calls."""

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

FAILURES = [o for o in Outcome if o is not Outcome.OK]


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
def test_requests_that_are_not_safe_are_sent_once(klass: int) -> None:
    world = fleet()
    warm_up(world)
    assert len(world.requests[world.submit(klass)].servers) == 1
    world.settle()


@pytest.mark.parametrize("bad", [Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_failed_attempt_is_no_final_answer_while_a_copy_is_in_flight(bad: Outcome) -> None:
    world = fleet()
    warm_up(world)
    rid = world.submit(0)
    world.end(rid, 0, bad)
    assert not world.requests[rid].final
    world.end(rid, 1, Outcome.OK)
    assert world.requests[rid].final == "OK"
    world.settle()


@pytest.mark.parametrize("klass", range(len(CLASSES)))
@pytest.mark.parametrize("bad", FAILURES)
def test_each_outcome_for_each_idempotency(klass: int, bad: Outcome) -> None:
    """All attempts end with the same outcome: allowed retries follow, then the correct final answer."""
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


def test_without_servers_requests_are_refused_in_time() -> None:
    world = World()
    ids = [world.submit(k) for k in range(len(CLASSES))]
    world.advance(400 * MS)
    assert all(world.requests[r].final == "Refuse" for r in ids)
    world.settle()


def test_a_waiting_request_is_sent_when_a_server_appears() -> None:
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


def test_a_restarted_server_is_cold_and_its_estimates_are_dropped() -> None:
    world = fleet(2)
    warm_up(world)
    assert any(s.has_answered for s in world.balancer.servers.values())
    world.announce(ListKind.DELTA, entry(0, started=world.now - 10 * MS))
    assert not world.balancer.servers[0].has_answered
    world.announce(ListKind.DELTA, entry(0, started=world.now - 10 * MS))
    world.settle()


def cold_sends(world: World, cold: int, rounds: int) -> tuple[int, float]:
    """Attempts sent to a cold server that answers nothing, and the mean sent to the others, all busy."""
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


def test_a_cold_server_gets_no_more_than_its_share() -> None:
    """Incident i076e68: one attempt a window from each of 235 balancers overloaded cold servers."""
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
    """Incident i076e68: small servers got 1.6 times their limit while large ones stayed within theirs."""
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
    """khovd-west big-2: in a whole deploy servers that warmed up early got only the guaranteed least."""
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


def test_restarted_balancers_do_not_overload_a_cold_fleet() -> None:
    """300 balancers without measurements, only cold servers: together they send a few attempts a window."""
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


INFORMED_AFTER = 6 * S  # until a change counts as known, received or not
RESTART_TIME = 2 * S  # from a kill to the start of the next process


# Guards against a restarted process that sends to servers whose drain was listed while it was down: its
# cached list lacks the drain, and the first calls of all that restart together may time out.
def test_a_restarted_process_calls_again_in_time() -> None:
    first_pauses = [pauses(CallEnd.UNANSWERED, 2 * S, 1, seed)[0] for seed in range(20)]
    assert max(first_pauses) < INFORMED_AFTER - RESTART_TIME


def pauses(end: CallEnd, waited: int, count: int, seed: int, **changes: object) -> list[int]:
    """Times from the start of each of `count` failed calls to the next one, in steps of 10 ms."""
    world = World(make_settings(ask_discovery=True, **changes), seed)
    measured = []
    for n in range(1, count + 1):
        assert world.watches == n
        since = world.now
        world.advance(waited)
        assert world.watches == n, "a second call while one is open"
        world.play(world.balancer.on_list(world.now, ServerList(ListKind.FAILED, end=end)))
        while world.watches == n:
            world.advance(10 * MS)
        measured.append(world.now - since)
    world.settle()
    return measured


@pytest.mark.parametrize(
    ("end", "waited", "least", "most"),
    [
        (CallEnd.BROKEN, 2 * S, 2 * S, 3520 * MS),
        (CallEnd.UNREACHED, S, 1200 * MS, 3 * S),
        (CallEnd.UNANSWERED, 0, 600 * MS, 2420 * MS),  # rejected immediately: it left no work
        (CallEnd.UNANSWERED, 2 * S, 3 * S, 5420 * MS),
        (CallEnd.UNANSWERED, 3 * S, 3 * S, 5420 * MS),
    ],
)
def test_discovery_is_called_again_before_its_changes_count_as_known(
    end: CallEnd, waited: int, least: int, most: int
) -> None:
    """Draining servers got requests 0.3 to 0.4 s after the 6 s limit: watches reopened after 7.4 to 8 s."""
    measured = [pause for seed in range(40) for pause in pauses(end, waited, 4, seed)]
    assert least <= min(measured) and max(measured) <= most
    assert max(measured) - min(measured) > (most - least) / 2, "all balancers call at the same time"


def test_a_single_balancer_reopens_a_broken_watch_immediately() -> None:
    assert pauses(CallEnd.BROKEN, 0, 1, 1, balancers=1) == [10 * MS]


def test_pauses_between_calls_scale_with_ask_every() -> None:
    assert max(pauses(CallEnd.UNANSWERED, 0, 4, 1, ask_every=600 * MS)) <= 250 * MS


def test_pauses_are_longer_after_several_unanswered_calls_in_a_row() -> None:
    """If all balancers call a permanently overloaded discovery at a constant rate, none ever gets a list."""
    measured = pauses(CallEnd.UNANSWERED, 2 * S, 6, 1)
    assert max(measured[:4]) <= 5420 * MS and min(measured[4:]) >= 6 * S


def test_a_moved_discovery_is_called_soon_and_once() -> None:
    world = World(make_settings(ask_discovery=True))
    world.balancer.failed_calls = 100  # overloaded discovery: the next pause is at least six seconds long
    world.advance(2 * S)
    world.play(world.balancer.on_list(world.now, ServerList(ListKind.FAILED)))
    assert min(at for at, token in world.timers if token == "watch") > world.now + 3 * S
    world.play(world.balancer.on_discovery_moved(world.now))
    world.advance(1510 * MS)
    assert world.watches == 2 and world.balancer.failed_calls == 0
    world.advance(12 * S)
    assert world.watches == 2  # the earlier pause ends without a second call
    world.settle()


def test_servers_that_left_are_dropped() -> None:
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
def test_a_refusal_says_when_to_retry_within_the_limit(limit: int, admit: float, least: int) -> None:
    world = World(make_settings(retry_advice_limit=limit))
    world.balancer.admitted_share = admit
    world.submit(0)
    world.advance(S)
    (refusal,) = (a for a in world.actions if isinstance(a, Refuse))
    assert least <= refusal.retry_after <= limit
    world.settle()

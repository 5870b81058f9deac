"""Bans by operators in the decision module: a banned server gets nothing new until the ban ends."""

from __future__ import annotations

from dykeshift.interface import ListKind, Outcome, ServerState
from tests.harness import MS, S, World, entry


def world(*numbers: int) -> World:
    made = World()
    made.announce(ListKind.FULL, *(entry(n) for n in numbers))
    return made


def sent_to(made: World, requests: int = 60) -> set[int]:
    """The servers that requests of all classes are sent to, if each is answered immediately."""
    seen = set[int]()
    for n in range(requests):
        rid = made.submit(n % 3)
        seen |= set(made.requests[rid].servers)
        made.end_all(rid)
        made.advance(30 * MS)
    return seen


def test_a_ban_holds_through_every_kind_of_list_update_and_restart() -> None:
    made = world(0, 1, 2)
    made.play(made.balancer.on_ban(made.now, 1))
    assert sent_to(made) == {0, 2}
    for kind, entries in (
        (ListKind.FULL, [entry(0), entry(1), entry(2)]),
        (ListKind.DELTA, [entry(1, ServerState.GONE)]),
        (ListKind.DELTA, [entry(1)]),
        (ListKind.DELTA, [entry(1, started=made.now)]),  # a restart
    ):
        made.announce(kind, *entries)
        assert sent_to(made) == {0, 2}
    made.play(made.balancer.on_ban(made.now, 1))  # a second time: still one ban
    made.play(made.balancer.on_ban_end(made.now, 1))
    assert 1 in sent_to(made, 600)


def test_a_ban_of_an_unlisted_server_holds_once_it_is_listed() -> None:
    made = world(0, 2)
    made.play(made.balancer.on_ban(made.now, 1))
    made.announce(ListKind.DELTA, entry(1))
    assert sent_to(made) == {0, 2}


def test_after_a_ban_a_server_counts_as_cold_until_the_list_tells_its_start() -> None:
    made = world(0, 1, 2)
    balancer = made.balancer
    made.advance(10 * S)
    made.play(balancer.on_ban(made.now, 1))
    began = made.now
    made.advance(5 * S)
    made.play(balancer.on_ban_end(made.now, 1))
    ended = made.now
    assert balancer.servers[1].entry.started == ended
    made.announce(ListKind.FULL, entry(0), entry(1), entry(2))  # the list does not show a restart
    assert balancer.servers[1].entry.started == ended and balancer._cold(made.now, balancer.servers[1])
    made.announce(ListKind.DELTA, entry(1, started=began + S))  # now it does
    assert balancer.servers[1].entry.started == began + S
    made.advance(30 * S)
    assert not balancer._cold(made.now, balancer.servers[1]) and not balancer.ended_bans


def test_a_start_announced_during_a_ban_is_kept() -> None:
    made = world(0, 1)
    made.play(made.balancer.on_ban(made.now, 1))
    made.advance(2 * S)
    announced = made.now - S
    made.announce(ListKind.DELTA, entry(1, started=announced))
    made.play(made.balancer.on_ban_end(made.now, 1))
    assert made.balancer.servers[1].entry.started == announced


def test_with_all_servers_banned_requests_are_refused_immediately() -> None:
    made = world(0, 1)
    for n in (0, 1):
        made.play(made.balancer.on_ban(made.now, n))
    rid = made.submit(2)
    assert made.requests[rid].final == "Refuse"  # at the same instant
    made.play(made.balancer.on_ban_end(made.now, 0))
    assert sent_to(made) == {0}


def test_an_attempt_in_flight_at_a_banned_server_is_accounted_for() -> None:
    made = world(0)
    rid = made.submit(2)
    [server] = made.requests[rid].servers
    made.play(made.balancer.on_ban(made.now, server))
    made.play(made.balancer.on_ban_end(made.now + 1, server))  # it may be a new process
    made.end(rid, 0, Outcome.OK)
    assert made.balancer.servers[server].in_flight == 0 and not made.balancer.open


def test_avoided_counts_listed_servers_that_are_banned_draining_or_ejected() -> None:
    made = world(0, 1, 2, 3)
    assert made.balancer.excluded_count(made.now) == 0
    made.play(made.balancer.on_ban(made.now, 1))
    made.announce(ListKind.DELTA, entry(2, ServerState.DRAINING), entry(3, ServerState.GONE))
    assert made.balancer.excluded_count(made.now) == 2
    made.balancer.servers[0].ejected_until = made.now + 1
    assert made.balancer.excluded_count(made.now) == 3
    made.announce(ListKind.DELTA, entry(1, ServerState.GONE))  # banned, but not listed
    assert made.balancer.excluded_count(made.now) == 2

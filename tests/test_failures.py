"""Regression tests: one for each failure of the decision module that was found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.harness import CLASSES, MS, Seen, World, entry, make_settings
from dykeshift.rules import MAX_ADMISSION
from dykeshift.interface import ListKind, LoadReport, Outcome, Request, Send


def fleet(n: int = 6, seed: int = 1, **changes: object) -> World:
    world = World(make_settings(**changes), seed)
    world.announce(ListKind.CACHED, *(entry(i) for i in range(n)))
    return world


def warm_up(world: World, rounds: int = 60, klass: int = 0, hint: int = 0) -> None:
    """Answers every attempt quickly, so that latency estimates and concurrency limits settle."""
    for _ in range(rounds):
        rid = world.submit(klass, hint=hint)
        world.advance(30 * MS)
        world.end_all(rid)


def test_attempts_at_a_silent_fleet_are_bounded() -> None:
    """Incidents i407c1f, i8d87b3, i4602e4: all servers held more than they could finish in time."""
    world = fleet()
    for _ in range(400):
        world.submit(0)
        world.advance(5 * MS)
    held = len(world.out())
    assert held <= 6 * 4, f"{held} attempts out on six silent servers"
    refused = sum(s.final == "Refuse" for s in world.requests.values())
    assert refused > 200
    world.settle()


def test_quick_errors_do_not_attract_traffic() -> None:
    world = fleet()
    warm_up(world)
    bad, total = 0, 200
    for n in range(300):
        rid = world.submit(2)
        world.advance(2 * MS)
        server = world.requests[rid].servers[0]
        bad += server == 0 and n >= 100
        world.end(rid, 0, Outcome.ERROR if server == 0 else Outcome.OK)
        world.end_all(rid)
    assert bad < total / 12, f"{bad} of {total} went to the failing one of six servers"
    world.settle()


def test_a_hung_server_gets_few_unsafe_requests() -> None:
    """A server that accepts requests and answers nothing is avoided while others answer."""
    world = fleet()
    warm_up(world)
    hung = 0
    for n in range(400):
        rid = world.submit(2)
        world.advance(10 * MS)
        for attempt, server in enumerate(world.requests[rid].servers):
            if server == 0:
                hung += n >= 100
            elif world.requests[rid].ends[attempt] is None:
                world.end(rid, attempt, Outcome.OK)
    assert hung <= 6, f"{hung} of 300 unsafe requests went to the hung one of six servers"
    world.settle()


def test_a_stalled_attempt_gets_a_delayed_copy() -> None:
    """Stalls of 140 to 230 ms on every server made all their requests late."""
    world = fleet()
    warm_up(world)
    rid = world.submit(0)
    before = len(world.requests[rid].servers)
    world.advance(85 * MS)
    assert len(world.requests[rid].servers) > before
    late = len(world.requests[rid].servers) - 1
    world.end(rid, late, Outcome.OK)
    assert world.requests[rid].final == "OK"
    world.settle()


def test_slow_answers_stop_copies() -> None:
    """Incident i407c1f: many balancers, each with nothing in flight, sent copies to a saturated fleet."""
    world = fleet()
    for _ in range(60):
        rid = world.submit(0)
        world.advance(95 * MS)
        for n, end in enumerate(world.requests[rid].ends):
            if end is None:
                slow = world.requests[rid].sent[n] == world.now - 95 * MS
                world.end(rid, n, Outcome.OK if slow else Outcome.CANCELLED)
    rid = world.submit(0)
    assert len(world.requests[rid].servers) == 1
    world.settle()


def test_a_waiting_request_is_refused_once_it_cannot_be_in_time() -> None:
    """Incident i3bc64d: requests sent with too little time left took servers from those still in time."""
    world = fleet(1)
    warm_up(world, hint=20 * MS)
    for _ in range(40):
        world.submit(0, hint=20 * MS)
    light, heavy = world.submit(0, hint=20 * MS), world.submit(0, hint=80 * MS)
    assert world.requests[heavy].final == "Refuse"
    assert not world.requests[light].servers, "the one server is full"
    world.advance(60 * MS)
    assert not world.requests[light].final
    world.advance(100 * MS)
    assert world.requests[light].final == "Refuse"
    world.settle()


def mean_limit(balancers: int) -> float:
    world = fleet(3, balancers=balancers)
    for _ in range(60):
        rids = [world.submit(2) for _ in range(12)]
        world.advance(10 * MS)
        for rid in rids:
            world.end_all(rid)
    limits = [s.concurrency_limit for s in world.balancer.servers.values()]
    world.settle()
    return sum(limits) / len(limits)


def test_the_limit_of_each_instance_is_lower_with_many_balancers() -> None:
    """Incidents i1c51ca, i3b328d, ieb0e10: the limits of sixteen instances grew together into an overload."""
    few, many = mean_limit(4), mean_limit(16)
    assert many < few * 0.6
    assert many > 1, "quick answers under load still raise the limits"


def test_the_limit_of_a_server_that_reports_itself_busy_does_not_grow() -> None:
    """Incidents ieb0e10, i25554e: an instance's own quick answers say little if others load the server."""
    world = fleet(2)
    busy = LoadReport(utilization=0.95)
    for _ in range(60):
        rids = [world.submit(2) for _ in range(8)]
        world.advance(10 * MS)
        for rid in rids:
            for n, end in enumerate(world.requests[rid].ends):
                if end is None:
                    server = world.requests[rid].servers[n]
                    world.end(rid, n, Outcome.OK, busy if server == 0 else None)
    servers = world.balancer.servers
    assert servers[0].concurrency_limit < servers[1].concurrency_limit / 2
    world.settle()


def overloaded(**changes: object) -> tuple[World, dict[int, list[str]]]:
    """Four times the load of one server: half of it of low worth (class 3), half of high worth (class 2)."""
    classes = tuple(replace(c, worth=5.0 if n == 2 else 1.0) for n, c in enumerate(CLASSES))
    world = fleet(1, seed=1, classes=classes, **changes)
    finals: dict[int, list[str]] = {2: [], 3: []}
    for turn in range(1200):
        klass = 2 + turn % 2
        rid = world.submit(klass)
        finals[klass].append(rid)
        world.advance(8 * MS)
        if turn % 4 == 0 and world.out():
            world.end(*world.out()[0], Outcome.OK)
    world.settle()
    return world, finals


def served(world: World, rids: list[str]) -> int:
    return sum(world.requests[r].final == "OK" for r in rids)


def test_in_an_overload_the_class_of_least_worth_waits_first() -> None:
    """Incident i78a34d: all classes were refused alike, regardless of their worth per unit of work."""
    world, rids = overloaded()
    assert served(world, rids[2]) > 2 * served(world, rids[3])
    world, rids = overloaded(fairness=1.0)
    assert served(world, rids[2]) < 2 * served(world, rids[3]), "with a high weight of the worst class"


def test_a_class_that_comes_alone_is_not_starved_by_its_low_worth() -> None:
    world, _ = overloaded()
    world.announce(ListKind.DELTA, entry(1), entry(2))
    rids = []
    for _ in range(600):
        rids.append(world.submit(3))
        world.advance(8 * MS)
        for rid, n in world.out():
            world.end(rid, n, Outcome.OK)
    assert served(world, rids[-100:]) > 90
    world.settle()


def test_no_copy_if_few_servers_are_idle() -> None:
    """Incidents ieb0e10, i3b328d: copies took the last idle servers from the requests after them."""
    world = fleet(5)
    warm_up(world)
    assert len(world.requests[world.submit(0)].servers) == 2, "five idle: one copy"
    assert len(world.requests[world.submit(0)].servers) == 2, "three idle still"
    assert len(world.requests[world.submit(0)].servers) == 1, "one idle"
    world.settle()


def test_every_server_is_used_soon_though_the_first_to_answer_stay_idle() -> None:
    """A restarted balancer used only the few servers that answered first: the others never looked idle."""
    world = fleet(8)
    for _ in range(80):
        rid = world.submit(2)
        world.advance(10 * MS)
        world.end_all(rid)
    assert all(s.has_answered for s in world.balancer.servers.values())
    world.settle()


def test_only_part_of_a_large_fleet_is_used_for_few_requests() -> None:
    """Incident iaeca7e: 138 balancers each connected to every server until connection tables were full."""
    world = fleet(60)
    for _ in range(300):
        rid = world.submit(2)
        world.advance(150 * MS)
        world.end_all(rid)
    used_servers = {n for s in world.requests.values() for n in s.servers}
    assert len(used_servers) < 20
    refusing = next(iter(used_servers))
    for _ in range(200):
        rid = world.submit(2)
        world.advance(150 * MS)
        bad = refusing in world.requests[rid].servers
        world.end_all(rid, Outcome.CONNECT_FAILED if bad else Outcome.OK)
    tries = [s.servers for s in list(world.requests.values())[-150:]]
    assert all(refusing not in t for t in tries)
    assert all(s.entry.id != refusing for s in world.balancer.pool), "dropped from the pool"
    world.settle()


def test_the_initial_limit_is_shared_and_later_servers_start_with_the_mean_limit() -> None:
    """Incident ibd67e9: eleven balancers occupied all cores in the first two seconds of an overload."""
    world = fleet(3, balancers=16)
    start = world.balancer.servers[0].concurrency_limit
    assert start * 16 < 6
    warm_up(world, 200, klass=2)
    world.announce(ListKind.DELTA, entry(9))
    limits = [world.balancer.servers[n].concurrency_limit for n in range(3)]
    assert start < sum(limits) / 3 == world.balancer.servers[9].concurrency_limit
    world.settle()


def test_in_an_overload_only_quicker_answers_raise_limits_unless_servers_are_warming_up() -> None:
    """Incidents i3bc64d, i616169: limits grew through an overload until every server was saturated."""
    for started, grows in ((0, False), (1, True)):
        world = fleet(2)
        world.announce(ListKind.DELTA, entry(2, started=started and world.now))
        world.balancer.attempts_in_flight += 1  # the overload estimate falls while nothing is in flight
        world.balancer.overload = 1.0
        world.advance(400 * MS)  # until the next sweep
        world.balancer.overload = 1.0
        before = world.balancer.servers[0].concurrency_limit
        for _ in range(4):
            for _ in range(6):
                world.submit(2)
            world.advance(120 * MS)  # 0.3 of the aim: quick enough without an overload
            for rid, n in world.out():
                world.end(rid, n, Outcome.OK)
        assert (world.balancer.servers[0].concurrency_limit > before) is grows
        world.settle()


def test_an_overload_of_the_whole_fleet_lowers_the_admitted_share() -> None:
    """Incident i3ee00a: with hundreds of balancers the limits per server did not stop a burst in time."""
    world = fleet(60, balancers=400)
    for _ in range(60):  # all answers late, each server used once or twice
        rid = world.submit(2)
        world.advance(300 * MS)
        world.end_all(rid)
    assert world.balancer.admitted_share < 0.5
    world.announce(ListKind.FULL, *(entry(n) for n in range(100, 160)))  # none of them is ejected yet
    rids = [world.submit(2) for _ in range(8)]
    refused = sum(world.requests[r].final == "Refuse" for r in rids)
    assert refused >= 5, "each server of the pool would accept one"
    world.settle()
    for _ in range(300):
        rid = world.submit(2)
        world.advance(40 * MS)
        world.end_all(rid)
    assert world.balancer.admitted_share == MAX_ADMISSION, "quick answers raise the admitted share again"


def test_late_attempts_at_a_server_with_free_cores_do_not_cut_its_limit() -> None:
    """sofia-readings: pauses and heavy requests cut the limits of servers with little load."""
    limits = []
    for utilization in (0.2, 0.95):
        world = fleet(2)
        for _ in range(30):
            rid = world.submit(2)
            world.advance(320 * MS)
            for n, end in enumerate(world.requests[rid].ends):
                if end is None:
                    world.end(rid, n, Outcome.OK, LoadReport(utilization=utilization))
        limits.append(sum(s.concurrency_limit for s in world.balancer.servers.values()))
        world.settle()
    assert limits[0] > 2 * limits[1]


def test_a_limit_below_one_recovers_with_hundreds_of_instances() -> None:
    """cardiff-push: limits grew by 2/N of themselves and fell by a fifth; no server ever recovered."""
    world = fleet(4, balancers=300)
    server = world.balancer.servers[0]
    before = server.concurrency_limit
    for _ in range(120):
        rid = world.submit(2)
        world.advance(40 * MS)
        world.end_all(rid)
    assert server.concurrency_limit > 10 * before
    world.settle()


def test_marked_retries_do_not_enlarge_the_pool() -> None:
    """cardiff-push big-1: retries doubled the requests, so the pool grew and filled connection tables."""
    pool_sizes = []
    for retry in (False, True):
        world = fleet(60)
        for n in range(600):
            again = retry and n % 4 != 0
            request = Request(f"x{n}", 2, world.now + 1500 * MS, retry=again)
            world.requests[request.id] = Seen(request, CLASSES[2])
            world.play(world.balancer.on_request(world.now, request))
            world.advance(5 * MS)
            world.end_all(request.id)
        pool_sizes.append(len(world.balancer.pool))
        world.settle()
    assert pool_sizes[1] < pool_sizes[0] / 2


def test_a_class_avoids_servers_that_hang_on_it_alone() -> None:
    """Half of the servers answer two classes and hang on the third: its requests must go to the others."""
    world = fleet(8)
    for klass in (0, 1, 2):
        warm_up(world, 40, klass)
    hung = {2: 0, 0: 0}
    for n in range(400):
        klass = 0 if n % 2 else 2
        rid = world.submit(klass)
        world.advance(10 * MS)
        for attempt, server in enumerate(world.requests[rid].servers):
            if klass == 2 and server < 4:
                hung[2] += n >= 200  # it gets no answer
            else:
                hung[0] += n >= 200 and server < 4
                if world.requests[rid].ends[attempt] is None:
                    world.end(rid, attempt, Outcome.OK)
    assert hung[2] <= 15, f"{hung[2]} of 100 went to servers that hang on them"
    assert hung[0] >= 5, "a class that is answered there avoids them as well"
    world.settle()


def test_a_class_returns_to_a_server_that_answers_it_again() -> None:
    world = fleet(1)
    warm_up(world, 40, 2)
    for _ in range(20):
        rid = world.submit(2)
        world.advance(10 * MS)
        for attempt, end in enumerate(world.requests[rid].ends):
            if end is None:
                world.end(rid, attempt, Outcome.ERROR)
    world.advance(20_000 * MS)
    warm_up(world, 20, 2)
    assert [s.final for s in world.requests.values()][-5:] == ["OK"] * 5
    world.settle()


def test_a_request_with_little_time_goes_to_the_quickest_server() -> None:
    """Servers of two speeds: idle slow ones got requests that only a quick one answers in time."""
    world = fleet(6, 3)

    def play(patience: int | None) -> list[int]:
        rid = world.submit(2, patience)
        servers = world.requests[rid].servers
        slow = servers[0] >= 3
        world.advance(min(20 + 60 * slow, 1000) * MS)
        if world.requests[rid].ends[0] is None:
            world.end(rid, 0, Outcome.OK)
        return servers

    for _ in range(200):
        play(None)
    tight = [play(60 * MS)[0] for _ in range(100)]
    assert sum(s >= 3 for s in tight) <= 10, "too many went to slow servers, where they cannot be in time"
    assert sum(play(None)[0] >= 3 for _ in range(100)) >= 20, "others use the slow servers as before"
    world.settle()


@pytest.mark.parametrize(("latency", "least", "most"), [(30, 9, 12), (250, 0, 8)])
def test_a_quick_server_of_the_own_zone_counts_as_idle_with_a_few_attempts(
    latency: int, least: int, most: int
) -> None:
    """Two of three attempts went to another zone, at a cost, while servers of the own zone had free cores."""
    world = fleet(8, balancers=1)  # four of them in the own zone
    for _ in range(80):
        rid = world.submit(2)
        world.advance(latency * MS)
        world.end_all(rid)
    rids = [world.submit(2) for _ in range(12)]
    near = sum(world.list[n].zone == 0 for rid in rids for n in world.requests[rid].servers)
    assert least <= near <= most, f"{near} of 12 simultaneous requests stayed in their zone"
    for rid in rids:
        world.end_all(rid)
    world.settle()


def test_an_overdue_attempt_gets_a_copy_though_no_server_is_idle() -> None:
    """One answer in twenty was lost: safe requests timed out after one attempt if no server was idle."""
    patient = replace(CLASSES[0], late_share=0.2)  # an answer after the aim is worth something, too
    world = fleet(6, balancers=1, classes=(patient,))
    for _ in range(80):  # slow enough that only an empty server counts as idle
        rid = world.submit(0)
        world.advance(80 * MS)
        world.end_all(rid)
    for server in world.balancer.servers.values():
        server.in_flight += 1  # none is ever idle
    lost = world.submit(0)
    assert len(world.requests[lost].servers) == 1
    world.advance(180 * MS)
    assert len(world.requests[lost].servers) == 1  # late, but not by much
    world.advance(220 * MS)
    assert len(world.requests[lost].servers) == 2
    world.settle()


def test_a_cell_known_only_from_a_cached_list_gets_no_repeat_of_a_keyed_request() -> None:
    """A balancer restarted with a list minutes old: an address had passed to another cell by then."""
    for fresh in (False, True):
        world = World(make_settings(balancers=1))
        world.announce(ListKind.CACHED, *(entry(n, cell=0) for n in range(6)))
        if fresh:
            world.announce(ListKind.DELTA)  # confirms the entries that did not change
        rid = world.submit(1)
        world.advance(100 * MS)
        for number in range(len(world.requests[rid].servers)):
            world.end(rid, number, Outcome.RESET)
        assert (len(world.requests[rid].servers) > 1) == fresh
        assert fresh or world.requests[rid].final == "Fail"


# Guards against a key that takes effect in two scopes after its server was replaced at its address.
def test_an_attempt_that_may_reach_another_process_gets_no_repeat_of_its_key() -> None:
    for uncertain in (False, True):
        world = World(make_settings(balancers=1))
        world.announce(ListKind.FULL, *(entry(n, cell=0) for n in range(6)))
        rid = world.submit(1)
        if uncertain:
            world.play(world.balancer.on_attempt_uncertain(world.now, rid, 0))
        world.advance(100 * MS)
        world.end(rid, 0, Outcome.RESET)
        sends = [a for a in world.actions if isinstance(a, Send) and a.request_id == rid]
        assert [send.scope_bound for send in sends] == ([False] if uncertain else [False, True])
        assert not uncertain or world.requests[rid].final == "Fail"


def test_the_overload_estimate_falls_when_nothing_is_in_flight() -> None:
    """Seconds after an overload two of three classes were still refused while every server was idle."""
    world = fleet(4, balancers=1)
    warm_up(world)
    world.balancer.overload = 0.95
    rid = world.submit(0)
    assert world.requests[rid].servers and world.balancer.overload < 0.1
    world.settle()


def test_the_admitted_share_recovers_while_nothing_is_in_flight() -> None:
    """After an overload so little was admitted that no answers came to show that it was over."""
    world = fleet(4, balancers=1)
    warm_up(world)
    world.balancer.admitted_share = 0.1
    world.advance(20 * world.settings.overload_window // 4)
    assert world.balancer.admitted_share == 1.0


def test_each_attempt_of_a_keyed_request_has_a_limit_for_its_sending() -> None:
    world = fleet(6, balancers=1)
    world.announce(ListKind.DELTA)  # the list is confirmed
    warm_up(world)
    rid = world.submit(1)
    began = world.now
    world.advance(20 * MS)
    world.end(rid, 0, Outcome.RESET)
    sends = [a for a in world.actions if isinstance(a, Send) and a.request_id == rid]
    assert [s.write_deadline for s in sends] == [began + world.settings.classes[1].window] * 2


@pytest.mark.parametrize(("gap", "least", "most"), [(40, 10, 11), (10, 35, 45), (4, 60, 60)])
def test_the_pool_has_as_many_servers_as_requests_within_the_longest_aim(
    gap: int, least: int, most: int
) -> None:
    """join+vast: with 60 servers, each used every three seconds, limits and latencies were out of date."""
    world = fleet(60)
    for _ in range(400):
        rid = world.submit(2)
        world.advance(gap * MS)
        world.end_all(rid)
    assert least <= len(world.balancer.pool) <= most
    world.settle()


def test_the_pool_grows_with_the_first_requests_before_any_mean_is_known() -> None:
    """100 servers, 16 balancers in the model: in its first half second each used only ten servers."""
    world = fleet(100)
    for n in range(100):
        world.submit(2)
        world.advance(2 * MS)
        assert len(world.balancer.pool) > min(n, 98), "more requests have come than the pool has servers"
    world.settle()


def test_the_budget_of_a_cold_server_is_that_of_the_instances_that_sample_from_it() -> None:
    """Of 40 instances with pools of 10 of 60 servers, seven sample from one: fewer requests vary more."""
    world = fleet(60, balancers=40)
    asked = []
    used = world.balancer._usable_budget_share
    world.balancer._usable_budget_share = lambda limit: asked.append(limit) or used(limit)  # type: ignore[func-returns-value,method-assign]
    warm_up(world, 60, 2)
    started = world.now
    world.announce(ListKind.DELTA, *(entry(n, started=started) for n in range(60)))
    warm_up(world, 20, 2)
    b = world.balancer
    assert len(b.pool) < 20 and asked
    all_to_a_whole_one = (
        b.settings.overload_multiple * b.requests_per_window * b.settings.balancers / len(b.ready)
    )
    assert max(asked) <= 2 * all_to_a_whole_one * b.settings.cold_share + 1

"""Places of classes over changes of the settings: reused once nothing holds them, and never sooner."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import replace
from random import Random
from typing import Any

from hypothesis import HealthCheck
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dykeshift import rules
from dykeshift.interface import (
    Action,
    AttemptEnd,
    Fail,
    Idempotency,
    ListKind,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerList,
    ServerState,
    Settings,
    SetTimer,
)
from dykeshift.rules import HANG_THRESHOLD, Balancer, ClassRecord, Placement, assign_places
from dykeshift.settings import restrict_repeats
from tests.harness import CLASSES, MS, S, World, entry, make_settings
from tests.seeded import Defect, defect_tests, patched

CHANGES = 10_000
FEWER_CHANGES = 1000
SERVERS = 300
NAMES = "abcd"
OPEN_REQUESTS = 12  # number of open requests at any time in `LongRun`


def changed(klass: RequestClass, serial: int) -> RequestClass:
    """The same class with new terms."""
    return replace(klass, window=klass.window + serial, deadline=klass.deadline + serial)


def state_size(balancer: Balancer) -> Counter[str]:
    """Number of objects of each type that the module refers to, directly or indirectly."""
    balancer.pending_actions = []
    count: Counter[str] = Counter()
    seen: set[int] = set()
    todo: list[Any] = [balancer]
    while todo:
        one = todo.pop()
        shared = isinstance(one, type | Random) or callable(one) or one is None
        if id(one) in seen or shared:
            continue
        seen.add(id(one))
        count[type(one).__name__] += 1
        if not isinstance(one, Idempotency | ServerState | str | int | float):
            todo += gc.get_referents(one)
    return count


def module_objects(balancer: Balancer) -> dict[str, int]:
    """The part of `state_size` that settings changes could leak; the number of plain values varies."""
    count = state_size(balancer)
    kinds = (
        "Server",
        "ClassState",
        "ClassRecord",
        "OpenRequest",
        "Request",
        "Attempt",
        "RequestClass",
        "Settings",
        "tuple",
    )
    return {kind: count[kind] for kind in kinds}


class LongRun:
    """A balancer whose settings change repeatedly while there are always open requests."""

    def __init__(self, servers: int, rename: bool = False, restarts: bool = False) -> None:
        self.rng, self.world = Random(43), World(make_settings(balancers=1, attempt_limit=2))
        self.rename, self.restarts, self.serial = rename, restarts, 0
        self.world.announce(ListKind.FULL, *(entry(n) for n in range(servers)))
        self.classes = list(CLASSES)
        self.open: list[str] = []
        self.longest = 0  # most changes that a request went through

    def change(self) -> None:
        world = self.world
        self.serial += 1
        n = self.serial % len(self.classes)
        self.classes[n] = changed(self.classes[n], self.serial)
        if self.rename:
            self.classes[n] = replace(self.classes[n], name=f"n{self.serial}")
        world.play(
            world.balancer.on_settings(world.now, replace(world.settings, classes=tuple(self.classes)))
        )
        world.settings = world.balancer.settings
        if self.restarts:
            server = self.rng.randrange(len(world.list))
            world.announce(ListKind.DELTA, entry(server, started=world.now - 100 * S))
        self.load()
        if self.serial % 40 == 0:
            self.forget_finished()

    def load(self) -> None:
        """Submits one more request and ends the oldest. Some fail, so that class states are kept."""
        world = self.world
        in_force = [n for n in range(len(world.settings.classes)) if n not in world.settings.retired]
        self.open.append(world.submit(self.rng.choice(in_force)))
        if len(self.open) > OPEN_REQUESTS:
            rid = self.open.pop(0)
            outcome = self.rng.choice([Outcome.OK, Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT])
            world.end_all(rid, outcome)
            world.gone(rid)
            world.end_all(rid, Outcome.CANCELLED)
        world.advance(MS)

    def forget_finished(self) -> None:
        open_ids = self.world.balancer.open.keys()
        self.world.requests = {r: seen for r, seen in self.world.requests.items() if r in open_ids}
        self.world.actions.clear()

    def settle(self) -> dict[str, int]:
        """The objects left once all requests are closed and the module has swept."""
        for rid in self.open:
            self.world.gone(rid)
            self.world.end_all(rid, Outcome.CANCELLED)
        self.open.clear()
        self.world.settle()
        self.forget_finished()
        return module_objects(self.world.balancer)


def check_memory_is_bounded(changes: int, rename: bool = False, restarts: bool = False) -> None:
    run = LongRun(SERVERS, rename, restarts)
    sizes: list[dict[str, int]] = []
    places: set[int] = set()
    for n in range(1, changes + 1):
        run.change()
        balancer = run.world.balancer
        places.add(len(balancer.settings.classes))
        assert len(balancer.records) == len(balancer.settings.classes)
        if n % (changes // 4) == 0:
            assert balancer.open, "there are open requests with old terms"
            assert any(item.request.klass in balancer.settings.retired for item in balancer.open.values())
            sizes.append(module_objects(balancer))
    assert max(places) <= 2 * len(CLASSES) + OPEN_REQUESTS
    for kind in ("ClassRecord", "RequestClass", "ClassState", "Server", "tuple"):
        most = 2 * (SERVERS + 4 * len(CLASSES) + OPEN_REQUESTS)
        assert max(size[kind] for size in sizes[1:]) <= sizes[0][kind] + 3 * OPEN_REQUESTS, (kind, sizes)
        assert max(size[kind] for size in sizes) <= most, (kind, sizes)
    left = run.settle()
    assert left["OpenRequest"] == left["Request"] == 0
    assert left["ClassRecord"] <= 2 * len(CLASSES) + OPEN_REQUESTS and left["Server"] == SERVERS
    assert all(state.failures for record in run.world.balancer.records for state in record.states.values())


def test_memory_is_bounded_over_ten_thousand_changes_with_open_requests() -> None:
    check_memory_is_bounded(CHANGES)


def test_memory_is_bounded_if_each_class_has_a_new_name() -> None:
    check_memory_is_bounded(FEWER_CHANGES, rename=True)


def test_memory_is_bounded_while_servers_restart() -> None:
    check_memory_is_bounded(FEWER_CHANGES, restarts=True)


def test_classes_that_are_fewer_need_fewer_places() -> None:
    many = tuple(replace(CLASSES[0], name=f"c{n}") for n in range(60))
    balancer = Balancer(make_settings(classes=many), 1)
    balancer.on_settings(0, make_settings(classes=many[:3]))
    assert len(balancer.settings.classes) == len(balancer.records) == 6
    assert balancer.settings.retired == {3, 4, 5}


def test_a_free_place_is_reused_by_its_name_first_else_the_longest_free_is_taken() -> None:
    first, second, third = (replace(CLASSES[0], name=name) for name in "abc")

    def after(*changes: tuple[RequestClass, ...]) -> Balancer:
        balancer = Balancer(make_settings(classes=(first, second, third)), 1)
        for classes in changes:
            balancer.on_settings(0, make_settings(classes=classes))
        return balancer

    removed = (second, third), (third,)  # the first class, then the second
    other, again = replace(CLASSES[0], name="other"), changed(second, 1)
    assert after(*removed, (third, other)).settings.classes == (other, second, third)
    assert after(*removed, (third, again)).settings.classes == (first, again, third)
    assert after(*removed, (third, other, again)).settings.classes == (other, again, third)
    assert after(*removed, (third, first)).settings.classes == (first, second, third)
    assert after(*removed, (third, first)).settings.retired == {1}
    # The place of the first class was taken meanwhile.
    back = after(*removed, (third, other), (third, other, changed(first, 1)))
    assert back.settings.classes == (other, changed(first, 1), third)


# ---- a place is not reused while it is held ----


class Holding(RuleBasedStateMachine):
    """Requests are sent, copied, streamed, abandoned and end late while the settings change."""

    narrow = False

    def __init__(self) -> None:
        super().__init__()
        self.world = World(make_settings(balancers=1))
        self.world.announce(ListKind.FULL, *(entry(n) for n in range(6)))
        self.serial, self.kept = 0, dict[int, RequestClass]()

    @rule(pick=st.integers(0, 100), patience=st.sampled_from([None, 30 * MS]), kept=st.booleans())
    def submit(self, pick: int, patience: int | None, kept: bool) -> None:
        settings = self.world.settings
        places = [n for n in range(len(settings.classes)) if n not in settings.retired]
        places = list(self.kept) if kept and self.kept else places
        place = places[pick % len(places)]
        seen = self.world.requests[self.world.submit(place, patience)]
        if self.narrow and place in settings.retired:
            seen.klass = restrict_repeats(seen.klass, self.in_force().get(seen.klass.name, seen.klass))

    def in_force(self) -> dict[str, RequestClass]:
        settings = self.world.settings
        return {c.name: c for n, c in enumerate(settings.classes) if n not in settings.retired}

    @precondition(lambda self: self.world.out())
    @rule(
        pick=st.integers(0, 1000), outcome=st.sampled_from([o for o in Outcome if o is not Outcome.NOT_SENT])
    )
    def end(self, pick: int, outcome: Outcome) -> None:
        out = self.world.out()
        rid, n = out[pick % len(out)]
        self.world.end(rid, n, outcome)

    @precondition(lambda self: self.world.out())
    @rule(pick=st.integers(0, 1000))
    def stream(self, pick: int) -> None:
        out = self.world.out()
        rid, n = out[pick % len(out)]
        self.world.play(self.world.balancer.on_stream_started(self.world.now, rid, n))

    @precondition(lambda self: self.world.requests)
    @rule(pick=st.integers(0, 1000))
    def client_leaves(self, pick: int) -> None:
        ids = list(self.world.requests)
        self.world.gone(ids[pick % len(ids)])

    @rule(span=st.sampled_from([0, MS, 20 * MS, 400 * MS]))
    def time_passes(self, span: int) -> None:
        self.world.advance(span)

    @rule(pick=st.integers(0, 100))
    def a_front_keeps_a_place(self, pick: int) -> None:
        if len(self.kept) < 2:
            settings = self.world.settings
            places = [n for n in range(len(settings.classes)) if n not in settings.retired]
            self.kept[places[pick % len(places)]] = settings.classes[places[pick % len(places)]]

    @rule(
        names=st.lists(st.sampled_from(NAMES), min_size=1, max_size=4, unique=True),
        kinds=st.lists(st.sampled_from(Idempotency), min_size=4, max_size=4),
        again=st.booleans(),
    )
    def settings_change(self, names: list[str], kinds: list[Idempotency], again: bool) -> None:
        """`again`: with terms that may have been in force before."""
        self.serial += not again
        classes = tuple(
            replace(CLASSES[n], name=name, idempotency=kind, window=300 * MS + self.serial * MS)
            for n, (name, kind) in enumerate(zip(names, kinds, strict=False))
        )
        world, old = self.world, self.world.settings
        method = restrict_repeats if self.narrow else None
        new = replace(make_settings(balancers=1), classes=classes)
        world.play(world.balancer.on_settings(world.now, new, method, held=set(self.kept)))
        world.settings = world.balancer.settings
        placed = {n: c for n, c in enumerate(world.settings.classes) if n not in world.settings.retired}
        assert set(placed.values()) == set(classes) and len(placed) == len(classes)
        for place, klass in enumerate(old.classes):
            if place not in old.retired and klass in classes:
                assert placed[place] == klass
        terms = {c.name: c for c in classes}
        for seen in world.requests.values():
            if self.narrow:
                seen.klass = restrict_repeats(seen.klass, terms.get(seen.klass.name, seen.klass))

    @invariant()
    def held_places_mean_what_they_meant(self) -> None:
        balancer = self.world.balancer
        for place, klass in self.kept.items():
            assert balancer.settings.classes[place] == klass
        for rid, item in balancer.open.items():
            seen, place = self.world.requests[rid], item.request.klass
            assert item.klass == seen.klass and item.record is balancer.records[place]
            assert balancer.settings.classes[place].name == seen.klass.name
            if not self.narrow:
                assert balancer.settings.classes[place] == seen.klass

    @invariant()
    def class_states_count_what_is_out(self) -> None:
        out, transfers = Counter[tuple[int, int]](), Counter[int]()
        for item in self.world.balancer.open.values():
            open_attempts = [a for a in item.attempts if a.end is None]
            transfers.update(a.server.entry.id for a in open_attempts if a.transferring)
            out.update((item.request.klass, a.server.entry.id) for a in open_attempts if not a.transferring)
        servers = self.world.balancer.servers.values()
        assert {s.entry.id: s.transfers for s in servers if s.transfers} == transfers
        found = {
            (place, server.entry.id): state.in_flight
            for place, record in enumerate(self.world.balancer.records)
            for server, state in record.states.items()
            if state.in_flight
        }
        assert found == out
        for record in self.world.balancer.records:
            assert all(state.in_flight or state.failures for state in record.states.values())

    @invariant()
    def places_are_few(self) -> None:
        balancer = self.world.balancer
        held = {item.request.klass for item in balancer.open.values()} | self.kept.keys()
        assert len(balancer.records) <= 2 * len(CLASSES) + self.most_held(len(held))

    def most_held(self, now: int) -> int:
        self.peak = max(getattr(self, "peak", 0), now)
        return self.peak

    def teardown(self) -> None:
        self.world.settle()


class HoldingNarrowed(Holding):
    narrow = True


LIMITS = hypothesis_settings(
    derandomize=True,
    database=None,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestHolding = Holding.TestCase
TestHolding.settings = LIMITS
TestHoldingNarrowed = HoldingNarrowed.TestCase
TestHoldingNarrowed.settings = LIMITS


def check_place_waits_for_the_last_attempt() -> None:
    """An attempt in flight holds the place of its class, even if the request is closed or the client left."""
    for left in (False, True):
        world = World(make_settings(classes=(CLASSES[2],), cancel_allowed=False))
        world.announce(ListKind.FULL, *(entry(n) for n in range(4)))
        rid = world.submit(0)
        if left:
            world.gone(rid)
        balancer = world.balancer
        second, third = changed(CLASSES[2], 1), changed(CLASSES[2], 2)
        balancer.on_settings(world.now, make_settings(classes=(second,)))
        assert balancer.settings.classes == (CLASSES[2], second) and balancer.settings.retired == {0}
        world.end(rid, 0, Outcome.OK)
        assert not balancer.open
        balancer.on_settings(world.now, make_settings(classes=(third,)))
        assert balancer.settings.classes == (CLASSES[2], third) and balancer.settings.retired == {0}
        other = replace(CLASSES[0], name="other")
        balancer.on_settings(world.now, make_settings(classes=(third, other)))
        assert balancer.settings.classes == (other, third) and not balancer.settings.retired


def test_a_place_waits_for_the_last_attempt_of_its_last_request() -> None:
    check_place_waits_for_the_last_attempt()


# ---- decisions ----


def random_scenario(seed: int, held: Callable[[Balancer], Collection[int]]) -> list[list[Action]]:
    """The module's actions in a random scenario with settings changes; only they influence what is drawn."""
    rng, now, serial = Random(seed), 100 * S, 0
    settings = make_settings(balancers=rng.choice([1, 4, 50]))
    balancer, classes = Balancer(settings, seed), list(CLASSES)
    decided: list[list[Action]] = []
    out: dict[tuple[str, int], tuple[int, int]] = {}
    count: Counter[str] = Counter()
    closed: set[str] = set()
    timers: list[tuple[int, str]] = []

    def record(actions: list[Action]) -> None:
        decided.append(actions)
        for action in actions:
            if isinstance(action, Send):
                out[action.request_id, count[action.request_id]] = action.server, now
                count[action.request_id] += 1
            elif isinstance(action, SetTimer):
                timers.append((action.at, action.token))
            elif isinstance(action, Refuse | Fail):
                closed.add(action.request_id)

    def end(key: tuple[str, int], outcome: Outcome) -> None:
        server, sent = out.pop(key)
        closed.update([key[0]] if outcome is Outcome.OK else [])
        final = key[0] in closed
        record(balancer.on_attempt_end(now, AttemptEnd(*key, server, outcome, now - sent, final)))

    record(balancer.on_start(now))
    record(balancer.on_list(now, ServerList(ListKind.FULL, tuple(entry(n) for n in range(20)))))
    for step in range(1500):
        now += rng.choice([0, MS, 5 * MS, 20 * MS])
        for timer in sorted(t for t in timers if t[0] <= now):
            timers.remove(timer)
            record(balancer.on_timer(now, timer[1]))
        event = rng.random()
        if event < 0.4:
            klass = rng.choice(classes)
            place = balancer.settings.classes.index(klass)
            hint = rng.choice([0, 20 * MS])
            record(balancer.on_request(now, Request(f"r{step}", place, now + klass.deadline, hint)))
        elif event < 0.9 and out:
            outcomes = [Outcome.OK] * 8 + [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.FULL]
            end(rng.choice(list(out)), rng.choice(outcomes))
        elif event < 0.92 and out:
            rid = rng.choice(list(out))[0]
            closed.add(rid)
            record(balancer.on_client_gone(now, rid))
        elif event < 0.95:
            state = rng.choice([ServerState.READY, ServerState.READY, ServerState.GONE])
            one = entry(rng.randrange(22), state, rng.choice([0, now - 100 * MS]))
            record(balancer.on_list(now, ServerList(ListKind.DELTA, (one,))))
        elif event < 0.97:
            serial += 1
            n = rng.randrange(len(classes))
            classes[n] = replace(changed(classes[n], serial), worth=classes[n].worth * rng.choice([0.9, 1.1]))
            if rng.random() < 0.2:
                classes.append(replace(classes[n], name=f"n{serial}"))
            new = replace(settings, classes=tuple(classes))
            record(balancer.on_settings(now, new, rng.choice([None, restrict_repeats]), held(balancer)))
    return decided


def test_decisions_do_not_depend_on_the_reuse_of_places() -> None:
    for seed in range(4):
        never = random_scenario(seed, lambda balancer: range(len(balancer.records)))
        assert random_scenario(seed, lambda balancer: ()) == never
        assert sum(isinstance(a, Send) for actions in never for a in actions) > 300


# ---- what was learned of a class ----


def world_with_one_failing_class() -> tuple[World, RequestClass]:
    """A world without open requests in which the first class is slow and fails at server 0."""
    world = World(make_settings(classes=CLASSES[:2], balancers=1))
    world.announce(ListKind.FULL, *(entry(n) for n in range(3)))
    record = world.balancer.records[0]
    record.mean_latency, record.mean_cost_hint = 111.0 * MS, 7.0
    for server in world.balancer.servers.values():
        server.concurrency_limit = 10.0
    failing = world.balancer.servers[0]
    for n in range(HANG_THRESHOLD + 1):
        rid = f"f{n}"
        request = Request(rid, 0, world.now + S)
        item = world.balancer.open[rid] = rules.OpenRequest(request, record.klass, record, world.now, 1)
        world.balancer._send(world.now, item, failing)
        ended = AttemptEnd(rid, 0, 0, Outcome.ERROR, 50 * MS, True)
        world.balancer.on_attempt_end(world.now, ended)
    world.balancer.pending_actions.clear()
    assert (
        record.states[failing].failures == HANG_THRESHOLD + 1
        and record.states[failing].backoff_until > world.now
    )
    return world, record.klass


def check_a_new_class_inherits_nothing_from_another() -> None:
    world, _ = world_with_one_failing_class()
    other = replace(CLASSES[2], name="other")
    world.balancer.on_settings(world.now, make_settings(classes=(other, CLASSES[1])))
    assert world.balancer.settings.classes == (other, CLASSES[1])
    fresh = world.balancer.records[0]
    assert (fresh.mean_latency, fresh.mean_cost_hint, fresh.states) == (
        other.aim * rules.INITIAL_LATENCY_AIM_SHARE,
        0.0,
        {},
    )


def check_a_class_with_new_terms_keeps_what_was_learned() -> None:
    """Also with open requests on the old terms; from then on each learns separately."""
    for open_request in (False, True):
        world, klass = world_with_one_failing_class()
        balancer = world.balancer
        old, failing = balancer.records[0], balancer.servers[0]
        rid = world.submit(0) if open_request else ""
        states = {
            server: replace(state, in_flight=0, silent_since=0)
            for server, state in old.states.items()
            if state.failures
        }
        balancer.on_settings(world.now, make_settings(classes=(changed(klass, 1), CLASSES[1])))
        place = balancer.settings.classes.index(changed(klass, 1))
        assert place == (2 if open_request else 0)
        new = balancer.records[place]
        assert (new.mean_latency, new.mean_cost_hint) == (old.mean_latency, old.mean_cost_hint)
        assert {s: replace(state, silent_since=0) for s, state in new.states.items()} == states
        if open_request:
            assert balancer.open[rid].record is old
            world.end(rid, 0, Outcome.OK)
            assert (
                old.mean_latency != new.mean_latency
                and sum(state.in_flight for state in new.states.values()) == 0
            )
            old.states[failing].failures += 5
            assert new.states[failing].failures == HANG_THRESHOLD + 1


def test_a_new_class_inherits_nothing_from_another_at_its_place() -> None:
    check_a_new_class_inherits_nothing_from_another()


def test_a_class_with_new_terms_keeps_what_was_learned() -> None:
    check_a_class_with_new_terms_keeps_what_was_learned()


def test_a_class_that_was_removed_and_returns_keeps_what_was_learned_while_its_place_is_free() -> None:
    world, klass = world_with_one_failing_class()
    balancer = world.balancer
    balancer.on_settings(world.now, make_settings(classes=(CLASSES[1],)))
    assert balancer.settings.retired == {0}
    balancer.on_settings(world.now, make_settings(classes=(CLASSES[1], changed(klass, 1))))
    assert balancer.records[0].mean_latency == 111 * MS and balancer.settings.classes[0] == changed(klass, 1)


def test_a_request_for_a_retired_class_is_restricted_to_what_both_terms_allow() -> None:
    keyed = CLASSES[3]
    unsafe = replace(keyed, idempotency=Idempotency.UNSAFE)
    for narrow, sent in ((None, 2), (restrict_repeats, 1)):
        world = World(make_settings(classes=(keyed,), balancers=1))
        world.announce(ListKind.FULL, *(entry(n) for n in range(6)))
        new = make_settings(classes=(unsafe,))
        # Read before the change, submitted after it.
        world.balancer.on_settings(world.now, new, narrow, held={0})
        assert world.balancer.settings.retired == {0}
        rid = world.submit(0)
        world.end(rid, 0, Outcome.RESET)
        assert len(world.requests[rid].servers) == sent
        world.balancer.on_settings(world.now, make_settings(classes=(keyed,)), narrow)
        assert world.balancer.records[0].klass == keyed and not world.balancer.records[0].retired


def check_class_states_of_servers_that_left_are_dropped() -> None:
    world, klass = world_with_one_failing_class()
    balancer = world.balancer
    rid = world.submit(1)
    busy = world.requests[rid].servers[0]
    world.announce(ListKind.DELTA, *(entry(n, started=world.now - 30 * S) for n in range(3)))
    world.play(balancer.on_timer(world.now, "sweep"))
    kept = [server for record in balancer.records for server in record.states]
    assert [server.entry.id for server in kept] == [busy]
    world.end(rid, 0, Outcome.ERROR)
    world.play(balancer.on_timer(world.now + 1, "sweep"))
    known = set(balancer.servers.values())
    assert all(server in known for record in balancer.records for server in record.states)
    assert world.requests[rid].klass.name != klass.name


def test_class_states_of_servers_that_left_are_dropped() -> None:
    check_class_states_of_servers_that_left_are_dropped()


# ---- seeded defects ----


def _ignoring_held_places(
    known: Any, recency: Any, wanted: Any, held: Any, assign: Callable[..., Placement] = assign_places
) -> Placement:
    return assign(known, recency, wanted, ())


def _never_reusing_places(
    known: Any, recency: Any, wanted: Any, held: Any, assign: Callable[..., Placement] = assign_places
) -> Placement:
    return assign(known, recency, wanted, range(len(known)))


def _holding_until_answered(
    self: Balancer,
    now: int,
    settings: Settings,
    narrow: Any = None,
    held: Any = frozenset(),
    original: Any = Balancer.on_settings,
) -> list[Action]:
    """Only requests that are not answered yet hold their places."""
    items, self.open = self.open, {n: item for n, item in self.open.items() if not item.closed}
    try:
        return list(original(self, now, settings, narrow, held))
    finally:
        self.open = items


def _inheriting_by_place(
    self: Balancer, klass: RequestClass, before: int | None, inherit: Any = Balancer._inherit
) -> ClassRecord:
    """A class inherits what was learned at its place, from whichever class."""
    found: ClassRecord = inherit(self, klass, 0 if before is None else before)
    return found


def _sharing_states(
    self: Balancer, klass: RequestClass, before: int | None, inherit: Any = Balancer._inherit
) -> ClassRecord:
    """Old and new terms share the same class states."""
    found: ClassRecord = inherit(self, klass, before)
    if before is not None:
        found.states = self.records[before].states
    return found


DEFECTS: dict[str, Defect] = {
    "a place is used again while a request is under way": patched(
        rules, "assign_places", _ignoring_held_places
    ),
    "an answered request holds no place though its attempt is out": patched(
        Balancer, "on_settings", _holding_until_answered
    ),
    "a place is never used again": patched(rules, "assign_places", _never_reusing_places),
    "states of servers that are gone stay": patched(Balancer, "_drop_stale_states", lambda self: None),
    "a new class has what was learned of another": patched(Balancer, "_inherit", _inheriting_by_place),
    "old and new terms share their states": patched(Balancer, "_inherit", _sharing_states),
}

FINDERS: dict[str, Callable[[], None]] = {
    "a place is used again while a request is under way": check_place_waits_for_the_last_attempt,
    "an answered request holds no place though its attempt is out": check_place_waits_for_the_last_attempt,
    "a place is never used again": lambda: check_memory_is_bounded(FEWER_CHANGES),
    "states of servers that are gone stay": check_class_states_of_servers_that_left_are_dropped,
    "a new class has what was learned of another": check_a_new_class_inherits_nothing_from_another,
    "old and new terms share their states": check_a_class_with_new_terms_keeps_what_was_learned,
}

test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, {}, FINDERS, lambda seed: []
)

"""Catch-up of subscribers: parts, staging, chunked transfer, admission."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykeshift.configuration import catch_up
from dykeshift.configuration.admission import SECOND, AdmissionQueue, TokenBucket
from dykeshift.configuration.catch_up import (
    NOTHING,
    Part,
    PartError,
    Position,
    Staging,
    build_part,
    pack_part,
    pack_position,
    shown_position,
    unpack_part,
    unpack_position,
)
from dykeshift.configuration.resources import Key, Kind, Resource, Tenant, encode_body
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.scope_codec import ScopeError, pack_scope, unpack_scope
from dykeshift.configuration.state import DigestError, SubscriberState
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transfer import WINDOW, Receiver, Sender
from dykeshift.configuration.wire import LONGEST_CURSOR
from tests.configuration.small_world import copy_of, filled_store, put_tenant, tenant_key, write

SCOPE = Scope(frozenset("ab"))
STAGING_LIMIT = 1 << 20


def catch_up_fully(store: ConfigStore, state: SubscriberState, most_bytes: int = 200) -> int:
    """Catch up with a store that does not change; returns the number of parts."""
    staging = Staging(state.scope, state.version, STAGING_LIMIT)
    for count in range(1, 1000):
        part = unpack_part(pack_part(build_part(store, state.scope, staging.position, most_bytes)))
        if staging.take(part):
            apply_staged(state, staging, part)
            return count
    raise AssertionError("the catch-up does not end")


def apply_staged(state: SubscriberState, staging: Staging, part: Part) -> None:
    if staging.position.fresh:
        state.replace(1, part.target, part.digest, staging.resources.values())
    else:
        state.change(part.target, part.digest, staging.resources.values())
    staging.reset(state.version)


def matches(state: SubscriberState, store: ConfigStore) -> bool:
    return state.version == store.version and state.resources() == store.scoped(state.scope)


def change_randomly(store: ConfigStore, rng: Random, number: int) -> None:
    held = store.get(tenant_key(number))
    if held is not None and rng.random() < 0.3 and len(store.scoped(Scope.everything())) > 40:
        write(store, deletes=(tenant_key(number),))
    else:
        services = tuple(sorted(rng.sample("abcdef", rng.randint(1, 2))))
        put_tenant(store, number, services, rng.choice((1.0, 2.0, 3.0)))


def test_a_catch_up_from_nothing_gives_the_scope() -> None:
    store, state = filled_store(), SubscriberState(SCOPE)
    assert catch_up_fully(store, state) > 2
    assert matches(state, store)


def test_only_what_differs_is_sent() -> None:
    store, state = filled_store(), SubscriberState(SCOPE)
    catch_up_fully(store, state)
    put_tenant(store, 0, ("a",), 5.0)
    put_tenant(store, 2, ("c",), 5.0)
    put_tenant(store, 1, ("f",))
    write(store, deletes=(tenant_key(6),))
    part = build_part(store, SCOPE, shown_position(state.version))
    assert [r.key for r in part.resources] == [tenant_key(0), tenant_key(1), tenant_key(6)]
    assert part.after is None
    catch_up_fully(store, state)
    assert matches(state, store)
    assert state.get(tenant_key(1)) is None and state.get(tenant_key(6)) is None


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_a_catch_up_converges_whatever_changes_between_parts(seed: int) -> None:
    """Between parts the store may change, evict old tombstones, or be replaced by another replica's."""
    rng = Random(seed)
    store = filled_store()
    store.index.most_tombstones = rng.choice((3, 4096))
    state = SubscriberState(SCOPE)
    staging = Staging(SCOPE, 0, STAGING_LIMIT)
    for step in range(120):
        for _ in range(rng.choice((0, 0, 1, 3)) if step < 60 else 0):
            change_randomly(store, rng, rng.randrange(60))
        if rng.random() < 0.2:
            store = copy_of(store)
        position = unpack_position(pack_position(staging.position))
        part = build_part(store, SCOPE, position, rng.choice((150, 400, 4000)))
        if staging.take(unpack_part(pack_part(part))):
            apply_staged(state, staging, part)
            assert matches(state, store)
    assert matches(state, store)


def test_who_is_too_far_behind_begins_from_nothing() -> None:
    store, state = filled_store(), SubscriberState(SCOPE)
    store.index.most_tombstones = 2
    catch_up_fully(store, state)
    for number in range(12):
        write(store, deletes=(tenant_key(number),))
    assert store.snapshot_needed(state.version)
    part = build_part(store, SCOPE, shown_position(state.version))
    assert part.start.fresh and part.start.version == 0
    catch_up_fully(store, state)
    assert matches(state, store)


def test_a_catch_up_from_nothing_sends_no_tombstones() -> None:
    store = filled_store()
    for number in range(12):
        write(store, deletes=(tenant_key(number),))
    part = build_part(store, SCOPE, NOTHING)
    assert part.resources and all(resource.live for resource in part.resources)


def test_an_invalid_part_is_rejected_and_changes_nothing() -> None:
    store = filled_store()
    staging = Staging(SCOPE, 0, STAGING_LIMIT)
    first = build_part(store, SCOPE, staging.position, 200)
    assert first.after is not None
    staging.take(first)
    second = build_part(store, SCOPE, first.after, 200)
    assert second.after is not None
    third = build_part(store, SCOPE, second.after, 200)
    before = (staging.position, dict(staging.resources))
    backwards = Part(second.start, second.after, second.target, 0, second.resources[::-1])
    unending = Part(second.start, Position(9, 9), second.target, 0, second.resources)
    foreign = Resource(tenant_key(999), second.target, encode_body(Tenant(("z",))))
    outside = Part(second.start, None, second.target, 0, (*second.resources, foreign))
    nonsense = Resource(tenant_key(999), second.target, b"\xc1")
    broken = Part(second.start, None, second.target, 0, (*second.resources, nonsense))
    for wrong in (third, backwards, unending, outside, broken):
        with pytest.raises(PartError):
            staging.take(wrong)
        assert (staging.position, staging.resources) == before


def test_the_staging_limit_is_enforced() -> None:
    staging = Staging(SCOPE, 0, 1000)
    with pytest.raises(PartError):
        staging.take(build_part(filled_store(), SCOPE, NOTHING, 1 << 16))
    assert not staging.resources


def test_a_wrong_digest_keeps_the_shown_state() -> None:
    store, state = filled_store(), SubscriberState(SCOPE)
    catch_up_fully(store, state)
    before = (state.version, state.resources(), state.digest())
    changed = Resource(tenant_key(0), store.version + 1, encode_body(Tenant(("a",), 9.0)))
    gone = Resource(tenant_key(1), store.version + 2, None, former_services=("b",))
    new = Resource(tenant_key(900), store.version + 2, encode_body(Tenant(("a",))))
    with pytest.raises(DigestError):
        state.change(store.version + 2, 1234, [changed, gone, new])
    assert (state.version, state.resources(), state.digest()) == before
    with pytest.raises(DigestError):
        state.replace(1, store.version + 2, 1234, [changed])
    assert (state.version, state.resources(), state.digest()) == before


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_no_part_but_decode_to_a_position(data: bytes) -> None:
    with pytest.raises(PartError):
        unpack_part(data)
    assert isinstance(unpack_position(data), Position)


def test_a_position_always_fits_into_a_hello() -> None:
    long = Position(7, 9, Key(Kind.ROUTE, "r" * 256), fresh=False)
    data = pack_position(long)
    assert len(data) <= LONGEST_CURSOR
    assert unpack_position(data) == Position(7, 8, None, fresh=False)


@given(st.binary(max_size=100))
def test_arbitrary_bytes_are_a_scope_or_an_error(data: bytes) -> None:
    try:
        scope = unpack_scope(data)
    except ScopeError:
        return
    assert unpack_scope(pack_scope(scope)) == scope


# ---- chunks ----


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_a_transfer_arrives_whatever_is_lost_doubled_or_late(seed: int) -> None:
    rng = Random(seed)
    data = rng.randbytes(rng.choice((1, 228, 229, 5_000, 20_000)))
    loss = rng.choice((0.0, 0.1, 0.5))
    sender, receiver = Sender(1, data), Receiver()
    now, in_flight = 0, list[int]()
    for _ in range(20_000):
        now += 10_000_000
        number = sender.due(now)
        if number is not None:
            sender.on_sent(now, number)
            in_flight += [number] * (1 + (rng.random() < 0.1))
        rng.shuffle(in_flight)
        if in_flight and rng.random() >= loss:
            arrived = in_flight.pop()
            receiver.on_chunk(1, arrived, len(sender.chunks), sender.chunks[arrived])
            if rng.random() >= loss:
                sender.on_ack(receiver.following, receiver.ahead_bits)
        elif in_flight:
            in_flight.pop()
        assert len(sender.sent) <= WINDOW
        assert len(receiver.ahead) <= WINDOW + 1
        if receiver.whole is not None:
            assert receiver.whole == data
            assert not sender.complete
            receiver.finish()
        if sender.complete:
            break
    assert sender.complete


def test_chunks_that_do_not_fit_the_current_transfer_are_ignored() -> None:
    receiver = Receiver()
    assert receiver.on_chunk(2, 0, 2, b"new")
    assert not receiver.on_chunk(1, 1, 2, b"old")
    assert not receiver.on_chunk(2, 1, 3, b"other")
    assert not receiver.on_chunk(2, 2, 2, b"beyond")
    assert receiver.on_chunk(2, 1, 2, b"end") and receiver.whole == b"newend"


def test_retransmissions_back_off() -> None:
    sender = Sender(1, b"one chunk")
    times, now = list[int](), 0
    while len(times) < 6:
        if sender.due(now) is not None:
            times.append(now)
            sender.on_sent(now, 0)
        now += 100_000_000
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[-1] >= 4 * gaps[0]


# ---- admission ----


@settings(max_examples=50)
@given(st.lists(st.tuples(st.integers(0, 10**9), st.integers(1, 500)), max_size=200))
def test_a_token_bucket_never_exceeds_rate_and_burst(asked: list[tuple[int, int]]) -> None:
    bucket = TokenBucket(rate=1000, burst=600)
    now, spent = 0, list[tuple[int, int]]()
    for wait, amount in asked:
        now += wait
        if bucket.allows(now, amount):
            bucket.spend(amount)
            spent.append((now, amount))
    for first, (start, _) in enumerate(spent):
        total = 0
        for at, amount in spent[first:]:
            total += amount
            assert total <= 600 + 1000 * (at - start) / SECOND + 1


def test_the_longest_waiting_goes_first_and_who_does_not_come_back_loses_its_place() -> None:
    queue = AdmissionQueue(slots=1, most_waiting=2)
    assert queue.request(0, "first") == 0
    assert queue.request(0, "second") and queue.request(0, "third") and queue.request(0, "fourth")
    assert list(queue.waiting) == ["second", "third"]
    queue.release(SECOND, "first")
    assert queue.request(SECOND, "third")
    assert queue.request(SECOND, "second") == 0
    assert queue.request(SECOND, "second") == 0  # asked again: it holds the slot
    queue.release(2 * SECOND, "second")
    assert queue.request(60 * SECOND, "fifth") == 0  # "third" has not come back in time


def test_the_longer_the_queue_the_longer_the_wait() -> None:
    queue = AdmissionQueue(slots=4, most_waiting=1000)
    for number in range(4):
        assert queue.request(0, f"holder-{number}") == 0
    waits = [queue.request(0, f"waiting-{number}") for number in range(40)]
    assert waits == sorted(waits) and waits[0] < waits[20]
    assert waits[-1] <= AdmissionQueue.MAX_WAIT


def test_a_part_stays_near_the_part_size() -> None:
    store = filled_store(tenants=200)
    part = build_part(store, Scope.everything(), NOTHING)
    assert len(pack_part(part)) < catch_up.PART_BYTES + 600

"""Replicas and subscribers on a virtual clock: pushes, acknowledgements, leases, leaving, second opinions."""

from __future__ import annotations

import pytest

from dykeshift.configuration import wire
from dykeshift.configuration.catch_up import NOTHING, PART_BYTES, build_part, pack_part
from dykeshift.configuration.replica import Replica, ReplicaOptions
from dykeshift.configuration.resources import Resource, Tenant, encode_body
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.scope_codec import pack_scope, scope_digest
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.subscriber import Applied, LeaseChanged, ReplicaLeft, Phase
from dykeshift.configuration.transactions import Put
from dykeshift.configuration.virtual import MS, SECOND, Host
from dykeshift.view.table import Address
from tests.configuration.small_world import SEAL, SmallWorld, filled_store, put_tenant, tenant_key, write


class Tap:
    """All datagrams of the configuration that were sent, as messages."""

    def __init__(self, world: SmallWorld) -> None:
        self.sent: list[tuple[int, Host, Host, bytes]] = []
        self.world = world
        world.network.on_send = self._on_send

    def _on_send(self, source: Host, target: Host, data: bytes) -> None:
        self.sent.append((self.world.network.now, source, target, data))

    def messages(
        self, kind: type, source: Host | None = None, target: Host | None = None
    ) -> list[wire.Message]:
        found = [
            wire.decode(data, SEAL)
            for _, one, other, data in self.sent
            if source in (None, one) and target in (None, other)
        ]
        return [message for message in found if isinstance(message, kind)]


def left_for(host: Host) -> list[tuple[Address, str]]:
    return [(e.address, e.reason) for e in host.core.take_events() if isinstance(e, ReplicaLeft)]


# ---- steady state ----


def test_a_subscriber_shows_its_scope_and_holds_a_lease() -> None:
    world = SmallWorld(1)
    host = world.subscribe()
    world.settle()
    events = host.core.take_events()
    assert [type(event) for event in events] == [Applied, LeaseChanged]
    assert events[0] == Applied(world.stores[0].version, None)
    assert host.core.state.get(tenant_key(2)) is None  # of service c


def test_a_change_reaches_whom_it_concerns_and_costs_the_others_nothing() -> None:
    world = SmallWorld(2, replicas=1)
    near, far = world.subscribe(Scope(frozenset("ab"))), world.subscribe(Scope(frozenset("cd")))
    world.settle()
    world.run(3)
    tap = Tap(world)
    version = world.put(0, ("a",), 7.0)
    world.settle(4)
    assert near.core.state.version == far.core.state.version == version
    assert tap.messages(wire.Data, target=near) and not tap.messages(wire.Data, target=far)
    near.core.take_events()
    world.delete(0)
    world.settle(4)
    assert near.core.state.get(tenant_key(0)) is None
    assert near.core.take_events() == [Applied(version + 1, (tenant_key(0),))]


def test_who_leaves_the_scope_is_gone_and_who_enters_is_there() -> None:
    world = SmallWorld(3)
    host = world.subscribe()
    world.settle()
    world.put(0, ("c",))
    world.put(2, ("b", "c"))
    world.settle()
    assert host.core.state.get(tenant_key(0)) is None
    assert host.core.state.get(tenant_key(2)) is not None


def test_an_empty_scope_is_shown_too() -> None:
    world = SmallWorld(4)
    host = world.subscribe(Scope(frozenset(("nobody",))))
    world.settle()
    assert not host.core.state.resources()
    world.put(0, ("a",), 3.0)
    world.settle()


def test_a_scope_of_many_services_is_told_in_pieces() -> None:
    names = frozenset(f"a-rather-long-name-of-a-service-{number}" for number in range(100)) | {"a"}
    world = SmallWorld(5)
    host = world.subscribe(Scope(names))
    world.network.conditions.loss = 0.2
    world.settle(30)
    assert len(host.core.scope_bytes) > 10 * wire.SCOPE_CHUNK


def test_one_scope_is_told_once_to_each_replica() -> None:
    world = SmallWorld(6, replicas=1)
    world.subscribe()
    world.settle()
    tap = Tap(world)
    world.subscribe()
    world.settle()
    assert not tap.messages(wire.ScopePiece)


def test_nothing_is_acknowledged_as_shown_before_it_is() -> None:
    """Whatever says `shown`: the subscriber showed it as it said so."""
    world = SmallWorld(7)
    world.network.conditions.loss = 0.2
    host = world.subscribe()
    wrong: list[object] = []

    def on_send(source: Host, target: Host, data: bytes) -> None:
        message = wire.decode(data, SEAL)
        says = source is host and isinstance(message, wire.Ack | wire.Renew)
        if says and message.shown != host.core.state.version:  # type: ignore[union-attr]
            wrong.append(message)

    world.network.on_send = on_send
    for number in range(30):
        world.put(number % 6, ("a",), 2.0 + number)
        world.run(0.4)
    world.network.conditions.loss = 0.0
    world.settle()
    assert not wrong


def test_the_last_chunk_is_acknowledged_only_once_the_part_is_taken() -> None:
    world = SmallWorld(8, replicas=1)
    tap = Tap(world)
    host = world.subscribe()
    world.settle()
    assert world.stores[0].version
    shown_at = host.core.state.version
    acks = [m for m in tap.messages(wire.Ack, source=host) if isinstance(m, wire.Ack)]
    totals = {m.transfer: m.total for m in tap.messages(wire.Data, target=host) if isinstance(m, wire.Data)}
    final = [ack for ack in acks if ack.following == totals[ack.transfer]]
    last = max(totals)
    assert any(ack.transfer == last for ack in final)
    assert all(ack.shown == shown_at for ack in final if ack.transfer == last)


def test_a_lost_acknowledgement_of_the_last_chunk_is_asked_for_again() -> None:
    world = SmallWorld(9, replicas=1)
    host = world.subscribe()
    world.settle()
    world.put(0, ("a",), 2.0)
    world.network.cut(host.name, "replica-0", both=False)
    world.run(0.5)
    assert host.core.state.version == world.stores[0].version
    world.network.cuts.clear()
    world.run(5)
    session = next(iter(world.replicas[0].core.by_name.values()))
    assert session.sender is None
    world.put(0, ("a",), 3.0)
    world.settle()


# ---- leases and the fence ----


def test_who_is_cut_off_is_degraded_within_a_lease_and_keeps_what_it_shows() -> None:
    world = SmallWorld(10)
    host = world.subscribe()
    world.settle()
    before = host.core.state.version
    world.network.cut(host.name, "east")
    world.put(0, ("a",), 2.0)
    world.run(world.subscriber_options.lease / SECOND + 0.1)
    assert not world.leased(host)
    assert host.core.state.version == before and host.core.state.resources()
    assert LeaseChanged(False) in host.core.take_events()
    world.network.cuts.clear()
    world.settle(40)


def test_the_fence_waits_for_who_holds_a_lease_and_passes_when_it_is_over() -> None:
    world = SmallWorld(11, replicas=1)
    one, other = world.subscribe(), world.subscribe()
    world.settle()
    world.run(6)
    replica: Replica = world.replicas[0].core
    assert replica.fenced == world.stores[0].version
    world.network.cut(other.name, "east")
    version = world.put(0, ("a",), 2.0)
    cut_at = world.network.now
    world.run(2)
    assert one.core.state.version == version and replica.fenced < version
    assert replica.behind(version) == [other.name]
    raised = world.network.run(10, lambda: replica.fenced == version)
    assert raised and not world.leased(other)
    assert world.network.now - cut_at < 1.2 * world.replica_options.lease + 2 * SECOND
    assert replica.behind(version) == [other.name]


def test_the_fence_of_a_change_is_raised_by_acknowledgements_without_waiting_for_the_lease() -> None:
    world = SmallWorld(12, replicas=1)
    for _ in range(4):
        world.subscribe()
    world.settle()
    world.run(6)
    version = world.put(0, ("a",), 2.0)
    replica: Replica = world.replicas[0].core
    assert world.network.run(3.0, lambda: replica.fenced == version)


def test_a_replica_that_comes_back_fences_nothing_until_the_leases_of_its_earlier_life_are_over() -> None:
    world = SmallWorld(13, replicas=1)
    host = world.subscribe()
    world.settle()
    world.run(6)
    world.network.stop(host)
    world.network.kill(world.replicas[0])
    version = world.put(0, ("a",), 2.0)
    world.network.start(world.replicas[0])
    replica: Replica = world.replicas[0].core
    while world.leased(host):
        assert replica.fenced < version
        world.run(0.1)
    assert world.network.run(5, lambda: replica.fenced == version)


def test_those_who_catch_up_hold_no_fence_back() -> None:
    options = ReplicaOptions(session_bytes=600, session_burst=600)
    world = SmallWorld(14, replicas=1, store=filled_store(tenants=400), replica=options)
    world.subscribe(Scope.everything())
    world.run(8)
    assert world.subscribers[0].core.state.version == 0
    version = world.put(0, ("a",), 2.0)
    replica: Replica = world.replicas[0].core
    assert world.network.run(7, lambda: replica.fenced == version)
    assert world.subscribers[0].core.state.version == 0


def test_no_lease_by_a_replica_that_does_not_know_how_fresh_it_is() -> None:
    world = SmallWorld(15, replicas=2)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    number = world.replicas.index(serving)
    world.age[number] = None
    world.run(12)
    assert world.serving(host) is not serving
    assert world.leased(host)


def test_a_lease_is_shorter_by_the_age_of_the_store() -> None:
    world = SmallWorld(16, replicas=1)
    world.age = [4 * SECOND]
    host = world.subscribe()
    world.network.run(5, lambda: world.leased(host))
    for _ in range(40):
        assert host.core.lease_left(world.network.clock(host)) <= SECOND
        world.run(0.1)


# ---- leaving a replica ----


def test_a_silent_replica_is_left() -> None:
    world = SmallWorld(17)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    world.network.kill(serving)
    assert world.network.run(
        6, lambda: host.core.phase is Phase.SERVED and world.serving(host) is not serving
    )
    world.settle()
    assert (serving.address, "silent") in left_for(host)


def test_a_replica_that_lags_is_left_for_one_that_does_not() -> None:
    """It says it is fresh and has no later version; a second opinion says otherwise."""
    world = SmallWorld(18)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    lagging = world.replicas.index(serving)
    for number, store in enumerate(world.stores):
        if number != lagging:
            put_tenant(store, 0, ("a",), 9.0)
    world.tell()
    other = world.stores[(lagging + 1) % 3]
    assert world.network.run(25, lambda: world.shows(host, other))
    assert (serving.address, "lagging") in left_for(host)
    world.run(30)
    assert world.serving(host) is not serving  # it does not go back to an older version
    assert host.core.state.version == other.version


def test_a_claim_that_is_not_so_costs_the_one_who_made_it() -> None:
    """A replica that names a version which it never shows is not believed again and again."""
    world = SmallWorld(19)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    liar = next(replica for replica in world.replicas if replica is not serving)
    honest = liar.core._on_audit

    def boast(now: int, audit: wire.Audit, address: Address) -> None:
        store = liar.core.source
        liar.core.source = Boasting(store)
        honest(now, audit, address)
        liar.core.source = store

    liar.core._on_audit = boast
    world.run(120)
    assert host.core.choice.records[liar.address].wrong_answers
    world.settle(30)
    leased = 0
    for _ in range(60):
        world.run(1)
        leased += world.leased(host)
    assert leased > 50


class Boasting:
    """A store that names a later version than it has."""

    def __init__(self, store: ConfigStore) -> None:
        self.store = store
        self.version = store.version + 1000

    def digest(self, scope: Scope) -> int:
        return self.store.digest(scope)


def test_a_part_that_does_not_add_up_is_not_shown_and_its_sender_is_left() -> None:
    world = SmallWorld(20)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    number = world.replicas.index(serving)
    real = world.stores[number].digest
    world.stores[number].digest = lambda scope: real(scope) ^ 1  # type: ignore[method-assign]
    version = world.put(0, ("a",), 2.0)
    assert world.network.run(10, lambda: host.core.state.version == version)
    assert (serving.address, "digest") in left_for(host)
    assert world.serving(host) is not serving
    world.stores[number].digest = real  # type: ignore[method-assign]
    world.settle()


def test_two_others_outvote_a_replica_whose_lie_adds_up() -> None:
    """Its store has something else at a version that all have: the lease ends at once, all comes anew."""
    world = SmallWorld(21, replicas=4)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    number = world.replicas.index(serving)
    world.put(0, ("a",), 66.0, only=number)
    for other in range(4):
        if other != number:
            world.put(0, ("a",), 1.5, only=other)
    truth = world.stores[(number + 1) % 4]
    assert world.network.run(40, lambda: world.shows(host, truth))
    assert (serving.address, "audit") in left_for(host)
    assert host.core.choice.records[serving.address].wrong_answers


def test_one_replica_that_contradicts_is_not_believed_against_others() -> None:
    world = SmallWorld(22, replicas=5)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    liar = next(number for number, replica in enumerate(world.replicas) if replica is not serving)
    for number in range(5):
        world.put(0, ("a",), 66.0 if number == liar else 1.5, only=number)
    honest = world.stores[world.replicas.index(serving)]
    world.run(120)
    assert world.serving(host) is serving
    assert world.shows(host, honest)
    assert host.core.choice.records[world.replicas[liar].address].wrong_answers


# ---- other histories, other lives ----


def test_another_history_is_taken_only_without_a_lease() -> None:
    world = SmallWorld(23, replicas=2)
    host = world.subscribe()
    world.settle()
    world.run(1)
    before = host.core.state.version
    for number in range(2):
        world.stores[number] = filled_store(tenants=30)
        world.lineage[number] = 2
        world.network.kill(world.replicas[number])
        world.network.start(world.replicas[number])
    went_back_at = None
    for _ in range(300):
        held = world.leased(host)
        world.run(0.05)
        if host.core.state.lineage == 2 and went_back_at is None:
            went_back_at = world.network.now
            assert not held
    assert world.stores[0].version < before and went_back_at is not None
    world.settle()


def test_a_hello_that_is_played_again_ends_no_session_and_draws_no_parts() -> None:
    world = SmallWorld(24, replicas=1)
    tap = Tap(world)
    host = world.subscribe()
    world.settle()
    hello = next(data for _, source, _, data in tap.sent if source is host)
    assert isinstance(wire.decode(hello, SEAL), wire.Hello)
    world.network.kill(host)
    world.run(0.1)
    world.network.start(host)
    world.settle()
    replica: Replica = world.replicas[0].core
    session = replica.by_name[host.name]
    tap.sent.clear()
    stranger = world.subscribe(start=False)
    for _ in range(50):
        world.network.deliver(stranger.address, world.replicas[0], hello)
    assert replica.by_name[host.name] is session
    assert not tap.messages(wire.Data, target=stranger)
    world.run(5)
    assert replica.by_name[host.name] is session


def test_datagrams_of_an_earlier_session_count_for_nothing() -> None:
    """Everything that was ever sent to or by a subscriber is played again in its next session."""
    world = SmallWorld(25, replicas=1)
    tap = Tap(world)
    host = world.subscribe()
    world.settle()
    world.put(0, ("a",), 2.0)
    world.settle()
    recorded = list(tap.sent)
    world.network.kill(host)
    world.run(20)
    world.network.start(host)
    world.settle()
    replica: Replica = world.replicas[0].core
    version, session = host.core.state.version, replica.by_name[host.name]
    nonces = dict(host.core.lease.requested_at)
    fresh_at = host.core.lease.fresh_at
    position = session.position
    for _, source, target, data in recorded:
        world.network.deliver(source.address, target, data)
    assert host.core.lease.fresh_at == fresh_at and host.core.lease.requested_at == nonces
    assert host.core.state.version == version
    assert replica.by_name[host.name] is session and session.position == position


def test_a_grant_counts_once_and_from_when_it_was_asked_for() -> None:
    world = SmallWorld(26, replicas=1)
    tap = Tap(world)
    host = world.subscribe()
    world.settle()
    world.run(2)
    grant = [data for _, _, target, data in tap.sent if target is host][-1]
    assert isinstance(wire.decode(grant, SEAL), wire.Grant)
    world.network.cut(host.name, "east", both=False)
    world.run(0.1)
    fresh_at = host.core.lease.fresh_at
    world.run(2)
    for _ in range(3):
        world.network.deliver(world.replicas[0].address, host, grant)
    assert host.core.lease.fresh_at == fresh_at


def test_a_grant_that_arrives_late_is_worth_less() -> None:
    world = SmallWorld(40, replicas=1)
    host = world.subscribe()
    world.settle()
    tap = Tap(world)
    world.network.cut("replica-0", host.name, both=False)
    assert world.network.run(2, lambda: bool(tap.messages(wire.Grant, target=host)))
    asked_at = tap.sent[0][0]
    grant = next(data for _, _, target, data in tap.sent if target is host)
    world.run(1.2)
    world.network.cuts.clear()
    world.network.deliver(world.replicas[0].address, host, grant)
    ends = world.network.now + host.core.lease_left(world.network.clock(host))
    assert ends <= asked_at + world.subscriber_options.lease


def test_an_old_hello_does_not_end_a_session_that_begins() -> None:
    world = SmallWorld(41, replicas=1)
    replica: Replica = world.replicas[0].core
    now, address = world.network.clock(world.replicas[0]), ("10.9.9.9", 1)
    scope = pack_scope(Scope(frozenset("a")))
    replica.scopes.put(scope_digest(scope), Scope(frozenset("a")))

    def hello(birth: int) -> list[wire.Message]:
        message = wire.Hello(birth, birth, 1, 0, 0, scope_digest(scope), len(scope), "twice")
        return [
            wire.decode(d, SEAL) for d, _ in replica.on_datagram(now, wire.encode(message, SEAL), address)
        ]

    welcome = hello(2)[0]
    assert isinstance(welcome, wire.Welcome)
    assert not hello(1)
    out = replica.on_datagram(now, wire.encode(wire.Renew(welcome.token, 5, 0), SEAL), address)
    assert isinstance(wire.decode(out[-1][0], SEAL), wire.Grant)


def test_a_hello_that_is_played_at_another_replica_draws_no_parts() -> None:
    world = SmallWorld(42, replicas=2)
    tap = Tap(world)
    host = world.subscribe()
    world.settle()
    hello = next(data for _, source, _, data in tap.sent if source is host)
    other = next(replica for replica in world.replicas if replica is not world.serving(host))
    scope = pack_scope(host.core.scope)
    other.core.scopes.put(scope_digest(scope), host.core.scope)
    stranger = world.subscribe(start=False)
    tap.sent.clear()
    world.network.deliver(stranger.address, other, hello)
    world.run(5)
    assert tap.messages(wire.Welcome, target=stranger)
    assert not tap.messages(wire.Data, target=stranger)
    assert not other.core.sessions


def test_the_lease_of_a_process_that_stands_still_counts_though_its_name_has_a_new_session() -> None:
    world = SmallWorld(43, replicas=1)
    host = world.subscribe()
    world.settle()
    world.run(6)
    world.network.stop(host)
    twin = world.subscribe(start=False)
    twin.name = host.name
    world.network.start(twin)
    version = world.put(0, ("a",), 2.0)
    assert world.network.run(3, lambda: bool(twin.core.state.version == version))
    world.run(0.6)
    replica: Replica = world.replicas[0].core
    assert replica.by_name[host.name].address == twin.address
    while world.leased(host):
        assert replica.fenced < version
        world.run(0.1)
    assert world.network.run(3, lambda: replica.fenced == version)


# ---- bounds ----


def test_what_strangers_send_leaves_nothing_behind() -> None:
    """HELLOs under ever other names, scopes that never come, and tokens that nobody gave out."""
    options = ReplicaOptions(max_sessions=50)
    world = SmallWorld(27, replicas=1, replica=options)
    host = world.subscribe()
    world.settle()
    replica: Replica = world.replicas[0].core
    now = world.network.clock(world.replicas[0])
    sent = 0
    for number in range(3_000):
        hello = wire.Hello(number + 1, 1, 1, 0, 0, number, 100, f"stranger-{number}")
        sent += len(replica.on_datagram(now, wire.encode(hello, SEAL), ("10.9.9.9", number + 1)))
        renew = wire.Renew(number, 1, 0)
        replica.on_datagram(now, wire.encode(renew, SEAL), ("10.9.9.9", 1))
        assert len(replica.sessions) <= 50
    assert sent <= options.datagrams
    world.run(6)
    assert set(replica.by_name) == {host.name} == {s.name for s in replica.sessions.values()}
    assert world.leased(host)


def test_a_session_keeps_to_its_budget_also_when_all_is_lost() -> None:
    world = SmallWorld(28, replicas=1, store=filled_store(tenants=600))
    sent: list[tuple[int, int]] = []

    def on_send(source: Host, target: Host, data: bytes) -> None:
        if source is world.replicas[0]:
            sent.append((world.network.now, len(data)))

    host = world.subscribe(Scope.everything())
    world.run(2)
    world.network.on_send = on_send
    world.network.cut("replica-0", host.name, both=False)
    world.run(2.5)
    assert sent
    options = world.replica_options
    for first, (start, _) in enumerate(sent):
        total = sum(size for at, size in sent[first:] if at < start + SECOND)
        assert total <= options.session_bytes + options.session_burst


def test_nothing_is_sent_twice_that_has_arrived() -> None:
    world = SmallWorld(29, replicas=1, store=filled_store(tenants=600))
    tap = Tap(world)
    host = world.subscribe(Scope.everything())
    world.settle(60)
    seen = [(m.transfer, m.number) for m in tap.messages(wire.Data, target=host) if isinstance(m, wire.Data)]
    assert len(seen) == len(set(seen)) > 50


def test_a_scope_that_is_none_opens_no_session() -> None:
    world = SmallWorld(30, replicas=1)
    replica: Replica = world.replicas[0].core
    now = world.network.clock(world.replicas[0])
    scope = b"\xc1 is no scope"
    hello = wire.Hello(5, 1, 1, 0, 0, scope_digest(scope), len(scope), "stranger")
    out = replica.on_datagram(now, wire.encode(hello, SEAL), ("10.9.9.9", 1))
    welcome = wire.decode(out[0][0], SEAL)
    assert isinstance(welcome, wire.Welcome)
    piece = wire.ScopePiece(welcome.token, 0, scope)
    replica.on_datagram(now, wire.encode(piece, SEAL), ("10.9.9.9", 1))
    assert all(session.scope is None for session in replica.sessions.values())
    assert not replica.scopes.scopes


# ---- catching up ----


def test_who_comes_back_after_an_hour_gets_only_what_differs() -> None:
    world = SmallWorld(31, replicas=1, store=filled_store(tenants=400))
    host = world.subscribe(Scope(frozenset("abc")))
    world.settle(30)
    world.network.cut(host.name, "east")
    world.run(10)
    for number in range(100):
        world.put(number % 12, (chr(ord("a") + number % 6),), 1.0 + number)
    world.run(3600)
    assert not world.leased(host)
    tap = Tap(world)
    world.network.cuts.clear()
    world.settle(60)
    sent = sum(len(m.chunk) for m in tap.messages(wire.Data, target=host) if isinstance(m, wire.Data))
    whole = sum(len(r.body or b"") + 20 for r in host.core.state.resources())
    assert 0 < sent < whole / 3


def test_catching_up_goes_on_at_another_replica_where_it_stopped() -> None:
    world = SmallWorld(32, replicas=2, store=filled_store(tenants=900))
    host = world.subscribe(Scope.everything())
    tap = Tap(world)
    assert world.network.run(30, lambda: len(host.core.staging.resources) > 300)
    staged = dict(host.core.staging.resources)
    world.network.kill(world.serving(host))
    world.put(0, ("a",), 5.0)  # staged already
    tap.sent.clear()
    world.settle(60)
    chunks = [m for m in tap.messages(wire.Data, target=host) if isinstance(m, wire.Data)]
    whole = len(pack_part(build_part(world.stores[0], Scope.everything(), NOTHING, 1 << 24)))
    left = 1 - len(staged) / len(host.core.state.resources())
    assert sum(len(m.chunk) for m in chunks) < whole * left + PART_BYTES / 2


def test_nothing_is_shown_of_a_catching_up_that_is_not_whole() -> None:
    world = SmallWorld(33, replicas=1, store=filled_store(tenants=600))
    host = world.subscribe(Scope.everything())
    while host.core.state.version == 0:
        assert not host.core.state.resources() and not world.leased(host)
        world.run(0.2)
        assert world.network.now < 60 * SECOND
    world.settle()


def test_a_big_change_is_shown_at_once_and_the_old_version_until_then() -> None:
    options = ReplicaOptions(part_bytes=300)
    world = SmallWorld(34, replicas=1, replica=options)
    host = world.subscribe(Scope.everything())
    world.settle()
    before = [(r.key, r.version) for r in host.core.state.resources()]
    world.network.cut(host.name, "east")
    body = encode_body(Tenant(("b",), 3.0))
    write(world.stores[0], tuple(Put(tenant_key(number), body) for number in range(50)))
    world.tell()
    world.network.cuts.clear()
    staged = 0
    while host.core.state.version < world.stores[0].version:
        staged = max(staged, len(host.core.staging.resources))
        assert [(r.key, r.version) for r in host.core.state.resources()] == before
        world.run(0.02)
        assert world.network.now < 60 * SECOND
    assert staged > 10
    world.settle()


def test_many_at_once_do_not_overrun_a_replica_and_each_is_served_in_time() -> None:
    options = ReplicaOptions(slots=5, bytes=40_000, datagrams=400)
    world = SmallWorld(35, replicas=1, store=filled_store(tenants=240), replica=options)
    for _ in range(60):
        world.subscribe(start=False)
    second: dict[int, int] = {}
    hellos: dict[int, int] = {}

    def on_send(source: Host, target: Host, data: bytes) -> None:
        at = world.network.now // (SECOND // 10)
        if source is world.replicas[0]:
            second[at // 10] = second.get(at // 10, 0) + len(data)
        elif isinstance(wire.decode(data, SEAL), wire.Hello):
            hellos[at] = hellos.get(at, 0) + 1

    world.network.on_send = on_send
    for host in world.subscribers:
        world.network.start(host)
    replica: Replica = world.replicas[0].core
    done = world.network.run(
        60, lambda: len(replica.queue.holders) <= 5 and all(world.shows(h) for h in world.subscribers)
    )
    assert done, sum(world.shows(h) for h in world.subscribers)
    assert max(second.values()) <= options.bytes * 1.25
    assert max(hellos.values()) < 40  # not all in the same tenth of a second


def test_who_waits_comes_back_with_a_jitter_of_its_own() -> None:
    world = SmallWorld(36, replicas=1, replica=ReplicaOptions(slots=1), store=filled_store(tenants=300))
    first = world.subscribe(Scope.everything())
    world.run(1.5)
    assert first.core.phase is Phase.SERVED
    hosts = [world.subscribe(Scope.everything(), start=False) for _ in range(12)]
    for host in hosts:
        world.network.start(host)
        host.core.retry_at = world.network.clock(host)
        world.network.carry(host, host.core.on_timer(world.network.clock(host)))
    world.run(0.1)
    waiting = [host.core.retry_at for host in hosts if host.core.return_to is not None]
    assert len(waiting) == 12
    assert len({at // MS for at in waiting}) > 8


def test_a_replica_at_its_limit_sends_others_elsewhere() -> None:
    world = SmallWorld(37, replicas=2, replica=ReplicaOptions(max_sessions=3))
    for _ in range(6):
        world.subscribe()
    world.settle(30)
    assert sorted(len(replica.core.by_name) for replica in world.replicas) == [3, 3]


def test_what_is_left_of_an_end_that_was_said_is_no_name_behind() -> None:
    world = SmallWorld(38, replicas=1)
    host = world.subscribe()
    world.settle()
    world.network.carry(host, host.core.end(world.network.clock(host)))
    world.network.kill(host)
    world.run(0.1)
    version = world.put(0, ("a",), 2.0)
    replica: Replica = world.replicas[0].core
    assert replica.behind(version) == []
    assert not replica.sessions


@pytest.mark.parametrize("loss", [0.0, 0.1, 0.3])
def test_changes_arrive_whatever_is_lost(loss: float) -> None:
    world = SmallWorld(f"loss {loss}")
    for _ in range(4):
        world.subscribe()
    world.settle()
    world.network.conditions.loss = loss
    for number in range(10):
        world.put(number % 6, ("a",), 2.0 + number)
        assert world.network.run(10, lambda: all(world.shows(host) for host in world.subscribers))


def test_resources_outside_the_scope_are_not_taken() -> None:
    world = SmallWorld(39, replicas=2)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    number = world.replicas.index(serving)
    real = world.stores[number].changes_since
    foreign = Resource(tenant_key(999), world.stores[0].version + 1, encode_body(Tenant(("f",))))
    world.stores[number].changes_since = (  # type: ignore[method-assign]
        lambda version, scope: (*real(version, scope), foreign)
        if scope == host.core.scope
        else real(version, scope)
    )
    world.put(0, ("a",), 2.0)
    world.run(1)
    assert (serving.address, "digest") in left_for(host)
    assert host.core.state.get(tenant_key(999)) is None

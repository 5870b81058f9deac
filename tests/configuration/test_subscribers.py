"""Replicas and subscribers on a virtual clock: parts, acknowledgements, leases, change of replica, audits."""

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


class DatagramLog:
    """Records all datagrams that are sent, and decodes them."""

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


def departures(host: Host) -> list[tuple[Address, str]]:
    return [(e.address, e.reason) for e in host.core.take_events() if isinstance(e, ReplicaLeft)]


# ---- steady state ----


def test_subscriber_shows_its_scope_and_holds_a_lease() -> None:
    world = SmallWorld(1)
    host = world.subscribe()
    world.settle()
    events = host.core.take_events()
    assert [type(event) for event in events] == [Applied, LeaseChanged]
    assert events[0] == Applied(world.stores[0].version, None)
    assert host.core.state.get(tenant_key(2)) is None  # of service c


def test_change_is_sent_only_to_subscribers_whose_scope_it_touches() -> None:
    world = SmallWorld(2, replicas=1)
    near, far = world.subscribe(Scope(frozenset("ab"))), world.subscribe(Scope(frozenset("cd")))
    world.settle()
    world.run(3)
    log = DatagramLog(world)
    version = world.put(0, ("a",), 7.0)
    world.settle(4)
    assert near.core.state.version == far.core.state.version == version
    assert log.messages(wire.Data, target=near) and not log.messages(wire.Data, target=far)
    near.core.take_events()
    world.delete(0)
    world.settle(4)
    assert near.core.state.get(tenant_key(0)) is None
    assert near.core.take_events() == [Applied(version + 1, (tenant_key(0),))]


def test_resources_that_leave_or_enter_the_scope_are_removed_or_added() -> None:
    world = SmallWorld(3)
    host = world.subscribe()
    world.settle()
    world.put(0, ("c",))
    world.put(2, ("b", "c"))
    world.settle()
    assert host.core.state.get(tenant_key(0)) is None
    assert host.core.state.get(tenant_key(2)) is not None


def test_scope_without_resources_is_served() -> None:
    world = SmallWorld(4)
    host = world.subscribe(Scope(frozenset(("nobody",))))
    world.settle()
    assert not host.core.state.resources()
    world.put(0, ("a",), 3.0)
    world.settle()


def test_large_scope_is_sent_in_pieces() -> None:
    names = frozenset(f"a-rather-long-name-of-a-service-{number}" for number in range(100)) | {"a"}
    world = SmallWorld(5)
    host = world.subscribe(Scope(names))
    world.network.conditions.loss = 0.2
    world.settle(30)
    assert len(host.core.scope_bytes) > 10 * wire.SCOPE_CHUNK


def test_replica_caches_a_known_scope() -> None:
    world = SmallWorld(6, replicas=1)
    world.subscribe()
    world.settle()
    log = DatagramLog(world)
    world.subscribe()
    world.settle()
    assert not log.messages(wire.ScopePiece)


def test_reported_version_is_the_shown_version() -> None:
    """Each `shown` in an Ack or Renew equals the version that the subscriber showed when it was sent."""
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


def test_last_chunk_is_acknowledged_only_after_the_part_is_applied() -> None:
    world = SmallWorld(8, replicas=1)
    log = DatagramLog(world)
    host = world.subscribe()
    world.settle()
    assert world.stores[0].version
    shown_at = host.core.state.version
    acks = [m for m in log.messages(wire.Ack, source=host) if isinstance(m, wire.Ack)]
    totals = {m.transfer: m.total for m in log.messages(wire.Data, target=host) if isinstance(m, wire.Data)}
    final = [ack for ack in acks if ack.following == totals[ack.transfer]]
    last = max(totals)
    assert any(ack.transfer == last for ack in final)
    assert all(ack.shown == shown_at for ack in final if ack.transfer == last)


def test_lost_acknowledgement_of_the_last_chunk_is_recovered() -> None:
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


def test_partitioned_subscriber_loses_its_lease_and_keeps_its_state() -> None:
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


def test_fence_waits_until_the_lease_of_a_partitioned_subscriber_expires() -> None:
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


def test_fence_advances_on_acknowledgements_before_leases_expire() -> None:
    world = SmallWorld(12, replicas=1)
    for _ in range(4):
        world.subscribe()
    world.settle()
    world.run(6)
    version = world.put(0, ("a",), 2.0)
    replica: Replica = world.replicas[0].core
    assert world.network.run(3.0, lambda: replica.fenced == version)


def test_restarted_replica_keeps_its_fence_until_earlier_leases_have_expired() -> None:
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


def test_subscriber_that_catches_up_does_not_block_the_fence() -> None:
    options = ReplicaOptions(session_bytes=600, session_burst=600)
    world = SmallWorld(14, replicas=1, store=filled_store(tenants=400), replica=options)
    world.subscribe(Scope.everything())
    world.run(8)
    assert world.subscribers[0].core.state.version == 0
    version = world.put(0, ("a",), 2.0)
    replica: Replica = world.replicas[0].core
    assert world.network.run(7, lambda: replica.fenced == version)
    assert world.subscribers[0].core.state.version == 0


def test_replica_without_known_freshness_grants_no_lease() -> None:
    world = SmallWorld(15, replicas=2)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    number = world.replicas.index(serving)
    world.age[number] = None
    world.run(12)
    assert world.serving(host) is not serving
    assert world.leased(host)


def test_lease_is_shortened_by_the_age_of_the_store() -> None:
    world = SmallWorld(16, replicas=1)
    world.age = [4 * SECOND]
    host = world.subscribe()
    world.network.run(5, lambda: world.leased(host))
    for _ in range(40):
        assert host.core.lease_left(world.network.clock(host)) <= SECOND
        world.run(0.1)


# ---- change of replica ----


def test_unresponsive_replica_is_left() -> None:
    world = SmallWorld(17)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    world.network.kill(serving)
    assert world.network.run(
        6, lambda: host.core.phase is Phase.SERVED and world.serving(host) is not serving
    )
    world.settle()
    assert (serving.address, "silent") in departures(host)


def test_lagging_replica_is_left_for_a_newer_one() -> None:
    """The replica claims to be fresh but has an old version; an audit at another replica finds the newer
    one."""
    world = SmallWorld(18)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    lagging = world.replicas.index(serving)
    for number, store in enumerate(world.stores):
        if number != lagging:
            put_tenant(store, 0, ("a",), 9.0)
    world.notify_replicas()
    other = world.stores[(lagging + 1) % 3]
    assert world.network.run(25, lambda: world.shows(host, other))
    assert (serving.address, "lagging") in departures(host)
    world.run(30)
    assert world.serving(host) is not serving  # it does not go back to an older version
    assert host.core.state.version == other.version


def test_replica_with_a_false_claim_is_deprioritized() -> None:
    """A replica that claims a version which it cannot deliver must not make the subscriber switch
    repeatedly."""
    world = SmallWorld(19)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    wrong_replica = next(replica for replica in world.replicas if replica is not serving)
    honest = wrong_replica.core._on_audit

    def claim_newer_version(now: int, audit: wire.Audit, address: Address) -> None:
        store = wrong_replica.core.source
        wrong_replica.core.source = OverstatingStore(store)
        honest(now, audit, address)
        wrong_replica.core.source = store

    wrong_replica.core._on_audit = claim_newer_version
    world.run(120)
    assert host.core.choice.records[wrong_replica.address].wrong_answers
    world.settle(30)
    leased = 0
    for _ in range(60):
        world.run(1)
        leased += world.leased(host)
    assert leased > 50


class OverstatingStore:
    """A store that reports a newer version than it has."""

    def __init__(self, store: ConfigStore) -> None:
        self.store = store
        self.version = store.version + 1000

    def digest(self, scope: Scope) -> int:
        return self.store.digest(scope)


def test_part_with_a_wrong_digest_is_rejected_and_its_replica_left() -> None:
    world = SmallWorld(20)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    number = world.replicas.index(serving)
    real = world.stores[number].digest
    world.stores[number].digest = lambda scope: real(scope) ^ 1  # type: ignore[method-assign]
    version = world.put(0, ("a",), 2.0)
    assert world.network.run(10, lambda: host.core.state.version == version)
    assert (serving.address, "digest") in departures(host)
    assert world.serving(host) is not serving
    world.stores[number].digest = real  # type: ignore[method-assign]
    world.settle()


def test_two_replicas_outvote_one_with_wrong_data_and_a_valid_digest() -> None:
    """The replica's store differs at a common version: the lease ends at once and all state is fetched
    again."""
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
    assert (serving.address, "audit") in departures(host)
    assert host.core.choice.records[serving.address].wrong_answers


def test_single_contradicting_replica_is_outvoted() -> None:
    world = SmallWorld(22, replicas=5)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    wrong_replica = next(number for number, replica in enumerate(world.replicas) if replica is not serving)
    for number in range(5):
        world.put(0, ("a",), 66.0 if number == wrong_replica else 1.5, only=number)
    honest = world.stores[world.replicas.index(serving)]
    world.run(120)
    assert world.serving(host) is serving
    assert world.shows(host, honest)
    assert host.core.choice.records[world.replicas[wrong_replica].address].wrong_answers


# ---- changes of history, replays, restarts ----


def test_history_changes_only_without_a_lease() -> None:
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
    changed_at = None
    for _ in range(300):
        held = world.leased(host)
        world.run(0.05)
        if host.core.state.lineage == 2 and changed_at is None:
            changed_at = world.network.now
            assert not held
    assert world.stores[0].version < before and changed_at is not None
    world.settle()


def test_replayed_hello_neither_ends_a_session_nor_triggers_parts() -> None:
    world = SmallWorld(24, replicas=1)
    log = DatagramLog(world)
    host = world.subscribe()
    world.settle()
    hello = next(data for _, source, _, data in log.sent if source is host)
    assert isinstance(wire.decode(hello, SEAL), wire.Hello)
    world.network.kill(host)
    world.run(0.1)
    world.network.start(host)
    world.settle()
    replica: Replica = world.replicas[0].core
    session = replica.by_name[host.name]
    log.sent.clear()
    stranger = world.subscribe(start=False)
    for _ in range(50):
        world.network.deliver(stranger.address, world.replicas[0], hello)
    assert replica.by_name[host.name] is session
    assert not log.messages(wire.Data, target=stranger)
    world.run(5)
    assert replica.by_name[host.name] is session


def test_replayed_datagrams_of_an_earlier_session_have_no_effect() -> None:
    """All datagrams sent to or by a subscriber are replayed during its next session."""
    world = SmallWorld(25, replicas=1)
    log = DatagramLog(world)
    host = world.subscribe()
    world.settle()
    world.put(0, ("a",), 2.0)
    world.settle()
    recorded = list(log.sent)
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


def test_grant_counts_once_and_from_its_request() -> None:
    world = SmallWorld(26, replicas=1)
    log = DatagramLog(world)
    host = world.subscribe()
    world.settle()
    world.run(2)
    grant = [data for _, _, target, data in log.sent if target is host][-1]
    assert isinstance(wire.decode(grant, SEAL), wire.Grant)
    world.network.cut(host.name, "east", both=False)
    world.run(0.1)
    fresh_at = host.core.lease.fresh_at
    world.run(2)
    for _ in range(3):
        world.network.deliver(world.replicas[0].address, host, grant)
    assert host.core.lease.fresh_at == fresh_at


def test_delayed_grant_gives_a_shorter_lease() -> None:
    world = SmallWorld(40, replicas=1)
    host = world.subscribe()
    world.settle()
    log = DatagramLog(world)
    world.network.cut("replica-0", host.name, both=False)
    assert world.network.run(2, lambda: bool(log.messages(wire.Grant, target=host)))
    asked_at = log.sent[0][0]
    grant = next(data for _, _, target, data in log.sent if target is host)
    world.run(1.2)
    world.network.cuts.clear()
    world.network.deliver(world.replicas[0].address, host, grant)
    ends = world.network.now + host.core.lease_left(world.network.clock(host))
    assert ends <= asked_at + world.subscriber_options.lease


def test_stale_hello_does_not_end_a_newer_session() -> None:
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


def test_hello_replayed_to_another_replica_triggers_no_parts() -> None:
    world = SmallWorld(42, replicas=2)
    log = DatagramLog(world)
    host = world.subscribe()
    world.settle()
    hello = next(data for _, source, _, data in log.sent if source is host)
    other = next(replica for replica in world.replicas if replica is not world.serving(host))
    scope = pack_scope(host.core.scope)
    other.core.scopes.put(scope_digest(scope), host.core.scope)
    stranger = world.subscribe(start=False)
    log.sent.clear()
    world.network.deliver(stranger.address, other, hello)
    world.run(5)
    assert log.messages(wire.Welcome, target=stranger)
    assert not log.messages(wire.Data, target=stranger)
    assert not other.core.sessions


def test_lease_of_a_paused_process_blocks_the_fence_after_its_name_opens_a_new_session() -> None:
    world = SmallWorld(43, replicas=1)
    host = world.subscribe()
    world.settle()
    world.run(6)
    world.network.stop(host)
    successor = world.subscribe(start=False)
    successor.name = host.name
    world.network.start(successor)
    version = world.put(0, ("a",), 2.0)
    assert world.network.run(3, lambda: bool(successor.core.state.version == version))
    world.run(0.6)
    replica: Replica = world.replicas[0].core
    assert replica.by_name[host.name].address == successor.address
    while world.leased(host):
        assert replica.fenced < version
        world.run(0.1)
    assert world.network.run(3, lambda: replica.fenced == version)


# ---- bounds ----


def test_datagrams_of_unknown_senders_leave_no_state() -> None:
    """HELLOs under ever new names, scopes that are never sent, and tokens that were never issued."""
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


def test_session_keeps_its_budget_when_all_datagrams_are_lost() -> None:
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


def test_acknowledged_chunks_are_not_retransmitted() -> None:
    world = SmallWorld(29, replicas=1, store=filled_store(tenants=600))
    log = DatagramLog(world)
    host = world.subscribe(Scope.everything())
    world.settle(60)
    seen = [(m.transfer, m.number) for m in log.messages(wire.Data, target=host) if isinstance(m, wire.Data)]
    assert len(seen) == len(set(seen)) > 50


def test_invalid_scope_opens_no_session() -> None:
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


def test_subscriber_returning_after_an_hour_receives_only_changes() -> None:
    world = SmallWorld(31, replicas=1, store=filled_store(tenants=400))
    host = world.subscribe(Scope(frozenset("abc")))
    world.settle(30)
    world.network.cut(host.name, "east")
    world.run(10)
    for number in range(100):
        world.put(number % 12, (chr(ord("a") + number % 6),), 1.0 + number)
    world.run(3600)
    assert not world.leased(host)
    log = DatagramLog(world)
    world.network.cuts.clear()
    world.settle(60)
    sent = sum(len(m.chunk) for m in log.messages(wire.Data, target=host) if isinstance(m, wire.Data))
    whole = sum(len(r.body or b"") + 20 for r in host.core.state.resources())
    assert 0 < sent < whole / 3


def test_catch_up_continues_at_another_replica() -> None:
    world = SmallWorld(32, replicas=2, store=filled_store(tenants=900))
    host = world.subscribe(Scope.everything())
    log = DatagramLog(world)
    assert world.network.run(30, lambda: len(host.core.staging.resources) > 300)
    staged = dict(host.core.staging.resources)
    world.network.kill(world.serving(host))
    world.put(0, ("a",), 5.0)  # staged already
    log.sent.clear()
    world.settle(60)
    chunks = [m for m in log.messages(wire.Data, target=host) if isinstance(m, wire.Data)]
    whole = len(pack_part(build_part(world.stores[0], Scope.everything(), NOTHING, 1 << 24)))
    left = 1 - len(staged) / len(host.core.state.resources())
    assert sum(len(m.chunk) for m in chunks) < whole * left + PART_BYTES / 2


def test_incomplete_catch_up_is_not_shown() -> None:
    world = SmallWorld(33, replicas=1, store=filled_store(tenants=600))
    host = world.subscribe(Scope.everything())
    while host.core.state.version == 0:
        assert not host.core.state.resources() and not world.leased(host)
        world.run(0.2)
        assert world.network.now < 60 * SECOND
    world.settle()


def test_change_in_many_parts_is_applied_atomically() -> None:
    options = ReplicaOptions(part_bytes=300)
    world = SmallWorld(34, replicas=1, replica=options)
    host = world.subscribe(Scope.everything())
    world.settle()
    before = [(r.key, r.version) for r in host.core.state.resources()]
    world.network.cut(host.name, "east")
    body = encode_body(Tenant(("b",), 3.0))
    write(world.stores[0], tuple(Put(tenant_key(number), body) for number in range(50)))
    world.notify_replicas()
    world.network.cuts.clear()
    staged = 0
    while host.core.state.version < world.stores[0].version:
        staged = max(staged, len(host.core.staging.resources))
        assert [(r.key, r.version) for r in host.core.state.resources()] == before
        world.run(0.02)
        assert world.network.now < 60 * SECOND
    assert staged > 10
    world.settle()


def test_simultaneous_starts_stay_within_the_budget_and_are_all_served() -> None:
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


def test_waiting_subscribers_retry_with_jitter() -> None:
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


def test_replica_at_its_session_limit_refuses_further_subscribers() -> None:
    world = SmallWorld(37, replicas=2, replica=ReplicaOptions(max_sessions=3))
    for _ in range(6):
        world.subscribe()
    world.settle(30)
    assert sorted(len(replica.core.by_name) for replica in world.replicas) == [3, 3]


def test_subscriber_that_ends_with_a_bye_is_not_reported_as_behind() -> None:
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
def test_changes_arrive_despite_loss(loss: float) -> None:
    world = SmallWorld(f"loss {loss}")
    for _ in range(4):
        world.subscribe()
    world.settle()
    world.network.conditions.loss = loss
    for number in range(10):
        world.put(number % 6, ("a",), 2.0 + number)
        assert world.network.run(10, lambda: all(world.shows(host) for host in world.subscribers))


def test_resources_outside_the_scope_are_rejected() -> None:
    world = SmallWorld(39, replicas=2)
    host = world.subscribe()
    world.settle()
    serving = world.serving(host)
    number = world.replicas.index(serving)
    real = world.stores[number].changes_since
    outside = Resource(tenant_key(999), world.stores[0].version + 1, encode_body(Tenant(("f",))))
    world.stores[number].changes_since = (  # type: ignore[method-assign]
        lambda version, scope: (*real(version, scope), outside)
        if scope == host.core.scope
        else real(version, scope)
    )
    world.put(0, ("a",), 2.0)
    world.run(1)
    assert (serving.address, "digest") in departures(host)
    assert host.core.state.get(tenant_key(999)) is None

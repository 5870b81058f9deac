"""The coordinator: no commit while a balancer may act on an old body alone, and proposals in order."""

from __future__ import annotations

from dykeshift.configuration.coordinator import SECOND, Coordinator, CoordinatorOptions, FenceReport
from dykeshift.configuration.queue import MAX_QUEUED
from dykeshift.configuration.resources import Key, Route, Tenant
from dykeshift.configuration.transactions import Phase, Put, Transaction, encode_entry
from dykeshift.configuration.validation import Cause
from tests.configuration.words import (
    SAFE,
    UNSAFE,
    ban,
    class_key,
    put,
    route_key,
    service_key,
    small_store,
    tenant_key,
)

REPLICAS = frozenset({1, 2, 3})
OPTIONS = CoordinatorOptions()
LINEAGE = 7


class Leader:
    """A coordinator whose proposals are committed at once."""

    def __init__(self) -> None:
        self.store = small_store().store
        self.coordinator = Coordinator(OPTIONS, self.store, REPLICAS)
        self.coordinator.enter(LINEAGE)
        self.now, self.ident = 0, 100

    def submit(self, *puts: Put, deletes: tuple[Key, ...] = (), checked: bool = False) -> int:
        self.ident += 1
        transaction = Transaction(self.ident, "test", puts, deletes, checked=checked)
        assert self.coordinator.submit(transaction) is None
        return self.ident

    def run(self) -> None:
        """Commit everything that can be proposed now."""
        while (entry := self.coordinator.next(self.now)) is not None:
            self.store.apply(self.store.version + 1, encode_entry(entry))
        self.coordinator.look(self.now)

    def fence(self, *numbers: int, version: int | None = None, lineage: int = LINEAGE) -> None:
        for number in numbers:
            fenced = self.store.version if version is None else version
            self.coordinator.on_fence(FenceReport(number, lineage, fenced))
        self.run()

    def phase(self, ident: int) -> Phase | None:
        if ident in self.store.pending:
            return self.store.pending[ident].phase
        outcome = self.store.outcome(ident)
        return outcome.phase if outcome is not None else None


def test_the_joint_phase_is_over_once_all_replicas_are_fenced() -> None:
    leader = Leader()
    ident = leader.submit(put(class_key("read"), UNSAFE))
    leader.run()
    joint = leader.store.pending[ident].since
    assert leader.phase(ident) is Phase.JOINT
    leader.fence(1, 2)
    assert leader.phase(ident) is Phase.JOINT
    assert leader.coordinator.behind(joint) == (3,)
    leader.fence(3, version=joint - 1)
    leader.fence(3, lineage=LINEAGE + 1)
    leader.fence(4)
    assert (
        leader.phase(ident) is Phase.JOINT
    ), "an earlier version, another lineage, a replica outside the tier"
    leader.fence(3)
    assert leader.phase(ident) is Phase.COMMITTED


def test_a_silent_replica_counts_for_a_lease_at_most() -> None:
    leader = Leader()
    ident = leader.submit(put(class_key("read"), UNSAFE))
    leader.run()
    leader.fence(1, 2)
    leader.now = OPTIONS.lease_wait - 1
    leader.run()
    assert leader.phase(ident) is Phase.JOINT
    leader.now = OPTIONS.lease_wait
    leader.run()
    assert leader.phase(ident) is Phase.COMMITTED


def test_a_new_leader_waits_a_full_lease_and_drops_fences_of_another_lineage() -> None:
    leader = Leader()
    ident = leader.submit(put(class_key("read"), UNSAFE))
    leader.run()
    leader.now = OPTIONS.lease_wait - 1
    leader.coordinator = Coordinator(OPTIONS, leader.store, REPLICAS)
    leader.coordinator.enter(LINEAGE)
    leader.run()
    leader.now += OPTIONS.lease_wait - 1
    leader.run()
    assert leader.phase(ident) is Phase.JOINT
    leader.coordinator.on_fence(FenceReport(1, LINEAGE, 10**6))
    leader.coordinator.enter(LINEAGE + 1)
    assert leader.coordinator.fences == {}
    leader.run()
    assert leader.phase(ident) is Phase.JOINT


def test_free_changes_are_committed_at_once() -> None:
    leader = Leader()
    guarded = leader.submit(put(class_key("read"), UNSAFE))
    free = [leader.submit(put(tenant_key(f"t{n}"), Tenant((), 2.0))) for n in range(5)]
    leader.run()
    assert leader.phase(guarded) is Phase.JOINT
    assert {leader.phase(ident) for ident in free} == {Phase.COMMITTED}


def test_guarded_changes_of_different_keys_share_the_wait() -> None:
    leader = Leader()
    idents = [leader.submit(put(class_key("read"), UNSAFE)), leader.submit(ban("cart", "s1"))]
    idents.append(leader.submit(ban("mail", "s1")))
    leader.run()
    assert {leader.phase(ident) for ident in idents} == {Phase.JOINT}
    leader.now = OPTIONS.lease_wait
    leader.run()
    assert {leader.phase(ident) for ident in idents} == {Phase.COMMITTED}


def test_what_touches_each_other_goes_in_the_order_in_which_it_came() -> None:
    leader = Leader()
    first = leader.submit(put(class_key("read"), UNSAFE))
    second = leader.submit(put(route_key("/new"), Route("cart", "read")))
    third = leader.submit(put(route_key("/new"), Route("mail", "send")))
    beside = leader.submit(put(tenant_key("t1"), Tenant((), 2.0)))
    leader.run()
    assert [leader.phase(n) for n in (first, second, third, beside)] == [
        Phase.JOINT,
        None,
        None,
        Phase.COMMITTED,
    ]
    leader.fence(1, 2, 3)
    assert [leader.phase(n) for n in (first, second)] == [Phase.COMMITTED, Phase.COMMITTED]
    leader.fence(1, 2, 3)
    assert leader.phase(third) is Phase.COMMITTED
    assert leader.store.body(route_key("/new")) == Route("mail", "send")


def test_a_refused_transaction_is_removed_from_the_queue_with_its_objection() -> None:
    leader = Leader()
    ident = leader.submit(deletes=(service_key("cart"),))
    leader.run()
    assert leader.coordinator.queue.refused[ident].cause is Cause.REFERENCE
    assert leader.coordinator.queue.waiting == {}
    assert leader.phase(ident) is None, "it was never proposed"


def test_bans_are_checked_against_the_running_servers() -> None:
    leader = Leader()
    ident = leader.submit(ban("cart", "s1"))
    running = {"cart": frozenset({"s1"})}
    assert leader.coordinator.next(leader.now, running) is None
    assert leader.coordinator.queue.refused[ident].cause is Cause.HARM


def test_a_checked_transaction_waits_for_approval_up_to_the_check_limit() -> None:
    leader = Leader()
    approved = leader.submit(put(tenant_key("t1"), Tenant((), 2.0)), checked=True)
    forgotten = leader.submit(put(tenant_key("t2"), Tenant((), 2.0)), checked=True)
    leader.run()
    assert {leader.phase(approved), leader.phase(forgotten)} == {Phase.PREPARED}
    leader.coordinator.approve(approved)
    leader.run()
    assert leader.phase(approved) is Phase.COMMITTED
    leader.now = OPTIONS.check_limit
    leader.run()
    assert leader.phase(forgotten) is Phase.ABORTED
    assert leader.store.body(tenant_key("t2")) != Tenant((), 2.0)


def test_the_lease_is_waited_for_from_the_joint_phase_on() -> None:
    leader = Leader()
    ident = leader.submit(put(class_key("read"), UNSAFE), checked=True)
    leader.run()
    leader.now = OPTIONS.lease_wait - 1
    leader.coordinator.approve(ident)
    leader.run()
    leader.now += OPTIONS.lease_wait - 1
    leader.run()
    assert leader.phase(ident) is Phase.JOINT
    leader.now += 1
    leader.run()
    assert leader.phase(ident) is Phase.COMMITTED


def test_an_abort_restores_the_old_body_at_once() -> None:
    leader = Leader()
    ident = leader.submit(put(class_key("read"), UNSAFE))
    leader.run()
    leader.coordinator.abort(ident, "it was the wrong class")
    leader.run()
    assert leader.phase(ident) is Phase.ABORTED
    assert leader.store.body(class_key("read")) == SAFE


def test_no_balancer_acts_on_a_version_before_the_settled_one() -> None:
    leader = Leader()
    leader.submit(put(tenant_key("t1"), Tenant((), 2.0)))
    leader.run()
    first = leader.store.version
    assert leader.coordinator.settled == 0
    leader.fence(1, 2, 3)
    assert leader.coordinator.settled == first
    leader.submit(put(tenant_key("t2"), Tenant((), 2.0)))
    leader.run()
    assert leader.coordinator.settled == first
    leader.now += OPTIONS.lease_wait
    leader.run()
    assert leader.coordinator.settled == first + 1
    assert leader.coordinator.settling == []


def test_the_queue_is_bounded() -> None:
    leader = Leader()
    for _ in range(MAX_QUEUED):
        leader.submit(put(tenant_key("t1"), Tenant()))
    objection = leader.coordinator.submit(Transaction(1, "test", (put(tenant_key("t1"), Tenant()),)))
    assert objection is not None
    assert objection.cause is Cause.LIMIT


def test_the_lease_wait_covers_clock_drift() -> None:
    """The leader's clock runs fast and the subscriber's slow, each by `drift`."""
    fast, slow = 1 + OPTIONS.drift, 1 - OPTIONS.drift
    assert OPTIONS.lease_wait / fast >= OPTIONS.lease / slow
    assert OPTIONS.lease_wait <= 6 * SECOND

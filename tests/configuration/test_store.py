"""The configuration store: phases, scopes, digests, tombstones, snapshots."""

from __future__ import annotations

import msgspec
import pytest

from dykeshift.configuration.index import CompactedError
from dykeshift.configuration.resources import (
    Joint,
    Key,
    Resource,
    Route,
    Service,
    Tenant,
    ban_key,
    encode_body,
)
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.store import ConfigStore, decode_state, encode_state
from dykeshift.configuration.transactions import Phase
from tests.configuration.words import (
    SAFE,
    SERVICE,
    UNSAFE,
    Driver,
    ban,
    class_key,
    put,
    route_key,
    service_key,
    small_store,
    tenant_key,
    word,
)

CART, MAIL = Scope(frozenset({"cart"})), Scope(frozenset({"mail"}))


def names_of(resources: tuple[Resource, ...]) -> list[str]:
    return [resource.key.name for resource in resources]


def version_of(driver: Driver, key: Key) -> int:
    found = driver.store.get(key)
    assert found is not None
    return found.version


def test_a_free_change_takes_effect_with_its_first_entry() -> None:
    driver = small_store()
    ident = driver.begin(put(tenant_key("t1"), Tenant(("cart",), 2.0)))
    assert driver.phase(ident) is Phase.COMMITTED
    assert driver.store.body(tenant_key("t1")) == Tenant(("cart",), 2.0)
    assert version_of(driver, tenant_key("t1")) == driver.store.version


def test_a_transaction_is_refused_as_a_whole_if_one_expected_version_differs() -> None:
    driver = small_store()
    right = version_of(driver, tenant_key("t1"))
    before = driver.store.digest(Scope.everything())
    ident = driver.begin(
        put(tenant_key("t1"), Tenant((), 5.0)),
        put(tenant_key("t2"), Tenant((), 5.0)),
        expected={tenant_key("t1"): right, tenant_key("t2"): right - 1},
    )
    assert driver.phase(ident) is Phase.REFUSED
    assert "expected" in driver.reason(ident)
    assert driver.store.digest(Scope.everything()) == before


def test_expected_version_zero_means_that_it_must_not_exist() -> None:
    driver = small_store()
    taken = driver.begin(put(tenant_key("t1"), Tenant()), expected={tenant_key("t1"): 0})
    new = driver.begin(put(tenant_key("new"), Tenant()), expected={tenant_key("new"): 0})
    assert driver.phase(taken) is Phase.REFUSED
    assert driver.phase(new) is Phase.COMMITTED


def test_a_guarded_change_goes_through_its_joint_phase() -> None:
    driver = small_store()
    old, new = encode_body(SAFE), encode_body(UNSAFE)
    ident = driver.begin(put(class_key("read"), UNSAFE))
    assert driver.phase(ident) is Phase.PREPARED
    driver.advance(ident, Phase.COMMITTED)
    assert driver.phase(ident) is Phase.PREPARED, "not without the joint phase"
    driver.advance(ident, Phase.JOINT)
    held = driver.store.get(class_key("read"))
    assert held == Resource(class_key("read"), driver.store.version, old, Joint(new))
    driver.advance(ident, Phase.COMMITTED)
    assert driver.store.get(class_key("read")) == Resource(class_key("read"), driver.store.version, new)


def test_an_aborted_change_keeps_the_old_body_only() -> None:
    driver = small_store()
    ident = driver.begin(put(class_key("read"), UNSAFE), put(tenant_key("t1"), Tenant((), 9.0)))
    driver.advance(ident, Phase.JOINT)
    assert driver.store.body(tenant_key("t1")) == Tenant(("cart",)), "free changes take effect at the commit"
    driver.advance(ident, Phase.ABORTED)
    held = driver.store.get(class_key("read"))
    assert held is not None
    assert (held.body, held.joint) == (encode_body(SAFE), None)
    assert driver.store.body(tenant_key("t1")) == Tenant(("cart",))
    assert not driver.store.pending


def test_transactions_on_different_keys_can_be_pending_at_once() -> None:
    driver = small_store()
    first = driver.begin(put(class_key("read"), UNSAFE))
    second = driver.begin(put(service_key("mail"), Service(balancers=9, servers=3)))
    third = driver.begin(ban("cart", "s1"))
    for ident in (first, second, third):
        driver.advance(ident, Phase.JOINT)
    driver.advance(second, Phase.COMMITTED)
    driver.advance(first, Phase.ABORTED)
    assert [driver.phase(n) for n in (first, second, third)] == [Phase.ABORTED, Phase.COMMITTED, Phase.JOINT]


def test_a_transaction_that_conflicts_with_a_pending_one_is_refused_until_it_ends() -> None:
    driver = small_store()
    first = driver.begin(put(class_key("read"), UNSAFE))
    same = driver.begin(put(class_key("read"), SAFE))
    referring = driver.begin(put(route_key("/new"), Route("cart", "read")))
    assert {driver.phase(same), driver.phase(referring)} == {Phase.REFUSED}
    assert driver.reason(referring).startswith("conflict")
    driver.advance(first, Phase.JOINT)
    driver.advance(first, Phase.COMMITTED)
    assert driver.phase(driver.begin(put(route_key("/new"), Route("cart", "read")))) is Phase.COMMITTED


def test_what_a_transaction_under_way_names_is_not_changed_meanwhile() -> None:
    driver = small_store()
    moved = driver.begin(put(route_key("/cart"), Route("cart", "send")))
    assert driver.phase(moved) is Phase.PREPARED
    changed = driver.begin(put(class_key("send"), SAFE))
    assert driver.reason(changed).startswith("conflict")


def test_reusing_a_name_needs_a_joint_phase() -> None:
    driver = small_store()
    new = driver.begin(put(route_key("/x"), Route("cart", "send")))
    assert driver.phase(new) is Phase.COMMITTED, "the store knows that the name was never used"
    driver.through(deletes=(route_key("/x"),))
    again = driver.begin(put(route_key("/x"), Route("mail", "read")))
    assert driver.phase(again) is Phase.PREPARED


def test_unknown_entries_change_only_the_version() -> None:
    driver = small_store()
    before = driver.store.snapshot()
    version = driver.store.version
    driver.store.apply(version + 1, b"\xff\x00something")
    driver.advance(4711, Phase.JOINT)
    assert driver.store.snapshot() == before
    assert driver.store.version == version + 2


def test_an_ident_is_decided_once() -> None:
    driver = small_store()
    ident = driver.begin(put(tenant_key("new"), Tenant()))
    driver.ident -= 1
    driver.begin(put(tenant_key("new"), Tenant((), 7.0)))
    assert driver.store.body(tenant_key("new")) == Tenant()
    assert driver.phase(ident) is Phase.COMMITTED


# ---- scopes, changes, digests ----


def test_a_scope_contains_its_services_and_what_applies_to_all_services() -> None:
    driver = small_store()
    held = driver.store.scoped(MAIL)
    assert {r.key for r in held} == {
        service_key("mail"),
        class_key("read"),
        class_key("send"),
        route_key("/mail"),
        route_key("/mail/send"),
        *(tenant_key(f"t{n}") for n in range(0, 10, 2)),
    }
    assert all(MAIL.matches(resource) for resource in held)


def test_changes_are_in_version_order_with_only_the_latest_of_each_key() -> None:
    driver = small_store()
    since = driver.store.version
    driver.through(put(tenant_key("t2"), Tenant(("mail",), 2.0)))
    driver.through(put(tenant_key("t4"), Tenant(("mail",), 2.0)))
    driver.through(put(tenant_key("t2"), Tenant(("mail",), 3.0)))
    changes = driver.store.changes_since(since, MAIL)
    assert names_of(changes) == ["t4", "t2"]
    assert [r.version for r in changes] == [since + 2, since + 3]


def test_a_deletion_is_a_tombstone_in_the_scopes_that_it_concerns() -> None:
    driver = small_store()
    since = driver.store.version
    driver.through(deletes=(tenant_key("t1"),))
    (found,) = driver.store.changes_since(since, CART)
    assert (found.key, found.body, found.live) == (tenant_key("t1"), None, False)
    assert driver.store.changes_since(since, MAIL) == ()
    assert names_of(driver.store.changes_since(since, Scope.everything())) == ["t1"]


def test_a_resource_moved_to_another_service_leaves_a_tombstone_in_its_old_scope() -> None:
    driver = small_store()
    since = driver.store.version
    driver.through(put(route_key("/cart"), Route("mail", "read")))
    (left,) = driver.store.changes_since(since, CART)
    (arrived,) = driver.store.changes_since(since, MAIL)
    assert (left.live, arrived.live) == (False, True)
    both = driver.store.changes_since(since, Scope(frozenset({"cart", "mail"})))
    assert [(r.key, r.live) for r in both] == [(route_key("/cart"), True)]


def test_a_move_in_its_joint_phase_is_in_the_scope_of_both_services() -> None:
    driver = small_store()
    since = driver.store.version
    ident = driver.begin(put(route_key("/mail/send"), Route("cart", "send")))
    driver.advance(ident, Phase.JOINT)
    for scope in (CART, MAIL):
        (found,) = driver.store.changes_since(since, scope)
        assert found.joint is not None
    driver.advance(ident, Phase.ABORTED)
    (left,) = driver.store.changes_since(since, CART)
    assert not left.live


def test_the_digest_depends_on_the_contents_and_not_on_the_history() -> None:
    one, other = small_store(), small_store()
    digests = one.store.digest(CART), one.store.digest(MAIL)
    assert digests == (other.store.digest(CART), other.store.digest(MAIL))
    one.through(deletes=(tenant_key("t1"),))
    assert one.store.digest(CART) != digests[0]
    assert one.store.digest(MAIL) == digests[1]


def test_the_digest_covers_the_joint_phase() -> None:
    driver = small_store()
    before = driver.store.digest(CART)
    ident = driver.begin(put(class_key("read"), UNSAFE))
    assert driver.store.digest(CART) == before
    driver.advance(ident, Phase.JOINT)
    assert driver.store.digest(CART) != before
    driver.advance(ident, Phase.ABORTED)
    held = driver.store.get(class_key("read"))
    assert held is not None
    assert held.joint is None


def test_old_tombstones_are_evicted_and_older_readers_need_a_snapshot() -> None:
    driver = Driver(ConfigStore(most_tombstones=8))
    driver.through(put(service_key("cart"), SERVICE))
    since = driver.store.version
    for n in range(20):
        driver.through(put(tenant_key(f"x{n}"), Tenant(("cart",))))
        driver.through(deletes=(tenant_key(f"x{n}"),))
    assert len(driver.store.index.tombstones) == 8
    assert driver.store.snapshot_needed(since)
    with pytest.raises(CompactedError):
        driver.store.changes_since(since, CART)
    compacted = driver.store.index.compacted
    assert not driver.store.snapshot_needed(compacted)
    assert len(driver.store.changes_since(compacted, CART)) == 4


# ---- snapshots ----


def test_a_restored_store_is_byte_identical_and_stays_identical() -> None:
    driver = small_store()
    driver.through(deletes=(tenant_key("t3"),))
    driver.through(put(route_key("/cart"), Route("mail", "read")))
    first = driver.begin(put(class_key("read"), UNSAFE))
    driver.advance(first, Phase.JOINT)
    driver.begin(ban("mail", "s2"))
    copy = Driver()
    copy.store.restore(driver.store.version, driver.store.snapshot())
    copy.ident = driver.ident
    assert copy.store.snapshot() == driver.store.snapshot()
    for one in (driver, copy):
        one.begin(put(class_key("read"), SAFE))
        one.begin(deletes=(service_key("mail"),))
        one.advance(first, Phase.COMMITTED)
        one.through(word("wary", "s1", service="cart"))
    assert copy.store.snapshot() == driver.store.snapshot()
    for scope in (CART, MAIL, Scope.everything()):
        assert copy.store.digest(scope) == driver.store.digest(scope)
        assert copy.store.changes_since(3, scope) == driver.store.changes_since(3, scope)


def test_an_uncompressed_snapshot_is_accepted() -> None:
    driver = small_store()
    state = decode_state(driver.store.snapshot())
    copy = ConfigStore()
    copy.restore(driver.store.version, msgspec.msgpack.encode(state))
    assert copy.snapshot() == driver.store.snapshot() == encode_state(state)


def test_a_malformed_snapshot_leaves_an_empty_store() -> None:
    driver = small_store()
    driver.store.restore(7, b"\x93nonsense")
    assert (driver.store.version, driver.store.scoped(Scope.everything())) == (7, ())
    assert driver.store.digest(CART) == ConfigStore().digest(CART)


# ---- harm ----


def test_bans_never_cover_all_servers_of_a_service() -> None:
    driver = small_store()
    driver.begin(ban("cart", "s1"))
    driver.through(ban("cart", "s2"))
    last = driver.begin(ban("cart", "s3"))
    assert driver.reason(last).startswith("harm"), "pending bans count too"
    assert driver.store.get(ban_key("cart", "s3")) is None


def test_the_last_good_stays_where_a_change_would_do_harm() -> None:
    driver = small_store()
    before = driver.store.digest(Scope.everything())
    half_of_tenants = driver.begin(deletes=tuple(tenant_key(f"t{n}") for n in range(5)))
    named_class = driver.begin(deletes=(class_key("read"),))
    named_service = driver.begin(deletes=(service_key("mail"),))
    dangling = driver.begin(put(route_key("/x"), Route("nowhere", "read")))
    reasons = [driver.reason(n) for n in (half_of_tenants, named_class, named_service, dangling)]
    assert [reason.split(":")[0] for reason in reasons] == ["harm", "reference", "reference", "reference"]
    assert driver.store.digest(Scope.everything()) == before


def test_deleting_half_of_the_tenants_one_by_one_is_refused() -> None:
    driver = small_store()
    phases = [driver.phase(driver.begin(deletes=(tenant_key(f"t{n}"),))) for n in range(10)]
    assert phases.count(Phase.COMMITTED) == 4

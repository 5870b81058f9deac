"""At most one server holds an address, whatever the list still shows."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dykeshift.interface import ServerEntry, ServerState
from dykeshift.engine.config import Address
from dykeshift.engine.tenants import Listed, Tenants

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.GONE


def listed(number: int, port: int, started: int = 0, state: ServerState = READY) -> Listed:
    entry = ServerEntry(number, 0, 0, 0, state, 1.0, started)
    return Listed(entry, ("", 0) if state is GONE else ("10.0.0.1", port))


def states(settled: list[Listed]) -> dict[int, ServerState]:
    return {one.entry.id: one.entry.state for one in settled}


def test_a_later_server_at_an_address_marks_the_earlier_one_gone() -> None:
    """A keyed request to the old server reached the new one; its retry went to the cell of the old one."""
    tenants = Tenants()
    assert states(tenants.settle(True, [listed(1, 80), listed(2, 81)])) == {1: READY, 2: READY}
    assert states(tenants.settle(False, [listed(3, 80, started=5)])) == {1: GONE, 3: READY}


def test_a_replaced_server_stays_gone_if_it_is_listed_again() -> None:
    tenants = Tenants()
    tenants.settle(True, [listed(1, 80, started=3)])
    tenants.settle(False, [listed(3, 80, started=5)])
    assert states(tenants.settle(False, [listed(1, 80, started=3, state=DRAINING)])) == {1: GONE}
    assert states(tenants.settle(False, [listed(1, 80, state=GONE)])) == {1: GONE}
    assert tenants.tenant_at[("10.0.0.1", 80)].id == 3


def test_a_full_list_with_both_keeps_the_later_one_in_either_order() -> None:
    both = [listed(1, 80, started=3), listed(3, 80, started=5)]
    for rows in (both, both[::-1]):
        assert states(Tenants().settle(True, rows)) == {1: GONE, 3: READY}


def test_a_server_that_changes_its_address_frees_the_previous_one() -> None:
    tenants = Tenants()
    tenants.settle(True, [listed(1, 80)])
    tenants.settle(False, [listed(1, 81, started=2)])
    assert states(tenants.settle(False, [listed(2, 80, started=3)])) == {2: READY}


ROW = st.builds(
    listed, st.integers(0, 5), st.integers(80, 82), st.integers(0, 9), st.sampled_from(ServerState)
)
UPDATES = st.lists(st.tuples(st.booleans(), st.lists(ROW, max_size=5)), max_size=12)


@given(UPDATES)
def test_no_two_that_are_not_gone_share_an_address(updates: list[tuple[bool, list[Listed]]]) -> None:
    tenants, addresses = Tenants(), dict[int, Address]()
    for whole, rows in updates:
        if whole:
            addresses.clear()
        for one in tenants.settle(whole, rows):
            if one.entry.state is GONE:
                addresses.pop(one.entry.id, None)
            else:
                addresses[one.entry.id] = one.address
        assert len(set(addresses.values())) == len(addresses)
        assert {address: entry.id for address, entry in tenants.tenant_at.items()} == {
            a: n for n, a in addresses.items()
        }
        assert tenants.address_of == addresses

"""Tests of the loans between balancers.

The lender lowers its part before the borrower raises its own, and neither clock drift nor lost or late
messages raise the sum above the limit.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykeshift.rig.lent import Lent, play
from dykeshift.shares import loans
from dykeshift.shares.loans import SECOND, LeaseAllocator, LeaseTerms
from dykeshift.shares.wire import Ask, Grant, Return, decode, encode
from dykeshift.view.wire import DatagramError, Seal
from tests.seeded import defect_tests, patched

TERMS = LeaseTerms(lease=5 * SECOND)


def pair() -> tuple[LeaseAllocator, LeaseAllocator]:
    """A lender that needs nothing and a borrower that needs 80, with allocations 100 and 20, both started."""
    shares = []
    for number, allocation in ((0, 100), (1, 20)):
        one = LeaseAllocator(TERMS, number, Random(number))
        one.on_allocation(0, 1, allocation)
        shares.append(one)
    shares[1].on_need(1, 80)
    return shares[0], shares[1]


def lend(now: int, lender: LeaseAllocator, borrower: LeaseAllocator) -> list[Any]:
    """Run one round of requests and answers; returns the grants."""
    grants = []
    for ask, _ in borrower.on_tick(now, [0, 1]):
        for grant, _ in lender.on_message(now, ask):
            grants.append(grant)
            borrower.on_message(now, grant)
    return grants


def test_lent_units_return_to_the_lender_only_after_the_borrower_s_lease_has_ended() -> None:
    lender, borrower = pair()
    lend(0, lender, borrower)
    assert (lender.usable(0, 1), borrower.usable(0, 1)) == (40, 80)
    borrower.on_need(1, 0)  # it requests no more units and returns none
    for at in (TERMS.borrower_term - 1, TERMS.borrower_term, TERMS.settle - 1, TERMS.settle):
        assert borrower.usable(at, 1) == (80 if at < TERMS.borrower_term else 20)
        assert lender.usable(at, 1) == (40 if at < TERMS.settle else 100)


def test_a_lost_grant_lowers_and_a_late_one_does_not_raise() -> None:
    lender, borrower = pair()
    (ask, _), *_ = borrower.on_tick(0, [0, 1])
    (grant, _), *_ = lender.on_message(0, ask)
    assert lender.usable(0, 1) == 40 and borrower.usable(0, 1) == 20  # grant not delivered
    assert lender.on_message(1, ask) and lender.usable(1, 1) == 40  # the repeated request lowers it once
    borrower.on_message(TERMS.borrower_term, grant)
    assert borrower.usable(TERMS.borrower_term, 1) == 20  # the loan had ended before its grant arrived
    other, fresh = pair()
    (ask, _), *_ = fresh.on_tick(0, [0, 1])
    (grant, _), *_ = other.on_message(0, ask)
    for _ in range(3):
        fresh.on_message(1, grant)
    assert fresh.usable(1, 1) == 80


def test_an_answer_to_an_earlier_request_does_not_extend_a_loan() -> None:
    lender, borrower = pair()
    first, *_ = lend(0, lender, borrower)
    again = int(TERMS.renew_after * TERMS.lease)
    assert borrower.on_tick(again, [0, 1])  # the renewal is lost, and an old answer arrives
    borrower.on_message(again, first)
    borrower.on_need(1, 0)
    assert borrower.usable(TERMS.borrower_term, 1) == 20


def test_without_state_it_lends_nothing_and_uses_its_floor() -> None:
    lender, borrower = pair()
    lender.start(0)
    assert lender.usable(0, 1) == 10 and lend(0, lender, borrower) == []
    assert lender.usable(TERMS.settle, 1) == 100 and lend(TERMS.settle, lender, borrower)


def test_needed_units_are_not_lent_and_unneeded_loans_are_returned() -> None:
    lender, borrower = pair()
    lender.on_need(1, 90)
    assert lend(0, lender, borrower) == []
    lender.on_need(1, 0)
    lend(SECOND, lender, borrower)
    borrower.on_need(1, 5)
    for message, _ in borrower.on_tick(2 * SECOND, [0, 1]):
        lender.on_message(2 * SECOND, message)
    assert (lender.usable(2 * SECOND, 1), borrower.usable(2 * SECOND, 1)) == (100, 20)


def test_a_balancer_that_gets_all_the_load_has_enough_units_within_a_lease() -> None:
    day = Lent("moves", 12)
    day.start_all()
    day.run(5)
    day.needs = {(3, limit): 9_000 for limit in (1, 2, 3)}
    began = day.now
    assert day.run(10, lambda: day.spots[3].view.shares.usable(day.spots[3].clock(), 1) >= 9_000)
    assert day.now - began < day.terms.lease and day.broken == []


@pytest.mark.parametrize("seed", range(6))
def test_in_random_runs_the_sum_is_never_above_the_limit(seed: int) -> None:
    assert play(seed).broken == []


def _grants_without_lowering(self: LeaseAllocator, now: int, ask: Ask) -> list[Any]:
    """The lender grants without lowering its own part."""
    before = {limit: holding.lent for limit, holding in self.holdings.items()}
    out = _on_ask(self, now, ask)
    for limit, lent in before.items():
        self.holdings[limit].lent = lent
    self.lent.clear()
    return out


def _lease_from_the_grant(self: LeaseAllocator, now: int, grant: Grant) -> None:
    token, request = self.open_requests.get(grant.request_id, (0, None))
    if request is not None:
        request.requested_at = now
    _on_grant(self, now, grant)


def _accepts_any_answer(self: LeaseAllocator, now: int, grant: Grant) -> None:
    request_id = next(
        (q for q, (token, _) in self.open_requests.items() if token == grant.token), grant.request_id
    )
    _on_grant(self, now, Grant(grant.number, grant.birth, grant.token, request_id, grant.amount))


def _floor_is_the_allocation(self: LeaseAllocator, holding: loans.Holding) -> int:
    return holding.allocation


_on_ask, _on_grant, _floor = LeaseAllocator._on_ask, LeaseAllocator._on_grant, LeaseAllocator._floor
DEFECTS = {
    "borrower raises before the lender lowers": patched(LeaseAllocator, "_on_ask", _grants_without_lowering),
    "a lease that starts at the grant's arrival": patched(LeaseAllocator, "_on_grant", _lease_from_the_grant),
    "an answer to an earlier request counts": patched(LeaseAllocator, "_on_grant", _accepts_any_answer),
    "the whole allocation without state": patched(LeaseAllocator, "_floor", _floor_is_the_allocation),
    "the lender's end before the borrower's": patched(
        LeaseTerms, "settle", property(lambda self: int(self.lease * 0.9))
    ),
}
SEEDS = {"borrower raises before the lender lowers": 0, "the lender's end before the borrower's": 0}
TESTS: dict[str, Callable[[], None]] = {
    "a lease that starts at the grant's arrival": test_a_lost_grant_lowers_and_a_late_one_does_not_raise,
    "an answer to an earlier request counts": test_an_answer_to_an_earlier_request_does_not_extend_a_loan,
    "the whole allocation without state": test_without_state_it_lends_nothing_and_uses_its_floor,
}


test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: play(seed).broken
)


@settings(derandomize=True, database=None, deadline=None)
@given(st.binary(max_size=64), st.sampled_from([72, 73, 74, 75]))
def test_decoding_any_bytes_gives_a_message_or_raises_bad(rest: bytes, kind: int) -> None:
    seal = Seal("fleet", b"key")
    body = bytes((1, kind)) + seal.tag.to_bytes(2, "big") + rest
    for data in (rest, body + seal.mac(body), encode(Return(1, 2, 3), seal)):
        try:
            found = decode(data, seal)
        except DatagramError:
            continue
        assert decode(encode(found, seal), seal) == found

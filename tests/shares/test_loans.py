"""Loans in pairs: the giver lowers before the taker raises, and no clock, loss or late word makes the sum
more."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykeshift.rig.lent import Lent, play
from dykeshift.shares import loans
from dykeshift.shares.loans import SECOND, Shares, Terms
from dykeshift.shares.wire import Ask, Back, Grant, decode, encode
from dykeshift.view.wire import Bad, Seal
from tests.seeded import defect_tests, patched

TERMS = Terms(lease=5 * SECOND)


def pair() -> tuple[Shares, Shares]:
    """A giver that needs nothing and a taker that needs 80, with deeds of 100 and 20, past their starts."""
    made = []
    for number, deed in ((0, 100), (1, 20)):
        one = Shares(TERMS, number, Random(number))
        one.on_deed(0, 1, deed)
        made.append(one)
    made[1].on_need(1, 80)
    return made[0], made[1]


def lend(now: int, giver: Shares, taker: Shares) -> list[Any]:
    """One round of questions and answers; what the giver said."""
    said = []
    for ask, _ in taker.on_tick(now, [0, 1]):
        for grant, _ in giver.on_message(now, ask):
            said.append(grant)
            taker.on_message(now, grant)
    return said


def test_what_is_lent_is_the_giver_s_no_more_and_comes_back_after_the_taker_s_end() -> None:
    giver, taker = pair()
    lend(0, giver, taker)
    assert (giver.usable(0, 1), taker.usable(0, 1)) == (40, 80)
    taker.on_need(1, 0)  # it asks no more, and does not say so
    for at in (TERMS.take - 1, TERMS.take, TERMS.settle - 1, TERMS.settle):
        assert taker.usable(at, 1) == (80 if at < TERMS.take else 20)
        assert giver.usable(at, 1) == (40 if at < TERMS.settle else 100)


def test_a_lost_word_lowers_and_a_doubled_or_late_one_does_not_raise() -> None:
    giver, taker = pair()
    (ask, _), *_ = taker.on_tick(0, [0, 1])
    (grant, _), *_ = giver.on_message(0, ask)
    assert giver.usable(0, 1) == 40 and taker.usable(0, 1) == 20  # lost so far
    assert giver.on_message(1, ask) and giver.usable(1, 1) == 40  # asked twice, lowered once
    taker.on_message(TERMS.take, grant)
    assert taker.usable(TERMS.take, 1) == 20  # its end had come before its word
    other, fresh = pair()
    (ask, _), *_ = fresh.on_tick(0, [0, 1])
    (grant, _), *_ = other.on_message(0, ask)
    for _ in range(3):
        fresh.on_message(1, grant)
    assert fresh.usable(1, 1) == 80


def test_an_answer_to_an_earlier_question_makes_no_loan_longer() -> None:
    giver, taker = pair()
    first, *_ = lend(0, giver, taker)
    again = int(TERMS.renew * TERMS.lease)
    assert taker.on_tick(again, [0, 1])  # asked again; the question is lost, and an old answer comes
    taker.on_message(again, first)
    taker.on_need(1, 0)
    assert taker.usable(TERMS.take, 1) == 20


def test_back_from_nothing_it_lends_nothing_and_uses_its_floor() -> None:
    giver, taker = pair()
    giver.start(0)
    assert giver.usable(0, 1) == 10 and lend(0, giver, taker) == []
    assert giver.usable(TERMS.settle, 1) == 100 and lend(TERMS.settle, giver, taker)


def test_who_needs_its_own_keeps_it_and_what_is_not_needed_goes_back() -> None:
    giver, taker = pair()
    giver.on_need(1, 90)
    assert lend(0, giver, taker) == []
    giver.on_need(1, 0)
    lend(SECOND, giver, taker)
    taker.on_need(1, 5)
    for message, _ in taker.on_tick(2 * SECOND, [0, 1]):
        giver.on_message(2 * SECOND, message)
    assert (giver.usable(2 * SECOND, 1), taker.usable(2 * SECOND, 1)) == (100, 20)


def test_a_load_that_moves_to_one_has_its_part_within_a_lease() -> None:
    day = Lent("moves", 12)
    day.start_all()
    day.run(5)
    day.needs = {(3, limit): 9_000 for limit in (1, 2, 3)}
    began = day.now
    assert day.run(10, lambda: day.spots[3].view.shares.usable(day.spots[3].clock(), 1) >= 9_000)
    assert day.now - began < day.terms.lease and day.broken == []


@pytest.mark.parametrize("seed", range(6))
def test_on_drawn_days_the_sum_is_never_above_the_limit(seed: int) -> None:
    assert play(seed).broken == []


def _raises_first(self: Shares, now: int, ask: Ask) -> list[Any]:
    """The giver lowers with its taker's word only."""
    before = {limit: held.lent for limit, held in self.holdings.items()}
    out = _on_ask(self, now, ask)
    for limit, lent in before.items():
        self.holdings[limit].lent = lent
    self.lent.clear()
    return out


def _counts_from_the_answer(self: Shares, now: int, grant: Grant) -> None:
    token, asked = self.asked.get(grant.question, (0, None))
    if asked is not None:
        asked.asked = now
    _on_grant(self, now, grant)


def _takes_any_answer(self: Shares, now: int, grant: Grant) -> None:
    question = next((q for q, (token, _) in self.asked.items() if token == grant.token), grant.question)
    _on_grant(self, now, Grant(grant.number, grant.birth, grant.token, question, grant.amount))


def _floor_is_all(self: Shares, held: loans.Holding) -> int:
    return held.deed


_on_ask, _on_grant, _floor = Shares._on_ask, Shares._on_grant, Shares._floor
DEFECTS = {
    "taker raises before the giver lowers": patched(Shares, "_on_ask", _raises_first),
    "a lease from the answer's arrival": patched(Shares, "_on_grant", _counts_from_the_answer),
    "an answer to an earlier question counts": patched(Shares, "_on_grant", _takes_any_answer),
    "back from nothing with all of its deed": patched(Shares, "_floor", _floor_is_all),
    "the giver's end before the taker's": patched(
        Terms, "settle", property(lambda self: int(self.lease * 0.9))
    ),
}
SEEDS = {"taker raises before the giver lowers": 0, "the giver's end before the taker's": 0}
TESTS: dict[str, Callable[[], None]] = {
    "a lease from the answer's arrival": test_a_lost_word_lowers_and_a_doubled_or_late_one_does_not_raise,
    "an answer to an earlier question counts": test_an_answer_to_an_earlier_question_makes_no_loan_longer,
    "back from nothing with all of its deed": test_back_from_nothing_it_lends_nothing_and_uses_its_floor,
}


test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: play(seed).broken
)


@settings(derandomize=True, database=None, deadline=None)
@given(st.binary(max_size=64), st.sampled_from([72, 73, 74, 75]))
def test_any_bytes_end_in_a_message_or_in_bad(rest: bytes, kind: int) -> None:
    seal = Seal("fleet", b"key")
    body = bytes((1, kind)) + seal.tag.to_bytes(2, "big") + rest
    for data in (rest, body + seal.of(body), encode(Back(1, 2, 3), seal)):
        try:
            found = decode(data, seal)
        except Bad:
            continue
        assert decode(encode(found, seal), seal) == found

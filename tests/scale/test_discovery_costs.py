"""What discovery bears: longer answers for more entries, first lists for all; defects change the figures."""

from __future__ import annotations

import pytest

from dykeshift.model.calls import Seen
from dykeshift.scale import discovery_costs
from dykeshift.scale.discovery_costs import LIMIT_S, answer_kb, calls_each, costs, first_list_s


def test_an_answer_is_as_long_as_its_entries() -> None:
    one, hundred = answer_kb(1, 1)[0], answer_kb(100, 1)[0]
    assert 0.1 < one < 1.0
    assert 50 * one < hundred < 100 * one


def test_all_have_a_list_and_each_asked_for_it() -> None:
    seen = first_list_s(40, 1)
    assert len(seen) == 40
    assert max(seen) < LIMIT_S
    assert calls_each(40, 1)[0] >= 1.0


def test_more_balancers_than_discovery_works_off_in_its_patience_ask_again() -> None:
    assert max(first_list_s(400, 1)) > max(first_list_s(40, 1))
    assert calls_each(400, 1)[0] > calls_each(40, 1)[0]


def test_who_never_has_a_list_counts_as_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_costs, "_all_begin", lambda balancers, seed: Seen(lists=[5_000_000_000]))
    assert first_list_s(3, 1) == [5.0, LIMIT_S, LIMIT_S]


def test_ids_are_unique() -> None:
    ids = [cost.id for cost in costs()]
    assert len(set(ids)) == len(ids)

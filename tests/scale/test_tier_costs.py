"""What the control tier costs on the virtual clock: one small play, and figures that a defect changes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from dykeshift.configuration.tier import Tier
from dykeshift.scale import tier_costs
from dykeshift.scale.tier_costs import EVENTS, LIMIT_S, TIMES, TierFigures, change_bytes, costs, play

SUBSCRIBERS = 6


@pytest.fixture(scope="module")
def small() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        for name, value in (("SERVICES", 20), ("ROUTES", 40), ("TENANTS", 200), ("SERVICES_HELD", 3)):
            patch.setattr(tier_costs, name, value)
        yield


@pytest.fixture(scope="module")
def figures(small: None) -> TierFigures:
    return play(SUBSCRIBERS, 1)


def test_every_time_and_every_cost_is_there(figures: TierFigures) -> None:
    assert set(figures.seconds) == {name for name, _, _ in TIMES}
    assert all(0 < value < LIMIT_S for values in figures.seconds.values() for value in values)
    for event, _ in EVENTS:
        assert len(figures.spent[event, "subscriber"]) == SUBSCRIBERS
        assert len(figures.spent[event, "voter"]) == 5
        assert len(figures.spent[event, "replica"]) == 4


def test_a_subscriber_stays_within_its_budget(figures: TierFigures) -> None:
    for event, _ in EVENTS:
        assert all(0 <= spent.sent_bytes < 1_000 for spent in figures.spent[event, "subscriber"])
        assert any(spent.sent_bytes > 0 for spent in figures.spent[event, "subscriber"])


def test_the_same_seed_gives_the_same_times(figures: TierFigures) -> None:
    again = tier_costs._Play(SUBSCRIBERS, 1).all()
    assert again.seconds == figures.seconds


def test_what_never_settles_counts_as_the_limit(small: None, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Tier, "settled", lambda self: False)
    monkeypatch.setattr(tier_costs, "LIMIT_S", 10.0)
    world = tier_costs._Play(2, 2)
    world.tier.start_control(20.0)
    world.tier.start_subscribers()
    world._event("rejoin", world._rejoin)
    assert world.figures.seconds["rejoin"] == [10.0]


def test_a_change_is_as_long_as_its_keys() -> None:
    one, ten, hundred = (change_bytes(keys, 1)[0] for keys in (1, 10, 100))
    assert 20 < one < 200
    assert 5 * one < ten < 10 * one < hundred < 100 * one


def test_ids_are_unique() -> None:
    ids = [cost.id for cost in costs()]
    assert len(set(ids)) == len(ids)

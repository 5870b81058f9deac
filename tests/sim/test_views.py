"""Simulated fleets of balancers that keep a view of one another, and seeded defects that they expose."""

from __future__ import annotations

import pytest

from dykeshift.sim.day import play
from dykeshift.sim.referee import VIEW
from dykeshift.sim.scenario import draw, load
from tests.view.defects import DEFECTS


@pytest.mark.parametrize("seed", range(6))
def test_view_bounds_hold_and_views_settle_again(seed: int) -> None:
    result = play(draw(f"{seed}+view"))
    assert result.breaches == []


def test_a_scenario_with_views_is_reproducible_from_its_file() -> None:
    scenario = draw("3+view")
    assert load(scenario.dump()) == scenario and scenario.options.view
    assert play(scenario).digest == play(scenario).digest


@pytest.mark.parametrize(
    "defect, seed",
    [
        ("at_most lowered at suspicion", "0+view"),
        ("incarnation not raised against an accusation", "1+view"),
    ],
)
def test_a_seeded_defect_of_the_view_is_found(
    defect: str, seed: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    DEFECTS[defect](monkeypatch)
    assert VIEW in play(draw(seed), stop_at_first=True).rules

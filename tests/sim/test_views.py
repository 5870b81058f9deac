"""Days of whole balancers that keep a view of one another, on the virtual clock; defects that they find."""

from __future__ import annotations

import pytest

from dykeshift.sim.day import play
from dykeshift.sim.referee import VIEW
from dykeshift.sim.scenario import draw, load
from tests.view.defects import DEFECTS


@pytest.mark.parametrize("seed", range(6))
def test_views_hold_and_settle_again(seed: int) -> None:
    result = play(draw(f"{seed}+view"))
    assert result.breaches == []


def test_a_day_is_one_day_and_its_file_says_all_of_it() -> None:
    day = draw("3+view")
    assert load(day.dump()) == day and day.options.view
    assert play(day).digest == play(day).digest


@pytest.mark.parametrize(
    "defect, seed",
    [
        ("at_most lowered at suspicion", "0+view"),
        ("incarnation not raised against an accusation", "1+view"),
    ],
)
def test_the_day_finds_the_defect(defect: str, seed: str, monkeypatch: pytest.MonkeyPatch) -> None:
    DEFECTS[defect](monkeypatch)
    assert VIEW in play(draw(seed), stop_at_first=True).rules

"""Bounded model checking of the core: the invariants hold; seeded defects are found by a shortest path."""

from __future__ import annotations

import pytest

from dykeshift.rig.explore import Bounds, explore
from tests.agree.defects import DEFECTS


@pytest.mark.parametrize("disk", [True, False])
def test_every_order_within_the_bounds_keeps_the_invariants(disk: bool) -> None:
    result = explore(Bounds(terms=2, flying=2, states=600, disk=disk))
    assert result.broken == "" and {"leader 1", "candidate 0"} <= result.reached


@pytest.mark.parametrize(
    "defect, bounds",
    [
        ("vote not durable", Bounds(terms=1, crashes=0, states=2000)),
        ("one below a majority", Bounds(terms=1, crashes=0, flying=2, states=100)),
    ],
)
def test_the_defect_is_found(defect: str, bounds: Bounds, monkeypatch: pytest.MonkeyPatch) -> None:
    DEFECTS[defect](monkeypatch)
    result = explore(bounds)
    assert result.broken == "two lead in term 1" and len(result.path) <= 6

"""Scenarios are plain data: drawn from a seed, written to a file, read back the same, refused in one line."""

from __future__ import annotations

import json

import pytest

from dykeshift.sim.scenario import FAULTS, HEAL, Scenario, ScenarioError, draw, load


def test_a_seed_draws_the_same_scenario_and_another_seed_another() -> None:
    assert draw("5") == draw("5") != draw("6")


def test_a_scenario_survives_its_file() -> None:
    for seed in range(20):
        scenario = draw(str(seed))
        assert load(scenario.dump()) == scenario


def test_swarms_leave_kinds_out_and_every_kind_comes_up_together_with_every_other() -> None:
    met: set[frozenset[str]] = set()
    sizes = set[int]()
    for seed in range(400):
        kinds = {fault.kind for fault in draw(str(seed)).faults}
        sizes.add(len(kinds))
        met |= {frozenset((a, b)) for a in kinds for b in kinds}
    assert min(sizes) <= 3 and max(sizes) < len(FAULTS) // 2 + 5
    assert len(met) == len(FAULTS) * (len(FAULTS) + 1) // 2


def test_all_faults_end_before_the_healing() -> None:
    for seed in range(100):
        assert all(f.at > 0 and f.at + f.length <= HEAL + 1e-6 for f in draw(str(seed)).faults)


def test_parts_are_taken_out_and_the_rest_stays() -> None:
    scenario = draw("3")
    less = scenario.without({0}, {1, 2})
    assert less.faults == scenario.faults[1:] and less.asks == scenario.asks[:1] + scenario.asks[3:]


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"version": 9}, "version"),
        ({"faults": [{"kind": "earthquake", "at": 1.0}]}, "earthquake"),
        ({"faults": [{"at": 1.0}]}, "TypeError"),
        ({"asks": [{"at": 0.1, "klass": 7, "deadline": 1.0, "cost": 3}]}, "class"),
        ({"options": {"wings": 2}}, "wings"),
    ],
)
def test_what_cannot_be_used_is_said(change: dict[str, object], said: str) -> None:
    raw = {**json.loads(Scenario("1").dump()), **change}
    with pytest.raises(ScenarioError, match=said) as caught:
        load(json.dumps(raw))
    assert "\n" not in str(caught.value)


def test_what_is_no_scenario_at_all_is_said() -> None:
    for text in ("", "[]", "{", "7", '{"version": 1}'):
        with pytest.raises(ScenarioError):
            load(text)

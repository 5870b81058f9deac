"""Scenarios: drawn from a seed, written as JSON, read back unchanged, rejected with a one-line message."""

from __future__ import annotations

import json

import pytest

from dykeshift.sim.scenario import FAULTS, FAULTS_END, Scenario, ScenarioError, draw, load


def test_a_seed_draws_the_same_scenario_and_another_seed_another() -> None:
    assert draw("5") == draw("5") != draw("6")


def test_a_scenario_is_unchanged_by_dump_and_load() -> None:
    for seed in range(20):
        scenario = draw(str(seed))
        assert load(scenario.dump()) == scenario


def test_seeds_omit_kinds_of_faults_and_cover_every_pair_of_kinds() -> None:
    pairs_seen: set[frozenset[str]] = set()
    sizes = set[int]()
    for seed in range(400):
        kinds = {fault.kind for fault in draw(str(seed)).faults}
        sizes.add(len(kinds))
        pairs_seen |= {frozenset((a, b)) for a in kinds for b in kinds}
    assert min(sizes) <= 3 and max(sizes) < len(FAULTS) // 2 + 5
    assert len(pairs_seen) == len(FAULTS) * (len(FAULTS) + 1) // 2


def test_all_faults_end_by_faults_end() -> None:
    for seed in range(100):
        assert all(f.at > 0 and f.at + f.length <= FAULTS_END + 1e-6 for f in draw(str(seed)).faults)


def test_without_removes_the_given_faults_and_requests_only() -> None:
    scenario = draw("3")
    less = scenario.without({0}, {1, 2})
    assert less.faults == scenario.faults[1:] and less.asks == scenario.asks[:1] + scenario.asks[3:]


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"version": 9}, "version"),
        ({"faults": [{"kind": "earthquake", "at": 1.0}]}, "earthquake"),
        ({"faults": [{"at": 1.0}]}, "TypeError"),
        ({"asks": [{"at": 0.1, "klass": 7, "deadline": 1.0, "cost": 3}]}, "class"),
        ({"options": {"wings": 2}}, "wings"),
    ],
)
def test_an_unusable_scenario_is_rejected_with_one_line(change: dict[str, object], message: str) -> None:
    raw = {**json.loads(Scenario("1").dump()), **change}
    with pytest.raises(ScenarioError, match=message) as caught:
        load(json.dumps(raw))
    assert "\n" not in str(caught.value)


def test_text_that_is_no_scenario_is_rejected() -> None:
    for text in ("", "[]", "{", "7", '{"version": 1}'):
        with pytest.raises(ScenarioError):
            load(text)

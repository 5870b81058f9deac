"""What the standing control costs on the virtual clock: small worlds, and figures that a defect changes."""

from __future__ import annotations

from pathlib import Path

import pytest

from dykeshift.cli import main
from dykeshift.rig.ruled import Ruled
from dykeshift.scale import control_costs
from dykeshift.scale.control_costs import (
    CHANGE_LIMIT,
    START_LIMIT,
    carried_kb,
    change_in_force_s,
    costs,
    leader_after_s,
    longest_kb,
    measure,
    membership_quiet_bytes,
    membership_quiet_ms,
    queue_wait_s,
    rejoin_s,
)
from dykeshift.scale.results import ResultsFile, check, load


def test_ids_are_unique_and_their_measurements_sound() -> None:
    ids = [cost.id for cost in costs()]
    assert len(set(ids)) == len(ids)
    cost = next(cost for cost in costs() if cost.id == "consensus.change.longest")
    found = measure(cost, 1, "lifttrail scale control")
    check(ResultsFile(measurements=(found,)))
    assert found.points[0].median == pytest.approx(longest_kb(5, 1)[0])


def test_a_change_that_contradicts_waits_for_a_lease_and_a_free_one_does_not() -> None:
    (contradicting,) = change_in_force_s(5, 1, contradicts=True)
    (free,) = change_in_force_s(5, 1, contradicts=False)
    assert 10.0 < contradicting < 20.0  # a lease of 10 s, on the virtual clock
    assert free < 5.0


def test_the_same_seed_gives_the_same_time() -> None:
    assert change_in_force_s(5, 2, contradicts=True) == change_in_force_s(5, 2, contradicts=True)


def test_a_change_that_never_comes_into_force_counts_as_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Ruled, "in_force", lambda self, version: False)
    assert change_in_force_s(5, 1, contradicts=False) == [CHANGE_LIMIT]


def test_who_asks_faster_than_changes_come_into_force_waits_longer() -> None:
    slow = queue_wait_s(5, 1, members=4, rate=0.3)
    fast = queue_wait_s(5, 1, members=4, rate=100.0)
    assert fast[-1] > 2 * slow[-1]
    assert fast == sorted(fast)


def test_a_place_away_leaves_the_rest_without_a_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_costs, "START_LIMIT", 20.0)
    assert leader_after_s(0, 1, 5)[0] < 20.0
    assert leader_after_s(1, 1, 5) == [20.0]
    assert START_LIMIT > 20.0


def test_a_longer_change_is_more_bytes_for_each() -> None:
    short, long = carried_kb(1, 1, 5)[0], carried_kb(8, 1, 5)[0]
    assert 1.0 < short < long
    assert long > 5 * short


def test_who_comes_back_from_nothing_gets_the_state() -> None:
    assert rejoin_s(4, 1, 5)[0] < 30.0


def test_membership_s_processor_time_is_that_of_every_core() -> None:
    spent = membership_quiet_ms(6, 1)
    assert len(spent) == 6
    assert all(value > 0 for value in spent)
    assert membership_quiet_bytes(6, 1)[0] > 0


def test_the_command_merges_what_it_measured(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "capacity.json"
    arguments = ["scale", "control", "--only", "consensus.change.longest", "--seeds", "1"]
    assert main([*arguments, "--file", str(path)]) == 0
    assert "16.38" in capsys.readouterr().out
    (found,) = load(path).measurements
    assert found.command == " ".join(["lifttrail", *arguments])


def test_a_prefix_that_nothing_has_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "capacity.json"
    assert main(["scale", "control", "--only", "nothing", "--file", str(path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1
    assert not path.exists()

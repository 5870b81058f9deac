"""A run's printed JSON becomes points of measurements, beside those of other sizes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from dykeshift.cli import main
from dykeshift.scale.results import ResultsError, ResultsFile, Role, Situation, check, load
from dykeshift.scale.run_results import decode, measurements, take


def spread(value: float) -> dict[str, Any]:
    return {"median": value, "p99": 2 * value, "most": 3 * value, "count": 8}


def run_json(members: int = 40, scale: float = 1.0, **changes: Any) -> dict[str, Any]:
    rates = {"cpu_ms_s": spread(scale), "datagrams_s": spread(2), "bytes_s": spread(3)}
    rates["received_bytes_s"] = None  # type: ignore[assignment]
    event = {"seconds": 10.0, "settled_s": spread(0.5), "all_settled_s": 2.0, "left_behind": []}
    wanted = {"members": members, "real": 2, "seconds": 120, "seed": 1, "clock": "real", "options": {}}
    return {
        "wanted": {**wanted, "design": "membership", "settled": True, **changes},
        "findings": [],
        "starved": False,
        "events": [
            {"event": "settle", "rates": {}, **event},
            {"event": "rest", "rates": {"voter": rates, "learner": rates}, **event},
            {"event": "zone-back", "rates": {"learner": rates}, **event, "left_behind": [3, 4]},
        ],
        "memory_mb": spread(2.5),
        "cores": {"given": 8},
    }


def encoded(**changes: Any) -> bytes:
    return json.dumps(run_json(**changes)).encode()


def test_what_a_run_printed_is_sound_and_in_its_situation() -> None:
    found = {one.id: one for one in measurements(decode(encoded()))}
    check(ResultsFile(measurements=tuple(found.values())))
    cpu = found["run.membership.rest.learner.cpu"]
    assert (cpu.unit, cpu.points[0].p99, cpu.role) == ("ms/s", 2.0, Role.CONTROL)
    assert found["run.membership.zone-back.left-behind"].points[0].median == 2
    assert found["run.membership.zone-back.settled"].situation is Situation.ZONE_GONE
    assert found["run.membership.rest.memory"].points[0].median == 2.5
    assert not any(name.startswith("run.membership.settle.") for name in found)
    assert not any(name.endswith(".received") for name in found)


def test_a_run_of_another_size_is_another_point() -> None:
    results = take(ResultsFile(), decode(encoded(members=40)))
    results = take(results, decode(encoded(members=930, scale=5.0)))
    cpu = results.find("run.membership.rest.voter.cpu")
    assert cpu is not None
    assert [(point.size, point.median) for point in cpu.points] == [(40, 1.0), (930, 5.0)]


def test_a_run_of_the_same_size_and_seed_replaces_its_points() -> None:
    results = take(ResultsFile(), decode(encoded()))
    results = take(results, decode(encoded(scale=7.0)))
    results = take(results, decode(encoded(scale=9.0, seed=2)))
    cpu = results.find("run.membership.rest.voter.cpu")
    assert cpu is not None
    assert [(point.seed, point.median) for point in cpu.points] == [(1, 7.0), (2, 9.0)]


def test_a_run_of_another_program_says_so() -> None:
    results = take(ResultsFile(), decode(encoded()), "0.1.0+abc")
    assert {one.program for one in results.measurements} == {"0.1.0+abc"}


def test_the_command_says_what_was_asked_for() -> None:
    plain = decode(encoded()).command
    assert plain == "lifttrail scale run --members 40 --real 2 --seconds 120 --seed 1 --json"
    other = decode(encoded(clock="virtual", design="tier")).command
    assert "--clock virtual" in other and "--design tier" in other


def test_machines_of_a_control_tier_are_roles_of_their_own() -> None:
    found = {one.id: one.role for one in measurements(decode(encoded(design="tier")))}
    assert found["run.tier.rest.voter.cpu"] is Role.VOTER
    assert found["run.tier.rest.learner.cpu"] is Role.CONTROL


def test_what_is_no_run_is_one_line() -> None:
    with pytest.raises(ResultsError, match="not the JSON of a scale run"):
        decode(b"{}")


def test_the_command_takes_runs_into_the_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    run, bad, path = tmp_path / "run.json", tmp_path / "bad.json", tmp_path / "capacity.json"
    run.write_bytes(encoded())
    bad.write_text("{}")
    assert main(["scale", "take", str(run), "--file", str(path)]) == 0
    before = path.read_bytes()
    assert load(path).find("run.membership.rest.voter.cpu") is not None
    assert main(["scale", "take", str(run), str(bad), "--file", str(path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1
    assert path.read_bytes() == before


def test_a_whole_daemons_control_stands_beside_a_hollow_members_of_the_same_run() -> None:
    told = run_json()
    told["whole"] = {"daemons": 2, "cpu_ms_s": {"whole_control": 6.0, "hollow_all": 4.0, "ratio": 0.67}}
    found = {one.id: one.points[0].median for one in measurements(decode(json.dumps(told).encode()))}
    assert found["run.membership.control.whole"] == 6.0 and found["run.membership.control.hollow"] == 4.0


def test_runs_on_the_virtual_clock_are_measurements_of_their_own() -> None:
    found = {one.id for one in measurements(decode(encoded(clock="virtual")))}
    assert "virtual.membership.rest.voter.cpu" in found
    assert not any(name.startswith("run.") for name in found)

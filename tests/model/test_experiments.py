"""Experiments: files that are wrong, kills, other code, intervals, reports."""

from __future__ import annotations

import json
from pathlib import Path

import numpy as np
import pytest

from dykeshift.cli import main
from dykeshift.lab import plan as plans
from dykeshift.lab import runs
from dykeshift.lab.plan import PlanError, cells, parse
from dykeshift.lab.stats import difference, estimate, figure

Capture = pytest.CaptureFixture[str]
SMALL = """
name = "small"
policies = ["lifttrail", "random"]
seeds = 2
show = ["in_aim", "percentiles_ms.99"]
[day]
warm_s = 0.1
load = [{ seconds = 0.5, load = 0.5 }]
[[axis]]
name = "senders"
path = "senders.count"
values = [4, 6]
"""


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "small.toml"
    path.write_text(SMALL)
    return path


def test_a_grid_is_played_once_and_goes_on_after_a_kill(file: Path) -> None:
    plan, text = plans.read(file)
    out, played = file.with_suffix(""), list[str]()
    rows = runs.execute(plan, text, out, 1, lambda n, row: played.append(row["key"]))
    assert len(rows) == 8 == len(set(played)) and [r["key"] for r in rows] == [c.key for c in cells(plan)]
    results = out / runs.RESULTS
    whole = results.read_bytes()
    results.write_bytes(whole[: whole.rfind(b"\n", 0, len(whole) - 1) - 40])  # killed in the middle of a line
    played.clear()
    again = runs.execute(plan, text, out, 2, lambda n, row: played.append(row["key"]))
    assert played and len(played) == 2
    timed = ("module_us", "model_us", "list_ms", "tries_per_s")
    for before, after in zip(rows, again, strict=True):
        assert {k: v for k, v in before["figures"].items() if k not in timed} == {
            k: v for k, v in after["figures"].items() if k not in timed
        }
    assert len(results.read_bytes().splitlines()) == 8


def test_results_of_other_code_or_another_plan_are_not_mixed(
    file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    plan, text = plans.read(file)
    out = file.with_suffix("")
    runs.execute(plan, text, out, 1, lambda n, row: None)
    with pytest.raises(PlanError, match="results of another plan"):
        runs.execute(plan, text + "# changed", out, 1, lambda n, row: None)
    monkeypatch.setattr(runs, "code_digest", lambda plan: "other")
    with pytest.raises(PlanError, match="results of other code"):
        runs.execute(plan, text, out, 1, lambda n, row: None)


def test_the_codes_digest_follows_the_policies_files(tmp_path: Path) -> None:
    policy = tmp_path / "own.py"
    policy.write_text("from dykeshift.rules import Balancer\n")
    plan = parse(SMALL.replace('"random"', f'"file:{policy}"'))
    before = plans.code_digest(plan)
    assert before == plans.code_digest(plan)
    policy.write_text("from dykeshift.rules import Balancer as Balancer\n")
    assert plans.code_digest(plan) != before
    policy.unlink()
    with pytest.raises(PlanError, match="cannot read it"):
        plans.code_digest(plan)


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("seeds = 2", "seeds = 0", "$.seeds"),
        ('"random"', '"best"', "there is no policy 'best'"),
        ('count"', 'cuont"', "unknown field `cuont` - at `$.senders`"),
        ("[4, 6]", "[0]", "`$.senders.count`"),
        ("[4, 6]", "[]", "needs a path with values"),
        ("[[axis]]", "[[axes]]", "unknown field `axes`"),
        ("load = 0.5 }", "load = 'x' }", "`$.load[0].load`"),
        ("warm_s = 0.1", "warm_s = 9", "as long as the day"),
        ("senders.count", "load.7.load", "no place 'load.7.load'"),
        ("[day]", "[day", "Expected ']'"),
        ('name = "small"', "", "missing required field `name`"),
    ],
)
def test_a_bad_file_is_one_line_with_its_place(
    old: str, new: str, said: str, file: Path, capsys: Capture
) -> None:
    file.write_text(SMALL.replace(old, new, 1))
    assert main(["experiment", "run", str(file)]) == 2
    err = capsys.readouterr().err
    assert err.count("\n") == 1 and str(file) in err and said in err


def test_the_commands_run_compare_and_report(file: Path, capsys: Capture) -> None:
    out = str(file.with_suffix(""))
    assert main(["experiment", "run", str(file), "--jobs", "1", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["runs"] == 8
    assert main(["experiment", "compare", out, "--baseline", "random", "--json"]) == 0
    lines = json.loads(capsys.readouterr().out)
    assert {line["policy"] for line in lines} == {"lifttrail"} and all(x["seeds"] == 2 for x in lines)
    assert main(["experiment", "compare", out, out, "--figure", "in_aim", "--json"]) == 0
    assert all(line["mean"] == 0 for line in json.loads(capsys.readouterr().out))
    assert main(["experiment", "report", out, "--plots", out]) == 0
    assert (file.with_suffix("") / "in_aim.svg").read_text().startswith("<svg")
    page = (file.with_suffix("") / "report.html").read_text()
    assert page.count("<svg") == 2 and "lifttrail experiment run" in page and "http-equiv" not in page
    assert main(["experiment", "compare", "/no/such"]) == main(["experiment", "report", "/no/such"]) == 2
    assert main(["experiment", "compare", out, "--baseline", "best"]) == 2


def test_the_simulation_is_a_subject_too(tmp_path: Path) -> None:
    text = 'name = "days"\nsubject = "simulation"\nseeds = [0]'
    (row,) = runs.execute(parse(text), text, tmp_path / "out", 1, lambda n, row: None)
    assert row["figures"]["broken"] == 0 and row["figures"]["requests"] > 10


def test_real_processes_and_the_model_agree_on_a_small_day(tmp_path: Path) -> None:
    """The same day in both; bounds for a busy machine (benchmarks/fleet_check.py has figures)."""
    text = """
name = "both"
seeds = [1]
[day]
warm_s = 0
load = [{ seconds = 2.5, load = 0.15 }]
senders = { count = 4, slots = 4, kinds = [{ share = 0.5, speed = 0.6 }] }
balancers = { count = 2 }
work = { law = "constant", mean_ms = 40 }
"""
    figures = []
    for subject in ("processes", "model"):
        told = f'subject = "{subject}"\n{text}'
        (row,) = runs.execute(parse(told), told, tmp_path / subject, 1, lambda n, row: None)
        figures.append(row["figures"])
    real, model = figures
    assert real["served"] > 0.97 and model["served"] > 0.97
    assert abs(real["attempts"] - model["attempts"]) < 0.25
    assert model["percentiles_ms"]["50"] * 0.8 < real["percentiles_ms"]["50"]


@pytest.mark.parametrize(
    ("day", "said"),
    [
        ("troubles = [{ kind = 'hang', at = 1 }]", "no troubles"),
        ("senders = { count = 100 }", "at most 60 senders"),
        ("work = { law = 'exponential' }", "work is constant"),
        ("load = [{ seconds = 9, swing = 1 }]", "one steady"),
    ],
)
def test_what_real_processes_cannot_play_is_refused(day: str, said: str) -> None:
    work = "" if "work" in day else "work = { law = 'constant' }\n"
    with pytest.raises(PlanError, match=said):
        parse(f"name = 'x'\nsubject = 'processes'\n[day]\nwarm_s = 0.5\n{work}{day}")


def test_intervals_cover_the_mean_as_often_as_they_say() -> None:
    rng = np.random.default_rng(3)
    covered = sum(
        low <= 5.0 <= high
        for low, high in (estimate(rng.normal(5.0, 2.0, 20).tolist())[1:3] for _ in range(300))
    )
    assert 0.88 < covered / 300 < 0.98
    days = rng.normal(100.0, 50.0, 30)  # days differ by far more than the policies do
    ours = {n: float(d + 1 + rng.normal(0, 0.5)) for n, d in enumerate(days)}
    theirs = {n: float(d) for n, d in enumerate(days)}
    found = difference(ours, theirs)
    assert 0.5 < found.low < 1.0 < found.high < 1.5 and found.seeds == 30


def test_figures_are_found_by_path() -> None:
    figures = {"a": 1, "p": {"99.9": 7.5}, "b": {}}
    assert figure(figures, "a") == 1 and figure(figures, "p.99.9") == 7.5
    assert all(np.isnan(figure(figures, name)) for name in ("c", "p", "a.x", "b.x"))

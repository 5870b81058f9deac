"""The capacity page: it agrees with its file, and defects seeded into either are each found."""

from __future__ import annotations

import re
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from dykeshift.cli import main
from dykeshift.cli.scale_page import command_fault, stale_commands
from dykeshift.scale import evaluate, page
from dykeshift.scale.audit import faults, stale
from dykeshift.scale.evaluate import Verdict, as_found, rank, work_out, work_out_all
from dykeshift.scale.lines import LINES, Line, Term, Way
from dykeshift.scale.mechanisms import MECHANISMS
from dykeshift.scale.page import number_text, render
from dykeshift.scale.results import Measurement, ResultsFile, Role, Situation, load, save
from dykeshift.scale.slopes import Basis, FitError, Statistic
from dykeshift.scale.targets import Bound, Target
from tests.scale.test_results import measurement, point

ROOT = Path(__file__).resolve().parents[2]
RESULTS, PAGE = ROOT / "benchmarks/results/capacity.json", ROOT / "docs/CAPACITY.md"
TARGET = Target("cost", 18.0, "ms/s")
QUIET = "membership.quiet.cpu"


def line(*terms: Term, target: Target = TARGET) -> Line:
    return Line(
        "a.line", Role.CONTROL, Situation.AT_REST, "cost", target, "membership", (Way("stands", terms),)
    )


def quiet(sizes: tuple[int, ...] = (40, 100, 200), slope: float = 0.01, **changes: object) -> Measurement:
    points = tuple(point(size, 1 + slope * size) for size in sizes)
    return measurement(QUIET, points=points, command="lifttrail scale control", **changes)


def held(*measurements: Measurement) -> ResultsFile:
    return ResultsFile(measurements=measurements)


# ---- the committed page ----


def test_the_page_is_what_its_file_gives() -> None:
    assert not stale(PAGE.read_text(encoding="utf-8"), load(RESULTS)), "lifttrail scale page --write"


def test_nothing_is_wrong_with_the_page() -> None:
    assert faults(PAGE.read_text(encoding="utf-8"), load(RESULTS)) == []


def test_every_command_of_the_file_exists(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert stale_commands(load(RESULTS)) == []


def test_every_role_has_a_line_in_every_situation() -> None:
    there = {(one.role, one.situation) for one in LINES}
    assert there == {(role, situation) for role in Role for situation in Situation}


def test_lines_are_unique_and_their_mechanisms_known() -> None:
    ids = [one.id for one in LINES]
    assert len(set(ids)) == len(ids)
    assert {one.mechanism for one in LINES} <= {one.key for one in MECHANISMS}


def test_every_line_of_the_page_has_a_verdict_and_a_figure_only_where_it_was_run() -> None:
    for worked in work_out_all(load(RESULTS)):
        assert worked.verdict in Verdict
        assert (worked.value is None) == bool(worked.missing)
        if worked.value is None:
            assert worked.verdict is Verdict.NOT_SHOWN


# ---- working out ----


def test_an_extrapolation_is_never_called_measured() -> None:
    worked = work_out(line(Term(QUIET, 930)), held(quiet()))
    assert worked.value is not None
    assert (worked.value.basis, worked.verdict) == (Basis.EXTRAPOLATED, Verdict.FITS)
    assert worked.value.value == pytest.approx(10.3)
    assert worked.value.reach == pytest.approx(4.65)


def test_a_sum_is_as_weak_as_its_weakest_term() -> None:
    other = measurement("other", points=(point(930, 5.0),))
    worked = work_out(line(Term(QUIET, 930), Term("other", 930, 2.0)), held(quiet(), other))
    assert worked.value is not None
    assert worked.value.basis is Basis.EXTRAPOLATED
    assert worked.value.value == pytest.approx(20.3)
    assert worked.verdict is Verdict.DOES_NOT_FIT
    assert worked.factor == pytest.approx(20.3 / 18)


def test_two_sizes_show_nothing_beyond_them() -> None:
    worked = work_out(line(Term(QUIET, 930)), held(quiet((40, 200))))
    assert worked.verdict is Verdict.NOT_SHOWN
    assert "2 of at least 3 sizes" in worked.missing[0]
    measured = work_out(line(Term(QUIET, 200)), held(quiet((40, 200))))
    assert measured.verdict is Verdict.FITS


def test_no_measurement_is_no_figure() -> None:
    worked = work_out(line(Term("nothing", 930)), held(quiet()))
    assert (worked.verdict, worked.value) == (Verdict.NOT_SHOWN, None)
    assert worked.missing == ("no measurement nothing",)


def test_the_newest_way_that_was_run_has_the_verdict() -> None:
    ways = (Way("new", (Term("new", 40),)), Way("old", (Term(QUIET, 40),)))
    both = replace(line(), ways=ways)
    new = measurement("new", points=(point(40, 99.0),))
    before = work_out(both, held(quiet()))
    after = work_out(both, held(quiet(), new))
    assert before.value is not None and after.value is not None
    assert (before.value.way, before.verdict) == ("old", Verdict.FITS)
    assert (after.value.way, after.verdict) == ("new", Verdict.DOES_NOT_FIT)
    assert [one.way for one in after.others] == ["old"]


def test_a_way_that_shows_nothing_leaves_the_verdict_to_the_next() -> None:
    ways = (Way("new", (Term("new", 40),)), Way("old", (Term(QUIET, 40),)))
    starved = measurement("new", unit="s", quantity="time", points=(point(40, 99.0),), starved=True)
    worked = work_out(replace(line(), ways=ways), held(quiet(), starved))
    assert worked.value is not None
    assert (worked.value.way, worked.verdict) == ("old", Verdict.FITS)
    assert [one.way for one in worked.others] == ["new"]


def test_ways_of_a_line_have_names_of_their_own() -> None:
    for one in LINES:
        names = [way.name for way in one.ways]
        assert len(set(names)) == len(names), one.id


def test_at_least_turns_the_factor_round() -> None:
    wanted = Target("length", 10.0, "KB", Bound.AT_LEAST)
    worked = work_out(
        line(Term("length", 1), target=wanted), held(measurement("length", points=(point(1, 5.0),)))
    )
    assert (worked.verdict, worked.factor) == (Verdict.DOES_NOT_FIT, 2.0)


def test_a_time_of_a_starved_machine_is_no_proof_against() -> None:
    slow = measurement("slow", unit="s", quantity="time", points=(point(930, 99.0),), starved=True)
    quick = measurement("slow", unit="s", quantity="time", points=(point(930, 1.0),), starved=True)
    assert work_out(line(Term("slow", 930)), held(slow)).verdict is Verdict.NOT_SHOWN
    assert work_out(line(Term("slow", 930)), held(quick)).verdict is Verdict.FITS


def test_a_run_that_gave_up_is_no_proof_for() -> None:
    changes = {"unit": "s", "conditions": {"limit": "12 s"}}
    given_up = measurement("late", points=(point(930, 12.0),), **changes)
    assert work_out(line(Term("late", 930)), held(given_up)).verdict is Verdict.NOT_SHOWN
    wanted = Target("time", 10.0, "s")
    worked = work_out(line(Term("late", 930), target=wanted), held(given_up))
    assert worked.verdict is Verdict.DOES_NOT_FIT
    assert worked.value is not None and worked.value.at_least


def test_what_others_stand_on_comes_first() -> None:
    lines = {one.mechanism: one for one in LINES}
    needed, leaning = lines["configuration"], lines["services"]
    far = replace(line(Term(QUIET, 930)), mechanism=leaning.mechanism, target=Target("cost", 0.1, "ms/s"))
    near = replace(line(Term(QUIET, 930)), mechanism=needed.mechanism, target=Target("cost", 5.0, "ms/s"))
    ranked = rank(work_out_all(held(quiet()), (far, near)))
    assert [one.mechanism.key for one in ranked] == ["configuration", "services"]
    assert ranked[0].standing == 1
    assert ranked[1].worst.factor > ranked[0].worst.factor


def test_as_it_was_found_is_the_oldest_way() -> None:
    ways = (Way("new", (Term("new", 40),)), Way("old", (Term(QUIET, 40),)))
    both = replace(line(target=Target("cost", 0.5, "ms/s")), ways=ways, mechanism="configuration")
    results = held(quiet(), measurement("new", points=(point(40, 0.1),)))
    assert rank(work_out_all(results, (both,))) == ()
    assert [one.mechanism.key for one in rank(work_out_all(results, as_found((both,))))] == ["configuration"]


# ---- rendering ----


def test_the_same_file_gives_the_same_text() -> None:
    results = held(quiet(), measurement("other"))
    assert render(results) == render(held(*results.measurements[::-1]))


def test_an_empty_file_shows_nothing() -> None:
    text = render(held())
    assert faults(text, held()) == []
    counts = re.search(r"Of (\d+) lines: 0 fit, 0 do not fit, (\d+) are not shown", text)
    assert counts is not None and counts[1] == counts[2] == str(len(LINES))


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (0.01234, "0.0123"), (999.4, "999"), (1_234.0, "1,230"), (1e9, "1,000,000,000")],
)
def test_numbers_have_three_digits(value: float, text: str) -> None:
    assert number_text(value) == text


# ---- seeded defects ----


def line_row(text: str, name: str) -> str:
    return next(row for row in text.splitlines() if row.startswith(f"| `{name}` |"))


def altered(text: str, row: str, cell: int, to: str) -> str:
    cells = row.split("|")
    cells[cell + 1] = f" {to} "
    return text.replace(row, "|".join(cells))


CELLS = {heading: place for place, heading in enumerate(page.LINE_HEADINGS)}
NAME = "control.membership.cpu"


def test_seeded_a_figure_altered_in_the_page() -> None:
    results = held(quiet())
    text = render(results)
    worse = altered(text, line_row(text, NAME), CELLS["at the target"], "3.14 ms/s")
    assert stale(worse, results) and not stale(text, results)


def test_seeded_a_median_altered_in_the_page() -> None:
    results = held(quiet())
    text = render(results)
    worse = text.replace("1.4, 2, 3", "1.4, 2, 2")
    assert faults(text, results) == []
    assert faults(worse, results) == [f"{QUIET}: figures that are not the file's"]


def test_seeded_an_extrapolation_called_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    """By hand, and by a rendering that calls everything so: it agrees with itself, and is found."""
    results = held(quiet())
    text = render(results)
    by_hand = altered(text, line_row(text, NAME), CELLS["basis"], "measured (as it stands)")
    assert faults(by_hand, results) == [f"{NAME}: called measured, but extrapolated"]
    monkeypatch.setattr(page, "_basis_text", lambda value: f"measured ({value.way})")
    assert not stale(render(results), results)
    assert f"{NAME}: called measured, but extrapolated" in faults(render(results), results)


def test_seeded_an_interpolation_called_measured() -> None:
    results = held(quiet((40, 100, 2_000)))
    text = render(results)
    worse = text.replace("interpolated (as it stands)", "measured (as it stands)")
    assert worse != text
    assert faults(worse, results) == [f"{NAME}: called measured, but interpolated"]


def test_seeded_a_line_without_a_verdict(monkeypatch: pytest.MonkeyPatch) -> None:
    results = held(quiet())
    text = render(results)
    worse = altered(text, line_row(text, NAME), CELLS["verdict"], "")
    assert f"{NAME}: no verdict" in faults(worse, results)
    monkeypatch.setattr(page, "_line_cells", lambda worked: (f"`{worked.line.id}`",))
    assert f"{NAME}: no verdict" in faults(render(results), results)


def test_seeded_a_line_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    results = held(quiet())
    text = render(results)
    worse = text.replace(line_row(text, NAME) + "\n", "")
    assert faults(worse, results) == [f"{NAME}: not on the page"]


def test_seeded_a_figure_without_a_measurement(monkeypatch: pytest.MonkeyPatch) -> None:
    text = render(held(quiet()))
    assert f"{NAME}: a figure without a measurement" in faults(text, held())


def test_seeded_a_verdict_without_a_figure() -> None:
    text = render(held())
    worse = altered(text, line_row(text, NAME), CELLS["verdict"], "fits")
    assert faults(worse, held()) == [f"{NAME}: a verdict without a figure and its factor"]


def test_seeded_a_fit_from_two_sizes(monkeypatch: pytest.MonkeyPatch) -> None:
    short = held(quiet((40, 200)))
    text = render(short)
    assert faults(text, short) == []
    monkeypatch.setattr("dykeshift.scale.slopes.LEAST_SIZES", 2)
    worse = render(short)
    assert f"{QUIET}: a fit from fewer than 3 sizes" in faults(worse, short)


def test_seeded_a_measurement_taken_back_leaves_the_page_stale() -> None:
    results = held(quiet(), measurement("membership.quiet.bytes"))
    assert stale(render(results), held(quiet()))


@pytest.mark.parametrize(
    ("command", "fault"),
    [
        ("lifttrail scale control --only x --seeds 3", None),
        ("lifttrail scale gone", "no such command"),
        ("lifttrail scale", "no such command"),
        ("lifttrail scale control --melt 3", "no option --melt"),
        ("python -m benchmarks.versions --seeds 3", None),
        ("python -m benchmarks.gone --seeds 3", "no such module"),
        ("python measure.py", "not a command of this repository"),
    ],
)
def test_seeded_a_stale_command(command: str, fault: str | None, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert command_fault(command) == fault
    one = msgspec.structs.replace(quiet(), command=command)
    assert bool(stale_commands(held(one))) == (fault is not None)


def test_seeded_a_missing_measurement_taken_for_nought(monkeypatch: pytest.MonkeyPatch) -> None:
    """A line's value is not made up: what the fit refuses is not shown."""

    def made_up(measurement: Measurement, size: float, statistic: Statistic) -> None:
        raise FitError("refused")

    monkeypatch.setattr(evaluate, "estimate", made_up)
    assert work_out(line(Term(QUIET, 930)), held(quiet())).verdict is Verdict.NOT_SHOWN


# ---- the command ----


def test_the_command_writes_checks_and_refuses(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path, text = tmp_path / "capacity.json", tmp_path / "CAPACITY.md"
    save(held(quiet()), path)
    places = ["--file", str(path), "--page", str(text)]
    assert main(["scale", "page", "--check", *places]) == 2
    assert capsys.readouterr().err.count("\n") == 1
    assert main(["scale", "page", "--write", *places]) == 0
    assert main(["scale", "page", "--check", *places]) == 0
    assert main(["scale", "page", "--file", str(path)]) == 0
    assert capsys.readouterr().out == text.read_text(encoding="utf-8")
    text.write_text(text.read_text(encoding="utf-8").replace("extrapolated", "measured"), encoding="utf-8")
    assert main(["scale", "page", "--check", *places]) == 1
    assert NAME in capsys.readouterr().err

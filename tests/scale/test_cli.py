"""`lifttrail scale slopes`: its lines, its JSON, and what it refuses in a line."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from dykeshift.cli import Usage, main
from dykeshift.cli.scale import read_sizes
from dykeshift.scale.results import record
from tests.scale.test_results import measurement, point


@pytest.fixture
def results(tmp_path: Path) -> str:
    path = tmp_path / "capacity.json"
    grows = measurement("grows", points=tuple(point(size, 1 + 0.5 * size) for size in (40, 200, 930)))
    short = measurement("short", points=(point(40), point(930)))
    record([grows, short], path)
    return str(path)


def test_slopes_says_each_fit_in_a_line(results: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["scale", "slopes", "--file", results]) == 0
    grows, short = capsys.readouterr().out.splitlines()
    assert "1 + 0.5 x n" in grows and "members 40 to 930" in grows and "residual 0.0%" in grows
    assert "no fit" in short and "2 of at least 3 sizes" in short


def test_slopes_as_one_json_object(results: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["scale", "slopes", "--file", results, "--json"]) == 0
    told = json.loads(capsys.readouterr().out)
    grows, short = told["fits"]
    assert grows["growth"] == "n" and grows["slope"] == pytest.approx(0.5) and grows["range"] == [40, 930]
    assert "refused" in short and "slope" not in short


@pytest.mark.parametrize("text", ["", "{", '{"format": 9, "measurements": []}'])
def test_a_bad_file_is_a_line_and_exit_2(
    text: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "capacity.json"
    path.write_text(text)
    assert main(["scale", "slopes", "--file", str(path)]) == 2
    told = capsys.readouterr()
    assert told.err.count("\n") == 1 and "capacity.json" in told.err and not told.out


def test_sizes_are_read_or_refused() -> None:
    assert read_sizes("40, 200,930") == (40, 200, 930)
    for text in ("", "40,", "a", "40,40", "0", "-3", "4.5"):
        with pytest.raises(Usage):
            read_sizes(text)


def test_slopes_measures_first_where_it_is_asked_to(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path, calls = tmp_path / "capacity.json", list[list[str]]()

    def measures(arguments: list[str]) -> int:
        calls.append(arguments)
        sizes = [float(word) for word in arguments[3].split(",")]
        record([measurement("grows", points=tuple(point(size, size) for size in sizes))], path)
        return 0

    monkeypatch.setattr("dykeshift.cli.main", measures)
    asked = ["scale", "slopes", "--run", "run", "--sizes", "4,8,12", "--file", str(path), "--", "--seed", "7"]
    assert main(asked) == 0
    assert calls[2] == ["scale", "run", "--members", "12", "--out", str(path), "--seed", "7"]
    assert len(calls) == 3
    assert main(["scale", "slopes", "--run", "data", "--sizes", "4,8,12", "--file", str(path)]) == 0
    assert calls[3] == ["scale", "data", "--sizes", "4,8,12", "--out", str(path)]
    assert "grows" in capsys.readouterr().out


def test_slopes_stops_where_a_measurement_fails(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    calls = list[list[str]]()

    def fails(arguments: list[str]) -> int:
        calls.append(arguments)
        return 1

    monkeypatch.setattr("dykeshift.cli.main", fails)
    asked = ["scale", "slopes", "--run", "run", "--file", str(tmp_path / "none.json")]
    assert main(asked) == 1
    assert len(calls) == 1


@pytest.mark.parametrize(
    "arguments", [["--run", "run", "--sizes", "4,8"], ["--seed", "7"], ["--run", "melt"]]
)
def test_slopes_refuses_in_a_line(
    arguments: list[str], results: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["scale", "slopes", "--file", results, *arguments]) == 2
    assert capsys.readouterr().err.count("\n") == 1

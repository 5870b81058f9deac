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

"""The results file: sound or one clear error, merged by id, stable text, replaced atomically."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from dykeshift.scale.results import (
    ClockKind,
    Measurement,
    Point,
    ResultsError,
    ResultsFile,
    Role,
    Situation,
    check,
    encode,
    load,
    record,
    save,
    summarise,
)


def point(size: float, median: float = 1.0, **changes: Any) -> Point:
    return Point(**{"size": size, "median": median, "rounds": 1, "seed": 1, **changes})


def measurement(identifier: str = "hollow.cpu", **changes: Any) -> Measurement:
    fields: dict[str, Any] = {
        "id": identifier,
        "name": "processor time of a hollow member",
        "role": Role.CONTROL,
        "quantity": "processor time",
        "unit": "ms/s",
        "situation": Situation.AT_REST,
        "parameter": "members",
        "parameter_unit": "members",
        "points": (point(40), point(200), point(930)),
        "command": "lifttrail scale run",
        "program": "0.1.0",
        "clock": ClockKind.REAL,
    }
    return Measurement(**{**fields, **changes})


def test_what_is_saved_is_loaded(tmp_path: Path) -> None:
    path = tmp_path / "results" / "capacity.json"
    results = ResultsFile(measurements=(measurement("a"), measurement("b", conditions={"classes": "3"})))
    save(results, path)
    assert load(path) == results


def test_the_text_does_not_depend_on_the_order() -> None:
    ones = [measurement(name) for name in ("a", "b.c", "b-d")]
    text = encode(ResultsFile(measurements=tuple(ones)))
    shuffled = [msgspec.structs.replace(one, points=one.points[::-1]) for one in ones]
    random.Random(5).shuffle(shuffled)
    assert encode(ResultsFile(measurements=tuple(shuffled))) == text
    assert text.index(b'"a"') < text.index(b'"b-d"') < text.index(b'"b.c"')


def test_merging_replaces_by_id_and_keeps_the_rest(tmp_path: Path) -> None:
    path = tmp_path / "capacity.json"
    record([measurement("a"), measurement("b")], path)
    after = record([measurement("b", unit="s")], path)
    assert load(path) == after
    assert [(one.id, one.unit) for one in after.measurements] == [("a", "ms/s"), ("b", "s")]


def test_one_measurement_given_twice_is_refused() -> None:
    with pytest.raises(ResultsError, match="'a': there twice"):
        ResultsFile().merged([measurement("a"), measurement("a")])


def test_a_failed_save_leaves_the_old_file_and_nothing_else(tmp_path: Path) -> None:
    path = tmp_path / "capacity.json"
    save(ResultsFile(measurements=(measurement(),)), path)
    before = path.read_bytes()
    with pytest.raises(ResultsError):
        save(ResultsFile(measurements=(measurement(points=()),)), path)
    assert path.read_bytes() == before
    assert [file.name for file in tmp_path.iterdir()] == ["capacity.json"]


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"id": "Not An Id"}, "id"),
        ({"command": " "}, "command"),
        ({"program": "a\nb"}, "program"),
        ({"points": ()}, "no points"),
        ({"points": (point(40), point(40))}, "one size and seed"),
        ({"points": (point(40, float("nan")),)}, "finite"),
        ({"points": (point(40, -1.0),)}, "negative"),
        ({"points": (point(40, 2.0, p99=1.0),)}, "ascend"),
        ({"points": (point(40, 2.0, p99=3.0, most=2.5),)}, "ascend"),
        ({"points": (point(40, rounds=0),)}, "rounds"),
    ],
)
def test_what_is_not_sound_is_one_line(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(ResultsError, match=text) as caught:
        check(ResultsFile(measurements=(measurement(**changes),)))
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        '{"format": 2, "measurements": []}',
        '{"format": 1, "measurements": [{}]}',
        '{"format": 1, "measurements": [], "more": 1}',
        "\xff",
    ],
)
def test_a_file_that_is_none_is_one_line_with_its_name(tmp_path: Path, text: str) -> None:
    path = tmp_path / "capacity.json"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(ResultsError, match="capacity.json") as caught:
        load(path)
    assert "\n" not in str(caught.value)


def test_no_file_is_one_line(tmp_path: Path) -> None:
    with pytest.raises(ResultsError, match="No such file"):
        load(tmp_path / "none.json")


def test_a_summary_is_median_nearest_rank_and_most() -> None:
    seen = summarise([float(number) for number in range(1, 201)], size=40, seed=7)
    assert (seen.median, seen.p99, seen.most, seen.rounds, seen.seed) == (100.5, 198.0, 200.0, 200, 7)
    assert summarise([3.0], size=1, seed=1).p99 == 3.0
    with pytest.raises(ValueError, match="no samples"):
        summarise([], size=1, seed=1)

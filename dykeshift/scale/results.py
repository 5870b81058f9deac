"""The results file of the scale runs: measurements by id, the one source of `docs/CAPACITY.md`.

Theory of operation. A command measures one quantity at several sizes and hands over one `Measurement` whose
points are summaries (`summarise`) of what was seen at each size. `record` merges measurements into the
file: one with an id that is there already replaces it whole, all others stay. The text of the file is
stable (measurements by id, points by size and seed, keys sorted), so that a difference shows what was
measured afresh and nothing else. The file is replaced atomically: a reader sees the old text or the new
one.

Promises: `load` and `save` only let through what `check` finds sound. Whatever is wrong is one
`ResultsError` with one line of text that names the measurement.
"""

from __future__ import annotations

import math
import os
import re
import subprocess
import tempfile
from collections.abc import Iterable, Sequence
from enum import StrEnum
from functools import cache
from pathlib import Path

import msgspec

from dykeshift import __version__

FORMAT = 1
DEFAULT_PATH = Path("benchmarks/results/capacity.json")
IDENTIFIER = re.compile(r"[a-z0-9]+([.-][a-z0-9]+)*")
P99 = 0.99
LONGEST_GIT = 5.0  # seconds that git may take to name the commit


class ResultsError(Exception):
    """The results are not sound or cannot be read; its text is one line."""


class Role(StrEnum):
    """Whose cost was measured."""

    DATA_PATH = "data path of a balancer"
    CONTROL = "control of a balancer"
    VOTER = "voter"
    REPLICA = "replica"
    DISCOVERY = "discovery"
    OPERATOR = "operator"


class Situation(StrEnum):
    """What the installation went through while it was measured."""

    AT_REST = "at rest"
    ORDINARY_DAY = "ordinary day"
    ZONE_GONE = "zone gone"
    REGIONS_APART = "regions apart for an hour"
    WHOLE_ROLL = "whole roll"
    BACK_FROM_NOTHING = "back from nothing"
    TEN_TIMES_CHANGES = "ten times the changes"


class ClockKind(StrEnum):
    """The clock that the run went by."""

    REAL = "real"
    VIRTUAL = "virtual"


class Point(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """What was seen at one size, in the measurement's unit."""

    size: float
    """Value of the parameter that was varied."""
    median: float
    p99: float | None = None
    """None where a 99th percentile has no sense (a sum, one value)."""
    most: float | None = None
    rounds: int
    """Samples behind the figures."""
    seed: int


class Measurement(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """One quantity of one role in one situation, over a parameter that was varied."""

    id: str
    """Lower-case words, digits, dots and hyphens; unique in the file: `hollow.cpu.at-rest`."""
    name: str
    role: Role
    quantity: str
    unit: str
    """Of all figures in the points: `ms/s`, `MB`, `bytes/s`, `s`."""
    situation: Situation
    parameter: str
    parameter_unit: str
    points: tuple[Point, ...]
    command: str
    """The command that gives these figures, as typed at the root of the repository."""
    program: str
    """Version or commit of the program that was measured, as `program_version` gives it."""
    clock: ClockKind
    starved: bool = False
    """The machine did not give the run the processor time that it asked for."""
    conditions: dict[str, str] = {}
    """What was held fixed: `{"classes": "24"}`."""
    notes: str = ""

    @property
    def sizes(self) -> tuple[float, ...]:
        """The sizes that were measured, each once, ascending."""
        return tuple(sorted({point.size for point in self.points}))


class ResultsFile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All measurements, by ascending id."""

    format: int = FORMAT
    measurements: tuple[Measurement, ...] = ()

    def find(self, identifier: str) -> Measurement | None:
        """The measurement of that id, or None."""
        return next((one for one in self.measurements if one.id == identifier), None)

    def merged(self, new: Iterable[Measurement]) -> ResultsFile:
        """These and the new ones; a new one replaces that of the same id. Raises `ResultsError`."""
        arriving = tuple(new)
        check(ResultsFile(measurements=arriving))
        by_id = {one.id: one for one in (*self.measurements, *arriving)}
        return ResultsFile(measurements=tuple(by_id.values()))


def summarise(samples: Sequence[float], *, size: float, seed: int) -> Point:
    """Median, 99th percentile (nearest rank) and most of the samples, at that size; `ValueError` for none."""
    if not samples:
        raise ValueError("no samples")
    ordered = sorted(samples)
    middle = len(ordered) // 2
    median = ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
    p99 = ordered[math.ceil(P99 * len(ordered)) - 1]
    return Point(size=size, median=median, p99=p99, most=ordered[-1], rounds=len(ordered), seed=seed)


def summary_text(measurement: Measurement) -> str:
    """One line for people: id, unit, and median, 99th percentile and most at each size."""
    points = (f"{point.size:g}: {_figures_text(point)}" for point in measurement.points)
    return f"{measurement.id}, {measurement.unit}, by {measurement.parameter}: {'; '.join(points)}"


@cache
def program_version() -> str:
    """The version, with the commit (and `-dirty` where the package is not as committed) in a repository.

    As it was when it was first asked for: what runs was loaded then.
    """
    folder = Path(__file__).resolve().parent.parent
    try:
        commit = _git(folder, "rev-parse", "--short=10", "HEAD")
        changed = _git(folder, "status", "--porcelain", "--", ".")
    except (OSError, subprocess.SubprocessError):
        return __version__
    return f"{__version__}+{commit}{'-dirty' if changed else ''}"


def _git(folder: Path, *arguments: str) -> str:
    answer = subprocess.run(
        ["git", *arguments], cwd=folder, capture_output=True, text=True, check=True, timeout=LONGEST_GIT
    )
    return answer.stdout.strip()


def check(results: ResultsFile) -> None:
    """Raise `ResultsError` for the first thing that is not sound."""
    if results.format != FORMAT:
        raise ResultsError(f"format {results.format}: this program reads format {FORMAT}")
    seen: set[str] = set()
    for measurement in results.measurements:
        fault = _fault_of(measurement)
        if fault is None and measurement.id in seen:
            fault = "there twice"
        if fault is not None:
            raise ResultsError(f"measurement {measurement.id!r}: {fault}")
        seen.add(measurement.id)


def load(path: Path) -> ResultsFile:
    """Read and check the file. Raises `ResultsError`, also where it cannot be read."""
    try:
        results = msgspec.json.decode(path.read_bytes(), type=ResultsFile)
        check(results)
    except OSError as exc:
        raise ResultsError(f"{path}: {exc.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ResultsError(f"{path}: {exc}") from None
    except ResultsError as exc:
        raise ResultsError(f"{path}: {exc}") from None
    return results


def encode(results: ResultsFile) -> bytes:
    """The file's text: the same for equal results in whatever order they were given."""
    measurements = [
        msgspec.structs.replace(one, points=tuple(sorted(one.points, key=_order_of_point)))
        for one in sorted(results.measurements, key=lambda one: one.id)
    ]
    plain = ResultsFile(format=results.format, measurements=tuple(measurements))
    return msgspec.json.format(msgspec.json.encode(plain, order="sorted"), indent=1) + b"\n"


def save(results: ResultsFile, path: Path) -> None:
    """Check the results and replace the file atomically. Raises `ResultsError`; the old file stays then."""
    check(results)
    text = encode(results)
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        _replace(path, text)
    except OSError as exc:
        raise ResultsError(f"{path}: {exc.strerror}") from None


def record(new: Iterable[Measurement], path: Path = DEFAULT_PATH) -> ResultsFile:
    """Merge the measurements into the file, which need not be there yet; what it holds then."""
    before = load(path) if path.exists() else ResultsFile()
    after = before.merged(new)
    save(after, path)
    return after


def _figures_text(point: Point) -> str:
    figures = (point.median, point.p99, point.most)
    return " / ".join(f"{figure:.4g}" for figure in figures if figure is not None)


def _replace(path: Path, text: bytes) -> None:
    descriptor, name = tempfile.mkstemp(prefix=path.name, suffix=".tmp", dir=path.parent)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(name, 0o644)
        os.replace(name, path)
    except BaseException:
        os.unlink(name)
        raise


def _order_of_point(point: Point) -> tuple[float, int]:
    return point.size, point.seed


def _fault_of(measurement: Measurement) -> str | None:
    if not IDENTIFIER.fullmatch(measurement.id):
        return "the id is not of lower-case words with dots and hyphens"
    texts = ("name", "quantity", "unit", "parameter", "parameter_unit", "command", "program")
    for field in texts:
        text = getattr(measurement, field)
        if not text.strip() or "\n" in text:
            return f"{field} has to be one line of text"
    if not measurement.points:
        return "no points"
    places = [_order_of_point(point) for point in measurement.points]
    if len(set(places)) < len(places):
        return "two points of one size and seed"
    faults = (_fault_of_point(point) for point in measurement.points)
    return next((fault for fault in faults if fault is not None), None)


def _fault_of_point(point: Point) -> str | None:
    place = f"size {point.size:g}"
    figures = [figure for figure in (point.median, point.p99, point.most) if figure is not None]
    if not all(math.isfinite(figure) for figure in (point.size, *figures)):
        return f"{place}: a figure is not a finite number"
    if point.size < 0 or point.median < 0:
        return f"{place}: a figure is negative"
    if figures != sorted(figures):
        return f"{place}: median, p99 and most have to ascend"
    if point.rounds < 1:
        return f"{place}: no rounds"
    return None

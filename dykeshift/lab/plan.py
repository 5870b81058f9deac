"""An experiment file (TOML): subject, policies, a grid of settings, seeds. What is wrong is one line.

name = "size"
policies = ["lifttrail", "two-choices"]
seeds = 5                       # 1 to 5, or a list
[day]                           # dykeshift/model/day.py has the fields and their defaults
load = [{ seconds = 10, load = 0.6 }]
[[axis]]
name = "senders"
path = "senders.count"          # into [day]; a number is a place in a list: "load.0.load"
values = [14, 100]
[[axis]]
name = "trouble"
points = [{ label = "calm" }, { label = "hang", set = { troubles = [{ kind = "hang", at = 3 }] } }]
"""

from __future__ import annotations

import hashlib
import itertools
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from dykeshift.model.day import Base, Day
from dykeshift.model.peers import PEERS

OWN = "lifttrail"
FILE = "file:"  # a decision module's file, such as that of another version
MOST_CELLS = 100_000


class PlanError(ValueError):
    """A file that cannot be played; its text is one line with the place."""


class Point(Base, frozen=True):
    """A place on an axis: its label, and the settings that it changes by path."""

    label: str
    set: dict[str, Any] = field(default_factory=dict)


class Axis(Base, frozen=True):
    """A dimension of the grid: values for one path, or points that set several."""

    name: str
    path: str = ""
    values: tuple[Any, ...] = ()
    points: tuple[Point, ...] = ()

    def __post_init__(self) -> None:
        if bool(self.path and self.values) == bool(self.points):
            raise ValueError(f"axis {self.name!r} needs a path with values, or points")

    def all(self) -> tuple[Point, ...]:
        """The axis's points: those given, or one for each of `values`."""
        return self.points or tuple(Point(label=str(v), set={self.path: v}) for v in self.values)


class Plan(Base, frozen=True):
    """The file's content. Raises ValueError for an unknown policy or one that the subject cannot play."""

    name: str
    subject: Literal["model", "simulation", "processes"] = "model"
    policies: Annotated[tuple[str, ...], Meta(min_length=1)] = (OWN,)
    seeds: Annotated[int, Meta(ge=1, le=10_000)] | tuple[int, ...] = 3
    day: dict[str, Any] = field(default_factory=dict)
    axis: tuple[Axis, ...] = ()
    show: tuple[str, ...] = ("in_aim", "worth", "refusals", "attempts", "module_us")  # figures of the report

    def __post_init__(self) -> None:
        for policy in self.policies:
            if policy != OWN and policy not in PEERS and not policy.startswith(FILE):
                known = ", ".join([OWN, *PEERS, FILE + "PATH"])
                raise ValueError(f"there is no policy {policy!r}; there are {known}")
        if self.subject != "model" and self.policies != (OWN,):
            raise ValueError(f"the subject {self.subject} has one policy, {OWN}")
        if len({a.name for a in self.axis}) < len(self.axis):
            raise ValueError("two axes have one name")

    def seed_list(self) -> tuple[int, ...]:
        """The seeds to play; a plain number n stands for 1 to n."""
        return tuple(range(1, self.seeds + 1)) if isinstance(self.seeds, int) else self.seeds


class Cell(msgspec.Struct, frozen=True):
    """One run: a point of the grid, a policy, a seed. `key` names it for good."""

    labels: dict[str, str]
    policy: str
    seed: int
    day: dict[str, Any]

    @property
    def key(self) -> str:
        """The cell's name in the results file, by which a resumed run knows it."""
        place = ",".join(f"{name}={label}" for name, label in self.labels.items())
        return f"{place}|{self.policy}|{self.seed}"


def read(path: Path) -> tuple[Plan, str]:
    """The plan, and its text; PlanError says what is wrong and where."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        raise PlanError(f"cannot read {path}: {exc.strerror}") from None
    except UnicodeDecodeError as exc:
        raise PlanError(f"{path} is not UTF-8: {exc.reason} at byte {exc.start}") from None
    return parse(text, str(path)), text


def parse(text: str, name: str = "experiment") -> Plan:
    """Read an experiment and check every cell of its grid. Raises PlanError, its line begins with `name`."""
    try:
        plan = msgspec.convert(tomllib.loads(text), Plan)
        for cell in cells(plan):
            if plan.subject != "simulation":
                day = msgspec.convert(cell.day, Day)
            if plan.subject == "processes":
                from dykeshift.lab import processes

                processes.check(day)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as exc:
        raise PlanError(f"{name}: {exc}") from None
    return plan


def cells(plan: Plan) -> Iterator[Cell]:
    """Every run of the plan, seed by seed, so that a first look comes early."""
    grid = list(itertools.product(*(a.all() for a in plan.axis)))
    if len(grid) * len(plan.policies) * len(plan.seed_list()) > MOST_CELLS:
        raise ValueError(f"the grid has over {MOST_CELLS} runs")
    days = [_day(plan, points) for points in grid]
    for seed, (points, day), policy in itertools.product(
        plan.seed_list(), zip(grid, days, strict=True), plan.policies
    ):
        labels = {axis.name: point.label for axis, point in zip(plan.axis, points, strict=True)}
        yield Cell(labels, policy, seed, day)


def _day(plan: Plan, points: tuple[Point, ...]) -> dict[str, Any]:
    day: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(plan.day))  # a copy to the depth
    for axis, point in zip(plan.axis, points, strict=True):
        for path, value in point.set.items():
            _put(day, path, value, axis.name)
    return day


def _put(day: Any, path: str, value: Any, axis: str) -> None:
    *way, last = path.split(".")
    at = day
    try:
        for step in way:
            at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    except (IndexError, ValueError, TypeError, AttributeError):
        raise ValueError(f"axis {axis!r}: there is no place {path!r} in the day") from None


def code_digest(plan: Plan) -> str:
    """Of all code that the figures hang on: results of two versions are never mixed."""
    root = Path(__file__).resolve().parents[1]
    digest = hashlib.blake2b(digest_size=12)
    for path in sorted(root.rglob("*.py")):
        if path.relative_to(root).parts[0] not in ("cli", "lab", "benchlink.py"):
            digest.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    for policy in plan.policies:
        if policy.startswith(FILE):
            try:
                digest.update(Path(policy.removeprefix(FILE)).read_bytes())
            except OSError as exc:
                raise PlanError(f"policy {policy}: cannot read it: {exc.strerror}") from None
    return digest.hexdigest()

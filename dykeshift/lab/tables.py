"""Results as rows: means by cell, differences between policies or between directories."""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.lab.runs import Row
from dykeshift.lab.stats import Estimate, difference, estimate, figure

Place = tuple[tuple[str, str], ...]  # labels of a cell


@dataclass(frozen=True)
class Line:
    """One figure of one policy at one place of the grid."""

    place: Place
    policy: str
    figure: str
    value: Estimate


def by_cell(rows: list[Row], name: str) -> dict[tuple[Place, str], dict[int, float]]:
    """The figure by cell and policy, then by seed."""
    found: dict[tuple[Place, str], dict[int, float]] = {}
    for row in rows:
        at = (tuple(row["labels"].items()), row["policy"])
        found.setdefault(at, {})[row["seed"]] = figure(row["figures"], name)
    return found


def means(rows: list[Row], names: tuple[str, ...]) -> list[Line]:
    """The mean of each named figure in each cell."""
    return [
        Line(place, policy, name, estimate(list(values.values())))
        for name in names
        for (place, policy), values in by_cell(rows, name).items()
    ]


def against(rows: list[Row], names: tuple[str, ...], baseline: str) -> list[Line]:
    """Each policy less the baseline, on the same days."""
    lines = []
    for name in names:
        cells = by_cell(rows, name)
        lines += [
            Line(place, policy, name, difference(values, cells[place, baseline]))
            for (place, policy), values in cells.items()
            if policy != baseline and (place, baseline) in cells
        ]
    return lines


def between(ours: list[Row], theirs: list[Row], names: tuple[str, ...]) -> list[Line]:
    """One directory's results less another's, cell by cell."""
    lines = []
    for name in names:
        others = by_cell(theirs, name)
        lines += [
            Line(place, policy, name, difference(values, others[place, policy]))
            for (place, policy), values in by_cell(ours, name).items()
            if (place, policy) in others
        ]
    return lines

"""Reads `docs/CAPACITY.md` back and holds its tables against the results file and the lines alone.

Theory of operation. The page's tables of lines and of fits are found by their headings. Each row is held
against what the file holds:

- a line has one of the three verdicts, and a figure and a factor just where it is shown;
- what is called *measured* names measurements that have a point at the size asked for, and what is called
  *interpolated* lies between measured sizes;
- a line that is not shown gives no figure;
- a fit is of at least three sizes, these are the file's, and its medians are the file's.

`faults` names everything that is not so, in a line each. What it cannot see, a figure altered in a way that
stays plausible, the comparison of the whole text with a fresh rendering finds (`stale`).
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from dykeshift.scale.lines import LINES, Line, Way
from dykeshift.scale.page import FIT_HEADINGS, LINE_HEADINGS, NOTHING, number_text, render
from dykeshift.scale.results import Measurement, ResultsFile
from dykeshift.scale.slopes import LEAST_SIZES

VERDICTS = ("fits", "does not fit", "not shown")
NOT_SHOWN = VERDICTS[-1]
FIGURE = re.compile(r"\d")
WAY = re.compile(r"\(([^()]*)\)$")


def stale(page: str, results: ResultsFile) -> bool:
    """Whether the page is not what the file gives."""
    return page != render(results)


def faults(page: str, results: ResultsFile) -> list[str]:
    """What is wrong with the page, a line each; none where it holds."""
    rows = list(_rows(page, LINE_HEADINGS))
    found = [fault for row in rows for fault in _faults_of_line(row, results)]
    found += [fault for row in _rows(page, FIT_HEADINGS) for fault in _faults_of_fit(row, results)]
    names = [row["line"].strip("`") for row in rows]
    found += [f"{line.id}: not on the page" for line in LINES if line.id not in names]
    return found


def _rows(page: str, headings: tuple[str, ...]) -> Iterator[dict[str, str]]:
    """Rows of all tables with these headings."""
    here = False
    for text in page.splitlines():
        cells = tuple(cell.strip() for cell in text.strip().strip("|").split("|"))
        if not text.startswith("|"):
            here = False
        elif cells == headings:
            here = True
        elif here and set(text) - set("|- "):
            padded = cells + ("",) * (len(headings) - len(cells))
            yield dict(zip(headings, padded, strict=False))


def _faults_of_line(row: dict[str, str], results: ResultsFile) -> Iterator[str]:
    name = row["line"].strip("`")
    line = {one.id: one for one in LINES}.get(name)
    if line is None:
        yield f"{name}: no such line"
        return
    verdict = row["verdict"]
    if verdict not in VERDICTS:
        yield f"{name}: no verdict"
    shown = row["at the target"] != NOTHING
    if verdict != NOT_SHOWN and not (shown and FIGURE.search(row["factor"])):
        yield f"{name}: a verdict without a figure and its factor"
    ways = [way for way in line.ways if all(results.find(term.measurement) for term in way.terms)]
    if shown and not ways:
        yield f"{name}: a figure without a measurement"
    if shown:
        yield from _faults_of_basis(name, row["basis"], line, results)


def _faults_of_basis(name: str, text: str, line: Line, results: ResultsFile) -> Iterator[str]:
    said = WAY.search(text)
    way = next((way for way in line.ways if said and way.name == said[1]), None)
    if way is None:
        yield f"{name}: the basis names no way of this line"
        return
    words = [word for word in ("measured", "interpolated", "extrapolated") if word in text]
    if len(words) != 1:
        yield f"{name}: it has to be measured, interpolated or extrapolated, one of them"
    elif words != [_basis_of(way, results)]:
        yield f"{name}: called {words[0]}, but {_basis_of(way, results)}"


def _basis_of(way: Way, results: ResultsFile) -> str:
    """By the measured sizes alone."""
    weakest = "measured"
    for term in way.terms:
        measurement = results.find(term.measurement)
        sizes = measurement.sizes if measurement is not None else ()
        if term.at in sizes:
            continue
        if not sizes or not sizes[0] < term.at < sizes[-1]:
            return "extrapolated"
        weakest = "interpolated"
    return weakest


def _faults_of_fit(row: dict[str, str], results: ResultsFile) -> Iterator[str]:
    name = row["measurement"].strip("`")
    measurement = results.find(name)
    if measurement is None:
        yield f"{name}: not in the file"
        return
    fitted = row["growth"] != NOTHING
    if fitted and len(measurement.sizes) < LEAST_SIZES:
        yield f"{name}: a fit from fewer than {LEAST_SIZES} sizes"
    sizes = ", ".join(number_text(size) for size in measurement.sizes)
    if row["sizes"] != sizes:
        yield f"{name}: sizes that are not the file's"
    if row["medians"] != _medians(measurement):
        yield f"{name}: figures that are not the file's"


def _medians(measurement: Measurement) -> str:
    ordered = sorted(measurement.points, key=lambda point: (point.size, point.seed))
    return ", ".join(number_text(point.median) for point in ordered)

"""`docs/CAPACITY.md`, rendered wholly from the results file and the lines: the same text for the same file.

Theory of operation. `render` works out all lines and writes, in this order: the targets, an overview, a
table of lines for each role with the fits behind it, what a short look had seen, the order of the
mechanisms that are missing, the design for regions apart, and the commands. Tables have fixed headings:
`audit` reads them back and holds them against the results file by itself, without this module's help.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

from dykeshift.scale.evaluate import Ranked, Value, Verdict, Worked, as_found, rank, work_out_all
from dykeshift.scale.lines import LINES, Term
from dykeshift.scale.mechanisms import MECHANISMS, State, mechanism
from dykeshift.scale.page_text import HEAD, REGIONS_APART, regions_apart
from dykeshift.scale.results import Measurement, Point, ResultsFile, Role, Situation
from dykeshift.scale.seen import Checked, check_seen
from dykeshift.scale.slopes import Basis, FitError, Shape, Statistic, fit
from dykeshift.scale.targets import GIVEN_TARGETS, Target

DEFAULT_PAGE = Path("docs/CAPACITY.md")
LINE_HEADINGS = (
    "line",
    "situation",
    "quantity",
    "at the target",
    "basis",
    "growth",
    "target",
    "verdict",
    "factor",
    "mechanism",
    "beside it",
)
FIT_HEADINGS = (
    "measurement",
    "unit",
    "by",
    "figure",
    "growth",
    "intercept + slope x size",
    "sizes",
    "residual",
    "medians",
    "run",
)
ORDER_RULE = (
    "First comes, of those whose needs are there, the mechanism furthest over its target on which the lines"
    " of others stand; where none has such lines, the one furthest over its target. *As it was found* takes"
    " each line's oldest way, *as it is now* its newest that shows something."
)
NOTHING = "-"
DIGITS = 3


def render(results: ResultsFile) -> str:
    """The whole page."""
    worked = work_out_all(results)
    commands = _Commands(results)
    parts = [HEAD, _targets_part(), _overview_part(worked)]
    parts += [_role_part(role, worked, results, commands) for role in Role]
    parts += [_seen_part(check_seen(results)), _order_part(worked, work_out_all(results, as_found()))]
    parts += [REGIONS_APART, regions_apart(), commands.part()]
    return "\n\n".join(part.strip() for part in parts) + "\n"


def number_text(value: float) -> str:
    """Three digits, thousands parted; whole from a thousand on."""
    if value == float("inf"):
        return "without end"
    if abs(value) >= 10**DIGITS:
        digits = len(f"{abs(value):.0f}") - DIGITS
        return f"{round(value, -digits):,.0f}"
    return f"{value:.{DIGITS}g}"


class _Commands:
    """Numbers for runs: a command, the program that it measured, and its clock."""

    def __init__(self, results: ResultsFile) -> None:
        keys = {self._key(one) for one in results.measurements}
        self.names = {key: f"C{number}" for number, key in enumerate(sorted(keys), 1)}

    @staticmethod
    def _key(measurement: Measurement) -> tuple[str, str, str]:
        return measurement.command, measurement.program, measurement.clock.value

    def name(self, measurement: Measurement) -> str:
        """The number under which the page lists the measurement's run."""
        return self.names[self._key(measurement)]

    def part(self) -> str:
        """The list of all of them."""
        rows = [(name, f"`{key[0]}`", f"`{key[1]}`", key[2]) for key, name in self.names.items()]
        return "## Runs\n\n" + table(("run", "command", "program", "clock"), rows)


def table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table in Markdown; bars within cells are kept out of its way."""
    lines = [_row(headings), _row(["---"] * len(headings))]
    lines += [_row(row) for row in rows]
    return "\n".join(lines)


def _row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |"


def _targets_part() -> str:
    given = table(("given", "target"), GIVEN_TARGETS)
    targets = {line.target.what: line.target for line in LINES if not line.target.given}
    rows = [(one.what, _target_text(one), one.reason) for one in targets.values()]
    here = table(("set here, where none was given", "target", "why"), rows)
    return f"## Targets\n\n{given}\n\n{here}"


def _overview_part(worked: Sequence[Worked]) -> str:
    rows = []
    for situation in Situation:
        cells = [_cell_text(worked, role, situation) for role in Role]
        rows.append((situation.value, *cells))
    words = zip(Verdict, ("fit", "do not fit", "are not shown"), strict=True)
    counts = ", ".join(f"{sum(one.verdict is verdict for one in worked)} {word}" for verdict, word in words)
    legend = "Lines that fit / do not fit / are not shown, and the largest factor of those that do not fit."
    grid = table(("situation", *(role.value for role in Role)), rows)
    return f"## Overview\n\nOf {len(worked)} lines: {counts}.\n{legend}\n\n{grid}"


def _cell_text(worked: Sequence[Worked], role: Role, situation: Situation) -> str:
    here = [one for one in worked if (one.line.role, one.line.situation) == (role, situation)]
    counts = " / ".join(str(sum(one.verdict is verdict for one in here)) for verdict in Verdict)
    worst = max((one.factor for one in here if one.verdict is Verdict.DOES_NOT_FIT), default=0.0)
    return f"{counts}, {number_text(worst)} x" if worst else counts


def _role_part(role: Role, worked: Sequence[Worked], results: ResultsFile, commands: _Commands) -> str:
    here = [one for one in worked if one.line.role is role]
    lines = table(LINE_HEADINGS, [_line_cells(one) for one in here])
    fits = table(FIT_HEADINGS, _fit_rows(here, results, commands))
    return f"## {role.value[0].upper()}{role.value[1:]}\n\n{lines}\n\nWorked out from:\n\n{fits}"


def _line_cells(worked: Worked) -> tuple[str, ...]:
    line, value = worked.line, worked.value
    head = (f"`{line.id}`", line.situation.value, line.quantity)
    tail = (_mechanism_text(line.mechanism), _others_text(worked))
    target = _target_text(line.target)
    if value is None:
        reason = worked.missing[0]
        return (*head, NOTHING, reason, NOTHING, target, worked.verdict.value, NOTHING, *tail)
    shown = _value_text(value, line.target)
    basis, growth = _basis_text(value), " and ".join(value.growth) or "no fit"
    return (*head, shown, basis, growth, target, worked.verdict.value, _factor_text(value), *tail)


def _value_text(value: Value, target: Target) -> str:
    return f"{'at least ' if value.at_least else ''}{number_text(value.value)} {target.unit}"


def _factor_text(value: Value) -> str:
    return f"{number_text(value.factor)} x"


def _basis_text(value: Value) -> str:
    text = value.basis.value
    if value.worked_out:
        text = f"worked out, {text}"
    if value.basis is Basis.EXTRAPOLATED and value.reach > 1:
        text += f" {number_text(value.reach)} times beyond"
    if value.starved:
        text += ", on a starved machine"
    return f"{text} ({value.way})"


def _target_text(target: Target) -> str:
    return f"{target.bound.value} {target.value:,.10g} {target.unit}"


def _mechanism_text(key: str) -> str:
    found = mechanism(key)
    return f"{found.name} ({found.state.value})"


def _others_text(worked: Worked) -> str:
    texts = [
        f"{one.way}: {_value_text(one, worked.line.target)}, {_factor_text(one)}, {one.basis.value}"
        for one in worked.others
    ]
    return "; ".join(texts) or NOTHING


def _terms_of(here: Sequence[Worked]) -> list[tuple[str, Statistic]]:
    terms: list[Term] = [term for one in here for way in one.line.ways for term in way.terms]
    return sorted({(term.measurement, term.statistic) for term in terms})


def _fit_rows(here: Sequence[Worked], results: ResultsFile, commands: _Commands) -> Iterable[tuple[str, ...]]:
    for name, statistic in _terms_of(here):
        measurement = results.find(name)
        if measurement is not None:
            yield _fit_cells(measurement, statistic, commands)


def _fit_cells(measurement: Measurement, statistic: Statistic, commands: _Commands) -> tuple[str, ...]:
    head = (f"`{measurement.id}`", measurement.unit, measurement.parameter, statistic.value)
    sizes = ", ".join(number_text(size) for size in measurement.sizes)
    tail = (_points_text(measurement.points), commands.name(measurement))
    try:
        found = fit(measurement, statistic)
    except FitError:
        return (*head, NOTHING, "no fit: fewer than three sizes", sizes, NOTHING, *tail)
    terms = number_text(found.intercept)
    if found.shape is not Shape.FLAT:
        sign = "-" if found.intercept < 0 else ""
        terms = f"{sign}{number_text(abs(found.intercept))} + {number_text(found.slope)} x {found.shape}"
    return (*head, found.shape.value, terms, sizes, f"{found.residual:.1%}", *tail)


def _points_text(points: Sequence[Point]) -> str:
    ordered = sorted(points, key=lambda point: (point.size, point.seed))
    return ", ".join(number_text(point.median) for point in ordered)


def _seen_part(checked: Sequence[Checked]) -> str:
    rows = []
    for one in checked:
        unit = one.measurement.unit if one.measurement is not None else ""
        seen = "; ".join(f"{size:g}: {number_text(value)}" for size, value in one.seen.figures)
        found = "; ".join(f"{size:g}: {number_text(value)}" for size, _, value in one.figures) or NOTHING
        name = one.measurement.id if one.measurement is not None else one.seen.measurement
        rows.append((one.seen.what, f"`{name}`", unit or NOTHING, seen, found, one.outcome.value))
    headings = (
        "seen by a short look",
        "measurement",
        "unit",
        "seen, by size",
        "measured, by size",
        "outcome",
    )
    return "## What a short look had seen\n\nConfirmed: within a quarter at every size.\n\n" + table(
        headings, rows
    )


ORDER_HEADINGS = (
    "order",
    "mechanism",
    "state",
    "lines over",
    "furthest",
    "factor",
    "lines of others",
    "what it is",
)


def _order_part(worked: Sequence[Worked], found: Sequence[Worked]) -> str:
    parts = ["## Order of the missing mechanisms", ORDER_RULE]
    parts += ["### As it was found", *_order_table(rank(found, standing_too=True))]
    parts += ["### As it is now", *_order_table(rank(worked))]
    silent = _silent_mechanisms(worked)
    if silent:
        parts.append(f"No line of these is shown to be over its target: {', '.join(silent)}.")
    return "\n\n".join(parts)


def _silent_mechanisms(worked: Sequence[Worked]) -> list[str]:
    ranked = {one.mechanism.key for one in rank(worked)}
    return [one.name for one in MECHANISMS if one.state is not State.STANDS and one.key not in ranked]


def _order_table(ranked: Sequence[Ranked]) -> tuple[str, str]:
    rows = [_ranked_cells(number, one) for number, one in enumerate(ranked, 1)]
    return _order_words(ranked), table(ORDER_HEADINGS, rows)


def _order_words(ranked: Sequence[Ranked]) -> str:
    if not ranked:
        return "No line is over its target."
    first = ranked[0]
    words = f"First is **{first.mechanism.name}**: `{first.worst.line.id}` is"
    words += f" {number_text(first.worst.factor)} times its target, {first.failing} lines of its own are over"
    words += f" theirs, and {first.standing} lines of mechanisms that stand on it."
    further = max(ranked, key=lambda one: one.worst.factor)
    if further is not first:
        needs = ", ".join(mechanism(key).name for key in further.mechanism.needs) or "nothing"
        words += f" `{further.worst.line.id}` of *{further.mechanism.name}* is further over"
        words += f" ({number_text(further.worst.factor)} times); that mechanism needs {needs},"
        words += f" and {further.standing} lines of others stand on it."
    return words


def _ranked_cells(number: int, one: Ranked) -> tuple[str, ...]:
    return (
        str(number),
        one.mechanism.name,
        one.mechanism.state.value,
        str(one.failing),
        f"`{one.worst.line.id}`",
        f"{number_text(one.worst.factor)} x",
        str(one.standing),
        one.mechanism.what,
    )

"""`lifttrail experiment`: run a file, compare results, write a report."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from dykeshift.cli import Usage
from dykeshift.cli.terminal import Progress

if TYPE_CHECKING:
    from dykeshift.lab.tables import Line

JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
FIGURES = click.option(
    "--figure",
    "figures",
    multiple=True,
    metavar="NAME",
    help="Such as refusals or percentiles_ms.99; else those that the file shows.",
)


@click.group(no_args_is_help=False)
def command() -> None:
    """Play policies and settings over a grid of days, compare them, report with plots."""


@command.command("run")
@click.argument("file", type=Path)
@click.option("--out", type=Path, metavar="DIR", help="Where results are kept; else FILE without its ending.")
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, metavar="N", help="Processes."
)
@JSON
def run(file: Path, out: Path | None, jobs: int, as_json: bool) -> int:
    """Play what is not played yet of an experiment file. Can be killed and called again."""
    from dykeshift.lab import plan as plans
    from dykeshift.lab import runs, tables

    where = out or file.with_suffix("")
    try:
        plan, text = plans.read(file)
        total = sum(1 for _ in plans.cells(plan))
        with Progress(total, plan.name) as progress:
            rows = runs.execute(plan, text, where, jobs, lambda n, row: progress.show(n, row["key"]))
    except plans.PlanError as exc:
        raise Usage(f"lifttrail experiment run: {exc}") from None
    broken = sorted(
        row["key"] for row in rows if row["figures"].get("breaches") or row["figures"].get("broken")
    )
    if as_json:
        print(
            json.dumps(
                {
                    "directory": str(where),
                    "runs": len(rows),
                    "broken_rules": broken,
                    "figures": _plain(tables.means(rows, plan.show)),
                }
            )
        )
    else:
        _show(tables.means(rows, plan.show), plan.name)
        for key in broken:
            print(f"rules broken: {key}")
        print(f"{len(rows)} runs in {where}; `lifttrail experiment report {where}` draws them")
    return 0


@command.command("compare")
@click.argument("directory", type=Path)
@click.argument("other", type=Path, required=False)
@click.option("--baseline", metavar="POLICY", help="Within one directory: what the others are compared with.")
@FIGURES
@JSON
def compare(
    directory: Path, other: Path | None, baseline: str | None, figures: tuple[str, ...], as_json: bool
) -> int:
    """Differences with 95% intervals, seed by seed: between policies, or DIRECTORY less OTHER."""
    from dykeshift.lab import plan as plans
    from dykeshift.lab import runs, tables

    try:
        plan, rows, _ = runs.load(directory)
        names = figures or plan.show
        if other is not None:
            lines = tables.between(rows, runs.load(other)[1], names)
        else:
            lines = tables.against(rows, names, baseline or plan.policies[0])
    except plans.PlanError as exc:
        raise Usage(f"lifttrail experiment compare: {exc}") from None
    if not lines:
        raise Usage("lifttrail experiment compare: the runs have nothing in common to compare")
    if as_json:
        print(json.dumps(_plain(lines)))
    else:
        title = f"{directory} less {other}" if other else f"less {baseline or plan.policies[0]}"
        _show(lines, title)
    return 0


@command.command("report")
@click.argument("directory", type=Path)
@click.option("--out", type=Path, metavar="FILE", help="Else report.html in the directory.")
@click.option("--plots", "plots_to", type=Path, metavar="DIR", help="Write each plot there as SVG, too.")
@JSON
def report(directory: Path, out: Path | None, plots_to: Path | None, as_json: bool) -> int:
    """Write a self-contained page with plots, tables and the commands that made them."""
    from dykeshift.lab import plan as plans
    from dykeshift.lab import runs
    from dykeshift.lab.report import page, plots

    to = out or directory / "report.html"
    try:
        plan, rows, code = runs.load(directory)
        text = page(plan, rows, code, f"lifttrail experiment run FILE --out {directory}")
        to.write_text(text, encoding="utf-8")
        for name, svg in (plots(plan, rows) if plots_to else {}).items():
            assert plots_to is not None
            plots_to.mkdir(parents=True, exist_ok=True)
            (plots_to / f"{name}.svg").write_text(svg, encoding="utf-8")
    except plans.PlanError as exc:
        raise Usage(f"lifttrail experiment report: {exc}") from None
    except OSError as exc:
        raise Usage(f"lifttrail experiment report: cannot write {to}: {exc.strerror}") from None
    print(json.dumps({"file": str(to), "runs": len(rows)}) if as_json else f"wrote {to}")
    return 0


def _plain(lines: list[Line]) -> list[dict[str, Any]]:
    return [
        {
            **dict(line.place),
            "policy": line.policy,
            "figure": line.figure,
            "mean": line.value.mean,
            "low": line.value.low,
            "high": line.value.high,
            "seeds": line.value.seeds,
        }
        for line in lines
    ]


def _show(lines: list[Line], title: str) -> None:
    from rich.console import Console
    from rich.table import Table

    from dykeshift.lab.report import number

    names = [name for name, _ in lines[0].place] if lines else []
    table = Table(*names, "policy", "figure", "mean", "from", "to", title=title)
    for line in lines:
        table.add_row(
            *(label for _, label in line.place), line.policy, line.figure, *map(number, line.value[:3])
        )
    Console(file=sys.stdout).print(table)

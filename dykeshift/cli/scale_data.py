"""`lifttrail scale data`: what lists, settings and one whole daemon cost by the number of upstreams."""

from __future__ import annotations

import json
import os
import re
import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from dykeshift.cli import Usage
from dykeshift.cli.terminal import Progress

if TYPE_CHECKING:
    from dykeshift.scale.costs import Cost, Run
    from dykeshift.scale.results import Measurement

PARTS = ("module", "engine", "daemon")
LEAST_UPSTREAMS, MOST_UPSTREAMS = 20, 50_000
MOST_RATE = 2_000.0  # requests a second
VARIANT = re.compile(r"[a-z0-9]+(-[a-z0-9]+)*")


def read_sizes(text: str) -> tuple[int, ...]:
    """Ascending numbers of upstreams, each once; `Usage` for anything else."""
    try:
        sizes = tuple(int(part) for part in text.split(","))
    except ValueError:
        raise Usage(f"lifttrail scale data: --sizes {text}: no numbers such as 200,1000,10000") from None
    if list(sizes) != sorted(set(sizes)) or not LEAST_UPSTREAMS <= sizes[0] <= sizes[-1] <= MOST_UPSTREAMS:
        raise Usage(
            f"lifttrail scale data: --sizes {text}: ascending, each once, "
            f"from {LEAST_UPSTREAMS} to {MOST_UPSTREAMS}"
        )
    return sizes


def check_out(path: Path | None) -> None:
    """`Usage` where results could not be merged into this file."""
    from dykeshift.scale.results import ResultsError, load

    if path is None:
        return
    if path.is_dir() or not path.parent.is_dir() or not os.access(path.parent, os.W_OK):
        raise Usage(f"lifttrail scale data: cannot write {path}")
    if path.exists():
        try:
            load(path)
        except ResultsError as exc:
            raise Usage(f"lifttrail scale data: --out: {exc}") from None


@click.command("data")
@click.option("--sizes", default="200,1000,10000", show_default=True, metavar="N,N,...", help="Upstreams.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--part",
    "parts",
    multiple=True,
    type=click.Choice(PARTS),
    help="The decision module alone, the engine's lists and settings, one whole daemon; else all.",
)
@click.option(
    "--rate",
    type=click.FloatRange(1, MOST_RATE),
    default=204.0,
    show_default=True,
    metavar="N",
    help="Requests a second at the whole daemon.",
)
@click.option(
    "--day",
    "day_s",
    type=click.FloatRange(1, 600),
    default=40.0,
    show_default=True,
    metavar="S",
    help="Seconds in which the whole daemon sees a day's restarts; the other phases go with it.",
)
@click.option("--only", multiple=True, metavar="PREFIX", help="Of module and engine, only ids that begin so.")
@click.option("--variant", default="", metavar="WORD", help="Put behind each id: figures of another program.")
@click.option("--out", type=click.Path(path_type=Path), metavar="FILE", help="Merge into this results file.")
@click.option("--json", "as_json", is_flag=True, help="Print the measurements as one JSON object.")
def command(
    sizes: str,
    seed: int,
    parts: tuple[str, ...],
    rate: float,
    day_s: float,
    only: tuple[str, ...],
    variant: str,
    out: Path | None,
    as_json: bool,
) -> int:
    """Measure lists, settings and one whole daemon by the number of upstreams.

    1 where the daemon held an upstream that is gone, missed one, or sent to one.
    """
    from dykeshift.scale.costs import Run
    from dykeshift.scale.results import record

    if variant and not VARIANT.fullmatch(variant):
        raise Usage(f"lifttrail scale data: --variant {variant}: lower-case words, digits and hyphens")
    found_sizes, chosen = read_sizes(sizes), parts or PARTS
    check_out(out)
    if "daemon" in chosen:
        _check_daemon(found_sizes)
    run = Run(found_sizes, seed, _command(sizes, seed, parts, rate, day_s, only, variant), variant)
    costs = _chosen_costs(run, chosen, only)
    found, faults = list["Measurement"](), list[str]()
    if costs:
        found += _costs(run, costs, out)
    if "daemon" in chosen:
        measured, faults = _daemon(run, rate, day_s)
        found += measured
        if out is not None:
            record(measured, out)
    _show(found, faults, as_json)
    return 1 if faults else 0


def _command(
    sizes: str,
    seed: int,
    parts: tuple[str, ...],
    rate: float,
    day_s: float,
    only: tuple[str, ...],
    variant: str,
) -> str:
    words = ["lifttrail scale data", f"--sizes {sizes}", f"--seed {seed}"]
    words += [f"--part {part}" for part in parts]
    if "daemon" in (parts or PARTS):
        words += [f"--rate {rate:g}", f"--day {day_s:g}"]
    words += [f"--only {prefix}" for prefix in only]
    return " ".join(words + ([f"--variant {variant}"] if variant else []))


def _check_daemon(sizes: tuple[int, ...]) -> None:
    from dykeshift.scale.daemon import DaemonError, enough_descriptors

    try:
        enough_descriptors(sizes[-1])
    except DaemonError as exc:
        raise Usage(f"lifttrail scale data: {exc}") from None


def _chosen_costs(run: Run, parts: tuple[str, ...], only: tuple[str, ...]) -> list[Cost]:
    """The costs of these parts; `Usage` for a prefix that no id has."""
    from dykeshift.scale import engine_costs, module_costs

    makers: dict[str, Callable[[int], tuple[Cost, ...]]] = {
        "module": module_costs.costs,
        "engine": engine_costs.costs,
    }
    costs = [cost for part, maker in makers.items() if part in parts for cost in maker(run.sizes[-1])]
    for prefix in only:
        if not any(cost.id.startswith(prefix) for cost in costs):
            raise Usage(f"lifttrail scale data: --only {prefix}: no id of these parts begins so")
    return [cost for cost in costs if not only or cost.id.startswith(only)]


def _costs(run: Run, costs: list[Cost], out: Path | None) -> list[Measurement]:
    """Each is in the file as soon as it is measured."""
    from dykeshift.scale.costs import measure
    from dykeshift.scale.results import record

    found = list["Measurement"]()
    with Progress(len(costs), "costs") as progress:
        for number, cost in enumerate(costs):
            progress.show(number, cost.id)
            found.append(measure(cost, run))
            if out is not None:
                record(found[-1:], out)
    return found


def _daemon(run: Run, rate: float, day_s: float) -> tuple[list[Measurement], list[str]]:
    import uvloop

    from dykeshift.scale.daemon import DaemonError, DaemonRun, Timing
    from dykeshift.scale.daemon_results import measurements

    runs = []
    with Progress(len(run.sizes), "whole daemon") as progress:
        for number, size in enumerate(run.sizes):
            played = DaemonRun(
                size,
                run.seed,
                rate,
                Timing.of_day(day_s),
                lambda phase, n=number: progress.show(n, phase),  # type: ignore[misc]
            )
            try:
                runs.append(uvloop.run(played.run()))
            except DaemonError as exc:
                raise click.ClickException(str(exc)) from None
            except asyncio.CancelledError:
                raise click.Abort from None
    faults = [f"{one.upstreams} upstreams: {fault}" for one in runs for fault in one.faults]
    return measurements(runs, run, rate), faults


def _show(found: list[Measurement], faults: list[str], as_json: bool) -> None:
    import msgspec

    if as_json:
        print(json.dumps({"measurements": msgspec.to_builtins(found), "faults": faults}))
        return
    for one in found:
        figures = ", ".join(f"{point.size:g}: {point.median:.4g}" for point in one.points)
        print(f"{one.id} ({one.unit}): {figures}")
    for fault in faults:
        print(f"fault: {fault}")

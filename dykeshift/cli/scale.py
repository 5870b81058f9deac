"""`lifttrail scale`: the installation at its size in two years: runs, costs, fits, the capacity page."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import click

from dykeshift.cli import Usage
from dykeshift.cli.scale_data import command as data
from dykeshift.cli.scale_options import RESULTS, load_results
from dykeshift.cli.scale_page import command as page

JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


def read_sizes(text: str) -> tuple[int, ...]:
    """Sizes from `40,200,930`; `Usage` for anything else."""
    words = [word.strip() for word in text.split(",")]
    if not all(word.isascii() and word.isdigit() and int(word) > 0 for word in words):
        raise Usage(f"lifttrail scale: not a list of sizes: {text}")
    sizes = tuple(int(word) for word in words)
    if len(set(sizes)) < len(sizes):
        raise Usage(f"lifttrail scale: a size is there twice: {text}")
    return sizes


@click.group()
def command() -> None:
    """Measure the installation at the size of two years, fit its growth, show whether it fits."""


command.add_command(data)
command.add_command(page)

RUNS = ("data", "run")
"""Commands that measure at sizes: `data` at all of them, `run` at one."""


@command.command("slopes", context_settings={"ignore_unknown_options": True})
@RESULTS
@JSON
@click.option("--run", "kind", type=click.Choice(RUNS), help="First measure at --sizes by that command.")
@click.option("--sizes", default="40,200,930", metavar="A,B,C", show_default=True, help="Three or more.")
@click.argument("further", nargs=-1, metavar="[-- OPTIONS of that command]")
def slopes(path: str, as_json: bool, kind: str | None, sizes: str, further: tuple[str, ...]) -> int:
    """Fit how each measured quantity grows with size; refuse what has fewer than three sizes."""
    from dykeshift.scale import slopes as fits

    if kind is not None:
        code = measure_at(kind, read_sizes(sizes), path, further)
        if code:
            return code
    elif further:
        raise Usage(f"lifttrail scale slopes: {further[0]} is of no use without --run")
    rows = [fits.fit_row(one) for one in load_results(path).measurements]
    if as_json:
        click.echo(json.dumps({"file": path, "fits": rows}))
        return 0
    for row in rows:
        click.echo(fits.row_text(row))
    return 0


def measure_at(kind: str, sizes: tuple[int, ...], path: str, further: tuple[str, ...]) -> int:
    """Run the measuring command at these sizes, into the file; its exit code, the first that is not 0."""
    from dykeshift.cli import main
    from dykeshift.scale.slopes import LEAST_SIZES

    if len(sizes) < LEAST_SIZES:
        raise Usage(f"lifttrail scale slopes: a fit needs {LEAST_SIZES} sizes, not {len(sizes)}")
    if kind == "run":
        calls = [["--members", str(size), "--out", path] for size in sizes]
    else:
        calls = [["--sizes", ",".join(map(str, sizes)), "--out", path]]
    codes = (main(["scale", kind, *call, *further]) for call in calls)
    return next((code for code in codes if code), 0)


@command.command("control")
@click.option("--only", default="", metavar="PREFIX", help="Only measurements whose id begins so.")
@click.option("--seeds", default=3, metavar="N", show_default=True, type=click.IntRange(1, 100))
@RESULTS
@JSON
def control(only: str, seeds: int, path: str, as_json: bool) -> int:
    """Measure control and discovery on the virtual clock, into the results file."""
    from dykeshift.scale import control_costs, discovery_costs, results, tier_costs

    costs = control_costs.costs() + discovery_costs.costs() + tier_costs.costs()
    chosen = [cost for cost in costs if cost.id.startswith(only)]
    if not chosen:
        raise Usage(f"lifttrail scale control: no measurement begins with {only}")
    typed = "lifttrail scale control" + (f" --only {only}" if only else "") + f" --seeds {seeds}"
    measured = []
    for cost in chosen:
        found = control_costs.measure(cost, seeds, typed)
        try:
            results.record([found], Path(path))
        except results.ResultsError as exc:
            raise Usage(f"lifttrail scale control: {exc}") from None
        if not as_json:
            click.echo(results.summary_text(found))
        measured.append(found)
    if as_json:
        click.echo(results.encode(results.ResultsFile(measurements=tuple(measured))), nl=False)
    return 0


@command.command("take")
@click.argument("runs", nargs=-1, required=True, metavar="RUN.json...")
@click.option("--program", default="", metavar="WORD", help="Version or commit that was run, if not this.")
@RESULTS
def take(runs: tuple[str, ...], program: str, path: str) -> int:
    """Take the JSON that `scale run` printed into the results file, as points of its size."""
    from dykeshift.scale import results, run_results

    held = load_results(path) if Path(path).exists() else results.ResultsFile()
    for name in runs:
        try:
            held = run_results.take(held, run_results.decode(Path(name).read_bytes()), program)
        except OSError as exc:
            raise Usage(f"lifttrail scale take: {name}: {exc.strerror}") from None
        except results.ResultsError as exc:
            raise Usage(f"lifttrail scale take: {name}: {exc}") from None
    try:
        results.save(held, Path(path))
    except results.ResultsError as exc:
        raise Usage(f"lifttrail scale take: {exc}") from None
    return 0


@command.command("run")
@click.option("--members", default=930, metavar="N", show_default=True, type=int, help="Hollow members.")
@click.option(
    "--real", default=None, metavar="N", type=int, help="Whole daemons beside; 6 on the real clock."
)
@click.option("--seconds", default=120.0, metavar="S", show_default=True, help="For all events together.")
@click.option("--seed", default=1, metavar="N", show_default=True, type=int, help="Of all that is drawn.")
@click.option(
    "--clock", default="real", metavar="real|virtual", show_default=True, help="Sockets, or events."
)
@click.option("--design", default="membership", metavar="NAME", show_default=True, help="Who is hollow.")
@click.option("--events", default="", metavar="A,B,...", help="What befalls the fleet; all, in order.")
@click.option("--start", default="settled", metavar="settled|cold", show_default=True, help="As it begins.")
@click.option("--wall", default=0.0, metavar="S", show_default=True, help="Cut short after; 0: never.")
@click.option("--processes", default=0, metavar="N", show_default=True, type=int, help="Hosts; 0: by size.")
@click.option("--out", default="", metavar="FILE", help="Add the figures to this results file.")
@JSON
def run(
    members: int,
    real: int | None,
    seconds: float,
    seed: int,
    clock: str,
    design: str,
    events: str,
    start: str,
    wall: float,
    processes: int,
    out: str,
    as_json: bool,
) -> int:
    """Run a fleet of hollow members and whole daemons through faults; 1 where a line does not hold."""
    import asyncio

    from dykeshift.scale import results, run_results
    from dykeshift.scale import run as runs
    from dykeshift.scale.faults import NAMES

    if start not in ("settled", "cold"):
        raise Usage(f"lifttrail scale run: --start: settled or cold, not {start}")
    wanted = runs.Wanted(
        members=members,
        real=real if real is not None else 6 * (clock == "real"),
        seconds=seconds,
        seed=seed,
        clock=clock,
        design=design,
        events=tuple(name.strip() for name in events.split(",")) if events else NAMES,
        settled=start == "settled",
        wall_s=wall,
        processes=processes,
    )
    if out and not Path(out).parent.is_dir():
        raise Usage(f"lifttrail scale run: --out: {Path(out).parent} is no folder")
    held = load_results(out) if out and Path(out).exists() else results.ResultsFile()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the hosts and daemons with the run
    try:
        result = asyncio.run(runs.play(wanted))
    except runs.RunError as exc:
        raise Usage(f"lifttrail scale run: {exc}") from None
    told = json.dumps(result.json())
    click.echo(told if as_json else "\n".join(runs.lines(result)))
    if out and result.starved:
        click.echo("starved: nothing is recorded", err=True)
    elif out:
        results.save(run_results.take(held, run_results.decode(told.encode())), Path(out))
    return 0 if result.judged and not result.findings else 1

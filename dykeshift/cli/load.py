"""`lifttrail load`: put a balancer under load, look for the highest it bears, compare two results."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from dykeshift.cli import Usage
from dykeshift.cli.terminal import Progress

SHAPES = ("poisson", "constant", "steps", "trace", "closed")


@click.command()
@click.argument("address")
@click.option("--protocol", type=click.Choice(("http", "mllp")), default="http", show_default=True)
@click.option("--shape", type=click.Choice(SHAPES), default="poisson", show_default=True)
@click.option("--rate", type=float, default=50.0, show_default=True, metavar="N", help="Requests a second.")
@click.option("--seconds", type=float, default=10.0, show_default=True, metavar="S")
@click.option("--steps", metavar="RATE:S,...", help="Rates one after another, for --shape steps.")
@click.option("--trace", type=Path, metavar="FILE", help="Seconds, a line each, for --shape trace.")
@click.option("--clients", type=int, default=10, show_default=True, metavar="N", help="Of --shape closed.")
@click.option("--think", type=float, default=0.0, metavar="S", help="Mean pause of a closed loop's clients.")
@click.option(
    "--class",
    "classes",
    multiple=True,
    metavar="NAME:SHARE:KIND:MS",
    help="KIND is safe, keyed or unsafe, MS the deadline; else three of the messaging kind.",
)
@click.option("--retries", type=int, default=0, metavar="N", help="After refusals and harmless failures.")
@click.option("--processes", type=int, default=1, show_default=True, metavar="N")
@click.option("--cost", type=float, default=0.0, metavar="MS", help="Work, told to stand-in senders.")
@click.option("--path", default="/api", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--search",
    metavar="SHARE,P,MS",
    help="Find the highest rate with so large a share served and percentile P within MS.",
)
@click.option("--highest", type=float, default=5000.0, show_default=True, metavar="N", help="Of --search.")
@click.option("--against", type=Path, metavar="FILE", help="Show a result that --json wrote beside this one.")
@click.option("--not-loopback", is_flag=True, help="ADDRESS may be another machine's.")
@click.option("--json", "as_json", is_flag=True, help="Print the result as one JSON object.")
def command(
    address: str,
    search: str | None,
    highest: float,
    against: Path | None,
    not_loopback: bool,
    as_json: bool,
    **given: Any,
) -> int:
    """Put the balancer at ADDRESS (HOST:PORT) under load and measure its service.

    Times count from when a request was due. Ends with 1 where nothing was served.
    """
    from dykeshift.load.runner import resolve
    from dykeshift.load.schedule import LoadError

    try:
        load, to = _read(address, given), resolve(address, not_loopback)
        before = _earlier(against) if against else None
        found = _search(load, to, search, highest) if search else _run(load, to)
    except (LoadError, ValueError) as exc:
        raise Usage(f"lifttrail load: {exc}") from None
    if as_json:
        print(json.dumps(found))
    else:
        _show(found, before)
    return 0 if found["answers"]["served"] else 1


def _read(address: str, given: dict[str, Any]) -> Any:
    """The load that the options describe."""
    from dykeshift.load.schedule import KINDS, Load, LoadError

    steps, trace, classes = given.pop("steps"), given.pop("trace"), given.pop("classes")
    raw = {"address": address, "think_s": given.pop("think"), "cost_ms": given.pop("cost"), **given}
    try:
        if steps:
            raw["steps"] = [[float(n) for n in step.split(":")] for step in steps.split(",")]
        if trace:
            raw["trace"] = [float(line) for line in trace.read_text(encoding="utf-8").split()]
        if classes:
            parts = [text.split(":") for text in classes]
            raw["kinds"] = [
                {"name": n, "share": float(s), "kind": k, "deadline_ms": float(d)} for n, s, k, d in parts
            ]
        else:
            raw["kinds"] = msgspec.to_builtins(KINDS)
        return msgspec.convert(raw, Load)
    except OSError as exc:
        raise LoadError(f"cannot read {trace}: {exc.strerror}") from None
    except msgspec.ValidationError as exc:
        raise LoadError(str(exc)) from None
    except ValueError as exc:
        raise LoadError(f"--steps, --trace or --class: {exc}") from None


def _earlier(path: Path) -> dict[str, Any]:
    try:
        earlier: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
        earlier["times_ms"], earlier["answers"]  # noqa: B018 - a result has them
    except OSError as exc:
        raise ValueError(f"cannot read {path}: {exc.strerror}") from None
    except (ValueError, KeyError, TypeError):
        raise ValueError(f"{path} is no result of `lifttrail load --json`") from None
    return earlier


def _run(load: Any, to: tuple[str, int]) -> dict[str, Any]:
    from dykeshift.load.runner import run

    total = load.expected() if load.shape != "closed" else 0
    with Progress(total, f"{load.shape} load") as progress:
        return run(load, to, lambda done: progress.show(done))


def _search(load: Any, to: tuple[str, int], text: str, highest: float) -> dict[str, Any]:
    from msgspec.structs import replace

    from dykeshift.load.schedule import MOST_RATE, LoadError
    from dykeshift.load.search import Search, Service

    try:
        share, percentile, limit = text.split(",")
        service = Service(float(share), f"{float(percentile):g}", float(limit))
        search = Search(min(load.rate, highest), highest)
    except ValueError as exc:
        raise LoadError(f"--search {text}: {exc}") from None
    if load.shape not in ("poisson", "constant") or highest > MOST_RATE:
        raise LoadError(f"--search needs --shape poisson or constant and --highest up to {MOST_RATE:g}")
    tried, best = list[dict[str, Any]](), dict[str, Any]()
    while not search.over():
        found = _run(replace(load, rate=search.rate), to)
        kept = service.kept(found)
        tried.append(
            {"rate": search.rate, "kept": kept, "served": found["served"], "times_ms": found["times_ms"]}
        )
        best = found if kept or not best else best
        search.tried(kept)
    return {**best, "highest_rate": search.low, "tried": tried}


def _show(found: dict[str, Any], before: dict[str, Any] | None) -> None:
    from rich.console import Console
    from rich.table import Table

    console = Console(file=sys.stdout)
    answers = ", ".join(f"{n} {how}" for how, n in found["answers"].items() if n)
    console.print(
        f"{found['errands']} errands in {found['seconds']:.1f} s ({found['rate']:.1f} a second), "
        f"{found['tries']} tries: {answers}"
    )
    if found["refusals"]:
        console.print("refusals: " + ", ".join(f"{n} {how}" for how, n in found["refusals"].items()))
    table = Table("ms", *found["times_ms"], title="times from when requests were due")
    rows = {"all": found, **({"earlier": before} if before else {}), **found["classes"]}
    for name, row in rows.items():
        table.add_row(name, *(f"{v:.1f}" for v in row["times_ms"].values()))
    table.add_row("own lateness", *(f"{v:.1f}" for v in found["own_lateness_ms"].values()))
    console.print(table)
    if "highest_rate" in found:
        console.print(f"highest rate that keeps the service: {found['highest_rate']:.1f} a second")

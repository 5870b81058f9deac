"""`lifttrail rig`: several balancers as processes with faults between them, their views held to the truth."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from dykeshift.cli import Usage
from dykeshift.cli.sim import JSON, read_seeds

VERSIONS = click.option(
    "--versions", is_flag=True, help="Days of balancers with settings in versions, operators and clients."
)


def _drawer(agree: bool, versions: bool) -> Any:
    from dykeshift.rig import plan

    if agree and versions:
        raise Usage("lifttrail rig: --agree and --versions are kinds of days: one at a time")
    return plan.draw_history if agree else plan.draw_rules if versions else plan.draw


@click.group(no_args_is_help=False)
def command() -> None:
    """Start several balancers with faults between them, and hold their views to the truth."""


def _plans(file: str | None, seeds: str | None, agree: bool, versions: bool) -> list[Any]:
    from dykeshift.rig import plan

    if (file is None) == (seeds is None):
        raise Usage("lifttrail rig: a FILE or --seeds, one of them")
    if seeds is not None:
        draw = _drawer(agree, versions)
        return [draw(int(seed)) for seed in read_seeds(seeds)]
    try:
        return [plan.load(Path(file or "").read_text(encoding="utf-8"))]
    except (OSError, UnicodeDecodeError) as exc:
        raise Usage(f"lifttrail rig: cannot read {file}: {exc}") from None
    except plan.PlanError as exc:
        raise Usage(f"lifttrail rig: {file}: {exc}") from None


@command.command("run")
@click.argument("file", required=False)
@click.option("--seeds", metavar="A:B", help="Days drawn from seeds, from A up to, without, B.")
@click.option(
    "--jobs", default=1, metavar="N", show_default=True, type=click.IntRange(1, 64), help="Days side by side."
)
@click.option(
    "--keep",
    default="found/rig",
    metavar="FOLDER",
    show_default=True,
    help="Takes logs, record and datagrams of days on which something broke.",
)
@click.option(
    "--agree", is_flag=True, help="Days of balancers that share a history, with clients that change it."
)
@VERSIONS
@click.option("--plot", metavar="FILE", help="Draw the (last) day's time line there.")
@JSON
def run(
    file: str | None,
    seeds: str | None,
    jobs: int,
    keep: str,
    agree: bool,
    versions: bool,
    plot: str | None,
    as_json: bool,
) -> int:
    """Play a day from a FILE (TOML) or days drawn from seeds; 1 where a rule was broken."""
    plans, failed, last = _plans(file, seeds, agree, versions), 0, None
    for verdict in _played([(plan, Path(keep) / plan.name) for plan in plans], jobs):
        last = verdict
        failed += bool(verdict.breaches)
        _say(verdict, as_json)
    if plot and last is not None:
        from dykeshift.rig.plot import draw

        draw(last, plot)
    if not as_json:
        print(f"{len(plans) - failed} passed, {failed} failed")
    return 1 if failed else 0


def _played(work: list[tuple[Any, Path]], jobs: int) -> Iterator[Any]:
    """In the order of the days. An interrupt, or SIGTERM, ends each day's processes with it."""
    from dykeshift.rig.day import play

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if jobs == 1 or len(work) == 1:
        yield from (play(*one) for one in work)
        return
    import multiprocessing

    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap(_play, work)


def _play(one: tuple[Any, Path]) -> Any:
    from dykeshift.rig.day import play

    return play(*one)


def _say(verdict: Any, as_json: bool) -> None:
    breaches = [{"rule": b.rule, "line": b.line, "text": b.text} for b in verdict.breaches]
    told = {
        "day": verdict.plan.name,
        "balancers": verdict.plan.balancers,
        "seconds": verdict.seconds,
        "looks": sum(line["what"] == "view" for line in verdict.record),
        "calls": sum(line["what"] == "call" for line in verdict.record),
        "breaches": breaches,
        "margins_s": [round(m, 3) for m in verdict.margins],
        "kept": verdict.folder,
    }
    if as_json:
        print(json.dumps(told), flush=True)
        return
    print(
        f"{told['day']}: {told['balancers']} balancers, {told['looks']} views, {told['seconds']:.1f} s, "
        f"{len(breaches)} breaches",
        flush=True,
    )
    for breach in breaches[:5]:
        print(
            f"  {breach['rule']}: {breach['text']} (line {breach['line']}, {verdict.folder})", file=sys.stderr
        )


@command.command("show")
@click.argument("seed")
@click.option("--agree", is_flag=True, help="Of the days with a shared history.")
@VERSIONS
@JSON
def show(seed: str, agree: bool, versions: bool, as_json: bool) -> int:
    """The day that belongs to a SEED."""
    from dykeshift.rig import plan

    day = _drawer(agree, versions)(int(read_seeds(seed)[0]))
    if as_json:
        print(plan.dump(day))
        return 0
    print(f"{day.name}: {day.balancers} balancers, period {day.period_s} s, lease {day.lease_s} s")
    for number, step in enumerate(day.step):
        faults = [f"{f.kind} {' '.join(map(str, f.who or f.groups))}".strip() for f in step.faults]
        print(
            f"step {number}: {', '.join(faults) or 'start'}; hold {step.hold} periods"
            + (", then rest" if step.rest else "")
            + (", then one history" if step.level else "")
            + (", then one version" if step.ruled else "")
        )
    return 0

"""`lifttrail sim`: run many seeds, replay one, shrink one."""

from __future__ import annotations

import hashlib
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import click

from dykeshift.cli import Usage
from dykeshift.cli.terminal import Progress

MOST_SEEDS = 1_000_000
LISTED = 50  # failed seeds that are listed; the others are counted


JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


@click.group(no_args_is_help=False)
def command() -> None:
    """Play the balancer on a virtual clock against faults drawn from seeds."""


def read_seeds(text: str) -> list[str]:
    """`A:B` or one number; Usage says what is wrong."""
    first, colon, last = text.partition(":")
    try:
        low = int(first)
        high = int(last) if colon else low + 1
    except ValueError:
        raise Usage(f"lifttrail sim: {text!r} is no range of seeds such as 0:1000") from None
    if not 0 <= low < high or high - low > MOST_SEEDS:
        raise Usage(f"lifttrail sim: the range {text!r} is empty, negative or over {MOST_SEEDS} seeds")
    return [str(n) for n in range(low, high)]


def _load(text: str) -> Any:
    from dykeshift.sim import scenario

    if scenario.bare(text).isdecimal():
        return scenario.draw(text)
    try:
        return scenario.load(Path(text).read_text(encoding="utf-8"))
    except OSError as exc:
        raise Usage(f"lifttrail sim: {text!r} is no seed and no readable file: {exc.strerror}") from None
    except (scenario.ScenarioError, UnicodeDecodeError) as exc:
        raise Usage(f"lifttrail sim: {text}: {exc}") from None


@command.command("run")
@click.option(
    "--seeds",
    default="0:100",
    metavar="A:B",
    show_default=True,
    help="From A up to, without, B; or one seed.",
)
@click.option("--mllp", is_flag=True, help="Days with clinics, seeds A+mllp to B+mllp.")
@click.option("--operators", is_flag=True, help="Days with operators, seeds A+ops to B+ops.")
@click.option("--view", is_flag=True, help="Days whose balancers keep a view, seeds A+view to B+view.")
@click.option("--cold", is_flag=True, help="Days of many balancers and cold senders, A+cold to B+cold.")
@click.option("--watches", is_flag=True, help="Days on which watches break as senders drain, A+watches on.")
@click.option("--ends", is_flag=True, help="Days on which balancers are told to end, A+ends to B+ends.")
@click.option("--aged", is_flag=True, help="Days with long answers on old connections, A+aged to B+aged.")
@click.option("--replaced", is_flag=True, help="Days with replacements at addresses, A+replaced on.")
@click.option("--stricter", is_flag=True, help="Days on which a class becomes unsafe, A+stricter on.")
@click.option("--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="Processes.")
@JSON
def run(
    seeds: str,
    mllp: bool,
    operators: bool,
    view: bool,
    cold: bool,
    watches: bool,
    ends: bool,
    aged: bool,
    replaced: bool,
    stricter: bool,
    jobs: int,
    as_json: bool,
) -> int:
    """Play many seeds; 1 where a rule was broken."""
    from dykeshift.sim.runner import Played, play_all

    from dykeshift.sim.scenario import (
        AGED,
        COLD_AT_SIZE,
        ENDS,
        REPLACED,
        STRICTER,
        WATCHES,
        WITH_MLLP,
        WITH_OPERATORS,
        WITH_VIEW,
    )

    kinds = (
        (WITH_MLLP, mllp),
        (WITH_OPERATORS, operators),
        (WITH_VIEW, view),
        (COLD_AT_SIZE, cold),
        (WATCHES, watches),
        (ENDS, ends),
        (AGED, aged),
        (REPLACED, replaced),
        (STRICTER, stricter),
    )
    wanted = [kind for kind, asked in kinds if asked]
    if len(wanted) > 1:
        raise Usage(
            "lifttrail sim: --mllp, --operators, --view, --cold, --watches, --ends, --aged, --replaced and "
            "--stricter are kinds of days: one at a time"
        )
    kind = "".join(wanted)
    names = [seed + kind for seed in read_seeds(seeds)]
    if jobs < 1:
        raise Usage("lifttrail sim: --jobs is at least 1")
    count = [0, 0]

    def seen(played: Played) -> None:
        count[0] += 1
        count[1] += bool(played.rules)
        progress.show(count[0], f"{count[1]} failed")

    began = time.monotonic()
    with Progress(len(names), "days") as progress:
        done = play_all(names, jobs, seen)
    wall = time.monotonic() - began
    failed = [p for p in done if p.rules]
    virtual = sum(p.virtual for p in done)
    digest = hashlib.blake2b("".join(p.digest for p in done).encode(), digest_size=16).hexdigest()
    report: dict[str, Any] = {
        "passed": len(done) - len(failed),
        "failed": len(failed),
        "wall_s": round(wall, 2),
        "cpu_s": round(sum(p.cpu for p in done), 2),
        "virtual_s": round(virtual, 1),
        "requests": sum(p.figures["requests"] for p in done),
        "events": sum(p.steps for p in done),
        "digest": digest,
        "rules": dict(Counter(rule for p in failed for rule in p.rules)),
        "failures": [{"seed": p.seed, "rules": list(p.rules), "first": p.first} for p in failed],
    }
    if as_json:
        print(json.dumps(report))
        return 1 if failed else 0
    for played in failed[:LISTED]:
        print(f"seed {played.seed}: {played.first}")
    if len(failed) > LISTED:
        print(f"and {len(failed) - LISTED} more")
    for rule, times in Counter(rule for p in failed for rule in p.rules).most_common():
        print(f"{rule}: {times} seeds")
    print(
        f"{virtual / max(wall, 1e-9):.0f} virtual seconds a second, "
        f"{60 * len(done) / max(wall, 1e-9):.0f} seeds a minute, {report['requests']} requests, "
        f"digest {digest}"
    )
    print(f"{report['passed']} passed, {report['failed']} failed")
    return 1 if failed else 0


@command.command("replay")
@click.argument("scenario")
@click.option("--trace", metavar="FILE", help="Write the time line there; - for standard output.")
@JSON
def replay(scenario: str, trace: str | None, as_json: bool) -> int:
    """Play one seed or scenario file again; 1 where a rule was broken."""
    from dykeshift.sim.day import play
    from dykeshift.sim.kernel import EPOCH, SECOND

    day = _load(scenario)
    lines = list[str]()

    def tracing(at: int, text: str) -> None:
        lines.append(f"{(at - EPOCH) / SECOND:12.6f}  {text}")

    result = play(day, tracing if trace else None)
    if trace == "-":
        print("\n".join(lines))
    elif trace:
        try:
            Path(trace).write_text("\n".join(lines) + "\n", encoding="utf-8")
        except OSError as exc:
            raise Usage(f"lifttrail sim: cannot write {trace}: {exc.strerror}") from None
    breaches = [
        {"rule": b.rule, "at_s": round((b.at - EPOCH) / SECOND, 6), "text": b.text} for b in result.breaches
    ]
    if as_json:
        print(
            json.dumps(
                {
                    "seed": result.seed,
                    "digest": result.digest,
                    "events": result.steps,
                    "figures": result.figures,
                    "breaches": breaches,
                }
            )
        )
    else:
        for number, fault in enumerate(day.faults):
            print(
                f"fault {number}: {fault.kind} at {fault.at:.3f} s for {fault.length:.3f} s, "
                f"which {fault.which}, size {fault.size}"
            )
        for one in breaches:
            print(f"BROKEN {one['rule']} at {one['at_s']} s: {one['text']}")
        print(" ".join(f"{name} {value}" for name, value in result.figures.items()))
        print(f"{result.steps} events, digest {result.digest}")
    return 1 if breaches else 0


@command.command("shrink")
@click.argument("scenario")
@click.option("--rule", help="The rule that must stay broken; else the first that breaks.")
@click.option("--budget", type=int, default=600, metavar="N", show_default=True, help="Days to play at most.")
@click.option("--out", metavar="FILE", help="Write the scenario there, not to standard output.")
@JSON
def shrink(scenario: str, rule: str | None, budget: int, out: str | None, as_json: bool) -> int:
    """Find the smallest scenario that breaks the same rule."""
    from dykeshift.sim.referee import RULES
    from dykeshift.sim.shrink import NoViolationError, Shrinker

    if rule is not None and rule not in RULES:
        raise Usage(f"lifttrail sim: there is no rule {rule!r}; the rules are {', '.join(RULES)}")

    def seen(plays: int, faults: int, asks: int) -> None:
        progress.show(plays, f"{faults} faults, {asks} requests left")

    try:
        with Progress(budget, "days") as progress:
            found = Shrinker(_load(scenario), rule, budget, seen).run()
    except NoViolationError:
        raise Usage(f"lifttrail sim: {scenario} breaks no rule: nothing to shrink") from None
    text = found.scenario.dump()
    if out:
        try:
            Path(out).write_text(text + "\n", encoding="utf-8")
        except OSError as exc:
            raise Usage(f"lifttrail sim: cannot write {out}: {exc.strerror}") from None
    summary = {
        "rule": found.rule,
        "text": found.text,
        "faults": len(found.scenario.faults),
        "requests": len(found.scenario.asks),
        "plays": found.plays,
    }
    if as_json:
        print(json.dumps({**summary, "scenario": json.loads(text)}))
        return 0
    print(
        f"{found.rule}: {found.text} ({summary['faults']} faults, {summary['requests']} requests, "
        f"{found.plays} days played)",
        file=sys.stderr,
    )
    if not out:
        print(text)
    return 0

"""`lifttrail sim`: run many seeds, replay one, shrink one."""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from dykeshift.cli import Usage
from dykeshift.cli.terminal import Progress

MOST_SEEDS = 1_000_000
LISTED = 50  # failed seeds that are listed; the others are counted


def arguments(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(dest="action", required=True, metavar="run|replay|shrink")
    run = commands.add_parser("run", help="play many seeds")
    run.add_argument("--seeds", default="0:100", metavar="A:B", help="from A up to, without, B; or one seed")
    run.add_argument("--mllp", action="store_true", help="days with clinics, seeds A+mllp to B+mllp")
    run.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="processes")
    replay = commands.add_parser("replay", help="play one seed or scenario file again")
    replay.add_argument("scenario", metavar="SEED|FILE")
    replay.add_argument("--trace", metavar="FILE", help="write the time line there; - for standard output")
    shrink = commands.add_parser("shrink", help="find the smallest scenario that breaks the same rule")
    shrink.add_argument("scenario", metavar="SEED|FILE")
    shrink.add_argument("--rule", help="the rule that must stay broken; else the first that breaks")
    shrink.add_argument("--budget", type=int, default=600, metavar="N", help="days to play at the most")
    shrink.add_argument("--out", metavar="FILE", help="write the scenario there, not to standard output")
    for one in (run, replay, shrink):
        one.add_argument("--json", action="store_true", help="print one JSON object")


def run(options: argparse.Namespace) -> int:
    return {"run": _run, "replay": _replay, "shrink": _shrink}[options.action](options)


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

    if text.removesuffix(scenario.WITH_MLLP).isdecimal():
        return scenario.draw(text)
    try:
        return scenario.load(Path(text).read_text(encoding="utf-8"))
    except OSError as exc:
        raise Usage(f"lifttrail sim: {text!r} is no seed and no readable file: {exc.strerror}") from None
    except (scenario.ScenarioError, UnicodeDecodeError) as exc:
        raise Usage(f"lifttrail sim: {text}: {exc}") from None


def _run(options: argparse.Namespace) -> int:
    from dykeshift.sim.runner import Played, play_all

    from dykeshift.sim.scenario import WITH_MLLP

    seeds = [seed + (WITH_MLLP if options.mllp else "") for seed in read_seeds(options.seeds)]
    if options.jobs < 1:
        raise Usage("lifttrail sim: --jobs is at least 1")
    progress, count = Progress(len(seeds)), [0, 0]

    def seen(played: Played) -> None:
        count[0] += 1
        count[1] += bool(played.rules)
        progress.show(*count)

    began = time.monotonic()
    done = play_all(seeds, options.jobs, seen)
    progress.end()
    wall = time.monotonic() - began
    failed = [p for p in done if p.rules]
    virtual = sum(p.virtual for p in done)
    digest = hashlib.blake2b("".join(p.digest for p in done).encode(), digest_size=16).hexdigest()
    report: dict[str, Any] = {
        "passed": len(done) - len(failed), "failed": len(failed), "wall_s": round(wall, 2),
        "cpu_s": round(sum(p.cpu for p in done), 2), "virtual_s": round(virtual, 1),
        "requests": sum(p.figures["requests"] for p in done), "events": sum(p.steps for p in done),
        "digest": digest,
        "rules": dict(Counter(rule for p in failed for rule in p.rules)),
        "failures": [{"seed": p.seed, "rules": list(p.rules), "first": p.first} for p in failed],
    }
    if options.json:
        print(json.dumps(report))
        return 1 if failed else 0
    for played in failed[:LISTED]:
        print(f"seed {played.seed}: {played.first}")
    if len(failed) > LISTED:
        print(f"and {len(failed) - LISTED} more")
    for rule, times in Counter(rule for p in failed for rule in p.rules).most_common():
        print(f"{rule}: {times} seeds")
    print(f"{virtual / max(wall, 1e-9):.0f} virtual seconds a second, "
          f"{60 * len(done) / max(wall, 1e-9):.0f} seeds a minute, {report['requests']} requests, "
          f"digest {digest}")
    print(f"{report['passed']} passed, {report['failed']} failed")
    return 1 if failed else 0


def _replay(options: argparse.Namespace) -> int:
    from dykeshift.sim.day import play
    from dykeshift.sim.kernel import EPOCH, SECOND

    scenario = _load(options.scenario)
    lines = list[str]()

    def tracing(at: int, text: str) -> None:
        lines.append(f"{(at - EPOCH) / SECOND:12.6f}  {text}")

    result = play(scenario, tracing if options.trace else None)
    if options.trace == "-":
        print("\n".join(lines))
    elif options.trace:
        try:
            Path(options.trace).write_text("\n".join(lines) + "\n", encoding="utf-8")
        except OSError as exc:
            raise Usage(f"lifttrail sim: cannot write {options.trace}: {exc.strerror}") from None
    breaches = [{"rule": b.rule, "at_s": round((b.at - EPOCH) / SECOND, 6), "text": b.text}
                for b in result.breaches]
    if options.json:
        print(json.dumps({"seed": result.seed, "digest": result.digest, "events": result.steps,
                          "figures": result.figures, "breaches": breaches}))
    else:
        for number, fault in enumerate(scenario.faults):
            print(f"fault {number}: {fault.kind} at {fault.at:.3f} s for {fault.length:.3f} s, "
                  f"which {fault.which}, size {fault.size}")
        for one in breaches:
            print(f"BROKEN {one['rule']} at {one['at_s']} s: {one['text']}")
        print(" ".join(f"{name} {value}" for name, value in result.figures.items()))
        print(f"{result.steps} events, digest {result.digest}")
    return 1 if breaches else 0


def _shrink(options: argparse.Namespace) -> int:
    from dykeshift.sim.referee import RULES
    from dykeshift.sim.shrink import NothingBroken, Shrinker

    if options.rule is not None and options.rule not in RULES:
        raise Usage(f"lifttrail sim: there is no rule {options.rule!r}; the rules are {', '.join(RULES)}")
    on = sys.stderr.isatty()

    def seen(plays: int, faults: int, asks: int) -> None:
        if on:
            sys.stderr.write(f"\r{plays} days played: {faults} faults, {asks} requests left ")

    try:
        found = Shrinker(_load(options.scenario), options.rule, options.budget, seen).run()
    except NothingBroken:
        raise Usage(f"lifttrail sim: {options.scenario} breaks no rule: nothing to shrink") from None
    text = found.scenario.dump()
    if options.out:
        try:
            Path(options.out).write_text(text + "\n", encoding="utf-8")
        except OSError as exc:
            raise Usage(f"lifttrail sim: cannot write {options.out}: {exc.strerror}") from None
    summary = {"rule": found.rule, "text": found.text, "faults": len(found.scenario.faults),
               "requests": len(found.scenario.asks), "plays": found.plays}
    if options.json:
        print(json.dumps({**summary, "scenario": json.loads(text)}))
        return 0
    print(f"{found.rule}: {found.text} ({summary['faults']} faults, {summary['requests']} requests, "
          f"{found.plays} days played)", file=sys.stderr)
    if not options.out:
        print(text)
    return 0

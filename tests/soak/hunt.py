"""Checks that drawn runs find each seeded defect: `python -m tests.soak.hunt` prints a table."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

from tests.soak.defects import DEFECTS, Defect, Size
from tests.soak.run import play

MAX_RUNS = {Size.WHOLE: 20, Size.SMALL: 100}  # by size of the defect: it must be found within so many runs


@dataclass(frozen=True, slots=True)
class HuntResult:
    """The run that found a defect, the number of runs played, and the rule that was broken."""

    seed: int = -1
    runs: int = 0
    rule: str = ""


def find_broken_rule(name: str, seed: int) -> str:
    """Play a seed with a defect; return the first of its rules that the run finds broken, or ""."""
    defect = next(one for one in DEFECTS if one.name == name)
    result = play(seed, ("-m", "tests.soak.defects", name))
    return next((rule for rule in defect.rules if rule in result.broken_rules()), "")


def hunt(defect: Defect, first: int, most: int, pool: ProcessPoolExecutor, jobs: int) -> HuntResult:
    """Play seeds from `first` on, `jobs` at once, until one finds the defect or `most` have been played."""
    for begin in range(0, most, jobs):
        seeds = range(first + begin, first + min(begin + jobs, most))
        seed_by_future = {pool.submit(find_broken_rule, defect.name, seed): seed for seed in seeds}
        found = sorted(
            (seed_by_future[future], future.result())
            for future in as_completed(seed_by_future)
            if future.result()
        )
        if found:
            return HuntResult(found[0][0], begin + len(seeds), found[0][1])
    return HuntResult(runs=most)


def main() -> int:
    """Hunt all defects, or those whose name contains a text; return 1 if one is not found."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.hunt", description=__doc__)
    parser.add_argument("--first", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--most", type=int, default=0, help="runs per defect; 0: the limit of its size")
    parser.add_argument("--only", default="", help="defect names or parts of them, separated by |")
    args = parser.parse_args()
    missed = 0
    print(
        "| rule | defect | size | found as | by seed | runs played |\n| --- | --- | --- | --- | --- | --- |"
    )
    with ProcessPoolExecutor(args.jobs, max_tasks_per_child=1) as pool:
        for defect in DEFECTS:
            if not any(part in defect.name for part in args.only.split("|")):
                continue
            most = args.most or MAX_RUNS[defect.size]
            found = hunt(defect, args.first, most, pool, args.jobs)
            missed += not found.rule
            seed = str(found.seed) if found.rule else ""
            print(
                f"| {defect.rules[0]} | {defect.name} | {defect.size} | {found.rule or 'NOT FOUND'} "
                f"| {seed} | {found.runs} |",
                flush=True,
            )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())

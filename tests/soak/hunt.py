"""Whether drawn runs find each fault that is put in: `python -m tests.soak.hunt`; prints a table."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

from tests.soak.defects import DEFECTS, Defect, Size
from tests.soak.run import play

SEEDS = {Size.WHOLE: 20, Size.SMALL: 100}  # within so many a defect must be found


@dataclass(frozen=True, slots=True)
class Found:
    """By which run a defect was found, as the how manieth, and which rule it broke."""

    seed: int = -1
    runs: int = 0
    rule: str = ""


def finds(name: str, seed: int) -> str:
    """The rule that a run finds broken with a defect, of those that it must break; empty: none."""
    defect = next(one for one in DEFECTS if one.name == name)
    result = play(seed, ("-m", "tests.soak.defects", name))
    return next((rule for rule in defect.rules if rule in result.rules()), "")


def hunt(defect: Defect, first: int, most: int, pool: ProcessPoolExecutor, jobs: int) -> Found:
    """Play seeds from `first` on, `jobs` at once, until one finds it."""
    for begin in range(0, most, jobs):
        seeds = range(first + begin, first + min(begin + jobs, most))
        played = {pool.submit(finds, defect.name, seed): seed for seed in seeds}
        found = sorted((played[one], one.result()) for one in as_completed(played) if one.result())
        if found:
            return Found(found[0][0], begin + len(seeds), found[0][1])
    return Found(runs=most)


def main() -> int:
    """Hunt all defects, or those whose name holds a text; exit 1 if one is not found."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.hunt", description=__doc__)
    parser.add_argument("--first", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--most", type=int, default=0, help="runs for each; 0: as many as its size allows")
    parser.add_argument("--only", default="", help="names, or parts of them, separated by |")
    given = parser.parse_args()
    missed = 0
    print(
        "| rule | defect | size | found as | by seed | runs played |\n| --- | --- | --- | --- | --- | --- |"
    )
    with ProcessPoolExecutor(given.jobs, max_tasks_per_child=1) as pool:
        for defect in DEFECTS:
            if not any(part in defect.name for part in given.only.split("|")):
                continue
            most = given.most or SEEDS[defect.size]
            found = hunt(defect, given.first, most, pool, given.jobs)
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

"""Plays a range of seeds: `python -m tests.soak FROM TO [--jobs N]`; exits with 1 if a run breaks a rule."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed

from tests.soak.run import Result, to_json_line, play


def main() -> int:
    """Print a line of JSON for each run, and at the end how many runs broke a rule."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("end", type=int, help="the seed after the last one played")
    parser.add_argument("--jobs", type=int, default=3, help="concurrent runs, of about twelve processes each")
    parser.add_argument(
        "--program", default="-m dykeshift.node", help="the interpreter's arguments that start a daemon"
    )
    args = parser.parse_args()
    program = tuple(args.program.split())
    broken = 0
    with ProcessPoolExecutor(args.jobs, max_tasks_per_child=1) as pool:
        seed_by_future = {pool.submit(play, seed, program): seed for seed in range(args.first, args.end)}
        for future in as_completed(seed_by_future):
            try:
                result = future.result()
            except Exception as exc:  # a run that could not be played counts as broken
                result = Result(seed_by_future[future], (f"not played: {exc!r}",), {}, {})
            broken += bool(result.breaches)
            print(to_json_line(result), flush=True)
    print(f"{args.end - args.first} runs, {broken} broken", file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

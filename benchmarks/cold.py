"""How near cold senders come to falling under the sum of all balancers, by the fleet's model.

A start counts as past chance where the work that came within the settings' window was over N + 2 x root of
N + 2 requests of mean work, N being what the settings allow the sender at that moment.

    python -m benchmarks.cold [--seeds N]
"""

from __future__ import annotations

import argparse
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from math import sqrt

from benchmarks.size import TROUBLES, day
from dykeshift.model.senders import Process
from dykeshift.model.world import play
from dykeshift.rules import Balancer

SIZES = (3, 10, 30, 200)
KINDS = tuple(kind for kind in TROUBLES if kind != "calm")
SECOND = 1_000_000_000


def starts(task: tuple[int, str, int]) -> list[tuple[float, float]]:
    """Of each cold start its highest work within a window, as a part of N and of what chance allows."""
    count, kind, seed = task
    plan = day(count, kind, seconds=10.0)
    mean = plan.work.mean_ms * 1e6
    highest: dict[Process, tuple[float, float]] = {}
    press = Process._press

    def watched(self: Process, now: int, work: int) -> bool:
        fell = press(self, now, work)
        shape = self.post.shape
        window = shape.fall_s * SECOND * shape.slots * self.post.speed * self.warmth(now)
        allowed, came = shape.fall_multiple * window / mean, self.pressed / mean
        before = highest.get(self, (0.0, 0.0))
        chance = allowed + 2 * sqrt(allowed) + 2
        highest[self] = max(before[0], came / allowed), max(before[1], came / chance)
        return fell

    Process._press = watched  # type: ignore[method-assign]
    try:
        play(plan, Balancer, seed)
    finally:
        Process._press = press  # type: ignore[method-assign]
    return list(highest.values())


def main() -> None:
    """Print a table: a row for each number of balancers and kind of day."""
    parser = argparse.ArgumentParser(description="cold senders under the sum of all balancers")
    parser.add_argument("--seeds", type=int, default=6)
    options = parser.parse_args()
    tasks = [(count, kind, seed) for count in SIZES for kind in KINDS for seed in range(1, options.seeds + 1)]
    found: dict[tuple[int, str], list[tuple[float, float]]] = defaultdict(list)
    with ProcessPoolExecutor() as workers:
        for (count, kind, _), some in zip(tasks, workers.map(starts, tasks), strict=True):
            found[count, kind] += some
    print("| balancers | day | cold starts | past chance | highest of N | highest of what chance allows |")
    print("| --- | --- | --- | --- | --- | --- |")
    for (count, kind), some in found.items():
        past = sum(part > 1 for _, part in some)
        print(
            f"| {count} | {kind} | {len(some)} | {past} | {max(n for n, _ in some):.2f} "
            f"| {max(part for _, part in some):.2f} |"
        )


if __name__ == "__main__":
    main()

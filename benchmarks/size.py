"""What a fleet costs at 4, 16, 40 and 100 balancers, with the module as it is and as it was, in one run.

Service, refusals and attempts from the model (dykeshift/model), first lists and calls from balancers at an
overbooked discovery. Usage: python -m benchmarks.size [--seeds 3] [--plot FILE.svg] [--json]
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Any

from dykeshift.model.calls import MS, Desk, first_lists
from dykeshift.model.day import CLASSES, Balancers, Day, Kind, Senders, Stretch, Trouble, Work
from dykeshift.model.world import play
from dykeshift.lab.stats import Estimate, difference, estimate
from dykeshift.rules import Balancer
from tests.model.before import Hasty, Wide  # the module as it was: a defect to the tests

SIZES = (4, 16, 40, 100)
TROUBLES: dict[str, tuple[Trouble, ...]] = {
    "calm": (),
    "join": (Trouble(kind="roll", at=3, part=0.6, spread_s=7.0),),
    "zone": (Trouble(kind="restart", at=3, part=0.25, spread_s=0.2),),
    "herd": (
        Trouble(kind="roll", at=3, part=0.3, spread_s=5.0),
        Trouble(kind="balancer-restart", at=4, part=0.7, spread_s=0.5),
    ),
}
FIGURES = ("worth", "refusals", "attempts")


def day(balancers: int, kind: str, seconds: float = 14.0) -> Day:
    """Three senders for two balancers, of three speeds that nobody tells, at 0.55 of what they can do."""
    kinds = (Kind(share=0.38, speed=1.6, weighed=False), Kind(share=0.36, speed=0.6, weighed=False))
    senders = Senders(count=max(14, balancers * 3 // 2), slots=2, discipline="sharing", kinds=kinds)
    return Day(
        senders=senders,
        balancers=Balancers(count=balancers),
        work=Work(mean_ms=60.0),
        load=(Stretch(seconds=seconds, load=0.55),),
        troubles=TROUBLES[kind],
        classes=CLASSES,
    )


def one(task: tuple[int, str, str, int]) -> dict[str, float]:
    """Play one day and return its figures."""
    size, kind, name, seed = task
    figures = play(day(size, kind), Wide if name == "before" else Balancer, seed)
    return {figure: float(getattr(figures, figure)) for figure in FIGURES}


def rows(seeds: int) -> list[dict[str, Any]]:
    """A row for each size and day, with the figures before and after over all seeds."""
    tasks = [
        (size, kind, name, seed)
        for size in reversed(SIZES)
        for kind in TROUBLES
        for name in ("before", "after")
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor() as workers:
        played = dict(zip(tasks, workers.map(one, tasks), strict=True))
    found: list[dict[str, Any]] = []
    for size in SIZES:
        for kind in TROUBLES:
            row: dict[str, Any] = {"balancers": size, "day": kind}
            for figure in FIGURES:
                values = {
                    name: {seed: played[size, kind, name, seed][figure] for seed in range(1, seeds + 1)}
                    for name in ("before", "after")
                }
                row[figure] = {name: estimate(list(some.values()))._asdict() for name, some in values.items()}
                row[figure + "_gain"] = difference(values["after"], values["before"])._asdict()
            found.append(row)
    return found


def lists(seeds: int) -> list[dict[str, Any]]:
    """How long balancers wait for their first list at an overbooked discovery, by size."""
    found: list[dict[str, Any]] = []
    for size in SIZES:
        settings = replace(day(size, "calm").settings(0), ask_discovery=True)
        desk = Desk(work=4_000 * MS // size)  # one call of each takes four seconds, at any size
        for name, make in (("before", Hasty), ("after", Balancer)):
            seen = [
                first_lists([make(settings, 1_000 * seed + n) for n in range(size)], desk, 30_000 * MS)
                for seed in range(seeds)
            ]
            last = [max(s.lists, default=0) / 1_000 / MS for s in seen]
            found.append(
                {
                    "balancers": size,
                    "module": name,
                    "last_list_s": estimate(last)._asdict(),
                    "with_list": estimate([len(s.lists) / size for s in seen])._asdict(),
                    "calls_each": estimate([s.calls / size for s in seen])._asdict(),
                }
            )
    return found


def plot(found: list[dict[str, Any]], path: str) -> None:
    """Draw the worth by size to an SVG file."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "size"
    from matplotlib import pyplot as plt

    figure, panes = plt.subplots(1, len(TROUBLES), figsize=(12, 3), sharey=True)
    for pane, kind in zip(panes, TROUBLES, strict=True):
        for name in ("before", "after"):
            points = [
                (row["balancers"], Estimate(**row["worth"][name])) for row in found if row["day"] == kind
            ]
            pane.errorbar(
                [x for x, _ in points],
                [e.mean for _, e in points],
                label=name,
                capsize=2,
                yerr=[[e.mean - e.low for _, e in points], [e.high - e.mean for _, e in points]],
            )
        pane.set(title=kind, xscale="log", xlabel="balancers")
    panes[0].set(ylabel="worth served in its aim")
    panes[0].legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    """Measure and print. Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    if given.seeds < 1:
        print("size: --seeds is at least 1", file=sys.stderr)
        return 2
    found, calls = rows(given.seeds), lists(given.seeds)
    if given.plot:
        plot(found, given.plot)
    if given.json:
        print(json.dumps({"days": found, "lists": calls}))
        return 0
    for row in found:
        shown = [
            f"{figure} {row[figure]['before']['mean']:.4f} to {row[figure]['after']['mean']:.4f}"
            for figure in FIGURES
        ]
        gain = Estimate(**row["worth_gain"])
        print(
            f"{row['balancers']:3d} {row['day']}:",
            ", ".join(shown),
            f"(worth {gain.mean:+.4f}, {gain.low:+.4f} to {gain.high:+.4f})",
        )
    for row in calls:
        shown = [
            f"{figure} {row[figure]['mean']:.2f} ({row[figure]['low']:.2f} to {row[figure]['high']:.2f})"
            for figure in ("with_list", "last_list_s", "calls_each")
        ]
        print(f"{row['balancers']:3d} {row['module']}:", ", ".join(shown))
    return 0


if __name__ == "__main__":
    sys.exit(main())

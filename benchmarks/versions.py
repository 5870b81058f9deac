"""Settings in versions on the virtual clock: how long two act on contradicting rules, beside other ways on
the same days; how long a change takes until it is in force everywhere; what being in doubt costs.

    python -m benchmarks.versions --days 0:300 --ways            # contradictions, by way
    python -m benchmarks.versions --members 12,40,200 --seeds 3  # from propose to in force
    python -m benchmarks.versions --doubt                        # worth served, by the part in doubt
    python -m benchmarks.versions --cost                         # a request with [versions] on and off
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections import Counter
from multiprocessing import Pool
from typing import Any

import msgspec

from dykeshift.model.day import CLASSES, Balancers, Day, Senders, Stretch, Trouble, Work
from dykeshift.model.world import play as play_model
from dykeshift.lab.stats import estimate
from dykeshift.rig.ruled import Ruled, worded
from dykeshift.rig.ruled_baselines import WAYS
from dykeshift.rig.ruled_days import Found, play
from dykeshift.rig.virtual import SECOND
from dykeshift.rules import Balancer
from dykeshift.versions.changes import Propose
from dykeshift.versions.own import shared_part


def _day(task: tuple[str, int, tuple[int, ...]]) -> Found:
    way, seed, members = task
    return play(seed, members, world=WAYS[way])


def ways(first: int, last: int, jobs: int, members: tuple[int, ...], only: str | None = None) -> None:
    """Each way on the same days. C is the lease, 4 s there; contradictions of settings only."""
    for way in [only] if only else WAYS:
        spans, broken, changes, over, rescued, doubts = list[float](), 0, Counter[str](), 0, 0, 0
        with Pool(jobs) as pool:
            for found in pool.imap_unordered(_day, [(way, s, members) for s in range(first, last)], 2):
                longest = found.longest.get("settings", 0.0)
                spans.append(longest)
                over += longest > 4.0
                broken += bool(found.broken)
                if found.broken:
                    print(f"  {found.seed}: {found.broken[0]}", flush=True)
                changes += found.changes
                rescued += found.rescued
                doubts += found.doubts
        spans.sort()
        told = {
            "way": way,
            "days": len(spans),
            "contradicted": sum(s > 0 for s in spans),
            "over C": over,
            "median_s": round(statistics.median(spans), 2),
            "p99_s": round(_part(spans, 0.99), 2),
            "longest_s": round(spans[-1], 2),
            "broken": broken,
            "rescued": rescued,
            "doubts": doubts,
            "changes": sum(changes.values()),
        }
        print(json.dumps(told), flush=True)


def _part(sorted_values: list[float], part: float) -> float:
    return sorted_values[min(len(sorted_values) - 1, int(part * len(sorted_values)))]


def change(task: tuple[int, float, int, bool]) -> dict[str, Any]:
    """One world: settled, then a change that contradicts what is in force, or one that does not."""
    members, loss, seed, guarded = task
    day = Ruled(seed, members)
    day.start_all()
    row: dict[str, Any] = {"members": members, "loss": loss, "guarded": guarded}
    day.run(120, day.at_rest)
    first = {"status-check": {"idempotency": "pure"}}
    took = []
    day.weather.loss = loss
    for n, wanted in enumerate(
        (
            worded({"balancers": 300}, first),
            worded({"balancers": 300 + guarded}, {"sms-send": {"worth": 2.0}}),
        )
    ):
        began, number = day.now, seed % members
        text = shared_part(wanted).encode()
        while day.phase(number) is None and day.spots[number].view.ruled.store.state.version <= n * 3:
            day.order(number, Propose(msgspec.Raw(text)))
            day.run(3, lambda number=number: day.phase(number) is not None)  # type: ignore[misc]
        version = day.spots[number].view.ruled.store.state.pending.rules.version
        done = day.run(180, lambda version=version: day.in_force(version))  # type: ignore[misc]
        took.append((day.now - began) / SECOND if done else 180.0)
        day.run(5)
    row["s"], row["broken"] = took[1], day.broken[:1]
    return row


def changes(members: list[int], losses: list[float], seeds: int, jobs: int) -> None:
    """Print how long a change takes from its proposal until it is in force everywhere."""
    tasks = [
        (m, loss, seed, guarded)
        for m in members
        for loss in losses
        for guarded in (True, False)
        for seed in range(seeds if m < 100 else max(1, seeds // 3))
    ]
    with Pool(jobs) as pool:
        rows = pool.map(change, tasks, 1)
    for m in members:
        for loss in losses:
            for guarded in (True, False):
                some = sorted(
                    r["s"] for r in rows if (r["members"], r["loss"], r["guarded"]) == (m, loss, guarded)
                )
                print(
                    json.dumps(
                        {
                            "members": m,
                            "loss": loss,
                            "guarded": guarded,
                            "runs": len(some),
                            "median_s": round(statistics.median(some), 2),
                            "p99_s": round(_part(some, 0.99), 2),
                        }
                    ),
                    flush=True,
                )
    broken = [r for r in rows if r["broken"]]
    print(json.dumps({"broken": broken}))


PARTS, LENGTHS, SEEDS = (0.0, 0.1, 0.3, 0.5, 1.0), (2.0, 8.0), range(1, 5)


def doubtful(task: tuple[float, float, float, int]) -> float:
    """Worth served on a day of the module alone: a part of the balancers is in doubt for some seconds while
    one of twelve senders answers nothing."""
    part, seconds, size, seed = task
    troubles = (Trouble(kind="hang", at=4, part=0.08, seconds=8.0),)
    if part:
        troubles += (Trouble(kind="balancer-doubt", at=3, part=part, seconds=seconds, size=size),)
    day = Day(
        senders=Senders(count=24, slots=2, discipline="sharing"),
        balancers=Balancers(count=16),
        work=Work(mean_ms=60.0),
        load=(Stretch(seconds=14.0, load=0.55),),
        classes=CLASSES,
        troubles=troubles,
    )
    return float(play_model(day, Balancer, seed).worth)


def doubts(jobs: int, plot: str | None) -> None:
    """`serve` beside `refuse`, by the part of the fleet and for how long."""
    tasks = [
        (part, seconds, size, seed)
        for part in PARTS
        for seconds in LENGTHS
        for size in (1.0, 0.0)
        for seed in SEEDS
    ]
    with Pool(jobs) as pool:
        worth = dict(zip(tasks, pool.map(doubtful, tasks, 1), strict=True))
    found = []
    for size, doubt in ((1.0, "serve"), (0.0, "refuse")):
        for seconds in LENGTHS:
            for part in PARTS:
                some = estimate([worth[part, seconds, size, seed] for seed in SEEDS])
                found.append(
                    {
                        "doubt": doubt,
                        "seconds": seconds,
                        "part": part,
                        "worth": round(some.mean, 4),
                        "low": round(some.low, 4),
                        "high": round(some.high, 4),
                    }
                )
                print(json.dumps(found[-1]), flush=True)
    if plot:
        _plot(found, plot)


def _plot(found: list[dict[str, Any]], path: str) -> None:
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot as plt

    figure, pane = plt.subplots(figsize=(7, 3.5))
    for doubt, style in (("serve", "-"), ("refuse", "--")):
        for seconds in LENGTHS:
            rows = [r for r in found if (r["doubt"], r["seconds"]) == (doubt, seconds)]
            spread = [[r["worth"] - r["low"] for r in rows], [r["high"] - r["worth"] for r in rows]]
            pane.errorbar(
                [r["part"] for r in rows],
                [r["worth"] for r in rows],
                yerr=spread,
                label=f"{doubt}, {seconds:.0f} s",
                linestyle=style,
                capsize=2,
            )
    pane.set(xlabel="part of the balancers in doubt", ylabel="worth served, 12 s", ylim=(0, 1))
    pane.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Run the parts that the options name."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--days", default="0:100")
    parser.add_argument("--ways", action="store_true")
    parser.add_argument("--way", choices=list(WAYS))
    parser.add_argument("--members", default="4,5,7,9,12")
    parser.add_argument("--loss", default="0,0.1,0.3")
    parser.add_argument("--seeds", type=int, default=0)
    parser.add_argument("--doubt", action="store_true")
    parser.add_argument("--plot", metavar="FILE")
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    members = [int(m) for m in given.members.split(",")]
    if given.ways or given.way:
        first, last = map(int, given.days.split(":"))
        ways(first, last, given.jobs, tuple(members), given.way)
    if given.doubt:
        doubts(given.jobs, given.plot)
    if given.seeds:
        changes(members, [float(x) for x in given.loss.split(",")], given.seeds, given.jobs)


if __name__ == "__main__":
    main()

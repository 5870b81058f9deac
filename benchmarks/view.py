"""The view on the virtual clock beside plain heartbeats and plain SWIM, on the same seeds: how long it takes
to settle after a kill and after a cut is mended, whom it removes by mistake, and what it sends.

    python -m benchmarks.view --members 4,40,200 --seeds 3 --plot docs/design/view.png
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from multiprocessing import Pool
from random import Random
from typing import Any

from dykeshift.rig import baselines
from dykeshift.rig.virtual import SECOND, Spot, World
from dykeshift.view.core import Options
from dykeshift.view.wire import State

WAYS = ("view", "swim", "heartbeats")
LIMIT = 90.0  # virtual seconds that anything may take


def world_of(way: str, members: int, loss: float, seed: int) -> World:
    """A world of views, or of a baseline, with this share of loss."""
    plain = {"swim": baselines.Swim, "heartbeats": baselines.Heartbeats}.get(way)
    make = None if plain is None else (lambda spot, life: plain(spot, Random(f"{seed}/{spot.number}/{life}")))
    world = World(seed, members, Options(), make)
    world.weather.loss = loss
    return world


def holds(way: str, world: World) -> bool:
    """Whether all hold just those for alive that they can reach."""
    if way == "view":  # what is compared is whom each holds for alive; `settled` is asked for by itself
        return all(
            s.view.standing.at_least == len(group) for group in world.groups_of(world.living()) for s in group
        )
    return all(baselines.agreed(group) for group in world.groups_of(world.living()))


def removed(way: str, world: World) -> int:
    """Members that a baseline took for gone."""
    return 0 if way == "view" else sum(s.view.removed for s in world.spots)


def day(task: tuple[str, int, float, int]) -> dict[str, Any]:
    """One world: joined, quiet for 20 s, one killed, cut in half for 20 s and mended."""
    way, members, loss, seed = task
    began, world = time.process_time(), world_of(*task)
    row: dict[str, Any] = {"way": way, "members": members, "loss": loss, "seed": seed}
    world.start_all()
    world.run(0.51)
    row["join_s"] = 0.51 + _until(world, lambda: holds(way, world))
    sent, lost = (world.bytes, world.datagrams), removed(way, world)
    blips = [0]
    if way == "view":
        world.heard = lambda spot, event: _blip(blips, event)
    world.run(20)
    row["bytes_s"] = (world.bytes - sent[0]) / members / 20
    row["datagrams_s"] = (world.datagrams - sent[1]) / members / 20
    row["false_removals"] = blips[0] if way == "view" else removed(way, world) - lost
    victim: Spot = world.spots[seed % members]
    victim.kill()
    row["kill_s"] = _until(world, lambda: holds(way, world))
    if way == "view":
        row["kill_settled_s"] = row["kill_s"] + _until(world, world.settled)
    world.start(victim)
    _until(world, lambda: holds(way, world))
    half = members // 2
    world.groups = [frozenset(range(half)), frozenset(range(half, members))]
    row["cut_s"] = _until(world, lambda: holds(way, world))
    world.run(20)
    world.groups = []
    row["mend_s"] = _until(world, lambda: holds(way, world))
    if way == "view":
        row["mend_settled_s"] = row["mend_s"] + _until(world, world.settled)
    row["cpu_us_member_s"] = (time.process_time() - began) * 1e6 / members / (world.now / SECOND)
    return row


def _blip(blips: list[int], event: Any) -> None:
    blips[0] += event.kind == "state" and event.state is State.UNREACHABLE


def _until(world: World, condition: Any) -> float:
    began = world.now
    return (world.now - began) / SECOND if world.run(LIMIT, condition) else LIMIT


FIGURES = (
    "join_s",
    "kill_s",
    "kill_settled_s",
    "cut_s",
    "mend_s",
    "mend_settled_s",
    "bytes_s",
    "datagrams_s",
    "false_removals",
    "cpu_us_member_s",
)


def table(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Median and worst (99th of the few) of each figure, by way, members and loss."""
    made = []
    for key in sorted({(r["members"], r["loss"], WAYS.index(r["way"])) for r in rows}):
        same = [r for r in rows if (r["members"], r["loss"], WAYS.index(r["way"])) == key]
        line: dict[str, Any] = {"members": key[0], "loss": key[1], "way": WAYS[key[2]], "days": len(same)}
        for name in FIGURES:
            found = sorted(r[name] for r in same if name in r)
            if found:
                worst = found[min(len(found) - 1, int(0.99 * len(found)))]
                line[name] = [round(statistics.median(found), 2), round(worst, 2)]
        made.append(line)
    return made


def plot(lines: list[dict[str, Any]], path: str) -> None:
    """Draw the figures by size to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 4, figsize=(17, 4))
    for axis, name in zip(axes, ("kill_s", "mend_s", "bytes_s", "false_removals"), strict=True):
        for way in WAYS:
            for loss, style in ((0.0, "-"), (0.1, "--"), (0.3, ":")):
                some = [x for x in lines if x["way"] == way and x["loss"] == loss and name in x]
                axis.plot(
                    [x["members"] for x in some],
                    [x[name][0] for x in some],
                    style,
                    marker="o",
                    color=f"C{WAYS.index(way)}",
                    label=f"{way}, {loss:.0%} lost",
                )
        axis.set_xscale("log")
        axis.set_yscale("symlog")
        axis.set_xlabel("members")
        axis.set_title(name)
    axes[0].legend(fontsize=6)
    figure.savefig(path, bbox_inches="tight")


def main() -> int:
    """Measure and print. Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="4,40")
    parser.add_argument("--loss", default="0,0.1,0.3")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--plot")
    parser.add_argument("--keep", help="rows of earlier calls are read from here and the new ones added")
    given = parser.parse_args()
    rows = []
    if given.keep:
        try:
            with open(given.keep, encoding="utf-8") as file:
                rows = [json.loads(line) for line in file]
        except FileNotFoundError:
            pass
    tasks = [
        (way, members, loss, seed)
        for members in map(int, given.members.split(","))
        for loss in map(float, given.loss.split(","))
        for way in given.ways.split(",")
        for seed in range(given.seeds)
    ]
    with Pool(given.jobs) as pool:
        for row in pool.imap_unordered(day, tasks):
            rows.append(row)
            if given.keep:
                with open(given.keep, "a", encoding="utf-8") as file:
                    file.write(json.dumps(row) + "\n")
    lines = table(rows)
    for line in lines:
        print(json.dumps(line))
    if given.plot:
        plot(lines, given.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())

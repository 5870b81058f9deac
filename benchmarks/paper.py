"""The paper's figures by its closed forms and by its model played, side by side with 95% intervals.

    python benchmarks/paper.py [--servers 1000] [--jobs 200000] [--processes 8] [--json]

Figure 4 (d = 20 at lambda 0.7, by the number of servers), figures 5 and 6 (mean response by d, RIQ beside
Redundancy-d) and figure 9 (constant runtimes and the bound). X: hyperexponential with mean 1/4.7 and squared
variation 10; S: Dolly(1,12). Columns: the setting, the closed form, the model, half the interval, the bound.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dykeshift.model.laws import DOLLY, NONE, Constant, Hyperexponential  # noqa: E402
from dykeshift.model.sx import Setting, play  # noqa: E402
from dykeshift.model.theory import Riq  # noqa: E402

SIZE = Hyperexponential.balanced(1 / 4.7, 10.0)
Row = tuple[str, Setting]


def rows(servers: int, jobs: int) -> list[Row]:
    """All settings, by the figure that they belong to."""
    made = [("4", Setting(k, 0.7, 20, SIZE, DOLLY, jobs=jobs)) for k in (20, 50, 100, 400, servers)]
    for rate in (0.3, 0.7):
        for d in (1, 2, 5, 10, 20):
            made.append(("5, 6", Setting(servers, rate, d, SIZE, DOLLY, jobs=jobs)))
            made.append(("6", Setting(servers, rate, d, SIZE, DOLLY, "redundancy", jobs=jobs)))
    made += [("9", Setting(servers, 0.7, d, Constant(1.0), NONE, jobs=jobs)) for d in (1, 2, 5, 20)]
    return made


def one(row: Row) -> dict[str, Any]:
    """Play one setting and compare it with its closed form."""
    figure, setting = row
    got = play(setting, seed=1)
    mean, half = got.mean()
    known = Riq(setting.rate, setting.d, setting.size, setting.slowdown) if setting.policy == "riq" else None
    return {
        "figure": figure,
        "policy": setting.policy,
        "servers": setting.servers,
        "rate": setting.rate,
        "d": setting.d,
        "closed_form": round(known.mean, 4) if known else None,
        "model": round(mean, 4),
        "half_interval": round(half, 4),
        "bound": round(known.bound, 4) if known else None,
        "load_closed_form": round(known.load, 4) if known else None,
        "load_model": round(got.busy, 4),
    }


def draw(done: list[dict[str, Any]], to: str) -> None:
    """Closed forms as crosses, the model with its intervals."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 3.6), layout="constrained")
    panels = (("4", "servers", 0.7), ("5, 6", "d", 0.3), ("5, 6", "d", 0.7), ("9", "d", 0.7))
    for axes, (name, along, rate) in zip(figure.subplots(1, 4), panels, strict=True):
        mine = [r for r in done if r["figure"] == name and r["rate"] == rate and r["policy"] == "riq"]
        places = [str(r[along]) for r in mine]
        axes.errorbar(
            places,
            [r["model"] for r in mine],
            [r["half_interval"] for r in mine],
            fmt="o",
            capsize=2,
            label="model, 95%",
        )
        axes.plot(places, [r["closed_form"] for r in mine], "kx", label="closed form")
        axes.set(title=f"figure {name}, rate {rate}", xlabel=along, ylabel="mean response")
        axes.set_yscale("log")
    axes.legend()
    figure.savefig(to, format="svg", metadata={"Date": None})


def main() -> int:
    """Print all rows, as a table or as JSON. Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--servers", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=200_000, help="jobs in each setting")
    parser.add_argument("--processes", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--plot", metavar="FILE", help="draw figures 4, 5 and 9 there as SVG")
    options = parser.parse_args()
    if options.servers < 20:
        parser.error("--servers is at least 20")
    with ProcessPoolExecutor(options.processes) as pool:
        done = list(pool.map(one, rows(options.servers, options.jobs)))
    if options.plot:
        draw(done, options.plot)
    if options.json:
        print(json.dumps(done))
        return 0
    print("| " + " | ".join(done[0]) + " |\n|" + " --- |" * len(done[0]))
    for row in done:
        print("| " + " | ".join("" if value is None else str(value) for value in row.values()) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())

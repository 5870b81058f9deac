"""The model beside the real daemon: the same small day in both, service and attempts side by side.

Usage: python benchmarks/fleet_check.py [--loads 0.2 0.4] [--seconds 15]
"""

from __future__ import annotations

import argparse
import json

from dykeshift.model.day import CLASSES, Balancers, Day, Kind, Network, Senders, Stretch, Work
from dykeshift.model.world import play
from dykeshift.lab.processes import run_day
from dykeshift.rules import Balancer

SHOWN = ("errands", "served", "refusals", "attempts")


def day(load: float, seconds: float) -> Day:
    """A small day that both can play, at this load (share of the senders' capacity)."""
    kinds = (Kind(share=0.375, speed=0.6), Kind(share=0.25, speed=1.6))
    return Day(
        senders=Senders(count=8, slots=4, kinds=kinds, cells=3),
        balancers=Balancers(count=2),
        work=Work(law="constant", mean_ms=30.0),
        load=(Stretch(seconds=seconds, load=load),),
        network=Network(near_ms=0.5, far_ms=0.5),
        classes=CLASSES,
        warm_s=0.0,
    )


def row(figures: dict[str, object]) -> dict[str, object]:
    """The figures to compare."""
    times = figures["percentiles_ms"]
    assert isinstance(times, dict)
    return {**{name: figures[name] for name in SHOWN}, **{f"p{p}": times[p] for p in ("50", "90", "99")}}


def main() -> None:
    """Print a JSON line for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.2, 0.4])
    given = parser.parse_args()
    for load in given.loads:
        one = day(load, given.seconds)
        model = play(one, Balancer, 1)
        print(
            json.dumps(
                {
                    "load": load,
                    "real": row(run_day(one, 1)),
                    "model": row({f: getattr(model, f) for f in (*SHOWN, "percentiles_ms")}),
                }
            )
        )


if __name__ == "__main__":
    main()

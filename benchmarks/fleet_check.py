"""The model beside the real daemon: the same small day in both, service and attempts side by side.

Real: two daemons, stand-in senders and discovery on loopback, `lifttrail load` as the client. Model: the same
number of senders, their speeds, constant work, classes and rate. Usage: python benchmarks/fleet_check.py
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time

from dykeshift.demo.installation import DEADLINES, KINDS, SPEEDS, Installation, settings
from dykeshift.fleet.day import Balancers, Class, Day, Kind, Network, Senders, Stretch, Work
from dykeshift.fleet.world import play
from dykeshift.load.runner import connect
from dykeshift.load.drive import Drive
from dykeshift.load.schedule import Kind as Asked
from dykeshift.load.schedule import Load
from dykeshift.rules import Balancer
from dykeshift.standins.messages import Message
from dykeshift.standins.sender import Sender

COST_MS, SENDERS, SLOTS, BALANCERS = 30.0, 8, 4, 2


def classes() -> list[dict[str, object]]:
    found: list[dict[str, object]] = settings(BALANCERS, 0)["services"]
    return found


def capacity() -> float:
    """Requests a second that the senders bear."""
    return sum(SLOTS * SPEEDS[n % len(SPEEDS)] for n in range(SENDERS)) * 1000 / COST_MS


async def real(rate: float, seconds: float) -> dict[str, float]:
    home = Installation(1, SENDERS, BALANCERS, rate=0.001)
    try:
        await home.start()
        kinds = tuple(Asked(name, 1 / len(KINDS), kind, DEADLINES[name] * 1000)  # type: ignore[arg-type]
                      for name, kind in KINDS.items())
        drives = []
        for number, balancer in enumerate(home.balancers):
            load = Load(address="127.0.0.1:1", rate=rate / BALANCERS, seconds=seconds, kinds=kinds,
                        cost_ms=COST_MS, seed=number + 1)
            transport = connect(load, *balancer.address)
            drives.append((Drive(load, 0, transport, lambda n: None), transport))
        begin = asyncio.get_running_loop().time() + 1.0
        arrived, count = home.tally.arrived, [0]

        def counted(sender: Sender, request: Message) -> None:
            count[0] += 1
            arrived(sender, request)

        home.tally.arrived = counted  # type: ignore[method-assign]
        tallies = await asyncio.gather(*(drive.run(begin) for drive, _ in drives))
        for _, transport in drives:
            await transport.close()
        whole = tallies[0]
        whole.add(tallies[1].pack())
        figures = whole.figures(seconds)
        return {"errands": figures["errands"], "served": figures["served"], **{
            f"p{p}": v for p, v in figures["times_ms"].items() if p in ("50", "90", "99")},
            "attempts": count[0] / figures["tries"]}
    finally:
        await home.stop()


def modelled(rate: float, seconds: float) -> dict[str, float]:
    speeds = [SPEEDS[n % len(SPEEDS)] for n in range(SENDERS)]
    kinds = tuple(Kind(share=speeds.count(s) / SENDERS, speed=s) for s in sorted(set(speeds)))
    day = Day(
        senders=Senders(count=SENDERS, slots=SLOTS, kinds=kinds, cells=3),
        balancers=Balancers(count=BALANCERS),
        work=Work(law="constant", mean_ms=COST_MS), warm_s=0.0,
        load=(Stretch(seconds=seconds, load=rate / capacity()),), network=Network(near_ms=0.5, far_ms=0.5),
        classes=tuple(Class(
            name=str(c["name"]), share=1 / len(KINDS), aim_ms=float(c["goalTimeNs"]) / 1e6,  # type: ignore[arg-type]
            deadline_ms=DEADLINES[str(c["name"])] * 1000, idempotency=KINDS[str(c["name"])])  # type: ignore[arg-type]
            for c in classes()))
    figures = play(day, Balancer, 1)
    return {"errands": figures.errands, "served": figures.served,
            **{f"p{p}": figures.percentiles_ms[p] for p in ("50", "90", "99")},
            "attempts": figures.attempts}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.2, 0.4])
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    rows = []
    for load in given.loads:
        rate = load * capacity()
        rows.append({"load": load, "rate": rate, "real": asyncio.run(real(rate, given.seconds)),
                     "model": modelled(rate, given.seconds)})
        if not given.json:
            print(time.strftime("%H:%M:%S"), json.dumps(rows[-1]), file=sys.stderr)
    print(json.dumps(rows, indent=None if given.json else 1))
    return 0


if __name__ == "__main__":
    sys.exit(main())

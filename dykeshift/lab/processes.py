"""A day with real processes: daemons, stand-in senders, discovery on loopback; the load tool as the clients.

Played is what such a day has: warm senders of several kinds, constant work, a steady Poisson load of one
stretch. What a day asks beyond that is refused, not left out.
"""

from __future__ import annotations

import asyncio
from typing import Any

from dykeshift.rig.installation import KINDS, Installation
from dykeshift.model.day import Day
from dykeshift.load.drive import Drive
from dykeshift.load.schedule import Kind, Load
from dykeshift.load.transports import connect
from dykeshift.standins.messages import Message
from dykeshift.standins.sender import Sender

MOST_SENDERS, MOST_BALANCERS, MOST_RATE = 60, 6, 2_000.0
LEAD_S = 0.5


def check(day: Day) -> None:
    """ValueError where the day cannot be played with real processes."""
    if day.senders.count > MOST_SENDERS or day.balancers.count > MOST_BALANCERS:
        raise ValueError(f"processes: at most {MOST_SENDERS} senders and {MOST_BALANCERS} balancers")
    if day.work.law != "constant" or day.work.slowdown != "none":
        raise ValueError("processes: work is constant")
    if len(day.load) != 1 or day.load[0].to is not None or day.load[0].swing or day.clients.trace:
        raise ValueError("processes: the load is one steady stretch")
    if day.troubles or day.clients.impatient:
        raise ValueError("processes: there are no troubles and no impatient clients")
    if {c.name for c in day.classes} != set(KINDS):
        raise ValueError(f"processes: the classes are {', '.join(KINDS)}")
    if rate(day) > MOST_RATE:
        raise ValueError(f"processes: at most {MOST_RATE:g} requests a second, this is {rate(day):.0f}")


def rate(day: Day) -> float:
    """Requests a second."""
    return day.load[0].load * day.senders.capacity() / (day.work.mean_ms / 1000)


def speeds(day: Day) -> tuple[float, ...]:
    """Of the senders, in their order."""
    shape, found = day.senders, list[float]()
    for kind in shape.kinds:
        found += [kind.speed] * round(kind.share * shape.count)
    return tuple((found + [1.0] * shape.count)[: shape.count])


def run_day(day: Day, seed: int) -> dict[str, Any]:
    """Play it; the figures that the model has too, under the same names."""
    check(day)
    return asyncio.run(_run(day, seed))


async def _run(day: Day, seed: int) -> dict[str, Any]:
    home = Installation(seed, day.senders.count, day.balancers.count, 0.0, speeds(day), day.senders.slots)
    arrived, count = home.tally.arrived, [0]

    def counted(sender: Sender, request: Message) -> None:
        count[0] += 1
        arrived(sender, request)

    home.tally.arrived = counted  # type: ignore[method-assign]
    try:
        await home.start()
        whole = await _load(day, seed, home)
    finally:
        await home.stop()
    figures = whole.figures(day.seconds)
    tries = max(1, figures["tries"])
    return {
        "errands": figures["errands"],
        "tries": figures["tries"],
        "served": figures["served"],
        "refusals": sum(figures["refusals"].values()) / tries,
        "attempts": count[0] / tries,
        "percentiles_ms": {p: v for p, v in figures["times_ms"].items() if p != "max"},
        "own_lateness_ms": figures["own_lateness_ms"],
    }


async def _load(day: Day, seed: int, home: Installation) -> Any:
    """Each balancer gets its part of the load over connections of its own."""
    kinds = tuple(Kind(c.name, c.share, c.idempotency, c.deadline_ms) for c in day.classes)
    drives, transports = [], []
    for number, balancer in enumerate(home.balancers):
        load = Load(
            address="-",
            rate=rate(day) / len(home.balancers),
            seconds=day.seconds,
            kinds=kinds,
            cost_ms=day.work.mean_ms,
            seed=seed * 100 + number,
            retries=day.clients.retries,
        )
        transports.append(connect(load, *balancer.address))
        drives.append(Drive(load, 0, transports[-1], lambda ended: None))
    begin = asyncio.get_running_loop().time() + LEAD_S
    whole, *others = await asyncio.gather(*(drive.run(begin) for drive in drives))
    for transport in transports:
        await transport.close()
    for other in others:
        whole.add(other.pack())
    return whole

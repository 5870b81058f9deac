"""How long a guarded change takes until nobody acts on the old terms, and until all act on the new ones.

    python -m benchmarks.joint_phase                            # 40, 200 and 930 subscribers, prints
    python -m benchmarks.joint_phase --loss 0.1 --sizes 40,200  # with datagrams lost
    python -m benchmarks.joint_phase --record                   # and puts the figures into the results file

Nine control machines in two regions and so many subscribers, all on the virtual clock: a class turns from
safe to unsafe and back, one change after the other. `committed`: seconds from a client's first attempt until
the joint phase is over and the new terms are committed; `in force`: until every subscriber with a lease has
them.
Times are virtual, and the same on every machine.
"""

from __future__ import annotations

import argparse
from dataclasses import replace

from dykeshift.configuration.joint_campaign import LED, LedDay
from dykeshift.configuration.resources import ClassTerms, Key, Kind, encode_body
from dykeshift.configuration.transactions import Put
from dykeshift.configuration.virtual import SECOND
from dykeshift.scale.results import (
    ClockKind,
    Measurement,
    Role,
    Situation,
    program_version,
    record,
    summarise,
    summary_text,
)

SIZES = (40, 200, 930)
CHANGES = 12
START = 60.0  # seconds within which everybody is up
LEASES_OVER = 12.0  # until nothing of before the start is waited for
MOST = 30.0  # seconds that a change may take
PAUSE = 1.0  # between two changes
MOST_TENANTS, MOST_ROUTES = 3_000, 930


class NotSettledError(Exception):
    """The world did not come to rest; its text says which."""


def terms(unsafe: bool) -> bytes:
    """The two bodies between which a class turns."""
    return encode_body(
        ClassTerms(SECOND // 5, 2 * SECOND, 1.0, "side_effect" if unsafe else "pure", position=1)
    )


def play(subscribers: int, seed: int, loss: float) -> LedDay:
    """A world at that size, after its changes."""
    options = replace(
        LED,
        subscribers=subscribers,
        services=max(24, subscribers // 2),
        tenants=min(MOST_TENANTS, max(160, subscribers * 30)),
        routes=min(MOST_ROUTES, max(60, subscribers)),
    )
    day = LedDay(f"joint-phase/{seed}", options)
    day.tier.start_control()
    day.tier.start_subscribers()
    if not day.network.run(START, day.tier.settled):
        raise NotSettledError(f"{subscribers} subscribers are not up after {START:g} s")
    day.network.run(LEASES_OVER)
    day.network.conditions.loss = loss
    for number in range(CHANGES):
        day.ask(Put(Key(Kind.CLASS, "batch"), terms(number % 2 == 0)))
        if not day.network.run(MOST, lambda: all(one.settled for one in day.asked.values())):
            raise NotSettledError(f"a change is not in force after {MOST:g} s")
        day.network.run(PAUSE)
    if day.checker.broken:
        raise NotSettledError(day.checker.broken[0])
    return day


def measurements(sizes: tuple[int, ...], seed: int, loss: float) -> list[Measurement]:
    """Until committed and until in force, over the sizes."""
    days = {size: play(size, seed, loss).latencies() for size in sizes}
    ending = f"-loss-{round(loss * 100)}" if loss else ""
    command = "python -m benchmarks.joint_phase --record" + (f" --loss {loss:g}" if loss else "")
    program = program_version()
    found = []
    for name, quantity in (("committed", "until committed"), ("in-force", "until in force everywhere")):
        samples = {
            size: times.committed if name == "committed" else times.in_force for size, times in days.items()
        }
        found.append(
            Measurement(
                id=f"configuration.subscribers.{name}.guarded{ending}",
                name=f"a guarded change, {quantity}",
                role=Role.OPERATOR,
                quantity=f"time {quantity}",
                unit="s",
                situation=Situation.AT_REST,
                parameter="subscribers",
                parameter_unit="subscribers",
                points=tuple(summarise(samples[size], size=size, seed=seed) for size in sizes),
                command=command,
                program=program,
                clock=ClockKind.VIRTUAL,
                conditions={
                    "control machines": str(LED.control),
                    "lease": f"{LED.subscriber.lease / SECOND:g} s",
                    "loss": f"{loss:g}",
                },
            )
        )
    return found


def main() -> None:
    """Measure, print, and record where that is asked for."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="numbers of subscribers")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.0, help="share of datagrams that are lost")
    parser.add_argument("--record", action="store_true")
    options = parser.parse_args()
    found = measurements(tuple(map(int, options.sizes.split(","))), options.seed, options.loss)
    for one in found:
        print(summary_text(one))
    if options.record:
        record(found)


if __name__ == "__main__":
    main()

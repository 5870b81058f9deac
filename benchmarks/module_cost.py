"""The decision module's own time for each request by the size of the fleet, one balancer in one process.

    python benchmarks/module_cost.py [--rate 500] [--other FILE] [--json]

The balancer gets `rate` requests a second, its part of a fleet at load 0.6; each attempt is answered after
30 ms, exponential. Sizes take turns, five rounds, medians; `--other` is another decision module's file,
measured in the same rounds. What is measured is every call of the module: requests, ends, timers, sweeps.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import json
import statistics
from itertools import count
from random import Random
from time import perf_counter_ns
from typing import Any

from dykeshift.model.day import CLASSES, Balancers, Day, Senders
from dykeshift.interface import AttemptEnd, Cancel, ListKind, Outcome, Request, Send, ServerEntry, ServerList
from dykeshift.interface import ServerState, SetTimer
from dykeshift.lab.subjects import maker

SIZES = (14, 100, 1000, 4000)
SECOND = 1_000_000_000


class Run:
    """Feeds one decision module with requests and answers in virtual time."""

    def __init__(self, make: Any, size: int, rate: float, seconds: float) -> None:
        self.rng, self.serial, self.spent = Random(size), count(), 0
        shape = Senders(count=size)
        share = rate / (0.6 * shape.capacity() / 0.03)
        balancers = Balancers(count=min(500, max(1, round(1 / share))))
        settings = Day(senders=shape, balancers=balancers).settings(0)
        self.module = make(settings, 1)
        self.heap: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        self.now, self.requests, self.rate = SECOND, 0, rate
        self.end = self.now + int(seconds * SECOND)
        self.open: dict[str, list[bool]] = {}

    def play(self, size: int) -> float:
        """Play to the end; returns microseconds in the module for each request."""
        entries = tuple(ServerEntry(n, n % 2, n % 4, 0, ServerState.READY, 1.0, 0) for n in range(size))
        self.tell(self.module.on_start)
        self.tell(self.module.on_list, ServerList(ListKind.FULL, entries))
        self.spent = 0
        self.at(self.now, self.ask)
        while self.heap and self.heap[0][0] < self.end:
            self.now, _, act, args = heapq.heappop(self.heap)
            act(*args)
        return self.spent / 1000 / max(1, self.requests)

    def at(self, when: int, act: Any, *args: Any) -> None:
        """Call `act` at `when` (nanoseconds)."""
        heapq.heappush(self.heap, (when, next(self.serial), act, args))

    def tell(self, method: Any, *args: Any) -> None:
        """Call the module, count its time and carry its actions out."""
        began = perf_counter_ns()
        actions = method(self.now, *args)
        self.spent += perf_counter_ns() - began
        for action in actions:
            if isinstance(action, Send):
                ends = self.open[action.request_id]
                ends.append(False)
                self.at(
                    self.now + int(self.rng.expovariate(1 / 0.03) * SECOND),
                    self.done,
                    action.request_id,
                    len(ends) - 1,
                    action.server,
                    self.now,
                    Outcome.OK,
                )
            elif isinstance(action, SetTimer):
                self.at(action.at, self.tell, self.module.on_timer, action.token)
            elif isinstance(action, Cancel):
                self.at(
                    self.now, self.done, action.request_id, action.attempt, 0, self.now, Outcome.CANCELLED
                )

    def ask(self) -> None:
        """A request arrives, and the next one is scheduled."""
        klass = self.rng.choices(range(3), [c.share for c in CLASSES])[0]
        name = str(self.requests)
        self.requests += 1
        self.open[name] = []
        self.tell(self.module.on_request, Request(name, klass, self.now + SECOND))
        self.at(self.now + int(self.rng.expovariate(self.rate) * SECOND), self.ask)

    def done(self, name: str, number: int, server: int, sent: int, outcome: Outcome) -> None:
        """An attempt ends."""
        ends = self.open[name]
        if not ends[number]:
            ends[number] = True
            end = AttemptEnd(name, number, server, outcome, self.now - sent, outcome is Outcome.OK)
            self.tell(self.module.on_attempt_end, end)


def main() -> None:
    """Print a row for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=500.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--other", metavar="FILE")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    makers = {"module": maker("lifttrail")} | ({"other": maker("file:" + given.other)} if given.other else {})
    found: dict[tuple[str, int], list[float]] = {}
    for _ in range(5):
        for size in SIZES:
            for name, make in makers.items():
                run = Run(make, size, given.rate, given.seconds)
                gc.collect()
                gc.freeze()
                found.setdefault((name, size), []).append(run.play(size))
                gc.unfreeze()
    rows = [
        {
            "module": name,
            "senders": size,
            "us": round(statistics.median(us), 1),
            "of_14": round(statistics.median(us) / statistics.median(found[name, 14]), 2),
        }
        for (name, size), us in found.items()
    ]
    for row in rows:
        print(json.dumps(row) if given.json else row)


if __name__ == "__main__":
    main()

"""What a class whose terms change costs the decision module: time and memory, by the number of servers.

    python -m benchmarks.settings_changes [--servers 200,1000,10000] [--changes 10000] [--classes 3]
                                          [--other FILE] [--other-changes 300] [--record] [--json]

Each run is a process of its own: a balancer with these servers. Each change gives one class terms that it
never had, while six requests at any time are under way on older terms. Time is the processor's for
`on_settings`; memory is resident, before the first change (the state of servers and classes) and how much it
grows by a first tenth of the changes, to fill what is used again, and then by the rest. `--other` is another
decision module's file of the time when places were never used again: it gets settings with all classes that
ever were. `--record` writes into benchmarks/results/capacity.json; `lifttrail scale page --write` follows it.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from time import process_time_ns
from typing import Any

import msgspec

from dykeshift.model.day import Balancers, Day, Senders
from dykeshift.interface import (
    AttemptEnd,
    ListKind,
    Outcome,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    Settings,
)
from dykeshift.lab.subjects import maker
from dykeshift.scale.results import (
    ClockKind,
    Measurement,
    Point,
    Role,
    Situation,
    program_version,
    record,
    summarise,
)

SECOND = 1_000_000_000
UNDER_WAY = 6  # requests on older terms at any time
SEED = 1
LONGEST = 280  # seconds for one run
PAGE = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Memory of this process that is resident, after a collection."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


class Outcomes(msgspec.Struct):
    """What one run measured."""

    servers: int
    classes: int
    changes: int
    times_us: list[float]
    state_mb: float
    """Of servers and classes, before the first change."""
    first_growth_mb: float
    """By the first tenth of the changes."""
    growth_mb: float
    """By the rest of them."""
    places: int


class Changing:
    """A balancer whose settings change, with requests under way."""

    def __init__(self, source: str, servers: int, classes: int) -> None:
        self.appends = source != "lifttrail"
        settings = Day(senders=Senders(count=servers), balancers=Balancers(count=930)).settings(0)
        self.in_force = [
            replace(settings.classes[n % len(settings.classes)], name=f"c{n}") for n in range(classes)
        ]
        self.known = list(self.in_force)  # of a module that never uses a place again
        make: Any = maker(source)
        entries = [ServerEntry(n, n % 2, n % 4, 0, ServerState.READY, 1.0, 0) for n in range(servers)]
        before = resident_bytes()
        self.module: Any = make(replace(settings, classes=tuple(self.in_force)), SEED)
        self.now, self.serial = SECOND, 0
        self.open: list[tuple[str, list[tuple[int, int]]]] = []
        self.module.on_start(self.now)
        self.module.on_list(self.now, ServerList(ListKind.FULL, tuple(entries)))
        self.state = resident_bytes() - before

    def change(self) -> int:
        """One class gets other terms; the processor time of it in nanoseconds."""
        self.serial += 1
        self.now += SECOND // 10
        n = self.serial % len(self.in_force)
        old = self.in_force[n]
        self.in_force[n] = replace(old, deadline=old.deadline + self.serial)
        new = self._settings(self.in_force[n])
        began = process_time_ns()
        self.module.on_settings(self.now, new)
        took = process_time_ns() - began
        self._request(self.module.settings.classes.index(self.in_force[n]))
        if len(self.open) > UNDER_WAY:
            self._end()
        return took

    def _settings(self, fresh: RequestClass) -> Settings:
        settings: Settings = self.module.settings
        if not self.appends:
            return replace(settings, classes=tuple(self.in_force), retired=frozenset())
        self.known.append(fresh)
        in_force = set(self.in_force)
        retired = frozenset(n for n, one in enumerate(self.known) if one not in in_force)
        return replace(settings, classes=tuple(self.known), retired=retired)

    def _request(self, place: int) -> None:
        name = f"r{self.serial}"
        actions = self.module.on_request(self.now, Request(name, place, self.now + 60 * SECOND))
        sends = [action for action in actions if isinstance(action, Send)]
        self.open.append((name, [(number, send.server) for number, send in enumerate(sends)]))

    def _end(self) -> None:
        name, attempts = self.open.pop(0)
        latency = SECOND // 50
        for number, server in attempts:
            ended = AttemptEnd(name, number, server, Outcome.OK, latency, True)
            self.module.on_attempt_end(self.now, ended)
        self.module.on_client_gone(self.now, name)
        self.module.on_timer(self.now, "sweep")


def play(source: str, servers: int, classes: int, changes: int) -> Outcomes:
    """One run, in this process."""
    run = Changing(source, servers, classes)
    times: list[float] = []
    resident = resident_bytes()
    first = max(1, changes // 10)
    growths = []
    for count in (first, changes - first):
        for _ in range(count):
            times.append(run.change() / 1000)
        growths.append(resident_bytes() - resident)
        resident = resident_bytes()
    return Outcomes(
        servers=servers,
        classes=classes,
        changes=changes,
        times_us=times,
        state_mb=run.state / 1e6,
        first_growth_mb=growths[0] / 1e6,
        growth_mb=growths[1] / 1e6,
        places=len(run.module.settings.classes),
    )


def play_apart(source: str, servers: int, classes: int, changes: int) -> Outcomes:
    """One run, in a process of its own."""
    command = [
        sys.executable,
        "-m",
        "benchmarks.settings_changes",
        "--one",
        source,
        "--servers",
        str(servers),
    ]
    command += ["--classes", str(classes), "--changes", str(changes)]
    done = subprocess.run(command, capture_output=True, check=True, timeout=LONGEST)
    return msgspec.json.decode(done.stdout, type=Outcomes)


def row_of(name: str, found: Outcomes) -> dict[str, Any]:
    """One line of output."""
    time = summarise(found.times_us, size=found.servers, seed=SEED)
    assert time.p99 is not None
    return {
        "module": name,
        "servers": found.servers,
        "classes": found.classes,
        "changes": found.changes,
        "us_median": round(time.median, 1),
        "us_p99": round(time.p99, 1),
        "state_mb": round(found.state_mb, 2),
        "first_growth_mb": round(found.first_growth_mb, 2),
        "growth_mb": round(found.growth_mb, 2),
        "places": found.places,
    }


def measurements_of(runs: list[Outcomes], command: str) -> list[Measurement]:
    """For the results file: time of a changed class, and memory that the changes leave."""
    common: dict[str, Any] = {
        "role": Role.CONTROL,
        "situation": Situation.ORDINARY_DAY,
        "parameter": "servers",
        "parameter_unit": "servers",
        "command": command,
        "program": program_version(),
        "clock": ClockKind.REAL,
        "conditions": {
            "classes": str(runs[0].classes),
            "changes": str(runs[0].changes),
            "requests under way": str(UNDER_WAY),
        },
    }

    def point(found: Outcomes, value: float) -> Point:
        return Point(size=found.servers, median=max(0.0, round(value, 3)), rounds=1, seed=SEED)

    return [
        Measurement(
            id="module.class-change.time",
            name="a class's terms change",
            quantity="processor time of the decision module for a changed class",
            unit="us",
            points=tuple(summarise(one.times_us, size=one.servers, seed=SEED) for one in runs),
            **common,
        ),
        Measurement(
            id="module.class-change.memory",
            name="a class's terms change",
            quantity="resident memory that nine tenths of the changes leave behind, after the first tenth",
            unit="MB",
            points=tuple(point(one, one.growth_mb) for one in runs),
            notes="what shrank counts as 0",
            **common,
        ),
    ]


def main() -> None:
    """Play the runs and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--servers", default="200,1000,10000")
    parser.add_argument("--changes", type=int, default=10_000)
    parser.add_argument("--classes", type=int, default=3)
    parser.add_argument("--other", metavar="FILE")
    parser.add_argument("--other-changes", type=int, default=300)
    parser.add_argument("--one", metavar="SOURCE", help=argparse.SUPPRESS)
    parser.add_argument("--record", action="store_true")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    sizes = [int(size) for size in given.servers.split(",")]
    if given.one:
        found = play(given.one, sizes[0], given.classes, given.changes)
        sys.stdout.buffer.write(msgspec.json.encode(found))
        return
    runs = []
    for size in sizes:
        runs.append(play_apart("lifttrail", size, given.classes, given.changes))
        rows = [row_of("module", runs[-1])]
        if given.other:
            source = f"file:{given.other}"
            rows.append(row_of("other", play_apart(source, size, given.classes, given.other_changes)))
        for row in rows:
            print(json.dumps(row) if given.json else row, flush=True)
    if given.record:
        command = f"python -m benchmarks.settings_changes --servers {given.servers} --changes {given.changes}"
        record(measurements_of(runs, f"{command} --classes {given.classes}"))


if __name__ == "__main__":
    main()

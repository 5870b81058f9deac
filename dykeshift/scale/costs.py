"""How a cost is measured at several sizes and becomes a `Measurement` of the results file.

Processor time is the process's own clock, so that a busy machine adds little; memory is what Python's
allocator still holds (`tracemalloc`), in a run of its own, as tracing slows what is traced.
"""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from dykeshift.scale.results import ClockKind, Measurement, Role, Situation, program_version, summarise

NS_PER_MS = 1e6
NS_PER_US = 1e3
BYTES_PER_MB = 1e6
MOST_VARIANT = 40  # characters

Subject = TypeVar("Subject")
Sampler = Callable[[int, int], list[float]]  # size and seed; the samples, in the cost's unit


@dataclass(frozen=True, slots=True)
class Cost:
    """One quantity to be measured over one parameter."""

    id: str
    name: str
    quantity: str
    unit: str
    sample: Sampler
    parameter: str = "upstreams"
    parameter_unit: str = "upstreams"
    situation: Situation = Situation.AT_REST
    sizes: tuple[int, ...] = ()  # empty: those that the command was given
    conditions: dict[str, str] = field(default_factory=dict)
    notes: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """What one command was asked for."""

    sizes: tuple[int, ...]
    seed: int
    command: str
    variant: str = ""  # put behind each id, to keep the figures of another program beside these

    def identifier(self, base: str) -> str:
        """The id under which a measurement of this run is kept."""
        return f"{base}.{self.variant}" if self.variant else base


def measure(cost: Cost, run: Run) -> Measurement:
    """Measure the cost at each size."""
    points = [
        summarise(cost.sample(size, run.seed), size=size, seed=run.seed) for size in cost.sizes or run.sizes
    ]
    return Measurement(
        id=run.identifier(cost.id),
        name=cost.name,
        role=Role.DATA_PATH,
        quantity=cost.quantity,
        unit=cost.unit,
        situation=cost.situation,
        parameter=cost.parameter,
        parameter_unit=cost.parameter_unit,
        points=tuple(points),
        command=run.command,
        program=program_version(),
        clock=ClockKind.REAL,
        conditions={**cost.conditions, "machine": machine_load()},
        notes=cost.notes,
    )


def machine_load() -> str:
    """How busy the machine is beside the measurement: cores that share caches slow one another."""
    return f"load {os.getloadavg()[0]:.0f} on {os.cpu_count()} cores"


def processor_ns(work: Callable[[], Any]) -> int:
    """Nanoseconds of this process's processor time that the work takes."""
    began = time.process_time_ns()
    work()
    return time.process_time_ns() - began


def timed(rounds: int, prepare: Callable[[], Callable[[], Any]], calls: int = 1) -> list[float]:
    """Milliseconds of processor time a call, a sample for each round; `prepare` is not counted.

    `calls`: how many calls one round's work makes.
    """
    samples = list[float]()
    for _ in range(rounds):
        work = prepare()
        gc.collect()
        samples.append(processor_ns(work) / calls / NS_PER_MS)
    return samples


def held_bytes(build: Callable[[], Any]) -> int:
    """Bytes that what `build` returns, and what it changed, still hold afterwards."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        del kept
        return held
    finally:
        tracemalloc.stop()


def growth_bytes(build: Callable[[], Subject], works: Sequence[Callable[[Subject], Any]]) -> list[int]:
    """Bytes that what `build` makes holds after each of the works more than before the first; below 0: less.

    Traced from the building on, so that what a work replaces counts as given back.
    """
    gc.collect()
    tracemalloc.start()
    try:
        subject = build()
        gc.collect()
        before = tracemalloc.get_traced_memory()[0]
        grown = list[int]()
        for work in works:
            work(subject)
            gc.collect()
            grown.append(tracemalloc.get_traced_memory()[0] - before)
        return grown
    finally:
        tracemalloc.stop()

"""Runs many seeds in parallel worker processes; results come in the order of the seeds."""

from __future__ import annotations

import gc
import multiprocessing
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from dykeshift.sim.day import play
from dykeshift.sim.kernel import EPOCH, SECOND
from dykeshift.sim.scenario import draw


@dataclass(frozen=True, slots=True)
class Played:
    """The result of one seed. `cpu` in seconds, `virtual` in virtual seconds."""

    seed: str
    rules: tuple[str, ...]  # the broken rules, each once
    first: str  # the first breach as a line of text
    digest: str
    steps: int
    virtual: float
    cpu: float
    figures: dict[str, int]


def play_seed(seed: str) -> Played:
    """Draw and run the scenario of a seed; safe to call in a worker process."""
    began = time.process_time()
    gc.disable()  # a run creates few reference cycles; they are collected between runs
    try:
        result = play(draw(seed))
    finally:
        gc.enable()
        gc.collect()
    first = ""
    if result.breaches:
        breach = result.breaches[0]
        first = f"{breach.rule} at {(breach.at - EPOCH) / SECOND:.3f} s: {breach.text}"
    return Played(
        seed,
        tuple(result.rules),
        first,
        result.digest,
        result.steps,
        result.virtual,
        time.process_time() - began,
        result.figures,
    )


def play_all(
    seeds: Iterable[str], jobs: int, seen: Callable[[Played], None] = lambda _: None
) -> list[Played]:
    """Run these seeds in `jobs` processes; `seen` is called with each result as it is ready."""
    todo = list(seeds)
    done = dict[str, Played]()
    for played in _play_in_pool(todo, jobs):
        done[played.seed] = played
        seen(played)
    return [done[seed] for seed in todo]


def _play_in_pool(todo: list[str], jobs: int) -> Iterator[Played]:
    if jobs <= 1 or len(todo) == 1:
        yield from map(play_seed, todo)
        return
    with multiprocessing.get_context("forkserver").Pool(jobs) as pool:
        yield from pool.imap_unordered(play_seed, todo, 2 if len(todo) < 1000 else 8)

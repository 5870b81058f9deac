"""What the engine's list path and the settings file cost by size: bytes of discovery to the module's answer.

The daemon's own reader, driver, pool and module, put together as the daemon does it, without sockets: the
loop is never run, so that nothing but the work on a list is counted. `ListPath` is what a daemon does with
an answer of discovery; `faults_of` holds what it has in hand to the truth.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any

from dykeshift.clock import SystemClock
from dykeshift.engine import config
from dykeshift.engine.discovery import MAX_LIST_BYTES, ListReader, instance_number
from dykeshift.engine.driver import Driver
from dykeshift.engine.http_carrier import HttpCarrier
from dykeshift.engine.upstream import Pool
from dykeshift.interface import ListKind, ServerState
from dykeshift.rules import Balancer
from dykeshift.scale.costs import BYTES_PER_MB, NS_PER_MS, Cost, growth_bytes, held_bytes
from dykeshift.scale.costs import processor_ns, timed
from dykeshift.scale.module_costs import CLASSES, START, settings_for
from dykeshift.scale.results import Situation
from dykeshift.scale.settings_file import TARGET_ROUTES, TARGET_TENANTS, raw_configuration, raw_settings
from dykeshift.scale.settings_file import routes_and_tenants
from dykeshift.scale.upstreams import (
    TARGET_SERVICES,
    ChurnStep,
    Population,
    PopulationShape,
    batches,
    draw_churn,
    listed_after,
    update,
)
from dykeshift.standins.registry import Instance

NS_PER_SECOND = 1_000_000_000
DAY_S = 86_400.0
CONNECTIONS = 409  # as the daemon takes of 1,024 descriptors
CONNECT_S, KEEPALIVE_S = 0.2, 10.0
ROUNDS = 5
CALLS = 20
LONGEST_COLD_S = 600  # seconds, above any `coldNs`: nobody is cold after it
BATCH_S = 3_600.0  # seconds of churn told at once where only memory is looked at
DAY_SIZES = (1, 4, 16)
MOST_STEPS = 1_200  # of a day's churn, where each is told alone
TENANT_SIZES = (3_000, 15_000, TARGET_TENANTS)


class ManualClock(SystemClock):
    """A clock that stands still until it is told to go on."""

    def __init__(self) -> None:
        self.now = START

    def monotonic_ns(self) -> int:  # type: ignore[override]
        """Nanoseconds since the start, and some."""
        return self.now

    def time_ns(self) -> int:  # type: ignore[override]
        """Unix time, a whole day after that clock's own."""
        return self.now + int(DAY_S) * NS_PER_SECOND


class ListPath:
    """A daemon's list path from the bytes of discovery on. A context manager."""

    def __init__(self, shape: PopulationShape, seed: int) -> None:
        self.clock = ManualClock()
        self.loop = asyncio.new_event_loop()
        settings = settings_for(shape)
        carrier = HttpCarrier(self.loop, self.clock)
        self.pool = Pool(self.loop, self.clock, carrier, CONNECTIONS, CONNECT_S, KEEPALIVE_S)
        self.balancer = Balancer(settings, seed)
        self.driver = Driver(self.loop, self.clock, self.balancer, self.pool, lambda: None)
        self.reader = ListReader(self.clock, shape.zone_names(), ("standard",))
        self.generation = 0

    def __enter__(self) -> ListPath:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.pool.sweep_timer.cancel()
        self.loop.close()

    def take(self, text: bytes) -> None:
        """What the daemon does with the body of an answer of discovery."""
        _, whole, listed = self.reader.read(json.loads(text))
        self.driver.apply(ListKind.FULL if whole else ListKind.DELTA, listed)

    def take_step(self, step: ChurnStep, after_s: float) -> None:
        """One step of churn as a change of the list, `after_s` seconds after the last."""
        self.clock.now += int(after_s * NS_PER_SECOND)
        self.generation += 1
        entry = step.entry(self.clock.time_ns() // 1_000_000)
        self.take(body(self.generation, False, [entry]))

    def take_batch(self, steps: Iterable[ChurnStep]) -> None:
        """Several steps as one change of the list: of each id the latest, as a watch tells it."""
        self.clock.now += int(BATCH_S * NS_PER_SECOND)
        self.generation += 1
        now_ms = self.clock.time_ns() // 1_000_000
        latest = {step.instance.id: step.entry(now_ms) for step in steps}
        self.take(body(self.generation, False, latest.values()))

    def settle(self) -> None:
        """Let the time pass in which anybody may be cold, and sweep."""
        self.clock.now += LONGEST_COLD_S * NS_PER_SECOND
        self.balancer.on_timer(self.clock.now, "sweep")


def body(generation: int, whole: bool, instances: Iterable[Instance]) -> bytes:
    """An answer of discovery."""
    return json.dumps(update(generation, whole, instances)).encode()


def faults_of(path: ListPath, truth: Mapping[str, Instance]) -> list[str]:
    """Where what the daemon holds differs from who is listed, once it has settled; empty: nowhere."""
    numbers = {instance_number(name): instance for name, instance in truth.items()}
    homes = {number: instance.address for number, instance in numbers.items()}
    ready = {number for number, one in numbers.items() if one.lifecycle == "active"}
    started = {number for number, one in numbers.items() if one.started_ms}
    entries = path.balancer.servers.values()
    held: dict[str, tuple[Any, Any]] = {
        "upstreams of the pool": ({n: u.address for n, u in path.pool.upstreams.items()}, homes),
        "homes": (path.driver.tenants.address_of, homes),
        "addresses": (
            {a: e.id for a, e in path.driver.tenants.tenant_at.items()},
            {a: n for n, a in homes.items()},
        ),
        "upstreams that run": (path.driver.ready, ready),
        "the module's servers": (set(path.balancer.servers), set(homes)),
        "the module's servers that run": (
            {s.entry.id for s in entries if s.entry.state is ServerState.READY},
            ready,
        ),
        "the module's pool": ({s.entry.id for s in path.balancer.pool} - ready, set()),
    }
    faults = [
        f"{name}: {len(got)} held, {len(want)} true" for name, (got, want) in held.items() if got != want
    ]
    if not set(path.reader.starts) <= started | set(homes):
        faults.append("starts are kept of processes that are not listed")
    return faults


# ---- lists ----


def list_mb(size: int, seed: int) -> list[float]:
    """The whole list on the wire."""
    return [len(body(1, True, Population(PopulationShape(size), seed).first)) / BYTES_PER_MB]


def read_ms(size: int, seed: int) -> list[float]:
    """The whole list from bytes to entries."""
    population = Population(PopulationShape(size), seed)
    text = body(1, True, population.first)
    with ListPath(population.shape, seed) as path:
        return timed(ROUNDS, lambda: lambda: path.reader.read(json.loads(text)))


def full_list_ms(size: int, seed: int) -> list[float]:
    """The first whole list, from bytes to the module's answer."""
    population = Population(PopulationShape(size), seed)
    text = body(1, True, population.first)
    samples = list[float]()
    for _ in range(ROUNDS):
        with ListPath(population.shape, seed) as path:
            samples += timed(1, lambda path=path: lambda: path.take(text))  # type: ignore[misc]
    return samples


def same_list_ms(size: int, seed: int) -> list[float]:
    """The whole list once more, unchanged."""
    population = Population(PopulationShape(size), seed)
    text = body(1, True, population.first)
    with ListPath(population.shape, seed) as path:
        path.take(text)
        return timed(ROUNDS, lambda: lambda: path.take(text))


def tenants_ms(size: int, seed: int) -> list[float]:
    """Who lives at which address, from a whole list."""
    population = Population(PopulationShape(size), seed)
    with ListPath(population.shape, seed) as path:
        _, _, listed = path.reader.read(update(1, True, population.first))
        return timed(ROUNDS, lambda: lambda: path.driver.tenants.settle(True, listed))


def tenants_mb(size: int, seed: int) -> list[float]:
    """What is held of who lives at which address, beside the entries themselves."""
    population = Population(PopulationShape(size), seed)
    with ListPath(population.shape, seed) as path:
        _, _, listed = path.reader.read(update(1, True, population.first))
        return [held_bytes(lambda: path.driver.tenants.settle(True, listed)) / BYTES_PER_MB]


def memory_mb(size: int, seed: int) -> list[float]:
    """What reader, driver, pool and module hold of a whole list."""
    population = Population(PopulationShape(size), seed)
    text = body(1, True, population.first)
    with ListPath(population.shape, seed) as path:
        return [held_bytes(lambda: path.take(text)) / BYTES_PER_MB]


def day_steps(population: Population, seed: int) -> tuple[ChurnStep, ...]:
    """A day's worth of churn of this population, at its real times."""
    return draw_churn(population, population.shape.restarts_a_day(), DAY_S, seed)


def play(path: ListPath, steps: Iterable[ChurnStep]) -> list[float]:
    """Milliseconds of processor time for each step, told alone."""
    samples, last = list[float](), 0.0
    for step in steps:
        samples.append(processor_ns(partial(path.take_step, step, step.at_s - last)) / NS_PER_MS)
        last = step.at_s
    return samples


def day_change_ms(size: int, seed: int) -> list[float]:
    """Each change from the beginning of a day's churn, from bytes to the module's answer."""
    population = Population(PopulationShape(size), seed)
    with ListPath(population.shape, seed) as path:
        path.take(body(1, True, population.first))
        steps = day_steps(population, seed)[:MOST_STEPS]
        samples = play(path, steps)
        path.settle()
        faults = faults_of(path, listed_after(population.first, steps))
        if faults:
            raise AssertionError("; ".join(faults))
        return samples


def days_kept_mb(size: int, days: int, seed: int) -> list[float]:
    """What so many days' worth of churn leave held beyond what was held before."""
    population = Population(PopulationShape(size), seed)
    restarts = population.shape.restarts_a_day() * days
    steps = draw_churn(population, restarts, DAY_S * days, seed)

    def build() -> ListPath:
        path = ListPath(population.shape, seed)
        path.take(body(1, True, population.first))
        path.settle()
        return path

    def churn(path: ListPath) -> None:
        with path:
            for batch in batches(steps, BATCH_S):
                path.take_batch(batch)
            path.settle()

    return [max(0, *growth_bytes(build, [churn])) / BYTES_PER_MB]


def day_kept_mb(size: int, seed: int) -> list[float]:
    """What one day's worth of churn leaves held beyond what was held before."""
    return days_kept_mb(size, 1, seed)


def zone_at_once_ms(size: int, seed: int) -> list[float]:
    """A zone of five gone, told in one change."""
    return [_zone_ms(size, seed, at_once=True) for _ in range(ROUNDS)]


def zone_one_by_one_ms(size: int, seed: int) -> list[float]:
    """A zone of five gone, each upstream told alone; for all of them together."""
    return [_zone_ms(size, seed, at_once=False)]


def _zone_ms(size: int, seed: int, at_once: bool) -> float:
    population = Population(PopulationShape(size), seed)
    rows = [replace(one, lifecycle="left") for one in population.in_zone(0)]
    told = [body(2, False, rows)] if at_once else [body(2, False, [row]) for row in rows]
    with ListPath(population.shape, seed) as path:
        path.take(body(1, True, population.first))

        def tell() -> None:
            for text in told:
                path.take(text)

        return timed(1, lambda: tell)[0]


# ---- connections ----


def pool_sweep_ms(size: int, seed: int) -> list[float]:
    """One look of the pool for connections that are too old (each 0.5 s), none open."""
    population = Population(PopulationShape(size), seed)
    with ListPath(population.shape, seed) as path:
        path.take(body(1, True, population.first))

        def sweeps() -> None:
            for _ in range(CALLS):
                path.pool.sweep_timer.cancel()
                path.pool.sweep()

        return timed(ROUNDS, lambda: sweeps, CALLS)


def pool_full_ms(size: int, seed: int) -> list[float]:
    """One new connection where all that are allowed are open: whom to close is looked for."""
    population = Population(PopulationShape(size), seed)
    with ListPath(population.shape, seed) as path:
        path.take(body(1, True, population.first))
        path.pool.open = path.pool.limit

        def look() -> None:
            for _ in range(CALLS):
                path.pool._make_room()

        return timed(ROUNDS, lambda: look, CALLS)


# ---- settings ----


def configuration_text(tenants: int, seed: int) -> str:
    """A configuration with so many tenants and routes in the target's proportion; one balancer of 930."""
    shape = PopulationShape(10_000)
    routes = round(TARGET_ROUTES * tenants / TARGET_TENANTS)
    settings = raw_settings(CLASSES, shape.balancers(), shape.zone_names())
    settings |= routes_and_tenants(routes, tenants, TARGET_SERVICES, seed)
    return json.dumps(raw_configuration(settings, 1))


def settings_mb(tenants: int, seed: int) -> list[float]:
    """The configuration file."""
    return [len(configuration_text(tenants, seed)) / BYTES_PER_MB]


def settings_load_ms(tenants: int, seed: int) -> list[float]:
    """Reading and checking the configuration, as at the start and at each SIGHUP."""
    return _with_file(tenants, seed, lambda path: timed(ROUNDS, lambda: lambda: config.load(path)))


def settings_memory_mb(tenants: int, seed: int) -> list[float]:
    """What is held of it where the balancers talk to each other (`peer_listen`): the settings as worded."""

    def held(path: str) -> list[float]:
        return [held_bytes(lambda: config.load(path, peering=True)) / BYTES_PER_MB]

    return _with_file(tenants, seed, held)


def _with_file(tenants: int, seed: int, work: Callable[[str], list[float]]) -> list[float]:
    raw = json.loads(configuration_text(tenants, seed))
    raw["peer_listen"] = "127.0.0.1:1"
    with tempfile.TemporaryDirectory(prefix="lifttrail-scale-") as folder:
        file = Path(folder) / "n0.json"
        file.write_text(json.dumps(raw), encoding="utf-8")
        return work(str(file))


LIST_LIMIT = f"the reader takes at most {MAX_LIST_BYTES / BYTES_PER_MB:.1f} MB"
NO_ROUTES = "routes and tenants are keys that no reader knows; nothing is decided by them"


def costs(largest: int) -> tuple[Cost, ...]:
    """All costs of the engine; those that vary something else than upstreams do so at `largest` of them."""
    day, gone = Situation.ORDINARY_DAY, Situation.ZONE_GONE
    tenants = partial(
        Cost,
        parameter="tenants",
        parameter_unit="tenants",
        sizes=TENANT_SIZES,
        notes=NO_ROUTES,
        conditions={"routes": f"{TARGET_ROUTES} for {TARGET_TENANTS} tenants, in proportion"},
    )
    return (
        Cost("engine.list.bytes", "whole list on the wire", "bytes", "MB", list_mb, notes=LIST_LIMIT),
        Cost("engine.list.read", "whole list read", "processor time", "ms", read_ms),
        Cost("engine.list.full", "first whole list taken over", "processor time", "ms", full_list_ms),
        Cost("engine.list.same", "whole list once more, unchanged", "processor time", "ms", same_list_ms),
        Cost("engine.addresses.settle", "who lives where, whole list", "processor time", "ms", tenants_ms),
        Cost("engine.addresses.memory", "held of who lives where", "memory", "MB", tenants_mb),
        Cost("engine.list.memory", "held of a whole list", "memory", "MB", memory_mb),
        Cost(
            "engine.list.day-change",
            "each change of a day's churn",
            "processor time a change",
            "ms",
            day_change_ms,
            situation=day,
            notes=f"three for each restart or replacement, each told alone; the first {MOST_STEPS}",
        ),
        Cost("engine.list.day-kept", "held after a day's churn", "memory", "MB", day_kept_mb, situation=day),
        Cost(
            "engine.list.days-kept",
            "held after days of churn",
            "memory",
            "MB",
            partial(days_kept_mb, largest),
            parameter="days of churn",
            parameter_unit="days",
            situation=day,
            sizes=DAY_SIZES,
            conditions={"upstreams": str(largest)},
            notes="ids of upstreams long gone are remembered, 16,384 of them at the most",
        ),
        Cost(
            "engine.list.zone-at-once",
            "a zone of five gone, told in one change",
            "processor time",
            "ms",
            zone_at_once_ms,
            situation=gone,
        ),
        Cost(
            "engine.list.zone-one-by-one",
            "a zone of five gone, each upstream told alone",
            "processor time for all",
            "ms",
            zone_one_by_one_ms,
            situation=gone,
        ),
        Cost(
            "engine.pool.sweep",
            "look for old connections (each 0.5 s)",
            "processor time",
            "ms",
            pool_sweep_ms,
        ),
        Cost("engine.pool.full", "a connection where all are open", "processor time", "ms", pool_full_ms),
        tenants("engine.settings.bytes", "configuration file", "bytes", "MB", settings_mb),
        tenants("engine.settings.load", "configuration read", "processor time", "ms", settings_load_ms),
        tenants("engine.settings.memory", "held of the settings", "memory", "MB", settings_memory_mb),
    )

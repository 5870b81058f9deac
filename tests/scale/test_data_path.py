"""The data path at size: the stand-in population, what holds a daemon to the list, and the measurements.

Seeded defects: an entry left behind after churn, a gone upstream still in the pool, an address kept after its
process, memory that grows with each change, a daemon that keeps dropped upstreams, one that sends to them.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
import uvloop

from dykeshift import rules
from dykeshift.engine import driver as driver_module
from dykeshift.engine.driver import Driver
from dykeshift.engine.tenants import Tenants
from dykeshift.engine.upstream import Pool
from dykeshift.interface import ServerState
from dykeshift.rules import Balancer
from dykeshift.scale import engine_costs, module_costs
from dykeshift.scale.costs import Run, growth_bytes, held_bytes, measure
from dykeshift.scale.daemon import DaemonFigures, DaemonRun, PhaseFigures, ScaleInstallation, Timing
from dykeshift.scale.daemon_results import added_ms, change_ms, measurements, starved
from dykeshift.scale.engine_costs import ListPath, body, faults_of
from dykeshift.scale.probe import ProbeReport
from dykeshift.scale.results import ResultsFile, check, load
from dykeshift.scale.slots import Slots
from dykeshift.scale.upstreams import (
    ChurnStep,
    Population,
    PopulationShape,
    batches,
    draw_churn,
    listed_after,
)
from dykeshift.standins.registry import Registry

SMALL = PopulationShape(60, services=10)
SECONDS = 200.0


# ---- the population ----


def test_the_same_seed_gives_the_same_population_and_churn() -> None:
    one, other = Population(SMALL, 3), Population(SMALL, 3)
    assert one.first == other.first and one.services == other.services
    assert draw_churn(one, 30, SECONDS, 4) == draw_churn(other, 30, SECONDS, 4)
    assert Population(SMALL, 5).first != one.first


def test_each_upstream_has_a_loopback_address_of_its_own() -> None:
    population = Population(PopulationShape(10_000), 1, port=4000)
    addresses = {one.address for one in population.first}
    assert len(addresses) == len({one.id for one in population.first}) == 10_000
    assert all(ipaddress.ip_address(host).is_loopback and port == 4000 for host, port in addresses)
    assert len(population.in_zone(0)) == 2_000
    assert set(population.services) == set(range(510))


def test_no_slot_is_in_two_restarts_at_a_time() -> None:
    population = Population(SMALL, 3)
    busy: dict[int, list[str]] = {}
    for step in draw_churn(population, 300, SECONDS, 4):
        busy.setdefault(step.slot, []).append(step.instance.lifecycle)
    assert sum(map(len, busy.values())) == 900
    for lives in busy.values():
        assert lives == ["leaving", "left", "active"] * (len(lives) // 3)


def test_churn_ends_with_one_process_a_slot_as_the_registry_lists_it() -> None:
    population = Population(SMALL, 3)
    steps = draw_churn(population, 100, SECONDS, 4)
    registry = Registry(Random(1), listed={one.id: one for one in population.first})
    for step in steps:
        registry.put(step.instance)
    truth = listed_after(population.first, steps)
    assert registry.listed == truth
    assert {one.address for one in truth.values()} == {one.address for one in population.first}
    assert any(name.endswith("+") for name in truth) and any(not name.endswith("+") for name in truth)


def test_more_restarts_than_a_population_bears_are_refused() -> None:
    with pytest.raises(ValueError, match="too many"):
        draw_churn(Population(SMALL, 3), 1_000, 10.0, 4)


def test_batches_keep_all_steps_in_their_order() -> None:
    steps = draw_churn(Population(SMALL, 3), 50, SECONDS, 4)
    told = list(batches(steps, 10.0))
    assert [step for batch in told for step in batch] == list(steps)
    assert all(len({int(step.at_s / 10.0) for step in batch}) == 1 for batch in told)


# ---- what a daemon holds after churn ----


def faults_after_churn() -> list[str]:
    population = Population(SMALL, 3)
    steps = draw_churn(population, 80, SECONDS, 4)
    with ListPath(SMALL, 1) as path:
        path.take(body(1, True, population.first))
        engine_costs.play(path, steps)
        path.settle()
        return faults_of(path, listed_after(population.first, steps))


def test_after_churn_a_daemon_holds_what_is_listed_and_nothing_else() -> None:
    assert faults_after_churn() == []


def test_a_daemon_that_missed_a_change_is_found() -> None:
    population = Population(SMALL, 3)
    steps = draw_churn(population, 80, SECONDS, 4)
    with ListPath(SMALL, 1) as path:
        path.take(body(1, True, population.first))
        engine_costs.play(path, steps[:-1])
        path.settle()
        assert faults_of(path, listed_after(population.first, steps))


def keep_all(self: Any, number: int) -> None:
    """A daemon that takes nothing off."""


def sort_in_all(self: Balancer, now: int) -> None:
    """A module that goes on with servers that are gone."""
    self.ready = [s for s in self.servers.values() if s.entry.state is not ServerState.DRAINING]
    self.cold, self.groups, self.ready_is_sorted = [], {}, False
    self._rebuild_pool(now)


@pytest.mark.parametrize(
    "owner, name, defect, found",
    [
        (Pool, "drop", keep_all, "upstreams of the pool"),
        (Driver, "_remove", keep_all, "upstreams of the pool"),
        (Tenants, "_vacate", keep_all, "homes"),
        (Balancer, "_rebuild_ready", sort_in_all, "the module's pool"),
    ],
)
def test_an_entry_that_is_left_behind_is_found(
    owner: type, name: str, defect: Callable[..., None], found: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, defect)
    assert any(fault.startswith(found) for fault in faults_after_churn())


# ---- memory ----

LEAST_LEAK = 40  # bytes a change: one object kept of each


def bytes_a_change() -> float:
    """Held more after many changes of the list than after as many before, for each of them."""
    population = Population(SMALL, 3)
    first, second = (draw_churn(population, 250, 2_500.0, seed) for seed in (4, 5))

    def play(path: ListPath, steps: tuple[ChurnStep, ...]) -> None:
        for step in steps:
            path.take_step(step, 1.0)
        path.take(body(0, True, population.first))
        path.settle()

    def build() -> ListPath:
        path = ListPath(SMALL, 1)
        play(path, first)
        return path

    def work(path: ListPath) -> None:
        with path:
            play(path, second)

    return growth_bytes(build, [work])[0] / len(second)


def test_memory_is_flat_over_changes_of_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(driver_module, "MAX_REMEMBERED_IDS", 50)
    assert bytes_a_change() < LEAST_LEAK


def test_memory_that_grows_with_each_change_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(driver_module, "MAX_REMEMBERED_IDS", 50)
    kept, take = list[Any](), Balancer.on_list

    def on_list(self: Balancer, now: int, update: Any) -> Any:
        kept.append(update)
        return take(self, now, update)

    monkeypatch.setattr(Balancer, "on_list", on_list)
    assert bytes_a_change() >= LEAST_LEAK


def settings_bytes_a_change() -> float:
    """Held more after changes of one class, for each of them."""
    module_costs._changes_kept.cache_clear()
    try:
        return module_costs.settings_kept_mb(60, 1)[0] * 1e6 / module_costs.SETTINGS_CHANGES
    finally:
        module_costs._changes_kept.cache_clear()


def test_memory_is_flat_over_changes_of_the_settings() -> None:
    assert settings_bytes_a_change() < LEAST_LEAK


def test_places_that_are_never_used_again_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assign = rules.assign_places

    def hold_all(known: Any, recency: Any, wanted: Any, held: Any) -> Any:
        return assign(known, recency, wanted, range(len(known)))

    monkeypatch.setattr(rules, "assign_places", hold_all)
    assert settings_bytes_a_change() >= LEAST_LEAK


# ---- measurements ----

RUN = Run((20, 40, 60), 1, "lifttrail scale data --sizes 20,40,60 --seed 1")


@pytest.mark.parametrize("maker", [module_costs.costs, engine_costs.costs])
def test_costs_become_sound_measurements(maker: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module_costs, "SETTINGS_CHANGES", 6)
    monkeypatch.setattr(module_costs, "CHANGE_SIZES", (2, 4, 6))
    monkeypatch.setattr(module_costs, "CLASS_SIZES", (3, 6, 9))
    monkeypatch.setattr(module_costs, "REQUESTS", 20)
    monkeypatch.setattr(module_costs, "ROUNDS", 1)
    monkeypatch.setattr(engine_costs, "ROUNDS", 1)
    monkeypatch.setattr(engine_costs, "TENANT_SIZES", (30, 60, 90))
    found = [measure(cost, RUN) for cost in maker(60)]
    check(ResultsFile(measurements=tuple(found)))
    assert len(found) >= 12 and all(len(one.points) >= 3 for one in found)


def test_memory_is_what_is_still_held_and_not_what_was_used() -> None:
    def build() -> list[bytearray]:
        used = [bytearray(1_000) for _ in range(300)]
        return used[:100]

    assert 100_000 < held_bytes(build) < 150_000


def test_state_of_classes_that_fail_is_seen() -> None:
    few, many = (module_costs.failing_state_mb(40, classes, 1)[0] for classes in (3, 30))
    assert many > few


def test_a_variant_keeps_figures_of_another_program_beside() -> None:
    assert Run((1,), 1, "x", "before").identifier("module.sweep") == "module.sweep.before"


def figures(upstreams: int = 40, waited_s: float = 0.0, lateness_s: float = 0.0) -> DaemonFigures:
    phases = {
        name: PhaseFigures(10.0, processor_s, waited_s, resident_mb)
        for name, processor_s, resident_mb in (
            ("start", 0.1, 30.0),
            ("quiet", 0.1, 30.0),
            ("churn", 0.5, 31.0),
            ("load", 2.0, 32.0),
            ("tenfold", 2.0, 32.0),
            ("day", 3.0, 35.0),
            ("change", 0.4, 41.0),
            ("zone", 0.1, 41.0),
        )
    }
    probe = ProbeReport(
        through=(0.012, 0.013, 0.030),
        direct=(0.010, 0.011, 0.012),
        refused=1,
        failed=2,
        direct_failed=0,
        lateness=(lateness_s,),
    )
    return DaemonFigures(
        upstreams,
        phases=phases,
        probes={"load": probe, "tenfold": probe, "day": probe},
        list_steps={"churn": 20, "tenfold": 3, "day": 100},
        configuration_changes=20,
        zone_upstreams=8,
    )


def test_the_cost_of_changes_is_what_goes_beyond_the_phase_without() -> None:
    assert change_ms(figures(), "churn", "quiet") == pytest.approx(20.0)
    assert change_ms(figures(), "day", "load") == pytest.approx(10.0)
    assert added_ms(figures(), "load", 0.5) == pytest.approx(2.0)
    assert added_ms(figures(), "load", 0.99) == pytest.approx(18.0)


def test_a_run_that_the_machine_held_up_says_so() -> None:
    assert not starved(figures())
    assert starved(figures(waited_s=1.0)) and starved(figures(lateness_s=0.02))


def test_runs_of_a_daemon_become_sound_measurements() -> None:
    found = measurements([figures(20), figures(40), figures(60)], RUN, 204.0)
    check(ResultsFile(measurements=tuple(found)))
    by_id = {one.id: one for one in found}
    assert [point.median for point in by_id["daemon.settings.grown"].points] == [6.0] * 3
    assert [point.median for point in by_id["daemon.requests.day-not-served"].points] == [3.0] * 3
    assert by_id["daemon.latency.through"].points[0].rounds == 3


# ---- one whole daemon ----

SHORT = Timing(settle_s=0.2, quiet_s=0.2, churn_s=1.0, load_s=2.0, day_s=3.0, changes=3, longest_wait_s=30.0)
CHURN_SHAPE = 40  # upstreams; a day of them has 14 restarts


class DefectiveDaemon(DaemonRun):
    """A daemon with something broken in its process."""

    def __init__(self, defect: str) -> None:
        timing = Timing(
            settle_s=0.1,
            quiet_s=0.1,
            churn_s=1.0,
            load_s=1.2,
            day_s=2.0,
            changes=0,
            longest_wait_s=3.0,
            grace_s=0.2,
        )
        super().__init__(CHURN_SHAPE, 1, 100.0, timing)
        program = f"import sys\n{defect}\nfrom dykeshift.node.__main__ import main\nsys.exit(main())"
        self.home = DefectiveInstallation(self.home.shape, 1, program, timing.grace_s)


class DefectiveInstallation(ScaleInstallation):
    def __init__(self, shape: PopulationShape, seed: int, program: str, grace_s: float) -> None:
        super().__init__(shape, seed, grace_s)
        self.program = program

    async def start_balancers(self) -> None:
        for balancer in self.balancers:
            balancer.program = ["-c", self.program]
        await super().start_balancers()


def test_a_whole_daemon_follows_churn_a_zone_and_configurations() -> None:
    found = uvloop.run(DaemonRun(CHURN_SHAPE, 1, 50.0, SHORT).run())
    assert found.faults == []
    assert found.zone_upstreams == 8 and found.configuration_changes == 3
    assert found.list_steps == {"churn": 6, "tenfold": 3, "day": 42}
    assert set(found.phases) == {
        "start",
        "quiet",
        "churn",
        "load",
        "tenfold",
        "day",
        "change",
        "zone",
        "after",
    }
    for probe in found.probes.values():
        assert probe.through and probe.direct
    check(ResultsFile(measurements=tuple(measurements([found], RUN, 50.0))))


KEEPS_DROPPED = "import dykeshift.engine.upstream as u\nu.Pool.drop = lambda self, number: None"
SENDS_TO_GONE = """
import dykeshift.engine.upstream as u
import dykeshift.rules as r
gone, drop, start = {}, u.Pool.drop, u.Pool.start
def keep(self, number):
    known = self.upstreams.get(number)
    drop(self, number)
    if known is not None:
        known.open_to_new = True
        gone[number] = known
def begin(self, number, *rest):
    if number in self.upstreams or number not in gone:
        return start(self, number, *rest)
    self.upstreams[number] = gone[number]
    try:
        return start(self, number, *rest)
    finally:
        del self.upstreams[number]
def sort(self, now):
    self.ready = list(self.servers.values())
    self.cold, self.groups, self.ready_is_sorted = [], {}, False
    self._rebuild_pool(now)
u.Pool.drop, u.Pool.start, r.Balancer._rebuild_ready = keep, begin, sort
"""
SENDS_TO_LEAVING = """
import dykeshift.engine.discovery as d
from dykeshift.interface import ServerState
d._STATES['leaving'] = ServerState.READY
d._STATES['left'] = ServerState.READY
"""


@pytest.mark.parametrize(
    "defect, said",
    [
        (KEEPS_DROPPED, "are listed"),
        (SENDS_TO_LEAVING, "requests came to upstreams that were gone"),
        (SENDS_TO_GONE, "requests came to upstreams that were gone"),
    ],
    ids=["keeps-dropped", "sends-to-leaving", "sends-to-gone"],
)
def test_a_daemon_that_keeps_what_is_gone_is_found(defect: str, said: str) -> None:
    found = uvloop.run(DefectiveDaemon(defect).run())
    assert any(said in fault for fault in found.faults)


def test_requests_at_an_empty_slot_are_counted() -> None:
    async def play() -> tuple[int, int]:
        slots = Slots(2)
        await slots.listen()
        host, port = slots.servers[0].sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        request = b"GET /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        writer.write(request)
        await reader.readuntil(b"done\n")
        slots.slots[0].up = False  # without closing: what is on its way then
        writer.write(request + request)
        while slots.late < 2:
            await asyncio.sleep(0)
        writer.close()
        slots.close()
        return slots.served, slots.late

    assert uvloop.run(play()) == (1, 2)


def test_connections_to_an_empty_slot_count_once_it_is_known_to_be_empty() -> None:
    async def play() -> list[int]:
        slots, seen = Slots(2), list[int]()
        await slots.listen()
        host, port = slots.servers[0].sockets[0].getsockname()
        slots.slots[0].end()
        for known in (False, True):
            if known:
                slots.told()
            reader, writer = await asyncio.open_connection(host, port)
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            writer.close()
            seen.append(slots.late)
        slots.close()
        return seen

    assert uvloop.run(play()) == [0, 1]


# ---- the command ----


@pytest.mark.parametrize(
    "arguments, said",
    [
        (["--sizes", "many"], "no numbers"),
        (["--sizes", "200,100"], "ascending"),
        (["--sizes", "1"], "from 20"),
        (["--sizes", "200,90000"], "to 50000"),
        (["--seed", "-1"], "--seed"),
        (["--part", "all"], "--part"),
        (["--rate", "0"], "--rate"),
        (["--day", "0"], "--day"),
        (["--variant", "Not so"], "--variant"),
        (["--only", "nothing.like.it"], "--only"),
        (["--out", "/nowhere/at/all.json"], "cannot write"),
    ],
)
def test_bad_input_is_a_line_and_exit_2_and_nothing_begins(
    arguments: list[str], said: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    from dykeshift.cli import main, scale_data

    def begun(*_: object) -> None:
        raise AssertionError("something was begun")

    monkeypatch.setattr(scale_data, "_costs", begun)
    monkeypatch.setattr(scale_data, "_daemon", begun)
    assert main(["scale", "data", *arguments]) == 2
    told = capsys.readouterr().err
    assert said in told and told.count("\n") == 1


def test_the_command_prints_and_merges_what_it_measured(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    from dykeshift.cli import main

    path = tmp_path / "capacity.json"
    arguments = ["scale", "data", "--sizes", "20,40,60", "--part", "module", "--out", str(path), "--json"]
    arguments += ["--only", "module.sweep", "--only", "module.list.zone-at-once"]
    for variant in ("", "before"):
        assert main([*arguments, "--variant", variant]) == 0
        told = json.loads(capsys.readouterr().out)
        assert told["faults"] == [] and len(told["measurements"]) == 3
    assert [one.id for one in load(path).measurements] == [
        "module.list.zone-at-once",
        "module.list.zone-at-once.before",
        "module.sweep",
        "module.sweep.before",
        "module.sweep.day",
        "module.sweep.day.before",
    ]
    assert load(path).measurements[1].command == (
        "lifttrail scale data --sizes 20,40,60 --seed 1 --part module"
        " --only module.sweep --only module.list.zone-at-once --variant before"
    )

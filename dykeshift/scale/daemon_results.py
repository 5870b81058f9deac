"""Measurements of the results file out of the runs of one whole daemon at several sizes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from dykeshift.scale.costs import Run, machine_load
from dykeshift.scale.daemon import CLASSES, DIRECT_RATE, DaemonFigures, PhaseFigures
from dykeshift.scale.results import ClockKind, Measurement, Point, Role, Situation, program_version, summarise

MOST_WAITED = 0.1  # of the processor time: a daemon that waited longer for a processor was starved
MOST_LATENESS_S = 0.005  # 99th percentile by which the client itself was late
MS = 1000.0


def quantile(samples: Sequence[float], share: float) -> float:
    """By nearest rank, as the results file has it; 0 for none."""
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def starved(figures: DaemonFigures) -> bool:
    """Whether the machine held up the daemon or the client while requests were timed."""
    waits = [phase.waited_s > MOST_WAITED * phase.processor_s for phase in _timed_phases(figures)]
    late = [quantile(probe.lateness, 0.99) > MOST_LATENESS_S for probe in figures.probes.values()]
    return any(waits) or any(late)


def _timed_phases(figures: DaemonFigures) -> list[PhaseFigures]:
    return [figures.phases[name] for name in ("load", "tenfold", "day") if name in figures.phases]


def change_ms(figures: DaemonFigures, phase: str, base: str) -> float:
    """Processor time of one change of the list: what the phase took more than one without changes."""
    with_changes, without = figures.phases[phase], figures.phases[base]
    beyond = with_changes.processor_s - without.processor_s / without.seconds * with_changes.seconds
    return max(0.0, beyond) * MS / max(1, figures.list_steps[phase])


def added_ms(figures: DaemonFigures, phase: str, share: float) -> float:
    """A quantile of the times through the daemon less that of direct calls in the same phase."""
    probe = figures.probes[phase]
    return max(0.0, quantile(probe.through, share) - quantile(probe.direct, share)) * MS


def _not_served(figures: DaemonFigures, phase: str) -> float:
    return float(figures.probes[phase].refused + figures.probes[phase].failed)


def _grown_mb(figures: DaemonFigures, phase: str, before: str) -> float:
    return max(0.0, figures.phases[phase].resident_mb - figures.phases[before].resident_mb)


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a run at one size."""

    id: str
    name: str
    quantity: str
    unit: str
    situation: Situation
    value: Callable[[DaemonFigures], float]


REST, DAY, ZONE = Situation.AT_REST, Situation.ORDINARY_DAY, Situation.ZONE_GONE
MEMORY, PROCESSOR, A_CHANGE = "resident memory", "processor time", "processor time a change"
BEYOND_MEDIAN, BEYOND_P99 = "median beyond a direct call's", "99th percentile beyond a direct call's"
FIGURES = (
    Figure("daemon.start.ready", "start until it takes requests", "time", "s", REST, lambda run: run.ready_s),
    Figure(
        "daemon.memory.start",
        "with the whole list",
        MEMORY,
        "MB",
        REST,
        lambda run: run.phases["start"].resident_mb,
    ),
    Figure(
        "daemon.memory.day",
        "after a day's churn under load",
        MEMORY,
        "MB",
        DAY,
        lambda run: run.phases["day"].resident_mb,
    ),
    Figure(
        "daemon.memory.day-grown",
        "a day's churn under load",
        "resident memory grown",
        "MB",
        DAY,
        lambda run: _grown_mb(run, "day", "load"),
    ),
    Figure(
        "daemon.memory.most", "whole run", "most resident memory", "MB", DAY, lambda run: run.most_resident_mb
    ),
    Figure(
        "daemon.cpu.quiet",
        "no requests, no changes",
        PROCESSOR,
        "ms/s",
        REST,
        lambda run: run.phases["quiet"].processor_ms_a_second,
    ),
    Figure(
        "daemon.cpu.load",
        "requests, no changes",
        PROCESSOR,
        "ms/s",
        REST,
        lambda run: run.phases["load"].processor_ms_a_second,
    ),
    Figure(
        "daemon.cpu.change",
        "one change of the list, no requests",
        A_CHANGE,
        "ms",
        DAY,
        lambda run: change_ms(run, "churn", "quiet"),
    ),
    Figure(
        "daemon.cpu.day-change",
        "one change of the list, under load",
        A_CHANGE,
        "ms",
        DAY,
        lambda run: change_ms(run, "day", "load"),
    ),
    Figure(
        "daemon.latency.added-median",
        "requests, no changes",
        BEYOND_MEDIAN,
        "ms",
        REST,
        lambda run: added_ms(run, "load", 0.5),
    ),
    Figure(
        "daemon.latency.added-p99",
        "requests, no changes",
        BEYOND_P99,
        "ms",
        REST,
        lambda run: added_ms(run, "load", 0.99),
    ),
    Figure(
        "daemon.latency.tenfold-added-median",
        "requests, ten times an ordinary day's churn",
        BEYOND_MEDIAN,
        "ms",
        DAY,
        lambda run: added_ms(run, "tenfold", 0.5),
    ),
    Figure(
        "daemon.latency.tenfold-added-p99",
        "requests, ten times an ordinary day's churn",
        BEYOND_P99,
        "ms",
        DAY,
        lambda run: added_ms(run, "tenfold", 0.99),
    ),
    Figure(
        "daemon.latency.day-added-median",
        "requests, a day's churn sped up",
        BEYOND_MEDIAN,
        "ms",
        DAY,
        lambda run: added_ms(run, "day", 0.5),
    ),
    Figure(
        "daemon.latency.day-added-p99",
        "requests, a day's churn sped up",
        BEYOND_P99,
        "ms",
        DAY,
        lambda run: added_ms(run, "day", 0.99),
    ),
    Figure(
        "daemon.requests.tenfold-not-served",
        "refused or failed, ten times an ordinary day's churn",
        "requests",
        "requests",
        DAY,
        lambda run: _not_served(run, "tenfold"),
    ),
    Figure(
        "daemon.requests.day-not-served",
        "refused or failed, a day's churn sped up",
        "requests",
        "requests",
        DAY,
        lambda run: _not_served(run, "day"),
    ),
    Figure(
        "daemon.zone.time",
        "a zone of five off the list until it shows",
        "time",
        "s",
        ZONE,
        lambda run: run.zone_s,
    ),
    Figure(
        "daemon.zone.cpu",
        "a zone of five off the list",
        PROCESSOR,
        "ms",
        ZONE,
        lambda run: run.phases["zone"].processor_s * MS,
    ),
)
SETTINGS_FIGURES = (
    Figure(
        "daemon.settings.cpu",
        "one class changed, taken at a SIGHUP",
        A_CHANGE,
        "ms",
        DAY,
        lambda run: run.phases["change"].processor_s * MS / run.configuration_changes,
    ),
    Figure(
        "daemon.settings.grown",
        "changes of one class, each at a SIGHUP",
        "resident memory grown",
        "MB",
        DAY,
        lambda run: _grown_mb(run, "change", "day"),
    ),
)
TIMES = (
    ("daemon.latency.through", "requests through the daemon", "load", REST, True),
    ("daemon.latency.direct", "direct calls", "load", REST, False),
    (
        "daemon.latency.tenfold-through",
        "requests through the daemon, ten times an ordinary day's churn",
        "tenfold",
        DAY,
        True,
    ),
    (
        "daemon.latency.tenfold-direct",
        "direct calls, ten times an ordinary day's churn",
        "tenfold",
        DAY,
        False,
    ),
    ("daemon.latency.day-through", "requests through the daemon, a day's churn sped up", "day", DAY, True),
    ("daemon.latency.day-direct", "direct calls, a day's churn sped up", "day", DAY, False),
)


def measurements(runs: Sequence[DaemonFigures], run: Run, rate: float) -> list[Measurement]:
    """All that these runs, one for each size, have measured."""
    figures = FIGURES + (SETTINGS_FIGURES if all(one.configuration_changes for one in runs) else ())
    conditions = {
        "classes": str(CLASSES),
        "machine": machine_load(),
        "requests": f"{rate:g}/s through the daemon, {DIRECT_RATE:g}/s directly",
    }
    notes = "; ".join(
        f"{one.upstreams}: day {one.list_steps['day']} changes in {one.phases['day'].seconds:.0f} s, "
        f"tenfold {one.list_steps['tenfold']} in {one.phases['tenfold'].seconds:.0f} s, "
        f"{one.upstreams_met} upstreams met, {one.zone_upstreams} gone with the zone"
        for one in runs
    )

    def built(
        identifier: str, name: str, quantity: str, unit: str, situation: Situation, points: list[Point]
    ) -> Measurement:
        return Measurement(
            id=run.identifier(identifier),
            name=name,
            role=Role.DATA_PATH,
            quantity=quantity,
            unit=unit,
            situation=situation,
            parameter="upstreams",
            parameter_unit="upstreams",
            points=tuple(points),
            command=run.command,
            program=program_version(),
            clock=ClockKind.REAL,
            starved=any(starved(one) for one in runs),
            conditions=conditions,
            notes=notes,
        )

    found = list[Measurement]()
    for figure in figures:
        points = [
            Point(size=one.upstreams, median=figure.value(one), rounds=1, seed=run.seed) for one in runs
        ]
        found.append(built(figure.id, figure.name, figure.quantity, figure.unit, figure.situation, points))
    for identifier, name, phase, situation, through in TIMES:
        points = [
            summarise(
                [s * MS for s in (one.probes[phase].through if through else one.probes[phase].direct)],
                size=one.upstreams,
                seed=run.seed,
            )
            for one in runs
        ]
        found.append(built(identifier, name, "time from when a request was due", "ms", situation, points))
    return found

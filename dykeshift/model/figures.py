"""What a played day comes to: one row of figures, and the service over time."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from msgspec import Struct
from numpy.typing import NDArray

from dykeshift.model.day import MS, SECOND, Day

HOWS = ("open", "ok", "refused", "failed", "reset", "late", "left")
CODE = {how: n for n, how in enumerate(HOWS)}
STEP_S = 0.25  # of the service over time
CAUSES = ("at once", "no server", "attempts")  # of refusals: turned away, nowhere to go, after attempts
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99)


class Errands:
    """How each errand of a client ended, and when. An errand is a request with its retries."""

    def __init__(self, at: NDArray[np.int64], klass: NDArray[np.int8]) -> None:
        self.at = at
        self.klass = klass
        self.ended = np.zeros(len(at), dtype=np.int64)
        self.how = np.zeros(len(at), dtype=np.int8)
        self.open = len(at)
        self.tries = 0
        self.answers: dict[str, int] = {}

    def end(self, number: int, now: int, how: str) -> None:
        """Note that an errand ended at `now` (nanoseconds), and how: a key of `CODE`."""
        self.ended[number] = now
        self.how[number] = CODE[how]
        self.open -= 1


@dataclass
class Run:
    """What the world counted besides. Times in nanoseconds."""

    attempts: int
    worked: int
    useful: int
    peak: float
    use: list[float]
    fell: int
    breaches: dict[str, int]
    first: dict[str, str]
    module: int
    calls: int
    list_slowest: int
    took: int
    events: int
    crossings: int
    connects: int
    open_lines: list[int]  # connections, twice a second
    refusals: list[tuple[int, str]]  # when each refused try came, and one of CAUSES


class ClassFigures(Struct, frozen=True):
    """The figures of one class of requests."""

    errands: int
    served: float  # shares of the errands
    in_aim: float
    percentiles_ms: dict[str, float]


class Figures(Struct, frozen=True):
    """Shares are of all errands that began after `warm_s`, but for what is said otherwise."""

    errands: int
    tries: int
    served: float
    in_aim: float
    worth: float  # earned, of what all in their aim would earn
    refused: float  # errands that end refused
    failed: float
    refusals: float  # refused tries, of all tries
    percentiles_ms: dict[str, float]  # of served errands
    attempts: float  # for each try
    wasted: float  # slot time whose answer nobody got, of all slot time
    busy: float  # slot time, of what warm slots have
    cold_peak: float  # highest work at a cold sender, of its limit
    cold_use: float  # mean of the same over all arrivals at cold senders
    fell: int
    breaches: dict[str, int]
    first_breaches: dict[str, str]
    classes: dict[str, ClassFigures]
    in_aim_by_step: list[float]  # by arrival, a step of 0.25 s each; -1 where nothing arrived
    refused_by_step: dict[str, list[float]]  # by cause and the try's arrival: for each errand of that step
    crossings: float  # attempts that leave their zone, for each errand
    connects: float  # new connections, for each errand
    connections: float  # open, mean for each sender
    price: float  # of all that `Prices` names, in parts of the worth
    module_us: float  # of this machine's time, for each try
    model_us: float  # the rest, for each try
    list_ms: float  # the slowest update of the list
    tries_per_s: float

    def again(self) -> dict[str, object]:
        """What another play of the same day must repeat: all but this machine's times."""
        timed = ("module_us", "model_us", "list_ms", "tries_per_s")
        return {name: getattr(self, name) for name in self.__struct_fields__ if name not in timed}


def measure(day: Day, errands: Errands, run: Run, first: int) -> Figures:
    """The figures of a played day. Errands from before `warm_s` seconds after `first` (ns) are left out."""
    counted = errands.at >= first + int(day.warm_s * SECOND)
    at, klass, how = errands.at[counted], errands.klass[counted], errands.how[counted]
    taken = errands.ended[counted] - at
    total = max(1, len(at))
    ok = how == CODE["ok"]
    aims = np.array([c.aim_ms for c in day.classes]) * MS
    in_aim = ok & (taken <= aims[klass])
    worths = np.array([c.worth for c in day.classes])[klass]
    late = np.array([c.late_share for c in day.classes])[klass]
    earned = float((worths * np.where(in_aim, 1.0, np.where(ok, late, 0.0))).sum())
    slots = day.senders.count * day.senders.slots * day.seconds * SECOND
    tries, all_errands = max(1, errands.tries), max(1, len(errands.at))
    wasted = 1 - run.useful / run.worked if run.worked else 0.0
    lines = float(np.mean(run.open_lines)) / day.senders.count if run.open_lines else 0.0
    prices = day.prices
    price = (
        prices.cross_zone * run.crossings / all_errands
        + prices.handshake * run.connects / all_errands
        + prices.connection * lines / 100
        + prices.waste * wasted
    )
    return Figures(
        errands=len(at),
        tries=errands.tries,
        served=float(ok.sum()) / total,
        in_aim=float(in_aim.sum()) / total,
        worth=earned / max(1e-9, float(worths.sum())),
        refused=float((how == CODE["refused"]).sum()) / total,
        failed=float(np.isin(how, [CODE["failed"], CODE["reset"], CODE["late"]]).sum()) / total,
        refusals=errands.answers.get("refused", 0) / tries,
        percentiles_ms=_percentiles(taken[ok]),
        attempts=run.attempts / tries,
        wasted=wasted,
        busy=run.worked / slots,
        cold_peak=run.peak,
        cold_use=float(np.mean(run.use)) if run.use else 0.0,
        fell=run.fell,
        breaches=run.breaches,
        first_breaches=run.first,
        classes={c.name: _of_class(klass == n, ok, in_aim, taken) for n, c in enumerate(day.classes)},
        in_aim_by_step=_steps(errands, day, aims, first),
        refused_by_step=_refused(errands, day, run.refusals, first),
        crossings=run.crossings / all_errands,
        connects=run.connects / all_errands,
        connections=lines,
        price=price,
        module_us=run.module / 1000 / tries,
        model_us=(run.took - run.module) / 1000 / tries,
        list_ms=run.list_slowest / MS,
        tries_per_s=errands.tries / (run.took / SECOND),
    )


def _percentiles(taken: NDArray[np.int64]) -> dict[str, float]:
    if not len(taken):
        return {}
    values = np.percentile(taken / MS, PERCENTILES)
    return {f"{p:g}": round(float(v), 3) for p, v in zip(PERCENTILES, values, strict=True)}


def _of_class(
    mine: NDArray[np.bool_], ok: NDArray[np.bool_], in_aim: NDArray[np.bool_], taken: NDArray[np.int64]
) -> ClassFigures:
    total = max(1, int(mine.sum()))
    served, in_time = float((ok & mine).sum()), float((in_aim & mine).sum())
    return ClassFigures(int(mine.sum()), served / total, in_time / total, _percentiles(taken[ok & mine]))


def _steps(errands: Errands, day: Day, aims: NDArray[np.float64], first: int) -> list[float]:
    """The share in the aim by time of arrival, the whole day."""
    good = (errands.how == CODE["ok"]) & (errands.ended - errands.at <= aims[errands.klass])
    step, offered = _by_step(errands, day, first)
    served = np.bincount(step, weights=good, minlength=len(offered))[: len(offered)]
    return [round(float(s / o), 5) if o else -1.0 for s, o in zip(served, offered, strict=True)]


def _by_step(errands: Errands, day: Day, first: int) -> tuple[NDArray[np.int64], NDArray[np.int64]]:
    """The step in which each errand came, and how many came in each step."""
    count = int(np.ceil(day.seconds / STEP_S))
    step = ((errands.at - first) / (STEP_S * SECOND)).astype(np.int64)
    return step, np.bincount(step, minlength=count)[:count]


def _refused(
    errands: Errands, day: Day, refusals: list[tuple[int, str]], first: int
) -> dict[str, list[float]]:
    offered = np.maximum(1, _by_step(errands, day, first)[1])
    count = len(offered)
    found: dict[str, list[float]] = {}
    for cause in CAUSES:
        at = [
            min(count - 1, int((came - first) / (STEP_S * SECOND))) for came, why in refusals if why == cause
        ]
        counts = np.bincount(np.asarray(at, dtype=np.int64), minlength=count)
        found[cause] = [round(float(part), 5) for part in counts / offered]
    return found

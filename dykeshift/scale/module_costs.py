"""What the decision module alone costs by the number of upstreams and classes: time a call, memory held.

Each cost is a function of size and seed that returns samples; `COSTS` names them for the results file.
Nothing but the module runs: no socket, no loop, and time is what it is told.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import cache, partial
from random import Random

from dykeshift.engine.discovery import instance_number
from dykeshift.interface import (
    AttemptEnd,
    ListKind,
    Outcome,
    Request,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    Settings,
)
from dykeshift.rules import Balancer
from dykeshift.scale.costs import BYTES_PER_MB, NS_PER_MS, NS_PER_US, Cost, growth_bytes, held_bytes
from dykeshift.scale.costs import processor_ns, timed
from dykeshift.scale.results import Situation
from dykeshift.scale.settings_file import raw_settings
from dykeshift.scale.upstreams import Population, PopulationShape
from dykeshift.settings import parse_settings

SECOND = 1_000_000_000  # nanoseconds
START = 1_000 * SECOND  # on the module's clock
CLASSES = 3
FAILURES = 20  # requests of each class
CLASS_SIZES = (3, 24, 510)
ROUNDS = 5
CALLS = 20  # a round, where one call is too short for the clock
ZONE_ROUNDS = 3
SETTINGS_CHANGES = 300
CHANGE_SIZES = (100, 200, 300)
REQUESTS = 2_000
REQUEST_GAP = SECOND // 204  # the target's requests a second at one balancer
ANSWER_TIME = SECOND // 100  # nanoseconds that the stand-in answer takes


def settings_for(shape: PopulationShape, classes: int = CLASSES) -> Settings:
    """Settings with so many classes for a population of that shape."""
    return parse_settings(raw_settings(classes, shape.balancers(), shape.zone_names()))


def entries_of(population: Population) -> tuple[ServerEntry, ...]:
    """The list as the module is told it at the start: all run, all started long ago."""
    zones = {name: number for number, name in enumerate(population.shape.zone_names())}
    return tuple(
        ServerEntry(instance_number(one.id), zones[one.zone], one.cell, 0, ServerState.READY, one.weight, 0)
        for one in population.first
    )


class Subject:
    """A module that has been told a full list."""

    def __init__(self, size: int, seed: int, classes: int = CLASSES) -> None:
        self.population = Population(PopulationShape(size), seed)
        self.entries = entries_of(self.population)
        self.settings = settings_for(self.population.shape, classes)
        self.module = Balancer(self.settings, seed)
        self.random = Random(seed)
        self.now = START
        self.tell_all()

    def tell_all(self) -> None:
        """The full list, as at the start."""
        self.module.on_list(self.now, ServerList(ListKind.FULL, self.entries))

    def tell(self, *entries: ServerEntry) -> None:
        """Changed entries."""
        self.module.on_list(self.now, ServerList(ListKind.DELTA, entries))

    def zone_gone(self) -> list[ServerEntry]:
        """The entries of one zone as they are told once it is gone."""
        return [replace(entry, state=ServerState.GONE) for entry in self.entries if entry.zone == 0]

    def change_class(self, number: int) -> None:
        """Settings in which one class has other terms than in any before."""
        at = number % len(self.settings.classes)
        classes = list(self.settings.classes)
        classes[at] = replace(classes[at], deadline=classes[at].deadline + 1 + number)
        self.settings = replace(self.settings, classes=tuple(classes))
        self.module.on_settings(self.now, self.settings)

    def serve(self, number: int) -> None:
        """One request from its arrival to its answer, with all its attempts."""
        self.now += REQUEST_GAP
        name = str(number)
        request = Request(name, number % len(self.settings.classes), self.now + SECOND)
        sends = [one for one in self.module.on_request(self.now, request) if isinstance(one, Send)]
        ends = (Outcome.OK, *[Outcome.CANCELLED] * (len(sends) - 1))
        for attempt, (send, outcome) in enumerate(zip(sends, ends, strict=False)):
            end = AttemptEnd(name, attempt, send.server, outcome, ANSWER_TIME, True)
            self.module.on_attempt_end(self.now, end)

    def fail(self, number: int) -> None:
        """One request that fails at each server that it is sent to."""
        self.now += REQUEST_GAP
        name = str(number)
        request = Request(name, number % len(self.settings.classes), self.now + SECOND)
        actions = self.module.on_request(self.now, request)
        sent = 0
        while sends := [one for one in actions if isinstance(one, Send)]:
            actions = []
            for send in sends:
                end = AttemptEnd(name, sent, send.server, Outcome.ERROR, ANSWER_TIME, False)
                actions += self.module.on_attempt_end(self.now, end)
                sent += 1
        self.module.on_client_gone(self.now, name)


# ---- processor time ----


def full_list_ms(size: int, seed: int) -> list[float]:
    """The first list, told to an empty module."""

    def prepare() -> Callable[[], None]:
        subject = Subject(size, seed)
        subject.module = Balancer(subject.settings, seed)
        return subject.tell_all

    return timed(ROUNDS, prepare)


def same_list_ms(size: int, seed: int) -> list[float]:
    """The full list told once more, unchanged."""
    subject = Subject(size, seed)
    return timed(ROUNDS, lambda: subject.tell_all)


def changed_entry_ms(size: int, seed: int) -> list[float]:
    """One entry that changes, told alone: leaving, or back anew."""
    subject = Subject(size, seed)

    def change() -> None:
        for turn in range(CALLS):
            entry = subject.random.choice(subject.entries)
            subject.now += SECOND
            leaves = turn % 2 == 0
            state = ServerState.DRAINING if leaves else ServerState.READY
            subject.tell(replace(entry, state=state, started=0 if leaves else subject.now))

    return timed(ROUNDS, lambda: change, CALLS)


def zone_one_by_one_ms(size: int, seed: int) -> list[float]:
    """All upstreams of one zone of five gone, each told alone; for all of them together."""

    def prepare() -> Callable[[], None]:
        subject = Subject(size, seed)
        gone = subject.zone_gone()

        def tell() -> None:
            for entry in gone:
                subject.tell(entry)

        return tell

    return timed(ZONE_ROUNDS, prepare)


def zone_at_once_ms(size: int, seed: int) -> list[float]:
    """The same in one change of the list."""

    def prepare() -> Callable[[], None]:
        subject = Subject(size, seed)
        gone = subject.zone_gone()
        return lambda: subject.tell(*gone)

    return timed(ROUNDS, prepare)


def sweep_ms(size: int, seed: int) -> list[float]:
    """One sweep over a list at rest."""
    subject = Subject(size, seed)

    def sweeps() -> None:
        for _ in range(CALLS):
            subject.now += SECOND
            subject.module.on_timer(subject.now, "sweep")

    return timed(ROUNDS, lambda: sweeps, CALLS)


def day_sweep_ms(size: int, seed: int) -> list[float]:
    """One sweep while one upstream in a hundred leaves and another is cold."""
    subject = Subject(size, seed)
    some = max(1, size // 100)
    chosen = subject.random.sample(subject.entries, 2 * some)
    subject.tell(*(replace(entry, state=ServerState.DRAINING) for entry in chosen[:some]))
    subject.tell(*(replace(entry, started=subject.now) for entry in chosen[some:]))

    def sweeps() -> None:
        for _ in range(CALLS):
            subject.now += 1  # they stay cold
            subject.module.on_timer(subject.now, "sweep")

    return timed(ROUNDS, lambda: sweeps, CALLS)


def request_us(size: int, seed: int) -> list[float]:
    """One request with its attempts, sweeps not counted."""
    subject = Subject(size, seed)

    def serve() -> None:
        for number in range(REQUESTS):
            subject.serve(number)

    return [ms * NS_PER_MS / NS_PER_US for ms in timed(ROUNDS, lambda: serve, REQUESTS)]


def settings_change_ms(size: int, seed: int) -> list[float]:
    """Each of 300 changes of one class in a row, by itself."""
    subject = Subject(size, seed)
    return [
        processor_ns(lambda number=number: subject.change_class(number)) / NS_PER_MS  # type: ignore[misc]
        for number in range(SETTINGS_CHANGES)
    ]


# ---- memory ----


def state_mb(size: int, seed: int) -> list[float]:
    """What the module holds of so many upstreams, three classes."""
    return [_state_bytes(size, seed, CLASSES) / BYTES_PER_MB]


def class_state_mb(upstreams: int, classes: int, seed: int) -> list[float]:
    """What the module holds of so many upstreams and classes."""
    return [_state_bytes(upstreams, seed, classes) / BYTES_PER_MB]


def _state_bytes(size: int, seed: int, classes: int) -> int:
    population = Population(PopulationShape(size), seed)
    entries, settings = entries_of(population), settings_for(population.shape, classes)

    def build() -> Balancer:
        module = Balancer(settings, seed)
        module.on_list(START, ServerList(ListKind.FULL, entries))
        return module

    return held_bytes(build)


def failing_state_mb(upstreams: int, classes: int, seed: int) -> list[float]:
    """The same after requests of each class that failed wherever they were sent."""

    def build() -> Subject:
        subject = Subject(upstreams, seed, classes)
        for number in range(classes * FAILURES):
            subject.fail(number)
        return subject

    return [held_bytes(build) / BYTES_PER_MB]


def settings_kept_mb(size: int, seed: int) -> list[float]:
    """What 300 changes of one class in a row leave held."""
    return [_changes_kept(size, seed, CHANGE_SIZES)[-1] / BYTES_PER_MB]


def settings_kept_by_changes_mb(upstreams: int, changes: int, seed: int) -> list[float]:
    """What so many changes, one of `CHANGE_SIZES`, leave held."""
    kept = _changes_kept(upstreams, seed, CHANGE_SIZES)
    return [kept[CHANGE_SIZES.index(changes)] / BYTES_PER_MB]


@cache
def _changes_kept(size: int, seed: int, stops: tuple[int, ...]) -> tuple[int, ...]:
    """Bytes held more after so many changes than before the first."""

    def build() -> Subject:
        subject = Subject(size, seed)
        subject.change_class(0)  # whatever the first one sets up is no growth
        return subject

    def advance(begin: int, end: int) -> Callable[[Subject], None]:
        def change(subject: Subject) -> None:
            for number in range(begin, end):
                subject.change_class(1 + number)

        return change

    works = [advance(begin, end) for begin, end in zip((0, *stops[:-1]), stops, strict=True)]
    return tuple(max(0, grown) for grown in growth_bytes(build, works))


THREE_CLASSES = {"classes": str(CLASSES)}
IN_A_ROW = f"{SETTINGS_CHANGES} changes in a row, each of one of three classes; process time"


def costs(largest: int) -> tuple[Cost, ...]:
    """All costs of the module; those that vary something else than upstreams do so at `largest` of them."""
    at_largest = {"upstreams": str(largest)}
    return (
        Cost(
            "module.list.full", "first list", "processor time", "ms", full_list_ms, conditions=THREE_CLASSES
        ),
        Cost(
            "module.list.same",
            "full list told once more, unchanged",
            "processor time",
            "ms",
            same_list_ms,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.list.entry",
            "one changed entry of the list",
            "processor time a change",
            "ms",
            changed_entry_ms,
            situation=Situation.ORDINARY_DAY,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.list.zone-one-by-one",
            "a zone of five gone, each upstream told alone",
            "processor time for all",
            "ms",
            zone_one_by_one_ms,
            situation=Situation.ZONE_GONE,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.list.zone-at-once",
            "a zone of five gone, told in one change",
            "processor time",
            "ms",
            zone_at_once_ms,
            situation=Situation.ZONE_GONE,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.sweep",
            "one sweep (each 0.75 s), list at rest",
            "processor time a sweep",
            "ms",
            sweep_ms,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.sweep.day",
            "one sweep (each 0.75 s), one upstream in a hundred leaving, one cold",
            "processor time a sweep",
            "ms",
            day_sweep_ms,
            situation=Situation.ORDINARY_DAY,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.request",
            "one request with its attempts",
            "processor time a request",
            "us",
            request_us,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.settings.change",
            "one class has other terms",
            "processor time a change",
            "ms",
            settings_change_ms,
            situation=Situation.ORDINARY_DAY,
            conditions=THREE_CLASSES,
            notes=IN_A_ROW,
        ),
        Cost(
            "module.settings.kept",
            "held after 300 changes of one class",
            "memory",
            "MB",
            settings_kept_mb,
            situation=Situation.ORDINARY_DAY,
            conditions={**THREE_CLASSES, "changes": str(SETTINGS_CHANGES)},
            notes=IN_A_ROW,
        ),
        Cost(
            "module.settings.kept-by-changes",
            "held after changes of one class",
            "memory",
            "MB",
            partial(settings_kept_by_changes_mb, largest),
            parameter="changes of one class",
            parameter_unit="changes",
            situation=Situation.ORDINARY_DAY,
            sizes=CHANGE_SIZES,
            conditions={**THREE_CLASSES, **at_largest},
        ),
        Cost(
            "module.state",
            "state of all upstreams, three classes",
            "memory",
            "MB",
            state_mb,
            conditions=THREE_CLASSES,
        ),
        Cost(
            "module.state.by-classes",
            "state of all upstreams by classes",
            "memory",
            "MB",
            partial(class_state_mb, largest),
            parameter="classes",
            parameter_unit="classes",
            sizes=CLASS_SIZES,
            conditions=at_largest,
        ),
        Cost(
            "module.state.failing-by-classes",
            "state of all upstreams after 20 requests of each class that failed everywhere",
            "memory, the list's entries counted",
            "MB",
            partial(failing_state_mb, largest),
            parameter="classes",
            parameter_unit="classes",
            sizes=CLASS_SIZES,
            conditions=at_largest,
        ),
    )

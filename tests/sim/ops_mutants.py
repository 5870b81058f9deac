"""Seeded defects of what operators use: bans, standby, reload and metrics."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from dykeshift import rules, settings
from dykeshift.engine import drain, ledger, server, upstream
from dykeshift.engine.discovery import instance_number
from dykeshift.engine.terms import FinalStatus
from dykeshift.interface import ListKind
from dykeshift.node import desk, reload
from dykeshift.sim import referee
from dykeshift.sim.scenario import WITH_OPERATORS
from tests.sim.defect import Mutant, Patch


def _ban_dropped_on_full_list() -> list[Patch]:
    def on_list(self: rules.Balancer, now: int, update: Any) -> Any:
        if update.kind is ListKind.FULL:
            self.banned.clear()
        return original(self, now, update)

    def put(self: upstream.Pool, number: int, address: Any, started: int, ready: bool) -> None:
        self.banned.clear()
        put_before(self, number, address, started, ready)

    original, put_before = rules.Balancer.on_list, upstream.Pool.put
    return [(rules.Balancer, "on_list", on_list), (upstream.Pool, "put", put)]


def _confirm_before_ban() -> list[Patch]:
    def enter(self: desk.ProcessBackend, name: str) -> bool:
        self.driver.loop.call_later(0.6, original, self, name)
        return instance_number(name) in self.driver.recently_listed

    original = desk.ProcessBackend.enter
    return [(desk.ProcessBackend, "enter", enter)]


def _ignore_ban() -> list[Patch]:
    """Neither pool nor decision module honours a ban."""

    def on_ban(self: rules.Balancer, now: int, number: int) -> Any:
        return []

    def ban(self: upstream.Pool, number: int, out: bool) -> None:
        return None

    return [(rules.Balancer, "on_ban", on_ban), (upstream.Pool, "ban", ban)]


def _ban_dropped_on_list_entry() -> list[Patch]:
    """A ban ends when discovery sends any entry of its upstream, as if ban and drain were the same."""

    def on_list(self: rules.Balancer, now: int, update: Any) -> Any:
        for entry in update.entries:
            self.banned.pop(entry.id, None)
        return original(self, now, update)

    def put(self: upstream.Pool, number: int, address: Any, started: int, ready: bool) -> None:
        self.banned.discard(number)
        put_before(self, number, address, started, ready)

    original, put_before = rules.Balancer.on_list, upstream.Pool.put
    return [(rules.Balancer, "on_list", on_list), (upstream.Pool, "put", put)]


def _drain_closes_busy_connections() -> list[Patch]:
    def close_idle(self: server.Front, orders: drain.Actions) -> None:
        if orders.close_silent:
            for client in list(self.clients):
                client.abort()
        original(self, orders)

    original = server.Front.close_idle
    return [(server.Front, "close_idle", close_idle)]


def _standby_keeps_idle_connections() -> list[Patch]:
    def step(
        self: drain.Drain,
        now: float,
        found: drain.OpenConnections,
        urgency: drain.Urgency = drain.Urgency.NONE,
    ) -> drain.Actions:
        orders = original(self, now, found, urgency)
        return orders if self.ending else replace(orders, close_kept=False)

    original = drain.Drain.step
    return [(drain.Drain, "step", step), (server, "SHORT_IDLE_TIMEOUT", 30.0)]


def _ignore_active() -> list[Patch]:
    return [(drain.Drain, "active", lambda self: True)]


def _new_terms_for_open_requests() -> list[Patch]:
    """New settings of a class apply to its requests in flight as well."""

    def on_settings(
        self: rules.Balancer, now: int, settings: Any, narrower: Any = None, held: Any = frozenset()
    ) -> Any:
        acts = original(self, now, settings, narrower, held)
        named = {c.name: c for n, c in enumerate(settings.classes) if n not in settings.retired}
        for item in self.open.values():
            item.klass = named.get(item.klass.name, item.klass)
        return acts

    original = rules.Balancer.on_settings
    return [(rules.Balancer, "on_settings", on_settings)]


def _partial_reload() -> list[Patch]:
    """A reload drops the old classes before the new ones have been validated."""

    def call(self: reload.Reload) -> None:
        self.reader.set_classes((), frozenset())
        original(self)

    original = reload.Reload.__call__
    return [(reload.Reload, "__call__", call)]


def _missing_group_means_all() -> list[Patch]:
    """A class whose `group` is missing is taken as one whose keys are known everywhere."""

    def required(table: Any, key: str, path: str) -> Any:
        return "all" if key == "group" and key not in table else original(table, key, path)

    original = settings.required
    return [(settings, "required", required), (reload.Reload, "load_complete", lambda self: self.load())]


def _attempts_counted_at_start() -> list[Patch]:
    """An attempt is counted when it starts, not when its last byte is written."""

    def start(self: upstream.Pool, *args: Any, **kwargs: Any) -> Any:
        self.ledger.attempts += 1
        return original(self, *args, **kwargs)

    original = upstream.Pool.start
    return [(upstream.Pool, "start", start), (upstream.Attempt, "request_written", lambda self: None)]


def _refusals_counted_as_failures() -> list[Patch]:
    def end(self: ledger.ClassCounts, how: Any) -> None:
        original(self, FinalStatus.FAILED if how is FinalStatus.REFUSED else how)

    original = ledger.ClassCounts.end
    return [(ledger.ClassCounts, "end", end)]


def _served_counted_twice() -> list[Patch]:
    def end(self: ledger.ClassCounts, how: Any) -> None:
        original(self, how)
        self.success += how is FinalStatus.SERVED

    original = ledger.ClassCounts.end
    return [(ledger.ClassCounts, "end", end)]


OPERATORS_MUTANTS = [
    Mutant(
        "forgets a ban on a new list",
        "rules, pool",
        (referee.BAN,),
        _ban_dropped_on_full_list,
        WITH_OPERATORS,
    ),
    Mutant(
        "says yes before the ban is in force", "desk", (referee.BAN,), _confirm_before_ban, WITH_OPERATORS
    ),
    Mutant("notes a ban and goes on", "rules, pool", (referee.BAN,), _ignore_ban, WITH_OPERATORS),
    Mutant(
        "ends a ban when the list tells of its upstream",
        "rules, pool",
        (referee.BAN,),
        _ban_dropped_on_list_entry,
        WITH_OPERATORS,
    ),
    Mutant(
        "closes connections with requests in a drain",
        "server",
        (referee.LOST,),
        _drain_closes_busy_connections,
        WITH_OPERATORS,
    ),
    Mutant(
        "keeps idle connections in a standby",
        "drain",
        (referee.DRAINED,),
        _standby_keeps_idle_connections,
        WITH_OPERATORS,
    ),
    Mutant("is never active again", "drain", (referee.NOT_SERVED_AGAIN,), _ignore_active, WITH_OPERATORS),
    Mutant(
        "looks a class up anew after new settings",
        "rules",
        (referee.UNSAFE_AGAIN, referee.REFUSED_RUN),
        _new_terms_for_open_requests,
        WITH_OPERATORS,
    ),
    Mutant(
        "takes a class without a group for one that holds everywhere",
        "settings",
        (referee.KEYED_ASTRAY,),
        _missing_group_means_all,
        WITH_OPERATORS,
    ),
    Mutant("takes half a file", "reload", (referee.REJECTED,), _partial_reload, WITH_OPERATORS),
    Mutant(
        "counts attempts that are only begun",
        "upstream",
        (referee.FIGURES,),
        _attempts_counted_at_start,
        WITH_OPERATORS,
    ),
    Mutant(
        "counts refusals as failures",
        "ledger",
        (referee.FIGURES,),
        _refusals_counted_as_failures,
        WITH_OPERATORS,
    ),
    Mutant("counts the served twice", "ledger", (referee.FIGURES,), _served_counted_twice, WITH_OPERATORS),
]

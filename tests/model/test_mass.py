"""Days of many balancers, small: the rules hold on each kind, and what would break them is seen."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from dykeshift.model.day import MS, SECOND, Day
from dykeshift.model.decider import Maker
from dykeshift.model.host import Host, Job
from dykeshift.model.world import FIRST, World, play
from dykeshift.interface import Action, ListKind, Outcome, ServerList, ServerState
from dykeshift.lab import plan as plans
from dykeshift.rules import Balancer, OpenRequest, Server
from tests.model.before import Timid
from tests.model.test_cold import Alone

PLAN, _ = plans.read(Path(__file__).parents[2] / "benchmarks" / "experiments" / "mass.toml")
DAYS = {cell.labels["day"]: cell.day for cell in plans.cells(PLAN) if cell.seed == 1}
SMALL = 40


def small(kind: str, **changes: Any) -> Day:
    """The day of that kind with fewer of both, and as many racks to each zone."""
    day = msgspec.json.decode(msgspec.json.encode(DAYS[kind]))
    day["senders"] |= {"count": SMALL, "cells": 10}
    day["balancers"]["count"] = SMALL
    for path, value in changes.items():
        at, _, last = path.rpartition("__")
        (day[at] if at else day)[last] = value
    return msgspec.convert(day, Day)


@pytest.mark.parametrize("kind", DAYS)
def test_the_rules_hold_on_a_day_of_each_kind(kind: str) -> None:
    figures = play(small(kind), Balancer, 3)
    assert not figures.breaches, figures.first_breaches
    assert figures.worth > 0.5 and figures.connects > 0 and 0 < figures.price < 0.2
    by_cause = [sum(steps) for steps in figures.refused_by_step.values()]
    assert sum(by_cause) > 0 or figures.refusals == 0


class Trusting(Balancer):
    """Takes a start file for a list from this life."""

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        kind = ListKind.FULL if update.kind is ListKind.CACHED else update.kind
        return super().on_list(now, ServerList(kind, update.entries))


class Again(Balancer):
    """Sends an unsafe request again after a reset."""

    def _attempt_allowed(self, now: int, item: OpenRequest) -> bool:
        return not item.closed and not item.attempts_in_flight and len(item.attempts) < item.max_attempts


class Mum(Balancer):
    """Refuses without advice."""

    def _retry_after(self, item: OpenRequest) -> int:
        return 0


class Anywhere(Balancer):
    """Repeats a keyed request in any rack."""

    def _sample(self, now: int, item: OpenRequest) -> list[Server]:
        return [s for s in self.ready if all(a.server is not s for a in item.attempts)][:3]


class Loyal(Balancer):
    """Goes on sending to who drains or is gone."""

    def _rebuild_ready(self, now: int) -> None:
        super()._rebuild_ready(now)
        self.ready = [s for s in self.servers.values() if s.entry.state is not ServerState.READY] + self.ready
        self.ready_is_sorted = True
        self._rebuild_pool(now)


# Balancers come back with a list from before the senders' addresses changed hands, and lose answers then.
STALE = [
    {"kind": "replace", "at": 0.5, "part": 0.7, "spread_s": 1},
    {"kind": "balancer-restart", "at": 11, "seconds": 0.3, "part": 0.8, "stale_s": 11},
    {"kind": "mute", "at": 10, "seconds": 4, "part": 1.0, "size": 0.4},
]


@pytest.mark.parametrize(
    ("make", "kind", "changes", "rule"),
    [
        (
            Alone,
            "join",
            {
                "senders__count": 10,
                "senders__cells": 5,
                "balancers__count": 300,
                "load": [{"seconds": 9, "load": 0.95}],
            },
            "cold",
        ),
        (Trusting, "herd", {"troubles": STALE, "load": [{"seconds": 14, "load": 0.7}]}, "keyed-astray"),
        (Again, "split", {}, "unsafe-again"),
        (Mum, "join", {}, "no-advice"),
        (Anywhere, "split", {}, "keyed-astray"),
        (Loyal, "roll", {}, "drain"),
    ],
)
def test_a_defect_is_seen(make: Maker, kind: str, changes: dict[str, Any], rule: str) -> None:
    assert rule in play(small(kind, **changes), make, 3).breaches


def test_a_balancer_that_keeps_the_old_discovery_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is told nothing, and counts as told all the same."""
    monkeypatch.setattr(Host, "move", lambda self, discovery: None)
    day = small(
        "roll",
        troubles=[t for t in DAYS["roll"]["troubles"] if t["kind"] != "balancer-roll"],
        load=[{"seconds": 20, "load": 0.6}],
    )
    assert "drain" in play(day, Balancer, 3).breaches


def test_nothing_crosses_the_border_of_a_zone_that_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers cross it before and after the cut, and none within: `end` is an attempt's, in the host."""
    crossed: list[int] = []
    end = Host._end

    def noted(self: Host, job: Job, number: int, outcome: Outcome, *report: Any) -> None:
        there = job.where[number].post.zone
        if outcome is Outcome.OK and there != self.zone and cut in (there, self.zone):
            crossed.append(self.world.now)
        end(self, job, number, outcome, *report)

    monkeypatch.setattr(Host, "_end", noted)
    world = World(small("split", troubles=[{"kind": "zone-cut", "at": 2, "seconds": 6}]), Balancer, 3)
    cut = next(args[1] for _, _, _, args in world._heap if args and args[0] in world.day.troubles)
    world.run()
    since, until = FIRST + 2 * SECOND, FIRST + 8 * SECOND
    assert min(crossed) < since and max(crossed) > until
    assert not [at for at in crossed if since + 5 * MS < at < until], "but for what had set out before"


def test_rooms_go_by_those_who_draw_from_a_server() -> None:
    """By all balancers, a room was so small that one slow answer kept most of a pool away for seconds."""
    timid, figures = (play(small("calm"), make, 3) for make in (Timid, Balancer))
    assert figures.refusals < 0.5 * timid.refusals and figures.worth > timid.worth


def test_a_full_table_of_connections_turns_away() -> None:
    worlds = [World(small("calm", senders__connections=most), Balancer, 3) for most in (1, 60)]
    full, roomy = (world.run() for world in worlds)
    assert max(worlds[0].open_lines) <= SMALL < max(worlds[1].open_lines)
    assert full.served < 0.8 * roomy.served and roomy.connects > 0

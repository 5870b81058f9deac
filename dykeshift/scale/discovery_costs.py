"""What discovery bears of all balancers: bytes of an answer by entries, first lists to all at once.

Theory of operation. Answers are those of the stand-in discovery (`standins.registry`), with the entries
that it would tell; their length is that of the text on the wire with its head. First lists are played on
the virtual clock (`fleet.calls`): so many decision modules begin at once and ask, at one discovery that
works calls off in turn.
"""

from __future__ import annotations

import json
from dataclasses import replace
from functools import cache
from random import Random

from dykeshift.model.calls import MS, Desk, Onset, Seen, first_lists
from dykeshift.model.day import Balancers, Day, Senders
from dykeshift.rules import Balancer
from dykeshift.scale.control_costs import GIVEN_UP, ControlCost
from dykeshift.scale.results import Role, Situation
from dykeshift.standins.messages import render
from dykeshift.standins.registry import Instance, Registry

ENTRY_SIZES = (1, 100, 2_000, 10_000)
FLEET_SIZES = (40, 200, 930)
CALL_WORK_MS = 10
LIMIT_S = 120
SECOND = 1_000 * MS
BYTES_PER_KB = 1_000
SENDERS = 60  # that the modules' settings are made for; without a list they hold none


def answer_kb(entries: int, seed: int) -> list[float]:
    """Kilobytes of discovery's answer that tells so many changed entries."""
    draw = Random(seed)
    registry = Registry(draw)
    for number in range(entries):
        address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 8080)
        name = f"s-{draw.getrandbits(40):010x}-{number}"
        registry.put(Instance(name, address, f"zone-{number % 5}", number % 100, lifecycle="leaving"))
    text = json.dumps(registry.whole() | {"reset": False})
    answer = render("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, text.encode())
    return [len(answer) / BYTES_PER_KB]


@cache
def _all_begin(balancers: int, seed: int) -> Seen:
    day = Day(senders=Senders(count=SENDERS), balancers=Balancers(count=balancers))
    settings = replace(day.settings(0), ask_discovery=True)
    fleet = [Balancer(settings, 1_000 * seed + number) for number in range(balancers)]
    return first_lists(fleet, Desk(work=CALL_WORK_MS * MS), LIMIT_S * SECOND, Onset.START)


def first_list_s(balancers: int, seed: int) -> list[float]:
    """Seconds until each balancer has its first list; the limit for those that have none by then."""
    seen = [at / SECOND for at in _all_begin(balancers, seed).lists]
    return seen + [float(LIMIT_S)] * (balancers - len(seen))


def calls_each(balancers: int, seed: int) -> list[float]:
    """Calls that a balancer made until all had a list, the mean of all."""
    return [_all_begin(balancers, seed).calls / balancers]


def costs() -> tuple[ControlCost, ...]:
    """All costs of discovery."""
    desk = {"work": f"{CALL_WORK_MS} ms a call, one after the other"}
    return (
        ControlCost(
            "discovery.answer",
            "an answer with so many changed entries",
            "bytes",
            "KB",
            answer_kb,
            ENTRY_SIZES,
            "changed entries",
            "entries",
            role=Role.DISCOVERY,
            situation=Situation.ORDINARY_DAY,
        ),
        ControlCost(
            "discovery.first-list",
            "all balancers begin at once at one discovery",
            "time until a balancer has its first list",
            "s",
            first_list_s,
            FLEET_SIZES,
            role=Role.DISCOVERY,
            situation=Situation.BACK_FROM_NOTHING,
            conditions=desk | {"limit": f"{LIMIT_S} s"},
            notes=GIVEN_UP,
        ),
        ControlCost(
            "discovery.first-list.calls",
            "all balancers begin at once at one discovery",
            "calls made by a balancer",
            "calls",
            calls_each,
            FLEET_SIZES,
            role=Role.DISCOVERY,
            situation=Situation.BACK_FROM_NOTHING,
            conditions=desk,
        ),
    )

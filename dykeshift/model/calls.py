"""All balancers of a fleet at one discovery that works through calls in turn, and may be overbooked.

A call that stands in the queue for longer than the time-out is answered 503, and its work is done all the
same: a queue of such calls serves nobody. One that would wait longer than `longest` is turned away. While
discovery is down a call is answered 503 after the time-out, and is no work. The balancers are decision
modules, each asking when it says so; a watch that has its first list costs no more.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

from dykeshift.interface import Action, CallEnd, ListKind, ServerList, SetTimer, Watch
from dykeshift.rules import Balancer

MS = 1_000_000


class Onset(Enum):
    """What makes all of them ask within one moment, at time 0."""

    START = auto()  # they are started
    BROKEN = auto()  # each had a watch, and all of these end
    MOVED = auto()  # they are told of another discovery


@dataclass(frozen=True, slots=True)
class Desk:
    """Discovery as all balancers find it; times in nanoseconds."""

    work: int = 100 * MS  # of one call
    timeout: int = 1_500 * MS  # of a call that waits
    longest: int = 6_000 * MS  # queue beyond which a call is turned away at once
    back: int = 0  # it is down until then


@dataclass(slots=True)
class Seen:
    """When each balancer had its first list, and how many calls were made and how many ended in vain."""

    lists: list[int] = field(default_factory=list)
    calls: int = 0
    wasted: int = 0  # worked on for nobody
    refused: int = 0  # turned away at once

    def late(self, desk: Desk, limit: int, fleet: int) -> float:
        """The part of the fleet without a list so long after discovery could be asked."""
        return 1 - sum(at <= desk.back + limit for at in self.lists) / fleet


class _Calls:
    """Discovery's queue, and what is due at the balancers, by time."""

    def __init__(self, desk: Desk, seen: Seen) -> None:
        self.desk, self.seen = desk, seen
        self.free = 0  # when discovery has worked off its queue
        self.serial = 0
        self.due: list[tuple[int, int, int, str]] = []

    def call(self, now: int) -> tuple[int, str]:
        """When a call that is made now ends, and how."""
        desk, seen = self.desk, self.seen
        seen.calls += 1
        if now < desk.back:
            return now + desk.timeout, "failed"
        wait = max(self.free, now) + desk.work - now
        if wait > desk.longest:
            seen.refused += 1
            return now, "failed"
        self.free = now + wait
        seen.wasted += wait > desk.timeout
        return now + min(wait, desk.timeout), "list" if wait <= desk.timeout else "failed"

    def carry_out(self, number: int, now: int, actions: list[Action]) -> None:
        """What a balancer wants done: timers of its watch, and calls."""
        for action in actions:
            self.serial += 1
            if isinstance(action, SetTimer) and action.token == "watch":
                heapq.heappush(self.due, (action.at, self.serial, number, "timer"))
            elif isinstance(action, Watch):
                at, what = self.call(now)
                heapq.heappush(self.due, (at, self.serial, number, what))


def _begin(balancer: Balancer, onset: Onset) -> list[Action]:
    begun = balancer.on_start(0)
    if onset is Onset.BROKEN:
        return balancer.on_list(0, ServerList(ListKind.FAILED, end=CallEnd.BROKEN))
    if onset is Onset.MOVED:
        return balancer.on_discovery_moved(0)
    return begun


def first_lists(fleet: Sequence[Balancer], desk: Desk, until: int, onset: Onset = Onset.START) -> Seen:
    """All begin at once, and play until each has a list or the time is over."""
    seen = Seen()
    calls = _Calls(desk, seen)
    for number, balancer in enumerate(fleet):
        calls.carry_out(number, 0, _begin(balancer, onset))
    while calls.due and calls.due[0][0] < until:
        now, _, number, what = heapq.heappop(calls.due)
        if what == "list":
            seen.lists.append(now)
        elif what == "timer":
            calls.carry_out(number, now, fleet[number].on_timer(now, "watch"))
        else:
            calls.carry_out(number, now, fleet[number].on_list(now, ServerList(ListKind.FAILED)))
    return seen

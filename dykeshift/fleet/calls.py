"""All balancers of a fleet at one discovery that works through calls in turn, and may be overbooked.

A call that stands in the queue for longer than the time-out is answered 503, and its work is done all the
same: a queue of such calls serves nobody. One that would wait longer than `longest` is turned away. The
balancers are decision modules, each asking when it says so; a watch that has its first list costs no more.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field

from dykeshift.interface import Action, ListKind, ServerList, SetTimer, Watch
from dykeshift.rules import Balancer

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Desk:
    """Discovery as all balancers find it; times in nanoseconds."""

    work: int = 100 * MS  # of one call
    timeout: int = 1_500 * MS  # of a call that waits
    longest: int = 6_000 * MS  # queue beyond which a call is turned away at once


@dataclass(slots=True)
class Seen:
    """When each balancer had its first list, and how many calls were made and how many ended in vain."""

    lists: list[int] = field(default_factory=list)
    calls: int = 0
    wasted: int = 0  # worked on for nobody
    refused: int = 0  # turned away at once


def first_lists(fleet: Sequence[Balancer], desk: Desk, until: int) -> Seen:
    """Start all at once, and play until all have a list or the time is over."""
    seen, free, serial = Seen(), 0, 0
    due: list[tuple[int, int, int, str]] = []

    def carry_out(n: int, now: int, actions: list[Action]) -> None:
        nonlocal free, serial
        for action in actions:
            serial += 1
            if isinstance(action, SetTimer) and action.token == "watch":
                heapq.heappush(due, (action.at, serial, n, "timer"))
            elif isinstance(action, Watch):
                seen.calls += 1
                wait = max(free, now) + desk.work - now
                if wait > desk.longest:
                    seen.refused += 1
                    heapq.heappush(due, (now, serial, n, "failed"))
                    continue
                free = now + wait
                seen.wasted += wait > desk.timeout
                what = "list" if wait <= desk.timeout else "failed"
                heapq.heappush(due, (now + min(wait, desk.timeout), serial, n, what))

    for n, balancer in enumerate(fleet):
        carry_out(n, 0, balancer.on_start(0))
    while due and due[0][0] < until:
        now, _, n, what = heapq.heappop(due)
        if what == "list":
            seen.lists.append(now)
        elif what == "timer":
            carry_out(n, now, fleet[n].on_timer(now, "watch"))
        else:
            carry_out(n, now, fleet[n].on_list(now, ServerList(ListKind.FAILED)))
    return seen

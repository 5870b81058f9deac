"""All balancers ask one discovery that works through calls in turn: none may be kept from its list."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

import pytest

from dykeshift.interface import ListKind, ServerList, SetTimer, Watch
from dykeshift.rules import Balancer
from tests.harness import S, make_settings

COUNT = 40
SERVICE = S // 10  # a call's work at discovery: one from each balancer takes 4 s
TIMEOUT = S * 3 // 2  # a call that stands in the queue for longer is answered 503, and worked on all the same


def first_lists(longest_queue: int) -> Iterator[int]:
    """When each balancer has its first list, all of them starting at once; until 20 s are over."""
    settings = make_settings(ask_discovery=True, balancers=COUNT)
    fleet = [Balancer(settings, seed) for seed in range(COUNT)]
    free = serial = 0
    due: list[tuple[int, int, int, str]] = []

    def carry_out(n: int, now: int, actions: list[object]) -> None:
        nonlocal free, serial
        for action in actions:
            serial += 1
            if isinstance(action, SetTimer) and action.token == "watch":
                heapq.heappush(due, (action.at, serial, n, "timer"))
            elif isinstance(action, Watch):
                wait = max(free, now) + SERVICE - now
                if wait > longest_queue:
                    heapq.heappush(due, (now, serial, n, "failed"))
                    continue
                free = now + wait
                answered = wait <= TIMEOUT
                heapq.heappush(due, (now + min(wait, TIMEOUT), serial, n, "list" if answered else "failed"))

    for n, balancer in enumerate(fleet):
        carry_out(n, 0, [*balancer.on_start(0)])
    while due and due[0][0] < 20 * S:
        now, _, n, what = heapq.heappop(due)
        if what == "list":
            yield now
        elif what == "timer":
            carry_out(n, now, [*fleet[n].on_timer(now, "watch")])
        else:
            carry_out(n, now, [*fleet[n].on_list(now, ServerList(ListKind.FAILED))])


@pytest.mark.parametrize("longest_queue", [TIMEOUT, 2 * TIMEOUT, 4 * TIMEOUT])
def test_all_balancers_get_their_first_list_however_discovery_is_overbooked(longest_queue: int) -> None:
    lists = list(first_lists(longest_queue))
    assert len(lists) == COUNT
    assert max(lists) < 4 * COUNT * SERVICE

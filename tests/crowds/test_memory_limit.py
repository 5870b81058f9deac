"""Crowds of slow clients: the process stays under its memory limit, which its supervisor enforces.

Other crowds and their figures by hand: `python -m benchmarks.slow_clients`.
"""

from __future__ import annotations

import pytest
import uvloop

from tests.crowds.run import Crowd, play

WITHIN_A_THIRD = (
    Crowd("half", 80, memory_mb=32, sockets=256, restarts=2),
    Crowd("unread", 40, memory_mb=48, sockets=512),
    Crowd("drawn", 150, memory_mb=48, sockets=512, restarts=1),
)
PAST_A_THIRD = (
    Crowd("half", 300, memory_mb=32, sockets=1024),
    Crowd("mixed", 300, memory_mb=48, sockets=1024),
)


def name_of(crowd: Crowd) -> str:
    """The name of a case."""
    return f"{crowd.kind}-{crowd.count}-{crowd.memory_mb:.0f}-{crowd.sockets}"


# Guards against a process that is killed for its memory beside clients that write or read slowly.
@pytest.mark.parametrize("crowd", WITHIN_A_THIRD + PAST_A_THIRD, ids=name_of)
def test_a_crowd_of_slow_clients_does_not_take_a_process_over_its_memory_limit(crowd: Crowd) -> None:
    result = uvloop.run(play(crowd))
    assert not result.over_limit, f"{result.peak_mb:.1f} of {crowd.memory_mb} MB"
    assert not result.exits
    assert result.heard["200"] > 0

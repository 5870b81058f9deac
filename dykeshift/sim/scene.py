"""What those on a day (balancers, senders, what reads the wire) know of it: a `Day` in day.py is one."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from dykeshift.sim.kernel import Process, World
from dykeshift.sim.net import Network
from dykeshift.sim.referee import Referee
from dykeshift.sim.scenario import Scenario
from dykeshift.standins.registry import Instance
from dykeshift.standins.sender import Rack, Sender


class Scene(Protocol):
    """A day, as its parts see it."""

    scenario: Scenario
    world: World
    net: Network
    referee: Referee
    rng: Random
    racks: list[Rack]
    by_name: dict[str, Sender]
    discovery: tuple[str, int]
    letters: dict[str, str]  # clinics' messages, by the module's names of them
    rids: dict[str, str]  # the ids under which they went to HTTP senders

    def list_later(self, delay: float, instance: Instance) -> None:
        """Enter an instance at all discoveries, after `delay` seconds."""

    def leave_later(self, delay: float, name: str, lifecycle: str) -> None:
        """Change an instance's lifecycle at all discoveries, after `delay` seconds."""

    def inside(self, process: Process, call: Callable[..., Any], *args: Any) -> None:
        """Call something in a process's loop, as of now."""

    def excuse(self, balancer: str, sent: int, since: int, until: int) -> bool:
        """Whether something else kept the balancer from answering; times in nanoseconds."""

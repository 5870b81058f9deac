"""The interface of the simulation that its parts (balancers, senders, observers) use; see day.py."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from dykeshift.sim.kernel import Process, World
from dykeshift.sim.net import Endpoint, Network
from dykeshift.sim.referee import Referee
from dykeshift.sim.scenario import Scenario
from dykeshift.standins.registry import Instance
from dykeshift.standins.sender import Rack, Sender


class SimulationContext(Protocol):
    """The simulation, as its parts see it."""

    scenario: Scenario
    world: World
    net: Network
    checker: Referee
    rng: Random
    racks: list[Rack]
    by_name: dict[str, Sender]
    discovery: tuple[str, int]
    message_names: dict[str, str]  # control ids of clinics' messages, by the decision module's request ids
    http_request_ids: dict[str, str]  # by control id: the request id that HTTP senders got

    def register_later(self, delay: float, instance: Instance) -> None:
        """Register an instance with all discovery servers after `delay` seconds."""

    def set_lifecycle_later(self, delay: float, name: str, lifecycle: str) -> None:
        """Change an instance's lifecycle at all discovery servers after `delay` seconds."""

    def call_in_process(self, process: Process, call: Callable[..., Any], *args: Any) -> None:
        """Call something in a process's event loop, in its next iteration."""

    def connections_to(self, process: Process | None, address: tuple[str, int]) -> list[Endpoint]:
        """The connections that a process has opened to an address and used, closed ones included."""

    def excuse(self, balancer: str, sent: int, since: int, until: int) -> bool:
        """Whether a fault kept the balancer from answering; times in nanoseconds."""

"""Since when each balancer could have asked discovery: what there is to tell counts as told so long after.

Theory of operation. Every now and then each balancer's way to the discovery that its file names is looked at.
An instant at which it does not run, stands still, or would not be answered soon and truly starts the time
anew.
"""

from __future__ import annotations

from typing import Protocol

from dykeshift.sim.installation import Node
from dykeshift.sim.kernel import MS, World
from dykeshift.sim.loop import Program
from dykeshift.sim.net import Network
from dykeshift.standins.registry import Registry

LOOK = 100 * MS + 37  # nanoseconds between two looks; the odd part keeps them apart from other events
SOON = 0.2  # seconds that an answer may take


class Installed(Protocol):
    """What it knows of the day."""

    world: World
    net: Network
    nodes: list[Node]
    registries: dict[tuple[str, int], Registry]
    registry_processes: dict[tuple[str, int], Program]


class Reach:
    """For each balancer the instant since when it could have asked discovery."""

    def __init__(self, day: Installed) -> None:
        self.day = day
        self.since: dict[str, int] = {}
        self.asked: dict[str, str] = {}  # the discovery that it was told of, and its life
        self.look()

    def look(self) -> None:
        """Look at all balancers' ways to discovery; runs again every `LOOK` nanoseconds."""
        world = self.day.world
        for node in self.day.nodes:
            asked = f"{node.lives} {node.raw.get('discovery')}"
            if not self._clear(node) or self.asked.get(node.name) != asked:
                self.since[node.name] = world.now + LOOK
            self.asked[node.name] = asked
        world.after(LOOK, self.look)

    def _clear(self, node: Node) -> bool:
        day, process = self.day, node.process
        host, _, port = str(node.raw.get("discovery", ":0")).rpartition(":")
        registry = day.registries.get((host, int(port)))
        there = day.registry_processes.get((host, int(port)))
        if process is None or not process.alive or process.stalled_until > day.world.now:
            return False
        if registry is None or there is None or not there.alive or there.stalled_until > day.world.now:
            return False
        if registry.silent or registry.fail_share or registry.delay > SOON or registry.frozen_at is not None:
            return False
        return (
            node.host.up
            and there.host.up
            and not day.net.weather.spike
            and day.net.linked(node.host, there.host)
        )

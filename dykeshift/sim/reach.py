"""Since when each balancer has been able to reach discovery without interruption.

The checker requires a balancer to know discovery's list some time after that (`Terms.discovery_delay`).

Theory of operation. Each balancer's path to the discovery server in its configuration is checked at short
intervals. The period starts anew whenever the balancer is not running or stalled, or would not get a prompt
and current answer.
"""

from __future__ import annotations

from typing import Protocol

from dykeshift.sim.installation import Node
from dykeshift.sim.kernel import MS, World
from dykeshift.sim.loop import Program
from dykeshift.sim.net import Network
from dykeshift.standins.registry import Registry

CHECK_EVERY = 100 * MS + 37  # nanoseconds; the odd 37 keeps checks from coinciding with other events
MAX_DELAY = 0.2  # seconds; a discovery server that delays answers by more counts as unreachable


class ReachabilityContext(Protocol):
    """The parts of the simulation that are needed here."""

    world: World
    net: Network
    nodes: list[Node]
    registries: dict[tuple[str, int], Registry]
    registry_processes: dict[tuple[str, int], Program]


class DiscoveryReachability:
    """For each balancer, since when it could have reached discovery (`since`, in nanoseconds)."""

    def __init__(self, simulation: ReachabilityContext) -> None:
        self.simulation = simulation
        self.since: dict[str, int] = {}
        self.target: dict[str, str] = {}  # by balancer: its incarnation and its configured discovery server
        self.check()

    def check(self) -> None:
        """Check every balancer's path to discovery; runs again every `CHECK_EVERY` nanoseconds."""
        world = self.simulation.world
        for node in self.simulation.nodes:
            target = f"{node.incarnation} {node.raw.get('discovery')}"
            if not self._reachable(node) or self.target.get(node.name) != target:
                self.since[node.name] = world.now + CHECK_EVERY
            self.target[node.name] = target
        world.after(CHECK_EVERY, self.check)

    def _reachable(self, node: Node) -> bool:
        simulation, process = self.simulation, node.process
        host, _, port = str(node.raw.get("discovery", ":0")).rpartition(":")
        registry = simulation.registries.get((host, int(port)))
        there = simulation.registry_processes.get((host, int(port)))
        if process is None or not process.alive or process.stalled_until > simulation.world.now:
            return False
        if registry is None or there is None or not there.alive or there.stalled_until > simulation.world.now:
            return False
        if (
            registry.silent
            or registry.fail_share
            or registry.delay > MAX_DELAY
            or registry.frozen_at is not None
        ):
            return False
        return (
            node.host.up
            and there.host.up
            and not simulation.net.conditions.spike
            and simulation.net.reachable(node.host, there.host)
        )

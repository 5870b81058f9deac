"""Checks the balancers' views of the fleet against the running processes, after each event and at the end."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.sim.installation import Node
from dykeshift.sim.kernel import SECOND, World

DETECTION_LIMIT = 5 * SECOND  # 25 periods; by then a loss is known to every balancer that is reachable


class Views:
    """Checks every balancer's bounds on the fleet's size after each event; `breach` is called with errors."""

    def __init__(self, nodes: list[Node], world: World, breach: Callable[[str], None]) -> None:
        self.nodes, self.world, self.breach = nodes, world, breach
        self.last_running: dict[str, int] = {}  # by name: when it was last running
        self.reported = False
        world.watchers.append(self.step)

    def step(self, now: int) -> None:
        """Check all views at time `now`."""
        running = [n for n in self.nodes if n.process is not None and n.process.alive]
        for node in running:
            self.last_running[node.name] = now
        views = [(node, view) for node in running if (view := node.view()) is not None]
        holding = sum(view.standing.holds_lease and not self._stalled(node, now) for node, view in views)
        recent = sum(now - at <= DETECTION_LIMIT for at in self.last_running.values())
        for node, view in views:
            if view.standing.at_most < holding:
                self._report(
                    f"{node.name} has upper bound {view.standing.at_most}, but {holding} hold the lease"
                )
            if view.standing.at_least > recent:
                self._report(
                    f"{node.name} has lower bound {view.standing.at_least}, but {recent} ran recently"
                )

    @staticmethod
    def _stalled(node: Node, now: int) -> bool:
        return any(begin <= now <= end for begin, end in node.stalls)

    def _report(self, text: str) -> None:
        if not self.reported:  # once per run: later events would only repeat it
            self.reported = True
            self.breach(text)

    def check_settled(self) -> None:
        """Check, after many periods without faults, that all balancers have settled on the same view."""
        views = [(node, node.view()) for node in self.nodes]
        for node, view in views:
            if view is None:
                self.breach(f"{node.name} keeps no view at the end")
            elif not view.settled or view.standing.at_least != len(self.nodes):
                how = "settled" if view.settled else "not settled"
                self.breach(
                    f"{node.name} is {how} at the end, with at least {view.standing.at_least} of "
                    f"{len(self.nodes)}"
                )
        digests = {view.digest(self.world.now) for _, view in views if view is not None}
        if len(digests) > 1:
            self.breach(f"{len(digests)} different digests at the end")

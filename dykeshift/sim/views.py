"""The balancers' views of one another, held against who runs: after every step, and when all is well."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.sim.installation import Node
from dykeshift.sim.kernel import SECOND, World

LAG = 5 * SECOND  # until a loss is known to all in reach: 25 periods


class Views:
    """Checks every balancer's bounds after each event; `breach` takes what is wrong."""

    def __init__(self, nodes: list[Node], world: World, breach: Callable[[str], None]) -> None:
        self.nodes, self.world, self.breach = nodes, world, breach
        self.ran: dict[str, int] = {}  # by name: when it was last seen running
        self.said = False
        world.watchers.append(self.step)

    def step(self, now: int) -> None:
        """Check all views as of now."""
        running = [n for n in self.nodes if n.process is not None and n.process.alive]
        for node in running:
            self.ran[node.name] = now
        views = [(node, view) for node in running if (view := node.view()) is not None]
        holding = sum(view.standing.holds and not self._stalled(node, now) for node, view in views)
        lately = sum(now - at <= LAG for at in self.ran.values())
        for node, view in views:
            if view.standing.at_most < holding:
                self._say(f"{node.name} says at most {view.standing.at_most}, {holding} hold the lease")
            if view.standing.at_least > lately:
                self._say(f"{node.name} says at least {view.standing.at_least}, {lately} ran lately")

    @staticmethod
    def _stalled(node: Node, now: int) -> bool:
        return any(begin <= now <= end for begin, end in node.stalls)

    def _say(self, text: str) -> None:
        if not self.said:  # once a day: the next steps only repeat it
            self.said = True
            self.breach(text)

    def check_settled(self) -> None:
        """All has been well for many periods: one view of all."""
        views = [(node, node.view()) for node in self.nodes]
        for node, view in views:
            if view is None:
                self.breach(f"{node.name} keeps no view in the end")
            elif not view.settled or view.standing.at_least != len(self.nodes):
                how = "settled" if view.settled else "not settled"
                self.breach(
                    f"{node.name} is {how} in the end, with at least {view.standing.at_least} of "
                    f"{len(self.nodes)}"
                )
        digests = {view.digest(self.world.now) for _, view in views if view is not None}
        if len(digests) > 1:
            self.breach(f"{len(digests)} digests in the end")

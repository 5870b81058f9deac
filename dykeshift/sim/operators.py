"""Operators on a day: they call the balancers' consoles, and what they hear goes to the referee."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from dykeshift.sim import referee as rules
from dykeshift.sim.installation import CONSOLE_PORT, Node
from dykeshift.sim.kernel import EPOCH, SECOND
from dykeshift.sim.loop import Program
from dykeshift.sim.scenario import HEAL, RECOVERY
from dykeshift.sim.scene import Scene
from dykeshift.standins.operator import Operator

LET_GO = 3.0  # seconds after a standby's yes in which all idle connections are closed
READ_EVERY = 1.3  # seconds between two readings of the figures


class Duty:
    """One balancer's operator. Calls are repeated while the life that they were meant for goes on."""

    def __init__(self, day: Scene, host: Program, node: Node) -> None:
        self.day, self.host, self.node = day, host, node
        self.operator = Operator((node.address[0], CONSOLE_PORT))
        self.out: dict[str, int] = {}  # ids that are to be out, and the life in which that was called for
        self.drains = 0  # standby calls less those taken back, as a number of the latest call

    def _call(
        self, method: str, path: str, name: str, done: Callable[[int, str], None], wanted: Callable[[], bool]
    ) -> None:
        life = self.node.lives

        def heard(status: int, text: str) -> None:
            self.day.world.note(f"{self.node.name} answers {path} {name} with {status}")
            if self.node.lives == life:
                done(status, text)

        def unanswered() -> None:
            began = self.day.world.now - SECOND
            if not self.day.excuse(self.node.name, began, began, self.day.world.now):
                self.day.referee.breach(
                    rules.CONSOLE, self.day.world.now, f"{self.node.name} does not answer {path} in time"
                )

        self.day.inside(
            self.host,
            self.operator.call,
            method,
            path,
            name,
            heard,
            lambda: self.node.lives == life and wanted(),
            unanswered,
        )

    def enter(self, name: str) -> None:
        """Ban an upstream at the balancer; the call is repeated until it has an answer."""
        life = self.out[name] = self.node.lives

        def done(status: int, text: str) -> None:
            if status == 200 and self.out.get(name) == life:
                self.day.referee.taken_out(self.day.world.now, self.node.name, name)

        self._call("PUT", "/maintenance/enter", name, done, lambda: self.out.get(name) == life)

    def exit(self, name: str) -> None:
        """Lift the ban."""
        if self.out.pop(name, None) is not None:
            self.day.referee.put_back(self.node.name, name)
            self._call("PUT", "/maintenance/exit", name, lambda _, __: None, lambda: name not in self.out)

    def standby(self) -> None:
        """Drain the balancer, and make it active again some time later."""
        self.drains += 1
        mine = self.drains

        def done(status: int, text: str) -> None:
            self.day.world.after(int(LET_GO * SECOND), self._let_go, mine, self.node.lives)

        self._call("PUT", "/standby", "", done, lambda: self.drains == mine)

    def active(self) -> None:
        """Make the balancer active again."""
        self.drains += 1
        mine = self.drains
        self._call("PUT", "/active", "", lambda _, __: None, lambda: self.drains == mine)

    def _let_go(self, number: int, life: int) -> None:
        """Nobody called it back: no client's connection is held idle."""
        node = self.node
        if self.drains != number or node.lives != life or node.process is None or not node.process.alive:
            return
        now = self.day.world.now
        recent = node.front.loop.time() - 0.5  # somebody asks whether it is ready, again and again
        idle = [client for client in node.front.clients if client.between() and client.since < recent]
        if idle and not self.day.excuse(node.name, now - SECOND, now - SECOND, now):
            self.day.referee.breach(rules.DRAINED, now, f"{node.name} holds {len(idle)} idle connections")

    def read(self) -> None:
        """The figures, again and again."""
        if self.day.world.now < EPOCH + int((HEAL + RECOVERY) * SECOND):
            self.day.world.after(int(READ_EVERY * SECOND), self.read)
        if self.node.process is None or not self.node.process.alive:
            return
        before = dict(self.day.referee.counts[self.node.name])
        asked = self.day.world.now

        def done(status: int, text: str) -> None:
            if status == 200 and self.day.world.now - asked < SECOND:
                self.day.referee.figures(self.day.world.now, self.node.name, _told(json.loads(text)), before)

        self._call("GET", "/status/metrics", "", done, lambda: self.day.world.now - asked < SECOND)


def _told(figures: dict[str, Any]) -> dict[str, int]:
    rows = figures["calls"].values()
    return {
        **{what: sum(row[what] for row in rows) for what in ("success", "busy", "failure")},
        "attempts": figures["backend_calls"],
        "inflight": figures["inflight"],
    }

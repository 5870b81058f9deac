"""Simulated operators: they call the balancers' consoles and report the answers to the checker."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from dykeshift.sim import referee as rules
from dykeshift.sim.installation import CONSOLE_PORT, Node
from dykeshift.sim.kernel import EPOCH, SECOND
from dykeshift.sim.loop import Program
from dykeshift.sim.scenario import FAULTS_END, RECOVERY
from dykeshift.sim.scene import SimulationContext
from dykeshift.standins.operator import Operator

IDLE_CLOSE_GRACE = 3.0  # seconds after a confirmed standby within which all idle connections are closed
READ_EVERY = 1.3  # seconds between two reads of the metrics


class OperatorClient:
    """The operator of one balancer. Calls are repeated as long as the same process of the balancer runs."""

    def __init__(self, simulation: SimulationContext, host: Program, node: Node) -> None:
        self.simulation, self.host, self.node = simulation, host, node
        self.operator = Operator((node.address[0], CONSOLE_PORT))
        self.banned_in: dict[str, int] = {}  # by banned instance: the balancer's incarnation at the call
        self.drain_calls = 0  # number of the latest standby or active call; older ones are obsolete

    def _call(
        self,
        method: str,
        path: str,
        name: str,
        done: Callable[[int, str], None],
        still_wanted: Callable[[], bool],
    ) -> None:
        at_call = self.node.incarnation

        def on_answer(status: int, text: str) -> None:
            self.simulation.world.trace(f"{self.node.name} answers {path} {name} with {status}")
            if self.node.incarnation == at_call:
                done(status, text)

        def on_no_answer() -> None:
            began = self.simulation.world.now - SECOND
            if not self.simulation.excuse(self.node.name, began, began, self.simulation.world.now):
                self.simulation.checker.breach(
                    rules.CONSOLE,
                    self.simulation.world.now,
                    f"{self.node.name} does not answer {path} in time",
                )

        self.simulation.call_in_process(
            self.host,
            self.operator.call,
            method,
            path,
            name,
            on_answer,
            lambda: self.node.incarnation == at_call and still_wanted(),
            on_no_answer,
        )

    def enter(self, name: str) -> None:
        """Ban an upstream; the call is repeated until it is answered."""
        at_call = self.banned_in[name] = self.node.incarnation

        def done(status: int, text: str) -> None:
            if status == 200 and self.banned_in.get(name) == at_call:
                self.simulation.checker.ban_confirmed(self.simulation.world.now, self.node.name, name)

        self._call("PUT", "/maintenance/enter", name, done, lambda: self.banned_in.get(name) == at_call)

    def exit(self, name: str) -> None:
        """Lift the ban."""
        if self.banned_in.pop(name, None) is not None:
            self.simulation.checker.ban_lifted(self.node.name, name)
            self._call(
                "PUT", "/maintenance/exit", name, lambda _, __: None, lambda: name not in self.banned_in
            )

    def standby(self) -> None:
        """Drain the balancer."""
        self.drain_calls += 1
        call_number = self.drain_calls

        def done(status: int, text: str) -> None:
            self.simulation.world.after(
                int(IDLE_CLOSE_GRACE * SECOND), self._check_idle_closed, call_number, self.node.incarnation
            )

        self._call("PUT", "/standby", "", done, lambda: self.drain_calls == call_number)

    def active(self) -> None:
        """Make the balancer active again."""
        self.drain_calls += 1
        call_number = self.drain_calls
        self._call("PUT", "/active", "", lambda _, __: None, lambda: self.drain_calls == call_number)

    def _check_idle_closed(self, number: int, at_call: int) -> None:
        """Check, if the standby was not revoked, that no idle client connection is open."""
        node = self.node
        if (
            self.drain_calls != number
            or node.incarnation != at_call
            or node.process is None
            or not node.process.alive
        ):
            return
        now = self.simulation.world.now
        recent = node.front.loop.time() - 0.5  # readiness probes open new connections all the time
        idle = [client for client in node.front.clients if client.is_idle() and client.since < recent]
        if idle and not self.simulation.excuse(node.name, now - SECOND, now - SECOND, now):
            self.simulation.checker.breach(
                rules.DRAINED, now, f"{node.name} holds {len(idle)} idle connections"
            )

    def read(self) -> None:
        """Read the metrics, again every `READ_EVERY` seconds."""
        if self.simulation.world.now < EPOCH + int((FAULTS_END + RECOVERY) * SECOND):
            self.simulation.world.after(int(READ_EVERY * SECOND), self.read)
        if self.node.process is None or not self.node.process.alive:
            return
        before = dict(self.simulation.checker.counts[self.node.name])
        asked = self.simulation.world.now

        def done(status: int, text: str) -> None:
            if status == 200 and self.simulation.world.now - asked < SECOND:
                self.simulation.checker.figures(
                    self.simulation.world.now, self.node.name, _counts(json.loads(text)), before
                )

        self._call("GET", "/status/metrics", "", done, lambda: self.simulation.world.now - asked < SECOND)


def _counts(figures: dict[str, Any]) -> dict[str, int]:
    rows = figures["calls"].values()
    return {
        **{what: sum(row[what] for row in rows) for what in ("success", "busy", "failure")},
        "attempts": figures["backend_calls"],
        "inflight": figures["inflight"],
    }

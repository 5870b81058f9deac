"""Drains this process's clients: on a termination signal, on standby, or when a newer process takes over.

`engine/drain.py` decides the order of steps and `engine/termination.py` the deadlines; this module reports
events to both and carries out their decisions.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from dykeshift.clock import Clock
from dykeshift.engine.drain import Drain, OpenConnections, State, Urgency
from dykeshift.engine.driver import Driver
from dykeshift.engine.listener import Listening
from dykeshift.engine.server import Front
from dykeshift.node.features import Service

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02  # between two checks of a drain in progress
FINAL_READ_S = 0.05  # for reading requests that have already arrived, to refuse them
FINAL_LOOP_ROUNDS = 4  # iterations of the event loop in which attempts end and answers are made and written


class Shutdown:
    """From the first request to drain until the end of the process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, drain: Drain, driver: Driver) -> None:
        self.loop, self.clock, self.drain, self.driver = loop, clock, drain, driver
        self.drain_requested = asyncio.Event()  # set while a drain has to be driven by `run`
        self.services_draining = False

    @property
    def begun(self) -> bool:
        """Whether the process is terminating."""
        return self.drain.ending

    def standby(self) -> None:
        """Drain clients until `Drain.active`; requested by an operator."""
        self.drain.standby(self.loop.time())
        self.drain_requested.set()

    def terminate(self) -> None:
        """Begin to terminate; a second signal changes nothing."""
        if not self.begun:
            self.drain.terminate(self.loop.time())
            self.driver.terminate()
            self._log_begun()
        self.drain_requested.set()

    def _log_begun(self) -> None:
        termination = self.driver.termination
        remaining = (termination.answer_by - termination.heard_at) / 1e9
        fields = {"open": len(self.driver.jobs), "answer_within_s": round(remaining, 3)}
        log.info(
            "terminating: %d requests in flight, all are answered within %.3f s",
            len(self.driver.jobs),
            remaining,
            extra={"event": "shutdown.begun", "fields": fields},
        )

    async def close(self, front: Front, services: Sequence[Service]) -> None:
        """Answer what is in flight without waiting for timers, refuse what is unread, close everything."""
        self.driver.answer_all()
        until = self.loop.time() + FINAL_READ_S
        while front.has_unread_input() and self.loop.time() < until:
            await asyncio.sleep(0)
        front.stop_reading()
        for _ in range(FINAL_LOOP_ROUNDS):
            await asyncio.sleep(0)
        front.close_all()
        while front.is_streaming() and self.clock.monotonic_ns() < self.driver.termination.kill_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        front.cut_all()
        self.driver.close()
        for service in services:
            service.close()

    async def run(self, front: Front, server: Listening, services: Sequence[Service]) -> None:
        """Wait until the process may end and nobody waits for an answer from it."""
        while self.drain.state is not State.OVER:
            await self.drain_requested.wait()
            await self._wind_down(front, server, services)
            self.drain_requested.clear()
        self._log_end()

    async def _wind_down(self, front: Front, server: Listening, services: Sequence[Service]) -> None:
        """Drain the clients until the drain is complete or cancelled.

        No client is refused while new ones may still arrive, and every accepted request is answered.
        """
        while not self.drain.serving:
            if self.drain.ending and not self.services_draining:
                self.services_draining = True
                for service in services:
                    service.drain()
            busy = server.pending() or front.busy() or any(service.busy() for service in services)
            orders = self.drain.step(
                self.loop.time(), OpenConnections(busy, front.has_silent_client()), self._hurry()
            )
            if orders.stop_accepting:
                server.close()
            if orders.refuse_unfinished:
                front.refuse_unfinished()
            front.close_idle(orders)
            if self.drain.state is State.OVER:
                await self.close(front, services)
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _hurry(self) -> Urgency:
        now, termination = self.clock.monotonic_ns(), self.driver.termination
        if termination.exit_due(now):
            return Urgency.EXIT
        return Urgency.REFUSE if termination.refuses(now) else Urgency.NONE

    def _log_end(self) -> None:
        """Log, by reason, how often something was withheld or closed during the process's life."""
        fields = self.driver.ledger.occurrences.figures()
        elapsed = (self.clock.monotonic_ns() - self.driver.termination.heard_at) / 1e9
        log.info(
            "ended %.3f s after the termination signal: %s",
            elapsed,
            fields or "nothing was kept back or closed",
            extra={"event": "ended", "fields": {**fields, "seconds": round(elapsed, 3)}},
        )

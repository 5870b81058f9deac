"""How this process lets go of its clients: told to end by a signal, put on standby, followed by a later one.

`engine/drain.py` says in which order, `engine/termination.py` until when; here both are told what happens and
what they say is done.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from dykeshift.clock import Clock
from dykeshift.engine.drain import Drain, Hurry, Open, State
from dykeshift.engine.driver import Driver
from dykeshift.engine.listener import Listening
from dykeshift.engine.server import Front
from dykeshift.node.features import Service

log = logging.getLogger(__name__)

TICK = 0.02  # seconds between two looks at a drain
LAST_READS = 0.05  # seconds in which requests that have come are read, to be refused
LAST_ROUNDS = 4  # of the loop: attempts end, answers are given, and they are written


class Shutdown:
    """From the first order to let go of clients to the end of the process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, drain: Drain, driver: Driver) -> None:
        self.loop, self.clock, self.drain, self.driver = loop, clock, drain, driver
        self.leaving = asyncio.Event()  # set while the drain wants looking after
        self.services_told = False

    @property
    def begun(self) -> bool:
        """Whether the process has been told to end."""
        return self.drain.ending

    def standby(self) -> None:
        """Let go of clients until `Drain.active`; operators ask for it."""
        self.drain.standby(self.loop.time())
        self.leaving.set()

    def terminate(self) -> None:
        """The process is told to end; a second signal changes nothing."""
        if not self.begun:
            self.drain.terminate(self.loop.time())
            self.driver.terminate()
            self._log_begun()
        self.leaving.set()

    def _log_begun(self) -> None:
        termination = self.driver.termination
        left = (termination.answer_by - termination.heard_at) / 1e9
        fields = {"open": len(self.driver.jobs), "answer_within_s": round(left, 3)}
        log.info(
            "told to end: %d requests open, all are answered within %.3f s",
            len(self.driver.jobs),
            left,
            extra={"event": "shutdown.begun", "fields": fields},
        )

    async def close(self, front: Front, services: Sequence[Service]) -> None:
        """Answer what is open, whatever timer is late, refuse what is unread, and let go of everything."""
        self.driver.answer_all()
        until = self.loop.time() + LAST_READS
        while front.unread() and self.loop.time() < until:
            await asyncio.sleep(0)
        front.stop_reading()
        for _ in range(LAST_ROUNDS):
            await asyncio.sleep(0)
        front.close_all()
        while front.streaming() and self.clock.monotonic_ns() < self.driver.termination.kill_at:
            await asyncio.sleep(TICK)
        front.cut_all()
        self.driver.close()
        for service in services:
            service.close()

    async def run(self, front: Front, server: Listening, services: Sequence[Service]) -> None:
        """Wait until the process may end, and leave nothing behind that somebody waits for."""
        while self.drain.state is not State.OVER:
            await self.leaving.wait()
            await self._wind_down(front, server, services)
            self.leaving.clear()
        self._log_end()

    async def _wind_down(self, front: Front, server: Listening, services: Sequence[Service]) -> None:
        """Let go of the clients, until it is over or taken back.

        None is turned away while some may still come, all that were taken are answered.
        """
        while not self.drain.taking:
            if self.drain.ending and not self.services_told:
                self.services_told = True
                for service in services:
                    service.drain()
            busy = server.pending() or front.busy() or any(service.busy() for service in services)
            orders = self.drain.look(self.loop.time(), Open(busy, front.silent()), self._hurry())
            if orders.stop_accepting:
                server.close()
            if orders.refuse_unfinished:
                front.refuse_unfinished()
            front.close_idle(orders)
            if self.drain.state is State.OVER:
                await self.close(front, services)
                return
            await asyncio.sleep(TICK)

    def _hurry(self) -> Hurry:
        now, termination = self.clock.monotonic_ns(), self.driver.termination
        if termination.exit_due(now):
            return Hurry.EXIT
        return Hurry.REFUSE if termination.refuses(now) else Hurry.NONE

    def _log_end(self) -> None:
        """What was kept from happening and what was closed, by reason, in one line as the process ends."""
        fields = self.driver.ledger.occurrences.figures()
        took = (self.clock.monotonic_ns() - self.driver.termination.heard_at) / 1e9
        log.info(
            "ended %.3f s after it was told to: %s",
            took,
            fields or "nothing was kept back or closed",
            extra={"event": "ended", "fields": {**fields, "seconds": round(took, 3)}},
        )

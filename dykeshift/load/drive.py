"""Sends what is due and counts what comes back: one process's part of a load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import numpy as np

from dykeshift.load.schedule import Load, Order, draw, draw_kinds
from dykeshift.load.tally import Tally
from dykeshift.load.transports import Transport

PAUSE_S = 0.02  # before a retry, doubling, where no advice says otherwise


class Drive:
    """One process's share of a load, sent through one transport."""

    def __init__(self, load: Load, part: int, transport: Transport, seen: Callable[[int], None]) -> None:
        self.load = load
        self.part = part  # of load.processes
        self.transport = transport
        self.seen = seen
        self.tally = Tally(tuple(k.name for k in load.kinds))
        self.rng = Random(load.seed * 1000 + part)
        self.loop = asyncio.get_running_loop()

    async def run(self, start: float) -> Tally:
        """From loop time `start` on; ends when the last errand has."""
        await (self._closed if self.load.shape == "closed" else self._open)(start)
        return self.tally

    async def _open(self, start: float) -> None:
        tasks = set[asyncio.Task[None]]()
        for order in draw(self.load)[self.part :: self.load.processes]:
            due = start + order.due
            if (wait := due - self.loop.time()) > 0:
                await asyncio.sleep(wait)
            task = self.loop.create_task(self._errand(order, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)

    async def _closed(self, start: float) -> None:
        clients = range(self.part, self.load.clients, self.load.processes)
        await asyncio.gather(*(self._client(number, start) for number in clients))

    async def _client(self, number: int, start: float) -> None:
        """One client: asks, waits for the answer, thinks, asks again."""
        random = np.random.default_rng([self.load.seed, number])
        end, turn = start + self.load.seconds, 0
        await asyncio.sleep(max(0.0, start - self.loop.time()))
        while self.loop.time() < end:
            kind = draw_kinds(self.load, 1, random)[0]
            await self._errand(Order(number + turn * self.load.clients, 0.0, kind), self.loop.time())
            turn += 1
            if self.load.think_s:
                await asyncio.sleep(float(random.exponential(self.load.think_s)))

    async def _errand(self, order: Order, due: float) -> None:
        """One errand with its retries, within its deadline from when it was due."""
        kind, now = self.load.kinds[order.kind], self.loop.time()
        self.tally.began(now - due)
        limit, how = kind.deadline_ms / 1000, "unanswered"
        name = f"l{self.load.seed}-{order.number}"
        for turn in range(self.load.retries + 1):
            left = due + limit - self.loop.time()
            if left <= 0.001:
                break
            answer = await self.transport.ask(name, kind, left, turn)
            how = answer.how
            self.tally.tried(answer, 1 - max(0.0, due + limit - self.loop.time()) / limit)
            # Only where a repeat is harmless: refused, or safe.
            if how == "served" or how != "refused" and kind.kind != "safe":
                break
            if turn < self.load.retries:
                wait = max(answer.advice_s or 0.0, PAUSE_S * 2**turn)
                await asyncio.sleep(min(wait * (0.5 + self.rng.random()), max(0.0, left)))
        self.tally.ended(order.kind, how, self.loop.time() - due)
        self.seen(1)

"""The view on a socket: one UDP port, one timer. Decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from dykeshift.clock import Clock
from dykeshift.view.core import Event, Out, View
from dykeshift.view.table import Address


Claim = tuple[Callable[[bytes], bool], Callable[[bytes, Address], None]]


class Port(asyncio.DatagramProtocol):
    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, view: View, tell: Callable[[Event], None]
    ) -> None:
        self.loop, self.clock, self.view, self.tell = loop, clock, view, tell
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0  # when the timer is for
        self.failed = 0  # datagrams that the machine would not take
        # of others who use this port: whether a datagram is theirs, and what then
        self.claims: list[Claim] = []

    async def open(self, address: Address, sock: Any = None) -> None:
        """OSError where the port can't be had."""
        if sock is not None:
            await self.loop.create_datagram_endpoint(lambda: self, sock=sock)
        else:
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._carry(self.view.start(self.clock.monotonic_ns()))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.transport is None:
            return
        for theirs, take in self.claims:
            if theirs(data):
                take(data, (addr[0], addr[1]))
                return
        self._carry(self.view.on_datagram(self.clock.monotonic_ns(), data, (addr[0], addr[1])))

    def send(self, out: Out) -> None:
        """What others have to say on this port, within budgets of their own."""
        if self.transport is not None:
            for data, address in out:
                self.transport.sendto(data, address)

    def error_received(self, exc: Exception) -> None:
        self.failed += 1  # nobody listens there now: silence will tell

    # ---- the clock ----

    def _due(self) -> None:
        """A loop's clock may be coarser than the view's: what is due to it is due."""
        self.timer = None
        self._carry(self.view.on_timer(max(self.now(), self.view.next_at)))

    def _carry(self, out: Out) -> None:
        if self.transport is None:
            return
        for data, address in out:
            self.transport.sendto(data, address)
        for event in self.view.take_events():
            self.tell(event)
        if self.timer is None or self.due != self.view.next_at:
            self.due = self.view.next_at
            if self.timer is not None:
                self.timer.cancel()
            delay = (self.due - self.clock.monotonic_ns()) / 1e9
            self.timer = self.loop.call_later(max(0.0, delay), self._due)

    def now(self) -> int:
        return self.clock.monotonic_ns()

    def facts(self, settings: int) -> None:
        self._carry(self.view.on_facts(self.now(), settings))

    def close(self, leave: bool) -> None:
        """`leave`: say goodbye; without it the others go on looking for this member."""
        if leave:
            self._carry(self.view.leave(self.now()))
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

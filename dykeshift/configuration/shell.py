"""A replica, a control machine or a subscriber on asyncio: one UDP port, one timer. Decides nothing.

Only the machine's loop and clock are used; whatever the core returns is sent at once, in order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, cast

from dykeshift.clock import Clock
from dykeshift.view.table import Address

Out = list[tuple[bytes, Address]]


class Core(Protocol):
    """What the shell drives."""

    next_at: int

    def start(self, now: int) -> Out:
        """Begin."""

    def on_timer(self, now: int) -> Out:
        """To be called at `next_at` or later."""

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Whatever arrived on the port."""


def do_nothing() -> None:
    """What happens after each step unless the host says otherwise."""


class Shell(asyncio.DatagramProtocol):
    """Drives one core on a port of its own."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        core: Core,
        after_step: Callable[[], None] = do_nothing,
    ) -> None:
        """`after_step`: called after each call of the core, to take its events."""
        self.loop, self.clock, self.core, self.after_step = loop, clock, core, after_step
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0  # when the timer is for
        self.failed = 0  # datagrams that the machine would not take
        self.sent_datagrams = self.sent_bytes = 0

    async def open(self, address: Address) -> None:
        """OSError where the port can't be had."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The port is open: the core begins."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.carry(self.core.start(self.now()))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """One datagram."""
        if self.transport is not None:
            self.carry(self.core.on_datagram(self.now(), data, (addr[0], addr[1])))

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there now: silence will tell."""
        self.failed += 1

    def now(self) -> int:
        """Nanoseconds of the monotonic clock."""
        return self.clock.monotonic_ns()

    def carry(self, out: Out) -> None:
        """After each call of the core, also by the host."""
        if self.transport is None:
            return
        for data, address in out:
            self.sent_datagrams += 1
            self.sent_bytes += len(data)
            self.transport.sendto(data, address)
        self.after_step()
        self._set_timer()

    def _set_timer(self) -> None:
        if self.timer is not None:
            if self.due == self.core.next_at:
                return
            self.timer.cancel()
        self.due = self.core.next_at
        self.timer = self.loop.call_later(max(0.0, (self.due - self.now()) / 1e9), self._on_time)

    def _on_time(self) -> None:
        """A loop's clock may be coarser than the core's: what is due to it is due."""
        self.timer = None
        self.carry(self.core.on_timer(max(self.now(), self.core.next_at)))

    def close(self, last: Out | None = None) -> None:
        """Nothing more after these datagrams."""
        if self.transport is None:
            return
        for data, address in last or []:
            self.transport.sendto(data, address)
        self.transport.close()
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()

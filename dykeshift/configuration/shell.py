"""Runs a replica, a control machine or a subscriber on asyncio: one UDP port, one timer, no decisions.

Only the given event loop and clock are used; datagrams that the core returns are sent at once, in order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, cast

from dykeshift.clock import Clock
from dykeshift.view.table import Address

Out = list[tuple[bytes, Address]]


class Core(Protocol):
    """A sans-I/O core that the shell can drive."""

    next_at: int

    def start(self, now: int) -> Out:
        """Starts the core."""

    def on_timer(self, now: int) -> Out:
        """Called at `next_at` or later."""

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Handles one datagram that arrived on the port."""


def do_nothing() -> None:
    """The default for `after_step`."""


class Shell(asyncio.DatagramProtocol):
    """Drives one core on its own UDP port."""

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
        self.timer_due = 0  # when the pending timer fires
        self.send_errors = 0  # datagrams that the operating system rejected
        self.sent_datagrams = self.sent_bytes = 0

    async def open(self, address: Address) -> None:
        """Binds the port; raises OSError if that fails."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The port is open: starts the core."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.carry(self.core.start(self.now()))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes one datagram to the core."""
        if self.transport is not None:
            self.carry(self.core.on_datagram(self.now(), data, (addr[0], addr[1])))

    def error_received(self, exc: Exception) -> None:
        """A send failed, such as to a closed port: only counted, as the cores detect silent peers by
        time-outs."""
        self.send_errors += 1

    def now(self) -> int:
        """Nanoseconds of the monotonic clock."""
        return self.clock.monotonic_ns()

    def carry(self, out: Out) -> None:
        """Sends what a call of the core returned and sets the timer; the host uses it after its own calls."""
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
            if self.timer_due == self.core.next_at:
                return
            self.timer.cancel()
        self.timer_due = self.core.next_at
        self.timer = self.loop.call_later(max(0.0, (self.timer_due - self.now()) / 1e9), self._on_timer)

    def _on_timer(self) -> None:
        """The loop's clock may be coarser than the core's: a timer that fires early counts as due."""
        self.timer = None
        self.carry(self.core.on_timer(max(self.now(), self.core.next_at)))

    def close(self, final_datagrams: Out | None = None) -> None:
        """Sends these datagrams and closes the port."""
        if self.transport is None:
            return
        for data, address in final_datagrams or []:
            self.transport.sendto(data, address)
        self.transport.close()
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()

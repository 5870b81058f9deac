"""Runs the view on a UDP socket and a timer. All decisions are made in `core`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from dykeshift.clock import Clock
from dykeshift.view.core import Event, Outgoing, View
from dykeshift.view.table import Address

# Tells whether a datagram belongs to another component, and the handler that then gets it.
ClaimedDatagrams = tuple[Callable[[bytes], bool], Callable[[bytes, Address], None]]


class Port(asyncio.DatagramProtocol):
    """The UDP port of the view, which other components may share."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, view: View, on_event: Callable[[Event], None]
    ) -> None:
        self.loop, self.clock, self.view, self.on_event = loop, clock, view, on_event
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0  # when the timer is due
        self.send_errors = 0  # datagrams that could not be sent or delivered, as the system reports
        self.claims: list[ClaimedDatagrams] = []  # of the other components that use this port

    async def open(self, address: Address, sock: Any = None) -> None:
        """Bind `address`, or use `sock`, and start the view. Raises OSError if the port can't be bound."""
        if sock is not None:
            await self.loop.create_datagram_endpoint(lambda: self, sock=sock)
        else:
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the view."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._apply(self.view.start(self.clock.monotonic_ns()))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand a datagram to the component that claims it, otherwise to the view."""
        if self.transport is None:
            return
        for is_claimed, handle in self.claims:
            if is_claimed(data):
                handle(data, (addr[0], addr[1]))
                return
        self._apply(self.view.on_datagram(self.clock.monotonic_ns(), data, (addr[0], addr[1])))

    def send(self, out: Outgoing) -> None:
        """Send the datagrams of another component, which has a budget of its own."""
        if self.transport is not None:
            for data, address in out:
                self.transport.sendto(data, address)

    def error_received(self, exc: Exception) -> None:
        """Count the error; an unreachable member is found by its missing answers."""
        self.send_errors += 1

    # ---- the clock ----

    def _on_due(self) -> None:
        """The loop's clock may be coarser than the view's: a fired timer counts as due for the view."""
        self.timer = None
        self._apply(self.view.on_timer(max(self.now(), self.view.next_at)))

    def _apply(self, out: Outgoing) -> None:
        """Send datagrams, deliver pending events and set the timer anew."""
        if self.transport is None:
            return
        for data, address in out:
            self.transport.sendto(data, address)
        for event in self.view.take_events():
            self.on_event(event)
        if self.timer is None or self.timer_at != self.view.next_at:
            self.timer_at = self.view.next_at
            if self.timer is not None:
                self.timer.cancel()
            delay = (self.timer_at - self.clock.monotonic_ns()) / 1e9
            self.timer = self.loop.call_later(max(0.0, delay), self._on_due)

    def now(self) -> int:
        """The monotonic clock in nanoseconds."""
        return self.clock.monotonic_ns()

    def announce_settings(self, settings: int) -> None:
        """Announce the digest of the settings that this process acts on from now on."""
        self._apply(self.view.on_settings(self.now(), settings))

    def close(self, leave: bool) -> None:
        """`leave`: announce the departure; without it the others go on probing this member."""
        if leave:
            self._apply(self.view.leave(self.now()))
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

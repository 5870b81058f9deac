"""Members on the machine's clock and sockets: each has a UDP port at a loopback address of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from dykeshift.clock import SYSTEM, Clock
from dykeshift.scale.hosting import Conditions, MemberLoop, MemberPort
from dykeshift.scale.role import Address

PULSE = 0.05  # seconds between two looks at how late the loop is


class _Socket(asyncio.DatagramProtocol):
    """Between the machine's socket and a member's port."""

    def __init__(self, port: MemberPort) -> None:
        self.port = port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.port.socket = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.port.deliver(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        self.port.member.run(self.port.protocol.error_received, exc)


class Sockets:
    """The network of the members of one process, on its running loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.conditions = Conditions()
        self.lags: list[float] = []  # seconds that the loop was late, each PULSE
        self._pulse_due = loop.time() + PULSE
        loop.call_later(PULSE, self._pulse)

    def _pulse(self) -> None:
        now = self.loop.time()
        self.lags.append(max(0.0, now - self._pulse_due))
        self._pulse_due = now + PULSE
        self.loop.call_later(PULSE, self._pulse)

    def take_lags(self) -> list[float]:
        """What was gathered since the last call."""
        lags, self.lags = self.lags, []
        return lags

    def clock(self, number: int) -> Clock:
        """The machine's."""
        return SYSTEM

    def time(self, member: MemberLoop) -> float:
        """Of the process's loop."""
        return self.loop.time()

    def schedule(self, member: MemberLoop, delay: float, callback: Callable[..., Any], args: Any) -> Any:
        """A timer of the process's loop."""
        return self.loop.call_later(delay, member.run, callback, *args)

    async def open(self, member: MemberLoop, port: MemberPort, address: Address) -> None:
        """A socket at that address."""
        await self.loop.create_datagram_endpoint(lambda: _Socket(port), local_addr=address)

    def carry(self, member: MemberLoop, data: bytes, address: Address) -> None:
        """By the member's own socket."""
        for port in member.ports:
            if port.socket is not None:
                port.socket.sendto(data, address)
                return

"""What the program asks of the machine beside its event loop: two clocks, and what waits on a socket.

They are handed in at construction, so that the same code runs on a virtual machine (`dykeshift.sim`).
Timers and the loop's own time come from the loop, which is handed in likewise.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
from typing import Protocol


class Clock(Protocol):
    """The machine's clocks, and what its kernel knows of a socket."""

    def monotonic_ns(self) -> int:
        """Nanoseconds on the clock that deadlines are counted on; it never runs backwards."""

    def time_ns(self) -> int:
        """Unix time in nanoseconds; it may be stepped, forwards and backwards."""

    def has_input(self, transport: asyncio.BaseTransport) -> bool:
        """Whether bytes or a close have arrived that the event loop has not come to yet."""

    def hung_up(self, transport: asyncio.BaseTransport) -> bool:
        """Whether the other side has closed or reset the connection, be that read or not."""

    def input_age(self, transport: asyncio.BaseTransport) -> int:
        """Nanoseconds since the last bytes arrived, read or not; 0 where the machine does not tell."""


LAST_DATA_RECEIVED = 52  # where `tcpi_last_data_recv` (milliseconds) stands in linux/tcp.h's struct tcp_info


class SystemClock:
    """The machine's own."""

    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)

    @staticmethod
    def has_input(transport: asyncio.BaseTransport) -> bool:
        """See `Clock.has_input`."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    @staticmethod
    def hung_up(transport: asyncio.BaseTransport) -> bool:
        """See `Clock.hung_up`."""
        poll = select.poll()  # POLLHUP and POLLERR, a reset's, are told unasked
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    @staticmethod
    def input_age(transport: asyncio.BaseTransport) -> int:
        """See `Clock.input_age`; read from Linux's TCP_INFO, which counts in milliseconds."""
        if not hasattr(socket, "TCP_INFO"):
            return 0
        try:
            info = transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4
            )
        except OSError:  # it does not tell now: what was read is answered all the same
            return 0
        age: int = struct.unpack_from("=I", info, LAST_DATA_RECEIVED)[0]
        return age * 1_000_000


SYSTEM = SystemClock()

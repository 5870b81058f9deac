"""Operating system services besides the event loop: two clocks and the state of sockets.

They are passed in at construction, so that the same code runs on a simulated machine (`dykeshift.sim`).
Timers and the loop's own time come from the event loop, which is passed in likewise.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import select
import socket
import struct
import termios
import time
from typing import Protocol


class Clock(Protocol):
    """The machine's clocks, and the state of a socket according to its kernel."""

    def monotonic_ns(self) -> int:
        """Nanoseconds on the monotonic clock that deadlines refer to."""

    def time_ns(self) -> int:
        """Unix time in nanoseconds; it may jump forwards and backwards."""

    def has_input(self, transport: asyncio.BaseTransport) -> bool:
        """Whether bytes or a close have arrived that the event loop has not processed yet."""

    def hung_up(self, transport: asyncio.BaseTransport) -> bool:
        """Whether the peer has closed or reset the connection, even if that has not been read yet."""

    def limit_receiving(self, transport: asyncio.BaseTransport, size: int) -> None:
        """Let the kernel hold about `size` unread bytes at most, where the system provides it."""

    def limit_sending(self, transport: asyncio.BaseTransport, size: int) -> None:
        """Let the kernel hold about `size` unsent bytes at most, where the system provides it."""

    def unread_bytes(self, transport: asyncio.BaseTransport) -> int:
        """Bytes that have arrived and were not read; 0 where the system does not provide it."""

    def unsent_bytes(self, transport: asyncio.BaseTransport) -> int:
        """Bytes that the kernel holds and the peer has not acknowledged; 0 where that is not provided."""

    def resident_bytes(self) -> int:
        """Resident memory of this process; 0 where the system does not provide it."""

    def input_age(self, transport: asyncio.BaseTransport) -> int:
        """Nanoseconds since the last bytes arrived, read or not; 0 where the system does not provide it."""


LAST_DATA_RECEIVED = 52  # offset of `tcpi_last_data_recv` (milliseconds) in struct tcp_info of linux/tcp.h
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def _queue_size(transport: asyncio.BaseTransport, request: int) -> int:
    """The size of one of the kernel's queues of a connection, in bytes; 0 if it cannot be read now."""
    try:
        answer = fcntl.ioctl(transport.get_extra_info("socket").fileno(), request, b"\0" * 4)
    except OSError:
        return 0
    count: int = struct.unpack("=i", answer)[0]
    return count


class SystemClock:
    """The real clocks and sockets of the machine."""

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
        poll = select.poll()  # POLLHUP and POLLERR (a reset) are always reported
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    @staticmethod
    def limit_receiving(transport: asyncio.BaseTransport, size: int) -> None:
        """See `Clock.limit_receiving`; Linux doubles the size for its own structures (socket(7))."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    @staticmethod
    def limit_sending(transport: asyncio.BaseTransport, size: int) -> None:
        """See `Clock.limit_sending`, and above."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    @staticmethod
    def unread_bytes(transport: asyncio.BaseTransport) -> int:
        """See `Clock.unread_bytes`; Linux's FIONREAD (tcp(7): SIOCINQ)."""
        return _queue_size(transport, termios.FIONREAD)

    @staticmethod
    def unsent_bytes(transport: asyncio.BaseTransport) -> int:
        """See `Clock.unsent_bytes`; Linux's TIOCOUTQ (tcp(7): SIOCOUTQ)."""
        return _queue_size(transport, termios.TIOCOUTQ)

    @staticmethod
    def resident_bytes() -> int:
        """See `Clock.resident_bytes`; read from Linux's statm (proc(5))."""
        try:
            with open("/proc/self/statm", "rb") as file:
                return int(file.read().split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0

    @staticmethod
    def input_age(transport: asyncio.BaseTransport) -> int:
        """See `Clock.input_age`; read from Linux's TCP_INFO, which counts in milliseconds."""
        if not hasattr(socket, "TCP_INFO"):
            return 0
        try:
            info = transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4
            )
        except OSError:  # not available now: what was read is answered all the same
            return 0
        age: int = struct.unpack_from("=I", info, LAST_DATA_RECEIVED)[0]
        return age * 1_000_000


SYSTEM = SystemClock()

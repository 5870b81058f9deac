"""asyncio's transports over the virtual kernel's sockets: TCP, servers, UDP.

The contract is asyncio's (`Transports and Protocols` in its documentation). The standard library's loop
writes at once; uvloop writes at the end of an iteration unless the buffer limit is 0. Both call
`connection_lost` exactly once and never from within the call that closes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any, cast

from dykeshift.sim.kernel import ProcessLoop
from dykeshift.sim.net import Address, DatagramPort, Endpoint, Listener

HIGH = 64 * 1024  # default high-water mark of the write buffer, in bytes


class TcpTransport(asyncio.Transport):
    """The transport of a TCP connection."""

    def __init__(self, loop: ProcessLoop, endpoint: Endpoint, protocol: Any) -> None:
        super().__init__({"peername": endpoint.peer.address, "sockname": endpoint.address})
        self.loop, self.endpoint, self.protocol = loop, endpoint, protocol
        self.buffer = bytearray()
        self.high, self.low = HIGH, HIGH // 4
        self.paused = False  # `pause_writing` has been called
        self.reading = True
        self.closing = self.lost = False
        self.eof_wanted = self.eof_seen = False
        self.started = False

    def begin(self, waiter: asyncio.Future[Any] | None = None) -> None:
        """Call `connection_made` and start to read; then resolve `waiter`."""
        self.started = True
        self.protocol.connection_made(self)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        self.endpoint.transport = self
        if self.endpoint.has_input():
            self.loop.mark_ready(self)

    # ---- events from the kernel ----

    def report(self) -> None:
        """Handle input, a FIN, an error or room to write."""
        if self.lost or self.closing and not self.buffer:
            return
        if self.buffer:
            self.flush()
        if not self.closing and self.reading:
            self._read()

    def _read(self) -> None:
        endpoint = self.endpoint
        if endpoint.received:
            self.protocol.data_received(endpoint.read())
            if not self.closing and endpoint.has_input():
                self.loop.mark_ready(self)
        elif endpoint.error is not None:
            self._schedule_connection_lost(endpoint.error)
        elif endpoint.fin_received and not self.eof_seen:
            self.eof_seen = True
            if not self.protocol.eof_received():
                self.close()

    def has_input(self) -> bool:
        """See `clock.Clock`."""
        return self.endpoint.has_input()

    def hung_up(self) -> bool:
        """See `clock.Clock`."""
        return self.endpoint.fin_received or self.endpoint.error is not None

    # ---- writing ----

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """See `asyncio.WriteTransport`. Raises RuntimeError after `write_eof`."""
        if self.eof_wanted:
            raise RuntimeError("cannot write after write_eof")
        if self.closing or self.lost or not data:
            return
        self.buffer += data
        if self.loop.platform.uvloop and self.high > 0:
            self.loop.at_end_of_iteration(self)
        else:
            self.flush()
        if len(self.buffer) > self.high and not self.paused and not self.lost:
            self.paused = True
            self.protocol.pause_writing()

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """See `asyncio.WriteTransport`."""
        self.write(b"".join(list_of_data))

    def flush(self) -> None:
        """Write as much as the kernel takes."""
        if self.lost:
            return
        while self.buffer:
            taken = self.endpoint.write(bytes(self.buffer))
            if not taken:
                break
            del self.buffer[:taken]
        if self.endpoint.error is not None:
            self.buffer.clear()
            if self.closing:
                self._schedule_connection_lost(self.endpoint.error)
            return
        if self.paused and len(self.buffer) <= self.low:
            self.paused = False
            self.protocol.resume_writing()
        if not self.buffer:
            if self.eof_wanted:
                self.endpoint.half_close()
            if self.closing:
                self._schedule_connection_lost(None)

    def write_eof(self) -> None:
        """See `asyncio.WriteTransport`."""
        if not self.eof_wanted and not self.closing:
            self.eof_wanted = True
            if not self.buffer:
                self.endpoint.half_close()

    def can_write_eof(self) -> bool:
        """See `asyncio.WriteTransport`."""
        return True

    def get_write_buffer_size(self) -> int:
        """See `asyncio.WriteTransport`."""
        return len(self.buffer)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """See `asyncio.WriteTransport`."""
        self.high = HIGH if high is None else high
        self.low = self.high // 4 if low is None else low

    # ---- closing ----

    def is_closing(self) -> bool:
        """See `asyncio.BaseTransport`."""
        return self.closing

    def close(self) -> None:
        """See `asyncio.BaseTransport`."""
        if self.closing:
            return
        self.closing = True
        if not self.buffer:
            self._schedule_connection_lost(None)
        elif not self.loop.platform.uvloop or self.high == 0:
            self.flush()

    def abort(self) -> None:
        """See `asyncio.WriteTransport`."""
        self.closing = True
        self.buffer.clear()
        self._schedule_connection_lost(None)

    def _schedule_connection_lost(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost = self.closing = True
        self.buffer.clear()
        self.loop.call_soon(self._report_lost, error)

    def _report_lost(self, error: Exception | None) -> None:
        try:
            if self.started:
                self.protocol.connection_lost(error)
        finally:
            self.endpoint.shut()

    # ---- reading, and the protocol ----

    def pause_reading(self) -> None:
        """See `asyncio.ReadTransport`."""
        self.reading = False

    def resume_reading(self) -> None:
        """See `asyncio.ReadTransport`."""
        self.reading = True
        if self.endpoint.has_input():
            self.loop.mark_ready(self)

    def is_reading(self) -> bool:
        """See `asyncio.ReadTransport`."""
        return self.reading and not self.closing

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """See `asyncio.BaseTransport`."""
        self.protocol = protocol

    def get_protocol(self) -> Any:
        """See `asyncio.BaseTransport`."""
        return self.protocol


class VirtualServer(asyncio.AbstractServer):
    """The server that `create_server` returns."""

    def __init__(self, loop: ProcessLoop, listener: Listener, factory: Any) -> None:
        self.loop, self.listener, self.factory = loop, listener, factory
        listener.accept = self._accept
        if listener.waiting:
            loop.mark_ready(listener)

    def _accept(self, endpoint: Endpoint) -> None:
        accepted = TcpTransport(self.loop, endpoint, self.factory())
        accepted.begin()

    def close(self) -> None:
        """See `asyncio.AbstractServer`."""
        self.listener.close()

    def abandon(self) -> None:
        """See `engine.listener.Listening`."""
        self.close()

    def pending(self) -> bool:
        """See `engine.listener.Listening`: always false, connections are handed over as they are accepted."""
        return False

    def is_serving(self) -> bool:
        """See `asyncio.AbstractServer`."""
        return self.listener.open

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """See `asyncio.AbstractServer`."""
        return cast(asyncio.AbstractEventLoop, self.loop)

    async def start_serving(self) -> None:
        """See `asyncio.AbstractServer`; it serves from its creation on."""

    async def serve_forever(self) -> None:
        """See `asyncio.AbstractServer`."""
        await self.loop.create_future()

    async def wait_closed(self) -> None:
        """See `asyncio.AbstractServer`; `close` takes effect at once."""


class UdpTransport(asyncio.DatagramTransport):
    """The transport of a UDP socket."""

    def __init__(self, loop: ProcessLoop, port: DatagramPort, protocol: Any, remote: Address | None) -> None:
        super().__init__({"sockname": port.address, "peername": remote})
        self.loop, self.port, self.protocol, self.remote = loop, port, protocol, remote
        self.closed = False
        port.transport = self

    def report(self) -> None:
        """Hand received datagrams to the protocol."""

        while self.port.queue and not self.closed:
            self.protocol.datagram_received(*self.port.queue.popleft())

    def sendto(self, data: Any, addr: Any = None) -> None:
        """See `asyncio.DatagramTransport`. Raises ValueError without an address."""
        to = addr if addr is not None else self.remote
        if to is None:
            raise ValueError("no address to send to")
        if not self.closed:
            self.port.send(bytes(data), (str(to[0]), int(to[1])))

    def close(self) -> None:
        """See `asyncio.BaseTransport`."""
        if not self.closed:
            self.closed = True
            self.port.close()
            self.loop.call_soon(self.protocol.connection_lost, None)

    abort = close

    def is_closing(self) -> bool:
        """See `asyncio.BaseTransport`."""
        return self.closed

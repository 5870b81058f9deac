"""The base of connections to upstreams, whatever their protocol: one exchange at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

from dykeshift.clock import Clock
from dykeshift.engine.bodies import StreamedMessage, Message, Upload
from dykeshift.engine.memory import MAX_PIECE_BYTES
from dykeshift.engine.reading import PieceReader, ReadBuffer

Buffer = bytes | bytearray | memoryview


class Exchange(Protocol):
    """The sender of a message, which is notified of its progress.

    Exactly one of `answered` and `broken` is called, once, unless the connection is closed from this side.
    """

    def request_written(self) -> None:
        """The last byte of the message has been passed to the kernel; called before either end, if at all."""

    def began(self, answer: Any) -> None:
        """The first part of a streamed answer has arrived; one of the two ends below follows."""

    def answered(self, answer: Any) -> None:
        """The answer is complete."""

    def broken(self, written: bool) -> None:
        """The answer will not be completed; `written`: the whole message had been passed to the kernel."""


class Link(PieceReader):
    """A connection to an upstream.

    A subclass parses what arrives (`data_received`) and calls `_complete` or `_break`.
    """

    __slots__ = ()  # the subclass declares SLOTS: two bases with non-empty slots cannot be combined

    SLOTS = (
        "loop",
        "clock",
        "read_buffer",
        "pauses",
        "transport",
        "exchange",
        "idle_since",
        "write_paused",
        "upload",
        "unwritten_body",
        "on_idle",
        "on_lost",
        "has_unexpected_data",
        "used",
        "closed_by_peer",
    )

    clock: Clock
    exchange: Exchange | None
    idle_since: float
    write_paused: bool  # the transport still buffers bytes that were written to it
    upload: Upload | None  # the rest of the message's body, which is still being received
    unwritten_body: deque[Buffer]  # parts of a long body that are not written to the transport yet
    has_unexpected_data: bool  # more than one answer arrived: the connection must not be reused
    used: bool  # has been used for an earlier exchange
    closed_by_peer: bool  # the peer had closed it, unannounced, when it was closed here
    fed: int  # bytes of the current answer received so far
    on_idle: Callable[[Any], None]
    on_lost: Callable[[Any], None]

    def set_up(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        on_idle: Callable[[Any], None],
        on_lost: Callable[[Any], None],
        read_buffer: ReadBuffer,
    ) -> None:
        """Initialize the attributes; called by the subclass in place of `__init__`."""
        self.loop, self.clock, self.read_buffer = loop, clock, read_buffer
        self.on_idle, self.on_lost = on_idle, on_lost
        self.transport = self.exchange = None
        self.pauses = 0
        self.idle_since = loop.time()
        self.write_paused = self.has_unexpected_data = self.used = self.closed_by_peer = False
        self.upload = None
        self.unwritten_body = deque()

    # ---- sending ----

    @property
    def unwritten(self) -> bool:
        """Whether part of the message has not been passed to the kernel yet."""
        return self.write_paused or self.upload is not None or bool(self.unwritten_body)

    def alive(self) -> bool:
        """Whether a message may be written to it.

        Also detects a close that has arrived but that the event loop has not processed yet: a request written
        then would end as a reset, after which an unsafe request cannot be retried.
        """
        if self.transport is None or self.transport.is_closing() or self.has_unexpected_data:
            return False
        return not self.clock.has_input(self.transport)

    def send(self, data: Message, exchange: Exchange) -> None:
        """Send a message; `exchange` is notified of its progress and its end."""
        assert self.transport is not None and self.exchange is None
        self.exchange, self.fed = exchange, 0
        if isinstance(data, StreamedMessage):
            self.upload = data.upload
            self.transport.write(data.head)
            if data.body:
                # A view: the body itself is kept, as it may have to be sent again.
                self.unwritten_body.append(memoryview(data.body))
                self._write_body()
            if data.upload is not None:
                data.upload.start(self)
                return
        else:
            self.transport.write(data)
        self._report_if_written()

    def more(self, data: bytes | bytearray) -> bool:
        """Send the next part of an upload; returns whether more may be passed at once."""
        if data:
            self.unwritten_body.append(data)
            self._write_body()
        return not self.write_paused

    def last(self) -> None:
        """The upload is complete."""
        self.upload = None
        self._report_if_written()

    def _write_body(self) -> None:
        """Write the body in pieces: a transport copies what it cannot send, even a whole long body."""
        while self.unwritten_body and not self.write_paused and self.transport is not None:
            data = self.unwritten_body[0]
            chunk = bytes(data[:MAX_PIECE_BYTES])
            if len(data) <= MAX_PIECE_BYTES:
                self.unwritten_body.popleft()
            elif isinstance(data, bytearray):
                del data[:MAX_PIECE_BYTES]  # cheap at the front; memory is freed once half is gone
            else:
                self.unwritten_body[0] = memoryview(data)[MAX_PIECE_BYTES:]
            self.transport.write(chunk)

    def _report_if_written(self) -> None:
        if not self.unwritten and self.exchange is not None:
            self.exchange.request_written()

    def close(self) -> None:
        """Abort the connection; the current exchange is not notified."""
        self.exchange = None
        self._discard_body()
        self._abort()

    def is_open(self) -> bool:
        """Whether the peer has not closed it, even if the event loop has not processed that yet."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and not self.clock.hung_up(self.transport)
        )

    def _abort(self, announced: bool = False) -> None:
        """Abort the transport, once; its descriptor is free before any task that is created now runs.

        `on_lost` is called before the exchange is notified: a retry at the connection limit can then use the
        slot of the connection that has just broken. `announced`: it was to end with its answer.
        """
        if self.transport is not None:
            self.closed_by_peer = not announced and (self.closed_by_peer or not self.is_open())
            transport, self.transport = self.transport, None
            transport.abort()
            self.on_lost(self)

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop: the connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        # With high=0, pause_writing is called as soon as the transport has to buffer a byte.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Called by the transport: it buffers data, so reading from the client of an upload is paused."""
        self.write_paused = True
        if self.upload is not None:
            self.upload.source.hold(True)

    def resume_writing(self) -> None:
        """Called by the transport: its buffer is empty, so writing continues."""
        self.write_paused = False
        self._write_body()
        if self.upload is not None and not self.write_paused:
            self.upload.source.hold(False)
        self._report_if_written()

    def _discard_body(self) -> None:
        """Drop the rest of the body and resume reading from the client, whose further data is discarded."""
        if self.upload is not None:
            self.upload.source.hold(False)
        self.unwritten_body.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop: the connection is closed."""
        self.closed_by_peer = self.transport is not None
        self._break()

    # ---- the end of an exchange ----

    def _complete(self, answer: Any, reuse: bool) -> None:
        """The answer is complete; with `reuse` the connection becomes idle, else it is aborted."""
        exchange, self.exchange = self.exchange, None
        if reuse:
            self.used = True
            self.idle_since = self.loop.time()
            self.on_idle(self)
        else:
            self._abort(announced=True)
        if exchange is not None:
            exchange.answered(answer)

    def _break(self) -> None:
        """The answer will not be completed: abort the connection and notify the exchange."""
        exchange, self.exchange = self.exchange, None
        self._discard_body()
        self._abort()
        if exchange is not None:
            exchange.broken(not self.unwritten)

"""What all outgoing connections share, whatever is spoken on them: one message at a time, one end each."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

from dykeshift.clock import Clock
from dykeshift.engine.bodies import Long, Message, Upload


WRITE_CHUNK_BYTES = 64 * 1024  # bytes
Buffer = bytes | bytearray | memoryview


class Exchange(Protocol):
    """Whoever sent the message; exactly one of the last two is called, once."""

    def whole(self) -> None:
        """The message's last byte has been handed over; before either of the two below, if at all."""

    def began(self, answer: Any) -> None:
        """The answer is a long one, and this its beginning; one of the two below follows."""

    def answered(self, answer: Any) -> None: ...

    def broken(self, written: bool) -> None:
        """No whole answer will come; `written`: the message's last byte had been handed over."""


class Link(asyncio.Protocol):
    """A subclass reads what comes (`data_received`) and calls `_complete` or `_break`."""

    __slots__ = ()  # all are named by SLOTS in the subclass: two bases with slots of their own don't mix

    SLOTS = (
        "loop",
        "clock",
        "transport",
        "exchange",
        "idle_since",
        "write_paused",
        "upload",
        "unwritten_body",
        "on_idle",
        "on_lost",
        "stray",
        "used",
    )

    loop: asyncio.AbstractEventLoop
    clock: Clock
    transport: asyncio.Transport | None
    exchange: Exchange | None
    idle_since: float
    write_paused: bool  # a byte that was written could not be handed over yet
    upload: Upload | None  # the message's body that is still to come
    unwritten_body: deque[Buffer]  # what of a long body has not been written yet
    stray: bool  # more came than one answer: nothing on it can be trusted
    used: bool  # has brought an answer
    fed: int  # bytes of the answer that is coming
    on_idle: Callable[[Any], None]
    on_lost: Callable[[Any], None]

    def set_up(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        on_idle: Callable[[Any], None],
        on_lost: Callable[[Any], None],
    ) -> None:
        self.loop, self.clock = loop, clock
        self.on_idle, self.on_lost = on_idle, on_lost
        self.transport = self.exchange = None
        self.idle_since = loop.time()
        self.write_paused = self.stray = self.used = False
        self.upload = None
        self.unwritten_body = deque()

    # ---- sending ----

    @property
    def unwritten(self) -> bool:
        """Whether a byte of the message has not been handed over yet."""
        return self.write_paused or self.upload is not None or bool(self.unwritten_body)

    def alive(self) -> bool:
        """Whether a message may be written to it.

        Protects against a close that has arrived but that the event loop has not come to yet: a
        request written then would end as a reset, which an unsafe request does not survive.
        """
        if self.transport is None or self.transport.is_closing() or self.stray:
            return False
        return not self.clock.has_input(self.transport)

    def send(self, data: Message, exchange: Exchange) -> None:
        assert self.transport is not None and self.exchange is None
        self.exchange, self.fed = exchange, 0
        if isinstance(data, Long):
            self.upload = data.upload
            self.transport.write(data.head)
            if data.body:
                self.unwritten_body.append(
                    memoryview(data.body)
                )  # it stays whole: it may have to be sent again
                self._write_body()
            if data.upload is not None:
                data.upload.go(self)
                return
        else:
            self.transport.write(data)
        self._report_if_written()

    def more(self, data: bytes | bytearray) -> bool:
        if data:
            self.unwritten_body.append(data)
            self._write_body()
        return not self.write_paused

    def last(self) -> None:
        self.upload = None
        self._report_if_written()

    def _write_body(self) -> None:
        """Piece by piece: a transport copies what it could not write, and would copy a long body whole."""
        while self.unwritten_body and not self.write_paused and self.transport is not None:
            data = self.unwritten_body[0]
            chunk = bytes(data[:WRITE_CHUNK_BYTES])
            if len(data) <= WRITE_CHUNK_BYTES:
                self.unwritten_body.popleft()
            elif isinstance(data, bytearray):
                del data[
                    :WRITE_CHUNK_BYTES
                ]  # from its front: costs nothing, and half of it gone gives memory back
            else:
                self.unwritten_body[0] = memoryview(data)[WRITE_CHUNK_BYTES:]
            self.transport.write(chunk)

    def _report_if_written(self) -> None:
        if not self.unwritten and self.exchange is not None:
            self.exchange.whole()

    def close(self) -> None:
        """Give up whatever is on it; the exchange hears nothing any more."""
        self.exchange = None
        self._discard_body()
        self._abort()

    def _abort(self) -> None:
        """Let the connection go, once; its descriptor is free before any task that begins now runs.

        Told before the exchange is: what is sent again at once finds the place of what has just broken.
        """
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()
            self.on_lost(self)

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Written through at once, and pause_writing tells as soon as a byte could not be handed over.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.write_paused = True
        if self.upload is not None:
            self.upload.source.hold(True)

    def resume_writing(self) -> None:
        self.write_paused = False
        self._write_body()
        if self.upload is not None and not self.write_paused:
            self.upload.source.hold(False)
        self._report_if_written()

    def _discard_body(self) -> None:
        """Of a body that is still coming: it goes nowhere now, and its client may send on."""
        if self.upload is not None:
            self.upload.source.hold(False)
        self.unwritten_body.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()

    # ---- the end of an exchange ----

    def _complete(self, answer: Any, reuse: bool) -> None:
        exchange, self.exchange = self.exchange, None
        if reuse:
            self.used = True
            self.idle_since = self.loop.time()
            self.on_idle(self)
        else:
            self._abort()
        if exchange is not None:
            exchange.answered(answer)

    def _break(self) -> None:
        exchange, self.exchange = self.exchange, None
        self._discard_body()
        self._abort()
        if exchange is not None:
            exchange.broken(not self.unwritten)

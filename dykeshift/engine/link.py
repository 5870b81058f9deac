"""What all outgoing connections share, whatever is spoken on them: one message at a time, one end each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, cast

from dykeshift.clock import Clock


class Exchange(Protocol):
    """Whoever sent the message; exactly one of the last two is called, once."""

    def whole(self) -> None:
        """The message's last byte has been handed over; before either of the two below, if at all."""

    def answered(self, answer: Any) -> None: ...

    def broken(self, written: bool) -> None:
        """No whole answer will come; `written`: the message's last byte had been handed over."""


class Link(asyncio.Protocol):
    """A subclass reads what comes (`data_received`) and calls `_complete` or `_break`."""

    __slots__ = ()  # all are named by SLOTS in the subclass: two bases with slots of their own don't mix

    SLOTS = ("loop", "clock", "transport", "exchange", "idle_since", "unwritten", "on_idle", "on_lost",
             "stray", "used")

    loop: asyncio.AbstractEventLoop
    clock: Clock
    transport: asyncio.Transport | None
    exchange: Exchange | None
    idle_since: float
    unwritten: bool  # a byte of the message could not be handed over yet
    stray: bool  # more came than one answer: nothing on it can be trusted
    used: bool  # has brought an answer
    fed: int  # bytes of the answer that is coming
    on_idle: Callable[[Any], None]
    on_lost: Callable[[Any], None]

    def set_up(self, loop: asyncio.AbstractEventLoop, clock: Clock, on_idle: Callable[[Any], None],
               on_lost: Callable[[Any], None]) -> None:
        self.loop, self.clock = loop, clock
        self.on_idle, self.on_lost = on_idle, on_lost
        self.transport = self.exchange = None
        self.idle_since = loop.time()
        self.unwritten = self.stray = self.used = False

    # ---- sending ----

    def alive(self) -> bool:
        """Whether a message may be written to it.

        Protects against a close that has arrived but that the event loop has not come to yet: a
        request written then would end as a reset, which an unsafe request does not survive.
        """
        if self.transport is None or self.transport.is_closing() or self.stray:
            return False
        return not self.clock.has_input(self.transport)

    def send(self, data: bytes, exchange: Exchange) -> None:
        assert self.transport is not None and self.exchange is None
        self.exchange, self.fed = exchange, 0
        self.transport.write(data)
        if not self.unwritten and self.exchange is exchange:
            exchange.whole()

    def close(self) -> None:
        """Give up whatever is on it; the exchange hears nothing any more."""
        self.exchange = None
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Written through at once, and pause_writing tells as soon as a byte could not be handed over.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False
        if self.exchange is not None:
            self.exchange.whole()

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()
        self.transport = None
        self.on_lost(self)

    # ---- the end of an exchange ----

    def _complete(self, answer: Any, reuse: bool) -> None:
        exchange, self.exchange = self.exchange, None
        if reuse:
            self.used = True
            self.idle_since = self.loop.time()
            self.on_idle(self)
        elif self.transport is not None:
            self.transport.abort()
        if exchange is not None:
            exchange.answered(answer)

    def _break(self) -> None:
        exchange, self.exchange = self.exchange, None
        if self.transport is not None:
            self.transport.abort()
        if exchange is not None:
            exchange.broken(not self.unwritten)

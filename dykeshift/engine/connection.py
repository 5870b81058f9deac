"""An outgoing HTTP/1.1 connection, to an upstream or to discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import httptools

from dykeshift.clock import Clock
from dykeshift.engine.bodies import Answer, Message, Sink
from dykeshift.engine.http1 import MAX_BODY, MAX_LONG, Gatherer, Unacceptable
from dykeshift.engine.link import Exchange, Link

# An answer that does not tell its length is committed to when so much has come, or after so long: until then
# it may turn out short, and could still be had from another upstream if it breaks.
HOLDBACK = 0.05  # seconds from its head
PLENTY = 16 * 1024  # bytes


class Connection(Gatherer, Link):
    __slots__ = (
        *Link.SLOTS,
        "parser",
        "answer",
        "reusable",
        "streams",
        "long",
        "unframed",
        "head_at",
        "sink",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        on_idle: Callable[[Any], None],
        on_lost: Callable[[Any], None],
        max_body: int = MAX_BODY,
        streams: bool = False,
    ) -> None:
        """`streams`: an answer over `max_body` goes on as it comes; else it is not acceptable."""
        super().__init__(max_body)
        self.set_up(loop, clock, on_idle, on_lost)
        self.streams = streams
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reusable = True
        self.answer: Answer | None = None
        self.sink: Sink | None = None
        self.long = self.unframed = False
        self.head_at = 0.0

    def send(self, data: Message, exchange: Exchange) -> None:
        self.answer, self.reusable, self.long, self.unframed = None, False, False, False
        super().send(data, exchange)

    # ---- a long answer ----

    def flow_to(self, sink: Sink) -> None:
        self.sink = sink

    def hold(self, wait: bool) -> None:
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if wait else self.transport.resume_reading)()

    def _pass_on(self) -> None:
        """What has come of a long answer; the first of it commits to it."""
        if self.sink is not None:
            if self.body:
                self.sink.piece(self._taken())
        elif self.exchange is not None and self._committed():
            assert self.parser is not None
            length = self.headers.get(b"content-length")
            self.exchange.began(
                Answer(
                    self.parser.get_status_code(),
                    self.headers,
                    self._taken(),
                    self,
                    int(length) if length is not None else None,
                )
            )

    def _committed(self) -> bool:
        if self.in_head or not self.streams:
            return False
        return self.long or (
            not self.headers.get(b"content-length")
            and self.size > 0
            and (self.size >= PLENTY or self.loop.time() - self.head_at >= HOLDBACK)
        )

    def _taken(self) -> bytes:
        taken = bytes(self.body)
        self.body.clear()
        return taken

    # ---- callbacks of the transport ----

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            return
        sound = self.exchange is not None
        try:
            self.parser.feed_data(data)
            if self.answer is None:
                self.count(len(data))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, Unacceptable):
            sound = False
        if self.answer is not None:
            self._end(sound and self.reusable and not self.stray and not self.unwritten)
        elif not sound:
            self._break()
        else:
            self._pass_on()

    def eof_received(self) -> None:
        """The end of an answer that nothing else ends; a reset, which is none, comes another way."""
        if self.unframed and self.exchange is not None and self.answer is None and not self.in_head:
            self.on_message_complete()
            self._end(False)

    def _end(self, reuse: bool) -> None:
        answer, self.answer = self.answer, None
        sink, self.sink = self.sink, None
        if sink is not None:
            if self.body:
                sink.piece(self._taken())
            sink.end()
        self._complete(answer, reuse)

    def _break(self) -> None:
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.cut()
        super()._break()

    def close(self) -> None:
        self.sink = None
        super().close()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.parser = None  # ends the cycle with the parser, so no collection is needed

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        if self.answer is not None or self.exchange is None:
            self.stray = True  # more than one answer to one request
        self.begin()

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self.parser is not None
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        self.unframed = not framed and self.parser.get_status_code() >= 200
        if self.unframed and not self.streams:
            raise Unacceptable(501)  # from where nothing but the end of its connection would end it
        self.head_at = self.loop.time()

    def too_long(self) -> None:
        length = self.headers.get(b"content-length", b"0")
        if not self.streams or int(length) > MAX_LONG or self.size > MAX_LONG:
            super().too_long()
        self.long = True

    def on_message_complete(self) -> None:
        if self.parser is None or self.stray:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return  # an interim answer; the final one follows
        self.reusable = self.parser.should_keep_alive()
        body = bytes(self.body) if self.sink is None else b""
        self.answer = Answer(status, self.headers, body)

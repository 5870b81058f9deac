"""An HTTP/1.1 client connection, to an upstream or to discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import httptools

from dykeshift.clock import Clock
from dykeshift.engine.bodies import Answer, Message, Sink
from dykeshift.engine.http1 import MAX_BODY, MAX_STREAMED_BODY, MessageCollector, UnacceptableMessageError
from dykeshift.engine.link import Exchange, Link
from dykeshift.engine.reading import ANSWER, UNLIMITED, ReadBuffer

# An answer of unknown length is buffered until one of these limits is reached, and then streamed. Until then
# it may turn out to be short, and if the connection breaks another upstream can still be tried.
COMMIT_DELAY = 0.05  # seconds since its head
COMMIT_SIZE = 16 * 1024  # bytes


class UnexpectedMessageError(Exception):
    """The beginning of a message that no request asked for."""


class Connection(MessageCollector, Link):
    """A connection that sends one request at a time and receives or streams its answer."""

    __slots__ = (
        *Link.SLOTS,
        "parser",
        "answer",
        "reusable",
        "streams",
        "oversized",
        "ends_at_close",
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
        read_buffer: ReadBuffer = UNLIMITED,
    ) -> None:
        """`streams`: an answer longer than `max_body` is streamed; otherwise it is an error."""
        super().__init__(max_body)
        self.set_up(loop, clock, on_idle, on_lost, read_buffer)
        self.streams = streams
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reusable = True
        self.answer: Answer | None = None
        self.sink: Sink | None = None
        self.oversized = self.ends_at_close = False
        self.head_at = 0.0

    def send(self, data: Message, exchange: Exchange) -> None:
        """Send a request."""
        self.answer, self.reusable, self.oversized, self.ends_at_close = None, False, False, False
        super().send(data, exchange)

    # ---- streamed answers ----

    def stream_to(self, sink: Sink) -> None:
        """Pass the rest of the answer to `sink` from now on."""
        self.sink = sink

    def hold(self, wait: bool) -> None:
        """Back-pressure: pause reading if `wait`, else resume."""
        (self.pause_for if wait else self.resume_for)(ANSWER)

    def _forward_body(self) -> None:
        """Pass what has been received to the sink, or start streaming if the answer is to be streamed."""
        if self.sink is not None:
            if self.body:
                self.sink.write_piece(self._take_body())
        elif self.exchange is not None and self._should_commit():
            assert self.parser is not None
            length = self.headers.get(b"content-length")
            self.exchange.began(
                Answer(
                    self.parser.get_status_code(),
                    self.headers,
                    self._take_body(),
                    self,
                    int(length) if length is not None else None,
                )
            )

    def _should_commit(self) -> bool:
        if self.in_head or not self.streams:
            return False
        if not self.read_buffer.reserve(self, len(self.body)):
            return True  # it cannot be kept
        return self.oversized or (
            not self.headers.get(b"content-length")
            and self.size > 0
            and (self.size >= COMMIT_SIZE or self.loop.time() - self.head_at >= COMMIT_DELAY)
        )

    def _take_body(self) -> bytes:
        body = bytes(self.body)
        self.body.clear()
        self.read_buffer.release(self)
        return body

    # ---- callbacks of the transport ----

    def data_received(self, data: bytes) -> None:
        """Parse input and pass on, complete or abort the answer."""
        if self.parser is None:
            return
        sound = self.exchange is not None
        try:
            self.parser.feed_data(data)
            if self.answer is None:
                self.count(len(data))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnacceptableMessageError):
            sound = False
        if self.answer is not None:
            self._end(sound and self.reusable and not self.has_unexpected_data and not self.unwritten)
        elif not sound:
            self._break()
        else:
            self._forward_body()

    def eof_received(self) -> None:
        """Complete an answer without length or chunks; a reset is reported by connection_lost() instead."""
        if self.ends_at_close and self.exchange is not None and self.answer is None and not self.in_head:
            self.on_message_complete()
            self._end(False)

    def _end(self, reuse: bool) -> None:
        answer, self.answer = self.answer, None
        self.headers = {}  # the answer has them; an idle connection keeps none
        self.read_buffer.release(self)
        sink, self.sink = self.sink, None
        if sink is not None:
            if self.body:
                sink.write_piece(self._take_body())
            sink.end()
            # The last piece may have paused reading, which the sink does not resume any more.
            self.hold(False)
        self._complete(answer, reuse)

    def _break(self) -> None:
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.cut()
        super()._break()

    def close(self) -> None:
        """Close the connection; the sink is not called any more."""
        self.sink = None
        self.read_buffer.release(self)
        super().close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the parser."""
        super().connection_lost(exc)
        self.read_buffer.release(self)
        self.parser = None  # breaks the reference cycle, so that no garbage collection is needed

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Start an answer; raises UnexpectedMessageError for a second one, or one without a request.

        The error stops the parser: nothing that follows a complete answer may change what was collected of
        it, as its last bytes may not have been passed on yet.
        """
        if self.answer is not None or self.exchange is None:
            self.has_unexpected_data = True
            raise UnexpectedMessageError
        self.begin()

    def on_headers_complete(self) -> None:
        """Determine how the end of the answer is marked."""
        super().on_headers_complete()
        assert self.parser is not None
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        self.ends_at_close = not framed and self.parser.get_status_code() >= 200
        if self.ends_at_close and not self.streams:
            raise UnacceptableMessageError(
                501
            )  # an answer that only ends with its connection is not expected here
        self.head_at = self.loop.time()

    def on_body_too_large(self) -> None:
        """Stream an answer that exceeds `max_body`, if possible."""
        length = self.headers.get(b"content-length", b"0")
        if not self.streams or int(length) > MAX_STREAMED_BODY or self.size > MAX_STREAMED_BODY:
            super().on_body_too_large()
        self.oversized = True

    def on_message_complete(self) -> None:
        """Complete the answer."""
        if self.parser is None or self.has_unexpected_data:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return  # an informational response; the final one follows
        self.reusable = self.parser.should_keep_alive()
        body = bytes(self.body) if self.sink is None else b""
        self.answer = Answer(status, self.headers, body)

"""An outgoing HTTP/1.1 connection, to an upstream or to discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from dykeshift.clock import Clock
from dykeshift.engine.http1 import MAX_BODY, Gatherer, Unacceptable
from dykeshift.engine.link import Exchange, Link


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def content_type(self) -> bytes:
        return self.headers.get(b"content-type", b"application/octet-stream")


class Connection(Gatherer, Link):
    __slots__ = (*Link.SLOTS, "parser", "answer", "reusable")

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, on_idle: Callable[[Any], None],
                 on_lost: Callable[[Any], None], max_body: int = MAX_BODY) -> None:
        super().__init__(max_body)
        self.set_up(loop, clock, on_idle, on_lost)
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.answer: Answer | None = None
        self.reusable = True

    def send(self, data: bytes, exchange: Exchange) -> None:
        self.answer, self.reusable = None, False
        super().send(data, exchange)

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
            answer, self.answer = self.answer, None
            self._complete(answer, sound and self.reusable and not self.stray and not self.unwritten)
        elif not sound:
            self._break()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.parser = None  # ends the cycle with the parser, so no collection is needed

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        if self.answer is not None or self.exchange is None:
            self.stray = True  # more than one answer to one request
        self.begin()

    def on_headers_complete(self) -> None:
        """Protects against waiting for an answer that nothing but the end of its connection would end."""
        super().on_headers_complete()
        assert self.parser is not None
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        if not framed and self.parser.get_status_code() >= 200:
            raise Unacceptable(501)

    def on_message_complete(self) -> None:
        if self.parser is None or self.stray:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return  # an interim answer; the final one follows
        self.reusable = self.parser.should_keep_alive()
        self.answer = Answer(status, self.headers, bytes(self.body))

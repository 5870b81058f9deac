"""The console's listener: one call to a connection, callers bounded in number and time."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import cast

import httptools

from dykeshift.console import calls
from dykeshift.console.calls import Answer, Desk
from dykeshift.engine.listener import Listen, Listening, listen
from dykeshift.engine.http1 import Gatherer, Unacceptable, status_of

HOLD = 6.0  # seconds for a whole call, and again for reading its answer
BACKLOG = 128


class Console:
    """Accepts operators' calls and hands each to the desk; `most` callers are connected at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, desk: Desk, most: int) -> None:
        """`most`: callers at once; their descriptors are set aside."""
        self.loop, self.desk, self.most = loop, desk, most
        self.callers: dict[Caller, None] = {}  # in the order of their coming
        self.server: Listening | None = None

    async def listen(self, address: tuple[str, int], listen: Listen = listen) -> None:
        """Bind `address` (host, port) and accept callers. Raises OSError when it cannot be bound."""
        self.server = await listen(self.loop, lambda: Caller(self), address, BACKLOG)

    def admit(self, caller: Caller) -> None:
        """Count one in. Over the number, the oldest that has sent nothing makes room, else the oldest."""
        self.callers[caller] = None
        if len(self.callers) > self.most:
            others = [c for c in self.callers if c is not caller]
            next((c for c in others if not c.fed), others[0]).abort()

    def drain(self) -> None:
        """Operators are answered to the end."""

    def busy(self) -> bool:
        """Whether calls hold up the process's end: they never do."""
        return False

    def close(self) -> None:
        """Stop listening and drop the callers that have no answer yet."""
        if self.server is not None:
            self.server.abandon()
        for caller in list(self.callers):
            if not caller.answered:
                caller.abort()


class Caller(Gatherer, asyncio.Protocol):
    """The connection of one caller: it reads one request, answers it and closes, within `HOLD` seconds."""

    __slots__ = ("console", "transport", "parser", "target", "answered", "asked", "whole", "timer")

    def __init__(self, console: Console) -> None:
        super().__init__(calls.MAX_BODY)
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.answered = self.asked = self.whole = False
        self.timer = console.loop.call_later(HOLD, self.abort)

    def abort(self) -> None:
        """Reset the connection and leave the count of callers at once."""
        self.console.callers.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the caller in, which may drop an older one."""
        self.transport = cast(asyncio.Transport, transport)
        self.console.admit(self)

    def data_received(self, data: bytes) -> None:
        """Parse the next bytes; answer once the request is whole or cannot be accepted."""
        if self.answered or self.asked or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
            self.count(len(data))
        except httptools.HttpParserUpgrade:
            self._answer(calls.refusal(400, "no upgrade is offered"))
        except (httptools.HttpParserError, Unacceptable) as exc:
            if not self.whole:  # what follows a whole call is not read
                self._answer(calls.refusal(status_of(exc), "unacceptable or malformed HTTP"))
        if self.whole and not self.answered:
            method = self.parser.get_method()
            self._respond(method)

    def eof_received(self) -> bool:
        """Keep the connection open, so that a half-closed caller still gets its answer."""
        return True  # who has sent its call and closed that way still gets its answer

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the count of callers and stop the timer."""
        self.console.callers.pop(self, None)
        self.timer.cancel()
        self.transport = self.parser = None

    # ---- callbacks of the parser ----

    def on_url(self, url: bytes) -> None:
        """Collect the request target; called by the parser, perhaps in pieces."""
        if not self.whole:
            self.target += url

    def on_headers_complete(self) -> None:
        """Check the headers and send `100 Continue` to a caller that waits for it."""
        if self.whole:
            return
        super().on_headers_complete()
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect the body; bytes behind a complete request are ignored."""
        if not self.whole:
            super().on_body(data)

    def on_message_complete(self) -> None:
        """Note that the request is complete; `data_received` answers it."""
        self.whole = True

    def _respond(self, method: bytes) -> None:
        """Answered now, or later where a feature takes its time; HOLD bounds that as well."""
        self.asked = True
        calls.respond(self.console.desk, method, self.target, bytes(self.body), self._answer)

    def _answer(self, answer: Answer) -> None:
        if self.transport is None or self.answered:
            return  # who asked has gone
        self.answered = True
        self.timer.cancel()
        self.timer = self.console.loop.call_later(HOLD, self.abort)
        self.transport.write(calls.render(answer, HTTPStatus(answer.status).phrase.encode()))
        self.transport.write_eof()  # read on until it closes: a reset could take the answer with it

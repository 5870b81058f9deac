"""The console's listener: one call per connection, callers bounded in number and time."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import cast

import httptools

from dykeshift.console import calls
from dykeshift.console.calls import Answer, ConsoleBackend
from dykeshift.engine.listener import Listen, Listening, listen
from dykeshift.engine.http1 import MessageCollector, UnacceptableMessageError, status_of

CALL_TIMEOUT_S = 6.0  # for a whole call, and again until the caller has read its answer
BACKLOG = 128  # connections that may wait to be accepted


class Console:
    """Accepts operators' calls and hands each to the backend; `max_callers` may be connected at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, backend: ConsoleBackend, max_callers: int) -> None:
        """`max_callers` connections at once; their file descriptors are reserved."""
        self.loop, self.backend, self.max_callers = loop, backend, max_callers
        self.callers: dict[Caller, None] = {}  # in the order of arrival
        self.server: Listening | None = None

    async def listen(self, address: tuple[str, int], listen: Listen = listen) -> None:
        """Bind `address` (host, port) and accept callers. Raises OSError when it cannot be bound."""
        self.server = await listen(self.loop, lambda: Caller(self), address, BACKLOG)

    def admit(self, caller: Caller) -> None:
        """Add a caller. Above the limit, drop the oldest one that has sent nothing, else the oldest one."""
        self.callers[caller] = None
        if len(self.callers) > self.max_callers:
            others = [c for c in self.callers if c is not caller]
            next((c for c in others if not c.fed), others[0]).abort()

    def drain(self) -> None:
        """Nothing to do: operators are answered until the process ends."""

    def busy(self) -> bool:
        """Calls never delay the end of the process."""
        return False

    def close(self) -> None:
        """Stop listening and drop the callers that have no answer yet."""
        if self.server is not None:
            self.server.abandon()
        for caller in list(self.callers):
            if not caller.answered:
                caller.abort()


class Caller(MessageCollector, asyncio.Protocol):
    """The connection of one caller: it reads one request, answers it and closes, within `HOLD` seconds."""

    __slots__ = (
        "console",
        "transport",
        "parser",
        "method",
        "target",
        "answered",
        "dispatched",
        "complete",
        "timer",
    )

    def __init__(self, console: Console) -> None:
        super().__init__(calls.MAX_BODY)
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.method = self.target = b""
        self.answered = self.dispatched = self.complete = False
        self.timer = console.loop.call_later(CALL_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Reset the connection and remove the caller from the console at once."""
        self.console.callers.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the caller to the console, which may drop an older one."""
        self.transport = cast(asyncio.Transport, transport)
        self.console.admit(self)

    def data_received(self, data: bytes) -> None:
        """Parse the next bytes; answer once the request is complete or cannot be accepted."""
        if self.answered or self.dispatched or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
            self.count(len(data))
        except httptools.HttpParserUpgrade:
            self._answer(calls.refusal(400, "no upgrade is offered"))
        except (httptools.HttpParserError, UnacceptableMessageError) as exc:
            if not self.complete:  # anything after a complete call is ignored
                self._answer(calls.refusal(status_of(exc), "unacceptable or malformed HTTP"))
        if self.complete and not self.answered:
            self._respond()

    def eof_received(self) -> bool:
        """Keep the connection open, so that a half-closed caller still gets its answer."""
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the caller from the console and stop the timer."""
        self.console.callers.pop(self, None)
        self.timer.cancel()
        self.transport = self.parser = None

    # ---- callbacks of the parser ----

    def on_url(self, url: bytes) -> None:
        """Collect the request target; called by the parser, perhaps in pieces."""
        if not self.complete:
            self.target += url

    def on_headers_complete(self) -> None:
        """Check the headers and send `100 Continue` to a caller that waits for it."""
        if self.complete:
            return
        super().on_headers_complete()
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect the body; bytes after a complete request are ignored."""
        if not self.complete:
            super().on_body(data)

    def on_message_complete(self) -> None:
        """Mark the request as complete; `data_received` answers it.

        The method is kept now, as the parser forgets it when more bytes follow.
        """
        if not self.complete and self.parser is not None:
            self.method = self.parser.get_method()
            self.complete = True

    def _respond(self) -> None:
        """Answer at once, or later if a feature needs time; CALL_TIMEOUT_S bounds that as well."""
        self.dispatched = True
        calls.respond(self.console.backend, self.method, self.target, bytes(self.body), self._answer)

    def _answer(self, answer: Answer) -> None:
        if self.transport is None or self.answered:
            return  # the caller is gone, or already answered
        self.answered = True
        self.timer.cancel()
        self.timer = self.console.loop.call_later(CALL_TIMEOUT_S, self.abort)
        self.transport.write(calls.render(answer, HTTPStatus(answer.status).phrase.encode()))
        self.transport.write_eof()  # keep reading until the caller closes: a reset could lose the answer

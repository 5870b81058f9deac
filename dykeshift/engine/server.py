"""The clients' side: their connections, one answer to each request, and /ready."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from typing import Any, cast

import httptools

from dykeshift.clock import Clock
from dykeshift.engine.arrivals import Arrivals
from dykeshift.engine.bodies import Answer, Bytes, Rest, Upload
from dykeshift.engine.budget import Budget
from dykeshift.engine.drain import Drain, Orders
from dykeshift.engine.driver import Driver
from dykeshift.engine.invariants import CloseReason, Invariant
from dykeshift.engine.http1 import MAX_BODY, MAX_LONG, Gatherer, Unacceptable, status_of
from dykeshift.engine.replies import Reply, render, word
from dykeshift.engine.requests import BadRequest, Reader
from dykeshift.engine.terms import FAILED, Final, How

log = logging.getLogger(__name__)

SWEEP = 0.1  # seconds between two looks at connections that do nothing
FIRST = 2.5  # seconds from connecting for the first byte of a request, and from that for its head
SLOW, PACE = 2.5, 32 * 1024  # seconds for a request to come whole, and one more for so many bytes of body
STALL = 10.0  # seconds without any progress after which a body, either way, is given up
IDLE = 30.0  # seconds that a connection is kept after an answer
ONCE = 2.0  # the same where one request was all that came, and for all in a crowd
CROWD = 0.5  # of the limit on connections: so many that have been answered are one
LINGER = 0.5  # seconds in which a rejected client may go on sending, so that it sees its answer


class Front:
    """All client connections together, within a bound."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        driver: Driver,
        reader: Reader,
        limit: int,
        drain: Drain | None = None,
        kept: int = 1 << 20,
    ) -> None:
        """`kept`: bytes of long requests that may be kept while they come and until they are answered."""
        self.loop = loop
        self.clock = clock
        self.driver = driver
        self.reader = reader
        self.limit = limit
        self.clients: dict[Client, None] = {}  # a dict, as its order is that of their coming
        self.served = 0  # those of them that have been answered
        self.budget = Budget[Client](kept)
        self.drain = drain or Drain()
        self.arrivals = Arrivals(loop, clock)
        self.sweeper = loop.call_later(SWEEP, self.sweep)

    def connect(self) -> Client:
        return Client(self)

    def is_ready(self) -> bool:
        return self.drain.taking and bool(self.driver.ready) and not self.driver.waits()

    def admit(self, client: Client) -> None:
        """Count a new connection in; over the limit, another makes room.

        Protects the limit on descriptors, and the usual clients from those that connect and say
        nothing: these go first, the oldest of them, then who asked once and stayed, then who has been
        idle longest.
        """
        self.clients[client] = None
        if len(self.clients) > self.limit:
            idle = [c for c in self.clients if c.between() and c is not client]
            idle.sort(key=lambda c: (min(c.answers, 2), c.since))
            next((c for c in idle if not c.has_input()), client).close_by_us(CloseReason.CROWDED)

    def make_room(self) -> None:
        """Over the budget, the request that holds most and is still coming goes out early.

        One at a time: it holds on to its bytes until an upstream takes them, and takes no more meanwhile.
        """
        if self.budget.over and (client := self.budget.largest(Client.coming)) is not None:
            client.go_early()

    def sweep(self) -> None:
        now = self.loop.time()
        for client in list(self.clients):
            client.expire(now)
        self.sweeper = self.loop.call_later(SWEEP, self.sweep)

    def crowded(self) -> bool:
        return self.served > self.limit * CROWD

    def busy(self) -> bool:
        return any(not client.between() or client.has_input() for client in self.clients)

    def silent(self) -> bool:
        """Whether there is a connection on which nothing was ever asked."""
        return any(not client.answers and client.between() for client in self.clients)

    def unread(self) -> bool:
        """Whether a connection has bytes, or its end, that nobody has read."""
        return any(not client.closing and client.has_input() for client in self.clients)

    def stop_reading(self) -> None:
        """The process ends: nothing more is read, and so nothing is sent on that nobody would answer."""
        for client in list(self.clients):
            client.stop_reading()

    def close_all(self) -> None:
        """The process ends: all connections but those on which a long answer is on its way."""
        for client in list(self.clients):
            if client.rest is None:
                client.close_by_us(CloseReason.ENDING)

    def streaming(self) -> bool:
        """Whether a long answer is on its way."""
        return any(client.rest is not None for client in self.clients)

    def cut_all(self) -> None:
        """The process ends now; whose answer is not whole is to see it."""
        for client in list(self.clients):
            client.cut()

    def refuse_unfinished(self) -> None:
        """Refuse requests that have begun to come and will not be whole in time."""
        for client in list(self.clients):
            client.refuse_unfinished()

    def close_idle(self, orders: Orders) -> None:
        """Close connections on which no request has arrived, be it unread."""
        if orders.close_kept:
            for client in list(self.clients):
                if client.between() and (client.answers or orders.close_silent) and not client.has_input():
                    client.close_by_us(CloseReason.DRAINING)


class Client(Gatherer, asyncio.Protocol):
    __slots__ = (
        "front",
        "transport",
        "parser",
        "target",
        "busy",
        "born",
        "since",
        "keep",
        "closing",
        "cut_short",
        "request_id",
        "began",
        "came",
        "whole",
        "piped",
        "answers",
        "upload",
        "rest",
        "chunked",
        "framed",
        "mark",
        "moved",
        "held",
    )

    def __init__(self, front: Front) -> None:
        super().__init__(MAX_LONG if front.reader.objection is None else MAX_BODY)
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.busy = False  # a request has been taken and not answered
        self.whole = False
        self.piped = False  # more than one request at a time has come
        self.keep = True
        self.closing = False  # what comes from it is dropped
        self.cut_short = False  # answered before its request had come whole
        self.request_id = ""  # of the request that the driver has
        self.began = self.came = 0  # when the first byte of the request came, and the latest
        self.born = self.since = front.loop.time()  # since: when it last did something
        self.answers = 0
        self.upload: Upload | None = None  # the body of a request that went out before it was whole
        self.rest: Rest | None = None  # what is still to come of a long answer
        self.chunked = self.framed = False  # how that answer goes out; framed: its end is told
        self.held = False  # its body is not read: there is no room for it
        self.mark: tuple[int, int] = (0, 0)  # of its progress
        self.moved = self.born  # when there was any

    def between(self) -> bool:
        """Idle: no byte of a request has come that is not answered, and no answer waits to be read."""
        return not self.busy and not self.began and not self.closing and not self.unread_answer()

    def unread_answer(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def has_input(self) -> bool:
        return self.transport is not None and self.front.clock.has_input(self.transport)

    def gone(self) -> bool:
        return (
            self.transport is None or self.transport.is_closing() or self.front.clock.hung_up(self.transport)
        )

    def expire(self, now: float) -> None:
        """Let go of who is slow, silent or done.

        Protects descriptors: a first request is due from connecting on, however its bytes trickle in,
        and who was turned away does not hold its connection by sending on.
        """
        unread = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if (self.size, unread) != self.mark:
            self.mark, self.moved = (self.size, unread), now
        stalled = now - self.moved > STALL
        if self.busy:
            if stalled and (self.rest is not None or self.upload is not None):
                self.close_by_us(CloseReason.STALLED)  # the driver hears it as a client that has gone
            return
        if self.closing:
            late = now - self.since > LINGER if not unread else stalled
        elif self.between():
            # Clients that ask once and stay would take the connections of those that come back.
            kept = FIRST if not self.answers else ONCE if self.answers == 1 or self.front.crowded() else IDLE
            late = now - self.since > kept
        elif self.began:
            late = now - self.since > (FIRST if self.in_head else SLOW + self.size / PACE)
        else:
            late = stalled  # its answer is being read
        if late and self.began and not self.closing:
            self._reject(408, "the request did not come in time")
        elif late and not self.has_input():
            self.close_by_us(CloseReason.IDLE)

    def stop_reading(self) -> None:
        """What comes from now on stays in the kernel; where an answer is on its way only a close is read."""
        self.closing = True
        if self.rest is None and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def close_by_us(self, reason: CloseReason) -> None:
        """Reset or end the connection, whatever is on it; counted by its reason."""
        self.front.driver.ledger.occurrences.closed[reason] += 1
        self.abort()

    def abort(self) -> None:
        # Out of the count at once: its end is told later, and until then it would be let go once more
        # for each one that comes, and they would all stay.
        self.front.clients.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.front.admit(self)

    def data_received(self, data: bytes) -> None:
        if self.closing or self.parser is None:
            return
        if not self.busy or self.upload is not None:
            assert self.transport is not None
            self.came = self.front.arrivals.of(self.transport)
            if not self.began:
                self.began, self.since = self.came, self.front.loop.time()
        try:
            self.parser.feed_data(data)
            if not self.whole:
                self.count(len(data))
        except httptools.HttpParserUpgrade:
            # The parser leaves the body of such a request unread: it would go on without it.
            self._reject(400, "no upgrade is offered")
        except (httptools.HttpParserError, Unacceptable) as exc:
            self._reject(status_of(exc), "unacceptable or malformed HTTP")
        if self.piped and not self.closing:
            self._reject(400, "one request at a time")
        if self.upload is not None:
            self._feed(self.upload)
        elif self.whole:
            self.whole = False
            self._take()
        elif len(self.body) > MAX_BODY:
            self.front.budget.keep(self, len(self.body))
            self.front.make_room()

    def pause_writing(self) -> None:
        if self.rest is not None:
            self.rest.hold(True)

    def resume_writing(self) -> None:
        if self.rest is not None:
            self.rest.hold(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.clients.pop(self, None)
        self.front.served -= self.answers > 0
        self.transport = self.parser = self.rest = self.upload = None
        self.front.budget.keep(self, 0)
        if self.busy:
            self.busy = False
            self.front.driver.client_gone(self.request_id)

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        if self.whole or self.busy:
            self.piped = True
            return
        self.begin()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        if not self.piped:
            self.target += url

    def on_headers_complete(self) -> None:
        if self.piped:
            return
        super().on_headers_complete()
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        if not self.piped:
            super().on_header(name, value)

    def on_body(self, data: bytes) -> None:
        if not self.piped:
            super().on_body(data)

    def on_message_complete(self) -> None:
        if not self.piped and self.parser is not None:
            self.keep = self.parser.should_keep_alive()
            self.whole = True

    # ---- one request ----

    def _take(self) -> None:
        assert self.parser is not None
        method = self.parser.get_method()
        self.busy = True
        if method == b"HEAD":
            self.keep = False  # its answer would have to come without the body that all here have
        if self.target.partition(b"?")[0] == b"/ready":
            ready = self.front.is_ready()
            self.answer(Reply(200, b"ready\n") if ready else Reply(503, b"not ready\n"))
            return
        self._submit(method, self.body)

    def _submit(self, method: bytes, body: Bytes | Upload) -> None:
        try:
            incoming = self.front.reader.read(method, self.target, self.headers, body)
            if incoming.id in self.front.driver.jobs:
                raise BadRequest(409, "x-request-id is in use")
        except BadRequest as exc:
            self.front.driver.ledger.rejected(self.headers.get(b"x-class", b"").decode("latin-1"))
            self.keep = False  # who asks like this goes on like this, at full speed
            self.answer(Reply(exc.status, f"{exc}\n".encode()))
            return
        self.request_id = incoming.id
        if incoming.body is self.body:  # a long one, and the request's now
            self.front.budget.keep(self, len(self.body))
            self.body = bytearray()
        try:
            self.front.driver.submit(incoming, self.came, self.final, self.gone)
        except Exception:  # the program's own fault: an attempt may be out, so this is no refusal
            log.exception(
                "request %s",
                incoming.id,
                extra={"event": "request.failed", "fields": {"request": incoming.id}},
            )
            if self.busy:
                self.final(FAILED)

    # ---- a long request ----

    def coming(self) -> bool:
        """Whether its request is kept and is not whole yet."""
        return not self.busy and self.parser is not None and not self.closing

    def go_early(self) -> None:
        """Its request goes to the driver before it is whole, and is not kept any more."""
        assert self.parser is not None
        self.busy = True
        length = self.headers.get(b"content-length")
        body, self.body = self.body, bytearray()
        upload = self.upload = Upload(body, int(length) if length is not None else None, self)
        self.hold(True)  # until an upstream takes it
        self._submit(self.parser.get_method(), upload)

    def _feed(self, upload: Upload) -> None:
        if self.body:
            upload.feed(bytes(self.body))
            self.body.clear()
        if self.whole:
            self.whole, self.upload = False, None
            upload.finish()
            self.front.driver.whole(self.request_id, self.came)

    def hold(self, wait: bool) -> None:
        if self.transport is not None and self.held is not wait and not self.transport.is_closing():
            self.held = wait
            if not wait and self.upload is not None:
                self.front.budget.keep(self, 0)  # what it kept has gone out
            (self.transport.pause_reading if wait else self.transport.resume_reading)()

    # ---- its answer ----

    def final(self, final: Final) -> None:
        if final.how is How.SERVED and final.answer.rest is not None:
            self._begin_long(final.answer)
        else:
            self.answer(word(final))

    def _keeps(self) -> bool:
        if self.upload is not None:  # answered before its request was whole
            self.keep, self.cut_short = False, True
        # In a crowd a first answer ends its connection: many clients ask once and stay, and those that
        # come back would find no room, nor a descriptor of their own to come with.
        return self.keep and self.front.drain.keeping and (self.answers > 0 or not self.front.crowded())

    def answer(self, reply: Reply) -> None:
        if self.transport is None or not self.busy:
            return
        if self.rest is not None:  # what follows would be taken for a part of the answer that has begun
            self.front.driver.ledger.occurrences.violated(Invariant.WHOLE_ANSWER, self.request_id)
            self.cut()
            return
        keep = self._keeps()
        self.transport.write(render(reply, keep))
        self._answered(keep)

    def _begin_long(self, answer: Answer) -> None:
        """As it comes, framed as the upstream framed it; where nobody told its length, in chunks."""
        if self.transport is None or not self.busy:
            return
        assert self.parser is not None
        self.chunked = answer.length is None and self.parser.get_http_version() != "1.0"
        self.framed = self.chunked or answer.length is not None
        self.keep = self._keeps() and self.framed
        lines = [b"HTTP/1.1 200 OK", b"Content-Type: " + answer.content_type]
        if answer.length is not None:
            lines.append(b"Content-Length: %d" % answer.length)
        elif self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        if not self.keep:
            lines.append(b"Connection: close")
        self.rest = answer.rest
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")
        answer.rest.flow_to(self)
        if answer.body:
            self.piece(bytes(answer.body))

    def piece(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def end(self) -> None:
        if self.transport is not None and self.busy:
            if self.chunked:
                self.transport.write(b"0\r\n\r\n")
            self._answered(self.keep)

    def cut(self) -> None:
        """Its client sees the break: by the length, by the last chunk that is missing, else by a reset."""
        self.rest, self.busy = None, False
        if self.transport is not None and not self.framed:
            raw: Any = self.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_by_us(CloseReason.ANSWER_CUT)

    def _answered(self, keep: bool) -> None:
        assert self.transport is not None
        self.busy, self.began, self.request_id, self.fed = False, 0, "", 0
        self.rest = self.upload = None
        if self.held:
            self.hold(False)
        if self.size > MAX_BODY:
            self.front.budget.keep(self, 0)
        self.front.served += not self.answers
        self.since, self.answers = self.front.loop.time(), self.answers + 1
        if not keep:
            self.closing = True
            if self.cut_short:
                # Closed outright, what the client still sends would be met by a reset, which can
                # take the answer with it: read on until it closes, or for LINGER at the most.
                self.transport.write_eof()
            else:
                self.transport.close()

    def refuse_unfinished(self) -> None:
        """Answer a request that has begun to come, is not whole and has gone nowhere, and close.

        Closed unanswered, its last byte might have arrived in that moment, and the request would be lost.
        """
        if self.began and not self.busy and not self.closing:
            self._reject(503, "refused: try again", CloseReason.UNFINISHED)

    def _reject(self, status: int, text: str, reason: CloseReason = CloseReason.REJECTED) -> None:
        """Answer what is no single sound request, and close.

        Protects against serving one request of several that came together, or one with unreadable
        bytes behind it: nobody can tell what such a client takes for the answer to what. One that is
        with the driver already is given up, and may have run. Where its answer has begun the rejection would
        be read as a part of it: the answer is cut.
        """
        self.keep, self.whole, self.cut_short = False, False, True
        if self.busy:
            self.front.driver.client_gone(self.request_id)
        if self.rest is not None:
            self.cut()
            return
        self.front.driver.ledger.occurrences.closed[reason] += 1
        self.busy = True
        self.answer(Reply(status, f"{text}\n".encode()))

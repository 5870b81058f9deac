"""The HTTP frontend: client connections, exactly one answer to each request, and `/ready`."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from typing import Any, cast

import httptools

from dykeshift.clock import Clock
from dykeshift.engine import admission
from dykeshift.engine.admission import Phase
from dykeshift.engine.arrivals import Arrivals
from dykeshift.engine.backlog import UploadBacklog
from dykeshift.engine.bodies import Answer, BodyStream, Bytes, Upload
from dykeshift.engine.budget import Budget
from dykeshift.engine.drain import Drain, Actions
from dykeshift.engine.driver import Driver
from dykeshift.engine.invariants import CloseReason, Invariant
from dykeshift.engine.http1 import (
    MAX_BODY,
    MAX_STREAMED_BODY,
    MessageCollector,
    UnacceptableMessageError,
    status_of,
)
from dykeshift.engine.progress import TransferProgress
from dykeshift.engine.reading import ENDING, OUTPUT, UPLOAD, PieceReader, ReadBuffer
from dykeshift.engine.replies import Reply, render, reply_to
from dykeshift.engine.requests import BadRequestError, Incoming, Reader
from dykeshift.engine.terms import FAILED, Final, FinalStatus

log = logging.getLogger(__name__)

SWEEP_INTERVAL = 0.1  # seconds between checks of all connections for timeouts
HEAD_TIMEOUT = 2.5  # seconds from connecting to a request's first byte, and from that to the end of its head
# Seconds until a request is complete, plus the time that its body takes at this rate, in bytes per second.
REQUEST_TIMEOUT, MIN_BODY_RATE = 2.5, 32 * 1024
SILENCE_TIMEOUT = 2.7  # seconds without a byte of a request that has begun; its client is owed an error in 3
# Bytes: what is kept of longer requests counts towards the limit of all. Shorter ones, and such heads, are
# part of what each connection has.
COUNTED_BODY, COUNTED_HEAD = 1024, 3 * 1024
HEADER_OBJECT_BYTES = 160  # of a header in memory, beside its text
IDLE_TIMEOUT = 30.0  # seconds that an idle keep-alive connection is kept open
SHORT_IDLE_TIMEOUT = 2.0  # seconds; after only one request, and for all connections when crowded
CROWDED_SHARE = 0.5  # the frontend is crowded if more than this share of its connections have been answered
MAX_UNSENT_PIECES = 0  # bytes of output that may wait for a slow reader when another piece or request is read
LINGER_TIMEOUT = 0.5  # seconds for which a rejected client may go on sending, so that it can read its answer
DISCARD_TIMEOUT = 10.0  # the same for the rest of a body of stated length whose request was answered early


class Front:
    """All client connections, limited in number."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        driver: Driver,
        reader: Reader,
        limit: int,
        drain: Drain | None = None,
        socket_buffer: int = 0,
        read_buffer: ReadBuffer | None = None,
    ) -> None:
        """`socket_buffer`: bytes that the kernel may hold of a long body in each direction; 0: its default.

        `read_buffer`: with the budget of all that is held; without one, 1 MiB.
        """
        self.budget = Budget[Any](1 << 20)
        if read_buffer is not None and read_buffer.budget is not None:
            self.budget = read_buffer.budget
        self.read_buffer = read_buffer or ReadBuffer(self.budget)
        self.socket_buffer = socket_buffer
        self.loop = loop
        self.clock = clock
        self.driver = driver
        self.reader = reader
        self.limit = limit
        self.clients: dict[Client, None] = {}  # a dict as an ordered set: in order of arrival
        self.answered_clients = 0  # the number of open connections on which an answer has been sent
        self.drain = drain or Drain()
        self.arrivals = Arrivals(loop, clock)
        self.sweeper = loop.call_later(SWEEP_INTERVAL, self.sweep)

    def connect(self) -> Client:
        """The protocol for a new connection."""
        return Client(self)

    def is_ready(self) -> bool:
        """Whether `/ready` answers 200."""
        return self.drain.serving and bool(self.driver.ready) and not self.driver.must_hold_clients()

    def admit(self, client: Client) -> None:
        """Register a new connection; over the limit, another one makes room, or else the new one is closed.

        Protects the limit on file descriptors, and active clients from those that connect and send
        nothing, or send so slowly that they would take the connections of all others.
        """
        if len(self.clients) >= self.limit:
            leaving = admission.choose(self.clients, self.loop.time())
            if leaving is None:
                client.close_by_us(CloseReason.CROWDED)
                return
            leaving.make_room()
        self.clients[client] = None

    def relieve_budget(self, client: Client) -> None:
        """There is no memory for more of this client's request: go on without keeping it, or refuse it.

        Its body is forwarded while it comes, and so is the largest that is being received, so that shorter
        ones can be kept again: a buffer is released once an upstream connection accepts it, and reading
        from its client is paused until then. Not where the upstreams' protocol needs whole bodies, which
        are short. A head cannot be forwarded: nothing of it has been sent, so trying again is harmless.
        """
        if not client.is_receiving_body():
            client.refuse_for_memory()
            return
        if self.reader.objection is not None:
            client.keep_over_budget()
            return
        largest = self.budget.largest(lambda one: isinstance(one, Client) and one.is_receiving_body())
        client.start_upload()
        if largest is not None and largest is not client:
            largest.start_upload()

    def sweep(self) -> None:
        """Check all connections for timeouts; runs every SWEEP_INTERVAL."""
        now = self.loop.time()
        for client in list(self.clients):
            client.check_timeouts(now)
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def is_crowded(self) -> bool:
        """Whether so many connections are in use that idle ones are closed sooner."""
        return self.answered_clients > self.limit * CROWDED_SHARE

    def busy(self) -> bool:
        """Whether a connection has an unanswered request, unsent output or unread input."""
        return any(not client.is_idle() or client.has_input() for client in self.clients)

    def has_silent_client(self) -> bool:
        """Whether there is a connection on which no request has been received."""
        return any(not client.answers and client.is_idle() for client in self.clients)

    def has_unread_input(self) -> bool:
        """Whether a connection has input, or an end of file, that has not been read."""
        return any(not client.closing and client.has_input() for client in self.clients)

    def stop_reading(self) -> None:
        """Stop reading from all clients as the process ends: a request read now would get no answer."""
        for client in list(self.clients):
            client.stop_reading()

    def close_all(self) -> None:
        """Close all connections as the process ends, except those with a streamed answer in progress."""
        for client in list(self.clients):
            if client.streamed_answer is None:
                client.close_by_us(CloseReason.ENDING)

    def is_streaming(self) -> bool:
        """Whether a streamed answer is in progress."""
        return any(client.streamed_answer is not None for client in self.clients)

    def cut_all(self) -> None:
        """Abort all connections so that clients can tell that an unfinished answer is truncated."""
        for client in list(self.clients):
            client.cut()

    def refuse_unfinished(self) -> None:
        """Refuse requests that have been received only in part and cannot be complete in time."""
        for client in list(self.clients):
            client.refuse_unfinished()

    def close_idle(self, orders: Actions) -> None:
        """Close idle connections, unless they have unread input."""
        if orders.close_kept:
            for client in list(self.clients):
                if client.is_idle() and (client.answers or orders.close_silent) and not client.has_input():
                    client.close_by_us(CloseReason.DRAINING)


class Client(MessageCollector, PieceReader):
    """A client's connection: receives one request at a time, submits it and sends its answer."""

    __slots__ = (
        "front",
        "loop",
        "read_buffer",
        "pauses",
        "transport",
        "parser",
        "target",
        "busy",
        "connected_at",
        "since",
        "keep_alive",
        "closing",
        "answered_early",
        "request_id",
        "request_began",
        "last_arrival",
        "request_complete",
        "pipelined",
        "answers",
        "upload",
        "backlog",
        "discard_left",
        "streamed_answer",
        "chunked",
        "end_marked",
        "progress",
        "paused_at",
        "kept",
        "output_waits",
    )

    def __init__(self, front: Front) -> None:
        super().__init__(MAX_STREAMED_BODY if front.reader.objection is None else MAX_BODY)
        self.front = front
        self.loop, self.read_buffer, self.pauses = front.loop, front.read_buffer, 0
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.busy = False  # a request has been accepted and not answered
        self.request_complete = False
        self.pipelined = False  # another request began before the current one was answered
        self.keep_alive = True
        self.closing = False  # further input is discarded
        self.answered_early = False  # answered before its request was received completely
        self.request_id = ""  # of the request that the driver is handling
        self.request_began = self.last_arrival = 0  # ns, arrival of the request's first byte and latest bytes
        self.connected_at = self.since = front.loop.time()  # since: start of the current state, for timeouts
        self.answers = 0
        self.upload: Upload | None = None  # the body of a request that is forwarded while it is received
        self.backlog: UploadBacklog | None = None  # with `upload`
        self.discard_left = (
            0  # bytes of its body that the client has yet to send, of a request answered early
        )
        self.streamed_answer: BodyStream | None = None  # the source of the rest of a streamed answer
        # Framing of the streamed answer; end_marked: by length or chunks, so that the client sees its end.
        self.chunked = self.end_marked = False
        self.paused_at = 0.0
        self.output_waits = False  # output is buffered that the client has not read
        self.kept = 0  # bytes that are counted for its request
        self.progress = TransferProgress(self.connected_at)

    @property
    def reading_paused(self) -> bool:
        """Whether the body of its request is not read, as it cannot be forwarded now."""
        return bool(self.pauses & UPLOAD)

    def is_idle(self) -> bool:
        """Whether it is idle between requests: none received even in part, and all answers sent."""
        return not self.busy and not self.request_began and not self.closing and not self.has_unsent_output()

    def phase(self) -> Phase:
        """See `admission.Candidate`."""
        if self.is_idle():
            return Phase.IDLE
        if self.closing:
            answered = self.discard_left <= 0 and not self.busy and not self.has_unsent_output()
            return Phase.REJECTED if answered else Phase.TAKEN
        if self.backlog is not None and self.streamed_answer is None:
            return Phase.TAKEN if self.backlog.may_be_complete else Phase.INCOMPLETE
        return Phase.INCOMPLETE if self.request_began and not self.busy else Phase.TAKEN

    def received(self) -> int:
        """See `admission.Candidate`."""
        return self.size

    def make_room(self) -> None:
        """Close the connection at once; a request that has come in part is refused."""
        if self.phase() is not Phase.INCOMPLETE:
            self.close_by_us(CloseReason.CROWDED)
            return
        self._reject(503, "refused: try again", CloseReason.CROWDED)
        self.front.clients.pop(self, None)
        if self.transport is not None:
            self.transport.close()

    def has_unsent_output(self) -> bool:
        """Whether output is buffered that the client has not read."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def has_input(self) -> bool:
        """Whether input waits in the kernel."""
        return self.transport is not None and self.front.clock.has_input(self.transport)

    def has_disconnected(self) -> bool:
        """Whether the connection is closed, even if this has not been read yet."""
        return (
            self.transport is None or self.transport.is_closing() or self.front.clock.hung_up(self.transport)
        )

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is too slow, silent or idle.

        Protects file descriptors: the timeout of a first request starts at the connect and is not
        extended by single bytes, and a rejected client cannot keep its connection open by sending on.
        """
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        stalled = self.progress.look(unsent, now)
        if self.busy:
            if self.upload is not None and self.reading_paused and self.has_disconnected():
                self.abort()
                return
            self._look_at_backlog()
            if self.upload is not None and self._is_late(now) and not self.has_input():
                self._reject(408, "the request did not come in time")
                return
            if stalled and (self.streamed_answer is not None or self.upload is not None):
                self._end_stalled(unsent, now)
            return
        if self.closing:
            silent = now - self.progress.changed_at > SILENCE_TIMEOUT
            linger = DISCARD_TIMEOUT if self.discard_left > 0 and not silent else LINGER_TIMEOUT
            late = now - self.since > linger if not unsent else stalled
        elif self.is_idle():
            # Clients that send one request and stay connected would use up the connections of returning ones.
            limit = (
                HEAD_TIMEOUT
                if not self.answers
                else SHORT_IDLE_TIMEOUT
                if self.answers == 1 or self.front.is_crowded()
                else IDLE_TIMEOUT
            )
            late = now - self.since > limit
        elif self.request_began:
            late = self._is_late(now)
        else:
            late = stalled  # its answer has not been sent completely
        if late and self.request_began and not self.closing:
            self._reject(408, "the request did not come in time")
        elif late and unsent:
            self.close_by_us(CloseReason.STALLED)
        elif late and not self.has_input():
            self.close_by_us(CloseReason.IDLE)

    def _is_late(self, now: float) -> bool:
        """Whether the rest of a request takes too long, or its client has stopped to send it."""
        if self.reading_paused:
            return False
        limit = HEAD_TIMEOUT if self.in_head else REQUEST_TIMEOUT + self.size / MIN_BODY_RATE
        return now - self.since > limit or now - self.progress.changed_at > SILENCE_TIMEOUT

    def _end_stalled(self, unsent: int, now: float) -> None:
        """End a transfer without progress: answer where the upstream stalls, abort where the client does.

        The driver takes an abort for a client that disconnected.
        """
        silent = now - self.progress.changed_at
        fields = {
            "request": self.request_id,
            "silent_s": round(silent, 1),
            "connection_age_s": round(now - self.connected_at, 1),
            "received": self.progress.received,
            "written": self.progress.written,
            "unsent": unsent,
        }
        log.warning(
            "the transfer of request %s is ended: no byte has passed for %.1f s",
            self.request_id,
            silent,
            extra={"event": "transfer.stalled", "fields": fields},
        )
        if self.upload is not None and self.reading_paused and self.streamed_answer is None:
            self.front.driver.end_upload(self.request_id)
        else:
            self.close_by_us(CloseReason.STALLED)

    def stop_reading(self) -> None:
        """Leave further input in the kernel; during a streamed answer, read on only to detect a close."""
        self.closing = True
        if self.streamed_answer is None:
            self.pause_for(ENDING)

    def close_by_us(self, reason: CloseReason) -> None:
        """Close the connection at once, whatever its state, and count the reason."""
        self.front.driver.ledger.occurrences.closed[reason] += 1
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        # Removed at once: connection_lost() comes later, and until then each new connection would choose
        # this one again to be closed, so that the number of connections would exceed the limit.
        self.front.clients.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.front.admit(self)

    def data_received(self, data: bytes) -> None:
        """Parse input, and submit, forward or reject the request."""
        self.progress.received += len(data)
        if self.closing or self.parser is None:
            self._discard(len(data))
            return
        if not self.busy and self.has_unsent_output() and self.transport is not None:
            self.transport.set_write_buffer_limits(high=MAX_UNSENT_PIECES)  # calls pause_writing
        if not self.busy or self.upload is not None:
            assert self.transport is not None
            self.last_arrival = self.front.arrivals.arrival_time(self.transport)
            if not self.request_began:
                self.request_began, self.since = self.last_arrival, self.front.loop.time()
        try:
            self.parser.feed_data(data)
            if not self.request_complete:
                self.count(len(data))
        except httptools.HttpParserUpgrade:
            # The parser does not read the body of such a request, so it would be forwarded without it.
            self._reject(400, "no upgrade is offered")
        except (httptools.HttpParserError, UnacceptableMessageError) as exc:
            self._reject(status_of(exc), "unacceptable or malformed HTTP")
        if self.pipelined and not self.closing:
            self._reject(400, "one request at a time")
        if self.upload is not None:
            self._feed_upload(self.upload)
        elif self.request_complete:
            self.request_complete = False
            self._handle_request()
        elif self.request_began and not self.busy and not self.closing:
            self._reserve_for_more()

    def _reserve_for_more(self) -> None:
        """Reserve what an incomplete request holds, so that the next piece is what the connection has."""
        held = self._held_bytes()
        if not held:
            return
        if self.front.socket_buffer and not self.front.budget.usage.get(self):
            assert self.transport is not None
            self.front.clock.limit_receiving(self.transport, self.front.socket_buffer)
        if self.front.budget.reserve(self, held):
            self.kept = held
        else:
            self.front.relieve_budget(self)

    def keep_over_budget(self) -> None:
        """Count what an incomplete request holds though there is no room for it."""
        self._count(self._held_bytes())

    def _count(self, kept: int) -> None:
        """Count what is kept of its request, and the output that it has not read."""
        self.kept = kept
        size = kept + (self.transport.get_write_buffer_size() if self.transport is not None else 0)
        if size or self in self.front.budget.usage:
            self.front.budget.set_usage(self, size)

    def _held_bytes(self) -> int:
        """Bytes that an incomplete request takes, without what each connection has for a short one."""
        head = len(self.target) + HEADER_OBJECT_BYTES * len(self.headers)
        # The parser keeps an unfinished header, so in the head all bytes count.
        texts = (len(name) + len(value) for name, value in self.headers.items())
        head += self.fed if self.in_head else sum(texts)
        body = len(self.body)
        return (head if head > COUNTED_HEAD else 0) + (body if body > COUNTED_BODY else 0)

    def refuse_for_memory(self) -> None:
        """Refuse an incomplete request of which nothing has been sent."""
        self._reject(503, "refused: try again", CloseReason.MEMORY)

    def pause_writing(self) -> None:
        """Back-pressure from the client: stop reading the streamed answer, or further requests."""
        self.output_waits = True
        self._count(self.kept)
        if self.streamed_answer is not None:
            self.streamed_answer.hold(True)
        else:
            self.pause_for(OUTPUT)

    def resume_writing(self) -> None:
        """Continue reading the streamed answer, or the next request."""
        self.output_waits = False
        self._count(self.kept)
        if self.streamed_answer is not None:
            self.streamed_answer.hold(False)
        else:
            self.resume_for(OUTPUT)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everything and tell the driver if a request is open."""
        self.front.clients.pop(self, None)
        self.front.answered_clients -= self.answers > 0
        self.transport = self.parser = self.streamed_answer = self.upload = self.backlog = None
        self.front.budget.set_usage(self, 0)
        if self.busy:
            self.busy = False
            self.front.driver.client_gone(self.request_id)

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Start a request, or note that it is pipelined."""
        if self.request_complete or self.busy:
            self.pipelined = True
            return
        self.begin()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Collect the request target, which may come in pieces."""
        if not self.pipelined:
            self.target += url

    def on_headers_complete(self) -> None:
        """Check the headers and answer `Expect: 100-continue`."""
        if self.pipelined:
            return
        super().on_headers_complete()
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Collect a header."""
        if not self.pipelined:
            super().on_header(name, value)

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        if not self.pipelined:
            super().on_body(data)

    def on_message_complete(self) -> None:
        """Note that the request is complete."""
        if not self.pipelined and self.parser is not None:
            self.keep_alive = self.parser.should_keep_alive()
            self.request_complete = True

    # ---- one request ----

    def _handle_request(self) -> None:
        assert self.parser is not None
        method = self.parser.get_method()
        self.busy = True
        if method == b"HEAD":
            self.keep_alive = False  # the answer has a body, which a client does not expect after HEAD
        if self.target.partition(b"?")[0] == b"/ready":
            ready = self.front.is_ready()
            self.answer(Reply(200, b"ready\n") if ready else Reply(503, b"not ready\n"))
            return
        self._submit(method, self.body)

    def _submit(self, method: bytes, body: Bytes | Upload) -> None:
        try:
            incoming = self.front.reader.read(method, self.target, self.headers, body)
            if not self.front.driver.claim_id(incoming):
                raise BadRequestError(409, "x-request-id is in use, or was a moment ago")
        except BadRequestError as exc:
            self.front.driver.ledger.rejected(self.headers.get(b"x-class", b"").decode("latin-1"))
            self.keep_alive = False  # slows down a client that keeps sending bad requests
            self.answer(Reply(exc.status, f"{exc}\n".encode()))
            return
        self.request_id = incoming.id
        if not incoming.early:
            self._count_kept(incoming)
        self.body = bytearray()  # a long one belongs to the request now, of a short one it has a copy
        self.headers, self.target = {}, b""
        try:
            self.front.driver.submit(incoming, self.last_arrival, self.final, self.has_disconnected)
        except Exception:  # a bug: an attempt may have been sent, so the request fails and is not refused
            log.exception(
                "internal error while submitting request %s",
                incoming.id,
                extra={"event": "request.failed", "fields": {"request": incoming.id}},
            )
            if self.busy:
                self.final(FAILED)

    def _count_kept(self, incoming: Incoming) -> None:
        """Count what a request keeps until it is answered, in place of what was reserved for it."""
        head, body = len(incoming.head), len(incoming.body)
        self._count((head if head > COUNTED_HEAD else 0) + (body if body > COUNTED_BODY else 0))

    # ---- streamed requests ----

    def is_receiving_body(self) -> bool:
        """Whether the body of a request is being received and buffered."""
        return not self.busy and not self.in_head and self.parser is not None and not self.closing

    def start_upload(self) -> None:
        """Submit the request before it is complete; from now on its body is forwarded, not buffered."""
        assert self.parser is not None
        self.busy = True
        length = self.headers.get(b"content-length")
        body, self.body = self.body, bytearray()
        upload = self.upload = Upload(body, int(length) if length is not None else None, self)
        self.backlog = UploadBacklog(upload.length, self.front.clock.monotonic_ns())
        self.hold(True)  # until a connection to an upstream accepts it
        self._submit(self.parser.get_method(), upload)

    def _feed_upload(self, upload: Upload) -> None:
        if self.request_complete and self.has_disconnected():
            self.abort()  # without its last byte the upstream does not begin it
            return
        if self.body:
            size = len(self.body)
            upload.feed(bytes(self.body))
            self.body.clear()
            if self.reading_paused:
                self._count(size)  # at most so much of it waits for the upstream
        if not self.request_complete:
            self._look_at_backlog()
            return
        assert self.backlog is not None
        written_at = self.backlog.written_at(self.last_arrival)
        self.request_complete, self.upload, self.backlog = False, None, None
        upload.finish()
        self.hold(False)  # a close of the client has to be noticed, however long the upstream takes to read
        self.front.driver.request_complete(self.request_id, written_at)

    def _look_at_backlog(self) -> None:
        """Let the time of an upload run from when all of it may have been written, read or not."""
        if self.backlog is None or self.transport is None:
            return
        unread = self.front.clock.unread_bytes(self.transport)
        if self.backlog.look(self.front.clock.monotonic_ns(), self.size, unread):
            written_at = self.backlog.incomplete_at if self.backlog.may_be_complete else None
            self.front.driver.limit_upload(self.request_id, written_at)

    def _discard(self, size: int) -> None:
        """Count input that is not used; close once the rest of a request that was answered early has come."""
        if self.discard_left > 0:
            self.discard_left -= size
            if self.discard_left <= 0 and self.transport is not None:
                self.transport.close()

    def hold(self, wait: bool) -> None:
        """Back-pressure: pause reading the body if `wait`, else resume."""
        if self.transport is None or self.reading_paused is wait or self.transport.is_closing():
            return
        if wait:
            self.paused_at = self.loop.time()
            self.pause_for(UPLOAD)
            return
        self.since += self.loop.time() - self.paused_at  # its client could not go on
        if self.upload is not None:
            self._count(0)  # its buffer has been forwarded
        self.resume_for(UPLOAD)

    # ---- answers ----

    def final(self, final: Final) -> None:
        """Send the driver's final answer."""
        if final.status is FinalStatus.SERVED and final.answer.rest is not None:
            self._start_streamed_answer(final.answer)
        else:
            self.answer(reply_to(final))

    def _should_keep_alive(self) -> bool:
        if self.upload is not None:  # answered before its request was complete
            self.keep_alive, self.answered_early = False, True
        # When crowded, a connection is closed after its first answer: many clients send one request and
        # stay connected, and would leave no connection or descriptor for returning clients.
        return (
            self.keep_alive
            and self.front.drain.keeps_connections
            and (self.answers > 0 or not self.front.is_crowded())
        )

    def answer(self, reply: Reply) -> None:
        """Send an answer, unless the client has disconnected."""
        if self.transport is None or not self.busy:
            return
        if self.streamed_answer is not None:  # the client would read this as a part of the answer in progress
            self.front.driver.ledger.occurrences.violated(Invariant.WHOLE_ANSWER, self.request_id)
            self.cut()
            return
        keep = self._should_keep_alive()
        self._write(render(reply, keep))
        self._answer_written(keep)

    def _start_streamed_answer(self, answer: Answer) -> None:
        """Start a streamed answer: with the upstream's length, or in chunks where that is unknown."""
        if self.transport is None or not self.busy:
            return
        assert self.parser is not None
        self.chunked = answer.length is None and self.parser.get_http_version() != "1.0"
        self.end_marked = self.chunked or answer.length is not None
        self.keep_alive = self._should_keep_alive() and self.end_marked
        lines = [b"HTTP/1.1 200 OK", b"Content-Type: " + answer.content_type]
        if answer.length is not None:
            lines.append(b"Content-Length: %d" % answer.length)
        elif self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        if not self.keep_alive:
            lines.append(b"Connection: close")
        self.streamed_answer = answer.rest
        if self.front.socket_buffer:
            self.front.clock.limit_sending(self.transport, self.front.socket_buffer)
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_PIECES)
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")
        answer.rest.stream_to(self)
        if answer.body:
            self.write_piece(bytes(answer.body))

    def _write(self, data: bytes) -> None:
        """Hand output to the transport, if the connection is open."""
        if self.transport is not None:
            self.progress.written += len(data)
            self.transport.write(data)

    def write_piece(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        self._write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def end(self) -> None:
        """Finish a streamed answer."""
        if self.transport is not None and self.busy:
            if self.chunked:
                self._write(b"0\r\n\r\n")
            self._answer_written(self.keep_alive)

    def cut(self) -> None:
        """Abort the answer so that the client can tell: by its length, a missing last chunk, or a reset."""
        self.streamed_answer, self.busy = None, False
        if self.transport is not None and not self.end_marked:
            raw: Any = self.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_by_us(CloseReason.ANSWER_CUT)

    def _answer_written(self, keep: bool) -> None:
        assert self.transport is not None
        self.busy, self.request_began, self.request_id, self.fed = False, 0, "", 0
        if self.upload is not None and self.upload.length is not None:
            self.discard_left = self.upload.length - self.size
        self.streamed_answer = self.upload = self.backlog = None
        if self.reading_paused:
            self.hold(False)
        if self.front.budget.usage.get(self):
            self.front.budget.set_usage(self, 0)
        self.front.answered_clients += not self.answers
        self.since, self.answers = self.front.loop.time(), self.answers + 1
        if not keep:
            self.closing = True
            if self.answered_early:
                # After a full close, further input would cause a reset, by which the client can lose
                # the answer: read on until it closes, for at most LINGER_TIMEOUT.
                self.transport.write_eof()
            else:
                self.transport.close()
        elif self.output_waits:
            self.pause_for(OUTPUT)  # else the answers to further requests would pile up

    def refuse_unfinished(self) -> None:
        """Refuse a request that has been received in part and not been submitted, and close.

        Without an answer, a request whose last byte arrives at this moment would be lost silently.
        """
        if self.request_began and not self.busy and not self.closing:
            self._reject(503, "refused: try again", CloseReason.UNFINISHED)

    def _reject(self, status: int, text: str, reason: CloseReason = CloseReason.REJECTED) -> None:
        """Answer input that is not a single valid request, and close.

        Protects against serving one of several pipelined requests, or one that is followed by invalid
        bytes: there is no telling which request such a client would match the answer to. A request that
        has been submitted is abandoned, and may have run. During a streamed answer the rejection would
        be read as a part of it, so that answer is aborted instead.
        """
        self.keep_alive, self.request_complete, self.answered_early = False, False, True
        self.body, self.headers, self.target = bytearray(), {}, b""
        if self.busy:
            self.front.driver.client_gone(self.request_id)
            self.upload = self.backlog = None
        if self.streamed_answer is not None:
            self.cut()
            return
        self.front.driver.ledger.occurrences.closed[reason] += 1
        self.busy = True
        self.answer(Reply(status, f"{text}\n".encode()))

"""The pool of connections to the upstreams and the attempts on them; a `Carrier` speaks the protocol."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from dykeshift.clock import Clock
from dykeshift.interface import LoadReport, Outcome
from dykeshift.engine.bodies import Message, StreamedMessage
from dykeshift.engine.config import Address
from dykeshift.engine.continuity import ProcessContinuity
from dykeshift.engine.invariants import WithheldReason
from dykeshift.engine.ledger import Ledger
from dykeshift.engine.link import Link
from dykeshift.engine.staleness import Staleness
from dykeshift.engine.terms import SubmittedRequest

log = logging.getLogger(__name__)

KEEPALIVE_SHARE = 0.8  # of the keepalive: longer idle connections are closed, before the upstream does so
DUPLICATE_ANSWER_WINDOW_S = 0.01  # seconds within which an upstream may send a duplicate answer to a request
SWEEP_INTERVAL_S = 0.5  # seconds between two checks for connections idle for too long
KEPT_ADDRESSES_FACTOR = 2  # with so many addresses per listed upstream, those that are not needed are dropped


@dataclass(slots=True, eq=False)
class Upstream:
    """One process of an upstream: after a restart it is a new object, and attempts stay with the old one."""

    address: Address
    started: int
    listed_ready: bool
    open_to_new: bool = False  # neither draining, gone, replaced nor banned
    idle: list[Link] = field(default_factory=list)
    continuity: ProcessContinuity[Link] = field(default_factory=ProcessContinuity)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, or, with `more_follows`, that its streamed answer has started."""

    outcome: Outcome
    report: LoadReport | None = None
    answer: Any = None  # if served: what the front end passes to its client
    more_follows: bool = False  # the answer has only started: the end follows


@dataclass(frozen=True, slots=True)
class SendTerms:
    """What holds for one attempt besides its upstream and request; times in ns on the monotonic clock."""

    deadline: int
    begin_by: int = 0  # the end of its key's window; 0: none
    stamp: int = 0  # of the rules that it was decided under, where there is a gate
    scope_bound: bool = False  # it may only be written to the listed process
    # Whether the client still waits for the answer; called just before the first byte is written.
    client_waits: Callable[[], bool] = lambda: True
    # Called if the process that it is written to may be another one than the listed one: before it is
    # written, or as soon as that shows.
    on_uncertain: Callable[[], None] = lambda: None


class Gate(Protocol):
    """Tells whether the rules that a decision was based on are still in force."""

    def rules_stamp(self) -> int:
        """The stamp of the rules in force; it changes with them. Reads this process's clock at each call."""


class Carrier(Protocol):
    """A protocol spoken to upstreams: makes its connections and maps answers to outcomes."""

    def connection(self, on_idle: Callable[[Any], None], on_lost: Callable[[Any], None]) -> Link:
        """A new connection; it calls `on_idle` when it can be reused and `on_lost` once when it is gone."""

    def encoder(self, asked: SubmittedRequest) -> Callable[[int], Message]:
        """Returns the encoder of a request: called with the nanoseconds left to the upstream."""

    def result(self, answer: Any) -> AttemptResult:
        """The outcome of a complete answer. A missing one is reported by the connection."""


class Attempt:
    """One send of a request to one upstream; the `Exchange` of its connection.

    It is written at most once. It ends exactly once, never within the call that starts it or gives it up.
    """

    __slots__ = (
        "pool",
        "upstream",
        "encode",
        "on_end",
        "terms",
        "deadline",
        "scope_bound",
        "connection",
        "idle_before",
        "written_at",
        "has_ended",
        "withdrawn",
        "stream_end",
    )

    def __init__(
        self,
        pool: Pool,
        upstream: Upstream,
        encode: Callable[[int], Message],
        on_end: Callable[[AttemptResult], None],
        terms: SendTerms,
    ) -> None:
        self.pool = pool
        self.upstream = upstream
        self.encode = encode  # returns the request, given the nanoseconds left
        self.on_end = on_end  # called with its end, and before that with the start of a streamed answer
        self.terms = terms
        self.deadline, self.scope_bound = terms.deadline, terms.scope_bound  # may become stricter
        self.connection: Link | None = None
        self.idle_before: float | None = None  # idle seconds of its reused connection; None: a new one
        self.written_at = 0.0
        self.has_ended = False
        self.withdrawn = False  # given up before its last byte was written
        self.stream_end: AttemptResult | None = None  # once an answer is streamed: its end, if it completes

    def write(self, connection: Link) -> bool:
        """Send the request if that is still wanted and allowed; returns whether the connection was used.

        The check enforces drains, cancellations, deadlines and the windows of keys. During the connect the
        request may have been answered elsewhere, lost its client or passed its deadline, and the upstream may
        have begun to drain. Where the fleet agrees on rules, the process may also have been paused since the
        decision.
        """
        if self.has_ended:
            return False
        now = self.pool.clock.monotonic_ns()
        proven = self.upstream.continuity.is_proven(connection)
        reason = self._reason_not_to_send(now, proven)
        if reason is not None:
            self.pool.ledger.occurrences.withheld[reason] += 1
            # Not within this call: the caller of `Pool.start` does not have the attempt yet.
            self.pool.loop.call_soon(self.finish, AttemptResult(Outcome.NOT_SENT))
            return False
        self.connection, self.written_at = connection, self.pool.loop.time()
        self.idle_before = self.written_at - connection.idle_since if connection.used else None
        if not proven:
            self.terms.on_uncertain()
        message = self.encode(self.deadline - now)
        if isinstance(message, StreamedMessage):
            self.pool.limit_sending(connection)
        connection.send(message, self)
        if self.terms.begin_by and connection.unwritten:
            self.pool.loop.call_later((self.terms.begin_by - now) / 1e9, self._withdraw_if_unsent)
        return True

    def _reason_not_to_send(self, now: int, proven: bool) -> WithheldReason | None:
        """Why the attempt may not be written now; None: it may. The only place that decides this.

        `proven`: the connection leads to the listed process. If not, the repeat of a key is withheld, as the
        process there may not know it. The client is checked last, as that costs a system call.
        """
        gate = self.pool.gate
        if gate is not None and gate.rules_stamp() != self.terms.stamp:
            return WithheldReason.RULES_CHANGED
        if self.deadline <= now:
            return WithheldReason.NO_TIME
        if not self.upstream.open_to_new:
            return WithheldReason.UPSTREAM_CLOSED
        if 0 < self.terms.begin_by < now:
            return WithheldReason.KEY_WINDOW_OVER
        if self.scope_bound and not proven:
            return WithheldReason.PROCESS_UNCERTAIN
        return None if self.terms.client_waits() else WithheldReason.CLIENT_GONE

    def _withdraw_if_unsent(self) -> None:
        """Withdraw a request that is not fully written when the window of its key ends.

        It would be complete at the upstream only later, when the key may be forgotten there. A partly written
        request cannot have run.
        """
        if not self.has_ended and not self.fully_written() and self.connection is not None:
            self.connection.close()
            self.finish(AttemptResult(Outcome.NOT_SENT))

    def fully_written(self) -> bool:
        """Whether the kernel has all of it; if not, it cannot run yet and may still be withdrawn."""
        return self.connection is not None and not self.connection.unwritten

    def give_up(self, outcome: Outcome) -> None:
        """End it without an answer and close its connection; if it was never written, as NOT_SENT.

        A time-out before its last byte is written ends it like a connection that breaks then: it cannot run.
        """
        if self.has_ended:
            return
        if self.connection is None:
            outcome = Outcome.NOT_SENT
        else:
            self.withdrawn = not self.fully_written()
            self.connection.close()
            if outcome is Outcome.TIMEOUT:
                self.pool.close_idle_since(self.upstream, self.written_at)
                outcome = Outcome.CONNECT_FAILED if self.withdrawn else outcome
        self.has_ended = True
        self.pool.loop.call_soon(self.on_end, AttemptResult(outcome))

    def may_have_run(self) -> bool:
        """Whether the upstream may have begun it, if its outcome does not prove the contrary."""
        return self.connection is not None and not self.withdrawn

    def finish(self, end: AttemptResult) -> None:
        """Report how it ended, unless it has ended before."""
        if not self.has_ended:
            self.has_ended = True
            self.on_end(end)

    def request_written(self) -> None:
        """Count a request that is fully written."""
        self.pool.ledger.attempts += 1

    def began(self, answer: Any) -> None:
        """Report the start of a streamed answer, or the end if the answer is an error."""
        end = self.pool.carrier.result(answer)
        if end.outcome is not Outcome.OK:  # an error: the rest of its answer is not needed
            if self.connection is not None:
                self.connection.close()
            self.finish(end)
        elif not self.has_ended:
            self.stream_end = AttemptResult(
                end.outcome, end.report
            )  # without the answer, so that it is not kept here
            self.on_end(AttemptResult(end.outcome, end.report, answer, more_follows=True))

    def answered(self, answer: Any) -> None:
        """Report the end of an attempt whose answer is complete."""
        if self.idle_before is not None:
            self.pool.staleness.record_reuse(self.idle_before, False)
        self.finish(self.stream_end or self.pool.carrier.result(answer))

    def broken(self, written: bool) -> None:
        """Report the end of an attempt whose connection broke; if not fully written, it cannot have run."""
        if self.idle_before is not None and self.connection is not None:
            self.pool.staleness.record_reuse(self.idle_before, not self.connection.fed)
        self.finish(AttemptResult(Outcome.RESET if written else Outcome.CONNECT_FAILED))


class Pool:
    """The connections to all upstreams; there are never more than `limit` in total."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        carrier: Carrier,
        limit: int,
        connect_timeout: float,
        keepalive: float,
        ledger: Ledger | None = None,
        socket_buffer: int = 0,
    ) -> None:
        """`socket_buffer`: bytes that the kernel may hold of a long body each way; 0: its default."""
        self.loop = loop
        self.socket_buffer = socket_buffer
        self.ledger = ledger or Ledger()
        self.clock = clock
        self.carrier = carrier
        self.limit = limit
        self.take_timeouts(connect_timeout, keepalive)
        self.upstreams: dict[int, Upstream] = {}
        self.banned: set[int] = set()  # by operators
        self.gate: Gate | None = None  # set where the fleet agrees on its rules
        self.staleness = Staleness()
        self.interrupted: set[ProcessContinuity[Link]] = set()  # of processes that may have ended
        self.continuities: dict[Address, ProcessContinuity[Link]] = {}
        self.open = 0
        self.connecting: set[asyncio.Task[None]] = set()
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def limit_sending(self, connection: Link) -> None:
        """Bound what the kernel holds of a long request."""
        if self.socket_buffer and connection.transport is not None:
            self.clock.limit_sending(connection.transport, self.socket_buffer)

    def take_timeouts(self, connect_timeout: float, keepalive: float) -> None:
        """Use these seconds from now on; `keepalive`: until an upstream closes an idle connection."""
        self.connect_timeout = connect_timeout
        self.keepalive = keepalive * KEEPALIVE_SHARE

    # ---- changes of the list of upstreams ----

    def put(self, number: int, address: Address, started: int, ready: bool) -> None:
        """Add or update an upstream; a changed address or start time means another process."""
        known = self.upstreams.get(number)
        if known is None or (known.address, known.started) != (address, started):
            self.drop(number)
            known = self.upstreams[number] = Upstream(address, started, ready)
            known.continuity = self.continuities.setdefault(address, known.continuity)
        known.continuity.listed(number, started)
        known.listed_ready = ready
        self._update_open_to_new(number)

    def ban(self, number: int, out: bool) -> None:
        """Set or lift a ban; it withdraws attempts that wait for a connection and closes idle connections."""
        (self.banned.add if out else self.banned.discard)(number)
        self._update_open_to_new(number)

    def _update_open_to_new(self, number: int) -> None:
        known = self.upstreams.get(number)
        if known is not None:
            known.open_to_new = known.listed_ready and number not in self.banned
            if not known.open_to_new:
                self._close_idle(known)

    def drop(self, number: int) -> None:
        """Remove an upstream and close its idle connections; attempts that are written go on."""
        known = self.upstreams.pop(number, None)
        if known is not None:
            known.open_to_new = False
            self._close_idle(known)
            self._report_uncertain(known.continuity.unlisted(self.clock.monotonic_ns()))

    def list_received(self) -> None:
        """Discovery has answered, and all changes that it told of have been made."""
        now = self.clock.monotonic_ns()
        for continuity in self.interrupted:
            continuity.listed_again(now)
        self.interrupted = {one for one in self.interrupted if one.interrupted}
        if len(self.continuities) > KEPT_ADDRESSES_FACTOR * len(self.upstreams):
            listed = {upstream.address for upstream in self.upstreams.values()}
            self.continuities = {
                address: one for address, one in self.continuities.items() if one.in_use or address in listed
            }

    # ---- attempts ----

    def start(
        self,
        number: int,
        encode: Callable[[int], Message],
        on_end: Callable[[AttemptResult], None],
        terms: SendTerms,
    ) -> Attempt:
        """Start an attempt, on an idle connection or on a new one; `on_end` gets its end."""
        upstream = self.upstreams.get(number) or Upstream(("", 0), 0, listed_ready=False)
        attempt = Attempt(self, upstream, encode, on_end, terms)
        if not upstream.open_to_new:
            self.loop.call_soon(attempt.finish, AttemptResult(Outcome.NOT_SENT))
            return attempt
        connection = self._take_idle_connection(upstream)
        if connection is not None:
            if not attempt.write(connection):
                upstream.idle.append(connection)
        elif self._make_room():
            self.open += 1
            task = self.loop.create_task(self._connect(attempt))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)
        else:
            self.loop.call_soon(attempt.finish, AttemptResult(Outcome.CONNECT_FAILED))
        return attempt

    def _take_idle_connection(self, upstream: Upstream) -> Link | None:
        while upstream.idle:
            connection = self._pop_least_risky(upstream.idle)
            idle = self.loop.time() - connection.idle_since
            if idle < self.keepalive and self.staleness.may_reuse(idle) and connection.alive():
                return connection
            connection.close()
        return None

    def _pop_least_risky(self, idle: list[Link]) -> Link:
        """The last used of those idle for DUPLICATE_ANSWER_WINDOW_S or longer, else the last used of all.

        An upstream may answer a request twice, the second time some milliseconds later. On a connection that
        is in use again by then, the duplicate would be taken for the answer to the next request.
        """
        idle_before = self.loop.time() - DUPLICATE_ANSWER_WINDOW_S
        found = next((n for n in range(len(idle) - 1, -1, -1) if idle[n].idle_since <= idle_before), -1)
        return idle.pop(found)

    def _make_room(self) -> bool:
        if self.open < self.limit:
            return True
        most_idle = max(self.upstreams.values(), key=lambda u: len(u.idle), default=None)
        if most_idle is None or not most_idle.idle:
            return False
        most_idle.idle.pop(0).close()  # its descriptor is free before the new connection is open
        return True

    async def _connect(self, attempt: Attempt) -> None:
        upstream, counted = attempt.upstream, True

        def release() -> None:
            """Count the connection out once: a connect abandoned as it completes ends in both ways below."""
            nonlocal counted
            self.open -= counted
            counted = False

        def on_idle(connection: Link) -> None:
            if upstream.open_to_new:
                upstream.idle.append(connection)
            else:
                connection.close()

        def on_lost(connection: Link) -> None:
            release()
            if connection in upstream.idle:
                upstream.idle.remove(connection)
            now = self.clock.monotonic_ns()
            self._report_uncertain(upstream.continuity.lost(connection, now, connection.closed_by_peer))
            self._note_interruption(upstream)

        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await self.loop.create_connection(
                    lambda: self.carrier.connection(on_idle, on_lost), *upstream.address
                )
        except Exception as exc:
            if not isinstance(exc, OSError):  # a TimeoutError is one
                log.exception(
                    "unexpected error while connecting to an upstream",
                    extra={"event": "upstream.connect-failed"},
                )
            release()
            if isinstance(exc, ConnectionRefusedError | ConnectionResetError):
                self._report_uncertain(upstream.continuity.refused(self.clock.monotonic_ns()))
                self._note_interruption(upstream)
            attempt.finish(AttemptResult(Outcome.CONNECT_FAILED))
            return
        if self.socket_buffer and connection.transport is not None:
            self.clock.limit_receiving(connection.transport, self.socket_buffer)
        now = self.clock.monotonic_ns()
        self._report_uncertain(upstream.continuity.opened(connection, now, Link.is_open))
        self._note_interruption(upstream)
        if not connection.alive():  # already broken: a request written to it might still have run
            connection.close()
            attempt.finish(AttemptResult(Outcome.CONNECT_FAILED))
        elif not attempt.write(connection):
            on_idle(connection)

    @staticmethod
    def _report_uncertain(doubted: list[Link]) -> None:
        """Report the attempts under way on connections that may lead to another process after all."""
        for connection in doubted:
            if isinstance(connection.exchange, Attempt):
                connection.exchange.terms.on_uncertain()

    def _note_interruption(self, upstream: Upstream) -> None:
        """Keep `interrupted` up to date after an event of a connection to this upstream."""
        if not upstream.continuity.interrupted:
            self.interrupted.discard(upstream.continuity)
        elif upstream.continuity not in self.interrupted:
            self.interrupted.add(upstream.continuity)
            if upstream.open_to_new:
                log.info(
                    "the process at %s:%d may have ended: its keyed requests are not repeated",
                    *upstream.address,
                    extra={"event": "upstream.uncertain", "fields": {"upstream": "%s:%d" % upstream.address}},
                )

    # ---- upkeep ----

    def close_idle_since(self, upstream: Upstream, since: float) -> None:
        """Close idle connections last used at or before `since`, when an attempt written then has timed out.

        The machine may have vanished: on an old connection the next request would only time out, and might
        have run, whereas a failed connect proves that it never ran.
        """
        for connection in [c for c in upstream.idle if c.idle_since <= since]:
            upstream.idle.remove(connection)
            connection.close()

    def _close_idle(self, upstream: Upstream) -> None:
        for connection in upstream.idle[:]:
            connection.close()
        upstream.idle.clear()

    def sweep(self) -> None:
        """Close connections that have been idle for too long; runs every SWEEP_INTERVAL_S seconds."""
        self.staleness.decay()
        stale = self.loop.time() - self.keepalive
        for upstream in self.upstreams.values():
            for connection in [c for c in upstream.idle if c.idle_since <= stale]:
                upstream.idle.remove(connection)
                connection.close()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

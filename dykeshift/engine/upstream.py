"""Connections to the upstreams, and how one attempt on them ends; what is spoken on them is a carrier's."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from dykeshift.clock import Clock
from dykeshift.interface import LoadReport, Outcome
from dykeshift.engine.bodies import Message
from dykeshift.engine.config import Address
from dykeshift.engine.invariants import KeptBack
from dykeshift.engine.ledger import Ledger
from dykeshift.engine.link import Link
from dykeshift.engine.terms import Asked

log = logging.getLogger(__name__)

KEEPALIVE_SHARE = (
    0.8  # of the keepalive: a connection idle for longer is closed, well before the upstream does it
)
DUPLICATE_ANSWER_WINDOW_S = (
    0.01  # seconds without use after which a second answer to the last request has come, if ever
)
SWEEP_INTERVAL_S = 0.5  # seconds between two looks for such connections
MAX_BREAK_RATE, PRIOR_REUSES = (
    0.15,
    10,
)  # part of the reuses, and of so many more, that may break at some idle time
DECAY = 0.9  # what is left of those counts after each look


@dataclass(slots=True, eq=False)
class Upstream:
    """One process of an upstream: a restart makes a new one, and no attempt moves between them."""

    address: Address
    started: int
    listed_ready: bool
    open_to_new: bool = False  # neither draining, gone, replaced nor out by hand
    idle: list[Link] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class End:
    outcome: Outcome
    report: LoadReport | None = None
    answer: Any = None  # where it is served: what the front hands to its client
    more: bool = False  # this is its beginning: the end follows


class Gate(Protocol):
    """Whether the rules that something was decided by are still in force."""

    def look(self) -> int:
        """A stamp that is another once other rules are. It asks this process's own clock, at every call."""


class Carrier(Protocol):
    """A protocol towards upstreams: opens its connections and knows what an answer on one proves."""

    def connection(self, on_idle: Callable[[Any], None], on_lost: Callable[[Any], None]) -> Link: ...

    def words(self, asked: Asked) -> Callable[[int], Message]:
        """How a request is put to an upstream that may take so many nanoseconds."""

    def end(self, answer: Any) -> End:
        """What a whole answer means. That none came is told by the connection itself."""


class Attempt:
    """Written at most once; ends once, never within the call that starts it or gives it up."""

    __slots__ = (
        "pool",
        "upstream",
        "message",
        "until",
        "begin_by",
        "ended",
        "connection",
        "idle_before",
        "written_at",
        "over",
        "stream_end",
        "stamp",
        "wanted",
    )

    def __init__(
        self,
        pool: Pool,
        upstream: Upstream,
        message: Callable[[int], Message],
        until: int,
        ended: Callable[[End], None],
        begin_by: int,
        stamp: int,
        wanted: Callable[[], bool],
    ) -> None:
        self.pool = pool
        self.upstream = upstream
        self.message = message  # the request, told how many nanoseconds are left
        self.until = until
        self.begin_by = begin_by
        self.stamp = stamp  # of the rules that it was decided by
        self.wanted = wanted  # whether anybody still waits for it
        self.ended = ended
        self.connection: Link | None = None
        self.idle_before: float | None = (
            None  # seconds that its connection had not been used; None: a new one
        )
        self.written_at = 0.0
        self.over = False
        self.stream_end: End | None = None  # a long answer has; what will be its end, if it comes whole

    def write(self, connection: Link) -> bool:
        """Send it, unless that is no longer wanted or allowed; says whether the connection was used.

        Protects the drain rule, cancels, deadlines and the windows of keys: while a connect was waited
        for, the request may have been answered elsewhere, been left by its client or run out of time, and
        the upstream may have begun to drain. Where the fleet agrees on rules, the process may have stood
        still since it decided.
        """
        if self.over:
            return False
        now = self.pool.clock.monotonic_ns()
        reason = self._reason_not_to_send(now)
        if reason is not None:
            self.pool.ledger.occurrences.kept_back[reason] += 1
            # Later, not now: whoever starts the attempt does not have it yet and could not place its end.
            self.pool.loop.call_soon(self.finish, End(Outcome.NOT_SENT))
            return False
        self.connection, self.written_at = connection, self.pool.loop.time()
        self.idle_before = self.written_at - connection.idle_since if connection.used else None
        connection.send(self.message(self.until - now), self)
        if self.begin_by and connection.unwritten:
            self.pool.loop.call_later((self.begin_by - now) / 1e9, self._withdraw_if_unsent)
        return True

    def _reason_not_to_send(self, now: int) -> KeptBack | None:
        """Why it may not begin at this instant; None: it may. The one place that decides it.

        The client is asked last: that costs a system call.
        """
        gate = self.pool.gate
        if gate is not None and gate.look() != self.stamp:
            return KeptBack.RULES_CHANGED
        if self.until <= now:
            return KeptBack.NO_TIME
        if not self.upstream.open_to_new:
            return KeptBack.UPSTREAM_CLOSED
        if 0 < self.begin_by < now:
            return KeptBack.KEY_WINDOW_OVER
        return None if self.wanted() else KeptBack.CLIENT_GONE

    def _withdraw_if_unsent(self) -> None:
        """Protects the windows of keys: what is not whole at an upstream by then would be later, where its
        key may be forgotten. It can't have run."""
        if not self.over and not self.fully_written() and self.connection is not None:
            self.connection.close()
            self.finish(End(Outcome.NOT_SENT))

    def fully_written(self) -> bool:
        """Whether all of it has been handed over: what has not can't run, and may still be kept back."""
        return self.connection is not None and not self.connection.unwritten

    def give_up(self, outcome: Outcome) -> None:
        if self.over:
            return
        if self.connection is None:
            outcome = Outcome.NOT_SENT
        else:
            self.connection.close()
            if outcome is Outcome.TIMEOUT:
                self.pool.close_idle_since(self.upstream, self.written_at)
        self.over = True
        self.pool.loop.call_soon(self.ended, End(outcome))

    def finish(self, end: End) -> None:
        if not self.over:
            self.over = True
            self.ended(end)

    def whole(self) -> None:
        self.pool.ledger.attempts += 1

    def began(self, answer: Any) -> None:
        end = self.pool.carrier.end(answer)
        if end.outcome is not Outcome.OK:  # what is long about it is of no use to anybody
            if self.connection is not None:
                self.connection.close()
            self.finish(end)
        elif not self.over:
            self.stream_end = End(end.outcome, end.report)  # without the answer, which nobody here keeps
            self.ended(End(end.outcome, end.report, answer, more=True))

    def answered(self, answer: Any) -> None:
        if self.idle_before is not None:
            self.pool.staleness.record_reuse(self.idle_before, False)
        self.finish(self.stream_end or self.pool.carrier.end(answer))

    def broken(self, written: bool) -> None:
        if self.idle_before is not None and self.connection is not None:
            self.pool.staleness.record_reuse(self.idle_before, not self.connection.fed)
        self.finish(End(Outcome.RESET if written else Outcome.CONNECT_FAILED))


class Staleness:
    """After which time without use connections turn out dead, by powers of two of a millisecond.

    Protects against upstreams, or what stands before them, that forget idle connections long before
    the time they state: a request written to one ends as a reset, which an unsafe one does not survive.
    """

    def __init__(self) -> None:
        self.reuses, self.broken = [0.0] * 20, [0.0] * 20

    @staticmethod
    def _bucket(idle: float) -> int:
        return min(int(idle * 1000).bit_length(), 19)

    def record_reuse(self, idle: float, broke: bool) -> None:
        bucket = self._bucket(idle)
        self.reuses[bucket] += 1
        self.broken[bucket] += broke

    def may_reuse(self, idle_s: float) -> bool:
        # Doubt: some connections break at any age, and a new one has its price too.
        return all(
            self.broken[n] < MAX_BREAK_RATE * (self.reuses[n] + PRIOR_REUSES)
            for n in range(self._bucket(idle_s) + 1)
        )

    def decay(self) -> None:
        """What is not reused shows no more whether it would break: tried again after some seconds."""
        for counts in (self.reuses, self.broken):
            counts[:] = [count * DECAY for count in counts]


class Pool:
    """Bounded: all connections together never exceed `limit`, whatever is asked for."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        carrier: Carrier,
        limit: int,
        connect_timeout: float,
        keepalive: float,
        ledger: Ledger | None = None,
    ) -> None:
        self.loop = loop
        self.ledger = ledger or Ledger()
        self.clock = clock
        self.carrier = carrier
        self.limit = limit
        self.connect_timeout = connect_timeout
        self.keepalive = keepalive * KEEPALIVE_SHARE
        self.upstreams: dict[int, Upstream] = {}
        self.banned: set[int] = set()  # out by hand
        self.gate: Gate | None = None  # where the fleet agrees on its rules
        self.staleness = Staleness()
        self.open = 0
        self.connecting: set[asyncio.Task[None]] = set()
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    # ---- what discovery tells ----

    def put(self, number: int, address: Address, started: int, ready: bool) -> None:
        known = self.upstreams.get(number)
        if known is None or (known.address, known.started) != (address, started):
            self.drop(number)
            known = self.upstreams[number] = Upstream(address, started, ready)
        known.listed_ready = ready
        self._update_open_to_new(number)

    def ban(self, number: int, out: bool) -> None:
        """By hand: what waits for a connection to it is taken back, kept connections are closed."""
        (self.banned.add if out else self.banned.discard)(number)
        self._update_open_to_new(number)

    def _update_open_to_new(self, number: int) -> None:
        known = self.upstreams.get(number)
        if known is not None:
            known.open_to_new = known.listed_ready and number not in self.banned
            if not known.open_to_new:
                self._close_idle(known)

    def drop(self, number: int) -> None:
        known = self.upstreams.pop(number, None)
        if known is not None:
            known.open_to_new = False
            self._close_idle(known)

    # ---- attempts ----

    def start(
        self,
        number: int,
        message: Callable[[int], Message],
        until: int,
        ended: Callable[[End], None],
        begin_by: int = 0,
        stamp: int = 0,
        wanted: Callable[[], bool] = lambda: True,
    ) -> Attempt:
        """`stamp`: of the rules that it was decided by, where there is a gate.

        `wanted` is asked as its first byte is about to go out.
        """
        upstream = self.upstreams.get(number) or Upstream(("", 0), 0, listed_ready=False)
        attempt = Attempt(self, upstream, message, until, ended, begin_by, stamp, wanted)
        if not upstream.open_to_new:
            self.loop.call_soon(attempt.finish, End(Outcome.NOT_SENT))
            return attempt
        connection = self._take_idle_connection(upstream)
        if connection is not None:
            if not attempt.write(connection):
                upstream.idle.append(connection)
        elif self._room():
            self.open += 1
            task = self.loop.create_task(self._connect(attempt))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)
        else:
            self.loop.call_soon(attempt.finish, End(Outcome.CONNECT_FAILED))
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
        """The latest used of those that have rested, else the latest used.

        Protects against an upstream that answers a request twice, the second time some milliseconds later:
        on a connection in use again by then it would be taken for the answer to the next request.
        """
        rested = self.loop.time() - DUPLICATE_ANSWER_WINDOW_S
        found = next((n for n in range(len(idle) - 1, -1, -1) if idle[n].idle_since <= rested), -1)
        return idle.pop(found)

    def _room(self) -> bool:
        if self.open < self.limit:
            return True
        most_idle = max(self.upstreams.values(), key=lambda u: len(u.idle), default=None)
        if most_idle is None or not most_idle.idle:
            return False
        most_idle.idle.pop(0).close()  # its descriptor is free before the new connection comes up
        return True

    async def _connect(self, attempt: Attempt) -> None:
        upstream, counted = attempt.upstream, True

        def release() -> None:
            """Protects the limit: a connect that is given up as it comes up may end in both ways below."""
            nonlocal counted
            self.open -= counted
            counted = False

        def idle(connection: Link) -> None:
            if upstream.open_to_new:
                upstream.idle.append(connection)
            else:
                connection.close()

        def lost(connection: Link) -> None:
            release()
            if connection in upstream.idle:
                upstream.idle.remove(connection)

        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await self.loop.create_connection(
                    lambda: self.carrier.connection(idle, lost), *upstream.address
                )
        except Exception as exc:
            if not isinstance(exc, OSError):  # a TimeoutError is one
                log.exception("a connect failed", extra={"event": "upstream.connect-failed"})
            release()
            attempt.finish(End(Outcome.CONNECT_FAILED))
            return
        if not connection.alive():  # came up and broke at once: a request written to it might have run
            connection.close()
            attempt.finish(End(Outcome.CONNECT_FAILED))
        elif not attempt.write(connection):
            idle(connection)

    # ---- upkeep ----

    def close_idle_since(self, upstream: Upstream, since: float) -> None:
        """An attempt had no answer: drop the connections that have been silent as long.

        Protects against a machine that vanished: on a connection from before, a request only times
        out, and may have run; a new connect that does not come up proves that the next one never ran.
        """
        for connection in [c for c in upstream.idle if c.idle_since <= since]:
            upstream.idle.remove(connection)
            connection.close()

    def _close_idle(self, upstream: Upstream) -> None:
        for connection in upstream.idle[:]:
            connection.close()
        upstream.idle.clear()

    def sweep(self) -> None:
        self.staleness.decay()
        stale = self.loop.time() - self.keepalive
        for upstream in self.upstreams.values():
            for connection in [c for c in upstream.idle if c.idle_since <= stale]:
                upstream.idle.remove(connection)
                connection.close()
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

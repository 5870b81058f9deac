"""Between the sockets and the decision module: tells it what happens and does what it says, nothing else.

It knows no protocol. A front submits an `Asked` and gets one `Final`; the pool carries what is to be sent and
says how each attempt ended (upstream.py). Both speak in terms of interface.py.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from dykeshift.clock import Clock
from dykeshift.interface import (
    Action,
    AttemptEnd,
    CallEnd,
    Cancel,
    Fail,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Watch,
    Word,
)
from dykeshift.engine.invariants import Invariant, Stage
from dykeshift.engine.ledger import Tier
from dykeshift.engine.tenants import Listed, Tenants
from dykeshift.engine.termination import Termination
from dykeshift.engine.terms import FAILED, LATE, Asked, Final, How
from dykeshift.engine.upstream import Attempt, End, Pool
from dykeshift.rules import Balancer
from dykeshift.settings import narrower

log = logging.getLogger(__name__)

# What is kept of the client's time for the way back: an answer that comes as it gives up is none.
RESPONSE_RESERVE_NS = 5_000_000
UPLOAD_TIMEOUT_NS = (
    3600_000_000_000  # nanoseconds that a request which goes out early may take to become whole
)
EARLY = 0.0005  # seconds by which a loop that counts in whole milliseconds may fire a timer too soon
EVER = 16_384  # ids that were listed are remembered so: under 2 MB, however long they churn
TIMER_RETRY = 1.0  # seconds until a timer that the module failed in is told again


@dataclass(slots=True, eq=False)
class Job:
    """A request until it is answered and all its attempts have come back."""

    incoming: Asked
    tier: Tier
    deadline: int
    reply: Callable[[Final], None]
    attempts: list[Attempt | None] = field(default_factory=list)  # None: has come back
    sent: list[int] = field(default_factory=list)
    in_flight: int = 0
    stage: Stage = Stage.WAITING
    stream_started_at: int = 0  # when the long answer that its client is getting began
    streaming: Attempt | None = None  # what brings that answer
    guard: asyncio.TimerHandle | None = None
    client_has_left: Callable[[], bool] = lambda: False  # whether its client has left, be that read or not

    @property
    def closed(self) -> bool:
        """Whether it is answered to the end, or its client has gone."""
        return self.stage is Stage.OVER


class Driver:
    """Takes requests from the fronts and keeps them until they are answered and their attempts are back."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        balancer: Balancer,
        pool: Pool,
        watch: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.balancer = balancer
        self.pool = pool
        self.watch = watch
        self.ledger = pool.ledger
        self.tiers = [self.ledger.tier(c.name) for c in balancer.settings.classes]
        self.kept_places: set[int] = set()  # of classes that a front names for as long as it runs
        self.jobs: dict[str, Job] = {}
        self.tenants = Tenants()
        self.ready: set[int] = set()  # upstreams that the list held shows as running
        self.listed_ever: dict[int, None] = {}  # ids, the latest told last; no more than EVER
        self.informed = False  # discovery has spoken in this life
        self.waits: Callable[[], bool] = lambda: False  # a feature wants no clients yet
        self.termination = Termination(self.ledger.occurrences)
        self.termination.settings_in_force(clock.monotonic_ns(), balancer.settings.classes)

    # ---- events ----

    def take_settings(self, new: Settings, narrow: bool = False) -> Settings:
        """Others from now on; returns them with their classes at the places that the module gave them.

        Requests under way keep their terms; with `narrow` only what the new ones allow of them, too.
        """
        # A request that the module has not seen yet is among the jobs: what it waits for may be this change.
        held = self.kept_places.union(job.incoming.klass for job in self.jobs.values())
        self._deliver_event(self.balancer.on_settings, new, narrower if narrow else None, held)
        placed = self.balancer.settings
        self.tiers = [self.ledger.tier(c.name) for c in placed.classes]
        if self.termination.settings_in_force(self.clock.monotonic_ns(), new.classes):
            self._shorten_deadlines()
        return placed

    def terminate(self) -> None:
        """The process is told to end: all that is open, and all that comes, is answered in its time."""
        if self.termination.begin(self.clock.monotonic_ns()):
            self._shorten_deadlines()

    def _shorten_deadlines(self) -> None:
        """Requests that are open keep only what the process's end leaves of their time."""
        answer_by = self.termination.answer_by
        for job in self.jobs.values():
            if job.closed or job.deadline <= answer_by:
                continue
            job.deadline = answer_by
            self._set_deadline_timer(job)
            for attempt in job.attempts:
                if attempt is not None:
                    attempt.until = min(attempt.until, answer_by)
        self._deliver_event(self.balancer.on_termination, answer_by)

    def take_word(self, word: Word) -> None:
        """What the fleet has agreed on beside the settings, from now on."""
        self._deliver_event(self.balancer.on_word, word)

    def start(self) -> None:
        """The first event of the module."""
        self._deliver_event(self.balancer.on_start)

    def submit(
        self,
        incoming: Asked,
        arrived: int,
        reply: Callable[[Final], None],
        gone: Callable[[], bool] = lambda: False,
    ) -> None:
        """Take a request; `reply` is called exactly once, unless the client goes first.

        `gone` is asked before each attempt: whether its client has left and nobody has come to read that yet.
        """
        deadline = self.termination.limit(
            arrived + (UPLOAD_TIMEOUT_NS if incoming.early else incoming.patience - RESPONSE_RESERVE_NS)
        )
        tier = self.tiers[incoming.klass]
        tier.taken += 1
        job = self.jobs[incoming.id] = Job(incoming, tier, deadline, reply, client_has_left=gone)
        self._set_deadline_timer(job)
        request = Request(
            id=incoming.id,
            klass=incoming.klass,
            deadline=deadline,
            cost_hint=incoming.cost_hint,
            retry=incoming.retry,
            attempts=1 if incoming.early else 0,
        )
        self._deliver_event(self.balancer.on_request, request, job=job)

    def _set_deadline_timer(self, job: Job) -> None:
        """Watch over its deadline, in place of an earlier one."""
        if job.guard is not None:
            job.guard.cancel()
        left = job.deadline - self.clock.monotonic_ns()
        # Rounded up: a timer that fires early would let the module begin once more in the last instant.
        job.guard = self.loop.call_later(max(0, left) / 1e9 + 0.001, self._expire, job)

    def whole(self, request_id: str, arrived: int) -> None:
        """The last byte of a request that went out early has come: its time, and its attempt's, begins."""
        job = self.jobs.get(request_id)
        if job is not None and job.stage.may_be_answered:
            job.deadline = self.termination.limit(
                arrived + max(0, job.incoming.patience - RESPONSE_RESERVE_NS)
            )
            job.sent = [max(sent, arrived) for sent in job.sent]
            self._set_deadline_timer(job)

    def client_gone(self, request_id: str) -> None:
        """The client of a request has left; one that is answered already is passed over."""
        job = self.jobs.get(request_id)
        if job is not None and not job.closed:
            job.stage = Stage.OVER
            job.tier.end(None)
            self._keep_back(job)
            self._deliver_event(self.balancer.on_client_gone, request_id, job=job)
            if job.streaming is not None:  # there is nowhere to pass it on to, may it be called off or not
                job.streaming.give_up(Outcome.CANCELLED)
            self._forget(job)

    def apply(self, kind: ListKind, listed: list[Listed]) -> bool:
        """Take over a list. Addresses first: what the module decides on it already goes by them.

        False: the module failed over it and may hold only part of it.
        """
        self.informed = self.informed or kind is not ListKind.CACHED
        listed = self.tenants.settle(kind is not ListKind.DELTA, listed)
        if kind is not ListKind.DELTA:
            for number in set(self.pool.upstreams) - {one.entry.id for one in listed}:
                self._remove(number)
        for one in listed:
            self.note_listed(one.entry.id)
        for one in listed:
            entry = one.entry
            if entry.state is ServerState.GONE:
                self._remove(entry.id)
                continue
            ready = entry.state is ServerState.READY
            self.pool.put(entry.id, one.address, entry.started, ready)
            (self.ready.add if ready else self.ready.discard)(entry.id)
        return self._deliver_event(
            self.balancer.on_list, ServerList(kind, tuple(one.entry for one in listed))
        )

    def discovery_failed(self, end: CallEnd) -> None:
        """A call for the list has ended without one."""
        if not self._deliver_event(self.balancer.on_list, ServerList(ListKind.FAILED, end=end)):
            self.loop.call_later(TIMER_RETRY, self.discovery_failed, end)  # or nobody would ask again

    def discovery_moved(self) -> None:
        """Another discovery answers from now on."""
        self._deliver_event(self.balancer.on_discovery_moved)

    def note_listed(self, number: int) -> None:
        """Remember that a list showed this upstream, and forget the one that was shown longest ago."""
        self.listed_ever.pop(number, None)
        self.listed_ever[number] = None
        if len(self.listed_ever) > EVER:
            del self.listed_ever[next(iter(self.listed_ever))]

    def was_listed(self, number: int) -> bool:
        """Whether a list ever showed it: all that are listed or banned now, and the latest EVER told of."""
        return number in self.listed_ever or number in self.pool.upstreams or number in self.pool.banned

    def ban(self, number: int, at: int = 0) -> bool:
        """By hand: nothing new to that upstream. False, and nothing changes: it was never listed.

        `at`: when, where it was not now.
        """
        if not self.was_listed(number):
            return False
        self._do(self.balancer.on_ban(at or self.clock.monotonic_ns(), number))
        self.pool.ban(number, out=True)
        return True

    def end_ban(self, number: int, at: int = 0) -> bool:
        """False: it was never listed."""
        if not self.was_listed(number):
            return False
        self.pool.ban(number, out=False)
        self._do(self.balancer.on_ban_end(at or self.clock.monotonic_ns(), number))
        return True

    def _remove(self, number: int) -> None:
        self.pool.drop(number)
        self.ready.discard(number)

    def _expire(self, job: Job) -> None:
        """The client's time is over: what is out has timed out, and the client is told, whatever follows.

        Also for one that is answered: where attempts may not be called off, a copy that never gets an
        answer would stay for good, with its connection.
        """
        if job.deadline == self.termination.answer_by and job.stage.may_be_answered:
            self._log_cut_short(job)
        for attempt in job.attempts:
            if attempt is not None and attempt is not job.streaming:
                attempt.give_up(Outcome.TIMEOUT)
        if job.in_flight:
            # The ends come first: the module knows better whether the answer may be a refusal.
            self.loop.call_soon(self._answer_locally, job, LATE)
        else:
            self._answer_locally(job, LATE)

    def _log_cut_short(self, job: Job) -> None:
        """A request whose client would have waited on, but the process has to end."""
        log.info(
            "request %s: its time is over as the process has to end, %d attempts out",
            job.incoming.id,
            job.in_flight,
            extra={
                "event": "request.cut-short",
                "fields": {"request": job.incoming.id, "attempts": len(job.attempts), "out": job.in_flight},
            },
        )

    def _stream_started(self, job: Job, number: int, end: End) -> None:
        """A long answer has begun: it is the request's, whatever else comes."""
        attempt = job.attempts[number]
        assert attempt is not None
        if not job.stage.may_be_answered:
            attempt.give_up(Outcome.CANCELLED)
        elif not job.incoming.streams:
            attempt.give_up(Outcome.RESET)
        else:
            job.stage, job.streaming, job.stream_started_at = (
                Stage.ANSWERING,
                attempt,
                self.clock.monotonic_ns(),
            )
            self._keep_back(job)
            job.reply(Final(How.SERVED, end.answer))
            self._deliver_event(self.balancer.on_stream_started, job.incoming.id, number)

    def _ended(self, job: Job, number: int, server: int, end: End) -> None:
        if end.more:
            self._stream_started(job, number, end)
            return
        attempt, job.attempts[number] = job.attempts[number], None
        job.in_flight -= 1
        ended_at = self.clock.monotonic_ns()
        if job.streaming is not None and attempt is job.streaming:
            ended_at = (
                job.stream_started_at
            )  # until its first bytes: how fast the rest is read is its client's affair
            job.streaming = None  # a cycle: job and attempt would wait for a collection with all they hold
            if not job.closed:
                job.stage = Stage.OVER
                job.tier.end(How.SERVED if end.outcome is Outcome.OK else How.FAILED)
        elif end.outcome is Outcome.OK and end.answer is not None and job.stage.may_be_answered:
            self._finish(job, Final(How.SERVED, end.answer))
        attempt_end = AttemptEnd(
            job.incoming.id,
            number,
            server,
            end.outcome,
            max(0, ended_at - job.sent[number]),
            job.closed,
            end.report,
        )
        self._deliver_event(self.balancer.on_attempt_end, attempt_end, job=job)
        self._forget(job)

    # ---- the module ----

    def _deliver_event(
        self, method: Callable[..., list[Action]], *args: object, job: Job | None = None
    ) -> bool:
        """One event to the module, and what it wants done.

        Protects every other request from a fault in the module: this one fails, its attempts are
        called off, and what the module had noted so far is carried out, so that its counts stay true.
        Says whether the module did its part.
        """
        gate = self.pool.gate  # before the module decides: it is to know of rules that have run out
        stamp = 0 if gate is None else gate.look()
        try:
            actions = method(self.clock.monotonic_ns(), *args)
        except Exception:
            log.exception(
                "the module failed in %s",
                method.__name__,
                extra={"event": "module.failed", "fields": {"method": method.__name__}},
            )
            if job is not None:
                self._answer_locally(job, FAILED)
            return False
        self._do(actions, stamp)
        return True

    def _timer(self, token: str) -> None:
        """Protects what the module does again and again, its watch among it, from ending with one fault."""
        if not self._deliver_event(self.balancer.on_timer, token):
            self.loop.call_later(TIMER_RETRY, self._timer, token)

    def _do(self, actions: list[Action], stamp: int = 0) -> None:
        """`stamp`: of the rules in force when they were decided, where there is a gate."""
        for action in actions:
            if isinstance(action, Send):
                self._send(action, stamp)
            elif isinstance(action, SetTimer):
                # Never too soon: the module would find nothing due and ask for the same instant again, and
                # the loop would spin until it comes.
                wait = max(0, action.at - self.clock.monotonic_ns()) / 1e9 + EARLY
                self.loop.call_later(wait, self._timer, action.token)
            elif isinstance(action, Cancel):
                self._cancel(action)
            elif isinstance(action, Refuse):
                self._final(action.request_id, Final(How.REFUSED, retry_after=action.retry_after))
            elif isinstance(action, Fail):
                self._final(action.request_id, FAILED)
            elif isinstance(action, Watch):
                self.watch()
            elif isinstance(action, Log):
                log.info("%s", action.text)

    def _send(self, action: Send, stamp: int) -> None:
        job = self.jobs.get(action.request_id)
        if job is None:
            self.ledger.occurrences.violated(Invariant.NO_SEND_AFTER_END, action.request_id)
            return
        number, now = len(job.attempts), self.clock.monotonic_ns()
        until = job.deadline
        if action.timeout and not job.incoming.early:
            until = min(until, now + action.timeout)
        if job.closed:
            until = 0  # nothing more goes out for it, yet the module gets its outcome
        ended = partial(self._ended, job, number, action.server)
        message = self.pool.carrier.words(job.incoming)
        attempt = self.pool.start(
            action.server, message, until, ended, action.begin_by, stamp, partial(self._wanted, job)
        )
        job.attempts.append(attempt)
        job.sent.append(now)
        job.in_flight += 1
        if until < job.deadline and not job.closed:
            self.loop.call_later((until - now) / 1e9, self._attempt_timed_out, job, attempt)

    def _attempt_timed_out(self, job: Job, attempt: Attempt) -> None:
        """Of one attempt, before its request's time is over: what has begun to answer is in time."""
        if attempt is not job.streaming:
            attempt.give_up(Outcome.TIMEOUT)

    def _wanted(self, job: Job) -> bool:
        """Whether anybody waits for it as its first byte is about to go out.

        Protects upstreams from work for nobody: a close may wait unread behind the timer, the answer or the
        connect that led here, or where reading is paused.
        """
        if not job.closed and job.client_has_left():
            self.loop.call_soon(self.client_gone, job.incoming.id)  # ahead of the end: none begins instead
            return False
        return True

    def _cancel(self, action: Cancel) -> None:
        job = self.jobs.get(action.request_id)
        if job is None or action.attempt >= len(job.attempts):
            return
        attempt = job.attempts[action.attempt]
        if attempt is not None:
            attempt.give_up(Outcome.CANCELLED)

    # ---- answers ----

    def _final(self, request_id: str, final: Final) -> None:
        job = self.jobs.get(request_id)
        if job is not None and job.stage.may_be_answered:
            self._finish(job, final)
            self._forget(job)

    def _answer_locally(self, job: Job, final: Final) -> None:
        """An answer that is this program's own: the module is told that the request is over."""
        if not job.stage.may_be_answered:
            return
        self._finish(job, final)
        self._deliver_event(self.balancer.on_client_gone, job.incoming.id, job=job)
        for attempt in job.attempts:
            if attempt is not None:
                attempt.give_up(Outcome.CANCELLED)
        self._forget(job)

    def _finish(self, job: Job, final: Final) -> None:
        """The only place that gives a whole answer; `_began` is the only one that begins a long one."""
        if not job.stage.may_be_answered:
            self.ledger.occurrences.violated(Invariant.ONE_ANSWER, job.incoming.id)
            return
        job.stage = Stage.OVER
        job.tier.end(final.how)
        if self.termination.begun:
            self.termination.answered(self.clock.monotonic_ns(), job.incoming.id)
        self._keep_back(job)
        job.reply(final)

    def answer_all(self) -> None:
        """The process ends: what is open is answered now, and what still comes is refused.

        Answers may go out up to two rounds of the loop later.
        """
        self.termination.finish(self.clock.monotonic_ns())
        self._shorten_deadlines()
        for job in list(self.jobs.values()):
            if job.stage.may_be_answered:
                self._expire(job)

    def close(self) -> None:
        """The process ends: what is still open is counted, and nobody answers it any more."""
        for job in self.jobs.values():
            if job.stage.may_be_answered:
                self.termination.left_open(job.incoming.id)

    def _keep_back(self, job: Job) -> None:
        for attempt in job.attempts:
            if attempt is not None and not attempt.fully_written() and attempt is not job.streaming:
                # That it does not go out is no calling off, which settings may forbid.
                attempt.give_up(Outcome.CANCELLED)

    def _forget(self, job: Job) -> None:
        if job.closed and not job.in_flight:
            self.jobs.pop(job.incoming.id, None)
            if job.guard is not None:
                job.guard.cancel()

"""Connects the I/O layer to the decision module: passes events to it and carries out the actions it returns.

The driver knows no protocol and makes no balancing decisions. A front end submits a `SubmittedRequest` and
gets one `Final`; the connection pool sends the attempts and reports how each one ended (upstream.py). Events
and actions are those of interface.py; the decision module (rules.py) is called "the module" below.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from dykeshift.clock import Clock
from dykeshift.interface import (
    NOT_RUN,
    Action,
    AttemptEnd,
    CallEnd,
    Cancel,
    Fail,
    Idempotency,
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
    FleetAgreement,
)
from dykeshift.engine.invariants import Invariant, Stage
from dykeshift.engine.request_ids import RequestIds
from dykeshift.engine.ledger import ClassCounts
from dykeshift.engine.tenants import Listed, Tenants
from dykeshift.engine.termination import Termination
from dykeshift.engine.terms import FAILED, LATE, SubmittedRequest, Final, FinalStatus
from dykeshift.engine.upstream import Attempt, AttemptResult, Pool, SendTerms
from dykeshift.rules import Balancer
from dykeshift.settings import restrict_repeats

log = logging.getLogger(__name__)

# Nanoseconds of the client's deadline that are reserved for the way back: an answer that reaches the client
# as it gives up is lost.
RESPONSE_RESERVE_NS = 5_000_000
UPLOAD_TIMEOUT_NS = 3600_000_000_000  # for the body of a request that is forwarded while it is being received
TIMER_SLACK_S = 0.0005  # seconds by which an event loop of millisecond resolution may fire a timer early
MAX_REMEMBERED_IDS = 16_384  # most recently listed instance ids to remember: under 2 MB, whatever the churn
DROPPED_IDS_LOGGED = 1000  # of so many ids that were forgotten before their time, one is logged
TIMER_RETRY_S = 1.0  # seconds until a timer event on which the module raised is delivered again


@dataclass(slots=True, eq=False)
class Job:
    """The state of a request until it has been answered and all its attempts have ended."""

    request: SubmittedRequest
    tier: ClassCounts
    deadline: int
    reply: Callable[[Final], None]
    attempts: list[Attempt | None] = field(default_factory=list)  # by number; None: has ended
    sent: list[int] = field(default_factory=list)  # when each attempt was started
    in_flight: int = 0  # attempts that have not ended
    may_have_run: bool = False  # some attempt may have; as far as attempts have ended
    stage: Stage = Stage.WAITING
    stream_started_at: int = 0  # when the first part of a streamed answer arrived
    streaming: Attempt | None = None  # the attempt whose answer is being streamed
    deadline_timer: asyncio.TimerHandle | None = None
    client_has_left: Callable[[], bool] = lambda: False  # also true if the close has not been read yet

    @property
    def closed(self) -> bool:
        """Whether the answer is complete or the client has left."""
        return self.stage is Stage.OVER


class Driver:
    """Tracks the requests of the front ends until they are answered and their attempts have ended."""

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
        self.tiers = [self.ledger.counts_of(c.name) for c in balancer.settings.classes]
        self.reserved_positions: set[int] = (
            set()
        )  # class positions that a front end uses for its whole lifetime
        self.jobs: dict[str, Job] = {}
        self.request_ids = RequestIds()
        self.tenants = Tenants()
        self.ready: set[int] = set()  # upstreams that are ready according to the current list
        self.recently_listed: dict[int, None] = {}  # ids, most recently listed last; bounded
        self.discovery_has_answered = False  # discovery has answered since this process started
        self.must_hold_clients: Callable[[], bool] = (
            lambda: False
        )  # whether a feature is not ready for clients yet
        self.termination = Termination(self.ledger.occurrences)
        self.termination.settings_in_force(clock.monotonic_ns(), balancer.settings.classes)

    # ---- events ----

    def take_settings(self, new: Settings, narrow: bool = False) -> Settings:
        """Apply new settings; returns them with their classes at the positions that the module assigned.

        Open requests keep the terms of their class; with `narrow` they are further restricted to what the new
        settings allow.
        """
        # The jobs may include a request that the module has not seen yet: this change can be applied while
        # the request is on its way to the module, so its class position must not be reused.
        held = self.reserved_positions.union(job.request.klass for job in self.jobs.values())
        self._deliver_event(self.balancer.on_settings, new, restrict_repeats if narrow else None, held)
        placed = self.balancer.settings
        self.tiers = [self.ledger.counts_of(c.name) for c in placed.classes]
        if self.termination.settings_in_force(self.clock.monotonic_ns(), new.classes):
            self._shorten_deadlines()
        return placed

    def terminate(self) -> None:
        """Begin shutdown: limit the deadlines of open and of new requests to the time left to the process."""
        if self.termination.begin(self.clock.monotonic_ns()):
            self._shorten_deadlines()

    def _shorten_deadlines(self) -> None:
        """Limit the deadlines of open requests and of their attempts to the process's shutdown deadline."""
        answer_by = self.termination.answer_by
        for job in self.jobs.values():
            if job.closed or job.deadline <= answer_by:
                continue
            job.deadline = answer_by
            self._set_deadline_timer(job)
            for attempt in job.attempts:
                if attempt is not None:
                    attempt.deadline = min(attempt.deadline, answer_by)
        self._deliver_event(self.balancer.on_termination, answer_by)

    def take_word(self, word: FleetAgreement) -> None:
        """Apply what the fleet has agreed on besides the settings."""
        self._deliver_event(self.balancer.on_fleet_agreement, word)

    def start(self) -> None:
        """Deliver the start event, the first that the module gets."""
        self._deliver_event(self.balancer.on_start)

    def claim_id(self, request: SubmittedRequest) -> bool:
        """Claim the id of a request that is to be submitted; False if one with it may have run lately."""
        if request.id in self.jobs:
            return False
        if not self._must_not_repeat(request):
            return True
        dropped = self.request_ids.dropped
        claimed = self.request_ids.claim(self.clock.monotonic_ns(), request.id)
        if self.request_ids.dropped > dropped and dropped % DROPPED_IDS_LOGGED == 0:
            log.warning(
                "%d ids of requests were forgotten before their time: too many come at once",
                self.request_ids.dropped,
                extra={"event": "ids.dropped", "fields": {"dropped": self.request_ids.dropped}},
            )
        return claimed

    def _must_not_repeat(self, request: SubmittedRequest) -> bool:
        """Whether its id is claimed: it may not simply run once more."""
        return self.balancer.settings.classes[request.klass].idempotency is not Idempotency.SAFE

    def submit(
        self,
        incoming: SubmittedRequest,
        arrived: int,
        reply: Callable[[Final], None],
        gone: Callable[[], bool] = lambda: False,
    ) -> None:
        """Take a request; `reply` is called exactly once, unless the client disconnects first.

        `gone` is called before each attempt is sent. It returns whether the client has disconnected even
        though the event loop has not reported it yet.
        """
        deadline = self.termination.limit(
            arrived + (UPLOAD_TIMEOUT_NS if incoming.early else incoming.client_timeout - RESPONSE_RESERVE_NS)
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
            receiving=incoming.early,
        )
        self._deliver_event(self.balancer.on_request, request, job=job)

    def _set_deadline_timer(self, job: Job) -> None:
        """Start the timer for the request's deadline, replacing an earlier one."""
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        left = job.deadline - self.clock.monotonic_ns()
        # Rounded up: if the timer fired early, the module could start another attempt just before the
        # deadline.
        job.deadline_timer = self.loop.call_later(max(0, left) / 1e9 + 0.001, self._expire, job)

    def request_complete(self, request_id: str, arrived: int) -> None:
        """The body of a request that was forwarded while being received is complete: its deadline starts now.

        The durations of its attempts count from here, too.
        """
        job = self.jobs.get(request_id)
        if job is not None and job.stage.may_be_answered:
            job.deadline = self.termination.limit(
                arrived + max(0, job.request.client_timeout - RESPONSE_RESERVE_NS)
            )
            job.sent = [max(sent, arrived) for sent in job.sent]
            self._set_deadline_timer(job)
            self._deliver_event(self.balancer.on_request_complete, request_id, job=job)

    def limit_upload(self, request_id: str, written_at: int | None) -> None:
        """The client may have written its whole request as early as `written_at`, though it is not read yet.

        Its time runs from there; with None, only once the request is complete.
        """
        job = self.jobs.get(request_id)
        if job is not None and job.request.early and job.stage.may_be_answered:
            start, limit = self.clock.monotonic_ns(), UPLOAD_TIMEOUT_NS
            if written_at is not None:
                start, limit = written_at, job.request.client_timeout - RESPONSE_RESERVE_NS
            job.deadline = self.termination.limit(start + limit)
            self._set_deadline_timer(job)

    def end_upload(self, request_id: str) -> None:
        """Give up a request whose upstream does not read it, and answer as at its deadline."""
        job = self.jobs.get(request_id)
        if job is not None:
            self._expire(job)

    def client_gone(self, request_id: str) -> None:
        """The client of a request has disconnected; ignored if the request has been answered."""
        job = self.jobs.get(request_id)
        if job is not None and not job.closed:
            job.stage = Stage.OVER
            job.tier.end(None)
            self._withdraw_unwritten(job)
            self._deliver_event(self.balancer.on_client_gone, request_id, job=job)
            if job.streaming is not None:  # nobody to stream to, even where settings forbid cancelling
                job.streaming.give_up(Outcome.CANCELLED)
            self._forget(job)

    def apply(self, kind: ListKind, listed: list[Listed]) -> bool:
        """Apply a list of upstreams, to the pool first: the module's actions already need the new addresses.

        Returns False if the module raised on it and may have applied only a part.
        """
        self.discovery_has_answered = self.discovery_has_answered or kind is not ListKind.CACHED
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
        if kind is not ListKind.CACHED:
            self.pool.list_received()
        return self._deliver_event(
            self.balancer.on_list, ServerList(kind, tuple(one.entry for one in listed))
        )

    def discovery_failed(self, end: CallEnd) -> None:
        """A call to discovery has ended without a list."""
        if not self._deliver_event(self.balancer.on_list, ServerList(ListKind.FAILED, end=end)):
            # Without this event the module would not call discovery again.
            self.loop.call_later(TIMER_RETRY_S, self.discovery_failed, end)

    def discovery_address_changed(self) -> None:
        """The address of the discovery service has changed."""
        self._deliver_event(self.balancer.on_discovery_moved)

    def note_listed(self, number: int) -> None:
        """Remember that this upstream was listed; of too many, the one listed longest ago is forgotten."""
        self.recently_listed.pop(number, None)
        self.recently_listed[number] = None
        if len(self.recently_listed) > MAX_REMEMBERED_IDS:
            del self.recently_listed[next(iter(self.recently_listed))]

    def was_listed(self, number: int) -> bool:
        """Whether it is listed or banned now, or among the remembered ones that were listed most recently."""
        return number in self.recently_listed or number in self.pool.upstreams or number in self.pool.banned

    def ban(self, number: int, at: int = 0) -> bool:
        """Send no new requests to an upstream, on an operator's order.

        Returns False, and changes nothing, if it was never listed. `at`: the time of the order, if not now.
        """
        if not self.was_listed(number):
            return False
        self._execute(self.balancer.on_ban(at or self.clock.monotonic_ns(), number))
        self.pool.ban(number, out=True)
        return True

    def end_ban(self, number: int, at: int = 0) -> bool:
        """Returns False if it was never listed. `at`: the time of the order, if not now."""
        if not self.was_listed(number):
            return False
        self.pool.ban(number, out=False)
        self._execute(self.balancer.on_ban_end(at or self.clock.monotonic_ns(), number))
        return True

    def _remove(self, number: int) -> None:
        self.pool.drop(number)
        self.ready.discard(number)

    def _expire(self, job: Job) -> None:
        """The deadline has passed: its attempts in flight time out, and the client is answered in any case.

        This also runs for a request that has been answered: where settings forbid cancelling attempts, a copy
        that never gets an answer would otherwise hold its connection for ever.
        """
        if job.deadline == self.termination.answer_by and job.stage.may_be_answered:
            self._log_cut_short(job)
        for attempt in job.attempts:
            if attempt is not None and attempt is not job.streaming:
                attempt.give_up(Outcome.TIMEOUT)
        if job.in_flight:
            # The ends of the attempts are delivered first: from them the module can tell whether the request
            # may be refused as not executed.
            self.loop.call_soon(self._answer_locally, job, LATE)
        else:
            self._answer_locally(job, LATE)

    def _log_cut_short(self, job: Job) -> None:
        """Log that a request timed out because of the shutdown, before its client's own deadline."""
        log.info(
            "request %s: deadline cut short by the shutdown, %d attempts in flight",
            job.request.id,
            job.in_flight,
            extra={
                "event": "request.cut-short",
                "fields": {"request": job.request.id, "attempts": len(job.attempts), "out": job.in_flight},
            },
        )

    def _stream_started(self, job: Job, number: int, end: AttemptResult) -> None:
        """The first part of a streamed answer has arrived: no other answer to the request counts any more."""
        attempt = job.attempts[number]
        assert attempt is not None
        if not job.stage.may_be_answered:
            attempt.give_up(Outcome.CANCELLED)
        elif not job.request.streams:
            attempt.give_up(Outcome.RESET)
        else:
            job.stage, job.streaming, job.stream_started_at = (
                Stage.ANSWERING,
                attempt,
                self.clock.monotonic_ns(),
            )
            self._withdraw_unwritten(job)
            job.reply(Final(FinalStatus.SERVED, end.answer))
            self._deliver_event(self.balancer.on_stream_started, job.request.id, number)

    def _attempt_ended(self, job: Job, number: int, server: int, end: AttemptResult) -> None:
        if end.more_follows:
            self._stream_started(job, number, end)
            return
        attempt, job.attempts[number] = job.attempts[number], None
        job.in_flight -= 1
        job.may_have_run |= end.outcome not in NOT_RUN and attempt is not None and attempt.may_have_run()
        ended_at = self.clock.monotonic_ns()
        if job.streaming is not None and attempt is job.streaming:
            ended_at = job.stream_started_at  # the rest is paced by the client and does not count
            job.streaming = None  # breaks the reference cycle of job and attempt: no need for the GC
            if not job.closed:
                job.stage = Stage.OVER
                job.tier.end(FinalStatus.SERVED if end.outcome is Outcome.OK else FinalStatus.FAILED)
        elif end.outcome is Outcome.OK and end.answer is not None and job.stage.may_be_answered:
            self._finish(job, Final(FinalStatus.SERVED, end.answer))
        attempt_end = AttemptEnd(
            job.request.id,
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
        """Deliver an event to the module and carry out the actions it returns.

        If the module raises, only the request of this event fails: it is answered and its attempts are
        cancelled. The module is told that the request is over and returns the actions it had collected before
        the fault, so that its counters stay correct. Returns whether the module handled the event.
        """
        gate = self.pool.gate  # before the module decides: checks whether the rules have expired
        stamp = 0 if gate is None else gate.rules_stamp()
        try:
            actions = method(self.clock.monotonic_ns(), *args)
        except Exception:
            log.exception(
                "the decision module failed in %s",
                method.__name__,
                extra={"event": "module.failed", "fields": {"method": method.__name__}},
            )
            if job is not None:
                self._answer_locally(job, FAILED)
            return False
        self._execute(actions, stamp)
        return True

    def _timer(self, token: str) -> None:
        """Deliver a timer event; repeated if the module raises, as one fault would end its periodic work."""
        if not self._deliver_event(self.balancer.on_timer, token):
            self.loop.call_later(TIMER_RETRY_S, self._timer, token)

    def _execute(self, actions: list[Action], stamp: int = 0) -> None:
        """Carry out actions. `stamp`: of the rules they were decided under, where the pool has a gate."""
        for action in actions:
            if isinstance(action, Send):
                self._send(action, stamp)
            elif isinstance(action, SetTimer):
                # Never early: the module would find nothing due and set the timer for the same time again, so
                # that the event loop would spin until then.
                wait = max(0, action.at - self.clock.monotonic_ns()) / 1e9 + TIMER_SLACK_S
                self.loop.call_later(wait, self._timer, action.token)
            elif isinstance(action, Cancel):
                self._cancel(action)
            elif isinstance(action, Refuse):
                self._final(action.request_id, Final(FinalStatus.REFUSED, retry_after=action.retry_after))
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
        deadline = job.deadline
        if action.timeout and not job.request.early:
            deadline = min(deadline, now + action.timeout)
        if job.closed:
            deadline = 0  # nothing is sent, but the module still gets an outcome
        if action.scope_bound:
            for earlier in job.attempts:
                if earlier is not None:
                    earlier.scope_bound = True  # if it is written after this one, it is the repeat
        on_end = partial(self._attempt_ended, job, number, action.server)
        encode = self.pool.carrier.encoder(job.request)
        terms = SendTerms(
            deadline,
            action.write_deadline,
            stamp,
            action.scope_bound,
            partial(self._client_still_waits, job),
            partial(self._attempt_uncertain, job, number),
        )
        attempt = self.pool.start(action.server, encode, on_end, terms)
        job.attempts.append(attempt)
        job.sent.append(now)
        job.in_flight += 1
        if deadline < job.deadline and not job.closed:
            self.loop.call_later((deadline - now) / 1e9, self._attempt_timed_out, job, attempt)

    def _attempt_uncertain(self, job: Job, number: int) -> None:
        """An attempt is about to be written, or was, to what may be another process than the listed one.

        Repeats of its key that were decided on before, and are not written yet, are withdrawn.
        """
        self._deliver_event(self.balancer.on_attempt_uncertain, job.request.id, number, job=job)
        for repeat in job.attempts[number + 1 :]:
            if repeat is not None and repeat.scope_bound:
                self._withdraw_if_unwritten(job, repeat)

    def _attempt_timed_out(self, job: Job, attempt: Attempt) -> None:
        """The time-out of one attempt, earlier than its request's deadline; a started answer is in time."""
        if attempt is not job.streaming:
            attempt.give_up(Outcome.TIMEOUT)

    def _client_still_waits(self, job: Job) -> bool:
        """Whether the client still waits, checked just before an attempt is written.

        Spares upstreams requests whose client has left: the client's close may be still unread, because the
        event loop ran the timer, answer or connect that led here first, or because reading is paused.
        """
        if not job.closed and job.client_has_left():
            # Runs before the attempt's end is delivered, so that the module does not start another one.
            self.loop.call_soon(self.client_gone, job.request.id)
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
        """Answer without an upstream or the module, which is told that the request is over."""
        if not job.stage.may_be_answered:
            return
        self._finish(job, final)
        self._deliver_event(self.balancer.on_client_gone, job.request.id, job=job)
        for attempt in job.attempts:
            if attempt is not None:
                attempt.give_up(Outcome.CANCELLED)
        self._forget(job)

    def _finish(self, job: Job, final: Final) -> None:
        """The only place that gives a complete answer; `_stream_started` alone starts a streamed one."""
        if not job.stage.may_be_answered:
            self.ledger.occurrences.violated(Invariant.ONE_ANSWER, job.request.id)
            return
        job.stage = Stage.OVER
        job.tier.end(final.status)
        if self.termination.begun:
            self.termination.answered(self.clock.monotonic_ns(), job.request.id)
        self._withdraw_unwritten(job)
        job.reply(final)

    def answer_all(self) -> None:
        """Answer all open requests now, at the end of the process; new requests are refused.

        The answers may be written up to two event loop iterations later.
        """
        self.termination.finish(self.clock.monotonic_ns())
        self._shorten_deadlines()
        for job in list(self.jobs.values()):
            if job.stage.may_be_answered:
                self._expire(job)

    def close(self) -> None:
        """Count the requests that are still open as the process ends; they are no longer answered."""
        for job in self.jobs.values():
            if job.stage.may_be_answered:
                self.termination.left_open(job.request.id)

    def _withdraw_unwritten(self, job: Job) -> None:
        """Withdraw attempts that are not fully written yet."""
        for attempt in job.attempts:
            if attempt is not None:
                self._withdraw_if_unwritten(job, attempt)

    @staticmethod
    def _withdraw_if_unwritten(job: Job, attempt: Attempt) -> None:
        if not attempt.fully_written() and attempt is not job.streaming:
            # Not a cancellation, which settings may forbid: the upstream has not got the request.
            attempt.give_up(Outcome.CANCELLED)

    def _forget(self, job: Job) -> None:
        """Drop the job if it is answered and none of its attempts is in flight."""
        if job.closed and not job.in_flight:
            self.jobs.pop(job.request.id, None)
            if not job.may_have_run and self._must_not_repeat(job.request):
                self.request_ids.release(job.request.id)
            if job.deadline_timer is not None:
                job.deadline_timer.cancel()

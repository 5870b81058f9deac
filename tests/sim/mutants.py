"""Seeded defects: each breaks the program in one place, and the simulation must detect it.

`python -m tests.sim.mutants --seeds 0:2000` searches a seed for each and prints the table of the design note.
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import replace
from functools import partial
from multiprocessing import get_context
from typing import Any

from dykeshift import rules
from dykeshift.interface import (
    NOT_RUN,
    CallEnd,
    Fail,
    Idempotency,
    ListKind,
    Outcome,
    Refuse,
    Scope,
    ServerState,
    SetTimer,
)
from dykeshift.node import shutdown
from dykeshift.engine.invariants import Stage
from dykeshift.engine import (
    bodies,
    arrivals,
    connection,
    continuity,
    discovery,
    driver,
    http_carrier,
    link,
    progress,
    replies,
    requests,
    server,
    tenants,
    termination,
    terms,
    upstream,
)
from dykeshift.node import reload
from dykeshift.sim import referee
from dykeshift.sim.day import play
from dykeshift.sim.scenario import AGED, COLD_AT_SIZE, ENDS, REPLACED, WATCHES, Scenario, draw
from tests.sim.defect import Mutant, Patch
from tests.sim.mllp_mutants import MLLP_MUTANTS
from tests.sim.ops_mutants import OPERATORS_MUTANTS

REPEATED_UNPROVED = (referee.UNSAFE_AGAIN, referee.REFUSED_RUN)
END_RULES = (referee.LOST, referee.FAULT)


# ---- the defects ----


def _count_waiting_bytes_only() -> list[Patch]:
    """Progress is a change of what waits to be sent, so that a client that keeps up seems to stall."""
    return [(progress.TransferProgress, "counts", lambda self, unsent: (0, unsent))]


def _answer_twice() -> list[Patch]:
    def answer(self: server.Client, reply: replies.Reply) -> None:
        if self.transport is not None and self.busy and reply.status == 200:
            self.transport.write(replies.render(reply, True))
        original(self, reply)

    original = server.Client.answer
    return [(server.Client, "answer", answer)]


def _delay_refusals() -> list[Patch]:
    def finish(self: driver.Driver, job: driver.Job, final: terms.Final) -> None:
        if final.status is terms.FinalStatus.REFUSED:
            job.stage = Stage.OVER
            self.loop.call_later(0.1, job.reply, final)
        else:
            original(self, job, final)

    original = driver.Driver._finish
    return [(driver.Driver, "_finish", finish)]


def _ignore_draining() -> list[Patch]:
    """Decision module and pool take draining servers for ready ones."""

    def on_list(self: rules.Balancer, now: int, update: Any) -> Any:
        entries = tuple(
            replace(e, state=ServerState.READY) if e.state is ServerState.DRAINING else e
            for e in update.entries
        )
        return original(self, now, replace(update, entries=entries))

    def put(self: upstream.Pool, number: int, address: Any, started: int, ready: bool) -> None:
        put_before(self, number, address, started, True)

    original, put_before = rules.Balancer.on_list, upstream.Pool.put
    return [(rules.Balancer, "on_list", on_list), (upstream.Pool, "put", put)]


def _ignore_unread_close() -> list[Patch]:
    """Before an attempt, the client's connection is not checked for an unread close."""
    return [(driver.Driver, "_client_still_waits", lambda self, job: True)]


def _abort_started_answers() -> list[Patch]:
    """The client's connection is closed 10 ms after a long answer has started."""

    def begin(self: server.Client, answer: bodies.Answer) -> None:
        original(self, answer)
        self.front.loop.call_later(0.01, self.cut)

    original = server.Client._start_streamed_answer
    return [(server.Client, "_start_streamed_answer", begin)]


def _trust_all_connections() -> list[Patch]:
    """A new connection is taken to lead to the listed process, whatever became of the others."""
    return [(continuity.ProcessContinuity, "is_proven", lambda self, connection: True)]


def _ignore_late_signs() -> list[Patch]:
    """An attempt under way stays certain, whatever shows later about its connection."""
    return [(upstream.Pool, "_report_uncertain", staticmethod(lambda doubted: None))]


def _keep_queued_for_gone_clients() -> list[Patch]:
    """Attempts that wait for a connection are sent after their client has left, where cancelling is off."""

    def client_gone(self: driver.Driver, request_id: str) -> None:
        self._withdraw_unwritten = lambda job: None  # type: ignore[method-assign]
        try:
            original(self, request_id)
        finally:
            del self._withdraw_unwritten

    original = driver.Driver.client_gone
    return [(driver.Driver, "client_gone", client_gone)]


def _long_pause_between_watches() -> list[Patch]:
    """After a failed watch the balancer pauses for four times the watch's duration, whatever ended it."""

    def ask_later(self: rules.Balancer, now: int, end: CallEnd) -> None:
        self.watch_open = False
        pause = min(4 * (now - self.watch_opened_at) + 300_000_000, 5_000_000_000)
        self.pending_actions.append(SetTimer("watch", now + int(pause * (0.5 + 0.5 * self.random()))))

    return [(rules.Balancer, "_schedule_watch", ask_later), (discovery, "REPEATED_ANSWER_TIMEOUT_S", 2.0)]


def _keep_unlisted() -> list[Patch]:
    """Instances missing from a full list stay in the pool."""

    def apply(self: driver.Driver, kind: ListKind, listed: Any) -> bool:
        return original(self, ListKind.DELTA if kind is ListKind.FULL else kind, listed)

    original = driver.Driver.apply
    return [(driver.Driver, "apply", apply)]


def _reset_as_not_run() -> list[Patch]:
    def broken(self: upstream.Attempt, written: bool) -> None:
        original(self, False)

    original = upstream.Attempt.broken
    return [(upstream.Attempt, "broken", broken)]


def _timeout_as_not_run() -> list[Patch]:
    return [(rules, "NOT_RUN", NOT_RUN | {Outcome.TIMEOUT})]


def _reset_and_error_as_not_run() -> list[Patch]:
    return [(rules, "NOT_RUN", NOT_RUN | {Outcome.RESET, Outcome.ERROR})]


def _status_500_as_not_run() -> list[Patch]:
    def judge(answer: bodies.Answer) -> Outcome:
        return Outcome.FULL if answer.status == 500 else original(answer)

    original = http_carrier.outcome_of
    return [(http_carrier, "outcome_of", judge)]


def _retry_unsafe() -> list[Patch]:
    def may_send(self: rules.Balancer, now: int, item: rules.OpenRequest) -> bool:
        if item.klass.idempotency is Idempotency.UNSAFE and len(item.attempts) < 2 and not item.closed:
            return now < item.request.deadline
        return original(self, now, item)

    original = rules.Balancer._attempt_allowed
    return [(rules.Balancer, "_attempt_allowed", may_send)]


def _ignore_rack() -> list[Patch]:
    def allowed(self: rules.Balancer, now: int, item: rules.OpenRequest, one: rules.Server) -> bool:
        klass = item.klass
        item.klass = replace(klass, scope=Scope.ALL)
        try:
            return original(self, now, item, one)
        finally:
            item.klass = klass

    original = rules.Balancer._server_allowed
    return [
        (rules.Balancer, "_server_allowed", allowed),
        (rules.Balancer, "_servers_in_scope", lambda self, anchor, scope: list(self.ready)),
    ]


def _ignore_window() -> list[Patch]:
    def init(self: rules.Balancer, settings: Any, seed: int) -> None:
        classes = tuple(replace(klass, window=10**12) for klass in settings.classes)
        original(self, replace(settings, classes=classes), seed)

    original = rules.Balancer.__init__
    return [(rules.Balancer, "__init__", init)]


def _no_cold_budget() -> list[Patch]:
    """Cold servers are preferred and have no budget, as with plain least-connections."""

    def draw(self: rules.Balancer, now: int, item: rules.OpenRequest) -> list[rules.Server]:
        tried = {attempt.server.entry.id for attempt in item.attempts}
        new = [s for s in self.pool if self._cold(now, s) and s.entry.id not in tried]
        return new if new and not item.first_possibly_run() else original(self, now, item)

    original = rules.Balancer._sample
    return [
        (rules.Balancer, "_within_cold_budget", lambda self, now, one: True),
        (rules.Balancer, "_sample", draw),
    ]


def _refuse_all() -> list[Patch]:
    def give_up(self: rules.Balancer, now: int, item: rules.OpenRequest) -> None:
        self.pending_actions.append(Refuse(item.request.id, 0))
        self._close(item)

    return [(rules.Balancer, "_answer_without_server", give_up)]


def _fourth_attempt() -> list[Patch]:
    def init(self: rules.Balancer, settings: Any, seed: int) -> None:
        original(self, replace(settings, attempt_limit=settings.attempt_limit + 1), seed)

    original = rules.Balancer.__init__
    return [(rules.Balancer, "__init__", init)]


def _no_deadline_timer() -> list[Patch]:
    """The client is not told of a time-out."""
    return [(driver.Driver, "_expire", lambda self, job: None)]


def _no_shutdown_limit() -> list[Patch]:
    """A shutdown does not shorten deadlines, and the process waits for all requests."""
    return [
        (termination.Termination, "limit", lambda self, deadline: deadline),
        (termination.Termination, "refuses", lambda self, now: False),
        (termination.Termination, "exit_due", lambda self, now: False),
        (driver.Driver, "_shorten_deadlines", lambda self: None),
    ]


def _no_shutdown_reserve() -> list[Patch]:
    return [(termination, "RESERVE", 0), (termination, "LAST_WRITES", 0)]


def _no_cap_on_deadlines() -> list[Patch]:
    return [(termination, "LONGEST_COUNTED", 60_000 * termination.MILLISECOND)]


def _send_full_deadline() -> list[Patch]:
    """The deadline sent upstream is the client's full deadline, whatever time has passed."""

    def message(self: requests.Incoming, left: int) -> Any:
        return original(self, self.client_timeout)

    original = requests.Incoming.message
    return [(requests.Incoming, "message", message)]


def _leak_connection() -> list[Patch]:
    """Idle connections that are closed stay counted."""

    def close_idle(self: upstream.Pool, known: upstream.Upstream) -> None:
        known.idle.clear()

    return [(upstream.Pool, "_close_idle", close_idle)]


def _leak_job() -> list[Patch]:
    def forget(self: driver.Driver, job: driver.Job) -> None:
        if not job.request.retry:
            original(self, job)

    original = driver.Driver._forget
    return [(driver.Driver, "_forget", forget)]


def _leak_in_module() -> list[Patch]:
    def gone(self: rules.Balancer, now: int, request_id: str) -> Any:
        return []

    return [(rules.Balancer, "on_client_gone", gone)]


def _reuse_anything() -> list[Patch]:
    def complete(self: link.Link, answer: Any, reuse: bool) -> None:
        original(self, answer, self.transport is not None and not self.transport.is_closing())

    def alive(self: link.Link) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def begin(self: connection.Connection) -> None:
        self.begin()

    original = link.Link._complete
    return [
        (link.Link, "_complete", complete),
        (link.Link, "alive", alive),
        (connection.Connection, "on_message_begin", begin),
    ]


def _serve_previous_answer() -> list[Patch]:
    """A client gets the previous answer."""

    def finish(self: Any, job: driver.Job, final: terms.Final) -> None:
        if final.status is terms.FinalStatus.SERVED:
            before = self.__dict__.get("before", final.answer)
            self.before, final = final.answer, replace(final, answer=before)
        original(self, job, final)

    original = driver.Driver._finish
    return [(driver.Driver, "_finish", finish)]


def _exit_without_draining() -> list[Patch]:
    async def wind_down(*_: Any) -> None:
        return None

    return [(shutdown.Shutdown, "_wind_down", wind_down)]


def _no_watch_after_failure() -> list[Patch]:
    """A failed watch is not started again."""

    def failed(self: rules.Balancer, now: int, update: Any) -> Any:
        return [] if update.kind is ListKind.FAILED else original(self, now, update)

    original = rules.Balancer.on_list
    return [(rules.Balancer, "on_list", failed)]


def _keep_old_discovery() -> list[Patch]:
    return [
        (discovery.DiscoveryClient, "move", lambda self, address: None),
        (reload.Reload, "__call__", lambda self: None),
    ]


def _send_after_answer() -> list[Patch]:
    def finish(self: driver.Driver, job: driver.Job, final: terms.Final) -> None:
        job.stage = Stage.OVER
        job.reply(final)

    return [(driver.Driver, "_finish", finish)]


def _keep_unanswered_copies() -> list[Patch]:
    """A copy that may not be cancelled and is never answered is kept forever."""

    def finish(self: driver.Driver, job: driver.Job, final: terms.Final) -> None:
        original(self, job, final)
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()

    original = driver.Driver._finish
    return [(driver.Driver, "_finish", finish)]


def _trust_old_racks() -> list[Patch]:
    def send(self: rules.Balancer, now: int, item: rules.OpenRequest, one: rules.Server) -> None:
        one.confirmed = True
        original(self, now, item, one)

    original = rules.Balancer._send
    return [(rules.Balancer, "_send", send)]


def _accept_two_at_one_address() -> list[Patch]:
    return [(tenants.Tenants, "settle", lambda self, whole, listed: list(listed))]


def _crowd_never_ends() -> list[Patch]:
    def place(self: rules.Balancer, now: int, item: rules.OpenRequest) -> None:
        kept, crowd = self.attempts_in_flight, self.overload
        self.attempts_in_flight = kept or 1
        original(self, now, item)
        self.attempts_in_flight -= 0 if kept else 1
        assert crowd >= 0

    original = rules.Balancer._dispatch
    return [(rules.Balancer, "_dispatch", place)]


def _arrival_time_when_read() -> list[Patch]:
    def arrival_time(self: arrivals.Arrivals, transport: Any) -> int:
        return min(self.clock.monotonic_ns(), int(self.loop.time() * 1e9))

    return [(arrivals.Arrivals, "arrival_time", arrival_time)]


def _no_timer_margin() -> list[Patch]:
    return [(driver, "TIMER_SLACK_S", 0.0)]


def _count_wrong() -> list[Patch]:
    def lost(self: server.Client, exc: Exception | None) -> None:
        self.front.answered_clients += self.answers > 0
        original(self, exc)

    original = server.Client.connection_lost
    return [(server.Client, "connection_lost", lost)]


def _raise_in_some_timers() -> list[Patch]:
    def on_timer(self: rules.Balancer, now: int, token: str) -> Any:
        if token.startswith("r:") and now % 50 == 0:
            raise KeyError(token)
        return original(self, now, token)

    original = rules.Balancer.on_timer
    return [(rules.Balancer, "on_timer", on_timer)]


def _drop_fail_actions() -> list[Patch]:
    """The client is not told of requests that the decision module failed."""

    def do(self: driver.Driver, actions: Any, stamp: int = 0) -> None:
        original(self, [a for a in actions if not isinstance(a, Fail)], stamp)

    original = driver.Driver._execute
    return [(driver.Driver, "_execute", do)]


def _ignore_cold_budget() -> list[Patch]:
    return [(rules.Balancer, "_within_cold_budget", lambda self, now, one: True)]


MUTANTS = [
    Mutant("answers a client twice", "server", (referee.TWICE_ANSWERED,), _answer_twice),
    Mutant("holds refusals back for 100 ms", "driver", (referee.HELD_BACK,), _delay_refusals),
    Mutant(
        "says nothing where the module fails a request", "driver", (referee.HELD_BACK,), _drop_fail_actions
    ),
    Mutant("forgets the drain check", "rules, pool", (referee.DRAIN,), _ignore_draining),
    Mutant("begins for clients whose close is unread", "driver", (referee.GONE,), _ignore_unread_close),
    Mutant(
        "takes no waiting output for no progress",
        "progress",
        (referee.LOST, referee.NOT_SERVED_AGAIN),
        _count_waiting_bytes_only,
        AGED,
    ),
    Mutant("cuts answers that have begun", "server", (referee.LOST,), _abort_started_answers, AGED),
    Mutant(
        "keeps what waits for clients that have gone",
        "driver",
        (referee.GONE,),
        _keep_queued_for_gone_clients,
    ),
    Mutant(
        "asks discovery anew after long pauses",
        "rules",
        (referee.DRAIN,),
        _long_pause_between_watches,
        WATCHES,
    ),
    Mutant("keeps who is missing from a whole list", "driver", (referee.DRAIN,), _keep_unlisted),
    Mutant("takes a reset for a proof", "upstream", REPEATED_UNPROVED, _reset_as_not_run),
    Mutant("takes a time-out for a proof", "rules", REPEATED_UNPROVED, _timeout_as_not_run),
    Mutant("takes resets and errors for proofs", "rules", REPEATED_UNPROVED, _reset_and_error_as_not_run),
    Mutant("takes a 500 for a proof", "upstream", REPEATED_UNPROVED, _status_500_as_not_run),
    Mutant("tries unsafe requests twice", "rules", (referee.UNSAFE_AGAIN,), _retry_unsafe),
    Mutant("repeats keyed requests in any rack", "rules", (referee.KEYED_ASTRAY,), _ignore_rack),
    Mutant(
        "trusts every connection to an address",
        "continuity",
        (referee.KEYED_ASTRAY, referee.EFFECT_TWICE),
        _trust_all_connections,
        REPLACED,
    ),
    Mutant(
        "forgets attempts under way at a late sign",
        "upstream",
        (referee.KEYED_ASTRAY, referee.EFFECT_TWICE),
        _ignore_late_signs,
        REPLACED,
    ),
    Mutant("repeats keyed requests at any time", "rules", (referee.KEYED_ASTRAY,), _ignore_window),
    Mutant(
        "trusts the racks of a list from before",
        "rules",
        (referee.KEYED_ASTRAY, referee.EFFECT_TWICE),
        _trust_old_racks,
    ),
    Mutant(
        "believes in two senders at one address",
        "tenants",
        (referee.KEYED_ASTRAY, referee.EFFECT_TWICE),
        _accept_two_at_one_address,
    ),
    Mutant("sends to the newest first, cold or not", "rules", (referee.COLD,), _no_cold_budget),
    Mutant("refuses whatever it gives up", "rules", (referee.REFUSED_RUN,), _refuse_all),
    Mutant("makes a fourth attempt", "rules", (referee.ATTEMPTS,), _fourth_attempt),
    Mutant("never expires", "driver", (referee.LOST,), _no_deadline_timer),
    Mutant("counts a request's time from its reading", "arrivals", (referee.LOST,), _arrival_time_when_read),
    Mutant("ends at once on SIGTERM", "program", (referee.LOST, referee.FAULT), _exit_without_draining),
    Mutant(
        "counts an end from each request's arrival", "termination", (referee.LOST,), _no_shutdown_limit, ENDS
    ),
    Mutant("ends at the kill, with nothing in reserve", "termination", END_RULES, _no_shutdown_reserve, ENDS),
    Mutant("counts deadlines over three seconds whole", "termination", END_RULES, _no_cap_on_deadlines, ENDS),
    Mutant("tells each upstream the class's deadline", "requests", (referee.DEADLINE,), _send_full_deadline),
    Mutant("leaks idle connections of drained senders", "upstream", (referee.LEAK,), _leak_connection),
    Mutant("leaks the jobs of retries", "driver", (referee.LEAK,), _leak_job),
    Mutant("does not hear that a client has gone", "rules", (referee.LEAK, referee.FAULT), _leak_in_module),
    Mutant("counts answered connections wrong", "server", (referee.LEAK,), _count_wrong),
    Mutant("keeps copies that are never answered", "driver", (referee.LEAK,), _keep_unanswered_copies),
    Mutant(
        "reuses connections that brought too much",
        "connection",
        (referee.WRONG_ANSWER, referee.FAULT),
        _reuse_anything,
    ),
    Mutant("serves the answer before", "driver", (referee.WRONG_ANSWER,), _serve_previous_answer),
    Mutant(
        "sends what waited for a connect after the answer",
        "driver",
        (referee.SENT_AFTER,),
        _send_after_answer,
    ),
    Mutant(
        "never watches again after a failure", "rules", (referee.NOT_SERVED_AGAIN,), _no_watch_after_failure
    ),
    Mutant(
        "stays at the old discovery",
        "reload",
        (referee.NOT_SERVED_AGAIN, referee.DRAIN),
        _keep_old_discovery,
    ),
    Mutant("keeps a crowd in mind that has gone", "rules", (referee.NOT_SERVED_AGAIN,), _crowd_never_ends),
    Mutant("asks for timers that fire early", "driver", (referee.FAULT,), _no_timer_margin),
    Mutant("raises in one of fifty timers", "rules", (referee.FAULT,), _raise_in_some_timers),
    Mutant("ignores the cold budget", "rules", (referee.COLD,), _ignore_cold_budget, COLD_AT_SIZE),
    *MLLP_MUTANTS,
    *OPERATORS_MUTANTS,
]
BY_NAME = {mutant.name: mutant for mutant in MUTANTS}


def caught(name: str, scenario: Scenario) -> str:
    """The rule that this defect breaks in this scenario, or an empty string."""
    mutant = BY_NAME[name]
    with mutant.applied():
        result = play(scenario)
    return next((b.rule for b in result.breaches if b.rule in mutant.rules), "")


def _try_seed(name: str, seed: int) -> tuple[int, str]:
    return seed, caught(name, draw(f"{seed}{BY_NAME[name].seed_suffix}"))


def hunt(name: str, seeds: range, jobs: int) -> tuple[int | None, str]:
    """The first seed that exposes the defect, and the rule that it broke."""
    with get_context("forkserver").Pool(jobs) as pool:
        for seed, rule in pool.imap(partial(_try_seed, name), seeds):
            if rule:
                return seed, rule
    return None, ""


def main() -> int:
    parser = argparse.ArgumentParser(description="find a seed that exposes each seeded defect")
    parser.add_argument("--seeds", default="0:2000")
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    low, _, high = options.seeds.partition(":")
    missed = 0
    print("| defect | in | rule that it broke | found by seed |\n| --- | --- | --- | --- |")
    for mutant in MUTANTS:
        if options.only not in mutant.name:
            continue
        seed, rule = hunt(mutant.name, range(int(low), int(high)), options.jobs)
        missed += seed is None
        print(
            f"| {mutant.name} | {mutant.where} | {rule or 'NONE'} | {seed}{mutant.seed_suffix} |", flush=True
        )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())

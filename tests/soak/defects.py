"""Seeded defects of a daemon: for most rules one that always breaks it and one that breaks it only in part.

`python -m tests.soak.defects NAME` runs a daemon with that defect; the drawn runs of the soak must find it.
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from dykeshift import rules as module
from dykeshift.engine import (
    connection,
    driver,
    listener,
    replies,
    requests,
    server,
    termination,
    terms,
    upstream,
)
from dykeshift.engine.invariants import Stage
from dykeshift.interface import Idempotency, ListKind, Refuse, RequestClass
from dykeshift.node import __main__ as program
from dykeshift.sim import referee
from tests.sim.defect import Patch
from tests.sim.mutants import BY_NAME
from tests.soak.observer import PROCESS, SERVICE, UNREAD


class Size(StrEnum):
    """Whether a defect violates a rule altogether, or only rarely or in special cases."""

    WHOLE = "whole"
    SMALL = "small"


@dataclass(frozen=True)
class Defect:
    """A seeded defect, and the rules of which at least one must be found broken."""

    name: str
    size: Size
    rules: tuple[str, ...]
    patches: Callable[[], list[Patch]]


RARE_SHARE = 0.1  # share of calls that a rare defect affects


def _rarely(patches: Callable[[], list[Patch]]) -> Callable[[], list[Patch]]:
    """Return the same defect, restricted to one of ten calls."""

    def rare_patches() -> list[Patch]:
        return [
            (owner, name, _rarely_defective(owner.__dict__[name], value)) for owner, name, value in patches()
        ]

    return rare_patches


def _rarely_defective(sound: Any, defective: Any) -> Any:
    rng = random.Random(1)

    def call(*args: Any, **named: Any) -> Any:
        return (defective if rng.random() < RARE_SHARE else sound)(*args, **named)

    return call


def _simulation_defect(name: str) -> Callable[[], list[Patch]]:
    return BY_NAME[name].patches


# ---- one answer ----


def _answer_into_stream() -> list[Patch]:
    """The complete answer of a copy is written into a streamed answer that has started."""

    def answer(self: server.Client, reply: replies.Reply) -> None:
        if self.transport is not None and self.busy:
            keep = self._should_keep_alive()
            self.transport.write(replies.render(reply, keep))
            self._answer_written(keep)

    return [
        (Stage, "may_be_answered", property(lambda stage: stage is not Stage.OVER)),
        (server.Client, "answer", answer),
    ]


def _drop_backlog_without_descriptors() -> list[Patch]:
    """Uses the event loop's own listener, which drains the backlog when no descriptor is free."""

    class LoopListener:
        def __init__(self, server: asyncio.Server) -> None:
            self.server = server

        def pending(self) -> bool:
            return False

        def close(self) -> None:
            self.server.close()

        abandon = close

    async def listen(
        loop: asyncio.AbstractEventLoop,
        factory: Any,
        address: tuple[str, int],
        backlog: int,
        inherited: socket.socket | None = None,
    ) -> LoopListener:
        return LoopListener(await loop.create_server(factory, *address, backlog=backlog))

    defaults = program.serve.__defaults__
    assert isinstance(defaults, tuple)
    changed = tuple(listen if value is listener.listen else value for value in defaults)
    return [(program.serve, "__defaults__", changed)]


def _lose_end_before_extra_answer() -> list[Patch]:
    """What follows an answer in the same read replaces the bytes of it that were not passed on yet."""

    def on_message_begin(self: connection.Connection) -> None:
        if self.answer is not None or self.exchange is None:
            self.has_unexpected_data = True
        self.begin()

    return [(connection.Connection, "on_message_begin", on_message_begin)]


# ---- attempts ----


def _treat_unsafe_as_safe() -> list[Patch]:
    """All requests are treated as safe to repeat."""

    def as_safe(klass: RequestClass) -> RequestClass:
        return replace(klass, idempotency=Idempotency.SAFE)

    def init(self: module.Balancer, settings: Any, seed: int) -> None:
        original(self, replace(settings, classes=tuple(as_safe(klass) for klass in settings.classes)), seed)

    original = module.Balancer.__init__
    return [(module.Balancer, "__init__", init)]


def _resend_after_answer() -> list[Patch]:
    """A request is sent again half a second after it was answered."""

    def finish(self: driver.Driver, job: driver.Job, final: terms.Final) -> None:
        original(self, job, final)
        number = next(iter(self.ready), None)
        if final.status is terms.FinalStatus.SERVED and number is not None:
            encoder = self.pool.carrier.encoder(job.request)
            given = upstream.SendTerms(self.clock.monotonic_ns() + 2_000_000_000)
            self.loop.call_later(0.5, self.pool.start, number, encoder, lambda end: None, given)

    original = driver.Driver._finish
    return [(driver.Driver, "_finish", finish)]


def _overstate_deadline() -> list[Patch]:
    """The deadline sent upstream is 0.6 s longer than the time left."""

    def message(self: requests.Incoming, left: int) -> Any:
        extended = replace(self, client_timeout=left + 600_000_000)
        return original(extended, extended.client_timeout)

    original = requests.Incoming.message
    return [(requests.Incoming, "message", message)]


# ---- clients, drains, termination ----


def _forget_ids_with_their_requests() -> list[Patch]:
    """An id may come again as soon as its request is over, whether that may have run or not."""
    return [(driver.Driver, "claim_id", lambda self, request: request.id not in self.jobs)]


def _ignore_client_disconnects() -> list[Patch]:
    """A client that disconnects is neither noticed nor checked for."""
    return [
        (driver.Driver, "client_gone", lambda self, request_id: None),
        (driver.Driver, "_client_still_waits", lambda self, job: True),
    ]


def _apply_updates_late() -> list[Patch]:
    """Updates of the server list are applied two seconds late."""

    def apply(self: driver.Driver, kind: Any, listed: Any) -> bool:
        if kind is not ListKind.DELTA:
            return original(self, kind, listed)
        self.loop.call_later(2.0, original, self, kind, listed)
        return True

    original = driver.Driver.apply
    return [(driver.Driver, "apply", apply)]


def _skip_final_refusals() -> list[Patch]:
    """No time is reserved for final refusals: the process exits at its limit, with requests unanswered."""
    return [
        (termination.Termination, "limit", lambda self, deadline: deadline),
        (driver.Driver, "_shorten_deadlines", lambda self: None),
        (driver.Driver, "answer_all", lambda self: None),
    ]


# ---- what is served ----


def _refuse_a_third() -> list[Patch]:
    def on_request(self: module.Balancer, now: int, request: Any) -> Any:
        self.__dict__["count"] = count = self.__dict__.get("count", 0) + 1
        return [Refuse(request.id, 0)] if count % 3 == 0 else original(self, now, request)

    original = module.Balancer.on_request
    return [(module.Balancer, "on_request", on_request)]


def _refuse_half_of_keyed() -> list[Patch]:
    def on_request(self: module.Balancer, now: int, request: Any) -> Any:
        klass = self.records[request.klass].klass
        if klass.idempotency is Idempotency.KEYED and self.random() < 0.5:
            return [Refuse(request.id, 0)]
        return original(self, now, request)

    original = module.Balancer.on_request
    return [(module.Balancer, "on_request", on_request)]


def _exit_on_reset() -> list[Patch]:
    """A connection that breaks during an attempt ends the process."""

    def broken(self: upstream.Attempt, written: bool) -> None:
        sys.exit(1)

    return [(upstream.Attempt, "broken", broken)]


WHOLE, SMALL = Size.WHOLE, Size.SMALL
REPEAT_RULES = (referee.UNSAFE_AGAIN, referee.REFUSED_RUN, referee.EFFECT_TWICE, referee.KEYED_ASTRAY)
ANSWER_RULES = (referee.WRONG_ANSWER, referee.TWICE_ANSWERED)
DEFECTS = [
    Defect(
        "ends without regard to the kill",
        WHOLE,
        (referee.LOST,),
        _simulation_defect("counts an end from each request's arrival"),
    ),
    Defect("leaves what is open at its end", SMALL, (referee.LOST, PROCESS), _skip_final_refusals),
    Defect("never expires", WHOLE, (referee.LOST,), _simulation_defect("never expires")),
    Defect("seldom expires not", SMALL, (referee.LOST,), _rarely(_simulation_defect("never expires"))),
    Defect("closes unread without descriptors", SMALL, (UNREAD,), _drop_backlog_without_descriptors),
    Defect("answers twice", WHOLE, ANSWER_RULES, _simulation_defect("answers a client twice")),
    Defect("answers into a long answer", SMALL, ANSWER_RULES, _answer_into_stream),
    Defect("serves the answer before", WHOLE, ANSWER_RULES, _simulation_defect("serves the answer before")),
    Defect(
        "seldom serves the answer before",
        SMALL,
        ANSWER_RULES,
        _rarely(_simulation_defect("serves the answer before")),
    ),
    Defect("loses an answer's end to a copy behind it", SMALL, ANSWER_RULES, _lose_end_before_extra_answer),
    Defect(
        "takes no waiting output for no progress",
        WHOLE,
        (referee.LOST,),
        _simulation_defect("takes no waiting output for no progress"),
    ),
    Defect("treats all as safe", WHOLE, REPEAT_RULES, _treat_unsafe_as_safe),
    Defect("forgets ids with their requests", SMALL, REPEAT_RULES, _forget_ids_with_their_requests),
    Defect("takes a reset for a proof", SMALL, REPEAT_RULES, _simulation_defect("takes a reset for a proof")),
    Defect(
        "repeats keys in any rack",
        WHOLE,
        REPEAT_RULES,
        _simulation_defect("repeats keyed requests in any rack"),
    ),
    Defect(
        "takes a class without a group",
        SMALL,
        REPEAT_RULES,
        _simulation_defect("takes a class without a group for one that holds everywhere"),
    ),
    Defect("takes a 500 for a proof", SMALL, REPEAT_RULES, _simulation_defect("takes a 500 for a proof")),
    Defect(
        "refuses whatever it gives up",
        WHOLE,
        REPEAT_RULES,
        _simulation_defect("refuses whatever it gives up"),
    ),
    Defect(
        "takes a time-out for a proof",
        SMALL,
        REPEAT_RULES,
        _simulation_defect("takes a time-out for a proof"),
    ),
    Defect("ignores drains", WHOLE, (referee.DRAIN,), _simulation_defect("forgets the drain check")),
    Defect("hears of drains two seconds late", SMALL, (referee.DRAIN,), _apply_updates_late),
    Defect(
        "fills cold servers first",
        WHOLE,
        (referee.COLD,),
        _simulation_defect("sends to the newest first, cold or not"),
    ),
    Defect("ignores the cold budget", SMALL, (referee.COLD,), _simulation_defect("ignores the cold budget")),
    Defect(
        "makes a fourth attempt", WHOLE, (referee.ATTEMPTS,), _simulation_defect("makes a fourth attempt")
    ),
    Defect("sends once more after the answer", WHOLE, (referee.SENT_AFTER,), _resend_after_answer),
    Defect("seldom sends once more after it", SMALL, (referee.SENT_AFTER,), _rarely(_resend_after_answer)),
    Defect("ignores that clients leave", WHOLE, (referee.GONE,), _ignore_client_disconnects),
    Defect(
        "does not look before it writes",
        SMALL,
        (referee.GONE,),
        _simulation_defect("begins for clients whose close is unread"),
    ),
    Defect("tells 0.6 s more than is left", WHOLE, (referee.DEADLINE,), _overstate_deadline),
    Defect(
        "tells the whole patience",
        SMALL,
        (referee.DEADLINE,),
        _simulation_defect("tells each upstream the class's deadline"),
    ),
    Defect("refuses a third", WHOLE, (SERVICE,), _refuse_a_third),
    Defect("refuses half of a class", SMALL, (SERVICE,), _refuse_half_of_keyed),
    Defect("ends at a reset", WHOLE, (PROCESS,), _exit_on_reset),
    Defect(
        "raises in one of fifty timers",
        SMALL,
        (PROCESS,),
        _simulation_defect("raises in one of fifty timers"),
    ),
]
DEFECTS_BY_NAME = {defect.name: defect for defect in DEFECTS}


def apply(defect: Defect) -> None:
    """Patch a defect into this process permanently."""
    for owner, name, value in defect.patches():
        setattr(owner, name, value)


if __name__ == "__main__":
    apply(DEFECTS_BY_NAME[" ".join(sys.argv[1:])])
    sys.exit(program.main())

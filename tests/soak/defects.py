"""Faults that are put into a daemon on purpose: for each rule one in whole and one in small.

`python -m tests.soak.defects NAME` is a daemon with that fault; the drawn runs of the soak must find it.
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
from dykeshift.engine import driver, listener, replies, requests, server, termination, terms, upstream
from dykeshift.engine.invariants import Stage
from dykeshift.interface import Idempotency, ListKind, Refuse, RequestClass
from dykeshift.node import __main__ as program
from dykeshift.sim import referee
from tests.sim.defect import Patch
from tests.sim.mutants import BY_NAME
from tests.soak.observer import PROCESS, SERVICE, UNREAD


class Size(StrEnum):
    """How much of a rule a defect gives up."""

    WHOLE = "whole"
    SMALL = "small"


@dataclass(frozen=True)
class Defect:
    """A fault that is put in, and the rules of which one must be found broken."""

    name: str
    size: Size
    rules: tuple[str, ...]
    patches: Callable[[], list[Patch]]


SELDOM = 0.1  # share of requests that a small defect concerns


def _seldom(patches: Callable[[], list[Patch]]) -> Callable[[], list[Patch]]:
    """The same defect in one of ten calls."""

    def made() -> list[Patch]:
        return [(owner, name, _sometimes(owner.__dict__[name], value)) for owner, name, value in patches()]

    return made


def _sometimes(sound: Any, defective: Any) -> Any:
    draws = random.Random(1)

    def call(*args: Any, **named: Any) -> Any:
        return (defective if draws.random() < SELDOM else sound)(*args, **named)

    return call


def _of_simulation(name: str) -> Callable[[], list[Patch]]:
    return BY_NAME[name].patches


# ---- one answer ----


def _two_answers() -> list[Patch]:
    """A copy's whole answer is written into a long one that has begun."""

    def answer(self: server.Client, reply: replies.Reply) -> None:
        if self.transport is not None and self.busy:
            keep = self._keeps()
            self.transport.write(replies.render(reply, keep))
            self._answered(keep)

    return [
        (Stage, "may_be_answered", property(lambda stage: stage is not Stage.OVER)),
        (server.Client, "answer", answer),
    ]


def _closed_unread() -> list[Patch]:
    """The event loop's own listener, which clears its queue when there is no descriptor."""

    class Plain:
        def __init__(self, made: asyncio.Server) -> None:
            self.made = made

        def pending(self) -> bool:
            return False

        def close(self) -> None:
            self.made.close()

        abandon = close

    async def listen(
        loop: asyncio.AbstractEventLoop,
        factory: Any,
        address: tuple[str, int],
        backlog: int,
        inherited: socket.socket | None = None,
    ) -> Plain:
        return Plain(await loop.create_server(factory, *address, backlog=backlog))

    defaults = program.serve.__defaults__
    assert isinstance(defaults, tuple)
    changed = tuple(listen if one is listener.listen else one for one in defaults)
    return [(program.serve, "__defaults__", changed)]


# ---- attempts ----


def _unsafe_as_safe() -> list[Patch]:
    """Requests that may not be repeated are treated as such that may."""

    def sound(klass: RequestClass) -> RequestClass:
        return replace(klass, idempotency=Idempotency.SAFE)

    def init(self: module.Balancer, settings: Any, seed: int) -> None:
        original(self, replace(settings, classes=tuple(sound(one) for one in settings.classes)), seed)

    original = module.Balancer.__init__
    return [(module.Balancer, "__init__", init)]


def _once_more_after_the_answer() -> list[Patch]:
    """What has been answered is sent once more when the answer has long been read."""

    def finish(self: driver.Driver, job: driver.Job, final: terms.Final) -> None:
        original(self, job, final)
        number = next(iter(self.ready), None)
        if final.how is terms.How.SERVED and number is not None:
            words = self.pool.carrier.words(job.incoming)
            until = self.clock.monotonic_ns() + 2_000_000_000
            self.loop.call_later(0.5, self.pool.start, number, words, until, lambda end: None)

    original = driver.Driver._finish
    return [(driver.Driver, "_finish", finish)]


def _told_too_much() -> list[Patch]:
    """The deadline told is 0.6 s more than what is left."""

    def message(self: requests.Incoming, left: int) -> Any:
        patient = replace(self, patience=left + 600_000_000)
        return original(patient, patient.patience)

    original = requests.Incoming.message
    return [(requests.Incoming, "message", message)]


# ---- clients, drains, the end ----


def _leaving_ignored() -> list[Patch]:
    """That a client has left is neither heard nor looked for."""
    return [
        (driver.Driver, "client_gone", lambda self, request_id: None),
        (driver.Driver, "_wanted", lambda self, job: True),
    ]


def _list_late() -> list[Patch]:
    """Changes of the list are taken in two seconds late."""

    def apply(self: driver.Driver, kind: Any, listed: Any) -> bool:
        if kind is not ListKind.DELTA:
            return original(self, kind, listed)
        self.loop.call_later(2.0, original, self, kind, listed)
        return True

    original = driver.Driver.apply
    return [(driver.Driver, "apply", apply)]


def _no_refusal_at_the_end() -> list[Patch]:
    """The last moments are not set aside: the process ends as its time is over, answered or not."""
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


def _refuse_half_of_a_class() -> list[Patch]:
    def on_request(self: module.Balancer, now: int, request: Any) -> Any:
        klass = self.records[request.klass].klass
        if klass.idempotency is Idempotency.KEYED and self.random() < 0.5:
            return [Refuse(request.id, 0)]
        return original(self, now, request)

    original = module.Balancer.on_request
    return [(module.Balancer, "on_request", on_request)]


def _falls_at_a_reset() -> list[Patch]:
    """An attempt that breaks ends the process."""

    def broken(self: upstream.Attempt, written: bool) -> None:
        sys.exit(1)

    return [(upstream.Attempt, "broken", broken)]


WHOLE, SMALL = Size.WHOLE, Size.SMALL
UNPROVED = (referee.UNSAFE_AGAIN, referee.REFUSED_RUN, referee.EFFECT_TWICE, referee.KEYED_ASTRAY)
WRONG = (referee.WRONG_ANSWER, referee.TWICE_ANSWERED)
DEFECTS = [
    Defect(
        "ends without regard to the kill",
        WHOLE,
        (referee.LOST,),
        _of_simulation("counts an end from each request's arrival"),
    ),
    Defect("leaves what is open at its end", SMALL, (referee.LOST, PROCESS), _no_refusal_at_the_end),
    Defect("never expires", WHOLE, (referee.LOST,), _of_simulation("never expires")),
    Defect("seldom expires not", SMALL, (referee.LOST,), _seldom(_of_simulation("never expires"))),
    Defect("closes unread without descriptors", SMALL, (UNREAD,), _closed_unread),
    Defect("answers twice", WHOLE, WRONG, _of_simulation("answers a client twice")),
    Defect("answers into a long answer", SMALL, WRONG, _two_answers),
    Defect("serves the answer before", WHOLE, WRONG, _of_simulation("serves the answer before")),
    Defect(
        "seldom serves the answer before", SMALL, WRONG, _seldom(_of_simulation("serves the answer before"))
    ),
    Defect("treats all as safe", WHOLE, UNPROVED, _unsafe_as_safe),
    Defect("takes a reset for a proof", SMALL, UNPROVED, _of_simulation("takes a reset for a proof")),
    Defect("repeats keys in any rack", WHOLE, UNPROVED, _of_simulation("repeats keyed requests in any rack")),
    Defect("takes a 500 for a proof", SMALL, UNPROVED, _of_simulation("takes a 500 for a proof")),
    Defect("refuses whatever it gives up", WHOLE, UNPROVED, _of_simulation("refuses whatever it gives up")),
    Defect("takes a time-out for a proof", SMALL, UNPROVED, _of_simulation("takes a time-out for a proof")),
    Defect("ignores drains", WHOLE, (referee.DRAIN,), _of_simulation("forgets the drain check")),
    Defect("hears of drains two seconds late", SMALL, (referee.DRAIN,), _list_late),
    Defect(
        "fills cold servers first",
        WHOLE,
        (referee.COLD,),
        _of_simulation("sends to the newest first, cold or not"),
    ),
    Defect("ignores the cold budget", SMALL, (referee.COLD,), _of_simulation("ignores the cold budget")),
    Defect("makes a fourth attempt", WHOLE, (referee.ATTEMPTS,), _of_simulation("makes a fourth attempt")),
    Defect("sends once more after the answer", WHOLE, (referee.SENT_AFTER,), _once_more_after_the_answer),
    Defect(
        "seldom sends once more after it", SMALL, (referee.SENT_AFTER,), _seldom(_once_more_after_the_answer)
    ),
    Defect("ignores that clients leave", WHOLE, (referee.GONE,), _leaving_ignored),
    Defect(
        "does not look before it writes",
        SMALL,
        (referee.GONE,),
        _of_simulation("begins for clients whose close is unread"),
    ),
    Defect("tells 0.6 s more than is left", WHOLE, (referee.DEADLINE,), _told_too_much),
    Defect(
        "tells the whole patience",
        SMALL,
        (referee.DEADLINE,),
        _of_simulation("tells each upstream the class's deadline"),
    ),
    Defect("refuses a third", WHOLE, (SERVICE,), _refuse_a_third),
    Defect("refuses half of a class", SMALL, (SERVICE,), _refuse_half_of_a_class),
    Defect("ends at a reset", WHOLE, (PROCESS,), _falls_at_a_reset),
    Defect(
        "raises in one of fifty timers", SMALL, (PROCESS,), _of_simulation("raises in one of fifty timers")
    ),
]
NAMED = {one.name: one for one in DEFECTS}


def apply(defect: Defect) -> None:
    """Put a fault into this process for good."""
    for owner, name, value in defect.patches():
        setattr(owner, name, value)


if __name__ == "__main__":
    apply(NAMED[" ".join(sys.argv[1:])])
    sys.exit(program.main())

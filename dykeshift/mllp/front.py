"""The clinics' side on sockets: MLLP connections to one driver; a shell round session, mapping and memory.

A client that goes away leaves its message in work: it may have run, and a resend is owed what came of it.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from datetime import datetime, UTC
from functools import partial
from typing import Any

from dykeshift.clock import Clock
from dykeshift.engine.driver import Driver
from dykeshift.engine.terms import Final, How
from dykeshift.mllp import acks, message
from dykeshift.mllp.acks import Code, Problem
from dykeshift.mllp.mapping import Mapping, made
from dykeshift.mllp.memory import Identity, Memory, Verdict, identify
from dykeshift.mllp.session import Session, Slot

log = logging.getLogger(__name__)

SWEEP = 0.1  # seconds between two looks at connections
SLOW = 5_000_000_000  # nanoseconds that one frame may take to come
_PROBLEMS = {
    How.FAILED: (Code.AE, Problem(acks.INTERNAL, "failed: it may have had its effect")),
    How.LATE: (Code.AE, Problem(acks.INTERNAL, "no answer in time: it may have had its effect")),
    How.REFUSED: (Code.AR, Problem(acks.INTERNAL, "refused for now: send it again")),
}
_CONFLICT = Problem(acks.DUPLICATE, "the control id came before with other content", "MSH^1^10")
_UNKNOWN = Problem(acks.INTERNAL, "it may be a resend of what is no longer known: nothing was sent")

Waiter = tuple["Line", Slot]


class MllpFront:
    """All connections of one listener together. `name` makes our own control ids unique among balancers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, driver: Driver, mapping: Mapping,
                 memory: Memory[Waiter], name: str, limit: int = 8, max_frame: int = 1 << 20,
                 most: int = 100) -> None:
        self.loop, self.clock, self.driver, self.mapping, self.memory = loop, clock, driver, mapping, memory
        self.limit, self.max_frame, self.most = limit, max_frame, most
        self.lines: dict[Line, None] = {}
        self.ids = (f"{name}-{clock.time_ns():x}-{n:x}" for n in itertools.count())
        self.sweeper = loop.call_later(SWEEP, self.sweep)

    def connect(self) -> Line:
        return Line(self)

    def drain(self) -> None:
        """No new frames; connections end when all that was taken is answered."""
        for line in list(self.lines):
            line.session.drain()
            line.settle()

    def sweep(self) -> None:
        for line in list(self.lines):
            if line.session.deframer.late(self.clock.monotonic_ns(), SLOW):
                line.abort()
        self.sweeper = self.loop.call_later(SWEEP, self.sweep)

    # ---- one message ----

    def handle(self, line: Line, slot: Slot) -> None:
        arrived = self.clock.monotonic_ns()
        try:
            got = message.read(slot.content)
        except message.Unreadable as exc:
            self._reject(line, slot, None, Problem(exc.code, exc.text, exc.location))
            return
        header = got.header
        identity = identify(header.raw(3), header.raw(4), header.control_id, slot.content)
        try:
            rule = self.mapping.choose(header)
        except message.Unreadable as exc:
            self._reject(line, slot, header, Problem(exc.code, exc.text, exc.location))
            return
        if identity.name not in self.memory.open and identity.key() in self.driver.jobs:
            # Given up a moment ago, and an attempt has not come back yet: for now.
            self._reject(line, slot, header, _PROBLEMS[How.REFUSED][1])
            return
        ruling = self.memory.arrive(self.clock.time_ns(), identity, made(header), (line, slot))
        if ruling.verdict is Verdict.CONFLICT:
            self._reject(line, slot, header, _CONFLICT)
        elif ruling.verdict is Verdict.UNKNOWN:
            self._say(line, slot, header, Code.AE, _UNKNOWN)
        elif ruling.verdict is Verdict.REPLAY:
            line.answer(slot, self._accepted(header), last=False)
            line.answer(slot, ruling.answer)
        else:
            line.answer(slot, self._accepted(header), last=False)
            if ruling.verdict is Verdict.NEW:
                asked = self.mapping.ask(rule, identity.key(), got)
                self.memory.sending(identity)
                self.driver.submit(asked, arrived, partial(self._final, identity, header))

    def _final(self, identity: Identity, header: message.Header, final: Final) -> None:
        code, problem = _PROBLEMS.get(final.how, (Code.AA, None))
        answer = self._ack(header, code, problem)
        if final.how is How.REFUSED:
            waiting = self.memory.withdraw(identity)  # certainly not run: a resend may be taken as new
        else:
            waiting = self.memory.answer(self.clock.time_ns(), identity, answer)
        for line, slot in waiting:
            line.answer(slot, answer)

    # ---- words ----

    def _ack(self, header: message.Header | None, code: Code, problem: Problem | None = None) -> bytes:
        """Nothing where the sender does not want this acknowledgement."""
        if header is not None and not acks.wanted(header, code):
            return b""
        now = datetime.fromtimestamp(self.clock.time_ns() / 1e9, UTC)
        return acks.build(header, code, next(self.ids), now.strftime("%Y%m%d%H%M%S+0000"), problem)

    def _accepted(self, header: message.Header) -> bytes:
        return self._ack(header, Code.CA)

    def _reject(self, line: Line, slot: Slot, header: message.Header | None, problem: Problem) -> None:
        self._say(line, slot, header, Code.AR, problem)

    def _say(self, line: Line, slot: Slot, header: message.Header | None, code: Code,
             problem: Problem) -> None:
        """At the accept level where that is spoken (CE, CR), else at the application's."""
        accept = Code("C" + code.value[1])
        answer = self._ack(header, accept, problem) if header is not None else b""
        line.answer(slot, answer or self._ack(header, code, problem))


class Line(asyncio.Protocol):
    """One connection of a clinic."""

    def __init__(self, front: MllpFront) -> None:
        self.front = front
        self.session = Session(front.limit, front.max_frame)
        self.transport: Any = None
        self.stopped = False  # reading is

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if len(self.front.lines) >= self.front.most:
            transport.abort()
            return
        self.front.lines[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.lines.pop(self, None)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self._handle(self.session.receive(self.front.clock.monotonic_ns(), data))

    def _handle(self, slots: list[Slot]) -> None:
        for slot in slots:
            self.front.handle(self, slot)
        self.settle()

    def answer(self, slot: Slot, part: bytes, last: bool = True) -> None:
        out, taken = self.session.answer(slot, part, last)
        if out and self.transport is not None:
            self.transport.write(out)
        if taken:
            self.front.loop.call_soon(self._handle, taken)
        self.settle()

    def settle(self) -> None:
        """Stop or go on reading, or close when all is done."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.session.finished:
            self.transport.close()
        elif self.session.full != self.stopped:
            self.stopped = self.session.full
            (self.transport.pause_reading if self.stopped else self.transport.resume_reading)()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

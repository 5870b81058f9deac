"""The clinics' side on sockets: MLLP connections to one driver; a shell round session, mapping and memory.

A client that goes away leaves its message in work: it may have run, and a resend is owed what came of it.

What is remembered of an answer is its code and, behind it, the application acknowledgement as it was sent.
In enhanced mode a CA promises that the message is safe with us. It goes out ahead of the rest only where that
is true and the client will hear what becomes of the message: the journal has it, and MSH-16 wants an answer
of any kind. Otherwise it waits for the end, and is CE or CR where that is no good one.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter
from datetime import datetime, UTC
from functools import partial
from typing import Any

from dykeshift.clock import Clock
from dykeshift.engine.arrivals import Arrivals
from dykeshift.engine.budget import Budget
from dykeshift.engine.driver import Driver
from dykeshift.engine.reading import FULL, UNLIMITED, PieceReader
from dykeshift.engine.terms import Final, FinalStatus
from dykeshift.interface import Settings
from dykeshift.mllp import acks, message
from dykeshift.mllp.acks import Code, Problem
from dykeshift.mllp.carrier import MllpAnswer
from dykeshift.mllp.framing import VT
from dykeshift.mllp.journal import ANSWER_WITHIN, Journal
from dykeshift.mllp.mapping import Asked, Mapping, made
from dykeshift.mllp.memory import Identity, Memory, Verdict, identify
from dykeshift.mllp.session import Session, Slot

log = logging.getLogger(__name__)

SWEEP = 0.1  # seconds between two looks at connections
LINGER = 0.5  # seconds in which a client whose connection is to end may go on sending
SLOW = 5_000_000_000  # nanoseconds that one frame may take to come
STORE_SHARE = 0.5  # of its patience: so long a message waits for the journal before it is sent
_PROBLEMS = {
    FinalStatus.FAILED: (Code.AE, Problem(acks.INTERNAL, "failed: it may have had its effect")),
    FinalStatus.LATE: (Code.AE, Problem(acks.INTERNAL, "no answer in time: it may have had its effect")),
    FinalStatus.REFUSED: (Code.AR, Problem(acks.INTERNAL, "refused for now: send it again")),
}
_CONFLICT = Problem(acks.DUPLICATE, "the control id came before with other content", "MSH^1^10")
_UNKNOWN = Problem(acks.INTERNAL, "it may be a resend of what is no longer known: nothing was sent")
_NO_JOURNAL = Problem(acks.INTERNAL, "the journal takes nothing: send it again later")

Waiter = tuple["Line", Slot]


class MllpFront:
    """All connections together. `name` makes our own control ids unique among balancers and their lives."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        driver: Driver,
        mapping: Mapping,
        memory: Memory[Waiter],
        name: str,
        journal: Journal | None = None,
        limit: int = 8,
        max_frame: int = 1 << 20,
        most: int = 100,
        buffer_limit: int = 64 << 20,
        socket_buffer: int = 0,
    ) -> None:
        """`buffer_limit`: bytes of frames that all connections together may keep.

        `socket_buffer`: bytes that the kernel may hold of a connection in each direction; 0: its default.
        """
        self.budget, self.socket_buffer = Budget[Line](max(buffer_limit, 2 * max_frame)), socket_buffer
        self.loop, self.clock, self.driver, self.mapping = loop, clock, driver, mapping
        self.memory, self.journal = memory, journal
        self.storing: Counter[int] = Counter()  # messages that the journal writes, by position of their class
        self.limit, self.max_frame, self.most = limit, max_frame, most
        self.lines: dict[Line, None] = {}
        self.ids = (f"{name}-{clock.time_ns():x}-{n:x}" for n in itertools.count())
        self.sweeper = loop.call_later(SWEEP, self.sweep)
        self.arrivals = Arrivals(loop, clock)
        self.draining = False

    def connect(self) -> Line:
        """The protocol of a new connection."""
        return Line(self)

    def admit(self, line: Line) -> bool:
        """Count a new connection in; over the limit, the one that has been idle longest makes room."""
        if len(self.lines) >= self.most:
            idle = next((one for one in self.lines if one.idle()), None)
            if idle is None:
                return False
            idle.abort()
        self.lines[line] = None
        return True

    def note_kept(self, line: Line) -> None:
        """Keep within the budget of bytes: reset connections whose frame under way holds most for longest.

        Such a frame was not taken, and its sender sends it again. While more is kept than allowed,
        connections with messages in work are not read.
        """
        crowded = self.budget.exceeded
        self.budget.set_usage(line, line.session.kept)
        while self.budget.exceeded:
            under_way = [one for one in self.budget.usage if one.may_be_dropped()]
            if not under_way:
                break
            now = self.clock.monotonic_ns()
            max(under_way, key=lambda one: one.held_bytes_ns(now)).abort()
        if crowded is not self.budget.exceeded:
            for one in list(self.lines):
                one.settle()

    def take_settings(self, settings: Settings) -> None:
        """Messages that come from now on have the terms of these settings; `classes` is by position."""
        self.mapping.follow(settings.classes, settings.retired)
        self._reserve_positions()

    def _reserve_positions(self) -> None:
        """Reserve the positions that messages will be submitted with."""
        self.driver.reserved_positions = self.mapping.positions().union(self.storing)

    def drain(self) -> None:
        """No new frames; connections end when all that was taken is answered."""
        self.draining = True
        for line in list(self.lines):
            line.session.drain()
            line.settle()

    def busy(self) -> bool:
        """Whether anything that was taken is not answered, be its client gone or not, or not yet read."""
        return bool(self.memory.open or self.lines)

    def close(self) -> None:
        """Stop the sweep and close the journal."""
        self.sweeper.cancel()
        if self.journal is not None:
            self.journal.close()

    def sweep(self) -> None:
        """Drop connections that linger or whose block takes too long; runs again every `SWEEP` seconds."""
        self.arrivals.tick()
        for line in list(self.lines):
            lingers = line.closing and self.loop.time() - line.closing > LINGER
            if lingers or line.session.deframer.late(self.clock.monotonic_ns(), SLOW):
                line.abort()
        self.sweeper = self.loop.call_later(SWEEP, self.sweep)

    # ---- one message ----

    def handle(self, line: Line, slot: Slot) -> None:
        """Route one message: submit it, or answer it from the memory, or reject it with its reason."""
        header = None
        if acks.is_ack(slot.content):
            line.answer(slot, b"")  # acknowledgements are not acknowledged, or two systems never end
            return
        try:
            got = message.read(slot.content)
            header = got.header
            identity = identify(header.raw(3), header.raw(4), header.control_id, slot.content)
            asked = self.mapping.ask(identity, got)
        except message.MessageError as exc:
            self._say(line, slot, header, Code.AR, Problem(exc.code, exc.text, exc.location))
            return
        ruling = self.memory.arrive(self.clock.time_ns(), identity, made(header), (line, slot))
        if ruling.verdict is Verdict.CONFLICT:
            self._say(line, slot, header, Code.AR, _CONFLICT)
        elif ruling.verdict is Verdict.UNKNOWN:
            self._say(line, slot, header, Code.AE, _UNKNOWN)
        elif ruling.verdict is Verdict.REPLAY:
            self._end(line, slot, header, ruling.answer)
        elif ruling.verdict is Verdict.NEW and asked.id in self.driver.jobs:
            # Given up a moment ago, certainly not run, and an attempt has not come back yet: for now.
            self.memory.withdraw(identity)
            self._say(line, slot, header, *_PROBLEMS[FinalStatus.REFUSED])
        elif ruling.verdict is Verdict.NEW:
            self._begin(identity, header, asked, slot.began)
        elif self.memory.open[identity.name].stored:
            self._accept(line, slot, header)

    def _begin(self, identity: Identity, header: message.Header, asked: Asked, arrived: int) -> None:
        if self.journal is None:
            self._submit(identity, header, asked, arrived)
        else:
            then = partial(self._stored, identity, header, asked, arrived)
            until = self.driver.termination.limit(arrived + int(asked.client_timeout * STORE_SHARE))
            left = until - self.clock.monotonic_ns()
            self.storing[asked.klass] += 1
            self.journal.sent(identity, self.memory.open[identity.name].made, then, max(0.0, left / 1e9))

    def _stored(
        self, identity: Identity, header: message.Header, asked: Asked, arrived: int, lasts: bool
    ) -> None:
        if not lasts:
            self._end_storing(asked.klass)
            self._give_back(identity, header, _NO_JOURNAL)
            return
        self._submit(identity, header, asked, arrived)
        self._end_storing(asked.klass)
        entry = self.memory.open.get(identity.name)
        if entry is not None:
            entry.stored = True
            for line, slot in list(entry.waiting):
                self._accept(line, slot, header)

    def _end_storing(self, position: int) -> None:
        """A message of the class at this position does not wait for the journal any more."""
        self.storing[position] -= 1
        if not self.storing[position]:
            del self.storing[position]
            self._reserve_positions()

    def _submit(self, identity: Identity, header: message.Header, asked: Asked, arrived: int) -> None:
        self.driver.submit(
            asked, arrived, partial(self._final, identity, header, arrived + asked.client_timeout)
        )

    def _final(self, identity: Identity, header: message.Header, due: int, final: Final) -> None:
        if final.status is FinalStatus.REFUSED:
            self._give_back(identity, header, _PROBLEMS[FinalStatus.REFUSED][1])
            return
        code, problem = _PROBLEMS.get(final.status, (Code.AA, None))
        if final.status is FinalStatus.SERVED and isinstance(final.answer, MllpAnswer):
            content = final.answer.body if acks.wanted(header, code) else b""  # its sender's own words
        else:
            content = self._ack(header, code, problem)
        answer = code.value.encode() + content
        if self.journal is None:
            self._done(identity, header, answer)
        elif final.status is FinalStatus.SERVED:
            left = self.driver.termination.limit(due) - self.clock.monotonic_ns()
            within = max(0.0, min(ANSWER_WITHIN, left / 1e9))
            self.journal.answered(
                identity,
                self.memory.open[identity.name].made,
                answer,
                lambda _: self._done(identity, header, answer),
                within,
            )
        else:  # it was given up, so it is answered at once; should the record be lost, a resend hears AE too
            self.journal.answered(identity, self.memory.open[identity.name].made, answer)
            self._done(identity, header, answer)

    def _done(self, identity: Identity, header: message.Header, answer: bytes) -> None:
        for line, slot in self.memory.answer(self.clock.time_ns(), identity, answer):
            self._end(line, slot, header, answer)

    def _give_back(self, identity: Identity, header: message.Header, problem: Problem) -> None:
        """It has certainly not run: a resend is taken as new."""
        if self.journal is not None:
            self.journal.withdrawn(identity)
        for line, slot in self.memory.withdraw(identity):
            self._say(line, slot, header, Code.AR, problem)

    # ---- words ----

    def _ack(self, header: message.Header | None, code: Code, problem: Problem | None = None) -> bytes:
        """Nothing where the sender does not want this acknowledgement."""
        if header is not None and not acks.wanted(header, code):
            return b""
        now = datetime.fromtimestamp(self.clock.time_ns() / 1e9, UTC)
        return acks.build(header, code, next(self.ids), now.strftime("%Y%m%d%H%M%S+0000"), problem)

    def _accept(self, line: Line, slot: Slot, header: message.Header) -> None:
        """CA ahead of the end, where its client will hear of any end."""
        if not slot.accepted and acks.wanted(header, Code.AE) and acks.wanted(header, Code.AR):
            slot.accepted = True
            line.answer(slot, self._ack(header, Code.CA), last=False)

    def _end(self, line: Line, slot: Slot, header: message.Header, answer: bytes) -> None:
        """What is remembered, with the accept acknowledgement before it where that is still owed: CA where
        the application's follows, as the message was taken, else the end itself."""
        if not slot.accepted:
            code = Code.CA if answer[2:] else Code("C" + answer[1:2].decode())
            line.answer(slot, self._ack(header, code), last=False)
        line.answer(slot, answer[2:])

    def _say(
        self, line: Line, slot: Slot, header: message.Header | None, code: Code, problem: Problem
    ) -> None:
        """What is not remembered: as an accept acknowledgement where that is owed, else the application's."""
        accept = b""
        if header is not None and not slot.accepted:
            accept = self._ack(header, Code("C" + code.value[1]), problem)
        line.answer(slot, accept or self._ack(header, code, problem))


class Line(PieceReader):
    """One connection of a clinic."""

    read_buffer = UNLIMITED

    def __init__(self, front: MllpFront) -> None:
        self.front = front
        self.session = Session(front.limit, front.max_frame)
        self.loop, self.pauses = front.loop, 0
        self.transport: Any = None
        self.choked = False  # the client does not read its answers
        self.since = front.loop.time()  # when it last wrote, or began
        self.ended = False  # the client has ended its sending
        self.closing = 0.0  # since when: all is answered, and what still comes is dropped

    def connection_made(self, transport: Any) -> None:
        """Register the connection, or reset it when the front drains or is full."""
        self.transport = transport
        if self.front.socket_buffer:
            self.front.clock.limit_receiving(transport, self.front.socket_buffer)
            self.front.clock.limit_sending(transport, self.front.socket_buffer)
        if self.front.draining or not self.front.admit(self):
            transport.abort()

    def eof_received(self) -> bool:
        """A client that has ended its sending may still read what it is owed."""
        self.ended = True
        self.session.drain()
        return not self.session.finished

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; its messages stay in work."""
        self.front.lines.pop(self, None)
        self.transport = None
        self.front.budget.set_usage(self, 0)

    def pause_writing(self) -> None:
        """Stop reading while the client does not read its answers."""
        self.choked = True
        self.settle()

    def resume_writing(self) -> None:
        """Read again once the client has read its answers."""
        self.choked = False
        self.settle()

    def data_received(self, data: bytes) -> None:
        """Cut the bytes into messages and handle those that are whole."""
        if self.closing or self.transport is None:
            return
        self.front.lines[self] = self.front.lines.pop(self, None)  # the latest heard stands last
        arrived = self.front.arrivals.arrival_time(self.transport, several=data.count(VT) > 1)
        self._handle(self.session.receive(arrived, data))

    def _handle(self, slots: list[Slot]) -> None:
        for slot in slots:
            self.front.handle(self, slot)
        if self.transport is not None:
            self.front.note_kept(self)
        self.settle()

    def answer(self, slot: Slot, part: bytes, last: bool = True) -> None:
        """Queue an answer, or a part of one, and write what may leave in order."""
        out, taken = self.session.answer(slot, part, last)
        if out and self.transport is not None:
            self.since = self.front.loop.time()
            self.transport.write(out)
        if taken:
            self.front.loop.call_soon(self._handle, taken)
        if self.transport is not None:
            self.front.note_kept(self)
        self.settle()

    def settle(self) -> None:
        """Stop or go on reading, or close when all is done."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.closing:
            return
        if self.session.finished and self.ended:
            self.transport.close()
        elif self.session.finished:
            # Closed outright, what the client still sends would be met by a reset, which can take the
            # last answer with it: read on until it closes, or for LINGER at the most.
            self.closing = self.front.loop.time()
            self.transport.write_eof()
            self.resume_for(FULL)
        elif self.session.full or self.choked or self._must_wait():
            self.pause_for(FULL)
        else:
            self.resume_for(FULL)

    @property
    def stopped(self) -> bool:
        """Whether nothing is read, as it may not bring more."""
        return bool(self.pauses & FULL)

    def _must_wait(self) -> bool:
        """Whether it may not bring more, as all connections together keep too much."""
        return self.front.budget.exceeded and bool(self.session.open)

    def may_be_dropped(self) -> bool:
        """Whether nothing of it but a frame under way is kept, which was not taken."""
        return self.session.deframer.kept > 0 and not self.session.open and not self.session.held

    def held_bytes_ns(self, now: int) -> int:
        """Bytes of the frame under way, times the nanoseconds since it began."""
        return self.session.deframer.kept * (now - (self.session.deframer.began or now))

    def idle(self) -> bool:
        """No byte of a frame has come that is not answered, and no answer is on its way."""
        if self.front.loop.time() - self.since < LINGER:
            return False
        waits = self.session.open or self.session.held or self.session.deframer.unfinished()
        return not waits and not self.choked and not self.front.clock.has_input(self.transport)

    def abort(self) -> None:
        """Reset the connection."""
        # Out of the counts at once: its end is told later.
        self.front.lines.pop(self, None)
        self.front.budget.set_usage(self, 0)
        self.session.deframer.discard()
        if self.transport is not None:
            self.transport.abort()

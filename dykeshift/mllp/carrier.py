"""MLLP towards upstreams: a message goes as it came, and its acknowledgement says what is proved.

| what comes | outcome | proves |
| --- | --- | --- |
| AA; CA where MSH-16 wants no application acknowledgement | OK | it was done, or is safe with its receiver |
| AR, CR | FULL | not done: rejected before its content was acted on (sections 2.9.2 and 2.9.3) |
| AE, CE | ERROR | nothing: it may have had its effect |
| CA, and then nothing | TIMEOUT | nothing |
| another MSA-2, an answer to nothing, no acknowledgement, a broken frame, a close | RESET | nothing |
| no connection, or not all of it written | CONNECT_FAILED | not done |

A connection on which anything came out of step is closed: no message is written to it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dykeshift.clock import Clock
from dykeshift.engine.bodies import Message
from dykeshift.engine.link import Exchange, Link
from dykeshift.engine.reading import UNLIMITED
from dykeshift.engine.terms import SubmittedRequest
from dykeshift.engine.upstream import AttemptResult
from dykeshift.interface import Outcome
from dykeshift.mllp import acks, message
from dykeshift.mllp.acks import Ack, Code
from dykeshift.mllp.framing import Broken, Deframer, frame
from dykeshift.mllp.mapping import MEDIA_TYPE

_OUTCOMES = {
    Code.AA: Outcome.OK,
    Code.CA: Outcome.OK,
    Code.AR: Outcome.FULL,
    Code.CR: Outcome.FULL,
    Code.AE: Outcome.ERROR,
    Code.CE: Outcome.ERROR,
}


@dataclass(frozen=True, slots=True)
class MllpAnswer:
    """The acknowledgement that settled a message, as it came."""

    ack: Ack
    body: bytes
    content_type: bytes = MEDIA_TYPE
    rest: None = None  # a frame is taken whole
    length: None = None


class Dialogue:
    """What may come for one message, and what settles it. Sans-I/O."""

    def __init__(self, content: bytes) -> None:
        header = message.read(content).header
        self.control_id = header.control_id
        self.awaits_application = not header.enhanced or header.raw(16) == b"AL"
        self.accepts = header.enhanced and bool(header.raw(15))
        self.accepted = False

    def hear(self, content: bytes) -> MllpAnswer | None:
        """The answer, or None where more must come; MessageError where this is out of step."""
        ack = acks.parse(content)
        if ack.control_id != self.control_id:
            raise message.MessageError(acks.SEQUENCE, "MSA-2 is that of another message", "MSA^1^2")
        if ack.code.accept_level:
            if not self.accepts or self.accepted:
                raise message.MessageError(acks.SEQUENCE, "an accept acknowledgement that none asked for")
            self.accepted = True
            if ack.code is Code.CA and self.awaits_application:
                return None
        return MllpAnswer(ack, content)


class MllpLink(Link):
    """One connection to an MLLP server: one message at a time."""

    __slots__ = (*Link.SLOTS, "fed", "deframer", "dialogue")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        on_idle: Callable[[Any], None],
        on_lost: Callable[[Any], None],
        max_frame: int,
    ) -> None:
        self.set_up(loop, clock, on_idle, on_lost, UNLIMITED)
        self.fed = 0
        self.deframer = Deframer(max_frame)
        self.dialogue: Dialogue | None = None

    def send(self, data: Message, exchange: Exchange) -> None:
        """Write one framed message and expect its acknowledgement."""
        assert isinstance(data, bytes)
        self.dialogue = Dialogue(data[1:-2])
        super().send(data, exchange)

    def data_received(self, data: bytes) -> None:
        """Feed the bytes to the deframer; settle the exchange, or mark the connection as out of step."""
        self.fed += len(data)
        settled: MllpAnswer | None = None
        for event in self.deframer.feed(0, data):
            if self.dialogue is None or isinstance(event, Broken):
                self.has_unexpected_data = True
                break
            try:
                settled = self.dialogue.hear(event.content)
            except message.MessageError:
                self.has_unexpected_data = True
                break
            if settled is not None:
                self.dialogue = None
        if self.dialogue is None and self.deframer.unfinished():
            self.has_unexpected_data = True
        if settled is not None:
            self._complete(settled, not self.has_unexpected_data and not self.unwritten)
        elif self.has_unexpected_data:
            self._break()


class MllpCarrier:
    """Opens MLLP connections to upstreams and tells what an acknowledgement proves."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, max_frame: int) -> None:
        self.loop, self.clock, self.max_frame = loop, clock, max_frame

    def connection(self, on_idle: Callable[[Any], None], on_lost: Callable[[Any], None]) -> MllpLink:
        """A connection that is not opened yet; the pool calls back when it is idle or lost."""
        return MllpLink(self.loop, self.clock, on_idle, on_lost, self.max_frame)

    def encoder(self, asked: SubmittedRequest) -> Callable[[int], bytes]:
        """The bytes of an attempt: the framed message, whatever time is left."""
        framed = frame(asked.body)
        return lambda _: framed

    def result(self, answer: MllpAnswer) -> AttemptResult:
        """The outcome that an acknowledgement proves, by the table above."""
        return AttemptResult(_OUTCOMES[answer.ack.code], None, answer)

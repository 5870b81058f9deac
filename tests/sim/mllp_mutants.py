"""Seeded defects of MLLP: memory, session, front, journal and carrier."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from dykeshift.engine import link, terms
from dykeshift.interface import Outcome
from dykeshift.mllp import acks, carrier, front, journal, memory, session
from dykeshift.mllp.framing import frame
from dykeshift.sim import referee
from dykeshift.sim.scenario import STRICTER, WITH_MLLP
from tests.sim.defect import Mutant, Patch

REPEATED = (referee.EFFECT_TWICE, referee.UNSAFE_AGAIN, referee.SENT_AFTER, referee.KEYED_ASTRAY)


def _forget_answers() -> list[Patch]:
    return [(memory.Memory, "_keep", lambda self, entry: None)]


def _send_unjournalled() -> list[Patch]:
    def sent(self: journal.Journal, identity: Any, made: Any, then: Any, within: float) -> None:
        self.loop.call_soon(then, True)

    return [(journal.Journal, "sent", sent)]


def _keep_first_classes() -> list[Patch]:
    """Messages keep the terms that their class had at the start."""
    return [(front.MllpFront, "take_settings", lambda self, settings: self._reserve_positions())]


def _ignore_lost_memory() -> list[Patch]:
    def init(self: memory.Memory[Any], now: int, bounds: Any, complete: bool = False) -> None:
        original(self, now, bounds, True)

    original = memory.Memory.__init__
    return [(memory.Memory, "__init__", init)]


def _reject_failures() -> list[Patch]:
    def final(self: front.MllpFront, identity: Any, header: Any, due: int, end: terms.Final) -> None:
        original(
            self,
            identity,
            header,
            due,
            replace(end, status=terms.FinalStatus.REFUSED) if end.status is terms.FinalStatus.FAILED else end,
        )

    original = front.MllpFront._final
    return [(front.MllpFront, "_final", final)]


def _answer_frames_twice() -> list[Patch]:
    def answer(self: front.Line, slot: Any, part: bytes, last: bool = True) -> None:
        first = self.session.open[0] if self.session.open else None
        if last and part and self.transport is not None and first is slot:
            self.transport.write(frame(part))
        original(self, slot, part, last)

    original = front.Line.answer
    return [(front.Line, "answer", answer)]


def _out_of_order() -> list[Patch]:
    def answer(self: session.Session, slot: Any, part: bytes, last: bool = True) -> Any:
        slot.over = last
        if last:
            self.open.remove(slot)
        return (frame(part) if part else b""), self._take()

    return [(session.Session, "answer", answer)]


def _reuse_out_of_step() -> list[Patch]:
    def hear(self: carrier.Dialogue, content: bytes) -> Any:
        ack = replace(acks.parse(content), control_id=self.control_id)
        return carrier.MllpAnswer(ack, content.replace(acks.parse(content).control_id, self.control_id))

    def complete(self: carrier.MllpLink, answer: Any, reuse: bool) -> None:
        self.has_unexpected_data = False
        original(self, answer, True)

    def received(self: carrier.MllpLink, data: bytes) -> None:
        if self.dialogue is not None:
            data_received(self, data)

    original, data_received = link.Link._complete, carrier.MllpLink.data_received
    return [
        (carrier.Dialogue, "hear", hear),
        (carrier.MllpLink, "data_received", received),
        (link.Link, "_complete", complete),
    ]


def _ae_as_not_run() -> list[Patch]:
    return [(carrier, "_OUTCOMES", {**carrier._OUTCOMES, acks.Code.AE: Outcome.FULL})]


def _answer_first_waiter_only() -> list[Patch]:
    def answer(self: memory.Memory[Any], now: int, identity: Any, content: bytes) -> Any:
        return original(self, now, identity, content)[:1]

    original = memory.Memory.answer
    return [(memory.Memory, "answer", answer)]


def _abort_on_drain() -> list[Patch]:
    def drain(self: front.MllpFront) -> None:
        for line in list(self.lines):
            line.abort()

    return [(front.MllpFront, "drain", drain)]


def _accept_ack_as_final() -> list[Patch]:
    def init(self: carrier.Dialogue, content: bytes) -> None:
        original(self, content)
        self.awaits_application = self.awaits_application and not self.accepts

    original = carrier.Dialogue.__init__
    return [(carrier.Dialogue, "__init__", init)]


def _wait_for_disk() -> list[Patch]:
    def answered(
        self: journal.Journal, identity: Any, made: Any, answer: bytes, then: Any = None, within: float = 0.0
    ) -> None:
        original(self, identity, made, answer, then, 60.0)

    original = journal.Journal.answered
    return [(journal.Journal, "answered", answered)]


def _no_journal_recovery() -> list[Patch]:
    return [(journal.Journal, "_recover", lambda self: None)]


def _arrival_time_when_read() -> list[Patch]:
    def received(self: front.Line, data: bytes) -> None:
        if not self.closing and self.transport is not None:
            self._handle(self.session.receive(self.front.clock.monotonic_ns(), data))

    return [(front.Line, "data_received", received)]


MLLP_MUTANTS = [
    Mutant(name, where, rules, patches, WITH_MLLP)
    for name, where, rules, patches in (
        ("forgets what it answered", "mllp/memory", REPEATED, _forget_answers),
        ("sends what the journal does not have", "mllp/journal", REPEATED, _send_unjournalled),
        ("takes a start without a journal for a first one", "mllp/memory", REPEATED, _ignore_lost_memory),
        ("rejects what failed", "mllp/front", (referee.REFUSED_RUN,), _reject_failures),
        ("answers a frame twice", "mllp/front", (referee.TWICE_ANSWERED,), _answer_frames_twice),
        (
            "answers frames as it comes, not in their order",
            "mllp/session",
            (referee.TWICE_ANSWERED,),
            _out_of_order,
        ),
        (
            "trusts a connection that answered out of step",
            "mllp/carrier",
            (referee.WRONG_ANSWER,),
            _reuse_out_of_step,
        ),
        (
            "takes an AE for a proof",
            "mllp/carrier",
            (referee.UNSAFE_AGAIN, referee.REFUSED_RUN),
            _ae_as_not_run,
        ),
        ("answers only the first who waits", "mllp/memory", (referee.LOST,), _answer_first_waiter_only),
        ("hangs up on a drain", "mllp/front", (referee.LOST,), _abort_on_drain),
        (
            "takes acceptance for the end",
            "mllp/carrier",
            (referee.WRONG_ANSWER, referee.TWICE_ANSWERED),
            _accept_ack_as_final,
        ),
        ("lets an answer wait for the disk", "mllp/journal", (referee.LOST,), _wait_for_disk),
        (
            "never begins a failed journal anew",
            "mllp/journal",
            (referee.NOT_SERVED_AGAIN,),
            _no_journal_recovery,
        ),
        ("counts a message's time from its reading", "mllp/front", (referee.LOST,), _arrival_time_when_read),
    )
]
MLLP_MUTANTS.append(
    Mutant("keeps the classes of the start", "mllp/front", REPEATED, _keep_first_classes, STRICTER)
)

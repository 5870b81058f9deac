"""Coverage-guided fuzzing of MLLP's readers (atheris): any bytes, only their own errors, any split the same.

    pip install atheris && python benchmarks/mllp_fuzz.py -max_total_time=600

Not part of CI. libFuzzer's options apply; a crash file is written where it is run.
"""

from __future__ import annotations

import sys

import atheris

with atheris.instrument_imports(include=["dykeshift"]):
    from dykeshift.interface import Idempotency, RequestClass, Scope
    from dykeshift.mllp import acks, bridge, message
    from dykeshift.mllp.carrier import Dialogue
    from dykeshift.mllp.framing import Broken, Deframer, Frame, frame
    from dykeshift.mllp.mapping import Mapping, Rule, made
    from dykeshift.mllp.memory import identify
    from dykeshift.mllp.session import Session

KEYED = RequestClass("set", 1, 10**9, 1.0, 0.0, Idempotency.KEYED, Scope.CELL, 1)
MAPPING = Mapping((KEYED,), [Rule("SIU", 0, 10**9, key="SCH-1.1"), Rule("ORM^O01", 0, 10**9)])


def deframe(data: bytes, cut: int) -> list[Frame | Broken]:
    """What comes of the bytes, fed in two pieces."""
    deframer, out = Deframer(64), list[Frame | Broken]()
    for piece in (data[:cut], data[cut:]):
        out += deframer.feed(0, piece)
    return out


def one(data: bytes) -> None:
    """Hold one input against the readers' promises."""
    cut, content = data[0] if data else 0, data[1:]
    assert deframe(content, cut) == deframe(content, len(content))
    session = Session(2, 64)
    slots = session.receive(0, content)
    while slots:
        assert len(session.open) <= 2
        slots += session.answer(slots.pop(0), b"x")[1]
    bridge.objection(KEYED, b"k", content)
    try:
        got = message.read(content)
        made(got.header)
        identity = identify(got.header.raw(3), got.header.raw(4), got.header.control_id, content)
        for code in acks.Code:
            built = acks.build(got.header, code, "own", "20261201", acks.Problem(207, "text", "MSH^1^9"))
            frame(built)
            assert acks.parse(built).control_id == got.header.control_id
        MAPPING.ask(identity, got)
    except (message.MessageError, ValueError) as exc:
        if isinstance(exc, ValueError) and "block character" not in str(exc):
            raise
    try:
        dialogue = Dialogue(b"MSH|^~\\&|||||||ADT|1|P|2.5.1")
        dialogue.hear(content)
    except message.MessageError:
        pass


if __name__ == "__main__":
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()

"""Acknowledgements (HL7 v2.5.1, chapter 2, section 2.9; segments MSA 2.15.8 and ERR 2.15.5; table 0357).

Original mode: one acknowledgement, AA, AE or AR. Enhanced mode (MSH-15 or MSH-16 valued): an accept
acknowledgement, CA, CE or CR, tells that the message is safely stored, the application acknowledgement what
came of it; MSH-15 and MSH-16 say when each is wanted (AL always, NE never, ER on errors, SU on success).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from dykeshift.mllp.message import Header, MessageError, Separators, escape, read, segments

ACCEPTED, SEQUENCE, MISSING, BAD_TYPE = 0, 100, 101, 102
NO_TYPE, NO_EVENT, NO_PROCESSING, NO_VERSION = 200, 201, 202, 203
DUPLICATE, INTERNAL = 205, 207
TEXTS = {
    0: "Message accepted",
    100: "Segment sequence error",
    101: "Required field missing",
    102: "Data type error",
    103: "Table value not found",
    200: "Unsupported message type",
    201: "Unsupported event code",
    202: "Unsupported processing id",
    203: "Unsupported version id",
    204: "Unknown key identifier",
    205: "Duplicate key identifier",
    206: "Application record locked",
    207: "Application internal error",
}


class Code(Enum):
    """Acknowledgement codes of MSA-1 (table 0008)."""

    AA = "AA"  # application accept: it was done
    AE = "AE"  # application error: it failed, or nobody can say
    AR = "AR"  # application reject: it was not done, for reasons of the message or of the moment
    CA = "CA"
    CE = "CE"
    CR = "CR"

    @property
    def accept_level(self) -> bool:
        """Whether it is an accept acknowledgement (CA, CE, CR) of enhanced mode."""
        return self.value[0] == "C"

    @property
    def good(self) -> bool:
        """Whether it accepts: AA or CA."""
        return self.value[1] == "A"


@dataclass(frozen=True, slots=True)
class Problem:
    """One ERR segment. `location` as ERR-2 has it: `MSH^1^9`."""

    code: int
    text: str = ""
    location: str = ""


@dataclass(frozen=True, slots=True)
class Ack:
    """An acknowledgement as received."""

    code: Code
    control_id: bytes  # MSA-2
    text: str


def wanted(header: Header, code: Code) -> bool:
    """Whether the sender of a message wants this acknowledgement (MSH-15 and MSH-16, table 0155)."""
    if not header.enhanced:
        return not code.accept_level
    when = header.raw(15 if code.accept_level else 16)
    # Not valued in enhanced mode means never, by section 2.9.3.
    return {b"AL": True, b"NE": False, b"ER": not code.good, b"SU": code.good}.get(when, False)


def build(header: Header | None, code: Code, own_id: str, when: str, problem: Problem | None = None) -> bytes:
    """An acknowledgement of the message with this header; None: its header could not be read.

    `own_id` is MSH-10 of the acknowledgement, unique to us; `when` is MSH-7, as `YYYYMMDDHHMMSS`. MSA-2 is
    MSH-10 of the message, byte for byte.
    """
    signs = header.separators if header is not None else Separators()
    bar, part = signs.field, signs.component

    def of(number: int) -> bytes:
        return header.raw(number) if header is not None else b""

    event = header.component(9, 2) if header is not None else b""
    kind = b"ACK" + (part + event + part + b"ACK" if event else b"")
    head = [
        b"MSH",
        signs.encoding(),
        of(5),
        of(6),
        of(3),
        of(4),
        when.encode(),
        b"",
        kind,
        own_id.encode(),
        of(11) or b"P",
        of(12) or b"2.5.1",
    ]
    if of(18):
        head += [b""] * 5 + [of(18)]
    lines = [bar.join(head), bar.join([b"MSA", code.value.encode(), of(10)])]
    if problem is not None:
        location = problem.location.encode().replace(b"^", part)
        name = part.join([str(problem.code).encode(), TEXTS[problem.code].encode(), b"HL70357"])
        text = escape(problem.text.encode("ascii", "replace"), signs)
        lines.append(bar.join([b"ERR", b"", location, name, b"E", b"", b"", b"", text]))
    return b"".join(line + b"\r" for line in lines)


def parse(content: bytes) -> Ack:
    """An acknowledgement; MessageError where it is none."""
    message = read(content)
    fields = message.segment(b"MSA")
    if fields is None or len(fields) < 3:
        raise MessageError(MISSING, "no MSA segment with a code and a control id", "MSA^1")
    try:
        code = Code(fields[1].decode("latin-1"))
    except ValueError:
        raise MessageError(103, f"MSA-1 is {fields[1][:10]!r}", "MSA^1^1") from None
    text = fields[3].decode("latin-1") if len(fields) > 3 else ""
    return Ack(code, fields[2], text)


def is_ack(content: bytes) -> bool:
    """Whether a message is an acknowledgement: those are never routed."""
    return any(line[:3] == b"MSA" for line in segments(content[: 1 << 16])[:3])

"""What routing needs of an HL7 v2 message (HL7 v2.5.1, chapter 2, sections 2.5 to 2.10 and 2.15.9).

Read in place from the bytes, whatever their charset: the separators are single bytes in every charset that
MSH-18 may name for MLLP, and what lies between them is passed on unchanged. A library that parses whole
messages was weighed (python-hl7, hl7apy): both decode the whole message first and build a tree of it, some
hundred times the work and memory of the dozen fields needed, without a bound; so this is our own.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

MAX_HEADER = 2048  # bytes of the MSH segment
MAX_CONTROL_ID = 199  # characters of MSH-10: 20 in v2.5.1, 199 from v2.7 on
_ESCAPES = {b"F": 0, b"S": 1, b"R": 2, b"E": 3, b"T": 4}


class MessageError(Exception):
    """The message cannot be routed. `code` is of table 0357, `location` says where, as ERR-2 has it."""

    def __init__(self, code: int, text: str, location: str = "") -> None:
        super().__init__(text)
        self.code, self.text, self.location = code, text, location


@dataclass(frozen=True, slots=True)
class Separators:
    """The five of MSH-1 and MSH-2, each one byte; subcomponent may be missing in old messages."""

    field: bytes = b"|"
    component: bytes = b"^"
    repetition: bytes = b"~"
    escape: bytes = b"\\"
    subcomponent: bytes = b"&"

    def encoding(self) -> bytes:
        """MSH-2, the encoding characters."""
        return self.component + self.repetition + self.escape + self.subcomponent


@dataclass(frozen=True)
class Header:
    """MSH. Fields by their numbers, as bytes and unescaped only where asked for."""

    separators: Separators
    fields: tuple[bytes, ...]  # from MSH-1 on; MSH-1 is the field separator itself

    def raw(self, number: int) -> bytes:
        """The bytes of field MSH-`number`, empty where it is missing."""
        return self.fields[number - 1] if number <= len(self.fields) else b""

    def component(self, number: int, part: int) -> bytes:
        """Component `part` (from 1) of field MSH-`number`, empty where it is missing."""
        parts = self.raw(number).split(self.separators.component)
        return parts[part - 1] if part <= len(parts) else b""

    @property
    def control_id(self) -> bytes:
        """MSH-10, the message control id."""
        return self.raw(10)

    @cached_property
    def trigger(self) -> str:
        """`SIU^S12`: message code and event of MSH-9, as a mapping names them."""
        code, event = self.component(9, 1), self.component(9, 2)
        return (code + b"^" + event if event else code).decode("latin-1")

    @property
    def enhanced(self) -> bool:
        """Enhanced acknowledgement mode: MSH-15 or MSH-16 is valued (section 2.9.3)."""
        return bool(self.raw(15) or self.raw(16))


@dataclass(frozen=True)
class Message:
    """A message with a readable header; its other segments are split when first asked for."""

    content: bytes
    header: Header

    @cached_property
    def lines(self) -> list[bytes]:
        """The segments, without their carriage returns."""
        return segments(self.content)

    def segment(self, name: bytes, number: int = 1) -> tuple[bytes, ...] | None:
        """The fields of the n-th segment of this name, its name first; None: there is none."""
        seen = 0
        for line in self.lines:
            if line[:3] == name and line[3:4] in (b"", self.header.separators.field):
                seen += 1
                if seen == number:
                    return tuple(line.split(self.header.separators.field))
        return None

    def value(self, path: str) -> bytes:
        """`SCH-1.1`, `PID-3`: first repetition, unescaped; nothing where the message has nothing there."""
        name, _, rest = path.partition("-")
        number, _, part = rest.partition(".")
        separators = self.header.separators
        if name == "MSH":
            text = self.header.raw(int(number))
        else:
            fields = self.segment(name.encode())
            if fields is None or int(number) >= len(fields):
                return b""
            text = fields[int(number)]
        text = text.split(separators.repetition)[0]
        if part:
            parts = text.split(separators.component)
            text = parts[int(part) - 1] if int(part) <= len(parts) else b""
        return unescape(text, separators)


def segments(content: bytes) -> list[bytes]:
    """Segments end with CR; LF and CRLF, which many write, are taken as well."""
    return content.replace(b"\r\n", b"\r").replace(b"\n", b"\r").split(b"\r")


def read(content: bytes) -> Message:
    """A message whose header can be read; MessageError otherwise."""
    head = content[: MAX_HEADER + 1]
    for end in (b"\r", b"\n"):
        head = head.partition(end)[0]
    if head[:3] != b"MSH":
        raise MessageError(100, "the first segment is not MSH", "MSH^1")
    if len(head) > MAX_HEADER:
        raise MessageError(102, f"the MSH segment is longer than {MAX_HEADER} bytes", "MSH^1")
    separators = _separators(head)
    rest = head[4:].split(separators.field)
    header = Header(separators, (separators.field, *rest))
    _require(header)
    return Message(content, header)


def _separators(head: bytes) -> Separators:
    marks = head[4:].partition(head[3:4])[0] if len(head) > 3 else b""
    signs = [head[3:4], *(marks[n : n + 1] for n in range(4))]
    if not signs[4]:
        signs[4] = b"&" if b"&" not in signs else b""
    present = [s for s in signs if s]
    odd = [s for s in present if not 0x21 <= s[0] <= 0x7E or s.isalnum()]
    if len(marks) < 3 or len(marks) > 5 or odd or len(set(present)) < len(present):
        raise MessageError(102, "MSH-1 and MSH-2 name no usable separators", "MSH^1^2")
    return Separators(*signs)


def _require(header: Header) -> None:
    for number, what in ((9, "message type"), (10, "control id")):
        if not header.raw(number):
            raise MessageError(101, f"MSH-{number} ({what}) is missing", f"MSH^1^{number}")
    if len(header.control_id) > MAX_CONTROL_ID:
        raise MessageError(102, f"MSH-10 is longer than {MAX_CONTROL_ID} characters", "MSH^1^10")


def unescape(text: bytes, separators: Separators) -> bytes:
    """Escape sequences of section 2.7 undone; those that are not known stay as they are."""
    if not separators.escape or separators.escape not in text:
        return text
    signs = (
        separators.field,
        separators.component,
        separators.repetition,
        separators.escape,
        separators.subcomponent,
    )
    parts = text.split(separators.escape)
    out, at = parts[0], 1
    while at < len(parts):
        code = parts[at]
        if at + 1 == len(parts):  # no second escape character: no sequence
            return out + separators.escape + code
        if code in _ESCAPES:
            out += signs[_ESCAPES[code]]
        elif code[:1] == b"X" and len(code) % 2 and _is_hex(code[1:]):
            out += bytes.fromhex(code[1:].decode("ascii"))
        else:
            out += separators.escape + code + separators.escape
        out += parts[at + 1]
        at += 2
    return out


def _is_hex(text: bytes) -> bool:
    return all(byte in b"0123456789abcdefABCDEF" for byte in text)


def escape(text: bytes, separators: Separators) -> bytes:
    """The other way: separators and line ends in a text that is put into a field."""
    names = {
        separators.field: b"F",
        separators.component: b"S",
        separators.repetition: b"R",
        separators.escape: b"E",
        separators.subcomponent: b"T",
        b"\r": b"X0D",
        b"\n": b"X0A",
    }
    out = bytearray()
    for n in range(len(text)):
        byte = text[n : n + 1]
        name = names.get(byte)
        out += separators.escape + name + separators.escape if name else byte
    return bytes(out)

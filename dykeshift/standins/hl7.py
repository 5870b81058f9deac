"""HL7 v2 over MLLP as stand-ins speak it, read and written without the program's code.

A reader of its own on purpose, as messages.py has one of HTTP: a stand-in that shared the balancer's would
share its mistakes.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from dykeshift.standins.messages import Message

MEDIA_TYPE = "application/hl7-v2"
TRIGGERS = {"status-check": "QBP^Q11", "reminder-set": "SIU^S12", "sms-send": "ORM^O01"}
MODES = {"original": ("", ""), "both": ("AL", "AL"), "application": ("NE", "AL"), "accept": ("AL", "NE")}
_NAMES = ("Ganbold", "Oyuunchimeg", "Бат-Эрдэнэ", "Цэцэгмаа", "O'Brien\\T\\Sons")


class Blocks:
    """Cuts a stream into the contents of its blocks, however it was torn; ValueError where it is no MLLP."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take the next bytes and return the blocks that are whole. Raises ValueError for unsound framing."""
        self.buffer += data
        whole = list[bytes]()
        while self.buffer:
            if self.buffer[0] != 0x0B:
                raise ValueError(f"no start of a block: {self.buffer[:20]!r}")
            content, end, rest = self.buffer[1:].partition(b"\x1c")
            if not end or not rest:
                break
            if rest[0] != 0x0D or b"\x0b" in content:
                raise ValueError("no sound block")
            whole.append(content)
            self.buffer = rest[1:]
        return whole

    def idle(self) -> bool:
        """Whether no block is under way."""
        return not self.buffer


def block(content: bytes) -> bytes:
    """The content as an MLLP block."""
    return b"\x0b" + content + b"\x1c\x0d"


@dataclass(frozen=True, slots=True)
class Note:
    """A message of a clinic, or what of it a sender needs. Work in milliseconds."""

    control_id: str
    clinic: str
    klass: str
    mode: str = "original"
    cost: int = 20
    made: str = ""  # MSH-7
    patient: str = "Ganbold"
    facility: str = "DORNOD"

    def content(self) -> bytes:
        """Two segments that the standard names, and one of ours (`Z`) with what a stand-in sender goes by."""
        accept, application = MODES[self.mode]
        head = (
            f"MSH|^~\\&|{self.clinic}|{self.facility}|LIFTTRAIL|CHOIBALSAN|{self.made}||"
            f"{TRIGGERS[self.klass]}|{self.control_id}|P|2.5.1|||{accept}|{application}|||UNICODE UTF-8"
        )
        return f"{head}\rPID|1||42||{self.patient}\rZLT|{self.klass}|{self.cost}\r".encode()


def read_note(content: bytes) -> Note:
    """ValueError where a stand-in sender can't make sense of it."""
    lines = [line.split("|") for line in content.decode("utf-8", "replace").split("\r")]
    head = lines[0]
    own = next((line for line in lines if line[0] == "ZLT"), ["ZLT", "", "20"])
    if head[0] != "MSH" or len(head) < 12:
        raise ValueError("no MSH")
    modes = {pair: name for name, pair in MODES.items()}
    ways = (*head[14:16], "", "")[:2]
    return Note(head[9], head[2], own[1], modes.get((ways[0], ways[1]), "original"), int(own[2]))


def as_request(content: bytes, headers: dict[str, str] | None = None) -> Message:
    """The message as a stand-in sender takes a request: its control id is the request's id.

    `headers`: those of the HTTP request that brought it, where one did.
    """
    note = read_note(content)
    lines = [
        f"POST /hl7?errand={note.control_id}&kind={note.klass}&cost={note.cost} HTTP/1.1",
        f"X-Request-Id: {note.control_id}",
    ]
    key = note.control_id if headers is None else headers.get("idempotency-key", "")
    if key and note.klass == "reminder-set":
        lines.append(f"Idempotency-Key: {key}")
    return Message("\r\n".join(lines), content)


def ack(code: str, control_id: str, own_id: str, text: str = "") -> bytes:
    """An acknowledgement with this code for the message `control_id`."""
    head = f"MSH|^~\\&|SENDER||||20261201||ACK|{own_id}|P|2.5.1"
    return f"{head}\rMSA|{code}|{control_id}|{text}\r".encode()


def read_ack(content: bytes) -> tuple[str, str]:
    """MSA-1 and MSA-2; ValueError where there is none."""
    for line in content.decode("utf-8", "replace").split("\r"):
        fields = line.split("|")
        if fields[0] == "MSA" and len(fields) > 2:
            return fields[1], fields[2]
    raise ValueError(f"no acknowledgement: {content[:60]!r}")


class Generator:
    """Messages in all the ways that clinics write them, drawn from a seed."""

    def __init__(self, rng: Random, made: str, clinic: str = "CLINIC") -> None:
        self.rng, self.made, self.clinic, self.count = rng, made, clinic, 0

    def note(self) -> Note:
        """The next message, drawn from the generator's stream."""
        self.count += 1
        draw = self.rng
        return Note(
            f"{self.clinic}-{self.count}",
            self.clinic,
            draw.choice(list(TRIGGERS)[1:]),
            draw.choice(list(MODES)),
            draw.randint(1, 40),
            self.made,
            draw.choice(_NAMES),
        )


def torn(data: bytes, rng: Random) -> list[bytes]:
    """The same bytes in pieces: whole, byte by byte, or cut anywhere."""
    way = rng.random()
    if way < 0.3:
        return [data]
    if way < 0.5:
        return [data[n : n + 1] for n in range(len(data))]
    cuts = sorted({0, len(data), *(rng.randrange(len(data)) for _ in range(3))})
    return [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]

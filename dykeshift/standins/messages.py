"""HTTP/1.1 as stand-ins speak it: whole messages by length or in chunks, read without the program's code.

A reader of its own on purpose: a stand-in that shared the balancer's parser would share its mistakes.
"""

from __future__ import annotations

import re
from functools import cached_property

# A start line and headers of printable ASCII, no folded lines (RFC 9112, sections 2 to 5).
_HEAD = re.compile(rb"[!-~][ -~]*(?:\r\n[!#-'*+.^-z|~0-9A-Z-]+:[ -~\t]*)*")
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([^\r]*?)[ \t]*(?:\r\n|$)", re.IGNORECASE)
_CODING = re.compile(rb"\r\ntransfer-encoding:[ \t]*([^\r]*?)[ \t]*(?:\r\n|$)", re.IGNORECASE)
_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}(?:;[ -~]*)?")


class MessageError(ValueError):
    """What came is no message that the protocol page allows."""


class Message:
    """One whole message; its headers are read when somebody asks for one."""

    def __init__(self, head: str, body: bytes = b"") -> None:
        self.head, self.body = head, body
        self.start = head.partition("\r\n")[0]

    @cached_property
    def headers(self) -> dict[str, str]:
        """By name in lower case."""
        lines = self.head.split("\r\n")[1:]
        return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}

    @property
    def status(self) -> int:
        """The status code of an answer. Raises ValueError or IndexError where it has none."""
        return int(self.start.split(" ", 2)[1])

    def query(self, name: str) -> str:
        """A value of its target's query, or nothing."""
        target = self.start.split(" ", 2)[1]
        for part in target.partition("?")[2].split("&"):
            key, _, value = part.partition("=")
            if key == name:
                return value
        return ""


class Messages:
    """Cuts a stream into messages, however it was torn."""

    def __init__(self, bound: int = 8 << 20) -> None:
        self.buffer = bytearray()
        self.bound = bound
        self.head: Message | None = None
        self.length = 0
        self.chunked = False

    def feed(self, data: bytes) -> list[Message]:
        """The messages that have become whole; MessageError if there is no making sense of it."""
        self.buffer += data
        whole = list[Message]()
        while True:
            if self.head is None and not self._read_head():
                return whole
            assert self.head is not None
            if self.chunked and not self._read_chunks(self.head):
                return whole
            if len(self.buffer) < self.length:
                return whole
            if not self.chunked:
                self.head.body = bytes(self.buffer[: self.length])
                del self.buffer[: self.length]
            whole.append(self.head)
            self.head = None

    def idle(self) -> bool:
        """Whether no byte of an unfinished message is here."""
        return not self.buffer and self.head is None

    def _read_chunks(self, head: Message) -> bool:
        """Whether the last of them, which has no bytes and no trailers, has come."""
        while (at := self.buffer.find(b"\r\n")) >= 0:
            words = bytes(self.buffer[:at])
            if not _SIZE.fullmatch(words):
                raise MessageError(f"no chunk: {words[:60]!r}")
            size = int(words.partition(b";")[0], 16)
            if len(head.body) + size > self.bound:
                raise MessageError("a body out of bounds")
            if len(self.buffer) < at + 2 + size + 2:
                return False
            if self.buffer[at + 2 + size : at + 2 + size + 2] != b"\r\n":
                raise MessageError("a chunk that does not end")
            head.body += bytes(self.buffer[at + 2 : at + 2 + size])
            del self.buffer[: at + 2 + size + 2]
            if not size:
                return True
        return False

    def _read_head(self) -> bool:
        at = self.buffer.find(b"\r\n\r\n")
        if at < 0:
            if len(self.buffer) > self.bound:
                raise MessageError("a head without end")
            return False
        head = bytes(self.buffer[:at])
        if not _HEAD.fullmatch(head):
            raise MessageError(f"no head of a message: {head[:60]!r}")
        del self.buffer[: at + 4]
        found = _LENGTH.search(head)
        length = found[1] if found is not None else b"0"
        coding = _CODING.search(head)
        spoken = coding is None or coding[1].lower() == b"chunked" and found is None
        if not length.isdigit() or not spoken:
            raise MessageError("a framing that stand-ins do not speak")
        self.length, self.chunked = int(length), coding is not None
        if self.length > self.bound:
            raise MessageError("a body out of bounds")
        self.head = Message(head.decode("ascii"))
        return True


def render(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A message with a Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

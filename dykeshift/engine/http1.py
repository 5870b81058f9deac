"""Collects llhttp's parser callbacks into HTTP/1.1 messages of limited size."""

from __future__ import annotations

MAX_BODY = 64 * 1024
MAX_STREAMED_BODY = 64 * 1024 * 1024  # bytes of a body that is streamed, in either direction
MAX_HEAD = 16 * 1024
MAX_HEADERS = 64
MAX_FRAMING_RATIO = 32  # limit on bytes on the wire per byte of chunked body; one-byte chunks take 6


class UnacceptableMessageError(Exception):
    """A message that exceeds a limit or is not supported; `status` is the server's answer to it."""

    def __init__(self, status: int) -> None:
        super().__init__(f"message is not acceptable ({status})")
        self.status = status


class MessageCollector:
    """Collects one message at a time from a parser's callbacks; subclasses handle complete messages."""

    __slots__ = ("headers", "header_count", "body", "size", "fed", "in_head", "max_body")

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self.max_body = max_body
        self.fed = 0
        self.begin()

    def begin(self) -> None:
        """Reset the state for a new message."""
        self.headers: dict[bytes, bytes] = {}
        self.header_count = 0
        self.body = bytearray()
        self.size = 0  # bytes of the body received so far, buffered or passed on
        self.in_head = True

    def count(self, size: int) -> None:
        """Check limits; called with the size of each parsed input, unless it completed a message.

        Protects the memory limit: the parser buffers an unfinished header, chunk extension or trailer
        without a callback, so that only the number of bytes fed to it shows its size.
        """
        self.fed += size
        if self.in_head and self.fed > MAX_HEAD:
            raise UnacceptableMessageError(431)
        if self.fed > MAX_HEAD + MAX_FRAMING_RATIO * self.size:
            raise UnacceptableMessageError(413)

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Collect a header, within limits."""
        self.header_count += 1
        if self.header_count > MAX_HEADERS or len(name) + len(value or b"") > MAX_HEAD:
            raise UnacceptableMessageError(431)
        if not self.in_head:
            return  # a trailer: ignored, as it must not be mistaken for a header
        name, value = name.lower(), (value or b"").strip()
        # A repeated header is joined, as HTTP specifies: repeated ids or deadlines then become invalid.
        self.headers[name] = self.headers[name] + b", " + value if name in self.headers else value

    def on_headers_complete(self) -> None:
        """Check the transfer coding and the length."""
        self.in_head = False
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise UnacceptableMessageError(501)  # the parser would read "gzip, chunked" as plain chunks
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.max_body:
            self.on_body_too_large()

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self.size += len(data)
        if len(self.body) + len(data) > self.max_body:
            self.on_body_too_large()
        self.body += data

    def on_body_too_large(self) -> None:
        """The body is, or will be, longer than `max_body`."""
        raise UnacceptableMessageError(413)


def status_of(error: Exception) -> int:
    """The status to answer: that of an UnacceptableMessageError raised in a parser callback, else 400."""
    cause = error if isinstance(error, UnacceptableMessageError) else error.__context__
    return cause.status if isinstance(cause, UnacceptableMessageError) else 400

"""HTTP/1.1 messages within bounds: llhttp's callbacks gathered into whole messages."""

from __future__ import annotations

MAX_BODY = 64 * 1024
MAX_LONG = 64 * 1024 * 1024  # bytes of a body that goes on as it comes, either way
MAX_HEAD = 16 * 1024
MAX_HEADERS = 64
FRAMING = 32  # a chunked body may take this many times its size on the wire: chunks of one byte take 6


class Unacceptable(Exception):
    """A message out of its bounds; `status` is what a server answers to it."""

    def __init__(self, status: int) -> None:
        super().__init__(f"message is not acceptable ({status})")
        self.status = status


class Gatherer:
    """Collects one message at a time from a parser's callbacks; subclasses say what follows a whole one."""

    __slots__ = ("headers", "header_count", "body", "size", "fed", "in_head", "max_body")

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self.max_body = max_body
        self.fed = 0
        self.begin()

    def begin(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.header_count = 0
        self.body = bytearray()
        self.size = 0  # bytes of the body that have come, gathered or gone on
        self.in_head = True

    def count(self, size: int) -> None:
        """Called with each piece once it is parsed, unless it made a message whole.

        Protects the memory limit: the parser keeps an unfinished header, chunk extension or
        trailer without any call, so only the bytes fed to it tell how much that is.
        """
        self.fed += size
        if self.in_head and self.fed > MAX_HEAD:
            raise Unacceptable(431)
        if self.fed > MAX_HEAD + FRAMING * self.size:
            raise Unacceptable(413)

    def on_header(self, name: bytes, value: bytes | None) -> None:
        self.header_count += 1
        if self.header_count > MAX_HEADERS or len(name) + len(value or b"") > MAX_HEAD:
            raise Unacceptable(431)
        if not self.in_head:
            return  # a trailer: nobody here reads any, and none may pass for a header
        name, value = name.lower(), (value or b"").strip()
        # Joined, as HTTP reads a header that comes twice: two ids or deadlines are then no sound one.
        self.headers[name] = self.headers[name] + b", " + value if name in self.headers else value

    def on_headers_complete(self) -> None:
        self.in_head = False
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise Unacceptable(501)  # the parser reads what has any other coding before it as plain chunks
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.max_body:
            self.too_long()

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if len(self.body) + len(data) > self.max_body:
            self.too_long()
        self.body += data

    def too_long(self) -> None:
        """The body is, or will be, over its bound."""
        raise Unacceptable(413)


def status_of(error: Exception) -> int:
    """What a server answers: as a callback reported through the parser, if that is what stopped it."""
    cause = error if isinstance(error, Unacceptable) else error.__context__
    return cause.status if isinstance(cause, Unacceptable) else 400

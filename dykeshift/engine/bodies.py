"""Streaming of long bodies: answers on their way to clients, and requests on their way to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

Bytes = bytes | bytearray


class Sink(Protocol):
    """Receives a streamed answer: pieces of its body, then either `end` or `cut`."""

    def write_piece(self, data: bytes) -> None:
        """Write a piece of the body."""

    def end(self) -> None:
        """The body is complete."""

    def cut(self) -> None:
        """The body is truncated, and must not be taken for complete."""


class BodyStream(Protocol):
    """The source of the rest of a streamed answer."""

    def stream_to(self, sink: Sink) -> None:
        """Pass the rest of the body to `sink` from now on."""

    def hold(self, wait: bool) -> None:
        """Back-pressure: pause reading if `wait`, else resume."""


class UploadSource(Protocol):
    """The client connection that a streamed request is received on."""

    def hold(self, wait: bool) -> None:
        """Back-pressure: pause reading if `wait`, else resume."""


class UploadTarget(Protocol):
    """The connection to an upstream that a streamed request is sent on."""

    def more(self, data: Bytes) -> bool:
        """Write data, taking ownership of it; returns whether more may be written at once."""

    def last(self) -> None:
        """The body is complete."""


class Upload:
    """A request body that is forwarded to an upstream while it is received. What was sent is not kept."""

    def __init__(self, first: bytearray, length: int | None, source: UploadSource) -> None:
        """`first`: the beginning, not copied. `length`: of the whole body; None: unknown, sent in chunks."""
        self.buffered, self.length, self.source = first, length, source
        self.complete = False
        self.target: UploadTarget | None = None

    def __len__(self) -> int:
        return len(self.buffered)

    def feed(self, data: Bytes) -> None:
        """Forward or buffer a piece of the body."""
        if self.target is None:
            self.buffered += data
        else:
            self._write(self.target, data)

    def finish(self) -> None:
        """The body has been received completely."""
        self.complete = True
        if self.target is not None:
            self._write_end(self.target)

    def _write(self, target: UploadTarget, data: Bytes) -> bool:
        if self.length is not None or not data:
            return target.more(data)
        target.more(b"%x\r\n" % len(data))
        target.more(data)
        return target.more(b"\r\n")

    def _write_end(self, target: UploadTarget) -> None:
        if self.length is None:
            target.more(b"0\r\n\r\n")
        target.last()

    def start(self, target: UploadTarget) -> None:
        """Start sending to `target`: what is buffered, then what follows. Called once at most."""
        self.target = target
        buffered, self.buffered = self.buffered, bytearray()
        if self._write(target, buffered):
            self.source.hold(False)
        if self.complete:
            self._write_end(target)


@dataclass(frozen=True, slots=True)
class StreamedMessage:
    """A message whose body is kept apart from its head: long, or still being received."""

    head: bytes
    body: Bytes = b""
    upload: Upload | None = None


Message = bytes | StreamedMessage


@dataclass(frozen=True, slots=True)
class Answer:
    """An upstream's answer. If `rest` is set, `body` is only its beginning."""

    status: int
    headers: dict[bytes, bytes]
    body: Bytes
    rest: Any = None  # a `BodyStream`
    length: int | None = None  # of the whole body in bytes, if `rest` is set and the length is known

    @property
    def content_type(self) -> bytes:
        """The media type."""
        return self.headers.get(b"content-type", b"application/octet-stream")

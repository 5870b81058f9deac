"""HTTP responses to clients: the status and body for each final answer, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.engine.bodies import Bytes
from dykeshift.engine.terms import Final, FinalStatus

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    422: b"Unprocessable Content",
    501: b"Not Implemented",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response to a client. `content_type` is the upstream's if it sent one."""

    status: int
    body: Bytes
    content_type: bytes = b"text/plain"
    retry_after: int = 0  # nanoseconds; 0: no Retry-After header


_FAILED_REPLIES = {
    FinalStatus.FAILED: Reply(500, b"failed: it may have had its effect\n"),
    FinalStatus.LATE: Reply(504, b"failed: no answer in time\n"),
}


def reply_to(final: Final) -> Reply:
    """The HTTP response for a final answer."""
    if final.status is FinalStatus.SERVED:
        return Reply(200, final.answer.body, final.answer.content_type)
    if final.status is FinalStatus.REFUSED:
        return Reply(503, b"refused: try again\n", retry_after=final.retry_after)
    return _FAILED_REPLIES[final.status]


def render(reply: Reply, keep: bool) -> bytes:
    """Encode a response; `keep`: its connection stays open after it."""
    lines = [
        b"HTTP/1.1 %d %s" % (reply.status, _REASONS[reply.status]),
        b"Content-Type: " + reply.content_type,
        b"Content-Length: %d" % len(reply.body),
    ]
    if reply.retry_after:
        lines.append(b"Retry-After: %.3f" % (reply.retry_after / 1e9))
    if not keep:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + reply.body

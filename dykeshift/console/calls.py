"""The console's calls and their answers, sans-I/O. A `ConsoleBackend` carries them out.

Nothing changes unless the status is 200; every error is one line of plain text.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

MAX_BODY = 16_384  # a proposal contains the settings of a whole deployment
MAX_NAME = 256


Done = Callable[[int, bytes], None]  # status and JSON text, once
DeferredCall = Callable[
    [bytes, Done], None
]  # the body of an asynchronous call, and the callback for its answer


class ConsoleBackend(Protocol):
    """Carries the calls out. On OSError nothing has changed."""

    def figures(self) -> dict[str, Any]:
        """All values of `GET /status/metrics`, by name, ready for JSON."""

    def immediate_answer(self, path: bytes) -> bytes | None:
        """A feature's answer to GET at this path, as JSON; None if no feature has one."""

    def deferred_call(self, method: bytes, path: bytes) -> DeferredCall | None:
        """A feature's asynchronous call; None if there is none."""

    def enter(self, name: str) -> bool:
        """Ban an upstream. Returns False when no upstream of that name was ever listed."""

    def exit(self, name: str) -> bool:
        """Lift the ban of an upstream. Returns False when no upstream of that name was ever listed."""

    def standby(self) -> None:
        """Drain until `active`; requests in flight are finished."""

    def active(self) -> bool:
        """End the standby. Returns False when the process is ending."""


class CallError(Exception):
    """A call that is refused: `status` is the HTTP status, the text is one line for the operator."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer before it is encoded; `allow` is the Allow header of a 405, empty otherwise."""

    status: int
    body: bytes
    kind: bytes = b"text/plain"
    allow: bytes = b""


def _status(backend: ConsoleBackend, body: bytes) -> Answer:
    return _text_answer("serving")


def _metrics(backend: ConsoleBackend, body: bytes) -> Answer:
    text = json.dumps(backend.figures(), separators=(",", ":"))
    return Answer(200, text.encode() + b"\n", b"application/json")


def _enter(backend: ConsoleBackend, body: bytes) -> Answer:
    name = name_of(body)
    if not backend.enter(name):
        raise CallError(404, "no upstream of that name was ever listed")
    return _text_answer("out by hand")


def _exit(backend: ConsoleBackend, body: bytes) -> Answer:
    name = name_of(body)
    if not backend.exit(name):
        raise CallError(404, "no upstream of that name was ever listed")
    return _text_answer("back")


def _standby(backend: ConsoleBackend, body: bytes) -> Answer:
    backend.standby()
    return _text_answer("draining")


def _active(backend: ConsoleBackend, body: bytes) -> Answer:
    if not backend.active():
        raise CallError(409, "the process is ending")
    return _text_answer("serving")


def _text_answer(text: str) -> Answer:
    return Answer(200, text.encode() + b"\n")


def name_of(body: bytes) -> str:
    """The upstream's name in a call's JSON body. Raises CallError 400 when there is none."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise CallError(400, "the body is not JSON") from None
    name = fields.get("name") if isinstance(fields, dict) else None
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME:
        raise CallError(400, 'the body must be an object with a "name" of 1 to 256 characters')
    return name


Call = Callable[[ConsoleBackend, bytes], Answer]
CALLS: dict[bytes, tuple[bytes, Call]] = {
    b"/status": (b"GET", _status),
    b"/status/metrics": (b"GET", _metrics),
    b"/maintenance/enter": (b"PUT", _enter),
    b"/maintenance/exit": (b"PUT", _exit),
    b"/standby": (b"PUT", _standby),
    b"/active": (b"PUT", _active),
}


def respond(
    backend: ConsoleBackend, method: bytes, target: bytes, body: bytes, done: Callable[[Answer], None]
) -> None:
    """Handle one call: `done` is called once, at once or when the feature concerned has its answer."""
    order = backend.deferred_call(method, target.partition(b"?")[0])
    if order is None:
        done(answer(backend, method, target, body))
    else:
        order(body, lambda status, text: done(Answer(status, text + b"\n", b"application/json")))


def answer(backend: ConsoleBackend, method: bytes, target: bytes, body: bytes) -> Answer:
    """Handle one call that is answered synchronously."""
    path = target.partition(b"?")[0]
    found = CALLS.get(path)
    if found is None:
        return _feature(backend, method, path)
    allowed, call = found
    if method != allowed:
        return Answer(405, b"the method of this call is " + allowed + b"\n", allow=allowed)
    try:
        return call(backend, body)
    except CallError as exc:
        return refusal(exc.status, str(exc))
    except OSError as exc:
        return refusal(500, f"it could not be written down, and nothing has changed: {exc.strerror}")


def _feature(backend: ConsoleBackend, method: bytes, path: bytes) -> Answer:
    text = backend.immediate_answer(path)
    allowed = next((m for m in (b"GET", b"PUT") if backend.deferred_call(m, path) is not None), b"")
    if text is None and allowed:
        return Answer(405, b"the method of this call is " + allowed + b"\n", allow=allowed)
    if text is None:
        return refusal(404, "there is no such call, or its feature is off")
    if method != b"GET":
        return Answer(405, b"the method of this call is GET\n", allow=b"GET")
    return Answer(200, text + b"\n", b"application/json")


def refusal(status: int, text: str) -> Answer:
    """A plain-text answer that says why the call was refused."""
    return Answer(status, text.encode() + b"\n")


def render(answer: Answer, reason: bytes) -> bytes:
    """The answer as HTTP/1.1 bytes, with `reason` as its reason phrase; the connection closes after it."""
    lines = [
        b"HTTP/1.1 %d %s" % (answer.status, reason),
        b"Content-Type: " + answer.kind,
        b"Content-Length: %d" % len(answer.body),
        b"Connection: close",
    ]
    if answer.allow:
        lines.append(b"Allow: " + answer.allow)
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body

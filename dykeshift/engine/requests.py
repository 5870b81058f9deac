"""A client's request, checked before anything is decided about it."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from dykeshift.engine.bodies import Bytes, Long, Message, Upload
from dykeshift.engine.http1 import MAX_BODY
from dykeshift.interface import Idempotency, RequestClass

_ID = re.compile(rb"[!-~]{1,128}\Z")
_NUMBER = re.compile(rb"[0-9]{1,9}\Z")
_TARGET = re.compile(rb"/[!-~]*\Z")


class BadRequest(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Incoming:
    id: str
    klass: int
    patience: int  # nanoseconds that the client waits, from its sending
    retry: bool
    cost_hint: int
    head: bytes  # request line and headers for the upstream, but for the deadline's value
    body: Bytes | Upload
    streams = True

    @property
    def early(self) -> bool:
        return isinstance(self.body, Upload)

    def message(self, left: int) -> Message:
        head = b"%s%d\r\n\r\n" % (self.head, max(1, min(left, self.patience) // 1_000_000))
        if isinstance(self.body, Upload):
            return Long(head, upload=self.body)
        return head + self.body if len(self.body) <= MAX_BODY else Long(head, self.body)


def _number(headers: dict[bytes, bytes], name: bytes) -> int:
    text = headers.get(name, b"")
    if not _NUMBER.match(text):
        raise BadRequest(400, f"{name.decode()} is missing or no whole number")
    return int(text)


def _check_method(method: bytes, kind: Idempotency, key: bytes | None, body: Bytes | Upload) -> None:
    wanted = b"GET" if kind is Idempotency.SAFE else b"POST"
    if method != wanted:
        raise BadRequest(400, f"the method of this class is {wanted.decode()}")
    if kind is Idempotency.SAFE and body:
        raise BadRequest(400, "a GET carries no body")
    if (kind is Idempotency.KEYED) != (key is not None):
        raise BadRequest(400, "idempotency-key goes with keyed classes, and only with them")
    if key is not None and not _ID.match(key):
        raise BadRequest(400, "idempotency-key is malformed")


# Why the upstreams can't take a request of this class, key and body; nothing: they can.
Objection = Callable[[RequestClass, "bytes | None", "bytes | bytearray"], str]


class Reader:
    """Knows the classes; turns a whole HTTP message into a request or raises BadRequest."""

    def __init__(self, classes: tuple[RequestClass, ...], objection: Objection | None = None) -> None:
        self.objection = objection  # where the upstreams speak another protocol
        self.know(classes, frozenset())

    def know(
        self,
        classes: tuple[RequestClass, ...],
        retired: frozenset[int],
        forms: dict[str, frozenset[Idempotency]] | None = None,
    ) -> None:
        """The classes at their places; those `retired` are not accepted any more.

        `forms`: of classes, by name, whose clients may ask in the form of one kind or of another.
        """
        self.classes, self.forms = classes, forms or {}
        self.numbers = {c.name.encode(): n for n, c in enumerate(classes) if n not in retired}

    def _form(self, klass: RequestClass, method: bytes, key: bytes | None) -> Idempotency:
        """The kind in whose form a request comes, where its class's clients may use several."""
        forms = self.forms.get(klass.name, frozenset({klass.idempotency}))
        shown = (
            Idempotency.KEYED
            if key is not None
            else Idempotency.SAFE
            if method == b"GET"
            else Idempotency.UNSAFE
        )
        return shown if shown in forms else klass.idempotency

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: Bytes | Upload
    ) -> Incoming:
        """`body` is taken over where it is long."""
        number = self.numbers.get(headers.get(b"x-class", b""))
        if number is None:
            raise BadRequest(400, "x-class is missing or unknown")
        klass = self.classes[number]
        rid, key = headers.get(b"x-request-id", b""), headers.get(b"idempotency-key")
        if not _ID.match(rid):
            raise BadRequest(400, "x-request-id is missing or malformed")
        if not _TARGET.match(target):
            raise BadRequest(400, "the target is no path")
        _check_method(method, self._form(klass, method, key), key, body)
        if self.objection is not None:
            assert not isinstance(body, Upload)  # where upstreams speak another protocol, none is long
            if text := self.objection(klass, key, body):
                raise BadRequest(422, text)
        patience = _number(headers, b"x-deadline-ms") * 1_000_000
        if not patience:
            raise BadRequest(400, "x-deadline-ms is zero")
        host = headers.get(b"host", b"backend.local")
        head = b"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n" % (method, target, host, rid)
        if key is not None:
            head += b"Idempotency-Key: %s\r\n" % key
        if method != b"GET":
            length = body.length if isinstance(body, Upload) else len(body)
            head += (
                b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
            )
        return Incoming(
            id=rid.decode(),
            klass=number,
            patience=min(patience, klass.deadline),
            retry=headers.get(b"x-retry") == b"1",
            cost_hint=_number(headers, b"x-cost-hint") * 1000 if b"x-cost-hint" in headers else 0,
            head=head + b"X-Deadline-Ms: ",
            body=bytes(body) if isinstance(body, bytearray) and len(body) <= MAX_BODY else body,
        )

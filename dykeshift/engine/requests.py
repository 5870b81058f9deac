"""Validation of clients' requests, before they are submitted to the driver."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from dykeshift.engine.bodies import Bytes, Message, StreamedMessage, Upload
from dykeshift.engine.http1 import MAX_BODY
from dykeshift.interface import Idempotency, RequestClass

MAX_COPIED_BODY = 4 * 1024  # bytes; each attempt has a copy of a shorter body, in one piece with its head
_ID = re.compile(rb"[!-~]{1,128}\Z")
_NUMBER = re.compile(rb"[0-9]{1,9}\Z")
_TARGET = re.compile(rb"/[!-~]*\Z")


class BadRequestError(Exception):
    """An invalid request; `status` is the answer to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Incoming:
    """A valid request; implements `terms.SubmittedRequest`."""

    id: str
    klass: int
    client_timeout: int  # the client's timeout in nanoseconds, from its sending
    retry: bool
    cost_hint: int
    head: bytes  # request line and headers for the upstream, up to the deadline's value
    body: Bytes | Upload
    streams = True

    @property
    def early(self) -> bool:
        """See `terms.SubmittedRequest.early`."""
        return isinstance(self.body, Upload)

    def message(self, left: int) -> Message:
        """See `terms.SubmittedRequest.message`."""
        head = b"%s%d\r\n\r\n" % (self.head, max(1, min(left, self.client_timeout) // 1_000_000))
        if isinstance(self.body, Upload):
            return StreamedMessage(head, upload=self.body)
        return head + self.body if len(self.body) <= MAX_COPIED_BODY else StreamedMessage(head, self.body)


def _read_number(headers: dict[bytes, bytes], name: bytes) -> int:
    text = headers.get(name, b"")
    if not _NUMBER.match(text):
        raise BadRequestError(400, f"{name.decode()} is missing or no whole number")
    return int(text)


def _check_method(method: bytes, kind: Idempotency, key: bytes | None, body: Bytes | Upload) -> None:
    wanted = b"GET" if kind is Idempotency.SAFE else b"POST"
    if method != wanted:
        raise BadRequestError(400, f"the method of this class is {wanted.decode()}")
    if kind is Idempotency.SAFE and body:
        raise BadRequestError(400, "a GET carries no body")
    if (kind is Idempotency.KEYED) != (key is not None):
        raise BadRequestError(400, "idempotency-key goes with keyed classes, and only with them")
    if key is not None and not _ID.match(key):
        raise BadRequestError(400, "idempotency-key is malformed")


# Returns why the upstreams cannot handle a request of this class, key and body, or "" if they can.
Objection = Callable[[RequestClass, "bytes | None", "bytes | bytearray"], str]


class Reader:
    """Turns HTTP messages into requests of known classes, or raises BadRequestError."""

    def __init__(self, classes: tuple[RequestClass, ...], objection: Objection | None = None) -> None:
        self.objection = objection  # set if the upstreams use another protocol
        self.set_classes(classes, frozenset())

    def set_classes(
        self,
        classes: tuple[RequestClass, ...],
        retired: frozenset[int],
        forms: dict[str, frozenset[Idempotency]] | None = None,
    ) -> None:
        """Set the classes, in the order of the settings; `retired` are the positions no longer accepted.

        `forms`: by class name, the kinds of idempotency in whose form clients may send requests, where
        there are several.
        """
        self.classes, self.forms = classes, forms or {}
        self.class_numbers = {c.name.encode(): n for n, c in enumerate(classes) if n not in retired}

    def _request_kind(self, klass: RequestClass, method: bytes, key: bytes | None) -> Idempotency:
        """The kind of idempotency that a request's form shows, if clients of its class may use it."""
        forms = self.forms.get(klass.name, frozenset({klass.idempotency}))
        kind = (
            Idempotency.KEYED
            if key is not None
            else Idempotency.SAFE
            if method == b"GET"
            else Idempotency.UNSAFE
        )
        return kind if kind in forms else klass.idempotency

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: Bytes | Upload
    ) -> Incoming:
        """Validate a request. A long `body` is not copied: the request takes ownership of the buffer."""
        number = self.class_numbers.get(headers.get(b"x-class", b""))
        if number is None:
            raise BadRequestError(400, "x-class is missing or unknown")
        klass = self.classes[number]
        rid, key = headers.get(b"x-request-id", b""), headers.get(b"idempotency-key")
        if not _ID.match(rid):
            raise BadRequestError(400, "x-request-id is missing or malformed")
        if not _TARGET.match(target):
            raise BadRequestError(400, "the target is no path")
        _check_method(method, self._request_kind(klass, method, key), key, body)
        if self.objection is not None:
            assert not isinstance(body, Upload)  # bodies are at most MAX_BODY with other upstream protocols
            if text := self.objection(klass, key, body):
                raise BadRequestError(422, text)
        patience = _read_number(headers, b"x-deadline-ms") * 1_000_000
        if not patience:
            raise BadRequestError(400, "x-deadline-ms is zero")
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
            client_timeout=min(patience, klass.deadline),
            retry=headers.get(b"x-retry") == b"1",
            cost_hint=_read_number(headers, b"x-cost-hint") * 1000 if b"x-cost-hint" in headers else 0,
            head=head + b"X-Deadline-Ms: ",
            body=bytes(body) if isinstance(body, bytearray) and len(body) <= MAX_BODY else body,
        )

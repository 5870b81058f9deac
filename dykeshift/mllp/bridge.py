"""HTTP clients before MLLP servers: which requests can be carried there. Sans-I/O.

The body is the message; its control id is all that a server knows it by, so for a keyed class it must be the
idempotency key. The other way, MLLP clients before HTTP upstreams, stands in mapping.py.
"""

from __future__ import annotations

from dykeshift.interface import Idempotency, RequestClass
from dykeshift.mllp import message
from dykeshift.mllp.framing import FS, VT
from dykeshift.mllp.mapping import require_certain_answer


def objection(klass: RequestClass, key: bytes | None, body: bytes | bytearray) -> str:
    """Why an HTTP request can't be carried to an MLLP server, in one line; nothing where it can."""
    if klass.idempotency is Idempotency.SAFE:
        return "the servers speak HL7 over MLLP, and a GET brings no message"
    if VT in body or FS in body:
        return "the body holds a start or end block character"
    try:
        header = message.read(bytes(body)).header
        require_certain_answer(header)
    except message.MessageError as exc:
        return f"the body is no HL7 message that can be carried: {exc.text}"
    if klass.idempotency is Idempotency.KEYED and header.control_id != key:
        return "the idempotency key is not the message's control id (MSH-10)"
    return ""

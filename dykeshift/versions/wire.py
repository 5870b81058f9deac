"""Wire format of `versions`, on the port of the view (kinds from 64; docs/design/versions.md).

     0  version (1)                          8  birth (incarnation) of the sender, 4 bytes
     1  kind                                12  fields of the kind
     2  tag of the fleet's name, 2 bytes    -8  seal: BLAKE2s over everything before it, as in the view
     4  identity of the log, 4 bytes

    REPORT   number 2, counter 4, version of the state 4, digest of the pending proposal 4, verdict 1, mode 1,
             answers 4, bad answers 4, length of the reason 1, the reason in UTF-8
    LEAVING  number 2, generation 8, then 8 bytes for each server up to the end

Decoding any bytes gives a message or raises `DatagramError`. Replayed reports are harmless: the counter
identifies the newest report of an incarnation, and only the newest incarnation of a number counts.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from dykeshift.view.wire import MAX_DATAGRAM, SEAL_SIZE, VERSION, DatagramError, Seal, unseal

HEAD = struct.Struct(">BBHII")
REPORT = struct.Struct(">HIIIBBIIB")
LEAVING = struct.Struct(">HQ")
FIRST_KIND = 64
MAX_REASON = 150  # bytes of the encoded reason
MAX_SERVERS = (MAX_DATAGRAM - SEAL_SIZE - HEAD.size - LEAVING.size) // 8  # that fit into one datagram


class Kind(IntEnum):
    """Kinds of datagrams."""

    REPORT = 64
    LEAVING = 65


class Verdict(IntEnum):
    """A balancer's answer to the pending proposal; NONE: not checked yet, or none is pending."""

    NONE = 0
    YES = 1
    NO = 2


MODES = ("in force", "middle", "doubtful")


@dataclass(frozen=True, slots=True)
class Report:
    """A balancer's report to the leader of the log."""

    history: int
    birth: int
    number: int
    counter: int
    version: int
    pending: int  # digest of the proposal that the verdict is on
    verdict: Verdict
    mode: str
    answers: int  # to clients since the process started, modulo 2**32
    bad: int  # answers that were refused or failed
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Leaving:
    """Servers that are leaving or gone by a balancer's list, at a generation of discovery."""

    history: int
    birth: int
    number: int
    generation: int
    servers: tuple[int, ...]


Message = Report | Leaving


def is_versions_datagram(data: bytes) -> bool:
    """Whether a datagram has a kind of this module."""
    return len(data) > 1 and data[1] >= FIRST_KIND


def encode(message: Message, seal: Seal) -> bytes:
    """Encodes a message as a datagram with its seal; long reasons and lists are cut."""
    kind = Kind.REPORT if isinstance(message, Report) else Kind.LEAVING
    head = HEAD.pack(VERSION, kind, seal.tag, message.history, message.birth)
    if isinstance(message, Report):
        reason = message.reason.encode()[:MAX_REASON]
        data = (
            head
            + REPORT.pack(
                message.number,
                message.counter,
                message.version,
                message.pending,
                message.verdict,
                MODES.index(message.mode),
                message.answers & 0xFFFFFFFF,
                message.bad & 0xFFFFFFFF,
                len(reason),
            )
            + reason
        )
    else:
        servers = message.servers[:MAX_SERVERS]
        data = (
            head
            + LEAVING.pack(message.number, message.generation)
            + b"".join(server.to_bytes(8, "big") for server in servers)
        )
    return data + seal.mac(data)


def decode(data: bytes, seal: Seal) -> Message:
    """Decodes a datagram; raises DatagramError if it is not a valid message of this fleet."""
    kind, history, birth = unseal(data, seal, HEAD, HEAD.size)
    body = data[HEAD.size : -SEAL_SIZE]
    try:
        if kind == Kind.REPORT:
            number, counter, version, pending, verdict, mode, answers, bad, length = REPORT.unpack_from(body)
            reason = body[REPORT.size : REPORT.size + length].decode("utf-8", "replace")
            return Report(
                history,
                birth,
                number,
                counter,
                version,
                pending,
                Verdict(verdict),
                MODES[mode],
                answers,
                bad,
                reason,
            )
        if kind == Kind.LEAVING:
            number, generation = LEAVING.unpack_from(body)
            rest = body[LEAVING.size :]
            if len(rest) % 8:
                raise ValueError("truncated server number")
            return Leaving(
                history,
                birth,
                number,
                generation,
                tuple(int.from_bytes(rest[at : at + 8], "big") for at in range(0, len(rest), 8)),
            )
    except (ValueError, IndexError, struct.error):
        pass
    raise DatagramError("form")

"""Datagrams of the versions, byte by byte, on the view's port (kinds from 64 on; docs/design/versions.md).

     0  version (1)                          8  birth of the sender, 4 bytes
     1  kind                                12  the kind's own fields
     2  tag of the fleet's name, 2 bytes    -8  seal: BLAKE2s over all before it, as the view's
     4  history, 4 bytes

    REPORT   number 2, counter 4, version of the book 4, of the pending proposal 4, verdict 1, mode 1, answers
             4, bad ones 4, length of the reason 1, the reason in UTF-8
    LEAVING  number 2, generation 8, servers 8 each: to the end

Any bytes at all end in a message or in `Bad`. A report that is played again says what its sender once said:
the counter tells the newest of a life; a life that is over is not counted, as its number's newest birth is.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from dykeshift.view.wire import MOST, SEAL, VERSION, Bad, Seal, unseal

HEAD = struct.Struct(">BBHII")
REPORT = struct.Struct(">HIIIBBIIB")
LEAVING = struct.Struct(">HQ")
FIRST = 64
REASON = 150  # bytes
SERVERS = (MOST - SEAL - HEAD.size - LEAVING.size) // 8  # that one datagram names


class Kind(IntEnum):
    REPORT = 64
    LEAVING = 65


class Verdict(IntEnum):
    NONE = 0
    YES = 1
    NO = 2


MODES = ("in force", "middle", "doubtful")


@dataclass(frozen=True, slots=True)
class Report:
    """What a balancer says to whoever leads the history."""

    history: int
    birth: int
    number: int
    counter: int
    version: int
    pending: int  # the proposal that the verdict is on
    verdict: Verdict
    mode: str
    answers: int  # to clients, since the process began, modulo 2**32
    bad: int  # of them refused or failed
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Leaving:
    """What a balancer's list says: at which generation of discovery, who is leaving or gone."""

    history: int
    birth: int
    number: int
    generation: int
    servers: tuple[int, ...]


Message = Report | Leaving


def is_ours(data: bytes) -> bool:
    return len(data) > 1 and data[1] >= FIRST


def encode(message: Message, seal: Seal) -> bytes:
    kind = Kind.REPORT if isinstance(message, Report) else Kind.LEAVING
    head = HEAD.pack(VERSION, kind, seal.tag, message.history, message.birth)
    if isinstance(message, Report):
        reason = message.reason.encode()[:REASON]
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
        servers = message.servers[:SERVERS]
        data = (
            head
            + LEAVING.pack(message.number, message.generation)
            + b"".join(server.to_bytes(8, "big") for server in servers)
        )
    return data + seal.of(data)


def decode(data: bytes, seal: Seal) -> Message:
    """Raises Bad for whatever is no message of this fleet."""
    kind, history, birth = unseal(data, seal, HEAD, HEAD.size)
    body = data[HEAD.size : -SEAL]
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
                raise ValueError("a server is cut off")
            return Leaving(
                history,
                birth,
                number,
                generation,
                tuple(int.from_bytes(rest[at : at + 8], "big") for at in range(0, len(rest), 8)),
            )
    except (ValueError, IndexError, struct.error):
        pass
    raise Bad("form")

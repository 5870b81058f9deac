"""Datagrams of the shares, byte by byte, on the view's port (kinds from 72 on).

     0  version (1), kind (1), tag of the fleet's name (2), as the view's
     4  number of the sender, 2 bytes      6  birth of the sender, 4 bytes      10  token of the loan, 4 bytes
    14  ASK: question 4, limit 4, amount 4;  GRANT: question 4, amount 4;  BACK: nothing
    -8  seal, as the view's

Played again, an ASK is answered as before or, after its loan has ended, with a loan that nobody takes up and
that comes back by itself; a GRANT answers one question, once (a loan that is asked for again has a question
of its own: an older answer must not make it longer); a BACK ends a loan that its taker has given up.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from dykeshift.view.wire import SEAL, VERSION, Bad, Seal, unseal

HEAD = struct.Struct(">BBHHII")
ASK, GRANT = struct.Struct(">III"), struct.Struct(">II")
FIRST = 72


class Kind(IntEnum):
    """Kinds of datagrams."""

    ASK = 72
    GRANT = 73
    BACK = 74


@dataclass(frozen=True, slots=True)
class Ask:
    """The wish to borrow `amount` units of a limit, or to go on borrowing them."""

    number: int
    birth: int
    token: int
    question: int
    limit: int
    amount: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to an Ask: so many units are lent."""

    number: int
    birth: int
    token: int
    question: int
    amount: int


@dataclass(frozen=True, slots=True)
class Back:
    """The end of a loan before its time."""

    number: int
    birth: int
    token: int


Message = Ask | Grant | Back


def encode(message: Message, seal: Seal) -> bytes:
    """The datagram of a message, sealed."""
    kind, body = Kind.BACK, b""
    if isinstance(message, Ask):
        kind, body = Kind.ASK, ASK.pack(message.question, message.limit, message.amount)
    elif isinstance(message, Grant):
        kind, body = Kind.GRANT, GRANT.pack(message.question, message.amount)
    data = HEAD.pack(VERSION, kind, seal.tag, message.number, message.birth, message.token) + body
    return data + seal.of(data)


def decode(data: bytes, seal: Seal) -> Message:
    """Raises Bad for whatever is no message of this fleet."""
    kind, number, birth, token = unseal(data, seal, HEAD, HEAD.size)
    body = data[HEAD.size : -SEAL]
    try:
        if kind == Kind.ASK:
            return Ask(number, birth, token, *ASK.unpack(body))
        if kind == Kind.GRANT:
            return Grant(number, birth, token, *GRANT.unpack(body))
        if kind == Kind.BACK and not body:
            return Back(number, birth, token)
    except struct.error:
        pass
    raise Bad("form")

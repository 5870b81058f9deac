"""Wire format of the datagrams of `shares`, on the port of the view (kinds from 72).

     0  version (1), kind (1), tag of the fleet's name (2), as in the view
     4  number of the sender, 2 bytes      6  birth of the sender, 4 bytes      10  token of the loan, 4 bytes
    14  ASK: request id 4, limit 4, amount 4;  GRANT: request id 4, amount 4;  BACK: nothing
    -8  seal, as in the view

Replays are harmless. A replayed ASK gets the same answer or, after its loan has ended, a loan that nobody
uses and that expires. A GRANT answers one request id, once; each renewal has an id of its own, so that an
older answer can't extend the loan. A replayed BACK ends a loan that its borrower has already returned.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from dykeshift.view.wire import SEAL_SIZE, VERSION, DatagramError, Seal, unseal

HEAD = struct.Struct(">BBHHII")
ASK, GRANT = struct.Struct(">III"), struct.Struct(">II")
FIRST_KIND = 72


class Kind(IntEnum):
    """Kinds of datagrams."""

    ASK = 72
    GRANT = 73
    BACK = 74


@dataclass(frozen=True, slots=True)
class Ask:
    """A request to borrow `amount` units of a limit, or to renew that loan."""

    number: int
    birth: int
    token: int
    request_id: int
    limit: int
    amount: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to an Ask: `amount` units are lent."""

    number: int
    birth: int
    token: int
    request_id: int
    amount: int


@dataclass(frozen=True, slots=True)
class Return:
    """Returns a loan before it expires."""

    number: int
    birth: int
    token: int


Message = Ask | Grant | Return


def encode(message: Message, seal: Seal) -> bytes:
    """Encodes a message as a datagram with its seal."""
    kind, body = Kind.BACK, b""
    if isinstance(message, Ask):
        kind, body = Kind.ASK, ASK.pack(message.request_id, message.limit, message.amount)
    elif isinstance(message, Grant):
        kind, body = Kind.GRANT, GRANT.pack(message.request_id, message.amount)
    data = HEAD.pack(VERSION, kind, seal.tag, message.number, message.birth, message.token) + body
    return data + seal.mac(data)


def decode(data: bytes, seal: Seal) -> Message:
    """Decodes a datagram; raises DatagramError if it is not a valid message of this fleet."""
    kind, number, birth, token = unseal(data, seal, HEAD, HEAD.size)
    body = data[HEAD.size : -SEAL_SIZE]
    try:
        if kind == Kind.ASK:
            return Ask(number, birth, token, *ASK.unpack(body))
        if kind == Kind.GRANT:
            return Grant(number, birth, token, *GRANT.unpack(body))
        if kind == Kind.BACK and not body:
            return Return(number, birth, token)
    except struct.error:
        pass
    raise DatagramError("form")

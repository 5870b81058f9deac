"""A scope as bytes, as a subscriber tells it, and the number by which a replica knows it again."""

from __future__ import annotations

import hashlib

import msgspec

from dykeshift.configuration.scope import Scope

LONGEST_SCOPE = 32_768  # bytes of a scope that a replica takes

_decoder = msgspec.msgpack.Decoder(tuple[bool, tuple[str, ...]])


class ScopeError(Exception):
    """Bytes that are no scope."""


def pack_scope(scope: Scope) -> bytes:
    """The bytes of a scope; equal scopes have equal bytes."""
    return msgspec.msgpack.encode((scope.whole, sorted(scope.services)))


def unpack_scope(data: bytes) -> Scope:
    """ScopeError where the bytes are none."""
    try:
        whole, services = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ScopeError(str(error)) from None
    return Scope(frozenset(services), whole)


def scope_digest(data: bytes) -> int:
    """64 bits that stand for the bytes of a scope."""
    return int.from_bytes(hashlib.blake2s(data, digest_size=8).digest(), "big")

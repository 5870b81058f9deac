"""Encoding of scopes, as subscribers send them, and the digest by which a replica recognises one."""

from __future__ import annotations

import hashlib

import msgspec

from dykeshift.configuration.scope import Scope

LONGEST_SCOPE = 32_768  # bytes; replicas reject longer scopes

_decoder = msgspec.msgpack.Decoder(tuple[bool, tuple[str, ...]])


class ScopeError(Exception):
    """The bytes are not an encoded scope."""


def pack_scope(scope: Scope) -> bytes:
    """Encode a scope; equal scopes give equal bytes."""
    return msgspec.msgpack.encode((scope.whole, sorted(scope.services)))


def unpack_scope(data: bytes) -> Scope:
    """Decode a scope; raises ScopeError if the bytes are malformed."""
    try:
        whole, services = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ScopeError(str(error)) from None
    return Scope(frozenset(services), whole)


def scope_digest(data: bytes) -> int:
    """A 64-bit digest of an encoded scope."""
    return int.from_bytes(hashlib.blake2s(data, digest_size=8).digest(), "big")

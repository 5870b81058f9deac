"""The format of a log file, sans-I/O.

    file   = "LTLOG" version(1 byte) kind(2 bytes, what the payloads are) record*
    record = 0xC5 0x3A length(4, little-endian) crc32(4, of length and payload) payload

Theory of operation. `scan` reads what a file holds and says how it ends: whole, with a torn tail (the last
write did not reach the disk, as after a power cut), or with holes (bytes that are no records; records may
stand behind them). Torn is only what ends before its own length: a record of full length that its checksum
does not fit may once have been sound, so it is a hole, at the end of the file as well.

A record counts only with its checksum; after a hole reading goes on at the next two marks that begin a record
with a sound checksum, so one bad sector costs the records in it and no others. Nothing that was lost is
guessed: `Scan` names each lost stretch of bytes.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, field

MAGIC = b"LTLOG"
VERSION = 1
MARK = b"\xc5\x3a"
MAX_PAYLOAD = 16 << 20
_HEAD = struct.Struct("<2sII")
FILE_HEAD = len(MAGIC) + 3


class LogFormatError(Exception):
    """The file is no log of this kind, or of a version that this program does not read."""


@dataclass(slots=True)
class Scan:
    """What a log file holds. Positions in bytes from its start."""

    payloads: list[bytes] = field(default_factory=list)
    end: int = FILE_HEAD  # behind the last sound record: where the next may be written
    torn: int = 0  # bytes behind `end`: a record that did not get whole
    holes: list[tuple[int, int]] = field(default_factory=list)  # lost stretches


def file_head(kind: bytes) -> bytes:
    """How a log file begins; `kind` is two bytes that name what its payloads are."""
    if len(kind) != 2:
        raise ValueError("a kind is two bytes")
    return MAGIC + bytes([VERSION]) + kind


def encode(payload: bytes) -> bytes:
    """One record with its head and checksum. Raises ValueError above `MAX_PAYLOAD` bytes."""
    if len(payload) > MAX_PAYLOAD:
        raise ValueError(f"a payload holds {MAX_PAYLOAD} bytes at the most")
    return _HEAD.pack(MARK, len(payload), _sum(payload)) + payload


def _sum(payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(struct.pack("<I", len(payload))))


def scan(data: bytes, kind: bytes) -> Scan:
    """Read a whole file; LogFormatError where it is none of ours."""
    found = Scan()
    head = file_head(kind)
    if len(data) <= FILE_HEAD and data != head:
        found.end, found.torn = 0, len(data)  # spoilt while it was made: no record was ever behind it
        return found
    if data[: len(MAGIC)] != MAGIC:
        raise LogFormatError("it is no log file")
    if data[len(MAGIC)] != VERSION:
        raise LogFormatError(f"its format is version {data[len(MAGIC)]}, this program reads {VERSION}")
    if data[len(MAGIC) + 1 : FILE_HEAD] != kind:
        raise LogFormatError(f"it holds {data[len(MAGIC) + 1:FILE_HEAD]!r}, not {kind!r}")
    at = FILE_HEAD
    while at < len(data):
        payload = _record(data, at)
        if payload is None:
            following = _next(data, at + 1)
            if following is None:
                if _cut_short(data, at):
                    found.torn = len(data) - at
                else:
                    found.holes.append((at, len(data)))
                return found
            found.holes.append((at, following))
            at = following
            continue
        found.payloads.append(payload)
        at += _HEAD.size + len(payload)
        found.end = at
    return found


def _record(data: bytes, at: int) -> bytes | None:
    if at + _HEAD.size > len(data):
        return None
    mark, length, checksum = _HEAD.unpack_from(data, at)
    begin = at + _HEAD.size
    if mark != MARK or length > MAX_PAYLOAD or begin + length > len(data):
        return None
    payload = data[begin : begin + length]
    return payload if _sum(payload) == checksum else None


def _cut_short(data: bytes, at: int) -> bool:
    """Whether what begins here is the beginning of a record."""
    if at + _HEAD.size > len(data):
        return MARK.startswith(data[at : at + len(MARK)])
    mark, length, _ = _HEAD.unpack_from(data, at)
    return bool(mark == MARK and length <= MAX_PAYLOAD and at + _HEAD.size + length > len(data))


def _next(data: bytes, at: int) -> int | None:
    """Where the next sound record begins."""
    while (at := data.find(MARK, at)) >= 0:
        if _record(data, at) is not None:
            return at
        at += 1
    return None

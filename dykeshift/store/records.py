"""The format of a log file, sans-I/O.

    file   = "LTLOG" version(1 byte) kind(2 bytes, the type of the payloads) record*
    record = 0xC5 0x3A length(4, little-endian) crc32(4, of length and payload) payload

Theory of operation. `scan` reads the records of a file and reports its state: intact, with a torn tail (the
last write did not reach the disk completely, as after a power cut), or with holes (bytes that are no valid
records; valid records may follow them). Only a record that is shorter than its length field says is torn:
one of full length with a wrong checksum may once have been valid, so it is a hole, at the end of the file as
well.

A record is accepted only with a correct checksum. After a hole, reading resumes at the next two marker bytes
that begin a record with a correct checksum, so one bad sector costs the records in it and no others. Lost
data is never guessed: `Scan` lists each lost range of bytes.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, field

MAGIC = b"LTLOG"
VERSION = 1
MARK = b"\xc5\x3a"
MAX_PAYLOAD = 16 << 20
_RECORD_HEADER = struct.Struct("<2sII")
FILE_HEADER_BYTES = len(MAGIC) + 3


class LogFormatError(Exception):
    """The file is no log of this kind, or has a format version that this program does not read."""


@dataclass(slots=True)
class Scan:
    """The content of a log file. Positions are in bytes from its start."""

    payloads: list[bytes] = field(default_factory=list)
    end: int = FILE_HEADER_BYTES  # end of the last valid record: where the next may be written
    torn: int = 0  # bytes after `end`: an incomplete record
    holes: list[tuple[int, int]] = field(default_factory=list)  # lost ranges: begin and end


def file_header(kind: bytes) -> bytes:
    """The header of a log file; `kind` is two bytes that identify the type of its payloads."""
    if len(kind) != 2:
        raise ValueError("a kind must be two bytes")
    return MAGIC + bytes([VERSION]) + kind


def encode(payload: bytes) -> bytes:
    """One record with its header and checksum. Raises ValueError above `MAX_PAYLOAD` bytes."""
    if len(payload) > MAX_PAYLOAD:
        raise ValueError(f"a payload may have at most {MAX_PAYLOAD} bytes")
    return _RECORD_HEADER.pack(MARK, len(payload), _checksum(payload)) + payload


def _checksum(payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(struct.pack("<I", len(payload))))


def scan(data: bytes, kind: bytes) -> Scan:
    """Read a whole file. Raises LogFormatError if it is no log of this kind and version."""
    found = Scan()
    head = file_header(kind)
    if len(data) <= FILE_HEADER_BYTES and data != head:
        found.end, found.torn = 0, len(data)  # damaged while it was created: it never had a record
        return found
    if data[: len(MAGIC)] != MAGIC:
        raise LogFormatError("it is no log file")
    if data[len(MAGIC)] != VERSION:
        raise LogFormatError(f"its format is version {data[len(MAGIC)]}, this program reads {VERSION}")
    if data[len(MAGIC) + 1 : FILE_HEADER_BYTES] != kind:
        raise LogFormatError(f"it holds {data[len(MAGIC) + 1:FILE_HEADER_BYTES]!r}, not {kind!r}")
    at = FILE_HEADER_BYTES
    while at < len(data):
        payload = _record(data, at)
        if payload is None:
            following = _next_record(data, at + 1)
            if following is None:
                if _is_partial_record(data, at):
                    found.torn = len(data) - at
                else:
                    found.holes.append((at, len(data)))
                return found
            found.holes.append((at, following))
            at = following
            continue
        found.payloads.append(payload)
        at += _RECORD_HEADER.size + len(payload)
        found.end = at
    return found


def _record(data: bytes, at: int) -> bytes | None:
    if at + _RECORD_HEADER.size > len(data):
        return None
    mark, length, checksum = _RECORD_HEADER.unpack_from(data, at)
    begin = at + _RECORD_HEADER.size
    if mark != MARK or length > MAX_PAYLOAD or begin + length > len(data):
        return None
    payload = data[begin : begin + length]
    return payload if _checksum(payload) == checksum else None


def _is_partial_record(data: bytes, at: int) -> bool:
    """Whether the data ends within a record that begins here."""
    if at + _RECORD_HEADER.size > len(data):
        return MARK.startswith(data[at : at + len(MARK)])
    mark, length, _ = _RECORD_HEADER.unpack_from(data, at)
    return bool(mark == MARK and length <= MAX_PAYLOAD and at + _RECORD_HEADER.size + length > len(data))


def _next_record(data: bytes, at: int) -> int | None:
    """Where the next valid record begins."""
    while (at := data.find(MARK, at)) >= 0:
        if _record(data, at) is not None:
            return at
        at += 1
    return None

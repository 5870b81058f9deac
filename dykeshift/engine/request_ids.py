"""Ids of requests that may have run lately, in bounded memory that several processes can share. Sans-I/O.

A request that must not run twice is claimed by its id before anything of it is sent. Once it is certain that
it has not run, the claim is released; else the id stays claimed for RETENTION_NS, whether its client was
answered or has left. The table is a buffer of slots in small buckets, one bucket an id; of a full bucket the
oldest claim is dropped, and counted. Several processes may use one buffer: a slot is written at once.
"""

from __future__ import annotations

import hashlib
import mmap
import struct

RETENTION_NS = 60_000_000_000  # far longer than any deadline, and than servers work on what was given up
BUCKETS, SLOTS = 4096, 8
SLOT = struct.Struct("=QQ")  # digest of the id; when it was claimed, in ns of the machine's monotonic clock
TABLE_BYTES = BUCKETS * SLOTS * SLOT.size
EMPTY = (0, 0)

Table = bytearray | mmap.mmap


class RequestIds:
    """The claims in one table of TABLE_BYTES; all zeros: no claims."""

    def __init__(self, table: Table | None = None) -> None:
        """`table`: shared with other processes, or None for one of this process alone."""
        self.table: Table = bytearray(TABLE_BYTES) if table is None else table
        self.dropped = 0  # claims that gave way to others before their time

    def share(self, table: Table, now: int) -> None:
        """Use a table that other processes use, too, with the claims made so far."""
        own, self.table = self.table, table
        for offset in range(0, TABLE_BYTES, SLOT.size):
            digest, claimed_at = SLOT.unpack_from(own, offset)
            if self._is_claim(now, claimed_at):
                self._write(now, self._bucket(digest), digest, claimed_at)

    def claim(self, now: int, request_id: str) -> bool:
        """Claim an id; False if it is claimed already. `now`: ns of the machine's monotonic clock."""
        digest = self._digest(request_id)
        bucket = self._bucket(digest)
        for offset in bucket:
            found, claimed_at = SLOT.unpack_from(self.table, offset)
            if found == digest and self._is_claim(now, claimed_at):
                return False
        self._write(now, bucket, digest, now)
        return True

    def release(self, request_id: str) -> None:
        """The request has certainly not run: its id may be claimed again."""
        digest = self._digest(request_id)
        for offset in self._bucket(digest):
            if SLOT.unpack_from(self.table, offset)[0] == digest:
                SLOT.pack_into(self.table, offset, *EMPTY)

    @staticmethod
    def _digest(request_id: str) -> int:
        digest = hashlib.blake2b(request_id.encode(), digest_size=8, person=b"lifttrail-id").digest()
        return int.from_bytes(digest, "big") or 1

    @staticmethod
    def _bucket(digest: int) -> range:
        """The offsets of the slots that may hold this digest."""
        start = digest % BUCKETS * SLOTS * SLOT.size
        return range(start, start + SLOTS * SLOT.size, SLOT.size)

    @staticmethod
    def _is_claim(now: int, claimed_at: int) -> bool:
        """Whether a claim of that time still holds; one from the future is from before a restart."""
        return claimed_at > 0 and 0 <= now - claimed_at < RETENTION_NS

    def _write(self, now: int, bucket: range, digest: int, claimed_at: int) -> None:
        """Write a claim over the slot that is free, or whose claim is the oldest."""
        age, offset = max((self._age(now, slot), slot) for slot in bucket)
        self.dropped += age < RETENTION_NS
        SLOT.pack_into(self.table, offset, digest, claimed_at)

    def _age(self, now: int, offset: int) -> int:
        claimed_at: int = SLOT.unpack_from(self.table, offset)[1]
        return now - claimed_at if self._is_claim(now, claimed_at) else RETENTION_NS

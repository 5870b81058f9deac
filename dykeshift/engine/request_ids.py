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
# A claim: digest of the id; when it was claimed, in ns of the machine's monotonic clock. Zeros: none.
SLOT = struct.Struct("=QQ")
BUCKET = struct.Struct("=" + SLOTS * "QQ")
TABLE_BYTES = BUCKETS * BUCKET.size

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
        for digest, claimed_at in SLOT.iter_unpack(own):
            if self._holds(now, claimed_at):
                self._claim(now, digest, claimed_at)

    def claim(self, now: int, request_id: str) -> bool:
        """Claim an id; False if it is claimed already. `now`: ns of the machine's monotonic clock."""
        return self._claim(now, self._digest(request_id), now)

    def release(self, request_id: str) -> None:
        """The request has certainly not run: its id may be claimed again."""
        digest = self._digest(request_id)
        start = self._bucket(digest)
        digests = BUCKET.unpack_from(self.table, start)[::2]
        if digest in digests:
            SLOT.pack_into(self.table, start + digests.index(digest) * SLOT.size, 0, 0)

    @staticmethod
    def _digest(request_id: str) -> int:
        digest = hashlib.blake2b(request_id.encode(), digest_size=8, person=b"lifttrail-id").digest()
        return int.from_bytes(digest, "big") or 1

    @staticmethod
    def _bucket(digest: int) -> int:
        """The offset of the bucket of this digest."""
        return digest % BUCKETS * BUCKET.size

    @staticmethod
    def _holds(now: int, claimed_at: int) -> bool:
        """Whether a claim of that time still holds; one from the future is from before a restart."""
        return claimed_at > 0 and 0 <= now - claimed_at < RETENTION_NS

    def _claim(self, now: int, digest: int, claimed_at: int) -> bool:
        """Write a claim unless there is one, over the slot that is free or whose claim is the oldest."""
        start = self._bucket(digest)
        found = BUCKET.unpack_from(self.table, start)
        digests, times = found[::2], found[1::2]
        if digest in digests:
            slot = digests.index(digest)
            if self._holds(now, times[slot]):
                return False
        else:
            slot = times.index(min(times)) if max(times) <= now else times.index(max(times))
            self.dropped += self._holds(now, times[slot])
        SLOT.pack_into(self.table, start + slot * SLOT.size, digest, claimed_at)
        return True

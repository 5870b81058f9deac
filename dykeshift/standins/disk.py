"""A directory in memory that fails as disks do: full, read-only, failing syncs, power cuts with torn writes.

It has the methods that a store asks of a directory (`dykeshift.store.files.Files`).
"""

from __future__ import annotations

import errno
from random import Random


class Disk:
    """The directory; its attributes say which faults are on. `room` is in bytes, None is endless."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.kept: dict[str, bytes] = {}  # what lasts
        self.seen: dict[str, bytes] = {}  # what a program sees
        self.room: int | None = None
        self.read_only = False
        self.sync_fails = False
        self.dead = False

    def check(self, size: int = 0) -> None:
        """Raise the OSError that a write of `size` bytes meets now."""
        if self.dead:
            raise OSError(errno.EIO, "Input/output error")
        if self.read_only:
            raise OSError(errno.EROFS, "Read-only file system")
        if self.room is not None and sum(map(len, self.seen.values())) + size > self.room:
            raise OSError(errno.ENOSPC, "No space left on device")

    def names(self) -> list[str]:
        """See `store.files.Files`."""
        return list(self.seen)

    def remove(self, name: str) -> None:
        """See `store.files.Files`."""
        self.check()
        self.seen.pop(name, None)
        self.kept.pop(name, None)

    def read(self, name: str) -> bytes | None:
        """See `store.files.Files`."""
        return self.seen.get(name)

    def append(self, name: str, at: int) -> Handle:
        """See `store.files.Files`."""
        self.check()
        self.seen[name] = self.seen.get(name, b"")[:at]
        return Handle(self, name)

    def replace(self, name: str, data: bytes) -> None:
        """See `store.files.Files`."""
        self.check(len(data))
        self.seen[name] = self.kept[name] = data

    def power_cut(self) -> None:
        """Of what was not synced any part may be there, its last piece torn or turned to noise."""
        for name, seen in self.seen.items():
            kept = self.kept.get(name, b"")
            if seen[: len(kept)] != kept:
                kept = kept[: len(seen)]
            extra = seen[len(kept) :]
            part = extra[: self.rng.randint(0, len(extra))]
            if part and self.rng.random() < 0.3:
                spoilt = self.rng.randrange(len(part))
                part = part[:spoilt] + self.rng.randbytes(len(part) - spoilt)
            self.kept[name] = kept + part
        self.seen = dict(self.kept)
        self.room, self.read_only, self.sync_fails, self.dead = None, False, False, False


class Handle:
    """An open file of the directory."""

    def __init__(self, disk: Disk, name: str) -> None:
        self.disk, self.name = disk, name

    def write(self, data: bytes) -> None:
        """Write to what the program sees; a full disk takes as much as there is room for."""
        room = self.disk.room
        if room is not None:
            used = sum(map(len, self.disk.seen.values()))
            if used + len(data) > room:
                self.disk.seen[self.name] += data[: max(0, room - used)]
        self.disk.check(len(data))
        self.disk.seen[self.name] += data

    def sync(self) -> None:
        """Make what was written last through a power cut."""
        self.disk.check()
        if self.disk.sync_fails:
            raise OSError(errno.EIO, "Input/output error")
        self.disk.kept[self.name] = self.disk.seen[self.name]

    def close(self) -> None:
        """Nothing to do."""
        pass

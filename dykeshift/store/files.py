"""The file system interface of the store, and its implementation on the machine's file system.

The interface is small on purpose: tests implement it with a file system that loses what was not synced, tears
writes, is full, is read-only or fails, at any call.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Handle(Protocol):
    """A file opened for appending."""

    def write(self, data: bytes) -> None:
        """Write all of the data. After an OSError any part of it may have been written."""

    def sync(self) -> None:
        """Make what was written durable.

        After an OSError that is unknown, and the handle must not be used again.
        """

    def close(self) -> None:
        """Close the file; what was not synced may be lost."""


class Files(Protocol):
    """One directory. Every method raises OSError where the system call does."""

    def names(self) -> list[str]:
        """The names of the files in the directory, in any order."""

    def read(self, name: str) -> bytes | None:
        """The whole content of a file; None when it does not exist."""

    def append(self, name: str, at: int) -> Handle:
        """Open for appending, truncated to `at` bytes first; a missing file is created."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content atomically: after a power cut it is either the new or the old one."""

    def remove(self, name: str) -> None:
        """Remove a file. It may reappear after a power cut."""


class _File:
    def __init__(self, path: Path, at: int) -> None:
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
        os.ftruncate(self.fd, at)
        os.lseek(self.fd, at, os.SEEK_SET)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def sync(self) -> None:
        os.fsync(self.fd)

    def close(self) -> None:
        os.close(self.fd)


class Directory:
    """A directory of the machine's file system."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock: int | None = None

    def lock(self) -> None:
        """Lock out other balancer processes until this one ends.

        Raises BlockingIOError if one holds the lock.
        """
        self._lock = os.open(self.path / "lock", os.O_WRONLY | os.O_CREAT, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def names(self) -> list[str]:
        """The names of the files in the directory."""
        return os.listdir(self.path)

    def read(self, name: str) -> bytes | None:
        """The whole content of a file; None when it does not exist."""
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, at: int) -> Handle:
        """Open a file for writing at byte `at`, and create it if needed. Raises OSError."""
        new = not (self.path / name).exists()
        file = _File(self.path / name, at)
        if new:
            self._sync()
        return file

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically; it is durable once this returns. Raises OSError."""
        path, temporary = self.path / name, self.path / f"{name}.new"
        file = _File(temporary, 0)
        try:
            file.write(data)
            file.sync()
        finally:
            file.close()
        os.replace(temporary, path)
        self._sync()

    def remove(self, name: str) -> None:
        """Remove a file; one that does not exist is fine."""
        (self.path / name).unlink(missing_ok=True)

    def _sync(self) -> None:
        """Make new and renamed directory entries durable."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

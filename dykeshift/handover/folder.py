"""The folder shared by the processes of one balancer: a file of bans, a locked file per serving process."""

from __future__ import annotations

import contextlib
import fcntl
import logging
import mmap
import os
from collections.abc import Iterator

from dykeshift.handover import bans
from dykeshift.handover.bans import Bans

log = logging.getLogger(__name__)

BANS = "lifttrail-bans.json"
LOCK = "lifttrail-bans.lock"
SERVING = "lifttrail-serving-"
TABLE = "lifttrail-requests"


class Folder:
    """Raises OSError where the file system does.

    Locks are flock(2) and end with the process that holds them.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.read_version: tuple[int, int] | None = None  # version of the file of bans that was read last
        self.own_file = ""  # name of this process's file, once it serves
        self.descriptor = -1

    def _path_of(self, name: str) -> str:
        return os.path.join(self.path, name)

    # ---- bans ----

    def changed(self) -> bool:
        """Whether the file of bans has changed since it was last read."""
        return self._file_version() != self.read_version

    def _file_version(self) -> tuple[int, int] | None:
        try:
            stat = os.stat(self._path_of(BANS))
        except FileNotFoundError:
            return None
        return stat.st_ino, stat.st_mtime_ns

    def read(self) -> Bans:
        """The readable bans; anything unreadable is logged in one line."""
        self.read_version = self._file_version()
        try:
            with open(self._path_of(BANS), encoding="utf-8", errors="replace") as file:
                return bans.read(file.read())
        except FileNotFoundError:
            return Bans()
        except bans.BansFormatError as exc:
            log.warning(
                "the file of bans is corrupt, %d bans could be read: %s",
                len(exc.bans.out),
                exc,
                extra={"event": "bans.spoilt", "fields": {"reason": str(exc)}},
            )
            return exc.bans

    @contextlib.contextmanager
    def change(self) -> Iterator[Bans]:
        """Change the bans under a lock; the file is replaced atomically, unless the caller raises.

        Two processes may do this at once: each reads what the other has written.
        """
        descriptor = os.open(self._path_of(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            stored = self.read()
            yield stored
            draft = self._path_of(f"{BANS}.{os.getpid()}")
            with open(draft, "w", encoding="utf-8") as file:
                file.write(stored.text())
            os.rename(draft, self._path_of(BANS))
            self.read_version = self._file_version()
        finally:
            os.close(descriptor)

    # ---- ids of requests ----

    def shared_table(self, size: int) -> mmap.mmap:
        """A table of so many bytes that all processes share; of zeros when it is new."""
        lock = os.open(self._path_of(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            descriptor = os.open(self._path_of(TABLE), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                os.posix_fallocate(descriptor, 0, size)  # so that no later write finds the disk full
                return mmap.mmap(descriptor, size)
            finally:
                os.close(descriptor)
        finally:
            os.close(lock)

    # ---- serving processes ----

    def announce(self, now: int) -> None:
        """Announce that this process serves since `now` (nanoseconds of a clock common to all processes)."""
        name = f"{SERVING}{now:020d}-{os.getpid()}"
        # Locked before it gets its name: unlocked it would be taken for the file of a process that has ended.
        draft = self._path_of(f"draft-{name}")
        descriptor = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            os.rename(draft, self._path_of(name))
        except OSError:
            os.close(descriptor)
            raise
        self.descriptor, self.own_file = descriptor, name

    def others(self) -> tuple[int, int]:
        """How many other processes serve, and how many of them started later than this one."""
        names = [name for name in os.listdir(self.path) if name.startswith(SERVING) and name != self.own_file]
        alive = [name for name in names if self._is_alive(name)]
        return len(alive), sum(name > self.own_file for name in alive) if self.own_file else 0

    def _is_alive(self, name: str) -> bool:
        try:
            descriptor = os.open(self._path_of(name), os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        else:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path_of(name))
            return False
        finally:
            os.close(descriptor)

    def withdraw(self) -> None:
        """Take back the announcement that this process serves."""
        if self.own_file:
            with contextlib.suppress(OSError):
                os.unlink(self._path_of(self.own_file))
            os.close(self.descriptor)
            self.own_file = ""

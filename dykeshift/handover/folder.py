"""The folder that two processes of one balancer share: a file of bans, a locked file for each that serves."""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
from collections.abc import Iterator

from dykeshift.handover import bans
from dykeshift.handover.bans import Bans

log = logging.getLogger(__name__)

BANS = "lifttrail-bans.json"
LOCK = "lifttrail-bans.lock"
SERVING = "lifttrail-serving-"


class Folder:
    """Errors of the file system are OSError. Locks are the kernel's (flock) and end with their process."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.mark: tuple[int, int] | None = None  # of the file of bans that was read last
        self.own = ""  # name of this process's file
        self.descriptor = -1

    def _at(self, name: str) -> str:
        return os.path.join(self.path, name)

    # ---- bans ----

    def changed(self) -> bool:
        """Whether the file of bans is another one than was read last."""
        return self._mark() != self.mark

    def _mark(self) -> tuple[int, int] | None:
        try:
            stat = os.stat(self._at(BANS))
        except FileNotFoundError:
            return None
        return stat.st_ino, stat.st_mtime_ns

    def read(self) -> Bans:
        """Whatever can be read; what can't is one line of log."""
        self.mark = self._mark()
        try:
            with open(self._at(BANS), encoding="utf-8", errors="replace") as file:
                return bans.read(file.read())
        except FileNotFoundError:
            return Bans()
        except bans.Spoilt as exc:
            log.warning(
                "the file of bans is spoilt, %d bans could be read: %s",
                len(exc.bans.out),
                exc,
                extra={"event": "bans.spoilt", "fields": {"reason": str(exc)}},
            )
            return exc.bans

    @contextlib.contextmanager
    def change(self) -> Iterator[Bans]:
        """Both processes may do this at once: each sees what the other has written, whole."""
        descriptor = os.open(self._at(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            held = self.read()
            yield held
            draft = self._at(f"{BANS}.{os.getpid()}")
            with open(draft, "w", encoding="utf-8") as file:
                file.write(held.text())
            os.rename(draft, self._at(BANS))
            self.mark = self._mark()
        finally:
            os.close(descriptor)

    # ---- who serves ----

    def serve(self, now: int) -> None:
        """Say that this process serves, from now (nanoseconds of a clock that all processes share) on."""
        name = f"{SERVING}{now:020d}-{os.getpid()}"
        # Locked before anybody can see it by its name: unlocked it would be taken for a dead one's.
        draft = self._at(f"draft-{name}")
        descriptor = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            os.rename(draft, self._at(name))
        except OSError:
            os.close(descriptor)
            raise
        self.descriptor, self.own = descriptor, name

    def others(self) -> tuple[int, int]:
        """How many other processes serve, and how many of them began later than this one."""
        alive = [name for name in os.listdir(self.path) if name.startswith(SERVING) and name != self.own]
        alive = [name for name in alive if self._lives(name)]
        return len(alive), sum(name > self.own for name in alive) if self.own else 0

    def _lives(self, name: str) -> bool:
        try:
            descriptor = os.open(self._at(name), os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        else:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._at(name))
            return False
        finally:
            os.close(descriptor)

    def leave(self) -> None:
        if self.own:
            with contextlib.suppress(OSError):
                os.unlink(self._at(self.own))
            os.close(self.descriptor)
            self.own = ""

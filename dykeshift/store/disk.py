"""Where the store finds a disk: the machine's own, or one that a simulation hands in."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Protocol

from dykeshift.store.files import Directory, Files
from dykeshift.store.worker import Thread, Worker


class Disk(Protocol):
    """Gives access to directories and to a worker that waits for the disk."""

    def open(self, path: str) -> Files:
        """A directory, for this process alone; OSError where it can't be had."""

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker:
        """A worker whose results arrive in `loop`."""


class MachineDisk:
    """The disk of the machine that the process runs on."""

    def open(self, path: str) -> Files:
        """Lock the directory for this process. Raises OSError where it cannot be had."""
        directory = Directory(Path(path))
        directory.lock()
        return directory

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker:
        """A thread beside the loop."""
        return Thread(loop)

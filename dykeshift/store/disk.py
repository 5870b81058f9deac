"""The disk that the store uses: the machine's own, or one that a simulation supplies."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Protocol

from dykeshift.store.files import Directory, Files
from dykeshift.store.worker import Thread, Worker


class Disk(Protocol):
    """Opens directories, and provides a worker for blocking disk operations."""

    def open(self, path: str) -> Files:
        """Open a directory for this process alone. Raises OSError if that fails."""

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker:
        """A worker whose results arrive in `loop`."""


class MachineDisk:
    """The disk of the machine that the process runs on."""

    def open(self, path: str) -> Files:
        """Lock the directory for this process. Raises OSError if that fails."""
        directory = Directory(Path(path))
        directory.lock()
        return directory

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker:
        """A worker thread, outside the event loop."""
        return Thread(loop)

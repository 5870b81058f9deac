"""Where the store finds a disk: the machine's own, or one that a simulation hands in."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Protocol

from dykeshift.store.files import Directory, Files
from dykeshift.store.worker import Thread, Worker


class Disk(Protocol):
    def open(self, path: str) -> Files:
        """A directory, for this process alone; OSError where it can't be had."""

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker: ...


class MachineDisk:
    def open(self, path: str) -> Files:
        directory = Directory(Path(path))
        directory.lock()
        return directory

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker:
        return Thread(loop)

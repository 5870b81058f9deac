"""A disk in memory, in place of the machine's."""

from __future__ import annotations

import asyncio

from dykeshift.standins.disk import Disk
from dykeshift.store.files import Files
from dykeshift.store.worker import Thread, Worker


class MemoryDisk:
    """Implements `dykeshift.store.disk.Disk`."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def open(self, path: str) -> Files:
        return self.disk

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker:
        return Thread(loop)

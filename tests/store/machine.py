"""A disk in memory as a balancer's own."""

from __future__ import annotations

import asyncio

from dykeshift.standins.disk import Disk
from dykeshift.store.files import Files
from dykeshift.store.worker import Thread, Worker


class Machine:
    """`dykeshift.store.disk.Disk`."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def open(self, path: str) -> Files:
        return self.disk

    def worker(self, loop: asyncio.AbstractEventLoop) -> Worker:
        return Thread(loop)

"""Runs blocking disk operations outside the event loop, one at a time and in order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol

Done = Callable[[Any, BaseException | None], None]  # what the work returned, or what it raised


class Worker(Protocol):
    """Runs blocking work in order, outside the event loop."""

    def run(self, work: Callable[[], Any], done: Done) -> None:
        """Queue `work`; `done` is called in the loop afterwards, never within this call."""

    def close(self) -> None:
        """Finish the queued work first."""


class Thread:
    """One thread, started with the first piece of work."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.pool = ThreadPoolExecutor(1, "lifttrail-store")

    def run(self, work: Callable[[], Any], done: Done) -> None:
        """Queue `work`; `done` gets its result or its exception in the loop."""

        def on_done(future: Future[Any]) -> None:
            error = future.exception()
            result = None if error is not None else future.result()
            if not self.loop.is_closed():
                self.loop.call_soon_threadsafe(done, result, error)

        self.pool.submit(work).add_done_callback(on_done)

    def close(self) -> None:
        """Finish what is queued, then end the thread."""
        self.pool.shutdown()

"""SIGTERM to a day of processes: it ends with its processes, whenever the signal comes.

The signal may meet a day that has just ended, or a wait that takes the cancelling for its own. It is kept
until the day asks, so that no process goes on to its next day as if nothing had been said.
"""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from typing import Any


class Ending:
    """While entered. On the way out a signal that came ends the process, as an interrupt would."""

    def __init__(self) -> None:
        self.told = False
        self.task: asyncio.Task[Any] | None = None

    def __enter__(self) -> Ending:
        self.before = signal.signal(signal.SIGTERM, self._hear)
        return self

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        signal.signal(signal.SIGTERM, self.before)
        if self.told and (kind is None or issubclass(kind, Exception)):  # what is being stopped may fail
            raise KeyboardInterrupt

    def _hear(self, *_: object) -> None:
        self.told = True
        if self.task is not None:
            with suppress(RuntimeError):  # its loop is closed
                self.task.get_loop().call_soon_threadsafe(self.task.cancel)

    def bind(self) -> None:
        """From the task that is to be cancelled."""
        self.task = asyncio.current_task()
        self.look()

    def look(self) -> None:
        """Raise CancelledError if the signal has come."""
        if self.told:
            raise asyncio.CancelledError

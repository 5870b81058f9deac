"""What commands show on a terminal while they work; nothing where there is none."""

from __future__ import annotations

from types import TracebackType

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, TextColumn, TimeRemainingColumn
from rich.progress import Progress as Bar


class Progress:
    """A bar on standard error: done, a remark, time left. A context manager."""

    def __init__(self, total: float, what: str = "") -> None:
        console = Console(stderr=True)
        self._bar = Bar(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TextColumn("{task.fields[remark]}"),
            TimeRemainingColumn(),
            console=console,
            transient=True,
            disable=not console.is_terminal,
        )
        self._task = self._bar.add_task(what, total=total, remark="")

    def __enter__(self) -> Progress:
        self._bar.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._bar.stop()

    def show(self, done: float, remark: str = "") -> None:
        """Set the bar to `done` (of the total given at the start), with a short remark beside it."""
        self._bar.update(self._task, completed=done, remark=remark)

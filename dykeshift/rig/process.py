"""The daemon with a wall clock that is off: `python -m dykeshift.rig.process MILLISECONDS`."""

from __future__ import annotations

import sys
import time

from dykeshift.clock import SystemClock
from dykeshift.node.__main__ import main


class ShiftedClock(SystemClock):
    """The machine's own, its wall clock by so many milliseconds ahead."""

    def __init__(self, ahead: int) -> None:
        self.ahead = ahead * 1_000_000

    def time_ns(self) -> int:  # type: ignore[override]
        """Unix time in nanoseconds, shifted by `ahead`."""
        return time.time_ns() + self.ahead


if __name__ == "__main__":
    sys.exit(main(ShiftedClock(int(sys.argv[1]))))

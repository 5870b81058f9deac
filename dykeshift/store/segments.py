"""A log in numbered files (segments), for data that expires in the order in which it was written.

Theory of operation. Payloads go to the newest file; a full file is followed by one with the next number, and
the oldest is removed as a whole once its owner needs nothing in it any more, so nothing is ever copied. A
file that failed is left as it is, and `reopen` continues in a new one; the readable part of the failed file
is read at the next start. All methods block on the disk and must run outside the event loop (worker.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.store.files import Files
from dykeshift.store.log import Log, Recovered

SEGMENT_BYTES = 4 << 20  # a file of this size is followed by the next


@dataclass(slots=True)
class RecoveredSegment:
    """What opening one file found."""

    number: int
    recovered: Recovered


@dataclass(slots=True)
class Segments:
    """Raises LogError and LogFormatError as Log does, and OSError if the directory cannot be read."""

    files: Files
    stem: str
    kind: bytes
    full: int = SEGMENT_BYTES
    log: Log | None = None
    number: int = 0
    numbers: list[int] = field(default_factory=list)  # of the existing files, oldest first

    def _name(self, number: int) -> str:
        return f"{self.stem}-{number:08d}.log"

    def open(self) -> list[RecoveredSegment]:
        """Read all files, oldest first, and prepare to append.

        Appends go to the newest file, or to a new one if the newest is full or has lost data.
        """
        prefix, found = f"{self.stem}-", list[RecoveredSegment]()
        for name in sorted(self.files.names()):
            digits = name.removeprefix(prefix).removesuffix(".log")
            if not name.startswith(prefix) or not name.endswith(".log") or not digits.isdecimal():
                continue
            self.log = Log(self.files, name, self.kind)
            self.number = int(digits)
            self.numbers.append(self.number)
            found.append(RecoveredSegment(self.number, self.log.open()))
            self.log.close()
        if found and found[-1].recovered.whole and self.log is not None and self.log.size < self.full:
            self.log.open()
        else:
            self.reopen()
        return found

    def reopen(self) -> None:
        """Continue in a new file."""
        if self.log is not None:
            self.log.close()
        self.number += 1
        self.log = Log(self.files, self._name(self.number), self.kind)
        self.log.open()
        self.numbers.append(self.number)

    def write(self, payloads: list[bytes]) -> None:
        """Append and sync together. On LogError none of the payloads counts as durable."""
        assert self.log is not None, "the log is not open"
        for payload in payloads:
            self.log.append(payload)
        self.log.commit()

    def overflowing(self) -> bool:
        """Whether the newest file is full, so that the next append begins another."""
        return self.log is not None and self.log.size >= self.full

    def drop(self, before: int) -> None:
        """Remove the files with lower numbers."""
        while self.numbers and self.numbers[0] < before:
            self.files.remove(self._name(self.numbers[0]))
            del self.numbers[0]

    def close(self) -> None:
        """Close the newest file."""
        if self.log is not None:
            self.log.close()

"""A log in numbered files, for what is forgotten in the order in which it came.

Theory of operation. Payloads go to the newest file; one that is full is followed by the next number, and the
oldest is removed whole once its owner needs nothing of it any more, so nothing is ever copied. A file that
failed is left as it is, and `reopen` goes on in a new one: what the failed one holds is read at the next
start, as far as it got. Everything here waits for the disk: it belongs beside the loop (worker.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.store.files import Files
from dykeshift.store.log import Log, Recovered

FULL = 4 << 20  # bytes: a file that holds more is followed by the next


@dataclass(slots=True)
class Found:
    """What one file held."""

    number: int
    recovered: Recovered


@dataclass(slots=True)
class Segments:
    """Raises LogError and LogFormatError as Log does; OSError where the directory cannot be read."""

    files: Files
    stem: str
    kind: bytes
    full: int = FULL
    log: Log | None = None
    number: int = 0
    numbers: list[int] = field(default_factory=list)  # of the files that are there, oldest first

    def _name(self, number: int) -> str:
        return f"{self.stem}-{number:08d}.log"

    def open(self) -> list[Found]:
        """Read all files, oldest first, and be ready to append: to the newest, or behind one that is full or
        lost something to a new one."""
        prefix, found = f"{self.stem}-", list[Found]()
        for name in sorted(self.files.names()):
            digits = name.removeprefix(prefix).removesuffix(".log")
            if not name.startswith(prefix) or not name.endswith(".log") or not digits.isdecimal():
                continue
            self.log = Log(self.files, name, self.kind)
            self.number = int(digits)
            self.numbers.append(self.number)
            found.append(Found(self.number, self.log.open()))
            self.log.close()
        if found and found[-1].recovered.whole and self.log is not None and self.log.size < self.full:
            self.log.open()
        else:
            self.reopen()
        return found

    def reopen(self) -> None:
        """Go on in a new file."""
        if self.log is not None:
            self.log.close()
        self.number += 1
        self.log = Log(self.files, self._name(self.number), self.kind)
        self.log.open()
        self.numbers.append(self.number)

    def write(self, payloads: list[bytes]) -> None:
        """Append and sync as one; LogError: none of them may count as kept."""
        assert self.log is not None, "it is not open"
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

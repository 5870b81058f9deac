"""A log of payloads in one file of a directory: append, commit, compact, recover.

Theory of operation. `append` collects; `commit` writes what is collected in one piece and syncs it: group
commit, so that many appends cost one sync. Only what a `commit` returned for lasts; the caller acknowledges
nothing before. `compact` replaces the file by the given payloads atomically.

A log that met an error is FAILED: what it holds on disk is no longer known, so it takes nothing more and
says so; the caller goes on without it or stops, and a later `open` reads what is really there. (After a
failed fsync the kernel may have dropped the pages: Rebello et al., USENIX ATC 2020; a second fsync proves
nothing.)
"""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.store.files import Files, Handle
from dykeshift.store.records import FILE_HEAD, Scan, encode, file_head, scan


class LogError(Exception):
    """The log can take nothing more; the text says why, in one line."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """What opening a log found."""

    payloads: list[bytes]
    torn: int  # bytes of an unfinished record that were cut off
    holes: list[tuple[int, int]]  # stretches of bytes whose records are lost
    size: int  # bytes of the file as it was found

    @property
    def whole(self) -> bool:
        """Whether nothing was lost: no torn tail and no holes."""
        return not self.torn and not self.holes


class Log:
    """An append log in the file `name`; `kind` (2 bytes) says what its payloads are."""

    def __init__(self, files: Files, name: str, kind: bytes) -> None:
        self.files, self.name, self.kind = files, name, kind
        self.size = 0  # bytes of the file, as committed
        self.failed: str | None = None
        self._handle: Handle | None = None
        self._pending: list[bytes] = []

    def open(self) -> Recovered:
        """Read what is there, cut a torn tail off, be ready to append.

        Raises LogFormatError where the file is another's or newer, LogError where it cannot be read or
        written. Neither changes the file.
        """
        try:
            data = self.files.read(self.name)
            found = scan(data, self.kind) if data is not None else Scan(end=0)
            self._handle = self.files.append(self.name, found.end)
            if found.end < FILE_HEAD:
                self._handle.write(file_head(self.kind))
                self._handle.sync()
                found.end = FILE_HEAD
        except OSError as exc:
            raise self._fail("cannot open", exc) from None
        self.size = found.end
        return Recovered(found.payloads, found.torn, found.holes, len(data or b""))

    def append(self, payload: bytes) -> None:
        """Queue a payload for the next `commit`."""
        self._pending.append(encode(payload))

    def commit(self) -> int:
        """Write and sync what was appended; how many payloads. LogError: none of them may count as kept."""
        if self.failed is not None or self._handle is None:
            raise LogError(self.failed or "the log is not open")
        batch, self._pending = self._pending, []
        if not batch:
            return 0
        data = b"".join(batch)
        try:
            self._handle.write(data)
            self._handle.sync()
        except OSError as exc:
            raise self._fail("cannot write", exc) from None
        self.size += len(data)
        return len(batch)

    def compact(self, payloads: list[bytes]) -> None:
        """The log holds these and nothing else from now on."""
        if self.failed is not None or self._handle is None:
            raise LogError(self.failed or "the log is not open")
        data = file_head(self.kind) + b"".join(encode(payload) for payload in payloads)
        try:
            self.files.replace(self.name, data)
            self._handle.close()
            self._handle = self.files.append(self.name, len(data))
        except OSError as exc:
            raise self._fail("cannot compact", exc) from None
        self.size = len(data)

    def close(self) -> None:
        """Close the file; what was queued and not committed is dropped."""
        if self._handle is not None:
            self._handle.close()
            self._handle = None

    def _fail(self, what: str, exc: OSError) -> LogError:
        self.failed = f"{what} {self.name}: {exc.strerror or exc}"
        return LogError(self.failed)

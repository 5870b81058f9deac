"""A log of payloads in one file of a directory: append, commit, compact, recover.

Theory of operation. `append` queues a payload; `commit` writes all queued payloads at once and syncs them
(group commit), so that many appends cost one sync. A payload is durable only once `commit` has returned; the
caller must acknowledge nothing before. `compact` atomically replaces the file by the given payloads.

After an I/O error the log has failed: what is on disk is no longer known, so `commit` and `compact` raise
LogError from then on. The caller goes on without the log or stops, and a later `open` reads what is really
there. (After a failed fsync the kernel may have dropped the pages, so a second fsync proves nothing: Rebello
et al., USENIX ATC 2020.)
"""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.store.files import Files, Handle
from dykeshift.store.records import FILE_HEADER_BYTES, Scan, encode, file_header, scan


class LogError(Exception):
    """The log has failed and accepts no more payloads; the text says why, in one line."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """What opening a log found."""

    payloads: list[bytes]
    torn: int  # bytes of an incomplete record that were cut off
    holes: list[tuple[int, int]]  # ranges of bytes whose records are lost
    size: int  # bytes of the file before anything was cut off

    @property
    def whole(self) -> bool:
        """Whether nothing was lost: no torn tail and no holes."""
        return not self.torn and not self.holes


class Log:
    """An append log in the file `name`; `kind` (2 bytes) identifies the type of its payloads."""

    def __init__(self, files: Files, name: str, kind: bytes) -> None:
        self.files, self.name, self.kind = files, name, kind
        self.size = 0  # bytes of the file, as committed
        self.failed: str | None = None
        self._handle: Handle | None = None
        self._pending: list[bytes] = []

    def open(self) -> Recovered:
        """Read the file, cut off a torn tail, and prepare to append.

        Raises LogFormatError if the file is no log of this kind or of a newer version, LogError if it cannot
        be read or written. Neither changes the file.
        """
        try:
            data = self.files.read(self.name)
            found = scan(data, self.kind) if data is not None else Scan(end=0)
            self._handle = self.files.append(self.name, found.end)
            if found.end < FILE_HEADER_BYTES:
                self._handle.write(file_header(self.kind))
                self._handle.sync()
                found.end = FILE_HEADER_BYTES
        except OSError as exc:
            raise self._fail("cannot open", exc) from None
        self.size = found.end
        return Recovered(found.payloads, found.torn, found.holes, len(data or b""))

    def append(self, payload: bytes) -> None:
        """Queue a payload for the next `commit`."""
        self._pending.append(encode(payload))

    def commit(self) -> int:
        """Write and sync the queued payloads; returns their number.

        On LogError none of them counts as durable.
        """
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
        """Atomically replace the whole content by these payloads."""
        if self.failed is not None or self._handle is None:
            raise LogError(self.failed or "the log is not open")
        data = file_header(self.kind) + b"".join(encode(payload) for payload in payloads)
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

"""Controls the injection of system call faults into processes under test: see failing_calls.c."""

from __future__ import annotations

import errno
import mmap
import os
import struct
import subprocess
from collections.abc import Iterable
from enum import IntEnum
from functools import cache
from pathlib import Path

SOURCE = Path(__file__).with_name("failing_calls.c")
MAX_ERRORS = 14
PER_MILLION = 1_000_000
_HEAD = struct.Struct("=q")
_COUNT = struct.Struct("=Q")
_FAULT = struct.Struct(f"=II{MAX_ERRORS}i")

ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.EPERM,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EAGAIN)
SOCKET_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
FILE_ERRORS = (errno.ENOSPC, errno.EIO)


class Kind(IntEnum):
    """The kinds of faults, in the order of failing_calls.c."""

    ACCEPT = 0
    CONNECT = 1
    SOCKET = 2
    WAIT = 3
    SHORT_READ = 4
    SHORT_WRITE = 5
    BROKEN = 6
    HELD = 7
    FILE_CALL = 8
    PEEK = 9


_SIZE = _HEAD.size + len(Kind) * (_COUNT.size + _FAULT.size)


@cache
def library() -> Path:
    """The path of the shared library, compiled once per test process. Raises CalledProcessError."""
    compiled = (
        Path(os.environ.get("TMPDIR", "/tmp")) / f"lifttrail-failing-calls-{os.getuid()}-{os.getpid()}.so"
    )
    subprocess.run(
        ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(compiled), str(SOURCE), "-ldl"], check=True
    )
    return compiled


class FaultControl:
    """Faults in the processes started with `environment`; can be changed while they run."""

    def __init__(self, path: Path, folder: Path | None = None, seed: int = 1) -> None:
        """`path`: of the control file to create. `folder`: file faults apply to files below it."""
        self.path, self.folder, self.seed = path, folder, seed
        path.write_bytes(bytes(_SIZE))
        with path.open("r+b") as file:
            self._block = mmap.mmap(file.fileno(), _SIZE)

    def environment(self) -> dict[str, str]:
        """The environment variables for a process with these faults."""
        variables = {
            "LD_PRELOAD": str(library()),
            "FAULT_CONTROL": str(self.path),
            "FAULT_SEED": str(self.seed),
        }
        if self.folder is not None:
            variables["FAULT_FOLDER"] = str(self.folder)
        return variables

    def fail(self, kind: Kind, share: float, errors: Iterable[int] = ()) -> None:
        """From now on this share of such calls fails, with one of the errors at random."""
        chosen = tuple(errors)
        _FAULT.pack_into(
            self._block,
            self._fault_at(kind),
            int(share * PER_MILLION),
            len(chosen),
            *chosen,
            *[0] * (MAX_ERRORS - len(chosen)),
        )

    def hold(self, share: float, seconds: float) -> None:
        """From now on this share of network writes is delayed, each by up to so many seconds."""
        self.fail(Kind.HELD, share, [int(seconds * 1e6)])

    def step_wall_clock(self, seconds: float) -> None:
        """From now on the wall clock is off by so many seconds in total."""
        _HEAD.pack_into(self._block, 0, int(seconds * 1e9))

    def calm(self) -> None:
        """Stop all faults; the wall clock's offset stays."""
        for kind in Kind:
            self.fail(kind, 0.0)

    def injected(self, kind: Kind) -> int:
        """The number of faults of this kind injected so far."""
        found: int = _COUNT.unpack_from(self._block, _HEAD.size + kind * _COUNT.size)[0]
        return found

    @staticmethod
    def _fault_at(kind: Kind) -> int:
        return _HEAD.size + len(Kind) * _COUNT.size + kind * _FAULT.size

"""Addresses set aside for servers that start later, in this process or in another one.

An address found by binding port 0 and closing the socket may be given to any other process before the
server has bound it. Here the socket stays bound, with SO_REUSEADDR and without listening: Linux then gives
its port to nobody who binds port 0, while a server that sets SO_REUSEADDR, too, and names the port may
listen there, and again after a restart.
"""

from __future__ import annotations

import socket
from types import TracebackType


class ReservedAddresses:
    """TCP addresses; a context manager that releases them at its end."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self, host: str = "127.0.0.1") -> tuple[str, int]:
        """A free address (host, port), reserved until `release`. Raises OSError where there is none."""
        reserved = socket.socket()
        self._sockets.append(reserved)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((host, 0))
        address: tuple[str, int] = reserved.getsockname()
        return address

    def release(self) -> None:
        """Release all addresses; servers that listen there go on."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()

    def __enter__(self) -> ReservedAddresses:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

"""A plain uvloop byte relay: `proxy_relay.py PORT UPSTREAM-PORT`. The least that a proxy can do."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import uvloop


class Side(asyncio.Protocol):
    """One end of a relayed connection; the other end gets what comes, and its close."""

    def __init__(self, other: Side | None = None) -> None:
        self.other, self.transport, self.early = other, None, b""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport; the client's side dials the upstream."""
        self.transport = transport
        if self.other is None:
            asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        _, self.other = await asyncio.get_running_loop().create_connection(
            lambda: Side(self), "127.0.0.1", int(sys.argv[2])
        )
        if self.early:
            self.other.transport.write(self.early)

    def data_received(self, data: bytes) -> None:
        """Pass the bytes on, or keep them until the other side is connected."""
        if self.other is None:
            self.early += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side too."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def main() -> None:
    """Serve until the process is ended."""
    server = await asyncio.get_running_loop().create_server(Side, "127.0.0.1", int(sys.argv[1]))
    await server.serve_forever()


uvloop.run(main())

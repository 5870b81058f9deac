"""Yardsticks for MLLP: `proxy_mllp.py relay|hl7 PORT UPSTREAM-PORT`, an upstream connection for each client.

`relay` hands each frame on and its acknowledgement back, unread. `hl7` reads both with python-hl7, as a small
router of messages would, and checks that the acknowledgement answers the message.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

import uvloop


def as_it_is(content: bytes, answer: bytes) -> bytes:
    """The acknowledgement, unread."""
    return answer


def parsed(content: bytes, answer: bytes) -> bytes:
    """The acknowledgement, read and written anew. Raises ValueError where it answers another message."""
    import hl7

    message, ack = hl7.parse(content.decode()), hl7.parse(answer.decode())
    if str(ack.segment("MSA")[2]) != str(message.segment("MSH")[10]):
        raise ValueError("out of step")
    return str(ack).encode()


class Proxy:
    """Hands messages on; `word` makes the answer for the client."""

    def __init__(self, upstream: int, word: Callable[[bytes, bytes], bytes]) -> None:
        self.upstream, self.word = upstream, word

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one client until either side closes."""
        near, far = await asyncio.open_connection("127.0.0.1", self.upstream)
        try:
            while True:
                block = await reader.readuntil(b"\x1c\r")
                far.write(block)
                answer = await near.readuntil(b"\x1c\r")
                writer.write(b"\x0b" + self.word(block[1:-2], answer[1:-2]) + b"\x1c\r")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            far.close()


async def main() -> None:
    """Serve until the process is ended."""
    kind, port, upstream = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    proxy = Proxy(upstream, parsed if kind == "hl7" else as_it_is)
    server = await asyncio.start_server(proxy.serve, "127.0.0.1", port)
    await server.serve_forever()


uvloop.run(main())

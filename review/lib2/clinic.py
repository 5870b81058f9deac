"""A small MLLP sender: frames out, acknowledgements in. Standard library only."""

from __future__ import annotations

import asyncio
import time

from stand import HOST

VT, END = b"\x0b", b"\x1c\r"


def message(control_id: str, event: str = "SIU^S12", patient: int = 1) -> bytes:
    """An appointment reminder as an HL7 v2 message."""
    made = time.strftime("%Y%m%d%H%M%S+0000", time.gmtime())
    lines = [
        f"MSH|^~\\&|CLINIC|DORNOD|SMS|EAST|{made}||{event}|{control_id}|P|2.5.1",
        f"SCH|{control_id}|||||REMINDER",
        f"PID|1||{patient}^^^CLINIC",
    ]
    return "".join(line + "\r" for line in lines).encode()


def frame(content: bytes) -> bytes:
    """The block around a message."""
    return VT + content + END


class Line:
    """One connection of a clinic."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port: int) -> Line:
        """Connect."""
        return cls(*await asyncio.open_connection(HOST, port))

    def send(self, *contents: bytes) -> None:
        """Write messages, one frame each, at once."""
        self.writer.write(b"".join(map(frame, contents)))

    async def hear(self, within: float) -> tuple[str, str] | None:
        """Code and control id of the next acknowledgement; None: the connection has ended."""
        async with asyncio.timeout(within):
            try:
                raw = await self.reader.readuntil(END)
            except (asyncio.IncompleteReadError, ConnectionError):
                return None
        for line in raw.strip(VT + END).split(b"\r"):
            fields = line.split(b"|")
            if fields[0] == b"MSA":
                return fields[1].decode(), fields[2].decode()
        return "?", "?"

    def close(self) -> None:
        """Close."""
        self.writer.close()

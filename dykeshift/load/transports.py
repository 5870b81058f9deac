"""How a try reaches a balancer: HTTP as the protocol page has it, or HL7 over MLLP."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime
from typing import Protocol

import aiohttp

from dykeshift.load.schedule import Kind, Load
from dykeshift.load.tally import Answer
from dykeshift.standins import hl7

REFUSED = (429, 503)
NOTES = {"safe": "status-check", "keyed": "reminder-set", "unsafe": "sms-send"}  # stand-ins' messages


class Transport(Protocol):
    """Sends tries to a balancer and tells how each ended."""

    async def ask(self, name: str, kind: Kind, left_s: float, turn: int) -> Answer:
        """One try, over within `left_s` seconds; what goes wrong is an Answer, never an exception."""

    async def close(self) -> None:
        """Close its connections."""


class Http:
    """Connections are kept, and more are opened when all are busy, as clients do."""

    def __init__(self, load: Load, host: str, port: int) -> None:
        self.load = load
        self.url = f"http://{host}:{port}{load.path}"
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def ask(self, name: str, kind: Kind, left_s: float, turn: int) -> Answer:
        """See `Transport.ask`; each try has a request id of its own."""
        rid = f"{name}-{turn}"
        headers = {
            "X-Request-Id": rid,
            "X-Class": kind.name,
            "X-Deadline-Ms": str(max(1, int(left_s * 1000))),
        }
        if kind.kind == "keyed":
            headers["Idempotency-Key"] = f"key-{name}"
        if turn:
            headers["X-Retry"] = "1"
        cost = self.load.cost_ms
        query = {"errand": name, "kind": kind.name, "cost": f"{cost:g}"} if cost else {}
        method = "GET" if kind.kind == "safe" else "POST"
        try:
            async with (
                asyncio.timeout(left_s),
                self.session.request(method, self.url, headers=headers, params=query) as answer,
            ):
                await answer.read()
                return _http_answer(answer.status, answer.headers.get("Retry-After"))
        except TimeoutError:
            return Answer("unanswered")
        except (aiohttp.ClientError, OSError):
            return Answer("broken")

    async def close(self) -> None:
        """Close its connections."""
        await self.session.close()


def _http_answer(status: int, advice: str | None) -> Answer:
    if status == 200:
        return Answer("served")
    if status not in REFUSED:
        return Answer("failed")
    try:
        return Answer("refused", float(advice) if advice is not None else None)
    except ValueError:
        return Answer("refused")


class Mllp:
    """A connection for each message that is out, kept for the next. AA is served, AE failed, AR refused."""

    def __init__(self, load: Load, host: str, port: int) -> None:
        self.to = (host, port)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.made = datetime.now(UTC).strftime("%Y%m%d%H%M%S+0000")
        self.cost = int(load.cost_ms) or 1

    async def ask(self, name: str, kind: Kind, left_s: float, turn: int) -> Answer:
        """See `Transport.ask`; a retry sends the same message again."""
        # A clinic's resend is the same message under the same control id.
        note = hl7.Note(name, "LOAD", NOTES[kind.kind], "original", self.cost, self.made, "Load^Test")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(left_s):
                reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(*self.to)
                writer.write(hl7.block(note.content()))
                blocks = hl7.Blocks()
                while data := await reader.read(65536):
                    for content in blocks.feed(data):
                        code, _ = hl7.read_ack(content)
                        self.idle.append((reader, writer))
                        return Answer({"AA": "served", "AR": "refused"}.get(code, "failed"))
        except TimeoutError:
            if writer is not None:
                writer.transport.abort()
            return Answer("unanswered")
        except (OSError, ValueError):
            pass
        if writer is not None:
            writer.transport.abort()
        return Answer("broken")

    async def close(self) -> None:
        """Close its connections."""
        for _, writer in self.idle:
            writer.close()


def connect(load: Load, host: str, port: int) -> Transport:
    """The transport that the load's protocol needs."""
    if load.protocol == "mllp":
        return Mllp(load, host, port)
    return Http(load, host, port)

"""Long answers on kept connections are cut off while the upstream writes them."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib import standins
from lib.standins import Balancer, Client, Discovery, Head, Record, Upstream, read_head

UPSTREAMS, BALANCERS = 6, 2
CLIENTS = 4  # of each balancer
SECONDS = 30.0
THINK = 0.2  # seconds from a client's answer to its next request
LONG, SHORT = 1_000_000, 10_000  # bytes of an answer
PIECE = 50_000  # bytes, up to
WRITING = (1.0, 2.0)  # seconds in which an upstream writes a long answer


async def case(record: Record, folder: str, trouble: bool, balancers: list[Balancer]) -> bool:
    """Whatever the upstream gives has to reach the client that reads it."""
    random = Random(58)
    size = LONG if trouble else SHORT

    async def serve(upstream: Upstream, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        asked = head.headers["x-request-id"]
        record(f"{upstream.name}: ran {asked}")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
        sent, began, seconds = 0, time.monotonic(), random.uniform(*WRITING) if trouble else 0.0
        try:
            while sent < size:
                piece = min(random.randrange(PIECE // 2, PIECE), size - sent)
                writer.write(b"x" * piece)
                await writer.drain()
                sent += piece
                await standins.pause_until(began + seconds * sent / size)
        except ConnectionError:
            after = time.monotonic() - began
            record(f"{upstream.name}: {asked} was cut off after {after:.2f} s and {sent} bytes")
            raise
        record(f"{upstream.name}: {asked} is written, {sent} bytes")

    upstreams = [Upstream(f"s-{n}", serve, f"dornod-{n % 4 + 1}", n // 3 + 1) for n in range(UPSTREAMS)]
    for one in upstreams:
        await one.start()
    discovery = Discovery(upstreams)
    await discovery.start()
    await standins.start_balancers(record, folder, discovery, balancers, BALANCERS)

    results: dict[str, int] = {}
    until = time.monotonic() + SECONDS

    async def ask(connection: Client, own: str) -> tuple[str, str]:
        """What became of a request, and how far its answer came."""
        headers = {"X-Request-Id": own, "X-Class": "status-check", "X-Deadline-Ms": "1000"}
        began = time.monotonic()
        kept = connection.writer is not None
        head = await read_head(reader := await connection.send("GET /api HTTP/1.1", headers))
        if head is None and kept:  # closed between requests: asked once more, as the page has it
            connection.close()
            head = await read_head(reader := await connection.send("GET /api HTTP/1.1", headers))
        if head is None:
            connection.close()
            return "no answer", ""
        length = int(head.headers.get("content-length", "0"))
        got = 0
        while got < length:
            try:
                data = await reader.read(1 << 20)
            except ConnectionError:
                data = b""
            if not data:
                break
            got += len(data)
        text = f"{got} of {length} bytes after {time.monotonic() - began:.2f} s"
        if got < length:
            connection.close()
            return "cut off", text
        if head.headers.get("connection", "").lower() == "close":
            connection.close()
        return ("whole" if " 200 " in head.start else head.start.split()[1]), text

    async def client(name: str, address: str) -> None:
        connection, number, opened = Client(address), 0, time.monotonic()
        while time.monotonic() < until:
            number += 1
            own = f"{name}-{number}"
            if connection.writer is None:
                opened = time.monotonic()
            record(f"client {name}: GET {own}")
            result, text = await ask(connection, own)
            results[result] = results.get(result, 0) + 1
            record(f"client {name}: {own} {result} {text}")
            if result == "cut off":
                age = time.monotonic() - opened
                record.say(f"BROKEN: {own} {result}, {text}, on a connection that was {age:.1f} s old")
            await asyncio.sleep(THINK)

    await asyncio.gather(
        *(client(f"c{one.number}.{n}", one.address) for one in balancers for n in range(CLIENTS))
    )
    record.say(f"answers: {results}")
    if not results.get("whole"):
        raise standins.CaseError("nothing was served")
    return not results.get("cut off")


if __name__ == "__main__":
    sys.exit(standins.main(Path(__file__).parent, case))

"""A long answer that keeps coming is cut off after ten seconds."""

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
CLIENTS = 2  # of each balancer
SIZE = 16_000_000  # bytes of an answer
PIECE = 100_000  # bytes, up to
SLOW, FAST = 14.0, 1.0  # seconds that an upstream takes to write an answer


async def case(record: Record, folder: str, trouble: bool, balancers: list[Balancer]) -> bool:
    """Whatever the upstream gives has to reach the client that reads it."""
    random = Random(58)
    seconds = SLOW if trouble else FAST

    async def serve(upstream: Upstream, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        asked = head.headers["x-request-id"]
        record(f"{upstream.name}: ran {asked}")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n".encode())
        sent, began = 0, time.monotonic()
        try:
            while sent < SIZE:
                piece = min(random.randrange(PIECE // 2, PIECE), SIZE - sent)
                writer.write(b"x" * piece)
                await writer.drain()
                sent += piece
                await standins.pause_until(began + seconds * sent / SIZE)
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

    async def client(name: str, address: str) -> bool:
        connection = Client(address)
        own = f"{name}-1"
        headers = {"X-Request-Id": own, "X-Class": "status-check", "X-Deadline-Ms": "1000"}
        record(f"client {name}: GET {own}")
        began = time.monotonic()
        reader = await connection.send("GET /api HTTP/1.1", headers)
        head = await read_head(reader)
        if head is None or " 200 " not in head.start:
            raise standins.CaseError(f"{own} was answered {head and head.start}")
        first = time.monotonic() - began
        got, longest, last = 0, 0.0, time.monotonic()
        while got < SIZE:
            try:
                data = await reader.read(1 << 20)
            except ConnectionError:
                data = b""
            now = time.monotonic()
            longest, last = max(longest, now - last), now
            if not data:
                break
            got += len(data)
        took = time.monotonic() - began
        text = (
            f"client {name}: {own} got its head after {first:.3f} s and {got} of {SIZE} bytes in {took:.2f} s"
        )
        record.say(f"{'' if got == SIZE else 'BROKEN: '}{text}, longest wait for a piece {longest:.2f} s")
        connection.close()
        return got == SIZE

    whole = await asyncio.gather(
        *(client(f"c{one.number}.{n}", one.address) for one in balancers for n in range(CLIENTS))
    )
    await asyncio.sleep(0.3)  # for the upstreams to see a break
    record.say(f"answers: {len(whole)}; cut off: {whole.count(False)}")
    return all(whole)


if __name__ == "__main__":
    sys.exit(standins.main(Path(__file__).parent, case))

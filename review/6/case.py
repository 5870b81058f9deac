"""More than belongs to a long answer comes right behind it: does its client get that answer alone?"""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from stand import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    TROUBLE,
    Balancer,
    Discovery,
    Lines,
    Record,
    Server,
    request,
    run,
    settings,
)

BALANCERS, UPSTREAMS, CLIENTS = 2, 12, 8
SIZES = 80_000, 400_000  # bytes of a long answer; the pages name up to 32 MB
SPOILT = 0.1  # of the answers have a second copy right behind; the pages set no share
UNTIL_S = 30.0


def content(name: str) -> bytes:
    """The body that belongs to a request, known to its client and to the upstream."""
    seed = hashlib.sha256(name.encode()).digest()
    size = SIZES[0] + int.from_bytes(seed[:4], "big") % (SIZES[1] - SIZES[0])
    line = f"{name} {seed.hex()}\n".encode()
    return (line * (size // len(line) + 1))[:size]


def worded(body: bytes, in_chunks: bool) -> bytes:
    """A good answer, with a length or in chunks of 16 KiB."""
    if not in_chunks:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    parts = [body[at : at + 16384] for at in range(0, len(body), 16384)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class LongServer(Server):
    """An upstream with long answers; after some of them a second copy comes right behind."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines = Lines(reader)
        try:
            while (got := await lines.head()) is not None:
                name = got[1].get("x-request-id", "")
                await asyncio.sleep(random.expovariate(1 / 0.02))
                answer = worded(content(name), random.random() < 0.5)
                twice = TROUBLE and random.random() < SPOILT
                self.record("upstream.answers", upstream=self.name, request=name, copies=1 + twice)
                writer.write(answer + answer if twice else answer)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


async def body_of(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """The body of an answer, by its length or its chunks; IncompleteReadError where it is cut."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = bytearray()
    while True:
        try:
            size = int(await reader.readuntil(b"\r\n"), 16)
        except (ValueError, asyncio.LimitOverrunError):
            raise asyncio.IncompleteReadError(bytes(body), None) from None
        part = await reader.readexactly(size + 2)
        if not size:
            return bytes(body)
        body += part[:-2]


async def never(server: Server, first: str, headers: dict[str, str], body: bytes) -> None:
    """Not used: `LongServer` answers by itself."""


async def case(record: Record, work: Path, balancers: list[Balancer]) -> int:
    """Clients ask for long answers and compare every byte."""
    servers = [LongServer(record, f"s-{n}", never, cell=n // 3) for n in range(UPSTREAMS)]
    for server in servers:
        await server.start()
    rows = [server.row() for server in servers]
    discovery = Discovery(record, rows)
    await discovery.start()
    for number in range(BALANCERS):
        terms = settings(balancers=BALANCERS, me=number)
        balancers.append(Balancer(record, work, f"n{number}", discovery.port, rows, settings=terms))
        balancers[-1].start()
    for balancer in balancers:
        await balancer.ready()
    began = time.monotonic()
    ends: dict[str, int] = {}
    wrong: list[str] = []

    def end(name: str, what: str) -> None:
        ends[what] = ends.get(what, 0) + 1
        record("client.end", request=name, end=what)

    async def client(number: int) -> None:
        port, turn, writer = balancers[number % BALANCERS].port, 0, None
        while time.monotonic() - began < UNTIL_S:
            turn += 1
            name = f"c{number}-{turn}-{record.began:.0f}"
            if writer is None:
                reader, writer = await asyncio.open_connection(HOST, port)
            status = 0
            try:
                async with asyncio.timeout(5.0):
                    writer.write(request("GET", name, "status-check", 1000))
                    got = await Lines(reader).head()
                    if got is None:
                        raise ConnectionResetError
                    status = int(got[0].split(" ")[1])
                    body = await body_of(reader, got[1])
                keep = got[1].get("connection") != "close"
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
                # Cut so that the client can tell, or no answer: not judged here.
                end(name, "cut, as the client can tell" if status == 200 else "no answer")
                keep = False
            else:
                true = content(name)
                if status != 200:
                    end(name, f"answered {status}")
                elif body == true:
                    end(name, "whole and right")
                else:
                    same = next(
                        (n for n, (a, b) in enumerate(zip(body, true, strict=False)) if a != b),
                        min(len(body), len(true)),
                    )
                    end(name, "whole to look at, and wrong")
                    wrong.append(f"{name} read {len(body)} bytes of {len(true)}, right up to byte {same}")
                    keep = False
            if not keep:
                writer.close()
                writer = None
            await asyncio.sleep(random.uniform(0.0, 0.1))

    await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    record.say(f"{ends}")
    for text in wrong[:5]:
        record.say(text)
    if ends.get("whole and right", 0) < 50:
        return NOT_RUN
    return BROKEN if wrong else HELD


run(HERE, case)

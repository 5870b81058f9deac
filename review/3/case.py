"""The end of a long answer is replaced when the upstream sends more than belongs to it."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib import standins
from lib.standins import Balancer, Client, Discovery, Head, Record, Upstream, message

UPSTREAMS, BALANCERS = 6, 2
CLIENTS = 3  # of each balancer
SECONDS = 15.0
THINK = 0.1  # seconds from a client's answer to its next request
SIZES = (100_000, 300_000)  # bytes of an answer
CHUNK = 10_000  # bytes, in answers that come in chunks
MORE = 0.2  # of the answers bring more than belongs to them
PATIENCE = 4.0  # seconds that a client waits for the end of an answer


def made(asked: str, size: int) -> bytes:
    """The body for a request: lines that name it and count."""
    lines = (f"{asked} line {n}\n" for n in range(size // 12))
    return "".join(lines).encode()[:size]


def encoded(body: bytes, chunked: bool) -> bytes:
    """The answer, with its length or in chunks."""
    if not chunked:
        return message("HTTP/1.1 200 OK", {}, body)
    pieces = (body[at : at + CHUNK] for at in range(0, len(body), CHUNK))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


async def case(record: Record, folder: str, trouble: bool, balancers: list[Balancer]) -> bool:
    """What a client takes for a whole answer has to be the one that was made for its request."""
    random = Random(58)
    bodies: dict[str, bytes] = {}

    async def serve(upstream: Upstream, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(random.uniform(0.014, 0.025))
        asked = head.headers["x-request-id"]
        content = bodies.setdefault(asked, made(asked, random.randrange(*SIZES)))
        chunked = random.random() < 0.5
        answer = encoded(content, chunked)
        form = "in chunks" if chunked else "with its length"
        behind = b""
        if trouble and random.random() < MORE:
            behind = answer if random.random() < 0.5 else b"noise behind an answer\r\n"
        record(f"{upstream.name}: ran {asked}, {len(content)} bytes {form}, {len(behind)} bytes behind")
        writer.write(answer + behind)

    upstreams = [Upstream(f"s-{n}", serve, f"dornod-{n % 4 + 1}", n // 3 + 1) for n in range(UPSTREAMS)]
    for one in upstreams:
        await one.start()
    discovery = Discovery(upstreams)
    await discovery.start()
    await standins.start_balancers(record, folder, discovery, balancers, BALANCERS)

    answered: dict[str, int] = {}
    wrong = 0
    until = time.monotonic() + SECONDS

    async def client(name: str, address: str) -> None:
        nonlocal wrong
        connection = Client(address)
        number = 0
        while time.monotonic() < until:
            number += 1
            own = f"{name}-{number}"
            headers = {"X-Request-Id": own, "X-Class": "status-check", "X-Deadline-Ms": "1000"}
            record(f"client {name}: GET {own}")
            try:
                asked = connection.ask("GET /api HTTP/1.1", headers)
                status, body = await asyncio.wait_for(asked, PATIENCE)
            except (ConnectionError, TimeoutError, ValueError):
                connection.close()
                status, body = 0, b""
            end = "whole" if status and body == bodies.get(own) else str(status) if status else "not whole"
            if status == 200 and end != "whole":
                end = "wrong"
                wrong += 1
                content = bodies[own]
                same = next((n for n, (a, b) in enumerate(zip(content, body, strict=False)) if a != b), -1)
                same = min(len(content), len(body)) if same < 0 else same
                text = f"client {name} took {len(body)} bytes for the whole answer to {own}"
                record.say(f"BROKEN: {text}, which has {len(content)}; the first {same} are right")
            answered[end] = answered.get(end, 0) + 1
            record(f"client {name}: {own} got {status}, {len(body)} bytes, {end}")
            await asyncio.sleep(THINK)

    await asyncio.gather(
        *(client(f"c{one.number}.{n}", one.address) for one in balancers for n in range(CLIENTS))
    )
    record.say(f"answers: {answered}; wrong ones that looked whole: {wrong}")
    if not answered.get("whole"):
        raise standins.CaseError("nothing was served")
    return not wrong


if __name__ == "__main__":
    sys.exit(standins.main(Path(__file__).parent, case))

"""The clients of a crowd, in a process of their own, and the calm clients beside them."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

Address = tuple[str, int]

REOPEN_DELAY_S = 0.05  # from the end of a crowd's connection until its client opens the next one
CALM_INTERVAL_S = 0.03  # between two calm requests
ANSWER_TIMEOUT_S = 3.0  # after which a calm request counts as unanswered
DEADLINE_MS = 1500
READ_BUFFER_BYTES = 1 << 14  # of a client; small, so that its own buffers hide nothing
MIN_DRAWN_BYTES, MAX_DRAWN_BYTES = 1_000, 3_000_000


def head(rid: str, klass: str, target: str = "/", length: int | None = None, chunked: bool = False) -> bytes:
    """The head of a request; a POST if it has a body."""
    method = "POST" if length is not None or chunked else "GET"
    lines = [f"{method} {target} HTTP/1.1", "Host: b", f"X-Request-Id: {rid}", f"X-Class: {klass}"]
    lines.append(f"X-Deadline-Ms: {DEADLINE_MS}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Connection:
    """An open connection of the crowd, with the id of its request."""

    rid: str
    random: Random
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def stop_half_way(to: Connection) -> None:
    """Send half of 4 MB, and nothing more."""
    to.writer.write(head(to.rid, "send", length=4_000_000) + bytes(2_000_000))
    await to.reader.read()


async def write_slowly(to: Connection) -> None:
    """Send 3 MB, 64 KiB each 0.15 s."""
    to.writer.write(head(to.rid, "send", length=3_000_000))
    for _ in range(3_000_000 // 65_536):
        to.writer.write(bytes(65_536))
        await to.writer.drain()
        await asyncio.sleep(0.15)
    await to.reader.read()


async def read_slowly(to: Connection) -> None:
    """Read 2 KiB each 0.1 s of a long answer."""
    to.writer.write(head(to.rid, "check", "/long"))
    while await to.reader.read(2048):
        await asyncio.sleep(0.1)


async def write_many_fields(to: Connection) -> None:
    """Send a head of very many short fields without its end."""
    to.writer.write(head(to.rid, "send")[:-2] + b"a:\r\n" * 12_000)
    await to.reader.read()


async def wait_for_answer(to: Connection) -> None:
    """Send a whole body that is just not long, to an upstream that does not answer."""
    to.writer.write(head(to.rid, "send", "/hang", length=64_000) + bytes(64_000))
    await to.reader.read()


async def read_nothing(to: Connection) -> None:
    """Ask again and again for answers that are just not long, and read none of them."""
    to.writer.transport.pause_reading()  # type: ignore[attr-defined]
    for number in range(200):
        to.writer.write(head(f"{to.rid}-{number}", "check", "/medium"))
        await asyncio.sleep(0.05)


async def begin_many_chunks(to: Connection) -> None:
    """Send a long body in chunks of 1,000 bytes that never ends."""
    to.writer.write(head(to.rid, "send", chunked=True))
    for _ in range(2_000):
        to.writer.write(b"3e8\r\n" + bytes(1_000) + b"\r\n")
        await to.writer.drain()
    await to.reader.read()


async def stop_anywhere(to: Connection) -> None:
    """Send a drawn part of a body of drawn length, in drawn pieces."""
    length = int(MIN_DRAWN_BYTES * (MAX_DRAWN_BYTES / MIN_DRAWN_BYTES) ** to.random.random())
    left = int(length * to.random.random())
    to.writer.write(head(to.rid, "send", length=length))
    while left > 0:
        piece = min(left, to.random.choice((500, 8_000, 70_000, 400_000)))
        to.writer.write(bytes(piece))
        await to.writer.drain()
        await asyncio.sleep(to.random.random() * 0.1)
        left -= piece
    await to.reader.read()


Play = Callable[[Connection], Awaitable[None]]
KINDS: dict[str, Play] = {
    "half": stop_half_way,
    "trickle": write_slowly,
    "reader": read_slowly,
    "head": write_many_fields,
    "waiting": wait_for_answer,
    "unread": read_nothing,
    "chunks": begin_many_chunks,
    "drawn": stop_anywhere,
}
REPORTED = ("half", "trickle", "reader", "head")
MIXES: dict[str, tuple[str, ...]] = {
    **{kind: (kind,) for kind in KINDS},
    "mixed": REPORTED,
    "all": tuple(KINDS),
}


async def _be_a_client(address: Address, number: int, kinds: tuple[str, ...], seed: int) -> None:
    """One client, which opens a connection after the other."""
    random = Random(f"{seed}/{number}")
    turn = 0
    while True:
        turn += 1
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address, limit=READ_BUFFER_BYTES)
            to = Connection(f"slow{number}-{turn}", random, reader, writer)
            with contextlib.suppress(OSError):
                await KINDS[kinds[number % len(kinds)]](to)
            writer.transport.abort()
        await asyncio.sleep(REOPEN_DELAY_S)


def play_crowd(kinds: tuple[str, ...], address: Address, count: int, seconds: float, seed: int) -> None:
    """Be all clients of a crowd until their time is over."""

    async def main() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                clients = (_be_a_client(address, number, kinds, seed) for number in range(count))
                await asyncio.gather(*clients)

    asyncio.run(main())


@dataclass(frozen=True, slots=True)
class CalmAnswer:
    """What a calm request heard."""

    status: str  # the status code, or how its connection ended
    seconds: float


async def ask_calmly(address: Address, rid: str) -> CalmAnswer:
    """Send one short request on a connection of its own."""
    began = time.monotonic()
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head(rid, "check"))
                status = (await reader.readline())[9:12].decode() or "closed"
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError) as exc:
        status = type(exc).__name__
    return CalmAnswer(status, time.monotonic() - began)

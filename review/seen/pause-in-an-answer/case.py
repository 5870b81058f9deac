"""A server writes a long answer in pieces with a pause behind the first, and the balancer cuts it off."""

import asyncio
import pathlib
import random

from review.lib3 import parts

FIRST = 4 << 10  # bytes of the first piece of a slow answer
SIZE = 200 << 10  # bytes of a long answer: over 64 KiB
PAUSE = 2.5  # seconds that a slow server pauses behind its first piece
SHARE = 0.15  # of the long answers that are slow
DEADLINE = 1.5
ENOUGH = 20.0  # seconds after which a client takes no more
COUNT = 16


async def case(record: parts.Record, folder: pathlib.Path, balancers: list[parts.Balancer]) -> int:
    """Twelve servers with long answers of unknown length; the first bytes of each come at once."""
    rng = random.Random(5)
    slow: dict[str, float] = {}  # request id: when its first piece was written
    ends: dict[str, str] = {}

    def chunk(data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data)

    async def reply(server: parts.Server, request: parts.Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)
        rid = request.headers["x-request-id"]
        body = server.answer_to(request)
        body += b"." * (SIZE - len(body))
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in server.report().items())
        writer.write(head.encode() + b"\r\n" + chunk(body[:FIRST]))
        await writer.drain()
        if parts.trouble() and rng.random() < SHARE:
            slow[rid] = record.now()
            record.say(
                f"{server.name} has written the first {FIRST} bytes of its answer to {rid}, and pauses"
            )
            await asyncio.sleep(PAUSE)
            ends[rid] = (
                "the server's connection had been closed" if writer.transport.is_closing() else "it went on"
            )
            record.say(f"{server.name} goes on with its answer to {rid}: {ends[rid]}")
        for at in range(FIRST, SIZE, 32 << 10):
            writer.write(chunk(body[at : at + (32 << 10)]))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    servers = [parts.Server(f"s-{n}", record, cell=n // 6, reply=reply) for n in range(12)]
    await parts.install(record, folder, balancers, servers, parts.settings(4))
    tries: list[parts.Try] = []

    async def client(balancer: parts.Balancer) -> None:
        mine = parts.Client(record, balancer)
        for _ in range(COUNT):
            tries.append(await mine.ask("sms-send", "side_effect", DEADLINE, b"text", patience=ENOUGH))
            await asyncio.sleep(0.1)
        mine.close()

    await asyncio.gather(*(client(balancers[n % 4]) for n in range(8)))
    cut = [one for one in tries if one.rid in slow and not (one.status == 200 and len(one.body) == SIZE)]
    for one in cut:
        record.result(
            f"request {one.rid}: written at {one.written:.2f}, answer begun at {slow[one.rid]:.2f}; "
            f"the client heard {one.how} {one.status} at {one.ended:.2f}"
        )
    record.result(f"{len(tries)} requests, {len(slow)} slow answers, {len(cut)} of them cut off")
    return parts.BROKEN if cut else parts.HELD


parts.run_case(__file__, case)

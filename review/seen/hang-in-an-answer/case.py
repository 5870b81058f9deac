"""A server hangs in the middle of a long answer for longer than ten seconds, and then goes on."""

import asyncio
import pathlib

from review.lib3 import parts

SIZE = 1 << 20  # bytes of a long answer
HANG = 16.0  # seconds; the page allows 8.7 to 24
LONGEST = 40.0  # seconds that a client waits for the rest of an answer that has begun


async def case(record: parts.Record, folder: pathlib.Path, balancers: list[parts.Balancer]) -> int:
    """Twelve servers, one of which hangs while it writes."""
    hang_now = asyncio.Event()
    hung: list[parts.Server] = []

    async def reply(server: parts.Server, request: parts.Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)
        body = server.answer_to(request)
        body += b"." * (SIZE - len(body))
        data = parts.answer_bytes(200, body, server.report())
        half = len(data) // 2
        writer.write(data[:half])
        await writer.drain()
        if hang_now.is_set() and not hung:
            hung.append(server)
            record.say(f"in the middle of its answer to {request.headers['x-request-id']}:")
            server.hang(HANG)
        await server.awake()
        writer.write(data[half:])
        await writer.drain()

    servers = [parts.Server(f"s-{n}", record, cell=n // 6, reply=reply) for n in range(12)]
    await parts.install(record, folder, balancers, servers, parts.settings(4))
    tries: list[parts.Try] = []

    async def client(balancer: parts.Balancer) -> None:
        mine = parts.Client(record, balancer)
        for _ in range(12):
            tries.append(await mine.ask("status-check", "pure", 1.0, patience=LONGEST))
            await asyncio.sleep(0.2)
        mine.close()

    record.say("clients begin")
    clients = [asyncio.create_task(client(balancers[n % 4])) for n in range(8)]
    await asyncio.sleep(1.0)
    if parts.trouble():
        hang_now.set()
    await asyncio.gather(*clients)

    cut = [one for one in tries if one.how != "done"]
    wrong = [one for one in tries if one.status == 200 and len(one.body) != SIZE]
    for one in cut:
        record.result(f"request {one.rid}: its answer had begun and ended with {one.how} at {one.ended:.2f}")
    record.result(
        f"{len(tries)} requests, {len(cut)} cut off, {len(wrong)} with a wrong body, {len(hung)} hangs"
    )
    if parts.trouble() and not hung:
        return parts.NOT_RUN
    return parts.BROKEN if cut or wrong else parts.HELD


parts.run_case(__file__, case)

"""Some answers state a length that is shorter than their body, and clients are served a part of them."""

import asyncio
import pathlib
import random

from review.lib3 import parts

SHARE = 0.05  # of the answers that are spoilt
LENGTH = 15.0


async def case(record: parts.Record, folder: pathlib.Path, balancers: list[parts.Balancer]) -> int:
    """Twelve servers and four balancers under a steady load."""
    rng = random.Random(11)
    made: dict[str, set[bytes]] = {}
    spoilt: set[str] = set()

    async def reply(server: parts.Server, request: parts.Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(rng.uniform(0.005, 0.03))
        rid = request.headers["x-request-id"]
        body = server.answer_to(request) + b"status: delivered to 17 of 17 numbers\n"
        made.setdefault(rid, set()).add(body)
        data = parts.answer_bytes(200, body, server.report())
        if parts.trouble() and rng.random() < SHARE:
            spoilt.add(rid)
            record.say(f"{server.name} answers {rid} with a length that is 24 bytes too short")
            data = data.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % (len(body) - 24))
        writer.write(data)
        await writer.drain()

    servers = [parts.Server(f"s-{n}", record, cell=n // 6, reply=reply) for n in range(12)]
    await parts.install(record, folder, balancers, servers, parts.settings(4))
    tries: list[parts.Try] = []

    async def client(balancer: parts.Balancer) -> None:
        mine = parts.Client(record, balancer)
        until = record.now() + LENGTH
        while record.now() < until:
            name, kind, deadline = rng.choice(
                [
                    ("status-check", "pure", 1.0),
                    ("reminder-set", "token", 0.8),
                    ("sms-send", "side_effect", 1.5),
                ]
            )
            tries.append(
                await mine.ask(name, kind, deadline, b"" if kind == "pure" else b"text", patience=0.5)
            )
            await asyncio.sleep(0.03)
        mine.close()

    await asyncio.gather(*(client(one) for one in balancers for _ in range(2)))
    wrong = [one for one in tries if one.status == 200 and one.body not in made.get(one.rid, set())]
    for one in wrong[:10]:
        record.result(f"request {one.rid} was served {one.body!r}, and its answer was {made.get(one.rid)!r}")
    served = sum(one.status == 200 for one in tries)
    record.result(
        f"{len(tries)} requests, {len(spoilt)} spoilt answers, {served} served, {len(wrong)} with wrong data"
    )
    return parts.BROKEN if wrong else parts.HELD


parts.run_case(__file__, case)

"""A server is replaced at its address by one of another rack, and keyed requests take effect twice."""

import asyncio
import pathlib
import random
import time

from review.lib3 import parts

# Seconds until discovery knows it: the site says 0.7 to 4.8 for one that is gone, 0.64 to 2.3 for a new one.
LISTED_AFTER = 2.2
ROUNDS = 3
COLD = 0.12  # of its capacity that a server starts with
WORK = 0.037  # seconds of work of a request, in the mean


async def case(record: parts.Record, folder: pathlib.Path, balancers: list[parts.Balancer]) -> int:
    """Twelve servers in two racks and four balancers; one after another, three servers are replaced."""
    rng = random.Random(3)
    effects: dict[str, list[tuple[float, int, str]]] = {}  # key: when it took effect, rack, server
    seen: dict[tuple[int, str], float] = {}

    async def reply(server: parts.Server, request: parts.Message, writer: asyncio.StreamWriter) -> None:
        key = request.headers.get("idempotency-key", "")
        age = time.time() - server.started_ms / 1000 if server.started_ms else 1000.0
        capacity = min(1.0, COLD + (1 - COLD) * age / 23.0)
        now = record.now()
        if key and now - seen.get((server.cell, key), -100.0) > 4.2:
            seen[server.cell, key] = now
            effects.setdefault(key, []).append((now, server.cell, server.name))
        await asyncio.sleep(rng.uniform(0.7, 1.3) * WORK / capacity)
        writer.write(parts.answer_bytes(200, server.answer_to(request), server.report()))

    servers = [parts.Server(f"s-{n}", record, cell=n // 6, reply=reply) for n in range(12)]
    discovery = await parts.install(record, folder, balancers, servers, parts.settings(4))
    tries: list[parts.Try] = []
    finished = False

    async def client(balancer: parts.Balancer) -> None:
        mine = parts.Client(record, balancer)
        while not finished:
            tries.append(await mine.ask("reminder-set", "token", 0.8, b"text", patience=0.5))
            await asyncio.sleep(0.05)
        mine.close()

    clients = [asyncio.create_task(client(one)) for one in balancers for _ in range(4)]
    await asyncio.sleep(5.0)
    for number in range(ROUNDS):
        if not parts.trouble():
            await asyncio.sleep(LISTED_AFTER + 6.2)
            continue
        old = servers[number]
        record.say(f"{old.name} dies")
        await old.stop()
        await asyncio.sleep(0.2)
        new = parts.Server(f"t-{number}", record, cell=1, reply=reply, port=old.port)
        new.started_ms = int(time.time() * 1000)
        await new.start()
        record.say(f"{new.name} of another rack runs at its address")
        await asyncio.sleep(LISTED_AFTER)
        old.lifecycle = "left"
        discovery.put(old, new)
        await asyncio.sleep(6.0)
    await asyncio.sleep(2.0)
    finished = True
    await asyncio.gather(*clients)
    twice = {key: when for key, when in effects.items() if len(when) > 1}
    for key, when in list(twice.items())[:20]:
        text = ", ".join(f"{name} of rack {cell} at {at:.2f}" for at, cell, name in when)
        record.result(f"key {key} took effect at {text}")
    served = sum(one.status == 200 for one in tries)
    record.result(f"{len(tries)} requests, {served} served, {len(twice)} keys took effect twice")
    return parts.BROKEN if twice else parts.HELD


parts.run_case(__file__, case)

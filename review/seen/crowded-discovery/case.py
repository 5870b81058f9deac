"""After an outage of discovery a balancer asks again too late, and sends on to a server that drains."""

import asyncio
import pathlib

from review.lib3 import parts

GRACE = 0.3  # seconds: the settings' 250 ms and the protocol's 50 ms
TOLD_AT_LAST = 6.05  # seconds after which a change counts as told, whatever came of a call
WAITED = 0.95  # seconds after which a call that waited too long ends with 503; the site says 1 s
OUTAGE = 26.0  # seconds at least; it ends when no call waits
ROUNDS = 2
AFTER = 12.0  # seconds


async def case(record: parts.Record, folder: pathlib.Path, balancers: list[parts.Balancer]) -> int:
    """Four balancers and twelve servers, of which one drains in each outage."""
    servers = [parts.Server(f"s-{n}", record, cell=n // 6) for n in range(12)]
    discovery = await parts.install(record, folder, balancers, servers, parts.settings(4))
    waiting = 0
    down = False
    tries: list[parts.Try] = []
    finished = False

    async def too_late(number: int, writer: asyncio.StreamWriter) -> bool:
        nonlocal waiting
        if not down:
            return False
        waiting += 1
        await asyncio.sleep(WAITED)
        waiting -= 1
        writer.write(parts.answer_bytes(503, b"waited too long\n"))
        record.say(f"discovery answers 503 on connection {number}: waited too long")
        return True

    discovery.intercept = too_late

    async def client(balancer: parts.Balancer) -> None:
        mine = parts.Client(record, balancer)
        while not finished:
            tries.append(await mine.ask("status-check", "pure", 1.0, patience=0.5))
            await asyncio.sleep(0.05)
        mine.close()

    clients = [asyncio.create_task(client(one)) for one in balancers for _ in range(2)]
    await asyncio.sleep(3.0)
    known: dict[str, float] = {}
    for number in range(ROUNDS):
        down = parts.trouble()
        record.say("discovery is down")
        await asyncio.sleep(OUTAGE)
        server = servers[number]
        server.lifecycle = "leaving"
        discovery.put(server)
        had = len(discovery.calls)
        while down and not (waiting == 0 and len(discovery.calls) > had):
            await asyncio.sleep(0.01)
        down = False
        known[server.name] = record.now()
        record.say("discovery is back")
        await asyncio.sleep(AFTER)
    finished = True
    await asyncio.gather(*clients)
    broken = 0
    for server in servers:
        if server.name in known:
            limit = known[server.name] + TOLD_AT_LAST + GRACE
            late = [at for _, at in server.began if at > limit]
            broken += len(late)
            record.result(
                f"{server.name} drains, discovery is back at {known[server.name]:.2f}; after "
                f"{limit:.2f} it was sent {len(late)} requests, the last at {max(late, default=0):.2f}"
            )
    record.result(f"{len(tries)} requests, {sum(one.status == 200 for one in tries)} served")
    return parts.BROKEN if broken else parts.HELD


parts.run_case(__file__, case)

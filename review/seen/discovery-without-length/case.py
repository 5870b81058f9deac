"""Discovery's answers end with their connection, and servers that drain go on getting requests."""

import asyncio
import pathlib

from review.lib3 import parts

GRACE = 0.3  # seconds: the settings' 250 ms and the protocol's 50 ms
TOLD_AT_LAST = 6.05  # seconds after which a change counts as told, whatever came of a call
LENGTH = 25.0


async def case(record: parts.Record, folder: pathlib.Path, balancers: list[parts.Balancer]) -> int:
    """Six servers of which two drain, and two balancers."""
    servers = [parts.Server(f"s-{n}", record, cell=n // 3) for n in range(6)]
    discovery = await parts.install(record, folder, balancers, servers, parts.settings(2))
    loop, drained = asyncio.get_running_loop(), {}

    def plain(body: bytes) -> bytes:
        return (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
            + b"Content-Length: %d\r\n\r\n" % len(body)
            + body
        )

    def unframed(body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + body

    def form() -> None:
        record.say("from now on discovery ends its connections with its answers")
        discovery.render, discovery.closes = unframed if parts.trouble() else plain, True

    def drain(server: parts.Server) -> None:
        server.lifecycle = "leaving"
        drained[server.name] = record.now()
        discovery.put(server)

    loop.call_later(5.0, form)
    loop.call_later(10.0, drain, servers[1])
    loop.call_later(11.0, drain, servers[4])
    tries: list[parts.Try] = []

    async def client(balancer: parts.Balancer) -> None:
        mine = parts.Client(record, balancer)
        until = record.now() + LENGTH
        while record.now() < until:
            tries.append(await mine.ask("status-check", "pure", 1.0, patience=0.5))
            await asyncio.sleep(0.02)
        mine.close()

    await asyncio.gather(*(client(one) for one in balancers for _ in range(2)))
    broken = 0
    for server in servers:
        if server.name in drained:
            limit = drained[server.name] + TOLD_AT_LAST + GRACE
            late = [at for _, at in server.began if at > limit]
            broken += len(late)
            record.result(
                f"{server.name} began to drain at {drained[server.name]:.2f}; after {limit:.2f} it was sent "
                f"{len(late)} requests, the last at {max(late, default=0):.2f}"
            )
    record.result(f"{len(tries)} requests, {sum(one.status == 200 for one in tries)} served")
    return parts.BROKEN if broken else parts.HELD


parts.run_case(__file__, case)

"""A broken file is taken at SIGHUP, and a keyed request is run in two cells."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib import standins
from lib.standins import Balancer, Client, Discovery, Head, Record, Upstream, message

UPSTREAMS, BALANCERS = 12, 2
CLIENTS = 4  # of each balancer
REQUESTS = 60  # of each client
PAUSE = 0.05  # seconds between two requests of a client
ERRORS = 0.1  # of the requests that were run are answered 500, with and without the disruption
WINDOW = 4.0  # seconds in which a cell drops repeats of a key


async def case(record: Record, folder: str, trouble: bool, balancers: list[Balancer]) -> bool:
    """A key may be run in one cell only."""
    random = Random(58)
    loop = asyncio.get_running_loop()
    seen: dict[tuple[int, str], float] = {}  # cell and key: when it was run
    cells: dict[str, list[int]] = {}  # key: the cells in which it was run

    async def serve(upstream: Upstream, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(random.uniform(0.026, 0.048))
        key, now = head.headers["idempotency-key"], loop.time()
        asked = head.headers["x-request-id"]
        if now - seen.get((upstream.cell, key), -WINDOW) < WINDOW:
            record(f"{upstream.name} (cell {upstream.cell}): dropped the repeat of key {key} ({asked})")
        else:
            seen[upstream.cell, key] = now
            cells.setdefault(key, []).append(upstream.cell)
            record(f"{upstream.name} (cell {upstream.cell}): ran key {key} ({asked})")
            if random.random() < ERRORS:
                record(f"{upstream.name}: answered 500 to {asked}")
                writer.write(message("HTTP/1.1 500 Internal Server Error", {}, b"error\n"))
                return
        writer.write(message("HTTP/1.1 200 OK", {}, f"answer to {asked}".encode()))

    upstreams = [Upstream(f"s-{n}", serve, f"dornod-{n % 4 + 1}", n // 3 + 1) for n in range(UPSTREAMS)]
    for one in upstreams:
        await one.start()
    discovery = Discovery(upstreams)
    await discovery.start()
    await standins.start_balancers(record, folder, discovery, balancers, BALANCERS)
    await asyncio.sleep(1.5)
    if trouble:
        for one in balancers:
            broken = copy.deepcopy(one.config)
            del broken["settings"]["services"][1]["group"]  # of reminder-set: "cell"
            one.write_config(broken)
            record(f"platform: a file without services[1].group for n{one.number}")
            one.signal(signal.SIGHUP)
    await asyncio.sleep(2)

    answered: dict[int, int] = {}

    async def client(name: str, address: str) -> None:
        connection = Client(address)
        for number in range(REQUESTS):
            own, key = f"{name}-{number}", f"{random.getrandbits(128):032x}"
            headers = {
                "X-Request-Id": own,
                "X-Class": "reminder-set",
                "X-Deadline-Ms": "800",
                "Idempotency-Key": key,
            }
            record(f"client {name}: POST {own} with key {key}")
            status, body = await connection.ask("POST /api HTTP/1.1", headers, b"reminder")
            answered[status] = answered.get(status, 0) + 1
            record(f"client {name}: {own} got {status} {body.decode('latin-1').strip()!r}")
            await asyncio.sleep(PAUSE)

    await asyncio.gather(
        *(client(f"c{one.number}.{n}", one.address) for one in balancers for n in range(CLIENTS))
    )
    for one in balancers:
        figures = await one.metrics()
        record.say(
            f"n{one.number}: reconfig_ok {figures['reconfig_ok']}, "
            f"reconfig_failed {figures['reconfig_failed']}"
        )
    twice = {key: where for key, where in cells.items() if len(where) > 1}
    for key, where in twice.items():
        record.say(f"BROKEN: key {key} was run in the cells {where}")
    record.say(f"answers by status: {answered}; keys: {len(cells)}; run in two or more cells: {len(twice)}")
    if not answered.get(200):
        raise standins.CaseError("nothing was served")
    return not twice


if __name__ == "__main__":
    sys.exit(standins.main(Path(__file__).parent, case))

"""A class gets a stricter effect with a new configuration: what comes by MLLP then must not run twice."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from clinic import Line, message  # noqa: E402
from stand import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Balancer,
    Discovery,
    Record,
    Server,
    free_port,
    release,
    run,
    service,
    settings,
)

UPSTREAMS, RACK = 6, 3
LINES = 6  # connections of the clinic, one message at a time on each
FIRST_S = 3.0  # until the first message: the journal is new, so those made earlier are turned down
HUP_S, IN_USE_S = 12.0, 1.2  # SIGHUP; the changed class is in use 1.2 s after it
UNTIL_S = 40.0
WINDOW_S = 4.0  # in which the senders of one rack drop a repeat of a key

STRICT = [service("reminder-set", "side_effect", 400, 800, 3.0, 0.25)]
KEYED = [service("reminder-set", "token", 400, 800, 3.0, 0.25)]
OTHERS = [service("status-check", "pure", 250, 1000, 5.0), service("sms-send", "side_effect", 400, 1500, 5.0)]


class Senders:
    """What ran, and for each rack the keys that it still knows."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.strict = False  # whether the class must never run twice, so that no rack drops its repeats
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.keys: dict[tuple[int, str], float] = {}

    async def serve(
        self, server: Server, first: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes, dict[str, str]]:
        """Run one reminder: mostly 20 to 90 ms, one in ten 200 to 500 ms."""
        control_id = body.split(b"|")[9].decode()
        key, now = headers.get("idempotency-key", ""), time.monotonic()
        known = not self.strict and key and now - self.keys.get((server.cell, key), -1e9) < WINDOW_S
        if known:
            self.record("upstream.repeat-dropped", upstream=server.name, message=control_id)
        else:
            self.keys[server.cell, key] = now
            self.runs[control_id].append(server.name)
            self.record(
                "upstream.run", upstream=server.name, message=control_id, times=len(self.runs[control_id])
            )
        await asyncio.sleep(random.uniform(0.2, 0.5) if random.random() < 0.1 else random.uniform(0.02, 0.09))
        return 200, b"done\n", {"X-Load": '{"failed_ps":0,"cpu_share":0.3}'}


async def case(record: Record, work: Path, balancers: list[Balancer]) -> int:
    """Send reminders by MLLP, before and after the class's effect changes."""
    senders = Senders(record)
    servers = [Server(record, f"s-{n}", senders.serve, cell=n // RACK) for n in range(UPSTREAMS)]
    for server in servers:
        await server.start()
    rows = [server.row() for server in servers]
    discovery = Discovery(record, rows)
    await discovery.start()
    port = free_port()
    (work / "journal").mkdir()
    features = (
        f'[mllp]\nlisten = ["127.0.0.1:{port}"]\nupstreams = "http"\njournal = "{work}/journal"\n'
        '[[mllp.map]]\ntrigger = "SIU^S12"\nclass = "reminder-set"\ntarget = "/hl7/reminder"\n'
    )
    balancer = Balancer(
        record,
        work,
        "n0",
        discovery.port,
        rows,
        features=features,
        settings=settings(services=OTHERS + KEYED),
    )
    balancers.append(balancer)
    release(port)
    balancer.start()
    await balancer.ready()
    began = time.monotonic()
    strict_from = float("inf")
    judged: set[str] = set()
    codes: dict[str, int] = defaultdict(int)

    async def clinic(number: int) -> None:
        line, turn = await Line.open(port), 0
        await asyncio.sleep(FIRST_S)
        while time.monotonic() - began < UNTIL_S:
            control_id, turn = f"m{number}-{turn}", turn + 1
            if not TROUBLE or time.monotonic() > strict_from:
                judged.add(control_id)
            record("clinic.sends", message=control_id)
            line.send(message(control_id))
            got = await line.hear(5.0)
            if got is None:
                line = await Line.open(port)
                continue
            record("clinic.hears", message=got[1], code=got[0])
            codes[got[0]] += 1
            await asyncio.sleep(random.uniform(0.0, 0.1))
        line.close()

    async def reconfigure() -> None:
        nonlocal strict_from
        await asyncio.sleep(HUP_S)
        if TROUBLE:
            balancer.config["settings"] = settings(services=OTHERS + STRICT)
            balancer.write()
            balancer.signal(signal.SIGHUP)
            await asyncio.sleep(IN_USE_S)
            strict_from = time.monotonic()
            # What came before ends as what it came as: its repeats are still dropped for a while.
            await asyncio.sleep(1.0)
            senders.strict = True
            record("class.strict")

    await asyncio.gather(reconfigure(), *(clinic(n) for n in range(LINES)))
    if TROUBLE and "the new configuration is taken" not in balancer.log():
        record.say("the balancer did not take the new configuration")
        return NOT_RUN
    twice = {name: senders.runs[name] for name in judged if len(senders.runs[name]) > 1}
    record.say(f"{len(judged)} reminders judged, {len(twice)} ran more than once; answers: {dict(codes)}")
    for name, where in list(twice.items())[:5]:
        record.say(f"{name} ran at {', '.join(where)}")
    if not judged or not codes.get("AA"):
        return NOT_RUN
    return BROKEN if twice else HELD


run(HERE, case)

"""What clients and operators see of a shared history on a day of the rig, and what has to be true of it.

Clients change and read the history through all consoles, one call after the other each; every call is a line
of the record with its times on this machine's monotonic clock. The checks know the record only.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from random import Random
from typing import Any

from dykeshift.rig.linear import FOREVER, Operation, check

Line = dict[str, Any]
Address = tuple[str, int]
ANSWER = 5.0  # seconds for one answer of a console
CLIENTS = 3
PAUSE = 0.2  # seconds between two calls of a client, on average

RULES = {
    "order": "all calls could have happened one at a time, in an order that keeps what ended before another",
    "prefix": "two that have as many entries in one epoch have the same",
    "lease": "who holds a lease has all that was known committed longer ago than the lease lasts",
    "level": "once all is whole again, all come to the same history",
}


async def call(console: Address, method: str, path: str, body: Any = None) -> tuple[int, Any] | None:
    """Status and JSON; None: no whole answer came."""
    writer = None
    data = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(ANSWER):
            reader, writer = await asyncio.open_connection(*console)
            head = f"{method} {path} HTTP/1.1\r\nHost: rig\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            answer = await reader.read()
        head, _, text = answer.decode("utf-8", "replace").partition("\r\n\r\n")
        return int(head.split(" ", 2)[1]), json.loads(text)
    except (OSError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Clients:
    """They go on until they are stopped; `line` takes what they saw."""

    def __init__(
        self, seed: str, consoles: Callable[[], list[Address]], line: Callable[[Line], None]
    ) -> None:
        self.rng, self.consoles, self.line = Random(f"clients/{seed}"), consoles, line
        self.version = self.count = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the clients as tasks of the running loop."""
        self.tasks = [asyncio.create_task(self._live()) for _ in range(CLIENTS)]

    async def stop(self) -> None:
        """What is under way is heard to its end."""
        tasks, self.tasks = self.tasks, []
        await asyncio.gather(*tasks)

    async def _live(self) -> None:
        me = asyncio.current_task()
        while me in self.tasks:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE))
            consoles = self.consoles()
            if consoles:
                await self._ask(self.rng.choice(consoles))

    async def _ask(self, console: Address) -> None:
        self.count += 1
        start = time.monotonic_ns()
        told: Line = {"what": "call", "kind": "read"}
        if self.rng.random() < 0.6:
            told = {
                "what": "call",
                "kind": "propose",
                "entry": f"change {self.count}",
                "expect": self.version,
            }
            got = await call(
                console, "PUT", "/agree/propose", {"entry": told["entry"], "expect": told["expect"]}
            )
        else:
            got = await call(console, "GET", "/agree/read")
        end = time.monotonic_ns()
        status, answer = got if got is not None else (0, {})
        if status in (200, 409):
            self.version = max(self.version, answer["version"])
        self.line({**told, "start": start, "end": end, "status": status, "answer": answer})


def operations(record: list[Line]) -> list[Operation]:
    """The calls as operations; one without an answer, or with "not known", may have happened any time."""
    found = []
    for line in record:
        if line["what"] != "call":
            continue
        status, answer = line["status"], line["answer"]
        known = status in (200, 409)
        one = Operation(line["kind"], line["start"], line["end"] if known else FOREVER)
        if known:
            one.version, one.ok = answer["version"], status == 200
        if line["kind"] == "propose":
            one.body, one.expect = line["entry"].encode(), line["expect"]
            one.sent = "another change" in answer.get("reason", "another change")
        elif known:
            one.body = answer["entry"].encode()
        found.append(one)
    return found


def judge(record: list[Line], lease_s: float) -> list[tuple[str, str]]:
    """What broke: rule and words. A rescue begins another order of calls, so it is looked at without them."""
    broken = []
    if not any(line["what"] == "fault" and line["kind"] == "rescue" for line in record):
        stuck = check(operations(record))
        if stuck:
            broken.append(("order", stuck))
    digests: dict[tuple[str, int, int], tuple[str, str]] = {}
    for line in (one for one in record if one["what"] == "agree"):
        key = (line["history"], line["epoch"], line["entry"])
        other = digests.setdefault(key, (line["digest"], line["self"]))
        if other[0] != line["digest"]:
            broken.append(("prefix", f"{line['self']} and {other[1]} have another entry {line['entry']}"))
    return (
        broken
        + _leases(record, lease_s)
        + [("level", line["why"]) for line in record if line["what"] == "level" and line["why"]]
    )


def _leases(record: list[Line], lease_s: float) -> list[tuple[str, str]]:
    told = [
        (line["end"], line["answer"]["version"])
        for line in record
        if line["what"] == "call" and line["kind"] == "propose" and line["status"] == 200
    ]
    for line in record:
        if line["what"] != "agree" or not line["lease_s"]:
            continue
        missing = [v for end, v in told if line["asked"] - end > lease_s * 1e9 and v > line["committed"]]
        if missing:
            return [
                (
                    "lease",
                    f"{line['self']} holds a lease at version {line['committed']}, and {max(missing)} "
                    "was known committed for longer than it lasts",
                )
            ]
    return []


def uneven(last: dict[int, Line], running: list[int]) -> str:
    """Why those that run have not come to the same history; empty where they have."""
    lines = [last.get(place) for place in running]
    if any(line is None for line in lines):
        return "one that runs has not been heard"
    told = [line for line in lines if line is not None]
    if len({(t["history"], t["epoch"], t["entry"], t["digest"]) for t in told}) > 1:
        return f"they are at {sorted((t['self'], t['epoch'], t['entry']) for t in told)}"
    leaders = [t for t in told if t["role"] == "leader"]
    if len(leaders) != 1:
        return f"led by {[t['self'] for t in leaders]}"
    # A place that came back under another birth has no vote until its seat is given back: one loss more
    # before that is one too many.
    empty = [n for n in leaders[0]["voters"] if not any(t["seated"] for t in told if t["place"] == n)]
    return f"the seats of {empty} are empty" if empty else ""

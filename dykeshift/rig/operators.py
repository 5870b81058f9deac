"""Operators and clients of a day with settings in versions: orders through consoles, and steady requests."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING, Any

from dykeshift.rig.history import call
from dykeshift.rig.installation import Balancer, settings
from dykeshift.rig.witness import CLASS, Line, unruled
from dykeshift.standins.client import Errand

if TYPE_CHECKING:
    from dykeshift.rig.day import Day
    from dykeshift.rig.plan import Fault

TRIES, PAUSE = 40, 0.25  # an operator whose call is not answered by a yes or a no asks again
SLOW, SLOWS = 1.0, 4  # seconds; so many such tries are enough
RATE = 40.0  # requests a second at all balancers together
EAGER = 120.0  # the same while a repeat is awaited
ORDERS = ("propose", "stage", "ban", "unban", "rollback", "alone", "lists")


def variant(number: int, balancers: int) -> dict[str, Any]:
    """The settings that a day's proposals bring: 0 as it begins, 1 with the class unsafe, 2 with fewer
    attempts, 3 with a deadline that no answer keeps."""
    raw = settings(balancers, 0)
    for service in raw["services"]:
        if service["name"] == CLASS and number == 1:
            service["idempotency"] = "side_effect"
        if service["name"] == CLASS and number == 3:
            service["deadlineNs"] = 1_000
    if number == 2:
        raw["bounds"]["maxAttempts"] = 2
    return raw


class Operators:
    """Gives orders at balancers' consoles, asks what these act on, and sends the clients' requests."""

    def __init__(self, day: Day) -> None:
        self.day, self.told = day, dict[int, Line]()
        self.known: set[int] = set()
        self.rng = Random(f"operators/{day.plan.name}")
        self.count = 0
        self.rate = RATE

    # ---- orders ----

    async def order(self, fault: Fault) -> None:
        """Give an order at a console, again until it is answered by a yes or a no, and record it."""
        day, number = self.day, fault.who[0] if fault.who else 0
        balancer = day.rig.balancers[number]
        start, name = time.monotonic_ns(), f"s{int(fault.size)}"
        path, body = self._call(fault, name)
        got: tuple[int, Any] | None = None
        slow = 0  # tries that nobody answered at once: nobody who could is in reach
        for _ in range(TRIES):
            began = time.monotonic()
            got = await call(balancer.console, "PUT", path, body)
            if got is not None and (got[0] == 200 or got[0] == 409 and self._final(got[1])):
                break
            slow += time.monotonic() - began > SLOW
            if slow > SLOWS or fault.kind == "ban" or not balancer.running or number in day.stopped:
                break
            await asyncio.sleep(PAUSE)
        status, answer = got or (0, None)
        day.note(
            {
                "what": "order",
                "kind": fault.kind,
                "by": balancer.name,
                "server": name,
                "start": start,
                "end": time.monotonic_ns(),
                "status": status,
                "answer": answer,
                "size": fault.size,
            }
        )

    @staticmethod
    def _final(answer: Any) -> bool:
        """A no that will not be another one in a moment."""
        reason = answer.get("reason", "")
        return not any(
            text in reason
            for text in (
                "under way",
                "another change",
                "not reached",
                "no leader",
                "nobody leads",
                "in reach",
                "is not among",
            )
        )

    def _call(self, fault: Fault, name: str) -> tuple[str, dict[str, Any]]:
        if fault.kind in ("propose", "stage"):
            raw = variant(int(fault.size), self.day.plan.balancers)
            stages = [list(group) for group in fault.groups]
            return "/settings/propose", {"settings": raw, "stages": stages, "by": "rig"}
        if fault.kind == "lists":
            return "/settings/lists", {"wary": [name], "doubt": "serve"}
        plain: dict[str, tuple[str, dict[str, Any]]] = {
            "ban": ("/maintenance/enter", {"name": name}),
            "unban": ("/maintenance/exit", {"name": name}),
            "rollback": ("/settings/rollback", {"version": int(fault.size)}),
            "alone": ("/settings/alone", {}),
        }
        return plain[fault.kind]

    # ---- what balancers say ----

    async def ask(self, balancer: Balancer) -> None:
        """Record what a balancer says it acts on, and the text of a version not seen before."""
        asked, process = time.monotonic_ns(), balancer.process
        got = await call(balancer.console, "GET", "/settings")
        if got is None or got[0] != 200 or balancer.process is not process:
            self.told.pop(balancer.number, None)
            return
        told, pending = got[1], got[1]["pending"]
        names = ("self", "mode", "version", "book", "digest", "history", "epoch")
        line = {
            "what": "rules",
            "place": balancer.number,
            "asked": asked,
            "answered": time.monotonic_ns(),
            "pending": pending["phase"] if pending else None,
            "out": sorted(told["out"]),
            **{name: told[name] for name in names},
        }
        self.told[balancer.number] = line
        self.day.note(line)
        if told["version"] not in self.known:
            await self._read(balancer)

    async def _read(self, balancer: Balancer) -> None:
        got = await call(balancer.console, "GET", "/settings/rules")
        if got is None or got[0] != 200:
            return
        for held in (got[1]["in_force"], got[1]["comes"]):
            if held is not None and held["version"] not in self.known:
                self.known.add(held["version"])
                services = (held["settings"] or got[1]["file"])["services"]
                self.day.note(
                    {
                        "what": "text",
                        "version": held["version"],
                        "kinds": {s["name"]: s["idempotency"] for s in services},
                    }
                )

    def unruled(self) -> str:
        """Why those that run do not act on one version; empty where they do."""
        running = [b.number for b in self.day.rig.balancers if b.running]
        return unruled(self.told, running)

    # ---- clients ----

    async def requests(self) -> None:
        """In the form of either kind: a balancer that acts on one only says no to the other."""
        loop, rig = asyncio.get_running_loop(), self.day.rig
        due = loop.time()
        while True:
            due = max(due + self.rng.expovariate(self.rate), loop.time() - 1)
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.count += 1
            kind = self.rng.choice(("safe", "unsafe"))
            rig.crowd.begin(Errand(f"v{self.count}", CLASS, kind, 1.0, cost=5))

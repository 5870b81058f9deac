"""A stand-in discovery: the list of senders in versions, whole or as changes, with watches that wait.

`told` is called when a list or change has been written to a balancer: from then on it counts as told.
Faults: `delay` (seconds before each answer), `fail_share` (503 or a reset), `silent` (nothing comes),
`frozen` (it goes on showing an old version), `forgets` (every answer is the whole list anew).
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from dykeshift.standins.messages import Message, MessageError, Messages, render

HISTORY = 200  # versions that changes are kept for; a watch from before them gets the whole list


@dataclass(frozen=True, slots=True)
class Instance:
    """A listed sender."""

    id: str
    address: tuple[str, int]
    zone: str
    cell: int
    kind: str = "standard"
    lifecycle: str = "active"
    weight: float = 1.0
    started_ms: int = 0  # Unix time; 0: long ago

    def row(self) -> dict[str, Any]:
        """The entry as the protocol words it."""
        return {
            "instanceId": self.id,
            "hostPort": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": self.weight,
            "startedAtMs": self.started_ms,
        }


Told = Callable[["Call", int, bool, list[Instance]], None]


@dataclass(eq=False)
class Registry:
    """The list, its changes, and the watches that wait for the next one."""

    rng: Random
    told: Told | None = None
    delay: float = 0.0
    fail_share: float = 0.0
    silent: bool = False
    forgets: bool = False
    frozen_at: int | None = None
    listed: dict[str, Instance] = field(default_factory=dict)
    changes: list[tuple[int, Instance]] = field(default_factory=list)  # generation, entry as it became
    generation: int = 1
    loop: asyncio.AbstractEventLoop = field(init=False)

    def __post_init__(self) -> None:
        self.server: Any = None
        self.waiting: dict[Call, None] = {}
        self.snapshots: dict[int, dict[str, Instance]] = {}

    async def serve(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(lambda: Call(self), host, port)
        await self.loop.create_future()

    # ---- what is listed ----

    def put(self, instance: Instance) -> None:
        """A new entry or a changed one; a lifecycle of `left` takes it off."""
        self.generation += 1
        if instance.lifecycle == "left":
            self.listed.pop(instance.id, None)
        else:
            self.listed[instance.id] = instance
        self.changes = [*self.changes[-HISTORY:], (self.generation, instance)]
        self._wake()

    def leave(self, name: str, lifecycle: str = "leaving") -> None:
        """Change the lifecycle of a listed sender; an unknown one is left alone."""
        known = self.listed.get(name)
        if known is not None and known.lifecycle != lifecycle:
            self.put(replace(known, lifecycle=lifecycle))

    def freeze(self) -> None:
        """From now on it shows what it has, whatever changes: a stale replica."""
        self.frozen_at = self.generation
        self.snapshots = {self.generation: dict(self.listed)}

    def thaw(self) -> None:
        """Show the newest version again, and answer the watches that wait."""
        self.frozen_at = None
        self._wake()

    def shown(self) -> tuple[int, dict[str, Instance]]:
        """The version that is shown, and its senders."""
        if self.frozen_at is not None:
            return self.frozen_at, self.snapshots[self.frozen_at]
        return self.generation, self.listed

    def whole(self) -> dict[str, Any]:
        """The whole list, as it goes out and as a balancer may keep it."""
        generation, listed = self.shown()
        return {"generation": generation, "reset": True, "instances": [i.row() for i in listed.values()]}

    def _wake(self) -> None:
        for call in list(self.waiting):
            call.look()

    def since(self, version: int) -> tuple[int, bool, list[Instance]]:
        """What a balancer that has this version needs: generation, whether whole, entries."""
        generation, listed = self.shown()
        oldest = self.changes[0][0] if self.changes else generation
        if self.forgets or version > generation or version < oldest - 1:
            return generation, True, list(listed.values())
        latest = {i.id: i for g, i in self.changes if version < g <= generation}
        return generation, False, list(latest.values())

    def stop_serving(self) -> None:
        """It moves away, or goes down for a moment: open calls end."""
        for call in list(self.waiting):
            call.abort()

    def fall_silent(self) -> None:
        """The open calls stay open, and nothing comes on their connections any more."""
        for call in list(self.waiting):
            call.fall_silent()


class Call(asyncio.Protocol):
    """A balancer's connection; one call at a time."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.messages = Messages()
        self.transport: Any = None
        self.version: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.silent = False

    def fall_silent(self) -> None:
        """Answer nothing from now on; the connection stays open."""
        self.silent = True
        self.registry.waiting.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self.registry.waiting.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take each whole request; reset where it makes no sense."""
        try:
            for request in self.messages.feed(data):
                self._ask(request)
        except (MessageError, ValueError):
            self.abort()

    def _ask(self, request: Message) -> None:
        registry = self.registry
        if registry.silent or self.silent:
            return
        draw = registry.rng.random()
        if draw < registry.fail_share:
            if draw < registry.fail_share / 2:
                self.abort()
            else:
                self.transport.write(render("HTTP/1.1 503 Service Unavailable", {}))
            return
        query = parse_qs(urlsplit(request.start.split()[1]).query)
        self.version = int(query["from"][0]) if "from" in query else None
        hold = min(int(query.get("hold_ms", ["0"])[0]), 60_000) / 1000
        if registry.delay:
            self.timer = registry.loop.call_later(registry.delay, self._begin, hold)
        else:
            self._begin(hold)

    def _begin(self, hold: float) -> None:
        if self.version is None:
            generation, _ = self.registry.shown()
            self._tell(generation, True, list(self.registry.shown()[1].values()))
            return
        self.registry.waiting[self] = None
        self.timer = self.registry.loop.call_later(hold, self._over)
        self.look()

    def look(self) -> None:
        """Answer the watch if there is something newer."""
        assert self.version is not None
        generation, whole, entries = self.registry.since(self.version)
        if whole or entries:
            self._tell(generation, whole, entries)

    def _over(self) -> None:
        if self in self.registry.waiting:
            assert self.version is not None
            self._tell(*self.registry.since(self.version))

    def _tell(self, generation: int, whole: bool, entries: list[Instance]) -> None:
        self.registry.waiting.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        if self.registry.silent or self.transport.is_closing():
            return
        rows = {"generation": generation, "reset": whole, "instances": [i.row() for i in entries]}
        self.transport.write(render("HTTP/1.1 200 OK", {}, json.dumps(rows).encode()))
        if self.registry.told is not None:
            self.registry.told(self, generation, whole, entries)

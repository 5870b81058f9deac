"""Designs with one fault each, which a run of theirs has to find; and the right one beside them."""

from __future__ import annotations

import asyncio
import threading
import time
from typing import Any

from dykeshift.scale.cluster import VirtualCluster
from dykeshift.scale.faults import Event
from dykeshift.scale.hosting import MemberLoop
from dykeshift.scale.membership import Member, Membership
from dykeshift.scale.placement import place
from dykeshift.scale.role import Answered, Life, Role
from dykeshift.scale.session import Session
from dykeshift.scale.shard import Plan
from dykeshift.scale.verdict import Finding
from dykeshift.versions.checks import LocalObservations

BAD = 3  # the number of the member that has the fault
OPTIONS: dict[str, dict[str, Any]] = {
    "view": {"lease_s": 20.0},
    "agree": {"lease_s": 4.0, "replace_s": 4.0, "keep": 16},
    "versions": {"report_s": 0.5},
}


class Faulty(Membership):
    """`kind` takes the place of the member BAD; `everybody`: of all."""

    def __init__(self, kind: type[Member] = Member, everybody: bool = False) -> None:
        self.kind, self.everybody = kind, everybody

    def member(self, life: Life) -> Role:
        role: Role = (self.kind if self.everybody or life.seat.number == BAD else Member)(life)
        return role


class Deaf(Member):
    """Stops hearing of the history: left behind."""

    async def start(self) -> None:
        await super().start()
        self.view.port.claims.clear()


class TooSoon(Member):
    """Says that a change is committed as it is asked for, and forgets it at its end."""

    def propose(self, change: dict[str, Any], answered: Answered) -> None:
        answered(self.versions.core.store.state.version + 1)


class Loud(Member):
    """Sends beyond every budget."""

    async def start(self) -> None:
        await super().start()
        self._shout()

    def _shout(self) -> None:
        port = self.view.port
        port.send([(b"x" * 250, self.life.roster.peers[0])] * 10)
        self.life.loop.call_later(0.05, self._shout)


class Hoarder(Member):
    """Keeps something of every version that it acted on."""

    async def start(self) -> None:
        await super().start()
        self.hoard = dict[int, bytes]()

    def version_in_force(self) -> int:
        version = super().version_in_force()
        self.hoard.setdefault(version, bytes(range(256)) * 4096)
        return version

    def report(self) -> Any:
        self.version_in_force()
        return super().report()


class Secret(Member):
    """Sends past its port, where nobody counts."""

    async def start(self) -> None:
        await super().start()
        transport: Any = self.view.port.transport
        loop = self.life.loop
        assert isinstance(loop, MemberLoop)
        transport.sendto = lambda data, addr=None: loop.network.carry(loop, bytes(data), addr)


class Elsewhere(Member):
    """Works in a thread, off the account."""

    async def start(self) -> None:
        await super().start()
        thread = threading.Thread(target=self._work)
        thread.start()
        thread.join()

    def _work(self) -> None:
        until = time.thread_time() + 0.6
        while time.thread_time() < until:
            sum(range(1000))


class OneLife(Member):
    """Cannot start again."""

    async def start(self) -> None:
        if self.life.seed.endswith("/2"):
            raise OSError("address in use")
        await super().start()


class Lame(Member):
    """Its second life hears nobody."""

    async def start(self) -> None:
        await super().start()
        if self.life.seed.endswith("/2"):
            self.view.port.datagram_received = lambda data, addr: None  # type: ignore[method-assign]


class Stubborn(Member):
    """Says that it can't act on any change."""

    async def start(self) -> None:
        await super().start()
        self.versions.core.observe = lambda: LocalObservations(active_balancers=1 << 20)


class Own(Member):
    """Has its own text under the same version."""

    async def start(self) -> None:
        await super().start()
        book = self.versions.core.store
        apply = book.apply

        def wrong(version: int, body: bytes) -> None:
            apply(version, body.replace(b'"worth":', b'"worth":1'))

        book.apply = wrong  # type: ignore[method-assign]


class Broken(Member):
    """Fails in a callback now and then."""

    async def start(self) -> None:
        await super().start()
        self.life.loop.call_later(1.0, self._fail)

    def _fail(self) -> None:
        raise ValueError("nothing")


def run(
    design: Membership,
    events: list[Event],
    members: int = 10,
    limit: float = 30.0,
    patience: float = 10.0,
    options: dict[str, dict[str, Any]] | None = None,
) -> tuple[Session, list[Finding]]:
    """A run on the virtual clock in this process; its session and what it found."""

    async def play() -> tuple[Session, list[Finding]]:
        roster = place(members, 0, 0, 1)
        plan = Plan("membership", 1, roster, OPTIONS if options is None else options)
        hollow = list(range(members))
        session = Session(
            VirtualCluster(plan, hollow, 1, design), plan, design, hollow, limit, patience=patience
        )
        await session.open(settled=True)
        for event in events:
            await session.play(event)
        return session, await session.judge()

    return asyncio.run(play())

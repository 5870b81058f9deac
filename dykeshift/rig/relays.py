"""Relays for datagrams between each ordered pair of balancers, and what befalls these on the way.

Each balancer has a list of peers of its own: at place j the relay of the pair (i, j). What it sends there
goes on to j from the relay of the pair (j, i), so that j sees as sender the address that its own list has.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, cast

Address = tuple[str, int]


@dataclass(slots=True)
class Weather:
    """What befalls datagrams; shares are between 0 and 1, times in seconds."""

    loss: float = 0.0  # share of datagrams
    double: float = 0.0
    late: float = 0.0  # share that takes up to `late_s` more, so that they overtake one another
    late_s: float = 2.0
    delay_s: float = 0.0  # all


class Relay(asyncio.DatagramProtocol):
    """Stands before balancer `to` for balancer `by`."""

    def __init__(self, net: Relays, by: int, to: int) -> None:
        self.net, self.by, self.to = net, by, to
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = ("", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and its address."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand the datagram to the network."""
        self.net.carry(self.by, self.to, data)


class Relays:
    """The relays of all pairs, and the cuts and losses between them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, count: int, rng: Random) -> None:
        self.loop, self.count, self.rng = loop, count, rng
        self.listen: list[Address] = [("", 0)] * count  # where the balancers themselves listen
        self.pairs: dict[tuple[int, int], Relay] = {}
        self.blocked: set[tuple[int, int]] = set()
        self.groups: list[frozenset[int]] = []
        self.weather = Weather()
        self.log: list[tuple[float, int, int, int, str]] = []  # when, from, to, kind of datagram, its fate
        self.recent: list[tuple[int, int, bytes]] = []  # for what is played again
        self.closed = False

    async def open(self, host: str) -> None:
        """Open a relay for each ordered pair on `host`."""
        for by in range(self.count):
            for to in range(self.count):
                make_relay = partial(Relay, self, by, to)
                _, relay = await self.loop.create_datagram_endpoint(make_relay, local_addr=(host, 0))
                self.pairs[by, to] = relay

    def peers_of(self, number: int) -> list[str]:
        """The addresses of all balancers as balancer `number` has to be told them."""
        return ["%s:%d" % self.pairs[number, to].address for to in range(self.count)]

    def linked(self, one: int, other: int) -> bool:
        """Whether datagrams from one reach the other."""
        if (one, other) in self.blocked:
            return False
        return not self.groups or any(one in g and other in g for g in self.groups)

    def carry(self, by: int, to: int, data: bytes) -> None:
        """Deliver a datagram, or lose, double or delay it by the weather."""
        kind = data[1] if len(data) > 1 else -1
        if not self.linked(by, to):
            self._note(by, to, kind, "cut")
            return
        weather, draw = self.weather, self.rng.random
        if len(self.recent) < 4096:
            self.recent.append((by, to, data))
        for _ in range(1 + (draw() < weather.double)):
            if draw() < weather.loss:
                self._note(by, to, kind, "lost")
                continue
            late = draw() * weather.late_s if draw() < weather.late else 0.0
            self._note(by, to, kind, f"late {late:.2f}" if late else "carried")
            if late or weather.delay_s:
                self.loop.call_later(weather.delay_s + late, self.deliver, by, to, data)
            else:
                self.deliver(by, to, data)

    def deliver(self, by: int, to: int, data: bytes) -> None:
        """Send a datagram out to its balancer, unless the two are cut off by now."""
        relay = self.pairs[to, by]
        if not self.closed and relay.transport is not None and self.linked(by, to):
            relay.transport.sendto(data, self.listen[to])

    def replay(self, most: int) -> int:
        """Old datagrams once more, as they were; how many."""
        chosen = self.recent[:most]
        for by, to, data in chosen:
            self.deliver(by, to, data)
        return len(chosen)

    def _note(self, by: int, to: int, kind: int, fate: str) -> None:
        if len(self.log) < 200_000:
            self.log.append((self.loop.time(), by, to, kind, fate))

    def close(self) -> None:
        """Close all relays."""
        self.closed = True
        for relay in self.pairs.values():
            if relay.transport is not None:
                relay.transport.close()

"""What a hollow member runs on: its part of an event loop, its port, and the account of what both cost.

Theory of operation. A `MemberLoop` has the three calls of asyncio's loop that the datagram shells use
(`time`, `call_later`, `create_datagram_endpoint`) and hands them to a `Network`: the machine's sockets
(`real.py`) or a discrete-event one (`virtual.py`). Each callback of the member passes `run`, which adds the
thread's processor time to the member's account; each datagram passes the member's transport, which counts it,
and drops it where a fault of the run says so.

Promises:
 1. After `end` no callback of that member runs, and nothing that it sends goes out.
 2. A datagram is counted as sent whether it arrives or is lost or cut off: the sender had the cost.
 3. An exception in a callback ends that callback only, as on the daemon's loop; it is kept in `faults`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol, cast

from dykeshift.scale.role import Address, Seat

MOST_FAULTS = 8  # texts of exceptions that are kept of a member


@dataclass(slots=True)
class Counters:
    """What one process of a member has cost so far."""

    cpu_ns: int = 0  # of its callbacks
    callbacks: int = 0
    datagrams: int = 0  # sent
    bytes: int = 0  # sent, without headers of UDP and IP
    received: int = 0
    received_bytes: int = 0


@dataclass
class Conditions:
    """What befalls datagrams on the way."""

    loss: float = 0.0  # share of datagrams
    groups: dict[Address, int] = field(default_factory=dict)  # apart from one another; empty: all linked

    def linked(self, one: Address, other: Address) -> bool:
        """Whether a datagram gets from one address to the other."""
        return self.groups.get(one, 0) == self.groups.get(other, 0)


class Network(Protocol):
    """Where a member's timers and datagrams go."""

    conditions: Conditions

    def time(self, member: MemberLoop) -> float:
        """The loop's time, in seconds."""

    def schedule(self, member: MemberLoop, delay: float, callback: Callable[..., Any], args: Any) -> Any:
        """A timer in `delay` seconds; something with `cancel`."""

    async def open(self, member: MemberLoop, port: MemberPort, address: Address) -> None:
        """Open the port; OSError where it can't be had."""

    def carry(self, member: MemberLoop, data: bytes, address: Address) -> None:
        """One datagram that nothing befell."""


class MemberLoop(asyncio.AbstractEventLoop):
    """One process of a member; see the module."""

    def __init__(self, network: Network, seat: Seat, life: int, seed: str) -> None:
        self.network, self.seat, self.life = network, seat, life
        self.counters = Counters()
        self.chance = Random(f"network/{seed}/{seat.number}/{life}")  # of what befalls its datagrams
        self.faults: list[str] = []
        self.ports: list[MemberPort] = []
        self.ended = False

    def run(self, callback: Callable[..., Any], *args: Any) -> None:
        """One callback, on the member's account."""
        if self.ended:
            return
        began = time.thread_time_ns()
        try:
            callback(*args)
        except Exception as exc:
            if len(self.faults) < MOST_FAULTS:
                self.faults.append(f"{type(exc).__name__}: {exc}")
        self.counters.cpu_ns += time.thread_time_ns() - began
        self.counters.callbacks += 1

    def end(self) -> None:
        """The process is gone."""
        self.ended = True
        for port in self.ports:
            port.shut()

    # ---- of asyncio's loop ----

    def time(self) -> float:
        """The loop's time, in seconds."""
        return self.network.time(self)

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """A timer whose callback is accounted to the member."""
        return self.network.schedule(self, delay, callback, args)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: Address | None = None, **kwargs: Any
    ) -> tuple[asyncio.DatagramTransport, Any]:
        """The member's port, at its own address."""
        protocol = protocol_factory()
        port = MemberPort(self, protocol)
        await self.network.open(self, port, local_addr or self.seat.address)
        self.ports.append(port)
        self.run(protocol.connection_made, port)
        return port, protocol

    def get_debug(self) -> bool:
        """Never: asyncio's pieces ask."""
        return False


class MemberPort(asyncio.DatagramTransport):
    """A member's UDP port: counts, and lets a fault of the run do its work."""

    def __init__(self, member: MemberLoop, protocol: Any) -> None:
        super().__init__()
        self.member, self.protocol = member, protocol
        self.address: Address = member.seat.address
        self.socket: asyncio.DatagramTransport | None = None  # on the real clock
        self.closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Count it, and hand it to the network if nothing befalls it."""
        member = self.member
        if self.closed or member.ended:
            return
        member.counters.datagrams += 1
        member.counters.bytes += len(data)
        conditions = member.network.conditions
        if conditions.groups and not conditions.linked(self.address, addr):
            return
        if conditions.loss and member.chance.random() < conditions.loss:
            return
        member.network.carry(member, bytes(data), cast(Address, addr))

    def deliver(self, data: bytes, source: Address) -> None:
        """A datagram that arrived."""
        if self.closed or self.member.ended:
            return
        self.member.counters.received += 1
        self.member.counters.received_bytes += len(data)
        self.member.run(self.protocol.datagram_received, data, source)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The port's address under asyncio's name for it."""
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return self.closed

    def close(self) -> None:
        """Closed by the member."""
        self.shut()

    def abort(self) -> None:
        """Closed by the member."""
        self.shut()

    def shut(self) -> None:
        """Nothing comes in or goes out any more."""
        self.closed = True
        if self.socket is not None:
            self.socket.close()
            self.socket = None

"""Members on a virtual clock: a discrete-event network that may be parted over several processes.

Theory of operation. Events (timers, arrivals) are played in the order of (time, owner, the owner's count),
where the owner of an arrival is its sender: an order that does not depend on how members are parted. A
datagram takes at least LEAST nanoseconds, drawn from its sender's seeded stream. So parts that have all
played the time up to t can each play up to t + LEAST without hearing from one another; `Part.advance` plays
such a window and hands back the datagrams for members of other parts, which the controller hands over before
the next window.

Promises: one seed gives one run, whatever the count of parts; processor time alone differs, and decides
nothing.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple

from dykeshift.scale.hosting import Conditions, MemberLoop, MemberPort
from dykeshift.scale.role import Address, Seat

MS = 1_000_000
SECOND = 1_000_000_000
EPOCH = 1_750_000_000 * SECOND  # Unix time at which runs begin
LEAST = 15 * MS  # that a datagram takes; small beside all periods, and parts wait for one another as rarely
NEAR = (15 * MS, 25 * MS)  # within a region
FAR = (30 * MS, 50 * MS)  # between regions


class Flight(NamedTuple):
    """A datagram on its way."""

    when: int
    source: int  # the sender's number
    nth: int  # of the sender's events
    to: int
    data: bytes


class Timer:
    """A handle as asyncio's call_later gives."""

    __slots__ = ("args", "callback", "cancelled_", "member")

    def __init__(self, member: MemberLoop, callback: Callable[..., Any], args: Any) -> None:
        self.member, self.callback, self.args = member, callback, args
        self.cancelled_ = False

    def cancel(self) -> None:
        """It will not run."""
        self.cancelled_ = True
        self.callback, self.args = _nothing, ()

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self.cancelled_


def _nothing() -> None: ...


class VirtualClock:
    """A member's clocks on virtual time, its monotonic one with an origin of its own."""

    def __init__(self, part: Part, number: int) -> None:
        self.part, self.origin = part, (number + 1) * 7 * SECOND

    def monotonic_ns(self) -> int:
        """Nanoseconds since the member's own origin."""
        return self.part.now + self.origin

    def time_ns(self) -> int:
        """Unix time in nanoseconds."""
        return EPOCH + self.part.now

    def has_input(self, transport: Any) -> bool:
        """There are no connections."""
        return False

    def hung_up(self, transport: Any) -> bool:
        """There are no connections."""
        return False

    def limit_receiving(self, transport: Any, size: int) -> None:
        """There are no connections."""

    def limit_sending(self, transport: Any, size: int) -> None:
        """There are no connections."""

    def unread_bytes(self, transport: Any) -> int:
        """There are no connections."""
        return 0

    def unsent_bytes(self, transport: Any) -> int:
        """There are no connections."""
        return 0

    def resident_bytes(self) -> int:
        """All members share one process: not provided."""
        return 0

    def input_age(self, transport: Any) -> int:
        """There are no connections."""
        return 0


class Part:
    """The network of the members of one process."""

    def __init__(self, seats: tuple[Seat, ...], here: frozenset[int]) -> None:
        self.seats, self.here = seats, here
        self.number_at = {seat.address: seat.number for seat in seats}
        self.conditions = Conditions()
        self.now = 0
        self.queue: list[tuple[int, int, int, Any]] = []
        self.counts = [itertools.count() for _ in seats]
        self.ports: dict[int, MemberPort] = {}
        self.leaving: list[Flight] = []
        self.events = 0

    def clock(self, number: int) -> VirtualClock:
        """The clock of a member."""
        return VirtualClock(self, number)

    # ---- for members ----

    def time(self, member: MemberLoop) -> float:
        """Virtual seconds."""
        return self.now / SECOND

    def schedule(self, member: MemberLoop, delay: float, callback: Callable[..., Any], args: Any) -> Timer:
        """A timer; one that is due at once comes after what is due already."""
        timer, number = Timer(member, callback, args), member.seat.number
        when = self.now + max(1, int(delay * SECOND))
        heapq.heappush(self.queue, (when, number, next(self.counts[number]), timer))
        return timer

    async def open(self, member: MemberLoop, port: MemberPort, address: Address) -> None:
        """One port at a member's address."""
        self.ports[member.seat.number] = port

    def carry(self, member: MemberLoop, data: bytes, address: Address) -> None:
        """Into the queue of this part, or out to another."""
        to = self.number_at.get(address)
        if to is None:
            return
        source = member.seat.number
        low, high = NEAR if self.seats[to].region == member.seat.region else FAR
        when = self.now + low + int(member.chance.random() * (high - low))
        flight = Flight(when, source, next(self.counts[source]), to, data)
        if to in self.here:
            self.take(flight)
        else:
            self.leaving.append(flight)

    # ---- for the controller ----

    def take(self, flight: Flight) -> None:
        """A datagram for a member of this part."""
        heapq.heappush(self.queue, (flight.when, flight.source, flight.nth, flight))

    def advance(self, until: int, arrived: list[Flight]) -> list[Flight]:
        """Play all before `until`; the datagrams for other parts."""
        for flight in arrived:
            self.take(flight)
        queue = self.queue
        while queue and queue[0][0] < until:
            self.now, _, _, event = heapq.heappop(queue)
            self.events += 1
            if type(event) is Flight:
                port = self.ports.get(event.to)
                if port is not None:
                    port.deliver(event.data, self.seats[event.source].address)
            elif not event.cancelled_:
                event.member.run(event.callback, *event.args)
        self.now = until
        leaving, self.leaving = self.leaving, []
        return leaving

"""When what is being read arrived: it may have waited in the kernel while this process stood still."""

from __future__ import annotations

import asyncio

from dykeshift.clock import Clock

STANDSTILL = 0.02  # seconds in which this process did nothing it knows of: bytes may have waited
AFTERMATH = 0.05  # seconds after such a time in which what is read may have waited all the same


class Arrivals:
    """For all connections of one front."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.loop, self.clock = loop, clock
        self.awake = loop.time()  # the latest round of the loop in which a client was heard
        self.look_back = 0.0  # until then, what is read may have waited
        self.ticked = self.ticked_before = self.awake

    def tick(self) -> None:
        """Called every so often, by a timer: between two ticks that came in time nothing waited for long."""
        self.ticked_before, self.ticked = self.ticked, self.loop.time()

    def of(self, transport: asyncio.BaseTransport, several: bool = False) -> int:
        """On the monotonic clock. `several`: what is read is more than one message.

        The kernel tells when the last bytes came. Of several messages the first may have come as early as the
        tick before, and counts so: rather early than late.

        Protects a client's time when this process stood still, as a whole or in one long round: its
        request waited in the kernel meanwhile, and would get its answer that much after its time.
        """
        here = self.loop.time()
        if here - self.awake > STANDSTILL:
            self.look_back = here + AFTERMATH
        self.awake = here
        # The loop's time is from before the other events of this round, nearer to the arrival.
        now = min(self.clock.monotonic_ns(), int(here * 1e9))
        if here >= self.look_back:
            return now
        if not several:
            return now - self.clock.input_age(transport)
        tick = self.ticked if here - self.ticked > AFTERMATH else self.ticked_before
        return min(now, int(max(tick, 0.0) * 1e9))

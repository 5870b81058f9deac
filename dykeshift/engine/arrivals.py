"""Arrival times of input, which may have waited in the kernel while this process was stalled."""

from __future__ import annotations

import asyncio

from dykeshift.clock import Clock

STALL_THRESHOLD = 0.02  # seconds without any read after which the process may have been stalled
LOOK_BACK_WINDOW = 0.05  # seconds after a stall in which input read may still have arrived during it


class Arrivals:
    """Arrival times for all connections of one frontend."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.loop, self.clock = loop, clock
        self.last_read = loop.time()  # the latest iteration of the event loop in which input was read
        self.look_back_until = 0.0  # input read before this time may have waited in the kernel
        self.last_tick = self.previous_tick = self.last_read

    def tick(self) -> None:
        """Called periodically by a timer: between two ticks that are on time, no input waited for long."""
        self.previous_tick, self.last_tick = self.last_tick, self.loop.time()

    def arrival_time(self, transport: asyncio.BaseTransport, several: bool = False) -> int:
        """Arrival time of the input now being read, in ns of the monotonic clock.

        `several`: the input holds more than one message. The kernel only reports when the last bytes
        arrived. The first message may have arrived as early as the previous tick, and that is returned:
        an estimate that is too early is safer than one that is too late.

        Protects clients' deadlines when this process was stalled, as a whole or in one long iteration of
        the event loop: a request that waited in the kernel would be answered too late by that time.
        """
        loop_now = self.loop.time()
        if loop_now - self.last_read > STALL_THRESHOLD:
            self.look_back_until = loop_now + LOOK_BACK_WINDOW
        self.last_read = loop_now
        # The loop's time was taken before the other events of this iteration: closer to the arrival.
        now = min(self.clock.monotonic_ns(), int(loop_now * 1e9))
        if loop_now >= self.look_back_until:
            return now
        if not several:
            return now - self.clock.input_age(transport)
        tick = self.last_tick if loop_now - self.last_tick > LOOK_BACK_WINDOW else self.previous_tick
        return min(now, int(max(tick, 0.0) * 1e9))

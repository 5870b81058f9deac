"""What the memory of this process is used for, by owner: in the metrics, and in the log close to the limit.

The owners are looked at only when the figures are wanted. What is resident and has no owner here (parsers,
transports and other objects, fragments of the allocator) is a figure of its own.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any

from dykeshift.clock import Clock
from dykeshift.engine.driver import Driver
from dykeshift.engine.link import Link
from dykeshift.engine.server import Front

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
LOG_INTERVAL_S = 5.0  # at least, between two log messages
LOGGED_SHARE = 0.9  # of the limit: what is resident beyond it is logged


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """Figures in bytes, unless they count; `resident` and `other` are 0 where the system tells nothing."""

    limit: int
    resident: int
    peak: int  # of `resident`, as seen at the checks
    base: int  # resident at the start
    clients: int  # connections
    upstreams: int  # connections
    request_bodies: int  # read from clients, not sent on or kept for a retry
    unsent_requests: int  # to upstreams, in this process
    answers: int  # read from upstreams, not complete and not sent on
    unsent_answers: int  # to clients, in this process
    mllp_frames: int
    kernel: int  # in the queues of the connections counted here; not resident
    other: int  # resident beyond `base`, without an owner above


def _unsent(transport: asyncio.Transport | None) -> int:
    if transport is None or transport.is_closing():
        return 0
    return transport.get_write_buffer_size()


class MemoryWatch:
    """Follows the resident memory of one process, whose limit is `limit_mb`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, driver: Driver, front: Front, limit_mb: float
    ) -> None:
        self.loop, self.clock, self.driver, self.front = loop, clock, driver, front
        self.limit = int(limit_mb * 1e6)
        self.base = self.peak = clock.resident_bytes()
        self.mllp_budgets: list[Any] = []
        self.logged_at = -LOG_INTERVAL_S
        self.timer: asyncio.TimerHandle | None = None
        if self.base:
            self.timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def close(self) -> None:
        """Stop following."""
        if self.timer is not None:
            self.timer.cancel()

    def _check(self) -> None:
        resident = self.clock.resident_bytes()
        self.peak = max(self.peak, resident)
        now = self.loop.time()
        if resident > self.limit * LOGGED_SHARE and now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            log.warning(
                "%.1f of %.1f MB are resident: %s",
                resident / 1e6,
                self.limit / 1e6,
                self.figures(),
                extra={"event": "memory.high", "fields": self.figures()},
            )
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self._check)

    def figures(self) -> dict[str, int]:
        """The figures of `use` by name."""
        return asdict(self.use())

    def use(self) -> MemoryUse:
        """What the memory is used for now."""
        clients, links = list(self.front.clients), list(self._links())
        transports = [client.transport for client in clients] + [link.transport for link in links]
        bodies = sum(len(client.body) for client in clients)
        bodies += sum(len(job.request.body) for job in self.driver.jobs.values())
        unsent_requests = sum(_unsent(link.transport) for link in links)
        unsent_requests += sum(len(part) for link in links for part in link.unwritten_body)
        answers = sum(len(getattr(link, "body", b"")) for link in links)
        unsent_answers = sum(_unsent(client.transport) for client in clients)
        frames = sum(budget.total for budget in self.mllp_budgets)
        resident = self.clock.resident_bytes()
        owned = bodies + unsent_requests + answers + unsent_answers + frames
        return MemoryUse(
            limit=self.limit,
            resident=resident,
            peak=max(self.peak, resident),
            base=self.base,
            clients=len(clients),
            upstreams=self.driver.pool.open,
            request_bodies=bodies,
            unsent_requests=unsent_requests,
            answers=answers,
            unsent_answers=unsent_answers,
            mllp_frames=frames,
            kernel=sum(self._in_kernel(transport) for transport in transports),
            other=max(0, resident - self.base - owned),
        )

    def _links(self) -> Iterator[Link]:
        """The connections to upstreams that a request is under way on."""
        for job in self.driver.jobs.values():
            for attempt in job.attempts:
                if attempt is not None and attempt.connection is not None:
                    yield attempt.connection

    def _in_kernel(self, transport: asyncio.Transport | None) -> int:
        if transport is None or transport.is_closing():
            return 0
        return self.clock.unread_bytes(transport) + self.clock.unsent_bytes(transport)

"""The feature `[tally]`: a periodic log record of the counts since the last one, to be summed over a fleet.

The counts are of the calls and actions between driver and decision module (`Balancer`), so the module is
wrapped; without the section there is no wrapper. `benchmarks/tally.py` adds up the logs of all balancers.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, Struct

from dykeshift.interface import Action, AttemptEnd, Fail, Refuse, Request, Send, ServerList, Watch
from dykeshift.node.defaults import PassiveService, carrier, check, connections, objection
from dykeshift.rules import Balancer

if TYPE_CHECKING:
    from dykeshift.node.features import Host

__all__ = ["CountingBalancer", "Options", "Tally", "carrier", "check", "connections", "objection", "start"]

log = logging.getLogger(__name__)
EVENT = "tally"


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """The options of the section `[tally]`."""

    every_s: Annotated[float, Meta(ge=0.1, le=3600)] = 5.0


class CountingBalancer:
    """A wrapper of the decision module that counts its calls and actions, and changes none."""

    def __init__(self, module: Balancer) -> None:
        self.module = module
        self.counts: Counter[str] = Counter()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.module, name)

    def on_request(self, now: int, request: Request) -> list[Action]:
        """Count a request or a retry."""
        self.counts["retries" if request.retry else "requests"] += 1
        return self._count_actions(self.module.on_request(now, request))

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        """Count the outcome of an attempt."""
        self.counts["end_" + end.outcome.name.lower()] += 1
        return self._count_actions(self.module.on_attempt_end(now, end))

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        """Count a list from discovery."""
        self.counts["list_" + update.kind.name.lower()] += 1
        return self._count_actions(self.module.on_list(now, update))

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        """Count a request that is over for its client."""
        self.counts["gone"] += 1  # the client left, or its deadline passed and the driver answered
        return self._count_actions(self.module.on_client_gone(now, request_id))

    def on_discovery_moved(self, now: int) -> list[Action]:
        """Only the actions are counted."""
        return self._count_actions(self.module.on_discovery_moved(now))

    def on_timer(self, now: int, token: str) -> list[Action]:
        """Only the actions are counted."""
        return self._count_actions(self.module.on_timer(now, token))

    def _count_actions(self, actions: list[Action]) -> list[Action]:
        for action in actions:
            if isinstance(action, Send):
                self.counts["attempts"] += 1
            elif isinstance(action, Refuse):
                self.counts["refused"] += 1
            elif isinstance(action, Fail):
                self.counts["failed"] += 1
            elif isinstance(action, Watch):
                self.counts["watches"] += 1
        return actions


class Tally(PassiveService):
    """Writes the record periodically."""

    def __init__(self, host: Host, every: float) -> None:
        self.host, self.every = host, every
        self.module = CountingBalancer(host.driver.balancer)
        host.driver.balancer = self.module  # type: ignore[assignment]
        self.timer = host.loop.call_later(every, self._write)

    def _write(self) -> None:
        module, driver = self.module, self.host.driver
        now = self.host.clock.monotonic_ns()
        state: dict[str, Any] = {
            "pool": len(module.pool),
            "ready": len(module.ready),
            "cold": len(module.cold),
            "resting": sum(now < s.ejected_until for s in module.pool),
            "connections": driver.pool.open,
            "admit": round(module.admitted_share, 3),
            "crowd": round(module.overload, 3),
        }
        if occurrences := driver.ledger.occurrences.figures():
            state["occurrences"] = occurrences  # since the start
        if self.host.metrics:
            state["fleet"] = {name: figure() for name, figure in self.host.metrics.items()}
        fields = {"seconds": self.every, "counts": dict(module.counts), "state": state}
        module.counts.clear()
        log.info("counts of the last %g s", self.every, extra={"event": EVENT, "fields": fields})
        self.timer = self.host.loop.call_later(self.every, self._write)

    def close(self) -> None:
        """Stop the timer."""
        self.timer.cancel()


async def start(options: Options, host: Host) -> Tally:
    """Wrap the decision module and start the timer."""
    return Tally(host, options.every_s)

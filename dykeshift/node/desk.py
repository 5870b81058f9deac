"""Carries out the operators' console calls in this process."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from dykeshift.clock import Clock
from dykeshift.console.calls import DeferredCall
from dykeshift.engine.discovery import instance_number
from dykeshift.engine.drain import Drain
from dykeshift.engine.driver import Driver
from dykeshift.node.features import ConsoleCalls

if TYPE_CHECKING:
    from dykeshift.node.together import ProcessGroup

log = logging.getLogger(__name__)


class ProcessBackend:
    """Implements the console's calls with the driver, the drain and the features."""

    def __init__(
        self,
        clock: Clock,
        driver: Driver,
        drain: Drain,
        standby: Callable[[], None],
        together: ProcessGroup | None,
        offers: ConsoleCalls,
        memory: Callable[[], dict[str, int]] = dict,
    ) -> None:
        """`standby` begins the drain; `offers` are the calls that features answer.

        `memory`: what the process's memory is used for, in bytes by owner.

        `together` shares bans with another process of this balancer; they are written there first.
        """
        self.offers = offers
        offers.backends.append(self)
        self.clock, self.driver, self.drain, self.begin_standby = clock, driver, drain, standby
        self.together, self.memory = together, memory

    def figures(self) -> dict[str, Any]:
        """The counts and gauges of `GET /status/metrics`."""
        ledger, balancer = self.driver.ledger, self.driver.balancer
        tiers = {
            name: {"success": tier.success, "busy": tier.busy, "failure": tier.failure}
            for name, tier in ledger.class_counts.items()
        }
        return {
            "calls": tiers,
            "backend_calls": ledger.attempts,
            "inflight": ledger.inflight,
            "hosts_listed": len(self.driver.pool.upstreams),
            "hosts_down": balancer.excluded_count(self.clock.monotonic_ns()),
            "reconfig_ok": ledger.reloads,
            "reconfig_failed": ledger.reloads_failed,
            **{f"closed_{reason.value}": count for reason, count in ledger.occurrences.closed.items()},
            **{f"memory_{owner}": size for owner, size in self.memory().items()},
        }

    def immediate_answer(self, path: bytes) -> bytes | None:
        """A feature's answer to GET at this path; None if no feature has one."""
        call = self.offers.immediate_calls.get(path)
        return call() if call is not None else None

    def deferred_call(self, method: bytes, path: bytes) -> DeferredCall | None:
        """A feature's asynchronous call; None if there is none."""
        return self.offers.deferred_calls.get((method, path))

    def enter(self, name: str) -> bool:
        """Ban an upstream here and in the shared folder; False when it was never listed."""
        if self._known(name) and self.together is not None:
            self.together.enter(name)
        return self._log_done(self.driver.ban(instance_number(name)), "banned", name)

    def exit(self, name: str) -> bool:
        """Lift the ban of an upstream here and in the shared folder; False when it was never listed."""
        if self._known(name) and self.together is not None:
            self.together.exit(name)
        return self._log_done(self.driver.end_ban(instance_number(name)), "back", name)

    def _known(self, name: str) -> bool:
        return self.driver.was_listed(instance_number(name))

    def _log_done(self, done: bool, action: str, name: str) -> bool:
        if done:
            log.info(
                "upstream %s: %s by an operator",
                name,
                action,
                extra={"event": "upstream." + action, "fields": {"upstream": name}},
            )
        return done

    def standby(self) -> None:
        """Begin to drain."""
        log.info("standby requested by an operator", extra={"event": "drain.standby"})
        self.begin_standby()

    def active(self) -> bool:
        """End the standby; False when the process is ending."""
        log.info("end of standby requested by an operator", extra={"event": "drain.active"})
        return self.drain.active()

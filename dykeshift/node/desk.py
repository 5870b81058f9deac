"""Who carries out what operators call for: the console's desk in this process."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from dykeshift.clock import Clock
from dykeshift.console.calls import Order
from dykeshift.engine.discovery import number_of
from dykeshift.engine.drain import Drain
from dykeshift.engine.driver import Driver
from dykeshift.node.features import Offers

if TYPE_CHECKING:
    from dykeshift.node.together import Together

log = logging.getLogger(__name__)


class Desk:
    def __init__(
        self,
        clock: Clock,
        driver: Driver,
        drain: Drain,
        standby: Callable[[], None],
        together: Together | None,
        offers: Offers,
    ) -> None:
        """`standby` begins the drain. `together`: who is told of bans beside this process, and first.

        `offers`: what features answer.
        """
        self.offers = offers
        offers.desks.append(self)
        self.clock, self.driver, self.drain, self.begin = clock, driver, drain, standby
        self.together = together

    def figures(self) -> dict[str, Any]:
        ledger, balancer = self.driver.ledger, self.driver.balancer
        tiers = {
            name: {"success": tier.success, "busy": tier.busy, "failure": tier.failure}
            for name, tier in ledger.tiers.items()
        }
        return {
            "calls": tiers,
            "backend_calls": ledger.attempts,
            "inflight": ledger.inflight,
            "hosts_listed": len(self.driver.pool.upstreams),
            "hosts_down": balancer.avoided(self.clock.monotonic_ns()),
            "reconfig_ok": ledger.reloads,
            "reconfig_failed": ledger.reloads_failed,
        }

    def ask(self, path: bytes) -> bytes | None:
        call = self.offers.calls.get(path)
        return call() if call is not None else None

    def order(self, method: bytes, path: bytes) -> Order | None:
        return self.offers.orders.get((method, path))

    def enter(self, name: str) -> bool:
        if self._known(name) and self.together is not None:
            self.together.enter(name)
        return self._said(self.driver.ban(number_of(name)), "banned", name)

    def exit(self, name: str) -> bool:
        if self._known(name) and self.together is not None:
            self.together.exit(name)
        return self._said(self.driver.end_ban(number_of(name)), "back", name)

    def _known(self, name: str) -> bool:
        return self.driver.was_listed(number_of(name))

    def _said(self, done: bool, what: str, name: str) -> bool:
        if done:
            log.info(
                "upstream %s: %s by hand",
                name,
                what,
                extra={"event": "upstream." + what, "fields": {"upstream": name}},
            )
        return done

    def standby(self) -> None:
        log.info("standby by hand", extra={"event": "drain.standby"})
        self.begin()

    def active(self) -> bool:
        log.info("active by hand", extra={"event": "drain.active"})
        return self.drain.active()

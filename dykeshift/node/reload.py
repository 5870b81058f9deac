"""Reload on SIGHUP: the configuration is read again, and changes possible at run time are applied at once."""

from __future__ import annotations

import logging
from collections.abc import Callable

from dykeshift.engine import config
from dykeshift.engine.discovery import DiscoveryClient
from dykeshift.engine.driver import Driver
from dykeshift.engine.requests import Reader
from dykeshift.interface import Idempotency, Settings

log = logging.getLogger(__name__)


class Reload:
    """Applies new settings and moves to another discovery; connections, requests and learned state stay.

    A file that cannot be used changes nothing. Everything else in a file takes effect at the next start.
    """

    def __init__(
        self, load: Callable[[], config.Config], discovery: DiscoveryClient, driver: Driver, reader: Reader
    ) -> None:
        self.load = load
        self.discovery = discovery
        self.driver = driver
        self.reader = reader
        # Set where the fleet agrees on its settings: whether the settings of a reloaded file may be used.
        self.accept: Callable[[config.Config], bool] | None = None

    def apply(
        self, settings: Settings, forms: dict[str, frozenset[Idempotency]] | None = None, narrow: bool = False
    ) -> None:
        """Use these settings from now on, in the balancer and in the request reader."""
        taken = self.driver.take_settings(settings, narrow)
        self.reader.set_classes(taken.classes, taken.retired, forms)

    def __call__(self) -> None:
        """Read the configuration again and apply it; the handler of SIGHUP."""
        ledger = self.driver.ledger
        try:
            new = self.load()
        except config.ConfigError as exc:
            ledger.reloads_failed += 1
            log.error(
                "the old configuration is kept: %s",
                exc,
                extra={"event": "configuration.kept", "fields": {"reason": str(exc)}},
            )
            return
        if self.accept is None:
            ledger.reloads += 1
            self.apply(new.settings)
        elif self.accept(new):
            ledger.reloads += 1
        else:
            ledger.reloads_failed += 1
        if new.discovery == self.discovery.address:
            log.info(
                "the address of discovery is unchanged in the new configuration",
                extra={"event": "discovery.same"},
            )
            return
        log.info(
            "moving to the discovery at %s:%d",
            *new.discovery,
            extra={"event": "discovery.moved", "fields": {"to": "%s:%d" % new.discovery}},
        )
        self.discovery.move(new.discovery)
        self.driver.discovery_address_changed()

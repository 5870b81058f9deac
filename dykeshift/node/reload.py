"""SIGHUP: the configuration is read anew, and what may change in service is taken over in one step."""

from __future__ import annotations

import logging
from collections.abc import Callable

from dykeshift.engine import config
from dykeshift.engine.discovery import Discovery
from dykeshift.engine.driver import Driver
from dykeshift.engine.requests import Reader
from dykeshift.interface import Idempotency, Settings

log = logging.getLogger(__name__)


class Reload:
    """Takes new settings, and moves to another discovery; connections, requests and what was learned stay.

    A file that cannot be used changes nothing. All else in it holds from the next start on.
    """

    def __init__(
        self, load: Callable[[], config.Config], discovery: Discovery, driver: Driver, reader: Reader
    ) -> None:
        self.load = load
        self.discovery = discovery
        self.driver = driver
        self.reader = reader
        # Where the fleet agrees on its settings: whether those of a file are to be taken.
        self.judge: Callable[[config.Config], bool] | None = None

    def take(
        self, settings: Settings, forms: dict[str, frozenset[Idempotency]] | None = None, narrow: bool = False
    ) -> None:
        """Others from now on, for the module and for the front alike."""
        taken = self.driver.take_settings(settings, narrow)
        self.reader.know(taken.classes, taken.retired, forms)

    def __call__(self) -> None:
        """Read the configuration anew, as the signal asks."""
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
        if self.judge is None:
            ledger.reloads += 1
            self.take(new.settings)
        elif self.judge(new):
            ledger.reloads += 1
        else:
            ledger.reloads_failed += 1
        if new.discovery == self.discovery.address:
            log.info("discovery is the same in the new configuration", extra={"event": "discovery.same"})
            return
        log.info(
            "discovery is at %s:%d now",
            *new.discovery,
            extra={"event": "discovery.moved", "fields": {"to": "%s:%d" % new.discovery}},
        )
        self.discovery.move(new.discovery)
        self.driver.discovery_moved()

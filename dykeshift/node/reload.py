"""Reload on SIGHUP: the configuration is read again, and changes possible at run time are applied at once."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from dykeshift.engine import config
from dykeshift.engine.discovery import DiscoveryClient
from dykeshift.engine.driver import Driver
from dykeshift.engine.requests import Reader
from dykeshift.interface import Idempotency, Settings

log = logging.getLogger(__name__)


def _log_taken(settings: Settings) -> None:
    """Log what a file that was taken says of repeats: what this balancer will do at senders from now on."""
    classes = {
        one.name: f"{one.idempotency.name.lower()}/{one.scope.name.lower()}" for one in settings.classes
    }
    log.info(
        "the new configuration is taken: %s",
        ", ".join(f"{name} {terms}" for name, terms in classes.items()),
        extra={"event": "configuration.taken", "fields": {"classes": classes}},
    )


class Reload:
    """Applies new settings and moves to another discovery; connections, requests and learned state stay.

    A file that cannot be used changes nothing, and neither does an incomplete one, which lacks a key that
    the format documents and the file in force has. All else in a file takes effect at the next start.
    """

    def __init__(
        self,
        in_force: config.Config,
        load: Callable[[], config.Config],
        discovery: DiscoveryClient,
        driver: Driver,
        reader: Reader,
    ) -> None:
        """`in_force`: the configuration that the process started with."""
        self.keys = in_force.keys
        self.load = load
        self.discovery = discovery
        self.driver = driver
        self.reader = reader
        self.checks: list[Callable[[Settings], None]] = []  # of features; raise ConfigError
        self.followers: list[Callable[[Settings], None]] = []  # front ends told of settings that are in force
        # Set where the fleet agrees on its settings: whether the settings of a reloaded file may be used.
        self.accept: Callable[[config.Config], bool] | None = None

    def apply(
        self, settings: Settings, forms: dict[str, frozenset[Idempotency]] | None = None, narrow: bool = False
    ) -> None:
        """Use these settings from now on, in every part of the process that acts on them."""
        if settings.zone_name:
            settings = replace(settings, zone=self.discovery.reader.zone_number(settings.zone_name))
        taken = self.driver.take_settings(settings, narrow)
        self.discovery.pushed = not settings.ask_discovery
        if settings.connect_timeout is not None and settings.keepalive is not None:
            self.driver.pool.take_timeouts(settings.connect_timeout / 1e9, settings.keepalive / 1e9)
        self.reader.set_classes(taken.classes, taken.retired, forms)
        for follow in self.followers:
            follow(taken)

    def load_complete(self) -> config.Config:
        """Read the configuration; raises `ConfigError` if it cannot be used or is incomplete."""
        new = self.load()
        if missing := self.keys - new.keys:
            raise config.ConfigError(f"the configuration lacks {', '.join(sorted(missing))}")
        for check in self.checks:
            check(new.settings)
        return new

    def __call__(self) -> None:
        """Read the configuration again and apply it; the handler of SIGHUP."""
        ledger = self.driver.ledger
        try:
            new = self.load_complete()
        except config.ConfigError as exc:
            ledger.reloads_failed += 1
            log.error(
                "the old configuration is kept: %s",
                exc,
                extra={"event": "configuration.kept", "fields": {"reason": str(exc)}},
            )
            return
        taken = self.accept is None or self.accept(new)
        if taken:
            ledger.reloads += 1
            self.keys = new.keys
            _log_taken(new.settings)
        else:
            ledger.reloads_failed += 1
        if self.accept is None:
            self.apply(new.settings)
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

"""Default hooks of a feature that takes no part in serving: no connections, no carrier, no objections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dykeshift.interface import Settings

if TYPE_CHECKING:
    import asyncio

    from dykeshift.clock import Clock
    from dykeshift.engine import config
    from dykeshift.engine.requests import Objection
    from dykeshift.engine.upstream import Carrier


class PassiveService:
    """A service with nothing to drain and no work in flight."""

    def drain(self) -> None:
        """Nothing to do."""

    def busy(self) -> bool:
        """Always False: there is never work in flight."""
        return False

    def close(self) -> None:
        """Nothing to do."""


def check(options: Any, settings: Settings | None) -> None:
    """Accept all options that have the declared types."""


def carrier(options: Any, loop: asyncio.AbstractEventLoop, clock: Clock) -> Carrier | None:
    """None: the feature does not set the upstreams' protocol."""
    return None


def objection(options: Any) -> Objection | None:
    """None: the feature does not check requests."""
    return None


def connections(options: Any, configuration: config.Config) -> int:
    """None of the client connections are reserved."""
    return 0

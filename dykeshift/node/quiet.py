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

    def drain(self) -> None: ...

    def busy(self) -> bool:
        return False

    def close(self) -> None: ...


def check(options: Any, settings: Settings | None) -> None:
    """Accept all options that have the declared types."""


def carrier(options: Any, loop: asyncio.AbstractEventLoop, clock: Clock) -> Carrier | None:
    return None


def objection(options: Any) -> Objection | None:
    return None


def connections(options: Any, given: config.Config) -> int:
    return 0

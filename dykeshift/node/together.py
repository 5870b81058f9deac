"""This process and perhaps another as one balancer: the shell round `handover`, on the daemon's loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from dykeshift.clock import Clock
from dykeshift.engine.discovery import number_of
from dykeshift.engine.driver import Driver
from dykeshift.engine.server import Front
from dykeshift.handover.bans import Bans
from dykeshift.handover.folder import Folder

log = logging.getLogger(__name__)

LOOK = 0.05  # seconds between two looks at the folder: a fifth of the grace that bans and drains have
MS = 1_000_000


class Together:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, folder: Folder, driver: Driver, front: Front
    ) -> None:
        self.loop, self.clock, self.folder, self.driver, self.front = loop, clock, folder, driver, front
        self.limits = front.limit, driver.pool.limit, front.budget.limit
        # By name, the end of a ban that this process has seen, as it was written: that identifies it, and is
        # no time to compare. An end that was there when a ban was entered or heard of is of an earlier ban.
        self.ended: dict[str, tuple[int, int]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.restored = False  # the bans from before have been read
        self.failing = False  # the folder could not be used at the last look, and the log says so
        driver.waits = self._unready(driver.waits)

    def _unready(self, others: Callable[[], bool]) -> Callable[[], bool]:
        return lambda: not self.restored or others()

    def restore(self) -> None:
        """The bans that another process, or an earlier one, left: before anything is sent.

        Where they cannot be read now, `/ready` says no until they can be.
        """
        try:
            self._take(self.folder.read())
        except OSError as exc:
            self._note_failure(exc)
        else:
            self.restored = True

    def serve(self) -> None:
        """From now on this process counts as serving, and looks what others do."""
        self._look()

    def leave(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.folder.leave()

    # ---- bans: what the console calls ----

    def enter(self, name: str) -> None:
        """OSError: it could not be written, and nothing has changed."""
        with self.folder.change() as held:
            if name in held.back:
                self.ended[name] = held.back[name]
            held.enter(name, self.clock.time_ns() // MS)

    def exit(self, name: str) -> None:
        with self.folder.change() as held:
            held.exit(name, self.clock.time_ns() // MS)
            if name in held.back:
                self.ended[name] = held.back[name]

    # ---- the other process ----

    def _look(self) -> None:
        self.timer = self.loop.call_later(LOOK, self._look)
        try:
            if not self.restored or self.folder.changed():
                self._take(self.folder.read())
                self.restored = True
            if not self.folder.own:
                self.folder.serve(self.clock.monotonic_ns())
            others, younger = self.folder.others()
        except OSError as exc:
            self._note_failure(exc)
            return
        self.failing = False
        front, pool = self.front, self.driver.pool
        shares = (max(1, most // (1 + others)) for most in self.limits)
        front.limit, pool.limit, front.budget.limit = shares
        front.drain.yielding = younger > 0

    def _note_failure(self, exc: OSError) -> None:
        """One line of log for each time that it begins to fail; it is tried again at every look."""
        if not self.failing:
            self.failing = True
            log.warning(
                "the folder shared with other versions can't be used: %s; bans of another version and its "
                "share of the connections are not known until it can be",
                exc,
                extra={"event": "handover.unread", "fields": {"reason": str(exc)}},
            )

    def _take(self, held: Bans) -> None:
        """A ban ends by a word that says so alone: a file that is gone or spoilt ends none.

        Wall clocks may have been stepped since it was written: what is told counts from now, so that a server
        is taken for cold for somewhat longer rather than too short.
        """
        now, banned = self.clock.monotonic_ns(), self.driver.balancer.banned
        for name, ban in held.back.items():
            if self.ended.get(name) == ban:
                continue  # told once more, it would close the connections that have come up since
            self.ended[name] = ban
            if name not in held.out:
                self._tell(name, self.driver.ban, now)
                self._tell(name, self.driver.end_ban, now)
        for name in held.out:
            if number_of(name) not in banned:
                self._tell(name, self.driver.ban, now)

    def _tell(self, name: str, what: Callable[[int, int], bool], at: int) -> None:
        self.driver.note_listed(number_of(name))  # the other process has checked it
        what(number_of(name), at)

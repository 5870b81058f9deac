"""Coordinates the processes of one balancer during an upgrade, through the folder of `handover`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from dykeshift.clock import Clock
from dykeshift.engine.discovery import instance_number
from dykeshift.engine.driver import Driver
from dykeshift.engine.request_ids import TABLE_BYTES
from dykeshift.engine.server import Front
from dykeshift.handover.bans import Bans
from dykeshift.handover.folder import Folder

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05  # between two reads of the folder: a fifth of the grace period of bans and drains
MS = 1_000_000  # nanoseconds


class ProcessGroup:
    """Shares bans and connection limits with another process of this balancer, old or new."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, folder: Folder, driver: Driver, front: Front
    ) -> None:
        self.loop, self.clock, self.folder, self.driver, self.front = loop, clock, folder, driver, front
        self.full_limits = front.limit, driver.pool.limit, front.budget.limit
        # By name, the last end of a ban that was applied here, as written in the file: it only identifies
        # that ban and is not compared as a time. An end that was there when a ban began is of an earlier
        # ban.
        self.ended_bans: dict[str, tuple[int, int]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.restored = False  # the bans of earlier processes have been read
        self.unshared = False  # sharing the ids of requests has failed, which is logged once
        self.shares_ids = False  # the ids of requests are claimed in a table of all processes
        self.failing = False  # the folder could not be used at the last poll, which is logged once
        driver.must_hold_clients = self._not_ready_or(driver.must_hold_clients)

    def _not_ready_or(self, others: Callable[[], bool]) -> Callable[[], bool]:
        return lambda: not self.restored or others()

    def restore(self) -> None:
        """Apply the bans of another or an earlier process, before anything is sent.

        If they cannot be read now, `/ready` says no until they can be.
        """
        try:
            self._apply_bans(self.folder.read())
            self.share_request_ids()
        except OSError as exc:
            self._note_failure(exc)
        else:
            self.restored = True

    def share_request_ids(self) -> None:
        """Claim ids of requests in a table that the processes of this balancer share.

        Tried again with each poll: until it works, a request can run here whose id another process has sent.
        """
        if self.shares_ids:
            return
        try:
            table = self.folder.shared_table(TABLE_BYTES)
        except OSError as exc:
            self._note_unshared(exc)
            return
        self.driver.request_ids.share(table, self.clock.monotonic_ns())
        self.shares_ids = True

    def _note_unshared(self, exc: OSError) -> None:
        """Log once that ids of requests are known to this process alone."""
        if not self.unshared:
            self.unshared = True
            log.warning(
                "the ids of requests cannot be shared with other versions: %s; until they can be, a request "
                "whose id comes again may run at both",
                exc,
                extra={"event": "handover.ids-unshared", "fields": {"reason": str(exc)}},
            )

    def serve(self) -> None:
        """Announce that this process serves, and begin to poll what others do."""
        self._poll()

    def leave(self) -> None:
        """Stop polling and withdraw the announcement that this process serves."""
        if self.timer is not None:
            self.timer.cancel()
        self.folder.withdraw()

    # ---- bans, called by the console ----

    def enter(self, name: str) -> None:
        """Ban a server. On OSError the ban was not written, and nothing has changed."""
        with self.folder.change() as stored:
            if name in stored.back:
                self.ended_bans[name] = stored.back[name]
            stored.enter(name, self.clock.time_ns() // MS)

    def exit(self, name: str) -> None:
        """Lift the ban of a server, with the same promise as `enter`."""
        with self.folder.change() as stored:
            stored.exit(name, self.clock.time_ns() // MS)
            if name in stored.back:
                self.ended_bans[name] = stored.back[name]

    # ---- the other process ----

    def _poll(self) -> None:
        self.timer = self.loop.call_later(POLL_INTERVAL_S, self._poll)
        try:
            if not self.restored or self.folder.changed():
                self._apply_bans(self.folder.read())
                self.restored = True
            self.share_request_ids()
            if not self.folder.own_file:
                self.folder.announce(self.clock.monotonic_ns())
            others, younger = self.folder.others()
        except OSError as exc:
            self._note_failure(exc)
            return
        self.failing = False
        front, pool = self.front, self.driver.pool
        shares = (max(1, limit // (1 + others)) for limit in self.full_limits)
        front.limit, pool.limit, front.budget.limit = shares
        front.drain.yielding = younger > 0

    def _note_failure(self, exc: OSError) -> None:
        """Log once when the folder begins to fail; every poll tries it again."""
        if not self.failing:
            self.failing = True
            log.warning(
                "the folder shared with other versions cannot be used: %s; until it can be, bans of "
                "another version and its share of the connections are not known",
                exc,
                extra={"event": "handover.unread", "fields": {"reason": str(exc)}},
            )

    def _apply_bans(self, stored: Bans) -> None:
        """Apply new bans and ends of bans. Only an explicit end lifts a ban, not a lost or corrupt file.

        Wall clocks may have been stepped since the file was written: each ban and each end counts from now,
        so that a server is treated as cold for somewhat too long rather than too short.
        """
        now, banned = self.clock.monotonic_ns(), self.driver.balancer.banned
        for name, ban in stored.back.items():
            if self.ended_bans.get(name) == ban:
                continue  # applied again, it would close the connections opened since
            self.ended_bans[name] = ban
            if name not in stored.out:
                self._apply_ban(name, self.driver.ban, now)
                self._apply_ban(name, self.driver.end_ban, now)
        for name in stored.out:
            if instance_number(name) not in banned:
                self._apply_ban(name, self.driver.ban, now)

    def _apply_ban(self, name: str, change: Callable[[int, int], bool], at: int) -> None:
        self.driver.note_listed(instance_number(name))  # the other process has checked the name
        change(instance_number(name), at)

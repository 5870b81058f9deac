"""Ways in the fleet: how long they are, which are cut, and the connections that balancers keep on them.

Theory of operation. A way's time hangs on the two zones and on the request (common random numbers). While a
zone is cut off nothing crosses its border either way, and nothing says so: what is under way is lost. A
balancer keeps a connection after a whole answer and uses the newest kept one first; all else closes it. A new
one takes ways of its own, costs its sender work, and finds no room where the sender's table is full. Where a
day sets no number of connections there are none: every attempt finds one that is up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dykeshift.model.chance import Chance, spot
from dykeshift.model.day import MS, SECOND, Day

if TYPE_CHECKING:
    from dykeshift.model.senders import Process


class Ways:
    """Travel times between zones, and which zones are cut off."""

    def __init__(self, day: Day, chance: Chance) -> None:
        net, zones = day.network, day.senders.zones
        self._base = [
            [int((net.near_ms if a == b else net.far_ms) * MS) for b in range(zones)] for a in range(zones)
        ]
        self._jitter, self._ways = net.jitter, chance.ways
        self._cut: dict[int, int] = {}  # zones that are cut off, until when

    def takes(self, zone: int, errand: int, sender: int, there: int) -> int:
        """Nanoseconds from a balancer's zone to a sender, which stands in the zone `there`."""
        return int(self._base[zone][there] * (1 + self._jitter * self._ways[spot(errand, sender)]))

    def cut(self, zone: int, until: int) -> None:
        """Cut a zone off until `until` (nanoseconds)."""
        self._cut[zone] = max(until, self._cut.get(zone, 0))

    def cut_until(self, zone: int, now: int) -> int:
        """When a zone that is cut off now is back; 0: it is not cut off."""
        until = self._cut.get(zone, 0)
        return until if now < until else 0

    def open(self, zone: int, other: int, now: int) -> bool:
        """Whether a message can pass between two zones now."""
        return zone == other or not (self._cut and (self.cut_until(zone, now) or self.cut_until(other, now)))


class Lines:
    """The connections that one balancer keeps."""

    def __init__(self, idle_s: float) -> None:
        self._longest = int(idle_s * SECOND)
        self._idle: dict[Process, list[int]] = {}  # since when, the oldest first

    def take(self, process: Process, now: int) -> bool:
        """Use a kept connection, if there is one that has not been idle for too long."""
        kept = self._idle.get(process)
        while kept:
            if now - kept.pop() < self._longest:
                return True
            process.lines -= 1
        return False

    def keep(self, process: Process, now: int) -> None:
        """Keep a connection to a process for later use."""
        self._idle.setdefault(process, []).append(now)

    def sweep(self, now: int) -> None:
        """Close those that have been idle for too long, and forget those of processes that have ended."""
        for process, kept in list(self._idle.items()):
            fresh = [since for since in kept if now - since < self._longest] if process.up else []
            process.lines -= len(kept) - len(fresh)
            if fresh:
                self._idle[process] = fresh
            else:
                del self._idle[process]

    def close(self) -> None:
        """All of them: the balancer has ended."""
        for process, kept in self._idle.items():
            process.lines -= len(kept)
        self._idle.clear()

"""Leaving servers learned from the server lists of other balancers.

Discovery stays the only source of servers: no balancer sends to a server that its own list does not name. A
balancer whose list is older avoids the servers that a newer generation reports as leaving or gone, never the
other way round.

Bounds that hold whatever the peers announce:
 1. Only servers that are running by the own list are avoided, and only while the own generation is lower.
 2. A server is avoided for at most `hold_time` after its first announcement, however often it is repeated.
 3. At most `max_share` of the running servers are avoided at a time. An announcement that would exceed it is
    reported and ignored as a whole, so a faulty peer, or one whose generations are counted differently (after
    a restart of discovery), can't empty another balancer's list.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_SHARE = 0.3  # of the servers that are running by the own list


@dataclass(slots=True)
class PeerNotice:
    """A peer's announcement that a server is leaving."""

    generation: int
    received_at: int  # when it was first announced


@dataclass(slots=True)
class PeerLists:
    """The own server list and the announcements of peers. Times in nanoseconds."""

    hold_time: int  # how long an announcement counts
    max_share: float = MAX_SHARE
    generation: int | None = None  # of the own list
    running: frozenset[int] = frozenset()
    leaving: dict[int, int] = field(default_factory=dict)  # leaving or gone by the own list: since when
    notices: dict[int, PeerNotice] = field(default_factory=dict)
    ignored: int = 0  # announcements that exceeded `max_share`
    newest_received: tuple[int, tuple[int, ...]] = (0, ())  # newest announcement of a peer, to be forwarded
    newest_received_at: int = 0

    def on_own_list(
        self, now: int, generation: int | None, running: frozenset[int], listed: frozenset[int]
    ) -> None:
        """Updates the own list: of the servers `listed`, those in `running` may get requests."""
        gone = (self.running | set(self.leaving)) - running
        if generation != self.generation or running != self.running:
            self.leaving = {n: self.leaving.get(n, now) for n in gone | (listed - running)}
        self.generation, self.running = generation, running
        self.leaving = {n: at for n, at in self.leaving.items() if now - at < self.hold_time}
        self._expire(now)

    def on_announcement(self, now: int, generation: int, servers: tuple[int, ...]) -> str:
        """Takes a peer's announcement; returns why it was ignored if it exceeded a bound, else ""."""
        if self.generation is None or generation <= self.generation:
            return ""
        self._expire(now)
        new = {n for n in servers if n in self.running and n not in self.notices}
        if len(self.avoided(now)) + len(new) > self.max_share * len(self.running):
            self.ignored += 1
            return (
                f"generation {generation} would exclude {len(new)} more of {len(self.running)} "
                f"servers, at most {self.max_share:.0%} may be"
            )
        for number in new:
            self.notices[number] = PeerNotice(generation, now)
        if generation > self.newest_received[0] or now - self.newest_received_at > self.hold_time:
            self.newest_received, self.newest_received_at = (generation, servers), now
        return ""

    def avoided(self, now: int) -> frozenset[int]:
        """Returns servers that are running by the own list and get no new requests."""
        self._expire(now)
        return frozenset(
            n
            for n in self.notices
            if n in self.running and now - self.notices[n].received_at < self.hold_time
        )

    def announcement(self, now: int, max_servers: int) -> tuple[int, tuple[int, ...]] | None:
        """Returns the generation and leaving servers to announce, of the own list or the newest received.

        None if no server is leaving."""
        own = (
            self.generation or 0,
            tuple(sorted(self.leaving, key=lambda n: -self.leaving[n])[:max_servers]),
        )
        received = self.newest_received if now - self.newest_received_at < self.hold_time else (0, ())
        best = max(own, received, key=lambda candidate: candidate[0])
        return best if best[1] else None

    def _expire(self, now: int) -> None:
        """Drops notices that the own list has caught up with; until then the first time is kept."""
        own = self.generation or 0
        self.notices = {n: t for n, t in self.notices.items() if own < t.generation and n in self.running}

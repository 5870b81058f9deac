"""What the others' lists of servers say: discovery stays the only source, and nobody sends to what its own
list has not named. Who is behind treats as leaving what a newer generation says is leaving or gone; never the
other way round.

Bounds that hold whatever is told:
 1. Only servers that the own list has as running are left alone, and only while the own generation is lower.
 2. For no longer than `last` after they were told first, however often they are told again.
 3. No more than `share` of those that run here, all words together: a word that would go beyond is said and
    ignored as a whole, so a peer that is wrong, or counts its generations otherwise (discovery started
    again), empties nobody's list.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SHARE = 0.3  # of the servers that run by the own list


@dataclass(slots=True)
class Told:
    generation: int
    first: int  # when it was told first


@dataclass(slots=True)
class Lists:
    last: int  # nanoseconds
    share: float = SHARE
    generation: int | None = None  # of the own list
    running: frozenset[int] = frozenset()
    leaving: dict[int, int] = field(default_factory=dict)  # by the own list: since when
    told: dict[int, Told] = field(default_factory=dict)
    ignored: int = 0  # words that went beyond a bound
    newest: tuple[int, tuple[int, ...]] = (0, ())  # the newest word of another, to be passed on
    heard_at: int = 0

    def on_own(
        self, now: int, generation: int | None, running: frozenset[int], listed: frozenset[int]
    ) -> None:
        """The own list as it is now: `running` of `listed` may be sent to."""
        gone = (self.running | set(self.leaving)) - running
        if generation != self.generation or running != self.running:
            self.leaving = {n: self.leaving.get(n, now) for n in gone | (listed - running)}
        self.generation, self.running = generation, running
        self.leaving = {n: at for n, at in self.leaving.items() if now - at < self.last}
        self._forget(now)

    def on_word(self, now: int, generation: int, servers: tuple[int, ...]) -> str:
        """Of another balancer. Why it was ignored, if it was and that is worth saying."""
        if self.generation is None or generation <= self.generation:
            return ""
        self._forget(now)
        new = {n for n in servers if n in self.running and n not in self.told}
        if len(self.out(now)) + len(new) > self.share * len(self.running):
            self.ignored += 1
            return (
                f"generation {generation} would leave alone {len(new)} more of {len(self.running)} "
                f"servers, at most {self.share:.0%} may be"
            )
        for number in new:
            self.told[number] = Told(generation, now)
        if generation > self.newest[0] or now - self.heard_at > self.last:
            self.newest, self.heard_at = (generation, servers), now
        return ""

    def out(self, now: int) -> frozenset[int]:
        """Servers that run by the own list and get nothing new."""
        self._forget(now)
        return frozenset(n for n in self.told if n in self.running and now - self.told[n].first < self.last)

    def word(self, now: int, most: int) -> tuple[int, tuple[int, ...]] | None:
        """What to tell others: the own list's or the newest that was heard. None: there is nothing new."""
        own = (self.generation or 0, tuple(sorted(self.leaving, key=lambda n: -self.leaving[n])[:most]))
        heard = self.newest if now - self.heard_at < self.last else (0, ())
        best = max(own, heard, key=lambda one: one[0])
        return best if best[1] else None

    def _forget(self, now: int) -> None:
        """A word counts while the own list is behind it; until then it is remembered when it was told
        first."""
        own = self.generation or 0
        self.told = {n: t for n, t in self.told.items() if own < t.generation and n in self.running}

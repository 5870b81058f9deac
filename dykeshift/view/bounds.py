"""Between which two numbers the count of balancers at work lies, and until when this one holds its lease.

A *place* is whoever may be at work: this process, each member that is neither dead nor left, and each
address of `peers` at which nobody known lives. `at_most` is the number of places, `at_least` the number of
those that are believed alive. A process *holds the lease* while it has asked since it last stood still and
more than half of its places are alive, and were so for as long as a word takes to go round: so whoever had
given it up knows of it again before it acts. It gives a silent place up, which lowers `at_most`, only when
it has held the lease for all of `lease` (with both clocks' drift) and heard nothing of it for as long. Who
holds no lease counts those who were given up or left as well: they may be back where it can't hear of it.

So that nobody who is given up still acts on the fleet's terms: of two sides of a cut one at most has more
than half of the places, the other one's processes lose the lease as soon as they see the cut, which is much
sooner than `lease`; a process that stood still has none until it has asked. Where no side has more than
half, nobody is given up: after seven in ten are lost the three can't know that the seven do not go on
elsewhere, and say so.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from dykeshift.view.table import Address, Member, Table
from dykeshift.view.wire import State


@dataclass(slots=True)
class Standing:
    at_least: int = 1
    at_most: int = 1
    holds: bool = False


@dataclass(slots=True)
class Bounds:
    """Times in nanoseconds."""

    lease: int
    drift: float  # the part by which one clock may run faster or slower
    peers: tuple[Address, ...]
    own: Address | None
    began: int = 0
    probation: int = 0  # how long it has to have more than half before it holds the lease
    quorate_since: int | None = None
    held_since: int | None = None
    quiet: set[Address] = field(default_factory=set)  # given up: nobody was ever heard there, for a lease
    counted: tuple[int, int, Address | None, int] = (-1, 0, None, 0)  # what `places` came from, and its count

    @property
    def wait(self) -> int:
        """How long silence has to last by this clock, so that the lease is over by anybody's."""
        return int(self.lease * (1 + 2 * self.drift))

    def unheard(self, table: Table) -> list[Address]:
        """Addresses that nobody known lives at and that are not given up."""
        lived = {m.address for m in table}
        return [
            a for a in dict.fromkeys(self.peers) if a != self.own and a not in lived and a not in self.quiet
        ]

    def places(self, table: Table) -> int:
        """Counted anew only where something has changed: this is asked at each datagram."""
        key = (table.version, len(self.quiet), self.own)
        if self.counted[:3] != key:
            self.counted = (*key, self._places(table))
        return self.counted[3]

    def _places(self, table: Table) -> int:
        """A member whose address is not known yet and whose number names an unheard one is counted once."""
        free = set(self.unheard(table))
        counted = 1 + len(free)
        for member in table:
            if member.state >= State.DEAD:
                continue
            counted += 1
            presumed = self.presumed(member) if member.address is None else None
            if presumed is not None and presumed in free:
                free.remove(presumed)
                counted -= 1
        return counted

    def presumed(self, member: Member) -> Address | None:
        """Where its number says that it lives, if its list of peers is as long as ours."""
        number, tier = member.entry.number, member.entry.tier
        return self.peers[number] if tier == len(self.peers) > number else None

    def stand(self, now: int, table: Table, awake: bool, alive: int) -> Standing:
        """`awake`: it has asked since it last stood still. `alive`: others that it knows to be at work."""
        at_most = self.places(table)
        if not awake or 2 * (1 + alive) <= at_most:
            self.quorate_since = None
        elif self.quorate_since is None:
            self.quorate_since = now
        holds = self.quorate_since is not None and now - self.quorate_since >= self.probation
        if not holds:
            self.held_since = None
        elif self.held_since is None:
            self.held_since = now
        return Standing(1 + alive, at_most if holds else at_most + self._perhaps_back(table), holds)

    def _perhaps_back(self, table: Table) -> int:
        """Who was given up or left may have come back where a process out of touch can't hear of it."""
        return sum(m.state >= State.DEAD for m in table) + len(self.quiet)

    def to_give_up(self, now: int, table: Table) -> Iterable[Member]:
        """Members that were silent for a whole lease that this process held; and forget such addresses."""
        if self.held_since is None or now - self.held_since < self.wait:
            return ()
        if now - self.began >= self.wait:
            self.quiet.update(self.unheard(table))
        return [
            m
            for m in table
            if m.state is State.UNREACHABLE and now - max(m.since, m.heard, self.held_since) >= self.wait
        ]

    def heard_at(self, address: Address) -> None:
        self.quiet.discard(address)

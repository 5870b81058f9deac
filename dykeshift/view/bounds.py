"""Lower and upper bound of the number of balancers at work, and whether this one holds its lease.

A *place* is where a balancer may be at work: this process, each member that is neither dead nor left, and
each address of `peers` at which no known member lives. `at_most` is the number of places, `at_least` the
number of those believed alive. A process *holds the lease* while it has had an answer since it last
stalled, and more than half of its places are alive and have been for as long as an update takes to reach
all members and be answered: so whoever had given this process up knows of it again before it acts. It gives
a silent place up, which lowers `at_most`, only when it has held the lease for all of `lease` (plus the
drift of both clocks) and has heard nothing from the place for as long. A process without the lease also
counts the members that were given up or left: they may be back without its hearing of it.

This ensures that no process that was given up still acts as a member of the fleet. At most one side of a
network partition has more than half of the places; the processes of the other side lose the lease as soon
as they see the partition, which is much sooner than `lease`; a process that stalled has no lease until it
has had an answer. Where no side has more than half, nobody is given up: if seven of ten are lost, the other
three can't know that the seven do not go on elsewhere, and report `at_most` as ten.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from dykeshift.view.table import Address, Member, Table
from dykeshift.view.wire import State


@dataclass(slots=True)
class Standing:
    """Bounds on the number of balancers at work, this one included, and whether it holds the lease."""

    at_least: int = 1
    at_most: int = 1
    holds_lease: bool = False


@dataclass(slots=True)
class Bounds:
    """Computes the bounds and the lease from the membership table. Times in nanoseconds."""

    lease: int
    drift: float  # the fraction by which a clock may run fast or slow
    peers: tuple[Address, ...]
    own: Address | None
    started_at: int = 0
    quorum_delay: int = 0  # how long it needs a majority of places before it holds the lease
    quorate_since: int | None = None  # since when a majority of places has been alive
    held_since: int | None = None  # since when this process has held the lease
    given_up_addresses: set[Address] = field(default_factory=set)  # where nobody has been heard for a lease
    # The inputs of `places` at its last count, and the result.
    cached_places: tuple[int, int, Address | None, int] = (-1, 0, None, 0)

    @property
    def lease_timeout(self) -> int:
        """How long silence has to last by this clock so that the lease has expired by every other clock."""
        return int(self.lease * (1 + 2 * self.drift))

    def unclaimed_addresses(self, table: Table) -> list[Address]:
        """Addresses of `peers` at which no known member lives and that are not given up."""
        occupied = {m.address for m in table}
        return [
            a
            for a in dict.fromkeys(self.peers)
            if a != self.own and a not in occupied and a not in self.given_up_addresses
        ]

    def places(self, table: Table) -> int:
        """The number of places. Cached until an input changes, since it is called for each datagram."""
        key = (table.version, len(self.given_up_addresses), self.own)
        if self.cached_places[:3] != key:
            self.cached_places = (*key, self._count_places(table))
        return self.cached_places[3]

    def _count_places(self, table: Table) -> int:
        """A member of unknown address is not counted again if its number points to an unclaimed address."""
        unclaimed = set(self.unclaimed_addresses(table))
        count = 1 + len(unclaimed)
        for member in table:
            if member.state >= State.DEAD:
                continue
            count += 1
            presumed = self.presumed_address(member) if member.address is None else None
            if presumed is not None and presumed in unclaimed:
                unclaimed.remove(presumed)
                count -= 1
        return count

    def presumed_address(self, member: Member) -> Address | None:
        """The address that its number stands for, if its list of peers is as long as this process's."""
        number, tier = member.entry.number, member.entry.peer_count
        return self.peers[number] if tier == len(self.peers) > number else None

    def evaluate(self, now: int, table: Table, in_contact: bool, others_alive: int) -> Standing:
        """Update the lease and return the bounds.

        `in_contact`: this process has had an answer lately, since it last stalled, or needs none as no other
        place exists. `others_alive`: other members that it knows to be at work.
        """
        at_most = self.places(table)
        if not in_contact or 2 * (1 + others_alive) <= at_most:
            self.quorate_since = None
        elif self.quorate_since is None:
            self.quorate_since = now
        holds = self.quorate_since is not None and now - self.quorate_since >= self.quorum_delay
        if not holds:
            self.held_since = None
        elif self.held_since is None:
            self.held_since = now
        return Standing(
            1 + others_alive, at_most if holds else at_most + self._possibly_returned(table), holds
        )

    def _possibly_returned(self, table: Table) -> int:
        """The members and addresses given up, or left. They may be back, unknown to one without the lease."""
        return sum(m.state >= State.DEAD for m in table) + len(self.given_up_addresses)

    def overdue_members(self, now: int, table: Table) -> Iterable[Member]:
        """Members silent for a whole lease that this process held. Also gives up silent addresses."""
        if self.held_since is None or now - self.held_since < self.lease_timeout:
            return ()
        if now - self.started_at >= self.lease_timeout:
            self.given_up_addresses.update(self.unclaimed_addresses(table))
        return [
            m
            for m in table
            if m.state is State.UNREACHABLE
            and now - max(m.since, m.last_heard, self.held_since) >= self.lease_timeout
        ]

    def heard_at(self, address: Address) -> None:
        """Count an address as a place again, as a process answered from there."""
        self.given_up_addresses.discard(address)

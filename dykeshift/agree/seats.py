"""The voters: seats, quorums, and the choice of the next change of seats.

A seat is the right of one process to vote. The process is identified by its number and its incarnation, a
random number. A process that has lost its votes and acknowledgements draws another incarnation and counts as
another process; so nobody votes twice in a term, with a disk or without. A change replaces, adds or removes
one seat, through joint consensus: both the old and the new voters have to have a majority.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from dykeshift.agree.wire import Seat


def majority(seats: Collection[Seat], yes: Callable[[Seat], bool]) -> bool:
    """Whether more than half of the seats satisfy the predicate."""
    return 2 * sum(map(yes, seats)) > len(seats)


@dataclass(frozen=True, slots=True)
class Seats:
    """The voters: of one configuration, or of two in joint consensus."""

    now: tuple[Seat, ...] = ()
    previous: tuple[Seat, ...] = ()  # in joint consensus: the old voters, whose majority is needed as well

    @property
    def joint(self) -> bool:
        """Whether a change is under way."""
        return bool(self.previous)

    @property
    def all(self) -> frozenset[Seat]:
        """The seats of both configurations."""
        return frozenset(self.now) | frozenset(self.previous)

    def quorum(self, yes: Callable[[Seat], bool]) -> bool:
        """Whether a majority satisfies the predicate; in joint consensus, of each configuration."""
        return majority(self.now, yes) and (not self.previous or majority(self.previous, yes))

    def quorum_index(self, has: Callable[[Seat], int]) -> int:
        """The highest index that a majority has; in joint consensus, a majority of each configuration."""
        # In ascending order, more than half of the voters have the index at (n - 1) // 2 or a higher one.
        return min(
            sorted(map(has, side))[(len(side) - 1) // 2] for side in (self.now, self.previous or self.now)
        )

    def joint_change(self, removed: Seat | None, added: Seat | None) -> Seats:
        """The joint configuration towards one seat removed, added or replaced."""
        now = [s for s in self.now if s != removed] + ([added] if added is not None else [])
        return Seats(tuple(sorted(now)), self.now)

    def after_joint(self) -> Seats:
        """The configuration that ends joint consensus."""
        return Seats(self.now)


def drawn(voters: int, places: int) -> tuple[int, ...]:
    """The numbers of the first voters: an odd count, evenly spaced through the roster."""
    count = min(voters, places)
    count -= 1 - count % 2
    return tuple(n * places // count for n in range(count)) if count > 0 else ()


@dataclass(slots=True)
class MemberStatus:
    """The answer of a process to a query of the leader."""

    incarnation: int
    index: int  # its commit index
    at: int  # when the query was sent
    flags: int


def next_change(
    seats: Seats,
    wanted: int,
    me: Seat,
    seen: dict[int, MemberStatus],
    eligible: Callable[[int, MemberStatus], bool],
    lost: Callable[[Seat], bool],
    leaving: Callable[[Seat], bool],
    order: Iterable[int],
) -> tuple[Seat | None, Seat | None] | None:
    """The seats to remove and to add next; None: no change is due, or no process can take the seat.

    `wanted`: the intended number of seats. `seen`: the answers of processes, by number.
    `eligible`: could have a seat now. `lost`: silent for so long that its seat should go to another.
    `leaving`: about to end. `order`: the numbers that may take a seat, in order of preference.
    """
    taken = {number for number, _ in seats.now}
    for number, incarnation in seats.now:
        status = seen.get(number)
        if status is not None and status.incarnation != incarnation and eligible(number, status):
            # The process restarted without its state.
            return (number, incarnation), (number, status.incarnation)
    newcomer = next(
        ((n, seen[n].incarnation) for n in order if n not in taken and n in seen and eligible(n, seen[n])),
        None,
    )
    if len(seats.now) > wanted:
        extra = [s for s in seats.now if lost(s)] or [s for s in seats.now if s != me]
        return extra[0], None
    if newcomer is None:
        return None
    if len(seats.now) < wanted:
        return None, newcomer
    vacated = next((s for s in seats.now if lost(s) or leaving(s)), None)
    return (vacated, newcomer) if vacated is not None else None

"""Who votes: seats, quorums, and which change of them comes next.

A seat is one process: a number and the birth that it drew. A process that has lost what it promised draws
another birth and is another process; so nobody ever votes twice, with a disk or without (crash-stop). A
change swaps, adds or removes one seat, through a joint stage in which both sides have to have a majority.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from dykeshift.agree.wire import Seat


def majority(seats: Collection[Seat], yes: Callable[[Seat], bool]) -> bool:
    return 2 * sum(map(yes, seats)) > len(seats)


@dataclass(frozen=True, slots=True)
class Seats:
    now: tuple[Seat, ...] = ()
    previous: tuple[Seat, ...] = ()  # in a joint stage: a majority of these has to agree as well

    @property
    def joint(self) -> bool:
        return bool(self.previous)

    @property
    def all(self) -> frozenset[Seat]:
        return frozenset(self.now) | frozenset(self.previous)

    def quorum(self, yes: Callable[[Seat], bool]) -> bool:
        return majority(self.now, yes) and (not self.previous or majority(self.previous, yes))

    def quorum_index(self, has: Callable[[Seat], int]) -> int:
        """Up to where a majority has it; of both sides in a joint stage."""
        return min(
            sorted(map(has, side))[(len(side) - 1) // 2] for side in (self.now, self.previous or self.now)
        )

    def joint_change(self, removed: Seat | None, added: Seat | None) -> Seats:
        """The joint stage towards one seat less, one more, or one for another."""
        now = [s for s in self.now if s != removed] + ([added] if added is not None else [])
        return Seats(tuple(sorted(now)), self.now)

    def after_joint(self) -> Seats:
        return Seats(self.now)


def drawn(voters: int, places: int) -> tuple[int, ...]:
    """The numbers that vote at first: as many, evenly spaced through the roster; an odd count."""
    count = min(voters, places)
    count -= 1 - count % 2
    return tuple(n * places // count for n in range(count)) if count > 0 else ()


@dataclass(slots=True)
class MemberStatus:
    """What a process answered the leader, to a question of its own."""

    incarnation: int
    index: int  # how far its committed prefix went
    at: int  # when it was asked
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
    """The next seat to swap, add or remove; None: all is well, or nobody is there to take it.

    `able`: could have a seat now. `lost`: silent for so long that another should have its seat. `order`: the
    numbers that may take one, nearest first.
    """
    taken = {number for number, _ in seats.now}
    for number, birth in seats.now:
        other = seen.get(number)
        if other is not None and other.incarnation != birth and eligible(number, other):
            return (number, birth), (number, other.incarnation)  # it came back from nothing
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

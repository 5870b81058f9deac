"""Changes of the configuration on their way: asked for at a pace, committed, in force at each member.

The first that is not committed is asked for at some member, and again where that refuses; one comes after the
other, in the order in which they were due. So a design that takes one change at a time makes a queue.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from dykeshift.scale.faults import Changes
from dykeshift.scale.measures import Measured, Spread
from dykeshift.scale.role import MemberState
from dykeshift.scale.shard import Answer


@dataclass(slots=True)
class Asked:
    """A change on its way; times in seconds of the run's clock."""

    count: int
    due: float
    proposed: bool = False  # and not answered
    committed_at: float = 0.0
    version: int = 0
    in_force: dict[int, float] = field(default_factory=dict)  # when, by member

    def done(self, members: set[int]) -> bool:
        """In force at all of these."""
        return bool(self.version) and members <= self.in_force.keys()


class Queue:
    """The changes of one event."""

    def __init__(self, event: Changes, first: int, began: float) -> None:
        """`first`: the run's count of the first of them."""
        self.asked = [Asked(first + n, began + n * event.every_s) for n in range(event.count)]
        self.refused = 0

    def next(self, now: float) -> Asked | None:
        """What is to be asked for now."""
        first = next((one for one in self.asked if not one.version), None)
        if first is None or first.proposed or first.due > now:
            return None
        first.proposed = True
        return first

    def answered(self, now: float, answer: Answer) -> bool:
        """Whether it was committed by this answer."""
        one = next((one for one in self.asked if one.count == answer.change), None)
        if one is None or one.version:
            return False
        if answer.version is None:
            self.refused += 1
            one.proposed = False  # asked for again
            return False
        one.version, one.committed_at = answer.version, now
        return True

    def look(self, now: float, states: Sequence[MemberState]) -> None:
        """Note at whom each is in force."""
        for one in self.asked:
            if one.version:
                for state in states:
                    if state.in_force and state.version >= one.version:
                        one.in_force.setdefault(state.number, now)

    def done(self, members: set[int]) -> int:
        """How many are in force at all of these."""
        return sum(one.done(members) for one in self.asked)

    def sum_up(self, measured: Measured, members: set[int]) -> None:
        """What the event took."""
        asked = self.asked
        measured.changes = len(asked)
        measured.committed = sum(bool(one.version) for one in asked)
        measured.waited_s = Spread.of(one.committed_at - one.due for one in asked if one.version)
        measured.in_force_s = Spread.of(at - one.due for one in asked for at in one.in_force.values())
        measured.everywhere_s = Spread.of(
            max(one.in_force.values()) - one.due for one in asked if one.done(members)
        )
        measured.left_behind = sorted({n for one in asked for n in members - one.in_force.keys()})

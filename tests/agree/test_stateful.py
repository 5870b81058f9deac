"""Hypothesis drives a few processes through random faults.

Every step keeps the invariants, and every history is linearizable. The names of the rules decide in which
order Hypothesis draws them.
"""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykeshift.agree.state import Options
from dykeshift.rig.agreement import Agreement
from dykeshift.rig.linear import check
from dykeshift.rig.virtual import SECOND

WHO = st.integers(0, 3)


class Machine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = Agreement(
            "stateful", 4, Options(voters=3, lease=4 * SECOND, replace=8 * SECOND, keep=4), (0, 1)
        )
        self.world.start_all()
        assert self.world.run(20, self.world.led)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 2.0]))
    def time_passes(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(who=WHO)
    def ends(self, who: int) -> None:
        self.world.kill(self.world.spots[who])

    @rule(who=WHO)
    def starts(self, who: int) -> None:
        if not self.world.spots[who].alive:
            self.world.start(self.world.spots[who])

    @rule(who=WHO)
    def stands_still(self, who: int) -> None:
        if self.world.spots[who].alive:
            self.world.stop(self.world.spots[who])

    @rule(who=WHO)
    def wakes(self, who: int) -> None:
        self.world.resume(self.world.spots[who])

    @rule(one=WHO, other=WHO)
    def is_not_heard(self, one: int, other: int) -> None:
        self.world.blocked |= {(one, other)}

    @rule(some=st.sets(WHO, min_size=1, max_size=3))
    def cut(self, some: set[int]) -> None:
        self.world.groups = [frozenset(some), frozenset(range(4)) - some]

    @rule()
    def mended(self) -> None:
        self.world.groups, self.world.blocked = [], set()

    @rule(who=WHO, back=st.integers(0, 1), size=st.sampled_from([1, 500]))
    def change(self, who: int, back: int, size: int) -> None:
        spot = self.world.spots[who]
        if spot.alive and not spot.stopped:
            expect = max(0, spot.view.core.proposals.version() - back)
            self.world.propose(who, b"%d" % len(self.world.operations) * size, expect, 1.0)

    @rule(who=WHO)
    def read(self, who: int) -> None:
        if self.world.spots[who].alive and not self.world.spots[who].stopped:
            self.world.read(who, 1.0)

    @invariant()
    def promises(self) -> None:
        assert self.world.broken == []

    def teardown(self) -> None:
        self.world.run(3)
        assert self.world.broken == []
        if self.world.states["founded"] == 1:  # otherwise all state was lost and a new history started
            assert check(self.world.operations) == ""


Machine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestStateful = Machine.TestCase

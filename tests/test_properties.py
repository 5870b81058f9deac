"""Properties of the decision module over arbitrary valid event sequences; the harness checks each action."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.harness import CLASSES, MS, S, World, entry, make_settings
from dykeshift.interface import ListKind, LoadReport, Outcome, ServerState

OUTCOMES = st.sampled_from([o for o in Outcome if o is not Outcome.NOT_SENT])
REPORTS = st.sampled_from([None, LoadReport(queued=3.0), LoadReport(utilization=0.99, errors_per_s=2.0)])
STATES = st.sampled_from(list(ServerState))


class Rules(RuleBasedStateMachine):
    changes: dict[str, object] = {}

    def __init__(self) -> None:
        super().__init__()
        self.world = World(make_settings(**self.changes))
        self.world.announce(ListKind.CACHED, *(entry(n) for n in range(6)))

    @rule(
        klass=st.integers(0, len(CLASSES) - 1),
        patience=st.sampled_from([None, 1 * MS, 30 * MS, 150 * MS]),
        hint=st.sampled_from([0, 20 * MS]),
    )
    def submit(self, klass: int, patience: int | None, hint: int) -> None:
        self.world.submit(klass, patience, hint)

    @precondition(lambda self: self.world.out())
    @rule(pick=st.integers(0, 1000), outcome=OUTCOMES, report=REPORTS)
    def end(self, pick: int, outcome: Outcome, report: LoadReport | None) -> None:
        out = self.world.out()
        rid, n = out[pick % len(out)]
        self.world.end(rid, n, outcome, report)

    @precondition(lambda self: self.world.requests)
    @rule(pick=st.integers(0, 1000))
    def client_leaves(self, pick: int) -> None:
        ids = list(self.world.requests)
        self.world.gone(ids[pick % len(ids)])

    @rule(span=st.sampled_from([0, 1 * MS, 20 * MS, 90 * MS, 400 * MS, 2 * S]))
    def time_passes(self, span: int) -> None:
        self.world.advance(span)

    @rule(n=st.integers(0, 7), state=STATES, fresh=st.booleans())
    def delta(self, n: int, state: ServerState, fresh: bool) -> None:
        old = self.world.list.get(n)
        started = self.world.now - 100 * MS if fresh else old.started if old else 0
        self.world.announce(ListKind.DELTA, entry(n, state, started))

    @rule(present=st.sets(st.integers(0, 7)), state=STATES)
    def snapshot(self, present: set[int], state: ServerState) -> None:
        keep = dict(self.world.list)
        rows = [
            entry(n, state if n == 3 else ServerState.READY, keep[n].started if n in keep else 0)
            for n in sorted(present)
        ]
        self.world.announce(ListKind.FULL, *rows)

    @rule()
    def discovery_fails(self) -> None:
        self.world.announce(ListKind.FAILED)

    @rule(token=st.sampled_from(["r:unknown", "r:q1", "nonsense", "sweep", "watch"]))
    def stale_timer(self, token: str) -> None:
        self.world.play(self.world.balancer.on_timer(self.world.now, token))

    @invariant()
    def answered_in_time(self) -> None:
        self.world.check_answers()

    def teardown(self) -> None:
        self.world.settle()


class RulesAsking(Rules):
    changes = {"ask_discovery": True, "copies_allowed": False, "step": 2 * MS}


LIMITS = settings(
    derandomize=True,
    database=None,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRules = Rules.TestCase
TestRules.settings = LIMITS
TestRulesAsking = RulesAsking.TestCase
TestRulesAsking.settings = LIMITS

"""Compares the store with the model, driven by Hypothesis and by seeded random runs.

Hypothesis orders the rules by name and seeds its derandomized draws with a hash of the machine's source, so
changes in StoreMachine, also of names, change the runs.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykeshift.configuration.resources import (
    Ban,
    Key,
    Kind,
    ListWord,
    Route,
    Service,
    Tenant,
    ban_key,
    list_word_key,
)
from dykeshift.configuration.transactions import Advance, Phase, Put
from tests.configuration.words import SAFE, UNSAFE, put
from tests.configuration.world import (
    CLASSES,
    ROUTES,
    SCOPES,
    SERVERS,
    SERVICES,
    TENANTS,
    WORDS,
    StoreWorld,
    play,
)

some_service, some_class = st.sampled_from(SERVICES), st.sampled_from(CLASSES)
some_put = st.one_of(
    st.builds(
        lambda n, b, s: put(Key(Kind.SERVICE, n), Service(balancers=b, servers=s)),
        some_service,
        st.integers(1, 2),
        st.sampled_from([0, 2, 2]),
    ),
    st.builds(lambda n, t: put(Key(Kind.CLASS, n), t), some_class, st.sampled_from([SAFE, UNSAFE])),
    st.builds(
        lambda n, s, c: put(Key(Kind.ROUTE, n), Route(s, c)),
        st.sampled_from(ROUTES),
        some_service,
        some_class,
    ),
    st.builds(
        lambda n, s, w: put(Key(Kind.TENANT, n), Tenant(tuple(sorted(s)), w)),
        st.sampled_from(TENANTS),
        st.sets(some_service, max_size=2),
        st.sampled_from([1.0, 2.0]),
    ),
    st.builds(lambda s, v: put(ban_key(s, v), Ban(s, v)), some_service, st.sampled_from(SERVERS)),
    st.builds(
        lambda w, s, n: put(list_word_key(w, s), ListWord(w, (n,), s)),
        st.sampled_from(WORDS),
        some_service,
        st.sampled_from(SERVERS),
    ),
)


class StoreMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = StoreWorld()

    @rule(writes=st.lists(some_put, min_size=1, max_size=3), checked=st.booleans())
    def puts(self, writes: list[Put], checked: bool) -> None:
        self.world.begin(writes, checked=checked)

    @rule(writes=st.lists(some_put, max_size=2), data=st.data())
    def deletes(self, writes: list[Put], data: st.DataObject) -> None:
        held = sorted(self.world.model.view)
        if held:
            keys = data.draw(st.sets(st.sampled_from(held), min_size=1, max_size=3))
            self.world.begin(writes, keys)

    @rule(writes=st.lists(some_put, min_size=1, max_size=2), off=st.sampled_from([0, 0, -1, 1]))
    def expects(self, writes: list[Put], off: int) -> None:
        expected = {one.key: max(0, self.world.version_of(one.key) + off) for one in writes}
        self.world.begin(writes, expected=expected)

    @rule(name=some_class)
    def a_class_turns(self, name: str) -> None:
        self.world.turn_class(name)

    @rule(which=st.integers(0, 5), aborts=st.booleans())
    def goes_on(self, which: int, aborts: bool) -> None:
        under_way = sorted(self.world.model.under_way)
        if under_way:
            self.world.go_on(under_way[which % len(under_way)], aborts)

    @rule(ident=st.integers(1, 20), phase=st.sampled_from(Phase))
    def advances_anyhow(self, ident: int, phase: Phase) -> None:
        self.world.apply(Advance(ident, phase))

    @rule()
    def restores(self) -> None:
        self.world.restore()

    @rule(which=st.integers(0, len(SCOPES) - 1))
    def a_subscriber_catches_up(self, which: int) -> None:
        self.world.subscriber_catches_up(which)

    @rule()
    def a_replica_catches_up(self) -> None:
        self.world.replica_catches_up()

    @invariant()
    def the_store_is_as_the_model(self) -> None:
        self.world.check()


StoreMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestStateful = StoreMachine.TestCase


@pytest.mark.parametrize("seed", range(12))
def test_a_random_run_matches_the_model(seed: int) -> None:
    assert play(seed) == []

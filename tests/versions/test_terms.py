"""Checks the conflict tables against the rules.

A balancer that applies the meet of two settings keeps the rules of both and never allows more than either.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from dykeshift.interface import Idempotency, ListKind, RequestClass, Scope, Settings, FleetAgreement
from dykeshift.rules import Balancer
from dykeshift.versions.terms import (
    FREE,
    more_permissive,
    unclassified_fields,
    contradicts,
    differences,
    active_classes,
    meet,
    meet_all,
)
from tests.harness import CLASSES, MS, S, World, entry, make_settings
from tests.test_properties import LIMITS, Rules

DETERMINISTIC = settings(
    derandomize=True,
    database=None,
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
FEWER_EXAMPLES = settings(LIMITS, max_examples=60)
CLASS = st.builds(
    RequestClass,
    name=st.sampled_from("abc"),
    aim=st.just(100 * MS),
    deadline=st.just(S),
    worth=st.sampled_from([1.0, 2.0]),
    late_share=st.just(0.0),
    idempotency=st.sampled_from(list(Idempotency)),
    scope=st.sampled_from(list(Scope)),
    window=st.sampled_from([1, 2, 3]),
)
SETTINGS = st.builds(
    make_settings,
    classes=st.lists(CLASS, min_size=1, max_size=3, unique_by=lambda c: c.name).map(tuple),
    balancers=st.sampled_from([4, 8]),
    attempt_limit=st.sampled_from([1, 2, 3]),
    copies_allowed=st.booleans(),
    cancel_allowed=st.booleans(),
    cold_share=st.sampled_from([0.1, 0.2]),
    cold_time=st.sampled_from([S, 2 * S]),
    overload_multiple=st.sampled_from([2.0, 3.0]),
    overload_window=st.sampled_from([S, 2 * S]),
)


def test_every_field_is_classified() -> None:
    assert unclassified_fields() == []


def guarded(one: Settings) -> Any:
    """Returns the guarded values, for which the order of operands must not matter."""
    return (
        [
            getattr(one, f)
            for f in (
                "balancers",
                "attempt_limit",
                "copies_allowed",
                "cancel_allowed",
                "cold_share",
                "cold_time",
                "overload_multiple",
                "overload_window",
            )
        ],
        {
            (c.name, c.idempotency, c.idempotency is Idempotency.KEYED and (c.scope, c.window))
            for c in active_classes(one).values()
        },
    )


@DETERMINISTIC
@given(SETTINGS, SETTINGS, SETTINGS)
def test_the_joint_settings_are_a_meet(one: Settings, other: Settings, third: Settings) -> None:
    both = meet(one, other)
    assert more_permissive(both, one) == more_permissive(both, other) == []
    assert guarded(both) == guarded(meet(other, one)) and guarded(meet(both, one)) == guarded(both)
    assert guarded(meet_all([one, other, third])) == guarded(meet(one, meet(other, third)))
    assert not contradicts(one, one) and contradicts(one, other) == contradicts(other, one)
    if not contradicts(one, other):
        assert (
            more_permissive(one, other) == more_permissive(other, one) == []
        )  # without conflict neither allows more


def test_differences_name_the_fields() -> None:
    one = make_settings()
    other = replace(
        one,
        attempt_limit=2,
        fairness=0.5,
        classes=(replace(CLASSES[0], idempotency=Idempotency.UNSAFE, worth=9.0), *CLASSES[1:]),
    )
    assert differences(one, other) == ["attempt_limit", "read.idempotency"]
    assert differences(one, other, FREE) == ["fairness", "read.worth"]
    assert not contradicts(one, replace(one, fairness=0.5)) and not contradicts(one, replace(one, zone=3))
    assert meet(one, replace(one, fairness=0.5)) == one  # FREE fields are those of the first


# The same classes with other kinds of idempotency, so that each kind meets each other.
CHANGED_CLASSES = tuple(
    replace(c, idempotency=k, scope=s, window=w)
    for c, (k, s, w) in zip(
        CLASSES,
        (
            (Idempotency.UNSAFE, Scope.ALL, 0),
            (Idempotency.KEYED, Scope.ZONE, 100 * MS),
            (Idempotency.SAFE, Scope.ALL, 0),
            (Idempotency.KEYED, Scope.CELL, 900 * MS),
            (Idempotency.KEYED, Scope.ALL, 200 * MS),
        ),
        strict=True,
    )
)
FIRST = make_settings(attempt_limit=3, copies_allowed=True)
SECOND = make_settings(classes=CHANGED_CLASSES, attempt_limit=2, copies_allowed=False)


class Joint(Rules):
    """The harness checks each send by the rules of one version; the balancer applies the meet of two."""

    checked_settings = FIRST

    def __init__(self) -> None:
        super().__init__()
        self.world = World(self.checked_settings)
        self.world.balancer = Balancer(meet(FIRST, SECOND), 1)
        self.world.timers.clear()
        self.world.play(self.world.balancer.on_start(self.world.now))
        self.world.announce(ListKind.CACHED, *(entry(n) for n in range(6)))

    @rule(doubtful=st.booleans(), out=st.sets(st.integers(0, 5), max_size=2))
    def word(self, doubtful: bool, out: set[int]) -> None:
        self.world.play(
            self.world.balancer.on_fleet_agreement(
                self.world.now, FleetAgreement(frozenset(out), settings_uncertain=doubtful)
            )
        )


class JointBySecond(Joint):
    checked_settings = SECOND


class Degraded(Joint):
    """A degraded balancer on the first version while the second is in force: it must not repeat a request."""

    checked_settings = make_settings(
        classes=tuple(replace(c, idempotency=Idempotency.UNSAFE) for c in CLASSES), copies_allowed=False
    )

    def __init__(self) -> None:
        super().__init__()
        self.world.balancer = Balancer(FIRST, 1)
        self.world.timers.clear()
        self.world.play(self.world.balancer.on_start(self.world.now))
        self.world.announce(ListKind.CACHED, *(entry(n) for n in range(6)))
        self.word(True, set())

    @rule(out=st.sets(st.integers(0, 5), max_size=2))
    def word(self, doubtful: bool = True, out: set[int] = frozenset()) -> None:  # type: ignore[assignment]
        super().word(True, set(out))


TestJoint = Joint.TestCase
TestJoint.settings = FEWER_EXAMPLES
TestJointBySecond = JointBySecond.TestCase
TestJointBySecond.settings = FEWER_EXAMPLES
TestDegraded = Degraded.TestCase
TestDegraded.settings = FEWER_EXAMPLES


def test_the_harness_finds_a_balancer_that_applies_the_more_permissive_version() -> None:
    class Permissive(JointBySecond):
        def __init__(self) -> None:
            super().__init__()
            self.world.balancer = Balancer(FIRST, 1)
            self.world.play(self.world.balancer.on_start(self.world.now))
            self.world.announce(ListKind.CACHED, *(entry(n) for n in range(6)))

    found = settings(FEWER_EXAMPLES, phases=[Phase.generate], report_multiple_bugs=False)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Permissive, settings=found)  # type: ignore[no-untyped-call]

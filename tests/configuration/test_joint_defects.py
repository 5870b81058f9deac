"""Each seeded defect at the end of joint phases is found by the test that is named for it."""

from __future__ import annotations

from collections.abc import Callable

from tests.configuration import test_coordinator as unit
from tests.configuration import test_joint_campaign as days
from tests.configuration.joint_defects import JOINT_DEFECTS
from tests.seeded import defect_tests

TESTS: dict[str, Callable[[], None]] = {
    "one fence is enough": days.test_a_subscriber_that_is_cut_off_is_waited_for_while_its_lease_may_hold,
    "a majority of fences is enough": (
        days.test_a_subscriber_that_is_cut_off_is_waited_for_while_its_lease_may_hold
    ),
    "a replica fenced at what it has": (
        days.test_a_subscriber_that_is_cut_off_is_waited_for_while_its_lease_may_hold
    ),
    "half a lease waited": days.test_a_replica_that_stands_still_is_waited_for_by_time,
    "silent replicas do not count": unit.test_the_joint_phase_is_over_once_all_replicas_are_fenced,
    "fences of another history count": unit.test_the_joint_phase_is_over_once_all_replicas_are_fenced,
    "waited since the beginning": unit.test_the_lease_is_waited_for_from_the_joint_phase_on,
    "never by time": unit.test_a_silent_replica_counts_for_a_lease_at_most,
    "proposed out of order": unit.test_what_touches_each_other_goes_in_the_order_in_which_it_came,
}


test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    JOINT_DEFECTS, {}, TESTS, lambda seed: []
)

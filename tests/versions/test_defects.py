"""Each injected defect is found: by a random run with the given seed, or by the named test."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.rig.ruled_days import play
from tests.seeded import defect_tests
from tests.versions import test_parts, test_ruled
from tests.versions.defects import DEFECTS

SEEDS: dict[str, int] = {
    "no degraded mode": 18,
    "joint phase skipped": 2,
    "joint phase over once all reachable balancers have reported it": 4,
    "the joint settings are the new version": 1,
}
TESTS: dict[str, Callable[[], None]] = {
    "lease read before a pause": test_ruled.test_a_paused_process_is_degraded_at_its_first_look,
    "rollback without waiting": test_ruled.test_a_halt_by_hand_waits_for_the_lease,
    "halt without its own joint phase": test_ruled.test_a_harmful_stage_is_rolled_back,
    "a second proposal replaces the first": (
        test_parts.test_a_proposal_goes_through_its_phases_and_other_changes_are_ignored
    ),
    "an objection ignored": test_ruled.test_a_version_that_one_balancer_rejects_is_in_force_nowhere,
    "a verdict of an earlier process": test_parts.test_all_must_accept_and_one_objection_refuses,
    "more permissive when degraded": test_parts.test_degraded_it_applies_the_narrowest_of_all_known_proposals,
    "a peer's list may empty the own one": test_parts.test_a_peer_s_list_cannot_empty_the_own_one,
    "an older list counts": (test_parts.test_leaving_servers_of_a_newer_list_are_avoided_for_a_limited_time),
    "a fixed-sample test": test_parts.test_the_sequential_test_is_valid_after_every_block,
    "a verdict on another proposal of that version": (
        test_parts.test_a_verdict_on_another_proposal_of_that_version_does_not_count
    ),
    "own checks left out": test_ruled.test_a_version_that_one_balancer_rejects_is_in_force_nowhere,
    "bans lost with a snapshot": (
        test_parts.test_a_snapshot_restores_the_state_and_unknown_fields_and_changes_are_ignored
    ),
    "local settings among the shared ones": test_parts.test_local_settings_are_not_shared,
}

test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: play(seed).broken
)

"""Each seeded defect of the versions is found: by the seed of a drawn day, or by the named test."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.rig.ruled_days import play
from tests.seeded import defect_tests
from tests.versions import test_parts, test_ruled
from tests.versions.defects import DEFECTS

SEEDS: dict[str, int] = {
    "no doubt": 18,
    "middle skipped": 2,
    "middle over once all in reach have said so": 16,
    "the middle is the new version": 1,
}
TESTS: dict[str, Callable[[], None]] = {
    "lease read before the stall": test_ruled.test_who_stood_still_finds_itself_in_doubt_at_its_first_look,
    "rollback straight": test_ruled.test_a_halt_by_hand_and_a_way_back_wait_for_the_lease,
    "halt without its own middle": test_ruled.test_a_stage_that_does_harm_goes_back_through_the_middle,
    "a second proposal takes the first one's place": (
        test_parts.test_a_proposal_goes_through_its_phases_and_nothing_else_moves_it
    ),
    "a no ignored": test_ruled.test_a_version_that_is_valid_at_all_but_one_is_in_force_nowhere,
    "an earlier life's yes": test_parts.test_all_have_to_say_yes_and_one_no_refuses_with_its_reason,
    "bolder in doubt": test_parts.test_in_doubt_it_acts_on_the_middle_of_all_that_it_has_heard_of,
    "a peer's list may empty one": test_parts.test_no_list_of_a_peer_empties_one_s_own,
    "an older list counts": (
        test_parts.test_a_newer_list_s_leaving_servers_are_left_alone_for_a_while_and_never_the_other_way
    ),
    "a test that does not bear looking": test_parts.test_the_stage_s_test_stays_true_however_often_one_looks,
    "yes to another proposal of that number": (
        test_parts.test_a_yes_to_another_proposal_of_that_number_does_not_count
    ),
    "own checks left out": test_ruled.test_a_version_that_is_valid_at_all_but_one_is_in_force_nowhere,
    "bans lost with a snapshot": (
        test_parts.test_a_book_comes_back_whole_and_an_older_program_passes_over_what_it_does_not_know
    ),
    "one's own part in what all share": test_parts.test_ones_own_part_is_not_shared,
}

test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: play(seed).broken
)

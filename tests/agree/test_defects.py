"""Each seeded defect of the agreement is found: by the seed of a drawn day, or by the named test."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.rig.campaign import play
from tests.agree import test_agree, test_parts
from tests.agree.defects import DEFECTS
from tests.seeded import defect_tests

SEEDS: dict[str, int] = {
    "vote not kept": 4,
    "lease without the age of what it stands on": 4,
    "back from nothing under the same birth": 1,
    "shown before it is whole": 0,
    "expected version not checked": 0,
    "a vote for a shorter log": 0,
    "a read without a round": 8,
    "one less than a majority": 0,
    "a proposal not known again": 0,
    "an old term's entry committed by counting": 33,
}
TESTS: dict[str, Callable[[], None]] = {
    "no vote before the vote": test_agree.test_who_was_cut_off_comes_back_without_an_election,
    "own copy counted before it is kept": lambda: test_agree.test_nothing_counts_before_it_is_kept("alone"),
    "said before it is kept": lambda: test_agree.test_nothing_counts_before_it_is_kept("follower"),
    "a spoilt file read on": test_agree.test_a_spoilt_file_costs_the_birth_and_a_torn_end_does_not,
    "joint stage counts the new seats alone": (
        test_parts.test_any_two_majorities_of_a_change_have_somebody_in_common
    ),
    "lease from the answer's arrival": (
        test_agree.test_a_lease_counts_from_the_question_and_takes_the_age_of_the_answer_off
    ),
    "an old epoch goes on": test_agree.test_what_is_left_of_an_old_epoch_commits_nothing_once_it_has_heard,
}

test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: play(seed).broken
)

"""Each seeded defect of consensus is found, by the simulated run of a seed or by the named test."""

from __future__ import annotations

from collections.abc import Callable

from dykeshift.rig.campaign import play
from tests.agree import test_agree, test_parts
from tests.agree.defects import DEFECTS
from tests.seeded import defect_tests

SEEDS: dict[str, int] = {
    "vote not durable": 4,
    "lease without the age in the answer": 4,
    "restarted without state under the same incarnation": 1,
    "exposed before it is complete": 0,
    "expected version not checked": 0,
    "a vote for a shorter log": 0,
    "a read without a round": 8,
    "one below a majority": 0,
    "a repeated proposal not recognized": 0,
    "an old term's entry committed by counting": 33,
}
TESTS: dict[str, Callable[[], None]] = {
    "no pre-vote round": test_agree.test_partitioned_voter_rejoins_without_an_election,
    "own log counted before it is durable": lambda: test_agree.test_nothing_is_counted_before_it_is_durable(
        "alone"
    ),
    "sent before it is durable": lambda: test_agree.test_nothing_is_counted_before_it_is_durable("follower"),
    "a file with lost records used": test_agree.test_only_a_lost_record_changes_the_incarnation,
    "joint quorum counts the new seats only": (test_parts.test_quorums_of_adjacent_configurations_intersect),
    "lease from the answer's arrival": (test_agree.test_lease_starts_at_the_query_less_the_age_of_the_answer),
    "an old epoch goes on after fencing": test_agree.test_fenced_old_epoch_commits_nothing,
}

test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: play(seed).broken
)

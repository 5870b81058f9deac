"""Each defect of subscribers and replicas is found: by the seed of a drawn day, or by the named test."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dykeshift.configuration.campaign import run_seed
from tests.configuration import test_catch_up, test_subscribers
from tests.configuration.subscriber_defects import DEFECTS
from tests.seeded import defect_tests

SEEDS: dict[str, int] = {
    "a replica that lags renews leases": 0,
    "a lease counts before its stamp is shown": 0,
    "a change is told as none": 0,
    "fenced what only the replica has": 0,
    "acknowledged before it is shown": 3,
}
TESTS: dict[str, Callable[[], Any]] = {
    "half a version is shown": test_subscribers.test_nothing_is_shown_of_a_catching_up_that_is_not_whole,
    "a whole part counts as taken": test_catch_up.test_a_transfer_arrives_whatever_is_lost_doubled_or_late,
    "a digest is not looked at": (
        test_subscribers.test_a_part_that_does_not_add_up_is_not_shown_and_its_sender_is_left
    ),
    "goes on behind the rest of a version": (
        test_subscribers.test_a_subscriber_shows_its_scope_and_holds_a_lease
    ),
    "tombstones are not sent": test_catch_up.test_only_what_differs_is_sent,
    "goes on where tombstones are forgotten": (test_catch_up.test_who_is_too_far_behind_begins_from_nothing),
    "repetitions cost nothing": (test_subscribers.test_a_session_keeps_to_its_budget_also_when_all_is_lost),
    "sessions are never over": test_subscribers.test_what_strangers_send_leaves_nothing_behind,
    "an old hello begins a session": (test_subscribers.test_an_old_hello_does_not_end_a_session_that_begins),
    "a hello alone confirms a session": (
        test_subscribers.test_a_hello_that_is_played_at_another_replica_draws_no_parts
    ),
    "a grant counts unasked": test_subscribers.test_a_grant_counts_once_and_from_when_it_was_asked_for,
    "a lease counts from the answer": test_subscribers.test_a_grant_that_arrives_late_is_worth_less,
    "leases of an earlier life are forgotten": (
        test_subscribers.test_a_replica_that_comes_back_fences_nothing_until_the_leases_of_its_earlier_life_are_over
    ),
    "leases of an earlier session are forgotten": (
        test_subscribers.test_the_lease_of_a_process_that_stands_still_counts_though_its_name_has_a_new_session
    ),
    "no jitter": test_subscribers.test_who_waits_comes_back_with_a_jitter_of_its_own,
    "no admission": (
        test_catch_up.test_the_longest_waiting_goes_first_and_who_does_not_come_back_loses_its_place
    ),
    "two who contradict are not believed": (
        test_subscribers.test_two_others_outvote_a_replica_whose_lie_adds_up
    ),
    "what another replica has is not asked": (
        test_subscribers.test_a_replica_that_lags_is_left_for_one_that_does_not
    ),
    "another history under a lease": test_subscribers.test_another_history_is_taken_only_without_a_lease,
    "a chunk that arrived ahead never goes again": (
        test_catch_up.test_a_transfer_arrives_whatever_is_lost_doubled_or_late
    ),
    "a part is taken wherever it begins": test_subscribers.test_resources_outside_the_scope_are_not_taken,
    "staged parts are forgotten with a replica": (
        test_subscribers.test_catching_up_goes_on_at_another_replica_where_it_stopped
    ),
}


test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: list(run_seed(seed).broken)
)

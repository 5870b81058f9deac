"""Each injected defect of subscribers and replicas is detected: by a randomized run, or by the named test."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dykeshift.configuration.campaign import run_seed
from tests.configuration import test_catch_up, test_subscribers
from tests.configuration.subscriber_defects import DEFECTS
from tests.seeded import defect_tests

SEEDS: dict[str, int] = {
    "a lagging replica renews leases": 0,
    "a lease counts before its stamp is shown": 0,
    "a change is reported as unchanged": 0,
    "the fence is the replica's own version": 0,
    "acknowledged before it is shown": 3,
}
TESTS: dict[str, Callable[[], Any]] = {
    "an incomplete version is shown": test_subscribers.test_incomplete_catch_up_is_not_shown,
    "complete parts count as applied": test_catch_up.test_a_transfer_arrives_whatever_is_lost_doubled_or_late,
    "the digest is not checked": (
        test_subscribers.test_part_with_a_wrong_digest_is_rejected_and_its_replica_left
    ),
    "resumes after the rest of a version": (
        test_subscribers.test_subscriber_shows_its_scope_and_holds_a_lease
    ),
    "tombstones are not sent": test_catch_up.test_only_what_differs_is_sent,
    "resumes where tombstones are compacted": (test_catch_up.test_who_is_too_far_behind_begins_from_nothing),
    "retransmissions are not charged": (
        test_subscribers.test_session_keeps_its_budget_when_all_datagrams_are_lost
    ),
    "sessions never time out": test_subscribers.test_datagrams_of_unknown_senders_leave_no_state,
    "a stale hello opens a session": (test_subscribers.test_stale_hello_does_not_end_a_newer_session),
    "a hello alone confirms a session": (
        test_subscribers.test_hello_replayed_to_another_replica_triggers_no_parts
    ),
    "a grant counts without a request": test_subscribers.test_grant_counts_once_and_from_its_request,
    "a lease counts from the answer": test_subscribers.test_delayed_grant_gives_a_shorter_lease,
    "leases from before a restart are ignored": (
        test_subscribers.test_restarted_replica_keeps_its_fence_until_earlier_leases_have_expired
    ),
    "leases of an earlier session are ignored": (
        test_subscribers.test_lease_of_a_paused_process_blocks_the_fence_after_its_name_opens_a_new_session
    ),
    "no jitter": test_subscribers.test_waiting_subscribers_retry_with_jitter,
    "no admission": (
        test_catch_up.test_the_longest_waiting_goes_first_and_who_does_not_come_back_loses_its_place
    ),
    "two contradicting replicas are ignored": (
        test_subscribers.test_two_replicas_outvote_one_with_wrong_data_and_a_valid_digest
    ),
    "claims of other replicas are ignored": (test_subscribers.test_lagging_replica_is_left_for_a_newer_one),
    "the history changes under a lease": test_subscribers.test_history_changes_only_without_a_lease,
    "a chunk received out of order is never retransmitted": (
        test_catch_up.test_a_transfer_arrives_whatever_is_lost_doubled_or_late
    ),
    "a part is accepted wherever it starts": test_subscribers.test_resources_outside_the_scope_are_rejected,
    "staged parts are discarded with their replica": (
        test_subscribers.test_catch_up_continues_at_another_replica
    ),
}


test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, SEEDS, TESTS, lambda seed: list(run_seed(seed).broken)
)

"""Injected defects in the handling of long bodies, each detected by a test of test_bodies.py."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from dykeshift.engine import admission, server, upstream
from dykeshift.engine.driver import Driver
from dykeshift.engine.request_ids import RequestIds
from dykeshift.engine.requests import Incoming
from dykeshift.engine.server import Client
from dykeshift.interface import Action, Request
from dykeshift.rules import Balancer
from dykeshift.mllp.front import MllpFront
from tests.mllp import test_front
from tests.node import test_bodies, test_held_uploads, test_repeated_ids, test_slow_crowds


def _truncated_as_if_complete() -> tuple[Any, str, Any]:
    return Client, "cut", Client.end


def _streamed_request_retried() -> tuple[Any, str, Any]:
    """A streamed body counts as buffered, so that the request may be retried."""
    return Incoming, "early", False


def _incomplete_request_may_have_run() -> tuple[Any, str, Any]:
    def broken(self: upstream.Attempt, written: bool) -> None:
        original(self, True)

    original = upstream.Attempt.broken
    return upstream.Attempt, "broken", broken


def _backlog_not_looked_at() -> tuple[Any, str, Any]:
    """The time of a request starts when its last byte has been read, however long it waited unread."""
    return Client, "_look_at_backlog", lambda self: None


def _rest_not_awaited() -> tuple[Any, str, Any]:
    """A client whose request was answered early is closed while it still writes."""
    return server, "DISCARD_TIMEOUT", server.LINGER_TIMEOUT


def _departure_not_checked() -> tuple[Any, str, Any]:
    """A close that arrives behind unread bytes is only noticed when it is read."""
    return Client, "has_disconnected", lambda self: self.transport is None


def _reading_left_paused() -> tuple[Any, str, Any]:
    """Reading stays paused while the upstream takes the end of an upload."""

    def hold(self: Client, wait: bool) -> None:
        if wait or self.upload is not None or not self.busy:
            original(self, wait)

    original = Client.hold
    return Client, "hold", hold


def _uploads_take_places() -> tuple[Any, str, Any]:
    """A request that is still coming takes a place at its server."""

    def on_request(self: Balancer, now: int, request: Request) -> list[Action]:
        return original(self, now, replace(request, receiving=False))

    original = Balancer.on_request
    return Balancer, "on_request", on_request


def _streams_take_places() -> tuple[Any, str, Any]:
    """A streamed answer keeps its place until its client has read it."""
    return Balancer, "on_stream_started", lambda self, now, request_id, attempt: []


def _nobody_makes_room() -> tuple[Any, str, Any]:
    """At the limit of connections a new one is closed."""
    return admission, "choose", lambda candidates, now: None


def _ids_not_claimed() -> tuple[Any, str, Any]:
    """An id that is not in use may be used again at once."""
    return Driver, "claim_id", lambda self, request: request.id not in self.jobs


def _claims_not_released() -> tuple[Any, str, Any]:
    """An id stays claimed though its request has certainly not run."""
    return RequestIds, "release", lambda self, request_id: None


def _frames_not_counted() -> tuple[Any, str, Any]:
    """Frames of MLLP are kept without regard to a budget."""
    return MllpFront, "note_kept", lambda self, line: None


def _budget_not_enforced() -> tuple[Any, str, Any]:
    return server.Front, "relieve_budget", lambda self, client: None


@pytest.mark.parametrize(
    ("defect", "test", "arguments"),
    [
        (
            _truncated_as_if_complete,
            test_bodies.test_a_truncated_answer_never_looks_complete,
            (b"Transfer-Encoding: chunked", b"1.1"),
        ),
        (
            _streamed_request_retried,
            test_bodies.test_a_streamed_request_that_broke_before_its_end_is_refused_and_not_retried,
            (),
        ),
        (
            _incomplete_request_may_have_run,
            test_bodies.test_a_streamed_request_that_broke_before_its_end_is_refused_and_not_retried,
            (),
        ),
        (
            _backlog_not_looked_at,
            test_held_uploads.test_a_request_whose_upstream_reads_no_more_is_answered_in_its_time,
            (False,),
        ),
        (
            _rest_not_awaited,
            test_held_uploads.test_the_rest_of_a_request_answered_early_is_read_before_its_connection_is_closed,
            (),
        ),
        (
            _departure_not_checked,
            test_held_uploads.test_the_last_byte_of_an_upload_is_not_sent_on_for_a_client_that_has_left,
            (),
        ),
        (
            _uploads_take_places,
            test_slow_crowds.test_short_requests_are_served_beside_many_unfinished_uploads,
            (),
        ),
        (
            _streams_take_places,
            test_slow_crowds.test_short_requests_are_served_beside_many_answers_that_are_read_slowly,
            (),
        ),
        (
            _nobody_makes_room,
            test_slow_crowds.test_at_the_limit_the_slowest_unfinished_request_makes_room_and_is_refused,
            (False,),
        ),
        (
            _ids_not_claimed,
            test_repeated_ids.test_what_may_have_run_is_not_sent_again_after_its_client_has_left,
            ("send", None),
        ),
        (_claims_not_released, test_repeated_ids.test_what_was_turned_away_by_all_is_sent_again, ()),
        (
            _frames_not_counted,
            test_front.test_unfinished_frames_stay_within_a_common_budget_and_others_are_served,
            (),
        ),
        (_reading_left_paused, test_held_uploads.test_a_client_is_read_again_once_its_upload_is_complete, ()),
        (_budget_not_enforced, test_bodies.test_over_the_budget_a_request_is_streamed_completely, (False,)),
    ],
)
def test_a_defect_is_detected(
    defect: Callable[[], tuple[Any, str, Any]],
    test: Callable[..., None],
    arguments: tuple[Any, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tests.node.stubs.PATIENCE", 5.0)
    owner, name, value = defect()
    monkeypatch.setattr(owner, name, value)
    with pytest.raises((AssertionError, TimeoutError, ConnectionError)):
        test(*arguments)

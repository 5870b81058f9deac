"""Injected defects in the handling of long bodies, each detected by a test of test_bodies.py."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from dykeshift.engine import server, upstream
from dykeshift.engine.requests import Incoming
from dykeshift.engine.server import Client
from tests.node import test_bodies


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


def _budget_not_enforced() -> tuple[Any, str, Any]:
    return server.Front, "relieve_budget", lambda self: None


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
    with pytest.raises((AssertionError, TimeoutError)):
        test(*arguments)

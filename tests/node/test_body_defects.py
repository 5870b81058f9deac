"""Defects of long bodies, each caught by a test of test_bodies.py."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from dykeshift.engine import server, upstream
from dykeshift.engine.requests import Incoming
from dykeshift.engine.server import Client
from tests.node import test_bodies as held


def _cut_tidily() -> tuple[Any, str, Any]:
    return Client, "cut", Client.end


def _sent_again() -> tuple[Any, str, Any]:
    """What has been let go of counts as kept: it may be tried as often as any."""
    return Incoming, "early", False


def _unwritten_may_have_run() -> tuple[Any, str, Any]:
    def broken(self: upstream.Attempt, written: bool) -> None:
        original(self, True)

    original = upstream.Attempt.broken
    return upstream.Attempt, "broken", broken


def _over_the_budget() -> tuple[Any, str, Any]:
    return server.Front, "make_room", lambda self: None


@pytest.mark.parametrize(
    ("defect", "test", "arguments"),
    [
        (_cut_tidily, held.test_a_cut_answer_never_ends_tidily, (b"Transfer-Encoding: chunked", b"1.1")),
        (_sent_again, held.test_what_went_out_early_and_broke_is_refused_and_not_sent_again, ()),
        (_unwritten_may_have_run, held.test_what_went_out_early_and_broke_is_refused_and_not_sent_again, ()),
        (_over_the_budget, held.test_over_the_budget_it_goes_out_early_and_comes_whole, (False,)),
    ],
)
def test_a_defect_is_seen(
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

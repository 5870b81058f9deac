"""HTTP/1.1 to upstreams: maps answers to outcomes as the protocol page defines them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from dykeshift.clock import Clock
from dykeshift.interface import LoadReport, Outcome
from dykeshift.engine.bodies import Answer, Message
from dykeshift.engine.connection import Connection
from dykeshift.engine.reading import UNLIMITED, ReadBuffer
from dykeshift.engine.terms import SubmittedRequest
from dykeshift.engine.upstream import AttemptResult
from dykeshift.settings import load_report


def read_report(answer: Answer) -> LoadReport | None:
    """The load report in the X-Load header; None if it is missing or invalid."""
    text = answer.headers.get(b"x-load")
    if text is None:
        return None
    try:
        values = json.loads(text)
        return load_report({str(k): float(v) for k, v in values.items()})
    except (ValueError, TypeError, AttributeError, RecursionError):
        return None  # an invalid report is ignored; the answer still counts


def outcome_of(answer: Answer) -> Outcome:
    """The outcome that a complete answer proves."""
    if answer.status == 200:
        return Outcome.OK
    # A plain 503 or 504 may come from an intermediary after the request ran: only X-Not-Run proves that it
    # did not.
    if answer.status in (503, 504) and answer.headers.get(b"x-not-run") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


class HttpCarrier:
    """The `Carrier` for HTTP/1.1."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        read_buffer: ReadBuffer = UNLIMITED,
    ) -> None:
        self.loop, self.clock, self.read_buffer = loop, clock, read_buffer

    def connection(self, on_idle: Callable[[Any], None], on_lost: Callable[[Any], None]) -> Connection:
        """A new connection, which delivers long answers as they arrive."""
        return Connection(
            self.loop,
            self.clock,
            on_idle,
            on_lost,
            streams=True,
            read_buffer=self.read_buffer,
        )

    def encoder(self, asked: SubmittedRequest) -> Callable[[int], Message]:
        """The encoder of a request, given the nanoseconds left to the upstream."""
        return asked.message

    def result(self, answer: Answer) -> AttemptResult:
        """The outcome of a complete answer and its load report."""
        return AttemptResult(outcome_of(answer), read_report(answer), answer)

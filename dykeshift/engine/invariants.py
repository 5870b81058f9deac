"""Invariants that are checked at run time, and counted reasons for withheld attempts and closed connections.

`Stage` alone decides whether a request may be answered; `WithheldReason` says why an attempt was not sent,
and `CloseReason` why this side closed a client's connection. A violation is counted and logged. The operation
that would violate an invariant is not carried out (`violated`), except for invariants that the passing of
time breaks (`broken`).
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class Stage(Enum):
    """The state of the answer to a request."""

    WAITING = "waiting"  # not begun: an answer may be given
    ANSWERING = "answering"  # a streamed answer is in progress: only its rest may be sent
    OVER = "over"  # answered, or the client has disconnected: nothing may be sent to the client

    @property
    def may_be_answered(self) -> bool:
        """Whether a final answer may begin now."""
        return self is Stage.WAITING


class Invariant(Enum):
    """Conditions that hold whatever fails."""

    ONE_ANSWER = "a request gets one final answer"
    WHOLE_ANSWER = "nothing is written into an answer that has begun"
    NO_SEND_AFTER_END = "nothing is sent for a request that is over"
    ANSWER_BEFORE_END = "a request is answered before the process may be killed"
    NONE_OPEN_AT_END = "no request is open as the process ends"


class WithheldReason(Enum):
    """Why an attempt that had been decided on was not sent."""

    RULES_CHANGED = "rules-changed"  # the settings that it was decided by are no longer in force
    NO_TIME = "no-time"  # its time limit has passed
    UPSTREAM_CLOSED = (
        "upstream-closed"  # to new requests: draining, removed, replaced or banned by an operator
    )
    KEY_WINDOW_OVER = "key-window-over"  # too late for the upstreams to recognise the idempotency key
    PROCESS_UNCERTAIN = "process-uncertain"  # a repeat, where another process may have taken over the address
    CLIENT_GONE = "client-gone"


class CloseReason(Enum):
    """Why this side closed a client's connection."""

    IDLE = "idle"
    CROWDED = "crowded"  # to make room for another connection
    STALLED = "stalled"  # no progress of a body
    DRAINING = "draining"
    ENDING = "ending"  # the process ends
    ANSWER_CUT = "answer-cut"  # a streamed answer was truncated
    REJECTED = "rejected"  # invalid input
    MEMORY = "memory"  # no memory for more of its request
    UNFINISHED = "unfinished"  # its request was incomplete when the process had to end


class EventCounts:
    """How often each of these events has happened since the process started."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()
        self.withheld: Counter[WithheldReason] = Counter()
        self.closed: Counter[CloseReason] = Counter()

    def violated(self, invariant: Invariant, request_id: str) -> None:
        """Count and log an operation that would violate an invariant; the caller does not carry it out."""
        self._log(invariant, request_id, "prevented a violation of: %s (request %s)")

    def broken(self, invariant: Invariant, request_id: str) -> None:
        """Count and log a violation that could not be prevented."""
        self._log(invariant, request_id, "violated: %s (request %s)")

    def _log(self, invariant: Invariant, request_id: str, text: str) -> None:
        self.violations[invariant] += 1
        log.error(
            text,
            invariant.value,
            request_id,
            extra={
                "event": "invariant.violated",
                "fields": {"invariant": invariant.name.lower(), "request": request_id},
            },
        )

    def figures(self) -> dict[str, dict[str, int]]:
        """All counts other than zero, by kind and name."""
        found = {
            "violations": {invariant.name.lower(): count for invariant, count in self.violations.items()},
            "kept_back": {reason.value: count for reason, count in self.withheld.items()},
            "closed": {reason.value: count for reason, count in self.closed.items()},
        }
        return {kind: counts for kind, counts in found.items() if counts}

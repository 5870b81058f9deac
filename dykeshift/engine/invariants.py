"""Rules that hold at every instant, checked as the program runs, and reasons for what is kept from happening.

`Stage` is the one place that says whether an answer may be given to a request, `KeptBack` why an attempt did
not go out, `CloseReason` why a client's connection was closed by this side. A broken invariant is counted and
logged; what would break it does not happen, but for those that time breaks (`Occurrences.broken`).
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class Stage(Enum):
    """How far the answer to a request is."""

    WAITING = "waiting"  # none has begun: an answer may be given
    ANSWERING = "answering"  # a long one is going out: nothing but its rest and its end may follow
    OVER = "over"  # it was answered, or its client has gone: nothing goes to the client any more

    @property
    def may_be_answered(self) -> bool:
        """Whether a final answer, whole or long, may begin now."""
        return self is Stage.WAITING


class Invariant(Enum):
    """What never happens, whatever fails."""

    ONE_ANSWER = "a request gets one final answer"
    WHOLE_ANSWER = "nothing is written into an answer that has begun"
    NO_SEND_AFTER_END = "nothing is sent for a request that is over"
    ANSWER_BEFORE_END = "a request is answered before the process may be killed"
    NONE_OPEN_AT_END = "no request is open as the process ends"


class KeptBack(Enum):
    """Why an attempt that was decided on did not go out."""

    RULES_CHANGED = "rules-changed"  # those that it was decided by are not in force any more
    NO_TIME = "no-time"
    UPSTREAM_CLOSED = "upstream-closed"  # to new requests: draining, gone, replaced or out by hand
    KEY_WINDOW_OVER = "key-window-over"
    CLIENT_GONE = "client-gone"


class CloseReason(Enum):
    """Why this side closed a client's connection."""

    IDLE = "idle"
    CROWDED = "crowded"  # it made room for another
    STALLED = "stalled"
    DRAINING = "draining"
    ENDING = "ending"
    ANSWER_CUT = "answer-cut"  # the rest of a long answer will not come
    REJECTED = "rejected"
    UNFINISHED = "unfinished"  # its request had not come whole as the process had to end


class Occurrences:
    """How often each of these has happened since the process started."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()
        self.kept_back: Counter[KeptBack] = Counter()
        self.closed: Counter[CloseReason] = Counter()

    def violated(self, invariant: Invariant, request_id: str) -> None:
        """Count and log what would have broken an invariant; the caller does not do it."""
        self._note(invariant, request_id, "kept from happening: %s (request %s)")

    def broken(self, invariant: Invariant, request_id: str) -> None:
        """Count and log that an invariant is broken, which nobody could keep from happening."""
        self._note(invariant, request_id, "not kept: %s (request %s)")

    def _note(self, invariant: Invariant, request_id: str, text: str) -> None:
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
        """All counts that are not zero, by kind and name."""
        found = {
            "violations": {one.name.lower(): count for one, count in self.violations.items()},
            "kept_back": {one.value: count for one, count in self.kept_back.items()},
            "closed": {one.value: count for one, count in self.closed.items()},
        }
        return {kind: counts for kind, counts in found.items() if counts}

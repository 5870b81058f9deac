"""The deadlines of the process itself: by when everything must be answered once it has been told to end.

The platform sends SIGTERM, and SIGKILL as early as `KILL_GRACE` plus the longest deadline of the deployment
(`LONGEST_COUNTED` at most) after it. A request that is not answered by then is lost, however long its client
would have waited. `Termination` is the only place that computes that time; whatever accepts, forwards,
retries, copies, waits for or closes something uses the earlier of its own time limit and this one.

    SIGTERM received          answer_by           exit_by                       earliest SIGKILL
       | requests are served      | requests are      | reserve: SIGNAL_DELAY,     |
       |                          | refused           | STANDSTILL and EXIT_TIME   |

All times are nanoseconds on the process's monotonic clock. The values are set by the protocol specification.
"""

from __future__ import annotations

from collections.abc import Iterable

from dykeshift.engine.invariants import EventCounts, Invariant
from dykeshift.interface import RequestClass

MILLISECOND = 1_000_000
KILL_GRACE = 700 * MILLISECOND  # from SIGTERM to SIGKILL, in addition to the longest deadline
LONGEST_COUNTED = 3_000 * MILLISECOND  # upper limit on the longest deadline as the platform counts it
SIGNAL_DELAY = 150 * MILLISECOND  # a stalled process may receive SIGTERM this much after it was sent
STANDSTILL = 150 * MILLISECOND  # the process may stall once more just before its last answers
LAST_WRITES = 50 * MILLISECOND  # for refusing requests that arrive at the last moment
EXIT_TIME = 50 * MILLISECOND  # from the last answer until the interpreter has ended
RESERVE = SIGNAL_DELAY + STANDSTILL + LAST_WRITES + EXIT_TIME
SETTINGS_OVERLAP = 6_000 * MILLISECOND  # the platform may use settings this long after they were replaced
NEVER = (1 << 63) - 1  # later than any time on the clock


class Termination:
    """The time that the platform leaves this process. Updates only ever move it earlier."""

    def __init__(self, occurrences: EventCounts) -> None:
        self.occurrences = occurrences
        self.heard_at = NEVER  # when the process was first told to end
        self.answer_by = NEVER
        self._kill_at = NEVER
        self._longest = 0  # longest deadline of the settings in force
        self._replaced: list[tuple[int, int]] = []  # recent settings: when replaced, longest deadline

    @property
    def begun(self) -> bool:
        """Whether the process has been told to end."""
        return self.heard_at != NEVER

    @property
    def exit_by(self) -> int:
        """When the process exits even if requests are open; only streamed answers may take longer."""
        return self._kill_at - RESERVE + LAST_WRITES if self.begun else NEVER

    @property
    def kill_at(self) -> int:
        """The earliest SIGKILL, if SIGTERM was received without delay; the limit for streamed answers."""
        return self._kill_at

    def settings_in_force(self, now: int, classes: Iterable[RequestClass]) -> bool:
        """Use the deadlines of these classes from now on; returns whether `answer_by` has changed."""
        if self._longest:
            self._replaced.append((now, self._longest))
        self._replaced = [entry for entry in self._replaced if now - entry[0] <= SETTINGS_OVERLAP]
        self._longest = max((klass.deadline for klass in classes), default=0)
        return self.begun and self._update_times()

    def begin(self, now: int) -> bool:
        """The process is told to end; only the first call counts. Returns whether `answer_by` has changed."""
        if self.begun:
            return False
        self.heard_at = now
        return self._update_times()

    def finish(self, now: int) -> None:
        """All requests are answered: refuse new ones from now on, as the process exits without waiting."""
        if self.begun:
            self.answer_by = min(self.answer_by, now)

    def _update_times(self) -> bool:
        """Recompute the times; as the platform may use any recent settings, the shortest deadline counts."""
        recent = [longest for at, longest in self._replaced if self.heard_at - at <= SETTINGS_OVERLAP]
        longest = min([self._longest, *recent], default=0)
        self._kill_at = min(self.heard_at + min(longest, LONGEST_COUNTED) + KILL_GRACE, self._kill_at)
        moved = self._kill_at - RESERVE < self.answer_by
        self.answer_by = min(self._kill_at - RESERVE, self.answer_by)
        return moved

    def limit(self, deadline: int) -> int:
        """The earlier of a request's deadline and that of the process."""
        return min(deadline, self.answer_by)

    def refuses(self, now: int) -> bool:
        """Whether requests that arrive now are refused."""
        return now >= self.answer_by

    def exit_due(self, now: int) -> bool:
        """Whether the process has to exit now, even if requests are open."""
        return now >= self.exit_by

    def answered(self, now: int, request_id: str) -> None:
        """Count an answer given so late that the process could have been killed before it."""
        if self.begun and now > self.exit_by + STANDSTILL:
            self.occurrences.broken(Invariant.ANSWER_BEFORE_END, request_id)

    def left_open(self, request_id: str) -> None:
        """Count a request that is still open as the process exits."""
        self.occurrences.broken(Invariant.NONE_OPEN_AT_END, request_id)

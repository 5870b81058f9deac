"""By when this process must have answered everything it took, once it has been told to end.

The platform ends a process on a clock of its own: SIGTERM, and SIGKILL as early as `KILL_GRACE` and the
longest deadline of the deployment (counted as `LONGEST_COUNTED` at most) after it. What is not answered by
then is lost, whatever time its client would have waited. `Termination` is the one place that knows that time;
whatever takes, forwards, repeats, copies, waits for or closes something gets the earlier of its own and it.

    SIGTERM heard             answer_by           exit_by                       SIGKILL at the earliest
       | requests are served      | what comes        | SIGNAL_DELAY, STANDSTILL   |
       |                          | is refused        | and EXIT in reserve        |

All times are nanoseconds on the process's monotonic clock. The figures are the protocol page's.
"""

from __future__ import annotations

from collections.abc import Iterable

from dykeshift.engine.invariants import Invariant, Occurrences
from dykeshift.interface import RequestClass

MILLISECOND = 1_000_000
KILL_GRACE = 700 * MILLISECOND  # from SIGTERM to SIGKILL, beside the longest deadline
LONGEST_COUNTED = 3_000 * MILLISECOND  # of the longest deadline: a longer one counts as this
SIGNAL_DELAY = 150 * MILLISECOND  # a process that is held up hears of SIGTERM so much later than it was sent
STANDSTILL = 150 * MILLISECOND  # it may be held up once more just before its last answers
LAST_WRITES = 50 * MILLISECOND  # for answers to what comes in the last moment
EXIT = 50 * MILLISECOND  # from the last answer until the interpreter has ended
RESERVE = SIGNAL_DELAY + STANDSTILL + LAST_WRITES + EXIT
SETTINGS_SETTLE = 6_000 * MILLISECOND  # the platform may go by settings for so long after their end
NEVER = (1 << 63) - 1  # later than any time of the clock


class Termination:
    """The time that the platform leaves this process; it only ever moves earlier."""

    def __init__(self, occurrences: Occurrences) -> None:
        self.occurrences = occurrences
        self.heard_at = NEVER  # when the process was first told to end
        self.answer_by = NEVER
        self._kill_at = NEVER
        self._longest = 0  # of the settings in force
        self._replaced: list[tuple[int, int]] = []  # when settings were replaced, and their longest deadline

    @property
    def begun(self) -> bool:
        """Whether the process has been told to end."""
        return self.heard_at != NEVER

    @property
    def exit_by(self) -> int:
        """When the process ends, whatever is still open but long answers on their way."""
        return self._kill_at - RESERVE + LAST_WRITES if self.begun else NEVER

    @property
    def kill_at(self) -> int:
        """The earliest SIGKILL, if the signal was heard at once; a long answer may use all of it."""
        return self._kill_at

    def settings_in_force(self, now: int, classes: Iterable[RequestClass]) -> bool:
        """Other classes from now on; says whether `answer_by` has moved."""
        if self._longest:
            self._replaced.append((now, self._longest))
        self._replaced = [one for one in self._replaced if now - one[0] <= SETTINGS_SETTLE]
        self._longest = max((one.deadline for one in classes), default=0)
        return self.begun and self._move()

    def begin(self, now: int) -> bool:
        """The process is told to end; only the first time counts. Says whether `answer_by` has moved."""
        if self.begun:
            return False
        self.heard_at = now
        return self._move()

    def finish(self, now: int) -> None:
        """All is answered: what still comes is refused, as the process ends without more waiting."""
        if self.begun:
            self.answer_by = min(self.answer_by, now)

    def _move(self) -> bool:
        """The platform may go by any settings of the last moments: the shortest of them counts."""
        recent = [longest for at, longest in self._replaced if self.heard_at - at <= SETTINGS_SETTLE]
        longest = min([self._longest, *recent], default=0)
        self._kill_at = min(self.heard_at + min(longest, LONGEST_COUNTED) + KILL_GRACE, self._kill_at)
        moved = self._kill_at - RESERVE < self.answer_by
        self.answer_by = min(self._kill_at - RESERVE, self.answer_by)
        return moved

    def limit(self, deadline: int) -> int:
        """The earlier of a request's own time and the process's."""
        return min(deadline, self.answer_by)

    def refuses(self, now: int) -> bool:
        """Whether what comes now is turned away unserved."""
        return now >= self.answer_by

    def exit_due(self, now: int) -> bool:
        """Whether the process ends now, whatever is still open."""
        return now >= self.exit_by

    def answered(self, now: int, request_id: str) -> None:
        """Count an answer that came so late that the process may have been killed before it."""
        if self.begun and now > self.exit_by + STANDSTILL:
            self.occurrences.broken(Invariant.ANSWER_BEFORE_END, request_id)

    def left_open(self, request_id: str) -> None:
        """Count a request that is open as the process ends."""
        self.occurrences.broken(Invariant.NONE_OPEN_AT_END, request_id)

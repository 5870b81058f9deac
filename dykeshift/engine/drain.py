"""One drain for SIGTERM, the operators' standby and an upgrade: a state machine without sockets or clock.

Serving: clients are taken. Draining: `/ready` says no; answers close their connections; what is idle is
closed; new connections are still served, as some come until everybody has noticed. Ending: the same, and
after LINGER nobody is accepted; when all is answered it is over. Once the longest deadline is over, too, what
is not whole yet is not waited for any more, and once it is over again nothing is. Standby and back may follow
each other at will; nothing takes an ending back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

KEPT = 0.4  # seconds of a drain in which idle connections may bring one more request, answered with a close
SILENT = 1.0  # seconds of a drain after which connections that never asked go too; new ones come for 0.3
LINGER = 0.6  # seconds after SIGTERM in which new connections still come


class State(Enum):
    SERVING = auto()
    DRAINING = auto()
    ENDING = auto()
    OVER = auto()


@dataclass(frozen=True, slots=True)
class Orders:
    """What is to be done now."""

    close_kept: bool = False  # idle connections that have been answered
    close_silent: bool = False  # also those on which nothing was ever asked
    stop_accepting: bool = False


class Drain:
    """Times are seconds on one clock that never runs backwards."""

    def __init__(self, shared: bool = False) -> None:
        """`shared`: another process accepts from the same listener, so nobody need wait for stragglers."""
        self.shared = shared
        self.state = State.SERVING
        self.yielding = False  # a later process of this balancer serves too: clients are to move to it
        self.since = 0.0
        self.longest = 0.0
        self.closed = False  # nobody is accepted any more

    @property
    def taking(self) -> bool:
        """Whether `/ready` may say yes."""
        return self.state is State.SERVING

    @property
    def keeping(self) -> bool:
        """Whether connections are kept after an answer."""
        return self.taking and not self.yielding

    @property
    def ending(self) -> bool:
        return self.state in (State.ENDING, State.OVER)

    def standby(self, now: float) -> None:
        if self.state is State.SERVING:
            self.state, self.since = State.DRAINING, now

    def active(self) -> bool:
        """Whether it could be taken back."""
        if self.ending:
            return False
        self.state = State.SERVING
        return True

    def terminate(self, now: float, longest: float) -> None:
        """`longest`: seconds that a request may take once it has come whole."""
        if not self.ending:
            self.state, self.since, self.longest = State.ENDING, now, longest

    def look(self, now: float, busy: bool, taken: bool = False) -> Orders:
        """Called every so often while it does not serve.

        `busy`: something that has begun to come is not answered. `taken`: the same of what has come whole, or
        may have; its client is owed an answer, and gets it within the longest deadline of its last byte.

        Once it is over nothing may come between: whoever ends the process does so in the same instant.
        """
        if self.taking:
            return Orders()
        age = now - self.since
        # Over at a look after the one that closed the listener: what came in between is seen first.
        if self.closed and age >= LINGER and not self._waits(age - LINGER, busy, taken):
            self.state = State.OVER
        self.closed = self.ending and (self.shared or age >= LINGER)
        return Orders(close_kept=age >= KEPT, close_silent=age >= SILENT, stop_accepting=self.closed)

    def _waits(self, late: float, busy: bool, taken: bool) -> bool:
        """Whether there is anything to wait for, so long after the last client may have come."""
        if late < self.longest:
            return busy
        return taken and late < 2 * self.longest

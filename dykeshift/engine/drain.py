"""One drain for SIGTERM, the operators' standby and an upgrade: a state machine without sockets or clock.

Serving: clients are taken. Draining: `/ready` says no; answers close their connections; what is idle is
closed; new connections are still served, as some come until everybody has noticed. Ending: the same, and
after LINGER nobody is accepted; it is over when all is answered, and in any case when the process has to end,
which `engine/termination.py` knows and the caller of `look` tells. Standby and back may follow each other at
will; nothing takes an ending back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

KEPT = 0.4  # seconds of a drain in which idle connections may bring one more request, answered with a close
SILENT = 1.0  # seconds of a drain after which connections that never asked go too; new ones come for 0.4
LINGER = 0.6  # seconds after SIGTERM in which new connections still come


class State(Enum):
    """How far a process is with letting go of its clients."""

    SERVING = auto()
    DRAINING = auto()
    ENDING = auto()
    OVER = auto()


class Hurry(Enum):
    """How much of its time an ending process has left."""

    NONE = auto()
    REFUSE = auto()  # nothing that comes now can be answered any more but with a refusal
    EXIT = auto()  # the process ends now


@dataclass(frozen=True, slots=True)
class Open:
    """What a look at the clients found that is not done."""

    busy: bool = False  # something that has begun to come is not answered
    silent: bool = False  # a connection that has never asked is there


@dataclass(frozen=True, slots=True)
class Orders:
    """What is to be done now."""

    close_kept: bool = False  # idle connections that have been answered
    close_silent: bool = False  # also those on which nothing was ever asked
    stop_accepting: bool = False
    refuse_unfinished: bool = False  # requests that have begun to come and are not whole


class Drain:
    """Times are seconds on one clock that never runs backwards."""

    def __init__(self, shared: bool = False) -> None:
        """`shared`: another process accepts from the same listener, so nobody need wait for stragglers."""
        self.shared = shared
        self.state = State.SERVING
        self.yielding = False  # a later process of this balancer serves too: clients are to move to it
        self.since = 0.0
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
        """Whether the process has been told to end."""
        return self.state in (State.ENDING, State.OVER)

    def standby(self, now: float) -> None:
        """Begin to drain, unless it does already."""
        if self.state is State.SERVING:
            self.state, self.since = State.DRAINING, now

    def active(self) -> bool:
        """Whether it could be taken back."""
        if self.ending:
            return False
        self.state = State.SERVING
        return True

    def terminate(self, now: float) -> None:
        """The process is told to end; nothing takes that back."""
        if not self.ending:
            self.state, self.since = State.ENDING, now

    def look(self, now: float, found: Open, hurry: Hurry = Hurry.NONE) -> Orders:
        """Called every so often while it does not serve.

        Once it is over nothing may come between: whoever ends the process does so in the same instant.
        """
        if self.taking:
            return Orders()
        age = now - self.since
        # Over at a look after the one that closed the listener: what came in between is seen first.
        done = self.closed and age >= LINGER and not found.busy and not (found.silent and age < SILENT)
        if self.ending and (done or hurry is Hurry.EXIT):
            self.state = State.OVER
        hurried = hurry is not Hurry.NONE
        self.closed = self.ending and (self.shared or age >= LINGER or hurried)
        return Orders(
            close_kept=age >= KEPT or hurried,
            close_silent=age >= SILENT or hurried,
            stop_accepting=self.closed,
            refuse_unfinished=hurried,
        )

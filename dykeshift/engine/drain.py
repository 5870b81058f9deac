"""The drain on SIGTERM, on an operator's standby and on an upgrade: a state machine without sockets or clock.

SERVING: normal operation. DRAINING: `/ready` answers 503, connections are closed after their next answer and
idle ones are closed; new connections are still served, as clients take some time to notice. ENDING: the same,
and after ACCEPT_GRACE no connection is accepted. OVER: all requests have been answered, or the process has to
exit now (`engine/termination.py` decides when, and the caller of `step` passes it on). Standby can be entered
and left any number of times; ENDING cannot be left.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

KEEP_ALIVE_GRACE = 0.4  # seconds of a drain in which an idle connection may send one more request
# Seconds of a drain until connections without any request are closed; new connections arrive for up to 0.4 s.
SILENT_GRACE = 1.0
ACCEPT_GRACE = 0.6  # seconds after SIGTERM in which new connections are still accepted


class State(Enum):
    """The state of the drain."""

    SERVING = auto()
    DRAINING = auto()
    ENDING = auto()
    OVER = auto()


class Urgency(Enum):
    """What the time left to an ending process allows."""

    NONE = auto()  # no restriction
    REFUSE = auto()  # new requests can only be refused
    EXIT = auto()  # the process has to exit now


@dataclass(frozen=True, slots=True)
class OpenConnections:
    """What is still open on the clients' connections."""

    busy: bool = False  # a request has been received, at least in part, and is not answered
    silent: bool = False  # there is a connection on which no request has been received


@dataclass(frozen=True, slots=True)
class Actions:
    """What the caller has to do now."""

    close_kept: bool = False  # close idle connections on which an answer has been sent
    close_silent: bool = False  # also close connections on which no request has been received
    stop_accepting: bool = False
    refuse_unfinished: bool = False  # refuse requests that have been received only in part


class Drain:
    """Times are seconds on a monotonic clock."""

    def __init__(self, shared: bool = False) -> None:
        """`shared`: another process also accepts from the listener, so this one may stop at once."""
        self.shared = shared
        self.state = State.SERVING
        self.yielding = False  # a newer process of this balancer also serves: clients should move to it
        self.since = 0.0  # when the current state was entered
        self.closed = False  # no connection is accepted any more

    @property
    def serving(self) -> bool:
        """Whether `/ready` may answer 200."""
        return self.state is State.SERVING

    @property
    def keeps_connections(self) -> bool:
        """Whether connections are kept open after an answer."""
        return self.serving and not self.yielding

    @property
    def ending(self) -> bool:
        """Whether the process has been told to end."""
        return self.state in (State.ENDING, State.OVER)

    def standby(self, now: float) -> None:
        """Start to drain, unless it is draining already."""
        if self.state is State.SERVING:
            self.state, self.since = State.DRAINING, now

    def active(self) -> bool:
        """Return to normal operation; returns whether that was possible."""
        if self.ending:
            return False
        self.state = State.SERVING
        return True

    def terminate(self, now: float) -> None:
        """Start the final drain, which cannot be cancelled."""
        if not self.ending:
            self.state, self.since = State.ENDING, now

    def step(self, now: float, found: OpenConnections, urgency: Urgency = Urgency.NONE) -> Actions:
        """Advance the state; called periodically while draining, with what was `found` open.

        When this sets OVER, the caller has to end the process without giving control to the event loop
        in between, so that no request is read that would not be answered.
        """
        if self.serving:
            return Actions()
        age = now - self.since
        # OVER only in a call after the one that closed the listener, so that `found` covers what was queued.
        done = (
            self.closed
            and age >= ACCEPT_GRACE
            and not found.busy
            and not (found.silent and age < SILENT_GRACE)
        )
        if self.ending and (done or urgency is Urgency.EXIT):
            self.state = State.OVER
        hurried = urgency is not Urgency.NONE
        self.closed = self.ending and (self.shared or age >= ACCEPT_GRACE or hurried)
        return Actions(
            close_kept=age >= KEEP_ALIVE_GRACE or hurried,
            close_silent=age >= SILENT_GRACE or hurried,
            stop_accepting=self.closed,
            refuse_unfinished=hurried,
        )

"""What goes in and out of the decision module: settings, events and actions. No logic.

All times are integers in nanoseconds on one clock that never runs backwards. Ids are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class Idempotency(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = auto()  # may run any number of times
    KEYED = auto()  # servers of one scope drop a repeat for a while
    UNSAFE = auto()  # must never run twice


class Scope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class ServerState(Enum):
    """A server as the list shows it."""

    READY = auto()
    DRAINING = auto()  # finishes what it has; send it nothing new
    GONE = auto()


class ListKind(Enum):
    """What an update of the list says."""

    FULL = auto()  # the whole list; whoever is not on it is gone
    CACHED = auto()  # the whole list as last seen before a restart, possibly stale
    DELTA = auto()  # changed entries only
    FAILED = auto()  # a call to discovery failed; the list held stays valid


class CallEnd(Enum):
    """How a call to discovery ended that brought no list."""

    BROKEN = auto()  # a watch that had been answered: it fell silent, was reset, or brought something unsound
    UNREACHED = auto()  # no connection to discovery came up
    UNANSWERED = auto()  # a first call that was turned away, or that nothing came of in its time


class Outcome(Enum):
    """How an attempt ended."""

    OK = auto()
    ERROR = auto()
    FULL = auto()  # turned away unseen
    TIMEOUT = auto()
    CONNECT_FAILED = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


# Ends that prove that nothing was executed.
NOT_RUN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: what is aimed at, and which repeats are allowed. Times in nanoseconds."""

    name: str
    aim: int  # an answer within this earns the full worth
    deadline: int  # what a client waits in all, over its tries
    worth: float
    late_share: float  # part of the worth that an answer between aim and deadline still earns
    idempotency: Idempotency
    scope: Scope
    window: int  # how long repeats of a keyed request are dropped
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer acts on. Times in nanoseconds."""

    classes: tuple[RequestClass, ...]
    balancers: int  # how many share this fleet
    zone: int
    ask_discovery: bool  # changes arrive only after a Watch
    ask_every: int  # how long one may go without asking; 0 where it need not ask
    attempt_limit: int
    copies_allowed: bool  # two attempts of one request may be out at once
    cancel_allowed: bool
    cold_share: float  # a fresh server starts at this share of its capacity or above
    cold_time: int  # and is warm after this at the latest
    overload_multiple: float  # a cold server sent more than this multiple of its present capacity
    overload_window: int  # for this long falls over
    answer_slack: int  # a final answer may come this long after the client's deadline
    step: int  # shortest time between two calls
    worth_by_work: bool = False  # worth counts for each unit of work, not for each request
    fairness: float = 0.0  # weight of the worst-served class, as a multiple of that of all requests
    retry_advice_limit: int = 0  # longest wait that a client respects; 0: advice does not reach clients
    retired: frozenset[int] = frozenset()  # places whose classes are not in force: docs/module.md


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of a list."""

    id: int
    zone: int
    cell: int
    kind: int
    state: ServerState
    weight: float  # relative size as far as discovery tells; 1 where it does not
    started: int  # clock time of its latest start; 0: long ago


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; its class is a place, an index in `Settings.classes`."""

    id: str
    klass: int
    deadline: int  # clock time at which the client gives up on this try
    cost_hint: int = 0  # expected work; 0: not told
    retry: bool = False
    attempts: int = 0  # the most that may be sent, where that is fewer than the settings' limit; 0: it is not
    tenant: int = 0
    key: str | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server said of its load; None for what it did not say."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """An attempt has come back. `latency` in nanoseconds, from its sending."""

    request_id: str
    attempt: int
    server: int
    outcome: Outcome
    latency: int
    final: bool  # the request is closed, by this or earlier
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to that server, as its next attempt."""

    request_id: str
    server: int
    timeout: int  # 0: until the client's deadline
    begin_by: int = 0  # not to become whole on the wire later than this; 0: as long as it is out


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call an attempt off."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and a retry does no harm."""

    request_id: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is said about its effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Give the token back with `on_timer` at that time or soon after."""

    token: str
    at: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to discovery's changes."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for people."""

    text: str


@dataclass(frozen=True, slots=True)
class Word:
    """What the fleet has agreed on beside the settings, as far as this instance knows."""

    out: frozenset[int] = frozenset()  # servers that get nothing new: out by hand elsewhere, or leaving
    preferred: frozenset[int] = frozenset()  # servers that go before others that are as idle
    closed: frozenset[str] = frozenset()  # classes that are turned away, by name
    doubtful: bool = False  # it can't know what the others act on: nothing that may have run goes out again


Action = Send | Cancel | Refuse | Fail | SetTimer | Watch | Log


@dataclass(frozen=True, slots=True)
class ServerList:
    """An update of the list of servers, or that it could not be had."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = field(default=())
    end: CallEnd = CallEnd.UNANSWERED  # of the call, where it failed

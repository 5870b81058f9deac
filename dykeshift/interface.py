"""Input and output of the decision module: settings, events and actions. No logic.

All times are integers in nanoseconds on one monotonic clock. Ids are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class Idempotency(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = auto()  # may run any number of times
    KEYED = auto()  # has an idempotency key: servers of one scope drop a repeat for a limited time
    UNSAFE = auto()  # must never run twice


class Scope(Enum):
    """The servers that share the keys of keyed requests, and so drop repeats of each other's."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class ServerState(Enum):
    """State of a server according to the list."""

    READY = auto()
    DRAINING = auto()  # finishes its requests; must not be sent new ones
    GONE = auto()


class ListKind(Enum):
    """Kind of an update of the list."""

    FULL = auto()  # the complete list; servers that are not in it are gone
    CACHED = auto()  # the complete list as stored before a restart, possibly stale
    DELTA = auto()  # changed entries only
    FAILED = auto()  # a call to discovery failed; the present list stays valid


class CallEnd(Enum):
    """How a call to discovery that returned no list ended."""

    BROKEN = auto()  # a watch that had returned a list: it fell silent, was reset, or sent something invalid
    UNREACHED = auto()  # no connection to discovery could be established
    UNANSWERED = auto()  # a call that was rejected, or timed out before its first answer


class Outcome(Enum):
    """How an attempt ended."""

    OK = auto()
    ERROR = auto()
    FULL = auto()  # rejected by the server without being processed
    TIMEOUT = auto()
    CONNECT_FAILED = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


# Outcomes that prove that the attempt was not executed.
NOT_RUN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its latency target and which repeats are allowed. Times in nanoseconds."""

    name: str
    aim: int  # an answer within this earns the full worth
    deadline: int  # how long a client waits in total, over all its tries
    worth: float
    late_share: float  # share of the worth that an answer between aim and deadline still earns
    idempotency: Idempotency
    scope: Scope
    window: int  # how long servers remember the key of a keyed request
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer. Times in nanoseconds."""

    classes: tuple[RequestClass, ...]
    balancers: int  # how many balancers share the servers
    zone: int
    ask_discovery: bool  # changes of the list arrive only after a `Watch`
    ask_every: int  # longest time without a call to discovery; 0 where none is needed
    attempt_limit: int
    copies_allowed: bool  # two attempts of one request may be in flight at the same time
    cancel_allowed: bool
    cold_share: float  # a server has at least this share of its capacity right after its start
    cold_time: int  # a server is warm after this time at the latest
    overload_multiple: float  # a cold server fails if sent more than this multiple of its present capacity
    overload_window: int  # for this long
    answer_slack: int  # a final answer may come this long after the client's deadline
    step: int  # shortest time between two calls of the module
    worth_by_work: bool = False  # worth is per unit of work instead of per request
    fairness: float = 0.0  # weight of the worst-served class in the goal, relative to that of all requests
    retry_advice_limit: int = 0  # longest wait that clients respect; 0: they are not told when to retry
    retired: frozenset[int] = frozenset()  # places whose classes are not in force: see docs/module.md
    # What `zone` is called in discovery's lists; empty: not stated. Not in the text that digests are made of.
    zone_name: str = field(default="", repr=False)
    # Of connections to servers; None: not stated. Not in that text either.
    keepalive: int | None = field(default=None, repr=False)  # until a server closes an idle one
    connect_timeout: int | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server in the list."""

    id: int
    zone: int
    cell: int
    kind: int
    state: ServerState
    weight: float  # relative size according to discovery; 1 if it does not say
    started: int  # time of its latest start; 0: long ago


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request. `klass` is the place of its class, an index in `Settings.classes`."""

    id: str
    klass: int
    deadline: int  # time at which the client gives up this try
    cost_hint: int = 0  # expected work; 0: unknown
    retry: bool = False
    attempts: int = 0  # limit of its attempts, if lower than that of the settings; 0: it is not
    receiving: bool = False  # its body is still coming: no server can begin it before `on_request_complete`
    tenant: int = 0
    key: str | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by a server; None for figures that it did not report."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of an attempt. `latency` in nanoseconds since it was sent."""

    request_id: str
    attempt: int
    server: int
    outcome: Outcome
    latency: int
    final: bool  # the request has its final answer, by this attempt or before
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to this server, as its next attempt."""

    request_id: str
    server: int
    timeout: int  # 0: until the client's deadline
    write_deadline: int = 0  # do not finish writing the request later than this; 0: no limit
    scope_bound: bool = False  # a repeat of a key: do not write it to a process whose scope is not certain


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the request was refused, and a retry does no harm."""

    request_id: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed and may or may not have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `on_timer` with this token at this time or soon after."""

    token: str
    at: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list at discovery."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class FleetAgreement:
    """What the fleet has agreed on besides the settings, as far as this instance knows."""

    excluded_servers: frozenset[int] = (
        frozenset()
    )  # servers that get nothing new: banned at another balancer, or leaving
    preferred: frozenset[int] = frozenset()  # servers that are preferred to other idle ones
    closed_classes: frozenset[str] = frozenset()  # names of classes whose requests are refused
    # This instance cannot know which settings the others use: nothing that may have run is sent again.
    settings_uncertain: bool = False


Action = Send | Cancel | Refuse | Fail | SetTimer | Watch | Log


@dataclass(frozen=True, slots=True)
class ServerList:
    """An update of the list of servers, or the failure of a call for it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = field(default=())
    end: CallEnd = CallEnd.UNANSWERED  # how the call failed, if it did

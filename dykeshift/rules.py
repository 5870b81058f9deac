"""All decisions of the balancer; its types, events and actions are in interface.py.

Redundant-to-Idle-Queue (RIQ): sample a few servers for a request. Send copies of a safe request to
those that look idle; send any other request once, to an idle server if there is one, else to a random
one. Cancel the other attempts at the first good answer. Every public method of `Balancer` is an event:
it takes the time and returns the actions to carry out.

"Our" and "this instance" mean one balancer process; several of them share the same servers.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from dykeshift.interface import NOT_RUN, Action, AttemptEnd, CallEnd, Cancel, Fail, Idempotency, ListKind
from dykeshift.interface import LoadReport, Outcome, Refuse, Request, RequestClass, Scope, Send, ServerEntry
from dykeshift.interface import ServerList, ServerState, SetTimer, Settings, Watch, FleetAgreement

# ---- sampling and the pool ----

# Servers sampled per request: enough to find an idle one, few enough to stay a sample.
SAMPLE_SIZE = 5
# Smallest pool, as a multiple of the sample size, that one instance samples from in a large fleet.
MIN_POOL_SAMPLES = 2
# Servers examined at most to find a sample. More would let the cost of a request grow with the fleet.
MAX_EXAMINED = 10 * SAMPLE_SIZE
# Sampling for a request with less time left than this multiple of its expected latency covers all examined
# servers, and the one expected to answer first is taken.
SHORT_TIME_LATENCY_FACTOR = 3.0

# ---- concurrency limits ----

# Attempts that all instances sampling from a server together allow at it before anything is known.
INITIAL_LIMIT = 4.0
# Below one, a limit is a share of the time. A failing server is still tried now and then.
MIN_LIMIT = 0.05
# A quick answer adds the first, divided by the number of instances that sample from the server (they all
# grow at once) and by the limit. A failure multiplies the limit by the second.
LIMIT_GROWTH, LIMIT_CUT_FACTOR = 2.0, 0.8
# Least relative growth of a limit below one per quick answer: two or three of them undo a cut.
MIN_RECOVERY_RATE = 0.1
# Share of the aim: only an answer within this raises a limit.
GROWTH_AIM_SHARE = 0.35
# The share above is multiplied by the first while servers warm up, so that slower answers raise limits, too;
# in an overload it is reduced by up to the second, so that only quicker ones do.
WARM_UP_GROWTH_FACTOR, OVERLOAD_GROWTH_CUT = 1.4, 0.3
# Share of the aim: an answer within this shows that the server can carry its current load.
QUICK_AIM_SHARE = 0.5

# ---- admission and load shedding ----

# Change of the admitted share for a quick and for a slow answer: it rises while a third are quick.
ADMISSION_STEP_UP, ADMISSION_STEP_DOWN = 0.1, 0.05
# Above one, quick answers in advance offset a few slow ones: an instance that gets few answers does not
# take a single slow one for an overload.
MAX_ADMISSION = 1.15
# Least admitted share: enough requests to notice that answers are quick again.
MIN_ADMISSION = 0.1
# Weight of one request in the overload estimate, and the share of requests that may find no server with
# free capacity without raising it. While it is raised, classes of low worth wait.
OVERLOAD_STEP, OVERLOAD_TOLERATED_SHARE = 0.02, 0.1
# Share of the aim between two samples for a request that found no server.
RECHECK_AIM_SHARE = 0.1
# Multiple of the expected latency: with less time than this left before the aim a request is not begun.
MIN_TIME_LATENCY_FACTOR = 2.0
# Share of the aim that a refused client is told to wait while all requests are admitted.
RETRY_ADVICE_AIM_SHARE = 0.05

# ---- latency estimates, idle servers and hedging ----

# Share of the aim assumed as a class's latency until answers tell. Twice that still leaves time to wait for
# a server.
INITIAL_LATENCY_AIM_SHARE = 0.25
# Weight of the newest sample in a running mean: about the last twenty samples count.
SMOOTHING_WEIGHT = 0.1
# The same for the means of a single server, which follow the last few answers.
SERVER_SMOOTHING_WEIGHT = 0.2
# Share of the aim: a server with a higher mean latency is not idle, whichever instance keeps it busy.
IDLE_AIM_SHARE = 0.45
# A server in our zone with up to this many of our attempts, and with up to this mean latency as a share of
# the aim, still counts as idle.
NEAR_MAX_IN_FLIGHT, NEAR_AIM_SHARE = 2, 0.3
# Reported utilization above which a server hardly ever is without a queue.
BUSY_UTILIZATION = 0.8
# Multiple of the expected latency after which an attempt gets a delayed copy (section VIII of the RIQ
# paper).
HEDGE_LATENCY_FACTOR = 1.3
# Share of the aim: no delayed copy before this, so that a second try still fits into the rest.
MIN_HEDGE_DELAY_AIM_SHARE = 0.4
# Multiple of the expected latency after which a copy is sent even if no server is idle.
FORCED_HEDGE_LATENCY_FACTOR = 4.0

# ---- slow start of cold servers ----

# Share of its estimated capacity that a server is certain to have, even if nothing is known of its kind.
CERTAIN_CAPACITY_SHARE = 0.5
# Standard deviations of the work in an overload window that the budget of a cold server leaves free.
WORK_DEVIATIONS = 4.5
# Share of that budget used at most, however large it is: the server may be a small one of its kind, and the
# requests may be large.
MAX_BUDGET_SHARE = 0.7
# Share of an overload window after which unused credit with a cold server lapses.
CREDIT_WINDOW_SHARE = 0.5
# Share of an overload window between two sweeps, which measure the request rate and drop servers that left.
SWEEP_WINDOW_SHARE = 0.25

# ---- ejection of a server for one class ----

# A class counts as hanging at a server from so many failures in a row, or without an answer for so many
# hedge delays.
HANG_THRESHOLD = 2
# The class then avoids the server for its aim, doubled with each further failure up to this many times.
MAX_BACKOFF_DOUBLINGS = 4

# ---- discovery calls ----

# Nanoseconds after which a balancer counts as informed of a change in discovery, received or not. The
# shares below are of this time, or of `Settings.ask_every` where that is shorter.
INFORMED_AFTER_NS = 6_000_000_000
# Watches that broke at the same moment are reopened spread over this share.
REOPEN_SPREAD_SHARE = 0.25
# Least and longest pause after no connection came up. Short, as such a call costs discovery no work.
UNREACHED_PAUSE_SHARES = 0.04, 0.33
# Least and longest time from the start of a call that was rejected immediately, and so left no work, to the
# next one.
REJECTED_PAUSE_SHARES = 0.1, 0.4
# The same after a call that timed out; the rest of the time is for the next connect and its answer.
UNANSWERED_PAUSE_SHARES = 0.5, 0.9
# A call that fails within this share was rejected immediately.
IMMEDIATE_END_SHARE = 0.05
# From so many unanswered calls in a row on, the pause after one is multiplied by the second.
FAILED_CALLS_BEFORE_BACKOFF, BACKOFF_FACTOR = 4, 2.0

# ---- outcomes ----

# Ends of attempts that were answered too late or not at all.
LATE_OUTCOMES = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)
# Ends that the server itself reported.
SERVER_ANSWERS = (Outcome.OK, Outcome.ERROR, Outcome.FULL)


# Restricts the first class to the repeats that both allow.
RestrictRepeats = Callable[[RequestClass, RequestClass], RequestClass]


@dataclass(slots=True)
class ClassState:
    """One class of requests at one server: a server may answer all other classes and hang on this one."""

    in_flight: int = 0
    silent_since: int = (
        0  # when an attempt last ended other than by a cancel, or the first one sent after that
    )
    failures: int = 0  # in a row
    backoff_until: int = 0


@dataclass(slots=True, eq=False)
class ClassRecord:
    """One class of requests: its terms, and what was learned of it.

    `states` has only servers with attempts of this class in flight or failures in a row. A server that is not
    in it is treated by the class like a new one.
    """

    klass: RequestClass  # of a retired class: restricted to what the class in force under its name allows
    mean_latency: float  # running mean of the latency of good answers
    sequence: int  # number in the order in which the classes came
    mean_cost_hint: float = 0.0  # running mean
    relative_worth: float = 1.0  # worth per unit of work, as a share of the highest of all classes
    retired: int = 0  # number of the settings change that retired it; 0: in force
    states: dict[Server, ClassState] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Server:
    """One server as this instance sees it."""

    entry: ServerEntry
    concurrency_limit: float  # our attempts at it at the same time; below one, a share of the time
    pool_rank: float  # the servers with the lowest ranks form the pool
    credit: float  # attempts that it may still be sent while cold
    credited_at_request: int  # value of `Balancer.arrived` when the credit was last increased
    in_flight: int = 0  # attempts that it works on or may work on: without `transfers`
    transfers: int = 0  # attempts whose request or answer is on its way, at the pace of clients
    limit_cut_at: int = 0
    ejected_until: int = 0
    mean_latency_share: float = 0.0  # running mean of its answers' latency, as a share of the aim
    answered_since_idle: bool = True  # has answered something since it last had none of our attempts
    silent_since: int = 0  # when it last answered, or was first sent something after that
    has_answered: bool = False  # since its start
    confirmed: bool = (
        True  # confirmed by a list received since our start; a cached one may be about its predecessor
    )
    latency_ratio: float = 1.0  # running mean of its answers' latency over the mean latency of their class
    report: LoadReport | None = None
    reported_at: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one server."""

    server: Server
    sent: int
    server_confirmed: bool  # the scope that the server belongs to is certain
    end: Outcome | None = None  # None: still in flight
    transferring: bool = False  # its request or its answer is on its way: no work for the server


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request until it is answered and all its attempts have ended."""

    request: Request
    klass: RequestClass
    record: ClassRecord  # of its class, as long as the request is open
    arrived: int
    max_attempts: int  # attempts allowed
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0  # attempts in flight
    closed: bool = False  # its final answer is given
    streaming: bool = False
    receiving: bool = False  # its body is still coming

    def first_possibly_run(self) -> Attempt | None:
        """The first attempt that may have run: it determines where and until when a repeat may be sent."""
        return next((a for a in self.attempts if a.end not in NOT_RUN), None)


@dataclass(frozen=True, slots=True)
class Placement:
    """The place of each class after a change of the settings, and which classes are new there."""

    classes: tuple[RequestClass, ...]
    retired: frozenset[int]  # places whose classes are not in force: held or free
    # Places of new classes, in the order given, each with the place of the last class of its name, if any.
    fresh: dict[int, int | None]


def assign_places(
    known: Sequence[RequestClass],
    recency: Sequence[float],
    wanted: Iterable[RequestClass],
    held: Collection[int],
) -> Placement:
    """Assigns places to the classes that are `wanted` in force from now on.

    A request names its class by a place, an index in `Settings.classes`. A place that is held, or in force
    before and after the change, means the same class before and after; all others are free. A class whose
    terms are unchanged returns to the place that still has them. Another class takes the free place of the
    last class of its name, else the one that has been out of force for longest. While more places are free
    than classes are in force, free ones at the end are dropped. So there are never more places than were in
    force or held at once.

    `known`: the class at each place so far. `recency`: one number a place, larger if it was in force later.
    `held`: places named by requests that are open or still to come.
    """
    in_force = dict.fromkeys(wanted)
    place_of = {one: place for place, one in enumerate(known)}
    kept = {place_of[one] for one in in_force if one in place_of}
    by_recency = sorted(range(len(known)), key=recency.__getitem__)
    latest = {known[place].name: place for place in by_recency}
    free = dict.fromkeys(place for place in by_recency if place not in kept and place not in held)
    arriving = [one for one in in_force if one not in place_of]

    chosen: dict[RequestClass, int] = {}
    for one in arriving:
        before = latest.get(one.name)
        if before in free:
            del free[before]
            chosen[one] = before
    classes = list(known)
    for one in arriving:
        if one not in chosen:
            chosen[one] = next(iter(free), len(classes))
            free.pop(chosen[one], None)
            if chosen[one] == len(classes):
                classes.append(one)
    for one, place in chosen.items():
        classes[place] = one

    while len(free) > len(in_force) and len(classes) - 1 in free:
        del free[len(classes) - 1]
        classes.pop()
    return Placement(
        classes=tuple(classes),
        retired=frozenset(range(len(classes))) - kept - set(chosen.values()),
        fresh={chosen[one]: latest.get(one.name) for one in arriving},
    )


class Balancer:
    """The decision module: each public method is an event, which takes the time and returns the actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []  # may be sent new requests
        self.pool: list[Server] = []  # the part of `ready` that this instance samples from
        self.cold: list[Server] = []  # may still be cold; all others stay warm
        self.banned: dict[int, int] = {}  # banned by an operator: since when
        self.agreement = FleetAgreement()  # what the fleet has agreed on
        self.ended_bans: dict[int, tuple[int, int]] = {}  # when the ban began and ended
        self.groups: dict[tuple[Scope, int], list[Server]] = {}  # `ready` by scope, filled on demand
        # Whether `ready` is in the order of ranks; whether some server is known from a cached list only.
        self.ready_is_sorted = self.has_unconfirmed = False
        # Requests since the start, and up to the last sweep (retries not counted); number of sweeps.
        self.arrived = self.arrived_at_sweep = self.sweeps = 0
        self.requests_per_window = 0.0  # requests in an overload window, running mean
        self.open: dict[str, OpenRequest] = {}
        # Indexed by place.
        self.records = [
            ClassRecord(c, c.aim * INITIAL_LATENCY_AIM_SHARE, n) for n, c in enumerate(settings.classes)
        ]
        self.records_in_force = list(self.records)  # in the order in which the classes came
        self.classes_created = len(self.records)
        self.settings_changes = 0
        self.server_replaced = False  # since the last sweep some server has restarted or left
        self.growth_latency_share = GROWTH_AIM_SHARE
        self.admitted_share = 1.0  # of requests: falls while most answers of the whole pool are slow
        # Overload estimate: rises while requests find no server with free capacity. Classes of less relative
        # worth than this wait.
        self.overload = 0.0
        self.attempts_in_flight = 0  # attempts in flight
        self.answered_share = 0.0  # share of the latest requests that a server answered
        self.watch_open, self.watch_opened_at = False, 0  # a watch of discovery is open; when it was begun
        self.failed_calls = 0  # calls in a row that discovery did not answer
        self.longest_aim = max((c.aim for c in settings.classes), default=0)
        self.started = 0
        # Capacity of the pool in warm servers, cold ones counted by their warmth; mean weight of `ready`.
        self.pool_capacity = self.mean_weight = 1.0
        self.terminating = False  # the process is to end: deadlines are its own, not the clients'
        self.pending_actions: list[Action] = []

    def _done(self) -> list[Action]:
        acts, self.pending_actions = self.pending_actions, []
        return acts

    # ---- settings ----

    def on_settings(
        self,
        now: int,
        settings: Settings,
        restrict_repeats: RestrictRepeats | None = None,
        held: Collection[int] = frozenset(),
    ) -> list[Action]:
        """Replaces the settings. All their classes are in force; `self.settings` has each at its place.

        A new class under a known name takes over what was learned of the previous one. `held`: places that
        requests may still come for, besides the places of open requests. `restrict_repeats`: if given, open
        requests, and requests that still come for a retired class, are restricted to what both their own
        terms and the new terms under the name of their class allow.
        """
        open_places = {item.request.klass for item in self.open.values()}
        recency = [float(record.retired or "inf") for record in self.records]
        placed = assign_places(self.settings.classes, recency, settings.classes, open_places.union(held))
        fresh = {n: self._inherit(placed.classes[n], before) for n, before in placed.fresh.items()}
        self.settings_changes += 1
        self.records = [fresh[n] if n in fresh else self.records[n] for n in range(len(placed.classes))]
        self.settings = replace(settings, classes=placed.classes, retired=placed.retired)
        terms = {c.name: c for c in settings.classes}
        for place, (klass, record) in enumerate(zip(placed.classes, self.records, strict=True)):
            record.klass = klass
            if place not in placed.retired:
                record.retired = 0
                continue
            record.retired, record.relative_worth = record.retired or self.settings_changes, 1.0
            if restrict_repeats is not None:
                record.klass = restrict_repeats(klass, terms.get(klass.name, klass))
        self.records_in_force = sorted(
            (record for record in self.records if not record.retired), key=lambda record: record.sequence
        )
        self.longest_aim = max((record.klass.aim for record in self.records_in_force), default=0)
        self._update_relative_worth()
        if restrict_repeats is not None:
            for item in self.open.values():
                item.klass = restrict_repeats(item.klass, terms.get(item.klass.name, item.klass))
                item.max_attempts = min(item.max_attempts, settings.attempt_limit)
        return self._done()

    def _inherit(self, klass: RequestClass, before: int | None) -> ClassRecord:
        """The record of a new class, with what was learned of its predecessor at the place `before`."""
        self.classes_created += 1
        if before is None:
            return ClassRecord(klass, klass.aim * INITIAL_LATENCY_AIM_SHARE, self.classes_created)
        known = self.records[before]
        failing = {
            server: ClassState(failures=state.failures, backoff_until=state.backoff_until)
            for server, state in known.states.items()
            if state.failures
        }
        return ClassRecord(
            klass, known.mean_latency, self.classes_created, known.mean_cost_hint, states=failing
        )

    def on_fleet_agreement(self, now: int, word: FleetAgreement) -> list[Action]:
        """What the fleet has agreed on besides the settings: the complete state, not a change."""
        out, self.agreement = self.agreement.excluded_servers, word
        if out != word.excluded_servers:
            self._rebuild_ready(now)
        return self._done()

    def on_termination(self, now: int, answer_by: int) -> list[Action]:
        """The process is to end: no request is answered later than `answer_by`.

        The deadlines of requests that come from now on respect it. May be called again with an earlier time.
        """
        self.terminating = True
        for item in list(self.open.values()):
            if item.closed or item.request.deadline <= answer_by:
                continue
            item.request = replace(item.request, deadline=answer_by)
            if not item.attempts_in_flight and not item.streaming:
                self._wait_for_capacity(now, item)  # the recheck already scheduled may come too late
        return self._done()

    # ---- the list of servers ----

    def on_start(self, now: int) -> list[Action]:
        """The first event: sets timers and, where the settings ask for it, opens a watch of discovery."""
        self.started = now
        if self.settings.ask_discovery:
            self._watch(now)
        return self.on_timer(now, "sweep")

    def on_discovery_moved(self, now: int) -> list[Action]:
        """Discovery has moved to another instance: it is called soon, regardless of earlier failed calls.

        As all balancers move at the same moment, the call is spread like the reopening of a broken watch.
        """
        self.failed_calls = 0
        if self.settings.ask_discovery:
            self._schedule_watch(now, CallEnd.BROKEN)
        return self._done()

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        """The list of servers, a change of it, or the failure of a call for it."""
        if update.kind is ListKind.FAILED:
            if self.settings.ask_discovery:
                self._schedule_watch(now, update.end)
            return self._done()
        if update.kind is not ListKind.CACHED:
            self.failed_calls = 0
        if update.kind is not ListKind.DELTA:
            listed = {e.id for e in update.entries}
            for server in self.servers.values():
                if server.entry.id not in listed:
                    server.entry = replace(server.entry, state=ServerState.GONE)
        # A server that is added later starts with the mean limit of the present ones.
        limits = [s.concurrency_limit for s in self.ready[:MAX_EXAMINED]]
        initial = INITIAL_LIMIT / self._instances_per_server(
            MIN_POOL_SAMPLES * SAMPLE_SIZE, len(update.entries)
        )
        limit = sum(limits) / len(limits) if limits else initial
        for entry in map(self._with_believed_start, update.entries):
            known = self.servers.get(entry.id)
            if known is None or entry.started > known.entry.started:  # a new process
                self.servers[entry.id] = self._new_server(entry, limit)
            else:
                known.entry = entry
        if self.has_unconfirmed or update.kind is ListKind.CACHED:
            self.has_unconfirmed = update.kind is ListKind.CACHED
            for server in self.servers.values():  # a delta, too, confirms all entries that it does not change
                server.confirmed = not self.has_unconfirmed
        self._rebuild_ready(now)
        return self._done()

    def _new_server(self, entry: ServerEntry, limit: float) -> Server:
        self.server_replaced = True
        return Server(entry, limit, self.random(), self.random(), self.arrived)

    def _rebuild_ready(self, now: int) -> None:
        """Determines the servers that the list and the operators allow to be sent to."""
        self.ready = [
            s
            for s in self.servers.values()
            if s.entry.state is ServerState.READY
            and s.entry.id not in self.banned
            and s.entry.id not in self.agreement.excluded_servers
        ]
        self.cold = [s for s in self.ready if self._cold(now, s)]
        self.groups, self.ready_is_sorted = {}, False
        self.mean_weight = sum(s.entry.weight for s in self.ready) / max(1, len(self.ready)) or 1.0
        self._rebuild_pool(now)

    # ---- bans by operators ----

    def on_ban(self, now: int, server: int) -> list[Action]:
        """Sends nothing new to the server until the ban ends, whether or not it is listed now."""
        self.banned.setdefault(server, now)
        self._rebuild_ready(now)
        return self._done()

    def on_ban_end(self, now: int, server: int) -> list[Action]:
        """Ends a ban. The server may have restarted meanwhile: cold until the list tells more."""
        since = self.banned.pop(server, None)
        if since is not None:
            self.ended_bans[server] = since, now
            known = self.servers.get(server)
            if known is not None and known.entry.started <= since:
                self.servers[server] = self._new_server(
                    self._with_believed_start(known.entry), known.concurrency_limit
                )
            self._rebuild_ready(now)
        return self._done()

    def _with_believed_start(self, entry: ServerEntry) -> ServerEntry:
        """The entry, started at the end of a ban if its start is from before: it may have restarted since."""
        since, until = self.ended_bans.get(entry.id, (0, 0))
        return replace(entry, started=until) if until and entry.started <= since else entry

    def excluded_count(self, now: int) -> int:
        """How many listed servers get nothing new now: banned, held out by the fleet, draining or ejected."""
        barred = self.agreement.excluded_servers | self.banned.keys()
        return sum(
            s.entry.id in barred or s.entry.state is ServerState.DRAINING or now < s.ejected_until
            for s in self.servers.values()
            if s.entry.state is not ServerState.GONE
        )

    def _schedule_watch(self, now: int, end: CallEnd) -> None:
        """Schedules the next watch, soon enough to receive a change before it counts as known here.

        The pause is random, as the calls of all balancers may fail at once. It is as long as that time
        allows, as a call that timed out leaves its work in discovery's queue. If all balancers call again
        sooner than that queue is worked off, every call in it has timed out before its turn and nobody ever
        gets a list; therefore the pause is longer after several unanswered calls in a row.
        """
        self.watch_open = False
        limit = min(INFORMED_AFTER_NS, self.settings.ask_every)
        since, factor = now, 1.0
        if end is CallEnd.BROKEN:
            low, high = 0.0, REOPEN_SPREAD_SHARE * (1 - 1 / self.settings.balancers)
        elif end is CallEnd.UNREACHED:
            low, high = UNREACHED_PAUSE_SHARES
        else:
            low, high = (
                REJECTED_PAUSE_SHARES
                if now - self.watch_opened_at < IMMEDIATE_END_SHARE * limit
                else UNANSWERED_PAUSE_SHARES
            )
            since, factor = (
                self.watch_opened_at,
                BACKOFF_FACTOR if self.failed_calls >= FAILED_CALLS_BEFORE_BACKOFF else 1.0,
            )
            self.failed_calls += 1
        at = since + int(limit * factor * (low + (high - low) * self.random()))
        self.pending_actions.append(SetTimer("watch", max(now + 1, at)))

    def _watch(self, now: int) -> None:
        if not self.watch_open:
            self.watch_open, self.watch_opened_at = True, now
            self.pending_actions.append(Watch())

    def _rebuild_pool(self, now: int) -> None:
        """Rebuilds the pool: no more servers than this instance has requests within the longest aim.

        So each is used about once in that time, which is how fast an overload can build up. If servers were
        used less often, what was learned of them (concurrency limit, latency, ejection) would be out of date,
        and nearly every request would need a new connection.
        """
        if not self.ready_is_sorted:
            self.ready.sort(key=lambda s: s.pool_rank)
            self.ready_is_sorted = True
        size = self.requests_per_window * self.longest_aim / self.settings.overload_window
        if self.sweeps < 2:  # there is no mean yet: the pool grows with twice the requests so far
            size = max(size, 2 * self.arrived * min(1.0, self.longest_aim / max(1, now - self.started)))
        self.pool = self.ready[: max(MIN_POOL_SAMPLES * SAMPLE_SIZE, int(size))]
        # Not below the share CERTAIN_CAPACITY_SHARE: rates measured before the whole fleet went cold at once
        # do not hold.
        pooled = set(self.pool) if self.cold and len(self.pool) < len(self.ready) else None
        missing = sum(1 - self._warmth(now, s) for s in self.cold if pooled is None or s in pooled)
        self.pool_capacity = max(len(self.pool) - missing, CERTAIN_CAPACITY_SHARE * len(self.pool), 1.0)

    def _instances_per_server(self, pool: int, ready: int) -> float:
        """How many instances sample from one server, if all have pools of this size.

        Only these share its capacity. Divided by all balancers of a large fleet, a concurrency limit would be
        so small that one slow answer ejects the server for seconds.
        """
        return max(1.0, self.settings.balancers * min(1.0, pool / max(1, ready)))

    # ---- sampling ----

    def _sample(self, now: int, item: OpenRequest) -> list[Server]:
        """Samples servers that this request may be sent to: up to SAMPLE_SIZE, at random without replacement.

        More if the request is short of time.
        """
        # Only few servers drop its repeats.
        bound = item.klass.idempotency is Idempotency.KEYED and item.first_possibly_run()
        pool = self._servers_in_scope(bound, item.klass.scope) if bound else self.pool
        picked, suspect, hanging, examined = (
            list[Server](),
            list[Server](),
            list[Server](),
            min(len(pool), MAX_EXAMINED),
        )
        most = examined if self._short_of_time(now, item) else SAMPLE_SIZE
        for i in range(examined):
            j = i + int(self.random() * (len(pool) - i))
            pool[i], pool[j] = pool[j], pool[i]
            if self._server_allowed(now, item, pool[i]):
                (
                    hanging
                    if self._hangs(now, item, pool[i])
                    else suspect
                    if self._suspect(now, item, pool[i])
                    else picked
                ).append(pool[i])
                if len(picked) == most:
                    break
        # A fault of most servers must not exclude them: suspect ones are used if they are more than half.
        return (
            picked if picked and len(suspect) * 2 <= examined else (picked + suspect or hanging)[:SAMPLE_SIZE]
        )

    def _servers_in_scope(self, anchor: Attempt, scope: Scope) -> list[Server]:
        """The ready servers that drop repeats of this attempt."""
        entry = anchor.server.entry
        place = {Scope.ALL: 0, Scope.ZONE: entry.zone, Scope.CELL: entry.cell}[scope]
        if (scope, place) not in self.groups:
            self.groups[scope, place] = [
                s
                for s in self.ready
                if scope is Scope.ALL or place == (s.entry.zone if scope is Scope.ZONE else s.entry.cell)
            ]
        return self.groups[scope, place]

    def _hangs(self, now: int, item: OpenRequest, server: Server) -> bool:
        """Whether this class gets no answers from the server, even if others do: it is the last resort."""
        state = item.record.states.get(server)
        if state is None or not state.in_flight:
            return False
        return (
            state.failures >= HANG_THRESHOLD
            or now - state.silent_since > HANG_THRESHOLD * HEDGE_LATENCY_FACTOR * self._expected(item)
        )

    def _suspect(self, now: int, item: OpenRequest, server: Server) -> bool:
        """Whether the server is slow, stalled or hung: others go first, for requests that are sent only once.

        A server that was slow lately would be overloaded by more.
        """
        silence = now - server.silent_since
        return (
            server.mean_latency_share > QUICK_AIM_SHARE
            and silence < item.klass.aim
            or (server.in_flight > 0 and silence > HEDGE_LATENCY_FACTOR * self._expected(item))
        )

    def _server_allowed(self, now: int, item: OpenRequest, server: Server) -> bool:
        """Whether the request may be sent to this server now."""
        if any(attempt.server is server for attempt in item.attempts):
            return False
        anchor, scope = item.first_possibly_run(), item.klass.scope
        if (
            anchor is not None
            and item.klass.idempotency is Idempotency.KEYED
            and (
                scope is Scope.CELL
                and server.entry.cell != anchor.server.entry.cell
                or scope is Scope.ZONE
                and server.entry.zone != anchor.server.entry.zone
            )
        ):
            return False
        # A class that hangs on some servers sends them only one trial after each back-off.
        state = item.record.states.get(server)
        if state is not None and now < state.backoff_until:
            return False
        # Without concurrency limits every server could hold more than it can finish in time.
        return (
            server.in_flight < server.concurrency_limit
            and now >= server.ejected_until
            and self._within_cold_budget(now, server)
        )

    def _attempt_allowed(self, now: int, item: OpenRequest) -> bool:
        """Whether the request may have one more attempt, at a server that `_server_allowed` accepts."""
        if item.closed or item.streaming or len(item.attempts) >= item.max_attempts:
            return False
        end = item.request.deadline
        if not item.klass.late_share:
            end = min(end, item.arrived + item.klass.aim)
        if (
            now >= end
            or (item.attempts_in_flight and not self.settings.copies_allowed)
            or not self._likely_to_finish(now, item)
        ):
            return False
        anchor = item.first_possibly_run()
        if anchor is None:
            return True
        if self.agreement.settings_uncertain:
            return False  # newer settings, known to others, may say that it must not run twice
        if item.klass.idempotency is Idempotency.SAFE:
            return True
        # Not confirmed: its address may belong by now to a server of another scope, which lacks the key.
        return (
            item.klass.idempotency is Idempotency.KEYED
            and anchor.server_confirmed
            and now < anchor.sent + item.klass.window
        )

    def _likely_to_finish(self, now: int, item: OpenRequest) -> bool:
        """Whether an attempt that begins now is likely to be answered before the process ends.

        An attempt that is cut off may have run, so its request could not be refused for a retry elsewhere.
        """
        return not self.terminating or now + self._expected(item) < item.request.deadline

    # ---- idle servers ----

    def _idle(self, now: int, server: Server) -> bool:
        """Whether the server is expected to process a request without delay."""
        near = server.entry.zone == self.settings.zone
        if (
            near
            and server.in_flight <= NEAR_MAX_IN_FLIGHT
            and server.has_answered
            and server.mean_latency_share <= NEAR_AIM_SHARE
        ):
            return not self._says_busy(server)  # a short queue costs less than the way to another zone
        if server.in_flight or not server.answered_since_idle or not server.has_answered:
            return False  # without an answer yet: after a start all servers would look idle to all balancers
        # The latency keeps many balancers, each with nothing in flight there, from copying into an overload.
        return server.mean_latency_share <= IDLE_AIM_SHARE and not self._says_busy(server)

    def _says_busy(self, server: Server) -> bool:
        report = server.report
        return report is not None and bool(report.queued or (report.utilization or 0.0) > BUSY_UTILIZATION)

    def _says_free(self, now: int, server: Server) -> bool:
        told = server.report is not None and server.report.utilization is not None
        recent = now - server.reported_at < self.settings.overload_window
        return told and recent and not self._says_busy(server)

    # ---- dispatch and hedging ----

    def on_request(self, now: int, request: Request) -> list[Action]:
        """A client's request. It gets one final answer: that of an attempt, `Refuse` or `Fail`."""
        record = self.records[request.klass]
        klass = record.klass
        most = request.attempts or self.settings.attempt_limit
        item = OpenRequest(request, klass, record, now, most, receiving=request.receiving)
        self.open[request.id] = item
        # Counting retries would enlarge the pool and fill the servers' connection tables.
        self.arrived += not request.retry
        if self.arrived == len(self.pool) and self.sweeps < 2:
            # A burst right after the start: the small initial pool would refuse some of its requests.
            self._rebuild_pool(now)
        self.answered_share *= 1 - SMOOTHING_WEIGHT
        # Limits per server adapt too slowly to an overload of the whole pool if each server is used seldom.
        admitted = self.random() < self.admitted_share and klass.name not in self.agreement.closed_classes
        (self._dispatch if admitted else self._answer_without_server)(now, item)
        return self._done()

    def _dispatch(self, now: int, item: OpenRequest) -> None:
        """Sends a request that has no attempt in flight, by RIQ, or lets it wait."""
        if not self._likely_to_finish(now, item):
            self._answer_without_server(now, item)
            return
        if (
            not self.attempts_in_flight
        ):  # our part of the overload is over, even if too few requests came since to show it
            self.overload *= 1 - 1 / self.settings.balancers
        shed = self.overload > item.record.relative_worth and not item.attempts
        sample = [] if shed else self._sample(now, item)
        # Requests shed here count as sent, so that a class of low worth that comes alone is not starved.
        if now == item.arrived:
            self.overload = min(
                1.0,
                max(
                    0.0,
                    self.overload + OVERLOAD_STEP * ((not sample and not shed) - OVERLOAD_TOLERATED_SHARE),
                ),
            )
        if not sample:
            self._wait_for_capacity(now, item)
            return
        new = [s for s in sample if not (s.has_answered or s.in_flight)]
        idle = [s for s in sample if self._idle(now, s)]
        if self.random() * len(sample) < len(new):
            # As often as by random choice: else the few that answered first would get everything.
            idle = new[:1]
        # Our zone first, otherwise in sample order.
        idle.sort(key=lambda s: s.entry.zone != self.settings.zone)
        if self.agreement.preferred:
            idle.sort(key=lambda s: s.entry.id not in self.agreement.preferred)
        copies = 1  # unless many servers are idle: a copy would take an idle one from the next request
        safe = (
            item.klass.idempotency is Idempotency.SAFE
            and self.settings.copies_allowed
            and not self.agreement.settings_uncertain
        )
        empty = [s for s in idle if not s.in_flight]
        if safe and len(empty) * 2 > SAMPLE_SIZE:
            idle, copies = empty, max(1, item.max_attempts - 1 - len(item.attempts))
        if self._short_of_time(now, item):
            # Take the server that is expected to answer first, after what it has of ours, idle or not.
            idle = sorted(
                (s for s in sample if s.has_answered), key=lambda s: s.latency_ratio * (1 + s.in_flight)
            )
        idle = idle[:copies]
        for server in idle or [sample[int(self.random() * len(sample))]]:
            self._send(now, item, server)
        self._schedule_hedge(now, item)

    def _short_of_time(self, now: int, item: OpenRequest) -> bool:
        return item.request.deadline - now < SHORT_TIME_LATENCY_FACTOR * self._expected(item)

    def _schedule_hedge(self, now: int, item: OpenRequest) -> None:
        """Schedules a delayed copy."""
        if item.klass.idempotency is not Idempotency.UNSAFE and self._attempt_allowed(now, item):
            wait = int(
                max(HEDGE_LATENCY_FACTOR * self._expected(item), MIN_HEDGE_DELAY_AIM_SHARE * item.klass.aim)
            )
            self.pending_actions.append(SetTimer("r:" + item.request.id, now + wait))

    def _expected(self, item: OpenRequest) -> float:
        """Expected latency: the mean of the class, scaled by the request's cost hint."""
        record, hint = item.record, item.request.cost_hint
        return record.mean_latency * (hint / record.mean_cost_hint if hint and record.mean_cost_hint else 1.0)

    def _hedge(self, now: int, item: OpenRequest) -> None:
        """Sends a delayed copy, so that a stalled server does not make all its requests late."""
        if self._attempt_allowed(now, item):
            sample = self._sample(now, item)
            copy = next((s for s in sample if self._idle(now, s)), None)
            last = max(a.sent for a in item.attempts)
            # The answer may be lost.
            if copy is None and now - last > FORCED_HEDGE_LATENCY_FACTOR * self._expected(item):
                copy = next(
                    (s for s in sample if s.mean_latency_share <= IDLE_AIM_SHARE and not self._says_busy(s)),
                    None,
                )
            if copy is not None:
                self._send(now, item, copy)
            self._schedule_hedge(now, item)

    def _send(self, now: int, item: OpenRequest, server: Server) -> None:
        scope_bound = self._depends_on_scope(item) and item.first_possibly_run() is not None
        attempt = Attempt(server, now, server.confirmed, transferring=item.receiving)
        item.attempts.append(attempt)
        item.attempts_in_flight += 1
        server.credit -= 1
        if attempt.transferring:
            server.transfers += 1
        else:
            self._begin_work(now, item, server)
        # An answer after the aim that is worth nothing is not waited for: this frees the server for others.
        timeout = 0 if item.klass.late_share else item.arrived + item.klass.aim - now
        # An attempt that waits for a connection or is half written must not be completed once servers may
        # have forgotten its key: neither a repeat after the first attempt, nor the first after a repeat.
        anchor = item.first_possibly_run() if item.klass.idempotency is Idempotency.KEYED else None
        begin_by = anchor.sent + item.klass.window if anchor else 0
        self.pending_actions.append(Send(item.request.id, server.entry.id, timeout, begin_by, scope_bound))

    def _begin_work(self, now: int, item: OpenRequest, server: Server) -> None:
        """The server may work on an attempt from now on, which takes one of its places."""
        self.attempts_in_flight += 1
        server.in_flight += 1
        if server.answered_since_idle and server.in_flight == 1:
            server.silent_since, server.answered_since_idle = now, False
        state = item.record.states.get(server)
        if state is None:
            item.record.states[server] = ClassState(1, now)
        else:
            state.in_flight += 1
            if state.in_flight == 1:
                state.silent_since = now

    def _end_work(self, item: OpenRequest, server: Server) -> None:
        """The server does not work on an attempt any more: its place is free."""
        self.attempts_in_flight -= 1
        server.in_flight -= 1
        state = item.record.states[server]
        state.in_flight -= 1
        if not (state.in_flight or state.failures):
            del item.record.states[server]

    @staticmethod
    def _depends_on_scope(item: OpenRequest) -> bool:
        """Whether only some of the servers drop repeats of this request."""
        return item.klass.idempotency is Idempotency.KEYED and item.klass.scope is not Scope.ALL

    def _wait_for_capacity(self, now: int, item: OpenRequest) -> None:
        """No server has free capacity: samples again soon, and gives up once the aim cannot be met."""
        need = int(MIN_TIME_LATENCY_FACTOR * self._expected(item))
        until = min(item.request.deadline - self.settings.step, item.arrived + item.klass.aim - need)
        barred = (self.banned or self.agreement.excluded_servers) and not self.ready
        if now >= until or not self._attempt_allowed(now, item) or barred:
            self._answer_without_server(now, item)
            return
        again = now + int(item.klass.aim * RECHECK_AIM_SHARE)
        self.pending_actions.append(SetTimer("r:" + item.request.id, max(now + 1, min(again, until))))

    # ---- answer, cancel, retry ----

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        """An attempt has ended: updates the estimates, and sends another attempt where that may help."""
        item = self.open.get(end.request_id)
        if item is None or end.attempt >= len(item.attempts) or item.attempts[end.attempt].end is not None:
            return []
        attempt = item.attempts[end.attempt]
        attempt.end = end.outcome
        item.attempts_in_flight -= 1
        self._record_end(now, item, attempt, end)
        if end.final and not item.closed:
            self._close(item)
        elif not item.closed and not item.attempts_in_flight:
            (self._dispatch if self._attempt_allowed(now, item) else self._answer_without_server)(now, item)
        self._forget(item)
        return self._done()

    def on_attempt_uncertain(self, now: int, request_id: str, attempt: int) -> list[Action]:
        """Another process may have taken over the server's address: the attempt's scope is not certain.

        Comes before anything of the attempt reaches that process where that can be told by then.
        """
        item = self.open.get(request_id)
        if item is not None and attempt < len(item.attempts) and self._depends_on_scope(item):
            item.attempts[attempt].server_confirmed = False
        return self._done()

    def on_stream_started(self, now: int, request_id: str, attempt: int) -> list[Action]:
        """A streamed answer has begun: its attempt gives the answer, the others are cancelled.

        The rest of it comes at the pace of its client, and is no work for the server.
        """
        item = self.open.get(request_id)
        if item is not None and not item.closed:
            item.streaming = True
            streamed = item.attempts[attempt]
            if not streamed.transferring:
                server, streamed.transferring = streamed.server, True
                server.transfers += 1
                server.silent_since, server.answered_since_idle = now, True
                self._end_work(item, server)
            self._cancel_others(item, attempt)
        return self._done()

    def on_request_complete(self, now: int, request_id: str) -> list[Action]:
        """The last byte has come of a request that was sent on meanwhile: a server may begin it now."""
        item = self.open.get(request_id)
        if item is not None and item.receiving:
            item.receiving = False
            for attempt in item.attempts:
                if attempt.end is None and attempt.transferring and not item.streaming:
                    attempt.transferring = False
                    attempt.server.transfers -= 1
                    self._begin_work(now, item, attempt.server)
        return self._done()

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        """The client has left and does not wait for the answer any more."""
        item = self.open.get(request_id)
        if item is not None and not item.closed:
            self._close(item)
        return self._done()

    def _close(self, item: OpenRequest) -> None:
        item.closed = True
        self._cancel_others(item, -1)
        self._forget(item)

    def _cancel_others(self, item: OpenRequest, keep: int) -> None:
        out = [n for n, a in enumerate(item.attempts) if a.end is None and n != keep]
        self.pending_actions += [Cancel(item.request.id, n) for n in out if self.settings.cancel_allowed]

    def _forget(self, item: OpenRequest) -> None:
        if item.closed and not item.attempts_in_flight:
            self.open.pop(item.request.id, None)

    def _answer_without_server(self, now: int, item: OpenRequest) -> None:
        """Gives a final answer without a server's: `Refuse` if a retry does no harm, else `Fail`."""
        kind = item.klass.idempotency
        everywhere = kind is Idempotency.KEYED and item.klass.scope is Scope.ALL
        known = (kind is Idempotency.SAFE or everywhere) and not self.agreement.settings_uncertain
        harmless = item.first_possibly_run() is None or known
        rid = item.request.id
        self.pending_actions.append(Refuse(rid, self._retry_after(item)) if harmless else Fail(rid))
        self._close(item)

    def _retry_after(self, item: OpenRequest) -> int:
        """When to retry: soon, while that can still be in time; later if few requests are admitted."""
        advice = item.klass.aim * RETRY_ADVICE_AIM_SHARE / min(1.0, self.admitted_share)
        return int(min(advice, self.settings.retry_advice_limit))

    # ---- what is learned from the end of an attempt ----

    def _record_end(self, now: int, item: OpenRequest, attempt: Attempt, end: AttemptEnd) -> None:
        server, record = attempt.server, item.record
        if attempt.transferring:
            server.transfers -= 1
        if not (attempt.transferring and end.outcome is Outcome.CANCELLED):  # that only tells of the client
            self._update_server(now, item, server, end)
            self._update_class_state(now, item, server, end)
        if not attempt.transferring:
            self._end_work(item, server)
        if end.report is not None:
            server.report, server.reported_at = end.report, now
        if end.outcome in SERVER_ANSWERS:
            server.silent_since, server.answered_since_idle = now, True
        if end.outcome is Outcome.OK:
            # It can do more than the guaranteed least.
            server.has_answered, server.credit = True, server.credit + CERTAIN_CAPACITY_SHARE
            server.latency_ratio += SERVER_SMOOTHING_WEIGHT * (
                min(end.latency / max(1, record.mean_latency), 4.0) - server.latency_ratio
            )
            record.mean_latency += SMOOTHING_WEIGHT * (end.latency - record.mean_latency)
            hint = item.request.cost_hint
            record.mean_cost_hint += (SMOOTHING_WEIGHT if record.mean_cost_hint else 1.0) * (
                hint - record.mean_cost_hint
            )
            self.answered_share += SMOOTHING_WEIGHT

    def _update_class_state(self, now: int, item: OpenRequest, server: Server, end: AttemptEnd) -> None:
        state = item.record.states.get(server)
        if state is None:
            state = ClassState(0, now)
        if end.outcome in SERVER_ANSWERS or end.outcome is Outcome.RESET:
            state.silent_since = now
        if end.outcome is Outcome.OK:
            state.failures, state.backoff_until = 0, 0
        elif end.outcome in (Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
            state.failures += 1
            if state.failures >= HANG_THRESHOLD:
                backoff = item.klass.aim * 2 ** min(state.failures - HANG_THRESHOLD, MAX_BACKOFF_DOUBLINGS)
                state.backoff_until = now + int(backoff * (0.5 + self.random()))
        if state.in_flight or state.failures:
            item.record.states[server] = state
        else:
            item.record.states.pop(server, None)

    def _update_server(self, now: int, item: OpenRequest, server: Server, end: AttemptEnd) -> None:
        """Adjusts the admitted share and the server's latency, concurrency limit and ejection."""
        share = end.latency / item.klass.aim
        quick = share <= QUICK_AIM_SHARE
        if end.outcome is Outcome.OK or share > server.mean_latency_share:
            server.mean_latency_share += SERVER_SMOOTHING_WEIGHT * (
                min(share, 2.0) - server.mean_latency_share
            )
        # A single stall, or a copy cancelled early, and no overload.
        stall = end.outcome in LATE_OUTCOMES and (quick or self._says_free(now, server))
        if end.outcome in LATE_OUTCOMES and not stall:
            self.admitted_share = max(MIN_ADMISSION, self.admitted_share - ADMISSION_STEP_DOWN)
        if end.outcome is Outcome.OK and quick:
            self.admitted_share = min(MAX_ADMISSION, self.admitted_share + ADMISSION_STEP_UP)
            if (
                server.in_flight > server.concurrency_limit - 1
                and share <= self.growth_latency_share
                and not self._says_busy(server)
            ):
                # A limit below one is a share of the time. It grows in proportion to itself, as it is cut,
                # however many instances there are.
                grow = LIMIT_GROWTH / self._instances_per_server(len(self.pool), len(self.ready))
                server.concurrency_limit += min(
                    max(MIN_RECOVERY_RATE, grow) * server.concurrency_limit, grow / server.concurrency_limit
                )
        elif not stall and end.outcome is not Outcome.NOT_SENT:
            # Errors count like late answers: quick errors would otherwise make the server look free.
            usual = item.record.mean_latency
            # One slow phase affects all attempts at it: it counts once.
            if now - server.limit_cut_at >= usual:
                server.limit_cut_at = now
                server.concurrency_limit = max(MIN_LIMIT, server.concurrency_limit * LIMIT_CUT_FACTOR)
            ejection = max(end.latency, usual) * (1 / server.concurrency_limit - 1)
            if end.outcome is Outcome.FULL:
                # It rejects immediately, so it would always look like the freest server.
                ejection = max(ejection, usual)
            if end.outcome is Outcome.CONNECT_FAILED:
                # Dead, or all its connections are taken by other balancers: left to them.
                server.pool_rank += 1
                self.ready_is_sorted = False
            # A limit below one: ejects the server for a time, so that one attempt of each of many balancers
            # does not overload it.
            server.ejected_until = max(server.ejected_until, now + int(ejection))

    # ---- slow start of cold servers ----

    def _cold(self, now: int, server: Server) -> bool:
        return server.entry.started > 0 and now < server.entry.started + self.settings.cold_time

    def _warmth(self, now: int, server: Server) -> float:
        """The least share of its full capacity that a server has by now."""
        if not self._cold(now, server):
            return 1.0
        cold = self.settings.cold_share
        return cold + (1 - cold) * max(0, now - server.entry.started) / self.settings.cold_time

    def _within_cold_budget(self, now: int, server: Server) -> bool:
        """Whether a cold server may be sent one more attempt without all balancers together overloading it.

        Credit grows with each request. A warm server answers some amount of work on average; of that amount
        times `overload_multiple` times its warmth the cold server gets, from each instance, at most the part
        that `_usable_budget_share` returns, and so no more than that part from all together. Credit starts at
        random, so that instances whose share is far below one attempt a window take turns. Unused credit
        lapses.
        """
        if not self._cold(now, server):
            return True
        # Not 0, or no server would get a first attempt.
        served = max(self.answered_share, INITIAL_LIMIT / self.settings.balancers)
        rate = self.settings.overload_multiple * self._warmth(now, server) * served
        rate *= server.entry.weight / self.mean_weight / self.pool_capacity
        rate *= self._usable_budget_share(
            rate * self.requests_per_window * self._instances_per_server(len(self.pool), len(self.ready))
        )
        server.credit += rate * (self.arrived - server.credited_at_request)
        server.credited_at_request = self.arrived
        most = 1 + rate * self.requests_per_window * CREDIT_WINDOW_SHARE
        if server.credit > most:
            server.credit = most if most > 2 else server.credit % 1
        return server.credit >= 1

    @staticmethod
    def _usable_budget_share(limit: float) -> float:
        """The part u of a budget of `limit` requests a window that may be used in spite of random variation.

        Solves u + WORK_DEVIATIONS x sqrt(u / limit) = 1 for u: the second term is the variation of the work
        of that many requests with exponentially distributed sizes. WORK_DEVIATIONS is one and a half times
        what those need, as real sizes may vary more and are unknown.
        """
        deviation = float(WORK_DEVIATIONS / max(limit, 1.0) ** 0.5)
        return min(MAX_BUDGET_SHARE, float((deviation * deviation + 4) ** 0.5 - deviation) ** 2 / 4)

    # ---- timers ----

    def on_timer(self, now: int, token: str) -> list[Action]:
        """A timer has fired; tokens of requests that are answered are ignored."""
        if token == "sweep":
            self._sweep(now)
            self.pending_actions.append(
                SetTimer("sweep", now + int(self.settings.overload_window * SWEEP_WINDOW_SHARE))
            )
        elif token == "watch":
            self._watch(now)
        elif token.startswith("r:"):
            item = self.open.get(token[2:])
            if item is not None and not item.closed:
                (self._hedge if item.attempts_in_flight else self._dispatch)(now, item)
        return self._done()

    def _sweep(self, now: int) -> None:
        """Updates the request rate, the pool and the overload response, and drops servers that left."""
        self.sweeps += 1
        weight = max(SMOOTHING_WEIGHT, 1 / max(1, self.sweeps - 1))  # a plain mean of the first few sweeps
        self.requests_per_window += weight * (
            (self.arrived - self.arrived_at_sweep) / SWEEP_WINDOW_SHARE - self.requests_per_window
        )
        self.arrived_at_sweep = self.arrived
        self.cold = [s for s in self.cold if self._cold(now, s)]
        self._rebuild_pool(now)
        # In an overload only quicker answers raise limits, which would otherwise grow until all servers are
        # overloaded. While servers warm up, more capacity is on its way, and larger limits bridge that time.
        self.growth_latency_share = GROWTH_AIM_SHARE * (
            WARM_UP_GROWTH_FACTOR if self.cold else 1 - OVERLOAD_GROWTH_CUT * self.overload
        )
        self._update_relative_worth()
        # Nothing tells us of an overload, but others may see one, and all would admit at once.
        if not self.attempts_in_flight:
            self.admitted_share += max(0.0, 1 - self.admitted_share) / self.settings.balancers
        self.ended_bans = {
            n: ban for n, ban in self.ended_bans.items() if now < ban[1] + self.settings.cold_time
        }
        count = len(self.servers)
        if len(self.ready) < count:
            self.servers = {
                n: s
                for n, s in self.servers.items()
                if s.entry.state is not ServerState.GONE or s.in_flight or s.transfers or self._cold(now, s)
            }
        if self.server_replaced or len(self.servers) < count:
            self._drop_stale_states()

    def _drop_stale_states(self) -> None:
        """Drops class states of servers that left or restarted, unless attempts are still in flight there."""
        self.server_replaced = False
        for record in self.records:
            for server, state in list(record.states.items()):
                if self.servers.get(server.entry.id) is not server:
                    if state.in_flight:
                        self.server_replaced = True  # checked again in the next sweep
                    else:
                        del record.states[server]

    def _update_relative_worth(self) -> None:
        """Worth of each class per unit of work; the more `fairness` weighs, the less the classes differ."""
        in_force, by_work = self.records_in_force, self.settings.worth_by_work
        worths = [max(record.klass.worth, 1e-9) for record in in_force]
        costs = [1.0 if by_work else record.mean_latency for record in in_force]
        cost, worth = sum(costs), sum(worths)
        per_work = [one / costs[n] * cost / worth for n, one in enumerate(worths)]
        fair, best = self.settings.fairness * len(in_force), max(per_work, default=1.0)
        for record, one in zip(in_force, per_work, strict=True):
            record.relative_worth = min(1.0, (one + fair) / best)

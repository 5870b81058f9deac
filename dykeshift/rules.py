"""All decisions of the balancer; its types, events and actions are in interface.py.

Redundant-to-Idle-Queue (RIQ): draw a few servers for a request, copy a safe request to those
that look idle, else send it once to a random one of them; cancel the losers at the first good
answer. Every public method takes the time and returns the actions to carry out.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from dykeshift.interface import NOT_RUN, Action, AttemptEnd, CallEnd, Cancel, Fail, Idempotency, ListKind
from dykeshift.interface import LoadReport, Outcome, Refuse, Request, RequestClass, Scope, Send, ServerEntry
from dykeshift.interface import ServerList, ServerState, SetTimer, Settings, Watch, Word

POOL_LEAST = 2  # times DRAW: the smallest part of a large fleet that one instance draws from
DRAW = 5  # servers sampled per request: enough to find an idle one, few enough to stay a sample
LOOK = 10 * DRAW  # servers looked at for them: more would cost more with each server of the fleet
HOLD_SHARE = 0.1  # of the aim: how long a request with nowhere to go waits between two looks
ADVICE_SHARE = 0.05  # of the aim: how long a refused client is to stay away while all are let in
GOOD_SHARE = 0.5  # of the aim: an answer within this shows that the server carries what it has
GROW, CUT = 2.0, 0.8  # room grows by this over those who draw, who all grow at once; shrinks on failures
ADMIT_UP, ADMIT_DOWN = 0.1, 0.05  # for a quick answer, for a slow one: up while a third are quick
MOST_ADMIT = 1.15  # quick answers in hand for a few slow ones: where each answer is rare, one is no jam
LEAST_ADMIT = 0.1  # enough to notice that answers are quick again
REGROW = 0.1  # of a room below one, at the least, for each quick answer: two or three undo a cut
CALM = 0.45  # of the aim: a server whose answers lately took longer is not idle, whoever keeps it busy
EASY = 0.35  # of the aim: only answers within this make a room grow
PATIENCE = 1.3  # times the usual latency: an attempt out for longer gets a delayed copy (paper, VIII)
FIRST_GUESS = 0.25  # of the aim: usual latency until answers tell; twice it still leaves time to hold
NEED = 2.0  # times the usual latency: with less than this left before the aim a request is not begun
OVERDUE = 4.0  # times the usual latency: from then on a copy goes out though none is idle
WAIT_SHARE = 0.4  # of the aim: no delayed copy before this, a second try still fits into the rest
ROOM = 4.0  # what all that draw from a server together trust it with before anything is known
LEAST_ROOM = 0.05  # below one, a share of the time: a failing server is still tried now and then
SAFETY = 0.5  # of what it bears a server is sure to bear, also where nothing is known of its like
CHANCE = 4.5  # standard deviations of the work in a window that the cold budget leaves free
MOST_USED = 0.7  # of the cold budget, at any size: a small server of its kind, large requests
LAPSE = 0.5  # of an overload window: credit with a cold server is kept no longer
SMOOTH = 0.1  # weight of the newest sample in a running mean: about the last twenty samples count
NEAR_MOST, NEAR_PACE = 2, 0.3  # ours at a near server, its pace: up to these it still counts as idle
TIGHT = 3.0  # times the usual latency: with less than this left all are drawn and the quickest goes first
SOFTER, HARDER = 1.4, 0.3  # rooms grow on slower answers while servers warm up, on quicker ones in a crowd
CROWD_STEP, CROWD_FREE = 0.02, 0.1  # one request's weight; part that may find no room before others wait
BUSY = 0.8  # utilization reported: hardly ever without a queue
PACE_SMOOTH = 0.2  # the same for one server's pace: it follows the last few answers
HUNG = 2  # failures of a class in a row at a server, or times its patience, from which it hangs there
LONGEST = 4  # doublings of the aim: the longest such rest
TOLD = 6_000_000_000  # nanoseconds after which what discovery has counts as told, be it heard or not
SPREAD = 0.25  # of that: within so much of it all those begin anew whose watches broke in one moment
UNREACHED = 0.04, 0.33  # of that: least and longest pause where no connection came up: that is nobody's work
TURNED_AWAY = 0.1, 0.4  # of that: from a call that was turned away AT_ONCE, and left no work, to the next
UNANSWERED = 0.5, 0.9  # of that: from one that waited in vain to the next; the rest is for connect and answer
AT_ONCE = 0.05  # of that: an end so soon is no wait
JAM, JAMMED = 4, 2.0  # calls in vain, one after another, from which on these pauses are so much longer
SWEEP_SHARE = 0.25  # of the overload window: how often capacity is measured and forgotten servers are dropped
LATE = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)  # ends that came too late or not at all
ANSWERS = (Outcome.OK, Outcome.ERROR, Outcome.FULL)  # ends that came from the server itself


Narrower = Callable[[RequestClass, RequestClass], RequestClass]  # the first with what both allow


@dataclass(slots=True)
class ClassState:
    """One class of requests at one server: what answers all others may hang on one."""

    out: int = 0
    quiet_since: int = 0  # its last end but for cancels, or what it was first sent after that
    failures: int = 0  # in a row
    rest_until: int = 0


@dataclass(slots=True, eq=False)
class ClassRecord:
    """One class of requests: its terms, and what was learned of it.

    `states` has only servers with attempts of this class out or failures in a row: without one, a server is
    as good as new to the class.
    """

    klass: RequestClass  # of a retired class: with no more than what the one in force of its name allows
    usual: float  # running mean of good answers' latency
    since: int  # in the order in which the classes came
    hint: float = 0.0  # running mean of the cost hints
    value: float = 1.0  # worth per work, as a share of the dearest class's
    retired: int = 0  # which change of the settings retired it; 0: in force
    states: dict[Server, ClassState] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Server:
    """One server as this instance sees it."""

    entry: ServerEntry
    room: float  # how many of our attempts it has shown it carries at once
    rank: float  # the servers that rank lowest are the pool
    credit: float  # attempts that it may be sent while cold
    credited: int  # requests that its credit has grown with
    in_flight: int = 0
    cut_at: int = 0
    rest_until: int = 0
    pace: float = 0.0  # running mean of its answers' latency, as a share of the aim
    answered: bool = True  # has answered something since it was last idle of ours
    quiet_since: int = 0  # its last answer, or what it was first sent after that
    heard: bool = False  # has answered since its start
    sure: bool = True  # a list from this life says so; one from before may show who lived there then
    ratio: float = 1.0  # running mean of its answers' latency over the usual one of their class
    report: LoadReport | None = None
    reported: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """A request at a server."""

    server: Server
    sent: int
    sure: bool  # it was known which scope the server belongs to
    end: Outcome | None = None  # None: still out


@dataclass(slots=True, eq=False)
class Open:
    """A request until it is answered and all its attempts have come back."""

    request: Request
    klass: RequestClass
    record: ClassRecord  # of its class, as long as it is open
    arrived: int
    most: int  # attempts
    attempts: list[Attempt] = field(default_factory=list)
    live: int = 0
    closed: bool = False
    streaming: bool = False

    def anchor(self) -> Attempt | None:
        """The first attempt that may have run: it binds where and until when a repeat may go."""
        return next((a for a in self.attempts if a.end not in NOT_RUN), None)


@dataclass(frozen=True, slots=True)
class Placement:
    """At which places the classes stand after a change of the settings, and which of them are new there."""

    classes: tuple[RequestClass, ...]
    retired: frozenset[int]  # places that are held or free
    fresh: dict[int, int | None]  # new classes in the order given; where the last of the name stood, if any


def assign_places(
    known: Sequence[RequestClass],
    recency: Sequence[float],
    wanted: Iterable[RequestClass],
    held: Collection[int],
) -> Placement:
    """Places for the classes that are `wanted` in force from now on.

    A request names its class by a place, an index in `Settings.classes`. A place that is held, or in force
    before and after the change, means the same class before and after; all others are free. The very same
    terms come back to the place that still has them. A free place is taken by the next class of its name,
    else by another once it has been out of force for longest; free ones at the end that outnumber the classes
    in force are dropped. So there are never more places than were in force or held at once.

    `known`: the class at each place so far. `recency`: of each place, the larger the later it was in force.
    `held`: places that requests under way or still to come name.
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
        self.ready: list[Server] = []  # those that run
        self.pool: list[Server] = []  # those of them that this instance keeps in touch with
        self.cold: list[Server] = []  # those that may be cold; the others are warm for good
        self.banned: dict[int, int] = {}  # out by hand, since when
        self.word = Word()  # what the fleet has agreed on
        self.returned: dict[int, tuple[int, int]] = {}  # put back by hand: when the ban began and ended
        self.groups: dict[tuple[Scope, int], list[Server]] = {}  # ready ones by scope, made when asked for
        self.sorted = self.unsure = False  # `ready` is in the order of ranks; some server is not sure
        self.arrived = self.swept = self.sweeps = 0  # requests since the start, until the last sweep; sweeps
        self.arrivals = 0.0  # requests in an overload window, running mean
        self.open: dict[str, Open] = {}
        self.records = [
            ClassRecord(c, c.aim * FIRST_GUESS, n) for n, c in enumerate(settings.classes)
        ]  # by place
        self.live = list(self.records)  # of the classes in force, in the order in which they came
        self.came = len(self.records)  # classes since the start
        self.changes = 0  # of the settings
        self.replaced = False  # some server is another one, or gone, since the last sweep
        self.easy = EASY
        self.admit = 1.0  # part of the requests let in: falls while most answers of the whole pool are slow
        self.crowd = 0.0  # rises while requests find no server with room; classes worth less than this wait
        self.out = 0  # attempts that have not come back
        self.yielded = 0.0  # part of the latest requests that a server answered
        self.watching, self.asked = False, 0  # a call is out that goes on by itself; when it was begun
        self.in_vain = 0  # calls in a row that discovery did not answer
        self.longest_aim = max((c.aim for c in settings.classes), default=0)
        self.started = 0
        self.whole = self.mean_weight = 1.0  # of the pool: servers, cold ones by their warmth; listed size
        self.terminating = False  # the process is told to end: deadlines are its own, and not the clients'
        self.acts: list[Action] = []

    def _done(self) -> list[Action]:
        acts, self.acts = self.acts, []
        return acts

    # ---- settings ----

    def on_settings(
        self,
        now: int,
        settings: Settings,
        narrower: Narrower | None = None,
        held: Collection[int] = frozenset(),
    ) -> list[Action]:
        """Others from now on, all their classes in force; `self.settings` then has these at their places.

        A class that comes under a known name has what was learned of the one before it. `narrower`: requests
        under way keep of their own terms only what those of their class's name allow from now on, too, and
        so do those that come for a class which is not in force any more. `held`: places that requests may
        come for, beside those that requests under way have.
        """
        under_way = {item.request.klass for item in self.open.values()}
        recency = [float(record.retired or "inf") for record in self.records]
        placed = assign_places(self.settings.classes, recency, settings.classes, under_way.union(held))
        fresh = {n: self._inherit(placed.classes[n], before) for n, before in placed.fresh.items()}
        self.changes += 1
        self.records = [fresh[n] if n in fresh else self.records[n] for n in range(len(placed.classes))]
        self.settings = replace(settings, classes=placed.classes, retired=placed.retired)
        terms = {c.name: c for c in settings.classes}
        for place, (klass, record) in enumerate(zip(placed.classes, self.records, strict=True)):
            record.klass = klass
            if place not in placed.retired:
                record.retired = 0
                continue
            record.retired, record.value = record.retired or self.changes, 1.0
            if narrower is not None:
                record.klass = narrower(klass, terms.get(klass.name, klass))
        self.live = sorted(
            (record for record in self.records if not record.retired), key=lambda record: record.since
        )
        self.longest_aim = max((record.klass.aim for record in self.live), default=0)
        self._appraise()
        if narrower is not None:
            for item in self.open.values():
                item.klass = narrower(item.klass, terms.get(item.klass.name, item.klass))
                item.most = min(item.most, settings.attempt_limit)
        return self._done()

    def _inherit(self, klass: RequestClass, before: int | None) -> ClassRecord:
        """Of a class that is new, with what was learned at the place `before` of the one before it."""
        self.came += 1
        if before is None:
            return ClassRecord(klass, klass.aim * FIRST_GUESS, self.came)
        known = self.records[before]
        failing = {
            server: ClassState(failures=state.failures, rest_until=state.rest_until)
            for server, state in known.states.items()
            if state.failures
        }
        return ClassRecord(klass, known.usual, self.came, known.hint, states=failing)

    def on_word(self, now: int, word: Word) -> list[Action]:
        """What the fleet has agreed on beside the settings, from now on; whole, not a change."""
        out, self.word = self.word.out, word
        if out != word.out:
            self._sort_out(now)
        return self._done()

    def on_termination(self, now: int, answer_by: int) -> list[Action]:
        """The process is told to end: no request is answered later than `answer_by`.

        Requests that come from now on have that in their deadline. May be told again, with an earlier time.
        """
        self.terminating = True
        for item in list(self.open.values()):
            if item.closed or item.request.deadline <= answer_by:
                continue
            item.request = replace(item.request, deadline=answer_by)
            if not item.live and not item.streaming:
                self._hold(now, item)  # the look that was planned may come too late
        return self._done()

    # ---- the list of servers ----

    def on_start(self, now: int) -> list[Action]:
        """The first event: timers are set, and discovery is asked where it has to be."""
        self.started = now
        if self.settings.ask_discovery:
            self._watch(now)
        return self.on_timer(now, "sweep")

    def on_discovery_moved(self, now: int) -> list[Action]:
        """Another discovery answers from now on: asked soon, whatever pause the old one's failures had left.

        All balancers move at once, and the call is as a broken watch's.
        """
        self.in_vain = 0
        if self.settings.ask_discovery:
            self._ask_later(now, CallEnd.BROKEN)
        return self._done()

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        """The list of servers, changes of it, or that a call for it has failed."""
        if update.kind is ListKind.FAILED:
            if self.settings.ask_discovery:
                self._ask_later(now, update.end)
            return self._done()
        if update.kind is not ListKind.CACHED:
            self.in_vain = 0
        if update.kind is not ListKind.DELTA:
            listed = {e.id for e in update.entries}
            for server in self.servers.values():
                if server.entry.id not in listed:
                    server.entry = replace(server.entry, state=ServerState.GONE)
        rooms = [s.room for s in self.ready[:LOOK]]  # one that comes later is trusted like those there
        first = ROOM / self._sharing(POOL_LEAST * DRAW, len(update.entries))
        room = sum(rooms) / len(rooms) if rooms else first
        for entry in map(self._believed, update.entries):
            known = self.servers.get(entry.id)
            if known is None or entry.started > known.entry.started:  # a new process: what was known is void
                self.servers[entry.id] = self._new(entry, room)
            else:
                known.entry = entry
        if self.unsure or update.kind is ListKind.CACHED:
            self.unsure = update.kind is ListKind.CACHED
            for server in self.servers.values():  # changes alone say, too, that all else is as it was
                server.sure = not self.unsure
        self._sort_out(now)
        return self._done()

    def _new(self, entry: ServerEntry, room: float) -> Server:
        self.replaced = True
        return Server(entry, room, self.random(), self.random(), self.arrived)

    def _sort_out(self, now: int) -> None:
        """Which of the servers may be sent to, as the list and the operators say."""
        self.ready = [
            s
            for s in self.servers.values()
            if s.entry.state is ServerState.READY
            and s.entry.id not in self.banned
            and s.entry.id not in self.word.out
        ]
        self.cold = [s for s in self.ready if self._cold(now, s)]
        self.groups, self.sorted = {}, False
        self.mean_weight = sum(s.entry.weight for s in self.ready) / max(1, len(self.ready)) or 1.0
        self._gather(now)

    # ---- out by hand ----

    def on_ban(self, now: int, server: int) -> list[Action]:
        """Nothing new to it until the ban ends, whatever the list says, be it listed now or not."""
        self.banned.setdefault(server, now)
        self._sort_out(now)
        return self._done()

    def on_ban_end(self, now: int, server: int) -> list[Action]:
        """It may have started anew at any moment of the ban: cold since now, until the list says more."""
        since = self.banned.pop(server, None)
        if since is not None:
            self.returned[server] = since, now
            known = self.servers.get(server)
            if known is not None and known.entry.started <= since:
                self.servers[server] = self._new(self._believed(known.entry), known.room)
            self._sort_out(now)
        return self._done()

    def _believed(self, entry: ServerEntry) -> ServerEntry:
        """A start from before a ban by hand may be older than the server that came back from it."""
        since, until = self.returned.get(entry.id, (0, 0))
        return replace(entry, started=until) if until and entry.started <= since else entry

    def avoided(self, now: int) -> int:
        """How many servers of the list get nothing new at this instant, by hand or by choice."""
        barred = self.word.out | self.banned.keys()
        return sum(
            s.entry.id in barred or s.entry.state is ServerState.DRAINING or now < s.rest_until
            for s in self.servers.values()
            if s.entry.state is not ServerState.GONE
        )

    def _ask_later(self, now: int, end: CallEnd) -> None:
        """A pause before the next watch: what there is to tell is heard before it counts as told.

        Spread, as all may fail at once, and as long as that allows: a call that waited in vain leaves its
        work in discovery's queue. While all balancers repeat sooner than that queue is worked off, every call
        in it is dead before its turn, and none ever gets a list: then it has to take longer.
        """
        self.watching = False
        limit = min(TOLD, self.settings.ask_every)
        since, jam = now, 1.0
        if end is CallEnd.BROKEN:
            low, high = 0.0, SPREAD * (1 - 1 / self.settings.balancers)
        elif end is CallEnd.UNREACHED:
            low, high = UNREACHED
        else:
            low, high = TURNED_AWAY if now - self.asked < AT_ONCE * limit else UNANSWERED
            since, jam = self.asked, JAMMED if self.in_vain >= JAM else 1.0
            self.in_vain += 1
        at = since + int(limit * jam * (low + (high - low) * self.random()))
        self.acts.append(SetTimer("watch", max(now + 1, at)))

    def _watch(self, now: int) -> None:
        if not self.watching:
            self.watching, self.asked = True, now
            self.acts.append(Watch())

    def _gather(self, now: int) -> None:
        """The pool: no more servers than this instance has requests for in the longest aim.

        Each is met about once in that time, in which a jam can form. Met more seldom, what was learned of a
        server is no longer true: rooms, paces and rests follow what was, and a connection is dialled for
        nearly every request.
        """
        if not self.sorted:
            self.ready.sort(key=lambda s: s.rank)
            self.sorted = True
        met = self.arrivals * self.longest_aim / self.settings.overload_window
        if self.sweeps < 2:  # twice what came so far: without a mean yet, the pool has to grow as they come
            met = max(met, 2 * self.arrived * min(1.0, self.longest_aim / max(1, now - self.started)))
        self.pool = self.ready[: max(POOL_LEAST * DRAW, int(met))]
        # Not under SAFETY of them: a fleet that went cold at once did not serve what was measured before.
        pooled = set(self.pool) if self.cold and len(self.pool) < len(self.ready) else None
        lacking = sum(1 - self._warmth(now, s) for s in self.cold if pooled is None or s in pooled)
        self.whole = max(len(self.pool) - lacking, SAFETY * len(self.pool), 1.0)

    def _sharing(self, pool: int, ready: int) -> float:
        """How many instances draw from one server, where all have pools of this size.

        They alone share what it carries: by all of a large tier, a room would be so small that one slow
        answer keeps the server away for seconds.
        """
        return max(1.0, self.settings.balancers * min(1.0, pool / max(1, ready)))

    # ---- draw ----

    def _draw(self, now: int, item: Open) -> list[Server]:
        """Up to DRAW servers at random without replacement, of those that this request may go to."""
        bound = item.klass.idempotency is Idempotency.KEYED and item.anchor()  # few drop its repeats
        pool = self._group(bound, item.klass.scope) if bound else self.pool
        picked, aside, hung, looks = list[Server](), list[Server](), list[Server](), min(len(pool), LOOK)
        most = looks if self._tight(now, item) else DRAW
        for i in range(looks):
            j = i + int(self.random() * (len(pool) - i))
            pool[i], pool[j] = pool[j], pool[i]
            if self._allowed(now, item, pool[i]):
                (
                    hung
                    if self._hangs(now, item, pool[i])
                    else aside
                    if self._suspect(now, item, pool[i])
                    else picked
                ).append(pool[i])
                if len(picked) == most:
                    break
        # A trouble of the whole fleet must not shut it out: more than half are never left aside.
        return picked if picked and len(aside) * 2 <= looks else (picked + aside or hung)[:DRAW]

    def _group(self, anchor: Attempt, scope: Scope) -> list[Server]:
        """Those ready that drop repeats of what this attempt did."""
        entry = anchor.server.entry
        place = {Scope.ALL: 0, Scope.ZONE: entry.zone, Scope.CELL: entry.cell}[scope]
        if (scope, place) not in self.groups:
            self.groups[scope, place] = [
                s
                for s in self.ready
                if scope is Scope.ALL or place == (s.entry.zone if scope is Scope.ZONE else s.entry.cell)
            ]
        return self.groups[scope, place]

    def _hangs(self, now: int, item: Open, server: Server) -> bool:
        """Whether this class gets no answers there, whatever others get: left to the last."""
        state = item.record.states.get(server)
        if state is None or not state.out:
            return False
        return state.failures >= HUNG or now - state.quiet_since > HUNG * PATIENCE * self._expected(item)

    def _suspect(self, now: int, item: Open, server: Server) -> bool:
        """A slow, stalled or hung server: left aside, so that it does not take the lone requests."""
        quiet = now - server.quiet_since  # slow lately: others first, it would be driven into a jam
        return (
            server.pace > GOOD_SHARE
            and quiet < item.klass.aim
            or (server.in_flight > 0 and quiet > PATIENCE * self._expected(item))
        )

    def _allowed(self, now: int, item: Open, server: Server) -> bool:
        if any(attempt.server is server for attempt in item.attempts):
            return False
        anchor, scope = item.anchor(), item.klass.scope
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
        # Prevents a class that hangs on some servers from feeding them: one trial after each rest.
        state = item.record.states.get(server)
        if state is not None and now < state.rest_until:
            return False
        # Room prevents the jam in which every server holds more than it can finish in time.
        return server.in_flight < server.room and now >= server.rest_until and self._cold_room(now, server)

    def _may_send(self, now: int, item: Open) -> bool:
        """Whether one more attempt breaks no rule, to a server that _allowed lets through."""
        if item.closed or item.streaming or len(item.attempts) >= item.most:
            return False
        end = item.request.deadline
        if not item.klass.late_share:
            end = min(end, item.arrived + item.klass.aim)
        if now >= end or (item.live and not self.settings.copies_allowed) or not self._finishes(now, item):
            return False
        anchor = item.anchor()
        if anchor is None:
            return True
        if self.word.doubtful:
            return False  # others may know by now that it must not run twice
        if item.klass.idempotency is Idempotency.SAFE:
            return True
        # Unsure: its address may belong to a server of another scope by now, which knows no such key.
        return (
            item.klass.idempotency is Idempotency.KEYED
            and anchor.sure
            and now < anchor.sent + item.klass.window
        )

    def _finishes(self, now: int, item: Open) -> bool:
        """Whether an attempt that begins now is likely to be answered before the process ends.

        What is begun for nothing may run, and its client could not be told to try elsewhere.
        """
        return not self.terminating or now + self._expected(item) < item.request.deadline

    # ---- idle ----

    def _idle(self, now: int, server: Server) -> bool:
        near = server.entry.zone == self.settings.zone
        if near and server.in_flight <= NEAR_MOST and server.heard and server.pace <= NEAR_PACE:
            return not self._says_busy(server)  # to wait behind another costs less here than to cross rooms
        if server.in_flight or not server.answered or not server.heard:
            return False  # heard: at a start all would read idle to everyone at once
        # Pace prevents many balancers, each with nothing there, from copying into a jam.
        return server.pace <= CALM and not self._says_busy(server)

    def _says_busy(self, server: Server) -> bool:
        report = server.report
        return report is not None and bool(report.queued or (report.utilization or 0.0) > BUSY)

    def _says_free(self, now: int, server: Server) -> bool:
        told = server.report is not None and server.report.utilization is not None
        recent = now - server.reported < self.settings.overload_window
        return told and recent and not self._says_busy(server)

    # ---- copy or lone send ----

    def on_request(self, now: int, request: Request) -> list[Action]:
        """A client asks. It gets one final answer: of an attempt, `Refuse` or `Fail`."""
        record = self.records[request.klass]
        klass = record.klass
        most = request.attempts or self.settings.attempt_limit
        item = self.open[request.id] = Open(request, klass, record, now, most)
        self.arrived += not request.retry  # retries would enlarge the pool, and fill every connection table
        if self.arrived == len(self.pool) and self.sweeps < 2:
            self._gather(now)  # many requests: a start with few servers would refuse some of them
        self.yielded *= 1 - SMOOTH
        # A jam of the whole pool: rooms of single servers learn too slowly where each is met seldom.
        taken = self.random() < self.admit and klass.name not in self.word.closed
        (self._place if taken else self._give_up)(now, item)
        return self._done()

    def _place(self, now: int, item: Open) -> None:
        """RIQ for a request that has nothing out."""
        if not self._finishes(now, item):
            self._give_up(now, item)
            return
        if not self.out:  # its share of the crowd is over, however few came since to show it
            self.crowd *= 1 - 1 / self.settings.balancers
        dear = self.crowd > item.record.value and not item.attempts
        drawn = [] if dear else self._draw(now, item)
        if now == item.arrived:  # those made to wait count as well placed: low classes alone are not starved
            self.crowd = min(1.0, max(0.0, self.crowd + CROWD_STEP * ((not drawn and not dear) - CROWD_FREE)))
        if not drawn:
            self._hold(now, item)
            return
        new = [s for s in drawn if not (s.heard or s.in_flight)]
        idle = [s for s in drawn if self._idle(now, s)]
        if self.random() * len(drawn) < len(new):
            idle = new[:1]  # first contact as often as by random choice: else the few heard first keep all
        idle.sort(key=lambda s: s.entry.zone != self.settings.zone)  # near before far, otherwise as drawn
        if self.word.preferred:
            idle.sort(key=lambda s: s.entry.id not in self.word.preferred)
        copies = 1  # unless idle servers are plenty: a copy would take one from the next request
        safe = (
            item.klass.idempotency is Idempotency.SAFE
            and self.settings.copies_allowed
            and not self.word.doubtful
        )
        empty = [s for s in idle if not s.in_flight]
        if safe and len(empty) * 2 > DRAW:
            idle, copies = empty, max(1, item.most - 1 - len(item.attempts))
        if self._tight(now, item):
            # Idle enough is who is done in time behind what it has of ours: a quick one rather than a slow.
            idle = sorted((s for s in drawn if s.heard), key=lambda s: s.ratio * (1 + s.in_flight))
        idle = idle[:copies]
        for server in idle or [drawn[int(self.random() * len(drawn))]]:
            self._send(now, item, server)
        self._watch_over(now, item)

    def _tight(self, now: int, item: Open) -> bool:
        return item.request.deadline - now < TIGHT * self._expected(item)

    def _watch_over(self, now: int, item: Open) -> None:
        if item.klass.idempotency is not Idempotency.UNSAFE and self._may_send(now, item):
            wait = int(max(PATIENCE * self._expected(item), WAIT_SHARE * item.klass.aim))
            self.acts.append(SetTimer("r:" + item.request.id, now + wait))

    def _expected(self, item: Open) -> float:
        record, hint = item.record, item.request.cost_hint
        return record.usual * (hint / record.hint if hint and record.hint else 1.0)

    def _copy_late(self, now: int, item: Open) -> None:
        """The delayed copy: prevents a stalled server from taking with it all that it holds."""
        if self._may_send(now, item):
            drawn = self._draw(now, item)
            copy = next((s for s in drawn if self._idle(now, s)), None)
            last = max(a.sent for a in item.attempts)
            if copy is None and now - last > OVERDUE * self._expected(item):  # its answer may be lost
                copy = next((s for s in drawn if s.pace <= CALM and not self._says_busy(s)), None)
            if copy is not None:
                self._send(now, item, copy)
            self._watch_over(now, item)

    def _send(self, now: int, item: Open, server: Server) -> None:
        item.attempts.append(Attempt(server, now, server.sure))
        item.live += 1
        self.out += 1
        server.in_flight += 1
        if server.answered and server.in_flight == 1:
            server.quiet_since, server.answered = now, False
        server.credit -= 1
        state = item.record.states.get(server)
        if state is None:
            item.record.states[server] = ClassState(1, now)
        else:
            state.out += 1
            if state.out == 1:
                state.quiet_since = now
        # What is late and worth nothing is called off at the aim: the server is freed for those in time.
        timeout = 0 if item.klass.late_share else item.arrived + item.klass.aim - now
        # What waits, for a connect or half written, must not become whole when its key may be forgotten: a
        # repeat after the first, nor the first after a repeat.
        anchor = item.anchor() if item.klass.idempotency is Idempotency.KEYED else None
        begin_by = anchor.sent + item.klass.window if anchor else 0
        self.acts.append(Send(item.request.id, server.entry.id, timeout, begin_by))

    def _hold(self, now: int, item: Open) -> None:
        """Nowhere to go: look again soon, and answer before an answer stops being worth waiting for."""
        need = int(NEED * self._expected(item))  # what it will take: later than this it cannot be in time
        until = min(item.request.deadline - self.settings.step, item.arrived + item.klass.aim - need)
        barred = (self.banned or self.word.out) and not self.ready
        if now >= until or not self._may_send(now, item) or barred:
            self._give_up(now, item)
            return
        again = now + int(item.klass.aim * HOLD_SHARE)
        self.acts.append(SetTimer("r:" + item.request.id, max(now + 1, min(again, until))))

    # ---- answer, cancel, retry ----

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        """An attempt has come back: learned from, and followed by another where that may help."""
        item = self.open.get(end.request_id)
        if item is None or end.attempt >= len(item.attempts) or item.attempts[end.attempt].end is not None:
            return []
        attempt = item.attempts[end.attempt]
        attempt.end = end.outcome
        item.live -= 1
        self.out -= 1
        self._learn(now, item, attempt.server, end)
        if end.final and not item.closed:
            self._close(item)
        elif not item.closed and not item.live:
            (self._place if self._may_send(now, item) else self._give_up)(now, item)
        self._forget(item)
        return self._done()

    def on_stream_started(self, now: int, request_id: str, attempt: int) -> list[Action]:
        """A long answer has begun: its attempt is the one that counts, whatever else comes."""
        item = self.open.get(request_id)
        if item is not None and not item.closed:
            item.streaming = True
            self._cancel_others(item, attempt)
        return self._done()

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        """Nobody waits for the answer any more."""
        item = self.open.get(request_id)
        if item is not None and not item.closed:
            self._close(item)
        return self._done()

    def _close(self, item: Open) -> None:
        item.closed = True
        self._cancel_others(item, -1)
        self._forget(item)

    def _cancel_others(self, item: Open, keep: int) -> None:
        out = [n for n, a in enumerate(item.attempts) if a.end is None and n != keep]
        self.acts += [Cancel(item.request.id, n) for n in out if self.settings.cancel_allowed]

    def _forget(self, item: Open) -> None:
        if item.closed and not item.live:
            self.open.pop(item.request.id, None)

    def _give_up(self, now: int, item: Open) -> None:
        """The final answer that no server gave: refused where that is true to the client, else failed."""
        kind = item.klass.idempotency
        everywhere = kind is Idempotency.KEYED and item.klass.scope is Scope.ALL
        known = (kind is Idempotency.SAFE or everywhere) and not self.word.doubtful
        harmless = item.anchor() is None or known
        rid = item.request.id
        self.acts.append(Refuse(rid, self._advice(item)) if harmless else Fail(rid))
        self._close(item)

    def _advice(self, item: Open) -> int:
        """When to come back: soon, while a retry can still be in time; later the fewer are let in."""
        advice = item.klass.aim * ADVICE_SHARE / min(1.0, self.admit)
        return int(min(advice, self.settings.retry_advice_limit))

    # ---- health ----

    def _learn(self, now: int, item: Open, server: Server, end: AttemptEnd) -> None:
        self._judge(now, item, server, end)
        server.in_flight -= 1
        record = item.record
        state = record.states[server]
        self._judge_class_state(now, item, state, end)
        if not (state.out or state.failures):
            del record.states[server]
        if end.report is not None:
            server.report, server.reported = end.report, now
        if end.outcome in ANSWERS:
            server.quiet_since, server.answered = now, True
        if end.outcome is Outcome.OK:
            server.heard, server.credit = True, server.credit + SAFETY  # it does more than it must by now
            server.ratio += PACE_SMOOTH * (min(end.latency / max(1, record.usual), 4.0) - server.ratio)
            record.usual += SMOOTH * (end.latency - record.usual)
            hint = item.request.cost_hint
            record.hint += (SMOOTH if record.hint else 1.0) * (hint - record.hint)
            self.yielded += SMOOTH

    def _judge_class_state(self, now: int, item: Open, state: ClassState, end: AttemptEnd) -> None:
        state.out -= 1
        if end.outcome in ANSWERS or end.outcome is Outcome.RESET:
            state.quiet_since = now
        if end.outcome is Outcome.OK:
            state.failures, state.rest_until = 0, 0
        elif end.outcome in (Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
            state.failures += 1
            if state.failures >= HUNG:
                rest = item.klass.aim * 2 ** min(state.failures - HUNG, LONGEST)
                state.rest_until = now + int(rest * (0.5 + self.random()))

    def _judge(self, now: int, item: Open, server: Server, end: AttemptEnd) -> None:
        share = end.latency / item.klass.aim
        quick = share <= GOOD_SHARE
        if end.outcome is Outcome.OK or share > server.pace:
            server.pace += PACE_SMOOTH * (min(share, 2.0) - server.pace)
        stall = end.outcome in LATE and (quick or self._says_free(now, server))  # or withdrawn early
        if end.outcome in LATE and not stall:
            self.admit = max(LEAST_ADMIT, self.admit - ADMIT_DOWN)
        if end.outcome is Outcome.OK and quick:
            self.admit = min(MOST_ADMIT, self.admit + ADMIT_UP)
            if server.in_flight > server.room - 1 and share <= self.easy and not self._says_busy(server):
                # A room below one is a share of the time and grows in proportion, as it is cut, at any size.
                grow = GROW / self._sharing(len(self.pool), len(self.ready))
                server.room += min(max(REGROW, grow) * server.room, grow / server.room)
        elif not stall and end.outcome is not Outcome.NOT_SENT:
            # Errors count like lateness: quick ones would else make the server look free.
            usual = item.record.usual
            if now - server.cut_at >= usual:  # one slow spell shows on all attempts it held: it counts once
                server.cut_at = now
                server.room = max(LEAST_ROOM, server.room * CUT)
            rest = max(end.latency, usual) * (1 / server.room - 1)
            if end.outcome is Outcome.FULL:
                rest = max(rest, usual)  # its refusals come at once and would keep it the freest of all
            if end.outcome is Outcome.CONNECT_FAILED:
                server.rank += 1  # dead, or its connections are all taken by others: left to them
                self.sorted = False
            # Less than one at a time: many balancers with one attempt each do not jam a server.
            server.rest_until = max(server.rest_until, now + int(rest))

    # ---- cold budget ----

    def _cold(self, now: int, server: Server) -> bool:
        return server.entry.started > 0 and now < server.entry.started + self.settings.cold_time

    def _warmth(self, now: int, server: Server) -> float:
        """Least share of its capacity that a server has by now."""
        if not self._cold(now, server):
            return 1.0
        cold = self.settings.cold_share
        return cold + (1 - cold) * max(0, now - server.entry.started) / self.settings.cold_time

    def _cold_room(self, now: int, server: Server) -> bool:
        """Whether a cold server may be sent one more attempt: rule 4 over any number of balancers.

        Credit grows with each request, so that the server gets from each instance at most a part of
        multiple x warmth of the work that one of its servers answers on average, and from all together no
        more than that part of what a whole one carries (_used says which). It starts at random, so that
        the instances take turns where the share of each is far below one attempt a window, and what is
        not used lapses.
        """
        if not self._cold(now, server):
            return True
        served = max(self.yielded, ROOM / self.settings.balancers)  # at least so much, or none would begin
        bears = self.settings.overload_multiple * self._warmth(now, server) * served
        bears *= server.entry.weight / self.mean_weight / self.whole
        bears *= self._used(bears * self.arrivals * self._sharing(len(self.pool), len(self.ready)))
        server.credit += bears * (self.arrived - server.credited)
        server.credited = self.arrived
        most = 1 + bears * self.arrivals * LAPSE
        if server.credit > most:
            server.credit = most if most > 2 else server.credit % 1
        return server.credit >= 1

    @staticmethod
    def _used(limit: float) -> float:
        """The part u of a budget of so many requests a window that leaves room for chance.

        u + CHANCE x sqrt(u / limit) = 1, solved for u: the work of so many requests of exponential size
        varies so; CHANCE is half as much again as those need, as sizes may vary more and are not told.
        """
        spread = float(CHANCE / max(limit, 1.0) ** 0.5)
        return min(MOST_USED, float((spread * spread + 4) ** 0.5 - spread) ** 2 / 4)

    # ---- timers ----

    def on_timer(self, now: int, token: str) -> list[Action]:
        """A timer that was set has come due; tokens that mean nothing any more are passed over."""
        if token == "sweep":
            self._sweep(now)
            self.acts.append(SetTimer("sweep", now + int(self.settings.overload_window * SWEEP_SHARE)))
        elif token == "watch":
            self._watch(now)
        elif token.startswith("r:"):
            item = self.open.get(token[2:])
            if item is not None and not item.closed:
                (self._copy_late if item.live else self._place)(now, item)
        return self._done()

    def _sweep(self, now: int) -> None:
        self.sweeps += 1
        fresh = max(SMOOTH, 1 / max(1, self.sweeps - 1))  # before there is a mean to smooth, the plain mean
        self.arrivals += fresh * ((self.arrived - self.swept) / SWEEP_SHARE - self.arrivals)
        self.swept = self.arrived
        self.cold = [s for s in self.cold if self._cold(now, s)]
        self._gather(now)
        # Prevents rooms that grow through an overload, and all servers with them, from ending in a jam.
        # While servers warm up help is on its way, and larger rooms bridge the time until then.
        self.easy = EASY * (SOFTER if self.cold else 1 - HARDER * self.crowd)
        self._appraise()
        if not self.out:  # nor does it know of a jam, but the others may, and all open at once
            self.admit += max(0.0, 1 - self.admit) / self.settings.balancers
        self.returned = {n: ban for n, ban in self.returned.items() if now < ban[1] + self.settings.cold_time}
        count = len(self.servers)
        if len(self.ready) < count:
            self.servers = {
                n: s
                for n, s in self.servers.items()
                if s.entry.state is not ServerState.GONE or s.in_flight or self._cold(now, s)
            }
        if self.replaced or len(self.servers) < count:
            self._drop_stale_states()

    def _drop_stale_states(self) -> None:
        """Those of servers that are gone, or another process by now, but for attempts that are still out."""
        self.replaced = False
        for record in self.records:
            for server, state in list(record.states.items()):
                if self.servers.get(server.entry.id) is not server:
                    if state.out:
                        self.replaced = True  # looked at again in the next sweep
                    else:
                        del record.states[server]

    def _appraise(self) -> None:
        """Worth of each class per work; where the worst class counts much, none is worth giving up."""
        live, by_work = self.live, self.settings.worth_by_work
        worths = [max(record.klass.worth, 1e-9) for record in live]
        costs = [1.0 if by_work else record.usual for record in live]
        cost, worth = sum(costs), sum(worths)
        per_work = [one / costs[n] * cost / worth for n, one in enumerate(worths)]
        fair, best = self.settings.fairness * len(live), max(per_work, default=1.0)
        for record, one in zip(live, per_work, strict=True):
            record.value = min(1.0, (one + fair) / best)

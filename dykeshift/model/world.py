"""A day played: the event loop in virtual time, clients, ways, discovery, and troubles as they come.

What the model leaves out: the balancers' own processor time, bytes, streaming, and clocks that differ.
Connections count where the day sets how many a sender takes. One way takes its time whatever is on it. A
cancelled attempt is known to the sender one way later. `docs/design/fleet.md` says how far that lies from
the daemon.
"""

from __future__ import annotations

import gc
import heapq
from collections.abc import Callable
from itertools import count
from time import perf_counter_ns
from typing import Any

import numpy as np

from dykeshift.model.chance import Chance, nanoseconds, spot
from dykeshift.model.day import MS, SECOND, Day
from dykeshift.model.decider import Maker
from dykeshift.model.figures import Errands, Figures, Run, measure
from dykeshift.model.host import RETURN, Host, Job
from dykeshift.model.senders import Post
from dykeshift.model.troubles import TOLD, Troubles
from dykeshift.model.watch import COLD, LOST, Watcher
from dykeshift.model.ways import Ways
from dykeshift.interface import Idempotency, ListKind, ServerEntry, ServerList, ServerState

FIRST = SECOND  # the day begins here: an instant of 0 means "never" to the module
PUSHES = 5  # tries of a client that comes again at once whatever it is advised


class World:
    """One day in virtual time: clients, balancers, senders and discovery."""

    def __init__(self, day: Day, make: Maker, seed: int) -> None:
        self.day = day
        self.make = make
        self.now = FIRST
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = count()
        self.events = 0
        chance = self.chance = Chance(day, seed)
        self.settings = day.settings(0)
        self.watcher = Watcher(self.settings)
        self.posts = self._posts()
        self.attempts = 0
        self.useful = 0  # nanoseconds of slots whose answers were passed on
        self.crossings = self.connects = 0  # attempts that leave their zone; new connections
        self.refusals: list[tuple[int, str]] = []  # when each came that was refused, and why
        self.open_lines: list[int] = []  # connections, twice a second
        self.places: dict[int, Post] = {}  # whose addresses have changed hands, and who has them now
        self.ways = Ways(day, chance)
        self._draw_errands()
        self._draw_discovery()
        seeds = chance.streams["modules"].integers(0, 2**31, (2, day.balancers.count))
        self._seeds: list[int] = seeds[0].tolist()
        self._later_seeds: list[int] = seeds[1].tolist()
        self.hosts = [Host(self, n, make(day.settings(n), first)) for n, first in enumerate(self._seeds)]
        self._first = tuple(post.entry() for post in self.posts)
        Troubles(self).plan()

    # ---- what is drawn before it begins ----

    def _posts(self) -> list[Post]:
        shape, chance = self.day.senders, self.chance
        kinds: list[tuple[float, bool]] = []
        for kind in shape.kinds:
            kinds += [(kind.speed, kind.weighed)] * round(kind.share * shape.count)
        kinds = (kinds + [(1.0, True)] * shape.count)[: shape.count]
        order: list[int] = chance.streams["spread"].permutation(shape.count).tolist()
        connect = int(self.day.network.connect_ms * MS)
        posts = [Post(self, n, shape, *kinds[order[n]], chance, connect) for n in range(shape.count)]
        for post in posts:
            post.lost_share = self.day.network.lost_connects
        return posts

    def _draw_errands(self) -> None:
        chance = self.chance
        arrivals = chance.arrivals()
        total = len(arrivals)
        at = (arrivals * SECOND).astype(np.int64) + FIRST
        self.arrivals: list[int] = at.tolist()
        self.sizes: list[int] = chance.sizes(total).tolist()
        self.klass = chance.classes(total)
        self.balancer = chance.balancers(total)
        self.patience = chance.patience(total)
        self.pushy = chance.pushy(total)
        self.errands = Errands(at, np.asarray(self.klass, dtype=np.int8))

    def _draw_discovery(self) -> None:
        """When each balancer hears: its own offset within the interval, and its own lateness."""
        discovery, rng = self.day.discovery, self.chance.streams["spread"]
        drawn = rng.random((2, self.day.balancers.count))
        self._every = max(MS, nanoseconds(discovery.every_s))
        self._offset: list[int] = (drawn[0] * self._every).astype(np.int64).tolist()
        self._late: list[int] = (drawn[1] * discovery.late_s * SECOND).astype(np.int64).tolist()
        self._later = self._on_time = 0  # how late discovery tells now; since when it does so on time
        self._changes: list[tuple[int, ServerEntry]] = []  # all since the start, with their times
        self._heard = [0] * self.day.balancers.count
        self.discovery = 0  # the one that configurations name
        self._closed: dict[int, int] = {}  # discoveries that have said their last, since when

    # ---- the loop ----

    def at(self, when: int, act: Callable[..., None], *args: Any) -> None:
        """Call `act` at `when` (nanoseconds); events of one instant come in the order of their scheduling."""
        heapq.heappush(self._heap, (when, next(self._serial), act, args))

    def run(self, progress: Callable[[float], None] | None = None) -> Figures:
        """Play the day and return its figures; `progress` gets the share done, now and then."""
        began = perf_counter_ns()
        for host in self.hosts:
            host.begin(host.policy, self._first, ListKind.FULL)
        for host in self.hosts:
            host.spent = 0  # the first list belongs to no request
        if self.arrivals:
            self.at(self.arrivals[0], self._next, 0)
        if self.day.senders.connections:
            self.at(FIRST + SECOND // 2, self._sample)
        end = FIRST + nanoseconds(self.day.seconds)
        gc.collect()
        gc.freeze()  # the fleet lives as long as the day: walked again and again, it would count as its cost
        try:
            self._loop(end, progress)
            self._drain(end)
        finally:
            gc.unfreeze()
        return self._figures(perf_counter_ns() - began)

    def _loop(self, end: int, progress: Callable[[float], None] | None) -> None:
        heap, pop = self._heap, heapq.heappop
        span, told = end - FIRST, 0
        while heap and heap[0][0] <= end:
            self.now, _, act, args = pop(heap)
            self.events += 1
            act(*args)
            if progress is not None and (part := (self.now - FIRST) * 100 // span) > told:
                told = part
                progress(part / 100)

    def _drain(self, end: int) -> None:
        """Until the last request has its answer: what was taken is answered."""
        last = end + max(c.deadline for c in self.settings.classes) + SECOND
        heap = self._heap
        while heap and heap[0][0] <= last and self.errands.open:
            self.now, _, act, args = heapq.heappop(heap)
            act(*args)
        for _ in range(self.errands.open):
            self.watcher.breach(LOST, self.now, "an errand has no end")

    # ---- clients ----

    def _next(self, number: int) -> None:
        if number + 1 < len(self.arrivals):
            self.at(self.arrivals[number + 1], self._next, number + 1)
        self._ask(number, 0, self.balancer[number])

    def _ask(self, errand: int, tried: int, at: int) -> None:
        host = self._reach(at)
        terms = self.settings.classes[self.klass[errand]]
        give_up = self.arrivals[errand] + int(terms.deadline * self.patience[errand])
        if host is None or give_up - RETURN <= self.now:
            self.errands.end(errand, self.now, "failed" if host is None else "late")
            return
        self.errands.tries += 1
        name = f"{errand}.{tried}" if tried else str(errand)
        leaves = self.patience[errand] < 1
        deadline = self.arrivals[errand] + terms.deadline - RETURN
        job = Job(name, errand, tried, self.klass[errand], self.now, deadline, self._answered)
        if leaves:
            self.at(give_up, self._leave, job, host)
        host.submit(job, self.sizes[errand] if self.day.work.hinted else 0, tried > 0)

    def _reach(self, at: int) -> Host | None:
        """The front hands a connection to a balancer that is up."""
        for step in range(len(self.hosts)):
            host = self.hosts[(at + step) % len(self.hosts)]
            if host.taking:
                return host
        return None

    def _leave(self, job: Job, host: Host) -> None:
        if not job.closed:
            self.errands.end(job.errand, self.now, "left")
            host.client_gone(job.name)

    def _answered(self, job: Job, how: str, advice: int) -> None:
        errand = job.errand
        if self.now > job.deadline + RETURN + self.settings.answer_slack:
            self.watcher.breach(LOST, self.now, f"{job.name} is answered too late")
        self.errands.answers[how] = self.errands.answers.get(how, 0) + 1
        kind = self.settings.classes[job.klass].idempotency
        again = how == "refused" or how in ("failed", "reset") and kind is Idempotency.SAFE
        pushy = self.pushy[errand]
        if how == "ok" or not again or job.turn >= (PUSHES if pushy else self.day.clients.retries):
            self.errands.end(errand, self.now, how)
            return
        if pushy:
            self.at(self.now + MS, self._ask, errand, job.turn + 1, errand * 7919 + job.turn + 1)
            return
        wait = max(advice, int(self.day.clients.backoff_ms * MS * 2**job.turn))
        wait = int(wait * (0.5 + self.chance.ways[spot(errand, job.turn)]))
        # A front hands the next connection to any balancer.
        self.at(self.now + wait, self._ask, errand, job.turn + 1, errand * 7919 + job.turn + 1)

    # ---- ways and discovery ----

    def way(self, zone: int, errand: int, post: Post) -> int:
        """Nanoseconds of one way between a balancer's zone and a post."""
        return self.ways.takes(zone, errand, post.number, post.zone)

    def change(self, post: Post) -> None:
        """Discovery has something to tell; each balancer hears it at its next turn."""
        post.off_at = 0 if post.state is ServerState.READY else post.off_at or self.now
        self._changes.append((self.now, post.entry()))
        for number in range(len(self.hosts)):
            due = self.now + self._later + self._late[number]
            due += (self._offset[number] - due) % self._every
            self.at(due, self._hear, number, due - self._later - self._late[number])

    def _hear(self, number: int, until: int) -> None:
        """All changes up to then that this balancer has not heard, in one update."""
        cut = self.ways.cut_until(self.hosts[number].zone, self.now)
        if cut:
            self.at(cut, self._hear, number, until)
            return
        if self._silenced(number, until):
            return
        news: dict[int, ServerEntry] = {}
        at = self._heard[number]
        while at < len(self._changes) and self._changes[at][0] <= until:
            news[self._changes[at][1].id] = self._changes[at][1]
            at += 1
        self._heard[number] = at
        if news and self.hosts[number].up:
            self.hosts[number].hear(ServerList(ListKind.DELTA, tuple(news.values())))

    def late(self, by: int) -> None:
        """Changes come so many nanoseconds later from now on."""
        if self._later and not by:
            self._on_time = self.now
        self._later = by

    def move_discovery(self, last_word: int) -> None:
        """Configurations name another one; the old one says nothing of what changes after its last word."""
        self._closed[self.discovery] = self.now + last_word
        self.discovery += 1

    def _silenced(self, number: int, until: int) -> bool:
        return until >= self._closed.get(self.hosts[number].discovery, until + 1)

    def whole_list(self, number: int) -> None:
        """A balancer asks anew and gets all; from a discovery that is closed it gets nothing."""
        host = self.hosts[number]
        if not host.up or self._silenced(number, self.now):
            return
        self._heard[number] = len(self._changes)
        entries = tuple(p.entry() for p in self.posts if p.state is not ServerState.GONE)
        host.hear(ServerList(ListKind.FULL, entries))

    def back(self, number: int, stale: int) -> None:
        """A balancer starts again with the list that it had so long ago, and asks for the whole one."""
        host, since = self.hosts[number], self.now - stale
        host.discovery = self.discovery
        held = {entry.id: entry for entry in self._first}
        for at, entry in self._changes:
            if at > since:
                break
            held[entry.id] = entry
        policy = self.make(self.day.settings(number), self._later_seeds[number])
        entries = tuple(e for e in held.values() if e.state is not ServerState.GONE)
        host.begin(policy, entries, ListKind.CACHED)
        due = max(self.now, self.ways.cut_until(host.zone, self.now)) + self._later + self._late[number] + MS
        self.at(due, self.whole_list, number)

    # ---- who is where, and what is told ----

    def holder(self, number: int) -> Post:
        """Who answers at the address of this sender: itself, or who has it since."""
        return self.places.get(number) or self.posts[number]

    def told_off(self, number: int, host: Host) -> int:
        """Since when a balancer counts as told that a sender drains or is gone, heard or not; 0: it doesn't.

        Not while discovery itself is late, nor before the balancer has run for as long.
        """
        post = self.posts[number]
        if post.state is ServerState.READY or not post.off_at or self._later:
            return 0
        due = max(post.off_at, host.born, self._on_time) + TOLD
        cut = self.ways.cut_until(host.zone, self.now)
        return due if due <= self.now and not cut else 0

    def refused(self, job: Job) -> None:
        """By cause: turned away as it came, no server for as long as made sense, or after attempts."""
        cause = "attempts" if job.sent else "at once" if self.now == job.came else "no server"
        self.refusals.append((job.came, cause))

    def _sample(self) -> None:
        """Twice a second: what is open, and what has not been used for too long."""
        for host in self.hosts:
            host.lines.sweep(self.now)
        self.open_lines.append(sum(post.process.lines for post in self.posts if post.process.up))
        self.at(self.now + SECOND // 2, self._sample)

    # ---- figures ----

    def _figures(self, took: int) -> Figures:
        lives = [life for post in self.posts for life in post.lives]
        for life in lives:
            if life.fell:
                self.watcher.breach(COLD, self.now, f"sender {life.post.number} falls over")
        run = Run(
            attempts=self.attempts,
            worked=sum(life.worked for life in lives),
            peak=max((life.peak for life in lives), default=0.0),
            use=[u for post in self.posts for u in post.use],
            fell=sum(life.fell for life in lives),
            breaches=dict(self.watcher.breaches),
            first=dict(self.watcher.first),
            module=sum(h.spent for h in self.hosts),
            calls=sum(h.calls for h in self.hosts),
            list_slowest=max(h.slowest_list for h in self.hosts),
            took=took,
            events=self.events,
            useful=self.useful,
            crossings=self.crossings,
            connects=self.connects,
            open_lines=self.open_lines,
            refusals=self.refusals,
        )
        return measure(self.day, self.errands, run, FIRST)


def play(day: Day, make: Maker, seed: int, progress: Callable[[float], None] | None = None) -> Figures:
    """Play a day with a policy; equal arguments give equal figures but for the times of this machine."""
    return World(day, make, seed).run(progress)

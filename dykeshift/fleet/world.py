"""A day played: the event loop in virtual time, clients, ways, discovery, and troubles as they come.

What the model leaves out: connections (their set-up, limits and loss), the balancers' own processor time,
bytes, streaming, and clocks that differ. One way takes its time whatever is on it. A cancelled attempt is
known to the sender one way later. `docs/design/fleet.md` says how far that lies from the daemon.
"""

from __future__ import annotations

import gc
import heapq
from collections.abc import Callable
from itertools import count
from time import perf_counter_ns
from typing import Any

import numpy as np

from dykeshift.fleet.chance import Chance, nanoseconds, spot
from dykeshift.fleet.day import MS, SECOND, Day, Trouble
from dykeshift.fleet.decider import Maker
from dykeshift.fleet.figures import Errands, Figures, Run, measure
from dykeshift.fleet.host import RETURN, Host, Job
from dykeshift.fleet.senders import Post
from dykeshift.fleet.watch import COLD, LOST, Watcher
from dykeshift.interface import Idempotency, ListKind, ServerEntry, ServerList, ServerState

DRAINED = 3 * SECOND  # a draining sender ends after this
FIRST = SECOND  # the day begins here: an instant of 0 means "never" to the module


class World:
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
        self._draw_errands()
        self._draw_ways()
        self._draw_discovery()
        seeds = chance.streams["modules"].integers(0, 2**31, (2, day.balancers.count))
        self._seeds: list[int] = seeds[0].tolist()
        self._later_seeds: list[int] = seeds[1].tolist()
        self.hosts = [Host(self, n, make(day.settings(n), first)) for n, first in enumerate(self._seeds)]
        self._plan_troubles()

    # ---- what is drawn before it begins ----

    def _posts(self) -> list[Post]:
        shape, chance = self.day.senders, self.chance
        kinds: list[tuple[float, bool]] = []
        for kind in shape.kinds:
            kinds += [(kind.speed, kind.weighed)] * round(kind.share * shape.count)
        kinds = (kinds + [(1.0, True)] * shape.count)[:shape.count]
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
        self.errands = Errands(at, np.asarray(self.klass, dtype=np.int8))

    def _draw_ways(self) -> None:
        net, zones = self.day.network, self.day.senders.zones
        self._ways = [[int((net.near_ms if a == b else net.far_ms) * MS) for b in range(zones)]
                      for a in range(zones)]
        self._jitter = net.jitter

    def _draw_discovery(self) -> None:
        """When each balancer hears: its own offset within the interval, and its own lateness."""
        d, rng = self.day.discovery, self.chance.streams["spread"]
        drawn = rng.random((2, self.day.balancers.count))
        self._every = max(MS, nanoseconds(d.every_s))
        self._offset: list[int] = (drawn[0] * self._every).astype(np.int64).tolist()
        self._late: list[int] = (drawn[1] * d.late_s * SECOND).astype(np.int64).tolist()
        self._later = 0
        self._changes: list[tuple[int, ServerEntry]] = []  # all since the start, with their times
        self._heard = [0] * self.day.balancers.count

    # ---- the loop ----

    def at(self, when: int, act: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._heap, (when, next(self._serial), act, args))

    def run(self, progress: Callable[[float], None] | None = None) -> Figures:
        began = perf_counter_ns()
        entries = tuple(post.entry() for post in self.posts)
        for host in self.hosts:
            host.begin(host.policy, entries, ListKind.FULL)
        for host in self.hosts:
            host.spent = 0  # the first list belongs to no request
        if self.arrivals:
            self.at(self.arrivals[0], self._next, 0)
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
        job = Job(name, errand, tried, self.klass[errand], deadline, self._answered)
        if leaves:
            self.at(give_up, self._leave, job, host)
        host.submit(job, self.sizes[errand] if self.day.work.hinted else 0, tried > 0)

    def _reach(self, at: int) -> Host | None:
        """The front hands a connection to a balancer that is up."""
        for step in range(len(self.hosts)):
            host = self.hosts[(at + step) % len(self.hosts)]
            if host.up:
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
        if how == "ok" or not again or job.turn >= self.day.clients.retries:
            self.errands.end(errand, self.now, how)
            return
        wait = max(advice, int(self.day.clients.backoff_ms * MS * 2 ** job.turn))
        wait = int(wait * (0.5 + self.chance.ways[spot(errand, job.turn)]))
        # A front hands the next connection to any balancer.
        self.at(self.now + wait, self._ask, errand, job.turn + 1, errand * 7919 + job.turn + 1)

    # ---- ways and discovery ----

    def way(self, zone: int, errand: int, sender: int) -> int:
        base = self._ways[zone][sender % len(self._ways)]
        return int(base * (1 + self._jitter * self.chance.ways[spot(errand, sender)]))

    def change(self, post: Post) -> None:
        """Discovery has something to tell; each balancer hears it at its next turn."""
        self._changes.append((self.now, post.entry()))
        for number in range(len(self.hosts)):
            due = self.now + self._later + self._late[number]
            due += (self._offset[number] - due) % self._every
            self.at(due, self._hear, number, due - self._later - self._late[number])

    def _hear(self, number: int, until: int) -> None:
        """All changes up to then that this balancer has not heard, in one update."""
        news: dict[int, ServerEntry] = {}
        at = self._heard[number]
        while at < len(self._changes) and self._changes[at][0] <= until:
            news[self._changes[at][1].id] = self._changes[at][1]
            at += 1
        self._heard[number] = at
        if news and self.hosts[number].up:
            self.hosts[number].hear(ServerList(ListKind.DELTA, tuple(news.values())))

    # ---- troubles ----

    def _plan_troubles(self) -> None:
        for trouble in self.day.troubles:
            begin = FIRST + nanoseconds(trouble.at)
            if trouble.kind == "discovery-late":
                self.at(begin, self._delay_discovery, nanoseconds(trouble.size))
                self.at(begin + nanoseconds(trouble.seconds), self._delay_discovery, 0)
            elif trouble.kind != "flood":
                of_balancers = trouble.kind.startswith("balancer")
                total = len(self.hosts) if of_balancers else len(self.posts)
                chosen = self.chance.chosen(total, trouble.part)
                for n, number in enumerate(chosen):
                    at = begin + nanoseconds(trouble.spread_s * n / len(chosen))
                    self.at(at, self._befall_balancer if of_balancers else self._befall, trouble, number)

    def _delay_discovery(self, late: int) -> None:
        self._later = late

    def _befall_balancer(self, trouble: Trouble, number: int) -> None:
        host = self.hosts[number]
        host.die()
        if trouble.kind == "balancer-restart":
            entries = tuple(host.known.values())  # its list from before, perhaps old by now
            self.at(self.now + nanoseconds(trouble.seconds), self._balancer_back, number, entries)

    def _balancer_back(self, number: int, entries: tuple[ServerEntry, ...]) -> None:
        policy = self.make(self.day.settings(number), self._later_seeds[number])
        host = self.hosts[number]
        host.begin(policy, tuple(e for e in entries if e.state is not ServerState.GONE), ListKind.CACHED)
        due = self.now + self._later + self._late[number] + MS
        self.at(due, self._whole_list, number)

    def _whole_list(self, number: int) -> None:
        self._heard[number] = len(self._changes)
        entries = tuple(p.entry() for p in self.posts if p.state is not ServerState.GONE)
        self.hosts[number].hear(ServerList(ListKind.FULL, entries))

    def _befall(self, trouble: Trouble, number: int) -> None:
        post, length = self.posts[number], nanoseconds(trouble.seconds)
        kind = trouble.kind
        if kind == "restart":
            post.restart()
            self.change(post)
        elif kind == "roll":
            post.state = ServerState.DRAINING
            self.change(post)
            self.at(self.now + DRAINED, self._restart, post)
        elif kind == "kill":
            post.silent = True
            post.process.die()
            post.state = ServerState.GONE
            self.change(post)
        elif kind in ("hang", "pause"):
            post.process.pause(self.now + length)
        else:
            self._ail(post, kind, trouble.size)
            self.at(self.now + length, self._ail, post, kind, None)

    def _restart(self, post: Post) -> None:
        post.restart()
        self.change(post)

    def _ail(self, post: Post, kind: str, size: float | None) -> None:
        if kind == "slow":
            post.slow = size or 1.0
        elif kind == "errors":
            post.error_share = size or 0.0
        elif kind == "lose":
            post.lost_share = self.day.network.lost_connects if size is None else size
        elif kind == "refuse":
            post.refuses = size is not None

    # ---- figures ----

    def _figures(self, took: int) -> Figures:
        lives = [life for post in self.posts for life in post.lives]
        for life in lives:
            if life.fell:
                self.watcher.breach(COLD, self.now, f"sender {life.post.number} falls over")
        run = Run(
            attempts=self.attempts, worked=sum(life.worked for life in lives),
            peak=max((life.peak for life in lives), default=0.0),
            use=[u for post in self.posts for u in post.use], fell=sum(life.fell for life in lives),
            breaches=dict(self.watcher.breaches), first=dict(self.watcher.first),
            module=sum(h.spent for h in self.hosts), calls=sum(h.calls for h in self.hosts),
            list_slowest=max(h.slowest_list for h in self.hosts), took=took, events=self.events,
            useful=self.useful)
        return measure(self.day, self.errands, run, FIRST)


def play(day: Day, make: Maker, seed: int, progress: Callable[[float], None] | None = None) -> Figures:
    """Play a day with a policy; equal arguments give equal figures but for the times of this machine."""
    return World(day, make, seed).run(progress)

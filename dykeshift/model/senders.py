"""Senders: what they do with attempts, in virtual time.

Theory of operation. A `Post` is a place in the fleet (an id that lists show); it holds one `Process` at a
time. A process is up, or down for good. An attempt that arrives is turned away (down: could not connect;
waiting room full), or runs, or waits. First come first served: as many run as there are slots, each for its
work times its slowdown over the sender's speed and warmth at that moment. Processor sharing: all that are
there run at once, each at min(1, slots / number) of the speed; their ends lie on one virtual clock that
counts the work done for each (so an arrival moves no one's place, only the next end). A pause moves all ends.

The cold budget is the rules': more work sent within any `fall_s` than `fall_multiple` times what it can do
now, and it falls over and stays down. What it was sent counts whole, cancelled or not, with one request's
work of slack for chance. `use` keeps how much of the budget was used, sampled at each arrival.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Protocol

from dykeshift.model.chance import Chance, spot
from dykeshift.model.day import MS, SECOND, Senders
from dykeshift.interface import LoadReport, Outcome, ServerEntry, ServerState


class Timeline(Protocol):
    """Virtual time: the present, in nanoseconds, and a queue of events."""

    now: int

    def at(self, when: int, act: Callable[..., None], *args: object) -> None:
        """Call `act` at `when` (nanoseconds)."""


class Try:
    """One attempt on its way, at a sender, or over."""

    __slots__ = (
        "back",
        "begun",
        "ends",
        "line",
        "queued",
        "request",
        "running",
        "told",
        "turn",
        "held",
        "work",
    )

    def __init__(self, request: int, work: int, back: Callable[[Outcome, LoadReport | None], None]) -> None:
        self.request = request  # the errand's number: what it meets at a sender hangs on it
        self.work = work
        self.back = back  # takes the answer on its way; not called for what never answers
        self.begun = self.turn = 0
        self.ends = 0  # when it will end; with processor sharing, where the sender's clock of work stood
        self.running = self.queued = False
        self.told = False  # called off, or its answer is on the way
        self.held = 0  # nanoseconds of a slot
        self.line: Process | None = None  # whose connection it is on, where days have connections


class Process:
    """One life of a sender."""

    def __init__(self, post: Post, now: int, cold: bool) -> None:
        self.post = post
        self.born = now
        self.cold_until = now + int(post.shape.cold_s * SECOND) if cold else 0
        self.up = True
        self.waiting: deque[Try] = deque()
        self.queued = 0  # those of `waiting` that nobody called off
        self.running: set[Try] = set()
        self.paused_until = 0
        self.worked = 0  # slot time, of all ends
        self.sent: deque[tuple[int, int]] = deque()  # while cold: when, how much work
        self.pressed = 0
        self.peak = 0.0  # highest part of the cold budget that it was sent
        self.fell = False
        self.errors = self.answers = 0
        self.lines = 0  # connections that are open, used or kept
        self._report: LoadReport | None = None
        self._reported = -SECOND
        self._busy = 0
        # Processor sharing: work done for each, and the ends on that clock.
        self.shared = 0.0
        self.shared_at = now
        self.ends: list[tuple[float, int, Try]] = []
        self.turn = 0

    # ---- arrivals and ends ----

    def arrive(self, job: Try) -> None:
        """Take an attempt: run it, queue it, or turn it away."""
        post = self.post
        now = post.line.now
        if not self.up or post.lost(job):
            post.unreachable(job, self.up)
            return
        if now < self.cold_until and self._press(now, job.work):
            post.unreachable(job, False)
            return
        if self.queued + len(self.running) >= post.shape.slots + post.shape.queue or post.refuses:
            post.answer(job, Outcome.FULL, self.report(now))
            return
        if post.shape.discipline == "sharing":
            self._share(now)
            self.running.add(job)
            job.running, job.begun, job.ends = True, now, int(self.shared)
            heapq.heappush(self.ends, (self.shared + post.takes(job), post.serial(), job))
            self._next_end(now)
        elif len(self.running) < post.shape.slots:
            self._begin(job, now)
        else:
            self.waiting.append(job)
            job.queued = True
            self.queued += 1

    def _begin(self, job: Try, now: int) -> None:
        job.running, job.queued, job.begun = True, False, now
        self.running.add(job)
        job.ends = max(now, self.paused_until) + int(self.post.takes(job) / self.warmth(now))
        self.post.line.at(job.ends, self._end, job, job.turn)

    def _end(self, job: Try, turn: int) -> None:
        if not self.up or job.turn != turn or not job.running:
            return
        now = self.post.line.now
        self._leave(job, now)
        self._finish(job, now)
        self._fill(now)

    def _finish(self, job: Try, now: int) -> None:
        failed = self.post.fails(job)
        self.answers += 1
        self.errors += failed
        self.post.answer(job, Outcome.ERROR if failed else Outcome.OK, self.report(now))

    def _leave(self, job: Try, now: int) -> None:
        job.running = False
        self.running.discard(job)
        job.held = int(self.shared) - job.ends if self.post.shape.discipline == "sharing" else now - job.begun
        self.worked += job.held

    def _fill(self, now: int) -> None:
        while self.waiting and len(self.running) < self.post.shape.slots:
            job = self.waiting.popleft()
            if job.queued:
                self.queued -= 1
                self._begin(job, now)

    def call_off(self, job: Try) -> None:
        """A cancellation has arrived."""
        if job.told or not self.up:
            return
        now = self.post.line.now
        if not job.running:  # it waits, or its connect was lost
            job.told = True
            self.queued -= job.queued
            job.queued = False
        elif self.post.shape.stops_work:
            job.told = True
            job.turn += 1
            if self.post.shape.discipline == "sharing":
                self._share(now)
            self._leave(job, now)
            if self.post.shape.discipline == "sharing":
                self._next_end(now)
            else:
                self._fill(now)

    # ---- processor sharing ----

    def _share(self, now: int) -> None:
        """Bring the work done for each up to now."""
        since = max(self.shared_at, self.paused_until)
        if self.running and now > since:
            rate = min(1.0, self.post.shape.slots / len(self.running)) * self.warmth(now)
            self.shared += (now - since) * rate
        self.shared_at = now

    def _next_end(self, now: int) -> None:
        self.turn += 1
        while self.ends and not self.ends[0][2].running:
            heapq.heappop(self.ends)
        if self.ends:
            rate = min(1.0, self.post.shape.slots / len(self.running)) * self.warmth(now)
            wait = max(0.0, self.ends[0][0] - self.shared) / rate
            self.post.line.at(max(now, self.paused_until) + int(wait) + 1, self._shared_end, self.turn)

    def _shared_end(self, turn: int) -> None:
        if turn != self.turn or not self.up:
            return
        now = self.post.line.now
        self._share(now)
        while self.ends and (not self.ends[0][2].running or self.ends[0][0] <= self.shared):
            job = heapq.heappop(self.ends)[2]
            if job.running:
                self._leave(job, now)
                self._finish(job, now)
        self._next_end(now)

    # ---- troubles ----

    def pause(self, until: int) -> None:
        """Stand still: takes all, ends nothing until then."""
        now = self.post.line.now
        if self.post.shape.discipline == "sharing":
            self._share(now)
            self.paused_until = max(self.paused_until, until)
            self._next_end(now)
            return
        shift = until - max(now, self.paused_until)
        if shift <= 0:
            return
        self.paused_until = until
        for job in sorted(self.running, key=lambda j: (j.begun, j.request)):
            job.turn += 1
            job.ends += shift
            self.post.line.at(job.ends, self._end, job, job.turn)

    def die(self) -> None:
        """End: its connections are reset (where its machine is gone they stay silent, `Post.silent`)."""
        if not self.up:
            return
        self.up = False
        running = sorted(self.running, key=lambda j: (j.begun, j.request))
        for job in running + [j for j in self.waiting if j.queued]:
            if job.running:
                self._leave(job, self.post.line.now)
            job.queued = False
            self.post.answer(job, Outcome.RESET, None)
        self.waiting.clear()

    # ---- warmth and reports ----

    def warmth(self, now: int) -> float:
        """The share of its full speed that it has at `now`, 1 once it is warm."""
        if now >= self.cold_until:
            return 1.0
        cold = self.post.shape.cold_share
        return cold + (1 - cold) * (now - self.born) / (self.cold_until - self.born)

    def _press(self, now: int, work: int) -> bool:
        """Count work against the cold budget; whether the sender falls over by it."""
        shape = self.post.shape
        self.sent.append((now, work))
        self.pressed += work
        window = int(shape.fall_s * SECOND)
        while self.sent[0][0] <= now - window:
            self.pressed -= self.sent.popleft()[1]
        bears = shape.fall_multiple * shape.slots * self.post.speed * window * self.warmth(now)
        self.peak = max(
            self.peak,
            (self.pressed - max(w for _, w in self.sent) if self.pressed > bears / 2 else self.pressed)
            / bears,
        )
        if now - self.born > window:
            self.post.use.append(self.pressed / bears)
        if self.peak > 1:
            self.fell = True
            self.die()
        return self.fell

    def report(self, now: int) -> LoadReport | None:
        """What it says of its load, as old and as blurred as told."""
        shape = self.post.shape
        if not shape.report:
            return None
        if now - self._reported >= shape.report_age_ms * MS or self._report is None:
            span = now - self._reported
            held = len(self.running)
            busy = (
                min(
                    1.0,
                    (self.worked - self._busy + sum(now - max(j.begun, self._reported) for j in self.running))
                    / (span * shape.slots),
                )
                if shape.discipline == "fcfs"
                else min(1.0, held / shape.slots)
            )
            blur = 1 + shape.report_noise * self.post.noise(now)
            values: dict[str, float] = {
                "in_flight": float(held + self.queued),
                "queued": float(self.queued),
                "utilization": min(1.0, max(0.0, busy * blur)),
                "errors_per_s": self.errors * SECOND / span,
            }
            told: dict[str, float] = {name: values[name] for name in shape.report}
            self._report = LoadReport(**told)
            self._reported, self._busy, self.errors = now, self.worked, 0
        return self._report


class Post:
    """A place in the fleet: which process is there, and what is wrong with it."""

    def __init__(
        self,
        line: Timeline,
        number: int,
        shape: Senders,
        speed: float,
        weighed: bool,
        chance: Chance,
        connect: int,
    ) -> None:
        self.line = line
        self.connect = connect  # nanoseconds after which a lost connect is given up
        self.number = number
        self.shape = shape
        self.speed = speed
        self.weight = speed if weighed else 1.0
        self.chance = chance
        self.use: list[float] = []
        self.slow = 1.0
        self.error_share = self.lost_share = self.reset_share = self.mute_share = 0.0
        self.refuses = False
        self.silent = False  # its machine is gone: not even a refused connect comes back
        self.state = ServerState.READY
        self.started = self.off_at = 0  # clock time of the latest cold start; since when it drains or is gone
        self.count = 0
        self.lives: list[Process] = []
        self.process = self._live(cold=False)

    def _live(self, cold: bool) -> Process:
        process = Process(self, self.line.now, cold)
        self.lives.append(process)
        return process

    @property
    def zone(self) -> int:
        """The zone in which it stands."""
        return self.number % self.shape.zones

    def restart(self) -> None:
        """A new process, cold; what the old one had is reset."""
        self.process.die()
        self.started, self.state, self.silent = self.line.now, ServerState.READY, False
        self.process = self._live(cold=True)

    def entry(self) -> ServerEntry:
        """Its entry in discovery's list, as it is now."""
        return ServerEntry(
            id=self.number,
            zone=self.zone,
            cell=self.number % self.shape.cells,
            kind=0,
            state=self.state,
            weight=self.weight,
            started=self.started,
        )

    def serial(self) -> int:
        """A number for a new process, counted from 1."""
        self.count += 1
        return self.count

    # ---- what a request meets here ----

    def takes(self, job: Try) -> float:
        """Nanoseconds on one slot, warm."""
        slow = self.chance.slowdowns
        drawn = slow[spot(job.request, self.number)] if slow else 1.0
        return job.work * drawn * self.slow / self.speed

    def fails(self, job: Try) -> bool:
        """Whether this attempt ends in an error here."""
        return self._meets(job, self.error_share, 0)

    def lost(self, job: Try) -> bool:
        """Whether this attempt's connection is lost."""
        return self._meets(job, self.lost_share, 1)

    def _meets(self, job: Try, share: float, fate: int) -> bool:
        return share > 0 and self.chance.fates[spot(job.request + fate, self.number)] < share

    def noise(self, now: int) -> float:
        """The noise on a load report, the same for all that ask within a millisecond."""
        return self.chance.noises[spot(now // MS, self.number)]

    def answer(self, job: Try, outcome: Outcome, report: LoadReport | None) -> None:
        """Send an answer back, unless a fault keeps it silent or resets it."""
        job.told = True
        if self.silent or outcome is Outcome.OK and self._meets(job, self.mute_share, 2):
            return
        if outcome is Outcome.OK and self._meets(job, self.reset_share, 3):
            job.back(Outcome.RESET, None)
        else:
            job.back(outcome, report)

    def unreachable(self, job: Try, lost: bool) -> None:
        """A refused connect comes back at once; a lost one is given up after its time; from a machine that
        is gone comes nothing at all."""
        if lost:
            self.line.at(self.line.now + self.connect, self.answer, job, Outcome.CONNECT_FAILED, None)
        else:
            self.answer(job, Outcome.CONNECT_FAILED, None)

"""The paper's model, played: k servers, first come first served, one dispatcher, S and X drawn as told.

A job that finds idle servers among its d runs on all of them (RIQ) until the first is done, the others are
held for the cancellation time; else it joins one of the d. Redundancy-d queues a copy at each of the d. Each
part of the chance has a stream of its own (numpy's SeedSequence), so that two policies see the same jobs.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from dykeshift.model.laws import Size, Slowdown

POLICIES = ("riq", "redundancy", "random")


@dataclass(frozen=True)
class Setting:
    """What is played. Raises ValueError for an unknown policy or a `d` beyond the number of servers."""

    servers: int
    rate: float  # of arrivals for each server
    d: int
    size: Size
    slowdown: Slowdown
    policy: str = "riq"
    cancel: float = 0.0
    jobs: int = 100_000
    warm: float = 0.1  # of the jobs are left out of the figures, from the start

    def __post_init__(self) -> None:
        if self.policy not in POLICIES:
            raise ValueError(f"there is no policy {self.policy!r}; there are {', '.join(POLICIES)}")
        if not 1 <= self.d <= self.servers:
            raise ValueError("d is from 1 to the number of servers")


@dataclass
class Outcome:
    """Response times in the order of arrival, and what servers were busy with."""

    times: np.ndarray[tuple[int], np.dtype[np.float64]]
    busy: float  # part of the servers' time
    copies: float  # mean number of servers that ran a job

    def mean(self, batches: int = 20) -> tuple[float, float]:
        """The mean and half the width of its 95% confidence interval, by batch means."""
        parts = np.array([part.mean() for part in np.array_split(self.times, batches)])
        return float(self.times.mean()), float(2.093 * parts.std(ddof=1) / np.sqrt(batches))

    def transform(self, s: float) -> float:
        """The Laplace transform of the response times at `s`, estimated from the jobs played."""
        return float(np.exp(-s * self.times).mean())


@dataclass(slots=True)
class Server:
    """One server's queue and the job that runs on it."""

    queue: deque[int] = field(default_factory=deque)
    job: int = -1
    free_at: float = 0.0
    turn: int = 0  # counts what it began: an end that belongs to an earlier turn is none


class Play:
    """One run of a setting with a seed."""

    def __init__(self, setting: Setting, seed: int) -> None:
        self.setting = setting
        streams = [np.random.default_rng(s) for s in np.random.SeedSequence(seed).spawn(4)]
        count = setting.jobs
        gaps = streams[0].exponential(1 / (setting.rate * setting.servers), count)
        self.arrivals = np.cumsum(gaps)
        self.sizes = setting.size.draw(streams[1], count)
        self.slow, self.choice = streams[2], streams[3]
        self.servers = [Server() for _ in range(setting.servers)]
        self.done = np.full(count, -1.0)
        self.runs: dict[int, list[int]] = {}  # servers on which an unfinished job runs
        self.ends: list[tuple[float, int, int]] = []
        self.worked = self.started = 0.0
        self._slow: list[float] = []

    def run(self) -> Outcome:
        """Play all jobs; the figures leave out the first `warm` of them."""
        for job, at in enumerate(self.arrivals):
            self._until(float(at))
            self._arrive(job, float(at))
        self._until(float("inf"))
        first = int(self.setting.warm * self.setting.jobs)
        times = (self.done - self.arrivals)[first:]
        span = float(self.arrivals[-1]) * self.setting.servers
        return Outcome(times, self.worked / span, self.started / self.setting.jobs)

    def _until(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            at, number, turn = heapq.heappop(self.ends)
            if self.servers[number].turn == turn:
                self._end(number, at)

    def _arrive(self, job: int, now: float) -> None:
        setting = self.setting
        asked: list[int] = self.choice.choice(setting.servers, setting.d, replace=False).tolist()
        if setting.policy == "redundancy":
            for number in asked:
                self._join(number, job, now)
            return
        idle = [n for n in asked if self.servers[n].job < 0]
        if setting.policy == "riq" and idle:
            for number in idle:
                self._begin(number, job, now)
        else:
            self._join(asked[0], job, now)  # drawn in a random order, so the first is any

    def _join(self, number: int, job: int, now: float) -> None:
        server = self.servers[number]
        if server.job < 0:
            self._begin(number, job, now)
        else:
            server.queue.append(job)

    def _begin(self, number: int, job: int, now: float) -> None:
        if not self._slow:
            self._slow = self.setting.slowdown.draw(self.slow, 4096).tolist()
        server = self.servers[number]
        server.job, server.free_at = job, now
        server.turn += 1
        self.started += 1
        self.runs.setdefault(job, []).append(number)
        heapq.heappush(self.ends, (now + float(self.sizes[job]) * self._slow.pop(), number, server.turn))

    def _end(self, number: int, now: float) -> None:
        """A run is over, or the time that a cancellation took."""
        server = self.servers[number]
        job = server.job
        if self.done[job] < 0:
            self.done[job] = now
            others = self.runs.pop(job)
            if self.setting.cancel and len(others) > 1:
                for other in others:
                    self._hold(other, now)
                return
            for other in others:
                self._free(other, now)
        else:
            self._free(number, now)

    def _hold(self, number: int, now: float) -> None:
        server = self.servers[number]
        server.turn += 1
        heapq.heappush(self.ends, (now + self.setting.cancel, number, server.turn))

    def _free(self, number: int, now: float) -> None:
        server = self.servers[number]
        self.worked += now - server.free_at
        server.job = -1
        server.turn += 1
        while server.queue:
            job = server.queue.popleft()
            if self.done[job] < 0:
                self._begin(number, job, now)
                return


def play(setting: Setting, seed: int) -> Outcome:
    """Play one setting; the same seed gives the same jobs to every policy."""
    return Play(setting, seed).run()

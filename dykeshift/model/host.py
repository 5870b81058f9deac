"""One balancer of the model: hosts a policy and does what it says, as `engine/driver.py` does on sockets."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from time import perf_counter_ns
from typing import TYPE_CHECKING

from dykeshift.model.decider import Decider
from dykeshift.model.day import MS
from dykeshift.model.senders import Post, Process, Try
from dykeshift.model.watch import TWICE, Sent
from dykeshift.model.ways import Lines
from dykeshift.interface import (
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    ListKind,
    LoadReport,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    FleetAgreement,
)

if TYPE_CHECKING:
    from dykeshift.model.world import World

RETURN = 5_000_000  # kept of the client's time for the way back, as the driver does


class Job:
    """A client's try until it is answered and all its attempts have come back."""

    __slots__ = (
        "answered",
        "came",
        "closed",
        "deadline",
        "errand",
        "klass",
        "live",
        "name",
        "sent",
        "tries",
        "turn",
        "where",
    )

    def __init__(
        self,
        name: str,
        errand: int,
        turn: int,
        klass: int,
        came: int,
        deadline: int,
        answered: Callable[[Job, str, int], None],
    ) -> None:
        self.name = name
        self.turn = turn  # of the errand's tries
        self.errand = errand
        self.klass = klass
        self.came, self.deadline = came, deadline
        self.answered = answered  # with how ("ok", "refused", "failed", "reset") and the advice
        self.sent: list[Sent] = []
        self.tries: list[Try] = []
        self.where: list[Process] = []
        self.live = 0
        self.closed = False


class Host:
    """Runs one policy and carries its actions out on the model's senders."""

    def __init__(self, world: World, number: int, policy: Decider) -> None:
        self.world = world
        self.number = number
        self.zone = number % world.day.senders.zones
        self.policy = policy
        self.jobs: dict[str, Job] = {}
        self.known: dict[int, ServerEntry] = {}
        self.off: dict[int, int] = {}  # senders told to drain or be gone, since when
        self.up: bool = True
        self.taking: bool = True  # the front may hand it clients
        self.life = self.discovery = 0  # of its processes; of the discoveries, which one it listens to
        self.born = world.now
        self.lines = Lines(world.day.senders.idle_s)
        self.spent = 0  # nanoseconds in the policy
        self.calls = 0
        self.slowest_list = 0

    # ---- events ----

    def tell(self, method: Callable[..., list[Action]], *args: object) -> None:
        """Call a method of the policy with the time, count the processor time, and do what it returns."""
        began = perf_counter_ns()
        actions = method(self.world.now, *args)
        self.spent += perf_counter_ns() - began
        if actions:
            self._do(actions)

    def begin(self, policy: Decider, entries: tuple[ServerEntry, ...], kind: ListKind) -> None:
        """Start a process with a fresh policy and its first list."""
        self.policy = policy
        self.up = self.taking = True
        self.born = self.world.now
        self.known, self.off, self.jobs = {}, {}, {}
        self.tell(policy.on_start)
        self.hear(ServerList(kind, entries))

    def hear(self, update: ServerList) -> None:
        """Take a list from discovery and hand it to the policy."""
        now = self.world.now
        if update.kind is not ListKind.DELTA:
            gone = set(self.known) - {e.id for e in update.entries}
            self.off |= {n: self.off.get(n, now) for n in gone}
        for entry in update.entries:
            self.known[entry.id] = entry
            if entry.state is ServerState.READY:
                self.off.pop(entry.id, None)
            else:
                self.off.setdefault(entry.id, now)
        before = self.spent
        self.tell(self.policy.on_list, update)
        self.slowest_list = max(self.slowest_list, self.spent - before)

    def doubt(self, word: FleetAgreement) -> None:
        """What the fleet has agreed on, or that it can't know; a policy that knows no such word goes on."""
        told = getattr(self.policy, "on_fleet_agreement", None)
        if told is not None and self.up:
            self.tell(told, word)

    def move(self, discovery: int) -> None:
        """SIGHUP: another discovery is listened to from now on."""
        self.discovery = discovery
        moved = getattr(self.policy, "on_discovery_moved", None)  # which policies without watches do not need
        if moved is not None:
            self.tell(moved)

    def die(self) -> None:
        """Its requests are lost with it, its attempts are called off by the resets."""
        self.up = self.taking = False
        self.life += 1
        self.lines.close()
        for job in list(self.jobs.values()):
            if not job.closed:
                job.closed = True
                job.answered(job, "reset", 0)
            for n, sent in enumerate(job.sent):
                if sent.end is None:
                    sent.end = Outcome.CANCELLED
                    self._let_go(job, n)
                    self._withdraw(job, n)
        self.jobs.clear()

    def submit(self, job: Job, hint: int, retry: bool) -> None:
        """Hand a client's request to the policy; `hint` is the cost that it states."""
        world = self.world
        self.jobs[job.name] = job
        self.calls += 1
        world.at(job.deadline, self._expire, job, self.life)
        request = Request(id=job.name, klass=job.klass, deadline=job.deadline, cost_hint=hint, retry=retry)
        self.tell(self.policy.on_request, request)

    def client_gone(self, name: str) -> None:
        """Tell the policy that the client of an open request has left."""
        job = self.jobs.get(name)
        if job is not None and not job.closed:
            job.closed = True
            self.tell(self.policy.on_client_gone, name)
            self._forget(job)

    def _timer(self, token: str, life: int) -> None:
        if life == self.life and (token[:2] != "r:" or token[2:] in self.jobs):
            self.tell(self.policy.on_timer, token)

    def _expire(self, job: Job, life: int) -> None:
        if life != self.life:
            return
        for n in range(len(job.sent)):
            self._end(job, n, Outcome.TIMEOUT)
        if not job.closed:
            self._answer(job, "failed", 0)
            self.tell(self.policy.on_client_gone, job.name)
        self._forget(job)

    # ---- actions ----

    def _do(self, actions: list[Action]) -> None:
        world = self.world
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, SetTimer):
                world.at(action.at, self._timer, action.token, self.life)
            elif isinstance(action, Cancel):
                job = self.jobs.get(action.request_id)
                if job is not None:
                    world.at(world.now, self._end, job, action.attempt, Outcome.CANCELLED)
            elif isinstance(action, Refuse | Fail):
                self._final(action)

    def _final(self, action: Refuse | Fail) -> None:
        job = self.jobs.get(action.request_id)
        if job is None or job.closed:
            text = f"{action.request_id} is answered again"
            self.world.watcher.breach(TWICE, self.world.now, text)
            return
        if isinstance(action, Refuse):
            klass = self.world.settings.classes[job.klass]
            self.world.watcher.refused(self.world.now, job, klass, action.retry_after)
            self.world.refused(job)
            self._answer(job, "refused", action.retry_after)
        else:
            self._answer(job, "failed", 0)
        self._forget(job)

    def _send(self, action: Send) -> None:
        world, now = self.world, self.world.now
        job = self.jobs[action.request_id]
        post = world.holder(action.server)
        # Who is there now, be it the one that is meant or not.
        entry = self.known[action.server] if post.number == action.server else post.entry()
        world.watcher.sending(now, job, world.settings.classes[job.klass], entry, self._off(action.server))
        number = len(job.sent)
        made = Try(job.errand, world.sizes[job.errand], partial(self._back, job, number, self.life))
        job.sent.append(Sent(now, entry))
        job.tries.append(made)
        job.where.append(post.process)
        job.live += 1
        world.attempts += 1
        world.crossings += post.zone != self.zone
        self._set_out(job, number, post)
        if action.timeout and now + action.timeout < job.deadline:
            world.at(now + action.timeout, self._end, job, number, Outcome.TIMEOUT)

    def _off(self, server: int) -> int:
        """Since when it has been told, or counts as told, that a sender drains or is gone; 0: it has not."""
        told = self.world.told_off(server, self)
        known = self.off.get(server, told)
        return min(known, told) if told else known

    def _set_out(self, job: Job, number: int, post: Post) -> None:
        """On a kept connection, or a new one where days have connections."""
        world, made, process = self.world, job.tries[number], post.process
        now, way = world.now, world.way(self.zone, job.errand, post)
        reached = world.ways.open(self.zone, post.zone, now)
        lined = post.shape.connections > 0
        if lined and self.lines.take(process, now):
            made.line = process
            world.at(now + way, self._arrive, job, number, post)
        elif not reached or post.silent and lined:
            world.at(now + post.connect, self._end, job, number, Outcome.CONNECT_FAILED)
        elif not lined:
            world.at(now + way, self._arrive, job, number, post)
        elif process.lines >= post.shape.connections:
            world.at(now + 2 * way, self._end, job, number, Outcome.CONNECT_FAILED)
        else:
            made.line = process
            process.lines += 1
            world.connects += 1
            made.work += int(post.shape.handshake_ms * MS)
            world.at(now + way * (1 + world.day.network.handshake_ways), self._arrive, job, number, post)

    def _arrive(self, job: Job, number: int, post: Post) -> None:
        made = job.tries[number]
        job.where[number] = post.process
        if not made.told and self.world.ways.open(self.zone, post.zone, self.world.now):
            post.process.arrive(made)

    def _let_go(self, job: Job, number: int) -> None:
        """Of the connection that an attempt was on: kept after a whole answer, else closed."""
        made, end = job.tries[number], job.sent[number].end
        line, made.line = made.line, None
        if line is None:
            return
        if line.up and end in (Outcome.OK, Outcome.ERROR, Outcome.FULL) and self.up:
            self.lines.keep(line, self.world.now)
        else:
            line.lines -= 1

    def _withdraw(self, job: Job, number: int) -> None:
        world = self.world
        post = job.where[number].post
        world.at(world.now + world.way(self.zone, job.errand, post), self._call_off, job, number)

    def _call_off(self, job: Job, number: int) -> None:
        made = job.tries[number]
        job.where[number].call_off(made)

    # ---- ends ----

    def _back(self, job: Job, number: int, life: int, outcome: Outcome, report: LoadReport | None) -> None:
        """An answer sets out."""
        if life == self.life and job.sent[number].end is None:
            world, post = self.world, job.where[number].post
            if world.ways.open(self.zone, post.zone, world.now):
                way = world.way(self.zone, job.errand, post)
                world.at(world.now + way, self._end, job, number, outcome, report)

    def _end(self, job: Job, number: int, outcome: Outcome, report: LoadReport | None = None) -> None:
        sent = job.sent[number]
        if sent.end is not None or not self.up:
            return
        sent.end = outcome
        job.live -= 1
        self._let_go(job, number)
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self._withdraw(job, number)
        if outcome is Outcome.OK and not job.closed:
            self.world.useful += job.tries[number].held
            self._answer(job, "ok", 0)
        took = self.world.now - sent.at
        end = AttemptEnd(job.name, number, sent.entry.id, outcome, took, job.closed, report)
        self.tell(self.policy.on_attempt_end, end)
        self._forget(job)

    def _answer(self, job: Job, how: str, advice: int) -> None:
        job.closed = True
        job.answered(job, how, advice)

    def _forget(self, job: Job) -> None:
        if job.closed and not job.live:
            self.jobs.pop(job.name, None)

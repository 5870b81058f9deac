"""Test harness for one balancer: feeds events, fires timers and checks every action against the rules."""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.rules import Balancer
from dykeshift.interface import (
    NOT_RUN,
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    Idempotency,
    ListKind,
    LoadReport,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Scope,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Watch,
)

MS = 1_000_000
S = 1000 * MS

SAFE = RequestClass("read", 200 * MS, 500 * MS, 2.0, 0.0, Idempotency.SAFE, Scope.ALL, 0)
KEYED_CELL = RequestClass("put", 400 * MS, 800 * MS, 3.0, 0.25, Idempotency.KEYED, Scope.CELL, 300 * MS)
UNSAFE = RequestClass("post", 400 * MS, 1500 * MS, 5.0, 0.2, Idempotency.UNSAFE, Scope.ALL, 0)
KEYED_ALL = RequestClass("set", 400 * MS, 800 * MS, 3.0, 0.25, Idempotency.KEYED, Scope.ALL, 300 * MS)
KEYED_ZONE = RequestClass("zset", 400 * MS, 800 * MS, 3.0, 0.25, Idempotency.KEYED, Scope.ZONE, 300 * MS)
CLASSES = (SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE)


def make_settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": CLASSES,
        "balancers": 4,
        "zone": 0,
        "ask_discovery": False,
        "ask_every": 10 * S,
        "attempt_limit": 3,
        "copies_allowed": True,
        "cancel_allowed": True,
        "cold_share": 0.12,
        "cold_time": 24 * S,
        "overload_multiple": 2.5,
        "overload_window": 1500 * MS,
        "answer_slack": 20 * MS,
        "step": 5 * MS,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def entry(n: int, state: ServerState = ServerState.READY, started: int = 0, **kw: int) -> ServerEntry:
    return ServerEntry(
        id=n,
        zone=kw.get("zone", n % 2),
        cell=kw.get("cell", n % 3),
        kind=kw.get("kind", 0),
        state=state,
        weight=1.0,
        started=started,
    )


@dataclass
class Seen:
    """What the harness has observed of one request; the lists are indexed by attempt."""

    request: Request
    klass: RequestClass
    servers: list[int] = field(default_factory=list)
    sent: list[int] = field(default_factory=list)
    ends: list[Outcome | None] = field(default_factory=list)
    final: str = ""


class World:
    """A balancer with its server list, timers and requests, in virtual time."""

    def __init__(self, settings: Settings | None = None, seed: int = 1, start: int = 100 * S) -> None:
        self.settings = settings or make_settings()
        self.balancer = Balancer(self.settings, seed)
        self.now = start
        self.requests: dict[str, Seen] = {}
        self.timers: list[tuple[int, str]] = []
        self.list: dict[int, ServerEntry] = {}
        self.ever: set[int] = set()
        self.actions: list[Action] = []
        self.watches = 0
        self.count = 0
        self.play(self.balancer.on_start(self.now))

    # -- actions of the balancer --

    def play(self, actions: list[Action]) -> list[Action]:
        self.actions += actions
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse | Fail):
                seen = self.requests[action.request_id]
                assert not seen.final, "a second final answer"
                if isinstance(action, Refuse):
                    self.check_refuse(seen)
                seen.final = type(action).__name__
            elif isinstance(action, Cancel):
                assert action.attempt < len(
                    self.requests[action.request_id].servers
                ), "cancelled an attempt that was never sent"
            elif isinstance(action, SetTimer):
                assert action.at > self.now and " " not in action.token and len(action.token) <= 64
                self.timers.append((action.at, action.token))
            elif isinstance(action, Watch):
                self.watches += 1
        return actions

    @staticmethod
    def anchor(seen: Seen) -> int | None:
        """Return the first attempt that may have run: no outcome yet, or one that does not exclude it."""
        return next((n for n, end in enumerate(seen.ends) if end not in NOT_RUN), None)

    def check_send(self, send: Send) -> None:
        seen, target = self.requests[send.request_id], self.list.get(send.server)
        assert not seen.final, "sent after the final answer"
        assert self.now < seen.request.deadline
        assert len(seen.servers) < self.settings.attempt_limit
        assert (
            target is not None and target.state is ServerState.READY
        ), "sent to a draining or removed server"
        assert send.timeout >= 0
        if None in seen.ends:
            assert self.settings.copies_allowed
        first = self.anchor(seen)
        if first is not None:
            kind, first_server = seen.klass.idempotency, self.list.get(seen.servers[first])
            assert kind is not Idempotency.UNSAFE, "an unsafe request was sent twice"
            if kind is Idempotency.KEYED:
                assert self.now < seen.sent[first] + seen.klass.window
                if seen.klass.scope is Scope.CELL:
                    assert first_server is None or first_server.cell == target.cell
                if seen.klass.scope is Scope.ZONE:
                    assert first_server is None or first_server.zone == target.zone
        seen.servers.append(send.server)
        seen.sent.append(self.now)
        seen.ends.append(None)

    def check_refuse(self, seen: Seen) -> None:
        kind, may_have_run = seen.klass.idempotency, self.anchor(seen) is not None
        if may_have_run and kind is Idempotency.UNSAFE:
            raise AssertionError("refused an unsafe request that may have run")
        if may_have_run and kind is Idempotency.KEYED:
            assert seen.klass.scope is Scope.ALL, "refused a keyed request that may have run"

    # -- events for the balancer --

    def submit(self, klass: int = 0, patience: int | None = None, hint: int = 0) -> str:
        self.count += 1
        rid, k = f"q{self.count}", self.settings.classes[klass]
        request = Request(id=rid, klass=klass, deadline=self.now + (patience or k.deadline), cost_hint=hint)
        self.requests[rid] = Seen(request, k)
        self.play(self.balancer.on_request(self.now, request))
        return rid

    def end(self, rid: str, attempt: int, outcome: Outcome, report: LoadReport | None = None) -> list[Action]:
        seen = self.requests[rid]
        assert seen.ends[attempt] is None
        seen.ends[attempt] = outcome
        if outcome is Outcome.OK and not seen.final:
            seen.final = "OK"
        return self.play(
            self.balancer.on_attempt_end(
                self.now,
                AttemptEnd(
                    rid,
                    attempt,
                    seen.servers[attempt],
                    outcome,
                    self.now - seen.sent[attempt],
                    bool(seen.final),
                    report,
                ),
            )
        )

    def end_all(self, rid: str, outcome: Outcome = Outcome.OK) -> None:
        """End every attempt of a request that is in flight, also those sent in response to an earlier end."""
        for n, end in enumerate(self.requests[rid].ends):
            if end is None:
                self.end(rid, n, outcome)

    def gone(self, rid: str) -> None:
        self.requests[rid].final = self.requests[rid].final or "gone"
        self.play(self.balancer.on_client_gone(self.now, rid))

    def announce(self, kind: ListKind, *entries: ServerEntry) -> None:
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.list = {}
        for server in entries:
            self.list[server.id] = server
        self.play(self.balancer.on_list(self.now, ServerList(kind, tuple(entries))))

    def out(self) -> list[tuple[str, int]]:
        """Return all attempts in flight as (request id, attempt number)."""
        return [
            (rid, n) for rid, seen in self.requests.items() for n, end in enumerate(seen.ends) if end is None
        ]

    def advance(self, span: int) -> None:
        """Let time pass: timers fire when due, attempts in flight time out at their request's deadline."""
        target = self.now + span
        while True:
            overdue = [(self.requests[r].request.deadline, r, n) for r, n in self.out()]
            at = min([t for t, _ in self.timers] + [t for t, _, _ in overdue], default=target + 1)
            if at > target:
                break
            self.now = max(self.now, at)
            for t, token in sorted(x for x in self.timers if x[0] <= self.now):
                self.timers.remove((t, token))
                self.play(self.balancer.on_timer(self.now, token))
            for t, r, n in overdue:
                if t <= self.now and self.requests[r].ends[n] is None:
                    self.end(r, n, Outcome.TIMEOUT)
            self.check_answers()
        self.now = target
        self.check_answers()

    def check_answers(self) -> None:
        for rid, seen in self.requests.items():
            last = seen.request.deadline + self.settings.answer_slack
            assert seen.final or self.now <= last, f"{rid} is overdue"

    def settle(self) -> None:
        """End all attempts and check that all clients are answered and the balancer keeps no request."""
        self.advance(max(k.deadline for k in self.settings.classes) + S)
        for rid, n in self.out():
            self.end(rid, n, Outcome.CANCELLED)
        assert all(seen.final for seen in self.requests.values())
        assert not self.balancer.open, "the balancer still holds closed requests"

"""What an installation counts, and the rules that it can check from where it stands: clients and senders.

A part of the simulation's referee: real time allows no look between two events, so what needs one (the
drain's grace to the millisecond, the cold budget) is left to the simulation.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from typing import TYPE_CHECKING

from dykeshift.standins.client import Address, Errand
from dykeshift.standins.messages import Message

if TYPE_CHECKING:
    from dykeshift.standins.sender import Sender

LATE = 0.058  # seconds after its time that an answer still counts as in time, and SCHEDULING more
SCHEDULING = 0.2  # seconds that this process itself may be late on a busy machine
GRACE = 0.3  # seconds after a drain was ordered in which new requests may still come, and SCHEDULING more


class Tally:
    """Account of clients and witness of senders: it counts, and notes broken rules."""

    def __init__(self) -> None:
        self.answers: Counter[str] = Counter()
        self.classes: Counter[str] = Counter()
        self.broken_rules: list[str] = []
        self.notes: deque[str] = deque(maxlen=8)
        self.names: dict[Address, str] = {}
        self.due: dict[str, float] = {}
        self.made_by: dict[str, set[str]] = {}
        self.effects: Counter[str] = Counter()
        self.deaths: dict[str, list[float]] = {}
        self.draining: dict[str, float] = {}
        self.latencies: deque[float] = deque(maxlen=500)
        self.began: dict[str, float] = {}
        self.closing = False
        self.late = LATE  # seconds after its time that an answer still counts as in time

    def note(self, text: str) -> None:
        """Keep a line for the live view, with the time of day."""
        self.notes.append(f"{time.strftime('%H:%M:%S')}  {text}")

    def breach(self, text: str) -> None:
        """Note a broken rule."""
        self.broken_rules.append(text)
        self.note(f"RULE BROKEN: {text}")

    def died(self, balancer: str, now: float) -> None:
        """A balancer was killed at `now` (seconds, monotonic): its requests may be cut off."""
        self.deaths.setdefault(balancer, []).append(now)

    def told_to_drain(self, sender: str, now: float) -> None:
        """A sender drains from `now` (seconds, monotonic) on."""
        self.draining[sender] = now

    def _excused(self, rid: str, to: Address) -> bool:
        began = self.began.get(rid, 0.0)
        deaths = self.deaths.get(self.names.get(to, ""), ())
        return self.closing or any(at >= began - SCHEDULING for at in deaths)

    # The account of clients.

    def sent(self, errand: Errand, rid: str, to: Address) -> None:
        """A request is with the client's kernel."""
        now = time.monotonic()
        self.classes[errand.klass] += 1
        self.began[rid], self.due[rid] = now, now + errand.deadline

    def answered(self, errand: Errand, rid: str, to: Address, answer: Message) -> None:
        """Check an answer against its time and against what senders did."""
        now = time.monotonic()
        status = answer.status
        kind = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        self.answers[kind] += 1
        self.latencies.append(now - self.began[rid])
        if now > self.due[rid] + self.late + SCHEDULING:
            self.breach(f"{rid} is answered {1000 * (now - self.due[rid]):.0f} ms after its time")
        ran = self.made_by.pop(rid, set())
        if status == 200:
            name = answer.body.decode("latin-1").partition(" did ")[0]
            if name not in ran or rid.encode() not in answer.body:
                self.breach(f"{rid} is served with what no sender made for it")
        elif kind == "refused" and errand.kind != "safe" and ran:
            self.breach(f"{rid} ({errand.kind}) is refused and has run")
        self._forget(rid)

    def broken(self, errand: Errand, rid: str, to: Address, begun: bool) -> None:
        """A connection ended without a whole answer."""
        if self._excused(rid, to):
            self.answers["cut off by a death"] += 1
        else:
            self.answers["cut off"] += 1
            if self.made_by.get(rid):
                self.breach(f"{rid} has run, and its connection ended without an answer")
        self._forget(rid)

    def left(self, errand: Errand, rid: str, to: Address) -> None:
        """A client gave up."""
        if self._excused(rid, to):
            self.answers["cut off by a death"] += 1
        else:
            self.answers["unanswered"] += 1
            self.breach(f"{rid} has no answer in its time")
        self._forget(rid)

    def extra(self, to: Address, data: bytes) -> None:
        """Bytes came that answer nothing: a breach."""
        self.breach(f"bytes that answer nothing: {data[:40]!r}")

    def _forget(self, rid: str) -> None:
        self.due.pop(rid, None)
        self.made_by.pop(rid, None)

    # The witness of senders.

    def arrived(self, sender: Sender, request: Message) -> None:
        """A request came to a sender; one that drains should get none."""
        since = self.draining.get(sender.name)
        if since is not None and time.monotonic() > since + GRACE + SCHEDULING:
            self.breach(f"{request.headers['x-request-id']} comes to {sender.name}, which drains")

    def ran(self, sender: Sender, request: Message, repeat: bool) -> None:
        """A sender ran a request; one that must not be repeated may take effect once."""
        self.made_by.setdefault(request.headers["x-request-id"], set()).add(sender.name)
        errand, klass = request.query("errand"), request.query("kind")
        if klass == "status-check" or repeat:
            return
        self.effects[errand] += 1
        if self.effects[errand] > 1:
            self.breach(f"{errand} ({klass}) takes effect twice")

    def turned_away(self, sender: Sender, request: Message) -> None:
        """A sender refused a request."""
        self.answers["turned away by senders"] += 1

    def fell(self, sender: Sender) -> None:
        """A cold sender was pushed over: a breach."""
        self.breach(f"{sender.name} was pushed over while it was cold")

"""A stand-in sender: an SMS server as the protocol page and the rules describe one.

It has slots, a waiting room, a cold start, a rack (`cell`) whose members drop repeats of a key for a while,
and a way to go wrong. Work is counted in milliseconds on one slot of a warm sender. It answers with the
load report that the settings name. What it sees it tells its `Witness`; it judges nothing itself.

The cold budget is the rules': more work within any `fall_window` than `fall_multiple` times what it can do
now, and it falls over: it resets what it has, answers nothing more and stays down.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Any, Protocol

from dykeshift.standins import hl7
from dykeshift.standins.messages import Message, Messages, render


LONGEST = 3.0  # seconds that one request takes at the most, however slow the sender
STREAM_PIECES = 8  # of an answer that comes in pieces
STREAM_PIECE = 3000  # bytes of each
STREAM_PAUSE = 0.03  # seconds between two of them
KEPT = 0.2  # seconds: what the way takes, so that a repeat sent within the window is always known


class Witness(Protocol):
    """Whoever keeps account of what happens at senders."""

    def arrived(self, sender: Sender, request: Message) -> None:
        """A request came, before it is decided what becomes of it."""

    def ran(self, sender: Sender, request: Message, repeat: bool) -> None:
        """A request was executed; `repeat`: its rack had seen its key before."""

    def turned_away(self, sender: Sender, request: Message) -> None:
        """A request was refused without being run."""

    def fell(self, sender: Sender) -> None:
        """The sender fell over."""


@dataclass(frozen=True, slots=True)
class Shape:
    """What a sender is, whatever happens to it."""

    slots: int = 2
    queue: int = 16
    speed: float = 1.0
    cold_share: float = 0.2  # of its capacity right after its start
    cold_time: float = 6.0  # seconds until it is warm
    fall_multiple: float = 3.0
    fall_window: float = 3.0  # seconds
    heavy: float = 200.0  # of one request's work, no more counts against the budget: no balancer sees it
    most_connections: int = 200
    keepalive: float = 10.0  # seconds that it keeps an idle connection
    key_window: float = 4.0  # seconds in which a repeat of a key is dropped, with KEPT more


@dataclass(slots=True)
class Mood:
    """How it goes wrong just now; faults change it."""

    hang: bool = False  # takes requests, answers nothing
    hang_classes: tuple[str, ...] = ()  # the same for these alone
    slow: float = 1.0  # times the work
    error_share: float = 0.0  # answers 500, having run
    lose_share: float = 0.0  # runs and never answers
    reset_share: float = 0.0  # runs and resets
    garble_share: float = 0.0  # runs and answers what cannot be read
    extra_share: float = 0.0  # answers, and something more behind
    stream_share: float = 0.0  # answers in pieces, with no length told
    repeat_share: float = 0.0  # of the answers in pieces: a second copy comes right behind the last piece
    forget_share: float = 0.0  # closes connections that stood idle


def cost_of(request: Message) -> float:
    """Milliseconds of work, as the request's target says."""
    text = request.query("cost")
    return float(text) if text.isdecimal() else 10.0


def without_padding(body: bytes) -> bytes:
    """The first line of a streamed answer if its padding is complete or absent, else all of it."""
    line, _, rest = body.partition(b"\n")
    return line if rest in (b"", b"." * STREAM_PIECE * STREAM_PIECES) else body


class Rack:
    """The members of one cell: which keys they have seen of late."""

    def __init__(self) -> None:
        self.seen: dict[str, float] = {}

    def repeat(self, key: str, now: float, window: float) -> bool:
        """Whether the key was seen within the window (seconds); a new one is remembered from `now` on."""
        first = self.seen.get(key)
        if first is not None and now - first <= window + KEPT:
            return True
        self.seen[key] = now
        return False


@dataclass(slots=True, eq=False)
class Work:
    """A request that runs or waits; `cost` is in milliseconds of a warm slot."""

    request: Message
    link: Link
    cost: float
    repeat: bool  # its rack had seen its key when it came
    timer: asyncio.TimerHandle | None = None


@dataclass(eq=False)
class Sender:
    """One process of a sender; `rng` draws its moods."""

    name: str
    cell: int
    rack: Rack
    witness: Witness
    rng: Random
    shape: Shape = field(default_factory=Shape)
    mood: Mood = field(default_factory=Mood)
    cold: bool = False
    link: Callable[[Sender], Link] = field(default_factory=lambda: Link)
    loop: asyncio.AbstractEventLoop = field(init=False)

    def __post_init__(self) -> None:
        self.links: dict[Link, None] = {}
        self.running: dict[Work, None] = {}
        self.queue: deque[Work] = deque()
        self.draining = False
        self.down = False
        self.began = 0.0
        self.pressure: deque[tuple[float, float]] = deque()  # when, work that came within the window
        self.pressed = 0.0
        self.errors = 0
        self.server: Any = None

    async def serve(self, host: str, port: int) -> None:
        """Listen and go on until cancelled or killed."""
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.server = await self.loop.create_server(lambda: self.link(self), host, port)
        await self.loop.create_future()

    # ---- capacity ----

    def warmth(self) -> float:
        """The share of its full speed that it has now, 1 once it is warm."""
        age = self.loop.time() - self.began
        if not self.cold or age >= self.shape.cold_time:
            return 1.0
        return self.shape.cold_share + (1 - self.shape.cold_share) * age / self.shape.cold_time

    def _press(self, cost: float) -> None:
        """Count work against the cold budget, with one request of slack for chance."""
        now = self.loop.time()
        self.pressure.append((now, cost))
        self.pressed += cost
        while self.pressure[0][0] < now - self.shape.fall_window:
            self.pressed -= self.pressure.popleft()[1]
        warmth = self.warmth()
        if warmth >= 1:
            return
        bears = self.shape.slots * self.shape.speed * 1000 * self.shape.fall_window * warmth
        slack = 3 * cost
        if self.pressed > self.shape.fall_multiple * bears + slack:
            self.fall()

    def fall(self) -> None:
        """Go down for good: drop all work and all connections, and stop listening."""
        if self.down:
            return
        self.down = True
        self.witness.fell(self)
        for work in [*self.running, *self.queue]:
            if work.timer is not None:
                work.timer.cancel()
        self.running.clear()
        self.queue.clear()
        for link in list(self.links):
            link.abort()
        if self.server is not None:
            self.server.close()

    # ---- requests ----

    def backlog(self) -> float:
        """Seconds that what waits will take, about."""
        costs = sum(work.cost for work in self.queue) * self.mood.slow
        return costs / 1000 / self.shape.slots / self.shape.speed / max(self.warmth(), 0.01)

    def full(self) -> bool:
        """Whether all slots and the waiting room are taken."""
        return len(self.running) >= self.shape.slots and len(self.queue) >= self.shape.queue

    def take(self, link: Link, request: Message) -> None:
        """Take a request: run it, queue it, or turn it away."""
        if "x-request-id" not in request.headers:
            link.answer(404, b"no id\n")
            return
        self.witness.arrived(self, request)
        cost = cost_of(request)
        self._press(min(cost, self.shape.heavy))
        if self.down:
            return
        if self.draining or self.full():
            self.witness.turned_away(self, request)
            link.answer(503, b"", {"X-Not-Run": "1"})
            return
        key = request.headers.get("idempotency-key")
        repeat = key is not None and self.rack.repeat(key, self.loop.time(), self.shape.key_window)
        work = Work(request, link, cost, repeat)
        if self.mood.hang or request.query("kind") in self.mood.hang_classes:
            self.queue.append(work)  # taken, and nothing comes of it until it wakes
            return
        if len(self.running) < self.shape.slots:
            self._begin(work)
        else:
            self.queue.append(work)

    def wake(self) -> None:
        """Go on with what was taken while it hung, but for what nobody waits for any more."""
        self.queue = deque(work for work in self.queue if work.link.here())
        while self.queue and len(self.running) < self.shape.slots:
            self._begin(self.queue.popleft())

    def _begin(self, work: Work) -> None:
        speed = self.shape.speed * self.warmth()
        noise = 0.7 + 0.6 * self.rng.random()
        length = min(work.cost * self.mood.slow * noise / 1000 / max(speed, 0.01), LONGEST)
        work.timer = self.loop.call_later(length, self._done, work)
        self.running[work] = None
        self.witness.ran(self, work.request, work.repeat)

    def _done(self, work: Work) -> None:
        self.running.pop(work, None)
        if self.queue and not self.mood.hang:
            self._begin(self.queue.popleft())
        self._reply(work)

    def _reply(self, work: Work) -> None:
        mood, draw, link = self.mood, self.rng.random(), work.link
        body = f"{self.name} did {work.request.headers['x-request-id']}\n".encode()
        for share, act in (
            (mood.error_share, self._error),
            (mood.lose_share, lambda _, __: None),
            (mood.reset_share, lambda at, _: at.abort()),
            (mood.garble_share, self._garble),
            (mood.extra_share, self._extra),
            (mood.stream_share, self._stream),
        ):
            if draw < share:
                act(link, body)
                return
            draw -= share
        link.answer(200, body, self.report())

    def report(self) -> dict[str, str]:
        """The load report's header."""
        load = {"busy_reqs": len(self.running), "cpu_share": round(len(self.running) / self.shape.slots, 2)}
        return {"X-Load": json.dumps(load, separators=(",", ":"))}

    def _error(self, link: Link, body: bytes) -> None:
        link.answer(500, b"error\n", self.report())

    def _garble(self, link: Link, body: bytes) -> None:
        link.garble(body)

    def _extra(self, link: Link, body: bytes) -> None:
        link.extra(body)

    def _stream(self, link: Link, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        pieces = [body, *[b"." * STREAM_PIECE] * STREAM_PIECES]
        chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
        end = b"0\r\n\r\n"
        if self.mood.repeat_share and self.rng.random() < self.mood.repeat_share:
            copy = b"".join([head, *chunks, end])
            end = chunks.pop() + end + copy
        link.raw(head)
        for number, chunk in enumerate(chunks):
            self.loop.call_later(number * STREAM_PAUSE, link.raw, chunk)
        self.loop.call_later(len(pieces) * STREAM_PAUSE, self._end_stream, link, end)

    @staticmethod
    def _end_stream(link: Link, end: bytes) -> None:
        link.raw(end)
        link.free()

    def drain(self) -> None:
        """Refuse new requests; what is there is finished."""
        self.draining = True

    def quiet(self) -> bool:
        """Whether nothing runs or waits."""
        return not self.running and not self.queue


class Link(asyncio.Protocol):
    """A connection from a balancer: one request at a time, as it came."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.messages = Messages()
        self.transport: Any = None
        self.open_requests = 0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Register the connection, or reset it beyond the limit or when the sender is down."""
        self.transport = transport
        if len(self.sender.links) >= self.sender.shape.most_connections or self.sender.down:
            transport.abort()
            return
        self.sender.links[self] = None
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection and its timer."""
        self.sender.links.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Take each whole request; reset where it makes no sense."""
        try:
            for request in self.messages.feed(data):
                self.open_requests += 1
                if request.headers.get("content-type") == hl7.MEDIA_TYPE:
                    request = hl7.as_request(request.body, request.headers)
                self.sender.take(self, request)
        except ValueError:
            self.abort()

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Write an HTTP answer and be ready for the next request."""
        self.raw(render(f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", headers or {}, body))
        self.free()

    def raw(self, data: bytes) -> None:
        """Write bytes as they are, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def garble(self, body: bytes) -> None:
        """Write something that is no sound answer."""
        self.raw(
            self.sender.rng.choice(
                [
                    b"\x00\xff\x13garbage\r\n\r\n",
                    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n" + body,
                    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body,
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(body) + 40) + body,
                    b"HTTP/1.1 200 OK\r\nX-Endless: " + b"a" * 70_000,
                    b"HTTP/1.1 200 OK\r\n\r\n" + body,
                ]
            )
        )

    def extra(self, body: bytes) -> None:
        """Write a sound answer with something before or behind it, or with a bad report."""
        report = self.sender.report()
        whole = render("HTTP/1.1 200 OK", report, body)
        self.raw(
            self.sender.rng.choice(
                [
                    b"HTTP/1.1 102 Processing\r\n\r\n" + whole,
                    whole + whole,
                    whole + b"noise",
                    render("HTTP/1.1 200 OK", {"X-Load": "{{no json"}, body),
                ]
            )
        )
        self.free()

    def free(self) -> None:
        """A request is answered; wait for the next one."""
        self.open_requests -= 1
        self._rest()

    def here(self) -> bool:
        """Whether the connection is still open."""
        return self in self.sender.links

    def _rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        keep = self.sender.shape.keepalive
        if self.sender.rng.random() < self.sender.mood.forget_share:
            keep *= self.sender.rng.random()
        self.timer = self.sender.loop.call_later(keep, self._tired)

    def _tired(self) -> None:
        if not self.open_requests and self._idle():
            self.abort()

    def _idle(self) -> bool:
        return self.messages.idle()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

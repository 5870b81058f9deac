"""Stand-in clients: they ask, wait as long as they said, retry where the protocol allows it, and keep
connections; and the front that deals their connections out among balancers.

An `Errand` is one thing that a client wants done; each try of it is a request with an id of its own. What
becomes of each try is told to an `Account`, which judges; clients themselves judge nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from dykeshift.standins.messages import Message, MessageError, Messages, render

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Errand:
    """One thing to be done. Times in seconds."""

    name: str
    klass: str
    kind: str  # "safe", "keyed" or "unsafe"
    deadline: float
    cost: int = 10  # milliseconds of work
    retries: int = 0
    hint: int = 0  # microseconds; 0: not told
    body: int = 20  # bytes
    leaves: float | None = None  # the client goes away after this long
    marks: dict[str, str] = field(default_factory=dict, hash=False)  # further headers
    pause: float = 0.0  # of the client between connecting and asking, on a new connection of its own
    to: Address | None = None  # the balancer that is asked, whatever the front says; None: as the front says


class Account(Protocol):
    """Hears what becomes of every try."""

    def sent(self, errand: Errand, rid: str, to: Address) -> None:
        """Its last byte has been handed to the client's kernel."""

    def answered(self, errand: Errand, rid: str, to: Address, answer: Message) -> None:
        """A whole answer came."""

    def broken(self, errand: Errand, rid: str, to: Address, begun: bool) -> None:
        """Its connection ended without a whole answer; `begun`: of one that is seen not to be whole."""

    def left(self, errand: Errand, rid: str, to: Address) -> None:
        """The client gave up or went away."""

    def extra(self, to: Address, data: bytes) -> None:
        """Bytes came that answer nothing."""


class Front:
    """Deals out connections among the balancers of a zone; it notices a death late."""

    def __init__(self, rng: Random, notice: float) -> None:
        self.rng = rng
        self.notice = notice
        self.taken_in: dict[Address, float] = {}  # and when each was last known to be well
        self.loop: asyncio.AbstractEventLoop | None = None

    async def watch(self, addresses: list[Address], every: float = 0.1) -> None:
        """Ask each for /ready until it says so, then take it in; a dead one goes after `notice` seconds."""
        self.loop = asyncio.get_running_loop()
        await asyncio.gather(*(self._watch(address, every) for address in addresses))

    async def _watch(self, address: Address, every: float) -> None:
        assert self.loop is not None
        while True:
            if await self._ready(address):
                self.taken_in[address] = self.loop.time()
            elif address in self.taken_in and self.loop.time() - self.taken_in[address] > self.notice:
                del self.taken_in[address]
            await asyncio.sleep(every if address not in self.taken_in else 1.0)

    async def _ready(self, address: Address) -> bool:
        assert self.loop is not None
        probe = Probe(self.loop.create_future())
        try:
            async with asyncio.timeout(0.4):
                transport, _ = await self.loop.create_connection(lambda: probe, *address)
                try:
                    transport.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                    return await probe.status == 200
                finally:
                    transport.abort()
        except (OSError, TimeoutError):
            return False

    def pick(self) -> Address | None:
        """A balancer that is taken in, at random; None while there is none."""
        known = list(self.taken_in)
        return known[int(self.rng.random() * len(known))] if known else None


class Probe(asyncio.Protocol):
    """A health probe's connection; `status` gets the answer's status, 0 where there is none."""

    def __init__(self, status: asyncio.Future[int]) -> None:
        self.status = status
        self.messages = Messages()

    def data_received(self, data: bytes) -> None:
        """Take the status of the first whole answer."""
        try:
            for message in self.messages.feed(data):
                self._set(message.status)
        except (MessageError, ValueError, IndexError):
            self._set(0)

    def connection_lost(self, exc: Exception | None) -> None:
        """The probe has failed, unless it was answered before."""
        self._set(0)

    def _set(self, status: int) -> None:
        if not self.status.done():
            self.status.set_result(status)


class Line(asyncio.Protocol):
    """A client's connection, kept between requests."""

    def __init__(self, crowd: Crowd, to: Address) -> None:
        self.crowd = crowd
        self.to = to
        self.messages = Messages()
        self.transport: Any = None
        self.trial: Trial | None = None
        self.answers = 0
        self.lost = False
        self.written = self.mark = 0  # bytes: in all, and before the request that is on it

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Hand a whole answer to the try that waits for it; anything else is reported as extra."""
        trial = self.trial
        try:
            got = self.messages.feed(data)
        except MessageError:
            self.crowd.account.extra(self.to, data)
            self.close()
            return
        if trial is None:
            self.crowd.account.extra(self.to, data)
            self.close()
            return
        trial.fed = True
        if not got:
            return
        if len(got) > 1 or not self.messages.idle():
            self.crowd.account.extra(self.to, data)
        self.trial = None
        self.answers += 1
        keep = got[0].headers.get("connection", "").lower() != "close"
        if keep and not self.transport.is_closing():
            self.crowd.idle.setdefault(self.to, []).append(self)
        else:
            self.close()
        trial.answered(got[0])

    def eof_received(self) -> bool:
        """Close with the other side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the kept connections; a try that still waits is broken."""
        self.lost = True
        rest = self.crowd.idle.get(self.to, [])
        if self in rest:
            rest.remove(self)
        trial, self.trial = self.trial, None
        if trial is not None:
            trial.broken(first=self.answers == 0)

    def close(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class Trial:
    """One try of an errand: one request on one connection."""

    def __init__(self, crowd: Crowd, errand: Errand, number: int, began: float) -> None:
        self.crowd, self.errand, self.number, self.began = crowd, errand, number, began
        self.rid = f"{errand.name}-{number}"
        self.line: Line | None = None
        self.to: Address = ("", 0)
        self.fed = self.sent = self.over = self.moved = False
        self.timers: list[asyncio.TimerHandle] = []

    async def go(self) -> None:
        """Send the try over a kept connection, or over a new one."""
        to = self.errand.to or self.crowd.front.pick()
        if to is None:
            self.end("unreached")
            return
        self.to = to
        idle = self.crowd.idle.get(to, [])
        while idle and not self.errand.pause:
            line = idle.pop()
            if not line.lost and not line.transport.is_closing():
                self.write(line)
                return
        await self._connect(to)

    async def _connect(self, to: Address) -> None:
        loop = self.crowd.loop
        try:
            async with asyncio.timeout(0.5):
                _, line = await loop.create_connection(lambda: Line(self.crowd, to), *to)
        except (OSError, TimeoutError):
            self.end("unreached")
            return
        if self.errand.pause and not self.moved:
            loop.call_later(self.errand.pause, self._write_late, line)
        else:
            self._write_late(line)

    def _write_late(self, line: Line) -> None:
        if line.lost or line.transport.is_closing():
            self.end("unreached")
        else:
            self.write(line)

    def write(self, line: Line) -> None:
        """Write the request and start its timers."""
        if self.over:
            line.close()
            return
        errand, loop = self.errand, self.crowd.loop
        self.line, line.trial = line, self
        headers = {
            "Host": "backend.local",
            "X-Request-Id": self.rid,
            "X-Class": errand.klass,
            "X-Deadline-Ms": str(int(errand.deadline * 1000)),
            **errand.marks,
        }
        if errand.hint:
            headers["X-Cost-Hint"] = str(errand.hint)
        if self.number:
            headers["X-Retry"] = "1"
        method = "GET" if errand.kind == "safe" else "POST"
        if errand.kind == "keyed":
            headers["Idempotency-Key"] = f"key-{errand.name}"
        target = f"/api?errand={errand.name}&kind={errand.klass}&cost={errand.cost}"
        if method == "GET":
            lines = [f"GET {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
            data = "\r\n".join(lines).encode() + b"\r\n\r\n"
        else:
            data = render(f"POST {target} HTTP/1.1", headers, b"x" * errand.body)
        line.mark = line.written
        line.written += len(data)
        line.transport.write(data)
        self.sent = True
        self.crowd.account.sent(errand, self.rid, self.to)
        wait = errand.deadline if errand.leaves is None else min(errand.leaves, errand.deadline)
        # It reads on a little past its deadline: what comes late is to be seen.
        grace = self.crowd.grace if errand.leaves is None else 0.0
        self.timers.append(loop.call_later(wait + grace, self._give_up))

    def _give_up(self) -> None:
        if not self.over:
            self.crowd.account.left(self.errand, self.rid, self.to)
            line, self.line = self.line, None
            if line is not None:
                line.trial = None
                line.close()
            self.end("left")

    def answered(self, answer: Message) -> None:
        """Take the answer and end the try."""
        self.crowd.account.answered(self.errand, self.rid, self.to, answer)
        self.end("refused" if answer.status in (429, 503) else "done", answer)

    def broken(self, first: bool) -> None:
        """The connection ended without a whole answer; `first`: it never gave one."""
        line = self.line
        if not first and not self.fed and not self.moved and line is not None and self.crowd.unread(line):
            # A kept connection that closed as the request went out: once more on a new one.
            self.moved = True
            for timer in self.timers:
                timer.cancel()
            self.crowd.loop.create_task(self._connect(self.to))
            return
        if first and not self.fed and self.crowd.on_unserved is not None:
            self.crowd.on_unserved(self.errand, self.rid, self.to)
        begun = line is not None and line.messages.chunked and line.messages.head is not None
        self.crowd.account.broken(self.errand, self.rid, self.to, begun)
        self.end("broken")

    def end(self, how: str, answer: Message | None = None) -> None:
        """End the try once, with how it went: `done`, `refused`, `broken`, `unreached` and the like."""
        if self.over:
            return
        self.over = True
        for timer in self.timers:
            timer.cancel()
        self.crowd.ended(self, how, answer)


@dataclass(eq=False)
class Crowd:
    """All clients of a zone together."""

    front: Front
    account: Account
    rng: Random
    grace: float = 0.3  # seconds past its deadline that a client stays to see what comes
    backoff: float = 0.02
    on_end: Callable[[Errand, str, Message | None], None] | None = None
    # Whether it is known that nobody has read the request on a connection that ended: only then is one
    # that may not be repeated sent once more on a new connection.
    unread: Callable[[Line], bool] = lambda line: False
    # A new connection that was accepted has ended with no byte of an answer to its first request.
    on_unserved: Callable[[Errand, str, Address], None] | None = None
    loop: asyncio.AbstractEventLoop = field(init=False)

    def __post_init__(self) -> None:
        self.idle: dict[Address, list[Line]] = {}
        self.open = 0

    def begin(self, errand: Errand, number: int = 0) -> None:
        """Start try `number` (0 is the first) of an errand, in the running loop."""
        self.loop = asyncio.get_running_loop()
        self.open += 1
        self.loop.create_task(Trial(self, errand, number, self.loop.time()).go())

    def ended(self, trial: Trial, how: str, answer: Message | None) -> None:
        """A try ended: schedule another one where the protocol allows it, else end the errand."""
        self.open -= 1
        errand = trial.errand
        if trial.number < errand.retries and self._may_retry(errand, how, answer):
            wait = self.backoff * (0.5 + self.rng.random())
            if answer is not None and "retry-after" in answer.headers:
                wait = max(wait, float(answer.headers["retry-after"]))
            self.loop.call_later(wait, self.begin, errand, trial.number + 1)
        elif self.on_end is not None:
            self.on_end(errand, how, answer)

    @staticmethod
    def _may_retry(errand: Errand, how: str, answer: Message | None) -> bool:
        """Safe ones after any failure, others only where it is known that they have not run."""
        if how == "done" and answer is not None and answer.status == 200:
            return False
        if errand.kind == "safe":
            return how != "left" or errand.leaves is None
        return how in ("refused", "unreached")

    def hang_up(self) -> None:
        """Close all kept connections."""
        for lines in self.idle.values():
            for line in lines[:]:
                line.close()

"""A stand-in clinic: it sends messages over MLLP, waits for acknowledgements, sends again what has none.

Each sending of a message is a frame of its own, known by its letter and a number. A clinic keeps to one
balancer. It sends a letter again, byte for byte the same, when it is rejected, when its time is over and when
its connection ends; that is its right, and the balancer's task to make harmless. What becomes of each frame
is told to an account, which judges; clinics judge nothing.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from dykeshift.standins import hl7

Address = tuple[str, int]
GRACE = 0.3  # seconds past its time that a clinic listens on, to see what comes
AT_ONCE = 3  # frames on one connection at the most
CONNECTIONS = 6
CONNECT = 0.5  # seconds
RECONNECT = 0.1  # seconds between two tries to connect
KEEPS = 3.0  # seconds that a letter is worth sending


@dataclass(frozen=True, slots=True)
class Letter:
    """One message to be delivered. Times in seconds."""

    note: hl7.Note
    patience: float
    resends: int = 2  # after a rejection, a silence or a lost connection
    leaves: float | None = None  # its first connection is reset after this long, unheard
    half: bool = False  # the first time only half of the frame is sent, and the connection closed
    twin: bool = False  # it is sent on two connections at once


class Account(Protocol):
    """Hears what becomes of every frame."""

    def framed(self, letter: Letter, number: int, to: Address, ahead: list[tuple[str, int]]) -> None:
        """The last byte of a frame has been handed to the clinic's kernel; `ahead`: the frames of its
        connection, by control id and number, whose answers come before its own."""

    def acknowledged(self, letter: Letter, number: int, to: Address, code: str, last: bool) -> None:
        """An acknowledgement came; `last`: it settles the frame."""

    def cut_off(self, letter: Letter, number: int, to: Address) -> None:
        """Its connection ended, not by the clinic, without the last acknowledgement."""

    def unheard(self, letter: Letter, number: int, to: Address) -> None:
        """The clinic stopped listening, past its time or before."""

    def stray(self, to: Address, data: bytes) -> None:
        """Something came that answers nothing, or not what is next."""


@dataclass(slots=True, eq=False)
class Frame:
    """One sending of a letter."""

    letter: Letter
    number: int
    handed_over: bool = False  # all of it, to the kernel
    heard_accept: bool = False
    over: bool = False
    end: int = 0  # bytes written on its connection up to its last
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class Line(asyncio.Protocol):
    """A clinic's connection: frames out, acknowledgements in their order."""

    def __init__(self, clinic: Clinic) -> None:
        self.clinic = clinic
        self.blocks = hl7.Blocks()
        self.frames: deque[Frame] = deque()
        self.transport: Any = None
        self.lost = False
        self.written = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the transport; `resume_writing` then tells when all has been handed over."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """All that was written has been handed to the kernel."""
        for frame in self.frames:
            self.clinic.handed_over(frame)

    def data_received(self, data: bytes) -> None:
        """Match acknowledgements to the frames in order; anything else is reported as stray."""
        if self.transport.is_closing():
            return
        try:
            for content in self.blocks.feed(data):
                if self.transport.is_closing():
                    return  # what was heard first made the clinic hang up
                code, control_id = hl7.read_ack(content)
                if not self.frames or self.frames[0].letter.note.control_id != control_id:
                    raise ValueError("it answers what is not next")
                self._heard(self.frames[0], code)
        except ValueError:
            self.clinic.account.stray(self.clinic.to, data)
            self.close()

    def _heard(self, frame: Frame, code: str) -> None:
        accept, application = hl7.MODES[frame.letter.note.mode]
        last = code[0] != "C" or code != "CA" or application != "AL"
        if frame.heard_accept and code[0] == "C":
            raise ValueError("a second accept acknowledgement")
        frame.heard_accept = code[0] == "C"
        if last:
            self.frames.popleft()
        self.clinic.acknowledged(frame, code, last)

    def connection_lost(self, exc: Exception | None) -> None:
        """All frames without their last acknowledgement are over."""
        self.lost = True
        self.clinic.lines.pop(self, None)
        for frame in self.drop():
            self.clinic.ended(frame, "unheard" if self.clinic.unread(self, frame) else "cut_off")

    def close(self) -> None:
        """The clinic's own end of it."""
        frames = self.drop()
        if self.transport is not None:
            self.transport.abort()
        for frame in frames:
            self.clinic.ended(frame, "unheard")

    def drop(self) -> list[Frame]:
        """Forget the frames that wait, and return them."""
        frames, self.frames = list(self.frames), deque()
        return frames


@dataclass(eq=False)
class Clinic:
    """A clinic that keeps to the balancer at `to`; `backoff` is in seconds."""

    to: Address
    account: Account
    rng: Random
    on_end: Callable[[Letter, str], None]  # the code it heard last, or nothing
    backoff: float = 0.03
    # Whether it is known that nobody has read all of a frame on a connection that ended.
    unread: Callable[[Line, Frame], bool] = lambda line, frame: False

    def __post_init__(self) -> None:
        self.lines: dict[Line, None] = {}
        self.connecting = 0
        self.waiting: deque[Frame] = deque()
        self.sent: dict[str, int] = {}  # frames of each letter, by control id
        self.done: set[str] = set()
        self.begun: dict[str, float] = {}

    def send(self, letter: Letter) -> None:
        """Send a letter for the first time, twice at once where it is a twin."""
        self.loop = asyncio.get_running_loop()
        self.begun[letter.note.control_id] = self.loop.time()
        for _ in range(2 if letter.twin else 1):
            self._again(letter)

    def _again(self, letter: Letter) -> None:
        name = letter.note.control_id
        self.sent[name] = number = self.sent.get(name, 0) + 1
        self.waiting.append(Frame(letter, number))
        self._pump()

    def _old(self, letter: Letter) -> bool:
        return self.loop.time() - self.begun[letter.note.control_id] > KEEPS

    def _pump(self) -> None:
        while self.waiting:
            if self._old(self.waiting[0].letter):
                self._finish(self.waiting.popleft().letter, "")
                continue
            line = self._free_line()
            if line is None:
                break
            self._write(line, self.waiting.popleft())
        if self.waiting and len(self.lines) + self.connecting < CONNECTIONS:
            self.connecting += 1
            self.loop.create_task(self._connect())

    def _free_line(self) -> Line | None:
        twin = self.waiting[0].letter.twin
        for line in self.lines:
            room = AT_ONCE if not twin and self.rng.random() < 0.3 else 1
            busy = line.lost or line.transport.is_closing() or line.transport.get_write_buffer_size()
            if len(line.frames) < room and not busy:
                return line
        return None

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT):
                _, line = await self.loop.create_connection(lambda: Line(self), *self.to)
        except (OSError, TimeoutError):
            line = None
        self.connecting -= 1
        if line is not None and not line.lost:
            self.lines[line] = None
            self._pump()
        else:  # nobody is there: what waits goes on waiting, as a clinic's queue does
            self.loop.call_later(RECONNECT, self._pump)

    def _write(self, line: Line, frame: Frame) -> None:
        letter = frame.letter
        data = hl7.block(letter.note.content())
        if letter.half and frame.number == 1:
            line.transport.write(data[: 1 + int(self.rng.random() * (len(data) - 1))])
            line.transport.close()
            self.lines.pop(line, None)
            for other in line.drop():
                self.ended(other, "unheard")
            self._over(frame)
            self._retry(frame, "")
            return
        line.frames.append(frame)
        line.written += len(data)
        frame.end = line.written
        for piece in hl7.torn(data, self.rng):
            line.transport.write(piece)
        if not line.transport.get_write_buffer_size():
            self.handed_over(frame)
        wait = letter.patience + GRACE
        if letter.leaves is not None and frame.number == 1:
            wait = min(letter.leaves, wait)
        frame.timers.append(self.loop.call_later(wait, self._give_up, line, frame))

    def handed_over(self, frame: Frame) -> None:
        """Report that the last byte of a frame is in the kernel's hands."""
        if not frame.handed_over:
            frame.handed_over = True
            line = next(line for line in self.lines if frame in line.frames)
            ahead = [
                (one.letter.note.control_id, one.number)
                for one in list(line.frames)[: line.frames.index(frame)]
            ]
            self.account.framed(frame.letter, frame.number, self.to, ahead)

    def _give_up(self, line: Line, frame: Frame) -> None:
        if not frame.over:
            line.close()

    def acknowledged(self, frame: Frame, code: str, last: bool) -> None:
        """Settle a frame, or send its letter again after a rejection."""
        self.account.acknowledged(frame.letter, frame.number, self.to, code, last)
        if not last:
            return
        self._over(frame)
        if code[1] == "R":
            self._retry(frame, code)
        else:
            self._finish(frame.letter, code)
        self._pump()

    def ended(self, frame: Frame, how: str) -> None:
        """A frame is over without an acknowledgement; `how` names the account's method. It is sent again."""
        if frame.over:
            return
        self._over(frame)
        if frame.handed_over:
            getattr(self.account, how)(frame.letter, frame.number, self.to)
        self._retry(frame, "")

    @staticmethod
    def _over(frame: Frame) -> None:
        frame.over = True
        for timer in frame.timers:
            timer.cancel()

    def _retry(self, frame: Frame, code: str) -> None:
        letter = frame.letter
        name = letter.note.control_id
        if name in self.done:
            return
        if self.sent[name] <= letter.resends + letter.twin and not self._old(letter):
            self.loop.call_later(self.backoff * (0.5 + self.rng.random()), self._again, letter)
        else:
            self._finish(letter, code)

    def _finish(self, letter: Letter, code: str) -> None:
        name = letter.note.control_id
        if name not in self.done:
            self.done.add(name)
            self.on_end(letter, code)

    def hang_up(self) -> None:
        """Close all connections."""
        for line in list(self.lines):
            line.close()

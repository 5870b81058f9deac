"""One MLLP connection: frames in, answers out in the order of their frames, each exactly once. Sans-I/O.

Theory of operation. Each whole frame opens a slot. What answers a slot may come at any time and in
several parts (an accept acknowledgement, then that of the application); parts leave in the order of the
slots, and a slot is over with its last part. While `limit` slots are open, nothing more should be read:
the kernel's buffers then stop the sender. After `drain` no frame is taken any more; what was taken is
answered, then `finished` says that the connection may be closed: a frame that was not taken has certainly
not run, and its sender sends it again elsewhere.

A broken frame gets no answer, as nobody knows its control id; the stream goes on behind it, but for one
that is no MLLP at all or a frame out of bounds: then the connection ends once what was taken is answered.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from dykeshift.mllp.framing import Broken, Deframer, Flaw, Frame
from dykeshift.mllp.framing import frame as framed

HOPELESS = (Flaw.TOO_LONG, Flaw.NO_MLLP)


@dataclass(slots=True, eq=False)
class Slot:
    """A frame that was taken, until all its answers have left."""

    content: bytes
    began: int  # when its first byte came
    parts: list[bytes] = field(default_factory=list)
    over: bool = False
    accepted: bool = False  # its accept acknowledgement has been given


class Session:
    """Frames and answers of one connection, with at most `limit` frames open at once."""

    def __init__(self, limit: int, max_frame: int) -> None:
        self.limit = limit
        self.deframer = Deframer(max_frame)
        self.open: deque[Slot] = deque()
        self.held: deque[Frame] = deque()  # whole frames behind the limit, of the one read that met it
        self.draining = False
        self.flaws: list[Flaw] = []

    def receive(self, now: int, data: bytes) -> list[Slot]:
        """The frames that are to be handled now."""
        for event in self.deframer.feed(now, data):
            if isinstance(event, Broken):
                self.flaws.append(event.flaw)
                self.draining = self.draining or event.flaw in HOPELESS
            elif not self.draining:
                self.held.append(event)
        return self._take()

    def _take(self) -> list[Slot]:
        taken = list[Slot]()
        while self.held and len(self.open) < self.limit:
            frame = self.held.popleft()
            taken.append(Slot(frame.content, frame.began))
            self.open.append(taken[-1])
        return taken

    def answer(self, slot: Slot, part: bytes, last: bool = True) -> tuple[bytes, list[Slot]]:
        """An answer to a frame: the bytes that may leave now, and frames that have found room."""
        assert not slot.over, "it has had its last answer"
        if part:
            slot.parts.append(framed(part))
        slot.over = last
        out = bytearray()
        while self.open:
            first = self.open[0]
            for piece in first.parts:
                out += piece
            first.parts.clear()
            if not first.over:
                break
            self.open.popleft()
        return bytes(out), self._take()

    @property
    def kept(self) -> int:
        """Bytes of frames that are kept: under way, held, or open."""
        whole = sum(len(frame.content) for frame in self.held) + sum(len(slot.content) for slot in self.open)
        return self.deframer.kept + whole

    @property
    def full(self) -> bool:
        """Nothing more should be read."""
        return len(self.open) >= self.limit or self.draining

    def drain(self) -> None:
        """Take no more frames; what is open will still be answered."""
        self.draining = True
        self.held.clear()

    @property
    def finished(self) -> bool:
        """Whether it drains and everything taken was answered, so that the connection may be closed."""
        return self.draining and not self.open and not self.held

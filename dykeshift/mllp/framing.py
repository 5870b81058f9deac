"""MLLP framing, sans-I/O (HL7 Transport Specification: MLLP, Releases 1 and 2, section 2).

Theory of operation. A block is `<VT> content <FS><CR>`. Content holds neither VT nor FS, so either byte out
of place is told, and the block it spoils is dropped: nobody acknowledges it, its sender sends it again.

    BETWEEN --VT--> WITHIN --FS--> ENDING --CR--> BETWEEN (a frame)
    WITHIN  --VT--> WITHIN (what was there is broken)       ENDING --other--> BETWEEN (broken)
    WITHIN  --over the bound--> SKIPPING (broken, nothing kept) --FS CR--> BETWEEN, --VT--> WITHIN

Between blocks CR and LF are let pass, as many senders add them; other bytes are counted and told once, and
over `MOST_NOISE` of them the stream is no MLLP. Promises at every instant: what is kept never exceeds the
bound by more than one feed; a frame comes out exactly once, whatever the split; feeding raises nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

VT, FS, CR, LF = 0x0B, 0x1C, 0x0D, 0x0A
MAX_FRAME = 1 << 20  # bytes of content
MOST_NOISE = 4096  # bytes between two blocks


class Flaw(Enum):
    """What is wrong with a block or with what stands between blocks."""

    START_INSIDE = auto()  # a start block inside a block: the first has no end
    BAD_END = auto()  # an end block that no carriage return follows
    TOO_LONG = auto()
    NOISE = auto()  # bytes between blocks that are no line ends
    NO_MLLP = auto()  # so much of that that the stream makes no sense


@dataclass(frozen=True, slots=True)
class Frame:
    """The content of one whole block."""

    content: bytes
    began: int = 0  # when it began, on the feeder's clock


@dataclass(frozen=True, slots=True)
class Broken:
    """A block, or noise between blocks, that was dropped."""

    flaw: Flaw


class _State(Enum):
    BETWEEN = auto()
    WITHIN = auto()
    ENDING = auto()
    SKIPPING = auto()
    SKIP_ENDING = auto()


class Deframer:
    """Cuts a stream of bytes into frames. `feed` takes any piece and returns what became of it, in order."""

    def __init__(self, max_frame: int = MAX_FRAME) -> None:
        self.max_frame = max_frame
        self._state = _State.BETWEEN
        self._content = bytearray()
        self._noise = 0
        self.began: int | None = None  # when the block that is under way began, on the feeder's clock

    def feed(self, now: int, data: bytes) -> list[Frame | Broken]:
        """Take the next bytes, received at `now` (nanoseconds); frames and flaws in stream order."""
        out: list[Frame | Broken] = []
        at = 0
        while at < len(data):
            at = self._step(now, data, at, out)
        return out

    def unfinished(self) -> bool:
        """Whether a block is under way: what a connection that ends now cuts off."""
        return self._state is not _State.BETWEEN

    @property
    def kept(self) -> int:
        """Bytes of the block under way that are kept."""
        return len(self._content)

    def discard(self) -> None:
        """Drop what is kept of the block under way, as its connection ends."""
        self._content = bytearray()

    def late(self, now: int, limit: int) -> bool:
        """Whether the block under way has taken longer than `limit`, however its bytes trickle in."""
        return self.began is not None and now - self.began > limit

    def _step(self, now: int, data: bytes, at: int, out: list[Frame | Broken]) -> int:
        if self._state is _State.WITHIN:
            return self._within(now, data, at, out)
        byte = data[at]
        if byte == VT:
            if self._state is not _State.BETWEEN and self._state is not _State.SKIPPING:
                out.append(Broken(Flaw.BAD_END))
            self._open(now)
        elif self._state is _State.ENDING:
            self._close(out if byte == CR else None)
            if byte != CR:
                out.append(Broken(Flaw.BAD_END))
                return at  # it stands between blocks now
        elif self._state is _State.SKIPPING:
            end = self._first(data, at, VT, FS)
            if end == at:
                self._state = _State.SKIP_ENDING
                return at + 1
            return end
        elif self._state is _State.SKIP_ENDING:
            self._close(None)
        elif byte not in (CR, LF):
            self._stray(out)
        return at + 1

    def _within(self, now: int, data: bytes, at: int, out: list[Frame | Broken]) -> int:
        end = self._first(data, at, VT, FS)
        self._content += data[at:end]
        if len(self._content) > self.max_frame:
            self._content.clear()
            self._state = _State.SKIPPING
            out.append(Broken(Flaw.TOO_LONG))
            return end
        if end == len(data):
            return end
        if data[end] == VT:
            out.append(Broken(Flaw.START_INSIDE))
            self._open(now)
        else:
            self._state = _State.ENDING
        return end + 1

    @staticmethod
    def _first(data: bytes, at: int, *wanted: int) -> int:
        found = [n for n in (data.find(byte, at) for byte in wanted) if n >= 0]
        return min(found, default=len(data))

    def _open(self, now: int) -> None:
        self._state, self.began, self._noise = _State.WITHIN, now, 0
        self._content.clear()

    def _close(self, out: list[Frame | Broken] | None) -> None:
        if out is not None:
            out.append(Frame(bytes(self._content), self.began or 0))
        self._content.clear()
        self._state, self.began = _State.BETWEEN, None

    def _stray(self, out: list[Frame | Broken]) -> None:
        self._noise += 1
        if self._noise == 1:
            out.append(Broken(Flaw.NOISE))
        elif self._noise == MOST_NOISE:
            out.append(Broken(Flaw.NO_MLLP))


def frame(content: bytes) -> bytes:
    """A block around content; ValueError where the content would end it or begin another."""
    if VT in content or FS in content:
        raise ValueError("the content holds a start or end block character")
    return b"\x0b" + content + b"\x1c\r"

"""One part in chunks: the sender's window and repetitions, and the receiver's pieces.

The sender keeps at most `WINDOW` chunks on the way; one that is not acknowledged goes again after a time that
doubles each time. The receiver acknowledges all that it has in a row, and by bits what it has ahead of that.
Neither sends by itself: the replica asks `due` for the next chunk as its budget allows.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.configuration.wire import CHUNK

WINDOW = 32  # chunks ahead of the acknowledged ones: the bits of an ACK
FIRST_TIMEOUT = 400_000_000  # nanoseconds until a chunk goes again
LONGEST_TIMEOUT = 3_200_000_000
MOST_CHUNKS = 0xFFFF


@dataclass(slots=True)
class _Sent:
    """A chunk on the way: when it goes again, and after how long the time after that."""

    again_at: int
    timeout: int


class Sender:
    """Sends `data` as the transfer `number`."""

    def __init__(self, number: int, data: bytes) -> None:
        """ValueError where the data has more chunks than can be numbered."""
        self.number = number
        self.chunks = [data[at : at + CHUNK] for at in range(0, len(data), CHUNK)]
        if len(self.chunks) > MOST_CHUNKS:
            raise ValueError(f"{len(data)} bytes are too many for one transfer")
        self.following = 0  # the first chunk that is not acknowledged
        self.unsent = 0  # the first chunk that never went
        self.sent: dict[int, _Sent] = {}  # on the way, in order of number
        self.repeated = 0

    @property
    def complete(self) -> bool:
        """Whether all of it is acknowledged."""
        return self.following >= len(self.chunks)

    def due(self, now: int) -> int | None:
        """The chunk to send now: the first whose time is over, else a new one within the window."""
        for number, sent in self.sent.items():
            if now >= sent.again_at:
                return number
        if self.unsent < min(len(self.chunks), self.following + WINDOW):
            return self.unsent
        return None

    def on_sent(self, now: int, number: int) -> None:
        """The chunk went."""
        old = self.sent.get(number)
        if old is None:
            self.sent[number] = _Sent(now + FIRST_TIMEOUT, FIRST_TIMEOUT)
            self.unsent = max(self.unsent, number + 1)
            return
        self.repeated += 1
        old.timeout = min(LONGEST_TIMEOUT, 2 * old.timeout)
        old.again_at = now + old.timeout

    def on_ack(self, following: int, ahead: int) -> None:
        """Of this transfer."""
        if following > self.unsent:
            return
        self.following = max(self.following, following)
        last = len(self.chunks) - 1  # goes again until the whole is acknowledged as taken
        for number in list(self.sent):
            bit = number - following - 1
            arrived = number != last and 0 <= bit < WINDOW and ahead >> bit & 1
            if number < self.following or arrived:
                del self.sent[number]


@dataclass(slots=True)
class Receiver:
    """Puts a transfer together; a chunk of a later one begins anew."""

    number: int = -1
    total: int = 0
    chunks: list[bytes] = field(default_factory=list)
    ahead: dict[int, bytes] = field(default_factory=dict)
    finished: bool = False

    def on_chunk(self, transfer: int, number: int, total: int, chunk: bytes) -> bool:
        """Whether it belongs to the transfer that is put together, or begins a later one."""
        if transfer < self.number or not number < total:
            return False
        if transfer > self.number:
            self.number, self.total = transfer, total
            self.chunks, self.ahead, self.finished = [], {}, False
        if total != self.total:
            return False
        if self.finished:
            return True
        if len(self.chunks) <= number <= len(self.chunks) + WINDOW:
            self.ahead[number] = chunk
        while (following := self.ahead.pop(len(self.chunks), None)) is not None:
            self.chunks.append(following)
        return True

    def finish(self) -> None:
        """What was put together has been taken: only its number is kept, to acknowledge repetitions."""
        self.finished, self.chunks, self.ahead = True, [], {}

    @property
    def following(self) -> int:
        """The first chunk that is missing; the last one counts as there only once the whole was taken."""
        if self.finished:
            return self.total
        return min(len(self.chunks), self.total - 1) if self.total else 0

    @property
    def whole(self) -> bytes | None:
        """All of it, once it is there."""
        complete = self.total and len(self.chunks) == self.total and not self.finished
        return b"".join(self.chunks) if complete else None

    @property
    def ahead_bits(self) -> int:
        """Which chunks behind the first missing one are there."""
        first = len(self.chunks) + 1
        return sum(1 << (number - first) for number in self.ahead if 0 <= number - first < WINDOW)

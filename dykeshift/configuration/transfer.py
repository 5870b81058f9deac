"""Reliable transfer of one part in chunks: sliding window, retransmission and reassembly.

The sender keeps at most `WINDOW` chunks in flight and retransmits unacknowledged ones with exponential
backoff. The receiver acknowledges all chunks up to the first missing one, and later ones selectively by a bit
map. Neither sends by itself: the replica asks `due` for the next chunk as its budget allows.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.configuration.wire import CHUNK

WINDOW = 32  # chunks beyond the acknowledged ones: the number of bits in an ACK
INITIAL_TIMEOUT = 400_000_000  # nanoseconds until the first retransmission
MAX_TIMEOUT = 3_200_000_000
MAX_CHUNKS = 0xFFFF


@dataclass(slots=True)
class _Sent:
    """A chunk in flight: when it is retransmitted, and its current timeout."""

    retransmit_at: int
    timeout: int


class Sender:
    """The sending side: `data` as the transfer `number`."""

    def __init__(self, number: int, data: bytes) -> None:
        """Raises ValueError if the data needs more chunks than can be numbered."""
        self.number = number
        self.chunks = [data[at : at + CHUNK] for at in range(0, len(data), CHUNK)]
        if len(self.chunks) > MAX_CHUNKS:
            raise ValueError(f"transfer too long: {len(data)} bytes, limit {MAX_CHUNKS * CHUNK}")
        self.following = 0  # the first unacknowledged chunk
        self.next_unsent = 0  # the first chunk that has not been sent
        self.sent: dict[int, _Sent] = {}  # in flight, in order of first sending
        self.retransmissions = 0

    @property
    def complete(self) -> bool:
        """Whether all chunks are acknowledged."""
        return self.following >= len(self.chunks)

    def due(self, now: int) -> int | None:
        """The chunk to send now: the first whose timeout has expired, else a new one within the window."""
        for number, sent in self.sent.items():
            if now >= sent.retransmit_at:
                return number
        if self.next_unsent < min(len(self.chunks), self.following + WINDOW):
            return self.next_unsent
        return None

    def on_sent(self, now: int, number: int) -> None:
        """Record that a chunk was sent."""
        old = self.sent.get(number)
        if old is None:
            self.sent[number] = _Sent(now + INITIAL_TIMEOUT, INITIAL_TIMEOUT)
            self.next_unsent = max(self.next_unsent, number + 1)
            return
        self.retransmissions += 1
        old.timeout = min(MAX_TIMEOUT, 2 * old.timeout)
        old.retransmit_at = now + old.timeout

    def on_ack(self, following: int, ahead: int) -> None:
        """Process an acknowledgement of this transfer."""
        if following > self.next_unsent:
            return
        self.following = max(self.following, following)
        last = len(self.chunks) - 1  # retransmitted until the receiver has taken the whole transfer
        for number in list(self.sent):
            bit = number - following - 1
            arrived = number != last and 0 <= bit < WINDOW and ahead >> bit & 1
            if number < self.following or arrived:
                del self.sent[number]


@dataclass(slots=True)
class Receiver:
    """The receiving side: reassembles a transfer; a chunk of a later transfer replaces it."""

    number: int = -1
    total: int = 0
    chunks: list[bytes] = field(default_factory=list)
    ahead: dict[int, bytes] = field(default_factory=dict)
    finished: bool = False

    def on_chunk(self, transfer: int, number: int, total: int, chunk: bytes) -> bool:
        """Store a chunk; returns whether it belongs to the current transfer or begins a later one."""
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
        """The transfer has been taken: drop its data, keep its number to acknowledge retransmissions."""
        self.finished, self.chunks, self.ahead = True, [], {}

    @property
    def following(self) -> int:
        """The first missing chunk; the last chunk counts as missing until the whole transfer was taken."""
        if self.finished:
            return self.total
        return min(len(self.chunks), self.total - 1) if self.total else 0

    @property
    def whole(self) -> bytes | None:
        """The data of the transfer once all chunks have arrived, until it is taken."""
        complete = self.total and len(self.chunks) == self.total and not self.finished
        return b"".join(self.chunks) if complete else None

    @property
    def ahead_bits(self) -> int:
        """Bit map of the chunks received after the first missing one."""
        first = len(self.chunks) + 1
        return sum(1 << (number - first) for number in self.ahead if 0 <= number - first < WINDOW)

"""Reassembly of what does not fit into one datagram. It is exposed only when it is complete."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_ASSEMBLED = 1 << 20  # bytes of one reassembled body


@dataclass(slots=True)
class Assembly:
    """One body under reassembly: the contiguous start, and chunks that arrived out of order."""

    key: tuple[int, ...] = ()  # identifies the body: a chunk with another key starts over
    length: int = -1
    received: bytearray = field(default_factory=bytearray)
    out_of_order: dict[int, bytes] = field(default_factory=dict)

    def add(self, key: tuple[int, ...], length: int, offset: int, chunk: bytes) -> bytes | None:
        """Add a chunk; returns the body if it is complete now."""
        if length > MAX_ASSEMBLED:
            return None
        if (self.key, self.length) != (key, length):
            self.clear()
            self.key, self.length = key, length
        if offset > len(self.received):
            self.out_of_order[offset] = chunk
        elif len(self.received) < offset + len(chunk):
            self.received[offset:] = chunk
            while (following := self.out_of_order.pop(len(self.received), None)) is not None:
                self.received += following
        if len(self.received) < length:
            return None
        whole = bytes(self.received)
        self.clear()
        return whole

    def clear(self) -> None:
        """Discard everything received."""
        self.key, self.length = (), -1
        self.received.clear()
        self.out_of_order.clear()

"""What is longer than a datagram: put together piece by piece, shown only when whole and as its sum says."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_ASSEMBLED = 1 << 20  # bytes of anything that is put together


@dataclass(slots=True)
class Assembly:
    """One text in the making: what has arrived from its beginning on, and pieces ahead of that."""

    key: tuple[int, ...] = ()  # what it is: a piece of anything else begins anew
    length: int = -1
    received: bytearray = field(default_factory=bytearray)
    out_of_order: dict[int, bytes] = field(default_factory=dict)

    def add(self, key: tuple[int, ...], length: int, offset: int, chunk: bytes) -> bytes | None:
        """The whole, where this was the last piece."""
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
        self.key, self.length = (), -1
        self.received.clear()
        self.out_of_order.clear()

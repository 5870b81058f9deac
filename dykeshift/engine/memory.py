"""How the memory of a process is shared out: parts that add up to its limit. Sans-I/O.

Each client's connection, with the one to an upstream for it, has the memory of its objects and of a small
piece read on either side. What requests and answers hold beyond that has a common budget (`Budget`), which is
asked before anything is read: without room in it, small pieces are read and sent on before the next.
"""

from __future__ import annotations

from dataclasses import dataclass

BASE_BYTES = 26_500_000  # resident before the first client: the interpreter, the program and its lists
# Objects of a client's connection and the one to an upstream: transports, parsers, heads, the request; and
# what connecting both takes for a moment.
PAIR_OBJECT_BYTES = 28_000
MIN_PIECE_BYTES, MAX_PIECE_BYTES = 2 * 1024, 32 * 1024  # of one read
PAIR_BYTES = PAIR_OBJECT_BYTES + 2 * MIN_PIECE_BYTES
RESERVED_SHARE = 0.2  # of what is left beside the base: fragments of the allocator, garbage, growing buffers
BUFFERS_SHARE = 0.25  # of the rest: what is held of requests and answers
MIN_SPARE_BYTES = 2_000_000  # shared out even where the limit leaves less


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The parts; `connections` counts clients, and as many connections to upstreams."""

    connections: int
    buffers: int  # bytes that all requests and answers may hold together, beyond a small piece each

    def total(self) -> int:
        """Bytes that all parts take when each is used up."""
        return BASE_BYTES + self.connections * PAIR_BYTES + self.buffers


def plan(memory_mb: float, connections: int) -> MemoryPlan:
    """Share out the memory. `connections`: as many as the descriptors allow of each kind."""
    spare = int(max(memory_mb * 1e6 - BASE_BYTES, MIN_SPARE_BYTES) * (1 - RESERVED_SHARE))
    connections = max(1, min(connections, int(spare * (1 - BUFFERS_SHARE)) // PAIR_BYTES))
    return MemoryPlan(connections, int(spare * BUFFERS_SHARE))

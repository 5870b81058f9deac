"""Progress of the transfers on a client's connection: whether one has stalled."""

from __future__ import annotations

STALL_TIMEOUT = 10.0  # seconds without progress after which a body transfer is aborted, in either direction


class TransferProgress:
    """Counts the bytes that pass in either direction, and notes when it last saw these counts change.

    All bytes count, also those that pass between two looks: a client that keeps up leaves no output
    waiting, so the amount that waits says nothing about whether the transfer goes on.
    """

    __slots__ = ("received", "written", "seen", "changed_at")

    def __init__(self, now: float) -> None:
        """`now`: seconds on the loop's clock."""
        self.received = self.written = 0  # bytes: read from the client; handed to the transport
        self.seen = (0, 0)  # the counts at the last look
        self.changed_at = now  # seconds: when a look last found them changed

    def counts(self, unsent: int) -> tuple[int, int]:
        """Bytes received, and bytes that the kernel has taken, `unsent` being those that it has not."""
        return self.received, self.written - unsent

    def look(self, unsent: int, now: float) -> bool:
        """Note progress since the last look; returns whether there was none for STALL_TIMEOUT."""
        if (counts := self.counts(unsent)) != self.seen:
            self.seen, self.changed_at = counts, now
        return now - self.changed_at > STALL_TIMEOUT

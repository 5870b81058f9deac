"""Since when a client may have written all of a request that is forwarded while it is received. Sans-I/O.

While the upstream reads no more, reading from the client is paused, and the end of its request may wait in
the buffers of either system. The client's time counts from its last byte, read here or not.
"""

from __future__ import annotations

# Bytes that a client's system may hold that this one has not acknowledged: the largest send buffer of Linux
# (tcp(7)).
MAX_SEND_BUFFER = 4 << 20


class UploadBacklog:
    """The last time at which the client certainly had not written its last byte, in ns, monotonic."""

    __slots__ = ("length", "incomplete_at", "may_be_complete")

    def __init__(self, length: int | None, now: int) -> None:
        """`length`: bytes of the whole body; None: unknown."""
        self.length = length
        self.incomplete_at = now
        self.may_be_complete = False  # as of the last look

    def look(self, now: int, received: int, unread: int) -> bool:
        """Note how many bytes of the body have been read, and how many bytes wait unread.

        Returns whether `may_be_complete` has changed.
        """
        before = self.may_be_complete
        self.may_be_complete = unread > 0 and (
            self.length is None or self.length - received - unread <= MAX_SEND_BUFFER
        )
        if not self.may_be_complete:
            self.incomplete_at = now
        return self.may_be_complete is not before

    def written_at(self, arrived: int) -> int:
        """When the last byte, which has just been read, was written; `arrived`: as it seems."""
        return min(arrived, self.incomplete_at) if self.may_be_complete else arrived

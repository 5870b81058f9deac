"""Reading in pieces of bounded size, in turns, and only while there is room for what comes.

An event loop reads as much as its own buffer holds, a quarter of a megabyte with uvloop, before a protocol
can say that it has no memory for it. Here a read fills a buffer that all connections of a process share, a
small part of it where the budget has no room for more, and a connection whose read has filled it waits until
all others have had their turn.
"""

from __future__ import annotations

import asyncio

from typing import Any

from dykeshift.engine.budget import Budget
from dykeshift.engine.memory import MAX_PIECE_BYTES, MIN_PIECE_BYTES

# Reasons not to read from a connection, to be combined.
TURN = 1  # until the next iteration of the event loop
UPLOAD = 2  # the upstream, or a connection to it, takes no more of the request
ANSWER = 4  # the client takes no more of the answer that is read here
OUTPUT = 8  # the client has not read the answers written so far
FULL = 16  # enough messages are in work
ENDING = 32  # the process ends


class ReadBuffer:
    """The buffer that connections read into; shared, as it is only in use while a read is delivered."""

    def __init__(self, budget: Budget[Any] | None = None) -> None:
        """`budget`: of what is held of all that is read; None: unlimited."""
        self.budget = budget
        self.whole = memoryview(bytearray(MAX_PIECE_BYTES))
        self.small = self.whole[:MIN_PIECE_BYTES]
        self.offered = self.whole

    def offer(self) -> memoryview:
        """The part for the next read: no larger than what the budget has room for, but a small piece."""
        roomy = self.budget is None or self.budget.has_room(MAX_PIECE_BYTES)
        self.offered = self.whole if roomy else self.small
        return self.offered

    def reserve(self, holder: Any, size: int) -> bool:
        """Let a holder keep `size` bytes of what it has read, if there is room; a small piece always is."""
        if self.budget is None:
            return True
        if size <= MIN_PIECE_BYTES:
            self.release(holder)
            return True
        return self.budget.reserve(holder, size)

    def release(self, holder: Any) -> None:
        """A holder keeps nothing any more."""
        if self.budget is not None and holder in self.budget.usage:
            self.budget.set_usage(holder, 0)


UNLIMITED = ReadBuffer()


class PieceReader(asyncio.BufferedProtocol):
    """A protocol that gets its input in pieces.

    Subclasses set the attributes below at construction, and have slots for them where they have slots.
    """

    __slots__ = ()

    loop: asyncio.AbstractEventLoop
    read_buffer: ReadBuffer
    transport: asyncio.Transport | None
    pauses: int  # reasons for which nothing is read now

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by the event loop before it reads."""
        return self.read_buffer.offer()

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop after it has read."""
        offered = self.read_buffer.offered
        self.data_received(bytes(offered[:nbytes]))
        if nbytes == len(offered) and self.transport is not None:
            self.pause_for(TURN)
            self.loop.call_soon(self.resume_for, TURN)

    def data_received(self, data: bytes) -> None:
        """Handle a piece of input."""
        raise NotImplementedError

    def pause_for(self, reason: int) -> None:
        """Read nothing until `resume_for` has been called for each reason."""
        if not self.pauses and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self.pauses |= reason

    def resume_for(self, reason: int) -> None:
        """A reason is gone; read again if there is none left."""
        if not self.pauses & reason:
            return
        self.pauses &= ~reason
        if not self.pauses and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

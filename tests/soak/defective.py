"""A daemon with a fault put in on purpose, for the soak: `python -m tests.soak.defective NAME`."""

from __future__ import annotations

import asyncio
import socket
import sys
from typing import Any

from dykeshift.engine import listener, server
from dykeshift.engine.invariants import Stage
from dykeshift.node import __main__ as program


def two_answers() -> None:
    """A copy's whole answer is written into a long one that has begun, as before it was mended."""
    Stage.may_be_answered = property(lambda stage: stage is not Stage.OVER)  # type: ignore[assignment]

    def answer(self: server.Client, reply: server.Reply) -> None:
        if self.transport is not None and self.busy:
            keep = self._keeps()
            self.transport.write(server.render(reply, keep))
            self._answered(keep)

    server.Client.answer = answer  # type: ignore[method-assign]


def closed_unread() -> None:
    """The event loop's own listener, which clears its queue when there is no descriptor."""

    class Plain:
        def __init__(self, made: asyncio.Server) -> None:
            self.made = made

        def pending(self) -> bool:
            return False

        def close(self) -> None:
            self.made.close()

        abandon = close

    async def listen(
        loop: asyncio.AbstractEventLoop,
        factory: Any,
        address: tuple[str, int],
        backlog: int,
        inherited: socket.socket | None = None,
    ) -> Plain:
        return Plain(await loop.create_server(factory, *address, backlog=backlog))

    assert isinstance(program.serve.__defaults__, tuple)
    program.serve.__defaults__ = tuple(
        listen if one is listener.listen else one for one in program.serve.__defaults__
    )


DEFECTS = {"two-answers": two_answers, "closed-unread": closed_unread}

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.exit(program.main())

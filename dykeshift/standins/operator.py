"""Somebody who calls a balancer's console over any asyncio loop, and calls again until there is an answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from dykeshift.standins.messages import MessageError, Messages

AGAIN = 0.2  # seconds until a call that was not answered is made once more
WAIT = 1.0  # seconds that an answer is waited for

Done = Callable[[int, str], None]  # the answer's status and body


class Call(asyncio.Protocol):
    """One call on a connection of its own."""

    def __init__(self, data: bytes, done: Done, failed: Callable[[], None]) -> None:
        self.data, self.done, self.failed = data, done, failed
        self.messages = Messages()
        self.over = False
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Write the request."""
        self.transport = transport
        transport.write(self.data)

    def data_received(self, data: bytes) -> None:
        """End with the first whole answer, or as failed where it makes no sense."""
        try:
            got = self.messages.feed(data)
        except MessageError:
            self.end(self.failed)
            return
        if got:
            answer = got[0]
            self.end(lambda: self.done(answer.status, answer.body.decode()))

    def eof_received(self) -> bool:
        """Close with the other side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The call has failed, unless it was answered before."""
        self.end(self.failed)

    def end(self, then: Callable[[], None]) -> None:
        """Close the connection and call `then`, once."""
        if not self.over:
            self.over = True
            if self.transport is not None:
                self.transport.abort()
            then()


class Operator:
    """Makes one call after another."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.turn = asyncio.Lock()

    def call(
        self,
        method: str,
        path: str,
        name: str,
        done: Done,
        wanted: Callable[[], bool],
        unanswered: Callable[[], None],
    ) -> None:
        """On the running loop. `wanted`: whether it is still to be made, or made again.

        `unanswered` is told of each time that nothing came within WAIT.
        """
        asyncio.get_running_loop().create_task(self._in_turn(method, path, name, done, wanted, unanswered))

    async def _in_turn(
        self,
        method: str,
        path: str,
        name: str,
        done: Done,
        wanted: Callable[[], bool],
        unanswered: Callable[[], None],
    ) -> None:
        async with self.turn:
            await self._call(method, path, name, done, wanted, unanswered)

    async def _call(
        self,
        method: str,
        path: str,
        name: str,
        done: Done,
        wanted: Callable[[], bool],
        unanswered: Callable[[], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        body = json.dumps({"name": name}) if name else ""
        data = f"{method} {path} HTTP/1.1\r\nHost: b\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        while wanted():
            ended: asyncio.Future[bool] = loop.create_future()

            def heard(status: int, text: str, ended: asyncio.Future[bool] = ended) -> None:
                _settle(ended, True)
                done(status, text)

            def failed(ended: asyncio.Future[bool] = ended) -> None:
                _settle(ended, False)

            call = Call(data, heard, failed)
            try:
                async with asyncio.timeout(WAIT):
                    await loop.create_connection(lambda call=call: call, *self.address)  # type: ignore[misc]
                    if await ended:
                        return
            except TimeoutError:
                call.over = True
                if call.transport is not None:
                    call.transport.abort()
                unanswered()
            except OSError:
                pass  # nobody listens: the balancer is down
            await asyncio.sleep(AGAIN)


def _settle(ended: asyncio.Future[bool], how: bool) -> None:
    if not ended.done():
        ended.set_result(how)

"""Runs consensus on a clock and on a port that it shares with the view. Makes no decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from dykeshift.agree.core import Agree
from dykeshift.agree.proposals import Answer
from dykeshift.agree.state import Event, Out, Record
from dykeshift.clock import Clock
from dykeshift.view.table import Address

Kept = Callable[[bool], None]  # called with whether the records are durable
Persist = Callable[[list[Record], Kept], None]


class Runner:
    """Drives one consensus node: timer, datagrams, callbacks.

    Persists records before it sends what depends on them.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        core: Agree,
        send: Callable[[Out], None],
        tell: Callable[[Event], None],
        keep: Persist | None = None,
    ) -> None:
        """`keep`: persists records in order and reports when they are durable. None: there is no disk."""
        self.loop, self.clock, self.core = loop, clock, core
        self.send, self.on_event, self.keep = send, tell, keep
        # Output that waits for the disk, in order: (records issued, output, records).
        self.awaiting_disk: list[tuple[int, Out, list[Record]]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due = 0
        self.closed = False
        self.answer_callbacks: dict[int, list[Callable[[Answer], None]]] = {}
        self.read_callbacks: dict[int, Callable[[int | None], None]] = {}

    def now(self) -> int:
        """Nanoseconds of the monotonic clock."""
        return self.clock.monotonic_ns()

    def start(self) -> None:
        """Start the node."""
        self.carry(self.core.start(self.now()))

    def take(self, data: bytes, address: Address) -> None:
        """Take a datagram."""
        if not self.closed:
            self.carry(self.core.on_datagram(self.now(), data, address))

    def propose(
        self, body: bytes, expect: int, wait: int, ident: int | None, done: Callable[[Answer], None]
    ) -> int:
        """Propose a change and return its ident.

        `done` is called once, within `wait` nanoseconds of this process's clock.
        """
        number, out = self.core.propose(self.now(), body, expect, wait, ident)
        self.answer_callbacks.setdefault(number, []).append(done)
        self.carry(out)
        return number

    def read(self, wait: int, done: Callable[[int | None], None]) -> None:
        """Start a linearizable read; `done` is called with the version, or None if it was not confirmed."""
        token, out = self.core.read(self.now(), wait)
        self.read_callbacks[token] = done
        self.carry(out)

    def _on_timer(self) -> None:
        self.timer = None
        if not self.closed:
            self.carry(self.core.on_timer(max(self.now(), self.core.next_at)))

    def carry(self, out: Out) -> None:
        """Carry out the output of a call of the node; to be called after each one."""
        records = self.core.take_records()
        if self.keep is None or not records and not self.awaiting_disk:
            self.send(out)
        elif out or records:
            self.awaiting_disk.append((self.core.shared.written, out, records))
            if len(self.awaiting_disk) == 1:
                self._flush()
        for event in self.core.take_events():
            self.on_event(event)
        for ident, answer in self.core.take_answers().items():
            for callback in self.answer_callbacks.pop(ident, []):
                callback(answer)
        for token, version in self.core.take_results().items():
            read_callback = self.read_callbacks.pop(token, None)
            if read_callback is not None:
                read_callback(version)
        if not self.closed and (self.timer is None or self.timer_due != self.core.next_at):
            self.timer_due = self.core.next_at
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.loop.call_later(max(0.0, (self.timer_due - self.now()) / 1e9), self._on_timer)

    def _flush(self) -> None:
        """Hand all waiting records to the disk as one batch."""
        assert self.keep is not None
        count = len(self.awaiting_disk)
        self.keep(
            [r for _, _, records in self.awaiting_disk for r in records],
            lambda well: self._on_flushed(count, well),
        )

    def _on_flushed(self, count: int, ok: bool) -> None:
        while count < len(self.awaiting_disk) and not self.awaiting_disk[count][2]:
            count += 1  # without records of its own, it waited only for those before it
        flushed, self.awaiting_disk = self.awaiting_disk[:count], self.awaiting_disk[count:]
        if self.closed:
            return
        if not ok:
            self.keep = None
            self.awaiting_disk.clear()  # these datagrams would claim durability that does not exist
            self.carry(self.core.on_disk_failed(self.now()))
            return
        for _, out, _ in flushed:
            self.send(out)
        if self.awaiting_disk:
            self._flush()
        self.carry(self.core.on_kept(self.now(), flushed[-1][0]))

    def close(self) -> None:
        """Stop; nothing is sent or reported any more."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()

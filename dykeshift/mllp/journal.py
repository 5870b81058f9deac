"""The journal behind the memory of answers: what must be known again after a restart.

Theory of operation. Four records: a message is about to be SENT, was ANSWERED, was WITHDRAWN (it has
certainly not run), and up to which instant the memory has forgotten (HORIZON). A message is sent only after
its SENT record lasts; an AA leaves only after its ANSWERED record lasts, or after `ANSWER_WITHIN` where the
disk stands still; all else is written along and waited for by nobody: what is lost of it makes a resend hear
AE, never makes it be sent again. Records that come while the disk is busy share its next sync (group commit).

A journal that fails says so and takes nothing: no new message is sent meanwhile. It is begun anew in a new
file every `RETRY` seconds. Files whose every entry the memory has forgotten are removed, oldest first.

`replay` folds the records of all files into a memory; what a damaged file lost moves the memory's horizon.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from dykeshift.clock import Clock
from dykeshift.mllp.memory import Identity, Memory
from dykeshift.store.log import LogError
from dykeshift.store.records import LogFormatError
from dykeshift.store.segments import RecoveredSegment, Segments
from dykeshift.store.worker import Worker

log = logging.getLogger(__name__)

STEM, KIND = "mllp", b"M1"
RETRY = 1.0  # seconds between two tries to go on after a failure
ANSWER_WITHIN = 0.25  # seconds that an answer waits for its record, at the most


class Sent(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A message is about to be sent to an upstream."""

    name: tuple[bytes, bytes, bytes]  # MSH-3, MSH-4, MSH-10
    digest: bytes
    made: int | None
    at: int  # Unix nanoseconds, as in all records


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A message got its final answer: the acknowledgement code and the acknowledgement as sent."""

    name: tuple[bytes, bytes, bytes]
    digest: bytes
    made: int | None
    at: int
    answer: bytes


class Withdrawn(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A message has certainly not run; a resend is taken as new."""

    name: tuple[bytes, bytes, bytes]
    at: int


class Horizon(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The memory has forgotten everything up to `until` (Unix nanoseconds)."""

    until: int
    at: int


Record = Sent | Answered | Withdrawn | Horizon
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode


@dataclass(frozen=True, slots=True)
class Report:
    """What a replay found, for people."""

    answered: int
    unanswered: int  # sent, and nobody knows what came of it
    torn: int  # bytes of a record that did not get whole: nothing rested on it
    lost: int  # bytes whose records can't be read

    def __str__(self) -> str:
        text = f"{self.answered} answers and {self.unanswered} messages without one from the journal"
        if self.torn:
            text += f"; {self.torn} bytes of an unfinished record cut off"
        if self.lost:
            text += f"; {self.lost} bytes are damaged: resends from before are answered AE"
        return text


def replay(found: Iterable[RecoveredSegment], memory: Memory[Any], now: int) -> Report:
    """Fold the records into a memory; LogFormatError where one is of a later version than this program."""
    latest: dict[tuple[bytes, bytes, bytes], Sent | Answered] = {}
    torn = lost = 0
    for one in found:
        last = 0
        for payload in one.recovered.payloads:
            try:
                record = decode(payload)
            except msgspec.MsgspecError as exc:
                raise LogFormatError(
                    f"journal file {one.number} holds a record that this version can't read: {exc}"
                ) from None
            last = max(last, record.at)
            if isinstance(record, Horizon):
                memory.lost(record.until)
                continue
            latest.pop(record.name, None)
            if not isinstance(record, Withdrawn):
                latest[record.name] = record
        torn += one.recovered.torn
        for begin, end in one.recovered.holes:
            lost += end - begin
            at_the_end = end >= one.recovered.size
            memory.lost((now if at_the_end else last) + memory.bounds.clock_error)
    for record in latest.values():
        answer = record.answer if isinstance(record, Answered) else None
        application, facility, control_id = record.name
        identity = Identity(application, facility, control_id, record.digest)
        memory.restore(identity, record.made, record.at, answer)
    answered = sum(isinstance(record, Answered) for record in latest.values())
    return Report(answered, len(latest) - answered, torn, lost)


class Kept:
    """One who waits for a record: told once, whether it lasts."""

    def __init__(self, loop: asyncio.AbstractEventLoop, then: Callable[[bool], None], within: float) -> None:
        self.then: Callable[[bool], None] | None = then
        self.timer = loop.call_later(within, self.tell, False)

    def tell(self, lasts: bool) -> None:
        """Report once whether the record lasts, and stop the timer."""
        then, self.then = self.then, None
        self.timer.cancel()
        if then is not None:
            then(lasts)


class Journal:
    """The loop's side: takes records, groups them, tells who waits; the disk is waited for by the worker."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        worker: Worker,
        segments: Segments,
        memory: Memory[Any],
    ) -> None:
        self.loop, self.clock, self.worker = loop, clock, worker
        self.segments, self.memory = segments, memory
        self.failed = ""  # why it takes nothing just now
        self.waiting: list[tuple[bytes, Kept | None]] = []
        self.busy = False
        self.full: list[tuple[int, int]] = []  # files that are full: number, time of their last record
        self.recovering: asyncio.TimerHandle | None = None

    def recover(self) -> Report:
        """Read all files into the memory at the start. Raises LogError, LogFormatError or OSError."""
        now = self.clock.time_ns()
        found = self.segments.open()
        report = replay(found, self.memory, now)
        if not found:  # nothing is known of what was before
            self.memory.lost(now + self.memory.bounds.clock_error)
            self._keep(Horizon(self.memory.horizon, now), None)
        self.full = [(one.number, now) for one in found if one.number != self.segments.number]
        return report

    # ---- records ----

    def sent(self, identity: Identity, made: int | None, then: Callable[[bool], None], within: float) -> None:
        """Write a SENT record; `then` hears whether it lasts, after `within` seconds at the latest."""
        record = Sent(identity.name, identity.digest, made, self.clock.time_ns())
        self._keep(record, Kept(self.loop, then, within))

    def answered(
        self,
        identity: Identity,
        made: int | None,
        answer: bytes,
        then: Callable[[bool], None] | None = None,
        within: float = ANSWER_WITHIN,
    ) -> None:
        """Write an ANSWERED record; `then`, if given, hears whether it lasts, after `within` seconds at the
        latest."""
        record = Answered(identity.name, identity.digest, made, self.clock.time_ns(), answer)
        self._keep(record, Kept(self.loop, then, within) if then is not None else None)

    def withdrawn(self, identity: Identity) -> None:
        """Write a WITHDRAWN record; nobody waits for it."""
        self._keep(Withdrawn(identity.name, self.clock.time_ns()), None)

    def _keep(self, record: Record, kept: Kept | None) -> None:
        if self.failed:
            if kept is not None:
                self.loop.call_soon(kept.tell, False)
            return
        self.waiting.append((encode(record), kept))
        self._write()

    # ---- the disk ----

    def _write(self) -> None:
        if self.busy or self.failed or not self.waiting:
            return
        batch, self.waiting = self.waiting, []
        self.busy = True
        payloads = [payload for payload, _ in batch]
        self.worker.run(lambda: self.segments.write(payloads), lambda _, error: self._written(batch, error))

    def _written(self, batch: list[tuple[bytes, Kept | None]], error: BaseException | None) -> None:
        self.busy = False
        for _, kept in batch:
            if kept is not None:
                kept.tell(error is None)
        if error is not None:
            self._fail(error)
        elif self.segments.overflowing():
            self._roll()
        else:
            self._write()

    def _roll(self) -> None:
        """Go on in a new file, and remove those that nothing rests on any more."""
        now = self.clock.time_ns()
        self.full.append((self.segments.number, now))
        oldest = self.memory.oldest(now)
        while self.full and self.full[0][1] < oldest:
            self.full.pop(0)
        self._renew(self.full[0][0] if self.full else self.segments.number + 1)

    def _renew(self, keep_from: int) -> None:
        head = encode(Horizon(self.memory.horizon, self.clock.time_ns()))
        self.busy = True

        def work() -> None:
            self.segments.reopen()
            self.segments.write([head])
            self.segments.drop(keep_from)

        self.worker.run(work, self._renewed)

    def _renewed(self, _: Any, error: BaseException | None) -> None:
        self.busy = False
        if error is not None:
            self._fail(error)
            return
        if self.failed:
            log.warning("the journal goes on", extra={"event": "journal.goes-on"})
            self.failed = ""
        self._write()

    def _fail(self, error: BaseException) -> None:
        if not isinstance(error, LogError | OSError):
            log.error(
                "the journal failed: %s: %s",
                type(error).__name__,
                error,
                extra={"event": "journal.failed", "fields": {"error": str(error)}},
            )
        if not self.failed:
            log.warning(
                "the journal takes nothing: %s",
                error,
                extra={"event": "journal.full", "fields": {"error": str(error)}},
            )
        self.failed = str(error)
        batch, self.waiting = self.waiting, []
        for _, kept in batch:
            if kept is not None:
                kept.tell(False)
        self.recovering = self.loop.call_later(RETRY, self._recover)

    def _recover(self) -> None:
        if not self.full or self.full[-1][0] != self.segments.number:
            self.full.append((self.segments.number, self.clock.time_ns()))
        self._renew(self.full[0][0])

    def close(self) -> None:
        """What was taken is written first."""
        if self.recovering is not None:
            self.recovering.cancel()
        if self.waiting and not self.failed:
            payloads, self.waiting = [payload for payload, _ in self.waiting], []
            self.worker.run(lambda: self.segments.write(payloads), lambda *_: None)
        self.worker.close()
        self.segments.close()

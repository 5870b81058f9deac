"""The memory that makes a resend harmless: which messages were seen, and what was answered. Sans-I/O.

Theory of operation. A message's identity is (MSH-3, MSH-4, MSH-10, a hash of its content). For each identity:

    new --arrive--> PENDING --answered--> ANSWERED --age or room--> forgotten
                    PENDING --withdrawn (it has certainly not run)--> new
    a restart, from the journal: sent and not answered --> LOST --age or room--> forgotten

Arriving again: while PENDING it waits for the same answer; once ANSWERED it gets that answer; LOST is
UNKNOWN; the same sender and control id with other content conflict. Nothing is ever sent for a message that
arrives again.

Forgetting is bounded on three sides: age, number, bytes. What is forgotten moves the horizon: the memory no
longer knows messages made at or before that instant (their own MSH-7). So does a start without a journal. A
message made before the horizon, or that does not say when it was made while the horizon is younger than the
age, is UNKNOWN: it may be a resend of one that was forgotten, so nothing is sent for it and the answer says
so. What is PENDING is never forgotten: it is bounded by the front's own limit on open requests.

Clocks: a clinic's and ours may be `clock_error` apart. A message that says it was made later than that from
now says nothing about when it was made. Where several balancers serve one clinic, each remembers its own
alone; `fresh` then bounds how old a message may be that this one has never seen: made earlier, another one
may have had it before, so it is UNKNOWN.

Promises at every instant: an identity is NEW at most once while it is remembered; count and bytes of what is
remembered stay within their bounds but for what is pending; `horizon` never moves back.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Generic, TypeVar

W = TypeVar("W")  # whoever waits for an answer
OVERHEAD = 560  # bytes of an entry beside its names and answer; tracemalloc says 552 over 100,000 entries


@dataclass(frozen=True, slots=True)
class Identity:
    """What makes two sends one message; `digest` is the SHA-256 of the content."""

    application: bytes  # MSH-3
    facility: bytes  # MSH-4
    control_id: bytes  # MSH-10
    digest: bytes

    @property
    def name(self) -> tuple[bytes, bytes, bytes]:
        """What must not come with other content."""
        return self.application, self.facility, self.control_id

    def key(self) -> str:
        """The stable request id and idempotency key of all its sends, at every balancer."""
        text = b"\x00".join((self.application, self.facility, self.control_id, self.digest))
        return hashlib.blake2b(text, digest_size=16, person=b"lifttrail-mllp").hexdigest()


def identify(application: bytes, facility: bytes, control_id: bytes, content: bytes) -> Identity:
    """The identity of a message with these header fields and this content."""
    return Identity(application, facility, control_id, hashlib.sha256(content).digest())


class Verdict(Enum):
    """What is to be done with a message that arrives."""

    NEW = auto()  # take it, send it
    WAIT = auto()  # the first is in work: this one gets the same answer
    REPLAY = auto()  # answered before: the answer is `answer`
    CONFLICT = auto()  # the same control id came with other content: AR
    UNKNOWN = auto()  # it may be a resend of one that was forgotten: AE, and nothing is sent


@dataclass(frozen=True, slots=True)
class Ruling:
    """The verdict on an arriving message, and the remembered answer where it is REPLAY."""

    verdict: Verdict
    answer: bytes = b""


@dataclass(slots=True)
class Entry(Generic[W]):
    """What is remembered of one message, and who waits for its answer."""

    identity: Identity
    made: int | None  # when the message was made, by its own MSH-7; Unix nanoseconds
    seen: int
    waiting: list[W] = field(default_factory=list)
    answer: bytes | None = None  # None: in work, or lost in a restart
    stored: bool = False  # its journal has it


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much is remembered, and for how long."""

    age: int = 7 * 24 * 3600 * 1_000_000_000  # nanoseconds
    entries: int = 100_000
    bytes: int = 64 << 20
    clock_error: int = 2_000_000_000  # nanoseconds that a sender's clock may differ from ours
    fresh: int = 0  # nanoseconds that a message never seen here may be old; 0: any


class Memory(Generic[W]):
    """`now` is Unix time in nanoseconds in all calls: ages outlive a restart."""

    def __init__(self, now: int, bounds: Bounds = Bounds(), complete: bool = False) -> None:  # noqa: B008 - frozen
        """`complete`: nothing was seen before `now`, or all of it will be restored."""
        self.bounds = bounds
        self.horizon = -1 if complete else now + bounds.clock_error
        self.open: dict[tuple[bytes, bytes, bytes], Entry[W]] = {}
        self.answered: OrderedDict[tuple[bytes, bytes, bytes], Entry[W]] = OrderedDict()
        self.size = 0  # bytes of what is answered, with OVERHEAD

    # ---- what happens ----

    def arrive(self, now: int, identity: Identity, made: int | None, who: W) -> Ruling:
        """A message has come whole, by `who`, who will wait where the ruling says so."""
        self.age(now)
        if made is not None and made > now + self.bounds.clock_error:
            made = None
        known = self.open.get(identity.name) or self.answered.get(identity.name)
        if known is not None:
            return self._again(known, identity, who)
        if self._beyond(now, made):
            return Ruling(Verdict.UNKNOWN)
        self.open[identity.name] = Entry(identity, made, now, [who])
        return Ruling(Verdict.NEW)

    @staticmethod
    def _again(known: Entry[W], identity: Identity, who: W) -> Ruling:
        if known.identity.digest != identity.digest:
            return Ruling(Verdict.CONFLICT)
        if known.answer is not None:
            return Ruling(Verdict.REPLAY, known.answer)
        if not known.waiting:  # in work has always somebody waiting, gone or not
            return Ruling(Verdict.UNKNOWN)
        known.waiting.append(who)
        return Ruling(Verdict.WAIT)

    def _beyond(self, now: int, made: int | None) -> bool:
        if self.bounds.fresh and (made is None or made < now - self.bounds.fresh):
            return True
        if made is None:
            return self.horizon > now - self.bounds.age
        return made <= self.horizon

    def answer(self, now: int, identity: Identity, answer: bytes) -> list[W]:
        """It has its final answer; who waits for it."""
        entry = self.open.pop(identity.name)
        entry.answer, entry.seen = answer, now
        waiting, entry.waiting = entry.waiting, []
        self._keep(entry)
        self._make_room()
        return waiting

    def withdraw(self, identity: Identity) -> list[W]:
        """It was given up and has certainly not run: a resend may be taken as new. Who waits for it."""
        return self.open.pop(identity.name).waiting

    def restore(self, identity: Identity, made: int | None, seen: int, answer: bytes | None) -> None:
        """An entry from the journal, in the journal's order; None: sent, and lost before its answer."""
        before = self.answered.pop(identity.name, None)
        if before is not None:
            self.size -= self._weight(before)
        entry = Entry[W](identity, made, seen, [], answer)
        self._keep(entry)
        self._make_room()

    def lost(self, until: int) -> None:
        """Entries up to then can no longer be known: the journal had a hole."""
        self.horizon = max(self.horizon, until)

    def oldest(self, now: int) -> int:
        """What was seen before this instant is forgotten, all of it."""
        first = next(iter(self.answered.values()), None)
        pending = min((entry.seen for entry in self.open.values()), default=now)
        return min(pending, now if first is None else first.seen)

    # ---- forgetting ----

    def _keep(self, entry: Entry[W]) -> None:
        self.answered[entry.identity.name] = entry
        self.size += self._weight(entry)

    @staticmethod
    def _weight(entry: Entry[W]) -> int:
        names = sum(map(len, entry.identity.name))
        return OVERHEAD + names + len(entry.answer or b"")

    def _make_room(self) -> None:
        while len(self.answered) > self.bounds.entries or self.size > self.bounds.bytes:
            _, entry = self.answered.popitem(last=False)
            self.size -= self._weight(entry)
            self.horizon = max(self.horizon, entry.seen if entry.made is None else max(entry.made, 0))

    def age(self, now: int) -> None:
        """Forget what has reached its age: resends of it are too late to be believed."""
        while self.answered:
            name, entry = next(iter(self.answered.items()))
            if entry.seen > now - self.bounds.age:
                return
            del self.answered[name]
            self.size -= self._weight(entry)
            made = entry.seen if entry.made is None else entry.made
            self.horizon = max(self.horizon, min(entry.seen, made))

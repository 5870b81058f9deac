"""The versions at one balancer: time, datagrams and the committed book in; datagrams, changes to propose and
what may be acted on out. Knows the history by what it is handed (`History`); opens no socket, reads no clock.

The parts: `book` (what all have alike), `force` (what may be acted on at this instant), `guide` (what whoever
leads proposes next), `lists` (what others' lists say), `checks` (whether this balancer could act on a
proposal).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from dykeshift.settings import SettingsError
from dykeshift.versions.book import Book, Pending, Rules, mark
from dykeshift.versions.changes import Ban, Change, Lists, Propose, Unban
from dykeshift.versions.checks import Sight, objection
from dykeshift.versions.force import Acts, InForce
from dykeshift.versions.guide import Facts, Guide, Options
from dykeshift.versions.lists import Lists as Told
from dykeshift.versions.own import Own
from dykeshift.versions.terms import contradicts
from dykeshift.versions.wire import SERVERS, Leaving, Message, Report, Verdict, decode
from dykeshift.view.wire import Bad, Seal

FANOUT = 2  # members that are told of servers that leave, each time


class History(Protocol):
    """What is asked of the agreement."""

    def lease_left(self) -> int:
        """Nanoseconds for which the book may be held true."""

    def heard(self) -> tuple[bytes, ...]:
        """Changes that are here and not known to be committed."""

    def why(self) -> str:
        """Why there is no lease, where there is none."""

    def leader(self) -> int | None: ...

    def facts(self) -> Facts: ...

    def ident(self) -> int:
        """Which history it is; 0: none yet."""


@dataclass
class Versions:
    options: Options
    own: Own
    book: Book
    number: int
    birth: int
    history: History
    clock: Callable[[], int]
    sight: Callable[[], Sight]
    rng: Random
    counter: int = 0
    answers: tuple[int, int] = (0, 0)  # to clients, and bad ones among them
    report_at: int = 0
    told: tuple[int, int, str] = (0, 0, "")  # the version, proposal and mode of the last report
    # Bans by hand that are not committed, by server, and the book's version when they were asked for.
    wanted: dict[str, tuple[Ban, int]] = field(default_factory=dict)
    lifted: set[str] = field(default_factory=set)  # of these, taken back before they were committed
    dropped: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.force = InForce(self.own, self.book, self.number)
        self.guide = Guide(self.options, self.book, self._contradicts)
        self.lists = Told(self.options.last)
        self.verdicts: dict[Rules, str] = {}  # of proposals: the objection
        self.notes: list[str] = []  # what is to be said once

    # ---- what may be acted on ----

    def look(self) -> int:
        """The stamp of what holds at this instant: the gate between decision and send."""
        left = self.history.lease_left()
        if left > 0:
            return self.force.look(self.clock(), left)
        return self.force.look(self.clock(), 0, self.history.heard(), self.history.why())

    @property
    def acts(self) -> Acts:
        return self.force.acts

    # ---- time and datagrams ----

    def on_tick(self, now: int) -> tuple[list[tuple[Message, int]], Change | None]:
        """What to send, to which numbers, and what to propose on the book's version."""
        self.look()
        return [*self._report(now), *self._spread(now)], self._next(now)

    def on_datagram(self, now: int, data: bytes, seal: Seal) -> None:
        try:
            message = decode(data, seal)
        except Bad as exc:
            self._drop(str(exc))
            return
        if message.number == self.number:
            self._drop("own")
        elif message.history != self.history.ident():
            self._drop("stranger")
        elif isinstance(message, Report):
            self.guide.on_report(now, message)
        else:
            self._hear_list(now, message)

    def _hear_list(self, now: int, message: Leaving) -> None:
        why = self.lists.on_word(now, message.generation, message.servers)
        if why:
            self.notes.append(f"number {message.number}'s list is ignored: {why}")

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # ---- reports ----

    def _report(self, now: int) -> list[tuple[Message, int]]:
        pages, pending = self.book.pages, self.book.pages.pending
        proposal = mark(pending.rules) if pending is not None else 0
        state = (pages.version, proposal, self.acts.mode)
        pace = self.options.report if pending is not None else self.options.quiet
        if now < self.report_at and state == self.told:
            return []
        self.told, self.report_at, self.counter = state, now + pace, self.counter + 1
        verdict, reason = self._verdict(pending)
        report = Report(
            self.history.ident(),
            self.birth,
            self.number,
            self.counter,
            pages.version,
            proposal,
            verdict,
            self.acts.mode,
            *self.answers,
            reason,
        )
        leader = self.history.leader()
        if leader == self.number:
            self.guide.on_report(now, report)
            return []
        return [(report, leader)] if leader is not None else []

    def _verdict(self, pending: Pending | None) -> tuple[Verdict, str]:
        """On a proposal it makes up its mind once."""
        if pending is None:
            self.verdicts.clear()
            return Verdict.NONE, ""
        rules = pending.rules
        if rules not in self.verdicts:
            held = self.own.read(self.book.pages.rules.settings) if self._readable() else self.own.settings
            self.verdicts = {
                rules: objection(
                    rules.settings, self.own, held, frozenset(self.book.pages.closed), self.sight()
                )
            }
        reason = self.verdicts[rules]
        return (Verdict.NO if reason else Verdict.YES), reason

    def _readable(self) -> bool:
        try:
            self.own.read(self.book.pages.rules.settings)
        except SettingsError:
            return False
        return True

    def _contradicts(self, pending: Pending) -> bool:
        """Where nothing was in force each acts on its own file, and nobody knows what these say."""
        held = self.book.pages.rules.settings
        if not held:
            return True
        try:
            return contradicts(self.own.read(held), self.own.read(pending.rules.settings))
        except SettingsError:
            return True

    # ---- lists ----

    def _spread(self, now: int) -> list[tuple[Message, int]]:
        word = self.lists.word(now, SERVERS)
        if word is None:
            return []
        others = sorted(self.history.facts().alive - {self.number})
        chosen = self.rng.sample(others, min(FANOUT, len(others)))
        message = Leaving(self.history.ident(), self.birth, self.number, *word)
        return [(message, number) for number in chosen]

    # ---- changes ----

    def _next(self, now: int) -> Change | None:
        for name in [n for n in self.lifted if n in self.book.pages.out]:
            if self.book.pages.out[name].by == str(self.number):
                return Unban(name, str(self.number))
            self.lifted.discard(name)  # somebody else's: it is his to lift
        for name, (wanted, since) in list(self.wanted.items()):
            done = self.book.banned.get(name, 0) > since  # and perhaps lifted again by now
            if not done and not self.book.objection(wanted):
                return wanted
            del self.wanted[name]
        return self.guide.next(now, self.history.facts())

    def ban(self, name: str) -> None:
        """By hand, here: until the history has it this balancer alone obeys."""
        self.wanted[name] = Ban(name, str(self.number)), self.book.pages.version
        self.lifted.discard(name)

    def unban(self, name: str) -> None:
        """What this balancer has proposed and nobody has committed yet: if it comes all the same, it is
        lifted. The fleet's ban ends by a committed change."""
        if self.wanted.pop(name, None) is not None:
            self.lifted.add(name)

    def reconfigure(self, raw: dict[str, Any]) -> bool:
        """A new file: its own part holds at once. Whether its shared part is what is in force."""
        own = Own(raw)  # SettingsError: nothing has changed
        self.own.mine, self.own.shared, self.own.settings = own.mine, own.shared, own.settings
        self.own.forget()
        self.force.reread()
        held = self.book.pages.rules.settings
        return not held or held == own.shared


__all__ = ["Ban", "Facts", "History", "Lists", "Options", "Propose", "Unban", "Versions", "mark"]

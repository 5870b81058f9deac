"""The view: what one balancer believes of the others. Time and datagrams in, datagrams and events out.

Each period the process asks one member after the other, in a shuffled order. No answer by 0.3 and 0.6 of the
period: it asks again, and has others ask for it. No proof of life in two periods in a row (three where its
probes often fail): it *suspects* the member, and says so. Who hears that of itself contradicts by raising its
incarnation. A suspicion that stands for `suspicion` makes the member *unreachable* everywhere; bounds.py says
when it is given up.

Promises that hold at every instant:
 1. Only what carries the fleet's seal counts, and only from a process that has answered a fresh random
    question of this one; each datagram counts once. So nothing that is played again does anything.
 2. A process that stood still, has just started, or hears no answers accuses nobody: it asks first.
 3. A member is held against its word only at the incarnation of that word; its next word clears it.
 4. Bytes and datagrams a second never exceed the budget, in any trouble; answers go before all else.
 5. `at_most` falls by a leave, by a process that takes over a dead one's name, or as bounds.py says.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from dykeshift.view.bounds import Bounds, Standing
from dykeshift.view.news import Budget, News
from dykeshift.view.table import WORD, Address, Member, Table, bucket, life, mark, rank
from dykeshift.view.wire import BUCKETS, BULK, HOLDS, MOST, NOBODY, REPLY, Bad, Entry, Kind, Message, Seal
from dykeshift.view.wire import State, decode, encode, pack_entry, room

PHASES = (0.0, 0.3, 0.6)  # of a period: a probe, and two more tries of it
HELPERS = 3  # members that are asked to probe for another
FAILS = 2  # periods in a row without proof of life before a suspicion
TRIALS = 8  # latest probes that say how well this process itself is connected
PROBATION = 2.0  # suspicions that it has to have more than half before it holds the lease
SUSPICION = 6.0  # periods, times the decimal logarithm of the members: for the word to go round and back
TOUCH = 4.0  # periods without any answer, after which this process does not trust what it believes of others
SURE = 1.5  # periods without any answer, after which it starts to suspect nobody: it may be the one cut off
WITNESSES = 2  # members heard last that are asked beside a silent one, to tell whose silence it is
STALL = 1.5  # periods that it may be late before it counts as having stood still
LOUD = 6  # periods in which each datagram carries a new word of this process, and one for each doubling
CALM = 3.0  # periods without a change before the view counts as settled
AGREE = 3  # members in a row whose digest is ours, for the same
EXTRA = 6  # datagrams of news a period beyond probes and answers, while there are any
PIECES = 6  # datagrams of entries that answer one set of sums
INTRODUCTIONS = 4  # addresses where nobody was heard yet that are asked in a period
TOKENS = 512  # questions that may be open
KEEP = 20  # leases that the dead and those who left are remembered for
RIVALS = 3  # words of another process under one's own name after which it is no dead self

ANSWER, PROBE, RELAY, WORDS, GREET = range(5)
RESERVE = {ANSWER: 0.0, PROBE: 0.1, RELAY: 0.2, WORDS: 0.35, GREET: 0.5}  # of the budget, kept

Out = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class Options:
    """Times in nanoseconds; `datagrams` and `size` (bytes) are a second."""

    period: int = 500_000_000
    lease: int = 30_000_000_000
    drift: float = 0.01
    datagrams: float = 24.0
    size: float = 5000.0


@dataclass(frozen=True, slots=True)
class Event:
    """What consumers hear: `joined`, `state`, `gone`, `settled`, `unsettled`, `bounds`, `twin`, `woken`."""

    kind: str
    name: str = ""
    state: State = State.ALIVE
    at_least: int = 0
    at_most: int = 0


@dataclass(slots=True)
class Question:
    """An open token: whom it asks, and on whose behalf."""

    name: str  # "" where an address is asked and nobody is known there
    sent: int
    until: int
    relay: tuple[str, int] | None = None  # who asked us, and that one's token
    via: str = ""  # whom we asked for it


class View:
    def __init__(
        self,
        options: Options,
        seal: Seal,
        me: Entry,
        peers: tuple[Address, ...],
        own: Address | None,
        everybody: Address | None,
        rng: Random,
    ) -> None:
        """`me.birth`: drawn at random for each process. `own`: its place in `peers`, where it is told."""
        self.options, self.seal, self.me = options, seal, me
        self.peers, self.everybody, self.rng = peers, everybody, rng
        self.table, self.news = Table(), News()
        self.bounds = Bounds(options.lease, options.drift, peers, own)
        self.budget = Budget(options.datagrams, options.size, RESERVE)
        self.dropped: dict[str, int] = {}
        self.out: Out = []
        self.events: list[Event] = []
        self.periods = self.phase = 0
        self.woken = self.woken_at = 0  # how often this process stood still, and its period at the last time
        self.next_at = 0  # when on_timer wants to be called
        self.questions: dict[int, Question] = {}
        self.order: list[str] = []  # members still to be asked in this round
        self.probing: dict[str, int] = {}  # members that are being asked, since when
        self.trials: deque[bool] = deque([True] * TRIALS, TRIALS)
        self.woke = self.answered = 0  # when it last began to ask; the last answer to a question of its own
        self.asked = False
        self.caught_up = False  # somebody who holds the lease had the same table since it was last in doubt
        self.doubted = 0  # when it last took itself for cut off
        self.seq = 0
        self.loud_until = LOUD  # the period until which each datagram says who this is
        self.changed = 0  # when the table last changed
        self.agreed_with: set[str] = set()  # members in a row whose table is the same
        self.synced = 0
        self.rivals: dict[int, int] = {}
        self.yielded = False  # another process has this name, and this one keeps quiet
        self.settled, self.settled_at = False, 0
        self.standing = Standing(1, self.bounds.places(self.table))
        self.greeted = 0  # of the quiet addresses: where the round stands

    # ---- what the host calls ----

    def start(self, now: int) -> Out:
        self.budget.at = self.bounds.began = self.changed = self.settled_at = now
        self.next_at = now
        self._wake(now)
        return self.on_timer(now)

    def on_timer(self, now: int) -> Out:
        """To be called at `next_at` or later. Late by more than STALL periods: it stood still."""
        if now < self.next_at:
            return self._done()
        self._notice_stall(now)
        if self.phase == 0:
            self._end_period(now)
            self._begin_period(now)
        else:
            self._ask_again(now)
        self.phase = (self.phase + 1) % len(PHASES)
        ahead = PHASES[self.phase] - PHASES[self.phase - 1] + (self.phase == 0)
        self.next_at = max(self.next_at + int(ahead * self.options.period), now + self.options.period // 10)
        self._review(now)
        return self._done()

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        self._notice_stall(now)
        try:
            message = decode(data, self.seal)
        except Bad as exc:
            self._drop(str(exc))
            return self._done()
        self._take(now, message, address)
        self._review(now)
        return self._done()

    def on_facts(self, now: int, settings: int) -> Out:
        """This process acts on other settings from now on."""
        if settings != self.me.settings:
            self.me = replace(self.me, settings=settings)
            self._raise(now)
        return self._done()

    def leave(self, now: int) -> Out:
        """It ends. Said to some, who pass it on, and to all at once where the network does that."""
        if not self.yielded:
            self.me = replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT)
            told = [m.address for m in self._some(10)]
            for address in [self.everybody, *told]:
                if address is not None:
                    self._send(now, ANSWER, address, Kind.NEWS, entries=[self.me])
        return self._done()

    def adopt(self, now: int, others: dict[Address, Entry]) -> None:
        """Believe a table that was handed over otherwise than by datagrams, after `start`.

        As if each of these had just answered: the state of a fleet that has long been at rest.
        """
        for address, entry in others.items():
            member = self.table.put(entry, now)
            if member is not None:
                self.table.house(member, address)
                member.verify(entry.birth, entry.incarnation, 0)
                member.heard = member.proved = now
        self._answered(now)
        self.caught_up = True
        self._review(now)

    def take_events(self) -> list[Event]:
        events, self.events = self.events, []
        return events

    def _done(self) -> Out:
        out, self.out = self.out, []
        return out

    # ---- sending ----

    def _send(
        self,
        now: int,
        priority: int,
        address: Address | None,
        kind: Kind,
        *,
        ask: int = 0,
        echo: int = 0,
        target: str = "",
        proof: tuple[int, int] = (0, 0),
        sums: tuple[int, ...] = (),
        flags: int = 0,
        entries: list[Entry] | None = None,
        fill: bool = False,
    ) -> bool:
        """Within the budget, or not at all. `fill`: with news as far as there is room."""
        if address is None or (self.yielded and kind is not Kind.ACK):
            return False
        if not self.budget.allows(now, priority, MOST):
            self._drop("budget")
            return False
        own = entries or []
        if (kind is Kind.ACK or self.periods < self.loud_until) and self.me not in own:
            own = [self.me, *own]
        space = room(self.me.name) - sum(len(pack_entry(e)) for e in own) - (2 + len(target.encode()))
        packed = self.news.take(space, len(self.table.members) + 1) if fill else []
        self.seq += 1
        digest = self.table.digest() ^ mark(self.me)
        flags |= HOLDS * self.standing.holds
        data = encode(
            Message(
                kind,
                self.me.name,
                self.me.birth,
                self.me.incarnation,
                self.seq,
                digest,
                flags,
                ask,
                echo,
                target,
                proof,
                sums,
                own,
            ),
            self.seal,
            packed,
        )
        self.budget.spend(len(data))
        self.out.append((data, address))
        return True

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _token(self, question: Question) -> int:
        if len(self.questions) >= TOKENS:
            self.questions.pop(next(iter(self.questions)))
        token = self.rng.getrandbits(32) or 1
        self.questions[token] = question
        return token

    def _ask(
        self,
        now: int,
        priority: int,
        address: Address | None,
        name: str,
        relay: tuple[str, int] | None = None,
        entries: list[Entry] | None = None,
    ) -> None:
        if address is not None:
            token = self._token(Question(name, now, now + 4 * self.options.period, relay))
            if not self._send(
                now, priority, address, Kind.PING, ask=token, entries=entries, fill=not entries
            ):
                del self.questions[token]

    def _some(self, most: int, but: str = "") -> list[Member]:
        """Members believed alive, at random."""
        able = [m for m in self.table if m.state is State.ALIVE and m.address and m.entry.name != but]
        return self.rng.sample(able, min(most, len(able)))

    # ---- periods ----

    def _notice_stall(self, now: int) -> None:
        if now - self.next_at > STALL * self.options.period:
            self.events.append(Event("woken"))
            self.woken, self.woken_at = self.woken + 1, self.periods
            gap, self.next_at, self.phase = now - self.next_at, now, 0
            for member in self.table:
                member.suspect_until += gap
            self._wake(now)

    def _wake(self, now: int) -> None:
        """Whatever it believed is old: nobody is accused and nothing held until somebody has answered."""
        self.woke, self.asked, self.caught_up = now, False, False
        self.questions.clear()
        self.probing.clear()
        self.agreed_with.clear()
        self.bounds.quorate_since = self.bounds.held_since = None
        for member in self.table:
            member.fails = 0
        for member in self._some(HELPERS):
            self._ask(now, PROBE, member.address, member.entry.name)

    def _in_touch(self, now: int) -> bool:
        """Somebody has answered lately: silence of others is not this process's own."""
        return self.asked and now - self.answered <= TOUCH * self.options.period

    def _alone(self, now: int) -> bool:
        """Nobody answered for so long that this process takes itself for cut off."""
        return now - max(self.answered, self.woke) > self.suspicion()

    def suspicion(self) -> int:
        """How long a member has to contradict, in nanoseconds."""
        scale = max(1.0, math.log10(len(self.table.members) + 1))
        return int(SUSPICION * scale * self.options.period)

    def _begin_period(self, now: int) -> None:
        self.periods += 1
        for token in [t for t, q in self.questions.items() if q.until < now]:
            del self.questions[token]
        again = [m for m in self.table if m.fails and m.state is State.ALIVE]
        again = self.rng.sample(again, min(HELPERS, len(again)))
        target = self._next_target()
        known = [m for m in self.table if m.state is State.ALIVE and m.address] if again else []
        known.sort(key=lambda m: -m.heard)
        # The one whose turn it is comes first: where nobody answers, the others take all of the budget.
        for member in ([target] if target else []) + again + known[:WITNESSES]:
            if member.entry.name not in self.probing:
                self.probing[member.entry.name] = now
                self._ask(now, PROBE, self._way_to(member), member.entry.name)
        self._greet(now)
        for member in self._some(EXTRA if len(self.news) else 0):
            if not len(self.news) or not self._send(now, WORDS, member.address, Kind.NEWS, fill=True):
                break

    def _next_target(self) -> Member | None:
        for _ in range(2):
            while self.order:
                member = self.table.get(self.order.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self.order = list(self.table.members)
            self.rng.shuffle(self.order)
        return None

    def _way_to(self, member: Member) -> Address | None:
        """Who is known by hearsay alone is asked where its number says, and through others: one that died
        before anybody left had met it is not to stay alive in all tables."""
        return member.address or self.bounds.presumed(member)

    def _greet(self, now: int) -> None:
        """Those who may be there and are silent: a few each period, all in turn, so that a cut that is mended
        and a process that came anew are found."""
        silent = self.bounds.unheard(self.table) + sorted(self.bounds.quiet)
        silent += [m.address for m in self.table if m.state >= State.UNREACHABLE and m.address]
        if not silent:
            return
        most = min(len(silent), INTRODUCTIONS if self.periods * INTRODUCTIONS <= 2 * len(self.peers) else 1)
        for _ in range(most):
            self.greeted = (self.greeted + 1) % len(silent)
            self._ask(now, GREET, silent[self.greeted], "", entries=[self.me])

    def _ask_again(self, now: int) -> None:
        for name, since in self.probing.items():
            member = self.table.get(name)
            if member is None or member.heard >= since:
                continue
            self._ask(now, PROBE, self._way_to(member), name)
            if self.phase == 1 and self._in_touch(now):  # nobody helps one that hears nobody
                for helper in self._some(HELPERS, but=name):
                    until = now + 4 * self.options.period
                    token = self._token(Question(name, now, until, via=helper.entry.name))
                    self._send(now, RELAY, helper.address, Kind.PROBE_FOR, ask=token, target=name, fill=True)

    def _end_period(self, now: int) -> None:
        needed = FAILS + (sum(self.trials) < TRIALS * 7 // 8)
        for name, since in self.probing.items():
            member = self.table.get(name)
            if member is None or member.state >= State.UNREACHABLE:
                continue
            well = member.heard >= since
            self.trials.append(well)
            member.fails = 0 if well else member.fails + 1
            sure = self.asked and now - self.answered <= SURE * self.options.period
            if member.fails >= needed and member.state is State.ALIVE and sure:
                self._believe(now, member, State.SUSPECT)
        self.probing.clear()
        if self._alone(now):
            self.caught_up, self.doubted = False, now
        if self._in_touch(now):
            for member in [m for m in self.table if m.state is State.SUSPECT and now >= m.suspect_until]:
                self._believe(now, member, State.UNREACHABLE)
        for member in self.bounds.to_give_up(now, self.table):
            self._believe(now, member, State.DEAD)
        forgotten = KEEP * self.options.lease
        for member in [m for m in self.table if m.state >= State.DEAD and now - m.since > forgotten]:
            self.table.drop(member)
            if member.address is not None:
                self.bounds.quiet.add(member.address)

    # ---- beliefs ----

    def _believe(self, now: int, member: Member, state: State) -> None:
        entry = self.table.turn(member, state, now)
        self._after_change(now, member, entry)

    def _after_change(self, now: int, member: Member, entry: Entry, spread: bool = True) -> None:
        self.changed = now
        self.agreed_with.clear()
        if spread:
            self.news.add(entry)
        if entry.state is State.SUSPECT:
            member.suspect_until = now + self.suspicion()
        if (
            entry.state in (State.SUSPECT, State.UNREACHABLE)
            and member.address is not None
            and (now - member.heard < TOUCH * self.options.period)
        ):
            self._send(now, RELAY, member.address, Kind.NEWS, entries=[entry])  # it can contradict at once
        if entry.state is State.ALIVE:
            member.fails = 0
        kind = "gone" if entry.state >= State.DEAD else "state"
        self.events.append(Event(kind, entry.name, entry.state))

    def _merge(self, now: int, entry: Entry, spread: bool = True) -> None:
        """A word on a member: taken, and passed on, where it goes before what is believed."""
        if entry.name == self.me.name:
            self._hear_of_self(now, entry)
            return
        known = self.table.get(entry.name)
        if known is None:
            member = self.table.put(entry, now)
            if member is None:
                self._drop("members")
            elif entry.state >= State.DEAD:
                self.changed = now  # kept, so that an older word does not bring it back; nothing to pass on
            else:
                self.events.append(Event("joined", entry.name, entry.state))
                self._after_change(now, member, entry, spread)
        elif rank(entry) > rank(known.entry):
            self.table.put(entry, now)
            self._after_change(now, known, entry, spread)

    def _hear_of_self(self, now: int, entry: Entry) -> None:
        if entry.birth == self.me.birth:
            if (
                entry.incarnation >= self.me.incarnation
                and entry.state is not State.ALIVE
                and (self.me.state is State.ALIVE)
            ):
                self.me = replace(self.me, incarnation=entry.incarnation)
                self._raise(now)
            return
        if entry.incarnation < self.me.incarnation or self.yielded:
            return
        count = self.rivals[entry.birth] = self.rivals.get(entry.birth, 0) + 1
        if count == RIVALS:
            self._twin(now, entry.birth)
        if not self.yielded:  # a dead self, perhaps from a time when the wall clock was ahead
            self.me = replace(self.me, incarnation=(life(entry.incarnation) + 1) << WORD)
            self._raise(now)

    def _twin(self, now: int, birth: int) -> None:
        """Another process at work under this name. Both say so, once, and one of them gives way."""
        self.rivals[birth] = RIVALS
        self.events.append(Event("twin", self.me.name))
        self.yielded = self.me.birth < birth

    def _raise(self, now: int) -> None:
        self.me = replace(self.me, incarnation=self.me.incarnation + 1)
        self.loud_until = self.periods + LOUD + len(self.table.members).bit_length()
        self.changed = now
        self.agreed_with.clear()
        self.news.add(self.me)

    # ---- receiving ----

    def _take(self, now: int, message: Message, address: Address) -> None:
        if message.name == self.me.name:
            self._take_own(now, message, address)
            return
        question = self.questions.pop(message.echo, None) if message.echo else None
        if question is not None and (
            message.name not in (question.name or message.name, question.via)
            or message.kind is Kind.VIA
            and message.target != question.name
        ):
            question = None
        known = self.table.get(message.name)
        if question is not None and message.kind is not Kind.VIA:
            known = self._proved(now, message, address, question)
        if known is None or known.verified != message.birth or known.entry.birth != message.birth:
            self._answer_stranger(now, message, address)
            return
        if question is None and not known.fresh(message.incarnation, message.seq):
            self._drop("replayed")
            return
        known.heard = max(known.heard, now)
        self.table.house(known, address)
        for entry in message.entries:
            self._merge(now, entry, not message.flags & BULK)  # sums find out who lacks the rest, too
        if message.kind is Kind.VIA and question is not None:
            self._proved_via(message, question)
        self._respond(now, message, address, known)
        self._compare(now, message, address, question is not None)

    def _proved(self, now: int, message: Message, address: Address, question: Question) -> Member | None:
        """Who answers a question of ours is at work, and is who it says."""
        entry = next(
            (e for e in message.entries if e.name == message.name and e.birth == message.birth),
            Entry(message.name, message.incarnation, message.birth),
        )
        known = self.table.get(message.name)
        if known is None or known.entry.birth != message.birth:
            self._merge(now, replace(entry, incarnation=message.incarnation, state=State.ALIVE))
            known = self.table.get(message.name)
            if known is None or known.entry.birth != message.birth:
                return None  # it has to hear first of who had its name
        known.verify(message.birth, message.incarnation, message.seq)
        known.fresh(message.incarnation, message.seq)
        known.heard = max(known.heard, question.sent)
        known.proved = question.sent
        if known.address != address:
            for other in self.table:
                if other.address == address:
                    self.table.house(other, None)
            self.table.house(known, address)
        self.bounds.heard_at(address)
        self._answered(now)
        if question.relay is not None:
            asker = self.table.get(question.relay[0])
            if asker is not None:
                self._send(
                    now,
                    RELAY,
                    asker.address,
                    Kind.VIA,
                    echo=question.relay[1],
                    target=message.name,
                    proof=(message.birth, message.incarnation),
                    fill=True,
                )
        return known

    def _answered(self, now: int) -> None:
        self.answered, self.asked = now, True

    def _proved_via(self, message: Message, question: Question) -> None:
        member = self.table.get(message.target)
        if member is not None and member.entry.birth == message.proof[0]:
            member.heard = max(member.heard, question.sent)
            member.proved = question.sent

    def _answer_stranger(self, now: int, message: Message, address: Address) -> None:
        """Who has not proved to be at work now is told what is known of its name, and asked; nothing it says
        counts."""
        self._drop("unverified")
        if message.kind in (Kind.PING, Kind.SYNC, Kind.PROBE_FOR) and message.ask or message.echo:
            known = self.table.get(message.name)
            entries = [self.me]
            if known is not None and rank(known.entry) > (message.incarnation, message.birth, State.ALIVE):
                entries.append(known.entry)
            token = self._token(Question(message.name, now, now + 4 * self.options.period))
            self._send(now, ANSWER, address, Kind.ACK, ask=token, echo=message.ask, entries=entries)

    def _take_own(self, now: int, message: Message, address: Address) -> None:
        if message.birth == self.me.birth:
            self.bounds.own = address  # this process's own place among the peers
            return
        question = self.questions.pop(message.echo, None) if message.echo else None
        if question is not None and question.name in ("", self.me.name):
            if self.rivals.get(message.birth, 0) < RIVALS:
                self._twin(now, message.birth)  # it answers: no dead self
        elif message.ask:
            token = self._token(Question(self.me.name, now, now + 4 * self.options.period))
            self._send(now, ANSWER, address, Kind.ACK, ask=token, echo=message.ask, entries=[self.me])

    def _respond(self, now: int, message: Message, address: Address, known: Member) -> None:
        entries = [known.entry] if known.state is not State.ALIVE else []  # it does not know yet
        if message.kind is Kind.PROBE_FOR:
            target = self.table.get(message.target)
            if target is not None:
                self._ask(now, RELAY, target.address, message.target, relay=(message.name, message.ask))
        elif message.ask:
            self._send(now, ANSWER, address, Kind.ACK, echo=message.ask, entries=entries, fill=True)
        elif entries:
            self._send(now, RELAY, address, Kind.NEWS, entries=entries)
        if message.sums:
            self._answer_sums(now, message, address)

    # ---- tables that differ ----

    def _compare(self, now: int, message: Message, address: Address, answers: bool) -> None:
        """`answers`: a question of ours, so that it is no old word that lay unread."""
        if message.digest == self.table.digest() ^ mark(self.me):
            self.agreed_with.add(message.name)
            self.caught_up = self.caught_up or answers and bool(message.flags & HOLDS)
            return
        self.agreed_with.clear()
        if now - self.synced > self.options.period and message.kind is not Kind.SYNC:
            self.synced = now
            self._send(now, WORDS, address, Kind.SYNC, sums=self._sums())

    def _sums(self) -> tuple[int, ...]:
        """With this process itself, as the others have it."""
        sums = list(self.table.short_sums())
        sums[bucket(self.me.name)] ^= mark(self.me) & 0xFFFFFFFF
        return tuple(sums)

    def _answer_sums(self, now: int, message: Message, address: Address) -> None:
        """All of a few buckets that differ, in as many pieces as one answer may have; the rest next time."""
        ours = self._sums()
        differing = [n for n in range(BUCKETS) if ours[n] != message.sums[n]]
        self.rng.shuffle(differing)
        entries = [e for n in differing for e in self.table.in_bucket(n)]
        if bucket(self.me.name) in differing:
            entries.append(self.me)
        for _ in range(PIECES):
            piece, space = list[Entry](), room(self.me.name)
            while entries and (space := space - len(pack_entry(entries[-1]))) >= 0:
                piece.append(entries.pop())
            if not piece or not self._send(now, WORDS, address, Kind.NEWS, entries=piece, flags=BULK):
                break
        if not message.flags & REPLY:
            self._send(now, WORDS, address, Kind.SYNC, sums=ours, flags=REPLY)

    # ---- what is told ----

    def _review(self, now: int) -> None:
        """Say what has changed for those who listen."""
        self.bounds.probation = int(PROBATION * self.suspicion())
        alone = self.bounds.places(self.table) == 1  # nobody else can be at work: nobody has to answer
        awake = not self.yielded and (alone or self._in_touch(now))
        standing = self.bounds.stand(now, self.table, awake, self._known_alive(now))
        if (standing.at_least, standing.at_most, standing.holds) != (
            self.standing.at_least,
            self.standing.at_most,
            self.standing.holds,
        ):
            self.events.append(Event("bounds", at_least=standing.at_least, at_most=standing.at_most))
        self.standing = standing
        settled = self._is_settled(now)
        if settled != self.settled:
            self.settled, self.settled_at = settled, now
            self.events.append(
                Event(
                    "settled" if settled else "unsettled",
                    at_least=standing.at_least,
                    at_most=standing.at_most,
                )
            )

    def _known_alive(self, now: int) -> int:
        """Of the others. What it believed before it stood still, or was cut off, counts once one who holds
        the lease believes the same; until then those who have answered since.
        """
        if not self.asked or self._alone(now):
            return 0
        if self.caught_up:
            return self.table.alive
        since = max(self.woke, self.doubted)
        return sum(m.state is State.ALIVE and m.proved >= since for m in self.table)

    def _is_settled(self, now: int) -> bool:
        if self.yielded or now - self.changed < CALM * self.options.period:
            return False
        if self._alone(now):
            return True  # it reaches nobody
        if not self.asked or not self._in_touch(now):
            return False
        return len(self.agreed_with) >= min(AGREE, self.table.alive) and not self.table.suspects

    def state_of(self, now: int, member: Member) -> State:
        """Cut off from all, this process can reach none of those it last knew alive."""
        return State.UNREACHABLE if member.state < State.UNREACHABLE and self._alone(now) else member.state

    def digest(self, now: int) -> str:
        own = self.me.birth if self._alone(now) or self.yielded else 0  # such a view is nobody else's
        return f"{self.table.digest() ^ mark(self.me) ^ own:016x}"

    def summary(self, now: int) -> dict[str, Any]:
        """For the console. Seconds, counts, hexadecimal digests."""

        def row(entry: Entry, state: State, since: int) -> dict[str, Any]:
            return {
                "name": entry.name,
                "number": entry.number if entry.number != NOBODY else -1,
                "incarnation": entry.incarnation,
                "state": state.name.lower(),
                "settings": f"{entry.settings:08x}",
                "zone": entry.zone,
                "program": f"{entry.program >> 8}.{entry.program & 255}",
                "since_s": round(max(0, now - since) / 1e9, 3),
            }

        rows = [row(self.me, self.me.state, self.bounds.began)]
        rows += [row(m.entry, self.state_of(now, m), m.since) for m in self.table]
        rows.sort(key=lambda r: str(r["name"]))
        return {
            "self": self.me.name,
            "incarnation": self.me.incarnation,
            "settled": self.settled,
            "since_s": round((now - self.settled_at) / 1e9, 3),
            "at_least": self.standing.at_least,
            "at_most": self.standing.at_most,
            "holds_lease": self.standing.holds,
            "lease_s": self.options.lease / 1e9,
            "yielded": self.yielded,
            "twin": self.yielded or any(n >= RIVALS for n in self.rivals.values()),
            "digest": self.digest(now),
            "periods": self.periods,
            "woken": self.woken,
            "woken_at": self.woken_at,
            "members": rows,
            "sent": {"datagrams": self.budget.sent[0], "bytes": self.budget.sent[1]},
            "dropped": dict(sorted(self.dropped.items())),
        }

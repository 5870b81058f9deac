"""Elections, replication and what is committed: Raft's rules between processes that never forget a promise.

States: LEARNER (has no seat), FOLLOWER, CANDIDATE, LEADER. The rules are those of Ongaro's thesis, with a
vote
before the vote, a leader that steps down when no majority answers, joint changes of one seat, and the 2015
correction: no change of seats before an entry of the leader's own term is committed.

Promises that hold at every instant:
 1. One vote a term from each process, kept before it is said; so at most one leader a term.
 2. What a process says it has, it has kept, and nobody but a later leader's log takes it away.
 3. Only entries of the leader's own term are counted; what is behind them is committed with them.
 4. `confirmed_at`: at that time of this process's clock nobody later than this leader had committed anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from dykeshift.agree.log import Entry, Sort, pack_seats
from dykeshift.agree.pieces import Assembly
from dykeshift.agree.seats import Seats, Seen, next_change
from dykeshift.agree.state import CARE, URGENT, Shared
from dykeshift.agree.wire import CHUNK, KEPT, LOST, RETIRING, YES, Kind, Message, Seat
from dykeshift.view.table import Address

PATIENCE = 5  # beats without a leader before an election; twice that at most, drawn
SILENT = 3  # beats after which a voter that has not answered gets no entries until it does
WINDOW = 8  # datagrams to one voter that are not answered yet
BARE = 0xFF  # sort of an APPEND that carries no entry
BEHIND = 8  # entries that a process may lack to get a seat
GAP = 4  # of a beat: rounds that have a cause are not closer to one another
PROOF = 40  # looks round, half a beat each, that a leader has to see what a process brings from its disk
ROUNDS = 64  # of the leader that may be unconfirmed


class Role(IntEnum):
    LEARNER = 0
    FOLLOWER = 1
    CANDIDATE = 2
    LEADER = 3


@dataclass(slots=True)
class Progress:
    """What the leader knows of one voter."""

    next: int  # the entry to send, and from where in it
    offset: int = 0
    match: int = 0
    acked: int = 0  # the highest round that it answered
    heard: int = 0
    flight: int = 0  # datagrams with entries that it has not answered
    part: tuple[int, int] = (0, 0)  # an entry, and how much of it has arrived
    retiring: bool = False
    proved: int = 0  # the round that was the latest when its `match` came
    broken: bool = False  # it has lost what it said it had


@dataclass(slots=True)
class Lead:
    """What only a leader has."""

    first: int  # index of the first entry of its term
    due: int = 0  # when it speaks next without a cause
    spoke: int = 0  # when its last round began
    kept_up: int = 0  # when it last looked after its voters
    round: int = 0
    sent: dict[int, tuple[int, int]] = field(default_factory=dict)  # round: when, what was committed
    confirmed: int = 0  # the latest round that a majority answered
    confirmed_at: int = -1
    confirmed_commit: int = 0
    progress: dict[Seat, Progress] = field(default_factory=dict)
    seen: dict[int, Seen] = field(default_factory=dict)
    asked: dict[int, tuple[int, int]] = field(default_factory=dict)  # token: number, when


class Voter:
    def __init__(self, shared: Shared) -> None:
        self.shared = shared
        self.role = Role.LEARNER
        self.term = 0
        self.vote: Seat | None = None
        self.leader: Seat | None = None
        self.heard = -1  # when the leader was last heard; -1: never
        self.until = 0  # how long there is patience
        self.pre = True  # a candidate's first stage
        self.votes: set[Seat] = set()
        self.token = 0
        self.lead: Lead | None = None
        self.assembly = Assembly()
        self.first = 0  # of the records, the one with the present vote
        # back from a disk: beats in which a leader is to see whether it holds what it promised
        self.unproved = 0

    # ---- what everybody does ----

    @property
    def seats(self) -> Seats:
        return self.shared.log.seats

    def seated(self) -> bool:
        return self.shared.me in self.seats.all and not self.shared.fenced

    def rest(self, now: int) -> None:
        """Draw anew how long to wait for a leader."""
        beat = self.shared.options.beat
        self.until = now + int(beat * PATIENCE * (1 + self.shared.rng.random()))

    def reset(self, now: int) -> None:
        """Another epoch, or another birth: nothing was promised in it."""
        self.term, self.vote, self.leader, self.heard = 0, None, None, -1
        self._become(Role.LEARNER)
        self.assembly.clear()
        self.rest(now)

    def _become(self, role: Role) -> None:
        if role is not Role.LEADER:
            self.lead = None
        if role is not self.role:
            self.role = role
            self.shared.emit("role", text=role.name.lower())

    def _follow(self, now: int, term: int, leader: Seat | None) -> None:
        """Belong to this term, at least the present one."""
        if term > self.term:
            self.term, self.vote = term, None
            self.shared.keep("vote", term, None)
        if self.role is not Role.LEARNER or self.seated():
            self._become(Role.FOLLOWER if self.seated() else Role.LEARNER)
        if leader is not None:
            self.heard = now
            self.rest(now)
        if leader != self.leader:
            self.leader = leader
            if leader is not None:
                self.shared.emit("leader", text=str(leader[0]))

    def step_down(self, now: int) -> None:
        if self.role is not Role.LEARNER:
            self._follow(now, self.term, None)
            self.rest(now)

    def on_tick(self, now: int) -> None:
        self.check(now)
        self.unproved = max(0, self.unproved - 1)
        if self.lead is not None:
            if now >= self.lead.due:
                again = now - self.lead.kept_up >= self.shared.options.beat * 9 // 10
                if again:
                    self.lead.kept_up = now
                    self._upkeep(now)
                self.lead.due = now + self.shared.options.beat * 9 // 10
                self.broadcast(now, again)
            return
        seated = self.seated()
        if seated and self.role is Role.LEARNER:
            self._become(Role.FOLLOWER)
            self.rest(now)
        elif not seated and self.role is not Role.LEARNER:
            self._become(Role.LEARNER)
        if seated and now >= self.until:
            self._ask_before(now)

    def check(self, now: int) -> None:
        """A leader whom no majority has answered for as long as an election takes is none any more; also one
        that stood still: it finds this before it does anything else."""
        lead = self.lead
        if lead is None:
            return
        longest = 2 * PATIENCE * self.shared.options.beat
        if not self.seats.quorum(lambda s: s == self.shared.me or now - lead.progress[s].heard < longest):
            self.step_down(now)

    # ---- elections ----

    def _ask_before(self, now: int) -> None:
        self.rest(now)
        self._become(Role.CANDIDATE)
        self.leader, self.pre, self.votes = None, True, {self.shared.me}
        self.token = self.shared.rng.getrandbits(32) or 1
        log = self.shared.log
        if self.seats.quorum(lambda s: s in self.votes):
            self.stand(now)
            return
        for number in self._others():
            self.shared.send(
                now,
                URGENT,
                number,
                Kind.PREVOTE,
                self.term + 1,
                token=self.token,
                index=log.last,
                of=log.last_term,
            )

    def _others(self) -> list[int]:
        return sorted({n for n, _ in self.seats.all if n != self.shared.number})

    def stand(self, now: int, asked: bool = False) -> None:
        """Call an election. `asked`: by the leader, which leaves."""
        if not self.seated():
            return
        shared, log = self.shared, self.shared.log
        self.rest(now)
        self._become(Role.CANDIDATE)
        self.term, self.vote, self.leader = self.term + 1, shared.me, None
        shared.keep("vote", self.term, self.vote)
        self.first = shared.written
        self.pre, self.votes = False, {shared.me}
        for number in self._others():
            shared.send(
                now,
                URGENT,
                number,
                Kind.VOTE,
                self.term,
                flags=YES * asked,
                index=log.last,
                prev=log.last_term,
            )
        self.count(now)

    def _current(self, index: int, term: int) -> bool:
        """Whether a log that ends like that has all that this one has."""
        log = self.shared.log
        return (term, index) >= (log.last_term, log.last)

    def trusting(self, now: int) -> bool:
        """The leader was heard so lately that nobody has to be elected."""
        beat = self.shared.options.beat
        return self.lead is not None or self.heard >= 0 and now - self.heard < PATIENCE * beat

    def on_prevote(self, now: int, message: Message, address: Address) -> None:
        newer = message.term > self.term and self._current(message.index, message.of)
        yes = newer and not self.trusting(now)
        self.shared.send(now, URGENT, address, Kind.PREVOTED, self.term, flags=YES * yes, token=message.token)

    def on_prevoted(self, now: int, message: Message) -> None:
        if message.term > self.term:
            self._follow(now, message.term, None)
        elif self.role is Role.CANDIDATE and self.pre and message.token == self.token and message.flags & YES:
            self.votes.add(message.sender)
            if self.seats.quorum(lambda s: s in self.votes):
                self.stand(now)

    def on_vote(self, now: int, message: Message, address: Address) -> None:
        if self.trusting(now) and not message.flags & YES:
            return
        if message.term > self.term:
            self._follow(now, message.term, None)
        yes = (
            message.term == self.term
            and self.vote in (None, message.sender)
            and self._current(message.index, message.prev)
            and self.role is not Role.LEADER
        )
        if yes and self.vote is None:
            self.vote = message.sender
            self.shared.keep("vote", self.term, self.vote)
            self.rest(now)
        self.shared.send(now, URGENT, address, Kind.VOTED, self.term, flags=YES * yes)

    def on_voted(self, now: int, message: Message) -> None:
        if message.term > self.term:
            self._follow(now, message.term, None)
        elif message.term == self.term and message.flags & YES and not self.pre:
            self.votes.add(message.sender)
            self.count(now)

    def count(self, now: int, kept: int | None = None) -> None:
        """Lead, where a majority has voted for this process and its vote is kept. `kept`: records so far."""
        shared = self.shared
        own = not shared.disk or kept is not None and kept >= self.first
        if self.role is not Role.CANDIDATE or self.pre or not self.seats.quorum(lambda s: s in self.votes):
            return
        if not own and self.votes == {shared.me}:
            return  # others answer only what was sent after it was kept
        self._become(Role.LEADER)
        self.leader, self.heard = shared.me, now
        shared.emit("leader", text=str(shared.number))
        self.lead = Lead(shared.log.last + 1)
        for seat in self.seats.all:
            self._meet(now, seat)
        shared.append(Entry(self.term, Sort.NOTHING, 0, b""))
        self.broadcast(now)
        self.commit(now)

    def on_now(self, now: int, message: Message) -> None:
        if message.term == self.term and message.sender == self.leader:
            self.stand(now, asked=True)

    def hand_over(self, now: int) -> None:
        """Ask the voter that has most to be leader; it does not have to."""
        if self.lead is None:
            return
        able = [
            (p.match, seat)
            for seat, p in self.lead.progress.items()
            if seat != self.shared.me
            and seat in self.seats.now
            and not p.retiring
            and p.match == self.shared.log.last
        ]
        if able:
            self.shared.send(now, URGENT, max(able)[1][0], Kind.NOW, self.term)

    # ---- the leader's words ----

    def _meet(self, now: int, seat: Seat) -> None:
        assert self.lead is not None
        if seat not in self.lead.progress:
            self.lead.progress[seat] = Progress(self.shared.log.last + 1, heard=now)

    def soon(self, now: int) -> int:
        """A round begun after this: at once, or with the next tick where the last one has just begun."""
        lead = self.lead
        assert lead is not None
        if now - lead.spoke >= self.shared.options.beat // GAP:
            return self.broadcast(now)
        lead.due = now
        return lead.round + 1

    def broadcast(self, now: int, again: bool = False) -> int:
        """A round of words to all voters; its number. `again`: with what was sent and is not answered."""
        lead = self.lead
        assert lead is not None
        lead.round, lead.spoke = lead.round + 1, now
        lead.sent[lead.round] = (now, self.shared.commit)
        if len(lead.sent) > ROUNDS:
            del lead.sent[next(iter(lead.sent))]
        for seat in sorted(self.seats.all):
            self._meet(now, seat)
            if seat != self.shared.me:
                self.feed(now, seat, True, again)
        self._confirm(now)
        return lead.round

    def feed(self, now: int, seat: Seat, word: bool = False, again: bool = False) -> None:
        """Send what this voter lacks, as far as its window goes. `word`: a round, with or without entries."""
        lead, log = self.lead, self.shared.log
        assert lead is not None
        p = lead.progress[seat]
        if again and p.flight:  # from where it said it was
            p.next, p.flight = max(p.match + 1, min(p.next, log.last + 1) - WINDOW), 0
            p.offset = p.part[1] if p.part[0] == p.next else 0
        # One that does not answer gets the round alone: what it lacks would take the budget of the others.
        answers = now - p.heard <= SILENT * self.shared.options.beat
        while answers and p.flight < WINDOW and log.holds(p.next):
            entry = log.entry(p.next)
            chunk = entry.body[p.offset : p.offset + CHUNK]
            if not self._append(now, seat, p.next, entry, p.offset, chunk):
                return
            word = False
            p.flight += 1
            p.offset += len(chunk)
            if p.offset >= len(entry.body):
                p.next, p.offset = p.next + 1, 0
        if word:
            self._append(now, seat, max(p.next, log.base.index + 1), None, 0, b"")

    def _append(
        self, now: int, seat: Seat, index: int, entry: Entry | None, offset: int, chunk: bytes
    ) -> bool:
        lead, log = self.lead, self.shared.log
        assert lead is not None
        before = log.term_at(index - 1)
        sort, of, ident, length, chain = BARE, 0, 0, 0, 0
        if entry is not None:
            sort, of, ident, length = entry.sort, entry.term, entry.ident, len(entry.body)
            chain = log.chain_at(index) or 0
        flags = self._flags() | LOST * lead.progress[seat].broken
        return self.shared.send(
            now,
            URGENT,
            seat[0],
            Kind.APPEND,
            self.term,
            flags=flags,
            token=lead.round,
            commit=self.shared.commit,
            index=index,
            prev=before or 0,
            of=of,
            sort=sort,
            ident=ident,
            length=length,
            offset=offset,
            chain=chain,
            chunk=chunk,
        )

    def _flags(self) -> int:
        return RETIRING * self.shared.retiring | KEPT * self.shared.disk

    def on_append(self, now: int, message: Message, address: Address) -> None:
        if message.term < self.term or message.term == self.term and self.role is Role.LEADER:
            self.shared.send(now, URGENT, address, Kind.APPENDED, self.term, token=0)
            return
        self._follow(now, message.term, message.sender)
        self.unproved = 0
        shared, log = self.shared, self.shared.log
        index, yes = message.index - 1, True
        if message.index <= shared.commit:
            index = shared.commit
        elif log.term_at(index) != message.prev:
            index, yes = min(log.last, index - 1), False
            index = max(index, shared.commit)
        if yes and message.index > shared.commit and message.sort != BARE:
            index = self._take(message)
        if yes:
            fits = min(message.commit, index)
            if fits > shared.commit:
                shared.advance(fits)
        offset = len(self.assembly.got) if self.assembly.name[:1] == (index + 1,) else 0
        shared.send(
            now,
            URGENT,
            address,
            Kind.APPENDED,
            self.term,
            flags=self._flags() | YES * yes,
            token=message.token,
            index=index,
            offset=offset,
        )

    def _take(self, message: Message) -> int:
        """A piece of the entry behind one that fits; up to which index the log is the leader's now."""
        shared, log = self.shared, self.shared.log
        if log.term_at(message.index) == message.of:
            return message.index
        body: bytes | None = message.chunk
        if message.length > len(message.chunk):
            name = (message.index, message.of, message.chain)
            body = self.assembly.add(name, message.length, message.offset, message.chunk)
        if body is None:
            return message.index - 1
        if log.holds(message.index):
            shared.cut(message.index)
        try:
            shared.append(Entry(message.of, message.sort, message.ident, body))
        except ValueError:
            shared.drop("entry")
            return message.index - 1
        return message.index

    def on_appended(self, now: int, message: Message) -> None:
        if message.term > self.term:
            self._follow(now, message.term, None)
            return
        lead = self.lead
        if lead is None or message.term < self.term or message.sender not in lead.progress:
            return
        p = lead.progress[message.sender]
        p.heard, p.retiring = now, bool(message.flags & RETIRING)
        p.acked = max(p.acked, message.token)
        p.flight = max(0, p.flight - 1)
        p.part = (message.index + 1, message.offset)
        if p.part[0] == p.next:
            p.offset = max(p.offset, message.offset)
        if message.flags & YES:
            if message.index > p.match:
                p.match, p.proved = message.index, lead.round
                p.next, p.offset = (p.next, p.offset) if p.next > p.match else (p.match + 1, 0)
        elif message.index < p.match and message.token > p.proved:
            p.broken = True  # asked after it had said so, it has it no more
        elif message.index < p.next:
            p.next, p.flight = max(message.index, p.match) + 1, 0
            p.offset = p.part[1] if p.part[0] == p.next else 0
        self._confirm(now)
        self.commit(now)
        if message.sender in self.seats.all and self.lead is not None:
            self.feed(now, message.sender)

    def _confirm(self, now: int) -> None:
        """Which of its rounds a majority has answered."""
        lead, me = self.lead, self.shared.me
        assert lead is not None
        for number in sorted((n for n in lead.sent if n > lead.confirmed), reverse=True):
            if self.seats.quorum(lambda s, n=number: s == me or lead.progress[s].acked >= n):  # type: ignore[misc]
                lead.confirmed = number
                lead.confirmed_at, lead.confirmed_commit = lead.sent[number]
                lead.sent = {n: at for n, at in lead.sent.items() if n > number}
                return

    def settled(self) -> bool:
        """A leader that knows what is committed: an entry of its own term is."""
        return self.lead is not None and self.shared.commit >= self.lead.first

    def commit(self, now: int) -> None:
        """What a majority has is committed."""
        lead, shared = self.lead, self.shared
        if lead is None:
            return
        index = self.seats.agreed(self._has)
        if index >= lead.first and index > shared.commit:
            shared.advance(index)
            self._after_commit(now)

    def _has(self, seat: Seat) -> int:
        """Up to where."""
        assert self.lead is not None
        if seat == self.shared.me:
            return self.shared.kept()
        progress = self.lead.progress[seat]
        return 0 if progress.broken else progress.match

    def _after_commit(self, now: int) -> None:
        shared = self.shared
        decided = shared.commit >= shared.log.seats_index
        if self.seats.joint and decided:
            self.propose(now, Entry(self.term, Sort.SEATS, 0, pack_seats(self.seats.over())))
        elif shared.me not in self.seats.all and decided:
            self.broadcast(now)  # the others hear that it is committed before this one is none of them
            self._become(Role.LEARNER)
        else:
            self.soon(now)

    # ---- seats ----

    def _upkeep(self, now: int) -> None:
        """Ask those who might take a seat, and change one where that is called for."""
        lead, shared = self.lead, self.shared
        assert lead is not None
        beat, wanted = shared.options.beat, shared.log.base.wanted
        lost = [
            s
            for s in self.seats.now
            if s != shared.me and (lead.progress[s].broken or now - lead.progress[s].heard > 2 * beat)
        ]
        leaving = [s for s in self.seats.now if s != shared.me and lead.progress[s].retiring]
        ask = [n for n, _ in lost]
        if len(self.seats.now) < wanted or leaving or any(self._gone(now, s) for s in lost):
            ask += shared.some(4, [n for n, _ in self.seats.now])
        for number in ask:
            token = shared.rng.getrandbits(32) or 1
            lead.asked[token] = (number, now)
            shared.send(
                now, CARE, number, Kind.ASK, self.term, flags=self._flags(), token=token, index=shared.commit
            )
        for token in [t for t, (_, at) in lead.asked.items() if now - at > 10 * beat]:
            del lead.asked[token]
        if not self.settled() or self.seats.joint or shared.commit < shared.log.seats_index:
            return
        change = next_change(
            self.seats,
            wanted,
            shared.me,
            lead.seen,
            lambda n, seen: (
                now - seen.at < 10 * beat
                and shared.commit - seen.index <= BEHIND
                and not seen.flags & RETIRING
            ),
            lambda s: s != shared.me and self._gone(now, s),
            lambda s: s != shared.me and lead.progress[s].retiring,
            sorted(shared.alive),
        )
        if change is not None:
            self.propose(now, Entry(self.term, Sort.SEATS, 0, pack_seats(self.seats.change(*change))))

    def _gone(self, now: int, seat: Seat) -> bool:
        assert self.lead is not None
        progress = self.lead.progress[seat]
        return progress.broken or now - progress.heard > self.shared.options.replace

    def on_seen(self, message: Message) -> None:
        """An answer to a question of the leader: who is there now."""
        if self.lead is None or message.token not in self.lead.asked:
            return
        number, at = self.lead.asked.pop(message.token)
        if number == message.sender[0]:
            self.lead.seen[number] = Seen(message.sender[1], message.commit, at, message.flags)

    def propose(self, now: int, entry: Entry) -> None:
        """A leader's own log grows."""
        self.shared.append(entry)
        assert self.lead is not None
        for seat in sorted(self.seats.all):
            self._meet(now, seat)
            if seat != self.shared.me:
                self.feed(now, seat)
        self.commit(now)

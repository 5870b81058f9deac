"""Leader election, log replication and commitment, after Raft.

Roles: LEARNER (holds no seat), FOLLOWER, CANDIDATE, LEADER. The rules are those of Ongaro's thesis: a
pre-vote round before each election, a leader that steps down when no quorum answers it, joint consensus that
changes one seat at a time, and the correction of 2015: no change of seats before an entry of the leader's own
term is committed.

Invariants:
 1. A process gives one vote per term and makes it durable before it sends it; so a term has at most one
    leader.
 2. What a process acknowledges is durable, and only the log of a later leader removes it.
 3. Only entries of the leader's own term are counted; earlier entries are committed together with them.
 4. At `confirmed_at`, on this process's clock, no later leader had committed anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from dykeshift.agree.log import Entry, Sort, pack_seats
from dykeshift.agree.pieces import Assembly
from dykeshift.agree.seats import Seats, MemberStatus, next_change
from dykeshift.agree.state import MAINTENANCE, URGENT, Shared
from dykeshift.agree.wire import CHUNK, HAS_DISK, LOST_ENTRIES, RETIRING, YES, Kind, Message, Seat
from dykeshift.view.table import Address

ELECTION_TIMEOUT_HEARTBEATS = 5  # lower bound of the randomized election timeout; the upper one is twice that
UNRESPONSIVE_HEARTBEATS = 3  # a voter silent for longer gets empty appends only, until it answers
MAX_IN_FLIGHT = 8  # unacknowledged datagrams with entries, for each voter
NO_ENTRY = 0xFF  # `sort` of an APPEND that carries no entry
MAX_LAG = 8  # committed entries that a process may lack and still get a seat
ROUND_GAP_DIVISOR = 4  # rounds started on demand are at least heartbeat / this apart
# Ticks (half a heartbeat each) after a restart from disk during which a voter takes no committed entries from
# other members: the leader first has to see whether the voter still has the entries that it acknowledged.
LOG_CHECK_TICKS = 40
MAX_UNCONFIRMED_ROUNDS = 64  # rounds of the leader that await a quorum; the oldest is dropped first


class Role(IntEnum):
    """The role of a process in consensus."""

    LEARNER = 0
    FOLLOWER = 1
    CANDIDATE = 2
    LEADER = 3


@dataclass(slots=True)
class Progress:
    """What the leader knows about one voter."""

    next: int  # index of the next entry to send; `offset` is the position in its body
    offset: int = 0
    match: int = 0
    acked_round: int = 0  # the highest round that it answered
    heard_at: int = 0
    flight: int = 0  # datagrams with entries that it has not answered
    partial: tuple[int, int] = (0, 0)  # index of an entry, and how many of its bytes have arrived
    retiring: bool = False
    match_round: int = 0  # the latest round when `match` last grew
    lost_entries: bool = False  # it no longer has entries that it acknowledged


@dataclass(slots=True)
class LeaderState:
    """The state that only a leader has."""

    first: int  # index of the first entry of its term
    next_round_at: int = 0  # when the next periodic round is due
    round_started_at: int = 0  # when its last round began
    maintained_at: int = 0  # when the seats were last checked
    round: int = 0
    unconfirmed: dict[int, tuple[int, int]] = field(default_factory=dict)  # round: (start, commit index)
    confirmed: int = 0  # the latest round that a quorum answered
    confirmed_at: int = -1
    confirmed_commit: int = 0
    progress: dict[Seat, Progress] = field(default_factory=dict)
    member_status: dict[int, MemberStatus] = field(default_factory=dict)
    status_queries: dict[int, tuple[int, int]] = field(default_factory=dict)  # token: (number, time)


class Voter:
    """Elections and replication of one process."""

    def __init__(self, shared: Shared) -> None:
        self.shared = shared
        self.role = Role.LEARNER
        self.term = 0
        self.vote: Seat | None = None
        self.leader: Seat | None = None
        self.heard = -1  # when the leader was last heard; -1: never
        self.election_due = 0  # when the election timeout expires
        self.prevoting = True  # whether a candidate is still in the pre-vote round
        self.votes: set[Seat] = set()
        self.prevote_token = 0
        self.lead: LeaderState | None = None
        self.assembly = Assembly()
        self.vote_record = 0  # number of the record that holds the present vote
        # After a restart from disk: remaining ticks in which a leader is to verify this voter's log.
        self.log_check_ticks = 0

    # ---- all roles ----

    @property
    def seats(self) -> Seats:
        """The voters by the latest entry of the log, committed or not."""
        return self.shared.log.seats

    def seated(self) -> bool:
        """Whether this process holds a seat in its epoch."""
        return self.shared.me in self.seats.all and not self.shared.fenced

    def reset_election_timer(self, now: int) -> None:
        """Draw a new randomized election timeout."""
        beat = self.shared.options.beat
        self.election_due = now + int(beat * ELECTION_TIMEOUT_HEARTBEATS * (1 + self.shared.rng.random()))

    def reset(self, now: int) -> None:
        """Start without a term or a vote, in another epoch or under another incarnation."""
        self.term, self.vote, self.leader, self.heard = 0, None, None, -1
        self._become(Role.LEARNER)
        self.assembly.clear()
        self.reset_election_timer(now)

    def _become(self, role: Role) -> None:
        if role is not Role.LEADER:
            self.lead = None
        if role is not self.role:
            self.role = role
            self.shared.emit("role", text=role.name.lower())

    def _enter_term(self, now: int, term: int, leader: Seat | None) -> None:
        """Follow in this term, which is the present one or a later one."""
        if term > self.term:
            self.term, self.vote = term, None
            self.shared.persist("vote", term, None)
        if self.role is not Role.LEARNER or self.seated():
            self._become(Role.FOLLOWER if self.seated() else Role.LEARNER)
        if leader is not None:
            self.heard = now
            self.reset_election_timer(now)
        if leader != self.leader:
            self.leader = leader
            if leader is not None:
                self.shared.emit("leader", text=str(leader[0]))

    def step_down(self, now: int) -> None:
        """Give up candidacy or leadership; a learner stays one."""
        if self.role is not Role.LEARNER:
            self._enter_term(now, self.term, None)
            self.reset_election_timer(now)

    def on_tick(self, now: int) -> None:
        """Run the periodic work: rounds and seats of a leader, the election timeout of a voter."""
        self.check_quorum(now)
        self.log_check_ticks = max(0, self.log_check_ticks - 1)
        if self.lead is not None:
            if now >= self.lead.next_round_at:
                resend = now - self.lead.maintained_at >= self.shared.options.beat * 9 // 10
                if resend:
                    self.lead.maintained_at = now
                    self._maintain_seats(now)
                self.lead.next_round_at = now + self.shared.options.beat * 9 // 10
                self.broadcast(now, resend)
            return
        seated = self.seated()
        if seated and self.role is Role.LEARNER:
            self._become(Role.FOLLOWER)
            self.reset_election_timer(now)
        elif not seated and self.role is not Role.LEARNER:
            self._become(Role.LEARNER)
        if seated and now >= self.election_due:
            self._start_prevote(now)

    def check_quorum(self, now: int) -> None:
        """Step down if no quorum has answered within the longest election timeout.

        A leader that was suspended finds this out before it does anything else.
        """
        lead = self.lead
        if lead is None:
            return
        limit = 2 * ELECTION_TIMEOUT_HEARTBEATS * self.shared.options.beat
        if not self.seats.quorum(lambda s: s == self.shared.me or now - lead.progress[s].heard_at < limit):
            self.step_down(now)

    # ---- elections ----

    def _start_prevote(self, now: int) -> None:
        self.reset_election_timer(now)
        self._become(Role.CANDIDATE)
        self.leader, self.prevoting, self.votes = None, True, {self.shared.me}
        self.prevote_token = self.shared.rng.getrandbits(32) or 1
        log = self.shared.log
        if self.seats.quorum(lambda s: s in self.votes):
            self.stand(now)
            return
        for number in self._other_numbers():
            self.shared.send(
                now,
                URGENT,
                number,
                Kind.PREVOTE,
                self.term + 1,
                token=self.prevote_token,
                index=log.last,
                of=log.last_term,
            )

    def _other_numbers(self) -> list[int]:
        return sorted({n for n, _ in self.seats.all if n != self.shared.number})

    def stand(self, now: int, by_request: bool = False) -> None:
        """Start an election. `by_request`: the leader asked for it, as it leaves."""
        if not self.seated():
            return
        shared, log = self.shared, self.shared.log
        self.reset_election_timer(now)
        self._become(Role.CANDIDATE)
        self.term, self.vote, self.leader = self.term + 1, shared.me, None
        shared.persist("vote", self.term, self.vote)
        self.vote_record = shared.written
        self.prevoting, self.votes = False, {shared.me}
        for number in self._other_numbers():
            shared.send(
                now,
                URGENT,
                number,
                Kind.VOTE,
                self.term,
                flags=YES * by_request,
                index=log.last,
                prev=log.last_term,
            )
        self.count_votes(now)

    def _log_up_to_date(self, index: int, term: int) -> bool:
        """Whether a log that ends with this index and term has all that this one has."""
        log = self.shared.log
        return (term, index) >= (log.last_term, log.last)

    def trusts_leader(self, now: int) -> bool:
        """Whether the leader was heard so recently that no election is due."""
        beat = self.shared.options.beat
        return (
            self.lead is not None or self.heard >= 0 and now - self.heard < ELECTION_TIMEOUT_HEARTBEATS * beat
        )

    def on_prevote(self, now: int, message: Message, address: Address) -> None:
        """Answer whether a vote would be given; this binds nobody."""
        eligible = message.term > self.term and self._log_up_to_date(message.index, message.of)
        granted = eligible and not self.trusts_leader(now)
        self.shared.send(
            now, URGENT, address, Kind.PREVOTED, self.term, flags=YES * granted, token=message.token
        )

    def on_prevoted(self, now: int, message: Message) -> None:
        """Count a pre-vote; with a quorum of them start the election."""
        if message.term > self.term:
            self._enter_term(now, message.term, None)
        elif (
            self.role is Role.CANDIDATE
            and self.prevoting
            and message.token == self.prevote_token
            and message.flags & YES
        ):
            self.votes.add(message.sender)
            if self.seats.quorum(lambda s: s in self.votes):
                self.stand(now)

    def on_vote(self, now: int, message: Message, address: Address) -> None:
        """Grant or refuse a vote."""
        if self.trusts_leader(now) and not message.flags & YES:
            return
        if message.term > self.term:
            self._enter_term(now, message.term, None)
        granted = (
            message.term == self.term
            and self.vote in (None, message.sender)
            and self._log_up_to_date(message.index, message.prev)
            and self.role is not Role.LEADER
        )
        if granted and self.vote is None:
            self.vote = message.sender
            self.shared.persist("vote", self.term, self.vote)
            self.reset_election_timer(now)
        self.shared.send(now, URGENT, address, Kind.VOTED, self.term, flags=YES * granted)

    def on_voted(self, now: int, message: Message) -> None:
        """Count a vote."""
        if message.term > self.term:
            self._enter_term(now, message.term, None)
        elif message.term == self.term and message.flags & YES and not self.prevoting:
            self.votes.add(message.sender)
            self.count_votes(now)

    def count_votes(self, now: int, persisted: int | None = None) -> None:
        """Become leader once a quorum has voted for this process and its own vote is durable.

        `persisted`: how many records are durable.
        """
        shared = self.shared
        own_vote_durable = not shared.disk or persisted is not None and persisted >= self.vote_record
        if (
            self.role is not Role.CANDIDATE
            or self.prevoting
            or not self.seats.quorum(lambda s: s in self.votes)
        ):
            return
        if not own_vote_durable and self.votes == {shared.me}:
            return  # VOTE is sent only after the vote is durable, so a vote of another proves that it is
        self._become(Role.LEADER)
        self.leader, self.heard = shared.me, now
        shared.emit("leader", text=str(shared.number))
        self.lead = LeaderState(shared.log.last + 1)
        for seat in self.seats.all:
            self._track(now, seat)
        shared.append(Entry(self.term, Sort.NOTHING, 0, b""))
        self.broadcast(now)
        self.commit(now)

    def on_now(self, now: int, message: Message) -> None:
        """Start an election at the request of the present leader."""
        if message.term == self.term and message.sender == self.leader:
            self.stand(now, by_request=True)

    def transfer_leadership(self, now: int) -> None:
        """Ask a voter with a complete log to take over; it may decline."""
        if self.lead is None:
            return
        eligible = [
            (p.match, seat)
            for seat, p in self.lead.progress.items()
            if seat != self.shared.me
            and seat in self.seats.now
            and not p.retiring
            and p.match == self.shared.log.last
        ]
        if eligible:
            self.shared.send(now, URGENT, max(eligible)[1][0], Kind.NOW, self.term)

    # ---- append entries ----

    def _track(self, now: int, seat: Seat) -> None:
        assert self.lead is not None
        if seat not in self.lead.progress:
            self.lead.progress[seat] = Progress(self.shared.log.last + 1, heard_at=now)

    def request_round(self, now: int) -> int:
        """The number of a round that begins after this call.

        It begins at once, or with the next tick if the last one has only just begun.
        """
        lead = self.lead
        assert lead is not None
        if now - lead.round_started_at >= self.shared.options.beat // ROUND_GAP_DIVISOR:
            return self.broadcast(now)
        lead.next_round_at = now
        return lead.round + 1

    def broadcast(self, now: int, resend: bool = False) -> int:
        """Begin a round: an append to every voter.

        Returns its number. `resend`: repeat unanswered entries.
        """
        lead = self.lead
        assert lead is not None
        lead.round, lead.round_started_at = lead.round + 1, now
        lead.unconfirmed[lead.round] = (now, self.shared.commit)
        if len(lead.unconfirmed) > MAX_UNCONFIRMED_ROUNDS:
            del lead.unconfirmed[next(iter(lead.unconfirmed))]
        for seat in sorted(self.seats.all):
            self._track(now, seat)
            if seat != self.shared.me:
                self.send_entries(now, seat, True, resend)
        self._confirm_rounds(now)
        return lead.round

    def send_entries(self, now: int, seat: Seat, heartbeat: bool = False, resend: bool = False) -> None:
        """Send a voter the entries that it lacks, within its window.

        `heartbeat`: send an append even if there are no entries to send.
        """
        lead, log = self.lead, self.shared.log
        assert lead is not None
        progress = lead.progress[seat]
        if resend and progress.flight:  # resume at the acknowledged position
            progress.next, progress.flight = (
                max(progress.match + 1, min(progress.next, log.last + 1) - MAX_IN_FLIGHT),
                0,
            )
            progress.offset = progress.partial[1] if progress.partial[0] == progress.next else 0
        # A silent voter gets empty appends only: its entries would use up the budget of the others.
        responsive = now - progress.heard_at <= UNRESPONSIVE_HEARTBEATS * self.shared.options.beat
        while responsive and progress.flight < MAX_IN_FLIGHT and log.holds(progress.next):
            entry = log.entry(progress.next)
            chunk = entry.body[progress.offset : progress.offset + CHUNK]
            if not self._append(now, seat, progress.next, entry, progress.offset, chunk):
                return
            heartbeat = False
            progress.flight += 1
            progress.offset += len(chunk)
            if progress.offset >= len(entry.body):
                progress.next, progress.offset = progress.next + 1, 0
        if heartbeat:
            self._append(now, seat, max(progress.next, log.base.index + 1), None, 0, b"")

    def _append(
        self, now: int, seat: Seat, index: int, entry: Entry | None, offset: int, chunk: bytes
    ) -> bool:
        lead, log = self.lead, self.shared.log
        assert lead is not None
        previous_term = log.term_at(index - 1)
        kind, term, ident, length, chain = NO_ENTRY, 0, 0, 0, 0
        if entry is not None:
            kind, term, ident, length = entry.sort, entry.term, entry.ident, len(entry.body)
            chain = log.chain_at(index) or 0
        flags = self._flags() | LOST_ENTRIES * lead.progress[seat].lost_entries
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
            prev=previous_term or 0,
            of=term,
            sort=kind,
            ident=ident,
            length=length,
            offset=offset,
            chain=chain,
            chunk=chunk,
        )

    def _flags(self) -> int:
        return RETIRING * self.shared.retiring | HAS_DISK * self.shared.disk

    def on_append(self, now: int, message: Message, address: Address) -> None:
        """Take an append of a leader.

        Checks that the logs match, stores the entry, and advances the commit index.
        """
        if message.term < self.term or message.term == self.term and self.role is Role.LEADER:
            self.shared.send(now, URGENT, address, Kind.APPENDED, self.term, token=0)
            return
        self._enter_term(now, message.term, message.sender)
        self.log_check_ticks = 0
        shared, log = self.shared, self.shared.log
        index, accepted = message.index - 1, True
        if message.index <= shared.commit:
            index = shared.commit
        elif log.term_at(index) != message.prev:
            index, accepted = min(log.last, index - 1), False
            index = max(index, shared.commit)
        if accepted and message.index > shared.commit and message.sort != NO_ENTRY:
            index = self._store_entry(message)
        if accepted:
            committed = min(message.commit, index)
            if committed > shared.commit:
                shared.advance(committed)
        offset = len(self.assembly.received) if self.assembly.key[:1] == (index + 1,) else 0
        shared.send(
            now,
            URGENT,
            address,
            Kind.APPENDED,
            self.term,
            flags=self._flags() | YES * accepted,
            token=message.token,
            index=index,
            offset=offset,
        )

    def _store_entry(self, message: Message) -> int:
        """Store a chunk of the entry that follows the matching prefix.

        Returns the index up to which the log matches that of the leader.
        """
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
            shared.truncate(message.index)
        try:
            shared.append(Entry(message.of, message.sort, message.ident, body))
        except ValueError:
            shared.drop("entry")
            return message.index - 1
        return message.index

    def on_appended(self, now: int, message: Message) -> None:
        """Take the answer of a voter to an append."""
        if message.term > self.term:
            self._enter_term(now, message.term, None)
            return
        lead = self.lead
        if lead is None or message.term < self.term or message.sender not in lead.progress:
            return
        progress = lead.progress[message.sender]
        progress.heard_at, progress.retiring = now, bool(message.flags & RETIRING)
        progress.acked_round = max(progress.acked_round, message.token)
        progress.flight = max(0, progress.flight - 1)
        progress.partial = (message.index + 1, message.offset)
        if progress.partial[0] == progress.next:
            progress.offset = max(progress.offset, message.offset)
        if message.flags & YES:
            if message.index > progress.match:
                progress.match, progress.match_round = message.index, lead.round
                progress.next, progress.offset = (
                    (progress.next, progress.offset)
                    if progress.next > progress.match
                    else (progress.match + 1, 0)
                )
        elif message.index < progress.match and message.token > progress.match_round:
            progress.lost_entries = True  # in a later round it no longer has what it had acknowledged
        elif message.index < progress.next:
            progress.next, progress.flight = max(message.index, progress.match) + 1, 0
            progress.offset = progress.partial[1] if progress.partial[0] == progress.next else 0
        self._confirm_rounds(now)
        self.commit(now)
        if message.sender in self.seats.all and self.lead is not None:
            self.send_entries(now, message.sender)

    def _confirm_rounds(self, now: int) -> None:
        """Find the latest round that a quorum has answered."""
        lead, me = self.lead, self.shared.me
        assert lead is not None
        for number in sorted((n for n in lead.unconfirmed if n > lead.confirmed), reverse=True):
            if self.seats.quorum(lambda s, n=number: s == me or lead.progress[s].acked_round >= n):  # type: ignore[misc]
                lead.confirmed = number
                lead.confirmed_at, lead.confirmed_commit = lead.unconfirmed[number]
                lead.unconfirmed = {n: at for n, at in lead.unconfirmed.items() if n > number}
                return

    def settled(self) -> bool:
        """Whether this leader has committed an entry of its own term, so that it knows what is committed."""
        return self.lead is not None and self.shared.commit >= self.lead.first

    def commit(self, now: int) -> None:
        """Advance the commit index to what a quorum has."""
        lead, shared = self.lead, self.shared
        if lead is None:
            return
        index = self.seats.quorum_index(self._match_index)
        if index >= lead.first and index > shared.commit:
            shared.advance(index)
            self._after_commit(now)

    def _match_index(self, seat: Seat) -> int:
        """Up to which index this voter is known to have the log durably."""
        assert self.lead is not None
        if seat == self.shared.me:
            return self.shared.durable_index()
        progress = self.lead.progress[seat]
        return 0 if progress.lost_entries else progress.match

    def _after_commit(self, now: int) -> None:
        shared = self.shared
        seats_committed = shared.commit >= shared.log.seats_index
        if self.seats.joint and seats_committed:
            self.propose(now, Entry(self.term, Sort.SEATS, 0, pack_seats(self.seats.after_joint())))
        elif shared.me not in self.seats.all and seats_committed:
            self.broadcast(now)  # the voters learn that the change is committed before this leader leaves
            self._become(Role.LEARNER)
        else:
            self.request_round(now)

    # ---- seats ----

    def _maintain_seats(self, now: int) -> None:
        """Query processes that might take a seat, and start a change of seats if one is due."""
        lead, shared = self.lead, self.shared
        assert lead is not None
        beat, target = shared.options.beat, shared.log.base.wanted
        unresponsive = [
            s
            for s in self.seats.now
            if s != shared.me
            and (lead.progress[s].lost_entries or now - lead.progress[s].heard_at > 2 * beat)
        ]
        leaving = [s for s in self.seats.now if s != shared.me and lead.progress[s].retiring]
        queried = [n for n, _ in unresponsive]
        if len(self.seats.now) < target or leaving or any(self._should_replace(now, s) for s in unresponsive):
            queried += shared.random_members(4, [n for n, _ in self.seats.now])
        for number in queried:
            token = shared.rng.getrandbits(32) or 1
            lead.status_queries[token] = (number, now)
            shared.send(
                now,
                MAINTENANCE,
                number,
                Kind.ASK,
                self.term,
                flags=self._flags(),
                token=token,
                index=shared.commit,
            )
        for token in [t for t, (_, at) in lead.status_queries.items() if now - at > 10 * beat]:
            del lead.status_queries[token]
        if not self.settled() or self.seats.joint or shared.commit < shared.log.seats_index:
            return
        change = next_change(
            self.seats,
            target,
            shared.me,
            lead.member_status,
            lambda n, seen: (
                now - seen.at < 10 * beat
                and shared.commit - seen.index <= MAX_LAG
                and not seen.flags & RETIRING
            ),
            lambda s: s != shared.me and self._should_replace(now, s),
            lambda s: s != shared.me and lead.progress[s].retiring,
            sorted(shared.alive),
        )
        if change is not None:
            self.propose(now, Entry(self.term, Sort.SEATS, 0, pack_seats(self.seats.joint_change(*change))))

    def _should_replace(self, now: int, seat: Seat) -> bool:
        assert self.lead is not None
        progress = self.lead.progress[seat]
        return progress.lost_entries or now - progress.heard_at > self.shared.options.replace

    def on_status(self, message: Message) -> None:
        """Take the answer to a query of `_maintain_seats`."""
        if self.lead is None or message.token not in self.lead.status_queries:
            return
        number, at = self.lead.status_queries.pop(message.token)
        if number == message.sender[0]:
            self.lead.member_status[number] = MemberStatus(
                message.sender[1], message.commit, at, message.flags
            )

    def propose(self, now: int, entry: Entry) -> None:
        """Append an entry to the leader's own log and replicate it."""
        self.shared.append(entry)
        assert self.lead is not None
        for seat in sorted(self.seats.all):
            self._track(now, seat)
            if seat != self.shared.me:
                self.send_entries(now, seat)
        self.commit(now)

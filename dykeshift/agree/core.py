"""The consensus node of one balancer: time and datagrams in; datagrams, records to persist and events out.

Its parts are `voting` (elections, replication), `spread` (dissemination of committed entries, leases) and
`proposals` (proposals and reads). This module decides to which history and epoch the process belongs, and
dispatches its input.

A *history* is one replicated log. It starts once, when all places of the roster report that they know none
(such a process is *blank*), or by an operator's command. A new *epoch* of it starts by an operator's command,
when too many voters are lost for a quorum, from the log of the process that gets the command. A process that
hears of a later epoch is *fenced*: it stops acting in its own at once, until it has fetched the base of the
new one. So what is left of the old epoch can commit nothing once it has heard; and versions known to be lost
are reported. A process that belongs to a history never joins another one of the same fleet name.

An *incarnation* (`birth`) is a random number that identifies a process together with its number. A process
keeps it while it knows every vote and acknowledgement that it gave, and draws another one otherwise.

Invariants, beside those of the parts:
 1. Nothing is exposed before it has arrived completely. Events come in the order of versions, each once in
    the life of a process, or as the state up to a version (`installed`).
 2. A process that cannot be sure which votes and acknowledgements it gave gives none under that incarnation
    again.
 3. Bytes and datagrams per second never exceed the budget.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from dykeshift.agree.keep import Kept
from dykeshift.agree.log import Base, Log
from dykeshift.agree.proposals import Answer, Proposals
from dykeshift.agree.seats import drawn
from dykeshift.agree.spread import Dissemination
from dykeshift.agree.state import NO_EPOCH, Event, Latest, Machine, Options, Out, Record, Shared
from dykeshift.agree.voting import LOG_CHECK_TICKS, Role, Voter
from dykeshift.agree.wire import BLANK, LOST_ENTRIES, NO_NUMBER, Epoch, Kind, Message, decode
from dykeshift.view.table import Address
from dykeshift.view.wire import DatagramError, Seal

TICKS_PER_HEARTBEAT = 2  # periodic work runs this often per heartbeat interval
STALL_HEARTBEATS = 5  # a process whose timer is later than this counts as suspended
HANDOVER_HEARTBEATS = 10  # a leaving process waits at most this long for its seat to be taken
MAX_FOREIGN_HISTORIES = 16  # foreign histories that are remembered, so that each is reported once


class No(Exception):
    """A rescue was refused; the text gives the reason in one line."""


class Agree:
    """A consensus node without I/O.

    The host passes in time and datagrams, and sends and persists the output.
    """

    def __init__(
        self,
        options: Options,
        seal: Seal,
        number: int | None,
        places: dict[int, Address],
        rng: Random,
        machine: Machine | None = None,
        disk: bool = False,
    ) -> None:
        """`places`: the address of each number of the roster, its own too.

        `disk`: whether records are persisted.
        """
        self.shared = Shared(options, seal, number, places, rng, machine or Latest(), disk)
        self.voter = Voter(self.shared)
        self.spread = Dissemination(self.shared, self.voter)
        self.proposals = Proposals(self.shared, self.voter)
        self.options = options
        self.next_at = 0
        self.blank_incarnations: dict[int, int] = {}  # numbers that reported to be blank: incarnation
        self.previous_blank_incarnations: dict[int, int] = {}  # the same, of the last complete round
        self.blank_round_at = 0  # when that round was complete
        self.foreign_histories: set[int] = set()
        self.handover_deadline = 0

    # ---- called by the host ----

    def start(self, now: int) -> Out:
        """To be called once, before any other input."""
        self.shared.budget.refilled_at = now
        self.next_at = now
        self.voter.reset_election_timer(now)
        if self.shared.disk and self.shared.written == 0:
            self.shared.persist("me", self.shared.epoch, self.shared.birth)
        return self.on_timer(now)

    def on_timer(self, now: int) -> Out:
        """To be called at `next_at` or later."""
        if now >= self.next_at:
            self._notice_stall(now)
            self.next_at = max(
                self.next_at + self.options.beat // TICKS_PER_HEARTBEAT,
                now + self.options.beat // (2 * TICKS_PER_HEARTBEAT),
            )
            self._tick(now)
        return self._collect_output(now)

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Take a datagram of this protocol."""
        self._notice_stall(now)
        try:
            message = decode(data, self.shared.seal)
        except DatagramError as exc:
            self.shared.drop(str(exc))
            return self._collect_output(now)
        if message.sender == self.shared.me:
            self.shared.drop("own")
        else:
            self._receive(now, message, address)
        return self._collect_output(now)

    def on_roster(self, alive: set[int], places: dict[int, Address]) -> None:
        """Set who is believed alive, by number, and addresses of numbers that have none yet."""
        self.shared.alive = set(alive)
        self.shared.places = {**places, **self.shared.places}

    def on_kept(self, now: int, number: int) -> Out:
        """The first `number` records are durable."""
        self.shared.on_persisted(number)
        self.voter.count_votes(now, number)
        self.voter.commit(now)
        return self._collect_output(now)

    def on_disk_failed(self, now: int) -> Out:
        """The disk has failed and its content is unknown: go on in memory, under a new incarnation."""
        shared = self.shared
        shared.disk = False
        shared.records.clear()
        shared.pending_entries.clear()
        self._change_incarnation(now)
        return self._collect_output(now)

    def propose(
        self, now: int, body: bytes, expect: int, wait: int, ident: int | None = None
    ) -> tuple[int, Out]:
        """Propose a change.

        Returns its ident; the answer comes with `take_answers`, within `wait` nanoseconds.
        """
        self._notice_stall(now)
        number = self.shared.rng.getrandbits(64) or 1 if ident is None else ident
        self.proposals.propose(now, body, expect, wait, number)
        return number, self._collect_output(now)

    def read(self, now: int, wait: int) -> tuple[int, Out]:
        """Start a linearizable read.

        Returns its token; `take_results` gives the version, or None if no quorum confirmed it in time.
        """
        self._notice_stall(now)
        token = self.shared.rng.getrandbits(32) or 1
        self.proposals.read(now, wait, token)
        return token, self._collect_output(now)

    def outcome(self, ident: int, expect: int) -> Answer:
        """What became of a proposal that was answered with "not known", as far as this process knows."""
        return self.proposals.outcome(ident, expect)

    def retire(self, now: int) -> Out:
        """Prepare for the end of the process: offer its seat, and leadership, to others."""
        self.shared.retiring, self.handover_deadline = True, now + HANDOVER_HEARTBEATS * self.options.beat
        self.voter.transfer_leadership(now)
        return self._collect_output(now)

    def handing_over(self, now: int) -> bool:
        """Whether to delay the end of the process, as no other has taken its seat yet."""
        return self.shared.retiring and self.voter.seated() and now < self.handover_deadline

    def rescue(self, now: int, voters: int | None = None, force: bool = False) -> Out:
        """Go on alone with the whole log of this process, in a new epoch.

        The other seats are filled from processes that answer. Entries that are not known to be committed are
        taken as committed; after a restart from disk none is known to be until a leader has been heard. So a
        proposal that was answered with "not known" may be committed by this.

        Raises No if the history has a live leader or a reachable process has committed more; `force`
        overrides both.
        """
        shared, voter = self.shared, self.voter
        if shared.number == NO_NUMBER:
            raise No("this balancer has no number and cannot vote")
        if not force and voter.leader is not None and voter.trusts_leader(now):
            raise No(f"the history has a live leader: number {voter.leader[0]}")
        most_committed, heard_at = self.spread.most_committed
        if not force and most_committed > shared.commit and now - heard_at <= self.options.lease:
            raise No(f"a balancer in reach has entry {most_committed}, this one has {shared.commit}")
        target = voters or shared.log.base.wanted or self.options.voters
        number = max(shared.epoch[1], shared.latest_epoch[1]) + 1
        history = shared.epoch[0] or shared.rng.getrandbits(32) or 1
        shared.advance(shared.log.last)
        base = shared.log.base_at(shared.commit, shared.machine.snapshot())
        self._start_epoch(
            now,
            (history, number, shared.birth),
            Base(base.index, 0, base.chain, base.version, target, (shared.me,), (), base.state, base.recent),
        )
        voter.election_due = now
        return self._collect_output(now)

    def take_events(self) -> list[Event]:
        """The events since the last call, in order."""
        events, self.shared.events = self.shared.events, []
        return events

    def take_records(self) -> list[Record]:
        """Records to persist, in order, before any datagram that was returned since is sent."""
        records, self.shared.records = self.shared.records, []
        return records

    def take_answers(self) -> dict[int, Answer]:
        """Answers to proposals, by ident, since the last call."""
        answers, self.proposals.answers = self.proposals.answers, {}
        return answers

    def take_results(self) -> dict[int, int | None]:
        """Versions of reads, by token, since the last call; None: no quorum confirmed it."""
        results, self.proposals.read_results = self.proposals.read_results, {}
        return results

    def restore(self, state: Kept) -> None:
        """Take over the durable state from disk, before `start`; the incarnation stays the same."""
        shared, base = self.shared, state.log.base
        shared.epoch, shared.birth, shared.latest_epoch = state.epoch, state.birth, state.heard
        shared.log, shared.commit = state.log, base.index
        self.voter.term, self.voter.vote, self.voter.log_check_ticks = state.term, state.vote, LOG_CHECK_TICKS
        shared.machine.restore(base.version, base.state)
        if base.version:
            shared.emit("installed", version=base.version, body=base.state)

    def adopt(self, now: int, epoch: Epoch, base: Base) -> Out:
        """Join an epoch whose base was received otherwise than by datagrams, after `start`."""
        self._enter(now, epoch, base)
        return self._collect_output(now)

    def life(self) -> Kept:
        """All state that has to be durable."""
        shared, voter = self.shared, self.voter
        return Kept(shared.epoch, shared.birth, voter.term, voter.vote, shared.log, shared.latest_epoch)

    # ---- internals ----

    def _collect_output(self, now: int) -> Out:
        shared = self.shared
        if shared.commit > self.spread.pushed_index:
            for address in self.proposals.proposers_to_notify(now):
                self.spread.push(now, address)
        self.proposals.resolve(now)
        self.proposals.answer_confirmed_reads(now)
        out, shared.out = shared.out, []
        return out

    def _notice_stall(self, now: int) -> None:
        if now - self.next_at > STALL_HEARTBEATS * self.options.beat:
            self.voter.check_quorum(now)
            self.voter.reset_election_timer(now)

    def _tick(self, now: int) -> None:
        if self.shared.blank:
            self._try_start_history(now)
        self.voter.on_tick(now)
        self.spread.on_tick(now)
        self.proposals.on_tick(now)

    def _try_start_history(self, now: int) -> None:
        """Start the history once every place of the roster has reported twice that it is blank.

        This is done by the first voter of the roster. A process that has learned of a history does not forget
        it under the same incarnation. So a process that reports twice under one incarnation was still blank
        when the last one reported for the first time: at that moment all of them were.
        """
        shared = self.shared
        numbers = drawn(self.options.voters, len(shared.places))
        if not numbers or shared.number != numbers[0]:
            return
        missing = self._unconfirmed_places()
        if missing or self.spread.fetch_target is not None:
            for number in missing[:4]:
                self.spread.query(now, number)
            return
        if self.blank_incarnations != self.previous_blank_incarnations:
            self.previous_blank_incarnations, self.blank_incarnations, self.blank_round_at = (
                self.blank_incarnations,
                {},
                now,
            )
            self._try_start_history(now)
            return
        seats = tuple(
            sorted((n, self.blank_incarnations[n] if n != shared.number else shared.birth) for n in numbers)
        )
        epoch = (shared.rng.getrandbits(32) or 1, 1, shared.birth)
        self._start_epoch(now, epoch, Base(wanted=len(numbers), now=seats))

    def _unconfirmed_places(self) -> list[int]:
        """Places that have not reported to be blank."""
        return sorted(
            n for n in self.shared.places if n != self.shared.number and n not in self.blank_incarnations
        )

    def _start_epoch(self, now: int, epoch: Epoch, base: Base) -> None:
        self._enter(now, epoch, base)
        self.shared.emit("founded", version=base.version, text=f"epoch {epoch[1]}")

    def _enter(self, now: int, epoch: Epoch, base: Base) -> None:
        """Join an epoch, starting from its base."""
        shared = self.shared
        version = shared.log.version_at(shared.commit)
        if version > base.version:
            shared.emit(
                "lost",
                version=base.version,
                text=f"versions {base.version + 1} to {version} of the old epoch",
            )
        known = shared.commit == base.index and shared.log.chain_at(base.index) == base.chain
        shared.epoch, shared.log = epoch, Log(base)
        shared.persist("me", epoch, shared.birth)
        shared.install_base(base, announce=not known)
        self.voter.reset(now)
        self.spread.reset()
        self.blank_incarnations.clear()

    def _change_incarnation(self, now: int) -> None:
        """Draw another incarnation, under which no vote or acknowledgement was given.

        Committed entries stay.
        """
        shared = self.shared
        if shared.log.last > shared.commit:
            shared.truncate(shared.commit + 1)
        shared.birth = shared.rng.getrandbits(32) or 1
        shared.persist("me", shared.epoch, shared.birth)
        self.voter.reset(now)
        shared.emit("forgotten")

    def _receive(self, now: int, message: Message, address: Address) -> None:
        shared = self.shared
        if message.epoch == NO_EPOCH:
            self._receive_from_blank(now, message, address)
        elif shared.blank or message.epoch[0] == shared.epoch[0]:
            if message.epoch == shared.epoch and not shared.fenced:
                HANDLERS[message.kind](self, now, message, address)
            elif message.epoch[1:] > shared.epoch[1:]:
                self._on_later_epoch(now, message, address)
            elif message.kind is not Kind.ANSWER and not shared.fenced:
                self.spread.send_status(now, address, 0)  # tells the sender that its epoch is superseded
        else:
            self._on_foreign_history(message)

    def _receive_from_blank(self, now: int, message: Message, address: Address) -> None:
        """Handle a message from a process that knows no history."""
        if message.kind is Kind.ASK:
            self.spread.on_ask(now, message, address)
        elif message.kind is Kind.ANSWER:
            asked_at = self.spread.queries.pop(message.token, None)
            if (
                asked_at is not None
                and asked_at >= self.blank_round_at
                and self.shared.blank
                and message.flags & BLANK
            ):
                self.blank_incarnations[message.sender[0]] = message.sender[1]

    def _on_later_epoch(self, now: int, message: Message, address: Address) -> None:
        """Handle a message of a later epoch, or of the first one that this process hears of."""
        shared, was_active = self.shared, not self.shared.fenced
        if not shared.blank and message.epoch[1:] > shared.latest_epoch[1:]:
            shared.note_epoch(message.epoch)
            if was_active:
                self.voter.reset(now)
                self.spread.fresh_at = None
                shared.emit("fenced", text=f"epoch {message.epoch[1]}")
        if message.kind is Kind.BASE:
            base = self.spread.on_base(now, message, address)
            if base is not None:
                self._enter(now, message.epoch, base)
            return
        idle = self.spread.fetch_target is None
        self.spread.note_commit(now, message.epoch, message.commit, address)
        if idle:
            self.spread.fetch(now)

    def _on_foreign_history(self, message: Message) -> None:
        self.shared.drop("history")
        if (
            message.epoch[0] not in self.foreign_histories
            and len(self.foreign_histories) < MAX_FOREIGN_HISTORIES
        ):
            self.foreign_histories.add(message.epoch[0])
            self.shared.emit("stranger", text=f"history {message.epoch[0]:08x}, number {message.sender[0]}")

    def _on_append(self, now: int, message: Message, address: Address) -> None:
        if message.flags & LOST_ENTRIES and self.shared.disk:
            self._change_incarnation(now)
        self.voter.on_append(now, message, address)
        self.spread.note_commit(now, message.epoch, message.commit, address)

    def _on_transfer(self, now: int, message: Message, address: Address) -> None:
        """Take a chunk of an entry or a base.

        A voter back from its disk takes none until a leader has verified its log.
        """
        if self.voter.log_check_ticks and self.voter.seated():
            return
        if message.kind is Kind.PIECE:
            self.spread.on_piece(now, message, address)
        else:
            self.spread.on_base(now, message, address)

    def _on_answer(self, now: int, message: Message, address: Address) -> None:
        voter = self.voter
        voter.on_status(message)
        if message.number != NO_NUMBER and voter.role is Role.LEARNER and message.term >= voter.term:
            voter.term = max(voter.term, message.term)
            leader = (message.number, message.birth)
            if leader != voter.leader:
                voter.leader = leader
                self.shared.emit("leader", text=str(leader[0]))
        self.spread.on_answer(now, message, address)

    # ---- status ----

    def summary(self, now: int) -> dict[str, Any]:
        """Status for the console.

        Versions count changes, entries count everything in the log; times are in seconds, digests
        hexadecimal.
        """
        shared, voter, log = self.shared, self.voter, self.shared.log
        version = log.version_at(shared.commit)
        role = "blank" if shared.blank else "fenced" if shared.fenced else voter.role.name.lower()
        return {
            "number": shared.number if shared.number != NO_NUMBER else -1,
            "role": role,
            "history": f"{shared.epoch[0]:08x}",
            "epoch": shared.epoch[1],
            "term": voter.term,
            "leader": voter.leader[0] if voter.leader is not None else None,
            "voters": [n for n, _ in log.seats.now],
            "seated": voter.seated(),
            "wanted": log.base.wanted,
            "changing": log.seats.joint,
            "committed": version,
            "applied": version,
            "entry": shared.commit,
            "lease_s": round(self.spread.lease_left(now) / 1e9, 3),
            "digest": f"{log.chain_at(shared.commit) or 0:016x}",
            "disk": shared.disk,
            "waiting_for": self._unconfirmed_places() if shared.blank else [],
            "sent": {"datagrams": shared.budget.sent[0], "bytes": shared.budget.sent[1]},
            "dropped": dict(sorted(shared.dropped.items())),
        }


HANDLERS: dict[Kind, Callable[[Agree, int, Message, Address], object]] = {
    Kind.APPEND: lambda a, now, message, address: a._on_append(now, message, address),
    Kind.APPENDED: lambda a, now, message, address: a.voter.on_appended(now, message),
    Kind.PREVOTE: lambda a, now, message, address: a.voter.on_prevote(now, message, address),
    Kind.PREVOTED: lambda a, now, message, address: a.voter.on_prevoted(now, message),
    Kind.VOTE: lambda a, now, message, address: a.voter.on_vote(now, message, address),
    Kind.VOTED: lambda a, now, message, address: a.voter.on_voted(now, message),
    Kind.NOW: lambda a, now, message, address: a.voter.on_now(now, message),
    Kind.ASK: lambda a, now, message, address: a.spread.on_ask(now, message, address),
    Kind.ANSWER: lambda a, now, message, address: a._on_answer(now, message, address),
    Kind.FETCH: lambda a, now, message, address: a.spread.on_fetch(now, message, address),
    Kind.PIECE: lambda a, now, message, address: a._on_transfer(now, message, address),
    Kind.BASE: lambda a, now, message, address: a._on_transfer(now, message, address),
    Kind.PROPOSE: lambda a, now, message, address: a.proposals.on_propose(now, message, address),
    Kind.PROPOSED: lambda a, now, message, address: a.proposals.on_proposed(now, message),
    Kind.READ: lambda a, now, message, address: a.proposals.on_read(now, message, address),
    Kind.READY: lambda a, now, message, address: a.proposals.on_ready(now, message),
}

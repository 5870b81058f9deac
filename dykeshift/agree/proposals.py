"""Proposals and reads, at the process that received them from its client and at the leader.

A proposal names the version that it builds on, and can be committed only as the next one. So it is decided
once that next version is committed: either it is this proposal, or the proposal can never be committed. Until
then its answer is "not known", and any member can tell later, by its ident, what became of it. A leader
appends a proposal to its log once, however often it arrives and from wherever; it leaves a proposal that it
cannot append now without an answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.agree.log import Entry, Sort, digest
from dykeshift.agree.pieces import Assembly
from dykeshift.agree.state import REQUEST, URGENT, Shared
from dykeshift.agree.voting import Voter
from dykeshift.agree.wire import CHUNK, YES, Kind, Message
from dykeshift.view.table import Address

MAX_PENDING = 64  # limit for each: proposals, reads, partly received proposals
LONGEST = 16_384  # bytes in the body of a proposal
MAX_IN_FLIGHT = 8  # chunks of a proposal that await an acknowledgement
RETRY_HEARTBEATS = 2  # heartbeats after which an unanswered request is repeated
RECEIVED, TOO_FEW_VOTERS = 1, 2  # status in PROPOSED

COMMITTED, REFUSED, UNKNOWN = "committed", "refused", "unknown"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a proposal.

    `version`: where it was committed, or else the version that is committed here now.
    """

    status: str
    version: int
    text: str = ""


@dataclass(slots=True)
class Proposal:
    """A proposal of a client of this process that is not answered yet."""

    body: bytes
    expect: int  # the version that it builds on
    deadline: int
    retry_at: int = 0  # when it is sent again
    sent: bool = False
    acked_bytes: int = 0  # bytes that the leader has acknowledged
    reason: str = ""


@dataclass(slots=True)
class PendingRead:
    """A read of a client of this process that is not answered yet."""

    deadline: int
    retry_at: int = 0  # when the leader is asked again
    index: int | None = None  # commit index of the leader, to be reached here first


@dataclass(slots=True)
class UnconfirmedRead:
    """A read at the leader, which answers it once a quorum has confirmed the given round."""

    round: int
    index: int
    token: int
    address: Address | None


@dataclass(slots=True)
class PartialProposal:
    """A proposal that the leader has not received completely."""

    address: Address
    updated_at: int
    assembly: Assembly = field(default_factory=Assembly)


class Proposals:
    """The proposals and reads of one process."""

    def __init__(self, shared: Shared, voter: Voter) -> None:
        self.shared, self.voter = shared, voter
        self.open: dict[int, Proposal] = {}
        self.answers: dict[int, Answer] = {}
        self.pending_reads: dict[int, PendingRead] = {}
        self.read_results: dict[int, int | None] = {}  # of reads: the version; None: not confirmed in time
        self.unconfirmed_reads: list[UnconfirmedRead] = []
        self.partial: dict[int, PartialProposal] = {}
        self.proposers: dict[int, Address] = {}  # processes to notify of a commit

    # ---- at the receiving process ----

    def propose(self, now: int, body: bytes, expect: int, wait: int, ident: int) -> None:
        """Accept a proposal.

        `wait`: nanoseconds until the answer is "not known". The answer appears in `answers`, once.
        """
        if len(body) > LONGEST:
            self.answers[ident] = Answer(REFUSED, self.version(), f"the change has more than {LONGEST} bytes")
        elif len(self.open) >= MAX_PENDING:
            self.answers[ident] = Answer(REFUSED, self.version(), "too many proposals are under way here")
        else:
            self.open[ident] = Proposal(body, expect, now + wait)
            self.resolve(now)
            self._forward_proposal(now, ident)

    def read(self, now: int, wait: int, token: int) -> None:
        """Accept a read; its result appears in `read_results`, once."""
        if len(self.pending_reads) >= MAX_PENDING:
            self.read_results[token] = None
            return
        self.pending_reads[token] = PendingRead(now + wait)
        self._forward_read(now, token)

    def version(self) -> int:
        """The version that is committed here."""
        return self.shared.log.version_at(self.shared.commit)

    def outcome(self, ident: int, expect: int) -> Answer:
        """What became of a proposal, as far as this process knows."""
        shared = self.shared
        version = shared.log.committed_version(ident, shared.commit)
        committed = self.version()
        if version is not None:
            return Answer(COMMITTED, version)
        if committed > expect:
            if self._knows_change_at(expect + 1):
                return Answer(REFUSED, committed, f"version {expect + 1} is another change")
            return Answer(
                UNKNOWN, committed, f"version {expect + 1} is too old to tell which proposal it was"
            )
        return Answer(UNKNOWN, committed, "it is not decided yet")

    def _knows_change_at(self, version: int) -> bool:
        """Whether it is known here which proposal was committed as that version."""
        log = self.shared.log
        return version > log.base.version or version in log.base_proposals.values()

    def resolve(self, now: int) -> None:
        """Answer proposals and reads that are decided or whose deadline has passed."""
        for ident, proposal in list(self.open.items()):
            answer = self.outcome(ident, proposal.expect)
            expired = now >= proposal.deadline
            if answer.status == UNKNOWN and expired and not proposal.sent:
                not_reached = f"version {proposal.expect} is not reached here"
                text = not_reached if answer.version < proposal.expect else "no leader is in reach"
                answer = Answer(REFUSED, answer.version, text)
            elif answer.status == UNKNOWN and expired:
                answer = Answer(UNKNOWN, answer.version, proposal.reason or answer.text)
            elif answer.status == UNKNOWN and answer.version <= proposal.expect:
                continue
            del self.open[ident]
            self.answers[ident] = answer
        for token, read in list(self.pending_reads.items()):
            if read.index is not None and read.index <= self.shared.commit:
                self.read_results[token] = self.version()
            elif now >= read.deadline:
                self.read_results[token] = None
            else:
                continue
            del self.pending_reads[token]

    def on_tick(self, now: int) -> None:
        """Repeat unanswered requests, and drop state that has expired."""
        self.resolve(now)
        for ident in list(self.open):
            self._forward_proposal(now, ident)
        for token in list(self.pending_reads):
            self._forward_read(now, token)
        beat = self.shared.options.beat
        for ident in [i for i, d in self.partial.items() if now - d.updated_at > 50 * beat]:
            del self.partial[ident]
        if self.voter.lead is None:
            self.unconfirmed_reads.clear()
            self.proposers.clear()
        self.answer_confirmed_reads(now)

    def _forward_proposal(self, now: int, ident: int) -> None:
        proposal = self.open.get(ident)
        leader = self.voter.leader
        if proposal is None or leader is None or self.version() < proposal.expect or now < proposal.retry_at:
            return  # not sent before the version that it builds on is committed here
        proposal.retry_at = now + RETRY_HEARTBEATS * self.shared.options.beat
        if leader == self.shared.me:
            proposal.sent = True
            self._append(now, ident, proposal.expect, proposal.body, None)
            self.resolve(now)
            return
        offset, total, checksum = proposal.acked_bytes, len(proposal.body), digest(proposal.body)
        for _ in range(MAX_IN_FLIGHT):
            chunk = proposal.body[offset : offset + CHUNK]
            sent = self.shared.send(
                now,
                REQUEST,
                leader[0],
                Kind.PROPOSE,
                self.voter.term,
                ident=ident,
                of=proposal.expect,
                length=total,
                offset=offset,
                chain=checksum,
                chunk=chunk,
            )
            proposal.sent = proposal.sent or sent
            offset += len(chunk)
            if offset >= total or not sent:
                return

    def on_proposed(self, now: int, message: Message) -> None:
        """Take the leader's acknowledgement of chunks."""
        proposal = self.open.get(message.ident)
        if proposal is None:
            return
        if message.sort == TOO_FEW_VOTERS:
            proposal.reason = "there are too few voters to accept it now"
        elif message.offset > proposal.acked_bytes and message.offset < len(proposal.body):
            proposal.acked_bytes, proposal.retry_at = message.offset, now
            self._forward_proposal(now, message.ident)

    def _forward_read(self, now: int, token: int) -> None:
        read, leader = self.pending_reads[token], self.voter.leader
        if read.index is not None or leader is None or now < read.retry_at:
            return
        read.retry_at = now + RETRY_HEARTBEATS * self.shared.options.beat
        if leader == self.shared.me:
            self._register_read(now, token, None)
        else:
            self.shared.send(now, REQUEST, leader[0], Kind.READ, self.voter.term, token=token)

    def on_ready(self, now: int, message: Message) -> None:
        """Take the leader's confirmation of a read."""
        read = self.pending_reads.get(message.token)
        if read is not None and read.index is None:
            read.index = message.index
            self.resolve(now)

    # ---- at the leader ----

    def on_propose(self, now: int, message: Message, address: Address) -> None:
        """Take a chunk of a proposal, as leader."""
        if self.voter.lead is None or message.length > LONGEST:
            return
        if self._already_logged(message.ident):
            self.proposers[message.ident] = address
            return
        partial = self.partial.get(message.ident)
        if partial is None:
            if len(self.partial) >= MAX_PENDING:
                return
            partial = self.partial[message.ident] = PartialProposal(address, now)
        partial.updated_at = now
        body = partial.assembly.add(
            (message.of, message.chain), message.length, message.offset, message.chunk
        )
        status, offset = RECEIVED, len(partial.assembly.received)
        if body is not None:
            del self.partial[message.ident]
            offset = len(body)
            if digest(body) == message.chain and not self._append(
                now, message.ident, message.of, body, address
            ):
                status = TOO_FEW_VOTERS
        self.shared.send(
            now,
            REQUEST,
            address,
            Kind.PROPOSED,
            self.voter.term,
            ident=message.ident,
            offset=offset,
            sort=status,
        )

    def _already_logged(self, ident: int) -> bool:
        return ident in self.shared.log.index_by_ident or ident in self.shared.log.base_proposals

    def _append(self, now: int, ident: int, expect: int, body: bytes, address: Address | None) -> bool:
        """Append a proposal to the log if it can be the next version.

        Returns False if there are fewer voters than wanted, so that it cannot be accepted now.
        """
        voter, log = self.voter, self.shared.log
        if self._already_logged(ident) or not voter.settled() or log.version != expect:
            return True
        if len(voter.seats.now) < log.base.wanted:
            return False
        if address is not None:
            self.proposers[ident] = address
        voter.propose(now, Entry(voter.term, Sort.CHANGE, ident, body))
        return True

    def on_read(self, now: int, message: Message, address: Address) -> None:
        """Take a read, as leader."""
        self._register_read(now, message.token, address)

    def _register_read(self, now: int, token: int, address: Address | None) -> None:
        voter = self.voter
        if (
            not voter.settled()
            or len(self.unconfirmed_reads) >= MAX_PENDING
            or any(w.token == token for w in self.unconfirmed_reads)
        ):
            return
        self.unconfirmed_reads.append(
            UnconfirmedRead(voter.request_round(now), self.shared.commit, token, address)
        )
        self.answer_confirmed_reads(now)

    def answer_confirmed_reads(self, now: int) -> None:
        """Answer the reads whose round a quorum has answered."""
        lead = self.voter.lead
        if lead is None:
            return
        confirmed = [w for w in self.unconfirmed_reads if w.round <= lead.confirmed]
        self.unconfirmed_reads = [w for w in self.unconfirmed_reads if w.round > lead.confirmed]
        for read in confirmed:
            if read.address is not None:
                self.shared.send(
                    now,
                    URGENT,
                    read.address,
                    Kind.READY,
                    self.voter.term,
                    token=read.token,
                    index=read.index,
                    flags=YES,
                )
            elif read.token in self.pending_reads:
                self.pending_reads[read.token].index = read.index
        if confirmed:
            self.resolve(now)

    def proposers_to_notify(self, now: int) -> list[Address]:
        """Processes whose proposals are now committed, each returned once."""
        commit, log = self.shared.commit, self.shared.log
        decided = [i for i in self.proposers if log.committed_version(i, commit) is not None]
        return [self.proposers.pop(ident) for ident in decided]

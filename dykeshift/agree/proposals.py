"""Proposals and reads, at whoever is asked and at the leader.

A proposal names the version that it builds on, and can be committed as the next one only. So it is decided
once that next version is committed: it is this proposal, or it never will be. Until then its answer is "not
known", and whoever asks later with its ident learns it from any member. A leader puts a proposal into its log
once, wherever and however often it comes from; what it can't take now it leaves without an answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.agree.log import Entry, Sort, digest
from dykeshift.agree.pieces import Assembly
from dykeshift.agree.state import ACTION, URGENT, Shared
from dykeshift.agree.voting import Voter
from dykeshift.agree.wire import CHUNK, YES, Kind, Message
from dykeshift.view.table import Address

MOST = 64  # proposals and reads in the making, of each sort
LONGEST = 16_384  # bytes of an entry
WINDOW = 8  # pieces of a proposal on the way
AGAIN = 2  # beats until what was not answered is sent again
GOT, SHORT = 1, 2  # of a proposal: received so far; taken when there are enough voters

COMMITTED, REFUSED, UNKNOWN = "committed", "refused", "unknown"


@dataclass(frozen=True, slots=True)
class Answer:
    """To a proposal: `version` is where it was committed, or what is committed here now."""

    status: str
    version: int
    text: str = ""


@dataclass(slots=True)
class Proposal:
    body: bytes
    expect: int
    until: int
    next: int = 0  # when it is sent again
    sent: bool = False
    got: int = 0  # bytes that the leader has
    note: str = ""


@dataclass(slots=True)
class Reading:
    until: int
    next: int = 0  # when it is asked again
    index: int | None = None  # what has to be committed here


@dataclass(slots=True)
class Waiting:
    """A read that the leader answers once a round begun later is confirmed."""

    round: int
    index: int
    token: int
    address: Address | None


@dataclass(slots=True)
class Draft:
    address: Address
    at: int
    assembly: Assembly = field(default_factory=Assembly)


class Proposals:
    def __init__(self, shared: Shared, voter: Voter) -> None:
        self.shared, self.voter = shared, voter
        self.open: dict[int, Proposal] = {}
        self.answers: dict[int, Answer] = {}
        self.reads: dict[int, Reading] = {}
        self.results: dict[int, int | None] = {}  # of reads: the version; None: it can't be said
        self.waiting: list[Waiting] = []
        self.drafts: dict[int, Draft] = {}
        self.proposers: dict[int, Address] = {}  # whom to tell of a commit

    # ---- who is asked ----

    def propose(self, now: int, body: bytes, expect: int, wait: int, ident: int) -> None:
        """`wait`: nanoseconds until the answer is "not known". The answer comes up in `answers`, once."""
        if len(body) > LONGEST:
            self.answers[ident] = Answer(REFUSED, self.version(), f"it has more than {LONGEST} bytes")
        elif len(self.open) >= MOST:
            self.answers[ident] = Answer(REFUSED, self.version(), "too many proposals are under way here")
        else:
            self.open[ident] = Proposal(body, expect, now + wait)
            self.look(now)
            self._forward(now, ident)

    def read(self, now: int, wait: int, token: int) -> None:
        """The result comes up in `results`, once."""
        if len(self.reads) >= MOST:
            self.results[token] = None
            return
        self.reads[token] = Reading(now + wait)
        self._ask(now, token)

    def version(self) -> int:
        return self.shared.log.version_at(self.shared.commit)

    def decided(self, ident: int, expect: int) -> Answer:
        """What became of a proposal, as far as this process knows."""
        shared = self.shared
        version = shared.log.committed_as(ident, shared.commit)
        now = self.version()
        if version is not None:
            return Answer(COMMITTED, version)
        if now > expect:
            if self._remembers(expect + 1):
                return Answer(REFUSED, now, f"version {expect + 1} is another change")
            return Answer(UNKNOWN, now, f"version {expect + 1} is too long ago to say whose it was")
        return Answer(UNKNOWN, now, "it is not decided yet")

    def _remembers(self, version: int) -> bool:
        """Whether it is known here whose change that committed version was."""
        log = self.shared.log
        return version > log.base.version or version in log.before.values()

    def look(self, now: int) -> None:
        """Answer what is decided, or has waited for long enough."""
        for ident, proposal in list(self.open.items()):
            answer = self.decided(ident, proposal.expect)
            late = now >= proposal.until
            if answer.status == UNKNOWN and late and not proposal.sent:
                ahead = f"version {proposal.expect} is not reached here"
                text = ahead if answer.version < proposal.expect else "no leader is in reach"
                answer = Answer(REFUSED, answer.version, text)
            elif answer.status == UNKNOWN and late:
                answer = Answer(UNKNOWN, answer.version, proposal.note or answer.text)
            elif answer.status == UNKNOWN and answer.version <= proposal.expect:
                continue
            del self.open[ident]
            self.answers[ident] = answer
        for token, reading in list(self.reads.items()):
            if reading.index is not None and reading.index <= self.shared.commit:
                self.results[token] = self.version()
            elif now >= reading.until:
                self.results[token] = None
            else:
                continue
            del self.reads[token]

    def on_tick(self, now: int) -> None:
        self.look(now)
        for ident in list(self.open):
            self._forward(now, ident)
        for token in list(self.reads):
            self._ask(now, token)
        beat = self.shared.options.beat
        for ident in [i for i, d in self.drafts.items() if now - d.at > 50 * beat]:
            del self.drafts[ident]
        if self.voter.lead is None:
            self.waiting.clear()
            self.proposers.clear()
        self.confirm(now)

    def _forward(self, now: int, ident: int) -> None:
        proposal = self.open.get(ident)
        leader = self.voter.leader
        if proposal is None or leader is None or self.version() < proposal.expect or now < proposal.next:
            return  # where it builds on what is not known here, nobody has to see it yet
        proposal.next = now + AGAIN * self.shared.options.beat
        if leader == self.shared.me:
            proposal.sent = True
            self._take(now, ident, proposal.expect, proposal.body, None)
            self.look(now)
            return
        offset, total, sum_ = proposal.got, len(proposal.body), digest(proposal.body)
        for _ in range(WINDOW):
            chunk = proposal.body[offset : offset + CHUNK]
            sent = self.shared.send(
                now,
                ACTION,
                leader[0],
                Kind.PROPOSE,
                self.voter.term,
                ident=ident,
                of=proposal.expect,
                length=total,
                offset=offset,
                chain=sum_,
                chunk=chunk,
            )
            proposal.sent = proposal.sent or sent
            offset += len(chunk)
            if offset >= total or not sent:
                return

    def on_proposed(self, now: int, message: Message) -> None:
        proposal = self.open.get(message.ident)
        if proposal is None:
            return
        if message.sort == SHORT:
            proposal.note = "there are too few voters to take it now"
        elif message.offset > proposal.got and message.offset < len(proposal.body):
            proposal.got, proposal.next = message.offset, now
            self._forward(now, message.ident)

    def _ask(self, now: int, token: int) -> None:
        reading, leader = self.reads[token], self.voter.leader
        if reading.index is not None or leader is None or now < reading.next:
            return
        reading.next = now + AGAIN * self.shared.options.beat
        if leader == self.shared.me:
            self._wait(now, token, None)
        else:
            self.shared.send(now, ACTION, leader[0], Kind.READ, self.voter.term, token=token)

    def on_ready(self, now: int, message: Message) -> None:
        reading = self.reads.get(message.token)
        if reading is not None and reading.index is None:
            reading.index = message.index
            self.look(now)

    # ---- the leader ----

    def on_propose(self, now: int, message: Message, address: Address) -> None:
        if self.voter.lead is None or message.length > LONGEST:
            return
        if self._known(message.ident):
            self.proposers[message.ident] = address
            return
        draft = self.drafts.get(message.ident)
        if draft is None:
            if len(self.drafts) >= MOST:
                return
            draft = self.drafts[message.ident] = Draft(address, now)
        draft.at = now
        body = draft.assembly.add((message.of, message.chain), message.length, message.offset, message.chunk)
        sort, offset = GOT, len(draft.assembly.got)
        if body is not None:
            del self.drafts[message.ident]
            offset = len(body)
            if digest(body) == message.chain and not self._take(
                now, message.ident, message.of, body, address
            ):
                sort = SHORT
        self.shared.send(
            now,
            ACTION,
            address,
            Kind.PROPOSED,
            self.voter.term,
            ident=message.ident,
            offset=offset,
            sort=sort,
        )

    def _known(self, ident: int) -> bool:
        return ident in self.shared.log.at_ident or ident in self.shared.log.before

    def _take(self, now: int, ident: int, expect: int, body: bytes, address: Address | None) -> bool:
        """Into the log, where it can be the next version; False: there are too few voters for that."""
        voter, log = self.voter, self.shared.log
        if self._known(ident) or not voter.settled() or log.version != expect:
            return True
        if len(voter.seats.now) < log.base.wanted:
            return False
        if address is not None:
            self.proposers[ident] = address
        voter.propose(now, Entry(voter.term, Sort.CHANGE, ident, body))
        return True

    def on_read(self, now: int, message: Message, address: Address) -> None:
        self._wait(now, message.token, address)

    def _wait(self, now: int, token: int, address: Address | None) -> None:
        voter = self.voter
        if not voter.settled() or len(self.waiting) >= MOST or any(w.token == token for w in self.waiting):
            return
        self.waiting.append(Waiting(voter.soon(now), self.shared.commit, token, address))
        self.confirm(now)

    def confirm(self, now: int) -> None:
        """Answer the reads whose round a majority has answered."""
        lead = self.voter.lead
        if lead is None:
            return
        done = [w for w in self.waiting if w.round <= lead.confirmed]
        self.waiting = [w for w in self.waiting if w.round > lead.confirmed]
        for one in done:
            if one.address is not None:
                self.shared.send(
                    now,
                    URGENT,
                    one.address,
                    Kind.READY,
                    self.voter.term,
                    token=one.token,
                    index=one.index,
                    flags=YES,
                )
            elif one.token in self.reads:
                self.reads[one.token].index = one.index
        if done:
            self.look(now)

    def tell(self, now: int) -> list[Address]:
        """Who is to hear at once of what was committed."""
        commit, log = self.shared.commit, self.shared.log
        told = [i for i in self.proposers if log.committed_as(i, commit) is not None]
        return [self.proposers.pop(ident) for ident in told]

"""Dissemination of committed entries to all processes, and the lease under which they may be used.

Every process periodically queries a random member for what it has, and fetches what it lacks from one that
has it; a small change is also pushed once by each process that learns it. Only committed entries are taken,
in order, each complete and with the expected chain digest.

The lease: `fresh_at` is a time of this process's own clock such that everything committed by then is in its
committed prefix. For the leader it is the start of its last round that a quorum answered. For any other
process it follows from a query: if the query was sent at t and the answer states age a, the prefix was fresh
at t - a, however long the query and the answer took. So a lease never outlives what a quorum has granted. It
ends `lease` after `fresh_at`, so a suspended process finds by its clock alone that it has ended.
"""

from __future__ import annotations

from dykeshift.agree.log import Base, Entry, Sort, digest, pack_base, unpack_base
from dykeshift.agree.pieces import Assembly
from dykeshift.agree.state import BULK, MAINTENANCE, Shared
from dykeshift.agree.voting import Voter
from dykeshift.agree.wire import BLANK, CHUNK, END_OF_BURST, NO_AGE, NO_NUMBER, RETIRING, Epoch, Kind, Message
from dykeshift.view.table import Address

BURST = 6  # datagrams that answer one FETCH
FANOUT = 3  # members that a new commit is pushed to
QUERY_TICKS = 3  # ticks (half a heartbeat each) between two queries
SWITCH_AFTER = 2  # unanswered fetches after which another member with as much may become the source
MAX_FETCH_TRIES = 5  # unanswered fetches after which the source is dropped


class Dissemination:
    """Fetches and pushes committed entries, and keeps the lease."""

    def __init__(self, shared: Shared, voter: Voter) -> None:
        self.shared, self.voter = shared, voter
        self.fresh_at: int | None = None
        self.pending_freshness: list[tuple[int, int]] = []  # (fresh at, once this index is committed here)
        self.queries: dict[int, int] = {}  # token: when it was sent
        self.entry_assembly, self.base_assembly = Assembly(), Assembly()
        # The source to fetch from: epoch, commit index, address.
        self.fetch_target: tuple[Epoch, int, Address] | None = None
        self.most_committed = (0, 0)  # highest commit index heard of, and when
        self.tries = self.ticks = 0
        self.progressed = False  # whether anything arrived since the last tick
        self.pushed_index = 0

    def reset(self) -> None:
        """Start anew, in another epoch."""
        self.fresh_at = None
        self.pending_freshness.clear()
        self.queries.clear()
        self.entry_assembly.clear()
        self.base_assembly.clear()
        self.fetch_target, self.most_committed, self.pushed_index = None, (0, 0), self.shared.commit

    # ---- the lease ----

    def freshness(self) -> int | None:
        """`fresh_at`, brought up to date from the rounds of a leader."""
        lead, shared = self.voter.lead, self.shared
        confirmed = lead is not None and self.voter.settled() and lead.confirmed_at >= 0
        if lead is not None and confirmed and lead.confirmed_commit <= shared.commit:
            self._raise_freshness(lead.confirmed_at)
        return self.fresh_at

    def _raise_freshness(self, at: int) -> None:
        self.fresh_at = at if self.fresh_at is None else max(at, self.fresh_at)

    def lease_left(self, now: int) -> int:
        """For how long the committed prefix may still be relied on; 0: there is no lease."""
        options, at = self.shared.options, self.freshness()
        if at is None or self.shared.fenced:
            return 0
        return max(0, at + int(options.lease * (1 - 2 * options.drift)) - now)

    def _age(self, now: int) -> int:
        """Age of the committed prefix in milliseconds, rounded up; NO_AGE without a lease."""
        if not self.lease_left(now) or self.fresh_at is None:
            return NO_AGE
        return -((self.fresh_at - now) // 1_000_000)

    # ---- queries ----

    def on_tick(self, now: int) -> None:
        """Query, push and fetch periodically."""
        shared, self.ticks = self.shared, self.ticks + 1
        for token in [t for t, at in self.queries.items() if now - at > shared.options.lease]:
            del self.queries[token]
        if self.ticks % QUERY_TICKS == 0:
            for number in shared.random_members(4 if shared.blank else 1):
                self.query(now, number)
        self._announce_commit(now)
        self._continue_fetch(now)

    def query(self, now: int, number: int) -> None:
        """Ask a member what it has."""
        shared = self.shared
        token = shared.rng.getrandbits(32) or 1
        flags = BLANK * shared.blank | RETIRING * shared.retiring
        if shared.send(
            now, MAINTENANCE, number, Kind.ASK, self.voter.term, flags=flags, token=token, index=shared.commit
        ):
            self.queries[token] = now

    def on_ask(self, now: int, message: Message, address: Address) -> None:
        """Answer a query."""
        self.send_status(now, address, message.token)

    def send_status(self, now: int, to: int | Address, token: int) -> None:
        """Send what is committed here. `token`: that of the query; 0: unsolicited."""
        shared, leader = self.shared, self.voter.leader or (NO_NUMBER, 0)
        self.freshness()
        shared.send(
            now,
            MAINTENANCE,
            to,
            Kind.ANSWER,
            self.voter.term,
            token=token,
            commit=shared.commit,
            index=shared.log.version_at(shared.commit),
            of=self._age(now),
            flags=BLANK * shared.blank | RETIRING * shared.retiring,
            chain=shared.log.chain_at(shared.commit) or 0,
            number=leader[0],
            birth=leader[1],
        )

    def on_answer(self, now: int, message: Message, address: Address) -> None:
        """Take an answer, or an unsolicited status, of this epoch."""
        asked = self.queries.pop(message.token, None)
        self.note_commit(now, message.epoch, message.commit, address)
        if self.shared.commit == message.commit and self.shared.log.chain_at(message.commit) != message.chain:
            self.shared.drop("chain")
            return
        if asked is None or message.of == NO_AGE:
            return
        age = int(message.of * 1_000_000 * (1 + 2 * self.shared.options.drift))
        self.pending_freshness.append((asked - age, message.commit))
        self._apply_pending_freshness()

    def _apply_pending_freshness(self) -> None:
        commit = self.shared.commit
        for at, index in self.pending_freshness:
            if index <= commit:
                self._raise_freshness(at)
        self.pending_freshness = [(at, index) for at, index in self.pending_freshness if index > commit][-8:]

    # ---- fetching ----

    def note_commit(self, now: int, epoch: Epoch, commit: int, address: Address) -> None:
        """Note that a member has this much committed; it may become the source to fetch from."""
        shared = self.shared
        if commit >= self.most_committed[0] or now - self.most_committed[1] > shared.options.lease:
            self.most_committed = commit, now
        if epoch == shared.epoch and commit <= shared.commit:
            return
        further = self.fetch_target is None or (epoch[1:], commit) > (
            self.fetch_target[0][1:],
            self.fetch_target[1],
        )
        if (
            further
            or self.fetch_target is not None
            and epoch == self.fetch_target[0]
            and self.tries >= SWITCH_AFTER
        ):
            if self.fetch_target is None or self.fetch_target[0] != epoch:
                self.base_assembly.clear()
            self.fetch_target, self.tries = (epoch, commit, address), 0

    def _continue_fetch(self, now: int) -> None:
        """Fetch what is missing, again if nothing came since the last tick."""
        if self.fetch_target is None:
            return
        progressed, self.progressed = self.progressed, False
        epoch, commit, _ = self.fetch_target
        if epoch == self.shared.epoch and commit <= self.shared.commit:
            self.fetch_target = None
        elif not progressed:
            self.tries += 1
            if self.tries > MAX_FETCH_TRIES:
                self.fetch_target = None
            else:
                self.fetch(now)

    def fetch(self, now: int) -> None:
        """Request the next chunks from the source."""
        if self.fetch_target is None:
            return
        epoch, _, address = self.fetch_target
        index = self.shared.commit + 1 if epoch == self.shared.epoch else 0
        offset = len(self.entry_assembly.received) if self.entry_assembly.key[:1] == (index,) else 0
        base_index = self.base_assembly.key[0] if self.base_assembly.key else 0
        self.shared.send(
            now,
            MAINTENANCE,
            address,
            Kind.FETCH,
            self.voter.term,
            epoch=epoch,
            index=index,
            offset=offset,
            prev=base_index,
            length=len(self.base_assembly.received),
        )

    def on_fetch(self, now: int, message: Message, address: Address) -> None:
        """Send the requested entries, or the base if the entries are compacted."""
        shared = self.shared
        index, offset = message.index, message.offset
        if not shared.log.holds(index):
            if index <= shared.log.base.index:
                self._send_base(now, message, address)
            return
        for n in range(BURST):
            if index > shared.commit:
                return
            entry = shared.log.entry(index)
            chunk = entry.body[offset : offset + CHUNK]
            entry_ends = offset + len(chunk) >= len(entry.body)
            last = n == BURST - 1 or entry_ends and index == shared.commit
            if not self._send_chunk(now, address, index, offset, chunk, END_OF_BURST * last):
                return
            index, offset = (index + 1, 0) if entry_ends else (index, offset + len(chunk))

    def _send_chunk(
        self, now: int, to: int | Address, index: int, offset: int, chunk: bytes, flags: int
    ) -> bool:
        shared = self.shared
        entry = shared.log.entry(index)
        return shared.send(
            now,
            BULK,
            to,
            Kind.PIECE,
            self.voter.term,
            flags=flags,
            commit=shared.commit,
            index=index,
            of=entry.term,
            sort=entry.sort,
            ident=entry.ident,
            offset=offset,
            length=len(entry.body),
            chain=shared.log.chain_at(index) or 0,
            chunk=chunk,
        )

    def _send_base(self, now: int, message: Message, address: Address) -> None:
        base = self.shared.log.base
        whole = pack_base(base)
        offset = message.length if message.prev == base.index and message.length < len(whole) else 0
        for n in range(BURST):
            chunk = whole[offset : offset + CHUNK]
            base_ends = offset + len(chunk) >= len(whole)
            if not self.shared.send(
                now,
                BULK,
                address,
                Kind.BASE,
                self.voter.term,
                flags=END_OF_BURST * (base_ends or n == BURST - 1),
                index=base.index,
                length=len(whole),
                offset=offset,
                chain=digest(whole),
                chunk=chunk,
            ):
                return
            offset += len(chunk)
            if base_ends:
                return

    def on_piece(self, now: int, message: Message, address: Address) -> None:
        """Take a chunk of a committed entry of this epoch."""
        shared = self.shared
        self.note_commit(now, message.epoch, message.commit, address)
        if message.index == shared.commit + 1:
            name = (message.index, message.of, message.chain)
            received = len(self.entry_assembly.received)
            body = self.entry_assembly.add(name, message.length, message.offset, message.chunk)
            self.progressed = (
                self.progressed or body is not None or len(self.entry_assembly.received) > received
            )
            if body is not None:
                self._append_committed(now, message, Entry(message.of, message.sort, message.ident, body))
        if (
            message.flags & END_OF_BURST
            and self.fetch_target is not None
            and self.fetch_target[1] > shared.commit
        ):
            self.fetch(now)

    def _append_committed(self, now: int, message: Message, entry: Entry) -> None:
        """Append the next committed entry.

        A different entry at its index, if there is one, was never committed and is removed.
        """
        shared, log = self.shared, self.shared.log
        index = message.index
        if log.chain_at(index) != message.chain:
            if log.holds(index):
                self.voter.step_down(now)
                shared.truncate(index)
            try:
                shared.append(entry)
            except ValueError:
                shared.drop("entry")
                return
            if log.chain_at(index) != message.chain:
                shared.truncate(index)
                shared.drop("chain")
                return
        shared.advance(index)
        self._apply_pending_freshness()

    def on_base(self, now: int, message: Message, address: Address) -> Base | None:
        """Take a chunk of a base, of this epoch or of the one that is being fetched.

        Returns the complete base if it is of the latter.
        """
        shared = self.shared
        if self.fetch_target is None or message.epoch != self.fetch_target[0]:
            return None
        if message.epoch == shared.epoch and message.index <= shared.commit:
            return None
        received = len(self.base_assembly.received)
        whole = self.base_assembly.add(
            (message.index, message.chain), message.length, message.offset, message.chunk
        )
        self.progressed = self.progressed or whole is not None or len(self.base_assembly.received) > received
        if whole is None:
            if message.flags & END_OF_BURST:
                self.fetch(now)
            return None
        try:
            base = unpack_base(whole)
        except ValueError:
            base = None
        if base is None or digest(whole) != message.chain:
            shared.drop("base")
            return None
        if message.epoch != shared.epoch:
            return base
        self.voter.step_down(now)
        shared.install_base(base)
        self._apply_pending_freshness()
        self.fetch(now)
        return None

    # ---- pushing ----

    def _announce_commit(self, now: int) -> None:
        """Push what is committed to some members, once."""
        if not self.shared.blank and self.shared.commit > self.pushed_index:
            for number in self.shared.random_members(FANOUT):
                self.push(now, number)
            self.pushed_index = self.shared.commit

    def push(self, now: int, to: int | Address) -> None:
        """Push to one member.

        Sends the last change itself if it is short and the only one since the last push, else the status.
        """
        log, index = self.shared.log, self.shared.commit
        entry = log.entry(index) if log.holds(index) and index == self.pushed_index + 1 else None
        if entry is not None and entry.sort != Sort.NOTHING and len(entry.body) <= CHUNK:
            self._send_chunk(now, to, index, 0, entry.body, END_OF_BURST)
        else:
            self.send_status(now, to, 0)

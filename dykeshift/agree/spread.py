"""How what is committed reaches everybody, and what a balancer may hold true without asking: its lease.

Everybody asks a member drawn at random each `ask` what it has, and fetches what it lacks from whoever has it;
a small change is pushed on once by everybody who learns it. Nothing is taken but committed entries in order,
each whole and with the chain that it should have.

The lease: `fresh_at` is a time of this process's own clock such that everything that was committed by then
is in its committed prefix. The leader's is the start of its last round that a majority answered. Anybody
else's comes by a question: asked at t, answered "mine is so old": it was fresh at t less that age, however
long the question and the answer took. So a lease never outlives what a majority has granted; it is over
`lease` after `fresh_at`, and a process that stood still finds that by its clock alone.
"""

from __future__ import annotations

from dykeshift.agree.log import Base, Entry, Sort, digest, pack_base, unpack_base
from dykeshift.agree.pieces import Assembly
from dykeshift.agree.state import BULK, CARE, Shared
from dykeshift.agree.voting import Voter
from dykeshift.agree.wire import BLANK, CHUNK, LAST, NO_AGE, NO_NUMBER, RETIRING, Epoch, Kind, Message
from dykeshift.view.table import Address

BURST = 6  # pieces that answer one request
FANOUT = 3  # members that a new change is passed on to
ASKS = 3  # beats between two questions
OTHER = 2  # of these, after which somebody else that has more is asked
TRIES = 5  # requests to one that does not answer them


class Spread:
    def __init__(self, shared: Shared, voter: Voter) -> None:
        self.shared, self.voter = shared, voter
        self.fresh_at: int | None = None
        self.awaited: list[tuple[int, int]] = []  # fresh then, once so much is committed here
        self.questions: dict[int, int] = {}  # token: when it was asked
        self.entry, self.base = Assembly(), Assembly()
        self.target: tuple[Epoch, int, Address] | None = None  # who has more, and up to where
        self.best = (0, 0)  # the most that anybody was heard to have, and when
        self.tries = self.ticks = 0
        self.moved = False  # something arrived since the last beat
        self.pushed = 0

    def reset(self) -> None:
        self.fresh_at = None
        self.awaited.clear()
        self.questions.clear()
        self.entry.clear()
        self.base.clear()
        self.target, self.best, self.pushed = None, (0, 0), self.shared.commit

    # ---- the lease ----

    def freshness(self) -> int | None:
        lead, shared = self.voter.lead, self.shared
        known = lead is not None and self.voter.settled() and lead.confirmed_at >= 0
        if lead is not None and known and lead.confirmed_commit <= shared.commit:
            self._fresh(lead.confirmed_at)
        return self.fresh_at

    def _fresh(self, at: int) -> None:
        self.fresh_at = at if self.fresh_at is None else max(at, self.fresh_at)

    def lease_left(self, now: int) -> int:
        """For how long what is committed here may be held true; 0: not at all."""
        options, at = self.shared.options, self.freshness()
        if at is None or self.shared.fenced:
            return 0
        return max(0, at + int(options.lease * (1 - 2 * options.drift)) - now)

    def _age(self, now: int) -> int:
        """In milliseconds, rounded up; NO_AGE where there is no lease."""
        if not self.lease_left(now) or self.fresh_at is None:
            return NO_AGE
        return -((self.fresh_at - now) // 1_000_000)

    # ---- asking and answering ----

    def on_tick(self, now: int) -> None:
        shared, self.ticks = self.shared, self.ticks + 1
        for token in [t for t, at in self.questions.items() if now - at > shared.options.lease]:
            del self.questions[token]
        if self.ticks % ASKS == 0:
            for number in shared.some(4 if shared.blank else 1):
                self.ask(now, number)
        self._push(now)
        self._pull(now)

    def ask(self, now: int, number: int) -> None:
        shared = self.shared
        token = shared.rng.getrandbits(32) or 1
        flags = BLANK * shared.blank | RETIRING * shared.retiring
        if shared.send(
            now, CARE, number, Kind.ASK, self.voter.term, flags=flags, token=token, index=shared.commit
        ):
            self.questions[token] = now

    def on_ask(self, now: int, message: Message, address: Address) -> None:
        self.tell(now, address, message.token)

    def tell(self, now: int, to: int | Address, token: int) -> None:
        shared, leader = self.shared, self.voter.leader or (NO_NUMBER, 0)
        self.freshness()
        shared.send(
            now,
            CARE,
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
        """Of this epoch."""
        asked = self.questions.pop(message.token, None)
        self.hear(now, message.epoch, message.commit, address)
        if self.shared.commit == message.commit and self.shared.log.chain_at(message.commit) != message.chain:
            self.shared.drop("chain")
            return
        if asked is None or message.of == NO_AGE:
            return
        age = int(message.of * 1_000_000 * (1 + 2 * self.shared.options.drift))
        self.awaited.append((asked - age, message.commit))
        self._renew()

    def _renew(self) -> None:
        commit = self.shared.commit
        for at, index in self.awaited:
            if index <= commit:
                self._fresh(at)
        self.awaited = [(at, index) for at, index in self.awaited if index > commit][-8:]

    # ---- more than is here ----

    def hear(self, now: int, epoch: Epoch, commit: int, address: Address) -> None:
        """Somebody has so much of it."""
        shared = self.shared
        if commit >= self.best[0] or now - self.best[1] > shared.options.lease:
            self.best = commit, now
        if epoch == shared.epoch and commit <= shared.commit:
            return
        more = self.target is None or (epoch[1:], commit) > (self.target[0][1:], self.target[1])
        if more or self.target is not None and epoch == self.target[0] and self.tries >= OTHER:
            if self.target is None or self.target[0] != epoch:
                self.base.clear()
            self.target, self.tries = (epoch, commit, address), 0

    def _pull(self, now: int) -> None:
        """Ask for what is missing, again where nothing came."""
        if self.target is None:
            return
        moved, self.moved = self.moved, False
        epoch, commit, _ = self.target
        if epoch == self.shared.epoch and commit <= self.shared.commit:
            self.target = None
        elif not moved:
            self.tries += 1
            if self.tries > TRIES:
                self.target = None
            else:
                self.fetch(now)

    def fetch(self, now: int) -> None:
        if self.target is None:
            return
        epoch, _, address = self.target
        index = self.shared.commit + 1 if epoch == self.shared.epoch else 0
        part = len(self.entry.got) if self.entry.name[:1] == (index,) else 0
        base = self.base.name[0] if self.base.name else 0
        self.shared.send(
            now,
            CARE,
            address,
            Kind.FETCH,
            self.voter.term,
            epoch=epoch,
            index=index,
            offset=part,
            prev=base,
            length=len(self.base.got),
        )

    def on_fetch(self, now: int, message: Message, address: Address) -> None:
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
            ends = offset + len(chunk) >= len(entry.body)
            last = n == BURST - 1 or ends and index == shared.commit
            if not self._send_piece(now, address, index, offset, chunk, LAST * last):
                return
            index, offset = (index + 1, 0) if ends else (index, offset + len(chunk))

    def _send_piece(
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
            ends = offset + len(chunk) >= len(whole)
            if not self.shared.send(
                now,
                BULK,
                address,
                Kind.BASE,
                self.voter.term,
                flags=LAST * (ends or n == BURST - 1),
                index=base.index,
                length=len(whole),
                offset=offset,
                chain=digest(whole),
                chunk=chunk,
            ):
                return
            offset += len(chunk)
            if ends:
                return

    def on_piece(self, now: int, message: Message, address: Address) -> None:
        """A piece of a committed entry of this epoch."""
        shared = self.shared
        self.hear(now, message.epoch, message.commit, address)
        if message.index == shared.commit + 1:
            name = (message.index, message.of, message.chain)
            before = len(self.entry.got)
            body = self.entry.add(name, message.length, message.offset, message.chunk)
            self.moved = self.moved or body is not None or len(self.entry.got) > before
            if body is not None:
                self._take(now, message, Entry(message.of, message.sort, message.ident, body))
        if message.flags & LAST and self.target is not None and self.target[1] > shared.commit:
            self.fetch(now)

    def _take(self, now: int, message: Message, entry: Entry) -> None:
        """A committed entry, the next one: what stands in its place and is another was never committed."""
        shared, log = self.shared, self.shared.log
        index = message.index
        if log.chain_at(index) != message.chain:
            if log.holds(index):
                self.voter.step_down(now)
                shared.cut(index)
            try:
                shared.append(entry)
            except ValueError:
                shared.drop("entry")
                return
            if log.chain_at(index) != message.chain:
                shared.cut(index)
                shared.drop("chain")
                return
        shared.advance(index)
        self._renew()

    def on_base(self, now: int, message: Message, address: Address) -> Base | None:
        """A piece of a base, of this epoch or of the one that is fetched; the whole one of the latter."""
        shared = self.shared
        if self.target is None or message.epoch != self.target[0]:
            return None
        if message.epoch == shared.epoch and message.index <= shared.commit:
            return None
        before = len(self.base.got)
        whole = self.base.add((message.index, message.chain), message.length, message.offset, message.chunk)
        self.moved = self.moved or whole is not None or len(self.base.got) > before
        if whole is None:
            if message.flags & LAST:
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
        shared.begin(base)
        self._renew()
        self.fetch(now)
        return None

    # ---- news ----

    def _push(self, now: int) -> None:
        """To some, once."""
        if not self.shared.blank and self.shared.commit > self.pushed:
            for number in self.shared.some(FANOUT):
                self.pass_on(now, number)
            self.pushed = self.shared.commit

    def pass_on(self, now: int, to: int | Address) -> None:
        """The last change itself where it is the only one since the last push, and short; else word of it."""
        log, index = self.shared.log, self.shared.commit
        entry = log.entry(index) if log.holds(index) and index == self.pushed + 1 else None
        if entry is not None and entry.sort != Sort.NOTHING and len(entry.body) <= CHUNK:
            self._send_piece(now, to, index, 0, entry.body, LAST)
        else:
            self.tell(now, to, 0)

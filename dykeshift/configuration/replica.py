"""A replica of the store, as subscribers see it: time and datagrams in, datagrams out.

Theory of operation. A session goes

    HELLO -> WELCOME (scope missing) -> SCOPE ... -> WELCOME (whole) -> RENEW: confirmed -> parts, grants
    HELLO -> WAIT: not now

It is *confirmed* by the first datagram that carries the token of its WELCOME; only then it takes the place of
an earlier session of the same name, and only then parts are sent. So a HELLO that is played again neither
ends a session nor draws more than one answer.

A confirmed session has a position (catch_up.py). Whenever the store has more in its scope and nothing is on
the way, the next part is built and sent in chunks, within the budgets of the session and of the replica.
Who catches up holds a slot of the admission queue until its last part is acknowledged.

A grant says: all that was committed `age_ms` ago is in this store, whose version is `stamp`. The subscriber
counts the lease from when it asked, less that age, and only once it shows `stamp` (lease.py). This replica
notes until when it may be valid at most, and from which version on.

The *fence* is the largest version of which this replica knows that nobody acts on an older one by a lease of
its own granting: everybody shows it, or their leases are over. After a start nothing is fenced until the
leases of an earlier life are over.

Promises:
 1. Bytes and datagrams a second never exceed the budgets, repetitions included.
 2. What is remembered is bounded (sessions.py), whatever is sent here.
 3. The fence never goes down, and nobody holds a lease by this replica on a version below it.
 4. Nothing is granted without the store's freshness, nor by a session that this replica does not know.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from dykeshift.configuration import wire
from dykeshift.configuration.admission import AdmissionQueue, TokenBucket
from dykeshift.configuration.catch_up import (
    DIGEST_MASK,
    NOTHING,
    PART_BYTES,
    Position,
    Source,
    build_part,
    pack_part,
    remaining,
    shown_position,
    unpack_position,
)
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.scope_codec import LONGEST_SCOPE, ScopeError, scope_digest, unpack_scope
from dykeshift.configuration.sessions import Lease, Roll, ScopeCache, Session
from dykeshift.configuration.transfer import Sender
from dykeshift.configuration.wire import NO_AGE, Message, WaitReason
from dykeshift.view.table import Address
from dykeshift.view.wire import MOST, Bad, Seal

MS = 1_000_000
SECOND = 1_000_000_000
MOST_LEASES = 4096  # leases of sessions that are over

Out = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Times in nanoseconds; budgets in bytes or datagrams a second, bursts in the same at once."""

    lease: int = 5 * SECOND  # how long a subscriber may act on what was fresh
    drift: float = 0.01  # the part by which one clock may run faster or slower
    most_sessions: int = 400
    slots: int = 40  # of those who catch up at once
    most_waiting: int = 1024
    session_bytes: int = 6_000
    session_burst: int = 1_200
    bytes: int = 300_000
    datagrams: int = 3_000
    reserve: float = 0.3  # the part of the replica's budget that parts leave to everything else
    part_bytes: int = PART_BYTES
    tick: int = 50 * MS  # between two looks while something is sent
    rest: int = 250 * MS  # between two looks otherwise
    unconfirmed: int = 3 * SECOND  # after which a session that never answered is over
    silence: int = 15 * SECOND  # after which a session is over
    retry_full: int = 5 * SECOND
    retry_unready: int = 1 * SECOND


class Replica:
    """Serves subscribers from one store."""

    def __init__(
        self,
        options: ReplicaOptions,
        seal: Seal,
        source: Source,
        age: Callable[[int], int | None],
        rng: Random,
        lineage: int = 1,
    ) -> None:
        """`age`: how many nanoseconds ago the store held all that was committed; None: it is not known.

        `lineage`: the history that the store's versions belong to; 0: it is not known yet.
        """
        self.options, self.seal, self.source, self.age, self.rng = options, seal, source, age, rng
        self.lineage = lineage
        self.sessions: dict[int, Session] = {}  # by token
        self.by_name: dict[str, Session] = {}  # confirmed ones
        self.unconfirmed: dict[str, Session] = {}
        self.scopes = ScopeCache()
        self.queue = AdmissionQueue(options.slots, options.most_waiting)
        self.roll = Roll()
        self.leases: list[Lease] = []  # of sessions that are over
        self.active: deque[int] = deque()  # tokens of sessions with something to send, in turn
        self.bytes = TokenBucket(options.bytes, options.bytes // 4)
        self.datagrams = TokenBucket(options.datagrams, options.datagrams // 4)
        self.fenced = 0
        self.blind_until = 0  # leases of an earlier life may be valid until then
        self.next_at = 0
        self.looked_at = 0
        self.offered = 0  # the version for which all sessions were looked through
        self.dropped: dict[str, int] = {}
        self.out: Out = []

    # ---- what the host calls ----

    def start(self, now: int) -> Out:
        """Begin; nothing is known of an earlier life."""
        self.blind_until = now + self._lease_at_most()
        self.looked_at = now - self.options.rest
        return self.on_timer(now)

    def on_timer(self, now: int) -> Out:
        """To be called at `next_at` or later."""
        if now - self.looked_at >= self.options.rest:
            self.looked_at = now
            self._look_round(now)
        self.on_store(now)
        self._pump(now)
        self.next_at = now + (self.options.tick if self.active else self.options.rest)
        return self._take_out()

    def on_change(self, now: int) -> Out:
        """The store has a later version."""
        self.on_store(now)
        self._pump(now)
        if self.active:
            self.next_at = min(self.next_at, now + self.options.tick)
        return self._take_out()

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Whatever arrived on the port."""
        try:
            message = wire.decode(data, self.seal)
        except Bad as error:
            self._drop(str(error))
            return []
        if isinstance(message, wire.Hello):
            self._on_hello(now, message, address)
        elif isinstance(message, wire.Audit):
            self._on_audit(now, message, address)
        elif isinstance(message, wire.ScopePiece | wire.Ack | wire.Renew | wire.Bye):
            self._on_session(now, message, address)
        else:
            self._drop("kind")
        if self.active:
            self.next_at = min(self.next_at, now + self.options.tick)
        return self._take_out()

    def enter(self, now: int, lineage: int) -> None:
        """The store belongs to this history from now on; sessions of another one are over."""
        if lineage == self.lineage:
            return
        self.lineage = lineage
        for session in list(self.sessions.values()):
            self._close(now, session)
        self.fenced = 0
        self.blind_until = now + self._lease_at_most()

    def behind(self, version: int) -> list[str]:
        """The subscribers, by name, of which this replica does not know that they show this version."""
        return self.roll.behind(version)

    # ---- sending ----

    def _take_out(self) -> Out:
        out, self.out = self.out, []
        return out

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _send(
        self,
        now: int,
        address: Address,
        message: Message,
        bulk: bool = False,
        bucket: TokenBucket | None = None,
    ) -> bool:
        """Within the budgets of the replica and of the session (`bucket`), or not at all.

        A part's chunk (`bulk`) leaves some of both to whatever else there is to say.
        """
        if bulk and not self._allows(now, MOST, bulk, bucket):
            return False  # a chunk is mostly as long as a datagram: it is not sealed in vain
        data = wire.encode(message, self.seal)
        if not self._allows(now, len(data), bulk, bucket):
            return False
        self.bytes.spend(len(data))
        self.datagrams.spend(1)
        if bucket is not None:
            bucket.spend(len(data))
        self.out.append((data, address))
        return True

    def _allows(self, now: int, size: int, bulk: bool, bucket: TokenBucket | None) -> bool:
        reserve = self.options.reserve if bulk else 0.0
        allowed = (
            (bucket is None or bucket.allows(now, size, int(reserve * bucket.burst)))
            and self.bytes.allows(now, size, int(reserve * self.bytes.burst))
            and self.datagrams.allows(now, 1, int(reserve * self.datagrams.burst))
        )
        if not allowed:
            self._drop("budget")
        return allowed

    def _send_to(self, now: int, session: Session, message: Message) -> bool:
        """To a session, within its budget."""
        return self._send(now, session.address, message, bucket=session.bucket)

    # ---- the beginning of a session ----

    def _on_hello(self, now: int, hello: wire.Hello, address: Address) -> None:
        if self._is_old(hello):
            self._drop("old hello")
            return
        if self._repeat_welcome(now, hello, address):
            return
        same = hello.lineage == self.lineage
        position = unpack_position(hello.cursor) if same else NOTHING
        reason = self._refusal(now, hello, position)
        if reason is not None:
            self._send_wait(now, hello.session, address, self._retry(reason), reason)
            return
        session = self._open(now, hello, address, position)
        session.scope = self.scopes.get(hello.scope_digest)
        if session.scope is None:
            self._welcome(now, session)
        else:
            self._admit(now, session)

    def _is_old(self, hello: wire.Hello) -> bool:
        """Whether a later HELLO of this name has begun a session."""
        known = (self.by_name.get(hello.name), self.unconfirmed.get(hello.name))
        order = (hello.birth, hello.attempt)
        return any(s is not None and order < (s.birth, s.attempt) for s in known)

    def _repeat_welcome(self, now: int, hello: wire.Hello, address: Address) -> bool:
        """The same HELLO again: its answer was lost, or it is under way twice."""
        for session in (self.by_name.get(hello.name), self.unconfirmed.get(hello.name)):
            if session is not None and (session.birth, session.attempt) == (hello.birth, hello.attempt):
                if session.address == address and session.number == hello.session:
                    self._welcome(now, session)
                return True
        return False

    def _refusal(self, now: int, hello: wire.Hello, position: Position) -> WaitReason | None:
        if self.age(now) is None or not self.source.version or not self.lineage:
            return WaitReason.UNREADY
        ahead = max(hello.shown if hello.lineage == self.lineage else 0, position.version)
        if ahead > self.source.version:
            return WaitReason.LAGGING
        if len(self.sessions) >= self.options.most_sessions and hello.name not in self.by_name:
            return WaitReason.FULL
        return WaitReason.FULL if not 0 < hello.scope_length <= LONGEST_SCOPE else None

    def _retry(self, reason: WaitReason) -> int:
        return self.options.retry_full if reason is WaitReason.FULL else self.options.retry_unready

    def _send_wait(self, now: int, number: int, address: Address, wait: int, reason: WaitReason) -> None:
        message = wire.Wait(number, self.lineage, self.source.version, -(-wait // MS), reason)
        self._send(now, address, message)

    def _open(self, now: int, hello: wire.Hello, address: Address, position: Position) -> Session:
        earlier = self.unconfirmed.get(hello.name)
        if earlier is not None:
            self._close(now, earlier)
        session = Session(
            name=hello.name,
            birth=hello.birth,
            attempt=hello.attempt,
            number=hello.session,
            token=self.rng.getrandbits(64) or 1,
            address=address,
            scope_digest=hello.scope_digest,
            scope_length=hello.scope_length,
            position=position,
            shown=hello.shown if hello.lineage == self.lineage else 0,
            bucket=TokenBucket(self.options.session_bytes, self.options.session_burst),
            heard_at=now,
        )
        self.sessions[session.token] = session
        self.unconfirmed[session.name] = session
        return session

    def _welcome(self, now: int, session: Session) -> None:
        offset = session.scope_length if session.scope is not None else len(session.scope_bytes)
        message = wire.Welcome(session.number, session.token, self.lineage, self.source.version, offset)
        self._send_to(now, session, message)

    def _admit(self, now: int, session: Session) -> None:
        """A session whose scope is known: it goes on, or has to wait for a slot."""
        wait = self.queue.request(now, session.name) if self._needs_slot(session) else 0
        if wait:
            self._close(now, session)
            self._send_wait(now, session.number, session.address, wait, WaitReason.BUSY)
        else:
            self._welcome(now, session)

    def _needs_slot(self, session: Session) -> bool:
        assert session.scope is not None
        if session.position.fresh:
            return True
        part = build_part(self.source, session.scope, session.position, self.options.part_bytes)
        return part.after is not None or part.start.fresh

    # ---- a session ----

    def _on_session(
        self, now: int, message: wire.ScopePiece | wire.Ack | wire.Renew | wire.Bye, address: Address
    ) -> None:
        session = self.sessions.get(message.session)
        if session is None or session.address != address:
            self._drop("session")
            if not isinstance(message, wire.Bye):
                self._send(now, address, wire.Gone(message.session))
            return
        session.heard_at = now
        if isinstance(message, wire.ScopePiece):
            self._on_scope(now, session, message)
            return
        if isinstance(message, wire.Bye):
            if message.reason is wire.ByeReason.ENDING:
                self.roll.left(session.name)
            self._close(now, session)
            return
        if session.scope is None or message.shown > self.source.version:
            self._drop("shown")
            return
        self._confirm(now, session)
        session.shown = max(session.shown, message.shown)
        self.roll.heard(now, session.name, session.shown)
        if isinstance(message, wire.Renew):
            self._grant(now, session, message)
        else:
            self._on_ack(now, session, message)

    def _on_scope(self, now: int, session: Session, piece: wire.ScopePiece) -> None:
        if session.scope is None and piece.offset == len(session.scope_bytes):
            session.scope_bytes += piece.chunk[: session.scope_length - len(session.scope_bytes)]
        if session.scope is None and len(session.scope_bytes) == session.scope_length:
            data = bytes(session.scope_bytes)
            session.scope_bytes.clear()
            try:
                session.scope = unpack_scope(data) if scope_digest(data) == session.scope_digest else None
            except ScopeError:
                session.scope = None
            if session.scope is not None:
                self.scopes.put(session.scope_digest, session.scope)
                self._admit(now, session)
                return
        self._welcome(now, session)

    def _confirm(self, now: int, session: Session) -> None:
        if session.confirmed:
            return
        session.confirmed = True
        self.unconfirmed.pop(session.name, None)
        earlier = self.by_name.get(session.name)
        if earlier is not None:
            holds_slot = session.name in self.queue.holders
            self._close(now, earlier, release=not holds_slot)
        self.by_name[session.name] = session
        self._begin_part(now, session)

    def _close(self, now: int, session: Session, release: bool = True) -> None:
        """The session is over; its leases are not."""
        self.sessions.pop(session.token, None)
        for table in (self.by_name, self.unconfirmed):
            if table.get(session.name) is session:
                del table[session.name]
        if release:
            self.queue.release(now, session.name)
        self.leases += session.grants.leases(now, session.name, session.shown)
        if len(self.leases) > MOST_LEASES:
            del self.leases[:-MOST_LEASES]
            self.blind_until = now + self._lease_at_most()

    # ---- parts ----

    def on_store(self, now: int) -> None:
        """Look through the sessions once for each version of the store."""
        if self.offered == self.source.version:
            return
        self.offered = self.source.version
        for session in list(self.by_name.values()):
            self._begin_part(now, session)

    def _begin_part(self, now: int, session: Session) -> None:
        """Send what follows the session's position, where something does and nothing is on the way."""
        if session.sender is not None or session.scope is None or not self.source.version:
            return
        if session.position.version > self.source.version:
            return
        part = build_part(self.source, session.scope, session.position, self.options.part_bytes)
        if part.after is None and not part.resources and not part.start.fresh:
            self.queue.release(now, session.name)
            return
        session.transfers += 1
        session.part = part
        session.sender = Sender(session.transfers, pack_part(part))
        self.active.append(session.token)
        self._pump_one(now, session)

    def _on_ack(self, now: int, session: Session, ack: wire.Ack) -> None:
        sender, part = session.sender, session.part
        if sender is None or part is None or ack.transfer != sender.number:
            return
        sender.on_ack(ack.following, ack.ahead)
        if not sender.complete:
            self._pump_one(now, session)
            return
        session.sender = session.part = None
        if part.after is not None:
            session.position = part.after
        else:
            session.position = shown_position(session.shown)
            self.queue.release(now, session.name)
        self._begin_part(now, session)

    def _pump(self, now: int) -> None:
        """One look at each session that has something to send, beginning where the last round ended."""
        for _ in range(len(self.active)):
            token = self.active.popleft()
            session = self.sessions.get(token)
            if session is None or session.sender is None:
                continue
            self.active.append(token)
            self._pump_one(now, session)

    def _pump_one(self, now: int, session: Session) -> None:
        """As many chunks as are due and allowed."""
        sender = session.sender
        while sender is not None:
            number = sender.due(now)
            if number is None:
                return
            chunk = sender.chunks[number]
            data = wire.Data(session.token, sender.number, number, len(sender.chunks), chunk)
            if not self._send(now, session.address, data, bulk=True, bucket=session.bucket):
                return
            sender.on_sent(now, number)

    # ---- leases ----

    def _lease_at_most(self) -> int:
        """How long a lease may be valid by this replica's clock, counted from its grant."""
        return int(self.options.lease * (1 + 2 * self.options.drift))

    def _grant(self, now: int, session: Session, renew: wire.Renew) -> None:
        age = self.age(now)
        stamp = self.source.version
        if age is not None:
            session.grants.add(now, stamp, now + self._lease_at_most())
        message = wire.Grant(
            session.token,
            renew.nonce,
            stamp,
            self._unchanged_since(session, renew.shown),
            NO_AGE if age is None else min(NO_AGE - 1, -(-age // MS)),
            self.fenced,
        )
        self._send_to(now, session, message)

    def _unchanged_since(self, session: Session, shown: int) -> int:
        """The version shown, where nothing in the scope has changed since; else the store's."""
        stamp = self.source.version
        if session.scope is None or not shown or self.source.snapshot_needed(shown):
            return stamp
        changed = remaining(self.source, session.scope, shown_position(shown))
        return stamp if changed else shown

    def _look_round(self, now: int) -> None:
        """What is over is forgotten; the fence goes up."""
        options = self.options
        for session in list(self.sessions.values()):
            limit = options.silence if session.confirmed else options.unconfirmed
            if now - session.heard_at > limit:
                self._close(now, session)
        self.leases = [lease for lease in self.leases if lease.until > now]
        self._raise_fence(now)

    def _raise_fence(self, now: int) -> None:
        if now < self.blind_until:
            return
        held = [lease.shown for lease in self.leases]
        for session in self.sessions.values():
            held += [one.shown for one in session.grants.leases(now, session.name, session.shown)]
        self.fenced = max(self.fenced, min([self.source.version, *held]))

    # ---- questions of others' subscribers ----

    def _on_audit(self, now: int, audit: wire.Audit, address: Address) -> None:
        age = self.age(now)
        if age is None:
            return
        try:
            scope: Scope = unpack_scope(audit.scope)
        except ScopeError:
            self._drop("scope")
            return
        digest = self.source.digest(scope) & DIGEST_MASK
        age_ms = min(NO_AGE - 1, -(-age // MS))
        message = wire.Audited(audit.session, self.lineage, self.source.version, digest, age_ms)
        self._send(now, address, message)

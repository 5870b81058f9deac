"""A replica of the store as it serves subscribers: takes the time and datagrams in, returns datagrams out
(sans-I/O).

Theory of operation. A session goes

    HELLO -> WELCOME (scope missing) -> SCOPE ... -> WELCOME (scope known) -> RENEW: confirmed -> parts,
    grants HELLO -> WAIT: not now

A session is *confirmed* by the first datagram that carries the token of its WELCOME. Only then does it
replace an earlier session of the same name, and only then are parts sent. A replayed HELLO therefore
neither ends a session nor draws more than one answer.

A confirmed session has a position (catch_up.py). Whenever the store has newer changes in the session's scope
and no part is in flight, the next part is built and sent in chunks, within the budgets of the session and of
the replica. A subscriber that catches up holds a slot of the admission queue until its last part is
acknowledged.

A grant states that everything committed until `age_ms` ago is in this store, whose version is `stamp`. The
subscriber counts its lease from the time of its request, less that age, and only once it shows `stamp`
(lease.py). The replica records the latest time until which the lease may be valid, and the oldest version
that its holder may act on.

The *fence* is the largest version for which this replica knows that no subscriber acts on an older one
under a lease that it granted: every subscriber shows it, or its lease has expired. After a start the fence
stays at 0 until all leases granted before the restart have expired.

Guarantees:
 1. Bytes and datagrams per second never exceed the budgets, retransmissions included.
 2. Memory is bounded (sessions.py), whatever is received.
 3. The fence never decreases, and nobody holds a lease of this replica on a version below it.
 4. No lease is granted while the store's freshness is unknown, nor to a session unknown to this replica.
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
from dykeshift.configuration.sessions import Lease, SubscriberProgress, ScopeCache, Session
from dykeshift.configuration.transfer import Sender
from dykeshift.configuration.wire import NO_AGE, Message, WaitReason
from dykeshift.view.table import Address
from dykeshift.view.wire import MAX_DATAGRAM, DatagramError, Seal

MS = 1_000_000
SECOND = 1_000_000_000
MAX_RETAINED_LEASES = 4096  # leases of closed sessions that are still tracked

Out = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Times in nanoseconds; budgets in bytes or datagrams per second, bursts in bytes or datagrams."""

    lease: int = 5 * SECOND  # how long a subscriber may act on a version that was up to date
    drift: float = 0.01  # fraction by which a clock may run fast or slow
    max_sessions: int = 400
    slots: int = 40  # subscribers that may catch up at the same time
    max_waiting: int = 1024
    session_bytes: int = 6_000
    session_burst: int = 1_200
    bytes: int = 300_000
    datagrams: int = 3_000
    reserved_share: float = 0.3  # fraction of the budgets that parts leave to other datagrams
    part_bytes: int = PART_BYTES
    send_interval: int = 50 * MS  # timer interval while parts are being sent
    idle_interval: int = 250 * MS  # timer interval otherwise
    unconfirmed_timeout: int = 3 * SECOND  # after which a session that was never confirmed is closed
    session_timeout: int = 15 * SECOND  # without a datagram, after which a session is closed
    retry_when_full: int = 5 * SECOND
    retry_when_unready: int = 1 * SECOND


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
        """`age`: how many nanoseconds ago the store held everything committed; None where that is unknown.

        `lineage`: identifies the history that the store's versions belong to; 0 where it is not known yet.
        """
        self.options, self.seal, self.source, self.age, self.rng = options, seal, source, age, rng
        self.lineage = lineage
        self.sessions: dict[int, Session] = {}  # by token
        self.by_name: dict[str, Session] = {}  # confirmed sessions
        self.unconfirmed: dict[str, Session] = {}
        self.scopes = ScopeCache()
        self.queue = AdmissionQueue(options.slots, options.max_waiting)
        self.progress = SubscriberProgress()
        self.leases: list[Lease] = []  # of closed sessions
        self.sending: deque[int] = deque()  # tokens of sessions with a part to send, served round-robin
        self.bytes = TokenBucket(options.bytes, options.bytes // 4)
        self.datagrams = TokenBucket(options.datagrams, options.datagrams // 4)
        self.fenced = 0
        self.fence_blocked_until = 0  # leases that were granted before a restart may be valid until then
        self.next_at = 0
        self.last_scan_at = 0
        self.offered_version = 0  # the version for which parts of all sessions were started
        self.dropped: dict[str, int] = {}
        self.out: Out = []

    # ---- what the host calls ----

    def start(self, now: int) -> Out:
        """Starts the replica. Leases granted before a restart are unknown and block the fence until they
        expire."""
        self.fence_blocked_until = now + self._longest_lease()
        self.last_scan_at = now - self.options.idle_interval
        return self.on_timer(now)

    def on_timer(self, now: int) -> Out:
        """Called by the host at `next_at` or later."""
        if now - self.last_scan_at >= self.options.idle_interval:
            self.last_scan_at = now
            self._scan_sessions(now)
        self.start_parts(now)
        self._send_chunks(now)
        self.next_at = now + (self.options.send_interval if self.sending else self.options.idle_interval)
        return self._drain_output()

    def on_change(self, now: int) -> Out:
        """Called by the host when the store has a newer version."""
        self.start_parts(now)
        self._send_chunks(now)
        if self.sending:
            self.next_at = min(self.next_at, now + self.options.send_interval)
        return self._drain_output()

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Handles one datagram that arrived on the port."""
        try:
            message = wire.decode(data, self.seal)
        except DatagramError as error:
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
        if self.sending:
            self.next_at = min(self.next_at, now + self.options.send_interval)
        return self._drain_output()

    def set_lineage(self, now: int, lineage: int) -> None:
        """Sets the history of the store; a change closes all sessions and resets the fence."""
        if lineage == self.lineage:
            return
        self.lineage = lineage
        for session in list(self.sessions.values()):
            self._close(now, session)
        self.fenced = 0
        self.fence_blocked_until = now + self._longest_lease()

    def behind(self, version: int) -> list[str]:
        """The names of subscribers that have not reported showing this version or a newer one."""
        return self.progress.behind(version)

    # ---- sending ----

    def _drain_output(self) -> Out:
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
        """Sends within the budgets of the replica and of the session (`bucket`); otherwise drops the message.

        A chunk of a part (`bulk`) leaves `reserved_share` of the bursts to other messages.
        """
        if bulk and not self._allows(now, MAX_DATAGRAM, bulk, bucket):
            return False  # most chunks fill a datagram: check before the cost of encoding and sealing
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
        reserve = self.options.reserved_share if bulk else 0.0
        allowed = (
            (bucket is None or bucket.allows(now, size, int(reserve * bucket.burst)))
            and self.bytes.allows(now, size, int(reserve * self.bytes.burst))
            and self.datagrams.allows(now, 1, int(reserve * self.datagrams.burst))
        )
        if not allowed:
            self._drop("budget")
        return allowed

    def _send_to(self, now: int, session: Session, message: Message) -> bool:
        """Sends to a session within its budget."""
        return self._send(now, session.address, message, bucket=session.bucket)

    # ---- session setup ----

    def _on_hello(self, now: int, hello: wire.Hello, address: Address) -> None:
        if self._is_stale(hello):
            self._drop("old hello")
            return
        if self._repeat_welcome(now, hello, address):
            return
        same = hello.lineage == self.lineage
        position = unpack_position(hello.cursor) if same else NOTHING
        reason = self._refusal(now, hello, position)
        if reason is not None:
            self._send_wait(now, hello.session, address, self._retry_delay(reason), reason)
            return
        session = self._open(now, hello, address, position)
        session.scope = self.scopes.get(hello.scope_digest)
        if session.scope is None:
            self._welcome(now, session)
        else:
            self._admit(now, session)

    def _is_stale(self, hello: wire.Hello) -> bool:
        """Whether a newer HELLO of this name has already opened a session."""
        known = (self.by_name.get(hello.name), self.unconfirmed.get(hello.name))
        order = (hello.birth, hello.attempt)
        return any(s is not None and order < (s.birth, s.attempt) for s in known)

    def _repeat_welcome(self, now: int, hello: wire.Hello, address: Address) -> bool:
        """Answers a repeated HELLO: its answer was lost, or the network duplicated it."""
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
        if len(self.sessions) >= self.options.max_sessions and hello.name not in self.by_name:
            return WaitReason.FULL
        return WaitReason.FULL if not 0 < hello.scope_length <= LONGEST_SCOPE else None

    def _retry_delay(self, reason: WaitReason) -> int:
        return self.options.retry_when_full if reason is WaitReason.FULL else self.options.retry_when_unready

    def _send_wait(self, now: int, number: int, address: Address, wait: int, reason: WaitReason) -> None:
        message = wire.Wait(number, self.lineage, self.source.version, -(-wait // MS), reason)
        self._send(now, address, message)

    def _open(self, now: int, hello: wire.Hello, address: Address, position: Position) -> Session:
        previous = self.unconfirmed.get(hello.name)
        if previous is not None:
            self._close(now, previous)
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
        """Lets a session whose scope is known proceed, or tells it to wait for a slot."""
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

    # ---- established sessions ----

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
                self.progress.remove(session.name)
            self._close(now, session)
            return
        if session.scope is None or message.shown > self.source.version:
            self._drop("shown")
            return
        self._confirm(now, session)
        session.shown = max(session.shown, message.shown)
        self.progress.record(now, session.name, session.shown)
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
        previous = self.by_name.get(session.name)
        if previous is not None:
            holds_slot = session.name in self.queue.holders
            self._close(now, previous, release=not holds_slot)
        self.by_name[session.name] = session
        self._start_part(now, session)

    def _close(self, now: int, session: Session, release: bool = True) -> None:
        """Closes the session; leases that it was granted remain tracked until they expire."""
        self.sessions.pop(session.token, None)
        for table in (self.by_name, self.unconfirmed):
            if table.get(session.name) is session:
                del table[session.name]
        if release:
            self.queue.release(now, session.name)
        self.leases += session.grants.leases(now, session.name, session.shown)
        if len(self.leases) > MAX_RETAINED_LEASES:
            del self.leases[:-MAX_RETAINED_LEASES]
            self.fence_blocked_until = now + self._longest_lease()

    # ---- parts ----

    def start_parts(self, now: int) -> None:
        """Starts parts for all sessions, once per version of the store."""
        if self.offered_version == self.source.version:
            return
        self.offered_version = self.source.version
        for session in list(self.by_name.values()):
            self._start_part(now, session)

    def _start_part(self, now: int, session: Session) -> None:
        """Sends the part after the session's position, if there is one and none is in flight."""
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
        self.sending.append(session.token)
        self._send_chunks_of(now, session)

    def _on_ack(self, now: int, session: Session, ack: wire.Ack) -> None:
        sender, part = session.sender, session.part
        if sender is None or part is None or ack.transfer != sender.number:
            return
        sender.on_ack(ack.following, ack.ahead)
        if not sender.complete:
            self._send_chunks_of(now, session)
            return
        session.sender = session.part = None
        if part.after is not None:
            session.position = part.after
        else:
            session.position = shown_position(session.shown)
            self.queue.release(now, session.name)
        self._start_part(now, session)

    def _send_chunks(self, now: int) -> None:
        """Serves each session that has chunks to send once, starting where the last round ended."""
        for _ in range(len(self.sending)):
            token = self.sending.popleft()
            session = self.sessions.get(token)
            if session is None or session.sender is None:
                continue
            self.sending.append(token)
            self._send_chunks_of(now, session)

    def _send_chunks_of(self, now: int, session: Session) -> None:
        """Sends all due chunks of one session that the budgets allow."""
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

    def _longest_lease(self) -> int:
        """The longest time, on this replica's clock, for which a lease may be valid after its grant."""
        return int(self.options.lease * (1 + 2 * self.options.drift))

    def _grant(self, now: int, session: Session, renew: wire.Renew) -> None:
        age = self.age(now)
        stamp = self.source.version
        if age is not None:
            session.grants.add(now, stamp, now + self._longest_lease())
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
        """`shown` if nothing in the scope has changed since that version, otherwise the store's version."""
        stamp = self.source.version
        if session.scope is None or not shown or self.source.snapshot_needed(shown):
            return stamp
        changed = remaining(self.source, session.scope, shown_position(shown))
        return stamp if changed else shown

    def _scan_sessions(self, now: int) -> None:
        """Closes sessions that timed out, drops expired leases and advances the fence."""
        options = self.options
        for session in list(self.sessions.values()):
            limit = options.session_timeout if session.confirmed else options.unconfirmed_timeout
            if now - session.heard_at > limit:
                self._close(now, session)
        self.leases = [lease for lease in self.leases if lease.until > now]
        self._advance_fence(now)

    def _advance_fence(self, now: int) -> None:
        if now < self.fence_blocked_until:
            return
        shown_versions = [lease.shown for lease in self.leases]
        for session in self.sessions.values():
            shown_versions += [one.shown for one in session.grants.leases(now, session.name, session.shown)]
        self.fenced = max(self.fenced, min([self.source.version, *shown_versions]))

    # ---- audit requests from subscribers of other replicas ----

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

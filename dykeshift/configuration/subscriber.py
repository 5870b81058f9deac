"""A subscriber: keeps its scope of the configuration up to date through one replica at a time.

Theory of operation.

    IDLE --at `retry_at`--> GREETING --WELCOME--> SCOPING (the replica lacks the scope) --WELCOME--> SERVED
    GREETING, SCOPING --WAIT--> IDLE (retries the same replica after the stated time, with jitter)
    any --leave--> IDLE (another replica, at once or after a delay)

Received parts are staged (catch_up.py). When the last one has arrived, the version is applied as a whole,
if it matches the digest that the part carries; only then is its last chunk acknowledged. Every
`renew_interval` the subscriber requests a lease (lease.py).

It leaves a replica that does not answer, that makes no progress (neither a lease nor a part) for the length
of a lease, whose parts do not match their digest, that does not reach a version that another replica
reports, or that two others contradict at the shown version (audit.py). It keeps the shown state and its
lease; only state that was found to be wrong loses its lease at once and is fetched again from the
beginning.

Guarantees:
 1. The shown state is the scope at one version of the store, complete. The version never decreases, except
    on a change to another history, which needs that no lease is held.
 2. `lease_left` is 0 unless everything that was committed a lease ago is shown.
 3. What is acknowledged as shown is shown.
 4. Bytes per second never exceed the budget.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from dykeshift.configuration import wire
from dykeshift.configuration.admission import TokenBucket
from dykeshift.configuration.audit import MIN_VOTES, Auditor
from dykeshift.configuration.catch_up import Part, PartError, Staging, pack_position, unpack_part
from dykeshift.configuration.choice import Place, ReplicaChoice
from dykeshift.configuration.lease import SubscriberLease
from dykeshift.configuration.resources import Key, Resource
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.scope_codec import pack_scope, scope_digest
from dykeshift.configuration.state import DigestError, SubscriberState
from dykeshift.configuration.transfer import Receiver
from dykeshift.configuration.wire import ByeReason, Message, WaitReason
from dykeshift.view.table import Address
from dykeshift.view.wire import DatagramError, Seal

MS = 1_000_000
SECOND = 1_000_000_000

Out = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class SubscriberOptions:
    """Times in nanoseconds, the budget in bytes per second, the burst in bytes. `lease` and `drift` must
    equal those of the replicas."""

    lease: int = 5 * SECOND
    drift: float = 0.01
    renew_interval: int = SECOND  # between two lease requests
    renew_retry: int = 300 * MS  # after a lease request without an answer
    hello_retry: int = 400 * MS  # after the first HELLO without an answer; doubles with each further one
    max_hellos: int = 4  # sent to one replica before another is tried
    replica_timeout: int = 3 * SECOND  # without a datagram from the replica, after which it is left
    ack_delay: int = 60 * MS  # longest delay of an acknowledgement that waits for more chunks
    ack_chunks: int = 4  # chunks after which an acknowledgement is sent at once
    audit_interval: int = 10 * SECOND  # between two audits
    claim_timeout: int = 4 * SECOND  # to reach a version that another replica reported
    bytes: int = 1_000
    burst: int = 1_000
    max_staged: int = 24 << 20  # bytes
    start_window: int = 500 * MS  # the first HELLO is sent at a random time within it


class Phase(Enum):
    """State of the session with a replica."""

    IDLE = "idle"
    GREETING = "greeting"
    SCOPING = "scoping"
    SERVED = "served"


@dataclass(frozen=True, slots=True)
class Applied:
    """A version was applied. `changed`: the keys that it wrote; None where everything was replaced."""

    version: int
    changed: tuple[Key, ...] | None


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The lease began (`held`) or ended; without a lease the subscriber is degraded."""

    held: bool


@dataclass(frozen=True, slots=True)
class ReplicaLeft:
    """The subscriber left a replica; `reason` says why."""

    address: Address
    reason: str


Event = Applied | LeaseChanged | ReplicaLeft


class Subscriber:
    """Keeps one scope of the configuration up to date."""

    def __init__(
        self,
        options: SubscriberOptions,
        seal: Seal,
        name: str,
        birth: int,
        scope: Scope,
        replicas: Sequence[Place],
        region: str,
        rng: Random,
        state: SubscriberState | None = None,
    ) -> None:
        """`birth`: start of the process in Unix milliseconds. `state`: state retained from before a
        restart."""
        self.options, self.seal, self.name, self.birth, self.rng = options, seal, name, birth, rng
        self.scope, self.scope_bytes = scope, pack_scope(scope)
        self.scope_digest = scope_digest(self.scope_bytes)
        self.state = state if state is not None else SubscriberState(scope)
        self.staging = Staging(scope, self.state.version, options.max_staged)
        self.staged_lineage = self.state.lineage  # the history that the staged parts belong to
        self.lease = SubscriberLease(options.lease, options.drift)
        self.choice = ReplicaChoice(replicas, region, rng)
        self.auditor = Auditor(rng)
        self.bucket = TokenBucket(options.bytes, options.burst)
        self.events: list[Event] = []
        self.dropped: dict[str, int] = {}
        self.out: Out = []
        self.next_at = 0
        self.attempt = 0
        self.audit_at = 0
        self.lease_held = False  # whether a lease was held at the last LeaseChanged event
        self._reset_session()
        self.retry_at = 0

    def _reset_session(self) -> None:
        """Clears all state of the session; no replica is in use."""
        self.phase = Phase.IDLE
        self.address: Address | None = None
        self.return_to: Address | None = None  # the replica to retry after WAIT or GONE
        self.number = self.token = self.lineage = 0
        self.hellos_sent = 0
        self.send_at = 0  # when the next HELLO, SCOPE or RENEW is due
        self.heard_at = 0
        self.progress_at = 0  # the last renewed lease, received chunk in sequence, or applied part
        self.stamp = 0  # the newest version that this replica has reported
        self.scope_offset = 0
        self.receiver = Receiver()
        self.ack_at: int | None = None
        self.unacknowledged = 0  # chunks since the last acknowledgement

    # ---- what the host calls ----

    def start(self, now: int) -> Out:
        """Starts; the first HELLO is sent after a random delay, so that simultaneous starts are spread
        out."""
        self.retry_at = now + int(self.rng.random() * self.options.start_window)
        self.audit_at = now + self._jittered(self.options.audit_interval)
        return self.on_timer(now)

    def on_timer(self, now: int) -> Out:
        """Called by the host at `next_at` or later."""
        if self.phase is Phase.IDLE:
            if now >= self.retry_at:
                self._start_session(now)
        elif self._leave_if_needed(now) is None:
            self._send_due(now)
        self._audit_if_due(now)
        return self._finish_step(now)

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Handles one datagram that arrived on the port."""
        try:
            message = wire.decode(data, self.seal)
        except DatagramError as error:
            self._drop(str(error))
            return []
        if isinstance(message, wire.Audited):
            self._on_audited(now, message, address)
        elif address != self.address:
            self._drop("address")
        elif isinstance(message, wire.Welcome | wire.Wait):
            self._on_hello_reply(now, message)
        elif message.session != self.token or not self.token:
            self._drop("session")
        else:
            self._on_session(now, message)
        return self._finish_step(now)

    def end(self, now: int) -> Out:
        """The process ends: tells the replica not to wait for it, and drops the lease."""
        if self.token:
            self._send(now, wire.Bye(self.token, ByeReason.ENDING), self.address)
        self.lease.drop()
        return self._finish_step(now)

    def lease_left(self, now: int) -> int:
        """For how many nanoseconds the shown state may be acted on without restriction; 0: degraded."""
        return self.lease.left(now)

    def adopt(self, lineage: int, version: int, digest: int, resources: Iterable[Resource]) -> None:
        """Applies state that was obtained by other means than datagrams, before any replica has answered.

        Raises DigestError where the resources do not match the digest.
        """
        self.state.replace(lineage, version, digest, resources)
        self.staged_lineage = lineage
        self.staging.reset(version)

    def take_events(self) -> list[Event]:
        """Returns the events since the last call, in order."""
        events, self.events = self.events, []
        return events

    # ---- sending ----

    def _finish_step(self, now: int) -> Out:
        held = self.lease.left(now) > 0
        if held != self.lease_held:
            self.lease_held = held
            self.events.append(LeaseChanged(held))
        self.next_at = self._next_deadline(now)
        out, self.out = self.out, []
        return out

    def _next_deadline(self, now: int) -> int:
        times = [self.audit_at, self.retry_at if self.phase is Phase.IDLE else self.send_at]
        if self.phase is not Phase.IDLE:
            times.append(self.heard_at + self.options.replica_timeout)
        if self.ack_at is not None:
            times.append(self.ack_at)
        left = self.lease.left(now)
        if left:
            times.append(now + left)
        return max(now + MS, min(times))

    def _jittered(self, time: int) -> int:
        return int(time * self.rng.uniform(0.8, 1.2))

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _send(self, now: int, message: Message, address: Address | None) -> bool:
        """Sends within the budget; otherwise drops the message and returns False."""
        if address is None:
            return False
        data = wire.encode(message, self.seal)
        if not self.bucket.allows(now, len(data)):
            self._drop("budget")
            return False
        self.bucket.spend(len(data))
        self.out.append((data, address))
        return True

    @property
    def shown(self) -> int:
        """The shown version, if it belongs to the history of this session's replica; otherwise 0."""
        return self.state.version if self.state.lineage == self.lineage else 0

    # ---- session setup and end ----

    def _start_session(self, now: int) -> None:
        if self.return_to is not None:
            address = self.return_to
        else:
            address, when = self.choice.next(now)
            if when > now:
                self.retry_at = when
                return
        self._reset_session()
        self.phase, self.address = Phase.GREETING, address
        self.number = self.rng.getrandbits(64) or 1
        self.attempt += 1
        self.heard_at = self.progress_at = now
        self._send_hello(now)

    def _send_hello(self, now: int) -> None:
        message = wire.Hello(
            session=self.number,
            birth=self.birth,
            attempt=self.attempt,
            lineage=self.staged_lineage,
            shown=self.state.version if self.state.lineage == self.staged_lineage else 0,
            scope_digest=self.scope_digest,
            scope_length=len(self.scope_bytes),
            name=self.name,
            cursor=pack_position(self.staging.position),
        )
        self._send(now, message, self.address)
        self.send_at = now + self._jittered(self.options.hello_retry << self.hellos_sent)
        self.hellos_sent += 1

    def _leave_if_needed(self, now: int) -> ByeReason | None:
        """Leaves the replica if there is a reason, and returns it."""
        reason = self._reason_to_leave(now)
        if reason is not None:
            self._leave(now, reason)
        return reason

    def _reason_to_leave(self, now: int) -> ByeReason | None:
        options = self.options
        if self.phase is Phase.GREETING:
            over = self.hellos_sent >= options.max_hellos and now >= self.send_at
            return ByeReason.SILENT if over else None
        if now - self.heard_at >= options.replica_timeout:
            return ByeReason.SILENT
        if now - self.progress_at >= options.lease:
            return ByeReason.LAGGING
        claimed = self.auditor.claimed_version
        if claimed > max(self.stamp, self.state.version):
            return ByeReason.LAGGING if now - self.auditor.claimed_at >= options.claim_timeout else None
        return None

    def _leave(self, now: int, reason: ByeReason) -> None:
        """Switches to another replica; the shown state, the staged parts and the lease are kept."""
        address = self.address
        assert address is not None
        if self.token:
            self._send(now, wire.Bye(self.token, reason), address)
        self.events.append(ReplicaLeft(address, reason.name.lower()))
        if reason in (ByeReason.DIGEST, ByeReason.AUDIT):
            self.choice.sent_wrong_data(now, address)
        else:
            self.choice.failed(now, address)
        self._resolve_claim(now, address, reason)
        self._reset_session()
        self.retry_at = now + int(self.rng.random() * self.options.start_window)

    def _resolve_claim(self, now: int, address: Address, reason: ByeReason) -> None:
        """Tries the replica that claimed a newer version next; if it could not deliver it, its claim was
        false."""
        auditor = self.auditor
        if auditor.claimed_by is None or auditor.claimed_version <= self.state.version:
            auditor.clear_claim()
        elif auditor.claimed_by == address:
            if reason is ByeReason.LAGGING:
                self.choice.sent_wrong_data(now, address)
            auditor.clear_claim()
        elif reason is ByeReason.LAGGING:
            self.choice.prefer(auditor.claimed_by)
            auditor.claimed_at = now

    # ---- replies to HELLO ----

    def _on_hello_reply(self, now: int, message: wire.Welcome | wire.Wait) -> None:
        if message.session != self.number or self.phase not in (Phase.GREETING, Phase.SCOPING):
            self._drop("session")
            return
        self.heard_at = now
        if isinstance(message, wire.Wait):
            self._on_wait(now, message)
        elif self.state.lineage not in (0, message.lineage) and self.lease.left(now):
            self._leave(now, ByeReason.LAGGING)  # no change of history while a lease of this one is held
        else:
            self._on_welcome(now, message)

    def _on_wait(self, now: int, wait: wire.Wait) -> None:
        address = self.address
        assert address is not None
        if wait.reason is WaitReason.BUSY:
            self._reset_session()
            self.return_to = address
            self.retry_at = now + self._jittered(wait.retry_ms * MS)
            return
        self.choice.failed(now, address)
        if self.auditor.claimed_by == address:
            self.auditor.clear_claim()
        self.events.append(ReplicaLeft(address, wait.reason.name.lower()))
        self._reset_session()
        self.retry_at = now + int(self.rng.random() * self.options.start_window)

    def _on_welcome(self, now: int, welcome: wire.Welcome) -> None:
        self.lineage = welcome.lineage
        if self.staged_lineage != welcome.lineage:
            self.staged_lineage = welcome.lineage
            self.staging.reset(self.shown)
            if self.state.lineage != welcome.lineage:
                self.lease.drop()
        if self.auditor.claimed_by == self.address:
            self.auditor.claimed_at = now
        self.token = welcome.token
        self.stamp = max(self.stamp, welcome.version)
        self.scope_offset = welcome.scope_offset
        self.progress_at = now
        if welcome.scope_offset >= len(self.scope_bytes):
            self.phase = Phase.SERVED
        else:
            self.phase = Phase.SCOPING
        self._send_next(now)

    # ---- established session ----

    def _send_due(self, now: int) -> None:
        """Sends the acknowledgement and the request that are due."""
        if self.ack_at is not None and now >= self.ack_at:
            self._send_ack(now)
        if now >= self.send_at:
            if self.phase is Phase.GREETING:
                self._send_hello(now)
            else:
                self._send_next(now)

    def _send_next(self, now: int) -> None:
        if self.phase is Phase.SCOPING:
            chunk = self.scope_bytes[self.scope_offset : self.scope_offset + wire.SCOPE_CHUNK]
            self._send(now, wire.ScopePiece(self.token, self.scope_offset, chunk), self.address)
            self.send_at = now + self._jittered(self.options.hello_retry)
            return
        nonce = self.rng.getrandbits(32) or 1
        if self._send(now, wire.Renew(self.token, nonce, self.shown), self.address):
            self.lease.on_request(now, nonce)
        self.send_at = now + self._jittered(self.options.renew_retry)

    def _on_session(self, now: int, message: Message) -> None:
        self.heard_at = now
        if isinstance(message, wire.Grant):
            self._on_grant(now, message)
        elif isinstance(message, wire.Data):
            self._on_data(now, message)
        elif isinstance(message, wire.Gone):
            address = self.address
            self._reset_session()
            self.return_to = address
            self.retry_at = now + int(self.rng.random() * self.options.start_window)
        else:
            self._drop("kind")

    def _on_grant(self, now: int, grant: wire.Grant) -> None:
        if grant.nonce not in self.lease.requested_at:
            self._drop("nonce")
            return
        self.send_at = now + self._jittered(self.options.renew_interval)
        self.stamp = max(self.stamp, grant.stamp)
        if self.shown and grant.unchanged_since == self.shown < grant.stamp and not self.staging.resources:
            self._advance(now, grant.stamp)
        before = self.lease.fresh_at
        self.lease.on_grant(grant.nonce, grant.stamp, grant.age_ms, self.shown)
        if self.lease.fresh_at != before and self.address is not None:
            self.progress_at = now
            self.choice.served(self.address)

    def _advance(self, now: int, version: int) -> None:
        self.state.advance(version)
        self.staging.reset(version)
        self.lease.on_shown(version)
        self.events.append(Applied(version, ()))

    def _on_data(self, now: int, data: wire.Data) -> None:
        before = (self.receiver.number, self.receiver.following)
        if not self.receiver.on_chunk(data.transfer, data.number, data.total, data.chunk):
            return
        if (self.receiver.number, self.receiver.following) > before:
            self.progress_at = now
        self.unacknowledged += 1
        whole = self.receiver.whole
        if whole is not None:
            if not self._accept_part(now, whole):
                return
            self.receiver.finish()
        if whole is not None or self.receiver.finished or self.unacknowledged >= self.options.ack_chunks:
            self._send_ack(now)
        elif self.ack_at is None:
            self.ack_at = now + self.options.ack_delay

    def _send_ack(self, now: int) -> None:
        receiver = self.receiver
        message = wire.Ack(self.token, receiver.number, receiver.following, receiver.ahead_bits, self.shown)
        if self._send(now, message, self.address):
            self.unacknowledged, self.ack_at = 0, None
        else:
            self.ack_at = now + self.options.ack_delay

    def _accept_part(self, now: int, whole: bytes) -> bool:
        """Stages a complete part and applies the last one. Leaves the replica and returns False if it is
        invalid."""
        try:
            part = unpack_part(whole)
            if self.staging.take(part):
                self._apply_staged(now, part)
        except (PartError, DigestError):
            self.staging.reset(self.shown)
            self._leave(now, ByeReason.DIGEST)
            return False
        self.progress_at = now
        return True

    def _apply_staged(self, now: int, part: Part) -> None:
        """Applies all staged parts at once."""
        staged = self.staging
        if staged.position.fresh:
            if self.shown and part.target < self.shown:
                raise PartError("snapshot is older than the shown version")
            self.state.replace(self.lineage, part.target, part.digest, staged.resources.values())
            self.events.append(Applied(part.target, None))
        elif part.target >= self.shown:
            self.state.change(part.target, part.digest, staged.resources.values())
            self.events.append(Applied(part.target, tuple(staged.resources)))
        staged.reset(self.state.version)
        self.lease.on_shown(self.state.version)

    # ---- audits ----

    def _audit_if_due(self, now: int) -> None:
        if now < self.audit_at:
            return
        self.audit_at = now + self._jittered(self.options.audit_interval)
        if self.phase is Phase.SERVED:
            self._send_audit(now, self.choice.random_other(self.address))

    def _send_audit(self, now: int, address: Address | None) -> None:
        if address is None:
            return
        number, scope = self.auditor.start_query(now, address, self.auditor.draw_scope(self.scope))
        self._send(now, wire.Audit(number, scope), address)

    def _on_audited(self, now: int, answer: wire.Audited, address: Address) -> None:
        query = self.auditor.match_answer(answer, address)
        if query is None or self.phase is not Phase.SERVED or answer.lineage != self.lineage:
            self._drop("audit")
            return
        if answer.version > max(self.stamp, self.state.version):
            self.auditor.record_claim(now, answer.version, address)
        if answer.version != self.shown:
            return
        same = self.state.digest(query.scope) == answer.digest
        (self.auditor.agreeing if same else self.auditor.contradicting).add(address)
        self._count_votes(now, address)

    def _count_votes(self, now: int, asked: Address) -> None:
        """Decides by votes: `MIN_VOTES` contradicting replicas prove the shown state wrong, as many
        agreeing ones right.

        Until then, further replicas are asked.
        """
        auditor = self.auditor
        if not auditor.contradicting:
            auditor.reset_votes()
            return
        if len(auditor.contradicting) >= MIN_VOTES:
            auditor.reset_votes()
            self._discard_state(now)
        elif len(auditor.agreeing) >= MIN_VOTES:
            for other in auditor.contradicting:
                self.choice.sent_wrong_data(now, other)
            auditor.reset_votes()
        else:
            asked_already = auditor.agreeing | auditor.contradicting
            left = [a for a in self.choice.order if a != self.address and a not in asked_already]
            for address in left[:MIN_VOTES]:
                self._send_audit(now, address)

    def _discard_state(self, now: int) -> None:
        """The shown state differs from the store: drops the lease and fetches everything again from another
        replica."""
        self.lease.drop()
        self.staging.reset(0)
        self._leave(now, ByeReason.AUDIT)

"""A subscriber: it holds its scope of the configuration, by one replica at a time.

Theory of operation.

    IDLE --at `retry_at`--> GREETING --WELCOME--> SCOPING (the replica lacks the scope) --WELCOME--> SERVED
    GREETING, SCOPING --WAIT--> IDLE (comes back to the same replica when told, give or take its jitter)
    any --left--> IDLE (another replica, at once or after a time)

Parts that arrive are staged (catch_up.py); a last one is shown as a whole, if it adds up to the digest that
it carries; only then its last chunk is acknowledged. Each `renew` it asks for a lease (lease.py).

It leaves a replica that does not answer, that gives no lease for as long as one lasts while nothing arrives,
whose parts do not add up, that does not reach the version that another replica has, or that two others
contradict at the version shown (audit.py). It keeps what it shows and its lease; only what was found to be
false loses its lease at once, and is replaced from nothing.

Promises:
 1. What is shown is the scope of one version of the store, whole; it never goes back, but to another history
    and without a lease.
 2. `lease_left` is 0 unless all that was committed a lease ago is shown.
 3. What is acknowledged as shown is shown.
 4. Bytes a second never exceed the budget.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from dykeshift.configuration import wire
from dykeshift.configuration.admission import TokenBucket
from dykeshift.configuration.audit import VOTES, Auditor
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
from dykeshift.view.wire import Bad, Seal

MS = 1_000_000
SECOND = 1_000_000_000

Out = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class SubscriberOptions:
    """Times in nanoseconds; budgets in bytes a second, the burst in bytes at once. `lease`, `drift` as the
    replicas have them."""

    lease: int = 5 * SECOND
    drift: float = 0.01
    renew: int = SECOND  # between two questions for a lease
    renew_again: int = 300 * MS  # after one without an answer
    hello_again: int = 400 * MS  # after the first HELLO without an answer; doubles
    hellos: int = 4  # to one replica, before another is asked
    silence: int = 3 * SECOND  # of a replica, after which it is left
    ack_delay: int = 60 * MS  # for which an acknowledgement waits for more chunks
    ack_chunks: int = 4  # that one acknowledgement waits for at most
    audit: int = 10 * SECOND  # between two second opinions
    patience: int = 4 * SECOND  # within which a replica has to reach what another has
    bytes: int = 1_000
    burst: int = 1_000
    most_staged: int = 24 << 20  # bytes
    first_hello: int = 500 * MS  # within which the first HELLO goes, drawn


class Phase(Enum):
    """Where the subscriber stands with a replica."""

    IDLE = "idle"
    GREETING = "greeting"
    SCOPING = "scoping"
    SERVED = "served"


@dataclass(frozen=True, slots=True)
class Applied:
    """A version is shown. `changed`: the keys that it wrote; None: everything was replaced."""

    version: int
    changed: tuple[Key, ...] | None


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The lease began (`held`) or ended: the subscriber is degraded."""

    held: bool


@dataclass(frozen=True, slots=True)
class Left:
    """A replica was left, and why."""

    address: Address
    reason: str


Event = Applied | LeaseChanged | Left


class Subscriber:
    """Holds one scope of the configuration."""

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
        """`birth`: Unix milliseconds of the process's start. `state`: what an earlier life has left."""
        self.options, self.seal, self.name, self.birth, self.rng = options, seal, name, birth, rng
        self.scope, self.scope_bytes = scope, pack_scope(scope)
        self.scope_digest = scope_digest(self.scope_bytes)
        self.state = state if state is not None else SubscriberState(scope)
        self.staging = Staging(scope, self.state.version, options.most_staged)
        self.staged_lineage = self.state.lineage  # the history that what is staged belongs to
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
        self.held = False  # the lease, as was last told
        self._rest()
        self.retry_at = 0

    def _rest(self) -> None:
        """No replica."""
        self.phase = Phase.IDLE
        self.address: Address | None = None
        self.again: Address | None = None  # the replica that said when to come back
        self.number = self.token = self.lineage = 0
        self.hellos = 0
        self.send_at = 0  # the next HELLO or SCOPE or RENEW
        self.heard_at = 0
        self.progress_at = 0  # of a lease, or of a part
        self.stamp = 0  # the latest version that this replica said it has
        self.scope_offset = 0
        self.receiver = Receiver()
        self.ack_at: int | None = None
        self.unacknowledged = 0  # chunks since the last acknowledgement

    # ---- what the host calls ----

    def start(self, now: int) -> Out:
        """Begin; the first HELLO goes within a drawn time, so that those who start at once do not meet."""
        self.retry_at = now + int(self.rng.random() * self.options.first_hello)
        self.audit_at = now + self._jittered(self.options.audit)
        return self.on_timer(now)

    def on_timer(self, now: int) -> Out:
        """To be called at `next_at` or later."""
        if self.phase is Phase.IDLE:
            if now >= self.retry_at:
                self._greet(now)
        elif self._must_leave(now) is None:
            self._speak(now)
        self._audit(now)
        return self._done(now)

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Whatever arrived on the port."""
        try:
            message = wire.decode(data, self.seal)
        except Bad as error:
            self._drop(str(error))
            return []
        if isinstance(message, wire.Audited):
            self._on_audited(now, message, address)
        elif address != self.address:
            self._drop("address")
        elif isinstance(message, wire.Welcome | wire.Wait):
            self._on_greeted(now, message)
        elif message.session != self.token or not self.token:
            self._drop("session")
        else:
            self._on_session(now, message)
        return self._done(now)

    def end(self, now: int) -> Out:
        """The process ends: the replica need not wait for it."""
        if self.token:
            self._send(now, wire.Bye(self.token, ByeReason.ENDING), self.address)
        self.lease.drop()
        return self._done(now)

    def lease_left(self, now: int) -> int:
        """For how many nanoseconds what is shown may be acted on in full; 0: the subscriber is degraded."""
        return self.lease.left(now)

    def adopt(self, lineage: int, version: int, digest: int, resources: Iterable[Resource]) -> None:
        """Show what was handed over otherwise than by datagrams, before any replica has answered.

        DigestError where the resources do not add up.
        """
        self.state.replace(lineage, version, digest, resources)
        self.staged_lineage = lineage
        self.staging.reset(version)

    def take_events(self) -> list[Event]:
        """What has happened, in order, each once."""
        events, self.events = self.events, []
        return events

    # ---- sending ----

    def _done(self, now: int) -> Out:
        held = self.lease.left(now) > 0
        if held != self.held:
            self.held = held
            self.events.append(LeaseChanged(held))
        self.next_at = self._next(now)
        out, self.out = self.out, []
        return out

    def _next(self, now: int) -> int:
        times = [self.audit_at, self.retry_at if self.phase is Phase.IDLE else self.send_at]
        if self.phase is not Phase.IDLE:
            times.append(self.heard_at + self.options.silence)
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
        """Within the budget, or not at all."""
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
        """The version that is shown of the history of this session's replica; 0: of another one."""
        return self.state.version if self.state.lineage == self.lineage else 0

    # ---- beginning and leaving ----

    def _greet(self, now: int) -> None:
        if self.again is not None:
            address = self.again
        else:
            address, when = self.choice.next(now)
            if when > now:
                self.retry_at = when
                return
        self._rest()
        self.phase, self.address = Phase.GREETING, address
        self.number = self.rng.getrandbits(64) or 1
        self.attempt += 1
        self.heard_at = self.progress_at = now
        self._hello(now)

    def _hello(self, now: int) -> None:
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
        self.send_at = now + self._jittered(self.options.hello_again << self.hellos)
        self.hellos += 1

    def _must_leave(self, now: int) -> ByeReason | None:
        """Leave the replica where there is a reason, and say which."""
        reason = self._reason_to_leave(now)
        if reason is not None:
            self._leave(now, reason)
        return reason

    def _reason_to_leave(self, now: int) -> ByeReason | None:
        options = self.options
        if self.phase is Phase.GREETING:
            over = self.hellos >= options.hellos and now >= self.send_at
            return ByeReason.SILENT if over else None
        if now - self.heard_at >= options.silence:
            return ByeReason.SILENT
        if now - self.progress_at >= options.lease:
            return ByeReason.LAGGING
        claimed = self.auditor.claimed
        if claimed > max(self.stamp, self.state.version):
            return ByeReason.LAGGING if now - self.auditor.claimed_at >= options.patience else None
        return None

    def _leave(self, now: int, reason: ByeReason) -> None:
        """Go to another replica; what is shown, what is staged and the lease stay."""
        address = self.address
        assert address is not None
        if self.token:
            self._send(now, wire.Bye(self.token, reason), address)
        self.events.append(Left(address, reason.name.lower()))
        if reason in (ByeReason.DIGEST, ByeReason.AUDIT):
            self.choice.lied(now, address)
        else:
            self.choice.failed(now, address)
        self._settle_claim(now, address, reason)
        self._rest()
        self.retry_at = now + int(self.rng.random() * self.options.first_hello)

    def _settle_claim(self, now: int, address: Address, reason: ByeReason) -> None:
        """Whoever said that it has more is asked next; who could not show it has said what is not so."""
        auditor = self.auditor
        if auditor.claimed_by is None or auditor.claimed <= self.state.version:
            auditor.drop_claim()
        elif auditor.claimed_by == address:
            if reason is ByeReason.LAGGING:
                self.choice.lied(now, address)
            auditor.drop_claim()
        elif reason is ByeReason.LAGGING:
            self.choice.prefer(auditor.claimed_by)
            auditor.claimed_at = now

    # ---- what the replica says to a HELLO ----

    def _on_greeted(self, now: int, message: wire.Welcome | wire.Wait) -> None:
        if message.session != self.number or self.phase not in (Phase.GREETING, Phase.SCOPING):
            self._drop("session")
            return
        self.heard_at = now
        if isinstance(message, wire.Wait):
            self._on_wait(now, message)
        elif self.state.lineage not in (0, message.lineage) and self.lease.left(now):
            self._leave(now, ByeReason.LAGGING)  # no other history while this one's lease holds
        else:
            self._on_welcome(now, message)

    def _on_wait(self, now: int, wait: wire.Wait) -> None:
        address = self.address
        assert address is not None
        if wait.reason is WaitReason.BUSY:
            self._rest()
            self.again = address
            self.retry_at = now + self._jittered(wait.retry_ms * MS)
            return
        self.choice.failed(now, address)
        if self.auditor.claimed_by == address:
            self.auditor.drop_claim()
        self.events.append(Left(address, wait.reason.name.lower()))
        self._rest()
        self.retry_at = now + int(self.rng.random() * self.options.first_hello)

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
        self._speak_now(now)

    # ---- a session ----

    def _speak(self, now: int) -> None:
        """What is due."""
        if self.ack_at is not None and now >= self.ack_at:
            self._ack(now)
        if now >= self.send_at:
            if self.phase is Phase.GREETING:
                self._hello(now)
            else:
                self._speak_now(now)

    def _speak_now(self, now: int) -> None:
        if self.phase is Phase.SCOPING:
            chunk = self.scope_bytes[self.scope_offset : self.scope_offset + wire.SCOPE_CHUNK]
            self._send(now, wire.ScopePiece(self.token, self.scope_offset, chunk), self.address)
            self.send_at = now + self._jittered(self.options.hello_again)
            return
        nonce = self.rng.getrandbits(32) or 1
        if self._send(now, wire.Renew(self.token, nonce, self.shown), self.address):
            self.lease.ask(now, nonce)
        self.send_at = now + self._jittered(self.options.renew_again)

    def _on_session(self, now: int, message: Message) -> None:
        self.heard_at = now
        if isinstance(message, wire.Grant):
            self._on_grant(now, message)
        elif isinstance(message, wire.Data):
            self._on_data(now, message)
        elif isinstance(message, wire.Gone):
            address = self.address
            self._rest()
            self.again = address
            self.retry_at = now + int(self.rng.random() * self.options.first_hello)
        else:
            self._drop("kind")

    def _on_grant(self, now: int, grant: wire.Grant) -> None:
        if grant.nonce not in self.lease.asked:
            self._drop("nonce")
            return
        self.send_at = now + self._jittered(self.options.renew)
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
            if not self._take(now, whole):
                return
            self.receiver.finish()
        if whole is not None or self.receiver.finished or self.unacknowledged >= self.options.ack_chunks:
            self._ack(now)
        elif self.ack_at is None:
            self.ack_at = now + self.options.ack_delay

    def _ack(self, now: int) -> None:
        receiver = self.receiver
        message = wire.Ack(self.token, receiver.number, receiver.following, receiver.ahead_bits, self.shown)
        if self._send(now, message, self.address):
            self.unacknowledged, self.ack_at = 0, None
        else:
            self.ack_at = now + self.options.ack_delay

    def _take(self, now: int, whole: bytes) -> bool:
        """A whole part; whether it was taken. Who sent one that is not as it says is left."""
        try:
            part = unpack_part(whole)
            if self.staging.take(part):
                self._show(now, part)
        except (PartError, DigestError):
            self.staging.reset(self.shown)
            self._leave(now, ByeReason.DIGEST)
            return False
        self.progress_at = now
        return True

    def _show(self, now: int, part: Part) -> None:
        """All of it at once."""
        staged = self.staging
        if staged.position.fresh:
            if self.shown and part.target < self.shown:
                raise PartError("it is older than what is shown")
            self.state.replace(self.lineage, part.target, part.digest, staged.resources.values())
            self.events.append(Applied(part.target, None))
        elif part.target >= self.shown:
            self.state.change(part.target, part.digest, staged.resources.values())
            self.events.append(Applied(part.target, tuple(staged.resources)))
        staged.reset(self.state.version)
        self.lease.on_shown(self.state.version)

    # ---- second opinions ----

    def _audit(self, now: int) -> None:
        if now < self.audit_at:
            return
        self.audit_at = now + self._jittered(self.options.audit)
        if self.phase is Phase.SERVED:
            self._ask_other(now, self.choice.other(self.address))

    def _ask_other(self, now: int, address: Address | None) -> None:
        if address is None:
            return
        number, scope = self.auditor.ask(now, address, self.auditor.draw_scope(self.scope))
        self._send(now, wire.Audit(number, scope), address)

    def _on_audited(self, now: int, answer: wire.Audited, address: Address) -> None:
        question = self.auditor.take(answer, address)
        if question is None or self.phase is not Phase.SERVED or answer.lineage != self.lineage:
            self._drop("audit")
            return
        if answer.version > max(self.stamp, self.state.version):
            self.auditor.note_claim(now, answer.version, address)
        if answer.version != self.shown:
            return
        same = self.state.digest(question.scope) == answer.digest
        (self.auditor.agree if same else self.auditor.contradict).add(address)
        self._weigh(now, address)

    def _weigh(self, now: int, asked: Address) -> None:
        """Whether who contradicts is believed: two of them, or two who do not."""
        auditor = self.auditor
        if not auditor.contradict:
            auditor.settle()
            return
        if len(auditor.contradict) >= VOTES:
            auditor.settle()
            self._disbelieve(now)
        elif len(auditor.agree) >= VOTES:
            for liar in auditor.contradict:
                self.choice.lied(now, liar)
            auditor.settle()
        else:
            asked_already = auditor.agree | auditor.contradict
            left = [a for a in self.choice.order if a != self.address and a not in asked_already]
            for address in left[:VOTES]:
                self._ask_other(now, address)

    def _disbelieve(self, now: int) -> None:
        """What is shown is not what the store has: no lease on it, and all of it anew from another."""
        self.lease.drop()
        self.staging.reset(0)
        self._leave(now, ByeReason.AUDIT)

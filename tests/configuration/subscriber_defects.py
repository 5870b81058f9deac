"""Defects injected into subscribers and replicas, named by their effect. test_subscriber_defects lists the
tests and randomized runs that detect them."""

from __future__ import annotations

from typing import Any

from dykeshift.configuration import catch_up, control, transfer, wire
from dykeshift.configuration.admission import AdmissionQueue
from dykeshift.configuration.audit import Auditor
from dykeshift.configuration.catch_up import Part, Position, Staging
from dykeshift.configuration.lease import SubscriberLease
from dykeshift.configuration.replica import Replica
from dykeshift.configuration.resources import Resource
from dykeshift.configuration.sessions import Session
from dykeshift.configuration.state import SubscriberState
from dykeshift.configuration.subscriber import Applied, Subscriber
from tests.seeded import Defect, patched


def _shows_each_part(self: Subscriber, now: int, whole: bytes) -> bool:
    """Shows each part as if it were the complete version."""
    part = catch_up.unpack_part(whole)
    staged = self.staging
    last = staged.take(part)
    index = self.state.index
    for resource in part.resources:
        index.write(resource)
    if last:
        self.state.version, self.state.lineage = part.target, self.lineage
        staged.reset(part.target)
        self.lease.on_shown(part.target)
        self.events.append(Applied(part.target, None))
    self.progress_at = now
    return True


def _acknowledges_too_early(self: Subscriber, now: int, data: wire.Data) -> None:
    """Acknowledges the last chunk, and reports the version as shown, before the part is applied."""
    if data.number == data.total - 1 and self.receiver.whole is None and self.stamp:
        self._send(
            now, wire.Ack(self.token, data.transfer, data.total, 0, max(self.stamp, self.shown)), self.address
        )
    _on_data(self, now, data)


_on_data = Subscriber._on_data


def _complete_is_applied(self: transfer.Receiver) -> int:
    return self.total if self.finished else len(self.chunks)


def _no_digest(self: SubscriberState, version: int, digest: int, resources: Any) -> None:
    for resource in sorted(resources, key=lambda one: one.version):
        self.index.write(resource)
    self.version = version


def _skips_the_rest_of_a_version(resource: Resource, position: Position) -> bool:
    return resource.version > position.version


def _without_tombstones(source: Any, scope: Any, position: Position) -> list[Resource]:
    return [resource for resource in _remaining(source, scope, position) if resource.live]


_remaining = catch_up.remaining


def _ignores_the_floor(source: Any, position: Position) -> Position:
    """Resumes at a position whose tombstones the store has already compacted."""
    if position.version == 0:
        return Position(floor=source.version)
    if source.snapshot_needed(position.floor):
        return Position(source.version, position.version, position.key, position.fresh)
    return position


def _free_repetitions(self: Replica, now: int, session: Session) -> None:
    """Retransmitted chunks are not charged to the budgets."""
    sender = session.sender
    while sender is not None and (number := sender.due(now)) is not None:
        data = wire.Data(session.token, sender.number, number, len(sender.chunks), sender.chunks[number])
        if number in sender.sent:
            self.out.append((wire.encode(data, self.seal), session.address))
        elif not self._send(now, session.address, data, bulk=True, bucket=session.bucket):
            return
        sender.on_sent(now, number)


def _never_times_out(self: Replica, now: int) -> None:
    """Sessions stay open without any datagrams from the subscriber."""
    self.leases = [lease for lease in self.leases if lease.until > now]
    self._advance_fence(now)


def _accepts_stale_hello(self: Replica, hello: wire.Hello) -> bool:
    return False


def _confirmed_by_a_hello(self: Replica, now: int, session: Session) -> None:
    _admit(self, now, session)
    if session.token in self.sessions:
        self._confirm(now, session)


_admit = Replica._admit


_on_grant = SubscriberLease.on_grant


def _any_nonce(self: Subscriber, now: int, grant: wire.Grant) -> None:
    self.lease.requested_at.setdefault(grant.nonce, now)
    _subscriber_on_grant(self, now, grant)


_subscriber_on_grant = Subscriber._on_grant


def _counts_from_the_answer(self: Subscriber, now: int, grant: wire.Grant) -> None:
    if grant.nonce in self.lease.requested_at:
        self.lease.requested_at[grant.nonce] = now
    _subscriber_on_grant(self, now, grant)


def _counts_before_it_is_shown(
    self: SubscriberLease, nonce: int, stamp: int, age_ms: int, shown: int
) -> bool:
    return _on_grant(self, nonce, min(stamp, max(1, shown)), age_ms, shown)


def _always_fresh(core: Any, now: int) -> int | None:
    """Ignores the age of the store."""
    return 0


def _always_unchanged(self: Replica, session: Session, shown: int) -> int:
    return shown


def _ignores_earlier_leases(self: Replica, now: int) -> Any:
    out = _start(self, now)
    self.fence_blocked_until = now
    return out


_start = Replica.start


def _fences_own_version(self: Replica, now: int) -> None:
    self.fenced = max(self.fenced, self.source.version)


def _drops_leases(self: Replica, now: int, session: Session, release: bool = True) -> None:
    _close(self, now, session, release)
    self.leases.clear()


_close = Replica._close


def _no_jitter(self: Subscriber, time: int) -> int:
    return time


def _admits_all(self: AdmissionQueue, now: int, name: str) -> int:
    self.holders[name] = now
    return 0


def _ignores_contradiction(self: Subscriber, now: int) -> None:
    """Keeps showing state that other replicas contradict."""
    self.auditor.reset_votes()


def _ignores_claims(self: Any, now: int, version: int, address: Any) -> None:
    return


def _accepts_any_history(self: Subscriber, now: int, message: wire.Welcome | wire.Wait) -> None:
    held, self.lease.fresh_at = self.lease.fresh_at, None
    _on_greeted(self, now, message)
    self.lease.fresh_at = held


_on_greeted = Subscriber._on_hello_reply


def _acknowledged_ahead(self: transfer.Sender, following: int, ahead: int) -> None:
    """Never retransmits a last chunk that arrived out of order."""
    _on_ack(self, following, ahead)
    last = len(self.chunks) - 1
    if ahead >> max(0, last - following - 1) & 1 and last > following:
        self.sent.pop(last, None)


_on_ack = transfer.Sender.on_ack


def _accepts_any_part(self: Staging, part: Part) -> bool:
    """Accepts a part wherever it starts."""
    for resource in part.resources:
        self.resources[resource.key] = resource
    self.position = part.after if part.after is not None else part.start
    return part.after is None


def _discards_staged(self: Subscriber, now: int, reason: wire.ByeReason) -> None:
    """Discards the staged parts when their replica is left."""
    self.staging.reset(self.shown)
    _leave(self, now, reason)


_leave = Subscriber._leave


DEFECTS: dict[str, Defect] = {
    "an incomplete version is shown": patched(Subscriber, "_accept_part", _shows_each_part),
    "acknowledged before it is shown": patched(Subscriber, "_on_data", _acknowledges_too_early),
    "complete parts count as applied": patched(
        transfer.Receiver, "following", property(_complete_is_applied)
    ),
    "the digest is not checked": patched(SubscriberState, "change", _no_digest),
    "resumes after the rest of a version": patched(catch_up, "_comes_after", _skips_the_rest_of_a_version),
    "tombstones are not sent": patched(catch_up, "remaining", _without_tombstones),
    "resumes where tombstones are compacted": patched(catch_up, "start_of", _ignores_the_floor),
    "retransmissions are not charged": patched(Replica, "_send_chunks_of", _free_repetitions),
    "sessions never time out": patched(Replica, "_scan_sessions", _never_times_out),
    "a stale hello opens a session": patched(Replica, "_is_stale", _accepts_stale_hello),
    "a hello alone confirms a session": patched(Replica, "_admit", _confirmed_by_a_hello),
    "a grant counts without a request": patched(Subscriber, "_on_grant", _any_nonce),
    "a lease counts from the answer": patched(Subscriber, "_on_grant", _counts_from_the_answer),
    "a lease counts before its stamp is shown": patched(
        SubscriberLease, "on_grant", _counts_before_it_is_shown
    ),
    "a lagging replica renews leases": patched(control, "freshness_age", _always_fresh),
    "a change is reported as unchanged": patched(Replica, "_unchanged_since", _always_unchanged),
    "leases from before a restart are ignored": patched(Replica, "start", _ignores_earlier_leases),
    "the fence is the replica's own version": patched(Replica, "_advance_fence", _fences_own_version),
    "leases of an earlier session are ignored": patched(Replica, "_close", _drops_leases),
    "no jitter": patched(Subscriber, "_jittered", _no_jitter),
    "no admission": patched(AdmissionQueue, "request", _admits_all),
    "two contradicting replicas are ignored": patched(Subscriber, "_discard_state", _ignores_contradiction),
    "claims of other replicas are ignored": patched(Auditor, "record_claim", _ignores_claims),
    "the history changes under a lease": patched(Subscriber, "_on_hello_reply", _accepts_any_history),
    "a chunk received out of order is never retransmitted": patched(
        transfer.Sender, "on_ack", _acknowledged_ahead
    ),
    "a part is accepted wherever it starts": patched(Staging, "take", _accepts_any_part),
    "staged parts are discarded with their replica": patched(Subscriber, "_leave", _discards_staged),
}

"""One control machine's part in leading transactions: reports its fence, and proposes entries while it is
leader.

Theory of operation. Each machine reports its replica's fence to all others of the tier: at once when it has
advanced, and repeatedly while a transaction is in its joint phase, to make up for lost datagrams. The next
leader therefore knows the fences already. A leader that knows what is committed proposes the entries that
its coordinator returns, one at a time: the next one when the store has a newer version, or when the
proposal timed out. An entry that is committed twice, also by two leaders, has no effect the second time
(store.py).

Guarantees:
 1. At most one proposal of this machine is in flight, based on the store's present version.
 2. At most one FENCE is sent to each machine per `FENCE_INTERVAL`.
"""

from __future__ import annotations

from dykeshift.agree.core import Agree
from dykeshift.configuration import wire
from dykeshift.configuration.coordinator import Coordinator, CoordinatorOptions, FenceReport
from dykeshift.configuration.replica import Out, Replica
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import Phase, Transaction, encode_entry
from dykeshift.configuration.validation import Objection
from dykeshift.view.wire import DatagramError, Seal

MS = 1_000_000
FENCE_INTERVAL = 200 * MS  # between two FENCE datagrams, and between two steps while a transaction is open
FENCE_REPEAT = 600 * MS  # after which a FENCE is repeated while a transaction is in its joint phase
IDLE_INTERVAL = 1_000 * MS  # between two steps otherwise
PROPOSAL_TIMEOUT = 2_000 * MS  # after which an unanswered proposal may be repeated


class Coordination:
    """Connects the coordinator to the consensus core and the replica of one control machine."""

    def __init__(
        self,
        core: Agree,
        store: ConfigStore,
        replica: Replica,
        seal: Seal,
        options: CoordinatorOptions,
    ) -> None:
        """All members that the consensus core knows form the tier."""
        self.core, self.store, self.replica, self.seal = core, store, replica, seal
        self.coordinator = Coordinator(options, store, frozenset(core.shared.places))
        self.next_at = 0
        self.reported_fence = 0  # the fence that was reported last
        self.report_not_before = 0  # the next FENCE is not sent before this time
        self.repeat_report_at = 0
        self.proposed_on = -1  # the version that the last proposal was based on
        self.proposal_deadline = 0

    @property
    def is_leader(self) -> bool:
        """Whether this machine is the leader and knows what is committed."""
        return self.core.voter.settled()

    def submit(self, transaction: Transaction) -> Objection | None:
        """Queues a transaction to be led through its phases; returns the objection if it is refused."""
        return self.coordinator.submit(transaction)

    def on_datagram(self, data: bytes) -> Out:
        """Handles a FENCE datagram of another machine."""
        try:
            message = wire.decode(data, self.seal)
        except DatagramError:
            return []
        if isinstance(message, wire.Fence):
            self.coordinator.on_fence(FenceReport(message.session, message.lineage, message.fenced))
        return []

    def step(self, now: int) -> Out:
        """Called after every step of this machine; returns the datagrams to send."""
        coordinator = self.coordinator
        coordinator.enter(self.replica.lineage)
        own = FenceReport(self.core.shared.number, self.replica.lineage, self.replica.fenced)
        coordinator.on_fence(own)
        coordinator.look(now)
        out = self._report_fence(now)
        if self.is_leader:
            out += self._propose(now)
        busy = bool(self.store.pending or coordinator.queue.waiting)
        self.next_at = now + (FENCE_INTERVAL if busy else IDLE_INTERVAL)
        return out

    def _report_fence(self, now: int) -> Out:
        fenced = self.replica.fenced
        joint = any(pending.phase is Phase.JOINT for pending in self.store.pending.values())
        due = fenced != self.reported_fence or (joint and now >= self.repeat_report_at)
        if not due or now < self.report_not_before or not self.replica.lineage:
            return []
        self.reported_fence, self.report_not_before, self.repeat_report_at = (
            fenced,
            now + FENCE_INTERVAL,
            now + FENCE_REPEAT,
        )
        number = self.core.shared.number
        data = wire.encode(wire.Fence(number, self.replica.lineage, fenced), self.seal)
        return [(data, address) for other, address in self.core.shared.places.items() if other != number]

    def _propose(self, now: int) -> Out:
        version = self.store.version
        if version == self.proposed_on and now < self.proposal_deadline:
            return []
        entry = self.coordinator.next(now)
        if entry is None:
            return []
        self.proposed_on, self.proposal_deadline = version, now + PROPOSAL_TIMEOUT
        _, out = self.core.propose(now, encode_entry(entry), version, PROPOSAL_TIMEOUT)
        return out

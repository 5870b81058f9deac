"""One control machine's part in leading transactions: its fence to the others, and proposals while it leads.

Theory of operation. Each machine tells all others of the tier its replica's fence: at once when it has gone
up, and again while a transaction is in its joint phase, so that a lost datagram is made up for. So whoever
leads next knows the fences already. Who leads, and knows what is committed, proposes what its coordinator
says, one entry at a time: the next one when the store has a later version, or when there was no answer for a
while. A proposal that is committed twice, or by two leaders, changes nothing the second time (store.py).

Promises:
 1. At most one proposal of this machine is under way, on the version that the store has.
 2. At most one FENCE goes to each machine in `PACE`.
"""

from __future__ import annotations

from dykeshift.agree.core import Agree
from dykeshift.configuration import wire
from dykeshift.configuration.coordinator import Coordinator, CoordinatorOptions, FenceReport
from dykeshift.configuration.replica import Out, Replica
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import Phase, Transaction, encode_entry
from dykeshift.configuration.validation import Objection
from dykeshift.view.wire import Bad, Seal

MS = 1_000_000
PACE = 200 * MS  # between two FENCE datagrams, and two looks while something is under way
REPEAT = 600 * MS  # until a FENCE goes out again while a transaction is in its joint phase
REST = 1_000 * MS  # between two looks otherwise
ANSWER = 2_000 * MS  # that a proposal may take


class Coordination:
    """Beside the consensus core and the replica of one control machine."""

    def __init__(
        self,
        core: Agree,
        store: ConfigStore,
        replica: Replica,
        seal: Seal,
        options: CoordinatorOptions,
    ) -> None:
        """All places that the core knows are the tier."""
        self.core, self.store, self.replica, self.seal = core, store, replica, seal
        self.coordinator = Coordinator(options, store, frozenset(core.shared.places))
        self.next_at = 0
        self.told = 0  # the fence that was told last
        self.tell_at = 0  # not before
        self.tell_again_at = 0
        self.proposed = -1  # the version that the last proposal builds on
        self.answer_by = 0

    @property
    def leads(self) -> bool:
        """Whether this machine leads, and knows what is committed."""
        return self.core.voter.settled()

    def submit(self, transaction: Transaction) -> Objection | None:
        """To be led through its phases, if this machine leads; the objection where it is not taken."""
        return self.coordinator.submit(transaction)

    def on_datagram(self, data: bytes) -> Out:
        """A FENCE of another machine."""
        try:
            message = wire.decode(data, self.seal)
        except Bad:
            return []
        if isinstance(message, wire.Fence):
            self.coordinator.on_fence(FenceReport(message.session, message.lineage, message.fenced))
        return []

    def step(self, now: int) -> Out:
        """After whatever has happened at this machine."""
        coordinator = self.coordinator
        coordinator.enter(self.replica.lineage)
        own = FenceReport(self.core.shared.number, self.replica.lineage, self.replica.fenced)
        coordinator.on_fence(own)
        coordinator.look(now)
        out = self._tell(now)
        if self.leads:
            out += self._propose(now)
        busy = bool(self.store.pending or coordinator.queue.waiting)
        self.next_at = now + (PACE if busy else REST)
        return out

    def _tell(self, now: int) -> Out:
        fenced = self.replica.fenced
        joint = any(pending.phase is Phase.JOINT for pending in self.store.pending.values())
        due = fenced != self.told or (joint and now >= self.tell_again_at)
        if not due or now < self.tell_at or not self.replica.lineage:
            return []
        self.told, self.tell_at, self.tell_again_at = fenced, now + PACE, now + REPEAT
        number = self.core.shared.number
        data = wire.encode(wire.Fence(number, self.replica.lineage, fenced), self.seal)
        return [(data, address) for other, address in self.core.shared.places.items() if other != number]

    def _propose(self, now: int) -> Out:
        version = self.store.version
        if version == self.proposed and now < self.answer_by:
            return []
        entry = self.coordinator.next(now)
        if entry is None:
            return []
        self.proposed, self.answer_by = version, now + ANSWER
        _, out = self.core.propose(now, encode_entry(entry), version, ANSWER)
        return out

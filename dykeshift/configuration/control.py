"""One control machine: the consensus core with the store as its state machine, and the replica that serves
it.

Sans-I/O like its parts: takes the time and datagrams, returns datagrams. The kind of a datagram decides
whether it goes to the consensus core, the coordination or the replica. The replica is notified at once when
the store has a newer version.
"""

from __future__ import annotations

from random import Random

from dykeshift.agree.core import Agree
from dykeshift.agree.wire import is_ours as is_consensus
from dykeshift.configuration.coordination import Coordination
from dykeshift.configuration.coordinator import CoordinatorOptions
from dykeshift.configuration.replica import Out, Replica, ReplicaOptions
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.wire import is_fence
from dykeshift.view.table import Address
from dykeshift.view.wire import Seal


def freshness_age(core: Agree, now: int) -> int | None:
    """How many nanoseconds ago this process's store held everything committed; None where that is unknown."""
    if not core.spread.lease_left(now) or core.spread.fresh_at is None:
        return None
    return max(0, now - core.spread.fresh_at)


class ControlMachine:
    """The consensus core, replica and coordination of one dedicated control machine."""

    def __init__(
        self,
        core: Agree,
        store: ConfigStore,
        options: ReplicaOptions,
        seal: Seal,
        rng: Random,
        coordinator: CoordinatorOptions | None = None,
    ) -> None:
        """`store` is the state machine of `core`. `coordinator`: options for leading transactions; None
        where they are led elsewhere."""
        self.core, self.store = core, store
        self.replica = Replica(options, seal, store, lambda now: freshness_age(core, now), rng, 0)
        self.coordination: Coordination | None = None
        if coordinator is not None:
            self.coordination = Coordination(core, store, self.replica, seal, coordinator)
        self.reported_version = store.version
        self.next_at = 0

    def start(self, now: int) -> Out:
        """Starts the cores."""
        self._update_lineage(now)
        out = self.core.start(now) + self.replica.start(now)
        return self._finish_step(now, out)

    def on_timer(self, now: int) -> Out:
        """Called by the host at `next_at` or later."""
        out: Out = []
        if now >= self.core.next_at:
            out += self.core.on_timer(now)
        if now >= self.replica.next_at:
            out += self.replica.on_timer(now)
        return self._finish_step(now, out)

    def on_datagram(self, now: int, data: bytes, address: Address) -> Out:
        """Dispatches one datagram that arrived on the port."""
        if is_consensus(data):
            out = self.core.on_datagram(now, data, address)
        elif is_fence(data):
            out = self.coordination.on_datagram(data) if self.coordination is not None else []
        else:
            out = self.replica.on_datagram(now, data, address)
        return self._finish_step(now, out)

    def after(self, now: int, out: Out) -> Out:
        """Called after the host called the consensus core directly, such as for a proposal; `out`: what it
        returned."""
        return self._finish_step(now, out)

    def _update_lineage(self, now: int) -> None:
        history, epoch, founder = self.core.shared.epoch
        self.replica.set_lineage(now, history << 32 | (epoch & 0xFFFF) << 16 | founder & 0xFFFF)

    def _finish_step(self, now: int, out: Out) -> Out:
        self._update_lineage(now)
        if self.store.version != self.reported_version:
            self.reported_version = self.store.version
            out = out + self.replica.on_change(now)
        self.next_at = min(self.core.next_at, self.replica.next_at)
        if self.coordination is not None:
            out = out + self.coordination.step(now)
            self.next_at = min(self.next_at, self.coordination.next_at)
        return out

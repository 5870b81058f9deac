"""A queue of transactions to propose, which keeps the order among those that conflict with each other.

Theory of operation. The proposer adds transactions and asks for the next one to propose. A transaction that
conflicts with a pending one (`Cause.CONFLICT`), or with an earlier blocked one of this queue, is blocked;
others may overtake it. One with any other objection is refused and removed. A transaction stays queued until
the store has decided it, so asking twice returns the same one.

Invariants:
 1. Of two conflicting transactions the later one is never returned before the earlier one has been decided.
 2. A transaction that conflicts with no queued or pending one is never blocked.
 3. At most `MAX_QUEUED` transactions are queued.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.configuration.references import references
from dykeshift.configuration.resources import BodyError, Key, decode_body
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import Transaction
from dykeshift.configuration.validation import Cause, Objection, RunningServers

MAX_QUEUED = 256


@dataclass(frozen=True, slots=True)
class Waiting:
    """A queued transaction, the keys that it writes, and all keys that it writes, expects or references."""

    transaction: Transaction
    written: frozenset[Key]
    touched: frozenset[Key]

    def touches(self, other: Waiting) -> bool:
        """Whether two transactions conflict: one writes a key that the other one touches."""
        return bool(self.written & other.touched or other.written & self.touched)


@dataclass(slots=True)
class TransactionQueue:
    """Queued transactions, oldest first; `refused`: objections to removed ones, the last `MAX_QUEUED`."""

    waiting: dict[int, Waiting] = field(default_factory=dict)  # by ident
    refused: dict[int, Objection] = field(default_factory=dict)

    def add(self, transaction: Transaction) -> Objection | None:
        """Add a transaction; returns an objection if the queue is full. Adding it again has no effect."""
        if transaction.ident in self.waiting:
            return None
        if len(self.waiting) >= MAX_QUEUED:
            return Objection(Cause.LIMIT, f"{MAX_QUEUED} transactions wait already")
        self.waiting[transaction.ident] = _queued(transaction)
        return None

    def next(self, store: ConfigStore, running: RunningServers | None = None) -> Transaction | None:
        """The first transaction that can be proposed now. Decided and refused ones are removed."""
        blocked = list[Waiting]()
        for ident, one in list(self.waiting.items()):
            if store.decided(ident):
                del self.waiting[ident]
                continue
            if any(one.touches(earlier) for earlier in blocked):
                blocked.append(one)
                continue
            objection = store.objection(one.transaction, running)
            if objection is None:
                return one.transaction
            if objection.cause is Cause.CONFLICT:
                blocked.append(one)
            else:
                del self.waiting[ident]
                self.refused[ident] = objection
                while len(self.refused) > MAX_QUEUED:
                    del self.refused[next(iter(self.refused))]
        return None


def _queued(transaction: Transaction) -> Waiting:
    written = frozenset(transaction.written_keys())
    touched = set(written) | set(transaction.expected)
    for put in transaction.puts:
        try:
            touched.update(references(decode_body(put.key.kind, put.body)))
        except BodyError:
            continue  # reported by validation when its turn comes
    return Waiting(transaction, written, frozenset(touched))

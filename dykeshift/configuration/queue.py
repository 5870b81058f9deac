"""Transactions that wait to be proposed: those that touch each other in the order in which they came.

Theory of operation. Whoever proposes adds transactions and asks for the next one that may go. One that
touches a transaction under way (`Cause.CONFLICT`), or an earlier one of this queue that waits itself, waits;
all others pass it. One with any other objection is refused and leaves. A transaction stays until the store
has decided it, so asking twice gives the same one.

Promises:
 1. Of two that touch each other the later one is never given before the earlier one has been decided.
 2. What touches nothing that waits or is under way never waits.
 3. At most `MOST_WAITING` wait.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.configuration.references import references
from dykeshift.configuration.resources import BodyError, Key, decode_body
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import Transaction
from dykeshift.configuration.validation import Cause, Objection, Running

MOST_WAITING = 256


@dataclass(frozen=True, slots=True)
class Waiting:
    """A transaction, the keys that it writes and all that it touches."""

    transaction: Transaction
    written: frozenset[Key]
    touched: frozenset[Key]

    def touches(self, other: Waiting) -> bool:
        """Whether one of them writes what the other one touches."""
        return bool(self.written & other.touched or other.written & self.touched)


@dataclass(slots=True)
class TransactionQueue:
    """Waiting transactions, oldest first; `refused`: those that left with an objection, until taken."""

    waiting: dict[int, Waiting] = field(default_factory=dict)  # by ident
    refused: dict[int, Objection] = field(default_factory=dict)

    def add(self, transaction: Transaction) -> Objection | None:
        """Why it is not taken; None where it is, or was already."""
        if transaction.ident in self.waiting:
            return None
        if len(self.waiting) >= MOST_WAITING:
            return Objection(Cause.LIMIT, f"{MOST_WAITING} transactions wait already")
        self.waiting[transaction.ident] = _waiting(transaction)
        return None

    def next(self, store: ConfigStore, running: Running | None = None) -> Transaction | None:
        """The first that may be proposed now. Those that were decided, or are refused, leave."""
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
                while len(self.refused) > MOST_WAITING:
                    del self.refused[next(iter(self.refused))]
        return None


def _waiting(transaction: Transaction) -> Waiting:
    written = frozenset(transaction.written_keys())
    touched = set(written) | set(transaction.expected)
    for put in transaction.puts:
        try:
            touched.update(references(decode_body(put.key.kind, put.body)))
        except BodyError:
            continue  # the store says so when its turn comes
    return Waiting(transaction, written, frozenset(touched))

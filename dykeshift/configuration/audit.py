"""Audits: cross-checks a subscriber's state with other replicas.

Every few seconds one other replica is asked for its version and its digest of a few services. If it reports
a newer version, the subscriber's own replica has to reach that within a time limit. If it reports another
digest at the shown version, two more replicas are asked, and the majority decides which side is wrong.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from dykeshift.configuration.scope import Scope
from dykeshift.configuration.scope_codec import pack_scope
from dykeshift.configuration.wire import AUDIT_SCOPE, Audited
from dykeshift.view.table import Address

MAX_OPEN_QUERIES = 8
MAX_SERVICES = 8  # in one query
MIN_VOTES = 2  # replicas that have to agree against another one


@dataclass(frozen=True, slots=True)
class AuditQuery:
    """An open query: which replica was asked about which scope."""

    address: Address
    scope: Scope
    asked_at: int


@dataclass(slots=True)
class Auditor:
    """Open queries, the votes of the answers, and the newest version claimed by another replica."""

    rng: Random
    queries: dict[int, AuditQuery] = field(default_factory=dict)
    agreeing: set[Address] = field(default_factory=set)  # votes since the last decision
    contradicting: set[Address] = field(default_factory=set)
    claimed_version: int = 0  # the newest version that another replica reported
    claimed_by: Address | None = None
    claimed_at: int = 0

    def draw_scope(self, scope: Scope) -> Scope:
        """A random choice of the scope's services, few enough to fit into one query."""
        if scope.whole:
            return scope
        names = sorted(scope.services)
        drawn = self.rng.sample(names, min(MAX_SERVICES, len(names)))
        while drawn and len(pack_scope(Scope(frozenset(drawn)))) > AUDIT_SCOPE:
            drawn.pop()
        return Scope(frozenset(drawn))

    def start_query(self, now: int, address: Address, scope: Scope) -> tuple[int, bytes]:
        """Opens a query; returns its number and the encoded scope."""
        number = self.rng.getrandbits(64) or 1
        self.queries[number] = AuditQuery(address, scope, now)
        while len(self.queries) > MAX_OPEN_QUERIES:
            del self.queries[next(iter(self.queries))]
        return number, pack_scope(scope)

    def match_answer(self, answer: Audited, address: Address) -> AuditQuery | None:
        """Returns and closes the query that the answer belongs to, or None."""
        query = self.queries.get(answer.session)
        if query is None or query.address != address:
            return None
        del self.queries[answer.session]
        return query

    def record_claim(self, now: int, version: int, address: Address) -> None:
        """Records that another replica reported this version, if it is the newest so far."""
        if version > self.claimed_version:
            self.claimed_version, self.claimed_by, self.claimed_at = version, address, now

    def clear_claim(self) -> None:
        """Forgets the claimed version: the serving replica need not reach it any more."""
        self.claimed_version, self.claimed_by, self.claimed_at = 0, None, 0

    def reset_votes(self) -> None:
        """Discards the votes and the open queries after a decision."""
        self.agreeing.clear()
        self.contradicting.clear()
        self.queries.clear()

"""One balancer's allocation of each limit, with units lent and borrowed between pairs by leases.

A limit is a number of units that all balancers together may use. Each balancer has an allocation of it,
set from outside by `on_allocation`; the allocations add up to the limit at most. A balancer that needs
more than it has asks others, and one that has more than it needs lends. The lender lowers its own part before
the borrower raises its own: lent units are unavailable to the lender from the moment of the grant, whether or
not the grant arrives. For the borrower a loan ends `lease` after its *request* (less drift), for the lender
`lease` after its *grant* (plus drift), each by its own clock. So the borrower's end always lies before the
lender's, without a message between them and however late messages are.

Invariants, for the allocations that are set:
 1. The units that all balancers may use together (`usable`) are at most the sum of the allocations.
 2. A loan counts once, however often its grant arrives, and never after its end.
 3. After a start without state a balancer does not lend, and uses its floor only, until all loans of its
    earlier incarnation have ended. The floor (a part of the allocation) is never lent, so no balancer with
    clients is left without units.
 4. After an allocation is lowered, loans beyond it end within `settle`. Whoever sets the allocations must
    wait that long before raising another one in return.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from dykeshift.shares.wire import Ask, Grant, Message, Return

SECOND = 1_000_000_000
PEERS_ASKED = 3  # balancers asked at once for one limit
MAX_OPEN_REQUESTS = 256  # unanswered requests that are kept


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Parameters of the leases: times in nanoseconds, fractions of an allocation or a need."""

    lease: int = 5 * SECOND
    drift: float = 0.01
    floor: float = 0.1  # fraction of the allocation that is never lent
    headroom: float = 0.25  # fraction of the own need that is kept in addition
    renew_after: float = 0.5  # fraction of the lease after which a loan that is still needed is renewed

    @property
    def borrower_term(self) -> int:
        """How long a loan lasts for the borrower, by its clock."""
        return int(self.lease * (1 - 2 * self.drift))

    @property
    def settle(self) -> int:
        """How long until the units are available to the lender again, by its clock."""
        return int(self.lease * (1 + 2 * self.drift))


@dataclass(slots=True)
class Loan:
    """Units of a limit that are lent until `expires_at` (nanoseconds)."""

    limit: int
    peer: int  # number of the other balancer
    amount: int
    expires_at: int
    requested_at: int = 0  # at the borrower: time of the last request


@dataclass(slots=True)
class Holding:
    """This balancer's part of one limit: its allocation, its need, and the units lent and borrowed."""

    allocation: int = 0
    need: int = 0  # units that the host would use now
    lent: int = 0
    borrowed: int = 0


@dataclass
class LeaseAllocator:
    """The lender and borrower of one balancer, for all limits. Times are monotonic nanoseconds."""

    terms: LeaseTerms
    number: int
    rng: Random
    holdings: dict[int, Holding] = field(default_factory=dict)
    lent: dict[tuple[int, int], Loan] = field(default_factory=dict)  # by the borrower's birth and token
    borrowed: dict[int, Loan] = field(default_factory=dict)  # by token
    # By request id: token and requested loan.
    open_requests: dict[int, tuple[int, Loan]] = field(default_factory=dict)
    # Heap: time, whether lent, birth, token.
    expirations: list[tuple[int, bool, int, int]] = field(default_factory=list)
    lending_from: int = 0

    def __post_init__(self) -> None:
        self.birth = self.rng.getrandbits(32) or 1

    def start(self, now: int) -> None:
        """Start; nothing is lent until the loans of an earlier incarnation have ended."""
        self.lending_from = now + self.terms.settle

    # ---- calls of the host ----

    def on_allocation(self, now: int, limit: int, units: int) -> None:
        """Set this balancer's allocation of a limit."""
        self.holdings.setdefault(limit, Holding()).allocation = units

    def on_need(self, limit: int, units: int) -> None:
        """Set how many units of a limit are needed here."""
        if limit in self.holdings:
            self.holdings[limit].need = units

    def usable(self, now: int, limit: int) -> int:
        """Units that this balancer may use now."""
        self._expire(now)
        holding = self.holdings.get(limit)
        if holding is None:
            return 0
        own = holding.allocation - holding.lent if now >= self.lending_from else self._floor(holding)
        return max(0, own) + holding.borrowed

    def _floor(self, holding: Holding) -> int:
        return int(holding.allocation * self.terms.floor)

    # ---- time ----

    def on_tick(self, now: int, alive: Iterable[int]) -> list[tuple[Message, int]]:
        """Request missing units, renew loans that run out, and return units that are not needed."""
        self._expire(now)
        others = sorted(set(alive) - {self.number})
        out = list[tuple[Message, int]]()
        for limit, holding in self.holdings.items():
            missing = holding.need - self.usable(now, limit)
            if missing > 0 and others:
                out += self._ask(now, limit, missing, others)
            elif holding.borrowed and -missing > self.terms.headroom * holding.need:
                out += self._give_back(now, limit, -missing - int(self.terms.headroom * holding.need))
        return out + self._renew(now)

    def _ask(self, now: int, limit: int, missing: int, others: list[int]) -> list[tuple[Message, int]]:
        lenders = {loan.peer for loan in self.borrowed.values() if loan.limit == limit}
        # A current lender has lent what it could.
        candidates = [n for n in others if n not in lenders] or others
        chosen = self.rng.sample(candidates, min(PEERS_ASKED, len(candidates)))
        each = -(-missing // len(chosen))
        out = list[tuple[Message, int]]()
        for peer in chosen:
            token = self.rng.getrandbits(32) or 1
            out.append((self._request(now, token, limit, peer, each), peer))
        return out

    def _request(self, now: int, token: int, limit: int, peer: int, amount: int) -> Ask:
        request_id = self.rng.getrandbits(32) or 1
        self.open_requests[request_id] = token, Loan(limit, peer, amount, 0, now)
        if len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        return Ask(self.number, self.birth, token, request_id, limit, amount)

    def _renew(self, now: int) -> list[tuple[Message, int]]:
        out = list[tuple[Message, int]]()
        for token, loan in self.borrowed.items():
            holding = self.holdings[loan.limit]
            needed = holding.need > max(0, holding.allocation - holding.lent)
            if needed and now - loan.requested_at >= self.terms.renew_after * self.terms.lease:
                loan.requested_at = now
                out.append((self._request(now, token, loan.limit, loan.peer, loan.amount), loan.peer))
        return out

    def _give_back(self, now: int, limit: int, excess: int) -> list[tuple[Message, int]]:
        """Return whole loans only; they count as unused here before the message is sent."""
        out = list[tuple[Message, int]]()
        for token, loan in list(self.borrowed.items()):
            if loan.limit == limit and loan.amount <= excess:
                excess -= loan.amount
                self._drop(token)
                self.open_requests = {
                    request_id: request
                    for request_id, request in self.open_requests.items()
                    if request[0] != token
                }
                out.append((Return(self.number, self.birth, token), loan.peer))
        return out

    def _expire(self, now: int) -> None:
        while self.expirations and self.expirations[0][0] <= now:
            _, lent, birth, token = heappop(self.expirations)
            if lent:
                loan = self.lent.get((birth, token))
                if loan is not None and loan.expires_at <= now:
                    self.holdings[loan.limit].lent -= loan.amount
                    del self.lent[birth, token]
            elif token in self.borrowed and self.borrowed[token].expires_at <= now:
                self._drop(token)

    def _drop(self, token: int) -> None:
        loan = self.borrowed.pop(token)
        self.holdings[loan.limit].borrowed -= loan.amount

    # ---- messages ----

    def on_message(self, now: int, message: Message) -> list[tuple[Message, int]]:
        """Handle a message; returns answers, each with the number of its receiver."""
        self._expire(now)
        if isinstance(message, Ask):
            return self._on_ask(now, message)
        if isinstance(message, Grant):
            self._on_grant(now, message)
        else:
            self._on_return(message)
        return []

    def _on_ask(self, now: int, ask: Ask) -> list[tuple[Message, int]]:
        holding = self.holdings.get(ask.limit)
        if holding is None or now < self.lending_from:
            return []
        key = (ask.birth, ask.token)
        loan = self.lent.get(key)
        if loan is None:
            reserved = max(self._floor(holding), int(holding.need * (1 + self.terms.headroom)))
            amount = min(ask.amount, holding.allocation - holding.lent - reserved)
            if amount <= 0:
                return []
            loan = self.lent[key] = Loan(ask.limit, ask.number, amount, 0)
            holding.lent += amount
        elif holding.allocation < holding.lent or holding.need > holding.allocation - holding.lent:
            return []  # needed here: not renewed, the loan ends as granted
        loan.expires_at = now + self.terms.settle
        heappush(self.expirations, (loan.expires_at, True, *key))
        return [(Grant(self.number, self.birth, ask.token, ask.request_id, loan.amount), ask.number)]

    def _on_grant(self, now: int, grant: Grant) -> None:
        token, request = self.open_requests.pop(grant.request_id, (0, None))
        if request is None or request.peer != grant.number or token != grant.token:
            return
        expires_at = request.requested_at + self.terms.borrower_term
        if now >= expires_at:
            return
        loan = self.borrowed.get(grant.token)
        if loan is None:
            self.borrowed[grant.token] = Loan(
                request.limit, grant.number, grant.amount, expires_at, request.requested_at
            )
            self.holdings[request.limit].borrowed += grant.amount
        else:
            loan.expires_at = max(loan.expires_at, expires_at)
        heappush(self.expirations, (expires_at, False, 0, grant.token))

    def _on_return(self, message: Return) -> None:
        loan = self.lent.pop((message.birth, message.token), None)
        if loan is not None:
            self.holdings[loan.limit].lent -= loan.amount

"""One balancer's part of each limit, and what it lends and borrows of it: escrow in pairs, by leases.

Theory of operation. A limit is a number of units that all balancers together may use. Each place of the fleet
has a *deed* of it, told from outside (`on_deed`); the deeds of all are the limit at most. Who needs more than
it has asks others; who has more than it needs lends. The giver lowers before the taker raises: what it lends
is not its own from the moment it says so, whether or not the word arrives. A loan ends by the taker's own
clock `lease` after it *asked* (less drift), and comes back to the giver `lease` after it *granted* (more
drift), so the taker's end lies before the giver's beginning with no word between them, however late any word
was.

Promises at every instant, with deeds as they are told:
 1. What all may use together (`usable`) is at most the sum of the deeds.
 2. A loan is taken up once, however often its word comes, and never after its end.
 3. Back from nothing a balancer does not lend, and uses its floor only, until whatever an earlier life of it
    can have lent is over. The floor (a part of the deed) is never lent: nobody with clients starves.
 4. Where a deed is lowered, what was lent beyond it ends within `settle`: whoever raises another's deed for
    it waits for so long.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from dykeshift.shares.wire import Ask, Back, Grant, Message

SECOND = 1_000_000_000
ASKED = 3  # members asked at once for one limit
OPEN = 256  # questions without an answer that are remembered


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in nanoseconds; parts of a deed or of a need."""

    lease: int = 5 * SECOND
    drift: float = 0.01
    floor: float = 0.1  # of the deed, never lent
    spare: float = 0.25  # of the own need, kept beside it
    renew: float = 0.5  # of the lease, after which a loan that is still needed is asked for again

    @property
    def take(self) -> int:
        """How long a loan lasts for the taker, by its clock."""
        return int(self.lease * (1 - 2 * self.drift))

    @property
    def settle(self) -> int:
        """After how long it is the giver's again, by its clock."""
        return int(self.lease * (1 + 2 * self.drift))


@dataclass(slots=True)
class Loan:
    """Units of a limit, lent until `until` (nanoseconds)."""

    limit: int
    other: int  # number of the other balancer
    amount: int
    until: int
    asked: int = 0  # by the taker: when it was asked for last


@dataclass(slots=True)
class Holding:
    """Of one limit."""

    deed: int = 0
    need: int = 0  # units that it would use now, told by the host
    lent: int = 0
    borrowed: int = 0


@dataclass
class Shares:
    """One balancer's parts of all limits; times are monotonic nanoseconds."""

    terms: Terms
    number: int
    rng: Random
    holdings: dict[int, Holding] = field(default_factory=dict)
    lent: dict[tuple[int, int], Loan] = field(default_factory=dict)  # by the taker's birth and token
    borrowed: dict[int, Loan] = field(default_factory=dict)  # by token
    asked: dict[int, tuple[int, Loan]] = field(default_factory=dict)  # by question: token, what was asked for
    ends: list[tuple[int, bool, int, int]] = field(default_factory=list)  # heap: when, whether lent, its key
    lends_from: int = 0

    def __post_init__(self) -> None:
        self.birth = self.rng.getrandbits(32) or 1

    def start(self, now: int) -> None:
        """Begin; nothing is lent before what an earlier life lent has settled."""
        self.lends_from = now + self.terms.settle

    # ---- what the host tells and asks ----

    def on_deed(self, now: int, limit: int, units: int) -> None:
        """Set this place's own part of a limit."""
        self.holdings.setdefault(limit, Holding()).deed = units

    def on_need(self, limit: int, units: int) -> None:
        """Set how many units of a limit are needed here."""
        if limit in self.holdings:
            self.holdings[limit].need = units

    def usable(self, now: int, limit: int) -> int:
        """Units that this balancer may use now."""
        self._expire(now)
        held = self.holdings.get(limit)
        if held is None:
            return 0
        own = held.deed - held.lent if now >= self.lends_from else self._floor(held)
        return max(0, own) + held.borrowed

    def _floor(self, held: Holding) -> int:
        return int(held.deed * self.terms.floor)

    # ---- time ----

    def on_tick(self, now: int, alive: Iterable[int]) -> list[tuple[Message, int]]:
        """Ask for what is missing, again for what runs out, and give back what is not needed."""
        self._expire(now)
        others = sorted(set(alive) - {self.number})
        out = list[tuple[Message, int]]()
        for limit, held in self.holdings.items():
            missing = held.need - self.usable(now, limit)
            if missing > 0 and others:
                out += self._ask(now, limit, missing, others)
            elif held.borrowed and -missing > self.terms.spare * held.need:
                out += self._give_back(now, limit, -missing - int(self.terms.spare * held.need))
        return out + self._renew(now)

    def _ask(self, now: int, limit: int, missing: int, others: list[int]) -> list[tuple[Message, int]]:
        lending = {loan.other for loan in self.borrowed.values() if loan.limit == limit}
        rest = [n for n in others if n not in lending] or others  # who lends already has lent what it could
        chosen = self.rng.sample(rest, min(ASKED, len(rest)))
        each = -(-missing // len(chosen))
        out = list[tuple[Message, int]]()
        for other in chosen:
            token = self.rng.getrandbits(32) or 1
            out.append((self._question(now, token, limit, other, each), other))
        return out

    def _question(self, now: int, token: int, limit: int, other: int, amount: int) -> Ask:
        question = self.rng.getrandbits(32) or 1
        self.asked[question] = token, Loan(limit, other, amount, 0, now)
        if len(self.asked) > OPEN:
            del self.asked[next(iter(self.asked))]
        return Ask(self.number, self.birth, token, question, limit, amount)

    def _renew(self, now: int) -> list[tuple[Message, int]]:
        out = list[tuple[Message, int]]()
        for token, loan in self.borrowed.items():
            held = self.holdings[loan.limit]
            needed = held.need > max(0, held.deed - held.lent)
            if needed and now - loan.asked >= self.terms.renew * self.terms.lease:
                loan.asked = now
                out.append((self._question(now, token, loan.limit, loan.other, loan.amount), loan.other))
        return out

    def _give_back(self, now: int, limit: int, over: int) -> list[tuple[Message, int]]:
        """Whole loans only: it is the giver's once this balancer has stopped to use it, which it has."""
        out = list[tuple[Message, int]]()
        for token, loan in list(self.borrowed.items()):
            if loan.limit == limit and loan.amount <= over:
                over -= loan.amount
                self._drop(token)
                self.asked = {q: one for q, one in self.asked.items() if one[0] != token}
                out.append((Back(self.number, self.birth, token), loan.other))
        return out

    def _expire(self, now: int) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, lent, birth, token = heappop(self.ends)
            if lent:
                loan = self.lent.get((birth, token))
                if loan is not None and loan.until <= now:
                    self.holdings[loan.limit].lent -= loan.amount
                    del self.lent[birth, token]
            elif token in self.borrowed and self.borrowed[token].until <= now:
                self._drop(token)

    def _drop(self, token: int) -> None:
        loan = self.borrowed.pop(token)
        self.holdings[loan.limit].borrowed -= loan.amount

    # ---- messages ----

    def on_message(self, now: int, message: Message) -> list[tuple[Message, int]]:
        """Take a message; returns answers, each with the number of its receiver."""
        self._expire(now)
        if isinstance(message, Ask):
            return self._on_ask(now, message)
        if isinstance(message, Grant):
            self._on_grant(now, message)
        else:
            self._on_back(message)
        return []

    def _on_ask(self, now: int, ask: Ask) -> list[tuple[Message, int]]:
        held = self.holdings.get(ask.limit)
        if held is None or now < self.lends_from:
            return []
        key = (ask.birth, ask.token)
        loan = self.lent.get(key)
        if loan is None:
            kept = max(self._floor(held), int(held.need * (1 + self.terms.spare)))
            amount = min(ask.amount, held.deed - held.lent - kept)
            if amount <= 0:
                return []
            loan = self.lent[key] = Loan(ask.limit, ask.number, amount, 0)
            held.lent += amount
        elif held.deed < held.lent or held.need > held.deed - held.lent:
            return []  # needed here: it ends as it was said to
        loan.until = now + self.terms.settle
        heappush(self.ends, (loan.until, True, *key))
        return [(Grant(self.number, self.birth, ask.token, ask.question, loan.amount), ask.number)]

    def _on_grant(self, now: int, grant: Grant) -> None:
        token, asked = self.asked.pop(grant.question, (0, None))
        if asked is None or asked.other != grant.number or token != grant.token:
            return
        until = asked.asked + self.terms.take
        if now >= until:
            return
        held = self.borrowed.get(grant.token)
        if held is None:
            self.borrowed[grant.token] = Loan(asked.limit, grant.number, grant.amount, until, asked.asked)
            self.holdings[asked.limit].borrowed += grant.amount
        else:
            held.until = max(held.until, until)
        heappush(self.ends, (until, False, 0, grant.token))

    def _on_back(self, back: Back) -> None:
        loan = self.lent.pop((back.birth, back.token), None)
        if loan is not None:
            self.holdings[loan.limit].lent -= loan.amount

"""A second opinion: what another replica says of a few services that the subscriber holds.

Every few seconds one other replica is asked for its version and its digest of some services. Two things can
come of it: it has a later version, which the own replica has to reach within a time; or at the version that
is shown it has another digest. Then two more are asked: whom the most contradict has said what is not so.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from dykeshift.configuration.scope import Scope
from dykeshift.configuration.scope_codec import pack_scope
from dykeshift.configuration.wire import AUDIT_SCOPE, Audited
from dykeshift.view.table import Address

MOST_QUESTIONS = 8
MOST_SERVICES = 8  # of one question
VOTES = 2  # replicas that have to contradict another


@dataclass(frozen=True, slots=True)
class Question:
    """What was asked of whom."""

    address: Address
    scope: Scope
    asked_at: int


@dataclass(slots=True)
class Auditor:
    """Questions that wait for an answer, and what the answers came to."""

    rng: Random
    questions: dict[int, Question] = field(default_factory=dict)
    agree: set[Address] = field(default_factory=set)  # since the last contradiction was settled
    contradict: set[Address] = field(default_factory=set)
    claimed: int = 0  # the latest version that another replica says it has
    claimed_by: Address | None = None
    claimed_at: int = 0

    def draw_scope(self, scope: Scope) -> Scope:
        """Some services of a scope, so few that they fit into a question."""
        if scope.whole:
            return scope
        names = sorted(scope.services)
        drawn = self.rng.sample(names, min(MOST_SERVICES, len(names)))
        while drawn and len(pack_scope(Scope(frozenset(drawn)))) > AUDIT_SCOPE:
            drawn.pop()
        return Scope(frozenset(drawn))

    def ask(self, now: int, address: Address, scope: Scope) -> tuple[int, bytes]:
        """A question's number and the bytes of its scope."""
        number = self.rng.getrandbits(64) or 1
        self.questions[number] = Question(address, scope, now)
        while len(self.questions) > MOST_QUESTIONS:
            del self.questions[next(iter(self.questions))]
        return number, pack_scope(scope)

    def take(self, answer: Audited, address: Address) -> Question | None:
        """The question of an answer, once each."""
        question = self.questions.get(answer.session)
        if question is None or question.address != address:
            return None
        del self.questions[answer.session]
        return question

    def note_claim(self, now: int, version: int, address: Address) -> None:
        """Another replica says that it has this version, later than what is known so far."""
        if version > self.claimed:
            self.claimed, self.claimed_by, self.claimed_at = version, address, now

    def drop_claim(self) -> None:
        """Nobody is measured by it any more."""
        self.claimed, self.claimed_by, self.claimed_at = 0, None, 0

    def settle(self) -> None:
        """What was found so far counts no more."""
        self.agree.clear()
        self.contradict.clear()
        self.questions.clear()

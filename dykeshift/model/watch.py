"""The rules, checked in the model as they are on sockets: by what goes out and what comes back.

Each breach is counted by its rule; the first of each is kept in words. Checked here are what the model can
show: one final answer in time, unsafe and keyed repeats, honest refusals, attempts, drains, and cold senders
(which the senders tell of themselves, `senders.Process.fell`).
"""

from __future__ import annotations

from typing import Any

from dykeshift.model.day import MS
from dykeshift.interface import NOT_RUN, Idempotency, Outcome, RequestClass, Scope, ServerEntry, Settings

LOST, TWICE, UNSAFE_AGAIN, KEYED_ASTRAY = "lost", "answered-twice", "unsafe-again", "keyed-astray"
REFUSED_RUN, ATTEMPTS, DRAIN, COLD, COPIES = "refused-run", "attempts", "drain", "cold", "copies"
ADVICE = "no-advice"
RULES = (LOST, TWICE, UNSAFE_AGAIN, KEYED_ASTRAY, REFUSED_RUN, ATTEMPTS, DRAIN, COLD, COPIES, ADVICE)
GRACE = 250 * MS


class Sent:
    """One attempt as the rules see it."""

    __slots__ = ("at", "end", "entry")

    def __init__(self, at: int, entry: ServerEntry) -> None:
        self.at = at
        self.entry = entry
        self.end: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether the sender may have executed it."""
        return self.end not in NOT_RUN


class Watcher:
    """Checks every attempt and answer against the rules and counts breaches."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.breaches: dict[str, int] = {}
        self.first: dict[str, str] = {}

    def breach(self, rule: str, now: int, text: str) -> None:
        """Count a breach of `rule` at `now` (nanoseconds); the first of each rule is kept in words."""
        self.breaches[rule] = self.breaches.get(rule, 0) + 1
        self.first.setdefault(rule, f"{now / 1e9:.6f} s: {text}")

    def sending(self, now: int, job: Any, klass: RequestClass, entry: ServerEntry, told_off: int) -> None:
        """An attempt goes out; `job` has `name`, `closed` and `sent` (its earlier attempts).

        `told_off`: since when the balancer knows that the sender drains or is gone; 0: it doesn't.
        """
        earlier: list[Sent] = job.sent
        if job.closed:
            self.breach(TWICE, now, f"{job.name} is sent after its answer")
        if len(earlier) >= self.settings.attempt_limit:
            self.breach(ATTEMPTS, now, f"{job.name} has {len(earlier) + 1} attempts")
        if not self.settings.copies_allowed and any(s.end is None for s in earlier):
            self.breach(COPIES, now, f"{job.name} has two copies out")
        if told_off and now > told_off + GRACE:
            self.breach(DRAIN, now, f"{job.name} goes to sender {entry.id}, told off {now - told_off} ns ago")
        anchor = next((s for s in earlier if s.may_have_run()), None)
        if anchor is None or klass.idempotency is Idempotency.SAFE:
            return
        if klass.idempotency is Idempotency.UNSAFE:
            self.breach(UNSAFE_AGAIN, now, f"{job.name} is sent again")
        elif (
            now >= anchor.at + klass.window
            or klass.scope is Scope.CELL
            and entry.cell != anchor.entry.cell
            or klass.scope is Scope.ZONE
            and entry.zone != anchor.entry.zone
        ):
            self.breach(KEYED_ASTRAY, now, f"{job.name} is repeated outside its scope or window")

    def refused(self, now: int, job: Any, klass: RequestClass, advice: int) -> None:
        """Check that a request may be refused, and its `advice` (nanoseconds until a retry)."""
        if self.settings.retry_advice_limit and not 0 < advice <= self.settings.retry_advice_limit:
            self.breach(ADVICE, now, f"{job.name} is refused with the advice {advice}")
        everywhere = klass.idempotency is Idempotency.KEYED and klass.scope is Scope.ALL
        if (
            klass.idempotency is not Idempotency.SAFE
            and not everywhere
            and any(s.may_have_run() for s in job.sent)
        ):
            self.breach(REFUSED_RUN, now, f"{job.name} is refused and may have run")

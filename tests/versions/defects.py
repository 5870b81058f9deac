"""Defects put into the versions on purpose, each by what it undoes; test_defects has what finds them."""

from __future__ import annotations

from typing import Any


from dykeshift.interface import Settings
from dykeshift.versions import book, core, force, guide, lists, own
from dykeshift.versions.book import Pending, Phase
from dykeshift.versions.changes import Change, Drop, Force, Halt, Middle, Propose, Refuse
from dykeshift.versions.wire import Report, Verdict
from tests.seeded import Defect as Undo
from tests.seeded import patched as _replace


def _looks_at_the_book_alone(
    self: force.InForce, now: int, lease_left: int, heard: Any = (), why: str = ""
) -> int:
    return _look(self, now, 1 if self.leased else lease_left, heard, why)


def _never_in_doubt(self: force.InForce, now: int, lease_left: int, heard: Any = (), why: str = "") -> int:
    return _look(self, now, 1)


def _skips_the_middle(self: guide.Guide, now: int, facts: guide.Facts, pending: Pending) -> Change | None:
    change = _check(self, now, facts, pending)
    return Force(change.version) if isinstance(change, Middle) else change


def _goes_straight_back(self: guide.Guide, now: int, facts: guide.Facts, pending: Pending) -> Change | None:
    return Drop(pending.rules.version)


def _halts_straight(self: book.Book, version: int, change: Halt) -> None:
    if self.pages.pending is not None:
        self._finish(change.version, "halted", change.reason)


def _waits_for_answers_only(
    self: guide.Guide, now: int, facts: guide.Facts, pending: Pending
) -> Change | None:
    """The middle is over once all in reach have said that they are in it."""
    said = [m.report for n, m in self.members.items() if n in facts.alive]
    if any(report.version < pending.since for report in said):
        return None
    return Force(pending.rules.version, 0 if pending.stages else -1)


def _ignores_a_no(self: guide.Guide, now: int, facts: guide.Facts, pending: Pending) -> Change | None:
    change = _check(self, now, facts, pending)
    return Middle(pending.rules.version) if isinstance(change, Refuse) and not pending.dry else change


def _counts_an_earlier_life(self: guide.Guide, now: int, report: Report) -> None:
    known = self.members.get(report.number)
    if known is None or report.verdict is not Verdict.NONE:
        _on_report(self, now, report)


def _takes_any_word(self: lists.PeerLists, now: int, generation: int, servers: tuple[int, ...]) -> str:
    self.max_share = 1.0
    return _on_word(self, now, generation, servers)


def _takes_older_words(self: lists.PeerLists, now: int, generation: int, servers: tuple[int, ...]) -> str:
    for number in servers:
        if number in self.running:
            self.notices[number] = lists.PeerNotice(1 << 60, now)
    return ""


def _bold_in_doubt(self: force.InForce, heard: Any, why: str) -> force.Acts:
    acts = self._in_force()
    return force.Acts("doubtful", acts.version, acts.settings, acts.out, closed=acts.closed, why=why)


def _middle_is_the_new(one: Settings, other: Settings) -> Settings:
    return other


def _proposes_twice(self: book.Book, version: int, change: Propose) -> None:
    """What comes while another is under way takes its place at once."""
    self.pages.pending = Pending(book.Rules(version, bytes(change.settings).decode()), since=version)


def _naive(self: Any) -> bool:
    """The plain test of two shares, looked at after every block."""
    a, b = self.staged, self.others
    n, m = a.good + a.bad, b.good + b.bad
    if not n or not m:
        return False
    p = (a.bad + b.bad) / (n + m)
    spread = (p * (1 - p) * (1 / n + 1 / m)) ** 0.5
    return bool(spread) and (a.bad / n - b.bad / m) / spread > 2.33


def _one_mark(rules: book.Rules) -> int:
    return rules.version


def _any_settings(text: str, *args: Any) -> str:
    return ""


def _forgets_bans(self: book.Book, version: int, state: bytes) -> None:
    _restore(self, version, state)
    self.pages.out = {}


def _shares_all(raw: dict[str, Any]) -> str:
    import json

    return json.dumps(raw, sort_keys=True)


_look, _check, _on_report = force.InForce.look, guide.Guide._check, guide.Guide.on_report
_on_word, _restore = lists.PeerLists.on_announcement, book.Book.restore
_next = dict(guide._PHASE_HANDLERS)


def _phase(phase: Phase, wrong: Any) -> Undo:
    return lambda patch: patch.setitem(guide._PHASE_HANDLERS, phase, wrong)


DEFECTS: dict[str, Undo] = {
    "lease read before the stall": _replace(force.InForce, "look", _looks_at_the_book_alone),
    "no doubt": _replace(force.InForce, "look", _never_in_doubt),
    "middle skipped": _phase(Phase.CHECK, _skips_the_middle),
    "middle over once all in reach have said so": _phase(Phase.MIDDLE, _waits_for_answers_only),
    "rollback straight": _phase(Phase.BACK, _goes_straight_back),
    "halt without its own middle": _replace(book.Book, "_halt", _halts_straight),
    "the middle is the new version": _replace(force, "meet", _middle_is_the_new),
    "a second proposal takes the first one's place": _replace(book.Book, "_propose", _proposes_twice),
    "a no ignored": _phase(Phase.CHECK, _ignores_a_no),
    "an earlier life's yes": _replace(guide.Guide, "on_report", _counts_an_earlier_life),
    "bolder in doubt": _replace(force.InForce, "_degraded", _bold_in_doubt),
    "a peer's list may empty one": _replace(lists.PeerLists, "on_announcement", _takes_any_word),
    "an older list counts": _replace(lists.PeerLists, "on_announcement", _takes_older_words),
    "a test that does not bear looking": lambda patch: patch.setattr(
        "dykeshift.versions.trial.Trial.worse", property(_naive)
    ),
    "yes to another proposal of that number": lambda patch: [
        patch.setattr(where, "proposal_digest", _one_mark) for where in (core, guide)
    ][0],
    "own checks left out": _replace(core, "objection", _any_settings),
    "bans lost with a snapshot": _replace(book.Book, "restore", _forgets_bans),
    "one's own part in what all share": _replace(own, "share", _shares_all),
}

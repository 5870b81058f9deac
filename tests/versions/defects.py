"""Defects that are injected into `versions`; test_defects.py names what finds each of them."""

from __future__ import annotations

from typing import Any


from dykeshift.interface import Settings
from dykeshift.versions import book, core, force, guide, lists, own
from dykeshift.versions.book import Pending, Phase
from dykeshift.versions.changes import Change, Drop, Force, Halt, Middle, Propose, Refuse
from dykeshift.versions.wire import Report, Verdict
from tests.seeded import Defect
from tests.seeded import patched as _replace


def _ignores_the_end_of_the_lease(
    self: force.SettingsTracker, now: int, lease_left: int, uncommitted: Any = (), why: str = ""
) -> int:
    return _look(self, now, 1 if self.leased else lease_left, uncommitted, why)


def _always_leased(
    self: force.SettingsTracker, now: int, lease_left: int, uncommitted: Any = (), why: str = ""
) -> int:
    return _look(self, now, 1)


def _skips_the_joint_phase(
    self: guide.RolloutLeader, now: int, facts: guide.LogStatus, pending: Pending
) -> Change | None:
    change = _check(self, now, facts, pending)
    return Force(change.version) if isinstance(change, Middle) else change


def _drops_without_waiting(
    self: guide.RolloutLeader, now: int, facts: guide.LogStatus, pending: Pending
) -> Change | None:
    return Drop(pending.rules.version)


def _halts_without_joint_phase(self: book.VersionStore, version: int, change: Halt) -> None:
    if self.state.pending is not None:
        self._finish(change.version, "halted", change.reason)


def _waits_for_reports_only(
    self: guide.RolloutLeader, now: int, facts: guide.LogStatus, pending: Pending
) -> Change | None:
    """Ends the joint phase once all reachable balancers have reported it, without waiting for the lease."""
    reports = [m.report for n, m in self.members.items() if n in facts.alive]
    if any(report.version < pending.since for report in reports):
        return None
    return Force(pending.rules.version, 0 if pending.stages else -1)


def _ignores_objections(
    self: guide.RolloutLeader, now: int, facts: guide.LogStatus, pending: Pending
) -> Change | None:
    change = _check(self, now, facts, pending)
    return Middle(pending.rules.version) if isinstance(change, Refuse) and not pending.dry else change


def _keeps_verdict_of_earlier_incarnation(self: guide.RolloutLeader, now: int, report: Report) -> None:
    known = self.members.get(report.number)
    if known is None or report.verdict is not Verdict.NONE:
        _on_report(self, now, report)


def _accepts_any_share(self: lists.PeerLists, now: int, generation: int, servers: tuple[int, ...]) -> str:
    self.max_share = 1.0
    return _on_announcement(self, now, generation, servers)


def _accepts_older_generations(
    self: lists.PeerLists, now: int, generation: int, servers: tuple[int, ...]
) -> str:
    for number in servers:
        if number in self.running:
            self.notices[number] = lists.PeerNotice(1 << 60, now)
    return ""


def _not_narrower_when_degraded(
    self: force.SettingsTracker, uncommitted: Any, why: str
) -> force.EffectiveSettings:
    acts = self._in_force()
    return force.EffectiveSettings(
        "doubtful", acts.version, acts.settings, acts.banned, closed=acts.closed, degraded_reason=why
    )


def _meet_is_the_new_version(one: Settings, other: Settings) -> Settings:
    return other


def _replaces_the_pending_proposal(self: book.VersionStore, version: int, change: Propose) -> None:
    """Lets a new proposal replace the pending one at once."""
    self.state.pending = Pending(book.Rules(version, bytes(change.settings).decode()), since=version)


def _fixed_sample_test(self: Any) -> bool:
    """A fixed-sample test of two proportions, evaluated after every block."""
    a, b = self.staged, self.others
    n, m = a.good + a.bad, b.good + b.bad
    if not n or not m:
        return False
    p = (a.bad + b.bad) / (n + m)
    spread = (p * (1 - p) * (1 / n + 1 / m)) ** 0.5
    return bool(spread) and (a.bad / n - b.bad / m) / spread > 2.33


def _version_as_digest(rules: book.Rules) -> int:
    return rules.version


def _accepts_any_settings(text: str, *args: Any) -> str:
    return ""


def _restores_without_bans(self: book.VersionStore, version: int, state: bytes) -> None:
    _restore(self, version, state)
    self.state.out = {}


def _shares_local_settings(raw: dict[str, Any]) -> str:
    import json

    return json.dumps(raw, sort_keys=True)


_look, _check, _on_report = (
    force.SettingsTracker.update,
    guide.RolloutLeader._check,
    guide.RolloutLeader.on_report,
)
_on_announcement, _restore = lists.PeerLists.on_announcement, book.VersionStore.restore
_handlers = dict(guide._PHASE_HANDLERS)


def _phase(phase: Phase, wrong: Any) -> Defect:
    return lambda patch: patch.setitem(guide._PHASE_HANDLERS, phase, wrong)


DEFECTS: dict[str, Defect] = {
    "lease read before a pause": _replace(force.SettingsTracker, "update", _ignores_the_end_of_the_lease),
    "no degraded mode": _replace(force.SettingsTracker, "update", _always_leased),
    "joint phase skipped": _phase(Phase.CHECK, _skips_the_joint_phase),
    "joint phase over once all reachable balancers have reported it": _phase(
        Phase.MIDDLE, _waits_for_reports_only
    ),
    "rollback without waiting": _phase(Phase.BACK, _drops_without_waiting),
    "halt without its own joint phase": _replace(book.VersionStore, "_halt", _halts_without_joint_phase),
    "the joint settings are the new version": _replace(force, "meet", _meet_is_the_new_version),
    "a second proposal replaces the first": _replace(
        book.VersionStore, "_propose", _replaces_the_pending_proposal
    ),
    "an objection ignored": _phase(Phase.CHECK, _ignores_objections),
    "a verdict of an earlier process": _replace(
        guide.RolloutLeader, "on_report", _keeps_verdict_of_earlier_incarnation
    ),
    "more permissive when degraded": _replace(
        force.SettingsTracker, "_degraded", _not_narrower_when_degraded
    ),
    "a peer's list may empty the own one": _replace(lists.PeerLists, "on_announcement", _accepts_any_share),
    "an older list counts": _replace(lists.PeerLists, "on_announcement", _accepts_older_generations),
    "a fixed-sample test": lambda patch: patch.setattr(
        "dykeshift.versions.trial.Trial.worse", property(_fixed_sample_test)
    ),
    "a verdict on another proposal of that version": lambda patch: [
        patch.setattr(where, "proposal_digest", _version_as_digest) for where in (core, guide)
    ][0],
    "own checks left out": _replace(core, "objection", _accepts_any_settings),
    "bans lost with a snapshot": _replace(book.VersionStore, "restore", _restores_without_bans),
    "local settings among the shared ones": _replace(own, "shared_part", _shares_local_settings),
}

"""Who leads the history leads a proposal through its phases: what is to be committed next, and not before
when.

Theory of operation. The leader asks nobody: every member reports to it by itself (wire.Report). It holds no
state that could be lost but times: a leader that comes later begins each phase's wait anew, which only makes
it longer. What it proposes names the version it builds on, so that two that take themselves for leaders, or a
proposal of an operator in between, do no harm.

Promises:
 1. Nobody's rules change before all members that were believed alive have said yes to the proposal; one no
    refuses it, with the reason.
 2. The version that comes is in force at nobody before `lease` of true time has passed since the middle was
    committed: by then whoever has not the middle has no lease, and is in doubt.
 3. After a halt the version in force before is acted on by nobody before the same time has passed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from dykeshift.versions.book import Book, Pending, Phase, mark
from dykeshift.versions.changes import Change, Drop, Force, Halt, Middle, Refuse
from dykeshift.versions.trial import Trial
from dykeshift.versions.wire import Report, Verdict

SECOND = 1_000_000_000
REASON = 200  # characters of a reason in the history


@dataclass(frozen=True, slots=True)
class Options:
    """Times in nanoseconds of true time, but for drift."""

    lease: int = 10 * SECOND  # the history's
    drift: float = 0.01  # the part by which one clock may run faster or slower
    check: int = 20 * SECOND  # for all to say yes or no
    stage: int = 30 * SECOND  # that a stage lasts at least
    least: int = 200  # answers of a stage's members before the next one
    patience: int = 600 * SECOND  # for so many to come
    report: int = SECOND  # pace of reports while something is under way
    quiet: int = 5 * SECOND  # and else
    last: int = 15 * SECOND  # for which a word of another's list counts

    @property
    def wait(self) -> int:
        """By a clock that may run too fast: the lease has passed in truth."""
        return int(self.lease * (1 + 2 * self.drift))


@dataclass(frozen=True, slots=True)
class Facts:
    """What the history says at this instant."""

    leading: bool  # this process leads, and knows what is committed
    alive: frozenset[int]  # numbers believed alive, its own too


@dataclass(slots=True)
class Member:
    """The latest of one number's reports."""

    report: Report
    at: int
    before: Report | None = None  # the one that the trial has counted last


@dataclass
class Guide:
    options: Options
    book: Book
    contradicts: Callable[[Pending], bool]  # the settings in force and those that come
    members: dict[int, Member] = field(default_factory=dict)
    step: tuple[int, int] = (0, 0)  # the proposal and the version that brought its phase
    since: int = 0  # when this process saw that phase first
    trial: Trial = field(default_factory=Trial)

    def on_report(self, now: int, report: Report) -> None:
        known = self.members.get(report.number)
        if known is not None and known.report.birth == report.birth:
            if report.counter <= known.report.counter:
                return  # late, or played again
            before = known.before
        else:
            before = None  # another life: it counts from nothing
        self.members[report.number] = Member(report, now, before)

    def next(self, now: int, facts: Facts) -> Change | None:
        """What to propose now, on the version that the book has."""
        pending = self.book.pages.pending
        if pending is None or not facts.leading:
            self.step = (0, 0)
            return None
        step = (mark(pending.rules), pending.since)
        if step != self.step:
            self.step, self.since = step, now
            self.trial = Trial()
            for member in self.members.values():
                member.before = None
        return _NEXT[pending.phase](self, now, facts, pending)

    # ---- phases ----

    def _check(self, now: int, facts: Facts, pending: Pending) -> Change | None:
        version, (noes, missing) = pending.rules.version, self._verdicts(facts, pending)
        late = now - self.since >= self.options.check
        if noes and (not pending.dry or late or not missing):  # a dry run is to say what each has against it
            return Refuse(version, "; ".join(noes)[:REASON])
        if missing and late:
            who = ", ".join(map(str, missing[:8]))
            return Refuse(
                version,
                f"{len(missing)} of {len(facts.alive)} have not said whether they " f"can act on it: {who}",
            )
        if missing:
            return None
        if pending.dry:
            return Refuse(version, f"all {len(facts.alive)} that are in reach could act on it")
        if self.contradicts(pending):
            return Middle(version)
        return Force(version, 0 if pending.stages else -1)

    def _verdicts(self, facts: Facts, pending: Pending) -> tuple[list[str], list[int]]:
        """The noes with their reasons, and who has not said anything yet, of those believed alive."""
        proposal, noes, missing = mark(pending.rules), list[str](), list[int]()
        for number in sorted(facts.alive):
            member = self.members.get(number)
            said = member.report if member is not None and member.report.pending == proposal else None
            if said is not None and said.verdict is Verdict.NO:
                noes.append(f"number {number}: {said.reason}")
            elif said is None or said.verdict is not Verdict.YES:
                missing.append(number)
        return noes, missing

    def _middle(self, now: int, facts: Facts, pending: Pending) -> Change | None:
        if now - self.since < self.options.wait:
            return None
        return Force(pending.rules.version, 0 if pending.stages else -1)

    def _stage(self, now: int, facts: Facts, pending: Pending) -> Change | None:
        version, options = pending.rules.version, self.options
        self._count(now, pending)
        if self.trial.worse:
            first, others = self.trial.first.rate(), self.trial.others.rate()
            return Halt(
                version,
                f"stage {pending.stage}: {first:.1%} of its answers are bad, {others:.1%} " "of the others'",
            )
        if now - self.since >= options.stage and self.trial.seen >= options.least:
            last = pending.stage + 1 >= len(pending.stages)
            return Force(version, -1 if last else pending.stage + 1)
        if now - self.since >= options.patience:
            return Halt(
                version, f"stage {pending.stage}: {self.trial.seen:.0f} answers are too few to " "judge it"
            )
        return None

    def _count(self, now: int, pending: Pending) -> None:
        """One block: what each has answered since the last one, of those that act as their group should."""
        groups = [[0, 0], [0, 0]]
        staged = {n for group in pending.stages[: pending.stage + 1] for n in group}
        for number, member in self.members.items():
            report, before = member.report, member.before
            if report.version < pending.since or report.mode == "doubtful":
                continue
            if before is not None and before is not report:
                group = groups[number not in staged]
                group[0] += (report.answers - before.answers) & 0xFFFFFFFF
                group[1] += (report.bad - before.bad) & 0xFFFFFFFF
            member.before = report
        self.trial.add((groups[0][0], groups[0][1]), (groups[1][0], groups[1][1]))

    def _back(self, now: int, facts: Facts, pending: Pending) -> Change | None:
        return Drop(pending.rules.version) if now - self.since >= self.options.wait else None


_NEXT: dict[Phase, Callable[[Guide, int, Facts, Pending], Change | None]] = {
    Phase.CHECK: Guide._check,
    Phase.MIDDLE: Guide._middle,
    Phase.STAGE: Guide._stage,
    Phase.BACK: Guide._back,
}

"""The leader's part of a rollout: which change to propose next for the pending proposal, and when.

The leader of the log drives a proposal through its phases. It does not poll: every balancer reports to it
(wire.Report). The only state it could lose are times: a new leader starts the wait of the phase again, which
only makes it longer. A proposed change names the version that it builds on, so two processes that both take
themselves for the leader, or a proposal of an operator in between, do no harm.

Invariants:
 1. No balancer's settings change before all balancers believed alive have accepted the proposal; one
    objection refuses it, with the reason.
 2. No balancer puts the new version in force before `lease` of real time has passed since the joint phase was
    committed: by then a balancer that has not received the joint phase has no lease and is degraded.
 3. After a halt no balancer applies the previous version before the same time has passed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from dykeshift.versions.book import VersionStore, Pending, Phase, proposal_digest
from dykeshift.versions.changes import Change, Drop, Force, Halt, Middle, Refuse
from dykeshift.versions.trial import Trial
from dykeshift.versions.wire import Report, Verdict

SECOND = 1_000_000_000
MAX_REASON = 200  # characters of a reason in the log


@dataclass(frozen=True, slots=True)
class Options:
    """Times in nanoseconds of real time; `drift` allows for inaccurate clocks."""

    lease: int = 10 * SECOND  # lease of the replicated log
    drift: float = 0.01  # fraction by which a clock may run faster or slower
    check_timeout: int = 20 * SECOND  # time-out for the verdicts of all balancers
    stage_time: int = 30 * SECOND  # minimum duration of a stage
    min_stage_answers: int = 200  # minimum number of answers of the staged balancers before the next stage
    stage_timeout: int = 600 * SECOND  # time-out for that many answers
    report_interval: int = SECOND  # interval of reports while a proposal is pending
    idle_report_interval: int = 5 * SECOND  # interval of reports otherwise
    list_hold_time: int = 15 * SECOND  # how long another balancer's announcement of a leaving server counts

    @property
    def lease_wait(self) -> int:
        """The duration after which the lease has ended in real time, by a clock that may run too fast."""
        return int(self.lease * (1 + 2 * self.drift))


@dataclass(frozen=True, slots=True)
class LogStatus:
    """The state of the replicated log at this instant."""

    is_leader: bool  # this process is the leader and knows what is committed
    alive: frozenset[int]  # numbers of the balancers believed alive, with its own


@dataclass(slots=True)
class Member:
    """The latest report of one balancer."""

    report: Report
    received_at: int
    last_counted: Report | None = None  # the last one counted by the trial


@dataclass
class RolloutLeader:
    """Chooses the changes that the leader proposes for the pending proposal."""

    options: Options
    store: VersionStore
    contradicts: Callable[[Pending], bool]  # whether the proposal needs a joint phase
    members: dict[int, Member] = field(default_factory=dict)
    phase_seen: tuple[int, int] = (0, 0)  # digest of the proposal, version that started its phase
    phase_seen_at: int = 0  # when this process first saw that phase
    trial: Trial = field(default_factory=Trial)

    def on_report(self, now: int, report: Report) -> None:
        """Keeps the newest report of each balancer."""
        known = self.members.get(report.number)
        if known is not None and known.report.birth == report.birth:
            if report.counter <= known.report.counter:
                return  # out of order, or replayed
            before = known.last_counted
        else:
            before = None  # another incarnation: its counters start at zero
        self.members[report.number] = Member(report, now, before)

    def next(self, now: int, facts: LogStatus) -> Change | None:
        """Returns the change to propose now, on the current version; None if there is none."""
        pending = self.store.state.pending
        if pending is None or not facts.is_leader:
            self.phase_seen = (0, 0)
            return None
        phase = (proposal_digest(pending.rules), pending.since)
        if phase != self.phase_seen:
            self.phase_seen, self.phase_seen_at = phase, now
            self.trial = Trial()
            for member in self.members.values():
                member.last_counted = None
        return _PHASE_HANDLERS[pending.phase](self, now, facts, pending)

    # ---- phases ----

    def _check(self, now: int, facts: LogStatus, pending: Pending) -> Change | None:
        version, (objections, missing) = pending.rules.version, self._verdicts(facts, pending)
        timed_out = now - self.phase_seen_at >= self.options.check_timeout
        if objections and (not pending.dry or timed_out or not missing):  # a dry run collects all objections
            return Refuse(version, "; ".join(objections)[:MAX_REASON])
        if missing and timed_out:
            listed = ", ".join(map(str, missing[:8]))
            return Refuse(
                version,
                f"{len(missing)} of {len(facts.alive)} balancers have not reported whether they "
                f"can apply it: {listed}",
            )
        if missing:
            return None
        if pending.dry:
            return Refuse(version, f"all {len(facts.alive)} balancers in reach could apply it")
        if self.contradicts(pending):
            return Middle(version)
        return Force(version, 0 if pending.stages else -1)

    def _verdicts(self, facts: LogStatus, pending: Pending) -> tuple[list[str], list[int]]:
        """Returns the objections, and the numbers of live balancers that have no verdict yet."""
        proposal, objections, missing = proposal_digest(pending.rules), list[str](), list[int]()
        for number in sorted(facts.alive):
            member = self.members.get(number)
            report = member.report if member is not None and member.report.pending == proposal else None
            if report is not None and report.verdict is Verdict.NO:
                objections.append(f"number {number}: {report.reason}")
            elif report is None or report.verdict is not Verdict.YES:
                missing.append(number)
        return objections, missing

    def _middle(self, now: int, facts: LogStatus, pending: Pending) -> Change | None:
        if now - self.phase_seen_at < self.options.lease_wait:
            return None
        return Force(pending.rules.version, 0 if pending.stages else -1)

    def _stage(self, now: int, facts: LogStatus, pending: Pending) -> Change | None:
        version, options = pending.rules.version, self.options
        self._count_answers(now, pending)
        if self.trial.worse:
            first, others = self.trial.staged.rate(), self.trial.others.rate()
            return Halt(
                version,
                f"stage {pending.stage}: {first:.1%} of its answers are bad, {others:.1%} of the others'",
            )
        if (
            now - self.phase_seen_at >= options.stage_time
            and self.trial.staged_answers >= options.min_stage_answers
        ):
            is_last = pending.stage + 1 >= len(pending.stages)
            return Force(version, -1 if is_last else pending.stage + 1)
        if now - self.phase_seen_at >= options.stage_timeout:
            return Halt(
                version,
                f"stage {pending.stage}: {self.trial.staged_answers:.0f} answers are too few to judge it",
            )
        return None

    def _count_answers(self, now: int, pending: Pending) -> None:
        """Adds a block to the trial: the answers since the last one, of both groups.

        Balancers that do not apply their group's settings yet, or are degraded, are left out."""
        groups = [[0, 0], [0, 0]]
        staged = {n for group in pending.stages[: pending.stage + 1] for n in group}
        for number, member in self.members.items():
            report, before = member.report, member.last_counted
            if report.version < pending.since or report.mode == "doubtful":
                continue
            if before is not None and before is not report:
                group = groups[number not in staged]
                group[0] += (report.answers - before.answers) & 0xFFFFFFFF
                group[1] += (report.bad - before.bad) & 0xFFFFFFFF
            member.last_counted = report
        self.trial.add((groups[0][0], groups[0][1]), (groups[1][0], groups[1][1]))

    def _back(self, now: int, facts: LogStatus, pending: Pending) -> Change | None:
        return Drop(pending.rules.version) if now - self.phase_seen_at >= self.options.lease_wait else None


_PHASE_HANDLERS: dict[Phase, Callable[[RolloutLeader, int, LogStatus, Pending], Change | None]] = {
    Phase.CHECK: RolloutLeader._check,
    Phase.MIDDLE: RolloutLeader._middle,
    Phase.STAGE: RolloutLeader._stage,
    Phase.BACK: RolloutLeader._back,
}

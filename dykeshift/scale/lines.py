"""The lines of the capacity page: one quantity of one role in one situation, held against its target.

Theory of operation. A line is worked out as a sum of terms, each a measurement's value at a size times a
factor. It may have several ways, the newest mechanism first: the verdict is of the first way whose
measurements are there; what the others give is shown beside it. No figure of a measurement is in this file.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from dykeshift.scale.results import Role, Situation
from dykeshift.scale.slopes import Statistic
from dykeshift.scale.targets import (
    BYTES,
    BYTES_PER_KB,
    BYTES_PER_MB,
    CHANGES_A_DAY,
    CHANGES_A_SECOND,
    DAYS_KEPT,
    DISCOVERY_BYTES,
    DISCOVERY_RETURN,
    GROWING_CHANGES,
    IN_FORCE,
    LATENCY,
    LINK_BYTES,
    LIST_CHANGES_A_RESTART,
    LIST_CHANGES_A_SECOND,
    TAKEN_LENGTH,
    MACHINE_BYTES,
    MACHINE_MEMORY,
    MACHINE_PROCESSOR,
    MEASURED_CHANGES,
    MEMBERS,
    MEMORY,
    MS_A_SECOND,
    NOBODY_BEHIND,
    NONE_LOST,
    OPERATOR_WAIT,
    PART_OF_TEN,
    PERCENT,
    POOL_SWEEP_SECONDS,
    PROCESSOR,
    RATE,
    REGIONS,
    RESTARTS_A_DAY,
    RETURN,
    ROLL_SECONDS,
    SECONDS_A_DAY,
    SECONDS_AN_HOUR,
    SERVICES,
    SETTLE,
    STALL,
    SWEEP_SECONDS,
    TENANTS,
    UPSTREAMS,
    WATCHES,
    ZONE_WORK,
    ZONES,
    Target,
)


@dataclass(frozen=True, slots=True)
class Term:
    """A measurement's value at a size, times a factor."""

    measurement: str
    at: float
    factor: float = 1.0
    statistic: Statistic = Statistic.MEDIAN
    factor_text: str = ""
    """What the factor is, in words; empty for 1."""


@dataclass(frozen=True, slots=True)
class Way:
    """One way in which a line is carried: a sum of terms."""

    name: str
    terms: tuple[Term, ...]


@dataclass(frozen=True, slots=True)
class Line:
    """One quantity of one role in one situation, against its target."""

    id: str
    role: Role
    situation: Situation
    quantity: str
    target: Target
    mechanism: str
    ways: tuple[Way, ...]
    """Newest first."""


STANDING = "as it stands"
TEN_THOUSAND = "over 10,000 changes"
BEFORE = "before"
TIER = "control tier, sockets"
TIER_RUN_VIRTUAL = "control tier, virtual clock"
TIER_VIRTUAL = "control tier played, virtual clock"
ALL_VOTE = "consensus of all, sockets"
ALL_VOTE_VIRTUAL = "consensus of all, virtual clock"
WHOLE_FILE = "the whole file in each change"
TIER_DESIGN = "subscribers"
STANDING_DESIGN = "membership"
BEFORE_VARIANT = "before"
"""Put behind a measurement's id where it is of the program before a mechanism."""

DATA, CONTROL = Role.DATA_PATH, Role.CONTROL
REST, DAY, ZONE = Situation.AT_REST, Situation.ORDINARY_DAY, Situation.ZONE_GONE
APART, ROLL = Situation.REGIONS_APART, Situation.WHOLE_ROLL
NOTHING, TENFOLD = Situation.BACK_FROM_NOTHING, Situation.TEN_TIMES_CHANGES
P99, MOST = Statistic.P99, Statistic.MOST


PLAYED_EVENTS = {
    "rest": "at-rest",
    "changes": "ordinary",
    "changes-tenfold": "tenfold",
    "start": "from-nothing",
}
"""Events of a scale run as the control tier's measurements on the virtual clock name them."""


def _stands(*terms: Term) -> tuple[Way, ...]:
    """As it stands now, and as it was measured before the mechanisms."""
    return Way(STANDING, terms), _before(terms)


def _before(terms: tuple[Term, ...]) -> Way:
    names = (f"{one.measurement}.{BEFORE_VARIANT}" for one in terms)
    earlier = (replace(one, measurement=name) for one, name in zip(terms, names, strict=True))
    return Way(BEFORE, tuple(earlier))


def _with_before(played: Term, *terms: Term) -> tuple[Way, ...]:
    """Over 10,000 changes with requests under way, over 300 in a row, and before the mechanism."""
    return Way(TEN_THOUSAND, (played,)), *_stands(*terms)


def _data_lines() -> tuple[Line, ...]:
    ups = float(UPSTREAMS)
    day_kept = CHANGES_A_DAY / MEASURED_CHANGES
    kept_text = f"{CHANGES_A_DAY:,} / {MEASURED_CHANGES} changes"
    grown = CHANGES_A_DAY / GROWING_CHANGES
    grown_text = f"{CHANGES_A_DAY:,} / {GROWING_CHANGES:,} changes"
    list_rate = f"{LIST_CHANGES_A_SECOND:.3f} list changes/s"
    return (
        Line(
            "data.latency",
            DATA,
            REST,
            "added to a request, 99 in 100",
            LATENCY,
            "engine",
            _stands(Term("daemon.latency.added-p99", ups)),
        ),
        Line(
            "data.request",
            DATA,
            REST,
            "decision module, processor time a request",
            STALL,
            "engine",
            _stands(Term("module.request", ups, 1 / MS_A_SECOND, P99, "ms for us")),
        ),
        Line(
            "data.sweeps",
            DATA,
            REST,
            "sweeps over all upstreams",
            RATE,
            "services",
            _stands(
                Term("module.sweep", ups, 1 / SWEEP_SECONDS, factor_text=f"one each {SWEEP_SECONDS:g} s"),
                Term(
                    "engine.pool.sweep",
                    ups,
                    1 / POOL_SWEEP_SECONDS,
                    factor_text=f"one each {POOL_SWEEP_SECONDS:g} s",
                ),
            ),
        ),
        Line(
            "data.state",
            DATA,
            REST,
            "state by server, three classes",
            MEMORY,
            "services",
            _stands(Term("module.state", ups)),
        ),
        Line(
            "data.state.classes",
            DATA,
            REST,
            "state by server and class, a class for each service",
            MEMORY,
            "services",
            _stands(Term("module.state.by-classes", SERVICES)),
        ),
        Line(
            "data.state.failing",
            DATA,
            REST,
            "the same, once each class has failed everywhere",
            MEMORY,
            "services",
            _stands(Term("module.state.failing-by-classes", SERVICES)),
        ),
        Line(
            "data.quiet",
            DATA,
            REST,
            "a whole daemon without requests",
            RATE,
            "services",
            _stands(Term("daemon.cpu.quiet", ups)),
        ),
        Line(
            "data.list.memory",
            DATA,
            REST,
            "list held by the engine",
            MEMORY,
            "services",
            _stands(Term("engine.list.memory", ups)),
        ),
        Line(
            "data.latency.day",
            DATA,
            DAY,
            "added to a request, 99 in 100, lists change at ten times an ordinary day's pace",
            LATENCY,
            "list-deltas",
            _stands(Term("daemon.latency.tenfold-added-p99", ups)),
        ),
        Line(
            "data.sweeps.day",
            DATA,
            DAY,
            "sweeps over all upstreams while one in a hundred leaves and one is cold",
            RATE,
            "services",
            _stands(
                Term("module.sweep.day", ups, 1 / SWEEP_SECONDS, factor_text=f"one each {SWEEP_SECONDS:g} s"),
                Term(
                    "engine.pool.sweep",
                    ups,
                    1 / POOL_SWEEP_SECONDS,
                    factor_text=f"one each {POOL_SWEEP_SECONDS:g} s",
                ),
            ),
        ),
        Line(
            "data.entry",
            DATA,
            DAY,
            "one changed entry of the list",
            STALL,
            "list-deltas",
            _stands(Term("module.list.entry", ups)),
        ),
        Line(
            "data.entry.rate",
            DATA,
            DAY,
            "list changes of 3,500 restarts",
            RATE,
            "list-deltas",
            _stands(Term("engine.list.day-change", ups, LIST_CHANGES_A_SECOND, factor_text=list_rate)),
        ),
        Line(
            "data.list.kept",
            DATA,
            DAY,
            "kept after sixteen days' list changes",
            MEMORY,
            "list-deltas",
            _stands(Term("engine.list.days-kept", DAYS_KEPT)),
        ),
        Line(
            "data.refused",
            DATA,
            DAY,
            "requests refused or failed while lists change",
            NONE_LOST,
            "list-deltas",
            _stands(Term("daemon.requests.day-not-served", ups)),
        ),
        Line(
            "data.terms.stall",
            DATA,
            DAY,
            "a class's terms change",
            STALL,
            "returned-terms",
            _with_before(
                Term("module.class-change.time", ups, 1 / MS_A_SECOND, P99, "ms for us"),
                Term("module.settings.change", ups, statistic=P99),
            ),
        ),
        Line(
            "data.terms.kept",
            DATA,
            DAY,
            "kept after a day's changes of terms",
            MEMORY,
            "returned-terms",
            _with_before(
                Term("module.class-change.memory", ups, grown, factor_text=grown_text),
                Term("module.settings.kept", ups, day_kept, factor_text=kept_text),
            ),
        ),
        Line(
            "data.settings.load",
            DATA,
            DAY,
            "configuration of all tenants read",
            STALL,
            "configuration",
            _stands(Term("engine.settings.load", TENANTS)),
        ),
        Line(
            "data.settings.memory",
            DATA,
            DAY,
            "configuration of all tenants held",
            MEMORY,
            "configuration",
            _stands(Term("engine.settings.memory", TENANTS)),
        ),
        Line(
            "data.zone.single",
            DATA,
            ZONE,
            "a zone's 2,000 upstreams off the list, told one by one",
            ZONE_WORK,
            "list-deltas",
            _stands(Term("engine.list.zone-one-by-one", ups, 1 / MS_A_SECOND, factor_text="s for ms")),
        ),
        Line(
            "data.zone.once",
            DATA,
            ZONE,
            "the same, told in one change",
            ZONE_WORK,
            "list-deltas",
            _stands(Term("engine.list.zone-at-once", ups, 1 / MS_A_SECOND, factor_text="s for ms")),
        ),
        Line(
            "data.zone.daemon",
            DATA,
            ZONE,
            "a whole daemon has a zone off its list",
            ZONE_WORK,
            "list-deltas",
            _stands(Term("daemon.zone.time", ups)),
        ),
        Line(
            "data.apart",
            DATA,
            APART,
            "added to a request, 99 in 100, regions apart",
            LATENCY,
            "regions",
            _stands(Term("daemon.latency.apart-added-p99", ups)),
        ),
        Line(
            "data.roll",
            DATA,
            ROLL,
            "list changes of all upstreams replaced in an hour",
            RATE,
            "list-deltas",
            _stands(
                Term(
                    "engine.list.day-change",
                    ups,
                    UPSTREAMS * LIST_CHANGES_A_RESTART / ROLL_SECONDS,
                    factor_text=f"{UPSTREAMS * LIST_CHANGES_A_RESTART / ROLL_SECONDS:.2f} list changes/s",
                )
            ),
        ),
        Line(
            "data.start",
            DATA,
            NOTHING,
            "a daemon starts and takes requests",
            RETURN,
            "engine",
            _stands(Term("daemon.start.ready", ups)),
        ),
        Line(
            "data.start.list",
            DATA,
            NOTHING,
            "first whole list taken over",
            STALL,
            "list-deltas",
            _stands(Term("engine.list.full", ups)),
        ),
        Line(
            "data.latency.tenfold",
            DATA,
            TENFOLD,
            "added to a request, 99 in 100, lists change ten times as often",
            LATENCY,
            "list-deltas",
            _stands(Term("daemon.latency.tenfold-added-p99", ups)),
        ),
        Line(
            "data.tenfold",
            DATA,
            TENFOLD,
            "changes of terms, processor time",
            RATE,
            "returned-terms",
            _with_before(
                Term(
                    "module.class-change.time",
                    ups,
                    CHANGES_A_SECOND * PART_OF_TEN / MS_A_SECOND,
                    factor_text=f"{CHANGES_A_SECOND * PART_OF_TEN:.2f} changes/s, ms for us",
                ),
                Term(
                    "module.settings.change",
                    ups,
                    CHANGES_A_SECOND * PART_OF_TEN,
                    factor_text=f"{CHANGES_A_SECOND * PART_OF_TEN:.2f} changes/s",
                ),
            ),
        ),
        Line(
            "data.tenfold.kept",
            DATA,
            TENFOLD,
            "kept after a day's changes of terms",
            MEMORY,
            "returned-terms",
            _with_before(
                Term(
                    "module.class-change.memory",
                    ups,
                    grown * PART_OF_TEN,
                    factor_text=f"ten times {grown_text}",
                ),
                Term(
                    "module.settings.kept",
                    ups,
                    day_kept * PART_OF_TEN,
                    factor_text=f"ten times {kept_text}",
                ),
            ),
        ),
    )


EVENTS: tuple[tuple[str, Situation], ...] = (
    ("rest", REST),
    ("changes", DAY),
    ("restarts", DAY),
    ("machines", DAY),
    ("zone", ZONE),
    ("regions", APART),
    ("roll", ROLL),
    ("start", NOTHING),
    ("changes-tenfold", TENFOLD),
)
RATE_TARGETS = (("cpu", "processor time", PROCESSOR), ("bytes", "bytes sent", BYTES))


def _tier_term(name: str, statistic: Statistic = MOST) -> Term:
    """Of the control tier played on the virtual clock."""
    return Term(name, MEMBERS, statistic=statistic)


def _tier_rate(event: str, kind: str, figure: str) -> Term:
    """What a host of that kind spends a second in that event."""
    if event in PLAYED_EVENTS:
        return _tier_term(f"configuration.{kind}s.{figure}.{PLAYED_EVENTS[event]}")
    return _tier_term(f"tier.{event}.{kind}.{figure}")


def _run_ways(design: str, event: str, kind: str, figure: str, statistic: Statistic) -> tuple[Way, ...]:
    """Of a scale run: on sockets, and on the virtual clock."""
    on_sockets = _run_term(design, event, kind, figure, statistic)
    virtual = Term(on_sockets.measurement.replace("run.", "virtual.", 1), MEMBERS, statistic=statistic)
    names = (TIER, TIER_RUN_VIRTUAL) if design == TIER_DESIGN else (ALL_VOTE, ALL_VOTE_VIRTUAL)
    return Way(names[0], (on_sockets,)), Way(names[1], (virtual,))


def _run_term(design: str, event: str, kind: str, figure: str, statistic: Statistic = P99) -> Term:
    name = ".".join(part for part in ("run", design, event, kind, figure) if part)
    return Term(name, MEMBERS, statistic=statistic)


def _control_ways(event: str, kind: str, figure: str, statistic: Statistic = P99) -> tuple[Way, ...]:
    """A subscriber's, and a balancer's in the consensus of all."""
    here, before = ("subscriber", "learner") if kind else ("", "")
    played = _tier_rate(event, "subscriber", figure) if kind else _tier_term(f"tier.{event}.{figure}")
    return (
        *_run_ways(TIER_DESIGN, event, here, figure, statistic),
        Way(TIER_VIRTUAL, (played,)),
        *_run_ways(STANDING_DESIGN, event, before, figure, statistic),
    )


def _control_rates() -> tuple[Line, ...]:
    return tuple(
        Line(
            f"control.{event}.{figure}",
            CONTROL,
            situation,
            f"{word}, {event}",
            target,
            "configuration",
            _control_ways(event, "any", figure),
        )
        for event, situation in EVENTS
        for figure, word, target in RATE_TARGETS
    )


def _control_voters() -> tuple[Line, ...]:
    """The balancer that bears most: a voter where balancers vote, a subscriber where none does."""
    return tuple(
        Line(
            f"control.{event}.{figure}.most",
            CONTROL,
            situation,
            f"{word} of the balancer that bears most, {event}",
            target,
            "configuration",
            (
                *_run_ways(TIER_DESIGN, event, "subscriber", figure, MOST),
                Way(TIER_VIRTUAL, (_tier_rate(event, "subscriber", figure),)),
                *_run_ways(STANDING_DESIGN, event, "voter", figure, MOST),
            ),
        )
        for event, situation in (("rest", REST), ("changes", DAY), ("changes-tenfold", TENFOLD))
        for figure, word, target in RATE_TARGETS
    )


def _control_times() -> tuple[Line, ...]:
    settled = (("machines", DAY), ("zone", ZONE), ("regions", APART), ("start", NOTHING))
    lines = [
        Line(
            f"control.{event}.settled",
            CONTROL,
            situation,
            f"time until settled, {event}",
            RETURN if situation is NOTHING else SETTLE,
            "membership",
            _control_ways(event, "", "settled", MOST),
        )
        for event, situation in settled
    ]
    lines += [
        Line(
            f"control.{event}.left-behind",
            CONTROL,
            situation,
            f"members left behind, {event}",
            NOBODY_BEHIND,
            "configuration",
            _control_ways(event, "", "left-behind"),
        )
        for event, situation in (
            ("restarts", DAY),
            ("zone-back", ZONE),
            ("regions-back", APART),
            ("roll", ROLL),
        )
    ]
    return tuple(lines)


def _settings_term(factor: float, text: str) -> Term:
    return Term("engine.settings.bytes", TENANTS, factor * BYTES_PER_MB, factor_text=text)


def _control_lines() -> tuple[Line, ...]:
    return (
        Line(
            "control.memory",
            CONTROL,
            REST,
            "memory (the tier's: objects of ten services; the consensus's: resident)",
            MEMORY,
            "configuration",
            (
                *_run_ways(TIER_DESIGN, "rest", "", "memory", P99),
                Way(TIER_VIRTUAL, (Term("configuration.subscribers.memory.state", 10),)),
                *_run_ways(STANDING_DESIGN, "rest", "", "memory", P99),
            ),
        ),
        Line(
            "control.start.peak",
            CONTROL,
            NOTHING,
            "bytes of the busiest second, from nothing",
            BYTES,
            "configuration",
            (Way(TIER_VIRTUAL, (_tier_term("configuration.subscribers.peak-bytes.from-nothing"),)),),
        ),
        Line(
            "control.hour",
            CONTROL,
            APART,
            "back after an hour away, until it holds the newest version",
            RETURN,
            "configuration",
            (Way(TIER_VIRTUAL, (_tier_term("configuration.subscribers.time.after-an-hour"),)),),
        ),
        Line(
            "control.whole",
            CONTROL,
            REST,
            "control of a whole daemon, sockets and loop with it",
            PROCESSOR,
            "configuration",
            (
                Way(TIER, (Term(f"run.{TIER_DESIGN}.control.whole", MEMBERS),)),
                Way(ALL_VOTE, (Term(f"run.{STANDING_DESIGN}.control.whole", MEMBERS),)),
            ),
        ),
        Line(
            "control.membership.cpu",
            CONTROL,
            REST,
            "membership alone, processor time",
            PROCESSOR,
            "membership",
            _stands(Term("membership.quiet.cpu", MEMBERS)),
        ),
        Line(
            "control.membership.bytes",
            CONTROL,
            REST,
            "membership alone, bytes sent",
            BYTES,
            "membership",
            _stands(Term("membership.quiet.bytes", MEMBERS)),
        ),
        Line(
            "control.membership.start",
            CONTROL,
            NOTHING,
            "all start, until all know all",
            RETURN,
            "membership",
            _stands(Term("membership.start", MEMBERS, statistic=MOST)),
        ),
        Line(
            "control.consensus.start",
            CONTROL,
            NOTHING,
            "all start, until there is a leader",
            RETURN,
            "configuration",
            _stands(Term("consensus.start", MEMBERS, statistic=MOST)),
        ),
        Line(
            "control.consensus.missing",
            CONTROL,
            NOTHING,
            "all start but one place, until there is a leader",
            RETURN,
            "configuration",
            _stands(Term("consensus.start.missing", 1)),
        ),
        Line(
            "control.change.contradicting",
            CONTROL,
            DAY,
            "a change that contradicts, in force everywhere",
            IN_FORCE,
            "configuration",
            (
                *_run_ways(TIER_DESIGN, "changes-guarded", "", "everywhere", P99),
                Way(TIER_VIRTUAL, (_tier_term("configuration.subscribers.in-force.guarded"),)),
                Way(ALL_VOTE_VIRTUAL, (Term("versions.change.contradicting", MEMBERS, statistic=P99),)),
            ),
        ),
        Line(
            "control.change.loss",
            CONTROL,
            DAY,
            "the same, a tenth of the datagrams lost",
            IN_FORCE,
            "configuration",
            (Way(TIER_VIRTUAL, (_tier_term("configuration.subscribers.in-force.guarded-loss-10"),)),),
        ),
        Line(
            "control.change.free",
            CONTROL,
            DAY,
            "a change that contradicts nothing, in force everywhere",
            IN_FORCE,
            "configuration",
            (
                *_run_ways(TIER_DESIGN, "changes", "", "everywhere", MOST),
                Way(TIER_VIRTUAL, (_tier_term("configuration.subscribers.in-force.ordinary"),)),
                Way(ALL_VOTE_VIRTUAL, (Term("versions.change.free", MEMBERS, statistic=P99),)),
            ),
        ),
        Line(
            "control.change.rate",
            CONTROL,
            DAY,
            "changes one after the other: share of the time that they take",
            Target(
                "share of the time that changes take, one after the other",
                100.0,
                "%",
                reason="over it, the queue grows without end",
            ),
            "configuration",
            (
                Way(
                    TIER_VIRTUAL,
                    (
                        Term(
                            "configuration.subscribers.in-force.ordinary",
                            MEMBERS,
                            CHANGES_A_SECOND * PERCENT,
                            factor_text=f"{CHANGES_A_SECOND:.3f} changes/s, in %",
                        ),
                    ),
                ),
                Way(
                    ALL_VOTE_VIRTUAL,
                    (
                        Term(
                            "versions.change.contradicting",
                            MEMBERS,
                            CHANGES_A_SECOND * PERCENT,
                            factor_text=f"{CHANGES_A_SECOND:.3f} changes/s, in %",
                        ),
                    ),
                ),
            ),
        ),
        Line(
            "control.change.length",
            CONTROL,
            DAY,
            "what a change carries (the tier: one tenant; before: all settings)",
            TAKEN_LENGTH,
            "configuration",
            (
                Way(TIER_VIRTUAL, (Term("tier.change.length", 1),)),
                Way(WHOLE_FILE, (_settings_term(1.0, "bytes for MB"),)),
            ),
        ),
        Line(
            "control.change.carried",
            CONTROL,
            DAY,
            "the same, carried to one balancer at 12 KB/s",
            IN_FORCE,
            "configuration",
            (
                Way(
                    TIER_VIRTUAL,
                    (Term("tier.change.length", 1, 1 / BYTES.value, factor_text="at 12,000 bytes/s"),),
                ),
                Way(WHOLE_FILE, (_settings_term(1 / BYTES.value, "bytes for MB, at 12,000 bytes/s"),)),
            ),
        ),
        Line(
            "control.restart.carried",
            CONTROL,
            NOTHING,
            "carried to one that restarts, at 12 KB/s (the tier: ten services)",
            RETURN,
            "configuration",
            (
                Way(
                    TIER_VIRTUAL,
                    (
                        Term(
                            "configuration.subscribers.total-bytes.from-nothing",
                            MEMBERS,
                            1 / BYTES.value,
                            MOST,
                            "at 12,000 bytes/s",
                        ),
                    ),
                ),
                Way(WHOLE_FILE, (_settings_term(1 / BYTES.value, "bytes for MB, at 12,000 bytes/s"),)),
            ),
        ),
        Line(
            "control.rejoin",
            CONTROL,
            NOTHING,
            "one comes back from nothing (before: a state of 16 KB, the longest there is)",
            RETURN,
            "configuration",
            (
                Way(TIER_VIRTUAL, (_tier_term("tier.rejoin.time"),)),
                Way(ALL_VOTE_VIRTUAL, (Term("consensus.rejoin", 16, statistic=MOST),)),
            ),
        ),
    )


def _tier_lines() -> tuple[Line, ...]:
    targets = (
        ("cpu", "processor time", MACHINE_PROCESSOR),
        ("bytes", "bytes sent", MACHINE_BYTES),
    )
    rates = tuple(
        Line(
            f"{kind}.{event}.{figure}",
            role,
            situation,
            f"{word}, {event}",
            target,
            "configuration",
            (
                *_run_ways(TIER_DESIGN, event, kind, figure, MOST),
                Way(TIER_VIRTUAL, (_tier_rate(event, kind, figure),)),
            ),
        )
        for kind, role in (("voter", Role.VOTER), ("replica", Role.REPLICA))
        for event, situation in EVENTS
        for figure, word, target in targets
    )
    memory = tuple(
        Line(
            f"{kind}.memory",
            role,
            REST,
            "memory (on the virtual clock: objects of the store)",
            MACHINE_MEMORY,
            "configuration",
            (
                *_run_ways(TIER_DESIGN, "rest", kind, "memory", MOST),
                Way(TIER_VIRTUAL, (Term("configuration.control.memory.store", TENANTS),)),
            ),
        )
        for kind, role in (("voter", Role.VOTER), ("replica", Role.REPLICA))
    )
    peak = Line(
        "replica.start.peak",
        Role.REPLICA,
        NOTHING,
        "bytes of the busiest second, all from nothing",
        MACHINE_BYTES,
        "configuration",
        (Way(TIER_VIRTUAL, (_tier_term("configuration.control.peak-bytes.from-nothing"),)),),
    )
    return (*rates, *memory, peak)


def _answers_term(entries: float, factor: float, text: str) -> Term:
    """Bytes a second of answers with so many changed entries."""
    return Term("discovery.answer", entries, factor * BYTES_PER_KB, factor_text=f"{text}, bytes for KB")


def _discovery_line(
    name: str,
    situation: Situation,
    quantity: str,
    target: Target,
    *terms: Term,
    mechanism: str = "discovery-fan-out",
) -> Line:
    return Line(name, Role.DISCOVERY, situation, quantity, target, mechanism, _stands(*terms))


def _discovery_lines() -> tuple[Line, ...]:
    restarts = RESTARTS_A_DAY * MEMBERS / (MEMBERS + UPSTREAMS) / SECONDS_A_DAY
    roll = UPSTREAMS * LIST_CHANGES_A_RESTART / ROLL_SECONDS
    zone, hour = UPSTREAMS / ZONES, LIST_CHANGES_A_SECOND * SECONDS_AN_HOUR
    one_by_one = "bytes of changed entries to all balancers, one by one"
    return (
        _discovery_line(
            "discovery.rest",
            REST,
            "watches that are held",
            WATCHES,
            Term("discovery.watches", MEMBERS),
        ),
        _discovery_line(
            "discovery.day",
            DAY,
            one_by_one,
            DISCOVERY_BYTES,
            _answers_term(1, LIST_CHANGES_A_SECOND * MEMBERS, f"{LIST_CHANGES_A_SECOND:.3f}/s to {MEMBERS}"),
        ),
        _discovery_line(
            "discovery.day.lists",
            DAY,
            "whole lists to balancers that restart",
            DISCOVERY_BYTES,
            Term(
                "engine.list.bytes",
                UPSTREAMS,
                restarts * BYTES_PER_MB,
                factor_text=f"{restarts:.5f} restarts of balancers a second, bytes for MB",
            ),
        ),
        _discovery_line(
            "discovery.zone",
            ZONE,
            "a zone's 2,000 entries to all balancers within 10 s",
            DISCOVERY_BYTES,
            _answers_term(zone, MEMBERS / SETTLE.value, f"to {MEMBERS} in {SETTLE.value:g} s"),
        ),
        _discovery_line(
            "discovery.apart",
            APART,
            "an hour's changed entries to one region's balancers within 60 s",
            DISCOVERY_BYTES,
            _answers_term(
                hour, MEMBERS / REGIONS / RETURN.value, f"to {MEMBERS // REGIONS} in {RETURN.value:g} s"
            ),
            mechanism="regions",
        ),
        _discovery_line(
            "discovery.roll",
            ROLL,
            one_by_one,
            DISCOVERY_BYTES,
            _answers_term(1, roll * MEMBERS, f"{roll:.2f}/s to {MEMBERS}"),
        ),
        _discovery_line(
            "discovery.start",
            NOTHING,
            "all balancers ask at once, until the last has a list (10 ms a call)",
            RETURN,
            Term("discovery.first-list", MEMBERS, statistic=MOST),
        ),
        _discovery_line(
            "discovery.start.link",
            NOTHING,
            "whole lists to all balancers at once, over the link",
            DISCOVERY_RETURN,
            Term(
                "engine.list.bytes",
                UPSTREAMS,
                MEMBERS * BYTES_PER_MB / LINK_BYTES,
                factor_text=f"{MEMBERS} lists over {LINK_BYTES / BYTES_PER_MB:g} MB/s",
            ),
        ),
        _discovery_line(
            "discovery.tenfold",
            TENFOLD,
            one_by_one,
            DISCOVERY_BYTES,
            _answers_term(
                1,
                LIST_CHANGES_A_SECOND * PART_OF_TEN * MEMBERS,
                f"{LIST_CHANGES_A_SECOND * PART_OF_TEN:.2f}/s to {MEMBERS}",
            ),
        ),
    )


PLAYED_TIMES = {
    "zone": "tier.zone-change.time",
    "regions": "tier.regions-home.time",
    "start": "configuration.subscribers.time.from-nothing",
}
"""What of the control tier's play on the virtual clock is the time until a change is in force."""


def _operator_lines() -> tuple[Line, ...]:
    def waits(name: str, situation: Situation, event: str, queue: str) -> Line:
        return Line(
            name,
            Role.OPERATOR,
            situation,
            "waits for a change, those before it included (the last of 80)",
            OPERATOR_WAIT,
            "configuration",
            (
                *_run_ways(TIER_DESIGN, event, "", "everywhere", P99),
                Way(
                    TIER_VIRTUAL, (_tier_term(f"configuration.subscribers.in-force.{PLAYED_EVENTS[event]}"),)
                ),
                Way(ALL_VOTE_VIRTUAL, (Term(queue, 80),)),
            ),
        )

    def everywhere(name: str, situation: Situation, event: str, mechanism: str) -> Line:
        return Line(
            name,
            Role.OPERATOR,
            situation,
            f"a change in force at all that can be reached, {event}",
            RETURN if situation is NOTHING else OPERATOR_WAIT,
            mechanism,
            (
                *_run_ways(TIER_DESIGN, event, "", "everywhere", P99),
                Way(TIER_VIRTUAL, (_tier_term(PLAYED_TIMES.get(event, f"tier.{event}.time")),)),
                *_run_ways(STANDING_DESIGN, event, "", "everywhere", P99),
            ),
        )

    return (
        everywhere("operator.rest", REST, "loss", "configuration"),
        waits("operator.day", DAY, "changes", "versions.queue"),
        everywhere("operator.zone", ZONE, "zone", "configuration"),
        everywhere("operator.apart", APART, "regions", "regions"),
        everywhere("operator.roll", ROLL, "roll", "configuration"),
        everywhere("operator.start", NOTHING, "start", "configuration"),
        waits("operator.tenfold", TENFOLD, "changes-tenfold", "versions.queue.ten-times"),
    )


LINES: tuple[Line, ...] = (
    *_data_lines(),
    *_control_lines(),
    *_control_rates(),
    *_control_voters(),
    *_control_times(),
    *_tier_lines(),
    *_discovery_lines(),
    *_operator_lines(),
)

"""What must hold of a run, and what is found where it does not: by the state of the members, not by time.

Processor time and memory of a busy machine are judged only against lines with a wide margin; where the hosts
starved, processor time and times are not judged at all.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dykeshift.scale.measures import Measured
from dykeshift.scale.role import WHOLE, MemberState
from dykeshift.scale.shard import Usage

MB = 1 << 20
CPU_LINE_MS_S = 18.0  # of control, for each balancer: 1.8% of a core
BYTES_LINE_S = 12_000.0
MEMORY_LINE_MB = 64.0
CHANGES_A_DAY = 3_400
GROWTH_LINE = MEMORY_LINE_MB * MB / CHANGES_A_DAY  # bytes a change: the whole line within a day
HIDDEN_SHARE = 0.1  # of a process's time, in threads that nobody is accounted for
HIDDEN_LEAST_NS = 200_000_000
CHEAPER = (
    0.8  # of the datagrams a second that a whole daemon sends at rest: with fewer a hollow one is no copy
)


BY_COST = frozenset({"budget-bytes", "budget-cpu", "budget-memory"})  # kinds that hold figures against lines


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that must not be."""

    kind: str
    text: str
    members: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """A change that a member has answered as committed."""

    version: int
    digest: str  # as the design tells it from others; empty: it does not


@dataclass(frozen=True, slots=True)
class Growth:
    """Resident bytes of all hosts over a number of changes, after some that fill what is bounded."""

    changes: int
    members: int
    before: int
    after: int

    @property
    def each(self) -> float:
        """Bytes for each change and member."""
        return (self.after - self.before) / max(1, self.changes) / max(1, self.members)


def states(found: Sequence[MemberState], expected: set[int], committed: Sequence[Committed]) -> list[Finding]:
    """At the end, after time to settle: nobody left behind, nothing lost, equal versions are equal."""
    findings = list[Finding]()
    there = {state.number: state for state in found}
    missing = sorted(expected - there.keys())
    if missing:
        findings.append(
            Finding("missing", f"{len(missing)} were started and are not at work", tuple(missing))
        )
    newest = max((state.held for state in found), default=0)
    late = sorted(s.number for s in found if s.held < newest or not s.in_force)
    if late:
        text = f"{len(late)} have not version {newest} in force"
        findings.append(Finding("left-behind", text, tuple(late)))
    findings += _members(found, expected)
    findings += _changes(found, committed)
    return findings


def _members(found: Sequence[MemberState], expected: set[int]) -> list[Finding]:
    findings = list[Finding]()
    tracking = [s for s in found if s.alive is not None]
    wrong = sorted(s.number for s in tracking if s.alive != len(expected))
    if wrong:
        text = f"{len(wrong)} do not hold {len(expected)} members for alive"
        findings.append(Finding("members", text, tuple(wrong)))
    if len({s.digest for s in tracking}) > 1:
        findings.append(Finding("members", "tables of members differ"))
    by_version = defaultdict[int, set[str]](set)
    for state in found:
        if state.content:
            by_version[state.held].add(state.content)
    differing = sorted(version for version, contents in by_version.items() if len(contents) > 1)
    if differing:
        findings.append(Finding("disagreement", f"version {differing[0]} is not the same at all"))
    return findings


def _changes(found: Sequence[MemberState], committed: Sequence[Committed]) -> list[Finding]:
    newest = max((state.held for state in found), default=0)
    lost = [c.version for c in committed if c.version > newest]
    acting = {(s.version, s.acted) for s in found}
    for change in committed:
        others = {acted for version, acted in acting if version == change.version} - {change.digest, ""}
        if change.digest and others:
            lost.append(change.version)
    findings = _never_in_force(found, committed, set(lost))
    if not lost:
        return findings
    return [
        *findings,
        Finding("lost-change", f"committed and gone: version {', '.join(map(str, sorted(set(lost))))}"),
    ]


def _never_in_force(
    found: Sequence[MemberState], committed: Sequence[Committed], lost: set[int]
) -> list[Finding]:
    """A change that the fleet has, and that it refused or still waits for."""
    acted = max((state.version for state in found if state.in_force), default=0)
    never = [c.version for c in committed if c.version > acted and c.version not in lost]
    return [Finding("never-in-force", f"committed, and acted on by nobody: {never}")] if never else []


def budgets(
    measured: Sequence[Measured], starved: bool, control: frozenset[str] = frozenset()
) -> list[Finding]:
    """Control's lines, held against the 99th of a hundred members of each kind at rest and at work.

    Not against whole daemons, whose account has their data path and the run's own questions in it, nor
    against kinds of members that are `control` machines: the lines are those of balancers.
    """
    findings = list[Finding]()
    for event in measured:
        for kind, rates in event.rates.items():
            if kind == WHOLE or kind in control:
                continue
            told = f"{kind}, {event.event}"
            for way, spread in (("sent", rates.bytes_s), ("received", rates.received_bytes_s)):
                if spread is not None and spread.p99 > BYTES_LINE_S:
                    text = f"{told}: {spread.p99:.0f} of {BYTES_LINE_S:.0f} bytes a second {way}"
                    findings.append(Finding("budget-bytes", text))
            if not starved and rates.cpu_ms_s is not None and rates.cpu_ms_s.p99 > CPU_LINE_MS_S:
                text = f"{told}: {rates.cpu_ms_s.p99:.1f} of {CPU_LINE_MS_S:.0f} ms a second"
                findings.append(Finding("budget-cpu", text))
    return findings


def memory(usages: Sequence[Usage], growth: Growth | None) -> list[Finding]:
    """The line of memory, and whether it would be crossed within a day of changes."""
    findings = list[Finding]()
    each = max((member_bytes(usage) for usage in usages), default=0.0)
    if each > MEMORY_LINE_MB * MB:
        findings.append(Finding("budget-memory", f"{each / MB:.1f} of {MEMORY_LINE_MB:.0f} MB"))
    if growth is not None and growth.each > GROWTH_LINE:
        text = f"{growth.each / 1024:.0f} KB a change and member, over {growth.changes} changes"
        findings.append(Finding("growth", text))
    return findings


def member_bytes(usage: Usage) -> float:
    """Resident bytes of each member of a host, beyond what the host had before."""
    return max(0, usage.rss_bytes - usage.idle_rss_bytes) / max(1, usage.members)


def accounts(
    usages: Sequence[Usage], counted: Mapping[int, int], found: Sequence[MemberState]
) -> list[Finding]:
    """Nobody hides what it costs: no time beside the members' thread, no bytes beside their ports.

    `counted`: bytes that left the port of each member's present life.
    """
    findings = list[Finding]()
    for usage in usages:
        beside = usage.cpu_ns - usage.thread_cpu_ns
        if beside > max(HIDDEN_LEAST_NS, HIDDEN_SHARE * usage.cpu_ns):
            findings.append(Finding("hidden-cost", f"{beside / 1e9:.2f} s in other threads of a host"))
    silent = sorted(s.number for s in found if s.said_bytes > counted.get(s.number, s.said_bytes))
    if silent:
        text = f"{len(silent)} say that they sent more than left their ports"
        findings.append(Finding("hidden-cost", text, tuple(silent)))
    return findings


def likeness(hollow_s: float, whole_s: float) -> list[Finding]:
    """Datagrams a second at rest, by each one's own figures: a hollow member does what a whole one does."""
    if hollow_s >= CHEAPER * whole_s:
        return []
    text = f"{hollow_s:.1f} datagrams a second, a whole daemon {whole_s:.1f}"
    return [Finding("looks-better", text)]


def faults(usages: Sequence[Usage]) -> list[Finding]:
    """Exceptions that nothing caught."""
    return [Finding("exception", text) for usage in usages for text in usage.faults]

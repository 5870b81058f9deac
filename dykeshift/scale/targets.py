"""The size in two years as typed constants: what is there, and what has to be kept.

A `Target` is a figure with its unit and where it comes from: given by the operators, or set here where they
gave none, with the reason. No figure of a measurement is in this file.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dykeshift.agree.proposals import LONGEST


# ---- sizes ----

MEMBERS = 930
UPSTREAMS = 10_000
SERVICES = 510
ROUTES = 2_400
TENANTS = 30_000
REGIONS = 2
ZONES = 5
REQUESTS = 190_000
"""A second, of all balancers at the peak."""
REQUESTS_EACH = REQUESTS / MEMBERS
"""A second, of one balancer."""
CHANGES_A_DAY = 3_400
HOURS_OF_CHANGES = 8
"""Of a day in which operators change things; set here."""
CHANGES_A_SECOND = CHANGES_A_DAY / (HOURS_OF_CHANGES * 3600)
MACHINES_LOST_A_DAY = 20
RESTARTS_A_DAY = 3_500
"""Of balancers and upstreams together."""
CONTROL_MACHINES = 9
SECONDS_A_DAY = 86_400
SECONDS_AN_HOUR = 3_600
LIST_CHANGES_A_RESTART = 3
"""Gone, started, ready."""
LIST_CHANGES_A_SECOND = RESTARTS_A_DAY * LIST_CHANGES_A_RESTART / SECONDS_A_DAY
ROLL_SECONDS = 3_600
"""In which a whole roll replaces every upstream; set here."""
MEASURED_CHANGES = 300
"""Changes after which `module.settings.kept` is looked at."""
GROWING_CHANGES = 9_000
"""Changes over which `module.class-change.memory` grows: nine tenths of 10,000."""
DAYS_KEPT = 16.0
"""Days of churn after which `engine.list.days-kept` has levelled off."""
SWEEP_SECONDS = 0.75
"""Between two sweeps of the decision module."""
POOL_SWEEP_SECONDS = 0.5
"""Between two looks for old connections."""
MS_A_SECOND = 1_000.0
PERCENT = 100.0
PART_OF_TEN = 10.0


class Bound(StrEnum):
    """On which side of its target a value has to be."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


@dataclass(frozen=True, slots=True)
class Target:
    """A figure that has to be kept."""

    what: str
    value: float
    unit: str
    bound: Bound = Bound.AT_MOST
    reason: str = ""
    """Why it is set here; empty for what the operators gave."""

    @property
    def given(self) -> bool:
        """Whether the operators gave it."""
        return not self.reason


LATENCY = Target("added to a request, 99 in 100", 2.7, "ms")
IN_FORCE = Target("a change in force everywhere", 10.0, "s")
PROCESSOR = Target("control of each balancer, processor time", 18.0, "ms/s")
MEMORY = Target("control of each balancer, memory", 64.0, "MB")
BYTES = Target("control of each balancer, bytes", 12_000.0, "bytes/s")
BALANCERS = Target("balancers that the cost is held for", MEMBERS, "members", Bound.AT_LEAST)

STALL = Target(
    "one piece of work on the request loop", 2.7, "ms", reason="what stalls the loop is added to requests"
)
RATE = Target("work on the request loop", 18.0, "ms/s", reason="as control's, which shares the core")
NONE_LOST = Target("requests lost to list changes", 1.0, "requests", reason="under one; a count has no half")
ZONE_WORK = Target(
    "a zone's upstreams off the list", 3.0, "s", reason="the module's overload window; clients wait so long"
)
RETURN = Target("back from nothing, at work", 60.0, "s", reason="the operators ask for a stated time")
SETTLE = Target("a loss known to all", 10.0, "s", reason="as a change")
NOBODY_BEHIND = Target("members left behind", 1.0, "members", reason="under one; a count has no half")
WAITING = Target(
    "changes wait for those before them", 10.0, "s", reason="a change has 10 s in all, waiting included"
)
TAKEN_LENGTH = Target(
    "the longest change that consensus takes",
    LONGEST,
    "bytes",
    reason="`LONGEST` of dykeshift/agree/proposals.py; a byte more is refused",
)
MACHINE_PROCESSOR = Target(
    "one of the control machines, processor time", 500.0, "ms/s", reason="half a core: work comes in bursts"
)
MACHINE_BYTES = Target(
    "one of the control machines, bytes",
    MEMBERS * BYTES.value / CONTROL_MACHINES,
    "bytes/s",
    reason="what 930 balancers may take at 12 KB/s, over nine machines",
)
MACHINE_MEMORY = Target(
    "one of the control machines, memory", 1_024.0, "MB", reason="a small machine set aside"
)
DISCOVERY_BYTES = Target(
    "discovery towards all balancers",
    MEMBERS * BYTES.value,
    "bytes/s",
    reason="no more than the balancers' own control may take",
)
DISCOVERY_RETURN = Target(
    "whole lists to all balancers at once", 60.0, "s", reason="over one link of 125 MB/s (1 Gbit/s)"
)
LINK_BYTES = 125_000_000.0
"""A second, of discovery's link; set here."""
BYTES_PER_MB = 1_000_000.0
BYTES_PER_KB = 1_000.0
WATCHES = Target(
    "watches that discovery holds",
    MEMBERS,
    "watches",
    Bound.AT_LEAST,
    reason="each balancer holds one on the whole list",
)
OPERATOR_WAIT = Target("an operator's change in force", 10.0, "s")

GIVEN_TARGETS: tuple[tuple[str, str], ...] = (
    ("balancers, upstreams, services", f"{MEMBERS}, {UPSTREAMS:,}, {SERVICES}"),
    ("requests a second at the peak", f"{REQUESTS:,} ({REQUESTS_EACH:.0f} for each balancer)"),
    ("routes, tenants", f"{ROUTES:,}, {TENANTS:,}"),
    ("added to a request, 99 in 100", f"{LATENCY.value:g} ms"),
    ("regions, zones", f"{REGIONS}, {ZONES}"),
    (
        "changes of configuration",
        f"{CHANGES_A_DAY:,} a day, in force everywhere within {IN_FORCE.value:g} s",
    ),
    (
        "for control, each balancer",
        f"{PROCESSOR.value / MS_A_SECOND:.1%} of a core, {MEMORY.value:g} MB, {BYTES.value / 1000:g} KB/s",
    ),
    ("machines set aside for control", f"{CONTROL_MACHINES}"),
    ("failures", f"{MACHINES_LOST_A_DAY} machines on an ordinary day; {RESTARTS_A_DAY:,} restarts a day"),
)

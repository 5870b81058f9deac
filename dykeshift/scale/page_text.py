"""The written parts of `docs/CAPACITY.md`; their figures are worked out from the targets alone."""

from __future__ import annotations

from dykeshift.scale.targets import (
    CHANGES_A_SECOND,
    CONTROL_MACHINES,
    IN_FORCE,
    MACHINES_LOST_A_DAY,
    MEMBERS,
    REGIONS,
    SECONDS_AN_HOUR,
)

HEAD = """
# Capacity: the size in two years

Written by `lifttrail scale page --write` from `benchmarks/results/capacity.json`; a test holds that page
and file agree. Nothing is changed by hand. What is *measured* was run at that very size; *interpolated*
lies between measured sizes; *extrapolated* goes beyond them by the fit, and is a reckoning. A line
without a measurement has no figure and is *not shown*. A factor is how many times the target the value
is: up to 1 fits. In brackets behind the basis stands the way; what is *played on the virtual clock* shows
the cores, not a whole daemon with sockets. How it is measured and read:
[operators/capacity.md](operators/capacity.md); ways weighed: [design/capacity.md](design/capacity.md).
"""

REGIONS_APART = """
## Regions apart for an hour: the design

Designed and worked out here, not built. It stands on keyed, versioned resources.

**What each side may change.** The voters lie in both regions, a majority in one of them (the *home*
region). Home goes on as always. The other region can commit nothing of the whole installation; it goes on
by these rules:

| kind of key | who may change it while apart |
| --- | --- |
| of one region (its servers' bans, its services, its tenants' limits) | that region, by its own log |
| keys of all (classes, routes, idempotency, tenants of both) | home only |
| overrides that only restrict (a ban, a class closed) | either side: their meet is the stricter one |
| lists of upstreams | each region's discovery, for its own |

A key names its region, so no two sides ever change one key, restricting overrides apart.

**What a balancer out there does.** Its leases on keys of all run out after one lease: it acts on the
joint configuration of what it has and of all that it heard was proposed, as one in doubt does today; on
keys of its own region it goes on with leases from its own region's replicas. Home's changes that
contradict wait one lease for those who cannot be reached; after that nobody acts on the old version
alone. Changes that contradict nothing wait for nobody.

**How the two become one.** Both logs have a version at which they parted. On joining, replicas exchange,
by key, what changed since then: a key of a region is taken from its region's log; restricting overrides
are united, each with its time of asking; keys of all come from home. No two values of one key compete, so
nothing has to be chosen and no operator is asked. The result is one transaction of home's log; the other
region's own log ends with it. Subscribers of the other region then fetch what differs, admitted in order,
each within its own bytes a second.

**What fails.** Home is lost whole: the other region cannot take over keys of all by itself; that stays an
operator's step (rescue), with the old majority fenced. A region's log is lost with all of its replicas
while apart: its changes since the parting are gone and are named.
"""


def regions_apart() -> str:
    """What an hour apart amounts to, from the targets."""
    changes = CHANGES_A_SECOND * SECONDS_AN_HOUR
    lost = MACHINES_LOST_A_DAY / 24
    behind = MEMBERS / REGIONS
    each = behind / (CONTROL_MACHINES // REGIONS)
    return (
        "**How much that is**, worked out from the targets, not measured: in the busiest hour "
        f"{changes:.0f} changes; {lost:.1f} machines are lost; {behind:.0f} balancers of one region come "
        f"back to at most {changes:.0f} changed keys each. Of {CONTROL_MACHINES} machines "
        f"{CONTROL_MACHINES // REGIONS} lie in the other region, so one of them has some {each:.0f} "
        f"subscribers to bring up to date. The {IN_FORCE.value:g} s hold for home while apart; for the other "
        "region they begin again at the joining. The lines of *regions apart for an hour* above say what of "
        "this was run."
    )

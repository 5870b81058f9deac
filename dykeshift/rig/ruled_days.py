"""Drawn days of balancers with versions on the virtual clock: operators change settings, lists and bans
through all of them while processes die, stand still and are cut off; in the end all must act on one version.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec

from dykeshift.agree.state import Options
from dykeshift.rig.campaign import KINDS, trouble
from dykeshift.rig.ruled import Ruled, drawn
from dykeshift.rig.virtual import SECOND
from dykeshift.versions.book import StoreState
from dykeshift.versions.changes import Change, Halt, Lists, Propose, Unban

SERVERS = ("s0", "s1", "s2", "s3")
MOST = 90.0  # seconds for all to rest once all is whole: a check, two leases, and what is under way


@dataclass
class Found:
    """What came of a day."""

    seed: int
    broken: list[str]
    changes: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    spans: list[float] = field(default_factory=list)  # seconds that two contradicted one another
    longest: dict[str, float] = field(default_factory=dict)
    doubts: int = 0  # processes that came to be in doubt after they had acted on something
    rescued: bool = False


def play(
    seed: int, members: tuple[int, ...] = (4, 5, 7, 9, 12), troubles: int = 8, world: type[Ruled] = Ruled
) -> Found:
    """One day. `world`: another for a baseline or a seeded defect."""
    random = Random(f"campaign/ruled/{seed}")
    count = random.choice(members)
    options = Options(
        voters=3 if count < 5 else random.choice((3, 5)),
        lease=4 * SECOND,
        replace=12 * SECOND,
        keep=random.choice((16, 256)),
    )
    disks = tuple(n for n in range(count) if random.random() < random.choice((0.0, 0.5, 1.0)))
    day = world(seed, count, options, disks)
    found = Found(seed, day.broken)
    if random.random() < 0.2:
        day.stubborn[random.randrange(count)] = "more at work than the settings say"
    day.start_all()
    if not day.run(30, day.led):
        day.broken.append("nobody led at first")
        return found
    for _ in range(random.randint(3, troubles)):
        day.run(random.choice((0.1, 0.5, 2.0, 4.0)))
        for _ in range(random.randint(0, 2)):
            _operate(day, random, found)
        day.run(random.choice((0.05, 0.3, 1.0, 5.0)))
        trouble(day, random, KINDS)
    found.rescued = _peace(day)
    for what in list(day.conflicts):
        day.end(what)
    found.spans, found.longest = day.spans, dict(day.longest)
    found.doubts = day.doubts
    up = day.up()
    for outcome in up[0].view.ruled.store.state.outcomes if up else ():
        found.outcomes[outcome.how] += 1
    return found


def _operate(day: Ruled, random: Random, found: Found) -> None:
    """An operator at some balancer that runs."""
    up = [s for s in day.up() if s.view is not None]
    if not up:
        return
    spot = random.choice(up)
    kind = random.choice(
        ("propose", "propose", "propose", "stage", "ban", "ban", "unban", "lists", "halt", "rollback")
    )
    if kind == "ban":
        spot.view.ruled.ban(random.choice(SERVERS))
        return
    book = spot.view.ruled.store
    change = _change(day, random, kind, book.state)
    if change is not None:
        found.changes[kind if not day.order(spot.number, change) else "turned down here"] += 1
        if kind == "stage" and random.random() < 0.3:
            day.harmful.add(book.state.version + 1)


def _change(day: Ruled, random: Random, kind: str, pages: StoreState) -> Change | None:
    """The change of that kind; None where there is nothing that it could be about."""
    if kind in ("propose", "stage"):
        stages = ((random.randrange(len(day.spots)),),) if kind == "stage" else ()
        return Propose(msgspec.Raw(drawn(random).encode()), "operator", stages, random.random() < 0.1)
    if kind == "rollback" and pages.past:
        past = random.choice(pages.past)
        if past.settings:
            return Propose(msgspec.Raw(past.settings.encode()), "operator", of=past.version)
    if kind == "halt" and pages.pending is not None:
        return Halt(pages.pending.rules.version, "by hand")
    if kind == "lists":
        return Lists(
            preferred=(random.choice(SERVERS),),
            wary=(random.choice(SERVERS),),
            doubt=random.choice(("serve", "refuse")),
        )
    if kind == "unban" and pages.out:
        return Unban(random.choice(sorted(pages.out)), "operator")
    return None


def _peace(day: Ruled) -> bool:
    """All back and whole; whether a rescue by hand was needed."""
    day.mend()
    if day.run(MOST, day.at_rest):
        return False
    if day.electable():
        day.broken.append(f"not at rest though a majority is there: {_told(day)}")
        return False
    best = max(day.up(), key=lambda s: (s.view.core.shared.epoch[1:], s.view.core.shared.commit))
    why = day.rescue(best.number)
    if why or not day.run(MOST, day.at_rest):
        day.broken.append(f"not at rest after a rescue: {why} {_told(day)}")
    return True


def _told(day: Ruled) -> list[tuple[str, str, int, int, str]]:
    return [
        (
            s.name,
            s.view.ruled.effective.mode,
            s.view.ruled.effective.version,
            s.view.ruled.store.state.version,
            str(day.phase(s.number)),
        )
        for s in day.up()
    ]

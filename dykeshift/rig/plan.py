"""A day of the rig: steps of faults, and what has to come of each. Read from TOML or drawn from a seed."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from random import Random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Kind = Literal[
    "kill",
    "start",
    "stop",
    "continue",
    "term",
    "hup",
    "upgrade",
    "cut",
    "one-way",
    "mend",
    "weather",
    "twin",
    "stranger",
    "other-key",
    "replay",
    "wall",
    "spoil",
    "rescue",
    "leader",
    "propose",
    "stage",
    "ban",
    "unban",
    "rollback",
    "alone",
    "lists",
]
KINDS: tuple[str, ...] = Kind.__args__  # type: ignore[attr-defined]


class PlanError(ValueError):
    """A day that cannot be played; its text is one line."""


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """`who`: balancers by number. `cut`: `groups` that hear only themselves. `one-way`: `who[0]` is not heard
    by `who[1]`, or by all. `wall`: started again with a wall clock `size` seconds ahead. `spoil`: the file of
    its agreement, while it does not run. `rescue`: a history that has lost its voters goes on there.
    `leader`: whoever leads the history is killed (`size` 0) or stopped (1). Orders at `who[0]`: `propose` and
    `stage` (`groups`) settings number `size` of `operators.variant`; `ban`, `unban`, `lists` of the sender of
    that number; `rollback` to that version; `alone`."""

    kind: Kind
    who: tuple[int, ...] = ()
    groups: tuple[tuple[int, ...], ...] = ()
    size: float = 0.0
    loss: Annotated[float, Meta(ge=0, le=0.9)] = 0.0
    double: Annotated[float, Meta(ge=0, le=1)] = 0.0
    late: Annotated[float, Meta(ge=0, le=1)] = 0.0


class Step(Struct, frozen=True, forbid_unknown_fields=True):
    """`hold`: protocol periods of every process that must pass after the faults, before anything is awaited.
    `rest`: whether all that reach one another must then come to one settled view. `given_up`: whether those
    with a majority must come to count the lost ones out."""

    faults: tuple[Fault, ...] = ()
    hold: Annotated[int, Meta(ge=0, le=10_000)] = 0
    rest: bool = True
    given_up: bool = False
    level: bool = False  # whether all that run must come to the same history
    ruled: bool = False  # whether all that run must come to act on one version
    repeated: bool = False  # whether a request of the watched class must have been run a second time


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """A day: who takes part, under what terms, and its steps."""

    name: str = "day"
    balancers: Annotated[int, Meta(ge=1, le=40)] = 5
    period_s: Annotated[float, Meta(ge=0.05, le=5)] = 0.2
    lease_s: Annotated[float, Meta(ge=2, le=600)] = 30.0
    spare: Annotated[int, Meta(ge=0, le=4)] = 0  # places beyond the balancers, for twins and strangers
    shuffled: bool = False  # each has its peers in an order of its own, the last one a shorter list
    held: bool = False  # the platform holds the listeners, so that an upgrade is possible
    absent: tuple[int, ...] = ()  # balancers that are not started at first
    agree: bool = False  # they share a history, and clients change and read it all the time
    versions: bool = False  # they share a history of settings, and are asked by clients all the time
    voters: Literal[1, 3, 5] = 3
    disks: tuple[int, ...] = ()  # balancers whose agreement is kept on a disk
    agree_lease_s: Annotated[float, Meta(ge=2, le=600)] = 5.0
    step: tuple[Step, ...] = ()


@dataclass(frozen=True, slots=True)
class Limits:
    """In protocol periods of the process concerned."""

    lag: int  # until a loss or a return is known to all that are in reach
    settle: int  # until they have settled

    @classmethod
    def of(cls, plan: Plan) -> Limits:
        """The limits for a plan's number of balancers."""
        return cls(lag=30 + plan.balancers, settle=120)


def load(text: str) -> Plan:
    """From TOML; PlanError says what is wrong."""
    try:
        plan = msgspec.convert(tomllib.loads(text), Plan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise PlanError(str(exc)) from None
    places = plan.balancers + plan.spare
    for step in plan.step:
        for fault in step.faults:
            named = [*fault.who, *(n for group in fault.groups for n in group)]
            if any(not 0 <= n < places for n in named):
                raise PlanError(f"{fault.kind} names a balancer that is not there: 0 to {places - 1} are")
            if fault.kind == "upgrade" and not plan.held:
                raise PlanError("an upgrade wants held = true")
    return plan


def dump(plan: Plan) -> str:
    """The plan as JSON."""
    return msgspec.json.encode(plan).decode()


def draw(seed: int, fewest: int = 5, most: int = 12) -> Plan:
    """The day of a seed: two to four steps, each a fault and what mends it."""
    random = Random(f"rig/{seed}")
    count = random.randint(fewest, most)
    steps = [Step()]
    for _ in range(random.randint(2, 4)):
        steps += _trouble(random, count)
    return Plan(f"seed-{seed}", count, period_s=0.1, step=tuple(steps), shuffled=random.random() < 0.2)


def _some(random: Random, count: int, most: int) -> tuple[int, ...]:
    return tuple(sorted(random.sample(range(count), random.randint(1, max(1, most)))))


def _parted(random: Random, count: int, parts: int) -> tuple[tuple[int, ...], ...]:
    order = random.sample(range(count), count)
    cuts = sorted(random.sample(range(1, count), parts - 1))
    return tuple(tuple(sorted(order[a:b])) for a, b in zip([0, *cuts], [*cuts, count], strict=True))


def _trouble(random: Random, count: int) -> list[Step]:
    kind = random.choice(
        [
            "kill",
            "kill-most",
            "flicker",
            "cut",
            "three",
            "stop",
            "weather",
            "one-way",
            "term",
            "wall",
            "deaf",
            "roll",
        ]
    )
    mend = Step((Fault("mend"),))
    hold = random.choice([0, 5, 20])
    if kind in ("kill", "kill-most", "term", "wall"):
        who = _some(random, count, count * 7 // 10 if kind == "kill-most" else max(1, count // 3))
        lost = Step((Fault("term" if kind == "term" else "kill", who),), hold)
        if kind == "wall":
            return [Step((Fault("kill", who), Fault("wall", who, size=random.choice([-3600.0, 3600.0]))))]
        return [lost, Step((Fault("start", who),))]
    if kind == "flicker":
        who = _some(random, count, 2)
        return [Step((Fault("kill", who), Fault("start", who)))]
    if kind in ("cut", "three"):
        parted = _parted(random, count, 3 if kind == "three" else 2)
        steps = [Step((Fault("cut", groups=parted),), hold)]
        if kind == "three":
            steps.append(Step((Fault("cut", groups=(parted[0] + parted[1], parted[2])),)))
        return [*steps, mend]
    if kind == "stop":
        who = _some(random, count, max(1, count // 3))
        return [Step((Fault("stop", who),), 20, random.random() < 0.5), Step((Fault("continue", who),))]
    if kind == "weather":
        bad = Fault(
            "weather",
            loss=random.choice([0.1, 0.3]),
            double=random.choice([0, 0.3]),
            late=random.choice([0, 0.2]),
        )
        return [
            Step((bad, Fault("kill", (0,))), 30, rest=False),
            Step((Fault("weather"), Fault("start", (0,)))),
        ]
    if kind == "one-way":
        who = _some(random, count, 2)
        return [Step((Fault("one-way", (who[0], (who[0] + 1) % count)),), 25), mend]
    if kind == "deaf":
        return [Step((Fault("one-way", _some(random, count, 1)),), 25, rest=False), mend]
    first, second = tuple(range(count // 2)), tuple(range(count // 2, count))
    return [
        Step((Fault("term", first[:2]),), rest=False),
        Step((Fault("start", first[:2]), Fault("kill", second[:1]))),
        Step((Fault("start", second[:1]),)),
    ]


def draw_history(seed: int, fewest: int = 5, most: int = 12) -> Plan:
    """The day of a seed for balancers that share a history: losses that leave a majority of the voters, or
    not."""
    random = Random(f"rig/agree/{seed}")
    count = random.randint(fewest, most)
    disks = tuple(n for n in range(count) if random.random() < random.choice((0.0, 1.0, 0.5)))
    steps = [Step(rest=False, level=True)]
    for _ in range(random.randint(2, 4)):
        steps += _history_trouble(random, count, disks)
    return Plan(
        f"agree-{seed}",
        count,
        period_s=0.2,
        step=tuple(steps),
        agree=True,
        voters=random.choice((3, 5)),
        disks=disks,
    )


def draw_rules(seed: int, fewest: int = 5, most: int = 9) -> Plan:
    """The day of a seed for balancers with settings in versions: the class turns unsafe and safe again,
    servers go out and come back, while processes are lost, stand still and are cut off."""
    random = Random(f"rig/rules/{seed}")
    count = random.randint(fewest, most)
    steps, unsafe = [Step(rest=False, ruled=True)], False
    for _ in range(random.randint(2, 3)):
        unsafe = not unsafe
        steps += _rules_trouble(random, count, unsafe)
    disks = tuple(n for n in range(count) if random.random() < random.choice((0.0, 1.0)))
    return Plan(
        f"rules-{seed}",
        count,
        period_s=0.1,
        step=tuple(steps),
        versions=True,
        agree_lease_s=3.0,
        voters=random.choice((3, 5)),
        disks=disks,
    )


def _rules_trouble(random: Random, count: int, unsafe: bool) -> list[Step]:
    """A change under a fault, and what mends it; then all must act on one version."""
    kind = random.choice(["kill", "flicker", "cut", "stop", "leader", "weather", "one-way", "term", "none"])
    ask = random.randrange(count)
    orders: tuple[Fault, ...] = (Fault("propose", (ask,), size=float(unsafe)),)
    if random.random() < 0.4:
        orders += (Fault("ban", (random.randrange(count),), size=float(random.randrange(4))),)
    one, hold = _some(random, count, 1), random.choice([5, 20, 60])
    others = tuple(n for n in range(count) if n not in one)
    everybody = tuple(range(count))
    faults: dict[str, tuple[tuple[Fault, ...], tuple[Fault, ...]]] = {
        "kill": ((Fault("kill", one),), (Fault("start", one),)),
        "term": ((Fault("term", one),), (Fault("start", one),)),
        "flicker": ((Fault("kill", one), Fault("start", one)), ()),
        "stop": ((Fault("stop", one),), (Fault("continue", one),)),
        "leader": (
            (Fault("leader", size=float(random.random() < 0.5)),),
            (Fault("continue", everybody), Fault("start", everybody)),
        ),
        "cut": ((Fault("cut", groups=(one, others)),), (Fault("mend"),)),
        "weather": ((Fault("weather", loss=0.3, double=0.1),), (Fault("weather"),)),
        "one-way": ((Fault("one-way", (one[0], others[0])),), (Fault("mend"),)),
        "none": ((), ()),
    }
    fault, mended = faults[kind]
    first, then = (fault, orders) if random.random() < 0.5 else (orders, fault)
    back = tuple(Fault("unban", (random.randrange(count),), size=o.size) for o in orders if o.kind == "ban")
    return [
        Step(first, random.choice([0, 2, 10]), False),
        Step(then, hold, False),
        Step(mended, rest=False, ruled=True),
        Step(back, 10, False, ruled=True),
    ]


def _history_trouble(random: Random, count: int, disks: tuple[int, ...]) -> list[Step]:
    """A fault for a while, and what mends it; then all must have the same history."""
    kind = random.choice(
        ["kill", "flicker", "cut", "stop", "leader", "leader", "weather", "one-way", "term", "spoil"]
    )
    hold, well = random.choice([2, 10, 30]), Step(rest=False, level=True)
    one = _some(random, count, 1)
    if kind in ("kill", "term", "flicker"):
        who = one if kind != "flicker" else _some(random, count, 2)[:1]
        lost = Step(
            (Fault("term" if kind == "term" else "kill", who),), 0 if kind == "flicker" else hold, False
        )
        return [lost, Step((Fault("start", who),), rest=False, level=True)]
    if kind == "leader":
        return [
            Step((Fault("leader", size=float(random.random() < 0.5)),), hold, False),
            Step(
                (Fault("continue", tuple(range(count))), Fault("start", tuple(range(count)))),
                rest=False,
                level=True,
            ),
        ]
    if kind == "spoil" and disks:
        who = (random.choice(disks),)
        return [Step((Fault("kill", who), Fault("spoil", who), Fault("start", who)), rest=False, level=True)]
    if kind == "stop":
        who = _some(random, count, max(1, count // 3))
        return [
            Step((Fault("stop", who),), hold, False),
            Step((Fault("continue", who),), rest=False, level=True),
        ]
    if kind == "weather":
        bad = Fault(
            "weather",
            loss=random.choice([0.1, 0.3]),
            double=random.choice([0, 0.3]),
            late=random.choice([0, 0.1]),
        )
        return [Step((bad,), 30, False), Step((Fault("weather"),), rest=False, level=True)]
    if kind == "one-way":
        who = _some(random, count, 2)
        return [
            Step((Fault("one-way", (who[0], (who[0] + 1) % count)),), hold, False),
            Step((Fault("mend"),), rest=False, level=True),
        ]
    parted = _parted(random, count, 2)
    return [
        Step((Fault("cut", groups=parted),), hold, False),
        Step((Fault("mend"),), rest=False, level=True),
        well,
    ]

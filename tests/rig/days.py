"""The days of real processes that CI plays: each fault that the view and the agreement are for."""

from __future__ import annotations

from typing import Any, cast

from dykeshift.rig.plan import Fault, Plan, Step, load

HEAD = "period_s = 0.1\n"

DAYS = {
    "seven in ten killed at once": """
balancers = 10
[[step]]
[[step]]
faults = [{kind = "kill", who = [0, 1, 2, 3, 4, 5, 6]}]
[[step]]
faults = [{kind = "start", who = [0, 1, 2, 3, 4, 5, 6]}]
""",
    "cut in half and whole again": """
balancers = 6
[[step]]
[[step]]
faults = [{kind = "cut", groups = [[0, 1, 2], [3, 4, 5]]}]
hold = 20
[[step]]
faults = [{kind = "mend"}]
""",
    "three groups joined in two steps": """
balancers = 7
[[step]]
[[step]]
faults = [{kind = "cut", groups = [[0, 1], [2, 3, 4], [5, 6]]}]
[[step]]
faults = [{kind = "cut", groups = [[0, 1, 2, 3, 4], [5, 6]]}]
[[step]]
faults = [{kind = "mend"}]
""",
    "one lost for longer than the lease": """
balancers = 5
lease_s = 5.0
[[step]]
[[step]]
faults = [{kind = "kill", who = [3]}]
given_up = true
[[step]]
faults = [{kind = "start", who = [3]}]
""",
    "stopped for longer than every time-out, then awake": """
balancers = 5
lease_s = 5.0
[[step]]
[[step]]
faults = [{kind = "stop", who = [1]}]
given_up = true
[[step]]
faults = [{kind = "continue", who = [1]}]
""",
    "a crash and a start within one period": """
balancers = 5
[[step]]
[[step]]
faults = [{kind = "kill", who = [2]}, {kind = "start", who = [2]}]
""",
    "heard by none, then hearing none": """
balancers = 5
[[step]]
[[step]]
faults = [{kind = "one-way", who = [0]}]
hold = 25
rest = false
[[step]]
faults = [{kind = "mend"}]
""",
    "restarted in turn while a zone is cut off": """
balancers = 8
[[step]]
[[step]]
faults = [{kind = "cut", groups = [[0, 1, 2], [3, 4, 5, 6, 7]]}, {kind = "term", who = [2, 3]}]
rest = false
[[step]]
faults = [{kind = "start", who = [2, 3]}, {kind = "term", who = [4, 5]}]
rest = false
[[step]]
faults = [{kind = "start", who = [4, 5]}, {kind = "mend"}]
""",
    "a third lost on the way, doubled and late": """
balancers = 6
[[step]]
[[step]]
faults = [{kind = "weather", loss = 0.3, double = 0.2, late = 0.1}]
hold = 60
rest = false
[[step]]
faults = [{kind = "weather"}, {kind = "replay", size = 500}]
""",
    "two under one name, a stranger, another key": """
balancers = 5
spare = 3
[[step]]
[[step]]
faults = [{kind = "stranger", who = [6]}, {kind = "other-key", who = [7]}]
hold = 10
[[step]]
faults = [{kind = "twin", who = [5], size = 1}]
""",
    "an upgrade is one member": """
balancers = 4
held = true
[[step]]
[[step]]
faults = [{kind = "upgrade", who = [1, 2]}]
hold = 10
[[step]]
faults = [{kind = "hup", who = [0]}]
""",
    "wall clock an hour back, and lists of peers that differ": """
balancers = 5
shuffled = true
[[step]]
[[step]]
faults = [{kind = "kill", who = [1]}, {kind = "wall", who = [1], size = -3600.0}]
""",
}

EVERYBODY = tuple(range(8))
WEATHER = Fault("weather", loss=0.3, double=0.2, late=0.1)
# Balancers, voters, disks; faults in turn, after the last of which all have to come to one history.
HISTORIES: dict[str, tuple[int, int, tuple[int, ...], list[tuple[Fault, ...]]]] = {
    "the leader is killed": (5, 3, (), [(Fault("leader"),), (Fault("start", EVERYBODY),)]),
    "the leader stands still, then wakes": (
        5,
        3,
        (),
        [(Fault("leader", size=1),), (Fault("continue", EVERYBODY),)],
    ),
    "a minority is cut off": (5, 5, (), [(Fault("cut", groups=((0, 1), (2, 3, 4))),), (Fault("mend"),)]),
    "all others are cut off from one": (
        6,
        3,
        (),
        [(Fault("cut", groups=((0,), (1, 2, 3, 4, 5))),), (Fault("mend"),)],
    ),
    "two of five voters from nothing at once": (
        6,
        5,
        (),
        [(Fault("kill", (0, 1)),), (Fault("start", (0, 1)),)],
    ),
    "all at once, with disks": (
        4,
        3,
        (0, 1, 2, 3),
        [(Fault("kill", (0, 1, 2, 3)),), (Fault("start", (0, 1, 2, 3)),)],
    ),
    "a spoilt file": (
        4,
        3,
        (0, 1, 2, 3),
        [(Fault("kill", (1,)), Fault("spoil", (1,))), (Fault("start", (1,)),)],
    ),
    "a third is lost on the way": (5, 3, (), [(WEATHER,), (Fault("weather"),)]),
    "one way between two": (5, 3, (), [(Fault("one-way", (0, 1)),), (Fault("mend"),)]),
    "a voter leaves in order": (6, 3, (), [(Fault("term", (0,)),), (Fault("start", (0,)),)]),
    "the wall clock an hour back": (5, 3, (), [(Fault("kill", (2,)),), (Fault("wall", (2,), size=-3600.0),)]),
    "three of three voters lost": (
        7,
        3,
        (),
        [(Fault("kill", (0, 2, 4)),), (Fault("rescue", (1,)),), (Fault("start", (0, 2, 4)),)],
    ),
}


def order(kind: Any, at: int = 0, size: float = 0.0, groups: Any = ()) -> Fault:
    return Fault(kind, (at,), size=size, groups=groups)


UNSAFE, SAFE = order("propose", 1, 1.0), order("propose", 1, 0.0)

# Settings in versions: balancers, steps of faults and orders. In the end all act on one version.
RULED: dict[str, tuple[int, list[tuple[Fault, ...]]]] = {
    "a class turns unsafe while a third is cut off": (
        6,
        [(Fault("cut", groups=((0, 1, 2, 3), (4, 5))), UNSAFE), (Fault("mend"), SAFE)],
    ),
    "a ban put on the small side": (
        5,
        [
            (Fault("cut", groups=((0, 1, 2), (3, 4))), order("ban", 4, 2.0)),
            (Fault("mend"),),
            (order("unban", 1, 2.0),),
        ],
    ),
    "whoever proposed dies": (5, [(UNSAFE, Fault("kill", (1,))), (Fault("start", (1,)),)]),
    "whoever leads dies in the middle": (5, [(UNSAFE, Fault("leader")), (Fault("start", (0, 1, 2, 3, 4)),)]),
    "one stands still for longer than C": (
        5,
        [(Fault("stop", (3,)), UNSAFE), (Fault("continue", (3,)),), (order("rollback", 0, 1.0),)],
    ),
    "one comes back from nothing in the middle": (5, [(UNSAFE, Fault("kill", (4,)), Fault("start", (4,)))]),
    "a class turns unsafe at a third of loss": (5, [(WEATHER, UNSAFE), (Fault("weather"), SAFE)]),
    "a harmful version is refused": (4, [(order("propose", 1, 3.0),), (UNSAFE,)]),
    "in stages, and out by hand meanwhile": (
        5,
        [(order("stage", 1, 1.0, ((2,), (3, 4))), order("ban", 0, 1.0)), (order("unban", 3, 1.0),)],
    ),
    "most voters are lost, and one goes on alone": (
        4,
        [(UNSAFE,), (Fault("kill", (0, 1)),), (order("alone", 2), Fault("start", (0, 1))), (SAFE,)],
    ),
}


def ruled(name: str) -> Plan:
    balancers, faults = RULED[name]
    steps = [Step(rest=False, ruled=True, repeated=True), *(Step(step, 55, False) for step in faults)]
    return Plan(
        name,
        balancers,
        0.1,
        step=(*steps, Step(rest=False, ruled=True)),
        versions=True,
        agree_lease_s=3.0,
        voters=3,
    )


assert not RULED.keys() & {*DAYS, *HISTORIES}


def plan(name: str) -> Plan:
    if name in RULED:
        return ruled(name)
    if name not in HISTORIES:
        return load(HEAD + f'name = "{name}"\n' + DAYS[name])
    balancers, voters, disks, faults = HISTORIES[name]
    some = [
        tuple(f if f.who != EVERYBODY else Fault(f.kind, tuple(range(balancers))) for f in step)
        for step in faults
    ]
    steps = [Step(rest=False, level=True), *(Step(step, 30, False) for step in some)]
    return Plan(
        name,
        balancers,
        0.2,
        step=(*steps, Step(rest=False, level=True)),
        agree=True,
        voters=cast(Any, voters),
        disks=disks,
    )

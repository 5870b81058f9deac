"""The judge knows the record only; each of its rules is shown a record that breaks it, and a sound one."""

from __future__ import annotations

from typing import Any

import pytest

from dykeshift.rig.judge import RULES, Judge, Line
from dykeshift.rig.plan import Limits, PlanError, draw, load

NAMES = {0: "n0", 1: "n1", 2: "n2"}


def truth(**changes: Any) -> Line:
    return {
        "what": "truth",
        "names": NAMES,
        "stopped": [],
        "born": [],
        "seen": 0,
        "groups": [],
        "one_way": [],
        "places": 3,
        "long": False,
        **changes,
    }


def view(place: int, **changes: Any) -> Line:
    return {
        "what": "view",
        "place": place,
        "seen": 1,
        "self": f"n{place}",
        "settled": True,
        "at_least": 3,
        "at_most": 3,
        "digest": "d",
        "periods": 50,
        "holds_lease": True,
        "twin": False,
        "yielded": False,
        "alone": False,
        "woken": 0,
        "woken_at": 0,
        "members": dict.fromkeys(NAMES.values(), "alive"),
        **changes,
    }


def judged(*lines: Line) -> list[str]:
    judge = Judge(Limits(lag=10, settle=50))
    for line in lines:
        judge.read(line)
    return [breach.rule for breach in judge.breaches]


REST: Line = {"what": "rest", "given_up": False, "twins": False}
WHOLE = [truth(born=[0, 1, 2]), view(0), view(1), view(2)]
LOST = truth(names={0: "n0", 1: "n1"}, seen=4)
REMOVED = {"n0": "alive", "n1": "alive", "n2": "unreachable"}

BROKEN: dict[str, tuple[str, list[Line]]] = {
    "counts out who runs": ("at-most", [*WHOLE, view(0, at_most=2)]),
    "counts out who holds the lease": (
        "at-most",
        [*WHOLE, truth(long=True), view(1), view(2), view(0, at_most=1)],
    ),
    "counts who has long been lost": (
        "at-least",
        [*WHOLE, LOST, view(0, periods=70, seen=5), view(0, periods=85, seen=5)],
    ),
    "removes who is in reach": ("removed", [*WHOLE, view(0, periods=70, members=REMOVED), view(2)]),
    "two digests": ("settled", [*WHOLE, view(1, digest="e"), REST]),
    "never settles": ("settled", [*WHOLE, view(1, settled=False), REST]),
    "holds a lost one for alive": ("settled", [*WHOLE, LOST, view(0, seen=5), view(1, seen=5), REST]),
    "does not count out": (
        "settled",
        [
            *WHOLE,
            LOST,
            *(view(n, seen=5, at_least=2, members={"n0": "alive", "n1": "alive"}) for n in (0, 1)),
            {**REST, "given_up": True},
        ],
    ),
    "ends by itself": ("ended", [*WHOLE, {"what": "ended", "place": 1}]),
    "a twin that nobody says": ("twin", [*WHOLE, {**REST, "twins": True}]),
}


@pytest.mark.parametrize("name", BROKEN)
def test_each_breach_is_found(name: str) -> None:
    rule, lines = BROKEN[name]
    assert set(judged(*lines)) == {rule}


def test_every_rule_is_shown_a_breach_and_a_sound_record_has_none() -> None:
    assert {rule for rule, _ in BROKEN.values()} == set(RULES)
    lost = [
        view(n, seen=5, at_least=2, members={"n0": "alive", "n1": "alive", "n2": "unreachable"}, periods=70)
        for n in (0, 1)
    ]
    assert judged(*WHOLE, REST, LOST, view(0, periods=55, seen=5), *lost, REST) == []


def test_who_stood_still_accuses_and_is_accused_without_a_breach() -> None:
    accuser = view(0, periods=70, members=REMOVED)
    assert judged(*WHOLE, accuser, view(2, woken=1)) == []  # it was silent in truth
    assert judged(*WHOLE, view(2, woken=1, woken_at=45), accuser, view(2, woken=1, woken_at=45)) == []
    assert judged(*WHOLE, {**accuser, "woken_at": 65}, view(2)) == []
    assert judged(*WHOLE, {**accuser, "woken_at": 55}, view(2)) == ["removed"]


def test_sides_of_a_cut_are_judged_each_by_itself() -> None:
    parted = truth(groups=[[0], [1, 2]], seen=4)
    one = view(0, seen=5, at_least=1, digest="x", members={"n0": "alive", "n1": "unreachable"})
    two = [view(n, seen=5, at_least=2, members={"n1": "alive", "n2": "alive"}) for n in (1, 2)]
    assert judged(*WHOLE, parted, one, *two, REST) == []


@pytest.mark.parametrize(
    "text, said",
    [
        ("balancers = 0", "balancers"),
        ("[[step]]\nfaults = [{kind = 'melt'}]", "melt"),
        ("balancers = 3\n[[step]]\nfaults = [{kind = 'kill', who = [3]}]", "0 to 2"),
        ("[[step]]\nfaults = [{kind = 'upgrade', who = [0]}]", "held"),
        ("balancers = ", "Invalid"),
    ],
)
def test_a_day_that_cannot_be_played_is_said_in_a_line(text: str, said: str) -> None:
    with pytest.raises(PlanError, match=said):
        load(text)


def test_a_seed_is_one_day() -> None:
    assert draw(7) == draw(7) != draw(8)

"""Each rule of a day with settings in versions is broken by a record with a planted fault, and kept
without."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from dykeshift.rig.witness import CLASS, Witness, judge, margins, unruled
from dykeshift.standins.messages import Message
from dykeshift.standins.sender import Sender

S = 1_000_000_000
C = 3.0


def rules(name: str, at: float, version: int, mode: str = "in force", **more: Any) -> dict[str, Any]:
    line = {
        "what": "rules",
        "place": int(name[1:]),
        "self": name,
        "asked": int(at * S),
        "answered": int(at * S),
        "mode": mode,
        "version": version,
        "book": version,
        "digest": f"d{version}",
        "history": "h",
        "epoch": 1,
        "pending": None,
        "out": [],
    }
    return {**line, **more}


def ran(by: str, at: float, nth: int = 1, server: str = "s0") -> dict[str, Any]:
    return {"what": "ran", "t": int(at * S), "by": by, "klass": CLASS, "server": server, "nth": nth}


def order(kind: str, start: float, by: str = "n0", server: str = "s9") -> dict[str, Any]:
    return {
        "what": "order",
        "kind": kind,
        "by": by,
        "server": server,
        "status": 200,
        "start": int(start * S),
        "end": int((start + 0.1) * S),
        "answer": None,
    }


TEXTS = [{"what": "text", "version": v, "kinds": {CLASS: k}} for v, k in ((1, "pure"), (2, "side_effect"))]
SOUND = [
    *TEXTS,
    rules("n0", 1, 1),
    rules("n1", 1, 1),
    order("propose", 2),
    ran("n1", 3, 2),
    rules("n0", 10, 2),
    rules("n1", 10.1, 2),
    ran("n1", 12),
    order("ban", 13, "n0", "s3"),
    ran("n1", 13.5, server="s3"),
    rules("n0", 14, 2, out=["s3"], digest="e"),
    rules("n1", 18, 2, out=["s3"], digest="e"),
    ran("n0", 18.5),
    rules("n0", 19, 2, out=["s3"], digest="e"),
    order("unban", 20, server="s3"),
    ran("n0", 21, server="s3"),
    order("propose", 22),
    ran("n1", 30, 2),
    {"what": "ruled", "why": ""},
]
SOUND = [{**line, "book": 3} if line.get("digest") == "e" else line for line in SOUND]


def test_a_sound_record_keeps_every_rule() -> None:
    assert judge(SOUND, C) == []
    assert margins(SOUND) == [7.0]


@pytest.mark.parametrize(
    "rule, line",
    [
        ("settings", ran("n1", 12, 2)),
        ("ban", ran("n0", 14, server="s3")),
        ("ban", ran("n1", 18.5, server="s3")),
        ("book", rules("n1", 19, 2, digest="f")),
        ("ruled", {"what": "ruled", "why": "they act on two"}),
    ],
)
def test_a_planted_fault_is_found(rule: str, line: dict[str, Any]) -> None:
    record = [*SOUND, line, rules("n1", 19.5, 2, book=3, digest="e", out=["s3"])]
    assert {found for found, _ in judge(record, C)} == {rule}


def test_what_the_rig_saw_late_is_not_held_against_anybody() -> None:
    starved = {"what": "starved", "seconds": 3.0, "t": int(12.0 * S)}
    assert judge([*SOUND, ran("n1", 12.1, 2)], C) != [] == judge([*SOUND, starved, ran("n1", 12.1, 2)], C)


def test_one_in_doubt_may_not_know_of_a_ban() -> None:
    doubt = [rules("n1", 18.2, 2, "doubtful", book=3, digest="e"), ran("n1", 18.5, server="s3")]
    assert judge([*SOUND, *doubt], C) == []


def test_all_act_on_one_version_or_it_is_said_why_not() -> None:
    one, other = rules("n0", 1, 2), rules("n1", 1, 2)
    assert unruled({0: one, 1: other}, [0, 1]) == "" != unruled({0: one}, [0, 1])
    assert "doubtful" in unruled({0: one, 1: {**other, "mode": "doubtful"}}, [0, 1])
    assert "'middle'" in unruled({0: {**one, "pending": "middle"}, 1: {**other, "pending": "middle"}}, [0, 1])


def test_the_witness_counts_what_is_run_a_second_time() -> None:
    lines = list[dict[str, Any]]()
    witness = Witness(lines.append, by={"a": ("n0", CLASS), "b": ("n1", "another")})
    sender = cast(Sender, SimpleNamespace(name="s0"))
    for rid in "abbab":
        witness.ran(sender, Message(f"GET / HTTP/1.1\r\nx-request-id: {rid}"), False)
    assert witness.repeats == {CLASS: 1, "another": 2}
    assert [(line["by"], line["nth"]) for line in lines] == [
        ("n0", 1),
        ("n1", 1),
        ("n1", 2),
        ("n0", 2),
        ("n1", 3),
    ]

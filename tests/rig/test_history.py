"""Each rule of a shared history is broken by a record with a planted fault, and kept by the one without."""

from __future__ import annotations

from typing import Any

import pytest

from dykeshift.rig.history import judge, uneven

SECOND = 1_000_000_000


def call(kind: str, start: int, end: int, status: int, **more: Any) -> dict[str, Any]:
    answer = {
        "version": more.pop("version", 0),
        "entry": more.pop("read", ""),
        "reason": more.pop("reason", ""),
    }
    return {
        "what": "call",
        "kind": kind,
        "start": start,
        "end": end,
        "status": status,
        "answer": answer,
        **more,
    }


def told(name: str, entry: int, digest: str, at: int = 0, lease: float = 0.0, **more: Any) -> dict[str, Any]:
    return {
        "what": "agree",
        "self": name,
        "history": "h",
        "epoch": 1,
        "entry": entry,
        "digest": digest,
        "asked": at,
        "voters": [0, 1],
        "place": int(name[1:]),
        "seated": True,
        "lease_s": lease,
        "committed": more.pop("committed", entry),
        "role": "follower",
        **more,
    }


MADE = call("propose", 0, 1 * SECOND, 200, entry="a", expect=0, version=1)
READ = call("read", 2 * SECOND, 3 * SECOND, 200, version=1, read="a")
WELL = [
    MADE,
    READ,
    told("n0", 2, "x", 9 * SECOND, 4.0, committed=1),
    told("n1", 2, "x"),
    {"what": "level", "why": ""},
]


def test_a_sound_record_keeps_every_rule() -> None:
    assert judge(WELL, 5.0) == []
    lost = call("propose", 0, 9, 503, entry="b", expect=1, reason="not known")
    assert judge([*WELL, lost], 5.0) == []


@pytest.mark.parametrize(
    "rule, line",
    [
        ("order", call("read", 4 * SECOND, 5 * SECOND, 200, version=0)),
        (
            "order",
            call(
                "propose",
                4 * SECOND,
                5 * SECOND,
                409,
                entry="b",
                expect=1,
                version=1,
                reason="version 2 is another change",
            ),
        ),
        ("prefix", told("n2", 2, "y")),
        ("lease", told("n2", 1, "w", 9 * SECOND, 0.1, committed=0)),
        ("level", {"what": "level", "why": "they are at two"}),
    ],
)
def test_a_planted_fault_is_found(rule: str, line: dict[str, Any]) -> None:
    assert [found for found, _ in judge([*WELL, line], 5.0)] == [rule]


def test_one_history_means_the_same_entries_and_one_leader() -> None:
    one, other = told("n0", 2, "x", term=1) | {"role": "leader"}, told("n1", 2, "x")
    assert uneven({0: one, 1: other}, [0, 1]) == ""
    assert "not been heard" in uneven({0: one}, [0, 1])
    assert "they are at" in uneven({0: one, 1: told("n1", 1, "w")}, [0, 1])
    assert "led by" in uneven({0: one, 1: one}, [0, 1])
    assert "seats of [1]" in uneven({0: one, 1: other | {"seated": False}}, [0, 1])

"""`lifttrail agree`: what it says, and with which exit code, for each answer of a console."""

from __future__ import annotations

import json
from typing import Any

import pytest

from dykeshift.cli import agree, main

STATUS = {
    "self": "n1",
    "role": "follower",
    "waiting_for": [],
    "epoch": 1,
    "term": 3,
    "leader": 0,
    "committed": 7,
    "lease_s": 8.5,
    "digest": "ab",
    "voters": [0, 1, 2],
    "wanted": 3,
    "changing": False,
    "seated": True,
}


def answered(
    patch: pytest.MonkeyPatch, status: int, told: dict[str, Any]
) -> list[tuple[str, str, str | None]]:
    made: list[tuple[str, str, str | None]] = []

    def exchange(at: str, method: str, path: str, body: str | None) -> tuple[int, str]:
        made.append((method, path, body))
        return status, json.dumps(told)

    patch.setattr(agree, "exchange", exchange)
    patch.setattr(agree, "ask", lambda at, path: told)
    return made


@pytest.mark.parametrize(
    "arguments, status, told, code, said",
    [
        (["status"], 200, STATUS, 0, "version 7, lease for 8.5 s"),
        (
            ["status"],
            200,
            {**STATUS, "lease_s": 0, "leader": None},
            1,
            "no leader is known; version 7, no lease",
        ),
        (["voters"], 200, STATUS, 0, "3 of 3: 0 1 2"),
        (["voters"], 200, {**STATUS, "wanted": 5}, 1, "3 of 5"),
        (
            ["log"],
            200,
            {"committed": 1, "changes": [{"version": 1, "id": "f", "bytes": 2, "entry": "hi"}]},
            0,
            "hi",
        ),
        (
            ["propose", "x", "--expect", "7"],
            200,
            {"version": 8, "id": "f"},
            0,
            "committed as version 8, id f",
        ),
        (
            ["propose", "x", "--expect", "7"],
            409,
            {"version": 8, "id": "f", "reason": "another"},
            1,
            "no: another (id f)",
        ),
        (
            ["propose", "x", "--expect", "7"],
            503,
            {"version": 7, "id": "f", "reason": "open"},
            2,
            "not known: open (id f)",
        ),
        (["read"], 200, {"version": 7, "entry": "x"}, 0, "version 7: x"),
        (["read"], 503, {"reason": "no majority"}, 2, "not known: no majority"),
        (["rescue"], 409, {"reason": "the history is well"}, 1, "no: the history is well"),
        (["rescue", "--voters", "1"], 200, STATUS, 0, "epoch 1 begins at version 7"),
        (["propose", "x"], 200, {}, 2, "--expect"),
        (["propose", "x", "--expect", "-1"], 200, {}, 2, "-1"),
    ],
)
def test_each_answer_has_its_words_and_its_code(
    arguments: list[str],
    status: int,
    told: dict[str, Any],
    code: int,
    said: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    answered(monkeypatch, status, told)
    assert main(["agree", arguments[0], "--at", "127.0.0.1:1", *arguments[1:]]) == code
    out, err = capsys.readouterr()
    assert said in out + err


def test_what_is_asked_is_what_was_said(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    made = answered(monkeypatch, 200, {"version": 8, "id": "f"})
    assert main(["agree", "propose", "--at", "h:1", "x", "--expect", "7", "--id", "f", "--json"]) == 0
    assert made == [("PUT", "/agree/propose", json.dumps({"entry": "x", "expect": 7, "id": "f"}))]
    assert json.loads(capsys.readouterr().out) == {"status": 200, "version": 8, "id": "f"}

"""The simulator adapter as a subprocess on short dialogues; determinism; limits of the decision module."""

from __future__ import annotations

import ast
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
RULES = ROOT / "dykeshift" / "rules.py"


def settings(**changes: Any) -> dict[str, Any]:
    values: dict[str, Any] = {
        "az": 0,
        "balancers": 2,
        "discovery": "push",
        "stepNs": 5000000,
        "somethingNew": {"x": [1]},
        "valueBy": "request",
        "goal": {"worstClass": 0.0},
        "bounds": {
            "cancelling": True,
            "maxAttempts": 3,
            "secondCopies": True,
            "retryAfter": False,
            "maxRetryAfterNs": 0,
            "newLimit": 1,
        },
        "obligations": {
            "answerSlackNs": 20000000,
            "askEveryNs": 10000000000,
            "coldFrom": 0.12,
            "coldNs": 24000000000,
            "drainGraceNs": 250000000,
            "fallNs": 1500000000,
            "tipMultiple": 2.5,
        },
        "services": [
            {
                "name": "s",
                "goalTimeNs": 180000000,
                "deadlineNs": 440000000,
                "worth": 2.0,
                "idempotency": "pure",
                "group": "all",
                "windowNs": 0,
                "lateShare": 0.0,
                "stream": False,
            }
        ],
    }
    values.update(changes)
    return values


def run(text: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "dykeshift.benchlink"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        env={**os.environ, **env},
    )


def batch(n: int, now: int, *lines: str) -> str:
    return "".join(f"{x}\n" for x in (f"SYNC\t{now}\t{n}", *lines, "END"))


def configure(i: int = 0, seed: int = 7, **changes: Any) -> list[str]:
    return [
        f"CONFIGURE\t{i}\t{seed}\t{json.dumps(settings(**changes))}",
        f"ANNOUNCE\t{i}\t1\tdisk\t2",
        "M\t0\t0\tlive\t1\t11\t-\t0",
        "M\t0\t0\tlive\t1\t12\t-\t0",
    ]


def submit(i: int, rid: str, deadline: int) -> str:
    return f"SUBMIT\t{i}\t{rid}\t0\t0\t0\t0\t12000000\t{deadline}\t-"


def test_a_small_dialogue() -> None:
    done = run(batch(1, 1000) + batch(2, 2000, *configure()) + batch(3, 5000000, submit(0, "c:a", 445000000)))
    assert done.returncode == 0 and not done.stderr
    replies = done.stdout.split("END\t")
    assert replies[0] == "" and replies[1].startswith("1\n")
    place = [x for x in done.stdout.splitlines() if x.startswith("PLACE")]
    assert place and place[0].split("\t")[:3] == ["PLACE", "0", "c:a"]
    assert {x.split("\t")[3] for x in place} <= {"11", "12"}
    assert done.stdout.endswith("END\t3\n")


def test_restart_in_one_batch_and_unknown_report_fields() -> None:
    first = run(batch(1, 0, *configure()) + batch(2, 10, submit(0, "c:a", 440000000)))
    server = next(x for x in first.stdout.splitlines() if x.startswith("PLACE")).split("\t")[3]
    done = run(
        batch(1, 0, *configure())
        + batch(2, 10, submit(0, "c:a", 440000000))
        + batch(3, 50000000, f"ANSWER\t0\tc:a\t0\t{server}\tdone\t49000000\t1\tcpu_share:0.5,novel:3")
        + batch(4, 60000000, "SHUTDOWN\t0", *configure(seed=8), submit(0, "c:b", 500000000))
        + batch(5, 61000000, "GONE\t0\tc:a", "REMINDER\t0\tr:c:a")
    )
    assert done.returncode == 0, done.stderr
    assert sum(x.startswith("PLACE\t0\tc:b") for x in done.stdout.splitlines()) in (1, 2)


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("HELLO\n", "line 1: expected SYNC"),
        ("SYNC\tx\t1\nEND\n", "line 1: expected SYNC"),
        (batch(1, 0, "NOVEL\t1"), "line 2: unknown event 'NOVEL'"),
        (batch(1, 0, "GONE\t1"), "line 2: GONE has 1 fields, expected 2"),
        (batch(1, 0, *configure(), "GONE\tx\tc:a"), "expects a number"),
        (batch(1, 0, "GONE\t4\tc:a"), "instance 4 has no CONFIGURE"),
        (batch(1, 0, *configure(), "ANSWER\t0\tc:a\t0\t11\tsplendid\t5\t1\t-"), "how is 'splendid'"),
        (batch(1, 0, *configure(), "SUBMIT\t0\tc:a\t0\t0\t0\t9\t-\t5\t-"), "no class of the settings"),
        (batch(1, 0, *configure())[:-4], "cut short"),
        ("SYNC\t0\t1\nANNOUNCE\t0\t1\tdisk\t2\nM\t0\t0\tlive\t1\t11\t-\t0\nEND\n", "expected a list entry"),
        (batch(1, 0, "CONFIGURE\t0\t1\t{"), "not JSON"),
        (batch(1, 0, "CONFIGURE\t0\t1\t{}"), "settings lack bounds"),
        (batch(1, 0, *configure(services=[{"goalTimeNs": 1}])), "services[0].deadlineNs"),
        (batch(1, 0, *configure(balancers="many")), "wrong kind"),
    ],
)
def test_malformed_input_gets_a_one_line_message(text: str, says: str) -> None:
    done = run(text)
    assert done.returncode != 0
    assert says in done.stderr and done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
    assert all(x.split("\t")[0] in {"END", "TIMER", "PLACE", "WATCH"} for x in done.stdout.splitlines())


def scenario(instances: list[int]) -> str:
    """The same events for each instance. Attempts get no answers, on purpose."""
    out = batch(1, 0, *(x for i in instances for x in configure(i, seed=i + 1)))
    for n in range(2, 80):
        now = n * 20000000
        out += batch(n, now, *(submit(i, f"c:{i}x{n}", now + 440000000) for i in instances))
    return out


def actions_of(text: str, i: int) -> list[str]:
    return [x for x in text.splitlines() if x.split("\t")[:2][1:] == [str(i)] and not x.startswith("END")]


def test_same_events_give_same_actions_for_any_hash_seed_and_beside_other_instances() -> None:
    together = [run(scenario([0, 1, 2]), PYTHONHASHSEED=seed).stdout for seed in ("0", "1", "4242")]
    assert together[0] == together[1] == together[2]
    for i in (0, 1, 2):
        alone = run(scenario([i])).stdout
        assert actions_of(alone, i) == actions_of(together[0], i) and len(actions_of(alone, i)) > 50


def test_the_module_is_short_enough_and_names_its_interface() -> None:
    lines = RULES.read_text().splitlines()
    assert sum(bool(x.strip()) for x in lines) <= 1200
    assert max(map(len, lines)) <= 110
    assert "interface.py" in "".join(lines[:3])


def test_the_module_uses_no_clock_file_or_environment() -> None:
    tree = ast.parse(RULES.read_text())
    imported = {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
    imported |= {n.module or "" for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)}
    assert imported <= {"__future__", "collections.abc", "dataclasses", "random", "dykeshift.interface"}
    names = {n.id for n in ast.walk(tree) if isinstance(n, ast.Name)}
    assert not names & {"open", "eval", "exec", "hash", "id", "__import__", "print", "input"}
    froms = [n for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)]
    taken = {a.name for n in froms if n.module == "random" for a in n.names}
    assert taken == {"Random"}, "only a seeded generator of its own"

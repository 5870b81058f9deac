"""The command line: what it prints, how it ends, and one line for what it cannot do."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from dykeshift.cli import COMMANDS, main
from dykeshift.cli.init import example
from dykeshift.rig.addresses import ReservedAddresses
from dykeshift.sim.scenario import Ask, Options, Scenario
from tests.sim.mutants import BY_NAME

Capture = pytest.CaptureFixture[str]


def said(capsys: Capture, *arguments: str) -> tuple[int, str, str]:
    code = main(arguments)
    out, err = capsys.readouterr()
    return code, out, err


def test_the_overview_names_every_command(capsys: Capture) -> None:
    code, out, _ = said(capsys, "--help")
    assert code == 0 and all(f"  {name} " in out for name in COMMANDS)
    assert said(capsys)[0] == 2
    assert said(capsys, "--version")[1].startswith("lifttrail")


def test_the_shell_completes_commands() -> None:
    asked = {"_LIFTTRAIL_COMPLETE": "bash_complete", "COMP_WORDS": "lifttrail d", "COMP_CWORD": "1"}
    done = subprocess.run(
        [sys.executable, "-m", "dykeshift"],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, **asked},
    )
    assert done.stdout.strip() == "plain,demo"


@pytest.mark.parametrize(
    "arguments",
    [
        ("nonsense",),
        ("sim",),
        ("sim", "run", "--seeds", "9:3"),
        ("sim", "run", "--seeds", "a:b"),
        ("sim", "run", "--seeds", "-5:3"),
        ("sim", "run", "--seeds", "0:99999999"),
        ("sim", "run", "--jobs", "0"),
        ("sim", "replay", "no-such-file"),
        ("sim", "shrink", "1", "--rule", "gravity"),
        ("sim", "replay", "1", "--trace", "/no/such/folder/x"),
        ("check", "/no/such/file"),
        ("check",),
        ("init", "/no/such/folder/x"),
        ("demo", "--seconds", "-1"),
        ("demo", "--fault", "earthquake"),
        ("demo", "--balancers", "0"),
    ],
)
def test_bad_input_is_one_line_and_exit_2(arguments: tuple[str, ...], capsys: Capture) -> None:
    code, out, err = said(capsys, *arguments)
    assert code == 2 and out == "" and err.startswith("lifttrail") and err.count("\n") == 1


def test_a_bad_scenario_file_is_one_line_and_exit_2(tmp_path: Path, capsys: Capture) -> None:
    for text in ("", "{}", "\xff", '{"version": 1, "faults": 3}'):
        path = tmp_path / "scenario.json"
        path.write_bytes(text.encode("latin-1"))
        code, _, err = said(capsys, "sim", "replay", str(path))
        assert code == 2 and err.count("\n") == 1


def test_seeds_that_keep_the_rules_end_with_passed(capsys: Capture) -> None:
    code, out, _ = said(capsys, "sim", "run", "--seeds", "0:3", "--jobs", "1")
    assert code == 0 and out.splitlines()[-1] == "3 passed, 0 failed"


def test_seeds_that_break_one_are_listed_with_their_reason(capsys: Capture) -> None:
    with BY_NAME["serves the answer before"].applied():
        code, out, _ = said(capsys, "sim", "run", "--seeds", "0:2", "--jobs", "1")
        assert code == 1 and out.splitlines()[-1] == "0 passed, 2 failed"
        assert out.startswith("seed 0: wrong-answer at ")
        code, out, _ = said(capsys, "sim", "run", "--seeds", "0", "--jobs", "1", "--json")
        report = json.loads(out)
        assert code == 1 and report["failed"] == 1 and report["failures"][0]["rules"] == ["wrong-answer"]


def test_a_replay_prints_its_digest_and_writes_its_time_line(tmp_path: Path, capsys: Capture) -> None:
    path, trace = tmp_path / "scenario.json", tmp_path / "trace.txt"
    path.write_text(Scenario("cli", Options(), (Ask(0.5, 2, 1.0, 20),)).dump())
    code, out, _ = said(capsys, "sim", "replay", str(path), "--trace", str(trace))
    assert code == 0 and "digest " in out
    lines = trace.read_text().splitlines()
    assert any(line.split(maxsplit=1)[1].startswith("e0-0 (unsafe, 1000 ms) to n") for line in lines)
    code, again, _ = said(capsys, "sim", "replay", str(path), "--json")
    assert json.loads(again)["digest"] == out.split("digest ")[1].strip()


def test_shrink_writes_a_file_that_replays_to_the_same_rule(tmp_path: Path, capsys: Capture) -> None:
    path, small = tmp_path / "scenario.json", tmp_path / "small.json"
    asks = tuple(Ask(0.5 + n / 10, 0, 1.0, 20) for n in range(6))
    path.write_text(Scenario("cli", Options(balancers=1), asks).dump())
    with BY_NAME["serves the answer before"].applied():
        code, _, err = said(capsys, "sim", "shrink", str(path), "--out", str(small), "--budget", "40")
        assert code == 0 and err.startswith("wrong-answer: ")
        code, out, _ = said(capsys, "sim", "replay", str(small))
        assert code == 1 and "BROKEN wrong-answer" in out
    assert said(capsys, "sim", "shrink", str(path))[0] == 2  # nothing is broken without the defect


def test_commands_load_nothing_of_each_other() -> None:
    script = (
        "import sys\nfrom dykeshift.cli import main\nmain(['check', '/no/such/file'])\n"
        "print(sorted(m for m in sys.modules if m.startswith('dykeshift.')))"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "['dykeshift.cli', 'dykeshift.cli.check']"


# ---- configurations ----


def test_the_example_is_usable_as_written_and_without_its_comments(tmp_path: Path, capsys: Capture) -> None:
    for extra in ((), ("--json",)):
        path = tmp_path / f"config{len(extra)}.json"
        assert said(capsys, "init", str(path), *extra)[0] == 0
        assert said(capsys, "check", str(path)) == (0, f"{path}: usable\n", "")
        assert said(capsys, "init", str(path))[0] == 2  # it is there already


@pytest.mark.parametrize(
    ("change", "finding"),
    [
        ({"listen": "nowhere"}, "error: 'nowhere' is not an address of the form host:port"),
        ({"settings": {}}, "error: settings lack settings.bounds"),
        ({"known": {"generation": "x", "reset": True, "instances": []}}, "error: known: "),
        ({"colour": 1}, "doubtful: the key 'colour'"),
        ({"limits": {"sockets": 16}}, "doubtful: limits leave"),
    ],
)
def test_check_says_what_is_wrong(
    change: dict[str, object], finding: str, tmp_path: Path, capsys: Capture
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**example(), **change}))
    code, out, _ = said(capsys, "check", str(path))
    assert finding in out and code == ("error" in finding)
    code, out, _ = said(capsys, "check", str(path), "--json")
    report = json.loads(out)
    assert bool(report["errors"]) == ("error" in finding) != bool(report["doubts"])


def test_the_balancer_starts_with_the_example(tmp_path: Path) -> None:
    addresses = ReservedAddresses()
    address = addresses.reserve()
    config = {**example(), "listen": f"127.0.0.1:{address[1]}", "discovery": "127.0.0.1:1"}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "dykeshift.node"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "NODE_CONFIG": str(path)},
    )
    try:
        until = time.monotonic() + 60
        while process.poll() is None and time.monotonic() < until:
            with contextlib.suppress(OSError), socket.create_connection(address, 1):
                break
        assert process.poll() is None
    finally:
        process.terminate()
        assert process.wait(30) == 0
        addresses.release()


# ---- the demo: real processes on loopback ----


def test_the_demo_keeps_every_rule_through_its_faults(capsys: Capture) -> None:
    code, out, _ = said(
        capsys,
        "demo",
        "--seconds",
        "4",
        "--json",
        "--rate",
        "30",
        "--senders",
        "4",
        "--fault",
        "hang",
        "--fault",
        "drain",
        "--fault",
        "kill-balancer",
    )
    report = json.loads(out)
    assert code == 0 and report["broken_rules"] == [] and report["answers"]["served"] > 50
    assert len(report["notes"]) >= 3


def test_the_demo_says_which_rule_was_broken() -> None:
    from dykeshift.rig.tally import Tally
    from dykeshift.standins.client import Errand
    from dykeshift.standins.messages import Message

    tally, errand, to = Tally(), Errand("d1", "sms-send", "unsafe", 1.0), ("127.0.0.1", 1)

    class One:
        name = "s1"

    request = Message("POST /api?errand=d1&kind=sms-send HTTP/1.1\r\nX-Request-Id: d1-0")
    tally.sent(errand, "d1-0", to)
    tally.ran(One(), request, False)  # type: ignore[arg-type]
    tally.ran(One(), request, False)  # type: ignore[arg-type]
    tally.answered(errand, "d1-0", to, Message("HTTP/1.1 503 No"))
    tally.sent(errand, "d1-1", to)
    tally.answered(errand, "d1-1", to, Message("HTTP/1.1 200 OK", b"s9 did d1-1\n"))
    tally.sent(errand, "d1-2", to)
    tally.left(errand, "d1-2", to)
    assert [text.split(" ", 1)[1][:30] for text in tally.broken_rules] == [
        "(sms-send) takes effect twice",
        "(unsafe) is refused and has ru",
        "is served with what no sender ",
        "has no answer in its time",
    ]

"""`lifttrail rig` and `lifttrail fleet`: what they refuse in a line, and what they show."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from dykeshift.cli import main
from dykeshift.cli.fleet import headline


@pytest.mark.parametrize(
    "arguments, said",
    [
        (["rig", "run"], "a FILE or --seeds"),
        (["rig", "run", "x.toml", "--seeds", "1"], "one of them"),
        (["rig", "run", "nowhere.toml"], "cannot read"),
        (["rig", "run", "--seeds", "b"], "range of seeds"),
        (["fleet", "members", "--at", "here"], "is not an address of the form host:port"),
    ],
)
def test_what_cannot_be_done_is_a_line_and_exit_2(
    arguments: list[str], said: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    told = capsys.readouterr().err
    assert said in told and told.count("\n") == 1


def test_a_file_that_holds_no_day(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "day.toml"
    path.write_text("[[step]]\nfaults = [{kind = 'melt'}]\n")
    assert main(["rig", "run", str(path)]) == 2
    assert "melt" in capsys.readouterr().err


def test_show_is_the_day_that_run_plays(capsys: pytest.CaptureFixture[str]) -> None:
    from dykeshift.rig.plan import draw

    assert main(["rig", "show", "3", "--json"]) == 0
    day = json.loads(capsys.readouterr().out)
    assert (day["name"], day["balancers"]) == ("seed-3", draw(3).balancers)
    assert len(day["step"]) == len(draw(3).step)


def test_a_headline_says_how_sure_the_view_is() -> None:
    view = {
        "self": "n1",
        "settled": False,
        "since_s": 2.0,
        "at_least": 3,
        "at_most": 5,
        "holds_lease": False,
        "digest": "ab",
    }
    assert headline(view) == "n1: not settled for 2.0 s, 3 to 5 at work, holds no lease, digest ab"


def _of_session(number: int) -> list[str]:
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            if path.read_text().rpartition(")")[2].split()[3] == str(number):
                found.append((path.parent / "cmdline").read_text())
        except OSError:
            continue  # it has ended meanwhile
    return [line for line in found if line]  # one that has ended and is not buried yet has none


def test_sigterm_leaves_no_balancer_behind() -> None:
    run = subprocess.Popen(
        [sys.executable, "-m", "dykeshift", "rig", "run", "--seeds", "0:2", "--jobs", "2"],
        start_new_session=True,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    while run.poll() is None and not any("dykeshift.node" in line for line in _of_session(run.pid)):
        os.sched_yield()
    run.terminate()
    run.wait()
    left = _of_session(run.pid)
    while left and all("resource_tracker" in line for line in left):
        left = _of_session(run.pid)  # multiprocessing's own ends with the pipe
    assert left == []

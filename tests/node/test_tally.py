"""Counts of a fleet: the records that the daemon writes, and the tool that adds them up."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.tally import main
from dykeshift.interface import Fail, Outcome, Refuse, Send, SetTimer
from dykeshift.node.tally import CountingBalancer
from tests.harness import MS, World, entry, make_settings
from tests.node.stubs import configuration
from dykeshift.interface import ListKind

STATE = {"pool": 10, "ready": 60, "cold": 0, "resting": 2, "connections": 9, "admit": 1.0, "crowd": 0.5}


def line(at: str, counts: dict[str, object], **changes: object) -> str:
    return "0.1 " + json.dumps(
        {
            "event": "tally",
            "timestamp": f"2026-01-01T00:00:{at}Z",
            "seconds": 5.0,
            "counts": counts,
            "state": STATE,
            **changes,
        }
    )


def test_every_event_and_action_is_counted_once_and_decisions_stay_the_same() -> None:
    plain, counted = World(make_settings(), 7), World(make_settings(), 7)
    wrapper = CountingBalancer(counted.balancer)
    counted.balancer = wrapper  # type: ignore[assignment]
    for world in (plain, counted):
        world.announce(ListKind.FULL, *(entry(n) for n in range(6)))
        for n in range(50):
            rid = world.submit(n % 3)
            world.advance(20 * MS)
            world.end_all(rid, Outcome.ERROR if n % 5 == 0 else Outcome.OK)
        world.settle()
    assert plain.actions == counted.actions
    done = counted.actions
    assert wrapper.counts["requests"] == 50 and wrapper.counts["list_full"] == 1
    assert wrapper.counts["attempts"] == sum(isinstance(a, Send) for a in done)
    given_up = wrapper.counts["refused"] + wrapper.counts["failed"]
    assert given_up == sum(isinstance(a, Refuse | Fail) for a in done)
    ends = sum(n for name, n in wrapper.counts.items() if name.startswith("end_"))
    assert ends == wrapper.counts["attempts"]


def test_clients_that_leave_and_watches_after_a_move_of_discovery_are_counted() -> None:
    world = World(make_settings(ask_discovery=True), 7)
    wrapper = CountingBalancer(world.balancer)
    world.balancer = wrapper  # type: ignore[assignment]
    world.announce(ListKind.FULL, *(entry(n) for n in range(6)))
    world.play(wrapper.on_client_gone(world.now, world.submit(2)))
    (timer,) = world.play(wrapper.on_discovery_moved(world.now))
    assert isinstance(timer, SetTimer)  # delayed by a random time, as all balancers move at once
    world.play(wrapper.on_timer(timer.at, timer.token))
    assert wrapper.counts["gone"] == 1 and wrapper.counts["watches"] == 1


def test_the_tool_reads_what_the_daemon_writes(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path, features, log = tmp_path / "config.json", tmp_path / "lifttrail.toml", tmp_path / "n0.log"
    path.write_text(json.dumps(configuration(("127.0.0.1", 9))))
    features.write_text('[logs]\nform = "json"\n[tally]\nevery_s = 0.1\n')
    process = subprocess.Popen(
        [sys.executable, "-m", "dykeshift.node"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "NODE_CONFIG": str(path), "LIFTTRAIL_FEATURES": str(features)},
    )
    assert process.stderr is not None
    try:
        text = ""
        while "list_failed" not in text:  # discovery refuses the connection, and is retried
            text = process.stderr.readline()
            assert text
        log.write_text(text)
    finally:
        process.terminate()
        assert process.wait(30) == 0
        process.stderr.close()
    assert main([str(log), "--json"]) == 0
    row = json.loads(capsys.readouterr().out)[0]
    assert row["balancers"] == 1 and row["list_failed"] > 0


def test_counts_are_summed_by_period_and_reported_per_first_try(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    logs = []
    for n in range(2):
        path = tmp_path / f"n{n}.log"
        path.write_text(
            "\n".join(
                [
                    "a line of another kind",
                    line("05", {"requests": 10, "attempts": 12}),
                    line("10", {"requests": 10, "attempts": 8 + n, "refused": 2}),
                ]
            )
        )
        logs.append(str(path))
    assert main([*logs, "--json"]) == 0
    first, second = json.loads(capsys.readouterr().out)
    assert (first["balancers"], first["first_tries"], first["attempts"]) == (2, 20, 1.2)
    assert (second["from_s"], second["attempts"], second["refused"], second["pool"]) == (5.0, 0.85, 0.2, 10.0)


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "nothing of ours\n",
        '{"event": "tally"}',
        '{"event": "tally", ',
        line("05", {"requests": "many"}),
        line("05", {}, state={}),
        line("05", {}, timestamp="yesterday"),
        line("05", {}, seconds=None),
    ],
)
def test_bad_input_is_one_line_and_exit_2(
    text: str | None, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "n0.log"
    if text is not None:
        path.write_text(text)
    assert main([str(path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1

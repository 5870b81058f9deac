"""The text of bans keeps every readable ban; the folder's files are atomic, its locks end with a process."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.handover import bans
from dykeshift.handover.bans import Bans, BansFormatError, read
from dykeshift.handover.folder import BANS, Folder

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["enter", "exit"]),
        st.sampled_from(["s0", "s1", "é"]),
        st.integers(1, 2 * bans.ENDED_BAN_RETENTION_MS),
    ),
    max_size=30,
)


@given(EVENTS)
def test_written_bans_are_read_back_and_match_a_simple_model(
    events: list[tuple[str, str, int]],
) -> None:
    stored, out, now = Bans(), dict[str, int](), 0
    for event, name, wait in events:
        now += wait
        if event == "enter":
            stored.enter(name, now)
            out.setdefault(name, now)
        else:
            stored.exit(name, now)
            if name in out:
                assert stored.back[name] == (out.pop(name), now)
        stored = read(stored.text())
        assert stored.out == out


@pytest.mark.parametrize(
    ("text", "readable"),
    [
        ("", set()),
        ("{", set()),
        ("[]", set()),
        ("7", set()),
        ("[" * 100_000, set()),
        ('{"v":9,"out":{"s0":5},"back":{}}', {"s0"}),  # of a later version: its bans hold all the same
        ('{"out":{"s0":5,"s1":"noon"}}', {"s0", "s1"}),
        ('{"v":1,"out":{"s0":-5,"s1":5},"back":{"s2":[1]}}', {"s0", "s1"}),
        ('{"v":1,"out":["s0"],"back":{}}', set()),
    ],
)
def test_a_corrupt_text_is_reported_and_every_readable_ban_is_kept(text: str, readable: set[str]) -> None:
    with pytest.raises(BansFormatError) as caught:
        read(text)
    assert set(caught.value.bans.out) == readable and "\n" not in str(caught.value)


def test_two_processes_write_to_one_file_and_see_each_other_s_bans(tmp_path: Path) -> None:
    one, other = Folder(str(tmp_path)), Folder(str(tmp_path))
    assert one.read() == Bans() and not one.changed()
    with one.change() as stored:
        stored.enter("s0", 5)
    assert not one.changed() and other.changed()
    with other.change() as stored:
        stored.enter("s1", 6)
    assert other.read().out == {"s0": 5, "s1": 6} and one.changed()
    assert one.read().out == {"s0": 5, "s1": 6}
    assert not one.changed()
    assert not [name for name in tmp_path.iterdir() if name.name.startswith(f"{BANS}.")]  # no temporary files


def test_a_failed_write_leaves_the_file_as_it_was(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path))
    with folder.change() as stored:
        stored.enter("s0", 5)
    with pytest.raises(RuntimeError), folder.change() as stored:
        stored.enter("s1", 6)
        raise RuntimeError
    assert json.loads((tmp_path / BANS).read_text())["out"] == {"s0": 5}


SERVING_PROCESS = """
import sys, time
from dykeshift.handover.folder import Folder
folder = Folder(sys.argv[1])
folder.announce(int(sys.argv[2]))
print("serving", flush=True)
sys.stdin.read()
"""


def test_serving_processes_are_counted_by_age_and_a_killed_one_at_once_no_longer(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path))
    folder.announce(100)
    assert folder.others() == (0, 0)
    others = []
    for since in (50, 200):
        other = subprocess.Popen(
            [sys.executable, "-c", SERVING_PROCESS, str(tmp_path), str(since)],
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert other.stdout is not None and other.stdout.readline() == "serving\n"
        others.append(other)
    assert folder.others() == (2, 1)
    for n, other in enumerate(others):
        other.kill()
        other.communicate()
        assert folder.others() == ((1, 1), (0, 0))[n]
    # files of killed processes are removed
    assert len([name for name in tmp_path.iterdir() if "serving" in name.name]) == 1
    folder.withdraw()
    assert Folder(str(tmp_path)).others() == (0, 0)

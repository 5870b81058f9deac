"""`lifttrail mllp`: peers by script on loopback, made-up messages, a look into a journal; feature files."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from dykeshift.cli import main
from dykeshift.mllp.journal import KIND, Answered, Sent, encode
from dykeshift.standins.mllp_script import ScriptedServer, ScriptError, read_script
from dykeshift.store.records import encode as record
from dykeshift.store.records import file_header

Capture = pytest.CaptureFixture[str]
ROOT = Path(__file__).parents[2]
MESSAGE = "MSH|^~\\&|CLINIC|DORNOD|LT|CH|20261201093000||ORM^O01|{0}|P|2.5.1|||{1}\nPID|1||42\n"


@contextmanager
def server(script: str) -> Iterator[ScriptedServer]:
    """A scripted server in a thread of its own."""
    scripted, loop = ScriptedServer(read_script(script)), asyncio.new_event_loop()
    listening = loop.run_until_complete(scripted.start("127.0.0.1", 0))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield scripted
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        listening.close()
        loop.run_until_complete(asyncio.sleep(0))
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def said(capsys: Capture, *arguments: str) -> tuple[int, str, str]:
    code = main(("mllp", *arguments))
    out, err = capsys.readouterr()
    return code, out, err


@pytest.mark.parametrize(
    ("script", "mode", "heard", "code"),
    [
        ("AA", "", "m1: AA (answered)", 0),
        ("AR\nAA", "", "m1: AR (answered)\nm1: AA (answered)", 1),
        ("CA AA", "AL|AL", "m1: CA AA (answered)", 0),
        ("CA close", "AL|AL", "m1: CA (closed)", 1),
        ("reset", "", "m1: - (closed)", 1),
        ("cut 12", "", "m1: - (closed)", 1),
        ("garbage", "", "m1: - (closed)", 1),
        ("wrong-id", "", "m1: AA (answered)", 0),
        ("unframed", "", "m1: - (closed)", 1),
        ("wait 0.01 AE", "", "m1: AE (answered)", 1),
    ],
)
def test_a_file_is_sent_and_what_comes_back_is_shown(
    script: str, mode: str, heard: str, code: int, tmp_path: Path, capsys: Capture
) -> None:
    path = tmp_path / "message.hl7"
    path.write_text(MESSAGE.format("m1", mode))
    with server(script) as scripted:
        to, times = f"127.0.0.1:{scripted.address[1]}", str(1 + heard.count("\n"))
        got, out, _ = said(capsys, "send", str(path), "--to", to, "--piece", "7", "--times", times)
        assert (got, out.strip()) == (code, heard)
        assert scripted.seen[0] == MESSAGE.format("m1", mode).replace("\n", "\r").encode()


def test_a_frame_may_be_cut_and_silence_is_told(tmp_path: Path, capsys: Capture) -> None:
    path = tmp_path / "two.hl7"
    path.write_text(MESSAGE.format("m1", "") + "\n" + MESSAGE.format("m2", ""))
    with server("AA\nsilent") as scripted:
        to = f"127.0.0.1:{scripted.address[1]}"
        code, out, _ = said(capsys, "send", str(path), "--to", to, "--cut", "30", "--json")
        assert code == 1 and [(h["control_id"], h["end"]) for h in json.loads(out)] == [
            ("m1", "answered"),
            ("m2", "closed"),
        ]
        assert len(scripted.seen) == 1
        code, out, _ = said(capsys, "send", str(path), "--to", to, "--wait", "0.05")
        assert (code, out) == (1, "m1: - (silent)\n")


def test_made_up_messages_can_be_sent(tmp_path: Path, capsysbinary: pytest.CaptureFixture[bytes]) -> None:
    assert main(("mllp", "make", "--count", "5")) == 0
    path = tmp_path / "made.mllp"
    path.write_bytes(capsysbinary.readouterr().out)
    with server("AA") as scripted:
        assert main(("mllp", "send", str(path), "--to", f"127.0.0.1:{scripted.address[1]}")) in (0, 1)
        assert scripted.seen


def test_serve_listens_says_where_and_ends(tmp_path: Path) -> None:
    script = tmp_path / "script"
    script.write_text("# all is well\nAA\n")
    command = [sys.executable, "-m", "dykeshift", "mllp", "serve", "--script", str(script), "--seconds", ".1"]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stderr.startswith("listening on 127.0.0.1:") and done.stdout == ""


@pytest.mark.parametrize("text", ["", "# nothing", "AX", "wait", "wait soon", "cut -1", "AA\nwait x"])
def test_a_script_that_cannot_be_read_is_said(text: str, tmp_path: Path, capsys: Capture) -> None:
    with pytest.raises(ScriptError):
        read_script(text)
    path = tmp_path / "script"
    path.write_text(text)
    code, _, err = said(capsys, "serve", "--script", str(path))
    assert code == 2 and err.startswith("lifttrail mllp serve: ") and err.count("\n") == 1


@pytest.mark.parametrize(
    "arguments",
    [
        ("send", "/no/such", "--to", "127.0.0.1:1"),
        ("send", "{file}", "--to", "127.0.0.1:1"),
        ("send", "{file}", "--to", "10.9.8.7:2575"),
        ("send", "{file}", "--to", "nowhere"),
        ("send", "{file}", "--to", "127.0.0.1:1", "--times", "0"),
        ("serve", "--script", "/no/such"),
        ("make", "--count", "0"),
        ("journal", "/no/such"),
        ("send", "{bad}", "--to", "127.0.0.1:1"),
    ],
)
def test_bad_input_is_one_line(arguments: tuple[str, ...], tmp_path: Path, capsys: Capture) -> None:
    (tmp_path / "file").write_text(MESSAGE.format("m1", ""))
    (tmp_path / "bad").write_text("no message\n")
    names = {"file": str(tmp_path / "file"), "bad": str(tmp_path / "bad")}
    code, out, err = said(capsys, *(a.format(**names) if "{" in a else a for a in arguments))
    assert code == 2 and out == "" and err.startswith("lifttrail mllp") and err.count("\n") == 1


def test_a_journal_is_shown_with_what_is_damaged_in_it(tmp_path: Path, capsys: Capture) -> None:
    name = (b"CLINIC", b"DORNOD", b"m1")
    one, two = (record(encode(r)) for r in (Sent(name, b"d", 1, 5), Answered(name, b"d", 1, 9, b"AA")))
    path = tmp_path / "mllp-00000001.log"
    path.write_bytes(file_header(KIND) + one + two)
    code, out, _ = said(capsys, "journal", str(tmp_path))
    assert code == 0 and out.splitlines() == [
        f"{path.name}: 2 records, {len(one + two) + 8} bytes",
        "1 answers and 0 messages without one from the journal",
    ]
    path.write_bytes(file_header(KIND) + one[:-1] + b"?" + two + one[:-3])
    code, out, _ = said(capsys, "journal", str(tmp_path), "--json")
    assert code == 1 and json.loads(out)["files"][0]["damaged"] == [[8, 8 + len(one)]]
    assert json.loads(out)["files"][0]["cut_off_bytes"] == len(one) - 3
    path.write_bytes(b"something else")
    assert said(capsys, "journal", str(tmp_path))[0] == 2


# ---- feature files ----


@pytest.mark.parametrize(
    ("text", "said_of"),
    [
        (
            "[mllp]\nlisten = ['127.0.0.1:1']\n[[mllp.map]]\ntrigger='ORM'\nclass='send'",
            "usable, 1 features on",
        ),
        ("# nothing\n", "usable, 0 features on"),
        ("[mlp]\n", "there is no feature [mlp]"),
        ("[mllp]\ncolour = 1", "unknown field `colour`"),
        ("[mllp]\nconnections = 'x'", "Expected `int`, got `str`"),
        ("[mllp]\nlisten = ['x']", "is not an address of the form host:port"),
        ("[mllp]\nlisten = ['127.0.0.1:1']", "map is empty"),
        ("[mllp]\nconnections = 0", "connections is 0"),
        ("[mllp\n", "bad feature file"),
        ("[mllp]\nupstreams = 'smtp'", "Invalid enum value 'smtp'"),
    ],
)
def test_check_says_what_is_wrong_with_a_feature_file(
    text: str, said_of: str, tmp_path: Path, capsys: Capture
) -> None:
    path = tmp_path / "lifttrail.toml"
    path.write_text(text)
    code = main(("check", str(path)))
    out, _ = capsys.readouterr()
    assert said_of in out and out.count("\n") == 1 and code == ("error" in out)


def test_the_file_that_is_deployed_is_sound_and_all_of_it_off(capsys: Capture) -> None:
    assert main(("check", str(ROOT / "deploy" / "lifttrail.toml"))) == 0
    assert "0 features on" in capsys.readouterr().out
    assert main(("check", "/no/such.toml")) == 2


def test_its_commented_example_is_sound_too(tmp_path: Path, capsys: Capture) -> None:
    lines = (ROOT / "deploy" / "lifttrail.toml").read_text().splitlines()
    begin = lines.index("# [mllp]")
    path = tmp_path / "example.toml"
    path.write_text("\n".join(line.removeprefix("# ").removeprefix("#") for line in lines[begin:]))
    assert main(("check", str(path))) == 0 and "1 features on" in capsys.readouterr().out


def test_what_is_off_is_not_imported() -> None:
    script = (
        "import sys\nfrom dykeshift.node import features, __main__\n"
        "assert not features.load('deploy/lifttrail.toml', False, None).enabled\n"
        "print([m for m in sys.modules if m.startswith(('dykeshift.mllp', 'dykeshift.store', 'msgspec',"
        " 'structlog', 'tomllib'))])"
    )
    command = [sys.executable, "-c", script]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout.strip() == "[]"


def test_a_journal_that_cannot_be_used_stops_the_daemon_with_one_line(tmp_path: Path) -> None:
    from dykeshift.cli.init import example

    (tmp_path / "config.json").write_text(json.dumps({**example(), "listen": "127.0.0.1:0"}))
    (tmp_path / "f.toml").write_text(
        f"[mllp]\njournal = '{tmp_path / 'none'}'\nlisten = ['127.0.0.1:0']\n"
        "[[mllp.map]]\ntrigger = 'ORM'\nclass = 'sms-send'\n"
    )
    done = subprocess.run(
        [sys.executable, "-m", "dykeshift.node"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={
            "NODE_CONFIG": str(tmp_path / "config.json"),
            "PATH": "/usr/bin",
            "LIFTTRAIL_FEATURES": str(tmp_path / "f.toml"),
        },
    )
    assert done.returncode == 2 and "the journal" in done.stderr.splitlines()[-1]
    assert "No such file" in done.stderr and "Traceback" not in done.stderr


# ---- the daemon killed outright, over and over; the long run is benchmarks/mllp_kill.py --kills 500 ----


def test_a_killed_daemon_does_nothing_twice_and_loses_nothing_that_it_acknowledged() -> None:
    command = [sys.executable, "benchmarks/mllp_kill.py", "--kills", "6", "--jobs", "2", "--json"]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, env={"PYTHONPATH": "."})
    report = json.loads(done.stdout)
    assert done.returncode == 0 and report["kills"] == 6 and report["finals"]["AA"] > 20

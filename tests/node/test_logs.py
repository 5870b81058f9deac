"""The structured log: the same logging calls give JSON objects or text lines."""

from __future__ import annotations

import json
import logging
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from dykeshift.cli.init import example
from dykeshift.node.logs import formatter


def record(error: bool = False) -> logging.LogRecord:
    made = logging.LogRecord(
        "dykeshift.engine.driver", logging.ERROR, "x.py", 1, "the module failed in %s", ("on_list",), None
    )
    made.event, made.fields = "module.failed", {"method": "on_list"}
    if error:
        try:
            raise RuntimeError("broken")
        except RuntimeError:
            made.exc_info = sys.exc_info()
    return made


def test_json_format_has_event_and_fields() -> None:
    told = json.loads(formatter(lines=False).format(record(error=True)))
    assert told["event"] == "module.failed" and told["method"] == "on_list" and told["level"] == "error"
    assert told["message"] == "the module failed in on_list" and "RuntimeError: broken" in told["exception"]
    plain = logging.LogRecord("asyncio", logging.INFO, "x.py", 1, "hello", (), None)
    told = json.loads(formatter(lines=False).format(plain))
    assert told["event"] == "asyncio" and told["message"] == "hello"


def test_text_format_is_one_line() -> None:
    line = formatter(lines=True).format(record())
    assert "the module failed in on_list" in line and "module.failed" in line and "\n" not in line


def test_the_daemon_logs_in_the_configured_format(tmp_path: Path) -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = probe.getsockname()
    path, features = tmp_path / "config.json", tmp_path / "lifttrail.toml"
    config = {**example(), "listen": f"127.0.0.1:{address[1]}", "discovery": "127.0.0.1:1"}
    path.write_text(json.dumps(config))
    features.write_text('[logs]\nform = "json"\n')
    process = subprocess.Popen(
        [sys.executable, "-m", "dykeshift.node"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "NODE_CONFIG": str(path), "LIFTTRAIL_FEATURES": str(features)},
    )
    assert process.stderr is not None
    try:
        until = time.monotonic() + 60
        while time.monotonic() < until:
            try:
                socket.create_connection(address, 1).close()
                break
            except OSError:
                assert process.poll() is None
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        told = json.loads(process.stderr.readline())
        assert told["event"] == "configuration.kept" and told["reason"] and told["level"] == "error"
    finally:
        process.terminate()
        assert process.wait(30) == 0
        process.stderr.close()

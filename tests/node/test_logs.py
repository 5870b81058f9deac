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
from dykeshift.rig.addresses import ReservedAddresses


def record(error: bool = False) -> logging.LogRecord:
    built = logging.LogRecord(
        "dykeshift.engine.driver", logging.ERROR, "x.py", 1, "the module failed in %s", ("on_list",), None
    )
    built.event, built.fields = "module.failed", {"method": "on_list"}
    if error:
        try:
            raise RuntimeError("broken")
        except RuntimeError:
            built.exc_info = sys.exc_info()
    return built


def test_json_format_has_event_and_fields() -> None:
    logged = json.loads(formatter(lines=False).format(record(error=True)))
    assert logged["event"] == "module.failed" and logged["method"] == "on_list" and logged["level"] == "error"
    assert (
        logged["message"] == "the module failed in on_list" and "RuntimeError: broken" in logged["exception"]
    )
    plain = logging.LogRecord("asyncio", logging.INFO, "x.py", 1, "hello", (), None)
    logged = json.loads(formatter(lines=False).format(plain))
    assert logged["event"] == "asyncio" and logged["message"] == "hello"


def test_text_format_is_one_line() -> None:
    line = formatter(lines=True).format(record())
    assert "the module failed in on_list" in line and "module.failed" in line and "\n" not in line


def test_the_daemon_logs_in_the_configured_format(tmp_path: Path) -> None:
    addresses = ReservedAddresses()
    address = addresses.reserve()
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
        logged = json.loads(process.stderr.readline())
        assert logged["event"] == "configuration.kept" and logged["reason"] and logged["level"] == "error"
    finally:
        process.terminate()
        assert process.wait(30) == 0
        process.stderr.close()
        addresses.release()

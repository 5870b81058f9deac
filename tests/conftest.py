"""Expected failures: tests that fail for a known fault that is not fixed yet, listed in KNOWN-RED.txt.

The file lies beside the README, with one line `test | cause | issue` for each test, and three at most. Listed
tests run and are printed; one that passes fails the run, so that the list holds only tests that still fail.
Without the file, any failure fails the run.
"""

from __future__ import annotations

from typing import Any

import pytest

FILE_NAME, MAX_TESTS = "KNOWN-RED.txt", 3


def known_red(config: pytest.Config) -> dict[str, str]:
    """Return the node ids of the listed tests with their lines; an invalid list ends the run."""
    path = config.rootpath / FILE_NAME
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    listed = {line.partition("|")[0].strip(): line for line in lines}
    if len(lines) > MAX_TESTS or len(listed) < len(lines):
        raise pytest.UsageError(
            f"{FILE_NAME}: at most {MAX_TESTS} tests, one line each; it has {len(lines)} lines"
        )
    for test, line in listed.items():
        if len([part for part in line.split("|") if part.strip()]) != 3:
            raise pytest.UsageError(f"{FILE_NAME}: {line!r} is not `test | cause | issue`")
        if not (config.rootpath / test.partition("::")[0]).is_file():
            raise pytest.UsageError(f"{FILE_NAME}: there is no file for {test}")
    return listed


def pytest_configure(config: pytest.Config) -> None:
    known_red(config)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red(config)
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason=listed[item.nodeid]))


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    for line in known_red(config).values():
        terminalreporter.write_line(f"known to be red: {line}")

"""KNOWN-RED.txt lists tests that are known to fail: they run, are printed, and must not pass."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
FILE = "def test_red(): assert False\ndef test_green(): pass\ndef test_other(): assert %s\n"


def outcome(pytester: pytest.Pytester, listed: str | None, other: bool = True) -> tuple[int, str]:
    pytester.makeini("[pytest]")
    pytester.makeconftest((Path(__file__).parent / "conftest.py").read_text())
    pytester.makepyfile(test_a=FILE % other)
    if listed is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(listed)
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider")
    return int(result.ret), result.stdout.str() + result.stderr.str()


def test_a_listed_test_runs_fails_and_is_printed(pytester: pytest.Pytester) -> None:
    code, said = outcome(pytester, "test_a.py::test_red | a cause | 40\n")
    assert code == 0 and "known to be red: test_a.py::test_red | a cause | 40" in said and "1 xfailed" in said


@pytest.mark.parametrize(
    ("listed", "other"),
    [
        (None, True),  # no file, so no exceptions
        ("test_a.py::test_red | a cause | 40\n", False),  # another fails
        ("test_a.py::test_red | a cause | 40\ntest_a.py::test_green | a cause | 40\n", True),  # one passes
    ],
)
def test_other_failures_and_listed_tests_that_pass_fail_the_run(
    pytester: pytest.Pytester, listed: str | None, other: bool
) -> None:
    assert outcome(pytester, listed, other)[0] == 1


@pytest.mark.parametrize(
    "listed",
    [
        "test_a.py::test_red\n",
        "test_a.py::test_red | a cause |\n",
        "test_b.py::test_red | a cause | 40\n",
        "".join(f"test_a.py::test_{n} | a cause | 40\n" for n in range(4)),
        "test_a.py::test_red | a cause | 40\n" * 2,
    ],
)
def test_an_invalid_list_ends_the_run(pytester: pytest.Pytester, listed: str) -> None:
    code, said = outcome(pytester, listed)
    assert code == 4 and "KNOWN-RED.txt" in said

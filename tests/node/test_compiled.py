"""The build compiles all modules: on a read-only file system each start would compile them again."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
START_CODE = "import dykeshift.node.__main__"


def compile_step() -> list[str]:
    """The interpreter arguments with which deploy/build compiles."""
    found = re.search(r"^\.venv/bin/python (-m compileall .*)$", (ROOT / "deploy/build").read_text(), re.M)
    assert found, "deploy/build compiles nothing"
    return found[1].split()


def test_a_start_after_the_build_compiles_nothing(tmp_path: Path) -> None:
    """Also if the files' modification times differ from those at the build, as in a copy."""
    shutil.copytree(ROOT / "dykeshift", tmp_path / "dykeshift", ignore=shutil.ignore_patterns("__pycache__"))
    subprocess.run([sys.executable, *compile_step()], cwd=tmp_path, check=True)
    for file in (tmp_path / "dykeshift").rglob("*.py"):
        os.utime(file, (1, 1))
    done = subprocess.run(
        [sys.executable, "-v", "-c", START_CODE],
        cwd=tmp_path,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(re.findall(r"# code object from '?([^'\n]*dykeshift[^'\n]*\.py)'?$", done.stderr, re.M))
    assert "dykeshift" in done.stderr and not loaded, f"compiled anew: {sorted(loaded)[:5]}"

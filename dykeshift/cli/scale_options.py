"""What several commands of `lifttrail scale` share: the results file's option, and reading it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from dykeshift.cli import Usage

RESULTS = click.option(
    "--file",
    "path",
    default="benchmarks/results/capacity.json",
    metavar="FILE",
    show_default=True,
    help="The results file.",
)


def load_results(path: str) -> Any:
    """The results file, or `Usage` with what is wrong with it."""
    from dykeshift.scale import results

    try:
        return results.load(Path(path))
    except results.ResultsError as exc:
        raise Usage(f"lifttrail scale: {exc}") from None

"""How a seeded defect has to be found: by the drawn day of a seed, or by the test named for it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import pytest


def assert_found(
    defect: str,
    seeds: Mapping[str, int],
    tests: Mapping[str, Callable[[], None]],
    broken: Callable[[int], list[Any]],
) -> None:
    """`broken`: what a seed's day breaks, with the defect in place."""
    if defect in seeds:
        assert broken(seeds[defect])
    else:
        with pytest.raises(AssertionError):
            tests[defect]()

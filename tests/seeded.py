"""Seeded defects: each must be found by the scenario drawn from a seed or by the test assigned to it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import pytest

Defect = Callable[[pytest.MonkeyPatch], None]  # patches the program until the end of the test


def patched(owner: Any, name: str, wrong: Any) -> Defect:
    """Return a defect that replaces one attribute by a wrong one."""
    return lambda patch: patch.setattr(owner, name, wrong)


def defect_tests(
    defects: Mapping[str, Defect],
    seeds: Mapping[str, int],
    tests: Mapping[str, Callable[[], None]],
    broken: Callable[[int], list[Any]],
) -> tuple[Callable[[], None], Callable[[str, pytest.MonkeyPatch], None]]:
    """Return the two tests of a package's defects, to be assigned to names that pytest collects.

    The first checks that a seed or a test is assigned to each defect, the second runs once for each defect.
    `broken` plays the scenario of a seed, with the defect in place, and returns the rules that it breaks.
    """

    def every_defect_has_a_seed_or_test() -> None:
        assigned = seeds.keys() | tests.keys()
        assert assigned == defects.keys(), f"without a match: {sorted(assigned ^ defects.keys())}"

    @pytest.mark.parametrize("defect", defects)
    def the_defect_is_found(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
        defects[defect](monkeypatch)
        if defect in seeds:
            assert broken(seeds[defect]), f"the scenario of seed {seeds[defect]} breaks no rule"
        else:
            with pytest.raises(AssertionError):
                tests[defect]()

    return every_defect_has_a_seed_or_test, the_defect_is_found

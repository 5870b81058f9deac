"""Seeded defects: each has to be found, by the drawn day of a seed or by the test that is named for it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import pytest

Defect = Callable[[pytest.MonkeyPatch], None]  # puts it into the program until the test is over


def patched(owner: Any, name: str, wrong: Any) -> Defect:
    """A defect that consists of one wrong attribute."""
    return lambda patch: patch.setattr(owner, name, wrong)


def defect_tests(
    defects: Mapping[str, Defect],
    seeds: Mapping[str, int],
    tests: Mapping[str, Callable[[], None]],
    broken: Callable[[int], list[Any]],
) -> tuple[Callable[[], None], Callable[[str, pytest.MonkeyPatch], None]]:
    """The two tests of a package's defects, for the names under which pytest is to collect them.

    The first holds that every defect has its finder, the second is run for each defect. `broken` says what a
    seed's day breaks, with the defect in place.
    """

    def every_defect_has_its_finder() -> None:
        found = seeds.keys() | tests.keys()
        assert found == defects.keys(), f"not matched: {sorted(found ^ defects.keys())}"

    @pytest.mark.parametrize("defect", defects)
    def the_defect_is_found(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
        defects[defect](monkeypatch)
        if defect in seeds:
            assert broken(seeds[defect]), f"the day of seed {seeds[defect]} breaks nothing"
        else:
            with pytest.raises(AssertionError):
                tests[defect]()

    return every_defect_has_its_finder, the_defect_is_found

"""A seeded defect (mutant): what it patches, and the rules that the checker must then find broken."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

Patch = tuple[Any, str, Any]


@dataclass(frozen=True)
class Mutant:
    name: str
    where: str
    rules: tuple[str, ...]  # at least one of these must be found broken
    patches: Callable[[], list[Patch]]
    seed_suffix: str = ""  # appended to each seed: the kind of scenario that exposes the defect

    @contextmanager
    def applied(self) -> Iterator[None]:
        saved = list[Patch]()
        for owner, name, value in self.patches():
            saved.append((owner, name, owner.__dict__[name]))
            setattr(owner, name, value)
        try:
            yield
        finally:
            for owner, name, value in reversed(saved):
                setattr(owner, name, value)

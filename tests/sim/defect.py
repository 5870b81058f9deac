"""A seeded defect: what it changes, and which rules must be found broken with it."""

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
    rules: tuple[str, ...]  # one of these must be found broken
    patches: Callable[[], list[Patch]]
    days: str = ""  # behind each seed's number: the kind of days on which it is hunted

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

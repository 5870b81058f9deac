"""A common limit on the memory that buffers of long bodies take. No sockets, no clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class Budget(Generic[Holder]):
    """Holders reserve bytes before they read them, or report what they hold.

    Where a reservation is turned down, the largest holder is released first.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit  # bytes
        self.usage: dict[Holder, int] = {}
        self.total = 0

    def set_usage(self, holder: Holder, size: int) -> None:
        """Set the bytes that a holder buffers; 0 removes it."""
        self.total += size - self.usage.get(holder, 0)
        if size:
            self.usage[holder] = size
        else:
            self.usage.pop(holder, None)

    def reserve(self, holder: Holder, size: int) -> bool:
        """Let a holder have `size` bytes in all, if the limit allows that; else nothing changes."""
        if self.total + size - self.usage.get(holder, 0) > self.limit:
            return False
        self.set_usage(holder, size)
        return True

    def has_room(self, size: int) -> bool:
        """Whether so many bytes more may be held."""
        return self.total + size <= self.limit

    @property
    def exceeded(self) -> bool:
        """Whether the buffers take more than the limit."""
        return self.total > self.limit

    def largest(self, can_release: Callable[[Holder], bool]) -> Holder | None:
        """The holder of the largest buffer of those that can release it; among equals, the earliest."""
        candidates = [holder for holder in self.usage if can_release(holder)]
        return max(candidates, key=lambda holder: self.usage[holder]) if candidates else None

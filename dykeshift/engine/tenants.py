"""Who lives at which address, by what discovery has told: at most one at each.

Discovery may list a new server at an address while it still lists the one that was there before. Two
processes cannot listen at one address, so the one that started earlier is gone, whatever the list says:
what is sent "to it" reaches the other, in another cell perhaps, which knows nothing of its requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from dykeshift.interface import ServerEntry, ServerState
from dykeshift.engine.config import Address

NOWHERE = ("", 0)


@dataclass(frozen=True, slots=True)
class Listed:
    """An entry of the list and where it lives, for this balancer."""

    entry: ServerEntry
    address: Address


class Tenants:
    def __init__(self) -> None:
        self.at: dict[Address, ServerEntry] = {}
        self.home: dict[int, Address] = {}

    def settle(self, whole: bool, listed: Iterable[Listed]) -> list[Listed]:
        """The update with those marked gone whose address has passed to a later process."""
        if whole:
            self.at.clear()
            self.home.clear()
        settled = list[Listed]()
        for one in listed:
            if one.entry.state is ServerState.GONE:
                self._leave(one.entry.id)
                settled.append(one)
            else:
                settled += self._place(one)
        return settled

    def _place(self, one: Listed) -> list[Listed]:
        there = self.at.get(one.address)
        if there is None or there.id == one.entry.id:
            self._occupy(one)
            return [one]
        if there.started > one.entry.started:  # it is the earlier one itself that is listed once more
            self._leave(one.entry.id)
            return [self._gone(one.entry)]
        self._leave(there.id)
        self._occupy(one)
        return [self._gone(there), one]

    def _occupy(self, one: Listed) -> None:
        if self.home.get(one.entry.id) != one.address:
            self._leave(one.entry.id)
        self.at[one.address], self.home[one.entry.id] = one.entry, one.address

    def _leave(self, number: int) -> None:
        home = self.home.pop(number, None)
        if home is not None and self.at[home].id == number:
            del self.at[home]

    @staticmethod
    def _gone(entry: ServerEntry) -> Listed:
        return Listed(replace(entry, state=ServerState.GONE), NOWHERE)

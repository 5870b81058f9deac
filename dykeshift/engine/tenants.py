"""Which server holds which address (its tenant), according to discovery: at most one server per address.

Discovery may list a new server at an address while it still lists the previous one. Two processes cannot
listen at one address, so the one that started earlier is gone, whatever the list says: a request sent to it
would reach the new server, perhaps in another cell, which does not know the keys of earlier requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from dykeshift.interface import ServerEntry, ServerState
from dykeshift.engine.config import Address

NOWHERE = ("", 0)


@dataclass(frozen=True, slots=True)
class Listed:
    """An entry of the list of upstreams with its address."""

    entry: ServerEntry
    address: Address


class Tenants:
    """The tenant of each address."""

    def __init__(self) -> None:
        self.tenant_at: dict[Address, ServerEntry] = {}
        self.address_of: dict[int, Address] = {}  # the address of each server that is not gone

    def settle(self, whole: bool, listed: Iterable[Listed]) -> list[Listed]:
        """Returns the update with servers marked gone whose address a later process has taken over."""
        if whole:
            self.tenant_at.clear()
            self.address_of.clear()
        settled = list[Listed]()
        for one in listed:
            if one.entry.state is ServerState.GONE:
                self._vacate(one.entry.id)
                settled.append(one)
            else:
                settled += self._place(one)
        return settled

    def _place(self, one: Listed) -> list[Listed]:
        tenant = self.tenant_at.get(one.address)
        if tenant is None or tenant.id == one.entry.id:
            self._occupy(one)
            return [one]
        if tenant.started > one.entry.started:  # the previous tenant is listed again
            self._vacate(one.entry.id)
            return [self._gone(one.entry)]
        self._vacate(tenant.id)
        self._occupy(one)
        return [self._gone(tenant), one]

    def _occupy(self, one: Listed) -> None:
        if self.address_of.get(one.entry.id) != one.address:
            self._vacate(one.entry.id)
        self.tenant_at[one.address], self.address_of[one.entry.id] = one.entry, one.address

    def _vacate(self, number: int) -> None:
        home = self.address_of.pop(number, None)
        if home is not None and self.tenant_at[home].id == number:
            del self.tenant_at[home]

    @staticmethod
    def _gone(entry: ServerEntry) -> Listed:
        return Listed(replace(entry, state=ServerState.GONE), NOWHERE)

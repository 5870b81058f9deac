"""A simple reference model of the store: a full copy for each version, and queries by linear search."""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.configuration.meets import guarded
from dykeshift.configuration.references import references
from dykeshift.configuration.resources import (
    Ban,
    Body,
    ClassTerms,
    Joint,
    Key,
    Kind,
    Resource,
    Service,
    decode_body,
    encode_body,
)
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.transactions import Advance, Phase, Transaction
from dykeshift.configuration.validation import (
    HARMFUL_SHARE,
    HARM_CHECKED_KINDS,
    MIN_HARM_CHECKED_COUNT,
    MAX_PENDING,
)

View = dict[Key, Resource]  # live resources


@dataclass
class PendingTransaction:
    transaction: Transaction
    phase: Phase
    guarded: list[Key]

    def bodies(self) -> dict[Key, Body | None]:
        return bodies_by_key(self.transaction)


def bodies_by_key(transaction: Transaction) -> dict[Key, Body | None]:
    found: dict[Key, Body | None] = {p.key: decode_body(p.key.kind, p.body) for p in transaction.puts}
    return found | dict.fromkeys(transaction.deletes)


def cut(view: View, scope: Scope) -> View:
    return {key: resource for key, resource in view.items() if scope.matches(resource)}


@dataclass
class Model:
    """The expected state of a store; `history` has the resources as of each version."""

    deletion_window: int
    view: View = field(default_factory=dict)
    version: int = 0
    under_way: dict[int, PendingTransaction] = field(default_factory=dict)
    ends: dict[int, Phase] = field(default_factory=dict)
    history: list[View] = field(default_factory=lambda: [{}])  # by version
    deletions: list[tuple[int, Key, bool]] = field(default_factory=list)  # version, key, whether established
    ever_written: set[Key] = field(default_factory=set)

    def body(self, key: Key) -> Body | None:
        held = self.view.get(key)
        return decode_body(key.kind, held.body) if held is not None and held.body is not None else None

    def count_in_force(self, kind: Kind, view: View | None = None) -> int:
        held = (self.view if view is None else view).values()
        return sum(r.key.kind is kind and r.body is not None for r in held)

    # ---- entries ----

    def apply(self, entry: Transaction | Advance, forgotten: bool) -> None:
        """`forgotten`: whether the store has evicted tombstones, and so cannot know which names were used."""
        self.version += 1
        if isinstance(entry, Transaction):
            self._begin(entry, forgotten)
        else:
            self._advance(entry)
        self.history.append(dict(self.view))

    def _begin(self, transaction: Transaction, forgotten: bool) -> None:
        if transaction.ident in self.under_way or transaction.ident in self.ends:
            return
        if not self.is_valid(transaction):
            self.ends[transaction.ident] = Phase.REFUSED
            return
        bodies = bodies_by_key(transaction)
        keys = [key for key in bodies if self._needs_joint(key, bodies, forgotten)]
        if keys or transaction.checked:
            self.under_way[transaction.ident] = PendingTransaction(transaction, Phase.PREPARED, keys)
        else:
            self._commit(transaction)

    def _needs_joint(self, key: Key, bodies: dict[Key, Body | None], forgotten: bool) -> bool:
        def old_class(name: str) -> ClassTerms | None:
            found = self.body(Key(Kind.CLASS, name))
            return found if isinstance(found, ClassTerms) else None

        def new_class(name: str) -> ClassTerms | None:
            found = bodies.get(Key(Kind.CLASS, name), self.body(Key(Kind.CLASS, name)))
            return found if isinstance(found, ClassTerms) else None

        old = self.body(key)
        named = key.kind in (Kind.CLASS, Kind.ROUTE, Kind.SERVICE)
        back = old is None and named and (forgotten or key in self.ever_written)
        return back or guarded(key, old, bodies[key], old_class, new_class)

    def _advance(self, entry: Advance) -> None:
        one = self.under_way.get(entry.ident)
        if one is None:
            return
        if entry.phase is Phase.JOINT and one.phase is Phase.PREPARED and one.guarded:
            one.phase = Phase.JOINT
            coming = {put.key: put.body for put in one.transaction.puts}
            for key in one.guarded:
                held = self.view.get(key)
                old = held.body if held is not None else None
                self.view[key] = Resource(key, self.version, old, Joint(coming.get(key)))
        elif entry.phase is Phase.COMMITTED and one.phase is (Phase.JOINT if one.guarded else Phase.PREPARED):
            del self.under_way[entry.ident]
            self._commit(one.transaction)
        elif entry.phase is Phase.ABORTED:
            del self.under_way[entry.ident]
            self.ends[entry.ident] = Phase.ABORTED
            for key in one.guarded if one.phase is Phase.JOINT else ():
                self._write(key, self.view[key].body)

    def _commit(self, transaction: Transaction) -> None:
        window = self.deletion_window
        for key in transaction.deletes:
            established = self.view[key].version <= self.version - window
            self.deletions.append((self.version, key, established))
        for key, body in bodies_by_key(transaction).items():
            self._write(key, encode_body(body) if body is not None else None)
        self.ends[transaction.ident] = Phase.COMMITTED

    def _write(self, key: Key, data: bytes | None) -> None:
        self.ever_written.add(key)
        if data is None:
            self.view.pop(key, None)
        else:
            self.view[key] = Resource(key, self.version, data)

    # ---- validation ----

    def is_valid(self, transaction: Transaction) -> bool:
        bodies = bodies_by_key(transaction)
        return (
            bool(bodies)
            and len(self.under_way) < MAX_PENDING
            and not self._conflicts(bodies, transaction)
            and all(self.version_of(k) == v for k, v in transaction.expected.items())
            and all(key in self.view for key in transaction.deletes)
            and not self._leaves_dangling_reference(bodies)
            and not self._deletes_too_much(transaction)
            and not self._bans_all_servers(bodies)
        )

    def version_of(self, key: Key) -> int:
        return self.view[key].version if key in self.view else 0

    def _conflicts(self, bodies: dict[Key, Body | None], transaction: Transaction) -> bool:
        wanted = set(bodies) | set(transaction.expected)
        wanted |= {t for body in bodies.values() if body is not None for t in references(body)}
        for one in self.under_way.values():
            theirs = one.bodies()
            named = {t for body in theirs.values() if body is not None for t in references(body)}
            for key in theirs:
                old = self.body(key)
                named |= set(references(old)) if old is not None else set()
            if wanted & set(theirs) or named & set(bodies):
                return True
        return False

    def _leaves_dangling_reference(self, bodies: dict[Key, Body | None]) -> bool:
        after = {key: self.body(key) for key in self.view} | bodies
        there = {key for key in self.view if key not in bodies} | {
            k for k, b in bodies.items() if b is not None
        }
        return any(t not in there for body in after.values() if body is not None for t in references(body))

    def _deletes_too_much(self, transaction: Transaction) -> bool:
        window = self.deletion_window
        first = max(0, self.version - window)
        coming = [key for one in self.under_way.values() for key in one.transaction.deletes]
        for kind in HARM_CHECKED_KINDS:
            own = [key for key in transaction.deletes if key.kind is kind]
            keys = own + [key for key in coming if key.kind is kind]
            before = max(self.count_in_force(kind, view) for view in [*self.history[first:], self.view])
            if not own or before < MIN_HARM_CHECKED_COUNT:
                continue
            gone = sum(k.kind is kind and old and v > self.version - window for v, k, old in self.deletions)
            gone += sum(k in self.view and self.view[k].version <= self.version - window for k in keys)
            if (
                gone >= before * HARMFUL_SHARE
                or self.count_in_force(kind) - len(keys) <= before * HARMFUL_SHARE
            ):
                return True
        return False

    def _bans_all_servers(self, bodies: dict[Key, Body | None]) -> bool:
        after = {key: body for key in self.view if (body := self.body(key)) is not None}
        for one in self.under_way.values():
            after |= {k: b for k, b in one.bodies().items() if isinstance(b, Ban)}
        after |= {key: body for key, body in bodies.items() if body is not None}
        for key, body in bodies.items():
            if body is None:
                after.pop(key, None)
        touched = {b.service for b in bodies.values() if isinstance(b, Ban)}
        touched |= {key.name for key, b in bodies.items() if isinstance(b, Service)}
        for name in touched:
            service = after.get(Key(Kind.SERVICE, name))
            out = {b.server for b in after.values() if isinstance(b, Ban) and b.service == name}
            if isinstance(service, Service) and out and 0 < service.servers <= len(out):
                return True
        return False

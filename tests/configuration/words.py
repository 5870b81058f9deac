"""Helpers of the tests to build resources and transactions."""

from __future__ import annotations

from dykeshift.configuration.resources import (
    Ban,
    Body,
    ClassTerms,
    Key,
    Kind,
    ListWord,
    Route,
    Service,
    Tenant,
    ban_key,
    encode_body,
    list_word_key,
)
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.transactions import (
    Advance,
    Phase,
    Put,
    Transaction,
    encode_entry,
)

MS = 1_000_000

SAFE = ClassTerms(100 * MS, 500 * MS, 1.0, "pure")
UNSAFE = ClassTerms(100 * MS, 500 * MS, 1.0, "side_effect")
SERVICE = Service(balancers=4, attempt_limit=3, copies_allowed=True, cancel_allowed=True, servers=3)


def class_key(name: str) -> Key:
    return Key(Kind.CLASS, name)


def route_key(name: str) -> Key:
    return Key(Kind.ROUTE, name)


def tenant_key(name: str) -> Key:
    return Key(Kind.TENANT, name)


def service_key(name: str) -> Key:
    return Key(Kind.SERVICE, name)


def put(key: Key, body: Body) -> Put:
    return Put(key, encode_body(body))


def ban(service: str, server: str) -> Put:
    return put(ban_key(service, server), Ban(service, server))


def word(name: str, *names: str, service: str = "") -> Put:
    return put(list_word_key(name, service), ListWord(name, names, service))  # type: ignore[arg-type]


class Driver:
    """Applies transactions and phase changes to a store, one entry at a time."""

    def __init__(self, store: ConfigStore | None = None) -> None:
        self.store = store if store is not None else ConfigStore()
        self.ident = 0

    def begin(
        self,
        *puts: Put,
        deletes: tuple[Key, ...] = (),
        expected: dict[Key, int] | None = None,
        checked: bool = False,
    ) -> int:
        """Begin a transaction; returns its ident."""
        self.ident += 1
        transaction = Transaction(self.ident, "test", puts, deletes, expected or {}, checked)
        self.store.apply(self.store.version + 1, encode_entry(transaction))
        return self.ident

    def advance(self, ident: int, phase: Phase) -> None:
        self.store.apply(self.store.version + 1, encode_entry(Advance(ident, phase)))

    def phase(self, ident: int) -> Phase:
        if ident in self.store.pending:
            return self.store.pending[ident].phase
        outcome = self.store.outcome(ident)
        assert outcome is not None
        return outcome.phase

    def reason(self, ident: int) -> str:
        outcome = self.store.outcome(ident)
        return outcome.reason if outcome is not None else ""

    def through(self, *puts: Put, deletes: tuple[Key, ...] = ()) -> int:
        """Take a transaction through all its phases to the commit; returns its ident."""
        ident = self.begin(*puts, deletes=deletes)
        for phase in (Phase.JOINT, Phase.COMMITTED):
            if ident in self.store.pending:
                self.advance(ident, phase)
        assert self.phase(ident) is Phase.COMMITTED, self.reason(ident)
        return ident


def small_store() -> Driver:
    """A driver with a store of two services, two classes, four routes and ten tenants."""
    driver = Driver()
    driver.through(put(service_key("cart"), SERVICE), put(service_key("mail"), SERVICE))
    driver.through(put(class_key("read"), SAFE), put(class_key("send"), UNSAFE))
    driver.through(
        put(route_key("/cart"), Route("cart", "read")),
        put(route_key("/cart/add"), Route("cart", "send")),
        put(route_key("/mail"), Route("mail", "read")),
        put(route_key("/mail/send"), Route("mail", "send")),
    )
    driver.through(
        *(put(tenant_key(f"t{n}"), Tenant(("cart",) if n % 2 else ("mail", "cart"))) for n in range(10))
    )
    return driver

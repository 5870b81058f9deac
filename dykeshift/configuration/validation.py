"""Why a transaction is refused: its form, its size, who has the keys now, what it would leave dangling, and
the harm that it would do. Pure functions of the store's state and the transaction, alike on every member.

Nobody asks a clock here. "At once" is said in versions of the store: deletions count together while they are
within `DELETION_WINDOW` versions. What was written as lately itself does not count as deleted (somebody tries
something out), but never may half or less of what there was be left.

Which servers run only discovery knows: by the store's state alone a ban is held against the number of servers
that the service declares; who proposes has its own list of servers and hands it in as `running`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from dykeshift.agree.proposals import LONGEST
from dykeshift.configuration.index import ResourceIndex
from dykeshift.configuration.references import ReferenceIndex, references
from dykeshift.configuration.resources import (
    Ban,
    Body,
    BodyError,
    ClassTerms,
    Key,
    Kind,
    ListWord,
    Service,
    Tenant,
    ban_key,
    decode_body,
    list_word_key,
)
from dykeshift.configuration.transactions import Pending, Transaction, encode_entry
from dykeshift.configuration.translate import settings_of
from dykeshift.settings import SettingsError

MOST_RESOURCES = 65_536
MOST_BODY_BYTES = 4_096
MOST_TRANSACTION_BYTES = LONGEST  # of an entry of the log
MOST_KEYS = 1_024  # of one transaction
MOST_PENDING = 64
MOST_NAME_LENGTH = 256
MOST_SERVICES = 64  # that one resource may name
MOST_LIST_NAMES = 64

DELETION_WINDOW = 100  # versions within which deletions count together
HARMFUL_SHARE = 0.5  # of the resources of a kind, deleted at once
LEAST_JUDGED = 8  # with fewer resources of a kind than this any number may go
JUDGED_KINDS = (Kind.TENANT, Kind.ROUTE, Kind.SERVICE)


class Cause(Enum):
    """Sorts of objections. `CONFLICT` passes by itself, once what is under way has come to its end."""

    DUPLICATE = "duplicate"
    FORM = "form"
    LIMIT = "limit"
    EXPECTED = "expected version"
    CONFLICT = "conflict"
    REFERENCE = "reference"
    HARM = "harm"


@dataclass(frozen=True, slots=True)
class Objection:
    """Why a transaction changes nothing now; `text` is a line for people."""

    cause: Cause
    text: str


class CurrentState(Protocol):
    """What is asked of the store."""

    index: ResourceIndex
    referrers: ReferenceIndex
    pending: dict[int, Pending]

    def body(self, key: Key) -> Body | None:
        """The body in force."""

    def holder(self, key: Key) -> int | None:
        """The transaction under way that writes a key."""

    def reader(self, key: Key) -> int | None:
        """A transaction under way that names a key, with its old bodies or its new ones."""

    def decided(self, ident: int) -> bool:
        """Whether this transaction is under way, or was decided lately."""

    def count(self, kind: Kind) -> int:
        """Live resources of a kind."""

    def established(self, key: Key) -> bool:
        """Whether a resource was not written within `DELETION_WINDOW` versions."""

    def deleted_lately(self, kind: Kind) -> int:
        """How many established ones of a kind were deleted within `DELETION_WINDOW` versions."""

    def most_lately(self, kind: Kind) -> int:
        """The most of a kind that there were within `DELETION_WINDOW` versions."""


Running = Mapping[str, frozenset[str]]  # the servers that run, by service
Bodies = dict[Key, Body | None]  # what a transaction makes of its keys


def find_objection(
    state: CurrentState, transaction: Transaction, running: Running | None = None
) -> Objection | None:
    """The first objection; None where the transaction can begin now."""
    if state.decided(transaction.ident):
        return Objection(Cause.DUPLICATE, f"transaction {transaction.ident} is known already")
    found = _form(transaction) or _sizes(state, transaction)
    if found is not None:
        return found
    bodies: Bodies = dict.fromkeys(transaction.deletes)
    for put in transaction.puts:
        try:
            bodies[put.key] = decode_body(put.key.kind, put.body)
        except BodyError as error:
            return Objection(Cause.FORM, f"{put.key}: {error}")
    for check in _CHECKS:
        found = check(state, transaction, bodies)
        if found is not None:
            return found
    return _servers_put_out(state, bodies, running)


# ---- form and size ----


def _form(transaction: Transaction) -> Objection | None:
    keys = transaction.written_keys()
    if not keys:
        return Objection(Cause.FORM, "it changes nothing")
    if len(set(keys)) < len(keys):
        return Objection(Cause.FORM, "a key is written twice")
    for key in keys:
        if not key.name or len(key.name) > MOST_NAME_LENGTH or not key.name.isprintable():
            return Objection(
                Cause.FORM, f"{key.kind.name.lower()}: no name of 1 to {MOST_NAME_LENGTH} letters"
            )
        if key.kind is Kind.SERVICE and "/" in key.name:
            return Objection(Cause.FORM, f"{key}: the name of a service has no slash")
    return None


def _sizes(state: CurrentState, transaction: Transaction) -> Objection | None:
    keys = transaction.written_keys()
    if len(keys) > MOST_KEYS:
        return Objection(Cause.LIMIT, f"{len(keys)} keys are more than {MOST_KEYS}")
    for put in transaction.puts:
        if len(put.body) > MOST_BODY_BYTES:
            return Objection(Cause.LIMIT, f"{put.key}: {len(put.body)} bytes are more than {MOST_BODY_BYTES}")
    size = len(encode_entry(transaction))
    if size > MOST_TRANSACTION_BYTES:
        return Objection(Cause.LIMIT, f"{size} bytes are more than {MOST_TRANSACTION_BYTES}")
    if len(state.pending) >= MOST_PENDING:
        return Objection(Cause.LIMIT, f"{MOST_PENDING} transactions are under way already")
    coming = [*state.pending.values()]
    total = state.index.count + sum(_created(state, one.transaction) for one in coming)
    total += _created(state, transaction)
    if total > MOST_RESOURCES:
        return Objection(Cause.LIMIT, f"{total} resources would be more than {MOST_RESOURCES}")
    return None


def _created(state: CurrentState, transaction: Transaction) -> int:
    return sum(state.index.get(put.key) is None for put in transaction.puts)


# ---- bodies ----


def _bodies(state: CurrentState, transaction: Transaction, bodies: Bodies) -> Objection | None:
    for key, body in bodies.items():
        text = _body_fault(key, body) if body is not None else ""
        if text:
            return Objection(Cause.FORM, f"{key}: {text}")
    return None


def _body_fault(key: Key, body: Body) -> str:
    if isinstance(body, ClassTerms | Service):
        return _terms_fault(key, body)
    if isinstance(body, Tenant):
        if not math.isfinite(body.share) or body.share <= 0:
            return f"a share of {body.share!r}, and a positive number is wanted"
        if len(body.services) > MOST_SERVICES:
            return f"{len(body.services)} services are more than {MOST_SERVICES}"
        if len(set(body.services)) < len(body.services):
            return "a service is named twice"
    if isinstance(body, Ban) and key != ban_key(body.service, body.server):
        return "its name is not that of its service and server"
    if isinstance(body, ListWord):
        if key != list_word_key(body.word, body.service):
            return "its name is not that of its word and service"
        if len(body.names) > MOST_LIST_NAMES:
            return f"{len(body.names)} names are more than {MOST_LIST_NAMES}"
        if body.word == "doubt" and body.names not in (("serve",), ("refuse",)):
            return "doubt is to serve or to refuse"
    return ""


def _terms_fault(key: Key, body: ClassTerms | Service) -> str:
    """What the settings' own reader has against it."""
    numbers = [getattr(body, name) for name in body.__struct_fields__]
    if any(isinstance(value, float) and not math.isfinite(value) for value in numbers):
        return "a number is not finite"
    try:
        if isinstance(body, Service):
            settings_of(body, ())
        else:
            settings_of(Service(), [(key.name, body)])
    except SettingsError as error:
        return str(error)
    return ""


# ---- versions, conflicts, references ----


def _expected(state: CurrentState, transaction: Transaction, bodies: Bodies) -> Objection | None:
    for key, version in transaction.expected.items():
        held = state.index.get(key)
        found = held.version if held is not None else 0
        if found != version:
            return Objection(Cause.EXPECTED, f"{key} has version {found}, expected {version}")
    for key in transaction.deletes:
        if state.index.get(key) is None:
            return Objection(Cause.EXPECTED, f"{key} does not exist")
    return None


def _conflict(state: CurrentState, transaction: Transaction, bodies: Bodies) -> Objection | None:
    named = [target for body in bodies.values() if body is not None for target in references(body)]
    for key in (*bodies, *transaction.expected, *named):
        holder = state.holder(key)
        if holder is not None:
            return Objection(Cause.CONFLICT, f"{key} is being changed by transaction {holder}")
    for key in bodies:
        reader = state.reader(key)
        if reader is not None:
            return Objection(Cause.CONFLICT, f"{key} is named by transaction {reader}, which is under way")
    return None


def _references(state: CurrentState, transaction: Transaction, bodies: Bodies) -> Objection | None:
    for key, body in bodies.items():
        for target in references(body) if body is not None else ():
            found = bodies[target] if target in bodies else state.index.get(target)
            if found is None:
                return Objection(Cause.REFERENCE, f"{key} names {target}, which does not exist")
    for key in transaction.deletes:
        left = min((name for name in state.referrers.all(key) if name not in bodies), default=None)
        if left is not None:
            return Objection(Cause.REFERENCE, f"{key} is named by {left}")
    return None


# ---- harm ----


def _deletions(state: CurrentState, transaction: Transaction, bodies: Bodies) -> Objection | None:
    """Half of a kind deleted at once."""
    deletes = [*transaction.deletes]
    for one in state.pending.values():
        deletes += one.transaction.deletes
    for kind in JUDGED_KINDS:
        keys = [key for key in deletes if key.kind is kind]
        before = state.most_lately(kind)
        if before < LEAST_JUDGED or not any(key.kind is kind for key in transaction.deletes):
            continue
        gone = state.deleted_lately(kind) + sum(map(state.established, keys))
        left = state.count(kind) - len(keys)
        if gone >= before * HARMFUL_SHARE or left <= before * HARMFUL_SHARE:
            gone = max(gone, before - left)
            return Objection(Cause.HARM, f"{gone} of {before} {kind.name.lower()}s would be deleted at once")
    return None


def _servers_put_out(state: CurrentState, bodies: Bodies, running: Running | None) -> Objection | None:
    """All servers of a service put out: of those that it declares, and of those that run."""
    touched = {body.service for body in bodies.values() if isinstance(body, Ban)}
    touched |= {key.name for key, body in bodies.items() if isinstance(body, Service)}
    for name in sorted(touched):
        out = _servers_out(state, name, bodies)
        if not out:
            continue
        own = bodies.get(Key(Kind.SERVICE, name)) or state.body(Key(Kind.SERVICE, name))
        declared = own.servers if isinstance(own, Service) else 0
        if declared and len(out) >= declared:
            return Objection(
                Cause.HARM, f"service {name!r}: {len(out)} of its {declared} servers would be out"
            )
        runs = running.get(name, frozenset()) if running is not None else frozenset[str]()
        if runs and runs <= out:
            return Objection(
                Cause.HARM, f"service {name!r}: all its {len(runs)} running servers would be out"
            )
    return None


def _servers_out(state: CurrentState, service: str, bodies: Bodies) -> set[str]:
    """Servers of a service that are out, or may be: also those of transactions under way."""
    target = Key(Kind.SERVICE, service)
    prefix = len(ban_key(service, "").name)
    keys = set(state.referrers.of_kind(target, Kind.BAN))
    keys |= {
        put.key
        for one in state.pending.values()
        for put in one.transaction.puts
        if put.key.kind is Kind.BAN and put.key.name.startswith(ban_key(service, "").name)
    }
    keys -= {key for key, body in bodies.items() if body is None}
    keys |= {key for key, body in bodies.items() if isinstance(body, Ban) and body.service == service}
    return {key.name[prefix:] for key in keys}


_Check = Callable[[CurrentState, Transaction, Bodies], Objection | None]
_CHECKS: tuple[_Check, ...] = (_bodies, _conflict, _expected, _references, _deletions)

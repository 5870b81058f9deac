"""Validation of transactions: form, limits, conflicts, expected versions, references, harmful changes.

All checks are pure functions of the store's state and the transaction, so every member of the replicated log
decides alike.

No clock is read here. The window for mass deletions is counted in versions of the store: deletions within
`DELETION_WINDOW` versions are added up. Deleting a resource that was itself written within that window does
not count (somebody may be trying something out), but more than half of the resources must always remain.

Only discovery knows which servers run. The store's own state allows a check of bans against the number of
servers that the service declares; the proposer also passes the servers that discovery reports as `running`.

The texts of objections become part of the replicated state (`Outcome.reason`), so every member must produce
the same text for the same transaction.
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

MAX_RESOURCES = 65_536
MAX_BODY_BYTES = 4_096
MAX_TRANSACTION_BYTES = LONGEST  # the size limit of a log entry
MAX_KEYS = 1_024  # per transaction
MAX_PENDING = 64
MAX_NAME_LENGTH = 256
MAX_SERVICES = 64  # services that one resource may reference
MAX_LIST_NAMES = 64

DELETION_WINDOW = 100  # in versions: deletions within it are added up
HARMFUL_SHARE = 0.5  # refuse to delete this share of the resources of a kind within the window
MIN_HARM_CHECKED_COUNT = 8  # with fewer resources of a kind, any number may be deleted
HARM_CHECKED_KINDS = (Kind.TENANT, Kind.ROUTE, Kind.SERVICE)


class Cause(Enum):
    """Categories of objections. `CONFLICT` is temporary: it ends with the conflicting transaction."""

    DUPLICATE = "duplicate"
    FORM = "form"
    LIMIT = "limit"
    EXPECTED = "expected version"
    CONFLICT = "conflict"
    REFERENCE = "reference"
    HARM = "harm"


@dataclass(frozen=True, slots=True)
class Objection:
    """Why a transaction cannot begin now; `text` is human-readable."""

    cause: Cause
    text: str


class CurrentState(Protocol):
    """The part of the store's state that validation reads."""

    index: ResourceIndex
    referrers: ReferenceIndex
    pending: dict[int, Pending]

    def body(self, key: Key) -> Body | None:
        """The body of a key that is in force."""

    def pending_writer(self, key: Key) -> int | None:
        """The pending transaction that writes a key."""

    def pending_reader(self, key: Key) -> int | None:
        """A pending transaction whose old or new bodies reference a key."""

    def decided(self, ident: int) -> bool:
        """Whether this transaction is pending or has a remembered outcome."""

    def count(self, kind: Kind) -> int:
        """The number of resources of a kind that are in force."""

    def established(self, key: Key) -> bool:
        """Whether a resource exists and was last written before the deletion window."""

    def recently_deleted(self, kind: Kind) -> int:
        """How many established resources of a kind were deleted within the deletion window."""

    def recent_maximum(self, kind: Kind) -> int:
        """The largest number of resources of a kind within the deletion window."""


RunningServers = Mapping[str, frozenset[str]]  # running servers by service
BodiesByKey = dict[Key, Body | None]  # new bodies by key; None: the key is deleted


def find_objection(
    state: CurrentState, transaction: Transaction, running: RunningServers | None = None
) -> Objection | None:
    """Return the first objection to a transaction, or None if it can begin now."""
    if state.decided(transaction.ident):
        return Objection(Cause.DUPLICATE, f"transaction {transaction.ident} is known already")
    found = _check_form(transaction) or _check_sizes(state, transaction)
    if found is not None:
        return found
    bodies: BodiesByKey = dict.fromkeys(transaction.deletes)
    for put in transaction.puts:
        try:
            bodies[put.key] = decode_body(put.key.kind, put.body)
        except BodyError as error:
            return Objection(Cause.FORM, f"{put.key}: {error}")
    for check in _CHECKS:
        found = check(state, transaction, bodies)
        if found is not None:
            return found
    return _check_all_servers_banned(state, bodies, running)


# ---- form and size ----


def _check_form(transaction: Transaction) -> Objection | None:
    keys = transaction.written_keys()
    if not keys:
        return Objection(Cause.FORM, "it changes nothing")
    if len(set(keys)) < len(keys):
        return Objection(Cause.FORM, "a key is written twice")
    for key in keys:
        if not key.name or len(key.name) > MAX_NAME_LENGTH or not key.name.isprintable():
            return Objection(
                Cause.FORM, f"{key.kind.name.lower()}: no name of 1 to {MAX_NAME_LENGTH} letters"
            )
        if key.kind is Kind.SERVICE and "/" in key.name:
            return Objection(Cause.FORM, f"{key}: the name of a service has no slash")
    return None


def _check_sizes(state: CurrentState, transaction: Transaction) -> Objection | None:
    keys = transaction.written_keys()
    if len(keys) > MAX_KEYS:
        return Objection(Cause.LIMIT, f"{len(keys)} keys are more than {MAX_KEYS}")
    for put in transaction.puts:
        if len(put.body) > MAX_BODY_BYTES:
            return Objection(Cause.LIMIT, f"{put.key}: {len(put.body)} bytes are more than {MAX_BODY_BYTES}")
    size = len(encode_entry(transaction))
    if size > MAX_TRANSACTION_BYTES:
        return Objection(Cause.LIMIT, f"{size} bytes are more than {MAX_TRANSACTION_BYTES}")
    if len(state.pending) >= MAX_PENDING:
        return Objection(Cause.LIMIT, f"{MAX_PENDING} transactions are under way already")
    coming = [*state.pending.values()]
    total = state.index.count + sum(_created(state, one.transaction) for one in coming)
    total += _created(state, transaction)
    if total > MAX_RESOURCES:
        return Objection(Cause.LIMIT, f"{total} resources would be more than {MAX_RESOURCES}")
    return None


def _created(state: CurrentState, transaction: Transaction) -> int:
    return sum(state.index.get(put.key) is None for put in transaction.puts)


# ---- bodies ----


def _check_bodies(state: CurrentState, transaction: Transaction, bodies: BodiesByKey) -> Objection | None:
    for key, body in bodies.items():
        text = _body_error(key, body) if body is not None else ""
        if text:
            return Objection(Cause.FORM, f"{key}: {text}")
    return None


def _body_error(key: Key, body: Body) -> str:
    if isinstance(body, ClassTerms | Service):
        return _terms_error(key, body)
    if isinstance(body, Tenant):
        if not math.isfinite(body.share) or body.share <= 0:
            return f"a share of {body.share!r}, and a positive number is wanted"
        if len(body.services) > MAX_SERVICES:
            return f"{len(body.services)} services are more than {MAX_SERVICES}"
        if len(set(body.services)) < len(body.services):
            return "a service is named twice"
    if isinstance(body, Ban) and key != ban_key(body.service, body.server):
        return "its name is not that of its service and server"
    if isinstance(body, ListWord):
        if key != list_word_key(body.word, body.service):
            return "its name is not that of its word and service"
        if len(body.names) > MAX_LIST_NAMES:
            return f"{len(body.names)} names are more than {MAX_LIST_NAMES}"
        if body.word == "doubt" and body.names not in (("serve",), ("refuse",)):
            return "doubt is to serve or to refuse"
    return ""


def _terms_error(key: Key, body: ClassTerms | Service) -> str:
    """The error of the settings parser for these terms; empty: none."""
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


def _check_expected_versions(
    state: CurrentState, transaction: Transaction, bodies: BodiesByKey
) -> Objection | None:
    for key, version in transaction.expected.items():
        held = state.index.get(key)
        found = held.version if held is not None else 0
        if found != version:
            return Objection(Cause.EXPECTED, f"{key} has version {found}, expected {version}")
    for key in transaction.deletes:
        if state.index.get(key) is None:
            return Objection(Cause.EXPECTED, f"{key} does not exist")
    return None


def _check_conflicts(state: CurrentState, transaction: Transaction, bodies: BodiesByKey) -> Objection | None:
    named = [target for body in bodies.values() if body is not None for target in references(body)]
    for key in (*bodies, *transaction.expected, *named):
        holder = state.pending_writer(key)
        if holder is not None:
            return Objection(Cause.CONFLICT, f"{key} is being changed by transaction {holder}")
    for key in bodies:
        reader = state.pending_reader(key)
        if reader is not None:
            return Objection(Cause.CONFLICT, f"{key} is named by transaction {reader}, which is under way")
    return None


def _check_references(state: CurrentState, transaction: Transaction, bodies: BodiesByKey) -> Objection | None:
    for key, body in bodies.items():
        for target in references(body) if body is not None else ():
            found = bodies[target] if target in bodies else state.index.get(target)
            if found is None:
                return Objection(Cause.REFERENCE, f"{key} names {target}, which does not exist")
    for key in transaction.deletes:
        left = min((name for name in state.referrers.all_referrers(key) if name not in bodies), default=None)
        if left is not None:
            return Objection(Cause.REFERENCE, f"{key} is named by {left}")
    return None


# ---- harm ----


def _check_mass_deletions(
    state: CurrentState, transaction: Transaction, bodies: BodiesByKey
) -> Objection | None:
    """Refuses to delete half of the resources of a kind within the deletion window."""
    deletes = [*transaction.deletes]
    for one in state.pending.values():
        deletes += one.transaction.deletes
    for kind in HARM_CHECKED_KINDS:
        keys = [key for key in deletes if key.kind is kind]
        before = state.recent_maximum(kind)
        if before < MIN_HARM_CHECKED_COUNT or not any(key.kind is kind for key in transaction.deletes):
            continue
        gone = state.recently_deleted(kind) + sum(map(state.established, keys))
        left = state.count(kind) - len(keys)
        if gone >= before * HARMFUL_SHARE or left <= before * HARMFUL_SHARE:
            gone = max(gone, before - left)
            return Objection(Cause.HARM, f"{gone} of {before} {kind.name.lower()}s would be deleted at once")
    return None


def _check_all_servers_banned(
    state: CurrentState, bodies: BodiesByKey, running: RunningServers | None
) -> Objection | None:
    """Refuses bans of all declared, or of all running, servers of a service."""
    touched = {body.service for body in bodies.values() if isinstance(body, Ban)}
    touched |= {key.name for key, body in bodies.items() if isinstance(body, Service)}
    for name in sorted(touched):
        out = _banned_servers(state, name, bodies)
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


def _banned_servers(state: CurrentState, service: str, bodies: BodiesByKey) -> set[str]:
    """The servers of a service that are banned, or would be by a pending transaction."""
    target = Key(Kind.SERVICE, service)
    prefix = len(ban_key(service, "").name)
    keys = set(state.referrers.referrers_of_kind(target, Kind.BAN))
    keys |= {
        put.key
        for one in state.pending.values()
        for put in one.transaction.puts
        if put.key.kind is Kind.BAN and put.key.name.startswith(ban_key(service, "").name)
    }
    keys -= {key for key, body in bodies.items() if body is None}
    keys |= {key for key, body in bodies.items() if isinstance(body, Ban) and body.service == service}
    return {key.name[prefix:] for key in keys}


_Check = Callable[[CurrentState, Transaction, BodiesByKey], Objection | None]
_CHECKS: tuple[_Check, ...] = (
    _check_bodies,
    _check_conflicts,
    _check_expected_versions,
    _check_references,
    _check_mass_deletions,
)

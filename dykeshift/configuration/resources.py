"""The resources that make up the configuration: their keys, their typed bodies and their encoding.

A resource has a key and a version. It is a class of requests, a route, a tenant, a service, a ban of a
server, or a list word (a list kept by operators). Its body is the MessagePack encoding of the struct of its
kind, as an array: a reader that knows fewer fields skips the last ones, one that knows more uses their
defaults.

A resource in its joint phase carries both bodies, the one in force and the next one (`joint`). A balancer
then has to act on the meet of the two, which allows only what both allow (`dykeshift.configuration.meets`).
"""

from __future__ import annotations

import hashlib
from enum import IntEnum
from typing import Literal, cast

import msgspec
from msgspec import Struct


class Kind(IntEnum):
    """The kinds of resources. The numbers are part of the encoding."""

    CLASS = 1
    ROUTE = 2
    TENANT = 3
    SERVICE = 4
    BAN = 5
    LIST_WORD = 6


class Key(Struct, frozen=True, array_like=True, order=True, cache_hash=True, gc=False):
    """The identity of a resource: a name is unique within its kind."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.name.lower()} {self.name!r}"


class ClassTerms(Struct, frozen=True, array_like=True, gc=False):
    """A class of requests. Times in nanoseconds. `position` is the index of the class in a settings file."""

    aim_ns: int
    deadline_ns: int
    worth: float
    idempotency: Literal["pure", "token", "side_effect"] = "side_effect"
    scope: Literal["all", "zone", "cell"] = "cell"
    window_ns: int = 0  # how long repeats of a keyed request are dropped
    late_share: float = 0.0  # part of the worth earned by an answer between aim and deadline
    stream: bool = False
    position: int = 0


class Route(Struct, frozen=True, array_like=True, gc=False):
    """The service that the requests of a route go to, and their class."""

    service: str
    request_class: str


class Tenant(Struct, frozen=True, array_like=True):
    """A tenant: the services it may use (empty: all) and its share of each."""

    services: tuple[str, ...] = ()
    share: float = 1.0


class Service(Struct, frozen=True, array_like=True, gc=False):
    """How balancers use one service and its upstreams. Times in nanoseconds."""

    balancers: int = 1
    attempt_limit: int = 1
    copies_allowed: bool = False
    cancel_allowed: bool = False
    cold_share: float = 0.0  # a cold server starts with at least this share of its capacity
    cold_time_ns: int = 0
    overload_multiple: float = 1.0  # a cold server fails if sent more than this multiple of its capacity
    overload_window_ns: int = 0  # how long it then fails
    answer_slack_ns: int = 0  # how long after the deadline a final answer may come
    worth_by_work: bool = False  # the worth counts per unit of work, not per request
    worst_class: float = 0.0  # 0 to 0.99: weight of the worst-served class against all requests
    retry_advice: bool = False
    retry_advice_limit_ns: int = 0
    ask_every_ns: int = 0  # interval of queries to discovery
    servers: int = 0  # declared number of servers; 0: not declared


class Ban(Struct, frozen=True, array_like=True, gc=False):
    """A server that gets no new requests, as decided by an operator (`by`)."""

    service: str
    server: str
    by: str = ""


class ListWord(Struct, frozen=True, array_like=True):
    """A list kept by operators, identified by its word; for one service, or for all if `service` is empty.

    `preferred`: servers that are chosen before equally loaded ones; `closed`: classes of requests that are
    rejected; `wary`: servers that a balancer without a lease does not use; `doubt`: "serve" or "refuse", what
    a balancer without a lease does with requests.
    """

    word: Literal["preferred", "closed", "wary", "doubt"]
    names: tuple[str, ...] = ()
    service: str = ""


Body = ClassTerms | Route | Tenant | Service | Ban | ListWord

BODY_TYPES: dict[Kind, type[Body]] = {
    Kind.CLASS: ClassTerms,
    Kind.ROUTE: Route,
    Kind.TENANT: Tenant,
    Kind.SERVICE: Service,
    Kind.BAN: Ban,
    Kind.LIST_WORD: ListWord,
}


class Joint(Struct, frozen=True, array_like=True, gc=False):
    """The next body, beside the one in force; None: the resource is going to be deleted."""

    body: bytes | None


class Resource(Struct, frozen=True, array_like=True):
    """One resource as of `version`, the version of the store at which it was last written.

    `body` None: a tombstone or, with `joint`, a resource that is not in force yet. `former_services`: of a
    tombstone, the services that the resource concerned; of any other resource see `services()`.
    """

    key: Key
    version: int
    body: bytes | None
    joint: Joint | None = None
    former_services: tuple[str, ...] = ()

    @property
    def live(self) -> bool:
        """Whether this is a resource and not a tombstone."""
        return self.body is not None or self.joint is not None


class BodyError(Exception):
    """The bytes do not decode to a body of the kind; the text is human-readable."""


_encoder = msgspec.msgpack.Encoder()
_decoders = {kind: msgspec.msgpack.Decoder(body_type) for kind, body_type in BODY_TYPES.items()}
_DIGEST_KEY = b"dykeshift.configuration.resource"
DIGEST_BYTES = 16


def encode_body(body: Body) -> bytes:
    """Encode a typed body."""
    return _encoder.encode(body)


def decode_body(kind: Kind, data: bytes) -> Body:
    """Decode a body of a kind; raises BodyError if the bytes are malformed."""
    try:
        found = _decoders[kind].decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise BodyError(f"no {kind.name.lower()}: {error}") from None
    return cast(Body, found)


def body_services(kind: Kind, data: bytes | None, name: str) -> tuple[str, ...]:
    """The services that a body concerns; empty: all services, also for no body."""
    if data is None:
        return ()
    body = decode_body(kind, data)
    if isinstance(body, Service):
        return (name,)
    if isinstance(body, Route | Ban):
        return (body.service,)
    if isinstance(body, Tenant):
        return body.services
    if isinstance(body, ListWord) and body.service:
        return (body.service,)
    return ()


def services(resource: Resource) -> tuple[str, ...]:
    """The services that a resource concerns, by both bodies in a joint phase; empty: all services."""
    if not resource.live:
        return resource.former_services
    found = set[str]()
    for data in (resource.body, resource.joint.body if resource.joint is not None else None):
        if data is not None:
            named = body_services(resource.key.kind, data, resource.key.name)
            if not named:
                return ()
            found.update(named)
    return tuple(sorted(found))


def resource_digest(resource: Resource) -> int:
    """A 128-bit digest of key, version and bodies. It detects errors; it does not authenticate."""
    data = _encoder.encode(resource)
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=_DIGEST_KEY).digest(), "big")


def ban_key(service: str, server: str) -> Key:
    """The key of the ban of one server of a service."""
    return Key(Kind.BAN, f"{service}/{server}")


def list_word_key(word: str, service: str = "") -> Key:
    """The key of a list word, of one service or of all."""
    return Key(Kind.LIST_WORD, f"{service}/{word}" if service else word)

"""What this balancer is told at its start: the file that NODE_CONFIG names, checked and typed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from dykeshift.interface import Settings
from dykeshift.settings import Malformed, need, parse_settings

Address = tuple[str, int]

CONNECTIONS_SHARE = 0.4  # of the descriptors, for the connections to clients and again for those to upstreams
# Descriptors that are neither kind's: 14 of the program at rest, discovery's two while it moves, and some for
# connections that are being accepted or closed. All others together must not take them.
RESERVED_DESCRIPTORS = 24
BASE_MEMORY_MB = 16.0  # MB that the program needs with no connection open, measured, with some room
CONNECTION_MEMORY_MB = (
    0.128  # MB that one connection holds at the most: a whole body, and again while it is passed on
)
MAX_OPERATOR_CONNECTIONS, OPERATOR_SHARE = (
    16,
    16,
)  # operators' connections: so many, or one in so many of the descriptors
LONG_REQUESTS_SHARE = 0.25  # of the memory beside the program's, for what is kept of long requests


class ConfigError(Exception):
    """The configuration cannot be used; its text is one plain line for people."""


@dataclass(frozen=True, slots=True)
class Peering:
    """How this balancer reaches the others, for features that talk to them."""

    listen: Address
    peers: tuple[Address, ...]  # one for each balancer of the tier, perhaps its own among them
    everybody: Address | None  # reaches all at once
    number: int | None  # this one's among them
    settings: Any = None  # as the file words them


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    connections: int  # most that may be open to clients, and as many to upstreams
    kept: int  # bytes of long requests that may be kept
    known: Any  # the list as this balancer last had it, in discovery's form; None: never had one
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    keepalive: float  # seconds after which an upstream closes an idle connection
    connect_timeout: float  # seconds
    console: Address | None = None  # where operators call
    callers: int = 0  # operators' connections at once
    peering: Peering | None = None  # read only where a feature asks for it


def read_address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address of the form host:port")
    return host, int(port)


def _reject_non_finite(text: str) -> Any:
    raise ValueError(f"{text} is no number")


def load(path: str, console: str | None = None, peering: bool = False) -> Config:
    """`console`: an address that goes before the file's. `peering`: whether that is wanted, too."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file, parse_constant=_reject_non_finite)
    except (OSError, ValueError, RecursionError) as exc:
        raise ConfigError(f"cannot read the configuration {path!r}: {exc}") from None
    try:
        return parse({**raw, "console": console} if console else raw, peering)
    except (Malformed, ValueError, TypeError, AttributeError, OverflowError) as exc:
        raise ConfigError(f"bad configuration {path!r}: {exc}") from None


def max_operator_connections(limits: dict[str, Any]) -> int:
    return max(2, min(MAX_OPERATOR_CONNECTIONS, int(limits.get("sockets", 1024)) // OPERATOR_SHARE))


def max_connections(limits: dict[str, Any], aside: int = 0) -> int:
    """Of either kind, so that neither descriptors nor memory run out when all of them are full.

    `aside`: descriptors that are neither's.

    What is left of the descriptors is for accepting, discovery and sockets that are being closed.
    """
    sockets, memory = int(limits.get("sockets", 1024)) - aside, float(limits.get("memory_mb", 192))
    most = min(int(sockets * CONNECTIONS_SHARE), (sockets - RESERVED_DESCRIPTORS) // 2)
    return max(
        4, min(most, int((memory - BASE_MEMORY_MB) * (1 - LONG_REQUESTS_SHARE) / 2 / CONNECTION_MEMORY_MB))
    )


def long_request_budget(limits: dict[str, Any]) -> int:
    return max(
        1 << 20, int((float(limits.get("memory_mb", 192)) - BASE_MEMORY_MB) * LONG_REQUESTS_SHARE * 1e6)
    )


def _parse_peering(raw: Any) -> Peering | None:
    if not raw.get("peer_listen"):
        return None
    peers = tuple(read_address(one) for one in raw.get("peers") or ())
    me = raw["settings"].get("me")
    number = me if type(me) is int and 0 <= me < 65535 else None
    return Peering(
        read_address(raw["peer_listen"]),
        peers,
        read_address(raw["peers_all"]) if raw.get("peers_all") else None,
        number,
        raw["settings"],
    )


def parse(raw: Any, peering: bool = False) -> Config:
    given = need(raw, "settings", "")
    limits = need(given, "bounds", "settings.")
    seed = str(need(raw, "seed", ""))
    console = read_address(raw["console"]) if raw.get("console") else None
    callers = max_operator_connections(raw.get("limits", {})) if console else 0
    settings = parse_settings(given)
    if not settings.classes:
        raise Malformed("settings.services is empty: there is nothing to balance")
    if len({c.name for c in settings.classes}) < len(settings.classes):
        raise Malformed("settings.services names a class twice")
    return Config(
        name=str(raw.get("name", "balancer")),
        listen=read_address(need(raw, "listen", "")),
        discovery=read_address(need(raw, "discovery", "")),
        seed=int.from_bytes(seed.encode(), "big"),
        connections=max_connections(raw.get("limits", {}), callers),
        kept=long_request_budget(raw.get("limits", {})),
        known=raw.get("known"),
        settings=settings,
        zones=tuple(map(str, given.get("failureDomains", ()))),
        kinds=tuple(map(str, given.get("kinds", ()))),
        keepalive=float(need(limits, "keepaliveNs", "bounds.")) / 1e9,
        connect_timeout=float(need(limits, "connectTimeoutNs", "bounds.")) / 1e9,
        console=console,
        callers=callers,
        peering=_parse_peering(raw) if peering else None,
    )

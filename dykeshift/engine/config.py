"""The configuration file of a balancer (named by NODE_CONFIG), validated and typed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from dykeshift.engine.memory import BASE_BYTES, MemoryPlan, plan
from dykeshift.interface import Settings
from dykeshift.settings import MalformedError, documented_keys, parse_settings, required

Address = tuple[str, int]

MIN_CONNECTIONS = 4
CONNECTIONS_SHARE = 0.4  # of the file descriptors, for client connections and again for upstream ones
# File descriptors kept for other uses: 14 of the idle process, two to discovery while its address changes,
# and some for connections that are being accepted or closed.
RESERVED_DESCRIPTORS = 24
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 192  # where the file gives no limit
# Bytes. Where segments may be 64 KB long (loopback), transfers stall with much smaller buffers, as the
# receiver's window does not open for a whole one (RFC 9293, section 3.8.6.2).
MIN_SOCKET_BUFFER, MAX_SOCKET_BUFFER = 40 * 1024, 128 * 1024
# The keys that a complete file has, where the deployment has them. `known` and `console` come and go.
DOCUMENTED_KEYS = (
    "name",
    "listen",
    "discovery",
    "seed",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "settings",
)
DOCUMENTED_LIMITS = ("cores", "memory_mb", "sockets")
# Operators' connections: at most so many, and at most one in so many of the file descriptors.
MAX_OPERATOR_CONNECTIONS, OPERATOR_SHARE = 16, 16
# The kernel's buffers of long bodies are no memory of this process; they follow what it has for connections.
# Of a transfer, the kernel doubles the buffers on both sides.
KERNEL_MEMORY_SHARE, KERNEL_BUFFERS_PER_PAIR = 0.75, 8


class ConfigError(Exception):
    """The configuration cannot be used; the message is one line of text."""


@dataclass(frozen=True, slots=True)
class Peering:
    """How this balancer reaches the other balancers, for features that need it."""

    listen: Address
    peers: tuple[Address, ...]  # of all balancers of the tier; may include this one's
    broadcast: Address | None  # broadcast address that reaches all of them
    number: int | None  # index of this balancer in the tier
    settings: Any = None  # the settings as in the file, not parsed


@dataclass(frozen=True, slots=True)
class Config:
    """A parsed configuration file."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    connections: int  # limit of client connections, and the same of upstream connections
    memory_mb: float  # 1 MB is 10^6 bytes
    memory: MemoryPlan
    socket_buffer: int  # bytes that the kernel may hold of a long body in each direction
    cached_list: Any  # the cached list of upstreams in the format of discovery; None: none yet
    settings: Settings
    keys: frozenset[str]  # paths of the keys that the format documents and the file has
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    keepalive: float  # seconds after which an upstream closes an idle connection
    connect_timeout: float  # seconds
    console: Address | None = None  # listening address for operators
    operator_connections: int = 0  # limit of concurrent operator connections
    peering: Peering | None = None  # parsed only if a feature needs it


def read_address(text: Any) -> Address:
    """Parse host:port; ValueError if it is malformed."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def _reject_non_finite(text: str) -> Any:
    raise ValueError(f"{text} is not a number")


def load(path: str, console: str | None = None, peering: bool = False) -> Config:
    """Load a file. `console`: overrides the file's address. `peering`: whether to parse that part, too."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file, parse_constant=_reject_non_finite)
    except (OSError, ValueError, RecursionError) as exc:
        raise ConfigError(f"cannot read the configuration {path!r}: {exc}") from None
    try:
        return parse({**raw, "console": console} if console else raw, peering)
    except (MalformedError, ValueError, TypeError, AttributeError, OverflowError) as exc:
        raise ConfigError(f"bad configuration {path!r}: {exc}") from None


def max_operator_connections(limits: dict[str, Any]) -> int:
    """The limit of operator connections under these resource limits."""
    return max(2, min(MAX_OPERATOR_CONNECTIONS, int(limits.get("sockets", 1024)) // OPERATOR_SHARE))


def memory_plan(limits: dict[str, Any], reserved: int = 0) -> MemoryPlan:
    """How the memory is shared out, and the limit of client connections, and of upstream connections.

    `reserved`: descriptors set apart for other connections. The rest of the descriptors is for accepting,
    discovery and sockets that are being closed.
    """
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS)) - reserved
    by_descriptors = min(int(sockets * CONNECTIONS_SHARE), (sockets - RESERVED_DESCRIPTORS) // 2)
    return plan(float(limits.get("memory_mb", DEFAULT_MEMORY_MB)), max(MIN_CONNECTIONS, by_descriptors))


def max_socket_buffer(limits: dict[str, Any], connections: int) -> int:
    """The size of the kernel's buffers of long bodies, by what memory this many connections leave to each."""
    beyond_base = float(limits.get("memory_mb", DEFAULT_MEMORY_MB)) * 1e6 - BASE_BYTES
    size = int(beyond_base * KERNEL_MEMORY_SHARE / connections / KERNEL_BUFFERS_PER_PAIR)
    return max(MIN_SOCKET_BUFFER, min(MAX_SOCKET_BUFFER, size))


def _documented_keys(raw: Any) -> frozenset[str]:
    limits = raw.get("limits")
    return frozenset(
        {key for key in DOCUMENTED_KEYS if key in raw}
        | {f"limits.{key}" for key in DOCUMENTED_LIMITS if isinstance(limits, dict) and key in limits}
        | {f"settings.{key}" for key in documented_keys(raw["settings"])}
    )


def _parse_peering(raw: Any) -> Peering | None:
    if not raw.get("peer_listen"):
        return None
    peers = tuple(read_address(one) for one in raw.get("peers") or ())
    index = raw["settings"].get("me")
    number = index if type(index) is int and 0 <= index < 65535 else None
    return Peering(
        read_address(raw["peer_listen"]),
        peers,
        read_address(raw["peers_all"]) if raw.get("peers_all") else None,
        number,
        raw["settings"],
    )


def parse(raw: Any, peering: bool = False) -> Config:
    """Validate a decoded file; `peering`: whether to parse that part, too."""
    given = required(raw, "settings", "")
    limits = required(given, "bounds", "settings.")
    seed = str(required(raw, "seed", ""))
    console = read_address(raw["console"]) if raw.get("console") else None
    callers = max_operator_connections(raw.get("limits", {})) if console else 0
    memory = memory_plan(raw.get("limits", {}), callers)
    settings = parse_settings(given)
    if not settings.classes:
        raise MalformedError("settings.services is empty: there is nothing to balance")
    if len({c.name for c in settings.classes}) < len(settings.classes):
        raise MalformedError("settings.services names a class twice")
    return Config(
        name=str(raw.get("name", "balancer")),
        listen=read_address(required(raw, "listen", "")),
        discovery=read_address(required(raw, "discovery", "")),
        seed=int.from_bytes(seed.encode(), "big"),
        connections=memory.connections,
        memory_mb=float(raw.get("limits", {}).get("memory_mb", DEFAULT_MEMORY_MB)),
        memory=memory,
        socket_buffer=max_socket_buffer(raw.get("limits", {}), memory.connections),
        cached_list=raw.get("known"),
        settings=settings,
        keys=_documented_keys(raw),
        zones=tuple(map(str, given.get("failureDomains", ()))),
        kinds=tuple(map(str, given.get("kinds", ()))),
        keepalive=float(required(limits, "keepaliveNs", "bounds.")) / 1e9,
        connect_timeout=float(required(limits, "connectTimeoutNs", "bounds.")) / 1e9,
        console=console,
        operator_connections=callers,
        peering=_parse_peering(raw) if peering else None,
    )

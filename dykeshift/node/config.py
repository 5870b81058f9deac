"""What this balancer is told at its start: the file that NODE_CONFIG names, checked and typed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from dykeshift.interface import Settings
from dykeshift.settings import Malformed, need, parse_settings

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration cannot be used; its text is one plain line for people."""


@dataclass(frozen=True, slots=True)
class Config:
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that this process may hold
    known: Any  # the list as this balancer last had it, in discovery's form; None: never had one
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    keepalive: float  # seconds after which an upstream closes an idle connection
    connect_timeout: float  # seconds


def read_address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address of the form host:port")
    return host, int(port)


def load(path: str) -> Config:
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as exc:
        raise ConfigError(f"cannot read the configuration {path!r}: {exc}") from None
    try:
        return parse(raw)
    except (Malformed, ValueError, TypeError, AttributeError) as exc:
        raise ConfigError(f"bad configuration {path!r}: {exc}") from None


def parse(raw: Any) -> Config:
    given = need(raw, "settings", "")
    limits = need(given, "bounds", "settings.")
    seed = str(need(raw, "seed", ""))
    return Config(
        listen=read_address(need(raw, "listen", "")),
        discovery=read_address(need(raw, "discovery", "")),
        seed=int.from_bytes(seed.encode(), "big"),
        sockets=int(raw.get("limits", {}).get("sockets", 1024)),
        known=raw.get("known"),
        settings=parse_settings(given),
        zones=tuple(map(str, given.get("failureDomains", ()))),
        kinds=tuple(map(str, given.get("kinds", ()))),
        keepalive=float(need(limits, "keepaliveNs", "bounds.")) / 1e9,
        connect_timeout=float(need(limits, "connectTimeoutNs", "bounds.")) / 1e9,
    )

"""The feature `[view]`: gossip membership, this balancer's view of the others (docs/operators/fleet.md)."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import logging
import os
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, Struct

from dykeshift import __version__
from dykeshift.engine.config import ConfigError
from dykeshift.interface import Settings
from dykeshift.node.defaults import PassiveService, carrier, connections, objection
from dykeshift.view.core import Event, View
from dykeshift.view.core import Options as CoreOptions
from dykeshift.view.shell import Port
from dykeshift.view.table import REFUTATION_BITS, generation
from dykeshift.view.wire import MAX_NAME_BYTES, UNNUMBERED, Entry, Seal

if TYPE_CHECKING:
    import asyncio

    from dykeshift.node.features import Host

__all__ = ["Options", "PEERING", "Service", "carrier", "check", "connections", "objection", "start"]

log = logging.getLogger(__name__)

PEERING = True
IDENTITY_FILE = "lifttrail-view.json"  # in $TMPDIR: birth and life under which peers know this balancer
POLL_INTERVAL_S = 0.05  # between two checks whether a newer process has taken over
LOG_LEVELS = {"twin": logging.ERROR, "woken": logging.WARNING, "bounds": logging.DEBUG}
MIN_PERIODS_PER_LEASE = 40  # until a thousand balancers have surely detected a network partition


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """The options of the section `[view]`."""

    fleet: Annotated[str, Meta(min_length=1, max_length=64)] = "lifttrail"
    key: Annotated[str, Meta(max_length=32)] = ""
    period_s: Annotated[float, Meta(ge=0.05, le=10)] = 0.5
    lease_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01
    datagrams_s: Annotated[float, Meta(ge=8, le=10_000)] = 24.0
    bytes_s: Annotated[float, Meta(ge=2048, le=2_560_000)] = 5000.0


def check(options: Options, settings: Settings | None) -> None:
    """Raises ValueError with one line of text for a bad combination of options."""
    if len(options.key.encode()) > 32:
        raise ValueError("key has more than 32 bytes")
    if options.lease_s < MIN_PERIODS_PER_LEASE * options.period_s:
        raise ValueError(
            f"lease_s is under {MIN_PERIODS_PER_LEASE} periods: a partition might not be noticed in time"
        )


def digest(settings: Settings) -> int:
    """A hash of the settings that balancers must share: without the own zone and the order of the classes."""
    shared = dataclasses.replace(
        settings,
        zone=0,
        classes=tuple(
            sorted(
                (c for n, c in enumerate(settings.classes) if n not in settings.retired), key=lambda c: c.name
            )
        ),
        retired=frozenset(),
    )
    return int.from_bytes(hashlib.blake2s(repr(shared).encode(), digest_size=4).digest(), "big")


def _program_version() -> int:
    major, minor = (int(part) for part in __version__.split(".")[:2])
    return major << 8 | minor


class IdentityFile:
    """The identity of this balancer, in a file shared with the process that it replaces or is replaced by."""

    def __init__(self, folder: str | None) -> None:
        self.path = os.path.join(folder, IDENTITY_FILE) if folder else None

    def read(self) -> tuple[int, int]:
        """Birth and life number; zeros if the file is missing or unreadable."""
        try:
            with open(self.path or "", encoding="utf-8") as file:
                found = json.load(file)
            return int(found["birth"]), int(found["life"])
        except (OSError, ValueError, TypeError, KeyError):
            return 0, 0

    def write(self, birth: int, life_number: int) -> None:
        """Replace the file atomically; a failure is logged."""
        if self.path is None:
            return
        draft = f"{self.path}.{os.getpid()}"
        try:
            with open(draft, "w", encoding="utf-8") as file:
                json.dump({"birth": birth, "life": life_number}, file)
            os.rename(draft, self.path)
        except OSError as exc:
            log.warning(
                "view identity file cannot be written, peers will take an upgrade for a restart: %s",
                exc,
                extra={"event": "view.unmarked", "fields": {"reason": str(exc)}},
            )


class Service(PassiveService):
    """This process's member of the gossip group, with its console call."""

    def __init__(self, host: Host, view: View, identity: IdentityFile) -> None:
        self.host, self.view, self.identity = host, view, identity
        self.port = Port(host.loop, host.clock, view, self._on_event)
        self.settings: Settings | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.superseded = False
        self.watchers: list[Callable[[], None]] = []  # called when the view has changed
        self.extra_status: dict[str, Callable[[], Any]] = {}  # parts of `GET /fleet` from other features

    def begin(self) -> None:
        """Register with the console and the other features, and start polling."""
        self.identity.write(self.view.me.birth, generation(self.view.me.incarnation))
        self.host.offers.immediate_calls[b"/fleet"] = self.status
        self.host.services["view"] = self
        self.host.metrics["view"] = self.figures
        self._poll()

    def _poll(self) -> None:
        """Announce changed settings, and stop gossiping once a newer process of this balancer has started."""
        self.timer = self.host.loop.call_later(POLL_INTERVAL_S, self._poll)
        settings = self.host.driver.balancer.settings
        if settings is not self.settings:
            self.settings = settings
            self.port.announce_settings(digest(settings))
        if self.identity.path is not None and self.host.inherited:
            birth, last_life = self.identity.read()
            if birth == self.view.me.birth and last_life > generation(self.view.me.incarnation):
                log.info(
                    "a newer process has taken over this balancer's membership",
                    extra={"event": "view.superseded", "fields": {"life": last_life}},
                )
                self.superseded = True
                self.close()

    def status(self) -> bytes:
        """The answer to `GET /fleet`."""
        summary = self.view.summary(self.host.clock.monotonic_ns())
        extra = {name: read() for name, read in self.extra_status.items()}
        return json.dumps({**summary, "superseded": self.superseded, **extra}, separators=(",", ":")).encode()

    def figures(self) -> dict[str, Any]:
        """The metrics for `[tally]`."""
        view = self.view
        return {
            "settled": view.settled,
            "at_least": view.standing.at_least,
            "at_most": view.standing.at_most,
            "holds_lease": view.standing.holds_lease,
            "periods": view.periods,
            "datagrams": view.budget.sent[0],
            "bytes": view.budget.sent[1],
            "dropped": sum(view.dropped.values()),
        }

    def _on_event(self, event: Event) -> None:
        view = self.view
        fields = {
            "settled": view.settled,
            "at_least": view.standing.at_least,
            "at_most": view.standing.at_most,
            "period": view.periods,
            "digest": view.digest(self.host.clock.monotonic_ns()),
        }
        if event.name:
            fields |= {"member": event.name, "state": event.state.name.lower()}
        log.log(
            LOG_LEVELS.get(event.kind, logging.INFO),
            "view: %s %s",
            event.kind,
            event.name,
            extra={"event": "view." + event.kind, "fields": fields},
        )
        for watcher in self.watchers:
            watcher()

    def close(self) -> None:
        """Stop, and tell the others that this balancer leaves unless a newer process has taken over."""
        if self.timer is not None:
            self.timer.cancel()
        self.port.close(leave=not self.superseded)


async def start(options: Options, host: Host) -> Service:
    """Raises ConfigError if the configuration names no address for peers, or no usable name."""
    peering = host.configuration.peering
    if peering is None:
        raise ConfigError("[view] requires peer_listen and peers in the configuration")
    if not 0 < len(host.configuration.name.encode()) <= MAX_NAME_BYTES:
        raise ConfigError(f"[view] requires a name of 1 to {MAX_NAME_BYTES} bytes in the configuration")
    identity = IdentityFile(os.environ.get("TMPDIR") if host.inherited else None)
    rng = Random(f"view/{host.configuration.seed}/{host.clock.time_ns()}")
    birth, last_life = identity.read()
    birth = birth or rng.getrandbits(32) or 1
    began = max(host.clock.time_ns() // 1_000_000, last_life + 1)
    number, peers = peering.number, peering.peers
    own = peering.listen if peering.listen in peers else None
    if number is None and own is not None:
        number = peers.index(own)
    elif own is None and number is not None and number < len(peers):
        own = peers[number]
    me = Entry(
        host.configuration.name,
        began << REFUTATION_BITS,
        birth,
        number=UNNUMBERED if number is None else number,
        peer_count=len(peers),
        zone=host.configuration.settings.zone & 255,
        settings=digest(host.configuration.settings),
        program_version=_program_version(),
    )
    core_options = CoreOptions(
        int(options.period_s * 1e9),
        int(options.lease_s * 1e9),
        options.drift,
        options.datagrams_s,
        options.bytes_s,
    )
    view = View(
        core_options, Seal(options.fleet, options.key.encode()), me, peers, own, peering.broadcast, rng
    )
    service = Service(host, view, identity)
    try:
        await service.port.open(peering.listen, _shared_socket(peering.listen) if host.inherited else None)
    except OSError as exc:
        where = "%s:%d" % peering.listen
        raise ConfigError(f"cannot listen for peers at {where}: {exc}") from None
    service.begin()
    return service


def _shared_socket(address: tuple[str, int]) -> Any:
    """A UDP socket whose port the next process can bind too; the last to bind it receives the datagrams."""
    import socket

    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock

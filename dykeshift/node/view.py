"""`[view]`: this balancer's view of the others (docs/operators/fleet.md). Nothing decides by it yet."""

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
from dykeshift.node.quiet import Still, carrier, connections, objection
from dykeshift.view.core import Event, View
from dykeshift.view.core import Options as Terms
from dykeshift.view.shell import Port
from dykeshift.view.table import WORD, life
from dykeshift.view.wire import LONGEST_NAME, NOBODY, Entry, Seal

if TYPE_CHECKING:
    import asyncio

    from dykeshift.node.features import Host

__all__ = ["Options", "PEERING", "Service", "carrier", "check", "connections", "objection", "start"]

log = logging.getLogger(__name__)

PEERING = True
MARK = "lifttrail-view.json"  # in $TMPDIR: under which birth and life this balancer is known
LOOK = 0.05  # seconds between two looks at whether a newer process has taken over
LOUD = {"twin": logging.ERROR, "woken": logging.WARNING, "bounds": logging.DEBUG}
LEAST_PERIODS = 40  # in a lease: so many until a cut is surely seen where a thousand balancers are


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """Of the section `[view]`; each has its default."""

    fleet: Annotated[str, Meta(min_length=1, max_length=64)] = "lifttrail"
    key: Annotated[str, Meta(max_length=32)] = ""
    period_s: Annotated[float, Meta(ge=0.05, le=10)] = 0.5
    lease_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01
    datagrams_s: Annotated[float, Meta(ge=8, le=10_000)] = 24.0
    bytes_s: Annotated[float, Meta(ge=2048, le=2_560_000)] = 5000.0


def check(options: Options, settings: Settings | None) -> None:
    if len(options.key.encode()) > 32:
        raise ValueError("key has more than 32 bytes")
    if options.lease_s < LEAST_PERIODS * options.period_s:
        raise ValueError(f"lease_s is under {LEAST_PERIODS} periods: who is cut off might not notice in time")


def digest(settings: Settings) -> int:
    """Of what a balancer acts on; the zone is its own, the order of classes is not a rule."""
    told = dataclasses.replace(
        settings,
        zone=0,
        classes=tuple(
            sorted(
                (c for n, c in enumerate(settings.classes) if n not in settings.retired), key=lambda c: c.name
            )
        ),
        retired=frozenset(),
    )
    return int.from_bytes(hashlib.blake2s(repr(told).encode(), digest_size=4).digest(), "big")


def _program() -> int:
    major, minor = (int(part) for part in __version__.split(".")[:2])
    return major << 8 | minor


class Mark:
    """What another process of this balancer, which shares the folder, is known by."""

    def __init__(self, folder: str | None) -> None:
        self.path = os.path.join(folder, MARK) if folder else None

    def read(self) -> tuple[int, int]:
        """Birth and life; zeros where nothing is known."""
        try:
            with open(self.path or "", encoding="utf-8") as file:
                found = json.load(file)
            return int(found["birth"]), int(found["life"])
        except (OSError, ValueError, TypeError, KeyError):
            return 0, 0

    def write(self, birth: int, known: int) -> None:
        if self.path is None:
            return
        draft = f"{self.path}.{os.getpid()}"
        try:
            with open(draft, "w", encoding="utf-8") as file:
                json.dump({"birth": birth, "life": known}, file)
            os.rename(draft, self.path)
        except OSError as exc:
            log.warning(
                "the view's mark can't be kept, an upgrade will look like a restart: %s",
                exc,
                extra={"event": "view.unmarked", "fields": {"reason": str(exc)}},
            )


class Service(Still):
    """The view in this process."""

    def __init__(self, host: Host, view: View, mark: Mark) -> None:
        self.host, self.view, self.mark = host, view, mark
        self.port = Port(host.loop, host.clock, view, self._tell)
        self.settings: Settings | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.superseded = False
        self.watchers: list[Callable[[], None]] = []  # are called when the view has changed
        self.more: dict[str, Callable[[], Any]] = {}  # what others have to say in the same answer

    def begin(self) -> None:
        self.mark.write(self.view.me.birth, life(self.view.me.incarnation))
        self.host.offers.calls[b"/fleet"] = self.call
        self.host.found["view"] = self
        self.host.figures["view"] = self.figures
        self._look()

    def _look(self) -> None:
        """Other settings are said; a newer process of this balancer speaks for it from its start on."""
        self.timer = self.host.loop.call_later(LOOK, self._look)
        settings = self.host.driver.balancer.settings
        if settings is not self.settings:
            self.settings = settings
            self.port.facts(digest(settings))
        if self.mark.path is not None and self.host.inherited:
            birth, known = self.mark.read()
            if birth == self.view.me.birth and known > life(self.view.me.incarnation):
                log.info(
                    "a newer process speaks for this balancer",
                    extra={"event": "view.superseded", "fields": {"life": known}},
                )
                self.superseded = True
                self.close()

    def call(self) -> bytes:
        told = self.view.summary(self.host.clock.monotonic_ns())
        more = {name: tell() for name, tell in self.more.items()}
        return json.dumps({**told, "superseded": self.superseded, **more}, separators=(",", ":")).encode()

    def figures(self) -> dict[str, Any]:
        view = self.view
        return {
            "settled": view.settled,
            "at_least": view.standing.at_least,
            "at_most": view.standing.at_most,
            "holds_lease": view.standing.holds,
            "periods": view.periods,
            "datagrams": view.budget.sent[0],
            "bytes": view.budget.sent[1],
            "dropped": sum(view.dropped.values()),
        }

    def _tell(self, event: Event) -> None:
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
            LOUD.get(event.kind, logging.INFO),
            "view: %s %s",
            event.kind,
            event.name,
            extra={"event": "view." + event.kind, "fields": fields},
        )
        for watcher in self.watchers:
            watcher()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.port.close(leave=not self.superseded)


async def start(options: Options, host: Host) -> Service:
    """ConfigError where the configuration names no way to the others."""
    peering = host.given.peering
    if peering is None:
        raise ConfigError("[view] wants peer_listen and peers in the configuration")
    if not 0 < len(host.given.name.encode()) <= LONGEST_NAME:
        raise ConfigError(f"[view] wants a name of 1 to {LONGEST_NAME} bytes in the configuration")
    mark = Mark(os.environ.get("TMPDIR") if host.inherited else None)
    rng = Random(f"view/{host.given.seed}/{host.clock.time_ns()}")
    birth, known = mark.read()
    birth = birth or rng.getrandbits(32) or 1
    began = max(host.clock.time_ns() // 1_000_000, known + 1)
    number, peers = peering.number, peering.peers
    own = peering.listen if peering.listen in peers else None
    if number is None and own is not None:
        number = peers.index(own)
    elif own is None and number is not None and number < len(peers):
        own = peers[number]
    me = Entry(
        host.given.name,
        began << WORD,
        birth,
        number=NOBODY if number is None else number,
        tier=len(peers),
        zone=host.given.settings.zone & 255,
        settings=digest(host.given.settings),
        program=_program(),
    )
    terms = Terms(
        int(options.period_s * 1e9),
        int(options.lease_s * 1e9),
        options.drift,
        options.datagrams_s,
        options.bytes_s,
    )
    view = View(terms, Seal(options.fleet, options.key.encode()), me, peers, own, peering.everybody, rng)
    service = Service(host, view, mark)
    try:
        await service.port.open(peering.listen, _shared(peering.listen) if host.inherited else None)
    except OSError as exc:
        where = "%s:%d" % peering.listen
        raise ConfigError(f"cannot listen for peers at {where}: {exc}") from None
    service.begin()
    return service


def _shared(address: tuple[str, int]) -> Any:
    """A port that the next version's process can have, too: the one that opened it last hears."""
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

"""`[versions]`: settings and lists on which the balancers agree (docs/operators/settings.md)."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from dykeshift.agree.proposals import Answer
from dykeshift.agree.state import Event
from dykeshift.engine.config import Config, ConfigError
from dykeshift.engine.discovery import number_of
from dykeshift.interface import Settings
from dykeshift.node.book import Calls
from dykeshift.node.quiet import Still, carrier, connections, objection
from dykeshift.settings import SettingsError
from dykeshift.versions.book import Book
from dykeshift.versions.changes import Change, Propose, pack
from dykeshift.versions.checks import Sight
from dykeshift.versions.core import Versions
from dykeshift.versions.core import Options as Terms
from dykeshift.versions.force import word
from dykeshift.versions.link import Link
from dykeshift.versions.own import Own, share
from dykeshift.versions.terms import live
from dykeshift.versions.wire import encode, is_ours
from dykeshift.view.wire import NOBODY

if TYPE_CHECKING:
    import asyncio

    from dykeshift.node.agree import Service as Agree
    from dykeshift.node.features import Host

__all__ = [
    "Options",
    "PEERING",
    "Service",
    "carrier",
    "check",
    "connections",
    "objection",
    "prepare",
    "start",
]

log = logging.getLogger(__name__)

PEERING = True
WAIT = 2.5  # seconds for a change to be committed, as the agreement's calls have it
START = 3.0  # seconds for which a balancer that hears nobody is kept from clients at its start
ENOUGH = 20  # answers of a class until what they take is known


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """Of the section `[versions]`; each has its default."""

    check_s: Annotated[float, Meta(ge=1, le=3600)] = 20.0
    stage_s: Annotated[float, Meta(ge=0.5, le=86_400)] = 30.0
    stage_least: Annotated[int, Meta(ge=1, le=1_000_000)] = 200
    stage_patience_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0
    report_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0
    list_s: Annotated[float, Meta(ge=0, le=600)] = 15.0
    hup: Literal["refuse", "propose"] = "refuse"


def check(options: Options, settings: Settings | None) -> None:
    if options.stage_patience_s < options.stage_s:
        raise ValueError("stage_patience_s is under stage_s: no stage could ever end well")


def times(options: Options, lease_s: float, drift: float) -> dict[str, float]:
    """The stated times, in seconds. `contradiction_s`: C, from the first balancer that acts on a version to
    the last that acts on the one before; `change_s`: from a proposal that all have checked to the version's
    force."""
    middle = lease_s * (1 + 2 * drift)
    return {"contradiction_s": lease_s, "change_s": round(middle + 2 * options.report_s, 3)}


def prepare(options: Options, host: Host) -> None:
    """The history that starts before this feature is to act on its book."""
    host.found["machine"] = Book()


class Service(Still):
    """The versions in this process: the gate of its engine, and who tells the module what holds."""

    def __init__(self, options: Options, host: Host, agree: Agree, core: Versions) -> None:
        self.options, self.host, self.agree, self.core = options, host, agree, core
        assert host.reload is not None
        self.reload = host.reload
        self.stamp = 0  # of what the module was told last
        self.settings: Settings | None = None
        self.out: set[str] = set()  # servers that are out by the fleet's word
        self.leaving: frozenset[int] = frozenset()
        self.timer: asyncio.TimerHandle | None = None
        self.proposing = False
        self.began, self.heard = host.clock.monotonic_ns(), False  # what is in force, in this life
        self.differs = ""  # why this balancer's file was not taken
        self.calls = Calls(self)

    def begin(self) -> None:
        host = self.host
        host.driver.pool.gate = self
        host.driver.waits = self.waits
        self.reload.judge = self.judge
        self.agree.listeners.append(self._heard)
        self.agree.view.port.claims.insert(0, (is_ours, self._take))
        self.agree.view.more["rules"] = self.calls.rules
        self.calls.register(host.offers)
        host.figures["versions"] = self.calls.figures
        host.found["versions"] = self
        self._tick()

    def now(self) -> int:
        return self.host.clock.monotonic_ns()

    def waits(self) -> bool:
        """Back from nothing it knows of no bans: `/ready` says no until it has heard, or is alone for so
        long."""
        waiting = not self.heard and self.now() - self.began < START * 1e9
        return waiting and self.core.acts.doubtful

    # ---- the gate ----

    def look(self) -> int:
        stamp = self.core.look()
        if stamp != self.stamp:
            self.stamp = stamp
            self._act()
        return self.core.force.stamp

    def _act(self) -> None:
        """Tell the module what holds from now on."""
        acts, driver = self.core.acts, self.host.driver
        self.heard = self.heard or not acts.doubtful
        if acts.settings != self.settings:
            self.settings = acts.settings
            self.reload.take(acts.settings, self.core.force.forms(), narrow=True)
        else:
            taken = driver.balancer.settings
            self.reload.reader.know(taken.classes, taken.retired, self.core.force.forms())
        self._act_on_bans(acts.out)
        self._tell_word()
        level, why = (logging.WARNING if acts.doubtful else logging.INFO), f": {acts.why}" * bool(acts.why)
        fields = {
            "version": acts.version,
            "mode": acts.mode,
            "why": acts.why,
            "book": self.core.book.pages.version,
        }
        log.log(
            level,
            "acts on version %d, %s%s",
            acts.version,
            acts.mode,
            why,
            extra={"event": "versions.acts", "fields": fields},
        )

    def _act_on_bans(self, wanted: frozenset[str]) -> None:
        driver = self.host.driver
        for name in sorted(wanted - self.out):
            self.out.add(name)
            driver.note_listed(number_of(name))  # some other balancer's list had it
            driver.ban(number_of(name))
        for name in sorted(self.out - wanted):
            self.out.discard(name)
            desks = self.host.offers.desks
            if not desks or not desks[0].exit(name):
                driver.end_ban(number_of(name))

    def _tell_word(self) -> None:
        acts = self.core.acts
        names = acts.wary | acts.preferred
        self.host.driver.take_word(word(acts, {n: number_of(n) for n in names}, self.leaving))

    # ---- the history ----

    def _heard(self, event: Event) -> None:
        if event.kind in ("committed", "installed", "fenced", "founded", "lost"):
            if event.kind != "committed":
                self.core.force.reread()
            self.look()

    def _take(self, data: bytes, address: Any) -> None:
        self.core.on_datagram(self.now(), data, self.agree.view.view.seal)

    def _tick(self) -> None:
        self.timer = self.host.loop.call_later(min(0.2, self.options.report_s), self._tick)
        self.tick()

    def tick(self) -> None:
        """Look round, say what is to be said, propose what is to be proposed."""
        now = self.now()
        self._see()
        self.look()
        messages, change = self.core.on_tick(now)
        places, seal = self.agree.core.shared.places, self.agree.view.view.seal
        self.agree.view.port.send(
            [(encode(message, seal), places[number]) for message, number in messages if number in places]
        )
        for note in self.core.notes:
            log.warning("%s", note, extra={"event": "versions.lists", "fields": {"text": note}})
        self.core.notes.clear()
        if change is not None and not self.proposing:
            self._propose(change)

    def _propose(self, change: Change) -> None:
        self.proposing = True

        def over(answer: Answer) -> None:
            self.proposing = False

        self.agree.runner.propose(pack(change), self.core.book.pages.version, int(WAIT * 1e9), None, over)

    # ---- what this balancer sees ----

    def _see(self) -> None:
        driver, discovery = self.host.driver, self.reload.discovery
        tiers = driver.ledger.tiers.values()
        self.core.answers = (
            sum(t.success + t.busy + t.failure for t in tiers),
            sum(t.busy + t.failure for t in tiers),
        )
        upstreams = driver.pool.upstreams
        running = frozenset(n for n, u in upstreams.items() if u.listed_ready)
        if self.options.list_s:
            now = self.now()
            self.core.lists.on_own(now, discovery.generation, running, frozenset(upstreams))
            leaving = self.core.lists.out(now)
            if leaving != self.leaving:
                self.leaving = leaving
                self.core.force.stamp += 1  # what was decided before does not go out

    def sight(self) -> Sight:
        driver, balancer = self.host.driver, self.host.driver.balancer
        tiers, classes = driver.ledger.tiers, live(balancer.settings)
        usual = {
            c.name: balancer.records[n].usual
            for n, c in enumerate(balancer.settings.classes)
            if c.name in classes and tiers[c.name].success >= ENOUGH
        }
        return Sight(
            frozenset(n for n, u in driver.pool.upstreams.items() if u.listed_ready),
            {name: tier.inflight for name, tier in tiers.items()},
            usual,
            max((len(i.attempts) for i in balancer.open.values()), default=0),
            self.agree.view.view.standing.at_least,
        )

    # ---- a file that is read anew ----

    def judge(self, new: Config) -> bool:
        """SIGHUP: what is each balancer's own holds; what all share is said, refused or proposed."""
        raw = new.peering.settings if new.peering is not None else None
        try:
            same = raw is not None and self.core.reconfigure(raw)
        except SettingsError as exc:
            same, self.differs = False, str(exc)
        self.look()
        if same:
            self.differs = ""
            return True
        held = self.core.book.pages.rules.version
        if self.options.hup == "propose" and raw is not None:
            self.differs = f"the file differs from version {held}: proposed"
            self._propose(Propose(msgspec.Raw(share(raw).encode()), by=f"file of {self.host.given.name}"))
        else:
            self.differs = f"the file differs from version {held}, which stays in force"
        log.error("%s", self.differs, extra={"event": "versions.file", "fields": {"version": held}})
        return False

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


async def start(options: Options, host: Host) -> Service:
    """ConfigError where there is no history to build on."""
    agree: Agree | None = host.found.get("agree")
    if agree is None or host.given.peering is None or host.reload is None:
        raise ConfigError("[versions] wants [agree]")
    view, shared = agree.view.view, agree.core.shared
    if view.me.number == NOBODY:
        raise ConfigError("[versions] wants this balancer's number among its peers")
    try:
        own = Own(host.given.peering.settings)
    except SettingsError as exc:
        raise ConfigError(f"[versions] {exc}") from None
    second = 1_000_000_000
    terms = Terms(
        shared.options.lease,
        shared.options.drift,
        int(options.check_s * second),
        int(options.stage_s * second),
        options.stage_least,
        int(options.stage_patience_s * second),
        int(options.report_s * second),
        int(5 * options.report_s * second),
        int(options.list_s * second),
    )
    link = Link(agree.core, host.clock.monotonic_ns)
    service: list[Service] = []
    core = Versions(
        terms,
        own,
        host.found["machine"],
        view.me.number,
        view.me.birth,
        link,
        host.clock.monotonic_ns,
        lambda: service[0].sight(),
        Random(f"versions/{host.given.seed}"),
    )
    service.append(Service(options, host, agree, core))
    service[0].begin()
    return service[0]

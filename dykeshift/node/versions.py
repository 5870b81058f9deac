"""The feature `[versions]`: settings and lists agreed on by the fleet (docs/operators/settings.md)."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from dykeshift.agree.proposals import Answer
from dykeshift.agree.state import Event
from dykeshift.engine.config import Config, ConfigError
from dykeshift.engine.discovery import instance_number
from dykeshift.interface import Settings
from dykeshift.node.fleet_calls import FleetCalls
from dykeshift.node.defaults import PassiveService, carrier, connections, objection
from dykeshift.settings import SettingsError
from dykeshift.versions.book import VersionStore
from dykeshift.versions.changes import Change, Propose, pack
from dykeshift.versions.checks import LocalObservations
from dykeshift.versions.core import Versions
from dykeshift.versions.core import Options as CoreOptions
from dykeshift.versions.force import fleet_agreement
from dykeshift.versions.link import AgreeLog
from dykeshift.versions.own import LocalSettings, shared_part
from dykeshift.versions.terms import active_classes
from dykeshift.versions.wire import encode, is_versions_datagram
from dykeshift.view.wire import UNNUMBERED

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
COMMIT_TIMEOUT_S = 2.5  # as for the calls of `[agree]`
STARTUP_WAIT_S = 3.0  # a balancer that reaches no other at its start reports not ready for this long
MIN_ANSWERS = 20  # of a class, before its usual duration is reported


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """The options of the section `[versions]`."""

    check_s: Annotated[float, Meta(ge=1, le=3600)] = 20.0
    stage_s: Annotated[float, Meta(ge=0.5, le=86_400)] = 30.0
    stage_least: Annotated[int, Meta(ge=1, le=1_000_000)] = 200
    stage_patience_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0
    report_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0
    list_s: Annotated[float, Meta(ge=0, le=600)] = 15.0
    hup: Literal["refuse", "propose"] = "refuse"


def check(options: Options, settings: Settings | None) -> None:
    """Raises ValueError with one line of text for a bad combination of options."""
    if options.stage_patience_s < options.stage_s:
        raise ValueError("stage_patience_s is under stage_s: no stage could ever succeed")


def timing_bounds(options: Options, lease_s: float, drift: float) -> dict[str, float]:
    """The documented bounds, in seconds.

    `contradiction_s`: the longest time in which balancers act on two different versions, from the first that
    acts on the new one to the last that acts on the one before. `change_s`: from a proposal that all have
    checked until its version takes effect.
    """
    joint_phase = lease_s * (1 + 2 * drift)
    return {"contradiction_s": lease_s, "change_s": round(joint_phase + 2 * options.report_s, 3)}


def prepare(options: Options, host: Host) -> None:
    """Register the state machine of `[versions]` for the log of `[agree]`, which starts first."""
    host.services["machine"] = VersionStore()


class Service(PassiveService):
    """Applies the agreed settings, bans and lists to this process, and checks each send against them."""

    def __init__(self, options: Options, host: Host, agree: Agree, core: Versions) -> None:
        self.options, self.host, self.agree, self.core = options, host, agree, core
        assert host.reload is not None
        self.reload = host.reload
        self.applied_stamp = 0  # of the state applied last
        self.settings: Settings | None = None
        self.fleet_bans: set[str] = set()  # servers banned here because the fleet agreed on it
        self.leaving: frozenset[int] = frozenset()
        self.timer: asyncio.TimerHandle | None = None
        self.proposing = False
        # informed: has known, since its start, which version is in force
        self.started_at, self.informed = host.clock.monotonic_ns(), False
        self.file_difference = ""  # why the settings of this balancer's file are not in use
        self.calls = FleetCalls(self)

    def begin(self) -> None:
        """Register with the engine, the features and the console, and start the timer."""
        host = self.host
        host.driver.pool.gate = self
        host.driver.must_hold_clients = self.waits
        self.reload.accept = self.accept_file
        self.agree.listeners.append(self._on_history_event)
        self.agree.view.port.claims.insert(0, (is_versions_datagram, self._on_datagram))
        self.agree.view.extra_status["rules"] = self.calls.in_force
        self.calls.register(host.offers)
        host.metrics["versions"] = self.calls.figures
        host.services["versions"] = self
        self._tick()

    def now(self) -> int:
        """Monotonic time in nanoseconds."""
        return self.host.clock.monotonic_ns()

    def waits(self) -> bool:
        """Whether `/ready` still has to say no.

        After a start without saved state the fleet's bans are unknown: it waits until they have been heard,
        or until no other balancer has been reached for STARTUP_WAIT_S.
        """
        waiting = not self.informed and self.now() - self.started_at < STARTUP_WAIT_S * 1e9
        return waiting and self.core.effective.degraded

    # ---- the check before each send ----

    def rules_stamp(self) -> int:
        """Apply a changed state; returns the stamp that decisions are made and checked under."""
        stamp = self.core.rules_stamp()
        if stamp != self.applied_stamp:
            self.applied_stamp = stamp
            self._apply()
        return self.core.effective_settings.stamp

    def _apply(self) -> None:
        """Apply the state that is in force from now on."""
        acts, driver = self.core.effective, self.host.driver
        self.informed = self.informed or not acts.degraded
        if acts.settings != self.settings:
            self.settings = acts.settings
            self.reload.apply(acts.settings, self.core.effective_settings.accepted_idempotency(), narrow=True)
        else:
            current = driver.balancer.settings
            self.reload.reader.set_classes(
                current.classes, current.retired, self.core.effective_settings.accepted_idempotency()
            )
        self._apply_bans(acts.banned)
        self._apply_word()
        level, why = (
            (logging.WARNING if acts.degraded else logging.INFO),
            f": {acts.degraded_reason}" * bool(acts.degraded_reason),
        )
        fields = {
            "version": acts.version,
            "mode": acts.mode,
            "why": acts.degraded_reason,
            "book": self.core.store.state.version,
        }
        log.log(
            level,
            "acts on version %d, %s%s",
            acts.version,
            acts.mode,
            why,
            extra={"event": "versions.acts", "fields": fields},
        )

    def _apply_bans(self, wanted: frozenset[str]) -> None:
        driver = self.host.driver
        for name in sorted(wanted - self.fleet_bans):
            self.fleet_bans.add(name)
            driver.note_listed(instance_number(name))  # it was on another balancer's list
            driver.ban(instance_number(name))
        for name in sorted(self.fleet_bans - wanted):
            self.fleet_bans.discard(name)
            backends = self.host.offers.backends
            if not backends or not backends[0].exit(name):
                driver.end_ban(instance_number(name))

    def _apply_word(self) -> None:
        acts = self.core.effective
        names = acts.wary | acts.preferred
        self.host.driver.take_word(
            fleet_agreement(acts, {n: instance_number(n) for n in names}, self.leaving)
        )

    # ---- the replicated log ----

    def _on_history_event(self, event: Event) -> None:
        if event.kind in ("committed", "installed", "fenced", "founded", "lost"):
            if event.kind != "committed":
                self.core.effective_settings.invalidate()
            self.rules_stamp()

    def _on_datagram(self, data: bytes, address: Any) -> None:
        self.core.on_datagram(self.now(), data, self.agree.view.view.seal)

    def _tick(self) -> None:
        self.timer = self.host.loop.call_later(min(0.2, self.options.report_s), self._tick)
        self.tick()

    def tick(self) -> None:
        """Update observations, apply the state in force, send messages and propose the change that is due."""
        now = self.now()
        self._update_observations()
        self.rules_stamp()
        messages, change = self.core.on_tick(now)
        addresses, seal = self.agree.core.shared.places, self.agree.view.view.seal
        self.agree.view.port.send(
            [
                (encode(message, seal), addresses[number])
                for message, number in messages
                if number in addresses
            ]
        )
        for note in self.core.warnings:
            log.warning("%s", note, extra={"event": "versions.lists", "fields": {"text": note}})
        self.core.warnings.clear()
        if change is not None and not self.proposing:
            self._propose(change)

    def _propose(self, change: Change) -> None:
        self.proposing = True

        def on_answer(answer: Answer) -> None:
            self.proposing = False

        self.agree.runner.propose(
            pack(change), self.core.store.state.version, int(COMMIT_TIMEOUT_S * 1e9), None, on_answer
        )

    # ---- what this balancer observes ----

    def _update_observations(self) -> None:
        driver, discovery = self.host.driver, self.reload.discovery
        tiers = driver.ledger.class_counts.values()
        self.core.answers = (
            sum(t.success + t.busy + t.failure for t in tiers),
            sum(t.busy + t.failure for t in tiers),
        )
        upstreams = driver.pool.upstreams
        running = frozenset(n for n, u in upstreams.items() if u.listed_ready)
        if self.options.list_s:
            now = self.now()
            self.core.lists.on_own_list(now, discovery.generation, running, frozenset(upstreams))
            leaving = self.core.lists.avoided(now)
            if leaving != self.leaving:
                self.leaving = leaving
                self.core.effective_settings.stamp += 1  # sends that were decided before are no longer made

    def observe(self) -> LocalObservations:
        """What this balancer observes and reports: servers, load, usual durations, membership."""
        driver, balancer = self.host.driver, self.host.driver.balancer
        tiers, classes = driver.ledger.class_counts, active_classes(balancer.settings)
        usual = {
            c.name: balancer.records[n].mean_latency
            for n, c in enumerate(balancer.settings.classes)
            if c.name in classes and tiers[c.name].success >= MIN_ANSWERS
        }
        return LocalObservations(
            frozenset(n for n, u in driver.pool.upstreams.items() if u.listed_ready),
            {name: tier.inflight for name, tier in tiers.items()},
            usual,
            max((len(i.attempts) for i in balancer.open.values()), default=0),
            self.agree.view.view.standing.at_least,
        )

    # ---- reload of the configuration file ----

    def accept_file(self, new: Config) -> bool:
        """Whether the settings of a reloaded file may be used.

        The part that is each balancer's own is taken. Where the shared part differs from the version in
        force, it is logged and, by the option `hup`, refused or proposed to the fleet.
        """
        raw = new.peering.settings if new.peering is not None else None
        try:
            same = raw is not None and self.core.reconfigure(raw)
        except SettingsError as exc:
            same, self.file_difference = False, str(exc)
        self.rules_stamp()
        if same:
            self.file_difference = ""
            return True
        version = self.core.store.state.rules.version
        if self.options.hup == "propose" and raw is not None:
            self.file_difference = f"the file differs from version {version}: proposed"
            self._propose(
                Propose(msgspec.Raw(shared_part(raw).encode()), by=f"file of {self.host.configuration.name}")
            )
        else:
            self.file_difference = f"the file differs from version {version}, which stays in force"
        log.error(
            "%s", self.file_difference, extra={"event": "versions.file", "fields": {"version": version}}
        )
        return False

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()


async def start(options: Options, host: Host) -> Service:
    """Raises ConfigError without `[agree]`, or if this balancer is not one of the numbered peers."""
    agree: Agree | None = host.services.get("agree")
    if agree is None or host.configuration.peering is None or host.reload is None:
        raise ConfigError("[versions] requires [agree]")
    view, shared = agree.view.view, agree.core.shared
    if view.me.number == UNNUMBERED:
        raise ConfigError("[versions] requires this balancer to be one of its configured peers")
    try:
        own = LocalSettings(host.configuration.peering.settings)
    except SettingsError as exc:
        raise ConfigError(f"[versions] {exc}") from None
    second = 1_000_000_000
    core_options = CoreOptions(
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
    link = AgreeLog(agree.core, host.clock.monotonic_ns)
    service: list[Service] = []
    core = Versions(
        core_options,
        own,
        host.services["machine"],
        view.me.number,
        view.me.birth,
        link,
        host.clock.monotonic_ns,
        lambda: service[0].observe(),
        Random(f"versions/{host.configuration.seed}"),
    )
    service.append(Service(options, host, agree, core))
    service[0].begin()
    return service[0]

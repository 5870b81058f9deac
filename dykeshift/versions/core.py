"""Configuration versions at one balancer, without I/O.

Takes time, datagrams and the committed state; gives datagrams, changes to propose and the settings to apply.
It reaches the replicated log through the interface `ReplicatedLog` and opens no socket.

The parts: `book` (replicated state), `force` (the settings to apply at this instant), `guide` (the changes
that the leader proposes), `lists` (server lists of other balancers), `checks` (whether this balancer could
apply a proposal).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from dykeshift.settings import SettingsError
from dykeshift.versions.book import VersionStore, Pending, Rules, proposal_digest
from dykeshift.versions.changes import Ban, Change, Lists, Propose, Unban
from dykeshift.versions.checks import LocalObservations, objection
from dykeshift.versions.force import EffectiveSettings, SettingsTracker
from dykeshift.versions.guide import LogStatus, RolloutLeader, Options
from dykeshift.versions.lists import PeerLists
from dykeshift.versions.own import LocalSettings
from dykeshift.versions.terms import contradicts
from dykeshift.versions.wire import MAX_SERVERS, Leaving, Message, Report, Verdict, decode
from dykeshift.view.wire import DatagramError, Seal

FANOUT = 2  # balancers that each announcement of leaving servers is sent to


class ReplicatedLog(Protocol):
    """What this module needs of the replicated log."""

    def lease_left(self) -> int:
        """Returns the nanoseconds for which the committed state known here is valid; 0 without a lease."""

    def uncommitted(self) -> tuple[bytes, ...]:
        """Returns the changes known here that are not known to be committed."""

    def no_lease_reason(self) -> str:
        """Returns why there is no lease, if there is none."""

    def leader(self) -> int | None:
        """Returns the number of the leader; None if it is not known."""
        ...

    def status(self) -> LogStatus:
        """Returns whether this process leads, and which balancers are alive."""
        ...

    def log_id(self) -> int:
        """Returns the identity of the log; 0 as long as none is known."""


@dataclass
class Versions:
    """The state machine of the configuration versions at one balancer.

    `birth`: the incarnation of this process. `sight`: what it observes of its own requests and servers."""

    options: Options
    local_settings: LocalSettings
    store: VersionStore
    number: int
    birth: int
    history: ReplicatedLog
    clock: Callable[[], int]
    observe: Callable[[], LocalObservations]
    rng: Random
    counter: int = 0
    answers: tuple[int, int] = (0, 0)  # to clients, and how many of them were bad
    report_at: int = 0
    last_reported: tuple[int, int, str] = (0, 0, "")  # the version, proposal and mode of the last report
    # Bans requested here that are not committed yet, by server, with the state's version at the request.
    uncommitted_bans: dict[str, tuple[Ban, int]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)  # bans withdrawn before they were committed
    dropped: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Creates the parts."""
        self.effective_settings = SettingsTracker(self.local_settings, self.store, self.number)
        self.rollout = RolloutLeader(self.options, self.store, self._contradicts)
        self.lists = PeerLists(self.options.list_hold_time)
        self.verdicts: dict[Rules, str] = {}  # by proposal: the objection of this balancer
        self.warnings: list[str] = []  # warnings for the log, each reported once

    # ---- settings to apply ----

    def rules_stamp(self) -> int:
        """Updates the settings to apply and returns their stamp.

        A request is sent only if the stamp is still the one under which its server was chosen."""
        lease_left = self.history.lease_left()
        if lease_left > 0:
            return self.effective_settings.update(self.clock(), lease_left)
        return self.effective_settings.update(
            self.clock(), 0, self.history.uncommitted(), self.history.no_lease_reason()
        )

    @property
    def effective(self) -> EffectiveSettings:
        """The settings to apply, as of the last `look`."""
        return self.effective_settings.effective

    # ---- time and datagrams ----

    def on_tick(self, now: int) -> tuple[list[tuple[Message, int]], Change | None]:
        """Returns messages with their receivers' numbers, and a change to propose on the current version."""
        self.rules_stamp()
        return [*self._report(now), *self._announce_leaving(now)], self._next_change(now)

    def on_datagram(self, now: int, data: bytes, seal: Seal) -> None:
        """Handles a datagram of another balancer; invalid ones are dropped and counted by reason."""
        try:
            message = decode(data, seal)
        except DatagramError as exc:
            self._count_dropped(str(exc))
            return
        if message.number == self.number:
            self._count_dropped("own")
        elif message.history != self.history.log_id():
            self._count_dropped("stranger")
        elif isinstance(message, Report):
            self.rollout.on_report(now, message)
        else:
            self._on_leaving(now, message)

    def _on_leaving(self, now: int, message: Leaving) -> None:
        ignored = self.lists.on_announcement(now, message.generation, message.servers)
        if ignored:
            self.warnings.append(f"server list of balancer {message.number} ignored: {ignored}")

    def _count_dropped(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # ---- reports ----

    def _report(self, now: int) -> list[tuple[Message, int]]:
        pages, pending = self.store.state, self.store.state.pending
        proposal = proposal_digest(pending.rules) if pending is not None else 0
        state = (pages.version, proposal, self.effective.mode)
        interval = self.options.report_interval if pending is not None else self.options.idle_report_interval
        if now < self.report_at and state == self.last_reported:
            return []
        self.last_reported, self.report_at, self.counter = state, now + interval, self.counter + 1
        verdict, reason = self._verdict(pending)
        report = Report(
            self.history.log_id(),
            self.birth,
            self.number,
            self.counter,
            pages.version,
            proposal,
            verdict,
            self.effective.mode,
            *self.answers,
            reason,
        )
        leader = self.history.leader()
        if leader == self.number:
            self.rollout.on_report(now, report)
            return []
        return [(report, leader)] if leader is not None else []

    def _verdict(self, pending: Pending | None) -> tuple[Verdict, str]:
        """Checks each proposal once and keeps the result."""
        if pending is None:
            self.verdicts.clear()
            return Verdict.NONE, ""
        rules = pending.rules
        if rules not in self.verdicts:
            current = (
                self.local_settings.read(self.store.state.rules.settings)
                if self._readable()
                else self.local_settings.settings
            )
            self.verdicts = {
                rules: objection(
                    rules.settings,
                    self.local_settings,
                    current,
                    frozenset(self.store.state.closed),
                    self.observe(),
                )
            }
        reason = self.verdicts[rules]
        return (Verdict.NO if reason else Verdict.YES), reason

    def _readable(self) -> bool:
        try:
            self.local_settings.read(self.store.state.rules.settings)
        except SettingsError:
            return False
        return True

    def _contradicts(self, pending: Pending) -> bool:
        """Returns whether the proposal needs a joint phase.

        It does while no version is in force: each balancer then uses its own file, which the others don't
        know."""
        current = self.store.state.rules.settings
        if not current:
            return True
        try:
            return contradicts(
                self.local_settings.read(current), self.local_settings.read(pending.rules.settings)
            )
        except SettingsError:
            return True

    # ---- lists ----

    def _announce_leaving(self, now: int) -> list[tuple[Message, int]]:
        announcement = self.lists.announcement(now, MAX_SERVERS)
        if announcement is None:
            return []
        others = sorted(self.history.status().alive - {self.number})
        chosen = self.rng.sample(others, min(FANOUT, len(others)))
        message = Leaving(self.history.log_id(), self.birth, self.number, *announcement)
        return [(message, number) for number in chosen]

    # ---- changes ----

    def _next_change(self, now: int) -> Change | None:
        for name in [n for n in self.withdrawn if n in self.store.state.out]:
            if self.store.state.out[name].by == str(self.number):
                return Unban(name, str(self.number))
            self.withdrawn.discard(name)  # set by another balancer, which may lift it
        for name, (ban, since) in list(self.uncommitted_bans.items()):
            committed = self.store.ban_versions.get(name, 0) > since  # and may have been lifted since
            if not committed and not self.store.objection(ban):
                return ban
            del self.uncommitted_bans[name]
        return self.rollout.next(now, self.history.status())

    def ban(self, name: str) -> None:
        """Requests a ban by hand; until it is committed it applies at this balancer only."""
        self.uncommitted_bans[name] = Ban(name, str(self.number)), self.store.state.version
        self.withdrawn.discard(name)

    def unban(self, name: str) -> None:
        """Withdraws a ban requested here that is not committed; if it is committed later, it is lifted.

        A committed ban ends by a committed change."""
        if self.uncommitted_bans.pop(name, None) is not None:
            self.withdrawn.add(name)

    def reconfigure(self, raw: dict[str, Any]) -> bool:
        """Applies the local settings of a new file at once; returns whether its shared part is in force."""
        own = LocalSettings(raw)  # raises SettingsError before anything is changed
        self.local_settings.local, self.local_settings.shared, self.local_settings.settings = (
            own.local,
            own.shared,
            own.settings,
        )
        self.local_settings.clear_cache()
        self.effective_settings.invalidate()
        current = self.store.state.rules.settings
        return not current or current == own.shared


__all__ = [
    "Ban",
    "LogStatus",
    "ReplicatedLog",
    "Lists",
    "Options",
    "Propose",
    "Unban",
    "Versions",
    "proposal_digest",
]

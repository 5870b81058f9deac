"""The settings that a balancer may apply at this instant: those in force or, without a lease, narrower ones.

`look` is called before every decision and again just before bytes are written. Its stamp changes with
anything that decisions depend on, so nothing is sent that was decided under other settings. The input is the
committed state known here and the remaining time of the lease on it, by the monotonic clock of this process.

Invariants:
 1. With a lease the balancer applies what the committed state says for its number: the version in force, the
    pending version if its stage is reached, or the joint settings (the narrower of both, field by field).
 2. Without a lease, from the first call of `look` after its end, the balancer is degraded (mode "doubtful").
    It applies the narrowest of the version in force, the pending version and all uncommitted proposals that
    it knows of. It sends no copies, does not repeat requests that may have run, and sends nothing to servers
    that may be banned (banned in the state, a ban uncommitted, or in the list `wary`). With `doubt =
    "refuse"` it sends nothing.
 3. A degraded balancer is never more permissive than it was with the lease.
Why this bounds how long two balancers apply contradicting settings: docs/design/versions.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dykeshift.interface import FleetAgreement, Idempotency, Settings
from dykeshift.settings import SettingsError
from dykeshift.versions.book import VersionStore, Pending, Phase
from dykeshift.versions.changes import Ban, Propose, unpack
from dykeshift.versions.own import LocalSettings
from dykeshift.versions.terms import active_classes, meet

ALL_IDEMPOTENCIES = frozenset(Idempotency)


@dataclass(frozen=True, slots=True)
class EffectiveSettings:
    """The settings that are applied.

    `version`: the version in force that they are based on. `mode`: how they were derived from it."""

    mode: str  # "in force", "middle" (joint settings of two versions) or "doubtful" (degraded)
    version: int
    settings: Settings
    banned: frozenset[str] = frozenset()  # names of banned servers
    wary: frozenset[str] = frozenset()  # further servers that a degraded balancer avoids
    preferred: frozenset[str] = frozenset()
    closed: frozenset[str] = frozenset()  # classes that are rejected
    degraded_reason: str = ""  # reason of the degraded mode

    @property
    def degraded(self) -> bool:
        """Whether the balancer is degraded: it has no lease or can't apply the version in force."""
        return self.mode == "doubtful"


class SettingsTracker:
    """Computes the settings to apply; `acts` holds those of the last `look`, `stamp` changes with them."""

    def __init__(self, own: LocalSettings, book: VersionStore, number: int) -> None:
        """Starts in degraded mode. `number`: of this balancer, by which stages name it."""
        self.local_settings, self.store, self.number = own, book, number
        self.stamp = 1
        self.since = 0  # when `acts` last changed
        self.effective = EffectiveSettings(
            "doubtful", 0, own.settings, degraded_reason="the process has just started"
        )
        self.inputs: tuple[object, ...] = ()
        self.leased = False

    def update(
        self, now: int, lease_left: int, uncommitted: tuple[bytes, ...] = (), why: str = "no lease"
    ) -> int:
        """Updates `acts` and returns its stamp.

        `uncommitted`: changes known here that are not known to be committed. `why`: why there is no lease."""
        leased = lease_left > 0
        inputs = (
            (leased, self.store.change_count)
            if leased
            else (leased, self.store.change_count, uncommitted, why)
        )
        if inputs != self.inputs:
            self.inputs, self.leased = inputs, leased
            acts = self._in_force() if leased else self._degraded(uncommitted, why)
            if acts != self.effective:
                self.effective, self.since = acts, now
                self.stamp += 1
        return self.stamp

    def invalidate(self) -> None:
        """Recomputes `acts` at the next `look`, as the local settings have changed."""
        self.inputs = ()

    # ---- with a lease ----

    def _in_force(self) -> EffectiveSettings:
        pages, pending = self.store.state, self.store.state.pending
        try:
            current = self.local_settings.read(pages.rules.settings)
            if pending is None or pending.phase is Phase.CHECK:
                return self._committed("in force", pages.rules.version, current)
            proposed = self.local_settings.read(pending.rules.settings)
        except SettingsError as exc:  # for instance after a downgrade of the program
            return self._degraded((), f"cannot apply the version in force: {exc}")
        if self._staged(pending):
            return self._committed("in force", pending.rules.version, proposed)
        return self._committed("middle", pages.rules.version, meet(current, proposed))

    def _staged(self, pending: Pending) -> bool:
        return pending.phase is Phase.STAGE and any(
            self.number in group for group in pending.stages[: pending.stage + 1]
        )

    def _committed(self, mode: str, version: int, settings: Settings) -> EffectiveSettings:
        pages = self.store.state
        return EffectiveSettings(
            mode,
            version,
            settings,
            frozenset(pages.out),
            frozenset(),
            frozenset(pages.preferred),
            frozenset(pages.closed),
        )

    # ---- without a lease ----

    def _degraded(self, uncommitted: Iterable[bytes], why: str) -> EffectiveSettings:
        pages, pending = self.store.state, self.store.state.pending
        texts = [pages.rules.settings] + ([pending.rules.settings] if pending is not None else [])
        out = set(pages.out)
        for body in uncommitted:
            change = unpack(body)
            if isinstance(change, Propose):
                texts.append(bytes(change.settings).decode())
            elif isinstance(change, Ban):
                out.add(change.name)
        settings: Settings | None = None
        for text in texts:
            try:
                parsed = self.local_settings.read(text)
            except SettingsError:
                continue  # can't be applied; the degraded mode forbids whatever any settings may forbid
            settings = parsed if settings is None else meet(settings, parsed)
        settings = settings or self.local_settings.settings
        closed = set(pages.closed) | (set(active_classes(settings)) if pages.doubt == "refuse" else set())
        return EffectiveSettings(
            "doubtful",
            pages.rules.version,
            settings,
            frozenset(out),
            frozenset(pages.wary) - out,
            frozenset(pages.preferred),
            frozenset(closed),
            why,
        )

    # ---- for the decision module ----

    def accepted_idempotency(self) -> dict[str, frozenset[Idempotency]]:
        """Returns the kinds of idempotency that clients may use now, of classes with more than one.

        While a proposal is applied these are the kinds of both versions, in degraded mode all kinds."""
        if self.effective.degraded:
            return dict.fromkeys(active_classes(self.effective.settings), ALL_IDEMPOTENCIES)
        pending = self.store.state.pending
        if pending is None or pending.phase is Phase.CHECK:
            return {}
        try:
            current, proposed = (
                self.local_settings.read(self.store.state.rules.settings),
                self.local_settings.read(pending.rules.settings),
            )
        except SettingsError:
            return {}
        first, second = active_classes(current), active_classes(proposed)
        return {
            name: frozenset({c.idempotency, second[name].idempotency})
            for name, c in first.items()
            if name in second and c.idempotency is not second[name].idempotency
        }


def fleet_agreement(
    acts: EffectiveSettings, numbers: dict[str, int], leaving: frozenset[int] = frozenset()
) -> FleetAgreement:
    """Returns what the decision module gets besides the settings.

    `numbers`: of servers, by name. `leaving`: servers that are leaving by other balancers' lists. Banned
    servers are not included: the module gets them as bans."""
    return FleetAgreement(
        leaving | frozenset(numbers[n] for n in acts.wary if n in numbers),
        frozenset(numbers[n] for n in acts.preferred if n in numbers),
        acts.closed,
        acts.degraded,
    )

"""Other ways to change the settings of a fleet, on the same days: how long two then act on contradicting
rules.

`Hup`: an operator writes each balancer's file and sends SIGHUP, one after the other; who does not run, stands
still or is out of the operator's reach is passed over. `Gossip`: every change has a stamp, each member tells
two others what it has, the last writer wins. `Unleased`, `Straight`: the versions without leases, without
middle.
"""

from __future__ import annotations

from typing import Any

from dykeshift.rig.ruled import TICK, Ruled, RuledPeer
from dykeshift.rig.virtual import SECOND, Spot
from dykeshift.versions.changes import Change, Middle, Force, Propose
from dykeshift.versions.force import EffectiveSettings, SettingsTracker
from dykeshift.versions.guide import LogStatus, RolloutLeader

STEP = 0.2  # seconds that an operator's loop takes for each balancer
FANOUT = 2


class Filed(Ruled):
    """Each balancer acts on a file of its own, which outlives it."""

    leases = False

    def __init__(self, seed: object, count: int, *args: Any, **more: Any) -> None:
        self.files: dict[int, tuple[int, str]] = {n: (0, "") for n in range(count)}
        self.stamps = 0
        super().__init__(seed, count, *args, **more)

    def order(self, number: int, change: Change) -> str:
        """Take a change of settings; other orders are turned down."""
        if not isinstance(change, Propose) or change.dry:
            return "no such order here"
        self.stamps += 1
        self.change(number, self.stamps, bytes(change.settings).decode())
        return ""

    def change(self, number: int, stamp: int, text: str) -> None:
        """Spread new settings from process `number`."""
        raise NotImplementedError

    def take(self, spot: Spot, stamp: int, text: str) -> None:
        """A process has got new settings and acts on them."""
        self.files[spot.number] = (stamp, text)
        self._look_round()

    def _look(self, peer: RuledPeer) -> EffectiveSettings:
        stamp, text = self.files[peer.spot.number]
        return EffectiveSettings("in force", stamp, peer.ruled.local_settings.read(text))

    def at_rest(self) -> bool:
        """There is nothing that would come to rest by itself."""
        return self.level()


class Hup(Filed):
    """An operator writes each balancer's file and sends SIGHUP, one after the other."""

    def change(self, number: int, stamp: int, text: str) -> None:
        """Tell the processes in turn, `STEP` seconds apart."""
        for n, spot in enumerate(self.spots):
            self.after(STEP * n, self._tell, self.spots[number], spot, stamp, text)

    def _tell(self, by: Spot, to: Spot, stamp: int, text: str) -> None:
        if to.alive and not to.stopped and (by is to or self.linked(by, to)):
            self.take(to, stamp, text)


class Gossip(Filed):
    """Members tell one another; the last writer wins."""

    def change(self, number: int, stamp: int, text: str) -> None:
        """Take the change; gossip spreads it."""
        self.take(self.spots[number], stamp, text)

    def _after(self, spot: Spot) -> None:
        super()._after(spot)
        peer = spot.view
        if spot.alive and not spot.stopped and self.now >= getattr(peer, "told_at", 0):
            peer.told_at = self.now + TICK
            others = [
                s for s in self.spots if s is not spot and s.alive and not s.stopped and self.linked(spot, s)
            ]
            for other in self.rng.sample(others, min(FANOUT, len(others))):
                newer = self.files[other.number] < self.files[spot.number]
                if newer and self.rng.random() >= self.weather.loss:
                    self.at(self.now + SECOND // 50, self.take, other, *self.files[spot.number])


class Boldly(SettingsTracker):
    """Acts on what it has, with a lease or without."""

    def update(self, now: int, lease_left: int, uncommitted: tuple[bytes, ...] = (), why: str = "") -> int:
        """Compute the settings as if the lease had time left."""
        return super().update(now, 1)


class Unleased(Ruled):
    """Acts on what it has, lease or not."""

    leases = False

    def _peer(self, spot: Spot, life: int) -> Any:
        peer: RuledPeer = super()._peer(spot, life)
        peer.ruled.effective_settings = Boldly(peer.ruled.local_settings, peer.ruled.store, spot.number)
        return peer


class Blunt(RolloutLeader):
    """Coordinates changes without the joint phase."""

    def next(self, now: int, facts: LogStatus) -> Change | None:
        """Put the new version in force where the joint phase would begin."""
        change = super().next(now, facts)
        return Force(change.version) if isinstance(change, Middle) else change


class Straight(Ruled):
    """No middle: what all have agreed to is in force at whoever hears so."""

    leases = False

    def _peer(self, spot: Spot, life: int) -> Any:
        peer: RuledPeer = super()._peer(spot, life)
        guide = peer.ruled.rollout
        peer.ruled.rollout = Blunt(guide.options, guide.store, guide.contradicts)
        return peer


WAYS: dict[str, type[Ruled]] = {
    "versions": Ruled,
    "without leases": Unleased,
    "without the middle": Straight,
    "gossip": Gossip,
    "SIGHUP in a loop": Hup,
}

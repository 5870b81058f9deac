"""Many balancers with settings in versions on one virtual clock, operators who change them, and what must
hold of all of them together at every instant.

A process decides at any moment, and asks for what holds as it does. So what it acts on changes with its own
steps and with the end of its lease: all that are awake are asked whenever one of them has come to act on
something else, and at close intervals for as long as two contradict one another.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from dykeshift.agree.proposals import COMMITTED
from dykeshift.agree.state import Machine, Options, Out
from dykeshift.rig.agreement import Agreement, Peer
from dykeshift.rig.installation import settings
from dykeshift.rig.virtual import SECOND, Spot
from dykeshift.settings import SettingsError
from dykeshift.versions.book import VersionStore, Phase
from dykeshift.versions.changes import Change, pack
from dykeshift.versions.checks import LocalObservations
from dykeshift.versions.core import Versions
from dykeshift.versions.core import Options as Terms
from dykeshift.versions.force import EffectiveSettings
from dykeshift.versions.link import AgreeLog
from dykeshift.versions.own import LocalSettings, shared_part
from dykeshift.versions.terms import more_permissive, contradicts
from dykeshift.versions.wire import encode, is_versions_datagram

TICK = SECOND // 5
CLOSE = 0.02  # seconds between two looks at all while two contradict one another
SEEN = 400  # answers a second of each process that acts on anything, for stages


def worded(
    change: dict[str, Any] | None = None, services: dict[str, dict[str, Any]] | None = None, **bounds: Any
) -> dict[str, Any]:
    """The settings of the rig's deployment, with others in places."""
    raw = settings(4, 0)
    raw |= change or {}
    raw["bounds"] |= bounds
    for service in raw["services"]:
        service |= (services or {}).get(service["name"], {})
    return raw


def drawn(random: Random) -> str:
    """Some settings, as all share them."""
    kinds: dict[str, dict[str, Any]] = {
        "status-check": {"idempotency": random.choice(("pure", "pure", "side_effect", "token"))},
        "reminder-set": {
            "group": random.choice(("cell", "zone", "all")),
            "windowNs": random.choice((2, 4, 8)) * SECOND,
        },
        "sms-send": {"worth": random.choice((1.0, 3.0))},
    }
    return shared_part(
        worded(
            {"balancers": random.choice((200, 300))},
            kinds,
            maxAttempts=random.choice((2, 3)),
            secondCopies=random.random() < 0.5,
        )
    )


class RuledPeer(Peer):
    """A process: its agreement and, on top, its versions, which ask the agreement as the daemon's do."""

    def __init__(self, world: Ruled, spot: Spot, random: Random) -> None:
        super().__init__(world, spot, random)
        self.tick_at = 0
        self.proposing: int | None = None
        self.no = world.stubborn.get(spot.number, "")  # why it can't act on proposals
        machine = self.machine
        assert isinstance(machine, VersionStore)
        raw = {**worded({"balancers": 200}), "az": spot.number % 2, "me": spot.number}
        self.ruled = world.versions(self, LocalSettings(raw), machine, random)

    def sight(self) -> LocalObservations:
        """What the process sees when it checks a proposal; one that objects has too many at work."""
        return LocalObservations(active_balancers=300 if self.no else 1)

    # ---- time and datagrams ----

    def on_timer(self, now: int) -> Out:
        """Advance the agreement, and the versions on top of it."""
        out = super().on_timer(now)
        return out + self._tick(now) if now >= self.tick_at else out

    def _tick(self, now: int) -> Out:
        self.tick_at = now + TICK
        bad = self.world.bad_share(self.ruled.effective)  # type: ignore[attr-defined]
        done, wrong = self.ruled.answers
        some = SEEN // 5
        self.ruled.answers = (
            done + some,
            wrong + sum(self.world.rng.random() < bad for _ in range(some)) if bad else wrong,
        )
        messages, change = self.ruled.on_tick(now)
        seal, spots = self.core.shared.seal, self.world.spots
        out = [(encode(message, seal), spots[number].address) for message, number in messages]
        if change is not None and self.proposing is None:
            out += self._propose(now, change)
        return out

    def _propose(self, now: int, change: Change) -> Out:
        version = self.ruled.store.state.version
        self.proposing, out = self.core.propose(now, pack(change), version, 2 * SECOND)
        return self._through(out)

    def on_datagram(self, now: int, data: bytes, address: Any) -> Out:
        """Hand a datagram to the versions or to the agreement."""
        if is_versions_datagram(data):
            self.ruled.on_datagram(now, data, self.core.shared.seal)
            return []
        return super().on_datagram(now, data, address)


@dataclass
class Conflict:
    """Two act on what contradicts, since `since` (nanoseconds of the world)."""

    since: int
    what: str


class Ruled(Agreement):
    """A world of balancers with versions. `broken` takes what must not be; `longest` the longest times, by
    what contradicted what, in seconds."""

    leases = True  # False: a baseline that goes on acting without one

    def __init__(
        self,
        seed: object,
        count: int,
        options: Options | None = None,
        disks: tuple[int, ...] = (),
        terms: Terms | None = None,
        rate: float = 0.01,
    ) -> None:
        self.stubborn: dict[int, str] = {}
        self.harmful: set[int] = set()  # versions under which answers are bad
        self.acting: dict[int, EffectiveSettings] = {}
        self.conflicts: dict[str, Conflict] = {}
        self.longest: Counter[str] = Counter()
        self.spans: list[float] = []
        self.pairs: dict[tuple[int, int], bool] = {}
        self.looking = False
        super().__init__(f"ruled/{seed}", count, options, disks, rate)
        self.rules = terms or Terms(
            self.terms.lease,
            self.terms.drift,
            check_timeout=4 * SECOND,
            stage_time=2 * SECOND,
            stage_timeout=20 * SECOND,
            report_interval=SECOND // 2,
            idle_report_interval=2 * SECOND,
        )
        self.operator = Random(f"operators/{seed}")
        self.done: Counter[str] = Counter()
        self.doubts = 0  # times that a process which acted on a version came to be in doubt

    def machine(self) -> Machine:
        """The book of versions."""
        return VersionStore()

    def _peer(self, spot: Spot, life: int) -> Any:
        return RuledPeer(self, spot, Random(self.rng.random()))

    def versions(self, peer: RuledPeer, own: LocalSettings, book: VersionStore, random: Random) -> Versions:
        """The versions of a new process, on top of its agreement."""
        core, spot = peer.core, peer.spot
        return Versions(
            self.rules,
            own,
            book,
            spot.number,
            core.shared.birth,
            AgreeLog(core, spot.clock),
            spot.clock,
            peer.sight,
            random,
        )

    def bad_share(self, acts: EffectiveSettings) -> float:
        """Share of bad answers of a process that acts on this."""
        return 0.2 if acts.version in self.harmful and acts.mode == "in force" else 0.0

    def kill(self, spot: Spot) -> None:
        """Kill a process; it acts on nothing any more."""
        super().kill(spot)
        self.acting.pop(spot.number, None)

    # ---- operators ----

    def order(self, number: int, change: Change) -> str:
        """Through that balancer; why it was not even proposed, else empty."""
        peer = self.spots[number].view
        why: str = peer.ruled.store.objection(change)
        if not why:
            self.propose(number, pack(change), peer.ruled.store.state.version)
        return why

    def _collect(self, spot: Spot) -> None:
        peer: RuledPeer = spot.view
        if peer.proposing is not None:
            answer = peer.core.take_answers()
            mine = answer.pop(peer.proposing, None)
            if mine is not None:
                peer.proposing = None
                self.done["guided" if mine.status == COMMITTED else "not guided"] += 1
            peer.core.proposals.answers |= answer
        super()._collect(spot)

    # ---- what must hold ----

    def _after(self, spot: Spot) -> None:
        super()._after(spot)
        if self.looking or not spot.alive or spot.stopped:
            return
        peer: RuledPeer = spot.view
        acts = self._look(peer)
        before = self.acting.get(spot.number)
        if acts != before:
            self.acting[spot.number] = acts
            self.doubts += acts.degraded and before is not None and not before.degraded
            self._check_doubt(spot, acts)
            self._look_round()

    def _look(self, peer: RuledPeer) -> EffectiveSettings:
        peer.ruled.rules_stamp()
        return peer.ruled.effective

    def _check_doubt(self, spot: Spot, acts: EffectiveSettings) -> None:
        """In doubt never bolder than what it knows to be in force."""
        if not acts.degraded:
            return
        own, pages = spot.view.ruled.local_settings, spot.view.ruled.store.state
        try:
            held = own.read(pages.rules.settings)
        except SettingsError:
            return
        for what in more_permissive(acts.settings, held):
            self.say(spot, f"in doubt it is bolder than version {pages.rules.version}: {what}")

    def _look_round(self) -> None:
        """All that are awake, at this instant."""
        self.looking = True
        bold: dict[int, tuple[int, EffectiveSettings]] = {}  # by version, somebody who acts on all of it
        out: dict[str, int] = {}  # servers that are out, and for whom
        acting: list[tuple[int, EffectiveSettings]] = []
        for spot in self.up():
            acts = self._look(spot.view)
            self.acting[spot.number] = acts
            acting.append((spot.number, acts))
            if acts.mode == "in force":
                bold.setdefault(acts.version, (spot.number, acts))
            if not acts.degraded:
                out |= dict.fromkeys(acts.banned, spot.number)
        self.looking = False
        found = dict[str, str]()
        versions = sorted(bold)
        for n, one in enumerate(versions):
            for other in versions[n + 1 :]:
                if one and self._contradict(one, other, bold[one][1], bold[other][1]):
                    found["settings"] = f"{bold[one][0]} acts on {one}, {bold[other][0]} on {other}"
        for server, by in out.items():
            late = [n for n, a in acting if server not in a.banned and not a.degraded]
            if late:
                found[f"ban {server}"] = f"{late[0]} sends to {server}, which is out at {by}"
        self._note(found)

    def _contradict(self, one: int, other: int, a: EffectiveSettings, b: EffectiveSettings) -> bool:
        if (one, other) not in self.pairs:
            self.pairs[one, other] = contradicts(a.settings, b.settings)
        return self.pairs[one, other]

    def _note(self, found: dict[str, str]) -> None:
        for what in [w for w in self.conflicts if w not in found]:
            self.end(what)
        for what, text in found.items():
            conflict = self.conflicts.setdefault(what, Conflict(self.now, text))
            lasted = (self.now - conflict.since) / SECOND
            limit = 0.0 if what == "settings" else self.rules.lease / SECOND
            if lasted > limit and self.leases:
                self.broken.append(f"{self.now / SECOND:.3f} s: {conflict.what}, for {lasted:.2f} s")
        if self.conflicts:
            self.after(CLOSE, self._look_round)

    def end(self, what: str) -> None:
        """A conflict is over: keep how long it lasted, in seconds."""
        lasted = (self.now - self.conflicts.pop(what).since) / SECOND
        sort = what.partition(" ")[0]
        self.spans.append(lasted)
        self.longest[sort] = max(self.longest[sort], lasted)  # type: ignore[assignment]

    # ---- states ----

    def at_rest(self) -> bool:
        """All act on one version, nothing is under way."""
        up = self.up()
        versions = {self._look(s.view).version for s in up}
        return (
            len(versions) == 1
            and all(
                s.view.ruled.effective.mode == "in force"
                and s.view.ruled.store.state.pending is None
                and not s.view.ruled.uncommitted_bans
                for s in up
            )
            and self.level()
        )

    def in_force(self, version: int) -> bool:
        """Whether all that are up act on this version."""
        return all(
            self._look(s.view).mode == "in force" and s.view.ruled.effective.version == version
            for s in self.up()
        )

    def phase(self, number: int) -> Phase | None:
        """The phase of the change under way, as process `number` knows it; None where there is none."""
        pending = self.spots[number].view.ruled.store.state.pending
        return pending.phase if pending is not None else None

"""The standing design as a role: membership, consensus and versions at every balancer.

A hollow member is the daemon's own assembly (`node.assembly`) with the features `[view]`, `[agree]` and
`[versions]` started by the daemon's own code (`node.features`), and without front, discovery's calls and
connections to upstreams.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from dykeshift.agree.log import Base
from dykeshift.agree.seats import drawn
from dykeshift.agree.voting import Role as VotingRole
from dykeshift.engine import config
from dykeshift.node import agree, features, versions, view
from dykeshift.node.assembly import assemble
from dykeshift.rig.installation import settings
from dykeshift.scale.role import Answered, Life, MemberState, Role, Roster
from dykeshift.versions.own import shared_part
from dykeshift.view.wire import Entry

HISTORY = 0x5CA1E  # of a fleet that starts settled
SECTIONS = {"view": view, "agree": agree, "versions": versions}
GUARDED = 10_000  # the first value of the setting whose change contradicts: balancers that there may be


@dataclass(frozen=True, slots=True)
class Exported:
    """What others need to know of a member to start settled with it."""

    entry: Entry
    birth: int  # of its consensus


class Member:
    """One process; see `role.Role`."""

    def __init__(self, life: Life) -> None:
        self.life = life
        peers = [f"{host}:{port}" for host, port in life.roster.peers]
        raw = configuration(life.seat.number, life.seat.zone, peers, life.seed)
        self.given = config.parse(raw, peering=True)
        self.features = features.Features(tuple(_parts(life.options)))
        self.parts = assemble(life.loop, life.clock, self.given, self._load)
        self.offers = features.ConsoleCalls()
        self.services: list[features.Service] = []

    def _load(self) -> config.Config:
        return self.given

    async def start(self) -> None:
        """As the daemon starts its features."""
        parts, life = self.parts, self.life
        parts.driver.watch = _no_discovery
        parts.driver.start()
        self.services = await self.features.start(
            life.loop, life.clock, self.given, parts.driver, False, self.offers, parts.reload
        )
        self.view, self.agree, self.versions = self.services  # type: ignore[assignment]

    view: view.Service
    agree: agree.Service
    versions: versions.Service

    def close(self, leave: bool) -> None:
        """As the daemon ends them, or not at all."""
        if leave:
            for service in reversed(self.services):
                service.close()

    def drain(self) -> None:
        """As the daemon tells them on SIGTERM."""
        for service in self.services:
            service.drain()

    def busy(self) -> bool:
        """While any hands over what it has."""
        return any(service.busy() for service in self.services)

    # ---- what it holds true ----

    def version_in_force(self) -> int:
        """Of the settings that it acts on alone."""
        self.versions.rules_stamp()
        acts = self.versions.core.effective
        return acts.version if acts.mode == "in force" else 0

    def report(self) -> MemberState:
        """Its picture of the fleet and of the settings."""
        member, voter = self.view.view, self.agree.core.voter
        now = self.life.clock.monotonic_ns()
        self.versions.rules_stamp()
        acts, book = self.versions.core.effective, self.versions.core.store
        said = [member.budget.sent, self.agree.core.shared.budget.sent]
        return MemberState(
            self.life.seat.number,
            "voter" if voter.seated() else "learner",
            acts.version,
            acts.mode == "in force",
            member.standing.at_least,
            int(member.digest(now), 16),
            member.settled,
            voter.role is VotingRole.LEADER,
            _short(book.snapshot()),
            _short(book.state.rules.settings.encode()),
            book.state.version,
            sum(sent[0] for sent in said),
            sum(sent[1] for sent in said),
        )

    def propose(self, change: dict[str, Any], answered: Answered) -> None:
        """By the operators' call."""

        def done(status: int, body: bytes) -> None:
            answered(int(json.loads(body)["version"]) if status == 200 else None)

        order = self.offers.deferred_calls[b"PUT", b"/settings/propose"]
        order(json.dumps({"settings": change, "by": "scale"}).encode(), done)

    # ---- starting settled ----

    def export(self) -> Exported:
        """Its entry in the table of members, and its birth as a voter."""
        return Exported(self.view.view.me, self.agree.core.shared.birth)

    def settle(self, others: dict[int, Any]) -> None:
        """All know one another, and the history has begun."""
        told: dict[int, Exported] = others
        now, number, seats = self.life.clock.monotonic_ns(), self.life.seat.number, self.life.roster.seats
        self.view.view.adopt(
            now, {seats[n].address: one.entry for n, one in sorted(told.items()) if n != number}
        )
        for watcher in self.view.watchers:
            watcher()
        numbers = drawn(self.agree.core.options.voters, len(seats))
        voters = tuple(sorted((n, told[n].birth) for n in numbers))
        epoch = (HISTORY, 1, voters[0][1])
        self.agree.runner.carry(self.agree.core.adopt(now, epoch, Base(wanted=len(voters), now=voters)))


def _short(data: bytes) -> str:
    return hashlib.blake2s(data, digest_size=8).hexdigest()


def _no_discovery() -> None:
    """Upstreams belong to the data path: nobody is asked for them."""


def _parts(options: dict[str, dict[str, Any]]) -> list[tuple[Any, Any]]:
    import msgspec

    found = list[tuple[Any, Any]]()
    for name, module in SECTIONS.items():
        section = msgspec.convert(options.get(name, {}), module.Options)
        module.check(section, None)
        found.append((module, section))
    return found


def configuration(number: int, zone: int, peers: list[str], seed: str) -> dict[str, Any]:
    """A balancer's configuration, as its file would have it."""
    return {
        "name": f"n{number}",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**settings(len(peers), 0), "az": zone % 2, "me": number},
        "peer_listen": peers[number],
        "peers": peers,
    }


class Membership:
    """See `role.Design`."""

    name = "membership"
    control_members = 0

    def member(self, life: Life) -> Role:
        """A balancer with its control features."""
        return Member(life)

    def voters(self, roster: Roster) -> tuple[int, ...]:
        """As consensus draws them."""
        return drawn(agree.Options().voters, len(roster.seats))

    def proposers(self, roster: Roster) -> tuple[int, ...]:
        """At every balancer."""
        return tuple(seat.number for seat in roster.seats)

    def change(self, count: int) -> dict[str, Any]:
        """Other settings: every other change also alters what two may not act on differently."""
        changed = settings(GUARDED + (count + 1) // 2, 0)
        changed["services"][-1]["worth"] = 1.0 + count % 7
        return changed

    def digest(self, change: dict[str, Any]) -> str:
        """Of the text that all share."""
        return _short(shared_part(change).encode())

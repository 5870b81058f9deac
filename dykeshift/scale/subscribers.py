"""Balancers that subscribe to a control tier of nine machines, as a design of the scale run.

The last nine numbers of the roster are control machines: five vote, all have the store and serve subscribers
(`configuration.control`). All others are subscribers of ten services each, drawn by their number. Both run
the cores and the datagram shell of `dykeshift/configuration`, nothing beside them: no membership, no data
path.

A run that starts settled begins with a drawn configuration (`[configuration]` of the options: services,
tenants, routes, held), known to all. A control machine that is killed has no disk: it comes back from nothing
and takes the store from the others.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from random import Random
from typing import Any

from dykeshift.agree.core import Agree
from dykeshift.agree.log import Base
from dykeshift.agree.proposals import COMMITTED
from dykeshift.agree.seats import drawn
from dykeshift.agree.state import Options as ConsensusOptions
from dykeshift.agree.voting import Role as VotingRole
from dykeshift.configuration.catch_up import DIGEST_MASK
from dykeshift.configuration.choice import Place
from dykeshift.configuration.control import ControlMachine, freshness_age
from dykeshift.configuration.replica import ReplicaOptions
from dykeshift.configuration.resources import Key, Kind, Tenant, encode_body
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.shell import Core, Shell
from dykeshift.configuration.state import SubscriberState
from dykeshift.configuration.store import ConfigStore
from dykeshift.configuration.subscriber import Subscriber, SubscriberOptions
from dykeshift.configuration.tier import FIRST_VERSION, TierOptions, draw_configuration
from dykeshift.configuration.transactions import Put, Transaction, encode_entry
from dykeshift.scale.role import Answered, Life, MemberState, Role, Roster, Seat
from dykeshift.view.wire import Seal

FLEET = "scale"
HISTORY = 0x5CA1F  # of a tier that starts settled
CONTROL_MACHINES = 9
VOTERS = 5
SECOND = 1_000_000_000
MS = 1_000_000
ANSWER_WITHIN = 3 * SECOND  # of a proposal
IDENT_BITS = 62


@dataclass(frozen=True, slots=True)
class Size:
    """Of the configuration that a settled run begins with."""

    services: int = 510
    tenants: int = 30_000
    routes: int = 2_400
    held: int = 10  # services of each subscriber

    @classmethod
    def of(cls, life: Life) -> Size:
        """As the run's options say. TypeError for words that are none."""
        return cls(**life.options.get("configuration", {}))


@lru_cache(maxsize=2)
def first_store(size: Size) -> ConfigStore:
    """What everybody knows as a settled run begins; one for all members of a process, to be read only."""
    options = TierOptions(services=size.services, tenants=size.tenants, routes=size.routes)
    store = ConfigStore()
    resources = draw_configuration(options, Random("scale"))
    store.index.merge(sorted(resources, key=lambda resource: resource.key), ())
    store.version = FIRST_VERSION
    return store


def scope_of(seat: Seat, size: Size) -> Scope:
    """The services that a balancer serves."""
    names = [f"service-{number:03d}" for number in range(size.services)]
    drawn_names = Random(f"scope/{seat.number}").sample(names, min(size.held, len(names)))
    return Scope(frozenset(drawn_names))


def _lineage(epoch: tuple[int, int, int]) -> int:
    """As a control machine tells its history."""
    history, number, founder = epoch
    return history << 32 | (number & 0xFFFF) << 16 | founder & 0xFFFF


def _first_epoch(births: dict[int, int]) -> tuple[int, int, int]:
    """Of a tier that starts settled; `births` by place in the tier."""
    return HISTORY, 1, births[min(births)]


class _Process:
    """What both sorts of members have in common."""

    def __init__(self, life: Life, core: Core, after_step: Callable[[], None]) -> None:
        self.life = life
        self.shell = Shell(life.loop, life.clock, core, after_step)

    async def start(self) -> None:
        """Open the port and begin."""
        await self.shell.open(self.life.seat.address)

    def drain(self) -> None:
        """Nobody takes over from a subscriber."""

    def busy(self) -> bool:
        """Nothing is handed over."""
        return False


class ControlMember(_Process):
    """A control machine; see `role.Role`."""

    def __init__(self, life: Life) -> None:
        self.size = Size.of(life)
        control = life.roster.control
        self.place = [seat.number for seat in control].index(life.seat.number)
        places = {place: seat.address for place, seat in enumerate(control)}
        rng, seal = Random(f"control/{life.seed}"), Seal(FLEET)
        self.rng = rng
        self.store = ConfigStore()
        options = ConsensusOptions(voters=VOTERS, datagrams=5_000, size=1_000_000)
        self.core = Agree(options, seal, self.place, places, Random(rng.random()), self.store)
        self.machine = ControlMachine(self.core, self.store, ReplicaOptions(), seal, Random(rng.random()))
        self.waiting: dict[int, Answered] = {}
        super().__init__(life, self.machine, self._after_step)

    def _after_step(self) -> None:
        self.core.take_events()
        self.core.take_results()
        for ident, answer in self.core.take_answers().items():
            answered = self.waiting.pop(ident, None)
            if answered is not None:
                answered(answer.version if answer.status == COMMITTED else None)

    def drain(self) -> None:
        """Another is to have its seat."""
        now = self.shell.now()
        self.shell.carry(self.machine.after(now, self.core.retire(now)))

    def busy(self) -> bool:
        """While its seat is not another's."""
        return self.core.handing_over(self.shell.now())

    def close(self, leave: bool) -> None:
        """Subscribers find its silence."""
        self.shell.close()

    def version_in_force(self) -> int:
        """Of the store, while it knows how fresh that is."""
        fresh = freshness_age(self.core, self.shell.now()) is not None
        return self.store.version if fresh else 0

    def report(self) -> MemberState:
        """Its store, and its part in consensus."""
        voter, everything = self.core.voter, Scope.everything()
        digest = self.store.digest(everything) & DIGEST_MASK
        return MemberState(
            self.life.seat.number,
            "voter" if voter.seated() else "replica",
            self.store.version,
            bool(self.version_in_force()),
            leads=voter.role is VotingRole.LEADER,
            content=f"{digest:016x}",
            held=self.store.version,
            said_datagrams=self.shell.sent_datagrams,
            said_bytes=self.shell.sent_bytes,
        )

    def propose(self, change: dict[str, Any], answered: Answered) -> None:
        """One tenant's share."""
        key = Key(Kind.TENANT, change["tenant"])
        body = encode_body(Tenant(tuple(change["services"]), change["share"]))
        transaction = Transaction(self.rng.getrandbits(IDENT_BITS) or 1, "scale", (Put(key, body),))
        now = self.shell.now()
        number, out = self.core.propose(now, encode_entry(transaction), self.store.version, ANSWER_WITHIN)
        self.waiting[number] = answered
        self.shell.carry(self.machine.after(now, out))

    def export(self) -> int:
        """Its birth as a voter."""
        return self.core.shared.birth

    def settle(self, others: dict[int, Any]) -> None:
        """The history has begun, with the configuration that all know."""
        births = _births(self.life.roster, others)
        voters = tuple(sorted((place, births[place]) for place in drawn(VOTERS, len(births))))
        state = first_store(self.size).snapshot()
        base = Base(1, 1, 1, FIRST_VERSION, len(voters), voters, (), state)
        now = self.shell.now()
        self.shell.carry(self.machine.after(now, self.core.adopt(now, _first_epoch(births), base)))


class SubscriberMember(_Process):
    """A balancer's subscription; see `role.Role`."""

    def __init__(self, life: Life) -> None:
        self.size = Size.of(life)
        self.scope = scope_of(life.seat, self.size)
        places = [Place(seat.address, str(seat.region)) for seat in life.roster.control]
        self.state = SubscriberState(self.scope)
        self.subscriber = Subscriber(
            SubscriberOptions(),
            Seal(FLEET),
            life.seat.name,
            life.clock.time_ns() // MS,
            self.scope,
            places,
            str(life.seat.region),
            Random(f"subscriber/{life.seed}"),
            self.state,
        )
        super().__init__(life, self.subscriber, self._after_step)

    def _after_step(self) -> None:
        self.subscriber.take_events()

    def close(self, leave: bool) -> None:
        """With `leave` its replica is told."""
        self.shell.close(self.subscriber.end(self.shell.now()) if leave else None)

    def version_in_force(self) -> int:
        """The version shown, under a lease."""
        return self.state.version if self.subscriber.lease_left(self.shell.now()) else 0

    def report(self) -> MemberState:
        """What it shows."""
        return MemberState(
            self.life.seat.number,
            "subscriber",
            self.state.version,
            bool(self.version_in_force()),
            held=self.state.version,
            said_datagrams=self.shell.sent_datagrams,
            said_bytes=self.shell.sent_bytes,
        )

    def propose(self, change: dict[str, Any], answered: Answered) -> None:
        """Changes are asked for at control machines."""
        answered(None)

    def export(self) -> None:
        """Nobody needs to know a subscriber."""

    def settle(self, others: dict[int, Any]) -> None:
        """It shows what all know, and has to ask for a lease."""
        store = first_store(self.size)
        lineage = _lineage(_first_epoch(_births(self.life.roster, others)))
        digest = store.digest(self.scope) & DIGEST_MASK
        self.subscriber.adopt(lineage, store.version, digest, store.scoped(self.scope))


def _births(roster: Roster, others: dict[int, Any]) -> dict[int, int]:
    """Of the control machines, by place in the tier."""
    return {place: others[seat.number] for place, seat in enumerate(roster.control)}


class Subscribers:
    """See `role.Design`."""

    name = "subscribers"
    control_members = CONTROL_MACHINES

    def member(self, life: Life) -> Role:
        """A control machine or a subscriber, by its seat."""
        if life.seat.control:
            return ControlMember(life)
        return SubscriberMember(life)

    def voters(self, roster: Roster) -> tuple[int, ...]:
        """As consensus draws them among the control machines."""
        numbers = [seat.number for seat in roster.control]
        return tuple(numbers[place] for place in drawn(VOTERS, len(numbers)))

    def proposers(self, roster: Roster) -> tuple[int, ...]:
        """The control machines."""
        return tuple(seat.number for seat in roster.control)

    def change(self, count: int) -> dict[str, Any]:
        """One tenant of one service: a free change, as nothing else is led through its phases here."""
        service = f"service-{count % 40:03d}"
        return {"tenant": f"changed-{count % 97}", "services": [service], "share": 1.0 + count % 7}

    def digest(self, change: dict[str, Any]) -> str:
        """A member holds a part, and acts on no single change."""
        return ""

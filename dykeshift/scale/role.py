"""The seam between the scale run and a design: what one hollow member is, and who hosts the control tier.

Theory of operation. A *hollow member* is the control part of one balancer without its data path: the same
cores and datagram shells as in the daemon. The harness knows nothing of what they say. It gives each member

- a `MemberLoop`: the part of an asyncio event loop that the datagram shells use. It is the machine's loop on
  the real clock and a discrete-event network on the virtual one, and it accounts the processor time of each
  callback and the bytes of each datagram to the member. Whatever a member does it does in a callback of this
  loop, or in a call of the harness through `Role`;
- a `Clock` (dykeshift.clock): its own monotonic and wall time.

A `Design` makes members. The standing one (`membership.py`: membership, consensus, versions at everybody) is
`--design membership`; another, registered in `DESIGNS` of `designs.py`, is run by `--design NAME`.

The control tier: `Design.control_members` says how many machines beside the balancers the design hosts its
control on (0 for membership, where balancers are the voters; 9 where balancers subscribe). The harness gives
these the last numbers of the roster (`Seat.control` is true), an address each like any member, and places
them over both regions (`placement.py`); faults of machines, racks, zones and regions befall them by their
place like anybody. They are accounted under their own `Role.kind`, apart from the balancers.

Promises that a role has to keep:
 1. It opens its port by `loop.create_datagram_endpoint(protocol, local_addr=seat.address)` within `start`,
    and sends only by the transport that it was given: what it sends otherwise is not counted.
 2. It sets timers by `loop.call_later` only, reads time from its clock only, draws from `seed` only.
 3. `close(leave=False)` is a kill: nothing is sent. With `leave=True` it says what the daemon says as it
    ends.
 4. `report` and `version_in_force` change nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from dykeshift.clock import Clock

WHOLE = "whole"  # the kind of a member that is a whole daemon

Address = tuple[str, int]
Answered = Callable[[int | None], None]  # the version of a committed change; None: refused, or not known


@dataclass(frozen=True, slots=True)
class Seat:
    """One member's place: who it is and where it runs."""

    number: int
    address: Address
    region: int
    zone: int  # over both regions
    rack: int  # over all zones
    machine: int  # over all racks
    control: bool = False  # one of the machines that the design sets aside for its control

    @property
    def name(self) -> str:
        """The member's name in its fleet."""
        return f"n{self.number}"


@dataclass(frozen=True, slots=True)
class Roster:
    """All seats, by number: those of hollow members and of whole daemons, balancers before control."""

    seats: tuple[Seat, ...]

    @property
    def peers(self) -> tuple[Address, ...]:
        """The addresses of all, by number."""
        return tuple(seat.address for seat in self.seats)

    @property
    def control(self) -> tuple[Seat, ...]:
        """The machines set aside for control."""
        return tuple(seat for seat in self.seats if seat.control)


@dataclass(frozen=True, slots=True)
class MemberState:
    """What one member holds true at an instant."""

    number: int
    kind: str  # of member, as it is now: "voter", "learner", "replica", "subscriber", ...
    version: int  # that it acts on; 0 where nothing was ever in force
    in_force: bool  # it acts on `version` and nothing else: not in a middle phase, not in doubt
    alive: int | None = (
        None  # members that it holds for alive, itself among them; None: it does not track them
    )
    digest: int | None = None  # of its table of members: equal digests are equal tables
    settled: bool = True  # it waits for nothing and takes its picture for whole
    leads: bool = False  # it leads the control's consensus
    content: str = ""  # digest of the configuration that it holds, to compare members by; empty: only a part
    acted: str = ""  # what `Design.digest` says of the change that brought the version acted on
    held: int = 0  # the version of what `content` is the digest of: members that hold the same are equal
    said_datagrams: int = 0  # that it has sent, by its own figures
    said_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Life:
    """What one process of a member is started with."""

    seat: Seat
    roster: Roster
    loop: asyncio.AbstractEventLoop  # a MemberLoop
    clock: Clock
    seed: str  # of all that it draws; another for each life
    options: dict[str, dict[str, Any]] = field(default_factory=dict)  # by section of the feature file


class Role(Protocol):
    """One process of a hollow member."""

    async def start(self) -> None:
        """Open the port and begin. OSError where the port can't be had."""

    def drain(self) -> None:
        """It will end soon: let others have what it is needed for."""

    def busy(self) -> bool:
        """Whether it is worth waiting a moment before a drained one ends."""

    def close(self, leave: bool) -> None:
        """End; `leave`: with a goodbye, else as killed."""

    def version_in_force(self) -> int:
        """The version that it acts on alone; 0 while there is none, in a middle phase and in doubt."""

    def report(self) -> MemberState:
        """What it holds true now."""

    def propose(self, change: dict[str, Any], answered: Answered) -> None:
        """A change of the configuration by an operator's call at this member; `answered` is called once."""

    def export(self) -> Any:
        """What others need to start settled with it (`settle`): plain data that pickles."""

    def settle(self, others: dict[int, Any]) -> None:
        """Take up, right after `start`, the state of a fleet that has long been at rest.

        `others`: what each member exported, by number, its own too.
        """


class Design(Protocol):
    """A way to control the fleet, as a maker of its members."""

    name: str
    control_members: int  # machines beside the balancers

    def member(self, life: Life) -> Role:
        """A member that is not started yet."""

    def voters(self, roster: Roster) -> tuple[int, ...]:
        """Who votes at first: a plan of faults never takes a majority of these at once."""

    def proposers(self, roster: Roster) -> tuple[int, ...]:
        """Where operators ask for changes: at any of these that is at work."""

    def change(self, count: int) -> dict[str, Any]:
        """The `count`-th change of a run's configuration (0, 1, ...), each different from the one before.

        Every other one contradicts the one before.
        """

    def digest(self, change: dict[str, Any]) -> str:
        """What tells a member that acts on this change from one that acts on another; empty: nothing does."""

"""Many agreements on one virtual clock, with disks that keep, lose or spoil what they are given; clients that
propose and read through all of them; and the promises of the agreement, held after every step.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dykeshift.agree.core import Agree, No
from dykeshift.agree.keep import Spoilt, known, pack, replay
from dykeshift.agree.proposals import COMMITTED, REFUSED, Answer
from dykeshift.agree.state import Event, Latest, Machine, Options, Out
from dykeshift.agree.voting import Role
from dykeshift.rig.linear import Operation
from dykeshift.rig.virtual import MS, SECOND, Spot, World

DISK = (1, 6)  # milliseconds that a sync takes, drawn


@dataclass
class Disk:
    """What lasts of a process's records, whole; what was not synced is gone with the process."""

    payloads: list[bytes] = field(default_factory=list)
    lies: bool = False  # what it says it has synced is lost at the next crash
    since: int = 0  # payloads that it has really kept, while it lies
    hole: bool = False
    stuck: bool = False  # no sync ends


class Peer:
    """One process's agreement as the world drives it, with its disk in between."""

    def __init__(self, world: Agreement, spot: Spot, rng: Random) -> None:
        self.world, self.spot = world, spot
        self.machine = world.machine()
        self.disk = world.disks.get(spot.number)
        places = {s.number: s.address for s in world.spots}
        self.core = world.build(spot.number, places, rng, self.machine, self.disk is not None)
        self.behind: list[tuple[int, Out, list[bytes]]] = []  # what waits for the disk, in order
        self.looked = -SECOND
        self.versions = 0
        if self.disk is not None:
            self._recover()

    def _recover(self) -> None:
        assert self.disk is not None
        try:
            kept = replay(self.disk.payloads) if not self.disk.hole else None
        except Spoilt:
            kept = None
        if kept is not None and known(kept):
            self.core.restore(kept)
        else:
            self.disk.payloads.clear()
            self.disk.hole = False

    @property
    def next_at(self) -> int:
        return self.core.next_at

    def start(self, now: int) -> Out:
        self._look(now)
        return self._through(self.core.start(now))

    def on_timer(self, now: int) -> Out:
        self._look(now)
        return self._through(self.core.on_timer(now))

    def on_datagram(self, now: int, data: bytes, address: Any) -> Out:
        return self._through(self.core.on_datagram(now, data, address))

    def leave(self, now: int) -> Out:
        return self._through(self.core.retire(now))

    def take_events(self) -> list[Event]:
        return self.core.take_events()

    def act(self, out: Out) -> None:
        """After a call of a client's or an operator's."""
        self.world.carry(self.spot, self._through(out))

    def _look(self, now: int) -> None:
        """A view that is a second old at most."""
        if now - self.looked >= SECOND:
            self.looked = now
            here = self.spot
            alive = {
                s.number
                for s in self.world.spots
                if s.alive and not s.stopped and self.world.linked(here, s) and self.world.linked(s, here)
            }
            self.core.on_roster(alive, {})

    def _through(self, out: Out) -> Out:
        """Send after the records are kept, or at once where there is nothing to keep."""
        records = self.core.take_records()
        if self.disk is None or not records and not self.behind:
            return out
        if not out and not records:
            return out
        self.behind.append((self.core.shared.written, out, [pack(r) for r in records]))
        if len(self.behind) == 1:
            self._sync()
        return []

    def _sync(self) -> None:
        delay = self.world.rng.uniform(*DISK) / 1000
        self.world.after(delay, self._kept, self.spot.lives, len(self.behind))

    def _kept(self, life: int, count: int) -> None:
        if life != self.spot.lives or not self.spot.alive or self.disk is None:
            return
        if self.spot.stopped or self.disk.stuck:
            self.world.after(0.05, self._kept, life, count)
            return
        while count < len(self.behind) and not self.behind[count][2]:
            count += 1
        done, self.behind = self.behind[:count], self.behind[count:]
        for _, _, payloads in done:
            self.disk.payloads += payloads
        if not self.disk.lies:
            self.disk.since = len(self.disk.payloads)
        sent = [one for _, out, _ in done for one in out]
        more = self.core.on_kept(self.spot.clock(), done[-1][0])
        if self.behind:
            self._sync()
        self.world.carry(self.spot, sent + self._through(more))


class Agreement(World):
    """A world of agreements. `disks`: numbers that have one."""

    def __init__(
        self,
        seed: object,
        count: int,
        options: Options | None = None,
        disks: tuple[int, ...] = (),
        rate: float = 0.01,
    ) -> None:
        super().__init__(f"agree/{seed}", count, make=self._peer)
        self.terms = options or Options(voters=min(5, count))
        self.disks = {n: Disk() for n in disks}
        self.client = Random(f"clients/{seed}")
        for spot in self.spots:
            spot.rate = 1 + self.client.uniform(-rate, rate)
        self.operations: list[Operation] = []
        self.open: dict[tuple[int, int, int], Operation] = {}  # spot, life, ident or token
        self.broken: list[str] = []
        self.truth = Truth(self)
        self.watch = self._after
        self.heard = self._hear  # type: ignore[assignment]
        self.states: Counter[str] = Counter()
        self.until = 0  # when the clients end

    def machine(self) -> Machine:
        """The state machine of a new process."""
        return Latest()

    def build(self, number: int, places: dict[int, Any], rng: Random, machine: Machine, disk: bool) -> Agree:
        """The core of a new process at place `number`, with or without a disk."""
        return Agree(self.terms, self.seal, number, places, rng, machine, disk)

    def _peer(self, spot: Spot, life: int) -> Any:
        return Peer(self, spot, Random(self.rng.random()))

    def carry(self, spot: Spot, out: Out) -> None:
        """Send a process's datagrams through the virtual network."""
        self._carry(spot, out)

    def kill(self, spot: Spot) -> None:
        """Kill a process; a lying disk loses what it did not keep, and open calls stay unanswered."""
        spot.kill()
        disk = self.disks.get(spot.number)
        if disk is not None and disk.lies:
            del disk.payloads[disk.since :]
            disk.lies = False
        for key in [k for k in self.open if k[0] == spot.number]:
            del self.open[key]  # nobody hears an answer: what became of it is not known

    def core(self, number: int) -> Agree:
        """The core of the process at place `number`."""
        core: Agree = self.spots[number].view.core
        return core

    def up(self) -> list[Spot]:
        """The processes that run and do not stand still."""
        return [s for s in self.spots if s.alive and not s.stopped]

    # ---- clients ----

    def propose(self, number: int, body: bytes, expect: int, wait: float = 3.0) -> Operation:
        """Propose a change through process `number`; `expect` is the version it builds on, `wait` is in
        seconds."""
        spot, core = self.spots[number], self.core(number)
        done = Operation("propose", self.now, body=body, expect=expect)
        self.operations.append(done)
        ident, out = core.propose(spot.clock(), body, expect, int(wait * SECOND))
        done.ident = ident
        self.open[number, spot.lives, ident] = done
        spot.view.act(out)
        return done

    def read(self, number: int, wait: float = 3.0) -> Operation:
        """Read the history through process `number`, within `wait` seconds."""
        spot, core = self.spots[number], self.core(number)
        done = Operation("read", self.now)
        self.operations.append(done)
        token, out = core.read(spot.clock(), int(wait * SECOND))
        self.open[number, spot.lives, token] = done
        spot.view.act(out)
        return done

    def busy(self, mean: float, seconds: float) -> None:
        """Clients that propose and read through all, at drawn times, `mean` seconds apart."""
        self.until = self.now + int(seconds * SECOND)
        self._busy(mean)

    def _busy(self, mean: float) -> None:
        if self.now >= self.until:
            return
        up = [s for s in self.up() if s.view is not None]
        if up:
            spot = self.client.choice(up)
            if self.client.random() < 0.5:
                body = b"%d" % len(self.operations)
                body += b"x" * self.client.choice((0, 0, 0, 300, 2000))
                seen = self.client.choice(up).view.core.proposals.version()
                self.propose(spot.number, body, seen)
            else:
                self.read(spot.number)
        self.after(self.client.expovariate(1 / mean), self._busy, mean)

    def _collect(self, spot: Spot) -> None:
        core: Agree = spot.view.core
        for ident, answer in core.take_answers().items():
            done = self.open.pop((spot.number, spot.lives, ident), None)
            if done is not None:
                self._answered(done, answer)
        for token, version in core.take_results().items():
            done = self.open.pop((spot.number, spot.lives, token), None)
            if done is not None and version is not None:
                done.end, done.version, done.body = self.now, version, core.shared.machine.snapshot()

    def _answered(self, done: Operation, answer: Answer) -> None:
        if answer.status == COMMITTED:
            done.end, done.version, done.ok = self.now, answer.version, True
        elif answer.status == REFUSED:
            done.end, done.version, done.ok = self.now, answer.version, False
            done.sent = "not reached" not in answer.text and "no leader" not in answer.text

    # ---- promises ----

    def _hear(self, spot: Spot, event: Event) -> None:
        self.truth.heard(spot, event)

    def _after(self, spot: Spot) -> None:
        self._collect(spot)
        self.truth.look(spot)

    def say(self, spot: Spot, what: str) -> None:
        """Note a broken promise; only the first 20 are kept."""
        if len(self.broken) < 20:
            self.broken.append(f"{self.now / SECOND:.3f} s {spot.name}: {what}")

    # ---- faults by hand ----

    def rescue(self, number: int, force: bool = False, voters: int | None = None) -> str:
        """Empty where it was done, else why not."""
        spot = self.spots[number]
        try:
            out = self.core(number).rescue(spot.clock(), voters, force)
        except No as exc:
            return str(exc)
        self.truth.rescued(number)
        spot.view.act(out)
        return ""

    def led(self) -> bool:
        """Whether some leader knows what is committed."""
        return any(s.view.core.voter.settled() for s in self.up())

    def level(self) -> bool:
        """Whether all have the same, and a leader is there."""
        up = self.up()
        return self.led() and len({(s.view.core.shared.epoch, s.view.core.shared.commit) for s in up}) == 1

    def electable(self) -> bool:
        """Whether somebody at work can win an election: a majority of its seats is at work, and none of these
        has more in its log than it has. Where nobody can, too many were lost at once."""
        seated = {s.view.core.shared.me: s.view.core for s in self.up() if s.view.core.voter.seated()}

        def ahead(core: Agree) -> tuple[int, int]:
            return core.shared.log.last_term, core.shared.log.last

        return any(
            core.voter.seats.quorum(
                lambda seat, core=core: seat in seated
                and seated[seat].shared.epoch == core.shared.epoch
                and ahead(seated[seat]) <= ahead(core)
            )
            for core in seated.values()
            if not core.shared.fenced
        )

    def leader(self) -> int | None:
        """The place of the leader with the newest epoch and term; None where nobody leads."""
        led = [s for s in self.up() if s.view.core.voter.settled()]
        return (
            max(led, key=lambda s: (s.view.core.shared.epoch[1:], s.view.core.voter.term)).number
            if led
            else None
        )


class Truth:
    """What must hold at every instant, of all processes together. Numbers as in docs/design/agree.md."""

    def __init__(self, world: Agreement) -> None:
        self.world = world
        self.leaders: dict[tuple[Any, int], tuple[int, int]] = {}  # epoch, term: who led
        self.votes: dict[tuple[Any, tuple[int, int], int], Any] = {}  # epoch, process, term: its vote
        self.chains: dict[tuple[Any, int], int] = {}  # epoch, index: what is committed there
        self.first: dict[tuple[Any, int], int] = {}  # when it was first committed
        # history and epoch: version, ident and body
        self.bodies: dict[Any, dict[int, tuple[int, bytes]]] = {}
        self.shown: dict[tuple[int, int], int] = {}  # spot, life: the version shown last
        self.most: dict[Any, list[tuple[int, int]]] = {}  # epoch: when, the highest index committed by then
        self.known: dict[tuple[int, int], tuple[Any, int]] = {}
        self.ids: dict[Any, dict[int, int]] = {}

    def heard(self, spot: Spot, event: Event) -> None:
        key = (spot.number, spot.lives)
        if event.kind == "committed":
            last = self.shown.get(key, 0)
            if event.version != last + 1:
                self.world.say(spot, f"shown version {event.version} after {last}")
            self.shown[key] = event.version
            number = spot.view.core.shared.epoch[:2]
            known = self.bodies.setdefault(number, {}).setdefault(event.version, (event.ident, event.body))
            if known != (event.ident, event.body):
                self.world.say(spot, f"version {event.version} is not what others were shown")
            at = self.ids.setdefault(number, {}).setdefault(event.ident, event.version)
            if at != event.version:
                self.world.say(spot, f"a proposal is committed as {at} and as {event.version}")
        elif event.kind == "installed":
            if event.version < self.shown.get(key, 0):
                self.world.say(spot, f"installed version {event.version} after {self.shown[key]}")
            self.shown[key] = event.version
            self._check_state(spot, event)
        elif event.kind == "lost":
            self.shown[key] = event.version
        self.world.states[event.kind + (" " + event.text if event.kind == "role" else "")] += 1

    def _check_state(self, spot: Spot, event: Event) -> None:
        number = spot.view.core.shared.epoch[:2]
        known = self.bodies.get(number, {}).get(event.version)
        if not isinstance(spot.view.machine, Latest):
            return  # its state is more than the last entry
        if known is not None and known[1] != event.body:
            self.world.say(spot, f"installed a state of version {event.version} that is another")

    def rescued(self, number: int) -> None:
        """Whatever a new epoch begins with is what its process had."""
        epoch = self.world.core(number).shared.epoch[:2]
        shown = self.world.core(number).shared.log.version_at(self.world.core(number).shared.commit)
        before = max((n for n in self.bodies if n[0] == epoch[0] and n < epoch), default=None)
        if before is not None:
            self.bodies[epoch] = {v: b for v, b in self.bodies[before].items() if v <= shown}
            self.ids[epoch] = {i: v for i, v in self.ids[before].items() if v <= shown}

    def look(self, spot: Spot) -> None:
        core: Agree = spot.view.core
        shared, voter = core.shared, core.voter
        if shared.blank:
            return
        epoch, me = shared.epoch, shared.me
        if voter.role is Role.LEADER and self.leaders.setdefault((epoch, voter.term), me) != me:
            self.world.say(spot, f"two lead in term {voter.term}")
        if (
            voter.vote is not None
            and self.votes.setdefault((epoch, me, voter.term), voter.vote) != voter.vote
        ):
            self.world.say(spot, f"voted twice in term {voter.term}")
        if self.known.get((spot.number, spot.lives)) != (epoch, shared.commit):
            self._check_committed(spot, core)
        if voter.role is Role.LEADER:
            self._check_complete(spot, core)
        self._check_lease(spot, core)
        age = (self.world.now - spot.born) / SECOND
        datagrams, size = shared.budget.sent
        if datagrams > shared.options.datagrams * (age * 1.02 + 1.1):
            self.world.say(spot, f"{datagrams} datagrams in {age:.1f} s")

    def _check_committed(self, spot: Spot, core: Agree) -> None:
        """What one holds for committed is what others hold for it, and never shrinks."""
        shared, log, key = core.shared, core.shared.log, (spot.number, spot.lives)
        epoch, before = shared.epoch, self.known.get(key)
        low = before[1] if before is not None and before[0] == epoch else log.base.index
        for index in range(max(low, log.base.index), shared.commit + 1):
            chain = log.chain_at(index)
            if chain is not None and self.chains.setdefault((epoch, index), chain) != chain:
                self.world.say(spot, f"entry {index} is not the one that others have committed")
            if (epoch, index) not in self.first:
                self.first[epoch, index] = self.world.now
        if before is not None and before[0] == epoch and shared.commit < before[1]:
            self.world.say(spot, "what was committed shrank")
        self.known[key] = (epoch, shared.commit)
        most = self.most.setdefault(epoch, [])
        if not most or shared.commit > most[-1][1]:
            most.append((self.world.now, shared.commit))

    def _check_complete(self, spot: Spot, core: Agree) -> None:
        """A leader has all that is committed in its epoch and was so before its term began."""
        if core.voter.lead is None or core.voter.lead.round > 1:
            return
        log, epoch = core.shared.log, core.shared.epoch
        most = self.most.get(epoch)
        if most and log.last < most[-1][1]:
            self.world.say(spot, f"leads without entry {most[-1][1]}")
        for index in range(log.base.index + 1, log.last + 1):
            chain = self.chains.get((epoch, index))
            if chain is not None and log.chain_at(index) != chain:
                self.world.say(spot, f"leads with another entry {index}")

    def _check_lease(self, spot: Spot, core: Agree) -> None:
        """Who holds a lease has all that was committed up to `lease` ago, in no epoch behind the latest."""
        if not core.spread.lease_left(spot.clock()):
            return
        since = self.world.now - core.options.lease
        shared = core.shared
        for at, index in self.most.get(shared.epoch, []):
            if at <= since and index > shared.commit:
                ago = (self.world.now - at) / SECOND
                self.world.say(spot, f"holds a lease without entry {index}, committed {ago:.2f} s ago")
                return


def level(world: Agreement, seconds: float = 60) -> None:
    """All have the same; the failure says who has not."""
    if not world.run(seconds, world.level):
        told = [
            (
                s.name,
                s.view.core.voter.role.name,
                s.view.core.voter.term,
                s.view.core.shared.epoch[1],
                s.view.core.shared.commit,
                s.view.core.voter.leader,
            )
            for s in world.up()
        ]
        raise AssertionError(f"not level at {world.now / SECOND:.1f} s: {told}")


__all__ = ["MS", "Agreement", "level"]

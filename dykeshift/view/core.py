"""Membership of the fleet as one balancer sees it (SWIM). Time and datagrams in, datagrams and events out.

In each period the process probes one member, in a shuffled round-robin order. Without an answer by 0.3 and
0.6 of the period it probes again, and at 0.3 also asks others for indirect probes. A member without proof
of life in two periods in a row (three if the process's own probes often fail) becomes *suspect*, which is
gossiped. A process that hears that it is suspected refutes that by raising its incarnation. A suspicion
that stands for `suspicion_timeout` makes the member *unreachable* for all; bounds.py says when it is given
up.

Invariants that hold at every instant:
 1. Only datagrams with the fleet's seal count, and only from a process that has answered a fresh random
    token of this one; each datagram counts once. So replayed datagrams have no effect.
 2. A process that stalled, has just started, or gets no answers suspects nobody until it has been answered.
 3. A member is suspected only at an incarnation that it has announced; its next incarnation clears it.
 4. The bytes and datagrams sent per second never exceed the budget, whatever fails; answers have priority.
 5. `at_most` falls only by a leave, by a process that takes over a dead one's name, or as bounds.py says.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from dykeshift.view.bounds import Bounds, Standing
from dykeshift.view.news import Budget, UpdateQueue
from dykeshift.view.table import (
    REFUTATION_BITS,
    Address,
    Member,
    Table,
    bucket,
    generation,
    entry_digest,
    rank,
)
from dykeshift.view.wire import (
    BUCKETS,
    FLAG_BULK,
    FLAG_HOLDS_LEASE,
    FLAG_REPLY,
    MAX_DATAGRAM,
    UNNUMBERED,
    DatagramError,
    Entry,
)
from dykeshift.view.wire import Kind, Message, Seal, State, decode, encode, entry_space, pack_entry

PHASES = (0.0, 0.3, 0.6)  # fractions of a period at which a member is probed: once, and two retries
# Members asked for an indirect probe, probed after a stall, or probed again after a failed period.
PROBE_FANOUT = 3
SUSPECT_AFTER = 2  # periods in a row without proof of life before a member is suspected
RECENT_PROBES = 8  # latest probes that show how well this process itself is connected
LEASE_AFTER = 2.0  # suspicion timeouts for which it needs a majority before it holds the lease
SUSPICION_PERIODS = 6.0  # times log10 of the members: for it to spread and the refutation to return
CONTACT_TIMEOUT = 4.0  # periods without any answer, after which this process does not trust its table
SUSPECT_CONTACT_TIMEOUT = 1.5  # periods without any answer, after which it may be cut off and suspects nobody
CONTROL_PROBES = 2  # members heard last that are probed beside a silent one, to tell which side is cut off
STALL = 1.5  # periods by which a timer may be late before the process counts as having stalled
ANNOUNCE_PERIODS = 6  # in which each datagram has the new own entry; plus one per doubling of the members
SETTLED_AFTER = 3.0  # periods without a change before the view counts as settled
SETTLED_MATCHES = 3  # members in a row with the same digest that this takes
GOSSIP_FANOUT = 6  # datagrams of gossip per period beyond probes and answers, while updates are queued
SYNC_DATAGRAMS = 6  # datagrams of entries that answer one set of bucket sums
DISCOVERY_PROBES = 4  # silent addresses that are probed per period after the start
MAX_PENDING = 512  # open probes
TOMBSTONE_LEASES = 20  # leases for which the dead and those who left are remembered
TWIN_REPORTS = 3  # entries of another process of the same name, after which it is no earlier run of this one

ANSWER, PROBE, RELAY, GOSSIP, DISCOVERY = range(5)  # priorities
# The fraction of the budget that each priority leaves for the higher ones.
RESERVE = {ANSWER: 0.0, PROBE: 0.1, RELAY: 0.2, GOSSIP: 0.35, DISCOVERY: 0.5}

Outgoing = list[tuple[bytes, Address]]


@dataclass(frozen=True, slots=True)
class Options:
    """Times in nanoseconds; `datagrams_per_second` and `bytes_per_second` are the budget."""

    period: int = 500_000_000
    lease: int = 30_000_000_000
    drift: float = 0.01
    datagrams_per_second: float = 24.0
    bytes_per_second: float = 5000.0


@dataclass(frozen=True, slots=True)
class Event:
    """A change that consumers are told of.

    The kinds are `joined`, `state`, `gone`, `settled`, `unsettled`, `bounds`, `twin` (another process has
    this name) and `woken` (this process had stalled).
    """

    kind: str
    name: str = ""
    state: State = State.ALIVE
    at_least: int = 0
    at_most: int = 0


@dataclass(slots=True)
class PendingProbe:
    """A request that has not been answered yet: to whom, and on whose behalf. Kept by its token."""

    name: str  # "" for a probe of an address at which no member is known
    sent_at: int
    expires_at: int
    relay: tuple[str, int] | None = None  # who requested this indirect probe, and the token of the request
    helper_name: str = ""  # the member asked for an indirect probe of `name`


class View:
    """The membership protocol of one process; does no I/O. Each call returns the datagrams to send."""

    def __init__(
        self,
        options: Options,
        seal: Seal,
        me: Entry,
        peers: tuple[Address, ...],
        own: Address | None,
        broadcast: Address | None,
        rng: Random,
    ) -> None:
        """`me.birth`: drawn at random for each process. `own`: its own address in `peers`, if configured.

        `broadcast`: the address that reaches all members at once, if the network has one.
        """
        self.options, self.seal, self.me = options, seal, me
        self.peers, self.broadcast, self.rng = peers, broadcast, rng
        self.table, self.news = Table(), UpdateQueue()
        self.bounds = Bounds(options.lease, options.drift, peers, own)
        self.budget = Budget(options.datagrams_per_second, options.bytes_per_second, RESERVE)
        self.dropped: dict[str, int] = {}
        self.out: Outgoing = []
        self.events: list[Event] = []
        self.periods = self.phase = 0
        self.stall_count = self.last_stall_period = 0  # the period in which it last stalled
        self.next_at = 0  # when on_timer is due
        self.pending: dict[int, PendingProbe] = {}
        self.probe_order: list[str] = []  # members still to be probed in this round
        self.probing: dict[str, int] = {}  # members probed in this period, and since when
        self.recent_probes: deque[bool] = deque([True] * RECENT_PROBES, RECENT_PROBES)
        self.contact_reset_at = self.answered_at = 0  # the last start or stall; the last answer to a probe
        self.answered_since_reset = False  # a probe was answered since contact_reset_at
        self.beliefs_confirmed = False  # a lease holder has had the same table since the last doubt
        self.isolated_at = 0  # when it last took itself for cut off from all others
        self.seq = 0
        self.announce_until = ANNOUNCE_PERIODS  # the period until which each datagram has its own entry
        self.changed_at = 0  # when the table last changed
        self.matching: set[str] = set()  # members in a row whose digest is the same
        self.synced_at = 0  # when it last sent a SYNC because of a differing digest
        self.twin_reports: dict[int, int] = {}  # by birth: entries of other processes of its name
        self.yielded = False  # another process has this name, and this one only answers
        self.settled, self.settled_at = False, 0
        self.standing = Standing(1, self.bounds.places(self.table))
        self.discovery_index = 0  # position in the round over the silent addresses

    # ---- calls of the host ----

    def start(self, now: int) -> Outgoing:
        """Begin the protocol; to be called once, before all else."""
        self.budget.refilled_at = self.bounds.started_at = self.changed_at = self.settled_at = now
        self.next_at = now
        self._reset_contact(now)
        return self.on_timer(now)

    def on_timer(self, now: int) -> Outgoing:
        """To be called at `next_at` or later. More than STALL periods late counts as a stall."""
        if now < self.next_at:
            return self._take_output()
        self._notice_stall(now)
        if self.phase == 0:
            self._end_period(now)
            self._begin_period(now)
        else:
            self._probe_again(now)
        self.phase = (self.phase + 1) % len(PHASES)
        step = PHASES[self.phase] - PHASES[self.phase - 1] + (self.phase == 0)
        self.next_at = max(self.next_at + int(step * self.options.period), now + self.options.period // 10)
        self._emit_changes(now)
        return self._take_output()

    def on_datagram(self, now: int, data: bytes, address: Address) -> Outgoing:
        """Process a received datagram."""
        self._notice_stall(now)
        try:
            message = decode(data, self.seal)
        except DatagramError as exc:
            self._count_drop(str(exc))
            return self._take_output()
        self._receive(now, message, address)
        self._emit_changes(now)
        return self._take_output()

    def on_settings(self, now: int, settings: int) -> Outgoing:
        """Announce the digest of the settings that this process acts on from now on."""
        if settings != self.me.settings:
            self.me = replace(self.me, settings=settings)
            self._raise_incarnation(now)
        return self._take_output()

    def leave(self, now: int) -> Outgoing:
        """Announce that this process ends: to a few members, who gossip it, and by broadcast, if any."""
        if not self.yielded:
            self.me = replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT)
            some = [m.address for m in self._sample_alive(10)]
            for address in [self.broadcast, *some]:
                if address is not None:
                    self._send(now, ANSWER, address, Kind.NEWS, entries=[self.me])
        return self._take_output()

    def adopt(self, now: int, others: dict[Address, Entry]) -> None:
        """Take over a table that did not come by datagrams, after `start`.

        As if each of these had just answered: the state of a fleet that settled long ago.
        """
        for address, entry in others.items():
            member = self.table.put(entry, now)
            if member is not None:
                self.table.set_address(member, address)
                member.verify(entry.birth, entry.incarnation, 0)
                member.last_heard = member.answered_probe_at = now
        self._note_answer(now)
        self.beliefs_confirmed = True
        self._emit_changes(now)

    def take_events(self) -> list[Event]:
        """The events since the last call."""
        events, self.events = self.events, []
        return events

    def _take_output(self) -> Outgoing:
        out, self.out = self.out, []
        return out

    # ---- sending ----

    def _send(
        self,
        now: int,
        priority: int,
        address: Address | None,
        kind: Kind,
        *,
        ask: int = 0,
        echo: int = 0,
        target: str = "",
        proof: tuple[int, int] = (0, 0),
        sums: tuple[int, ...] = (),
        flags: int = 0,
        entries: list[Entry] | None = None,
        fill: bool = False,
    ) -> bool:
        """Queue a datagram if the budget allows it. `fill`: piggyback as many updates as fit."""
        if address is None or (self.yielded and kind is not Kind.ACK):
            return False
        if not self.budget.allows(now, priority, MAX_DATAGRAM):
            self._count_drop("budget")
            return False
        first = entries or []
        if (kind is Kind.ACK or self.periods < self.announce_until) and self.me not in first:
            first = [self.me, *first]
        space = (
            entry_space(self.me.name) - sum(len(pack_entry(e)) for e in first) - (2 + len(target.encode()))
        )
        packed = self.news.take(space, len(self.table.members) + 1) if fill else []
        self.seq += 1
        digest = self.table.digest() ^ entry_digest(self.me)
        flags |= FLAG_HOLDS_LEASE * self.standing.holds_lease
        data = encode(
            Message(
                kind,
                self.me.name,
                self.me.birth,
                self.me.incarnation,
                self.seq,
                digest,
                flags,
                ask,
                echo,
                target,
                proof,
                sums,
                first,
            ),
            self.seal,
            packed,
        )
        self.budget.spend(len(data))
        self.out.append((data, address))
        return True

    def _count_drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _new_token(self, probe: PendingProbe) -> int:
        """Keep the probe under a new random token; the oldest is dropped where too many are open."""
        if len(self.pending) >= MAX_PENDING:
            self.pending.pop(next(iter(self.pending)))
        token = self.rng.getrandbits(32) or 1
        self.pending[token] = probe
        return token

    def _send_probe(
        self,
        now: int,
        priority: int,
        address: Address | None,
        name: str,
        relay: tuple[str, int] | None = None,
        entries: list[Entry] | None = None,
    ) -> None:
        if address is not None:
            token = self._new_token(PendingProbe(name, now, now + 4 * self.options.period, relay))
            if not self._send(
                now, priority, address, Kind.PING, ask=token, entries=entries, fill=not entries
            ):
                del self.pending[token]

    def _sample_alive(self, most: int, but: str = "") -> list[Member]:
        """A random sample of members believed alive, without the one named `but`."""
        candidates = [m for m in self.table if m.state is State.ALIVE and m.address and m.entry.name != but]
        return self.rng.sample(candidates, min(most, len(candidates)))

    # ---- periods ----

    def _notice_stall(self, now: int) -> None:
        """Detect that this process has stalled; a suspicion does not run out during a stall."""
        if now - self.next_at > STALL * self.options.period:
            self.events.append(Event("woken"))
            self.stall_count, self.last_stall_period = self.stall_count + 1, self.periods
            gap, self.next_at, self.phase = now - self.next_at, now, 0
            for member in self.table:
                member.suspect_until += gap
            self._reset_contact(now)

    def _reset_contact(self, now: int) -> None:
        """At the start or after a stall: suspect nobody and hold no lease until somebody has answered."""
        self.contact_reset_at, self.answered_since_reset, self.beliefs_confirmed = now, False, False
        self.pending.clear()
        self.probing.clear()
        self.matching.clear()
        self.bounds.quorate_since = self.bounds.held_since = None
        for member in self.table:
            member.failed_periods = 0
        for member in self._sample_alive(PROBE_FANOUT):
            self._send_probe(now, PROBE, member.address, member.entry.name)

    def _answered_recently(self, now: int) -> bool:
        """Whether somebody answered lately, so that the silence of others is not this process's own fault."""
        return self.answered_since_reset and now - self.answered_at <= CONTACT_TIMEOUT * self.options.period

    def _isolated(self, now: int) -> bool:
        """Whether nobody has answered for so long that this process takes itself for cut off from all."""
        return now - max(self.answered_at, self.contact_reset_at) > self.suspicion_timeout()

    def suspicion_timeout(self) -> int:
        """The suspicion timeout, within which a member can refute, in nanoseconds."""
        scale = max(1.0, math.log10(len(self.table.members) + 1))
        return int(SUSPICION_PERIODS * scale * self.options.period)

    def _begin_period(self, now: int) -> None:
        self.periods += 1
        for token in [t for t, p in self.pending.items() if p.expires_at < now]:
            del self.pending[token]
        again = [m for m in self.table if m.failed_periods and m.state is State.ALIVE]
        again = self.rng.sample(again, min(PROBE_FANOUT, len(again)))
        target = self._next_target()
        known = [m for m in self.table if m.state is State.ALIVE and m.address] if again else []
        known.sort(key=lambda m: -m.last_heard)
        # The target of this period comes first: where nobody answers, the others use up the budget.
        for member in ([target] if target else []) + again + known[:CONTROL_PROBES]:
            if member.entry.name not in self.probing:
                self.probing[member.entry.name] = now
                self._send_probe(now, PROBE, self._probe_address(member), member.entry.name)
        self._probe_silent(now)
        for member in self._sample_alive(GOSSIP_FANOUT if len(self.news) else 0):
            if not len(self.news) or not self._send(now, GOSSIP, member.address, Kind.NEWS, fill=True):
                break

    def _next_target(self) -> Member | None:
        for _ in range(2):
            while self.probe_order:
                member = self.table.get(self.probe_order.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self.probe_order = list(self.table.members)
            self.rng.shuffle(self.probe_order)
        return None

    def _probe_address(self, member: Member) -> Address | None:
        """A member known only by gossip is probed at the address that its number stands for, and indirectly:
        one that died before any remaining member had contact with it must not stay alive in all tables."""
        return member.address or self.bounds.presumed_address(member)

    def _probe_silent(self, now: int) -> None:
        """Probe a few silent addresses per period, all in turn, so that a partition that has healed and new
        processes are found."""
        silent = self.bounds.unclaimed_addresses(self.table) + sorted(self.bounds.given_up_addresses)
        silent += [m.address for m in self.table if m.state >= State.UNREACHABLE and m.address]
        if not silent:
            return
        most = min(
            len(silent), DISCOVERY_PROBES if self.periods * DISCOVERY_PROBES <= 2 * len(self.peers) else 1
        )
        for _ in range(most):
            self.discovery_index = (self.discovery_index + 1) % len(silent)
            self._send_probe(now, DISCOVERY, silent[self.discovery_index], "", entries=[self.me])

    def _probe_again(self, now: int) -> None:
        for name, since in self.probing.items():
            member = self.table.get(name)
            if member is None or member.last_heard >= since:
                continue
            self._send_probe(now, PROBE, self._probe_address(member), name)
            # Without contact to others no helper can be reached either.
            if self.phase == 1 and self._answered_recently(now):
                for helper in self._sample_alive(PROBE_FANOUT, but=name):
                    until = now + 4 * self.options.period
                    token = self._new_token(PendingProbe(name, now, until, helper_name=helper.entry.name))
                    self._send(now, RELAY, helper.address, Kind.PROBE_FOR, ask=token, target=name, fill=True)

    def _end_period(self, now: int) -> None:
        needed = SUSPECT_AFTER + (sum(self.recent_probes) < RECENT_PROBES * 7 // 8)
        for name, since in self.probing.items():
            member = self.table.get(name)
            if member is None or member.state >= State.UNREACHABLE:
                continue
            responded = member.last_heard >= since
            self.recent_probes.append(responded)
            member.failed_periods = 0 if responded else member.failed_periods + 1
            connected = (
                self.answered_since_reset
                and now - self.answered_at <= SUSPECT_CONTACT_TIMEOUT * self.options.period
            )
            if member.failed_periods >= needed and member.state is State.ALIVE and connected:
                self._set_state(now, member, State.SUSPECT)
        self.probing.clear()
        if self._isolated(now):
            self.beliefs_confirmed, self.isolated_at = False, now
        if self._answered_recently(now):
            for member in [m for m in self.table if m.state is State.SUSPECT and now >= m.suspect_until]:
                self._set_state(now, member, State.UNREACHABLE)
        for member in self.bounds.overdue_members(now, self.table):
            self._set_state(now, member, State.DEAD)
        retention = TOMBSTONE_LEASES * self.options.lease
        for member in [m for m in self.table if m.state >= State.DEAD and now - m.since > retention]:
            self.table.remove(member)
            if member.address is not None:
                self.bounds.given_up_addresses.add(member.address)

    # ---- changes of the table ----

    def _set_state(self, now: int, member: Member, state: State) -> None:
        entry = self.table.set_state(member, state, now)
        self._after_change(now, member, entry)

    def _after_change(self, now: int, member: Member, entry: Entry, spread: bool = True) -> None:
        self.changed_at = now
        self.matching.clear()
        if spread:
            self.news.add(entry)
        if entry.state is State.SUSPECT:
            member.suspect_until = now + self.suspicion_timeout()
        if (
            entry.state in (State.SUSPECT, State.UNREACHABLE)
            and member.address is not None
            and (now - member.last_heard < CONTACT_TIMEOUT * self.options.period)
        ):
            self._send(now, RELAY, member.address, Kind.NEWS, entries=[entry])  # lets it refute at once
        if entry.state is State.ALIVE:
            member.failed_periods = 0
        kind = "gone" if entry.state >= State.DEAD else "state"
        self.events.append(Event(kind, entry.name, entry.state))

    def _merge(self, now: int, entry: Entry, spread: bool = True) -> None:
        """Take an update on a member, and gossip it, if it takes precedence over what is known."""
        if entry.name == self.me.name:
            self._merge_own_entry(now, entry)
            return
        known = self.table.get(entry.name)
        if known is None:
            member = self.table.put(entry, now)
            if member is None:
                self._count_drop("members")
            elif entry.state >= State.DEAD:
                self.changed_at = now  # kept so that an older update does not bring it back; not gossiped
            else:
                self.events.append(Event("joined", entry.name, entry.state))
                self._after_change(now, member, entry, spread)
        elif rank(entry) > rank(known.entry):
            self.table.put(entry, now)
            self._after_change(now, known, entry, spread)

    def _merge_own_entry(self, now: int, entry: Entry) -> None:
        """Handle an update under this process's own name: refute it, or find a process of the same name."""
        if entry.birth == self.me.birth:
            if (
                entry.incarnation >= self.me.incarnation
                and entry.state is not State.ALIVE
                and (self.me.state is State.ALIVE)
            ):
                self.me = replace(self.me, incarnation=entry.incarnation)
                self._raise_incarnation(now)
            return
        if entry.incarnation < self.me.incarnation or self.yielded:
            return
        count = self.twin_reports[entry.birth] = self.twin_reports.get(entry.birth, 0) + 1
        if count == TWIN_REPORTS:
            self._report_twin(now, entry.birth)
        if not self.yielded:  # an earlier run of this process, perhaps when the wall clock was ahead
            self.me = replace(self.me, incarnation=(generation(entry.incarnation) + 1) << REFUTATION_BITS)
            self._raise_incarnation(now)

    def _report_twin(self, now: int, birth: int) -> None:
        """Another process runs under this name. Both report it once, and the one of lower birth yields."""
        self.twin_reports[birth] = TWIN_REPORTS
        self.events.append(Event("twin", self.me.name))
        self.yielded = self.me.birth < birth

    def _raise_incarnation(self, now: int) -> None:
        self.me = replace(self.me, incarnation=self.me.incarnation + 1)
        self.announce_until = self.periods + ANNOUNCE_PERIODS + len(self.table.members).bit_length()
        self.changed_at = now
        self.matching.clear()
        self.news.add(self.me)

    # ---- receiving ----

    def _receive(self, now: int, message: Message, address: Address) -> None:
        if message.name == self.me.name:
            self._receive_own_name(now, message, address)
            return
        probe = self.pending.pop(message.echo, None) if message.echo else None
        if probe is not None and (
            message.name not in (probe.name or message.name, probe.helper_name)
            or message.kind is Kind.VIA
            and message.target != probe.name
        ):
            probe = None
        known = self.table.get(message.name)
        if probe is not None and message.kind is not Kind.VIA:
            known = self._accept_answer(now, message, address, probe)
        if known is None or known.verified_birth != message.birth or known.entry.birth != message.birth:
            self._challenge_unverified(now, message, address)
            return
        if probe is None and not known.accept(message.incarnation, message.seq):
            self._count_drop("replayed")
            return
        known.last_heard = max(known.last_heard, now)
        self.table.set_address(known, address)
        for entry in message.entries:
            self._merge(now, entry, not message.flags & FLAG_BULK)  # anti-entropy finds others that lack them
        if message.kind is Kind.VIA and probe is not None:
            self._accept_indirect_answer(message, probe)
        self._respond(now, message, address, known)
        self._compare_digests(now, message, address, probe is not None)

    def _accept_answer(
        self, now: int, message: Message, address: Address, probe: PendingProbe
    ) -> Member | None:
        """Record an answer to a probe of this process, which proves that the sender is at work."""
        entry = next(
            (e for e in message.entries if e.name == message.name and e.birth == message.birth),
            Entry(message.name, message.incarnation, message.birth),
        )
        known = self.table.get(message.name)
        if known is None or known.entry.birth != message.birth:
            self._merge(now, replace(entry, incarnation=message.incarnation, state=State.ALIVE))
            known = self.table.get(message.name)
            if known is None or known.entry.birth != message.birth:
                return None  # the sender has to learn first of the entry that takes precedence
        known.verify(message.birth, message.incarnation, message.seq)
        known.accept(message.incarnation, message.seq)
        known.last_heard = max(known.last_heard, probe.sent_at)
        known.answered_probe_at = probe.sent_at
        if known.address != address:
            for other in self.table:
                if other.address == address:
                    self.table.set_address(other, None)
            self.table.set_address(known, address)
        self.bounds.heard_at(address)
        self._note_answer(now)
        if probe.relay is not None:
            asker = self.table.get(probe.relay[0])
            if asker is not None:
                self._send(
                    now,
                    RELAY,
                    asker.address,
                    Kind.VIA,
                    echo=probe.relay[1],
                    target=message.name,
                    proof=(message.birth, message.incarnation),
                    fill=True,
                )
        return known

    def _note_answer(self, now: int) -> None:
        self.answered_at, self.answered_since_reset = now, True

    def _accept_indirect_answer(self, message: Message, probe: PendingProbe) -> None:
        member = self.table.get(message.target)
        if member is not None and member.entry.birth == message.proof[0]:
            member.last_heard = max(member.last_heard, probe.sent_at)
            member.answered_probe_at = probe.sent_at

    def _challenge_unverified(self, now: int, message: Message, address: Address) -> None:
        """Answer a sender that has not proved to be at work now with what is known of its name, and probe it.
        Nothing that it says counts."""
        self._count_drop("unverified")
        if message.kind in (Kind.PING, Kind.SYNC, Kind.PROBE_FOR) and message.ask or message.echo:
            known = self.table.get(message.name)
            entries = [self.me]
            if known is not None and rank(known.entry) > (message.incarnation, message.birth, State.ALIVE):
                entries.append(known.entry)
            token = self._new_token(PendingProbe(message.name, now, now + 4 * self.options.period))
            self._send(now, ANSWER, address, Kind.ACK, ask=token, echo=message.ask, entries=entries)

    def _receive_own_name(self, now: int, message: Message, address: Address) -> None:
        if message.birth == self.me.birth:
            self.bounds.own = address  # this process's own address among the peers
            return
        probe = self.pending.pop(message.echo, None) if message.echo else None
        if probe is not None and probe.name in ("", self.me.name):
            if self.twin_reports.get(message.birth, 0) < TWIN_REPORTS:
                self._report_twin(now, message.birth)  # it answers, so it is no earlier run of this process
        elif message.ask:
            token = self._new_token(PendingProbe(self.me.name, now, now + 4 * self.options.period))
            self._send(now, ANSWER, address, Kind.ACK, ask=token, echo=message.ask, entries=[self.me])

    def _respond(self, now: int, message: Message, address: Address, known: Member) -> None:
        # Tells a sender that is not believed alive of that, so that it can refute it.
        entries = [known.entry] if known.state is not State.ALIVE else []
        if message.kind is Kind.PROBE_FOR:
            target = self.table.get(message.target)
            if target is not None:
                self._send_probe(
                    now, RELAY, target.address, message.target, relay=(message.name, message.ask)
                )
        elif message.ask:
            self._send(now, ANSWER, address, Kind.ACK, echo=message.ask, entries=entries, fill=True)
        elif entries:
            self._send(now, RELAY, address, Kind.NEWS, entries=entries)
        if message.sums:
            self._answer_sums(now, message, address)

    # ---- anti-entropy ----

    def _compare_digests(self, now: int, message: Message, address: Address, answers: bool) -> None:
        """`answers`: the message answers a probe of this process, so it has not been queued for long."""
        if message.digest == self.table.digest() ^ entry_digest(self.me):
            self.matching.add(message.name)
            self.beliefs_confirmed = (
                self.beliefs_confirmed or answers and bool(message.flags & FLAG_HOLDS_LEASE)
            )
            return
        self.matching.clear()
        if now - self.synced_at > self.options.period and message.kind is not Kind.SYNC:
            self.synced_at = now
            self._send(now, GOSSIP, address, Kind.SYNC, sums=self._bucket_sums())

    def _bucket_sums(self) -> tuple[int, ...]:
        """The sums of the table with this process itself in it, as the others have them."""
        sums = list(self.table.short_sums())
        sums[bucket(self.me.name)] ^= entry_digest(self.me) & 0xFFFFFFFF
        return tuple(sums)

    def _answer_sums(self, now: int, message: Message, address: Address) -> None:
        """Send the entries of differing buckets, in SYNC_DATAGRAMS datagrams at most; the rest next time."""
        own_sums = self._bucket_sums()
        differing = [n for n in range(BUCKETS) if own_sums[n] != message.sums[n]]
        self.rng.shuffle(differing)
        entries = [e for n in differing for e in self.table.in_bucket(n)]
        if bucket(self.me.name) in differing:
            entries.append(self.me)
        for _ in range(SYNC_DATAGRAMS):
            batch, space = list[Entry](), entry_space(self.me.name)
            while entries and (space := space - len(pack_entry(entries[-1]))) >= 0:
                batch.append(entries.pop())
            if not batch or not self._send(now, GOSSIP, address, Kind.NEWS, entries=batch, flags=FLAG_BULK):
                break
        if not message.flags & FLAG_REPLY:
            self._send(now, GOSSIP, address, Kind.SYNC, sums=own_sums, flags=FLAG_REPLY)

    # ---- events and figures ----

    def _emit_changes(self, now: int) -> None:
        """Update the bounds and the settled flag; emit an event for each that has changed."""
        self.bounds.quorum_delay = int(LEASE_AFTER * self.suspicion_timeout())
        alone = self.bounds.places(self.table) == 1  # no other can be at work, so no answer is needed
        in_contact = not self.yielded and (alone or self._answered_recently(now))
        standing = self.bounds.evaluate(now, self.table, in_contact, self._count_alive(now))
        if (standing.at_least, standing.at_most, standing.holds_lease) != (
            self.standing.at_least,
            self.standing.at_most,
            self.standing.holds_lease,
        ):
            self.events.append(Event("bounds", at_least=standing.at_least, at_most=standing.at_most))
        self.standing = standing
        settled = self._is_settled(now)
        if settled != self.settled:
            self.settled, self.settled_at = settled, now
            self.events.append(
                Event(
                    "settled" if settled else "unsettled",
                    at_least=standing.at_least,
                    at_most=standing.at_most,
                )
            )

    def _count_alive(self, now: int) -> int:
        """How many others are known to be alive. What was believed before a stall or a loss of contact counts
        again once a lease holder has the same table; until then, only those who have answered since.
        """
        if not self.answered_since_reset or self._isolated(now):
            return 0
        if self.beliefs_confirmed:
            return self.table.alive
        since = max(self.contact_reset_at, self.isolated_at)
        return sum(m.state is State.ALIVE and m.answered_probe_at >= since for m in self.table)

    def _is_settled(self, now: int) -> bool:
        if self.yielded or now - self.changed_at < SETTLED_AFTER * self.options.period:
            return False
        if self._isolated(now):
            return True  # it reaches nobody, so nothing can change
        if not self.answered_since_reset or not self._answered_recently(now):
            return False
        return len(self.matching) >= min(SETTLED_MATCHES, self.table.alive) and not self.table.suspects

    def state_of(self, now: int, member: Member) -> State:
        """The state of a member to report: unreachable while this process is cut off from all."""
        return State.UNREACHABLE if member.state < State.UNREACHABLE and self._isolated(now) else member.state

    def digest(self, now: int) -> str:
        """The digest of the view, equal for all members that agree."""
        own = self.me.birth if self._isolated(now) or self.yielded else 0  # then no other has this view
        return f"{self.table.digest() ^ entry_digest(self.me) ^ own:016x}"

    def summary(self, now: int) -> dict[str, Any]:
        """The view for the console: seconds, counts, hexadecimal digests."""

        def row(entry: Entry, state: State, since: int) -> dict[str, Any]:
            return {
                "name": entry.name,
                "number": entry.number if entry.number != UNNUMBERED else -1,
                "incarnation": entry.incarnation,
                "state": state.name.lower(),
                "settings": f"{entry.settings:08x}",
                "zone": entry.zone,
                "program": f"{entry.program_version >> 8}.{entry.program_version & 255}",
                "since_s": round(max(0, now - since) / 1e9, 3),
            }

        rows = [row(self.me, self.me.state, self.bounds.started_at)]
        rows += [row(m.entry, self.state_of(now, m), m.since) for m in self.table]
        rows.sort(key=lambda r: str(r["name"]))
        return {
            "self": self.me.name,
            "incarnation": self.me.incarnation,
            "settled": self.settled,
            "since_s": round((now - self.settled_at) / 1e9, 3),
            "at_least": self.standing.at_least,
            "at_most": self.standing.at_most,
            "holds_lease": self.standing.holds_lease,
            "lease_s": self.options.lease / 1e9,
            "yielded": self.yielded,
            "twin": self.yielded or any(n >= TWIN_REPORTS for n in self.twin_reports.values()),
            "digest": self.digest(now),
            "periods": self.periods,
            "woken": self.stall_count,
            "woken_at": self.last_stall_period,
            "members": rows,
            "sent": {"datagrams": self.budget.sent[0], "bytes": self.budget.sent[1]},
            "dropped": dict(sorted(self.dropped.items())),
        }

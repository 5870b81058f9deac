"""The membership table: the state believed of each member, the precedence of two entries for the same member,
and a digest that is equal wherever the tables are equal.

Of two entries the higher incarnation wins, then the higher birth, then the later state. The upper 48 bits
of an incarnation are the generation of the process: the Unix milliseconds of its start, or one more than
any generation of its name that it has heard of, whichever is higher. The lower 16 bits are a counter that
the process raises to refute what is said of it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from dykeshift.view.wire import BUCKETS, Entry, State

Address = tuple[str, int]

REFUTATION_BITS = 16  # low bits of an incarnation that count the refutations of a process
WINDOW = 128  # size of the anti-replay window per sender, in datagrams: several seconds of its budget
MAX_MEMBERS = 4096  # members kept in the table; unknown names beyond that are dropped


def generation(incarnation: int) -> int:
    """The generation of the process, which each start of it raises."""
    return incarnation >> REFUTATION_BITS


def bucket(name: str) -> int:
    """The bucket of a member, for the comparison of tables by the sums of their buckets."""
    return hashlib.blake2s(name.encode()).digest()[0] % BUCKETS


def entry_digest(entry: Entry) -> int:
    """The digest of one entry; 0 for the dead and those who left, as each process forgets these at its own
    time."""
    if entry.state >= State.DEAD:
        return 0
    text = f"{entry.name}\0{entry.incarnation}\0{entry.birth}\0{int(entry.state)}".encode()
    return int.from_bytes(hashlib.blake2s(text, digest_size=8).digest(), "big")


def rank(entry: Entry) -> tuple[int, int, int]:
    """Sort key by which the higher of two entries for a member takes precedence."""
    return entry.incarnation, entry.birth, entry.state


@dataclass(slots=True, eq=False)
class Member:
    """What this process knows of another balancer. Times in nanoseconds of this process's own clock."""

    entry: Entry
    since: int  # when its state last changed
    bucket: int
    digest: int  # its part of the digest of the table
    last_heard: int = 0  # the latest time at which it was provably at work
    # When the last probe that it answered was sent; unlike an answer, other datagrams may be old.
    answered_probe_at: int = 0
    address: Address | None = None
    verified_birth: int = 0  # the birth that has answered a probe of this process; 0: none has
    newest_seq: int = -1  # the highest sequence number accepted from that generation
    seen: int = 0  # bit n: whether the sequence number newest_seq - n was accepted
    window_generation: int = 0
    failed_periods: int = 0  # periods in a row in which it did not answer
    suspect_until: int = 0

    @property
    def state(self) -> State:
        """The state believed of it."""
        return self.entry.state

    def accept(self, incarnation: int, seq: int) -> bool:
        """Whether a datagram is new, and record it as seen: replayed ones are not new."""
        if generation(incarnation) != self.window_generation:
            if generation(incarnation) < self.window_generation:
                return False
            self.window_generation, self.newest_seq, self.seen = generation(incarnation), -1, 0
        ahead = seq - self.newest_seq
        if ahead > 0:
            self.seen = (self.seen << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.newest_seq = seq
            return True
        if -ahead >= WINDOW or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True

    def verify(self, birth: int, incarnation: int, seq: int) -> None:
        """Record that it answered a probe just now: whatever it sent before that counts as replayed."""
        if self.verified_birth != birth:
            self.verified_birth, self.window_generation = birth, generation(incarnation)
            self.newest_seq, self.seen = seq, (1 << WINDOW) - 1


@dataclass(slots=True)
class Table:
    """The members by name, with the counts and bucket sums (XOR of the members' digests) kept up to date."""

    members: dict[str, Member] = field(default_factory=dict)
    sums: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    alive: int = 0  # members in that state
    suspects: int = 0
    version: int = 0  # raised by each change of a state or an address

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def get(self, name: str) -> Member | None:
        """The member of this name, if there is one."""
        return self.members.get(name)

    def set_address(self, member: Member, address: Address | None) -> None:
        """Change the address of a member."""
        if member.address != address:
            member.address = address
            self.version += 1

    def _count(self, state: State, by: int) -> None:
        self.version += 1
        self.alive += by * (state is State.ALIVE)
        self.suspects += by * (state is State.SUSPECT)

    def digest(self) -> int:
        """XOR of the bucket sums."""
        total = 0
        for value in self.sums:
            total ^= value
        return total

    def short_sums(self) -> tuple[int, ...]:
        """The low 32 bits of each bucket sum, as they are sent."""
        return tuple(value & 0xFFFFFFFF for value in self.sums)

    def put(self, entry: Entry, now: int) -> Member | None:
        """Store an entry, without regard to precedence. None: it is unknown and the table is full."""
        known = self.members.get(entry.name)
        new = entry_digest(entry)
        if known is None:
            if len(self.members) >= MAX_MEMBERS:
                return None
            known = self.members[entry.name] = Member(entry, now, bucket(entry.name), 0)
            self._count(entry.state, 1)
        elif known.entry.state != entry.state:
            known.since = now
            self._count(known.entry.state, -1)
            self._count(entry.state, 1)
        self.sums[known.bucket] ^= known.digest ^ new
        known.entry, known.digest = entry, new
        return known

    def set_state(self, member: Member, state: State, now: int) -> Entry:
        """Change the state of a member at the same incarnation."""
        entry = replace(member.entry, state=state)
        self.put(entry, now)
        return entry

    def remove(self, member: Member) -> None:
        """Forget a member."""
        del self.members[member.entry.name]
        self._count(member.entry.state, -1)
        self.sums[member.bucket] ^= member.digest

    def in_bucket(self, number: int) -> list[Entry]:
        """The entries of all members of a bucket."""
        return [m.entry for m in self if m.bucket == number]

"""Model checking of the agreement's core: every order of elections, deliveries, losses, changes and crashes
of three
voters within stated bounds, each state looked at once.

Time stands still: who stands for election, who is heard and who crashes is chosen, not timed, and no leader
is
trusted for having been heard lately. Rounds and tokens are left out of what makes two states the same.
"""

from __future__ import annotations

import pickle
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dykeshift.agree.core import Agree
from dykeshift.agree.keep import pack, replay
from dykeshift.agree.log import Base, Entry, Sort
from dykeshift.agree.state import Options
from dykeshift.agree.voting import Role
from dykeshift.agree.wire import Kind, decode, encode
from dykeshift.view.wire import Seal

NOW = 1_000_000_000
SEAL = Seal("explore")
PLACES = {n: ("10.0.0.1", n) for n in range(3)}
EPOCH = (1, 1, 1)
WANTED = (Kind.VOTE, Kind.VOTED, Kind.APPEND, Kind.APPENDED)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far the search goes."""

    terms: int = 2
    changes: int = 1
    crashes: int = 1
    flying: int = 3  # datagrams under way; what is sent beyond them is lost
    states: int = 20_000
    disk: bool = True  # a process that crashes comes back with what it kept, else as another


@dataclass
class State:
    """One state of all three processes and of the datagrams between them."""

    cores: list[Agree]
    disks: list[list[bytes]]
    flying: list[tuple[int, int, bytes]] = field(default_factory=list)  # from, to, datagram
    committed: dict[int, int] = field(default_factory=dict)  # index: chain
    leaders: dict[int, int] = field(default_factory=dict)  # term: birth
    changes: int = 0
    crashes: int = 0
    depth: int = 0


@dataclass
class Result:
    """What a search found; `path` leads to what is broken."""

    states: int = 0
    depth: int = 0
    whole: bool = True  # all states within the bounds were seen
    broken: str = ""
    path: list[str] = field(default_factory=list)
    reached: set[str] = field(default_factory=set)


class _Still(Random):
    """Draws nothing: what is drawn plays no part here, births are given."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, k: int) -> int:
        return 7

    def __reduce__(self) -> Any:
        return _still, ()


def _still() -> _Still:
    return STILL


OPTIONS = Options(voters=3, datagrams=1e12, size=1e15)
STILL = _Still()


def _core(number: int, birth: int, disk: bool) -> Agree:
    core = Agree(
        Options(voters=3, datagrams=1e12, size=1e15), SEAL, number, PLACES, Random(number), disk=disk
    )
    core.shared.birth = birth
    core.shared.budget.tokens = [1e12, 1e15]
    return core


def begin(bounds: Bounds) -> State:
    """The first state: three followers in one epoch."""
    cores = [_core(n, n + 1, bounds.disk) for n in range(3)]
    base = Base(wanted=3, now=tuple((n, n + 1) for n in range(3)))
    state = State(cores, [[], [], []])
    for core in cores:
        core._enter(NOW, EPOCH, base)
        core.voter._become(Role.FOLLOWER)
    _settle(state, bounds)
    return state


def _settle(state: State, bounds: Bounds) -> None:
    """Keep, then send, what the cores have to say; nobody trusts a leader for having heard it."""
    for number, core in enumerate(state.cores):
        while records := core.take_records():
            state.disks[number] += [pack(record) for record in records]
            core.shared.out += core.on_kept(NOW, core.shared.written)
        out, core.shared.out = core.shared.out, []
        core.take_events()
        core.voter.heard = -1
        for data, address in out:
            message = decode(data, SEAL)
            one = (number, address[1], _plain(data))
            if message.kind in WANTED and len(state.flying) < bounds.flying and one not in state.flying:
                state.flying.append(one)


def _plain(data: bytes) -> bytes:
    """A datagram without its round: two that say the same are the same."""
    message = decode(data, SEAL)
    message.token = 0
    return encode(message, SEAL)


def _key(state: State) -> tuple[Any, ...]:
    cores = []
    for core in state.cores:
        voter, log = core.voter, core.shared.log
        lead = voter.lead
        progress = (
            ()
            if lead is None
            else tuple(sorted((s, p.next, p.match, min(p.flight, 2)) for s, p in lead.progress.items()))
        )
        cores.append(
            (
                core.shared.birth,
                core.shared.epoch,
                voter.role,
                voter.term,
                voter.vote,
                core.shared.commit,
                tuple(log.chains),
                progress,
                tuple(sorted(voter.votes)) if voter.role is Role.CANDIDATE else (),
            )
        )
    return (
        tuple(cores),
        tuple(sorted(state.flying)),
        state.changes,
        state.crashes,
        tuple(sorted(state.committed.items())),
    )


def _choices(state: State, bounds: Bounds) -> list[tuple[str, int]]:
    found: list[tuple[str, int]] = [("deliver", n) for n in range(len(state.flying))]
    found += [("lose", n) for n in range(len(state.flying))]
    for number, core in enumerate(state.cores):
        voter = core.voter
        if voter.lead is None and voter.seated() and voter.term < bounds.terms:
            found.append(("stand", number))
        if voter.lead is not None:
            found.append(("speak", number))
            if state.changes < bounds.changes:
                found.append(("change", number))
        if state.crashes < bounds.crashes:
            found.append(("crash", number))
    return found


def _take(before: State, choice: tuple[str, int], bounds: Bounds) -> State:
    kind, number = choice
    state: State = pickle.loads(pickle.dumps(before, pickle.HIGHEST_PROTOCOL))
    state.depth += 1
    if kind in ("deliver", "lose"):
        source, to, data = state.flying.pop(number)
        if kind == "deliver":
            core = state.cores[to]
            core.next_at = NOW
            core.shared.out += core.on_datagram(NOW, data, PLACES[source])
    elif kind == "stand":
        state.cores[number].voter.stand(NOW)
    elif kind == "speak":
        state.cores[number].voter.broadcast(NOW, True)
    elif kind == "change":
        state.changes += 1
        voter = state.cores[number].voter
        voter.propose(NOW, Entry(voter.term, Sort.CHANGE, 100 + state.changes, b"x"))
    else:
        _crash(state, number, bounds)
    _settle(state, bounds)
    return state


def _crash(state: State, number: int, bounds: Bounds) -> None:
    state.crashes += 1
    kept = replay(state.disks[number]) if bounds.disk else None
    core = _core(number, kept.birth if kept is not None else 10 + number + 10 * state.crashes, bounds.disk)
    if kept is not None:
        core.restore(kept)
        core.voter._become(Role.FOLLOWER)
    state.cores[number] = core


def _check(state: State) -> str:
    for core in state.cores:
        voter, log, commit = core.voter, core.shared.log, core.shared.commit
        if voter.role is Role.LEADER:
            if state.leaders.setdefault(voter.term, core.shared.birth) != core.shared.birth:
                return f"two lead in term {voter.term}"
            if (
                voter.lead is not None
                and voter.lead.first == log.last
                and any(
                    log.chain_at(index) != chain
                    for index, chain in state.committed.items()
                    if index < voter.lead.first
                )
            ):
                return f"the leader of term {voter.term} lacks what is committed"
        for index in range(1, commit + 1):
            if state.committed.setdefault(index, log.chain_at(index) or 0) != log.chain_at(index):
                return f"two entries are committed at {index}"
    return ""


def explore(bounds: Bounds) -> Result:
    """Breadth first, until all is seen, `states` are, or something is broken."""
    first, result = begin(bounds), Result()
    queue: deque[tuple[State, tuple[Any, ...]]] = deque([(first, ())])
    seen = {_key(first)}
    while queue:
        state, path = queue.popleft()
        result.states, result.depth = result.states + 1, state.depth
        if result.states >= bounds.states:
            result.whole = False
            return result
        for choice in _choices(state, bounds):
            after = _take(state, choice, bounds)
            result.broken = _check(after)
            taken = (path, choice)
            if result.broken:
                result.path = _unfold(taken)
                return result
            result.reached |= {f"{c.voter.role.name.lower()} {min(c.shared.commit, 3)}" for c in after.cores}
            key = _key(after)
            if key not in seen:
                seen.add(key)
                queue.append((after, taken))
    return result


def _unfold(path: tuple[Any, ...]) -> list[str]:
    found = []
    while path:
        path, (kind, number) = path
        found.append(f"{kind} {number}")
    return found[::-1]

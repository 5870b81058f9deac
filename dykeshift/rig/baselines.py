"""Two plain ways to know who is there, to compare the view with on the same seeds: all-to-all heartbeats and
SWIM as first published (one probe a period, three helpers, news by piggyback, suspicion; no more)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from dykeshift.rig.virtual import Spot
from dykeshift.view.core import Event, Outgoing
from dykeshift.view.table import Address

HEAD = 30 + 8  # bytes round a datagram's content, as the view's has: the seal and who sends


@dataclass
class Plain:
    """What both have: a period, the peers, and whom they hold for alive."""

    spot: Spot
    rng: Random
    next_at: int = 0
    alive: set[int] = field(default_factory=set)
    out: Outgoing = field(default_factory=list)
    removed: int = 0  # times that somebody was held for lost

    def __post_init__(self) -> None:
        world = self.spot.world
        self.period, self.peers = world.options.period, world.peers
        self.number = {address: n for n, address in enumerate(self.peers)}

    def start(self, now: int) -> Outgoing:
        """Draw the first tick."""
        self.next_at = now + int(self.rng.random() * self.period)
        return []

    def take_events(self) -> list[Event]:
        """No events: a baseline only counts."""
        return []

    def _send(self, to: int, size: int, *words: int) -> None:
        text = b",".join(str(word).encode() for word in words)
        self.out.append((text.ljust(max(len(text), HEAD + size)), self.peers[to]))

    def _done(self) -> Outgoing:
        out, self.out = self.out, []
        return out


class Heartbeats(Plain):
    """Everybody tells everybody each period; silence for three periods is a loss."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.last: dict[int, int] = {}

    def on_timer(self, now: int) -> Outgoing:
        """Send a heartbeat to all and drop those that were silent for three periods."""
        if now < self.next_at:
            return []
        self.next_at = now + self.period
        for n in range(len(self.peers)):
            if n != self.spot.number:
                self._send(n, 4, self.spot.number)
        alive = {n for n, at in self.last.items() if now - at <= 3 * self.period}
        self.removed += len(self.alive - alive)
        self.alive = alive
        return self._done()

    def on_datagram(self, now: int, data: bytes, address: Address) -> Outgoing:
        """Take its sender for alive."""
        number = self.number[address]
        self.last[number] = now
        self.alive.add(number)
        return []


PING, ACK, ASK, VIA = range(4)


class Swim(Plain):
    """States: (incarnation, 0 alive, 1 suspect, 2 lost) by number; the greater word wins."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.known: dict[int, tuple[int, int]] = {}
        self.since: dict[int, int] = {}
        self.news: dict[int, int] = {}
        self.incarnation = self.spot.lives
        self.target: int | None = None
        self.answered, self.phase = True, 0
        self.order: list[int] = []

    def on_timer(self, now: int) -> Outgoing:
        """Half a period to probe one member, half to ask helpers where it has not answered."""
        if now < self.next_at:
            return []
        self.next_at = now + self.period // 2
        self.phase ^= 1
        if self.phase:
            self._end(now)
            self._begin()
        elif self.target is not None and not self.answered:
            able = [n for n, (_, state) in self.known.items() if state == 0 and n != self.target]
            for helper in self.rng.sample(able, min(3, len(able))):
                self._tell(helper, ASK, self.target)
        return self._done()

    def _end(self, now: int) -> None:
        if self.target is not None and not self.answered:
            incarnation, state = self.known.get(self.target, (0, 2))
            if state == 0:
                self._learn(now, self.target, (incarnation, 1))
        wait = 6 * max(1.0, math.log10(len(self.peers))) * self.period
        for number, (incarnation, state) in list(self.known.items()):
            if state == 1 and now - self.since[number] > wait:
                self._learn(now, number, (incarnation, 2))

    def _begin(self) -> None:
        if not self.order:
            self.order = [n for n in range(len(self.peers)) if n != self.spot.number]
            self.rng.shuffle(self.order)
        self.target, self.answered = self.order.pop(), False
        self._tell(self.target, PING, 0)

    def _tell(self, to: int, kind: int, about: int) -> None:
        most = 3 * len(self.peers).bit_length()
        chosen = sorted(self.news, key=lambda n: self.news[n])[:7]
        words = [kind, about, self.incarnation]
        for number in chosen:
            incarnation, state = self.known.get(number, (self.incarnation, 0))
            words += [number, incarnation, state]
            self.news[number] += 1
            if self.news[number] >= most:
                del self.news[number]
        self._send(to, 28 * len(chosen), *words)

    def _learn(self, now: int, number: int, word: tuple[int, int]) -> None:
        if number == self.spot.number:
            if word[1] and word[0] >= self.incarnation:
                self.incarnation = word[0] + 1
                self.news[number] = 0
            return
        if word > self.known.get(number, (-1, 0)):
            if word[1] == 2 and self.known.get(number, (0, 2))[1] < 2:
                self.removed += 1
            self.known[number], self.since[number], self.news[number] = word, now, 0
            (self.alive.discard if word[1] == 2 else self.alive.add)(number)

    def on_datagram(self, now: int, data: bytes, address: Address) -> Outgoing:
        """Learn the news, and answer a probe or pass it on."""
        kind, about, incarnation, *rest = (int(word) for word in data.split(b","))
        sender = self.number[address]
        self._learn(now, sender, (incarnation, 0))
        for n in range(0, len(rest), 3):
            self._learn(now, rest[n], (rest[n + 1], rest[n + 2]))
        if kind == PING:
            self._tell(sender, ACK, 0)
        elif kind == ASK:
            self._tell(about, PING, sender)
        elif kind == ACK and sender == self.target:
            self.answered = True
        return self._done()


def agreed(spots: list[Spot]) -> bool:
    """Every one of them holds just the others for alive."""
    numbers = {s.number for s in spots}
    return all(s.view.alive - {s.number} == numbers - {s.number} for s in spots)

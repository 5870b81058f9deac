"""The queue of membership updates to gossip, least often sent first, and the rate limit of all sending."""

from __future__ import annotations

from dykeshift.view.wire import Entry, pack_entry

# Times log2 of the members: how often a process retransmits an update. Anti-entropy repairs what that misses.
RETRANSMIT_FACTOR = 1


class UpdateQueue:
    """Updates by how often they were sent: one dict for each count, so that the next is found at once."""

    def __init__(self) -> None:
        self.levels: list[dict[str, bytes]] = []
        self.level_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.level_of)

    def add(self, entry: Entry) -> None:
        """Queue an update; it replaces an older one for the same member."""
        self._remove(entry.name)
        if not self.levels:
            self.levels.append({})
        self.levels[0][entry.name] = pack_entry(entry)
        self.level_of[entry.name] = 0

    def _remove(self, name: str) -> None:
        level = self.level_of.pop(name, None)
        if level is not None:
            del self.levels[level][name]

    def take(self, space: int, members: int) -> list[bytes]:
        """The packed updates that fit into `space` bytes, counted as sent."""
        chosen, max_sends = list[tuple[str, int, bytes]](), RETRANSMIT_FACTOR * max(1, members).bit_length()
        for number, level in enumerate(self.levels):
            for name, packed in level.items():
                if len(packed) > space:
                    break
                chosen.append((name, number, packed))
                space -= len(packed)
            else:
                continue
            break
        for name, number, packed in chosen:
            del self.levels[number][name]
            if number + 1 >= max_sends:
                del self.level_of[name]
                continue
            if number + 1 == len(self.levels):
                self.levels.append({})
            self.levels[number + 1][name] = packed
            self.level_of[name] = number + 1
        return [packed for _, _, packed in chosen]


class Budget:
    """Token buckets for bytes and datagrams; lower priorities leave a reserve for the higher ones."""

    def __init__(self, datagrams: float, size: float, reserve: dict[int, float]) -> None:
        """`datagrams`, `size` (bytes): per second. `reserve`: by priority, the fraction that it leaves."""
        self.rates = (datagrams, size)
        self.tokens = [datagrams, size]  # tokens; a burst may use those of one second
        self.reserve = reserve
        self.refilled_at = 0
        self.sent = [0, 0]

    def allows(self, now: int, priority: int, size: int) -> bool:
        """Whether a datagram of this size may be sent now."""
        passed = max(0, now - self.refilled_at) / 1e9
        self.refilled_at = max(self.refilled_at, now)
        for n, rate in enumerate(self.rates):
            self.tokens[n] = min(rate, self.tokens[n] + rate * passed)
        reserved = self.reserve[priority]
        return (
            self.tokens[0] >= 1 + reserved * self.rates[0]
            and self.tokens[1] >= size + reserved * self.rates[1]
        )

    def spend(self, size: int) -> None:
        """Record that a datagram of this size was sent."""
        for n, used in enumerate((1, size)):
            self.tokens[n] -= used
            self.sent[n] += used

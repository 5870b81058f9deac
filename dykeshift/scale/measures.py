"""What a run measures: spreads over members, by kind of member and by event."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dykeshift.scale.hosting import Counters


@dataclass(frozen=True, slots=True)
class Spread:
    """Median, 99th of a hundred and most of some values, and how many there are."""

    median: float
    p99: float
    most: float
    count: int

    @staticmethod
    def of(values: Iterable[float]) -> Spread | None:
        """None of none."""
        some = sorted(values)
        if not some:
            return None
        return Spread(
            round(some[len(some) // 2], 4),
            round(some[min(len(some) - 1, int(0.99 * len(some)))], 4),
            round(some[-1], 4),
            len(some),
        )


@dataclass(frozen=True, slots=True)
class Rates:
    """What the members of one kind cost during an event, each in a second of the run's clock."""

    cpu_ms_s: Spread | None
    datagrams_s: Spread | None
    bytes_s: Spread | None
    received_bytes_s: Spread | None


@dataclass(slots=True)
class Measured:
    """One event of a run."""

    event: str
    seconds: float  # that were looked at
    rates: dict[str, Rates] = field(default_factory=dict)  # by kind of member
    settled_s: Spread | None = None  # until each member had settled, of those that did
    all_settled_s: float | None = None  # until the last had; None: some had not at the end
    left_behind: list[int] = field(default_factory=list)  # who had not
    in_force_s: Spread | None = None  # of changes: from asked for until in force, over changes and members
    everywhere_s: Spread | None = None  # of changes: until in force at the last member, over changes
    waited_s: Spread | None = None  # of changes: from asked for until committed
    changes: int = 0  # asked for
    committed: int = 0
    restarted: int = 0
    to_restart: int = 0  # that there was no time for all of these is said by the difference
    lag_s: Spread | None = None  # that the hosts' loops were late; on the real clock


def rates(
    before: Mapping[int, Counters], after: Mapping[int, Counters], kinds: Mapping[int, str], seconds: float
) -> dict[str, Rates]:
    """By kind of member, between two readings `seconds` apart."""
    found = dict[str, Rates]()
    for kind in sorted(set(kinds.values())):
        numbers = [n for n in after if kinds.get(n) == kind and n in before]
        if not numbers:
            continue

        def spread(name: str, scale: float, some: list[int] = numbers) -> Spread | None:
            if not any(getattr(after[n], name) for n in some):
                return None  # nobody counts it: of a whole daemon, what it receives
            differences = (getattr(after[n], name) - getattr(before[n], name) for n in some)
            return Spread.of(difference * scale / seconds for difference in differences)

        found[kind] = Rates(
            spread("cpu_ns", 1e-6),
            spread("datagrams", 1.0),
            spread("bytes", 1.0),
            spread("received_bytes", 1.0),
        )
    return found

"""What came back: answers by kind, and times in HdrHistograms that add up over processes.

A refusal is counted by what it is worth to its client: `at once` within a quarter of the request's time,
with advice when to return or without, or `late`, when most of the time is gone.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram
from msgspec import Struct

LOWEST, HIGHEST, DIGITS = 1, 3_600_000_000, 3  # microseconds
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99)
AT_ONCE = 0.25
HOWS = ("served", "refused", "failed", "broken", "unanswered")


class Answer(Struct, frozen=True):
    """How one try ended: served, refused, failed, broken (the connection), unanswered (in its time)."""

    how: str
    advice_s: float | None = None


def histogram() -> HdrHistogram:
    """An empty histogram of times, in microseconds."""
    return HdrHistogram(LOWEST, HIGHEST, DIGITS)


class Tally:
    """Counts of one process, or of several added up."""

    def __init__(self, kinds: tuple[str, ...]) -> None:
        self.kinds = kinds
        self.ends: Counter[str] = Counter()  # errands, by how their last try ended
        self.by_kind: dict[str, Counter[str]] = {name: Counter() for name in kinds}
        self.tries = 0
        self.refusals: Counter[str] = Counter()
        self.times = {name: histogram() for name in kinds}  # of served errands, from when they were due
        self.own = histogram()  # how late this machine itself began them

    def began(self, late_s: float) -> None:
        """An errand was begun `late_s` seconds after it was due."""
        self.own.record_value(_micro(late_s))

    def tried(self, answer: Answer, part: float) -> None:
        """One try ended after this part of its time."""
        self.tries += 1
        if answer.how == "refused":
            when = "at once" if part <= AT_ONCE else "late"
            advised = "with" if answer.advice_s is not None else "without"
            self.refusals[f"{when}, {advised} advice"] += 1

    def ended(self, kind: int, how: str, took_s: float) -> None:
        """An errand ended, `took_s` seconds after it was due."""
        name = self.kinds[kind]
        self.ends[how] += 1
        self.by_kind[name][how] += 1
        if how == "served":
            self.times[name].record_value(_micro(took_s))

    # ---- between processes ----

    def pack(self) -> dict[str, Any]:
        """The counts as plain data, to be sent to another process."""
        return {
            "ends": dict(self.ends),
            "by_kind": {k: dict(c) for k, c in self.by_kind.items()},
            "tries": self.tries,
            "refusals": dict(self.refusals),
            "own": self.own.encode(),
            "times": {name: h.encode() for name, h in self.times.items()},
        }

    def add(self, packed: dict[str, Any]) -> None:
        """Add what `pack` gave in another process."""
        self.ends.update(packed["ends"])
        self.refusals.update(packed["refusals"])
        self.tries += packed["tries"]
        self.own.decode_and_add(packed["own"])
        for name in self.kinds:
            self.by_kind[name].update(packed["by_kind"][name])
            self.times[name].decode_and_add(packed["times"][name])

    # ---- the result ----

    def figures(self, seconds: float) -> dict[str, Any]:
        """All of it as plain data; times in milliseconds."""
        whole = histogram()
        for one in self.times.values():
            whole.add(one)
        total = sum(self.ends.values())
        return {
            "seconds": round(seconds, 3),
            "errands": total,
            "tries": self.tries,
            "rate": round(total / max(seconds, 1e-9), 3),
            "answers": {h: self.ends[h] for h in HOWS},
            "served": self.ends["served"] / max(1, total),
            "refusals": dict(self.refusals),
            "times_ms": percentiles(whole),
            "own_lateness_ms": percentiles(self.own),
            "classes": {
                name: {
                    "answers": {h: self.by_kind[name][h] for h in HOWS},
                    "times_ms": percentiles(self.times[name]),
                }
                for name in self.kinds
            },
            "histogram": whole.encode().decode(),
        }


def percentiles(times: HdrHistogram) -> dict[str, float]:
    """Milliseconds; empty where nothing was recorded."""
    if not times.get_total_count():
        return {}
    values = {f"{p:g}": times.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {**values, "max": times.get_max_value() / 1000}


def _micro(seconds: float) -> int:
    return min(max(int(seconds * 1e6), LOWEST), HIGHEST)

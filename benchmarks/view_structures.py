"""The view's data structures beside plain ones, in one run: the queue of news by fewest sends, the order
of probes, the digest of the table. A line of JSON each: microseconds an operation, ratio.

    python -m benchmarks.view_structures --members 200,4000
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Callable
from random import Random

from dykeshift.view.news import UpdateQueue
from dykeshift.view.table import Table, entry_digest
from dykeshift.view.wire import Entry, State, pack_entry


def entries(count: int) -> list[Entry]:
    """Made-up entries of the table."""
    return [Entry(f"n{n}", n << 16, n + 1, number=n, peer_count=count) for n in range(count)]


def timed(work: Callable[[], object], times: int) -> float:
    """Microseconds a call, the best of five."""
    best = float("inf")
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(times):
            work()
        best = min(best, (time.perf_counter() - began) / times)
    return best * 1e6


def queue(count: int) -> tuple[float, float]:
    """News waiting on all members; a datagram's worth is taken, and one word comes anew."""
    many, news = entries(count), UpdateQueue()
    for one in many:
        news.add(one)

    def levels() -> None:
        news.take(190, count)
        news.add(many[0])

    sends = {e.name: 0 for e in many}
    packed = {e.name: pack_entry(e) for e in many}

    def plain() -> None:
        chosen = sorted(sends, key=lambda name: sends[name])[:7]
        for name in chosen:
            sends[name] += 1
        sends[many[0].name] = 0
        packed[many[0].name] = pack_entry(many[0])

    return timed(levels, 200), timed(plain, 50)


def order(count: int) -> tuple[float, float]:
    """The next member to be asked: a shuffled round taken from its end, or a draw of the whole table."""
    rng, names, left = Random(1), [e.name for e in entries(count)], list[str]()

    def round_() -> None:
        if not left:
            left.extend(names)
            rng.shuffle(left)
        left.pop()

    last = dict.fromkeys(names, 0)

    def longest_ago() -> None:
        name = min(last, key=lambda n: last[n])
        last[name] = max(last.values()) + 1

    return timed(round_, 2 * count), timed(longest_ago, 50)


def digest(count: int) -> tuple[float, float]:
    """The digest after one change: sums kept as words come in, or a hash over the sorted table."""
    table = Table()
    for one in entries(count):
        table.put(one, 0)
    member = table.get("n1")
    assert member is not None

    def kept() -> None:
        table.set_state(member, State.SUSPECT if member.state is State.ALIVE else State.ALIVE, 0)
        table.digest()

    def anew() -> None:
        total = 0
        for one in sorted(table, key=lambda m: m.entry.name):
            total ^= entry_digest(one.entry)

    return timed(kept, 500), timed(anew, 10)


def main() -> int:
    """Print a JSON line for each structure and size. Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="200,4000")
    given = parser.parse_args()
    for count in map(int, given.members.split(",")):
        for work in (queue, order, digest):
            ours, plain = work(count)
            print(
                json.dumps(
                    {
                        "structure": work.__name__,
                        "members": count,
                        "us": round(ours, 2),
                        "plain_us": round(plain, 2),
                        "ratio": round(ours / plain, 4),
                    }
                )
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Calm clients beside a crowd: `python -m benchmarks.slow_clients KIND COUNT SECONDS MEMORY_MB SOCKETS`.

Prints what the calm requests heard, the 99th of their times and the peak of memory, files in $TMPDIR
included; the daemon is not ended over its limit here. A sixth argument is the number of restarts in the
middle of the crowd. KIND: one of `tests.crowds.clients.MIXES`.
"""

from __future__ import annotations

import sys

import uvloop

from tests.crowds.run import Crowd, play


def main(arguments: list[str]) -> None:
    """Play one crowd and print its line."""
    kind, count, seconds, memory_mb, sockets, *rest = arguments
    restarts = int(rest[0]) if rest else 0
    crowd = Crowd(kind, int(count), float(memory_mb), int(sockets), float(seconds), restarts)
    result = uvloop.run(play(crowd, kills=False))
    over = ", ".join(f"{seconds:.1f}" for seconds in result.over_limit_after)
    print(f"{kind} {count}, {memory_mb} MB, {sockets} descriptors: peak {result.peak_mb:.1f} MB", end="")
    print(f"{f' (over {over} s after a start)' if over else ''}, calm {dict(result.heard)}", end="")
    print(f", 99th {result.percentile_99_ms():.0f} ms, exits {list(result.exits)}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])

"""The agreement on the virtual clock, beside a plain primary with backups on the same network and budget.

    python -m benchmarks.agree [--members 12,40,200] [--loss 0,0.1,0.3] [--seeds 3] [--json]

For each size and loss: from a change's proposal until it is committed, and until all members have it (median
and
99th of all changes, seconds); how long nobody leads after the leader is killed, stands still or is cut off;
changes a second that one client gets through, with disks and without; bytes a second of a member in quiet.
The primary sends each change to all itself and again each beat until it is acknowledged: no majority, no
election; after it is killed nothing goes on, which is what its missing figures say.
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections.abc import Callable
from random import Random
from typing import Any

from dykeshift.agree.state import URGENT, Options, Shared
from dykeshift.agree.wire import Kind, decode
from dykeshift.rig.agreement import Agreement
from dykeshift.rig.linear import FOREVER
from dykeshift.rig.virtual import SECOND, Spot, World

CHANGES = 20


class Primary:
    """Number 0 tells all; the others say that they have it."""

    def __init__(self, spot: Spot, places: dict[int, Any], rng: Random) -> None:
        self.spot, self.version, self.next_at = spot, 0, 0
        self.has: dict[int, int] = {}
        self.shared = Shared(Options(), spot.world.seal, spot.number, places, rng, Any, False)  # type: ignore[arg-type]
        self.shared.epoch = (1, 1, 1)

    def start(self, now: int) -> Any:
        """Begin to send heartbeats."""
        self.next_at, self.shared.budget.refilled_at = now, now
        return self.on_timer(now)

    def on_timer(self, now: int) -> Any:
        """Tell the newest version once a beat."""
        if now >= self.next_at:
            self.next_at = now + self.shared.options.beat
            self.tell(now)
        return self.out()

    def tell(self, now: int) -> None:
        """Whoever lacks the latest, in an order drawn anew: the budget may not do for all."""
        late = [
            n for n in self.shared.places if self.spot.number == 0 and n and self.has.get(n, 0) < self.version
        ]
        self.shared.rng.shuffle(late)
        for number in late:
            self.shared.send(now, URGENT, number, Kind.READY, index=self.version)

    def on_datagram(self, now: int, data: bytes, address: Any) -> Any:
        """The primary notes what a backup has; a backup takes the version and answers."""
        message = decode(data, self.shared.seal)
        if self.spot.number == 0:
            self.has[message.sender[0]] = max(message.index, self.has.get(message.sender[0], 0))
        else:
            self.version = max(self.version, message.index)
            self.shared.send(now, URGENT, address, Kind.READY, index=self.version)
        return self.out()

    def out(self) -> Any:
        """The datagrams that wait to be sent."""
        out, self.shared.out = self.shared.out, []
        return out

    def take_events(self) -> list[Any]:
        """No events."""
        return []


def _some(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    ordered = sorted(values)
    return {
        "median": round(statistics.median(ordered), 3),
        "p99": round(ordered[int(0.99 * (len(ordered) - 1))], 3),
        "most": round(ordered[-1], 3),
        "of": len(ordered),
    }


def _most(world: Agreement) -> int:
    return max(s.view.core.proposals.version() for s in world.up())


def spread(members: int, loss: float, seed: int, disks: bool) -> dict[str, list[float]]:
    """Seconds until changes are committed and are everywhere, and bytes a second in quiet, on one seed."""
    world = Agreement(seed, members, Options(voters=5), tuple(range(members)) if disks else ())
    world.watch = world._collect  # the checks are the tests' business
    world.start_all()
    assert world.run(60 + members, world.led)
    world.run(10)
    before, at = world.bytes, world.now
    world.run(10)
    quiet = (world.bytes - before) / members / 10
    world.weather.loss = loss
    commits, everywhere, reached = [], [], 0
    for n in range(CHANGES):
        version = _most(world)
        begun = world.now
        done = world.propose(world.client.randrange(members), b"%d" % n, version, 20)
        if not world.run(20, lambda v=version: _most(world) > v):  # type: ignore[misc]
            continue
        commits.append((world.now - begun) / SECOND)
        if world.run(60, lambda v=version: all(s.view.core.proposals.version() > v for s in world.up())):  # type: ignore[misc]
            everywhere.append((world.now - begun) / SECOND)
            reached += 1
        assert done.end == FOREVER or done.ok or loss
        world.run(0.3)
    return {
        "commit": commits,
        "everywhere": everywhere,
        "bytes": [quiet],
        "missed": [CHANGES - reached],
        "span": [(world.now - at) / SECOND],
    }


def primary(members: int, loss: float, seed: int) -> dict[str, list[float]]:
    """Seconds until changes of the plain primary are everywhere, on one seed."""
    places = {}
    world = World(f"primary/{seed}", members, make=lambda spot, life: Primary(spot, places, Random(seed)))
    places.update({s.number: s.address for s in world.spots})
    world.start_all()
    world.run(2)
    world.weather.loss = loss
    everywhere = []
    for n in range(CHANGES):
        begun, first = world.now, world.spots[0]
        first.view.version = n + 1
        first.view.tell(first.clock())
        world._carry(first, first.view.out())
        if world.run(60, lambda v=n + 1: all(s.view.version >= v for s in world.spots)):  # type: ignore[misc]
            everywhere.append((world.now - begun) / SECOND)
        world.run(0.3)
    return {"everywhere": everywhere}


def without_leader(fault: str, seed: int, members: int = 12) -> float:
    """Seconds without a leader after `fault` (kill, stop or cut) has befallen it."""
    world = Agreement(seed, members, Options(voters=5))
    world.watch = world._collect
    world.start_all()
    assert world.run(60, world.led)
    world.run(3 + seed % 7 / 10)
    old = world.leader()
    assert old is not None
    begun = world.now
    if fault == "kill":
        world.kill(world.spots[old])
    elif fault == "stop":
        world.stop(world.spots[old])
    else:
        world.groups = [frozenset({old}), frozenset(range(members)) - {old}]
    assert world.run(60, lambda: world.leader() not in (None, old))
    return (world.now - begun) / SECOND


def rate(disks: bool, seed: int, seconds: float = 10.0) -> float:
    """One client at a member that does not lead, a change after the other."""
    world = Agreement(seed, 12, Options(voters=5), tuple(range(12)) if disks else ())
    world.watch = world._collect
    world.start_all()
    assert world.run(60, world.led)
    world.run(3)
    at = next(n for n in range(12) if n != world.leader())
    end, made = world.now + int(seconds * SECOND), 0
    while world.now < end:
        done = world.propose(at, b"change", world.core(at).proposals.version())
        world.run(5, lambda d=done: d.end != FOREVER)  # type: ignore[misc]
        made += done.ok
    return made / seconds


def main() -> None:
    """Print a line for each setting."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--members", default="12,40,200")
    parser.add_argument("--loss", default="0,0.1,0.3")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()

    def say(told: dict[str, Any]) -> None:
        print(json.dumps(told) if given.json else "  ".join(f"{k} {v}" for k, v in told.items()), flush=True)

    for members in map(int, given.members.split(",")):
        for loss in map(float, given.loss.split(",")):
            for name, disks in (("agree", False), ("agree, disks", True)):
                if disks and members > 40:
                    continue
                runs = [spread(members, loss, seed, disks) for seed in range(given.seeds)]
                _row(say, name, members, loss, runs)
            _row(say, "primary", members, loss, [primary(members, loss, seed) for seed in range(given.seeds)])
    for fault in ("kill", "stop", "cut"):
        say(
            {
                "without a leader after": fault,
                **_some([without_leader(fault, s) for s in range(10 * given.seeds)]),
            }
        )
    for disks in (False, True):
        say({"changes a second": [round(rate(disks, s), 1) for s in range(given.seeds)], "disks": disks})


def _row(
    say: Callable[[dict[str, Any]], None],
    name: str,
    members: int,
    loss: float,
    runs: list[dict[str, list[float]]],
) -> None:
    told: dict[str, Any] = {"way": name, "members": members, "loss": loss}
    for key in ("commit", "everywhere"):
        told[key] = _some([v for run in runs for v in run.get(key, [])])
    for key in ("bytes", "missed"):
        values = [v for run in runs for v in run.get(key, [])]
        if values:
            told[key] = round(sum(values) / len(values), 1)
    say(told)


if __name__ == "__main__":
    main()

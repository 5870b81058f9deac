"""Whole daemons beside the hollow members: processes under light load, with clients and senders as witnesses.

They are members of the same fleet, at the last numbers of the balancers. One more daemon runs without control
features under the same load: what the others take beyond it, in processor time and memory, is a whole
daemon's control cost, which a hollow member's is held against. While costs are read nobody asks the daemons
anything.
"""

from __future__ import annotations

import asyncio
import json
import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from dykeshift.rig.history import call
from dykeshift.rig.installation import Balancer, Installation
from dykeshift.scale.hosting import Counters
from dykeshift.scale.role import WHOLE, MemberState
from dykeshift.scale.shard import PAGE, Plan
from dykeshift.scale.verdict import MB

if TYPE_CHECKING:
    from dykeshift.scale.run import Wanted
    from dykeshift.scale.session import Session

RATE = 10.0  # requests a second, over all daemons
SENDERS = 6
SECTIONS = ("view", "agree", "versions")


def processor_ns(pid: int) -> int:
    """Nanoseconds that a process has had, all its threads."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


def resident_bytes(pid: int) -> int:
    """Bytes of a process that are in memory now."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


class Wholes(Installation):
    """The daemons of a run, and those who witness what they serve; see `session.Witness`."""

    def __init__(self, wanted: Wanted, plan: Plan) -> None:
        super().__init__(wanted.seed, senders=SENDERS, balancers=wanted.real + 1, rate=RATE)
        self.plan = plan
        self.numbers = tuple(range(wanted.members, wanted.members + wanted.real))

    async def prepare(self) -> None:
        """Their numbers are those of the roster; the last has none."""
        for balancer, number in zip(self.balancers, self.numbers, strict=False):
            balancer.name, balancer.number = f"n{number}", number
        self.plain.name = "plain"

    @property
    def fleet(self) -> list[Balancer]:
        """Those with control features."""
        return self.balancers[:-1]

    @property
    def plain(self) -> Balancer:
        """The one without."""
        return self.balancers[-1]

    def configure(self, balancer: Balancer, config: dict[str, Any]) -> None:
        """Peers and features, as of a hollow member."""
        path = self.folder / f"{balancer.place}.toml"
        balancer.environment["LIFTTRAIL_FEATURES"] = str(path)
        peers = [f"{host}:{port}" for host, port in self.plan.roster.peers]
        config["settings"]["balancers"] = len(peers)
        if balancer is self.plain:
            path.write_text("", encoding="utf-8")
            return
        config["settings"]["me"] = balancer.number
        config["peer_listen"], config["peers"] = peers[balancer.number], peers
        lines = list[str]()
        for name in SECTIONS:
            lines.append(f"[{name}]")
            lines += [
                f"{key} = {json.dumps(value)}" for key, value in self.plan.options.get(name, {}).items()
            ]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    # ---- what they say ----

    async def states(self) -> list[MemberState]:
        """Of those that answer."""
        found = await asyncio.gather(*(self._state(balancer) for balancer in self.fleet))
        return [state for state in found if state is not None]

    async def _state(self, balancer: Balancer) -> MemberState | None:
        told = [await call(balancer.console, "GET", path) for path in ("/fleet", "/agree", "/settings")]
        if any(one is None or one[0] != 200 for one in told):
            return None
        fleet, agree, settings = (one[1] for one in told if one is not None)
        return MemberState(
            balancer.number,
            WHOLE,
            settings["version"],
            settings["mode"] == "in force",
            fleet["at_least"],
            int(fleet["digest"], 16),
            fleet["settled"],
            agree["role"] == "leader",
            settings["digest"],
            "",
            settings["book"],
            fleet["sent"]["datagrams"] + agree["sent"]["datagrams"],
            fleet["sent"]["bytes"] + agree["sent"]["bytes"],
        )

    # ---- what they cost ----

    async def reading(self) -> dict[int, Counters]:
        """By number: processor time of the whole process, and what it says that it has sent."""
        pids = {b.number: b.process.pid for b in self.fleet if b.running and b.process is not None}
        return {
            state.number: Counters(
                cpu_ns=processor_ns(pids[state.number]),
                datagrams=state.said_datagrams,
                bytes=state.said_bytes,
            )
            for state in await self.states()
            if state.number in pids
        }

    def costs(self) -> dict[str, int]:
        """Nanoseconds of each so far, by name."""
        return {
            b.name: processor_ns(b.process.pid) for b in self.balancers if b.running and b.process is not None
        }

    def _memory_mb(self, balancers: Sequence[Balancer]) -> float:
        some = [resident_bytes(b.process.pid) / MB for b in balancers if b.running and b.process is not None]
        return round(statistics.median(some), 2) if some else 0.0

    async def compare(self, session: Session) -> dict[str, Any]:
        """A whole daemon's control cost beside a hollow member's, over the run's time at rest."""
        told: dict[str, Any] = {
            "daemons": len(self.fleet),
            "answers": dict(self.tally.answers),
            "rules_broken": self.tally.broken_rules[:8],
            "memory_mb": {"with": self._memory_mb(self.fleet), "without": self._memory_mb([self.plain])},
        }
        rest = session.at_rest
        if rest is None:
            return told
        off = self._rate(rest.whole_before, rest.whole_after, "plain", rest.seconds)
        on = [self._rate(rest.whole_before, rest.whole_after, b.name, rest.seconds) for b in self.fleet]
        control = statistics.median(on) - off
        hollow, loop = rest.hollow_ms_s, rest.loop_ms_s
        told["cpu_ms_s"] = {
            "seconds": round(rest.seconds, 2),
            "whole_with": [round(one, 3) for one in on],
            "whole_without": round(off, 3),
            "whole_control": round(control, 3),
            "hollow_callbacks": round(hollow, 3),
            "hollow_loop_share": round(loop, 3),
            "hollow_all": round(hollow + loop, 3),
            "hollow_less_than_whole_by": round(control - hollow - loop, 3),
            "ratio": round((hollow + loop) / control, 3) if control > 0 else None,
        }
        return told

    @staticmethod
    def _rate(before: dict[str, int], after: dict[str, int], name: str, seconds: float) -> float:
        return (after.get(name, 0) - before.get(name, 0)) / 1e6 / seconds

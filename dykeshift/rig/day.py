"""A day of real processes: a plan's faults done to them, their views asked for, all recorded and judged.

What may take its time is awaited by what the processes themselves say and by the periods that they count: on
a machine that starves them they count fewer, and the day takes longer; its verdict stays.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from dykeshift.rig.ending import Ending
from dykeshift.rig.history import Clients, call, judge, uneven
from dykeshift.rig.installation import Balancer, Installation
from dykeshift.rig.judge import Breach, Judge, Line
from dykeshift.rig.operators import EAGER, ORDERS, RATE, Operators
from dykeshift.rig.plan import Fault, Limits, Plan, Step
from dykeshift.rig.relays import Relays, Weather
from dykeshift.rig.witness import CLASS, Witness, margins
from dykeshift.rig.witness import judge as judge_rules

RIGS = itertools.count()
LOOK = 0.1  # seconds between two looks at all views
RULED = 3  # times the limit of settling: a check, two leases, and what was under way before
STALL = 1  # periods that the rig's own process may be late: a probe goes through two relays within one
UP = 30.0  # seconds for a process to answer its console at all
VIEW = (
    "self",
    "settled",
    "at_least",
    "at_most",
    "digest",
    "periods",
    "holds_lease",
    "twin",
    "incarnation",
    "dropped",
    "sent",
    "woken",
    "woken_at",
)


class SilentProcessError(Exception):
    """A process runs and does not answer its console."""


@dataclass(slots=True)
class Verdict:
    """What came of a day: the breaches, and the record that they were found in."""

    plan: Plan
    breaches: list[Breach]
    record: list[Line]
    seconds: float
    datagrams: list[tuple[float, int, int, int, str]] = field(default_factory=list)
    folder: str = ""  # where the processes' logs were kept
    margins: list[float] = field(default_factory=list)  # between versions that contradict, in seconds


class Rig(Installation):
    """An installation whose balancers talk to one another through relays."""

    def __init__(self, plan: Plan, senders: int = 1) -> None:
        self.plan = plan
        self.places = plan.balancers + plan.spare
        super().__init__(
            1, senders=6 if plan.versions else senders, balancers=plan.balancers, rate=0.0, speeds=(1.0,)
        )
        # An address of its own: a port that is set aside for a process is nobody else's meanwhile.
        self.host = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{next(RIGS) % 250 + 1}"
        self.ports: list[socket.socket] = []
        self.listeners: dict[int, socket.socket] = {}
        self.upgrades: dict[int, list[asyncio.subprocess.Process]] = {}
        self.keys: dict[int, str] = {}
        self.fleets: dict[int, str] = {}

    async def prepare(self) -> None:
        """Open the relays and set an address aside for each process."""
        plan, loop = self.plan, asyncio.get_running_loop()
        for n in range(plan.balancers, self.places):
            self.balancers.append(Balancer(f"n{n}", n, self))
        self.relays = Relays(loop, self.places, Random(plan.name))
        for n, balancer in enumerate(self.balancers):
            balancer.place = f"p{n}"
            port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            port.bind((self.host, 0))
            self.ports.append(port)
            self.relays.listen[n] = port.getsockname()
            if plan.held:
                self._hold(balancer)
        await self.relays.open(self.host)
        for port in self.ports:
            port.close()

    async def start_balancers(self) -> None:
        """Start all processes but the absent and the spare ones."""
        absent = {*self.plan.absent, *range(self.plan.balancers, self.places)}
        await asyncio.gather(*(b.start() for b in self.balancers if b.number not in absent))

    def _hold(self, balancer: Balancer) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, 0))
        listener.listen(128)
        self.listeners[balancer.number] = listener
        balancer.address = listener.getsockname()
        balancer.inherited = (listener.fileno(),)
        folder = self.folder / f"tmp{balancer.number}"
        folder.mkdir()
        balancer.environment |= {"NODE_INHERITED_FD": str(listener.fileno()), "TMPDIR": str(folder)}

    def configure(self, balancer: Balancer, config: dict[str, Any]) -> None:
        """Point the balancer at its relays and write its features file."""
        n, plan = balancer.number, self.plan
        peers = self.relays.peers_of(n)[: plan.balancers]
        config["settings"]["me"] = n
        if plan.shuffled:
            del config["settings"]["me"]
            Random(f"{plan.name}/{n}").shuffle(peers)
            if n == plan.balancers - 1:
                own = "%s:%d" % self.relays.pairs[n, n].address
                peers.remove(next(p for p in peers if p != own))
        config["peer_listen"] = "%s:%d" % self.relays.listen[n]
        config["peers"] = peers
        path = self.folder / f"{balancer.place}.toml"
        terms = {
            "period_s": plan.period_s,
            "lease_s": plan.lease_s,
            "datagrams_s": 12 / plan.period_s,
            "bytes_s": 2500 / plan.period_s,
            "fleet": self.fleets.get(n, "rig"),
            "key": self.keys.get(n, ""),
        }
        sections = {"view": terms}
        if plan.versions:
            sections["versions"] = {
                "check_s": 60 * plan.period_s,
                "report_s": 2 * plan.period_s,
                "stage_s": 10 * plan.period_s,
                "stage_least": 20,
            }
        if plan.agree or plan.versions:
            sections["agree"] = {
                "voters": plan.voters,
                "beat_s": plan.period_s,
                "lease_s": plan.agree_lease_s,
                "replace_s": 60 * plan.period_s,
                "datagrams_s": 20 / plan.period_s,
                "bytes_s": 4000 / plan.period_s,
                "folder": self._disk(n),
            }
        path.write_text(
            "".join(
                f"[{name}]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in section.items())
                for name, section in sections.items()
            ),
            encoding="utf-8",
        )
        balancer.environment["LIFTTRAIL_FEATURES"] = str(path)

    def _disk(self, number: int) -> str:
        if number not in self.plan.disks:
            return ""
        folder = self.folder / f"disk{number}"
        folder.mkdir(exist_ok=True)
        return str(folder)

    def spoil(self, number: int) -> bool:
        """One byte in the middle of what its agreement has kept; whether there was anything."""
        path = self.folder / f"disk{number}" / "agree.log"
        data = bytearray(path.read_bytes()) if path.exists() else bytearray()
        if len(data) < 64:
            return False
        data[len(data) // 2] ^= 0xFF
        path.write_bytes(data)
        return True

    async def stop(self) -> None:
        """Kill all processes, close the relays, then stop the rest."""
        for processes in self.upgrades.values():
            for process in processes:
                if process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                    await process.wait()
        for balancer in self.balancers:
            if balancer.running and balancer.process is not None:
                balancer.process.kill()  # a stopped one hears nothing else
                await balancer.process.wait()
        self.relays.close()
        for listener in self.listeners.values():
            listener.close()
        await super().stop()


class Day:
    """Plays a plan on a rig and records what the processes say."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.rig = plan, Rig(plan)
        self.limits = Limits.of(plan)
        self.judge = Judge(self.limits)
        self.record: list[Line] = []
        self.stopped: set[int] = set()
        self.stopped_at: dict[int, float] = {}
        self.outsiders: set[int] = set()  # run, and are none of the fleet
        self.born: list[int] = []
        self.twins = False
        self.wanted: set[int] = set()  # were started, and nobody has ended them
        self.lost_at: float | None = None  # since when somebody is lost or cut off
        self.whole = True
        self.told: dict[int, Line] = {}  # what each said last of the history
        self.clients = Clients(plan.name, self._consoles, self._line)
        self.operators = Operators(self)
        self.note = self._line
        if plan.versions:
            self.witness = Witness(self._line)
            self.rig.tally = self.rig.crowd.account = self.witness  # type: ignore[assignment]
        self.began = time.monotonic()
        self.pulse_at = self.began  # when this process, whose relays carry the datagrams, last had its turn

    async def _pulse(self) -> None:
        while True:
            self._notice_stall()
            await asyncio.sleep(self.plan.period_s / 2)

    def _notice_stall(self) -> None:
        """While this process stood still no datagram came through: all were cut off from one another, and
        what they believe of one another is judged from now on only."""
        now, before = time.monotonic(), self.pulse_at
        self.pulse_at = now
        if now - before > (STALL + 0.5) * self.plan.period_s:
            self._line({"what": "starved", "seconds": round(now - before, 3), "t": time.monotonic_ns()})
            self._truth()

    def _now(self) -> float:
        return round(time.monotonic() - self.began, 3)

    def _line(self, line: Line) -> None:
        line["at"] = self._now()
        self.record.append(line)
        self.judge.read(line)

    def _truth(self) -> None:
        names = {b.number: b.name for b in self.rig.balancers if b.running and b.number not in self.outsiders}
        relays = self.rig.relays
        whole = len(names) == self.plan.balancers and not relays.groups and not self.stopped
        if whole and not self.judge.truth.get("long"):
            self.lost_at = None  # after longer, once all have settled: who was given up is not back at once
        elif self.lost_at is None:
            self.lost_at = self._now()
        self.whole = whole
        long = self.lost_at is not None and self._now() - self.lost_at > self.plan.lease_s / 2
        self._line(
            {
                "what": "truth",
                "names": names,
                "stopped": sorted(self.stopped),
                "born": self.born,
                "seen": len(self.record),
                "groups": [sorted(g) for g in relays.groups],
                "one_way": sorted(map(list, relays.blocked)),
                "places": self.plan.balancers,
                "long": long,
            }
        )
        self.born = []

    # ---- views ----

    async def _look(self) -> None:
        """Ask all that run, side by side."""
        if self.lost_at is not None and self.whole and not self.judge.unsettled():
            self.lost_at, self.judge.truth["long"] = None, False
            self._truth()
        if (
            self.lost_at is not None
            and not self.judge.truth["long"]
            and (self._now() - self.lost_at > self.plan.lease_s / 2)
        ):
            self._truth()
        for balancer in self.rig.balancers:
            if balancer.number in self.wanted and not balancer.running:
                self.wanted.discard(balancer.number)
                self._line({"what": "ended", "place": balancer.number})
        asked = [b for b in self.rig.balancers if b.running and b.number not in self.stopped | self.outsiders]
        await asyncio.gather(*(self._ask(b) for b in asked))
        if self.plan.agree:
            await asyncio.gather(*(self._ask_history(b) for b in asked))
        if self.plan.versions:
            await asyncio.gather(*(self.operators.ask(b) for b in asked))

    def _consoles(self) -> list[tuple[str, int]]:
        return [b.console for b in self.rig.balancers if b.running and b.number not in self.outsiders]

    async def _ask_history(self, balancer: Balancer) -> None:
        at, process = time.monotonic_ns(), balancer.process
        got = await call(balancer.console, "GET", "/agree")
        if got is None or got[0] != 200 or balancer.process is not process:
            self.told.pop(balancer.number, None)
            return
        names = (
            "self",
            "role",
            "history",
            "epoch",
            "term",
            "leader",
            "voters",
            "committed",
            "entry",
            "lease_s",
            "digest",
            "disk",
            "seated",
        )
        line = {"what": "agree", "place": balancer.number, "asked": at, **{n: got[1][n] for n in names}}
        self.told[balancer.number] = line
        self._line(line)

    def _uneven(self) -> str:
        return uneven(self.told, [b.number for b in self.rig.balancers if b.running])

    async def _ask(self, balancer: Balancer) -> None:
        seen, process = len(self.record), balancer.process
        told = await fleet(balancer.console)
        if told is None or balancer.process is not process or balancer.number in self.stopped:
            return
        self._notice_stall()
        if not balancer.running or self.judge.truth["seen"] > seen:
            return  # a fault came in between: the next look tells
        members = {row["name"]: row["state"] for row in told["members"]}
        self._line(
            {
                "what": "view",
                "place": balancer.number,
                "seen": seen,
                "members": members,
                "yielded": told["yielded"],
                "alone": len(members) == 1 or not told["at_least"] > 1,
                **{name: told[name] for name in VIEW},
            }
        )

    async def _await(self, what: str, condition: Any, periods: int) -> None:
        """Until it is so; at the latest when every process has counted so many periods since."""
        start = dict[int, int]()
        while True:
            await self._look()
            if condition():
                return
            now = {
                b.number: self._counted(b.number)
                for b in self.rig.balancers
                if b.running and b.number not in self.stopped | self.outsiders
            }
            for number, counted in now.items():
                start[number] = min(start.get(number, counted), counted)
            if all(counted - start[number] >= periods for number, counted in now.items()):
                return
            await asyncio.sleep(LOOK)

    def _counted(self, number: int) -> int:
        life = self.judge.lives.get(number)
        return int(life.last.get("periods", 0)) if life is not None else 0

    async def _up(self) -> None:
        """Wait until every process that should run answers its console.

        Raises SilentProcessError after UP seconds: what is awaited later goes by what the processes say.
        """
        until = time.monotonic() + UP
        for balancer in self.rig.balancers:
            while balancer.running and balancer.number not in self.stopped:
                if await fleet(balancer.console) is not None:
                    break
                if time.monotonic() >= until:
                    raise SilentProcessError(
                        f"{balancer.name} runs and does not answer its console at %s:%d" % balancer.console
                    )
                await asyncio.sleep(LOOK)

    def _at_rest(self) -> bool:
        said = not self.twins or any(life.last.get("twin") for life in self.judge.lives.values())
        return said and not self.judge.unsettled()

    # ---- the day ----

    async def play(self, folder: Path | None, ending: Ending) -> Verdict:
        """`folder`: takes the processes' logs and every datagram's header where a rule was broken."""
        rig = self.rig
        ending.bind()
        try:
            await self._begin()
            for number, step in enumerate(self.plan.step):
                await self._step(number, step)
                ending.look()
            await self.clients.stop()
            broken = self.judge.breaches
            if self.plan.agree:
                broken = broken + [
                    Breach(rule, len(self.record), text)
                    for rule, text in judge(self.record, self.plan.agree_lease_s)
                ]
            if self.plan.versions:
                broken = broken + [
                    Breach(rule, len(self.record), text)
                    for rule, text in judge_rules(self.record, self.plan.agree_lease_s)
                ]
            verdict = Verdict(self.plan, broken, self.record, self._now(), rig.relays.log)
            if self.plan.versions:
                verdict.margins = margins(self.record)
            if verdict.breaches and folder is not None:
                verdict.folder = str(folder)
                keep(verdict, rig.folder, folder)
            return verdict
        finally:
            await rig.stop()

    async def _begin(self) -> None:
        rig = self.rig
        await rig.start()
        self.born = [b.number for b in rig.balancers if b.running]
        self.wanted = set(self.born)
        self._truth()
        await self._up()
        self.pulse_at = time.monotonic()
        rig.spawn(self._pulse())
        if self.plan.agree:
            self.clients.start()
        if self.plan.versions:
            self.witness.names = {b.address: b.name for b in rig.balancers}
            rig.spawn(rig.front.watch([b.address for b in rig.balancers]))
            rig.spawn(self.operators.requests())

    async def _step(self, number: int, step: Step) -> None:
        for fault in step.faults:
            self._line(
                {
                    "what": "fault",
                    "step": number,
                    "kind": fault.kind,
                    "who": fault.who,
                    "groups": fault.groups,
                }
            )
            await self._do(fault)
        if step.faults:
            self._truth()
            await self._up()
        if step.hold:
            await self._await("hold", lambda: False, step.hold)
        if step.given_up:
            await self._await(
                "given up",
                lambda: not self.judge.not_given_up(),
                int(2 * self.plan.lease_s / self.plan.period_s) + self.limits.settle,
            )
        if step.rest:
            await self._await("rest", self._at_rest, self.limits.settle)
        if step.level:
            await self._await("level", lambda: not self._uneven(), self.limits.settle)
            self._line({"what": "level", "why": self._uneven()})
        if step.ruled:
            await self._await("ruled", lambda: not self.operators.unruled(), RULED * self.limits.settle)
            self._line({"what": "ruled", "why": self.operators.unruled()})
        if step.repeated:
            await self._await_repeat()
        if step.rest or step.given_up:
            self._line({"what": "rest", "given_up": step.given_up, "twins": self.twins})

    async def _await_repeat(self) -> None:
        """More requests than at other times, until one of the watched class has been run a second time."""
        self.operators.rate = EAGER
        await self._await("repeated", lambda: self.witness.repeats[CLASS] > 0, RULED * self.limits.settle)
        self.operators.rate = RATE
        self._line({"what": "repeated", "times": self.witness.repeats[CLASS]})

    async def _do(self, fault: Fault) -> None:
        relays, chosen = self.rig.relays, [self.rig.balancers[n] for n in fault.who]
        kind = fault.kind
        if kind == "cut":
            relays.groups = [frozenset(g) for g in fault.groups]
        elif kind == "mend":
            relays.groups, relays.blocked = [], set()
        elif kind == "one-way":
            others = fault.who[1:] or tuple(n for n in range(self.rig.places) if n != fault.who[0])
            relays.blocked |= {(fault.who[0], other) for other in others}
        elif kind == "weather":
            relays.weather = Weather(fault.loss, fault.double, fault.late)
        elif kind in ORDERS:
            await self.operators.order(fault)
        elif kind == "replay":
            relays.replay(int(fault.size) or 2000)
        elif kind == "leader":
            leader = next((n for n, line in self.told.items() if line["role"] == "leader"), None)
            if leader is not None:
                await self._befall("stop" if fault.size else "kill", self.rig.balancers[leader], fault)
        else:
            await asyncio.gather(*(self._befall(kind, b, fault) for b in chosen))

    async def _befall(self, kind: str, balancer: Balancer, fault: Fault) -> None:
        process = balancer.process
        if kind in ("kill", "term") and process is not None and process.returncode is None:
            self._line({"what": "order", "kind": "lost", "by": balancer.name, "start": time.monotonic_ns()})
        if kind in ("start", "wall", "twin", "stranger", "other-key"):
            await self._start(kind, balancer, fault)
        elif kind == "spoil":
            self._line({"what": "spoilt", "place": balancer.number, "was": self.rig.spoil(balancer.number)})
        elif kind == "rescue":
            got = await call(balancer.console, "PUT", "/agree/rescue", {})
            self._line({"what": "rescued", "place": balancer.number, "answer": got})
        elif kind == "upgrade" and balancer.running:
            await self._upgrade(balancer)
        elif process is not None and process.returncode is None:
            await self._signal(kind, balancer.number, process)

    async def _signal(self, kind: str, number: int, process: asyncio.subprocess.Process) -> None:
        """What is done to a process that runs by a signal; those that end it are waited for."""
        if kind == "kill":
            self.wanted.discard(number)
            process.kill()
            await process.wait()
            self.stopped.discard(number)
        elif kind == "term":
            self.wanted.discard(number)
            process.send_signal(signal.SIGTERM)
            await process.wait()
        elif kind == "stop":
            process.send_signal(signal.SIGSTOP)
            self.stopped.add(number)
        elif kind == "continue" and number in self.stopped:
            self.stopped.discard(number)
            process.send_signal(signal.SIGCONT)
        elif kind == "hup":
            process.send_signal(signal.SIGHUP)

    async def _start(self, kind: str, balancer: Balancer, fault: Fault) -> None:
        if balancer.running:
            return
        balancer.program = ["-m", "dykeshift.node"]
        if kind == "wall":
            balancer.program = ["-m", "dykeshift.rig.process", str(int(fault.size * 1000))]
        elif kind == "twin":
            balancer.name = self.rig.balancers[int(fault.size)].name
            self.twins = True
        elif kind == "stranger":
            self.rig.fleets[balancer.number] = "another"
            self.outsiders.add(balancer.number)
        elif kind == "other-key":
            self.rig.keys[balancer.number] = "not the fleet's"
            self.outsiders.add(balancer.number)
        await balancer.start()
        self.wanted.add(balancer.number)
        if balancer.number not in self.outsiders:
            self.born.append(balancer.number)

    async def _upgrade(self, balancer: Balancer) -> None:
        """A second process under the same name; the first gets SIGTERM once the second answers."""
        old = balancer.process
        assert old is not None
        console = balancer.console
        balancer.console = self.rig.port()
        await balancer.start()
        self.rig.upgrades.setdefault(balancer.number, []).append(old)
        until = time.monotonic() + UP
        while await fleet(balancer.console) is None and time.monotonic() < until:
            await asyncio.sleep(LOOK)
        self._line(
            {
                "what": "upgrade",
                "place": balancer.number,
                "old_console": console[1],
                "new_console": balancer.console[1],
            }
        )
        old.send_signal(signal.SIGTERM)
        await old.wait()


async def fleet(console: tuple[str, int]) -> Line | None:
    """GET /fleet; None where there is no whole answer."""
    got = await call(console, "GET", "/fleet")
    return got[1] if got is not None and got[0] == 200 and isinstance(got[1], dict) else None


def keep(verdict: Verdict, logs: Path, folder: Path) -> None:
    """Write the logs, the record and the datagrams' headers of a day to `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    for path in logs.glob("p*.log"):
        (folder / path.name).write_bytes(path.read_bytes())
    for name, lines in (("record", verdict.record), ("datagrams", verdict.datagrams)):
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (folder / f"{name}.jsonl").write_text(text, encoding="utf-8")


def play(plan: Plan, folder: Path | None = None) -> Verdict:
    """SIGTERM ends it, with its processes."""
    with Ending() as ending:
        return asyncio.run(Day(plan).play(folder, ending))

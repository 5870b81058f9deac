"""An installation on 127.0.0.1 and port 0: stand-ins in this process, balancers as processes.

The demo, the laboratory and the rig start theirs here.

Nothing here decides anything about requests: the balancers are `python -m dykeshift.node`, unchanged.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

from dykeshift.rig.addresses import ReservedAddresses
from dykeshift.rig.tally import Tally
from dykeshift.standins.client import Crowd, Errand, Front
from dykeshift.standins.registry import Instance, Registry
from dykeshift.standins.sender import Link, Rack, Sender, Shape

ZONES = ("dornod-1", "dornod-2")
KINDS = {"status-check": "safe", "reminder-set": "keyed", "sms-send": "unsafe"}
DEADLINES = {"status-check": 1.0, "reminder-set": 0.8, "sms-send": 1.5}
SPEEDS = (0.6, 1.0, 1.6)  # of the senders, in turn
START = 15.0  # seconds that a balancer may take to listen


def settings(balancers: int, zone: int) -> dict[str, Any]:
    """The settings of the demo's deployment, in the words of the protocol."""
    ms = 1_000_000
    services = [
        {"name": "status-check", "goalTimeNs": 250 * ms, "idempotency": "pure", "group": "all"},
        {"name": "reminder-set", "goalTimeNs": 400 * ms, "idempotency": "token", "group": "cell"},
        {"name": "sms-send", "goalTimeNs": 400 * ms, "idempotency": "side_effect", "group": "all"},
    ]
    for service in services:
        deadline = int(DEADLINES[str(service["name"])] * 1000) * ms
        service |= {"worth": 1.0, "deadlineNs": deadline, "windowNs": 4000 * ms}
        service |= {"lateShare": 0.2, "stream": False}
    return {
        "az": zone,
        "balancers": balancers,
        "discovery": "ask",
        "stepNs": 2 * ms,
        "valueBy": "request",
        "goal": {"worstClass": 0.0},
        "kinds": ["standard"],
        "failureDomains": list(ZONES),
        "services": services,
        "report": {"fields": ["busy_reqs", "cpu_share"], "how": "piggyback"},
        "bounds": {
            "cancelling": True,
            "maxAttempts": 3,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterNs": 750 * ms,
            "keepaliveNs": 10_000 * ms,
            "connectTimeoutNs": 200 * ms,
        },
        "obligations": {
            "answerSlackNs": 8 * ms,
            "askEveryNs": 10_000 * ms,
            "coldFrom": 0.12,
            "coldNs": 8_000 * ms,
            "drainGraceNs": 250 * ms,
            "fallNs": 3_000 * ms,
            "tipMultiple": 3.0,
        },
    }


# As `run` of deploy/balancer.toml: a new configuration never ends a process that is starting. What is set in
# the child before its program would not last: uvloop gives signals their defaults again.
WITHOUT_HANGUP = ("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh")


class Balancer:
    """One balancer's process, started again under its name and address when it has ended."""

    def __init__(self, name: str, number: int, home: Installation) -> None:
        self.name, self.number, self.home = name, number, home
        self.address, self.console = home.port(), home.port()
        self.process: asyncio.subprocess.Process | None = None
        self.place = name  # what its files are called by
        self.program = ["-m", "dykeshift.node"]
        self.environment: dict[str, str] = {}  # beside this process's own
        self.inherited: tuple[int, ...] = ()  # descriptors that its processes share
        self.lives = 0
        self.stopping = False

    async def start(self) -> None:
        """Write its configuration and start a process of it."""
        self.lives += 1
        path = self.home.folder / f"{self.place}.json"
        config: dict[str, Any] = {
            "name": self.name,
            "listen": f"{self.home.host}:{self.address[1]}",
            "console": f"{self.home.host}:{self.console[1]}",
            "discovery": f"{self.home.discovery[0]}:{self.home.discovery[1]}",
            "seed": f"{self.name}-{self.lives}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.home.registry.whole(),
            "settings": settings(self.home.balancers_wanted, self.number % len(ZONES)),
        }
        self.home.configure(self, config)
        path.write_text(json.dumps(config), encoding="utf-8")
        log = (self.home.folder / f"{self.place}.log").open("ab")
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *WITHOUT_HANGUP,
                sys.executable,
                *self.program,
                env={**os.environ, "NODE_CONFIG": str(path), **self.environment},
                stdout=log,
                stderr=log,
                pass_fds=self.inherited,
            )

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def kill(self) -> None:
        """Kill its process and note its death."""
        if self.process is not None and self.process.returncode is None:
            self.home.tally.died(self.name, time.monotonic())
            self.process.kill()

    async def stop(self) -> None:
        """End its process by SIGTERM, and after 6 seconds by SIGKILL."""
        self.stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 6.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


class Installation:
    """Discovery, senders, balancers and clients, and the faults that can be done to them."""

    host = "127.0.0.1"  # where all of it listens
    link: type[Link] = Link  # a sender's side of a connection from a balancer

    def __init__(
        self,
        seed: int,
        senders: int = 12,
        balancers: int = 2,
        rate: float = 60.0,
        speeds: tuple[float, ...] = SPEEDS,
        slots: int = 4,
    ) -> None:
        """`rate`: the demo's own requests a second, 0 for none; `speeds`: of the senders, in turn."""
        self.speeds, self.slots = speeds, slots
        self.rng = Random(seed)
        self.senders_wanted, self.balancers_wanted, self.rate = senders, balancers, rate
        self.tally = Tally()
        self.registry = Registry(Random(seed + 1))
        self.discovery: tuple[str, int] = ("", 0)
        self.senders: list[Sender] = []
        self.balancers: list[Balancer] = []
        self.racks = [Rack() for _ in range(3)]
        self.front = Front(Random(seed + 2), notice=1.0)
        self.crowd = Crowd(self.front, self.tally, Random(seed + 3))
        self.tasks: list[asyncio.Task[Any]] = []
        self.asking: asyncio.Task[None] | None = None
        self.made = 0
        self.count = 0
        self.reserved = ReservedAddresses()

    async def start_balancers(self) -> None:
        """Start the balancers one by one, then wait until all answer. Raises TimeoutError after START
        seconds."""
        for balancer in self.balancers:
            await balancer.start()
        self.tally.names = {b.address: b.name for b in self.balancers}
        self.spawn(self.front.watch([b.address for b in self.balancers]))
        await self._until(lambda: len(self.front.taken_in) == len(self.balancers), START)

    def configure(self, balancer: Balancer, config: dict[str, Any]) -> None:
        """What an installation of another kind changes in a balancer's configuration."""

    async def prepare(self) -> None:
        """What it does before the balancers start."""

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something beside, until the installation stops."""
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    async def start(self) -> None:
        """Start discovery, the senders, the balancers and the clients."""
        self._folder = tempfile.TemporaryDirectory(prefix="lifttrail-")
        self.folder = Path(self._folder.name)
        self.spawn(self.registry.serve(self.host, 0))
        for _ in range(self.senders_wanted):
            await self.add_sender(cold=False)
        self.discovery = await self._address(self.registry)
        self.balancers = [Balancer(f"n{n}", n, self) for n in range(self.balancers_wanted)]
        await self.prepare()
        await self.start_balancers()
        if self.rate:
            self.asking = asyncio.get_running_loop().create_task(self._ask())

    def port(self) -> tuple[str, int]:
        """An address that no other process is given until the installation stops."""
        return self.reserved.reserve(self.host)

    @staticmethod
    async def _until(condition: Callable[[], bool], seconds: float) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def _address(self, one: Any) -> tuple[str, int]:
        await self._until(lambda: getattr(one, "server", None) is not None, START)
        address: tuple[str, int] = one.server.sockets[0].getsockname()
        return address

    async def add_sender(self, cold: bool = True) -> None:
        """Start a sender and enter it in discovery's list."""
        number = self.made
        self.made += 1
        shape = Shape(slots=self.slots, speed=self.speeds[number % len(self.speeds)], cold_time=6.0)
        cell = number % len(self.racks)
        sender = Sender(
            f"s{number}",
            cell,
            self.racks[cell],
            self.tally,
            Random(self.rng.random()),
            shape,
            cold=cold,
            link=self.link,
        )
        self.senders.append(sender)
        self.spawn(sender.serve(*self.port()))
        address = await self._address(sender)
        self.registry_put(
            Instance(
                sender.name,
                address,
                ZONES[number % 2],
                sender.cell,
                "standard",
                "active",
                shape.speed,
                int(time.time() * 1000) if cold else 0,
            )
        )

    def registry_put(self, instance: Instance) -> None:
        """Enter an instance, whether discovery serves already or not."""
        if hasattr(self.registry, "loop"):
            self.registry.put(instance)
        else:
            self.registry.listed[instance.id] = instance

    async def _ask(self) -> None:
        """Clients' requests, as a Poisson stream."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            klass = self.rng.choice(tuple(KINDS))
            self.count += 1
            self.crowd.begin(
                Errand(
                    f"d{self.count}",
                    klass,
                    KINDS[klass],
                    DEADLINES[klass],
                    cost=int(self.rng.uniform(10, 60)),
                    retries=2,
                )
            )

    # ---- faults, by the names of --fault ----

    async def fault(self, name: str) -> None:
        """Do one of the faults by its name on the command line. Raises KeyError for an unknown one."""
        await {
            "hang": self._hang,
            "drain": self._drain,
            "kill-sender": self._kill_sender,
            "kill-balancer": self._kill_balancer,
            "restart-balancer": self._restart_balancer,
            "slow": self._slow,
        }[name]()

    def _some_sender(self) -> Sender:
        well = [s for s in self.senders if not s.down and not s.draining and not s.mood.hang]
        return self.rng.choice(well or self.senders)

    async def _hang(self) -> None:
        sender = self._some_sender()
        sender.mood.hang = True
        self.tally.note(f"{sender.name} takes requests and answers none, for 5 s")
        self.spawn(self._calm(sender, 5.0))

    async def _slow(self) -> None:
        sender = self._some_sender()
        sender.mood.slow = 10.0
        self.tally.note(f"{sender.name} is ten times as slow, for 5 s")
        self.spawn(self._calm(sender, 5.0))

    async def _calm(self, sender: Sender, seconds: float) -> None:
        await asyncio.sleep(seconds)
        sender.mood.hang, sender.mood.slow = False, 1.0
        sender.wake()

    async def _drain(self) -> None:
        sender = self._some_sender()
        self.tally.note(f"{sender.name} drains; a new one comes for it")
        self.tally.told_to_drain(sender.name, time.monotonic())
        sender.drain()
        self.registry.leave(sender.name)
        self.spawn(self._follow(sender))

    async def _follow(self, sender: Sender) -> None:
        await asyncio.sleep(1.0)
        await self.add_sender()
        with contextlib.suppress(TimeoutError):
            await self._until(sender.quiet, 3.0)
        self._stop_sender(sender)

    def _stop_sender(self, sender: Sender) -> None:
        sender.down = True
        sender.server.close()
        for link in list(sender.links):
            link.abort()
        self.registry.leave(sender.name, "left")
        self.senders.remove(sender)

    async def _kill_sender(self) -> None:
        sender = self._some_sender()
        self.tally.note(f"{sender.name} dies; discovery notices half a second later")
        sender.down = True
        sender.server.close()
        for link in list(sender.links):
            link.abort()
        await asyncio.sleep(0.5)
        self.registry.leave(sender.name, "left")
        self.senders.remove(sender)
        await self.add_sender()

    async def _kill_balancer(self) -> None:
        balancer = next((b for b in self.balancers if b.running), None)
        if balancer is not None:
            self.tally.note(f"{balancer.name} is killed; it is back in 2 s")
            balancer.kill()
            self.spawn(self._restart(balancer, 2.0))

    async def _restart_balancer(self) -> None:
        balancer = next((b for b in self.balancers if b.running), None)
        if balancer is not None and balancer.process is not None:
            self.tally.note(f"{balancer.name} is restarted as planned: SIGTERM")
            balancer.process.send_signal(signal.SIGTERM)
            self.spawn(self._restart(balancer, 1.0))

    async def _restart(self, balancer: Balancer, seconds: float) -> None:
        assert balancer.process is not None
        await balancer.process.wait()
        await asyncio.sleep(seconds)
        if not balancer.stopping:
            await balancer.start()

    async def stop(self) -> None:
        """All requests answered first, then everything ended and nothing left behind."""
        if self.asking is not None:
            self.asking.cancel()
        with contextlib.suppress(TimeoutError):
            await self._until(lambda: self.crowd.open == 0, 4.0)
        self.tally.closing = True
        await asyncio.gather(*(b.stop() for b in self.balancers))
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sender in self.senders:
            for link in list(sender.links):
                link.abort()
            if sender.server is not None:
                sender.server.close()
        self.registry.stop_serving()
        self.reserved.release()
        self._folder.cleanup()

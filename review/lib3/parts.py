"""Stand-ins for clients, servers, discovery and the platform, with the record that a case leaves.

Everything runs in one event loop but the balancers, which are processes started with `run` of the deploy
file. Stand-ins know nothing of the program that they stand before.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import fcntl
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
ZONES = ("dornod-1", "dornod-2")


def trouble() -> bool:
    """Whether the case runs with its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run."""


# ---- the record ----


class Record:
    """Writes what happens to `record.txt`, a line an event, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def say(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():9.4f} {text}\n")

    def result(self, text: str) -> None:
        """Write one line, and print it, too."""
        self.say(text)
        print(text, flush=True)


# ---- addresses and settings ----


def free_port(host: str = "127.0.0.1") -> int:
    """A port that nobody listens at; it is not given out twice."""
    for _ in range(100):
        with socket.socket() as probe:
            probe.bind((host, 0))
            port: int = probe.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return port
    raise CaseError("no free port")


_ports: set[int] = set()


def klass(name: str, kind: str, aim: float, deadline: float, **more: Any) -> dict[str, Any]:
    """A class of the settings; times in seconds."""
    return {
        "name": name,
        "idempotency": kind,
        "group": "cell" if kind == "token" else "all",
        "goalTimeNs": int(aim * 1e9),
        "deadlineNs": int(deadline * 1e9),
        "windowNs": 4_000_000_000,
        "lateShare": 0.2,
        "stream": False,
        "worth": 5.0,
        **more,
    }


def settings(balancers: int) -> dict[str, Any]:
    """The settings of a small deployment, with the figures of the site."""
    return {
        "az": 0,
        "balancers": balancers,
        "bounds": {
            "cancelling": True,
            "connectTimeoutNs": 120_000_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500_000,
            "keepaliveNs": 10_000_000_000,
            "maxAttempts": 3,
            "maxRetryAfterNs": 750_000_000,
            "mayTell": True,
            "mostHeld": 20000,
            "multiplex": 1,
            "probes": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "clients": {"marksRetry": True},
        "costs": {
            "connection": 0.03,
            "crossZone": 0.03,
            "discovery": 0.0,
            "handshake": 0.03,
            "lateFail": 0.08,
            "moves": 0.0,
            "origin": 0.0,
            "peer": 0.01,
            "probe": 0.0,
            "waste": 0.04,
        },
        "discovery": "ask",
        "domain": {"warmKeys": False},
        "domainType": "proxy",
        "failureDomains": list(ZONES),
        "goal": {"whole": 0.8, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.1},
        "kinds": ["quick", "standard", "slow"],
        "layer": 0,
        "me": 0,
        "obligations": {
            "answerSlackNs": 8_000_000,
            "askEveryNs": 10_000_000_000,
            "coldFrom": 0.12,
            "coldNs": 23_000_000_000,
            "drainGraceNs": 250_000_000,
            "fallNs": 3_000_000_000,
            "tipMultiple": 3.0,
        },
        "overShareWorth": 0.1,
        "parties": [],
        "report": {"fields": ["failed_ps", "cpu_share"], "how": "piggyback"},
        "services": [
            klass("status-check", "pure", 0.25, 1.0),
            klass("reminder-set", "token", 0.4, 0.8, worth=3.0, lateShare=0.25),
            klass("sms-send", "side_effect", 0.4, 1.5),
        ],
        "stepNs": 2_000_000,
        "tiers": ["east-senders"],
        "valueBy": "request",
        "weights": "rough",
    }


# ---- HTTP messages ----


@dataclass
class Message:
    """One HTTP/1.1 message."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """The next head; raises where the connection ends."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message, got: Callable[[int], None]) -> None:
    """Read the body that the head announces; `got` hears the number of bytes of each piece."""
    parts = []
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            got(size)
        await reader.readuntil(b"\r\n")
    else:
        left = int(message.headers.get("content-length", "0"))
        while left:
            piece = await reader.read(min(left, 1 << 16))
            if not piece:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(piece)
            parts.append(piece)
            got(len(piece))
    message.body = b"".join(parts)


def answer_bytes(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """A whole answer with its length."""
    reasons = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons[status]}"]
    lines += [f"{name}: {value}" for name, value in {**(headers or {}), "Content-Length": len(body)}.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---- servers ----


@dataclass(eq=False)
class Server:
    """An upstream: it runs a request once its last byte has come, and answers with what names both."""

    name: str
    record: Record
    zone: str = ZONES[0]
    cell: int = 0
    work: float = 0.02  # seconds
    port: int = 0
    started_ms: int = 0
    lifecycle: str = "active"
    ran: list[tuple[str, float]] = field(default_factory=list)  # request id, when
    began: list[tuple[str, float]] = field(default_factory=list)  # request id, when its first byte came
    hung: asyncio.Event | None = None  # set: it hangs until this is set
    reply: Callable[[Server, Message, asyncio.StreamWriter], Awaitable[None]] | None = None
    server: asyncio.Server | None = None
    links: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self._link, "127.0.0.1", self.port, limit=1 << 16)

    def row(self) -> dict[str, Any]:
        """Its entry in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "standard",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    def hang(self, seconds: float) -> None:
        """Take what comes, read and answer nothing, and go on after so long."""
        event = self.hung = asyncio.Event()
        self.record.say(f"{self.name} hangs for {seconds:.3f} s")

        def wake() -> None:
            self.record.say(f"{self.name} goes on")
            self.hung = None
            event.set()

        asyncio.get_running_loop().call_later(seconds, wake)

    async def awake(self) -> None:
        """Return at once, or when it does not hang any more."""
        while self.hung is not None:
            await self.hung.wait()

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.links.add(task)
        try:
            while True:
                await self.awake()
                request = await read_head(reader)
                await self.awake()
                rid = request.headers.get("x-request-id", "")
                self.began.append((rid, self.record.now()))
                self.record.say(f"{self.name} gets {rid}")
                await read_body(reader, request, lambda _: None)
                await self.awake()
                self.ran.append((rid, self.record.now()))
                self.record.say(f"{self.name} runs {rid}")
                if self.reply is not None:
                    await self.reply(self, request, writer)
                else:
                    await asyncio.sleep(self.work)
                    await self.awake()
                    writer.write(answer_bytes(200, self.answer_to(request), self.report()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.links.discard(task)
            writer.transport.abort()

    def answer_to(self, request: Message) -> bytes:
        """The body that this server makes for a request."""
        return f"{self.name} did {request.headers.get('x-request-id', '')}\n".encode()

    @staticmethod
    def report() -> dict[str, str]:
        """The load report, as the settings name it."""
        return {"X-Load": '{"eps":0.0,"util":0.2,"failed_ps":0.0,"cpu_share":0.2}'}

    async def stop(self) -> None:
        """End the process that this stands for: no listener, all connections reset."""
        if self.server is not None:
            self.server.close()
        for task in list(self.links):
            task.cancel()
        await asyncio.sleep(0)


# ---- discovery ----


@dataclass(eq=False)
class Discovery:
    """The list in generations: whole, or its changes, and watches that wait for the next one."""

    record: Record
    port: int = 0
    rows: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    generation: int = 41
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    render: Callable[[bytes], bytes] = lambda body: answer_bytes(200, body)
    closes: bool = False  # it ends the connection after each answer
    # Called for each call, by the number of its connection: whether it was dealt with otherwise.
    intercept: Callable[[int, asyncio.StreamWriter], Coroutine[Any, Any, bool]] | None = None
    told: list[tuple[float, int, int]] = field(default_factory=list)  # when, connection, generation
    calls: list[tuple[float, int]] = field(default_factory=list)  # when, connection
    server: asyncio.Server | None = None
    owner: dict[int, str] = field(default_factory=dict)  # of each connection: who called, if known

    async def start(self) -> None:
        """Listen."""
        self.port = self.port or free_port()
        self.numbers = itertools.count()
        self.server = await asyncio.start_server(self._link, "127.0.0.1", self.port)

    def put(self, *servers: Server) -> None:
        """Servers are new or changed; the lifecycle `left` takes one off the list."""
        for one in servers:
            self.generation += 1
            row = one.row()
            if one.lifecycle == "left":
                self.rows.pop(one.name, None)
            else:
                self.rows[one.name] = row
            self.changes.append((self.generation, row))
            self.record.say(f"discovery has {one.name} {one.lifecycle}, generation {self.generation}")
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def since(self, version: int) -> dict[str, Any]:
        """The changes since a version."""
        latest = {row["instanceId"]: row for generation, row in self.changes if generation > version}
        return {"generation": self.generation, "reset": False, "instances": list(latest.values())}

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = next(self.numbers)
        try:
            while True:
                request = await read_head(reader)
                self.calls.append((self.record.now(), number))
                self.record.say(f"discovery is called on connection {number}: {request.start}")
                if self.intercept is not None and await self.intercept(number, writer):
                    if writer.is_closing():
                        return
                    continue
                query = dict(
                    part.split("=") for part in request.start.split()[1].partition("?")[2].split("&") if part
                )
                if "from" in query:
                    version = int(query["from"])
                    until = time.monotonic() + min(int(query.get("hold_ms", "0")), 60_000) / 1000
                    while self.generation == version and time.monotonic() < until:
                        with contextlib.suppress(TimeoutError):
                            async with asyncio.timeout(until - time.monotonic()):
                                await self.changed.wait()
                    found = self.since(version)
                else:
                    found = self.whole()
                writer.write(self.render(json.dumps(found).encode()))
                await writer.drain()
                self.told.append((self.record.now(), number, found["generation"]))
                self.record.say(
                    f"discovery answers on connection {number}: generation {found['generation']}, "
                    f"{len(found['instances'])} entries"
                )
                if self.closes:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---- balancers ----


@dataclass(eq=False)
class Balancer:
    """A balancer's process, started as the platform does."""

    name: str
    record: Record
    folder: pathlib.Path
    config: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None
    environment: dict[str, str] = field(default_factory=dict)  # besides what the platform always sets

    @property
    def port(self) -> int:
        """Where clients connect."""
        return int(self.config["listen"].rpartition(":")[2])

    def start(self) -> None:
        """Start `run` of the deploy file from the repository's folder."""
        own = self.folder / self.name
        (own / "tmp").mkdir(parents=True, exist_ok=True)
        path = own / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(own),
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(path),
            "TMPDIR": str(own / "tmp"),
            **self.environment,
        }
        with (own / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.say(f"{self.name} is started, listening at {self.config['listen']}")

    def reload(self, **changed: Any) -> None:
        """Replace its file, at once, and send SIGHUP."""
        self.config = {**self.config, **changed}
        path = self.folder / self.name / "config.json"
        draft = path.with_suffix(".new")
        draft.write_text(json.dumps(self.config), encoding="utf-8")
        draft.replace(path)
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.record.say(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """What it wrote."""
        return (self.folder / self.name / "log").read_text(encoding="utf-8", errors="replace")

    def memory_mb(self) -> float:
        """Its resident memory now, and 0 if it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError, ValueError, IndexError):
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
            return int(text.split("VmRSS:")[1].split()[0]) / 1024
        return 0.0

    async def ready(self, within: float = 20.0) -> None:
        """Wait until `/ready` says yes."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CaseError(f"{self.name} has ended: {self.log()[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    try:
                        writer.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                        if (await read_head(reader)).status == 200:
                            return
                    finally:
                        writer.close()
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready in {within} s")

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def configuration(
    discovery: int, given: dict[str, Any], known: Any, number: int = 0, **limits: int
) -> dict[str, Any]:
    """What the platform tells a balancer."""
    own = copy.deepcopy(given)
    own["me"] = number
    return {
        "name": f"n{number}",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
        "known": known,
        "settings": own,
    }


# ---- clients ----


@dataclass(eq=False)
class Try:
    """A request of a client and what came of it."""

    rid: str
    to: str
    long: bool = False  # it has a body of more than 64 KiB
    status: int = 0  # 0: none yet
    body: bytes = b""
    written: float = 0.0  # when the balancer's machine had its last byte; 0: not seen
    ended: float = 0.0
    begun: bool = False  # the head of its answer has come
    how: str = "open"  # done, late, or closed


_ids = itertools.count(1)


def new_id() -> str:
    """The id of a new request."""
    return f"{next(_ids):06x}{os.urandom(5).hex()}"


PIECE = 64 << 10  # bytes of a body that a client writes at once where it keeps a pace


class Client:
    """One connection of a client, kept between requests and opened anew when it has ended."""

    def __init__(self, record: Record, balancer: Balancer) -> None:
        self.record, self.balancer = record, balancer
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection unless it is open."""
        if self.writer is None or self.writer.is_closing() or self.reader is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.balancer.port, limit=1 << 16
            )

    def close(self) -> None:
        """End the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def _note_taken(self, tried: Try, writer: asyncio.StreamWriter) -> None:
        """Note when the balancer's machine has the last byte: none is unsent or unacknowledged any more."""
        sock = writer.get_extra_info("socket")
        with contextlib.suppress(OSError, ValueError):
            while writer.transport.get_write_buffer_size() or struct.unpack(
                "i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
            ) != (0,):
                await asyncio.sleep(0.002)
            tried.written = self.record.now()
            self.record.say(f"the balancer's machine has the last byte of {tried.rid}")

    async def ask(
        self,
        name: str,
        kind: str,
        deadline: float,
        body: bytes = b"",
        path: str = "/api",
        patience: float = 0.0,
        pace: float = 0.0,
    ) -> Try:
        """Send a request and wait for its answer, `deadline` seconds and `patience` more.

        `pace`: bytes a second of the body, which is then written in pieces of 64 KiB; 0: all at once.
        """
        tried = Try(new_id(), self.balancer.name, len(body) > 65536)
        method = "GET" if kind == "pure" else "POST"
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: backend.local",
            f"X-Request-Id: {tried.rid}",
            f"X-Class: {name}",
            f"X-Deadline-Ms: {int(deadline * 1000)}",
        ]
        if kind == "token":
            lines.append(f"Idempotency-Key: {os.urandom(16).hex()}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self.record.say(f"client sends {tried.rid} {name} to {self.balancer.name}, {len(body)} bytes of body")
        watch: asyncio.Task[None] | None = None
        try:
            await self.connect()
            assert self.reader is not None and self.writer is not None
            step = PIECE if pace else len(data)
            for at in range(0, len(data), step):
                self.writer.write(data[at : at + step])
                await self.writer.drain()
                if pace:
                    await asyncio.sleep(step / pace)
            watch = asyncio.create_task(self._note_taken(tried, self.writer))
            async with asyncio.timeout(deadline + patience):
                answer = await read_head(self.reader)
                tried.begun = True
                await read_body(self.reader, answer, lambda _: None)
            tried.status, tried.body, tried.how = answer.status, answer.body, "done"
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
        except TimeoutError:
            tried.how = "late"
            self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as exc:
            tried.how = f"closed ({type(exc).__name__})"
            self.close()
        if watch is not None:
            watch.cancel()
        tried.ended = self.record.now()
        text = tried.body[:60].decode("latin-1").strip()
        self.record.say(f"client hears of {tried.rid}: {tried.how} {tried.status} {text}")
        return tried


# ---- a case ----


@contextlib.contextmanager
def workplace() -> Iterator[pathlib.Path]:
    """A folder that lasts as long as the case."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lifttrail-case-"))
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_case(
    file: str, case: Callable[[Record, pathlib.Path, list[Balancer]], Coroutine[Any, Any, int]]
) -> None:
    """Run a case and exit with its code; all balancers in the list are ended."""
    record = Record(pathlib.Path(file).resolve().parent)
    balancers: list[Balancer] = []

    async def bounded() -> int:
        async with asyncio.timeout(115):
            return await case(record, folder, balancers)

    code = NOT_RUN
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the balancers are ended then, too
    with workplace() as folder:
        try:
            code = asyncio.run(bounded())
        except (CaseError, OSError, TimeoutError) as exc:
            record.result(f"the case could not run: {type(exc).__name__}: {exc}")
        finally:
            for one in balancers:
                one.end()
    record.file.close()
    sys.exit(code)


async def install(
    record: Record,
    folder: pathlib.Path,
    balancers: list[Balancer],
    servers: list[Server],
    given: dict[str, Any],
    **limits: int,
) -> Discovery:
    """Start discovery, the servers and the balancers of the settings, and wait until all are ready."""
    for server in servers:
        await server.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(*servers)
    for number in range(given["balancers"]):
        config = configuration(discovery.port, given, discovery.whole(), number, **limits)
        balancers.append(Balancer(config["name"], record, folder, config))
        balancers[-1].start()
    await asyncio.gather(*(one.ready() for one in balancers))
    return discovery

"""Stand-ins and helpers that the cases share. Standard library only; all addresses are loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
_taken: list[socket.socket] = []


class CannotRunError(Exception):
    """The case could not run; the text says why."""


def free_port() -> int:
    """A free TCP port, which no later call returns again."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind((HOST, 0))
    _taken.append(found)  # kept bound, without listening, so that the system does not hand it out
    return int(found.getsockname()[1])


def release(port: int) -> None:
    """Give up a port of `free_port` so that a process of the case can listen there."""
    for one in _taken[:]:
        if one.getsockname()[1] == port:
            one.close()
            _taken.remove(one)


class Record:
    """Writes what happens to `record.txt`, a line each, with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def __call__(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write a line that also goes to the standard output."""
        print(text, flush=True)
        self("verdict", text=text)


def service(
    name: str, kind: str, aim_ms: int, deadline_ms: int, worth: float, late: float = 0.2
) -> dict[str, Any]:
    """One class of the settings, in the deployment's form."""
    return {
        "name": name,
        "goalTimeNs": aim_ms * 1_000_000,
        "deadlineNs": deadline_ms * 1_000_000,
        "idempotency": kind,
        "group": "cell" if kind == "token" else "all",
        "lateShare": late,
        "stream": False,
        "windowNs": 4_000_000_000 if kind == "token" else 5_000_000_000,
        "worth": worth,
    }


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment like the operators' own, with all documented keys."""
    made: dict[str, Any] = {
        "az": 0,
        "balancers": 1,
        "bounds": {
            "cancelling": True,
            "connectTimeoutNs": 120_000_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500_000,
            "keepaliveNs": 10_000_000_000,
            "maxAttempts": 3,
            "maxRetryAfterNs": 750_000_000,
            "mayTell": True,
            "mostHeld": 20_000,
            "multiplex": 1,
            "probes": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "clients": {"marksRetry": True},
        "costs": dict.fromkeys(
            "connection crossZone discovery handshake lateFail moves origin peer probe waste".split(), 0.03
        ),
        "discovery": "ask",
        "domain": {"warmKeys": False},
        "domainType": "proxy",
        "failureDomains": ["room-1", "room-2"],
        "goal": {"whole": 0.8, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.1},
        "kinds": ["standard"],
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
            service("status-check", "pure", 250, 1000, 5.0),
            service("reminder-set", "token", 400, 800, 3.0, 0.25),
            service("sms-send", "side_effect", 400, 1500, 5.0),
        ],
        "stepNs": 2_000_000,
        "tiers": ["senders"],
        "valueBy": "request",
        "weights": "rough",
    }
    made.update(changes)
    return made


class Lines:
    """Reads HTTP/1.1 messages with a stated length from a stream."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    async def head(self) -> tuple[str, dict[str, str]] | None:
        """The first line and the headers, or None at the end of the stream."""
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            return None
        first, *rest = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in rest:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers


class Discovery:
    """Discovery as the protocol page has it: the whole list, and a watch with `from` and `hold_ms`.

    `crowded`: calls wait in turn and fail with 503 after `call_wait` seconds, as those that waited too long.
    """

    def __init__(self, record: Record, rows: list[dict[str, Any]]) -> None:
        self.record, self.generation = record, 1
        self.rows = {row["instanceId"]: row for row in rows}
        self.changed: dict[str, int] = dict.fromkeys(self.rows, 1)
        self.crowded, self.call_wait = False, 2.0
        self.port = 0
        self.news = asyncio.Condition()
        self.on_failed: Callable[[float], None] = lambda when: None
        self.told_at: dict[str, float] = {}

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def change(self, name: str, **fields: Any) -> None:
        """Change the row of one upstream."""
        self.generation += 1
        self.rows[name] = {**self.rows[name], **fields}
        self.changed[name] = self.generation
        self.record("discovery.change", upstream=name, generation=self.generation, **fields)
        await self.wake()

    async def wake(self) -> None:
        """Let the calls that wait look again."""
        async with self.news:
            self.news.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines = Lines(reader)
        with contextlib.suppress(ConnectionError):
            while (got := await lines.head()) is not None:
                target = got[0].split(" ")[1]
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                body, status = await self._answer(query)
                self.record("discovery.call", target=target, status=status, crowded=self.crowded)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(body))
                    + body
                )
                await writer.drain()
                if status != 200:
                    self.on_failed(time.monotonic())
                    break
        writer.close()

    async def _answer(self, query: dict[str, str]) -> tuple[bytes, int]:
        if self.crowded:
            await asyncio.sleep(self.call_wait)
            return b"", 503
        since = int(query["from"]) if "from" in query else None
        if since is None:
            return self._list(None), 200
        until = time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        while self.generation <= since and not self.crowded and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left), self.news:
                    await self.news.wait()
        if self.crowded:
            return b"", 503  # the watch ends
        return self._list(since), 200

    def _list(self, since: int | None) -> bytes:
        rows = [row for name, row in self.rows.items() if since is None or self.changed[name] > since]
        for row in rows:
            self.told_at.setdefault(f"{row['instanceId']} {row['lifecycle']}", time.monotonic())
        return json.dumps({"generation": self.generation, "reset": since is None, "instances": rows}).encode()


Handler = Callable[
    ["Server", str, dict[str, str], bytes], Awaitable[tuple[int, bytes, dict[str, str]] | None]
]


class Server:
    """An upstream that answers with what `handler` returns; None: it closes the connection unanswered."""

    def __init__(self, record: Record, name: str, handler: Handler, cell: int = 0, buffer: int = 0) -> None:
        """`buffer`: bytes of its connections' receive buffers; 0: as the system has it."""
        self.buffer = buffer
        self.record, self.name, self.handler, self.cell = record, name, handler, cell
        self.port = 0
        self.stopped = False  # reads nothing more

    async def start(self) -> None:
        """Listen."""
        listening = socket.socket()
        if self.buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer)
        listening.bind((HOST, 0))
        self.port = listening.getsockname()[1]
        await asyncio.start_server(self._serve, sock=listening, limit=1 << 16)

    def row(self, **fields: Any) -> dict[str, Any]:
        """Its row in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "room-1",
            "machineType": "standard",
            "cell": self.cell,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
            **fields,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines = Lines(reader)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (got := await lines.head()) is not None:
                first, headers = got
                size = int(headers.get("content-length", "0"))
                body = bytearray()
                while len(body) < size:
                    while self.stopped:
                        await asyncio.sleep(0.05)
                    piece = await reader.read(min(1 << 16, size - len(body)))
                    if not piece:
                        return
                    body += piece
                answer = await self.handler(self, first, headers, bytes(body))
                if answer is None:
                    break
                status, text, more = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n"
                head += "".join(f"{name}: {value}\r\n" for name, value in more.items())
                writer.write(head.encode() + b"\r\n" + text)
                await writer.drain()
        writer.close()


class Balancer:
    """One balancer process, started by `run` of the deploy file."""

    def __init__(
        self,
        record: Record,
        work: Path,
        name: str,
        discovery: int,
        known: list[dict[str, Any]],
        limits: dict[str, Any] | None = None,
        features: str | None = None,
        **fields: Any,
    ) -> None:
        self.record, self.name = record, name
        self.port, self.folder = free_port(), work / name
        (self.folder / "tmp").mkdir(parents=True)
        self.file = self.folder / "config.json"
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery}",
            "seed": secrets.token_hex(8),
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{HOST}:{free_port()}",
            "peers": [],
            "peers_all": None,
            "known": {"generation": 1, "reset": True, "instances": known},
            "settings": settings(),
            **fields,
        }
        self.features = features
        self.process: subprocess.Popen[bytes] | None = None
        self.started: list[subprocess.Popen[bytes]] = []  # all processes, also those that were replaced
        self.listener: socket.socket | None = None  # of the clients, where the platform holds it

    def hold_listener(self) -> None:
        """The platform holds the clients' listening socket; every process inherits it as descriptor 3."""
        release(self.port)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.listener.listen(1024)

    def write(self) -> None:
        """Write the configuration, as a whole."""
        draft = self.file.with_suffix(".new")
        draft.write_text(json.dumps(self.config))
        draft.rename(self.file)

    def start(self, **environment: str) -> None:
        """Start the process."""
        self.write()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "LIFTTRAIL_"))}
        env |= {
            "NODE_NAME": self.name,
            "NODE_LISTEN": str(self.config["listen"]),
            "NODE_DISCOVERY": str(self.config["discovery"]),
            "NODE_CONFIG": str(self.file),
            "TMPDIR": str(self.folder / "tmp"),
            **environment,
        }
        if self.features is not None:
            path = self.folder / "features.toml"
            path.write_text(self.features)
            env["LIFTTRAIL_FEATURES"] = str(path)
        log = (self.folder / "log.txt").open("ab")
        inherit: dict[str, Any] = {}
        if self.listener is None:
            release(self.port)
        else:
            held = self.listener.fileno()
            env["NODE_INHERITED_FD"] = "3"
            inherit = {"preexec_fn": lambda: os.dup2(held, 3), "pass_fds": (3,)}
        # Its own session: with the shell it can be ended as one group.
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
            **inherit,
        )
        self.started.append(self.process)
        self.record("balancer.start", name=self.name, pid=self.process.pid, port=self.port)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        self.record("balancer.signal", name=self.name, signal=number.name)
        self.process.send_signal(number)

    async def ready(self, within: float = 30.0) -> None:
        """Wait until `/ready` says yes."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                raise CannotRunError(f"balancer {self.name} has ended: {self.log()[-600:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                status, _, _ = await ask(
                    self.port, b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0
                )
                if status == 200:
                    self.record("balancer.ready", name=self.name)
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"balancer {self.name} is not ready: {self.log()[-600:]}")

    def log(self) -> str:
        """What it has logged."""
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""

    def end(self) -> None:
        """End its processes, whatever their state, and wait for that."""
        for process in self.started:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
                process.wait()


class Relays:
    """Carries datagrams between balancers, each of which sees the others under addresses of its own."""

    def __init__(self, record: Record, places: int) -> None:
        self.record, self.places = record, places
        self.listen = [free_port() for _ in range(places)]  # where each balancer hears datagrams
        self.seen: dict[tuple[int, int], asyncio.DatagramTransport] = {}  # at this address a sees b
        self.deaf: set[int] = set()  # nothing arrives at these

    async def start(self) -> None:
        """Open an address for each ordered pair."""
        loop = asyncio.get_running_loop()
        for a in range(self.places):
            for b in range(self.places):
                if a != b:
                    transport, _ = await loop.create_datagram_endpoint(
                        partial(_Relay, self, a, b), local_addr=(HOST, 0)
                    )
                    self.seen[a, b] = transport

    def peers(self, number: int) -> list[str]:
        """The addresses of all balancers as this one sees them."""
        return [
            f"{HOST}:{self.listen[n] if n == number else self.seen[number, n].get_extra_info('sockname')[1]}"
            for n in range(self.places)
        ]

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        """Pass a datagram on, from the address under which its receiver knows its sender."""
        if receiver not in self.deaf:
            self.seen[receiver, sender].sendto(data, (HOST, self.listen[receiver]))


class _Relay(asyncio.DatagramProtocol):
    """The address at which balancer `a` sees balancer `b`."""

    def __init__(self, relays: Relays, a: int, b: int) -> None:
        self.relays, self.a, self.b = relays, a, b

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """A datagram of `a` for `b`."""
        self.relays.carry(self.a, self.b, data)


async def ask(port: int, data: bytes, within: float) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and return status, headers and body of the answer."""
    async with asyncio.timeout(within):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(data)
            await writer.drain()
            got = await Lines(reader).head()
            if got is None:
                raise ConnectionResetError("no answer")
            body = await reader.readexactly(int(got[1].get("content-length", "0")))
            return int(got[0].split(" ")[1]), got[1], body
        finally:
            writer.close()


def request(method: str, name: str, klass: str, deadline_ms: int, body: bytes = b"", key: str = "") -> bytes:
    """A client's request in the form of the protocol page."""
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: backend.local",
        f"X-Request-Id: {name}",
        f"X-Class: {klass}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run(
    folder: Path, case: Callable[[Record, Path, list[Balancer]], Awaitable[int]], limit: float = 110.0
) -> None:
    """Run a case and exit with its result; every process that it started is ended first."""
    record, balancers = Record(folder), list[Balancer]()
    work = Path(tempfile.mkdtemp(prefix="review-"))
    result = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:

        async def bounded() -> int:
            async with asyncio.timeout(limit):
                return await case(record, work, balancers)

        with asyncio.Runner() as runner:
            runner.get_loop().set_exception_handler(lambda *_: None)  # connections that are open at the end
            result = runner.run(bounded())
    except Exception as exc:  # a fault of the script must not pass for a broken rule
        record.say(f"the case could not run: {type(exc).__name__}: {exc}")
    finally:
        for one in balancers:
            one.end()
        for one in balancers:
            for line in one.log().splitlines()[-40:]:
                record("log", name=one.name, line=line)
        shutil.rmtree(work, ignore_errors=True)
    record("exit", code=result)
    sys.exit(result)

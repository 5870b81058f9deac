"""Idle clients use up file descriptors while discovery is down; it must still be reached when it is back."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from tests.node.messages import instance, listing, request
from tests.node.stubs import configuration
from tests.node.test_one_process import DESCRIPTOR_LIMIT, with_few_descriptors

Address = tuple[str, int]


def server(address: Address, answers: Callable[[str], bytes]) -> ThreadingHTTPServer:
    """An HTTP server in a thread; `answers` returns the body for a request's target."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self) -> None:
            self.rfile.read(int(self.headers.get("content-length", "0")))
            body = answers(self.path)
            with suppress(OSError):  # the balancer has ended
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        def log_message(self, format: str, *args: object) -> None:
            """Log nothing."""

    for method in ("GET", "POST"):
        setattr(Handler, f"do_{method}", Handler.answer)  # the names that http.server calls
    ThreadingHTTPServer.allow_reuse_address = True
    http_server = ThreadingHTTPServer(address, Handler)
    http_server.daemon_threads = True
    threading.Thread(target=http_server.serve_forever, daemon=True).start()
    return http_server


def free_address() -> Address:
    with socket.create_server(("127.0.0.1", 0)) as one:
        found: Address = one.getsockname()
        return found


class Crowd:
    """Idle clients: three times as many as there are descriptors, reconnecting at once when closed."""

    def __init__(self, address: Address) -> None:
        self.address, self.stopped = address, threading.Event()
        self.turned_away = threading.Event()  # set once the balancer has closed a connection
        self.threads = [
            threading.Thread(target=self.connect, daemon=True) for _ in range(3 * DESCRIPTOR_LIMIT)
        ]
        for thread in self.threads:
            thread.start()

    def connect(self) -> None:
        while not self.stopped.is_set():
            with suppress(OSError), socket.create_connection(self.address, timeout=0.5) as one:
                if one.recv(1) == b"":  # else a timeout after 0.5 s: reconnect
                    self.turned_away.set()

    def end(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def ask(address: Address, data: bytes) -> bytes:
    """Send a request until it is answered: the balancer may close this connection for another."""
    while True:
        with suppress(OSError), socket.create_connection(address, timeout=30) as one:
            one.sendall(data)
            if found := one.recv(4096):
                return found


READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


class Discovery:
    """A discovery service with one list and no changes; it runs while this context is entered."""

    def __init__(self, *rows: dict[str, Any], generation: int = 2) -> None:
        self.rows, self.generation = rows, generation
        self.address = free_address()
        self.never = threading.Event()

    def answers(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        if "from" in query and int(query["from"][0]) >= self.generation:
            self.never.wait(int(query["hold_ms"][0]) / 1000)
            return json.dumps(listing(self.generation, False)).encode()
        return json.dumps(listing(self.generation, True, *self.rows)).encode()

    def __enter__(self) -> Discovery:
        self.server = server(self.address, self.answers)
        return self

    def __exit__(self, *_: object) -> None:
        self.server.shutdown()


def configured(mode: str, discovery: Address, **changes: Any) -> dict[str, Any]:
    given = {**configuration(discovery), "listen": "%s:%d" % free_address(), **changes}
    given["limits"] = {"sockets": DESCRIPTOR_LIMIT, "memory_mb": 64}
    given["settings"]["discovery"] = mode
    given["settings"]["bounds"]["keepaliveNs"] = 3600_000_000_000  # idle connections stay open
    return given


@contextmanager
def crowded(folder: Path, given: dict[str, Any], requests: list[bytes]) -> Iterator[subprocess.Popen[bytes]]:
    """A daemon that has answered these requests and whose descriptors idle clients use up."""
    address = address_of(given)
    daemon, crowd = with_few_descriptors(folder, given), None
    try:
        ready = ask(address, READY)
        assert given.get("known") or b"503" in ready  # without a list of upstreams
        for one in requests:
            ask(address, one)
        crowd = Crowd(address)
        crowd.turned_away.wait()
        yield daemon
    finally:
        if crowd is not None:
            crowd.end()
        daemon.terminate()
        assert daemon.wait(60) == 0


def address_of(given: dict[str, Any]) -> Address:
    host, _, port = given["listen"].partition(":")
    return host, int(port)


def until_ready(daemon: subprocess.Popen[bytes], given: dict[str, Any], data: bytes) -> None:
    while b"200 OK" not in ask(address_of(given), data):
        assert daemon.poll() is None


def upstreams(number: int) -> list[ThreadingHTTPServer]:
    return [server(("127.0.0.1", 0), lambda _: b"done") for _ in range(number)]


def rows_of(servers: list[ThreadingHTTPServer]) -> list[dict[str, Any]]:
    return [instance(f"s{n}", ("127.0.0.1", one.server_port)) for n, one in enumerate(servers)]


@pytest.mark.skipif(sys.platform != "linux", reason="limits descriptors")
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_discovery_is_reached_when_it_is_back_however_many_clients_are_idle(
    tmp_path: Path, mode: str
) -> None:
    servers = upstreams(1)
    back = Discovery(*rows_of(servers))
    given = configured(mode, back.address)
    with crowded(tmp_path, given, []) as daemon, back:
        until_ready(daemon, given, READY)
        assert b"200 OK" in ask(address_of(given), request(rid="r1"))
    servers[0].shutdown()


@pytest.mark.skipif(sys.platform != "linux", reason="limits descriptors")
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_new_discovery_is_reached_however_many_clients_are_idle(tmp_path: Path, mode: str) -> None:
    """The watch on the previous one continues until then, and also needs a descriptor."""
    servers = upstreams(1)
    before, after = Discovery(), Discovery(*rows_of(servers))
    given = configured(mode, before.address)
    with before, crowded(tmp_path, given, []) as daemon:
        moved = {**given, "discovery": "%s:%d" % after.address}
        (tmp_path / "config.json").write_text(json.dumps(moved))
        daemon.send_signal(signal.SIGHUP)
        with after:
            until_ready(daemon, given, READY)
            assert b"200 OK" in ask(address_of(given), request(rid="r1"))
    servers[0].shutdown()


@pytest.mark.skipif(sys.platform != "linux", reason="limits descriptors")
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_discovery_is_reached_despite_idle_connections_to_upstreams_and_idle_clients(
    tmp_path: Path, mode: str
) -> None:
    """Both together used up all descriptors of a small process, so that discovery could not be connected."""
    servers, added = upstreams(DESCRIPTOR_LIMIT), server(("127.0.0.1", 0), lambda _: b"added")
    rows = rows_of(servers)
    removed, new = (
        [{**row, "lifecycle": "leaving"} for row in rows],
        instance("s99", ("127.0.0.1", added.server_port)),
    )
    back = Discovery(*removed, new)
    given = configured(mode, back.address, known=listing(1, True, *rows))
    with (
        crowded(tmp_path, given, [request(rid=f"r{n}") for n in range(6 * DESCRIPTOR_LIMIT)]) as daemon,
        back,
    ):
        n = 0
        while b"added" not in ask(address_of(given), request(rid=f"s{n}")):
            n += 1
            assert daemon.poll() is None
    for one in [*servers, added]:
        one.shutdown()

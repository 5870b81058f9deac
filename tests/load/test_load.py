"""The load tool: what it draws, what it measures when things stall, how it searches, what it will not do."""

from __future__ import annotations

import asyncio
import contextlib
import json
import threading
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import msgspec
import pytest

from dykeshift.cli import main
from dykeshift.load.drive import Drive
from dykeshift.load.schedule import Kind, Load, draw
from dykeshift.load.search import Search, Service
from dykeshift.load.tally import Answer, Tally
from dykeshift.load.transports import Mllp
from dykeshift.standins.mllp_script import ScriptedServer, read_script

Capture = pytest.CaptureFixture[str]
HERE = "127.0.0.1:1"
ONE = (Kind("read", 1.0, "safe", 1000),)


# ---- what is drawn ----


def test_the_same_seed_draws_the_same_load_and_shapes_hold() -> None:
    load = Load(address=HERE, rate=100, seconds=20)
    orders = draw(load)
    assert orders == draw(load) != draw(msgspec.structs.replace(load, seed=2))
    assert abs(len(orders) - 2000) < 200 and all(0 <= o.due <= 20 for o in orders)
    assert [o.due for o in orders] == sorted(o.due for o in orders)
    shares = [sum(o.kind == k for o in orders) / len(orders) for k in range(3)]
    assert shares == pytest.approx([0.5, 0.3, 0.2], abs=0.05)
    constant = draw(msgspec.structs.replace(load, shape="constant", rate=4, seconds=1))
    assert [o.due for o in constant] == [0, 0.25, 0.5, 0.75]
    steps = draw(Load(address=HERE, shape="steps", steps=((10, 5), (200, 5))))
    assert sum(o.due < 5 for o in steps) < 100 < 800 < sum(o.due >= 5 for o in steps)
    trace = draw(Load(address=HERE, shape="trace", trace=(3.0, 1.0)))
    assert [o.due for o in trace] == [1.0, 3.0]


# ---- what is measured, on a clock of its own ----


class Scripted:
    """A transport that answers as told, after so long; all stands still at times."""

    def __init__(self, *answers: tuple[float, str], advice: float | None = None) -> None:
        self.answers = list(answers)
        self.advice = advice
        self.asked: list[tuple[str, int]] = []

    async def ask(self, name: str, kind: Kind, left_s: float, turn: int) -> Answer:
        self.asked.append((name, turn))
        wait, how = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        await asyncio.sleep(min(wait, left_s))
        return Answer(how, self.advice) if wait <= left_s else Answer("unanswered")

    async def close(self) -> None: ...


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time stands still but for timers, which come at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            self.now = max(self.now, self._scheduled[0]._when)  # type: ignore[attr-defined]
        super()._run_once()  # type: ignore[misc]


def drive(load: Load, transport: Scripted, stall: tuple[float, float] | None = None) -> Tally:
    """Play a load in virtual time; the load's own machine stands still for (at, seconds)."""
    loop = VirtualLoop()

    async def go() -> Tally:
        if stall is not None:
            at, seconds = stall
            loop.call_at(at, lambda: setattr(loop, "now", at + seconds))
        return await Drive(load, 0, transport, lambda n: None).run(0.0)

    try:
        return loop.run_until_complete(go())
    finally:
        loop.close()


def test_a_stall_of_the_loads_own_machine_is_in_the_figures() -> None:
    kinds = (Kind("read", 1.0, "safe", 5000),)
    load = Load(address=HERE, shape="constant", rate=100, seconds=10, kinds=kinds)
    calm = drive(load, Scripted((0.01, "served"))).figures(10)
    stalled = drive(load, Scripted((0.01, "served")), stall=(3.0, 2.0)).figures(10)
    assert calm["times_ms"]["99"] == pytest.approx(10, rel=0.02) and calm["own_lateness_ms"]["99.9"] < 1
    # A fifth of the requests were due while it stood still: the slowest waited 2 s, the mean of them 1 s.
    assert stalled["times_ms"]["max"] == pytest.approx(2010, rel=0.02)
    assert stalled["times_ms"]["90"] == pytest.approx(1010, rel=0.05)
    assert stalled["own_lateness_ms"]["max"] == pytest.approx(2000, rel=0.02)
    assert stalled["errands"] == calm["errands"] == 1000


def test_an_open_loop_goes_on_while_answers_are_slow_and_a_closed_one_waits() -> None:
    slow = Scripted((0.5, "served"))
    opened = drive(Load(address=HERE, shape="constant", rate=100, seconds=2, kinds=ONE), slow)
    closed = drive(Load(address=HERE, shape="closed", clients=5, seconds=2, kinds=ONE), slow)
    assert opened.ends["served"] == 200 and closed.ends["served"] == 20


@pytest.mark.parametrize(
    ("kind", "first", "tries"),
    [
        ("safe", "failed", 2),
        ("safe", "broken", 2),
        ("keyed", "failed", 1),
        ("unsafe", "failed", 1),
        ("unsafe", "broken", 1),
        ("keyed", "refused", 2),
        ("unsafe", "refused", 2),
        ("safe", "served", 1),
    ],
)
def test_it_tries_again_only_where_that_is_harmless(kind: str, first: str, tries: int) -> None:
    raw = {"name": "k", "share": 1.0, "kind": kind, "deadline_ms": 1000}
    kinds = (msgspec.convert(raw, Kind),)
    transport = Scripted((0.01, first), (0.01, "served"))
    drive(Load(address=HERE, shape="trace", trace=(0.0,), kinds=kinds, retries=3), transport)
    assert len(transport.asked) == tries and [turn for _, turn in transport.asked] == list(range(tries))


def test_refusals_are_told_by_when_they_came_and_what_they_advise() -> None:
    load = Load(address=HERE, shape="constant", rate=10, seconds=1, kinds=ONE)
    assert drive(load, Scripted((0.01, "refused"), advice=0.1)).refusals == {"at once, with advice": 10}
    held = drive(load, Scripted((0.9, "refused")))
    assert held.refusals == {"late, without advice": 10} and held.ends == {"refused": 10}
    assert drive(load, Scripted((5.0, "served"))).ends == {"unanswered": 10}


def test_tallies_of_processes_add_up() -> None:
    load = Load(address=HERE, shape="constant", rate=100, seconds=1, processes=2)
    whole, parts = Tally(tuple(k.name for k in load.kinds)), []
    for part in range(2):
        loop = VirtualLoop()
        one = Scripted((0.01 * (part + 1), "served"))

        async def go(part: int = part, one: Scripted = one) -> Tally:
            return await Drive(load, part, one, lambda n: None).run(0.0)

        parts.append(loop.run_until_complete(go()))
        loop.close()
        whole.add(parts[-1].pack())
    figures = whole.figures(1.0)
    assert figures["errands"] == 100 and parts[0].tries == parts[1].tries == 50
    assert figures["times_ms"]["50"] == pytest.approx(10, rel=0.02)
    assert figures["times_ms"]["99"] == pytest.approx(20, rel=0.02)


# ---- the search ----


@pytest.mark.parametrize("capacity", [130.0, 3.0, 49.9, 2000.0])
def test_the_search_finds_the_edge_and_a_noisy_run_does_not_mislead_it(capacity: float) -> None:
    search, plays = Search(50.0, 1000.0), 0
    while not search.over():
        plays += 1
        noise = plays == 2  # one run fails for no reason
        search.tried(search.rate <= capacity and not noise)
    edge = min(capacity, 1000.0)
    assert edge / 1.06 <= search.low <= edge and plays < 40


def test_a_service_is_kept_only_with_its_share_and_its_percentile() -> None:
    service = Service(0.99, "99", 200.0)
    assert service.kept({"served": 0.995, "times_ms": {"99": 150.0}})
    assert not service.kept({"served": 0.98, "times_ms": {"99": 150.0}})
    assert not service.kept({"served": 0.995, "times_ms": {"99": 250.0}})
    assert not service.kept({"served": 1.0, "times_ms": {}})


# ---- on loopback ----

ANSWERS = {
    "/served": b"200 OK\r\nContent-Length: 2\r\n\r\nok",
    "/refused": b"503 No\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n",
    "/failed": b"500 No\r\nContent-Length: 0\r\n\r\n",
}


@contextlib.asynccontextmanager
async def http_server() -> AsyncIterator[tuple[str, list[str]]]:
    """Answers by path; keeps the heads of what came."""
    heads = list[str]()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                heads.append(head)
                path = head.split()[1].partition("?")[0]
                if path not in ANSWERS:
                    break
                writer.write(b"HTTP/1.1 " + ANSWERS[path])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield "%s:%d" % server.sockets[0].getsockname()[:2], heads


@contextlib.contextmanager
def in_thread() -> Iterator[tuple[str, list[str]]]:
    loop, ready, done = asyncio.new_event_loop(), threading.Event(), asyncio.Event()
    got = list[tuple[str, list[str]]]()

    async def go() -> None:
        async with http_server() as served:
            got.append(served)
            ready.set()
            await done.wait()

    thread = threading.Thread(target=loop.run_until_complete, args=(go(),))
    thread.start()
    ready.wait(30)
    try:
        yield got[0]
    finally:
        loop.call_soon_threadsafe(done.set)
        thread.join(30)
        loop.close()


@pytest.mark.parametrize(
    ("path", "answer"),
    [("/served", "served"), ("/refused", "refused"), ("/failed", "failed"), ("/broken", "broken")],
)
def test_the_command_counts_what_a_server_answers(path: str, answer: str, capsys: Capture) -> None:
    with in_thread() as (address, heads):
        code = main(
            [
                "load",
                address,
                "--rate",
                "40",
                "--seconds",
                "0.5",
                "--path",
                path,
                "--json",
                "--shape",
                "constant",
                "--class",
                "put:1:keyed:500",
                "--cost",
                "5",
            ]
        )
        found = json.loads(capsys.readouterr().out)
    assert found["answers"][answer] == found["errands"] == 20 and code == (answer != "served")
    assert all("Idempotency-Key: key-l1-" in h and "cost=5" in h and "X-Class: put" in h for h in heads)
    assert len({h.split("X-Request-Id: ")[1].split("\r")[0] for h in heads}) == 20


def test_several_processes_and_an_earlier_result_beside(tmp_path: Path, capsys: Capture) -> None:
    with in_thread() as (address, heads):
        arguments = [
            "load",
            address,
            "--rate",
            "40",
            "--seconds",
            "0.5",
            "--path",
            "/served",
            "--processes",
            "2",
        ]
        assert main([*arguments, "--json"]) == 0
        first = capsys.readouterr().out
        (tmp_path / "first.json").write_text(first)
        assert main([*arguments, "--against", str(tmp_path / "first.json")]) == 0
        assert "earlier" in capsys.readouterr().out
        assert len(heads) == 2 * json.loads(first)["errands"]


def test_mllp_acknowledgements_are_answers() -> None:
    async def go() -> list[str]:
        server = ScriptedServer(read_script("AA\nAE\nAR\nclose"))
        async with await server.start("127.0.0.1", 0):
            transport = Mllp(Load(address=HERE, protocol="mllp"), *server.address[:2])
            hows = [(await transport.ask(f"l1-{n}", ONE[0], 5.0, 0)).how for n in range(4)]
            await transport.close()
            return hows

    assert asyncio.run(go()) == ["served", "failed", "refused", "broken"]


@pytest.mark.parametrize(
    "arguments",
    [
        ("nowhere",),
        ("10.1.2.3:80",),
        ("127.0.0.1:99999",),
        (HERE, "--rate", "-1"),
        (HERE, "--rate", "1e9"),
        (HERE, "--seconds", "0"),
        (HERE, "--shape", "steps"),
        (HERE, "--shape", "steps", "--steps", "5"),
        (HERE, "--class", "a:1:odd:100"),
        (HERE, "--class", "a:0.5:safe:100"),
        (HERE, "--class", "a"),
        (HERE, "--trace", "/no/such", "--shape", "trace"),
        (HERE, "--search", "x"),
        (HERE, "--against", "/no/such"),
        (HERE, "--search", "0.9,99,100", "--shape", "closed"),
        (HERE, "--processes", "1000"),
    ],
)
def test_what_it_will_not_do_is_one_line(arguments: tuple[str, ...], capsys: Capture) -> None:
    code = main(["load", *arguments])
    out, err = capsys.readouterr()
    assert code == 2 and out == "" and err.startswith("lifttrail load") and err.count("\n") == 1

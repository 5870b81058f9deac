"""The list: what is asked, what is taken over, and what a broken call or update does."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from typing import Any

import pytest

from dykeshift.clock import SYSTEM
from dykeshift.interface import Action, CallEnd, ListKind, ServerList, ServerState
from dykeshift.engine import discovery
from dykeshift.engine.discovery import ANSWER_TIMEOUT_S, HOLD_MS, QUIET, Reader, number_of
from dykeshift.rules import SPREAD, TOLD, UNANSWERED
from tests.node.messages import answer, instance, listing, read_message, request
from tests.node.stubs import Node, Registry, Stub, node, run, says, settings, until


def listen(balancer: Node) -> list[ServerList]:
    """All lists that reach the module from here on."""
    heard: list[ServerList] = []
    module = balancer.front.driver.balancer
    told = module.on_list

    def on_list(now: int, update: ServerList) -> list[Action]:
        heard.append(update)
        return told(now, update)

    module.on_list = on_list  # type: ignore[method-assign]
    return heard


def fail_once(balancer: Node) -> None:
    """The module fails over the next list, and over no other."""
    module = balancer.front.driver.balancer
    sound = module.on_list

    def faulty(now: int, update: ServerList) -> list[Action]:
        module.on_list = sound  # type: ignore[method-assign]
        raise RuntimeError("planted")

    module.on_list = faulty  # type: ignore[method-assign]


def test_a_watch_goes_on_from_each_answer() -> None:
    async def main() -> None:
        old, new = await Stub(says(answer(b"old"))).start(), await Stub(says(answer(b"new"))).start()
        async with node(old) as balancer:
            registry = balancer.registry
            await until(lambda: len(registry.paths) == 1)
            assert registry.paths[0].startswith("/v1/endpoints?from=1&hold_ms=")
            registry.put(
                listing(5, False, instance("s0", old.address, "leaving"), instance("s1", new.address))
            )
            await until(lambda: len(registry.paths) == 2)
            assert registry.paths[1].startswith("/v1/endpoints?from=5&hold_ms=")
            for n in range(6):
                assert (await balancer.ask(request(rid=f"r{n}"))).body == b"new"
            assert not old.seen

    run(main())


def test_a_whole_list_removes_who_is_not_on_it() -> None:
    async def main() -> None:
        old, new = await Stub(says(answer(b"old"))).start(), await Stub(says(answer(b"new"))).start()
        async with node(old) as balancer:
            assert (await balancer.ask(request(rid="r0"))).body == b"old"
            balancer.registry.put(listing(9, True, instance("s1", new.address)))
            await until(lambda: number_of("s0") not in balancer.front.driver.pool.upstreams)
            for n in range(1, 6):
                assert (await balancer.ask(request(rid=f"r{n}"))).body == b"new"
            assert len(old.seen) == 1

    run(main())


def test_a_restart_at_a_new_address_is_followed() -> None:
    async def main() -> None:
        old, new = await Stub(says(answer(b"old"))).start(), await Stub(says(answer(b"new"))).start()
        async with node(old) as balancer:
            assert (await balancer.ask(request(rid="r0"))).body == b"old"
            # Started long enough ago to be warm, so that nothing but the address matters here.
            started = time.time_ns() // 1_000_000 - 60_000
            balancer.registry.put(listing(2, False, instance("s0", new.address, startedAtMs=started)))
            await until(lambda: old.lost == 1)  # its warm connection is of no use any more
            assert (await balancer.ask(request(rid="r1"))).body == b"new"

    run(main())


BROKEN: list[Any] = [
    [],
    {},
    None,
    5,
    {"generation": 2, "reset": False},
    {"generation": "x", "reset": False, "instances": []},
    {"generation": 2, "reset": 1, "instances": []},
    {"generation": 2, "reset": False, "instances": [5]},
    listing(2, False, instance("s0", ("127.0.0.1", 1), "asleep")),
    listing(2, False, instance("s0", ("127.0.0.1", 99999))),
    listing(2, False, instance("s0", ("127.0.0.1", 1), weight="heavy")),
    listing(2, False, instance("s0", ("127.0.0.1", 1), weight=float("nan"))),
    listing(2, False, instance("s0", ("127.0.0.1", 1), startedAtMs="noon")),
    listing(2, False, {"instanceId": "s0"}),
]


@pytest.mark.parametrize(
    "reply",
    [
        *(answer(json.dumps(b).encode()) for b in BROKEN),
        answer(b"{"),
        answer(b"[" * 60_000),
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        answer(b"", "503 Service Unavailable"),
        answer(b"", "404 Not Found"),
    ],
)
def test_a_broken_update_is_dropped_told_as_failed_and_asked_for_again(reply: bytes) -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        changed = settings()
        changed["obligations"]["askEveryNs"] = 100_000_000
        async with node(stub, settings=changed) as balancer:
            heard = listen(balancer)
            balancer.registry.replies.put_nowait(reply)
            await until(lambda: bool(heard))
            assert heard[0].kind is ListKind.FAILED
            await until(lambda: len(balancer.registry.paths) == 2)
            assert "from=1&" in balancer.registry.paths[1]
            assert (await balancer.ask(request())).body == b"done"

    run(main())


def test_a_list_that_the_module_fails_over_is_asked_for_whole() -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        changed = settings()
        changed["obligations"]["askEveryNs"] = 100_000_000
        async with node(stub, settings=changed) as balancer:
            fail_once(balancer)
            balancer.registry.put(listing(2, False, instance("s0", stub.address, "leaving")))
            await until(lambda: len(balancer.registry.paths) == 2)
            assert balancer.registry.paths[1] == "/v1/endpoints"

    run(main())


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_without_a_sound_known_list_the_whole_one_is_asked_for(known: Any) -> None:
    async def main() -> None:
        async with node(known=known) as balancer:
            await until(lambda: len(balancer.registry.paths) == 1)
            assert balancer.registry.paths == ["/v1/endpoints"]

    run(main())


def test_a_watch_that_falls_silent_is_begun_anew_before_the_list_is_old() -> None:
    """A watch was waited for through 22 s, while servers went that the list still showed."""

    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub) as balancer:
            began = time.monotonic()
            await until(lambda: len(balancer.registry.paths) == 2)  # the first got no answer at all
            assert time.monotonic() - began < 10
            hold = int(balancer.registry.paths[0].partition("hold_ms=")[2])
            assert hold / 1000 + ANSWER_TIMEOUT_S <= 4.0  # what there is to tell counts as told soon after

    run(main())


def test_what_discovery_has_is_heard_before_it_counts_as_told() -> None:
    """The whole chain: notice, pause, connect and an answer that takes all the time it may."""
    told, hold = TOLD / 1e9, HOLD_MS / 1e3
    assert hold + QUIET + SPREAD * told + ANSWER_TIMEOUT_S <= told  # a watch that fell silent
    assert (
        hold + ANSWER_TIMEOUT_S <= UNANSWERED[0] * told
    )  # the next call is begun at its time, not after this one's
    assert UNANSWERED[1] * told < told  # a call that was begun just before discovery came back


WHOLE = answer(json.dumps(listing(2, True)).encode())


@pytest.mark.parametrize(
    ("replies", "end"),
    [
        ([WHOLE], CallEnd.BROKEN),  # and then it falls silent
        ([WHOLE, answer(b"", "503 Service Unavailable")], CallEnd.BROKEN),
        ([WHOLE, answer(b"{")], CallEnd.BROKEN),
        ([], CallEnd.UNANSWERED),
        ([answer(b"", "503 Service Unavailable")], CallEnd.UNANSWERED),
    ],
)
def test_the_module_hears_how_a_call_to_discovery_ended(replies: list[bytes], end: CallEnd) -> None:
    """calm+brink: all watches that had worked fell silent, and were asked anew 7.4 to 8 s after that."""

    async def main() -> None:
        async with node() as balancer:
            heard = listen(balancer)
            for reply in replies:
                balancer.registry.replies.put_nowait(reply)
            await until(lambda: any(update.kind is ListKind.FAILED for update in heard))
            assert heard[-1].end is end

    run(main())


def test_the_module_hears_that_no_connection_to_discovery_came_up() -> None:
    async def main() -> None:
        gone = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        address = gone.sockets[0].getsockname()
        gone.close()
        async with node() as balancer:
            heard = listen(balancer)
            balancer.reload.discovery.move(address)
            balancer.front.driver.discovery_moved()
            await until(lambda: bool(heard))
            assert [update.end for update in heard] == [CallEnd.UNREACHED]

    run(main())


def test_a_call_that_the_module_fails_over_is_made_again() -> None:
    async def main() -> None:
        async with node() as balancer:
            fail_once(balancer)
            balancer.registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
            await until(lambda: len(balancer.registry.paths) == 2)

    run(main())


def test_pushed_lists_are_watched_without_being_asked_to() -> None:
    async def main() -> None:
        async with node(settings=settings(discovery="push")) as balancer:
            await until(lambda: len(balancer.registry.paths) == 1)
            balancer.registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
            await until(lambda: len(balancer.registry.paths) == 2)  # an agent is simply asked again

    run(main())


def test_starts_are_told_on_the_modules_clock() -> None:
    reader = Reader(SYSTEM, ("a",), ("m",))
    began = time.time_ns() // 1_000_000 - 3000
    _, _, rows = reader.read(
        listing(
            1,
            True,
            instance("s0", ("127.0.0.1", 1), startedAtMs=began),
            instance("s1", ("127.0.0.1", 2), "left"),
        )
    )
    age = time.monotonic_ns() - rows[0].entry.started
    assert 2_900_000_000 < age < 60_000_000_000
    assert rows[1].entry.started == 0 and rows[1].entry.state is ServerState.GONE
    again = reader.read(listing(2, True, instance("s0", ("127.0.0.1", 1), startedAtMs=began)))[2][0]
    assert again.entry == rows[0].entry  # no restart where there was none


@pytest.mark.parametrize("way", ["ask", "push"])
def test_a_watch_ended_by_a_move_is_no_failure(way: str) -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        other = await Registry().start()
        async with node(stub, settings=settings(discovery=way)) as balancer:
            await until(lambda: len(balancer.registry.paths) == 1)
            heard = listen(balancer)
            balancer.move(other)
            await until(lambda: len(other.paths) == 1)
            other.put(listing(1, True, instance("s0", stub.address)))
            await until(lambda: len(other.paths) == 2)
            assert [update.kind for update in heard] == [ListKind.FULL]
            assert len(balancer.registry.paths) == 1

    run(main())


def test_a_move_ends_the_pause_after_a_failure() -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        other = await Registry().start()
        async with node(stub) as balancer:
            heard = listen(balancer)
            balancer.registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
            await until(lambda: bool(heard))
            balancer.move(other)
            await until(lambda: other.paths == ["/v1/endpoints"])
            assert balancer.front.driver.balancer.in_vain == 0 and len(balancer.registry.paths) == 1

    run(main())


def test_the_watch_on_the_discovery_before_goes_on_until_the_new_one_speaks() -> None:
    """SIGHUP crossed an update, or the new one turned callers away for seconds: what drained got requests."""

    async def main() -> None:
        stubs = [await Stub(says(answer())).start() for _ in range(3)]
        other = await Registry().start()
        async with node(*stubs) as balancer:
            first = balancer.registry
            await until(lambda: len(first.paths) == 1)
            balancer.move(other)
            await until(lambda: len(other.paths) == 1)
            first.put(listing(2, False, instance("s0", stubs[0].address, "leaving")))
            driver = balancer.front.driver
            await until(lambda: len(driver.ready) == 2)
            await until(lambda: len(first.paths) == 2)
            assert first.paths[1].startswith("/v1/endpoints?from=2&")
            first.put(listing(3, False, instance("s1", stubs[1].address, "leaving")))
            await until(lambda: len(driver.ready) == 1)
            other.put(listing(7, True, *(instance(f"s{n}", stubs[n].address) for n in range(3))))
            await until(lambda: len(driver.ready) == 3 and len(other.paths) == 2)
            assert other.paths[1].startswith("/v1/endpoints?from=7&")
            await until(lambda: balancer.reload.discovery.previous_task is None)

    run(main())


def test_a_list_of_the_discovery_before_is_not_heard_once_the_new_one_has_spoken() -> None:
    async def main() -> None:
        stubs = [await Stub(says(answer())).start() for _ in range(2)]
        other = await Registry().start()
        async with node(*stubs) as balancer:
            await until(lambda: len(balancer.registry.paths) == 1)
            balancer.move(other)
            other.put(listing(7, True, instance("s0", stubs[0].address)))
            driver = balancer.front.driver
            await until(lambda: len(driver.ready) == 1)
            balancer.registry.put(listing(2, True, *(instance(f"s{n}", stubs[n].address) for n in range(2))))
            other.put(listing(8, False))
            await until(lambda: len(other.paths) == 3)
            assert len(driver.ready) == 1

    run(main())


def test_a_wall_clock_that_is_behind_makes_no_server_start_in_the_future() -> None:
    """It was behind as the reader was made; each start keeps its first reading, and a later one counts."""
    clock = Behind()
    reader = Reader(clock, ("a",), ("m",))
    clock.now += 5_000_000_000
    row = instance("s0", ("127.0.0.1", 80), startedAtMs=100_000_000)
    [one] = reader.read(listing(1, True, row))[2]
    assert one.entry.started == clock.now
    clock.now += 5_000_000_000
    [again] = reader.read(listing(2, True, row))[2]
    assert again.entry.started == one.entry.started
    [later] = reader.read(listing(3, True, {**row, "startedAtMs": 100_000_001}))[2]
    assert later.entry.started == clock.now > one.entry.started
    reader.read(listing(4, False, {**row, "lifecycle": "left"}))
    assert not reader.starts


class Behind:
    now = 1_000_000_000

    def monotonic_ns(self) -> int:
        return self.now

    def time_ns(self) -> int:
        return self.now + 99_000_000_000_000

    def has_input(self, transport: asyncio.BaseTransport) -> bool:
        return False

    def hung_up(self, transport: asyncio.BaseTransport) -> bool:
        return False

    def input_age(self, transport: asyncio.BaseTransport) -> int:
        return 0


class WallClock(Behind):
    """A wall clock that is off by so many nanoseconds, and a monotonic one that a test moves on."""

    def __init__(self, off: int) -> None:
        self.off = off
        self.now = 1_000_000_000_000

    def time_ns(self) -> int:
        return self.now + TRUE_OFFSET + self.off


TRUE_OFFSET = 1_700_000_000_000_000_000  # nanoseconds from the monotonic clock to Unix time
SECOND = 1_000_000_000


@pytest.mark.parametrize("off", [-3600, -7, 0, 7, 3600])
def test_a_server_that_starts_is_cold_however_far_off_the_wall_clock_was_at_the_start(off: int) -> None:
    """An hour ahead, every later start seemed an hour old: no slow start at all."""
    clock = WallClock(off * SECOND)
    reader = Reader(clock, ("a",), ("m",))
    reader.read(listing(1, True, instance("s0", ("127.0.0.1", 1))))
    reader.note_answer()
    clock.now += 5 * SECOND
    began = clock.now
    row = instance("s1", ("127.0.0.1", 2), startedAtMs=(began + TRUE_OFFSET) // 1_000_000)
    clock.now += SECOND // 2
    [told] = reader.read(listing(2, False, row))[2]
    assert began - 8 * SECOND <= told.entry.started <= clock.now
    if off <= 0:
        assert told.entry.started >= began - 1_000_000
    reader.note_answer()
    clock.now += 40 * SECOND
    [gone] = reader.read(listing(3, False, {**row, "lifecycle": "left"}))[2]
    clock.now += 10 * SECOND
    [back] = reader.read(listing(4, False, row))[2]
    assert back.entry.started == told.entry.started  # it has come back, and not started anew


# ---- generations ----


@pytest.mark.parametrize("rows", [[], ["s0"]])
def test_changes_of_an_older_generation_are_heard_and_the_whole_list_is_asked_for(rows: list[str]) -> None:
    """A discovery that began anew counts for itself: what had left before its changes was never heard of."""

    async def main() -> None:
        stubs = [await Stub(says(answer())).start() for _ in range(3)]
        s0, s1, s2 = (instance(f"s{n}", stub.address) for n, stub in enumerate(stubs))
        known = listing(41, True, s0, s1, s2)
        async with node(*stubs, known=known) as balancer:
            registry, driver = balancer.registry, balancer.front.driver
            await until(lambda: len(registry.paths) == 1)
            assert registry.paths[0].startswith("/v1/endpoints?from=41&")
            registry.put(listing(5, False, *(instance(name, stubs[0].address, "leaving") for name in rows)))
            await until(lambda: len(registry.paths) == 2)
            assert registry.paths[1] == "/v1/endpoints"
            assert len(driver.ready) == 3 - len(rows)  # told is told
            if not rows:  # no word that the list from before the start still holds
                assert not any(server.sure for server in driver.balancer.servers.values())
            registry.put(listing(6, True, s0, s2))
            await until(lambda: len(registry.paths) == 3)
            assert registry.paths[2].startswith("/v1/endpoints?from=6&")
            assert driver.ready == {number_of("s0"), number_of("s2")}

    run(main())


def test_a_whole_list_of_an_older_generation_is_believed_at_once() -> None:
    """Only a discovery that began anew answers with less than it was asked from: it has nothing better."""

    async def main() -> None:
        old, new = await Stub(says(answer(b"old"))).start(), await Stub(says(answer(b"new"))).start()
        async with node(old, known=listing(41, True, instance("s0", old.address))) as balancer:
            registry = balancer.registry
            await until(lambda: len(registry.paths) == 1)
            registry.put(listing(1, True, instance("s1", new.address)))
            await until(lambda: len(registry.paths) == 2)
            assert registry.paths[1].startswith("/v1/endpoints?from=1&")
            assert (await balancer.ask(request())).body == b"new"
            registry.put(listing(2, False, instance("s1", new.address, "leaving")))
            await until(lambda: not balancer.front.driver.ready)

    run(main())


def test_a_known_list_that_is_not_whole_is_no_ground_for_changes() -> None:
    async def main() -> None:
        stub = await Stub(says(answer())).start()
        async with node(stub, known=listing(41, False, instance("s0", stub.address))) as balancer:
            await until(lambda: len(balancer.registry.paths) == 1)
            assert balancer.registry.paths == ["/v1/endpoints"]
            assert (await balancer.ask(request())).body == b"done"

    run(main())


def test_the_answer_of_a_call_that_was_given_up_is_heard_by_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes late, after the news of the watch that followed: its connection is closed by then."""
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "HOLD_MS", 50)

    async def main() -> None:
        stubs = [await Stub(says(answer())).start() for _ in range(2)]
        rows = [instance(f"s{n}", stub.address) for n, stub in enumerate(stubs)]
        calls: list[asyncio.StreamWriter] = []
        paths: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(writer)
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    paths.append((await read_message(reader)).start.split()[1])

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        given = settings(discovery="push")
        async with node(*stubs, settings=given) as balancer:
            driver = balancer.front.driver
            balancer.reload.discovery.move(server.sockets[0].getsockname())
            await until(lambda: len(calls) == 2)  # the first was given up
            calls[1].write(answer(json.dumps(listing(9, True, rows[0])).encode()))
            await until(lambda: len(driver.ready) == 1)
            calls[0].write(answer(json.dumps(listing(8, True, *rows)).encode()))
            await until(lambda: len(paths) > 3)
            assert driver.ready == {number_of("s0")}
        server.close()

    run(main())

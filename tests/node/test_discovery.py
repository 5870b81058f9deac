"""The discovery client: its requests, the lists it applies, failed calls and invalid lists."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from typing import Any

import pytest

from dykeshift import rules
from dykeshift.clock import SYSTEM
from dykeshift.interface import Action, CallEnd, ListKind, ServerList, ServerState
from dykeshift.engine import config, discovery
from dykeshift.engine.discovery import (
    ANSWER_TIMEOUT_S,
    HOLD_MS,
    REPEATED_ANSWER_TIMEOUT_S,
    ListReader,
    instance_number,
)
from dykeshift.rules import REOPEN_SPREAD_SHARE, INFORMED_AFTER_NS, UNANSWERED_PAUSE_SHARES
from tests.node.messages import answer, instance, listing, read_message, request
from tests.node.stubs import (
    DiscoveryStub,
    Node,
    Stub,
    answers_with,
    configuration,
    node,
    run,
    settings,
    wait_until,
)


def record_lists(balancer: Node) -> list[ServerList]:
    """Record all list events that the decision module gets from now on."""
    events: list[ServerList] = []
    module = balancer.front.driver.balancer
    original = module.on_list

    def on_list(now: int, update: ServerList) -> list[Action]:
        events.append(update)
        return original(now, update)

    module.on_list = on_list  # type: ignore[method-assign]
    return events


def fail_once(balancer: Node) -> None:
    """Make the decision module raise on the next list, and on no other."""
    module = balancer.front.driver.balancer
    original = module.on_list

    def faulty(now: int, update: ServerList) -> list[Action]:
        module.on_list = original  # type: ignore[method-assign]
        raise RuntimeError("planted")

    module.on_list = faulty  # type: ignore[method-assign]


def test_a_watch_continues_from_the_generation_of_each_answer() -> None:
    async def main() -> None:
        old, new = (
            await Stub(answers_with(answer(b"old"))).start(),
            await Stub(answers_with(answer(b"new"))).start(),
        )
        async with node(old) as balancer:
            registry = balancer.registry
            await wait_until(lambda: len(registry.paths) == 1)
            assert registry.paths[0].startswith("/v1/endpoints?from=1&hold_ms=")
            registry.put(
                listing(5, False, instance("s0", old.address, "leaving"), instance("s1", new.address))
            )
            await wait_until(lambda: len(registry.paths) == 2)
            assert registry.paths[1].startswith("/v1/endpoints?from=5&hold_ms=")
            for n in range(6):
                assert (await balancer.ask(request(rid=f"r{n}"))).body == b"new"
            assert not old.seen

    run(main())


def test_a_full_list_removes_upstreams_that_are_not_on_it() -> None:
    async def main() -> None:
        old, new = (
            await Stub(answers_with(answer(b"old"))).start(),
            await Stub(answers_with(answer(b"new"))).start(),
        )
        async with node(old) as balancer:
            assert (await balancer.ask(request(rid="r0"))).body == b"old"
            balancer.registry.put(listing(9, True, instance("s1", new.address)))
            await wait_until(lambda: instance_number("s0") not in balancer.front.driver.pool.upstreams)
            for n in range(1, 6):
                assert (await balancer.ask(request(rid=f"r{n}"))).body == b"new"
            assert len(old.seen) == 1

    run(main())


def test_a_restart_at_a_new_address_is_followed() -> None:
    async def main() -> None:
        old, new = (
            await Stub(answers_with(answer(b"old"))).start(),
            await Stub(answers_with(answer(b"new"))).start(),
        )
        async with node(old) as balancer:
            assert (await balancer.ask(request(rid="r0"))).body == b"old"
            # Started long enough ago to be warm, so that nothing but the address matters here.
            started = time.time_ns() // 1_000_000 - 60_000
            balancer.registry.put(listing(2, False, instance("s0", new.address, startedAtMs=started)))
            await wait_until(lambda: old.lost == 1)  # its idle connection is closed
            assert (await balancer.ask(request(rid="r1"))).body == b"new"

    run(main())


INVALID_LISTS: list[Any] = [
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
        *(answer(json.dumps(b).encode()) for b in INVALID_LISTS),
        answer(b"{"),
        answer(b"[" * 60_000),
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        answer(b"", "503 Service Unavailable"),
        answer(b"", "404 Not Found"),
    ],
)
def test_an_invalid_update_is_ignored_reported_as_failed_and_requested_again(reply: bytes) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        changed = settings()
        changed["obligations"]["askEveryNs"] = 100_000_000
        async with node(stub, settings=changed) as balancer:
            events = record_lists(balancer)
            balancer.registry.replies.put_nowait(reply)
            await wait_until(lambda: bool(events))
            assert events[0].kind is ListKind.FAILED
            await wait_until(lambda: len(balancer.registry.paths) == 2)
            assert "from=1&" in balancer.registry.paths[1]
            assert (await balancer.ask(request())).body == b"done"

    run(main())


def test_after_the_module_raises_on_a_list_the_full_list_is_requested() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        changed = settings()
        changed["obligations"]["askEveryNs"] = 100_000_000
        async with node(stub, settings=changed) as balancer:
            fail_once(balancer)
            balancer.registry.put(listing(2, False, instance("s0", stub.address, "leaving")))
            await wait_until(lambda: len(balancer.registry.paths) == 2)
            assert balancer.registry.paths[1] == "/v1/endpoints"

    run(main())


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_without_a_valid_cached_list_the_full_list_is_requested(known: Any) -> None:
    async def main() -> None:
        async with node(known=known) as balancer:
            await wait_until(lambda: len(balancer.registry.paths) == 1)
            assert balancer.registry.paths == ["/v1/endpoints"]

    run(main())


def test_an_unanswered_watch_is_restarted_before_the_list_is_outdated() -> None:
    """Otherwise a watch may wait 22 s for an answer while servers leave that the list still shows."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            began = time.monotonic()
            await wait_until(lambda: len(balancer.registry.paths) == 2)  # the first call got no answer
            assert time.monotonic() - began < 10
            hold = int(balancer.registry.paths[0].partition("hold_ms=")[2])
            assert hold / 1000 + ANSWER_TIMEOUT_S <= 4.0  # a change counts as announced soon after

    run(main())


def test_a_change_reaches_the_balancer_before_it_counts_as_announced() -> None:
    """The longest chain: time-out, pause, connect, and an answer that takes all the time it may."""
    announced, hold = INFORMED_AFTER_NS / 1e9, HOLD_MS / 1e3
    assert (
        hold + REPEATED_ANSWER_TIMEOUT_S + REOPEN_SPREAD_SHARE * announced + ANSWER_TIMEOUT_S <= announced
    )  # an unanswered watch
    # The next call is not delayed by this one.
    assert hold + ANSWER_TIMEOUT_S <= UNANSWERED_PAUSE_SHARES[0] * announced
    assert UNANSWERED_PAUSE_SHARES[1] * announced < announced  # a call made just before discovery came back


FULL_LIST = answer(json.dumps(listing(2, True)).encode())


@pytest.mark.parametrize(
    ("replies", "end"),
    [
        ([FULL_LIST], CallEnd.BROKEN),  # the second call is not answered
        ([FULL_LIST, answer(b"", "503 Service Unavailable")], CallEnd.BROKEN),
        ([FULL_LIST, answer(b"{")], CallEnd.BROKEN),
        ([], CallEnd.UNANSWERED),
        ([answer(b"", "503 Service Unavailable")], CallEnd.UNANSWERED),
    ],
)
def test_the_module_is_told_how_a_call_to_discovery_ended(replies: list[bytes], end: CallEnd) -> None:
    """The pause before the next call depends on it.

    In a simulated scenario (calm+brink) all working watches became silent, and were requested again only 7.4
    to 8 s later.
    """

    async def main() -> None:
        async with node() as balancer:
            events = record_lists(balancer)
            for reply in replies:
                balancer.registry.replies.put_nowait(reply)
            await wait_until(lambda: any(update.kind is ListKind.FAILED for update in events))
            assert events[-1].end is end

    run(main())


def test_the_module_is_told_that_no_connection_to_discovery_could_be_made() -> None:
    async def main() -> None:
        gone = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        address = gone.sockets[0].getsockname()
        gone.close()
        async with node() as balancer:
            events = record_lists(balancer)
            balancer.reload.discovery.move(address)
            balancer.front.driver.discovery_address_changed()
            await wait_until(lambda: bool(events))
            assert [update.end for update in events] == [CallEnd.UNREACHED]

    run(main())


def test_a_failed_call_is_repeated_though_the_module_raises_on_its_end() -> None:
    async def main() -> None:
        async with node() as balancer:
            fail_once(balancer)
            balancer.registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
            await wait_until(lambda: len(balancer.registry.paths) == 2)

    run(main())


def test_pushed_lists_are_watched_without_a_request_of_the_module() -> None:
    async def main() -> None:
        async with node(settings=settings(discovery="push")) as balancer:
            await wait_until(lambda: len(balancer.registry.paths) == 1)
            balancer.registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
            await wait_until(
                lambda: len(balancer.registry.paths) == 2
            )  # the local agent is called again at once

    run(main())


def reload_settings(balancer: Node, **changes: Any) -> None:
    """Reload with changed settings, as on SIGHUP after the file has changed."""
    raw = {**configuration(balancer.registry.address), "settings": settings(**changes)}
    balancer.given = config.parse(raw)
    balancer.reload()


# Guards against drains that are never heard after a reload: the client of discovery kept the mode of the
# start while the module followed the new one, so that neither of them renewed a watch that had ended.
def test_a_watch_that_ends_is_renewed_after_a_reload_to_pushed_lists() -> None:
    async def main() -> None:
        async with node(settings=settings(discovery="ask")) as balancer:
            registry = balancer.registry
            await wait_until(lambda: len(registry.paths) == 1)
            reload_settings(balancer, discovery="push")
            for calls in (2, 3):
                registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
                await wait_until(lambda calls=calls: len(registry.paths) == calls)  # type: ignore[misc]

    run(main())


def test_after_a_reload_to_asked_lists_only_the_module_renews_the_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        monkeypatch.setattr(discovery, "PUSH_RETRY_S", 0.0)
        monkeypatch.setattr(rules, "REJECTED_PAUSE_SHARES", (0.01, 0.02))
        async with node(settings=settings(discovery="push")) as balancer:
            registry, module = balancer.registry, balancer.front.driver.balancer
            await wait_until(lambda: len(registry.paths) == 1)
            reload_settings(balancer, discovery="ask")
            for calls in (2, 3):
                registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
                await wait_until(lambda calls=calls: len(registry.paths) == calls)  # type: ignore[misc]
                assert module.watch_open

    run(main())


# Guards against a balancer that takes another zone for its own after a reload: `az` is a position in
# `failureDomains`, and the listed upstreams had been numbered by the list of the start.
@pytest.mark.parametrize("names", [["b", "a"], ["a", "c"]])
def test_the_zone_of_the_balancer_is_the_one_of_its_name_after_a_reload(names: list[str]) -> None:
    async def main() -> None:
        stubs = [await Stub(answers_with(answer())).start() for _ in range(2)]
        rows = [instance("s0", stubs[0].address, zone="a"), instance("s1", stubs[1].address, zone=names[1])]
        async with node(*stubs, known=listing(1, True, *rows)) as balancer:
            module = balancer.front.driver.balancer
            await wait_until(lambda: len(module.servers) == 2)
            reload_settings(balancer, az=1, failureDomains=names)
            entries = {number: server.entry for number, server in module.servers.items()}
            assert entries[instance_number("s1")].zone == module.settings.zone
            assert entries[instance_number("s0")].zone != module.settings.zone or names[1] == "a"

    run(main())


def test_start_times_are_converted_to_the_monotonic_clock() -> None:
    reader = ListReader(SYSTEM, ("a",), ("m",))
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
def test_a_watch_ended_by_a_change_of_address_is_not_reported_as_a_failure(way: str) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        other = await DiscoveryStub().start()
        async with node(stub, settings=settings(discovery=way)) as balancer:
            await wait_until(lambda: len(balancer.registry.paths) == 1)
            events = record_lists(balancer)
            balancer.move(other)
            await wait_until(lambda: len(other.paths) == 1)
            other.put(listing(1, True, instance("s0", stub.address)))
            await wait_until(lambda: len(other.paths) == 2)
            assert [update.kind for update in events] == [ListKind.FULL]
            assert len(balancer.registry.paths) == 1

    run(main())


def test_a_change_of_address_ends_the_pause_after_a_failure() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        other = await DiscoveryStub().start()
        async with node(stub) as balancer:
            events = record_lists(balancer)
            balancer.registry.replies.put_nowait(answer(b"", "503 Service Unavailable"))
            await wait_until(lambda: bool(events))
            balancer.move(other)
            await wait_until(lambda: other.paths == ["/v1/endpoints"])
            assert balancer.front.driver.balancer.failed_calls == 0 and len(balancer.registry.paths) == 1

    run(main())


def test_the_watch_at_the_previous_address_continues_until_the_new_one_answers() -> None:
    """Otherwise draining servers get requests.

    An update may cross the SIGHUP, or the new discovery may refuse calls for seconds.
    """

    async def main() -> None:
        stubs = [await Stub(answers_with(answer())).start() for _ in range(3)]
        other = await DiscoveryStub().start()
        async with node(*stubs) as balancer:
            first = balancer.registry
            await wait_until(lambda: len(first.paths) == 1)
            balancer.move(other)
            await wait_until(lambda: len(other.paths) == 1)
            first.put(listing(2, False, instance("s0", stubs[0].address, "leaving")))
            driver = balancer.front.driver
            await wait_until(lambda: len(driver.ready) == 2)
            await wait_until(lambda: len(first.paths) == 2)
            assert first.paths[1].startswith("/v1/endpoints?from=2&")
            first.put(listing(3, False, instance("s1", stubs[1].address, "leaving")))
            await wait_until(lambda: len(driver.ready) == 1)
            other.put(listing(7, True, *(instance(f"s{n}", stubs[n].address) for n in range(3))))
            await wait_until(lambda: len(driver.ready) == 3 and len(other.paths) == 2)
            assert other.paths[1].startswith("/v1/endpoints?from=7&")
            await wait_until(lambda: balancer.reload.discovery.previous_task is None)

    run(main())


def test_lists_from_the_previous_address_are_ignored_once_the_new_one_has_answered() -> None:
    async def main() -> None:
        stubs = [await Stub(answers_with(answer())).start() for _ in range(2)]
        other = await DiscoveryStub().start()
        async with node(*stubs) as balancer:
            await wait_until(lambda: len(balancer.registry.paths) == 1)
            balancer.move(other)
            other.put(listing(7, True, instance("s0", stubs[0].address)))
            driver = balancer.front.driver
            await wait_until(lambda: len(driver.ready) == 1)
            balancer.registry.put(listing(2, True, *(instance(f"s{n}", stubs[n].address) for n in range(2))))
            other.put(listing(8, False))
            await wait_until(lambda: len(other.paths) == 3)
            assert len(driver.ready) == 1

    run(main())


def test_a_wall_clock_that_is_behind_makes_no_server_start_in_the_future() -> None:
    """The wall clock is behind when the reader is created; a start time is converted at its first listing."""
    clock = SlowWallClock()
    reader = ListReader(clock, ("a",), ("m",))
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


class SlowWallClock:
    """A clock whose monotonic time a test advances; its wall clock is behind that of discovery."""

    now = 1_000_000_000

    def monotonic_ns(self) -> int:
        return self.now

    def time_ns(self) -> int:
        return self.now + 99_000_000_000_000

    def has_input(self, transport: asyncio.BaseTransport) -> bool:
        return False

    def hung_up(self, transport: asyncio.BaseTransport) -> bool:
        return False

    def limit_receiving(self, transport: asyncio.BaseTransport, size: int) -> None:
        return None

    def limit_sending(self, transport: asyncio.BaseTransport, size: int) -> None:
        return None

    def unread_bytes(self, transport: asyncio.BaseTransport) -> int:
        return 0

    def unsent_bytes(self, transport: asyncio.BaseTransport) -> int:
        return 0

    def resident_bytes(self) -> int:
        return 0

    def input_age(self, transport: asyncio.BaseTransport) -> int:
        return 0


class WallClock(SlowWallClock):
    """A clock whose wall clock is off by so many nanoseconds, and whose monotonic time a test advances."""

    def __init__(self, off: int) -> None:
        self.off = off
        self.now = 1_000_000_000_000

    def time_ns(self) -> int:
        return self.now + TRUE_OFFSET + self.off


TRUE_OFFSET = 1_700_000_000_000_000_000  # nanoseconds from the monotonic clock to Unix time
SECOND = 1_000_000_000


@pytest.mark.parametrize("off", [-3600, -7, 0, 7, 3600])
def test_a_new_server_is_cold_however_wrong_the_wall_clock_was_at_start(off: int) -> None:
    """With the wall clock an hour ahead, later starts seemed an hour old, and there was no slow start."""
    clock = WallClock(off * SECOND)
    reader = ListReader(clock, ("a",), ("m",))
    reader.read(listing(1, True, instance("s0", ("127.0.0.1", 1))))
    reader.note_answer()
    clock.now += 5 * SECOND
    began = clock.now
    row = instance("s1", ("127.0.0.1", 2), startedAtMs=(began + TRUE_OFFSET) // 1_000_000)
    clock.now += SECOND // 2
    [first] = reader.read(listing(2, False, row))[2]
    assert began - 8 * SECOND <= first.entry.started <= clock.now
    if off <= 0:
        assert first.entry.started >= began - 1_000_000
    reader.note_answer()
    clock.now += 40 * SECOND
    [gone] = reader.read(listing(3, False, {**row, "lifecycle": "left"}))[2]
    clock.now += 10 * SECOND
    [back] = reader.read(listing(4, False, row))[2]
    assert back.entry.started == first.entry.started  # listed again without a restart


# Guards against keyed requests that are repeated at servers whose cell or zone is not known to be the same.
@pytest.mark.parametrize("key", ["zone", "cell"])
@pytest.mark.parametrize("value", ["missing", None])
def test_servers_without_a_stated_zone_or_cell_share_none(key: str, value: Any) -> None:
    reader = ListReader(WallClock(0), ("a",), ("m",))
    rows = [{**instance(f"s{n}", ("127.0.0.1", 1 + n)), key: value} for n in range(3)]
    for row in rows:
        if value == "missing":
            del row[key]
    rows.append(instance("s3", ("127.0.0.1", 4)))
    places = [getattr(one.entry, key) for one in reader.read(listing(1, True, *rows))[2]]
    assert len(set(places)) == 4


# ---- generations ----


@pytest.mark.parametrize("rows", [[], ["s0"]])
def test_changes_of_an_older_generation_are_applied_and_the_full_list_is_requested(rows: list[str]) -> None:
    """A restarted discovery counts anew: its changes do not name the servers that left before them."""

    async def main() -> None:
        stubs = [await Stub(answers_with(answer())).start() for _ in range(3)]
        s0, s1, s2 = (instance(f"s{n}", stub.address) for n, stub in enumerate(stubs))
        known = listing(41, True, s0, s1, s2)
        async with node(*stubs, known=known) as balancer:
            registry, driver = balancer.registry, balancer.front.driver
            await wait_until(lambda: len(registry.paths) == 1)
            assert registry.paths[0].startswith("/v1/endpoints?from=41&")
            registry.put(listing(5, False, *(instance(name, stubs[0].address, "leaving") for name in rows)))
            await wait_until(lambda: len(registry.paths) == 2)
            assert registry.paths[1] == "/v1/endpoints"
            assert len(driver.ready) == 3 - len(rows)  # the changes are applied
            if not rows:  # no confirmation that the cached list is still valid
                assert not any(server.confirmed for server in driver.balancer.servers.values())
            registry.put(listing(6, True, s0, s2))
            await wait_until(lambda: len(registry.paths) == 3)
            assert registry.paths[2].startswith("/v1/endpoints?from=6&")
            assert driver.ready == {instance_number("s0"), instance_number("s2")}

    run(main())


def test_a_full_list_of_an_older_generation_is_applied_at_once() -> None:
    """Only a restarted discovery answers with an older generation than requested: it has no newer list."""

    async def main() -> None:
        old, new = (
            await Stub(answers_with(answer(b"old"))).start(),
            await Stub(answers_with(answer(b"new"))).start(),
        )
        async with node(old, known=listing(41, True, instance("s0", old.address))) as balancer:
            registry = balancer.registry
            await wait_until(lambda: len(registry.paths) == 1)
            registry.put(listing(1, True, instance("s1", new.address)))
            await wait_until(lambda: len(registry.paths) == 2)
            assert registry.paths[1].startswith("/v1/endpoints?from=1&")
            assert (await balancer.ask(request())).body == b"new"
            registry.put(listing(2, False, instance("s1", new.address, "leaving")))
            await wait_until(lambda: not balancer.front.driver.ready)

    run(main())


def test_changes_are_not_requested_on_top_of_an_incomplete_cached_list() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub, known=listing(41, False, instance("s0", stub.address))) as balancer:
            await wait_until(lambda: len(balancer.registry.paths) == 1)
            assert balancer.registry.paths == ["/v1/endpoints"]
            assert (await balancer.ask(request())).body == b"done"

    run(main())


def test_the_answer_to_an_abandoned_call_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """It arrives after the answer to the next call; its connection is closed by then."""
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "HOLD_MS", 50)

    async def main() -> None:
        stubs = [await Stub(answers_with(answer())).start() for _ in range(2)]
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
            await wait_until(lambda: len(calls) == 2)  # the first call has timed out
            calls[1].write(answer(json.dumps(listing(9, True, rows[0])).encode()))
            await wait_until(lambda: len(driver.ready) == 1)
            calls[0].write(answer(json.dumps(listing(8, True, *rows)).encode()))
            await wait_until(lambda: len(paths) > 3)
            assert driver.ready == {instance_number("s0")}
        server.close()

    run(main())

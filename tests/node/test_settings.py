"""New settings at SIGHUP: applied completely or not at all; open requests keep the terms they came with."""

from __future__ import annotations

import copy
import json
import logging
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import config
from dykeshift.interface import Idempotency, ListKind, Outcome
from dykeshift.rules import Balancer
from dykeshift.settings import DOCUMENTED_KEYS, MalformedError, SettingsError, documented_keys, parse_settings
from tests.harness import MS, World, entry
from tests.node.messages import answer, read_message, request
from tests.node.stubs import (
    Node,
    Stub,
    answers_with,
    configuration,
    node,
    run,
    service,
    settings,
    silent,
    wait_until,
)


def named(*services: dict[str, Any], **bounds: Any) -> dict[str, Any]:
    """Settings with these services and changed bounds."""
    given = settings(services=list(services))
    given["bounds"] = {**given["bounds"], **bounds}
    return given


CHECK, SEND = service("check", "pure"), service("send", "side_effect")


@pytest.mark.parametrize("value", [0, -1, True, False, "5", None, [], {}, float("nan"), float("inf"), 0.4])
@pytest.mark.parametrize("key", ["deadlineNs", "maxAttempts", "goalTimeNs"])
def test_the_error_names_a_setting_that_is_not_a_positive_number(key: str, value: Any) -> None:
    raw = named(CHECK, maxAttempts=value) if key == "maxAttempts" else named({**CHECK, key: value})
    with pytest.raises(SettingsError) as caught:
        parse_settings(raw)
    assert key in str(caught.value) and "\n" not in str(caught.value)


def complete_settings() -> dict[str, Any]:
    """Settings with every documented key."""
    given = settings(parties=[{"name": "p", "quotaPerS": 5.0, "share": 0.5}])
    for table, keys in DOCUMENTED_KEYS.items():
        if not table.endswith("[]."):
            entry = given.setdefault(table[:-1], {}) if table else given
            entry.update({key: entry.get(key, 1) for key in keys if f"{key}." not in DOCUMENTED_KEYS})
    return given


def without(raw: dict[str, Any], path: str) -> dict[str, Any]:
    """A copy that lacks the key of this path; of a list, only the last entry lacks it."""
    copied = copy.deepcopy(raw)
    *tables, key = path.split(".")
    entry: Any = copied
    for table in tables:
        entry = entry[table.removesuffix("[]")]
        entry = entry[-1] if table.endswith("[]") else entry
    del entry[key]
    return copied


def read_keys() -> list[str]:
    """The paths of all keys without which the settings are turned down."""
    return [
        *(f"services[].{key}" for key in CHECK),
        *(f"bounds.{key}" for key in settings()["bounds"] if key not in ("keepaliveNs", "connectTimeoutNs")),
        *(f"obligations.{key}" for key in settings()["obligations"] if key != "drainGraceNs"),
        *("az", "balancers", "bounds", "discovery", "goal", "goal.worstClass", "obligations", "services"),
        *("stepNs", "valueBy"),
    ]


# Guards against a file without a class's `group`, which let keyed requests be repeated at all servers.
@pytest.mark.parametrize("path", read_keys())
def test_settings_without_a_key_that_is_read_are_turned_down(path: str) -> None:
    assert parse_settings(settings())
    with pytest.raises(SettingsError, match=f"settings lack .*{path.rpartition('.')[2]}"):
        parse_settings(without(settings(), path))


# Guards against text that counted as true, so that "false" allowed second copies.
@pytest.mark.parametrize("path", ["bounds.secondCopies", "bounds.cancelling", "bounds.retryAfter", "stream"])
@pytest.mark.parametrize("value", ["false", "", None, 2, [], 0.0])
def test_settings_with_something_else_than_true_or_false_are_turned_down(path: str, value: Any) -> None:
    table, _, key = path.rpartition(".")
    given = named({**CHECK, key: value}) if not table else named(CHECK, **{key: value})
    with pytest.raises(MalformedError, match=key):
        parse_settings(given)


def test_the_documented_keys_are_found_where_every_entry_has_them() -> None:
    every = {f"{table}{key}" for table, keys in DOCUMENTED_KEYS.items() for key in keys}
    assert documented_keys(complete_settings()) == every
    for path in every:
        assert path not in documented_keys(without(complete_settings(), path))
    assert not documented_keys([]) and "parties[].share" in documented_keys({"parties": []})


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "null",
        '{"settings":',
        '{"listen":"127.0.0.1:1"}',
        "[" * 200_000,
        json.dumps({**configuration(("127.0.0.1", 9)), "settings": named()}),
        json.dumps({**configuration(("127.0.0.1", 9)), "settings": named(CHECK, CHECK)}),
        json.dumps(
            {**configuration(("127.0.0.1", 9)), "settings": named({**CHECK, "deadlineNs": float("nan")})}
        ),
        json.dumps({**configuration(("127.0.0.1", 9)), "settings": named({**CHECK, "worth": 1e400})}),
    ],
)
def test_an_unusable_file_gives_one_error_of_one_line(text: str, tmp_path: Any) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    with pytest.raises(config.ConfigError) as caught:
        config.load(str(path))
    assert "\n" not in str(caught.value)


NAMES = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["pure", "token", "side_effect"]), st.integers(1, 3)),
    min_size=1,
    max_size=3,
    unique_by=lambda c: c[0],
)


@given(st.lists(st.tuples(NAMES, st.sets(st.integers(0, 5))), min_size=1, max_size=6))
def test_a_position_means_one_class_while_it_is_in_force_or_in_use(
    files: list[tuple[list[tuple[str, str, int]], set[int]]],
) -> None:
    def read(file: list[tuple[str, str, int]]) -> Any:
        return parse_settings(named(*(service(n, kind, deadlineNs=d) for n, kind, d in file)))

    balancer = Balancer(read(files[0][0]), 1)
    for file, held in files[1:]:
        old, new = balancer.settings, read(file)
        balancer.on_settings(0, new, held=held)
        placed = balancer.settings
        for position, klass in enumerate(old.classes):
            if position in held or (position not in old.retired and klass in new.classes):
                assert placed.classes[position] == klass
        current = [c for n, c in enumerate(placed.classes) if n not in placed.retired]
        assert sorted(c.name for c in current) == sorted(c.name for c in new.classes)
        assert set(current) == set(new.classes)
        assert len(set(placed.classes)) == len(placed.classes) == len(balancer.records)
        assert len(placed.classes) <= 2 * len(new.classes) + len(old.classes) + len(held)


def test_the_module_keeps_its_estimates_and_open_requests_their_class_and_attempts() -> None:
    world = World()
    world.announce(ListKind.FULL, *(entry(n) for n in range(6)))
    old = world.settings
    rid = world.submit(0)  # safe, three attempts
    balancer = world.balancer
    balancer.records[0].mean_latency = 77 * MS
    stricter = parse_settings(named(service("read", "side_effect", goalTimeNs=200 * MS), maxAttempts=1))
    world.play(balancer.on_settings(world.now, stricter, held=range(len(old.classes))))
    merged, position = balancer.settings, len(old.classes)
    assert merged.classes == (*old.classes, *stricter.classes)
    assert balancer.records[position].mean_latency == 77 * MS
    assert all(len(record.states) == 0 for record in balancer.records[1:]) and balancer.records[0].states
    world.end(rid, 0, Outcome.ERROR)  # still treated as safe, with three attempts
    while None in world.requests[rid].ends:
        world.end(rid, world.requests[rid].ends.index(None), Outcome.ERROR)
    assert len(world.requests[rid].servers) == 3 and world.requests[rid].final == "Refuse"
    world.settings = merged
    new = world.submit(position)
    world.end(new, 0, Outcome.ERROR)  # the new class: one attempt, which may have run
    assert world.requests[new].final == "Fail" and len(world.requests[new].servers) == 1


def reload_with(balancer: Node, given: dict[str, Any]) -> None:
    """Reload with these settings, as SIGHUP does."""
    raw = {**configuration(balancer.registry.address), "settings": given}
    try:
        balancer.given = config.parse(raw)
    except SettingsError as exc:
        error = config.ConfigError(str(exc))

        def fail() -> Any:
            raise error

        load, balancer.reload.load = balancer.reload.load, fail
        balancer.reload()
        balancer.reload.load = load
        return
    balancer.reload()


def test_classes_are_added_removed_and_changed_while_requests_are_served() -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        async with node(stub) as balancer:
            ledger = balancer.front.driver.ledger
            open_client = await balancer.open()
            open_client.writer.write(request("check", rid="old"))
            await wait_until(lambda: len(stub.seen) == 1)
            reload_with(balancer, named({**CHECK, "idempotency": "side_effect"}, service("fresh", "pure")))
            assert (ledger.reloads, ledger.reloads_failed) == (1, 0)
            [job] = balancer.front.driver.jobs.values()
            assert balancer.front.driver.balancer.open["old"].klass.idempotency is Idempotency.SAFE
            stub.handler = answers_with(answer(b"done"))
            assert "400" in (await balancer.ask(request("send", rid="gone"))).start  # class removed
            assert "400" in (await balancer.ask(request("check", rid="get"))).start  # GET no longer allowed
            got = await balancer.ask(request("check", rid="post", method="POST"))
            assert got.body == b"done"
            assert (await balancer.ask(request("fresh", rid="f", method="GET"))).body == b"done"
            reload_with(balancer, named({**CHECK, "deadlineNs": True}))
            assert (ledger.reloads, ledger.reloads_failed) == (1, 1)
            assert (await balancer.ask(request("fresh", rid="f2", method="GET"))).body == b"done"
            stub.writers[0].write(answer(b"late"))
            assert (await read_message(open_client.reader)).body == b"late" and job.closed
            assert {name: tier.success for name, tier in ledger.class_counts.items()} == {
                "check": 2,
                "set": 0,
                "send": 0,
                "fresh": 2,
            }

    run(main())


# Guards against an incomplete file at SIGHUP that is taken because the missing key is never read.
def test_a_file_that_lacks_a_key_of_the_one_in_force_changes_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    paths = sorted(documented_keys(complete_settings()))

    async def main() -> None:
        async with node(await Stub(silent).start()) as balancer:
            driver = balancer.front.driver
            with caplog.at_level(logging.INFO):
                reload_with(balancer, complete_settings())
            taken = [one for one in caplog.records if getattr(one, "event", "") == "configuration.taken"]
            assert ["set keyed/cell" in one.getMessage() for one in taken] == [True]
            assert (driver.ledger.reloads, driver.ledger.reloads_failed) == (1, 0)
            in_force = driver.balancer.settings
            for failed, path in enumerate(paths, start=1):
                reload_with(balancer, without(complete_settings(), path))
                assert (driver.ledger.reloads, driver.ledger.reloads_failed) == (1, failed), path
                assert driver.balancer.settings == in_force
            reload_with(balancer, complete_settings())
            assert driver.ledger.reloads == 2

    run(main())


# Guards against requests on connections that their upstreams close: after a reload with a shorter keepalive
# the pool kept the timeouts of the start.
def test_the_timeouts_of_connections_to_upstreams_are_those_of_a_reloaded_file() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        long = named(CHECK, keepaliveNs=3_600_000_000_000, connectTimeoutNs=2_000_000_000)
        short = named(CHECK, keepaliveNs=1_000_000, connectTimeoutNs=3_000_000_000)
        async with node(stub, settings=long) as balancer:
            pool = balancer.front.driver.pool
            assert "200" in (await balancer.ask(request("check"))).start
            assert pool.open == 1
            balancer.given = config.parse({**configuration(balancer.registry.address), "settings": short})
            balancer.reload()
            await wait_until(lambda: pool.open == 0)
            assert pool.connect_timeout == 3.0

    run(main())
